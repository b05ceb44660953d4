"""The retry budget of whole fleets in virtual time, with restarts."""

import testtools

from tests import relaying as builders
from tests import virtual_fleet

SERVICE = "engines"
EXTRA = 460.0
WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.1
# Targets count a request later than the instance does.
ALLOWED_SHARE = 0.9


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
                fleet.restart(address)
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
            fleet.restart(address)
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
        fleet.restart(address)
        fleet.run(1.0)
        allowed = fleet.router(address).retry_usage(fleet.now)[SERVICE].allowed
        self.assertGreater(allowed, 0.7 * share)
