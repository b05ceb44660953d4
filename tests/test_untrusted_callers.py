"""Tests of processes whose callers do not keep to the protocol.

Such callers must not end or block a process, nor make it exceed its memory or
its descriptors. One crowd of callers per test; bounds and crowds are fixed.
"""

import json
import os
import pathlib
import socket
import ssl
import subprocess
import sys
import tempfile
import time
import urllib.request

import testtools

from tests import crowds
from tests import platform_standins
from tests import processes
from tests import test_processes
from tests import test_relay_processes

MEMORY_MB = 200
MAX_FDS = 1_000
# An instance has some 45 MB before, and 60 with all its threads.
MAX_MB_AFTERWARDS = 110
MAX_FDS_AFTERWARDS = 150
MAX_BODY_BYTES = 2 << 20
ANSWER_BYTES = 2 << 20
ANSWER_SECONDS = 15.0
LEAVE_SECONDS = 15.0
ENDLESS_CALLERS = 8
SHORT_CALLERS = 300
SLOW_READERS = 200
# Each process test has an address of its own: the metrics port is fixed.
IP = f"127.41.{os.getpid() % 250}.{os.getpid() // 250 % 250 + 1}"

HEAD = (
    b"POST /book/a HTTP/1.1\r\nHost: wells.example\r\nAttempt-Id: c\r\n"
    b"Authorization: Token key-1\r\nDeadline-Ms: 600000\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
HALF_HEAD = b"GET /metrics HTTP/1.1\r\nHost: a\r\n"
ENDLESS_CHUNK = b"fffffffffff\r\n"
ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * 4_096
MIXED_CHUNKS = b"1\r\nx\r\n2\r\nxx\r\n" * 2_048
TRAILER_LINES = b"X-A: b\r\n" * 64


class ProcessTestCase(testtools.TestCase):
    """Measures a process before, with and after a crowd."""

    max_mb = MEMORY_MB
    max_fds = MAX_FDS

    def is_answered(self):
        """Returns whether an ordinary request is answered with success."""
        raise NotImplementedError

    def connect_crowd(self, port, is_reading=True):
        crowd = crowds.Crowd((IP, port), is_reading)
        self.addCleanup(crowd.close)
        return crowd

    def check(self, process, *crowd_list, are_ended=False):
        """Runs a crowd; asserts that the process serves and keeps its limits.

        Args:
            process: The process.
            *crowd_list: The connected callers.
            are_ended: Whether all connections of the crowd have to be ended.
        """
        for started in crowd_list:
            started.run()
        is_served_during = self._is_answered_in_time()
        if are_ended:
            for endless in crowd_list:
                endless.read_ends(ANSWER_SECONDS)
        self.assertIsNone(process.poll(), "the process has exited")
        peak_mb, _, most_fds = crowds.read_figures(process.pid)
        ended = [crowd.ended for crowd in crowd_list]
        count = sum(crowd.count for crowd in crowd_list)
        sent_mb = sum(crowd.sent_bytes for crowd in crowd_list) >> 20
        for crowd in crowd_list:
            crowd.close()
        test_relay_processes.wait_until(
            lambda: self._has_recovered(process), LEAVE_SECONDS
        )
        is_served_after = self._is_answered_in_time()
        self.assertIsNone(process.poll(), "the process has exited")
        peak_mb, kept_mb, kept_fds = crowds.read_figures(process.pid)
        figures = (
            f"peak {peak_mb:.0f} MB, afterwards {kept_mb:.0f} MB, descriptors"
            f" {most_fds}, afterwards {kept_fds}, crowd sent {sent_mb} MB,"
            f" ended {ended} of {count}, ordinary requests answered during"
            f" {is_served_during}, after {is_served_after}"
        )
        print(f"{self.id()}: {figures}")
        self.assertLess(peak_mb, self.max_mb, figures)
        self.assertLess(kept_mb, MAX_MB_AFTERWARDS, figures)
        self.assertLess(most_fds, self.max_fds, figures)
        self.assertLess(kept_fds, MAX_FDS_AFTERWARDS, figures)
        self.assertTrue(is_served_during, figures)
        self.assertTrue(is_served_after, figures)
        if are_ended:
            self.assertEqual(count, sum(ended), figures)

    def _is_answered_in_time(self):
        return test_relay_processes.wait_until(self.is_answered, ANSWER_SECONDS)

    def _has_recovered(self, process):
        if process.poll() is not None:
            return True
        _, kept_mb, kept_fds = crowds.read_figures(process.pid)
        return kept_mb < MAX_MB_AFTERWARDS and kept_fds < MAX_FDS_AFTERWARDS


class RelayTestCase(ProcessTestCase, test_relay_processes.RelayProcessTestCase):
    """One instance of a small machine, with an engine and a plain service."""

    def setUp(self):
        super().setUp()
        spec = platform_standins.make_spec(2)
        spec["limits"]["max-body-bytes"] = MAX_BODY_BYTES
        spec["routes"][1]["timeout-ms"] = 60_000
        spec["services"][1]["max-conns"] = 1_000
        self.store.put("config", "main", spec)
        self.add_engine("e-0")
        self.desk = self.add_engine("d-0", "desk")
        self.store.put("servers", "d-0", self.desk.entry(slots=1_000))
        self.relay = self.start(IP, memory_mb=MEMORY_MB, max_fds=self.max_fds)
        # The limits of the configuration are in force after the next tick.
        time.sleep(1.0)
        self.assertTrue(self.is_answered())

    def is_answered(self):
        try:
            return self.relay.request("/ask/a", "r1")[0] == 200
        except (OSError, IndexError, ValueError):
            return False

    def front(self, is_reading=True):
        return self.connect_crowd(self.ports["front"], is_reading)

    def check_endless(self, start, block):
        crowd = self.front().add(ENDLESS_CALLERS, start, block, None)
        self.check(self.relay.process, crowd, are_ended=True)

    def check_short(self, start, block=b"", repeats=0):
        crowd = self.front().add(SHORT_CALLERS, start, block, repeats)
        self.check(self.relay.process, crowd)


class EndlessFramingTests(RelayTestCase):
    """Guards against framing that is read into memory, or read for ever."""

    def test_trailer_line(self):
        self.check_endless(CHUNKED + b"0\r\nX-A: ", crowds.BLOCK)

    def test_trailer_lines(self):
        self.check_endless(CHUNKED + b"0\r\n", TRAILER_LINES)

    def test_extension(self):
        self.check_endless(CHUNKED + b"5;a=", crowds.BLOCK)


class ShortBodyTests(RelayTestCase):
    """Guards against bodies that are never whole, and fill the memory."""

    def test_large_chunks(self):
        block = b"40000\r\n" + b"x" * (256 << 10) + b"\r\n"
        self.check_short(CHUNKED, block, MAX_BODY_BYTES // (256 << 10) - 1)

    def test_small_chunks(self):
        block = (b"200\r\n" + b"x" * 512 + b"\r\n") * 128
        self.check_short(CHUNKED, block, MAX_BODY_BYTES // (64 << 10) - 1)

    def test_one_chunk(self):
        repeats = MAX_BODY_BYTES // len(crowds.BLOCK) - 1
        start = CHUNKED + b"%x\r\n" % MAX_BODY_BYTES
        self.check_short(start, crowds.BLOCK, repeats)

    def test_length(self):
        repeats = MAX_BODY_BYTES // len(crowds.BLOCK) - 1
        self.check_short(LENGTH, crowds.BLOCK, repeats)


class TinyChunkTests(RelayTestCase):
    """Guards against chunks whose framing takes all the processor time."""

    def test_chunks_of_one_byte(self):
        self.check_short(CHUNKED, ONE_BYTE_CHUNKS, None)

    def test_chunks_of_one_and_two_bytes(self):
        self.check_short(CHUNKED, MIXED_CHUNKS, None)


class SlowReaderTests(RelayTestCase):
    """Guards against answers that wait for callers who do not read."""

    def test_large_answers(self):
        self.desk.answer = b"x" * ANSWER_BYTES
        crowd = self.front(is_reading=False)
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        crowd.add(SLOW_READERS, request, receive_bytes=4_096)
        self.check(self.relay.process, crowd)


class DescriptorTests(RelayTestCase):
    """Guards against connections that use up the descriptors."""

    max_fds = 400

    def test_connections_that_send_nothing(self):
        self.check_short(b"")

    def test_connections_that_are_kept_after_a_request(self):
        crowd = self.front(is_reading=False)
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        crowd.add(SHORT_CALLERS + SLOW_READERS, request)
        self.check(self.relay.process, crowd)


class MixedCrowdTests(RelayTestCase):
    """Guards against limits that hold alone and not together."""

    def test_all_together(self):
        self.desk.answer = b"x" * ANSWER_BYTES
        front = self.front()
        front.add(4, CHUNKED + b"0\r\nX-A: ", crowds.BLOCK, None)
        front.add(4, CHUNKED + b"0\r\n", TRAILER_LINES, None)
        front.add(4, CHUNKED + b"5;a=", crowds.BLOCK, None)
        front.add(50, CHUNKED, ONE_BYTE_CHUNKS, None)
        front.add(50, CHUNKED, MIXED_CHUNKS, None)
        repeats = MAX_BODY_BYTES // len(crowds.BLOCK) - 1
        front.add(100, LENGTH, crowds.BLOCK, repeats)
        start = CHUNKED + b"%x\r\n" % MAX_BODY_BYTES
        front.add(100, start, crowds.BLOCK, repeats)
        readers = self.front(is_reading=False)
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        readers.add(100, request, receive_bytes=4_096)
        self.check(self.relay.process, readers, front)


class OtherPortTests(RelayTestCase):
    """Guards against the same on the ports for peers, metrics and readiness."""

    port_names = ("ready", "control", "metrics")

    def is_answered(self):
        ports = {**self.ports, "metrics": 9464}
        for name, path in zip(
            self.port_names, ("/api/ready", "/metrics", "/metrics")
        ):
            url = f"http://{IP}:{ports[name]}{path}"
            try:
                with urllib.request.urlopen(url, timeout=5.0) as response:
                    if response.status != 200:
                        return False
            except OSError:
                return False
        return True

    def check_ports(self, count, start, block=b"", repeats=0):
        ports = {**self.ports, "metrics": 9464}
        crowd_list = [
            self.connect_crowd(ports[name]).add(count, start, block, repeats)
            for name in self.port_names
        ]
        self.check(self.relay.process, *crowd_list)

    def test_half_a_head(self):
        self.check_ports(100, HALF_HEAD)

    def test_endless_chunk(self):
        self.check_ports(
            ENDLESS_CALLERS, CHUNKED + ENDLESS_CHUNK, crowds.BLOCK, None
        )

    def test_endless_extension(self):
        self.check_ports(ENDLESS_CALLERS, CHUNKED + b"5;a=", crowds.BLOCK, None)


class EntryTestCase(ProcessTestCase):
    """One instance of the product's own interface."""

    has_tls = False

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.port, peer_port, platform_port = processes.free_ports(3)
        callers = {
            "port": self.port,
            "threads": 24,
            "max_body_bytes": MAX_BODY_BYTES,
        }
        if self.has_tls:
            paths = test_processes.make_certificates(directory.name)
            callers["certificate"] = paths["certificate"]
            callers["private_key"] = paths["private_key"]
        data = {
            "instance": {
                "name": "x1",
                "availability_zone": "x",
                "region": "r",
                "address": IP,
            },
            "callers": callers,
            "peers": {"port": peer_port, "secret": "0123456789abcdef"},
            "platform": {"url": f"http://127.0.0.1:{platform_port}"},
        }
        path = pathlib.Path(directory.name) / "x1.json"
        path.write_text(json.dumps(data))
        log = open(pathlib.Path(directory.name) / "log", "ab")
        self.addCleanup(log.close)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "catkintrail", "entry", "--settings", path],
            stdout=log,
            stderr=log,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.assertTrue(test_relay_processes.wait_until(self.is_answered))

    def is_answered(self):
        try:
            connection = socket.create_connection((IP, self.port), 5.0)
            if self.has_tls:
                context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
                context.check_hostname = False
                context.verify_mode = ssl.CERT_NONE
                connection = context.wrap_socket(connection)
            with connection:
                connection.sendall(
                    b"GET /healthz HTTP/1.1\r\nHost: a\r\n"
                    b"Connection: close\r\n\r\n"
                )
                received = test_relay_processes.read_all(connection)
        except OSError:
            return False
        return b" 200 " in received


class HandshakeTests(EntryTestCase):
    """Guards against TLS handshakes that stop midway and hold the port."""

    has_tls = True

    def test_half_handshakes(self):
        start = b"\x16\x03\x01\x02\x00\x01"
        crowd = self.connect_crowd(self.port).add(100, start)
        self.check(self.process, crowd)


class EntryBodyTests(EntryTestCase):
    """Guards against bodies that fill the memory or hold all threads."""

    def check_crowd(self, count, start, block, repeats):
        crowd = self.connect_crowd(self.port)
        crowd.add(count, start, block, repeats)
        self.check(self.process, crowd)

    def request(self, fields):
        return (
            b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"
        )

    def test_endless_chunk(self):
        start = self.request(b"Transfer-Encoding: chunked\r\n")
        self.check_crowd(
            ENDLESS_CALLERS, start + ENDLESS_CHUNK, crowds.BLOCK, None
        )

    def test_endless_extension(self):
        start = self.request(b"Transfer-Encoding: chunked\r\n")
        self.check_crowd(ENDLESS_CALLERS, start + b"5;a=", crowds.BLOCK, None)

    def test_bodies_that_stop_short(self):
        start = self.request(b"Content-Length: %d\r\n" % MAX_BODY_BYTES)
        repeats = MAX_BODY_BYTES // len(crowds.BLOCK) - 1
        self.check_crowd(SHORT_CALLERS, start, crowds.BLOCK, repeats)
