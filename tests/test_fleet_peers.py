import random

import testtools

from catkintrail.core import fleet_peers

ZONES = ("za", "zb", "zc")


def make_fleet(count, seeds=()):
    """The peers that 10.0.0.100 of zone za knows."""
    peers = fleet_peers.FleetPeers("10.0.0.100", "za", list(seeds))
    for number in range(count):
        hear(peers, number)
    return peers


def address(number):
    return f"10.0.{number % 3}.{number + 101}"


def hear(peers, number, now=0.0, has_store=True, incarnation=1):
    zone = ZONES[number % 3]
    return peers.hear(
        address(number), f"i-{number}", zone, incarnation, now, has_store
    )


class LivenessTests(testtools.TestCase):

    def test_peer_that_misses_heartbeats_is_down_until_heard(self):
        peers = make_fleet(1)
        for _ in range(3):
            peers.greet(0.0, random.Random(1))
        self.assertEqual(1, len(peers.alive()))
        peers.greet(0.0, random.Random(1))
        self.assertEqual([], peers.alive())
        self.assertEqual("back", hear(peers, 0))
        self.assertEqual(1, len(peers.alive()))

    def test_new_start_is_noticed(self):
        peers = make_fleet(1)
        self.assertEqual("restarted", hear(peers, 0, incarnation=2))
        self.assertEqual("", hear(peers, 0, incarnation=2))

    def test_silent_peer_is_forgotten(self):
        peers = make_fleet(1)
        peers.greet(21.0, random.Random(1))
        self.assertEqual({}, peers.peers)

    def test_seeds_are_asked_always_and_told_addresses_until_heard(self):
        peers = make_fleet(0, seeds=["10.0.0.1", "10.0.0.100"])
        peers.learn("10.0.0.2", 0.0)
        greeted = peers.greet(0.0, random.Random(1))
        self.assertEqual(["10.0.0.1", "10.0.0.2"], greeted)
        self.assertEqual([], peers.alive())


class WatcherTests(testtools.TestCase):

    def test_every_instance_of_a_small_fleet_watches(self):
        # Seed: soak 17: the watchers' own paths to the store were silent
        # while a target left; an instance that the store answered sent to it
        # for 2.9 s.
        for number in range(8):
            peers = fleet_peers.FleetPeers(address(number), "za", [])
            for other in range(8):
                if other != number:
                    hear(peers, other)
            self.assertLess(peers.watch_rank(), peers.watchers())

    def test_a_large_fleet_has_two_watchers_a_zone(self):
        for count in (60, 300):
            self.assertEqual(2, make_fleet(count).watchers())


class LargeFleetTests(testtools.TestCase):

    def test_greetings_do_not_grow_with_the_fleet(self):
        for count in (60, 300):
            greeted = make_fleet(count).greet(0.0, random.Random(1))
            self.assertLessEqual(len(greeted), 12)

    def test_small_fleet_greets_all(self):
        greeted = make_fleet(8).greet(0.0, random.Random(1))
        self.assertEqual(8, len(greeted))

    def test_one_live_gateway_in_each_other_zone(self):
        peers = make_fleet(60)
        self.assertEqual([address(1), address(2)], peers.gateways())
        for _ in range(4):
            peers.greet(0.0, random.Random(1))
        self.assertNotIn(address(1), peers.gateways())

    def test_next_one_watches_when_the_first_is_down_or_without_store(self):
        peers = fleet_peers.FleetPeers("10.0.0.110", "za", [])
        for number in (0, 3, 6):
            hear(peers, number)
        self.assertEqual(3, peers.watch_rank())
        hear(peers, 0, has_store=False)
        self.assertEqual(2, peers.watch_rank())
        for _ in range(4):
            peers.greet(0.0, random.Random(1))
        self.assertEqual(0, peers.watch_rank())
