"""Loans of retries between the instances of a fleet, in virtual time."""

import testtools

from tests import relaying as builders
from tests import virtual_fleet

SERVICE = "engines"


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
            fleet.restart(address)
        fleet.run(12.0)
        retries = 0
        for actor in fleet.actors.values():
            while actor.acquire_retry(SERVICE):
                retries += 1
        self.assertLessEqual(retries, 460)
