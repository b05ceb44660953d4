"""Tests of requests that are restricted to the targets of some regions."""

import random
import socket
import time

import testtools

from catkintrail import verdict as verdicts
from catkintrail.adapters import peer_tunnels
from catkintrail.adapters import target_connector
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.core.zones import regions
from catkintrail.platform import boot
from catkintrail.platform import wire
from tests import platform_standins
from tests import relaying as builders
from tests import test_relay_processes as process_tests
from tests import virtual_fleet

ZONES = (("za", "north"), ("zb", "north"), ("zc", "south"))
REGIONS = regions.ZoneRegions(ZONES, "north")


def make_configuration(route_regions=None, organisation_regions=None):
    configuration = builders.make_configuration()
    holder = route_table.Organisation("guild", None, organisation_regions)
    return configuration._replace(
        routes=tuple(
            route._replace(allowed_regions=route_regions)
            for route in configuration.routes
        ),
        organisations={"key-1": holder},
    )


class RegionTests(testtools.TestCase):

    def test_both_restrictions_apply(self):
        for first, second, both in (
            (None, None, None),
            (("north",), None, ("north",)),
            (None, ("south",), ("south",)),
            (("north", "south"), ("south", "east"), ("south",)),
            (("north",), ("south",), ()),
        ):
            self.assertEqual(both, regions.combine(first, second))

    def test_zone_without_a_region_is_in_none(self):
        self.assertTrue(REGIONS.is_allowed("odd", None))
        self.assertFalse(REGIONS.is_allowed("odd", ("north",)))
        self.assertFalse(REGIONS.is_allowed("odd", ("",)))

    def test_body_goes_to_allowed_regions_and_the_own_one(self):
        self.assertIsNone(REGIONS.carrier_zones(None))
        self.assertEqual({"za", "zb", "zc"}, REGIONS.carrier_zones(("south",)))
        self.assertEqual({"za", "zb"}, REGIONS.carrier_zones(("north",)))

    def test_regions_without_zones_are_found(self):
        configuration = make_configuration(("north",), ("east", "south"))
        self.assertEqual(
            [("organisation guild", "east")],
            regions.find_empty_regions(configuration, REGIONS),
        )


class DecodingTests(testtools.TestCase):

    def decode(self, value):
        spec = platform_standins.make_spec(1)
        spec["routes"][0]["allowed-regions"] = value
        spec["tenants"][0]["allowed-regions"] = value
        configuration = wire.decode_configuration(spec)
        holder = configuration.organisations["key-1"]
        self.assertIsNone(configuration.routes[1].allowed_regions)
        self.assertEqual(
            configuration.routes[0].allowed_regions, holder.allowed_regions
        )
        return holder.allowed_regions

    def test_restrictions_are_decoded(self):
        self.assertEqual(("north", "south"), self.decode(["north", "south"]))
        self.assertIsNone(self.decode(None))

    def test_malformed_restriction_allows_nothing_and_harms_no_other(self):
        for odd in ("north", [1], [""], {"north": 1}, 7, []):
            self.assertEqual((), self.decode(odd))

    def test_settings_state_the_regions(self):
        names = platform_standins.PORT_NAMES
        text = platform_standins.make_settings(
            "a", "10.0.0.1", dict.fromkeys(names, 7000), (), "10.0.0.9:1"
        )
        zones = '[zones]\nza = "north"\nzb = 7\nzc = "south"\n'
        settings = boot.parse_settings(
            'region = "north"\n' + text + zones, "settings"
        )
        self.assertEqual(3, settings.zone_count)
        self.assertEqual(
            (("za", "north"), ("zc", "south")), settings.regions.zones
        )
        self.assertEqual("north", settings.regions.own_region)
        settings = boot.parse_settings(text + zones, "settings")
        self.assertEqual("north", settings.regions.own_region)
        settings = boot.parse_settings(text, "settings")
        self.assertEqual(regions.ZoneRegions(), settings.regions)


class ChoiceTests(testtools.TestCase):

    def place(self, path, configuration, tokens=0, per_zone=2):
        targets = [
            builders.make_target(f"e-{10 * z + n}", service, zone=zone)
            for z, (zone, _) in enumerate(ZONES)
            for n in range(per_zone)
            for service in (("desk" if path == "/book/a" else "engines"),)
        ]
        router = builders.make_router(
            targets, configuration=configuration, regions=REGIONS
        )
        admission = router.admit("wells.example", path, "key-1", 100.0)
        request = request_router.PlacementRequest(
            "k", admission, tokens, 100, 0.0, frozenset(), False
        )
        return router.place(request, 100.0)

    def test_requests_go_to_the_allowed_region_only(self):
        for path, tokens in (("/book/a", 0), ("/ask/a", 5_000)):
            for configuration in (
                make_configuration(("south",)),
                make_configuration(None, ("south",)),
                make_configuration(("north", "south"), ("south",)),
            ):
                placement = self.place(path, configuration, tokens)
                self.assertEqual("zc", placement.target.availability_zone)

    def test_parts_of_divided_prompts_stay_in_the_region(self):
        placement = self.place(
            "/ask/a", make_configuration(("south",)), 500_000, per_zone=6
        )
        self.assertEqual(
            {"zc"}, {t.availability_zone for t in placement.helpers}
        )

    def test_request_without_an_allowed_target_is_refused_at_once(self):
        for configuration in (
            make_configuration(("east",)),
            make_configuration(("north",), ("south",)),
            make_configuration(()),
        ):
            refusal = self.place("/book/a", configuration)
            self.assertEqual(verdicts.Reason.NO_TARGET, refusal.reason)
            self.assertIs(verdicts.Verdict.NOT_RUN, refusal.verdict)
            self.assertGreater(refusal.retry_after_seconds, 0.0)


class FleetTests(testtools.TestCase):
    """Coordinators that choose for others, and may know other settings."""

    def test_restriction_holds_for_requests_that_a_coordinator_places(self):
        sizes = {"za": 8, "zb": 8, "zc": 8}
        targets = [
            builders.make_target(f"e-{n}", zone=zone)
            for n, (zone, _) in enumerate(ZONES)
        ]
        for own_regions in (REGIONS, regions.ZoneRegions()):
            fleet = virtual_fleet.VirtualFleet(
                sizes,
                targets,
                configuration=make_configuration(("south",)),
                regions=REGIONS,
            )
            fleet.run(5.0)
            for address in fleet.members("za")[:2]:
                # A coordinator whose settings are older knows no regions.
                router = fleet.router(address)
                settings = router.settings._replace(regions=own_regions)
                router.apply_settings(settings)
            fleet.renew_proofs()
            results = []
            for number in range(6):
                address = fleet.members("za")[-1 - number % 3]
                fleet.place(address, f"k{number}", then=results.append)
            fleet.run(0.3)
            placed = [
                result.target.availability_zone
                for result in results
                if isinstance(result, request_router.Placement)
            ]
            self.assertEqual(6, len(results))
            self.assertEqual(set(placed) | {"zc"}, {"zc"})
            if own_regions is REGIONS:
                self.assertEqual(6, len(placed))


class CarrierTests(testtools.TestCase):
    """Peers that carry connections, and thus see bodies."""

    def setUp(self):
        super().setUp()
        self.asked = []
        self.connector = target_connector.TargetConnector(
            time.monotonic, random.Random(1), "za"
        )
        self.connector.peers = (
            builders.make_peer_address("10.0.0.2", "zb"),
            builders.make_peer_address("10.0.0.3", "zc"),
        )
        self.patch(peer_tunnels, "open_tunnel", self.open_tunnel)
        self.patch(self.connector, "_connect_directly", self.refuse)

    def open_tunnel(self, peer, port, target, timeout_seconds):
        self.asked.append(peer)

    def refuse(self, target, timeout_seconds):
        raise ConnectionRefusedError("refused")

    def test_only_peers_in_allowed_zones_carry_a_connection(self):
        target = builders.make_target("e-1", zone="zc")
        for zones, asked in (
            (None, ["10.0.0.2", "10.0.0.3"]),
            (frozenset({"zc"}), ["10.0.0.3"]),
            (frozenset(), []),
        ):
            self.asked.clear()
            self.assertRaises(
                ConnectionRefusedError,
                self.connector.connect,
                target,
                1.0,
                zones,
            )
            self.assertEqual(asked, sorted(self.asked))

    def test_kept_connection_through_another_peer_is_not_used_again(self):
        ends = socket.socketpair()
        self.addCleanup(ends[1].close)
        tunnel = peer_tunnels.TunnelSocket(ends[0], "10.0.0.2")
        self.addCleanup(tunnel.close)
        target = builders.make_target("e-1", zone="zc")
        self.patch(
            self.connector._paths, "prefers_peer", lambda name, now: True
        )
        self.assertTrue(self.connector.may_reuse(target, tunnel))
        allowed = frozenset({"zb", "zc"})
        self.assertTrue(self.connector.may_reuse(target, tunnel, allowed))
        other = frozenset({"zc"})
        self.assertFalse(self.connector.may_reuse(target, tunnel, other))


class ProcessTests(process_tests.RelayProcessTestCase):

    def test_restricted_requests_reach_only_the_allowed_region(self):
        spec = platform_standins.make_spec(2)
        spec["routes"][0]["allowed-regions"] = ["south"]
        spec["routes"][1]["allowed-regions"] = ["east"]
        self.store.put("config", "main", spec)
        targets = {}
        for zone in ("za", "zc"):
            for service in ("engines", "desk"):
                target = platform_standins.Engine(f"{service}-{zone}", service)
                self.addCleanup(target.close)
                targets[target.name] = target
                self.store.put("servers", target.name, target.entry(zone=zone))
        tables = '[zones]\nza = "north"\nzc = "south"\n'
        ip = "127.0.8.1"
        relay = self.start(ip, seeds=(ip,), tables=tables)
        for number in range(6):
            self.assertEqual(200, relay.request("/ask/a", f"a{number}")[0])
            status, received = relay.request("/book/a", f"b{number}")
            self.assertEqual(503, status)
            self.assertIn(b"Retry-After", received)
        counts = {name: len(t.runs) for name, t in targets.items()}
        self.assertEqual(6, counts.pop("engines-zc"))
        self.assertEqual({0}, set(counts.values()))
        events = {line["event"] for line in relay.read_log_lines()}
        self.assertIn("region_without_zones", events)
