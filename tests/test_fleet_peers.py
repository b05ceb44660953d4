"""Tests of peer tracking, heartbeat recipients and watcher selection."""

import random

import testtools

from catkintrail import messages
from catkintrail.core import fleet_peers

ZONES = ("za", "zb", "zc")


def make_fleet(count, seeds=()):
    """Returns the peers of instance 10.0.0.100 in zone za."""
    peers = fleet_peers.FleetPeers("10.0.0.100", "za", list(seeds))
    for number in range(count):
        deliver_message(peers, number)
    return peers


def address(number):
    return f"10.0.{number % 3}.{number + 101}"


def deliver_message(peers, number, now=0.0, has_store=True, incarnation=1):
    zone = ZONES[number % 3]
    return peers.record_message(
        address(number), f"i-{number}", zone, incarnation, now, has_store
    )


class LivenessTests(testtools.TestCase):

    def test_peer_that_misses_heartbeats_is_down_until_it_answers(self):
        peers = make_fleet(1)
        for _ in range(3):
            peers.choose_heartbeat_recipients(0.0, random.Random(1))
        self.assertEqual(1, len(peers.alive()))
        peers.choose_heartbeat_recipients(0.0, random.Random(1))
        self.assertEqual([], peers.alive())
        self.assertEqual("back", deliver_message(peers, 0))
        self.assertEqual(1, len(peers.alive()))

    def test_restart_is_detected(self):
        peers = make_fleet(1)
        self.assertEqual("restarted", deliver_message(peers, 0, incarnation=2))
        self.assertEqual("", deliver_message(peers, 0, incarnation=2))

    def test_silent_peer_is_removed(self):
        peers = make_fleet(1)
        peers.choose_heartbeat_recipients(21.0, random.Random(1))
        self.assertEqual({}, peers.peers)

    def test_heartbeats_go_to_seeds_and_reported_addresses(self):
        peers = make_fleet(0, seeds=["10.0.0.1", "10.0.0.100"])
        peers.add_address("10.0.0.2", 0.0)
        recipients = peers.choose_heartbeat_recipients(0.0, random.Random(1))
        self.assertEqual(["10.0.0.1", "10.0.0.2"], recipients)
        self.assertEqual([], peers.alive())


class WatcherTests(testtools.TestCase):

    def test_every_instance_of_a_small_fleet_watches(self):
        # Found by the soak with seed 17. The watchers' connections to the store
        # were silent while a target left. An instance that could reach the
        # store did not watch it and sent requests to that target for 2.9 s.
        for number in range(8):
            peers = fleet_peers.FleetPeers(address(number), "za", [])
            for other in range(8):
                if other != number:
                    deliver_message(peers, other)
            self.assertLess(peers.watch_rank(), peers.watchers_per_zone())

    def test_large_fleet_has_two_watchers_per_zone(self):
        for count in (60, 300):
            self.assertEqual(2, make_fleet(count).watchers_per_zone())


class LargeFleetTests(testtools.TestCase):

    def test_heartbeat_recipients_do_not_grow_with_the_fleet(self):
        for count in (60, 300):
            recipients = make_fleet(count).choose_heartbeat_recipients(
                0.0, random.Random(1)
            )
            self.assertLessEqual(len(recipients), 12)

    def test_small_fleet_sends_heartbeats_to_all(self):
        recipients = make_fleet(8).choose_heartbeat_recipients(
            0.0, random.Random(1)
        )
        self.assertEqual(8, len(recipients))

    def test_one_live_gateway_in_each_other_zone(self):
        peers = make_fleet(60)
        self.assertEqual([address(1), address(2)], peers.gateways())
        for _ in range(4):
            peers.choose_heartbeat_recipients(0.0, random.Random(1))
        self.assertNotIn(address(1), peers.gateways())

    def test_next_peer_watches_if_the_first_is_down_or_without_store(self):
        peers = fleet_peers.FleetPeers("10.0.0.110", "za", [])
        for number in (0, 3, 6):
            deliver_message(peers, number)
        self.assertEqual(3, peers.watch_rank())
        deliver_message(peers, 0, has_store=False)
        self.assertEqual(2, peers.watch_rank())
        for _ in range(4):
            peers.choose_heartbeat_recipients(0.0, random.Random(1))
        self.assertEqual(0, peers.watch_rank())


class PermitIssuerTests(testtools.TestCase):
    """Which instance issues the permits of a zone's targets."""

    def silence(self, peers, numbers):
        """Makes some peers miss their heartbeats, while the others answer."""
        for _ in range(fleet_peers.MISSED_HEARTBEATS_UNTIL_DOWN):
            peers.choose_heartbeat_recipients(0.0, random.Random(1))
            for number in set(range(6)) - set(numbers):
                deliver_message(peers, number)

    def test_first_coordinator_of_the_zone(self):
        peers = make_fleet(6)
        issuers = {zone: peers.permit_issuer(zone) for zone in ZONES}
        self.assertEqual(
            {"za": "10.0.0.100", "zb": address(1), "zc": address(2)}, issuers
        )
        self.assertEqual(1.0, peers.reachable_zone_share())

    def test_next_one_replaces_an_issuer_that_is_down(self):
        peers = make_fleet(6)
        self.silence(peers, {1})
        self.assertEqual(address(4), peers.permit_issuer("zb"))

    def test_zone_that_cannot_be_reached_has_a_share_only(self):
        peers = make_fleet(6)
        self.silence(peers, {1, 4})
        self.assertEqual("10.0.0.100", peers.permit_issuer("zb"))
        self.assertAlmostEqual(2 / 3, peers.reachable_zone_share())


class FleetSizeTests(testtools.TestCase):

    def start_in_cut_zone(self, zone_size, fleet_size=0):
        """Returns the peers of an instance that hears its zone alone."""
        peers = fleet_peers.FleetPeers(
            "10.0.0.100", "za", ["10.0.0.1", "10.1.0.1"], zone_count=3
        )
        for number in range(1, zone_size):
            peers.record_message(
                f"10.0.0.{number}",
                f"i-{number}",
                "za",
                1,
                0.0,
                standing=messages.Standing(1.0, zone_size, fleet_size, ()),
            )
        return peers

    def test_start_in_cut_zone_does_not_take_shares_of_unheard_zones(self):
        self.assertEqual(9, self.start_in_cut_zone(3).likely_size)
        self.assertEqual(195, self.start_in_cut_zone(65).likely_size)

    def test_size_is_known_once_all_zones_are_heard_or_a_peer_tells_it(self):
        peers = self.start_in_cut_zone(3)
        self.assertFalse(peers.knows_size)
        peers.record_size(24)
        self.assertTrue(peers.knows_size)
        self.assertEqual(24, peers.likely_size)

    def test_starting_instance_learns_size_of_small_fleet_from_peers(self):
        self.assertEqual(12, self.start_in_cut_zone(3, 12).likely_size)

    def test_size_is_what_was_alive_once_all_zones_are_heard(self):
        peers = fleet_peers.FleetPeers("10.0.0.100", "za", [], zone_count=3)
        for number in range(7):
            deliver_message(peers, number)
        self.assertTrue(peers.knows_size)
        self.assertEqual(8, peers.likely_size)
