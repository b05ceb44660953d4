"""Tests of the server for callers, over loopback connections."""

import contextlib
import socket
import threading
import time
from unittest import mock

import testtools
from testtools import matchers

from catkintrail import errors
from catkintrail.adapters import caller_watch
from catkintrail.core import route_table
from catkintrail.platform import caller_requests
from catkintrail.platform import callers
from tests import processes
from tests import waits

HEAD = (
    b"POST /ask/a?x=1 HTTP/1.1\r\nHost: wells.example\r\n"
    b"Attempt-Id: r1\r\nDeadline-Ms: 900\r\nToken-Counts: 1460,80\r\n"
    b"Authorization: Token key-1\r\n"
)
LIMITS = route_table.CallerLimits(2_000, 5_000, 600, 15_000)


class CallerServerTestCase(testtools.TestCase):

    # None if no configuration is known.
    limits = LIMITS

    def setUp(self):
        super().setUp()
        self.requests = []
        self.handler = self.send_ok
        self.watch = caller_watch.DisconnectWatcher()
        self.watch.start()
        self.addCleanup(self.watch.stop)
        self.port = processes.free_ports(1)[0]
        self.server = self.make_server()
        self.server.start()
        self.addCleanup(self.server.stop, 0.1)

    def make_server(self):
        server = callers.CallerServer(
            f"127.0.0.1:{self.port}",
            (4, 12),
            self.call_handler,
            self.watch,
            time.monotonic,
        )
        if self.limits is not None:
            server.apply_limits(self.limits)
        return server

    def call_handler(self, request, writer, caller):
        self.handler(request, writer, caller)

    def send_ok(self, request, writer, caller):
        self.requests.append(request)
        writer.start(200, (("Engine-Stamp", "s"),), 2)
        writer.write(b"ok")

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), 5.0)
        self.addCleanup(connection.close)
        return connection

    def send_and_read(self, data, connection=None):
        connection = connection or self.connect()
        connection.sendall(data)
        return self.read_response(connection)

    def delay_selector(self, *delays):
        """Makes the selector slow, as on a busy machine.

        Args:
            *delays: Seconds that each of the next connections takes.
        """
        process = self.server._server.process_conn
        remaining = list(delays)

        def process_slowly(connection):
            process(connection)
            if remaining:
                time.sleep(remaining.pop())

        self.server._server.process_conn = process_slowly

    def read_response(self, connection):
        response = b""
        while b"\r\n\r\n" not in response:
            part = connection.recv(65536)
            if not part:
                return response
            response += part
        head, _, body = response.partition(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.split(b":")[1])
                while len(body) < size:
                    body += connection.recv(65536)
        return head + b"\r\n\r\n" + body


class RequestTests(CallerServerTestCase):

    def test_request_is_decoded(self):
        self.send_and_read(HEAD + b"Content-Length: 4\r\n\r\nbody")
        request = self.requests[0]
        self.assertEqual("/ask/a?x=1", request.uri)
        self.assertEqual("key-1", request.api_key)
        self.assertEqual(
            (900.0, 1460, 80), (request.deadline_ms, *request[8:10])
        )
        self.assertEqual(b"body", request.body)

    def test_persistent_connection_serves_several_requests(self):
        connection = self.connect()
        for _ in range(3):
            response = self.send_and_read(
                HEAD + b"Content-Length: 1\r\n\r\nx", connection
            )
            self.assertTrue(response.endswith(b"ok"), response)
        self.assertEqual(3, len(self.requests))

    def test_chunked_body_and_trailers_are_consumed(self):
        connection = self.connect()
        body = b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n"
        for _ in range(2):
            head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            response = self.send_and_read(head + body, connection)
            self.assertIn(b" 200 ", response)
        self.assertEqual([b"abcde"] * 2, [r.body for r in self.requests])


class StopTests(CallerServerTestCase):
    """Requests that are read after the server has begun to stop."""

    # The requests have a deadline of 0.9 s.
    TOO_SHORT_SECONDS = 0.5

    def stop(self, seconds=TOO_SHORT_SECONDS):
        threading.Thread(
            target=self.server.stop, args=(seconds,), daemon=True
        ).start()

    def check_refused(self, response):
        self.assertIn(b" 503 ", response)
        self.assertIn(b"draining", response)
        self.assertIn(b"retry-after: ", response.lower())
        self.assertIn(b"connection: close", response.lower())
        self.assertIn(b"attempt-id: r1", response.lower())
        self.assertEqual([], self.requests)

    def test_request_whose_last_bytes_come_after_the_stop_is_refused(self):
        # Guards against requests that are taken too late to be finished.
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 4\r\n\r\nbo")
        time.sleep(0.2)
        self.stop()
        time.sleep(0.2)
        self.check_refused(self.send_and_read(b"dy", connection))

    def test_request_that_ends_in_time_is_served_during_the_stop(self):
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 4\r\n\r\nbo")
        time.sleep(0.2)
        self.stop(5.0)
        time.sleep(0.2)
        response = self.send_and_read(b"dy", connection)
        self.assertIn(b" 200 ", response)
        self.assertIn(b"connection: close", response.lower())

    def test_request_that_waits_for_a_thread_during_the_stop_is_refused(self):
        # Guards against requests that are taken too late to be finished.
        release = threading.Event()

        def wait(request, writer, caller):
            release.wait(5.0)
            writer.start(200, (), 2)
            writer.write(b"ok")

        self.handler = wait
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        busy = [self.connect() for _ in range(12)]
        for connection in busy:
            connection.sendall(request)
            self.server.add_threads()
        deadline = time.monotonic() + 5.0
        while self.server.in_flight < 12 and time.monotonic() < deadline:
            self.server.add_threads()
            time.sleep(0.01)
        waiting = self.connect()
        waiting.sendall(request)
        time.sleep(0.2)
        self.handler = self.send_ok
        self.stop()
        time.sleep(0.2)
        release.set()
        self.check_refused(self.read_response(waiting))
        for connection in busy:
            self.assertIn(b" 200 ", self.read_response(connection))

    def is_refused(self):
        try:
            self.connect().close()
        except ConnectionError:
            return True
        return False

    def test_connections_that_wait_to_be_accepted_are_served(self):
        # Guards against requests that are reset unread when the port closes.
        self.delay_selector(*[0.02] * 40)
        connections = [self.connect() for _ in range(40)]
        for connection in connections:
            connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.2)
        self.stop(5.0)
        for connection in connections:
            self.assertIn(b" 200 ", self.read_response(connection))
        self.assertTrue(waits.wait_until(self.is_refused))

    def test_requests_that_wait_on_kept_connections_are_served(self):
        # Guards against requests that are closed unread with their connections.
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        connections = [self.connect() for _ in range(10)]
        for connection in connections:
            self.assertIn(b" 200 ", self.send_and_read(request, connection))
        time.sleep(0.1)
        self.delay_selector(0.5)
        connections[0].sendall(request)
        time.sleep(0.1)
        for connection in connections[1:]:
            connection.sendall(request)
        time.sleep(0.1)
        self.stop(5.0)
        for connection in connections:
            self.assertIn(b" 200 ", self.read_response(connection))


class ExitTests(CallerServerTestCase):
    """Requests that are still in progress when the process exits."""

    def setUp(self):
        super().setUp()
        self.release = threading.Event()
        self.addCleanup(self.release.set)

    def wait_for_release(self):
        self.release.wait(5.0)

    def test_request_that_waits_is_answered_at_the_exit(self):
        # Guards against connections that are closed without an answer.
        def wait(request, writer, caller):
            self.wait_for_release()
            self.send_ok(request, writer, caller)

        self.handler = wait
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(waits.wait_until(lambda: self.server.in_flight))
        with self.assertLogs("catkintrail.callers") as logs:
            self.server.answer_unfinished()
        response = self.read_response(connection)
        self.assertIn(b" 502 ", response)
        self.assertIn(b"draining", response)
        self.assertIn(b"attempt-id: r1", response.lower())
        self.assertIn(b"connection: close", response.lower())
        self.assertEqual(["request_cut"], [r.msg for r in logs.records])
        record = logs.records[0]
        self.assertEqual(("r1", True), (record.request_id, record.is_answered))
        self.assertGreater(record.elapsed_ms, 0.0)
        self.assertEqual("catkintrail.platform.callers._serve", record.waits_in)
        self.release.set()
        self.assertEqual(b"", connection.recv(1))

    def test_response_that_has_begun_is_logged_and_left_alone(self):
        def write_half(request, writer, caller):
            writer.start(200, (), 4)
            writer.write(b"ha")
            self.wait_for_release()
            writer.write(b"lf")

        self.handler = write_half
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        connection.recv(1, socket.MSG_PEEK)
        with self.assertLogs("catkintrail.callers") as logs:
            self.server.answer_unfinished()
        self.assertFalse(logs.records[0].is_answered)
        self.release.set()
        self.assertTrue(self.read_response(connection).endswith(b"half"))


class MalformedTests(CallerServerTestCase):

    def assert_rejected(self, data, status=b" 400 "):
        response = self.send_and_read(data)
        self.assertIn(status, response)
        self.assertEqual([], self.requests)

    def test_content_length_and_transfer_encoding(self):
        self.assert_rejected(
            HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    def test_repeated_content_length(self):
        self.assert_rejected(
            HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!"
        )

    def test_non_numeric_content_length(self):
        self.assert_rejected(HEAD + b"Content-Length: +4\r\n\r\nbody")

    def test_space_before_the_colon(self):
        self.assert_rejected(HEAD + b"Content-Length : 4\r\n\r\nbody")

    def test_bare_line_feed(self):
        self.assert_rejected(HEAD + b"X-A: 1\nX-B: 2\r\n\r\n")

    def test_bare_carriage_return(self):
        self.assert_rejected(HEAD + b"X-A: 1\rX-B: 2\r\n\r\n")

    def test_folded_header_line(self):
        self.assert_rejected(HEAD + b"X-A: 1\r\n more\r\n\r\n")

    def test_oversized_body(self):
        self.assert_rejected(HEAD + b"Content-Length: 6000\r\n\r\n", b" 413 ")

    def test_oversized_chunked_body(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"7d0\r\n" + b"x" * 2_000 + b"\r\n"
        self.assert_rejected(head + chunk * 4 + b"0\r\n\r\n", b" 413 ")

    def test_oversized_head(self):
        self.assert_rejected(
            HEAD + b"X-A: " + b"a" * 3_000 + b"\r\n\r\n", b" 413 "
        )


class UnknownLimitsTests(CallerServerTestCase):
    """Requests that come before the limits on callers are known.

    Guards against requests that run with an empty body as theirs is longer than
    the default limit (UNASKED after a restart).
    """

    limits = None

    def setUp(self):
        super().setUp()
        default = route_table.CallerLimits()
        self.long_body = b"x" * (default.max_body_bytes + 1)
        self.long_field = b"X-A: " + b"a" * default.max_header_bytes + b"\r\n"

    def send(self, data):
        connection = self.connect()
        with contextlib.suppress(OSError):
            connection.sendall(data)
        return self.read_response(connection)

    def send_long_body(self):
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(self.long_body)
        return self.send(head + self.long_body)

    def test_body_over_the_default_limit_is_refused(self):
        response = self.send_long_body()
        self.assertEqual([], [len(request.body) for request in self.requests])
        self.assertIn(b" 503 ", response)
        self.assertIn(b"Retry-After: ", response)

    def test_chunked_body_over_the_default_limit_is_refused(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n" % len(self.long_body) + self.long_body
        response = self.send(head + chunk + b"\r\n0\r\n\r\n")
        self.assertEqual([], self.requests)
        self.assertIn(b" 503 ", response)

    def test_head_over_the_default_limit_is_refused(self):
        response = self.send(HEAD + self.long_field + b"\r\n")
        self.assertEqual([], self.requests)
        self.assertIn(b" 503 ", response)

    def test_request_within_the_default_limits_is_served(self):
        response = self.send(HEAD + b"Content-Length: 1\r\n\r\nx")
        self.assertIn(b" 200 ", response)

    def test_body_within_the_limits_that_became_known_is_whole(self):
        self.server.apply_limits(LIMITS._replace(max_body_bytes=8 << 20))
        self.assertIn(b" 200 ", self.send_long_body())
        self.assertEqual(self.long_body, self.requests[0].body)

    def test_limits_lowered_while_a_head_is_read_leave_no_body_out(self):
        # The check of the head's parser and that of the connection once had
        # limits of their own, which could differ.
        parse_request = caller_requests.Request.parse_request

        def lower_limits(request):
            parse_request(request)
            self.server.apply_limits(LIMITS)

        self.server.apply_limits(LIMITS._replace(max_body_bytes=8 << 20))
        with mock.patch.object(
            caller_requests.Request, "parse_request", lower_limits
        ):
            self.send_long_body()
        self.assertEqual(
            [self.long_body], [request.body for request in self.requests]
        )


class SlowCallerTests(CallerServerTestCase):
    """Callers that send slowly do not occupy a thread for long."""

    def send_slowly(self, connection, data):
        started = time.monotonic()
        connection.settimeout(0.1)
        for number in range(100):
            # The server may close the connection meanwhile.
            with contextlib.suppress(OSError):
                connection.sendall(data[number : number + 1])
            try:
                response = connection.recv(65536)
                return response, time.monotonic() - started
            except TimeoutError:
                continue
        return b"", time.monotonic() - started

    def test_slow_head_times_out(self):
        response, seconds = self.send_slowly(self.connect(), HEAD)
        self.assertIn(b" 408 ", response)
        self.assertThat(seconds, matchers.LessThan(2.0))

    def test_connection_without_a_request_times_out(self):
        connection = self.connect()
        started = time.monotonic()
        self.read_response(connection)
        seconds = time.monotonic() - started
        self.assertThat(seconds, matchers.LessThan(2.0))

    def test_slow_body_times_out(self):
        connection = self.connect()
        # The deadline in HEAD is 900 ms.
        connection.sendall(HEAD + b"Content-Length: 1000\r\n\r\n")
        response, seconds = self.send_slowly(connection, b"x" * 100)
        self.assertIn(b" 408 ", response)
        self.assertThat(seconds, matchers.LessThan(2.0))
        self.assertEqual([], self.requests)

    def test_request_that_waits_unread_does_not_time_out(self):
        # Guards against 408 for requests that came in time to a busy instance.
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        connections = [self.connect() for _ in range(2)]
        time.sleep(0.1)
        self.delay_selector(0.8)
        for connection in connections:
            connection.sendall(request)
            time.sleep(0.1)
        for connection in connections:
            self.assertIn(b" 200 ", self.read_response(connection))

    def test_idle_connection_outlives_the_header_timeout(self):
        connection = self.connect()
        self.send_and_read(HEAD + b"Content-Length: 0\r\n\r\n", connection)
        time.sleep(1.2)
        response = self.send_and_read(
            HEAD + b"Content-Length: 0\r\n\r\n", connection
        )
        self.assertIn(b" 200 ", response)


class RejectionLogTests(CallerServerTestCase):
    """Requests rejected before they reach the handler are logged."""

    def test_every_rejection_is_logged(self):
        for data, status in (
            (b"nonsense\r\n\r\n", 400),
            (HEAD + b"X-A: " + b"a" * 3_000 + b"\r\n\r\n", 413),
            (HEAD + b"Content-Length: 6000\r\n\r\n", 413),
            (HEAD + b"Content-Length: +4\r\n\r\n", 400),
            (b"POST /a HTTP/2.0\r\n\r\n", 505),
        ):
            with self.assertLogs("catkintrail.callers") as logs:
                self.send_and_read(data)
            rejections = [
                line for line in logs.records if line.msg == "request_malformed"
            ]
            self.assertEqual([status], [line.status for line in rejections])
            self.assertNotEqual("", rejections[0].reason)


class ResponseTests(CallerServerTestCase):

    def test_response_gets_the_request_id(self):
        response = self.send_and_read(HEAD + b"Content-Length: 0\r\n\r\n")
        self.assertIn(b"Attempt-Id: r1\r\n", response)

    def test_aborted_response_is_detectably_truncated(self):
        def truncate(request, writer, caller):
            writer.start(200, (), None)
            writer.write(b"half")
            writer.abort()

        self.handler = truncate
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        response = b""
        while part := connection.recv(65536):
            response += part
        self.assertIn(b"half", response)
        self.assertNotIn(b"0\r\n\r\n", response)

    def test_handler_is_notified_of_a_disconnect(self):
        disconnected = threading.Event()

        def wait(request, writer, caller):
            caller.set_disconnect_callback(disconnected.set)
            disconnected.wait(5.0)

        self.handler = wait
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.1)
        self.assertFalse(disconnected.is_set())
        connection.close()
        self.assertTrue(disconnected.wait(2.0))


class Http10ResponseTests(CallerServerTestCase):
    """Responses to HTTP/1.0, whose end is the end of the connection."""

    REQUEST = (
        HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"Content-Length: 0\r\n\r\n"
    )

    def read_to_the_end(self, connection):
        """Returns what arrived, and whether the end says that it is whole."""
        response = b""
        try:
            while part := connection.recv(65536):
                response += part
        except ConnectionResetError:
            return response, False
        return response, True

    def ask(self, handler, delay_seconds=0.0):
        self.handler = handler
        connection = self.connect()
        connection.sendall(self.REQUEST)
        time.sleep(delay_seconds)
        return self.read_to_the_end(connection)

    def test_complete_response_ends_without_a_reset(self):
        def complete(request, writer, caller):
            writer.start(200, (), None)
            writer.write(b"x" * 1_000_000)

        response, is_whole = self.ask(complete)
        self.assertNotIn(b"Content-Length", response)
        self.assertTrue(response.endswith(b"x" * 1_000_000))
        self.assertTrue(is_whole)

    def test_aborted_response_ends_with_a_reset(self):
        # Guards against parts that are told whole.
        def truncate(request, writer, caller):
            writer.start(200, (), None)
            writer.write(b"half")
            writer.abort()

        response, is_whole = self.ask(truncate)
        self.assertTrue(response.endswith(b"half"), response)
        self.assertFalse(is_whole)

    def test_bytes_before_a_reset_arrive(self):
        # Guards against resets that discard what was written before.
        def truncate(request, writer, caller):
            writer.start(200, (), None)
            writer.write(b"x" * 1_000_000)
            writer.abort()

        response, is_whole = self.ask(truncate, delay_seconds=0.3)
        self.assertTrue(response.endswith(b"x" * 1_000_000))
        self.assertFalse(is_whole)

    def test_response_whose_handler_fails_ends_with_a_reset(self):
        # Guards against parts that are told whole.
        def fail(request, writer, caller):
            writer.start(200, (), None)
            writer.write(b"half")
            raise RuntimeError("a fault of the handler")

        self.assertFalse(self.ask(fail)[1])

    def test_response_to_a_caller_that_sends_no_more_ends_with_a_reset(self):
        # Guards against parts that are told whole.
        def wait(request, writer, caller):
            left = threading.Event()
            caller.set_disconnect_callback(left.set)
            writer.start(200, (), None)
            writer.write(b"half")
            left.wait(5.0)
            raise errors.CallerDisconnectedError("the caller disconnected")

        self.handler = wait
        connection = self.connect()
        connection.sendall(self.REQUEST)
        connection.recv(1, socket.MSG_PEEK)
        connection.shutdown(socket.SHUT_WR)
        self.assertFalse(self.read_to_the_end(connection)[1])

    def cut_slow_reader(self):
        """Returns the connection of a caller that was cut off."""

        def flood(request, writer, caller):
            writer.start(200, (), None)
            for _ in range(100):
                writer.write(b"x" * 1_000_000)

        self.handler = flood
        connection = self.connect()
        connection.sendall(self.REQUEST)
        self.assertTrue(
            waits.wait_until(lambda: self.server.memory.end_writers(1, 0.2))
        )
        return connection

    def test_response_that_is_read_too_slowly_ends_with_a_reset(self):
        # Guards against parts that are told whole.
        end_wait = self.server.memory.end_wait

        def end_wait_late(held):
            time.sleep(0.3)
            return end_wait(held)

        self.server.memory.end_wait = end_wait_late
        response, is_whole = self.read_to_the_end(self.cut_slow_reader())
        self.assertLess(len(response), 100_000_000)
        self.assertFalse(is_whole)

    def test_slow_reader_that_is_cut_off_frees_its_thread(self):
        # Guards against threads that wait for callers that do not read.
        self.cut_slow_reader()
        self.assertTrue(waits.wait_until(lambda: not self.server.in_flight))


class FullServerTests(CallerServerTestCase):
    """New connections at the limit, which take the place of idle ones."""

    def test_request_on_a_connection_that_is_displaced_ends_no_port(self):
        # Guards against a port that closes for good: a connection is displaced
        # by a new one in the moment in which its next request arrives.
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        connections = [self.connect() for _ in range(2)]
        for connection in connections:
            self.assertIn(b" 200 ", self.send_and_read(request, connection))
        self.server.max_connections = 2
        time.sleep(0.1)
        self.delay_selector(0.5)
        connections[1].sendall(request)
        time.sleep(0.1)
        new = self.connect()
        time.sleep(0.1)
        connections[0].sendall(request)
        time.sleep(0.6)
        self.assertIn(b" 200 ", self.send_and_read(request, new))
        self.assertIn(b" 200 ", self.send_and_read(request))


class SpentMemoryTests(CallerServerTestCase):
    """Answers for which no memory is left."""

    def test_caller_gets_the_answer_that_is_sent_instead(self):
        # Guards against connections that are closed without an answer.
        def hold(request, writer, caller):
            self.server.memory.budget.total = 10_000
            try:
                writer.hold(100_000)
            except errors.MemorySpentError:
                writer.start(502, (), 2)
                writer.write(b"no")

        self.handler = hold
        response = self.send_and_read(HEAD + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 502 "), response)


class ThreadTests(CallerServerTestCase):

    def test_added_threads_serve_more_concurrent_requests(self):
        barrier = threading.Barrier(9)

        def wait(request, writer, caller):
            barrier.wait(5.0)
            self.send_ok(request, writer, caller)

        self.handler = wait
        connections = [self.connect() for _ in range(8)]
        for connection in connections:
            connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.2)
        self.assertEqual(4, barrier.n_waiting)
        self.server.add_threads()
        barrier.wait(5.0)
        for connection in connections:
            self.assertIn(b" 200 ", self.read_response(connection))

    def test_stop_waits_for_threads_that_are_being_started(self):
        # Guards against requests that are cut by the exit of the process.
        releases = [threading.Event() for _ in range(2)]

        def wait(request, writer, caller):
            releases[request.uri == "/new"].wait(5.0)
            self.send_ok(request, writer, caller)

        self.handler = wait
        connections = [self.connect() for _ in range(5)]
        for connection in connections[:4]:
            connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(waits.wait_until(lambda: self.server.in_flight == 4))
        pool = self.server._server.requests
        spawn = pool._spawn_worker
        may_go_on = threading.Event()

        def spawn_slowly():
            worker = spawn()
            may_go_on.wait(5.0)
            return worker

        pool._spawn_worker = spawn_slowly
        growth = threading.Thread(target=self.server.add_threads, daemon=True)
        growth.start()
        head = HEAD.replace(b"/ask/a?x=1", b"/new")
        connections[4].sendall(head + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(waits.wait_until(lambda: self.server.in_flight == 5))
        stop = threading.Thread(target=self.server.stop, args=(5.0,))
        stop.start()
        time.sleep(0.7)
        releases[0].set()
        time.sleep(0.3)
        may_go_on.set()
        stop.join(0.5)
        self.assertTrue(stop.is_alive())
        releases[1].set()
        for connection in connections:
            self.assertIn(b" 200 ", self.read_response(connection))
        stop.join(2.0)
        self.assertFalse(stop.is_alive())

    def test_request_whose_caller_has_left_before_it_is_read_is_dropped(self):
        # Guards against requests that are sent on after their callers left.
        release = threading.Event()

        def wait(request, writer, caller):
            release.wait(5.0)
            self.send_ok(request, writer, caller)

        self.handler = wait
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        connections = [self.connect() for _ in range(4)]
        for connection in connections:
            connection.sendall(request)
        self.assertTrue(waits.wait_until(lambda: self.server.in_flight == 4))
        left = [self.connect() for _ in range(20)]
        for connection in left:
            connection.sendall(request)
            connection.close()
        time.sleep(0.2)
        release.set()
        for connection in connections:
            self.assertIn(b" 200 ", self.read_response(connection))
        self.assertIn(b" 200 ", self.send_and_read(request))
        self.assertEqual(5, len(self.requests))

    def test_threads_are_not_added_before_the_start(self):
        server = callers.CallerServer(
            f"127.0.0.1:{processes.free_ports(1)[0]}",
            (4, 12),
            self.call_handler,
            self.watch,
            time.monotonic,
        )
        server.add_threads()
        server.start()
        self.addCleanup(server.stop, 0.1)


class DrainTests(CallerServerTestCase):

    def test_connection_closes_after_the_next_response(self):
        connection = self.connect()
        self.send_and_read(HEAD + b"Content-Length: 0\r\n\r\n", connection)
        self.server.is_draining = True
        response = self.send_and_read(
            HEAD + b"Content-Length: 0\r\n\r\n", connection
        )
        self.assertIn(b"connection: close", response.lower())
        self.assertEqual(b"", connection.recv(1))

    def test_stop_finishes_accepted_requests_and_accepts_no_more(self):
        # Guards against a fault found in Thumbloop, mix 528053572200: while all
        # instances of a zone drained, callers kept connecting and were cut off
        # at the end.
        def answer_slowly(request, writer, caller):
            time.sleep(1.0)
            self.send_ok(request, writer, caller)

        self.handler = answer_slowly
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.1)
        stop_thread = threading.Thread(target=self.server.stop, args=(5.0,))
        stop_thread.start()
        time.sleep(0.7)
        self.assertRaises(OSError, self.connect)
        self.assertIn(b" 200 ", self.read_response(connection))
        stop_thread.join(3.0)
        self.assertFalse(stop_thread.is_alive())
