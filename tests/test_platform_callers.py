"""Callers' connections over loopback."""

import contextlib
import socket
import threading
import time

import testtools
from testtools import matchers

from catkintrail.adapters import caller_watch
from catkintrail.core import route_table
from catkintrail.platform import callers
from tests import processes

HEAD = (
    b"POST /ask/a?x=1 HTTP/1.1\r\nHost: wells.example\r\n"
    b"Attempt-Id: r1\r\nDeadline-Ms: 900\r\nToken-Counts: 1460,80\r\n"
    b"Authorization: Token key-1\r\n"
)
LIMITS = route_table.CallerLimits(2_000, 5_000, 600, 15_000)


class CallerServerTestCase(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.requests = []
        self.handler = self.answer
        self.watch = caller_watch.CallerWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)
        self.port = processes.free_ports(1)[0]
        self.server = callers.CallerServer(
            f"127.0.0.1:{self.port}",
            (4, 12),
            self.pass_on,
            self.watch,
            time.monotonic,
        )
        self.server.apply_limits(LIMITS)
        self.server.start()
        self.addCleanup(self.server.stop, 0.1)

    def pass_on(self, request, reply, caller):
        self.handler(request, reply, caller)

    def answer(self, request, reply, caller):
        self.requests.append(request)
        reply.start(200, (("Engine-Stamp", "s"),), 2)
        reply.write(b"ok")

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), 5.0)
        self.addCleanup(connection.close)
        return connection

    def ask(self, data, connection=None):
        connection = connection or self.connect()
        connection.sendall(data)
        return self.read(connection)

    def read(self, connection):
        got = b""
        while b"\r\n\r\n" not in got:
            part = connection.recv(65536)
            if not part:
                return got
            got += part
        head, _, body = got.partition(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.split(b":")[1])
                while len(body) < size:
                    body += connection.recv(65536)
        return head + b"\r\n\r\n" + body


class RequestTests(CallerServerTestCase):

    def test_request_is_decoded(self):
        self.ask(HEAD + b"Content-Length: 4\r\n\r\nbody")
        request = self.requests[0]
        self.assertEqual("/ask/a?x=1", request.uri)
        self.assertEqual("key-1", request.api_key)
        self.assertEqual(
            (900.0, 1460, 80), (request.deadline_ms, *request[8:10])
        )
        self.assertEqual(b"body", request.body)

    def test_kept_connection_serves_many_requests(self):
        connection = self.connect()
        for _ in range(3):
            got = self.ask(HEAD + b"Content-Length: 1\r\n\r\nx", connection)
            self.assertTrue(got.endswith(b"ok"), got)
        self.assertEqual(3, len(self.requests))

    def test_chunks_and_trailers_are_read_to_their_end(self):
        connection = self.connect()
        body = b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n"
        for _ in range(2):
            head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            got = self.ask(head + body, connection)
            self.assertIn(b" 200 ", got)
        self.assertEqual([b"abcde"] * 2, [r.body for r in self.requests])


class MalformedTests(CallerServerTestCase):

    def refused(self, data, status=b" 400 "):
        got = self.ask(data)
        self.assertIn(status, got)
        self.assertEqual([], self.requests)

    def test_two_lengths(self):
        self.refused(
            HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    def test_length_twice(self):
        self.refused(
            HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!"
        )

    def test_length_that_is_no_number(self):
        self.refused(HEAD + b"Content-Length: +4\r\n\r\nbody")

    def test_space_before_the_colon(self):
        self.refused(HEAD + b"Content-Length : 4\r\n\r\nbody")

    def test_bare_line_feed(self):
        self.refused(HEAD + b"X-A: 1\nX-B: 2\r\n\r\n")

    def test_bare_carriage_return(self):
        self.refused(HEAD + b"X-A: 1\rX-B: 2\r\n\r\n")

    def test_continued_line(self):
        self.refused(HEAD + b"X-A: 1\r\n more\r\n\r\n")

    def test_long_body(self):
        self.refused(HEAD + b"Content-Length: 6000\r\n\r\n", b" 413 ")

    def test_long_chunked_body(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"7d0\r\n" + b"x" * 2_000 + b"\r\n"
        self.refused(head + chunk * 4 + b"0\r\n\r\n", b" 413 ")

    def test_long_head(self):
        self.refused(HEAD + b"X-A: " + b"a" * 3_000 + b"\r\n\r\n", b" 413 ")


class SlowCallerTests(CallerServerTestCase):
    """Callers that send little by little do not hold a thread for long."""

    def trickle(self, connection, data):
        started = time.monotonic()
        connection.settimeout(0.1)
        for number in range(100):
            # The far end may close while we send.
            with contextlib.suppress(OSError):
                connection.sendall(data[number : number + 1])
            try:
                got = connection.recv(65536)
                return got, time.monotonic() - started
            except TimeoutError:
                continue
        return b"", time.monotonic() - started

    def test_head_that_takes_too_long(self):
        got, seconds = self.trickle(self.connect(), HEAD)
        self.assertIn(b" 408 ", got)
        self.assertThat(seconds, matchers.LessThan(2.0))

    def test_connection_on_which_nothing_comes(self):
        connection = self.connect()
        started = time.monotonic()
        self.read(connection)
        seconds = time.monotonic() - started
        self.assertThat(seconds, matchers.LessThan(2.0))

    def test_body_that_takes_too_long(self):
        connection = self.connect()
        # The caller waits for 900 ms in all.
        connection.sendall(HEAD + b"Content-Length: 1000\r\n\r\n")
        got, seconds = self.trickle(connection, b"x" * 100)
        self.assertIn(b" 408 ", got)
        self.assertThat(seconds, matchers.LessThan(2.0))
        self.assertEqual([], self.requests)

    def test_kept_connection_may_rest_for_longer(self):
        connection = self.connect()
        self.ask(HEAD + b"Content-Length: 0\r\n\r\n", connection)
        time.sleep(1.2)
        got = self.ask(HEAD + b"Content-Length: 0\r\n\r\n", connection)
        self.assertIn(b" 200 ", got)


class RefusalLogTests(CallerServerTestCase):
    """Each request that is refused unread leaves a line."""

    def test_every_refusal_is_logged(self):
        for data, status in (
            (b"nonsense\r\n\r\n", 400),
            (HEAD + b"X-A: " + b"a" * 3_000 + b"\r\n\r\n", 413),
            (HEAD + b"Content-Length: 6000\r\n\r\n", 413),
            (HEAD + b"Content-Length: +4\r\n\r\n", 400),
            (b"POST /a HTTP/2.0\r\n\r\n", 505),
        ):
            with self.assertLogs("catkintrail.callers") as logs:
                self.ask(data)
            found = [
                line for line in logs.records if line.msg == "request_malformed"
            ]
            self.assertEqual([status], [line.status for line in found])
            self.assertNotEqual("", found[0].reason)


class EndTests(CallerServerTestCase):

    def test_own_answers_name_the_request(self):
        got = self.ask(HEAD + b"Content-Length: 0\r\n\r\n")
        self.assertIn(b"Attempt-Id: r1\r\n", got)

    def test_cut_answer_is_seen_to_be_cut(self):
        def cut(request, reply, caller):
            reply.start(200, (), None)
            reply.write(b"half")
            reply.abort()

        self.handler = cut
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        got = b""
        while part := connection.recv(65536):
            got += part
        self.assertIn(b"half", got)
        self.assertNotIn(b"0\r\n\r\n", got)

    def test_handler_learns_that_the_caller_left(self):
        seen = threading.Event()

        def wait(request, reply, caller):
            caller.attach(seen.set)
            seen.wait(5.0)

        self.handler = wait
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.1)
        self.assertFalse(seen.is_set())
        connection.close()
        self.assertTrue(seen.wait(2.0))


class ThreadTests(CallerServerTestCase):

    def test_more_requests_than_first_threads_are_served_together(self):
        waiting = threading.Barrier(9)

        def wait(request, reply, caller):
            waiting.wait(5.0)
            self.answer(request, reply, caller)

        self.handler = wait
        connections = [self.connect() for _ in range(8)]
        for connection in connections:
            connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.2)
        self.assertEqual(4, waiting.n_waiting)
        self.server.add_threads()
        waiting.wait(5.0)
        for connection in connections:
            self.assertIn(b" 200 ", self.read(connection))

    def test_threads_are_not_added_before_the_start(self):
        server = callers.CallerServer(
            f"127.0.0.1:{processes.free_ports(1)[0]}",
            (4, 12),
            self.pass_on,
            self.watch,
            time.monotonic,
        )
        server.add_threads()
        server.start()
        self.addCleanup(server.stop, 0.1)


class DrainTests(CallerServerTestCase):

    def test_connection_closes_after_its_answer(self):
        connection = self.connect()
        self.ask(HEAD + b"Content-Length: 0\r\n\r\n", connection)
        self.server.is_draining = True
        got = self.ask(HEAD + b"Content-Length: 0\r\n\r\n", connection)
        self.assertIn(b"connection: close", got.lower())
        self.assertEqual(b"", connection.recv(1))

    def test_stop_finishes_what_was_taken_and_takes_no_more(self):
        # Seed: Thumbloop, mix 528053572200: where all instances of a zone
        # drained, callers kept coming and were cut at the end.
        def slow(request, reply, caller):
            time.sleep(1.0)
            self.answer(request, reply, caller)

        self.handler = slow
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.1)
        stopping = threading.Thread(target=self.server.stop, args=(5.0,))
        stopping.start()
        time.sleep(0.7)
        self.assertRaises(OSError, self.connect)
        self.assertIn(b" 200 ", self.read(connection))
        stopping.join(3.0)
        self.assertFalse(stopping.is_alive())
