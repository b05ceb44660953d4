"""Tests of the probes of targets that have ended a connection."""

import queue
import socket
import time

import testtools

from catkintrail.adapters import target_probes
from tests import relaying as builders

WAIT_SECONDS = 5.0


class TargetProbesTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.results = queue.Queue()
        self.probes = target_probes.TargetProbes(
            builders.make_connector(),
            lambda target: self.results.put(target.name),
            time.monotonic,
        )
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.target = builders.make_target("e-1", address=f"127.0.0.1:{port}")

    def probe(self, target=None):
        self.probes.probe(
            target or self.target, lambda: self.results.put("refused")
        )

    def test_target_that_accepts_a_connection_lives_on(self):
        self.probe()
        self.assertEqual("e-1", self.results.get(timeout=WAIT_SECONDS))

    def test_target_that_refuses_connections_is_gone(self):
        self.listener.close()
        self.probe()
        self.assertEqual("refused", self.results.get(timeout=WAIT_SECONDS))

    def test_target_that_stops_listening_after_its_connections_is_gone(self):
        self.probe()
        self.listener.close()
        self.assertEqual("refused", self.results.get(timeout=WAIT_SECONDS))

    def test_address_that_cannot_be_looked_up_shows_nothing(self):
        self.probe(self.target._replace(name="e-2", address="none..x:1"))
        self.probe()
        self.assertEqual("e-1", self.results.get(timeout=WAIT_SECONDS))
        self.assertTrue(self.results.empty())

    def test_start_of_a_target_is_probed_once_in_a_while(self):
        for _ in range(5):
            self.probe()
        self.probe(self.target._replace(born=self.target.born + 1))
        for _ in range(2):
            self.results.get(timeout=WAIT_SECONDS)
        self.assertRaises(queue.Empty, self.results.get, timeout=0.5)
