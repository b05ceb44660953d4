"""Tests of the client of the own platform interface."""

import socket
import time

import testtools

from catkintrail import errors
from catkintrail.adapters import loops
from catkintrail.adapters import platform_client


class SilentPlatformTests(testtools.TestCase):

    # A change of the configuration is in force everywhere within this time.
    CONFIGURATION_SECONDS = 7.0

    def test_lost_watch_is_given_up_within_the_time_for_a_configuration(self):
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        client = platform_client.PlatformClient(
            f"http://127.0.0.1:{server.getsockname()[1]}", 1.0
        )
        started = time.monotonic()
        self.assertRaises(
            errors.PlatformUnavailableError,
            client.watch,
            "head",
            0,
            loops.WATCH_TIMEOUT_SECONDS,
        )
        self.assertLess(time.monotonic() - started, self.CONFIGURATION_SECONDS)
