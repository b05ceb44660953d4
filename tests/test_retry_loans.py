"""Extra retries of fleets with restarts, and loans of them."""

import testtools

from tests import relaying as builders
from tests import virtual_fleet

SERVICE = "engines"
EXTRA = 460.0
WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.1
# Targets count a request later than the instance does.
ALLOWED_SHARE = 0.9


class LoanFleetTests(testtools.TestCase):

    def usable_retries(self, fleet):
        return sum(
            fleet.router(address).retry_usage(fleet.now)[SERVICE].allowed
            for address in fleet.actors
        )

    def start(self, zone_sizes):
        fleet = virtual_fleet.VirtualFleet(
            zone_sizes, [builders.make_target("e-1")]
        )
        fleet.run(1.0)
        for address in fleet.actors:
            fleet.router(address).retry_budget(SERVICE)
        fleet.run(20.0)
        return fleet

    def test_calm_large_fleet_does_not_lend_to_running_instances(self):
        fleet = self.start({"za": 20, "zb": 20, "zc": 19})
        fleet.run(60.0)
        self.assertAlmostEqual(0.8 * 460.0, self.usable_retries(fleet), 1)

    def test_healed_cut_does_not_make_running_instances_lend(self):
        fleet = self.start({"za": 3, "zb": 3, "zc": 2})
        fleet.cut_zones.add("za")
        fleet.run(25.0)
        fleet.cut_zones.clear()
        fleet.run(2.0)
        self.assertAlmostEqual(0.8 * 460.0, self.usable_retries(fleet), 1)

    def test_restart_in_the_smaller_cut_zone_does_not_exceed_the_bound(self):
        fleet = self.start({"za": 4, "zb": 20})
        fleet.cut_zones.add("za")
        for address in fleet.members("za"):
            fleet.restart(address, 0.0)
        fleet.run(12.0)
        retries = 0
        for actor in fleet.actors.values():
            while actor.acquire_retry(SERVICE):
                retries += 1
        self.assertLessEqual(retries, 460)


class RestartTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.retries = []

    def start(self, zone_sizes):
        """Starts a fleet of which all instances send all retries they may."""
        fleet = virtual_fleet.VirtualFleet(
            zone_sizes, [builders.make_target("e-1")]
        )
        fleet.run(1.0)
        self.retries.clear()

        def send():
            for address, actor in list(fleet.actors.items()):
                if address in fleet.stopped:
                    continue
                while actor.acquire_retry(SERVICE):
                    self.retries.append(fleet.now)
            fleet.at(STEP_SECONDS, send)

        fleet.at(0.0, send)
        return fleet

    def check_every_window(self):
        for start in sorted(set(self.retries)):
            end = start + WINDOW_SECONDS
            count = sum(start <= at <= end for at in self.retries)
            self.assertLessEqual(count, ALLOWED_SHARE * EXTRA, start)

    def restart_in_series(self, zone_sizes, share, gap_seconds):
        fleet = self.start(zone_sizes)
        fleet.run(2 * WINDOW_SECONDS)
        addresses = sorted(fleet.actors)
        for _ in range(6):
            for address in addresses[: max(1, int(len(addresses) * share))]:
                fleet.restart(address, 0.0)
            fleet.run(gap_seconds)
        self.check_every_window()

    def test_kills_in_series_do_not_exceed_the_bound(self):
        for sizes in ({"za": 2, "zb": 2, "zc": 2}, {"za": 12, "zb": 12}):
            for share in (0.0, 0.5, 1.0):
                for gap_seconds in (0.7, 4.0, 11.0):
                    self.restart_in_series(sizes, share, gap_seconds)

    def test_restart_inside_a_zone_cut_does_not_exceed_the_bound(self):
        fleet = self.start({"za": 4, "zb": 2, "zc": 2})
        fleet.run(2 * WINDOW_SECONDS)
        fleet.cut_zones.add("za")
        for address in fleet.members("za"):
            fleet.restart(address, 0.0)
        fleet.run(3 * WINDOW_SECONDS)
        fleet.cut_zones.clear()
        fleet.run(2 * WINDOW_SECONDS)
        self.check_every_window()

    def test_calm_fleet_lends_retries_to_an_instance_that_restarts(self):
        fleet = virtual_fleet.VirtualFleet(
            {"za": 3, "zb": 3, "zc": 2}, [builders.make_target("e-1")]
        )
        fleet.run(1.0)
        for address in fleet.actors:
            fleet.router(address).retry_budget(SERVICE)
        fleet.run(2 * WINDOW_SECONDS)
        address = sorted(fleet.actors)[-1]
        share = fleet.router(address).retry_usage(fleet.now)[SERVICE].allowed
        fleet.restart(address, 0.0)
        fleet.run(1.0)
        allowed = fleet.router(address).retry_usage(fleet.now)[SERVICE].allowed
        self.assertGreater(allowed, 0.7 * share)
