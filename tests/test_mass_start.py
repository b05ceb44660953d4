"""Tests of the start of all instances at once, in virtual time."""

import testtools

from catkintrail.adapters import router_client
from catkintrail.core import request_router
from tests import relaying as builders
from tests import virtual_fleet

ZONES = 3
# Each instance gets requests for this long, from its start on.
OBSERVED_SECONDS = 0.3
INTERVAL_SECONDS = 0.1
POLL_SECONDS = 0.01


class MassStartTests(testtools.TestCase):
    """Guards against requests that wait for coordinators which are not up."""

    def start(self, size):
        """Returns the waits of requests, in seconds, by instance."""
        zones = {f"z{n}": size // ZONES for n in range(ZONES)}
        zones["z0"] += size % ZONES
        targets = [builders.make_target(f"e{n}") for n in range(90)]
        fleet = virtual_fleet.VirtualFleet(zones, targets)
        waits = {}

        def ask(address, number):
            if address not in fleet.actors:
                fleet.at(POLL_SECONDS, ask, address, number)
                return
            asked_at = fleet.now

            def record(result):
                self.assertIsInstance(result, request_router.Placement)
                waits.setdefault(address, []).append(fleet.now - asked_at)
                fleet.finish(address, f"{address}-{number}", result.target.name)

            fleet.place(address, f"{address}-{number}", then=record)
            if number * INTERVAL_SECONDS < OBSERVED_SECONDS:
                fleet.at(INTERVAL_SECONDS, ask, address, number + 1)

        addresses = [a for zone in zones for a in fleet.members(zone)]
        for address in addresses:
            ask(address, 0)
        fleet.run(0.3 + OBSERVED_SECONDS + 0.1)
        self.assertEqual(set(addresses), set(waits))
        return waits

    def check(self, size):
        for address, seconds in self.start(size).items():
            self.assertEqual(4, len(seconds), address)
            # At its start an instance places requests itself.
            self.assertLess(seconds[0], POLL_SECONDS, address)
            # Later it asks coordinators that were heard.
            self.assertLess(
                max(seconds), router_client.PEER_TIMEOUT_SECONDS, address
            )

    def test_small_fleet_places_requests_at_once(self):
        self.check(8)

    def test_fleet_of_90_places_requests_at_once(self):
        self.check(90)

    def test_fleet_of_195_places_requests_at_once(self):
        self.check(195)
