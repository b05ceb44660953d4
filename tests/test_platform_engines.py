"""The engine client against a server that plays a script."""

import socket
import threading
import time

import testtools

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import caller_watch
from catkintrail.platform import engines
from catkintrail.ports import relaying
from tests import relaying as builders

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


def answer(
    body=b"ok", request_id="r1", status="200 OK", extra=b"", length=None
):
    size = len(body) if length is None else length
    head = (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {request_id}\r\n"
        f"Engine-Stamp: s1\r\nKeep-Alive: timeout=5\r\n"
        f"Content-Length: {size}\r\n"
    ).encode()
    return head + extra + b"\r\n" + body


class ScriptedServer:
    """Answers each request with the next reply of a script.

    Attributes:
        requests: What was received, by connection.
        replies: Bytes to send, or a function of the connection.
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while self.replies:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            received = []
            self.requests.append(received)
            self._serve(connection, received)

    def _serve(self, connection, received):
        with connection:
            while self.replies:
                data = b""
                while b"\r\n\r\n" not in data:
                    part = connection.recv(65536)
                    if not part:
                        return
                    data += part
                received.append(data)
                reply = self.replies.pop(0)
                if callable(reply):
                    reply(connection)
                    return
                connection.sendall(reply)

    def close(self):
        self.socket.close()


def hang_up(connection):
    connection.close()


def reset(connection):
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
    )
    connection.close()


def then(data, action):
    def play(connection):
        connection.sendall(data)
        action(connection)

    return play


def make_request(request_id="r1", **changes):
    request = relaying.TargetRequest(
        request_id=request_id,
        method="POST",
        uri="/ask/a?x=1",
        host="wells.example",
        headers=(
            ("Attempt-Id", request_id),
            ("Authorization", "Token secret"),
            ("Tenant", "another"),
            ("Connection", "keep-alive"),
            ("X-Other", "Kept"),
        ),
        body=b"question",
        organisation="guild",
        helpers=(),
        resume_after=-1,
        deadline=time.monotonic() + 5.0,
        valid_until=time.monotonic() + 5.0,
    )
    return request._replace(**changes)


class EngineClientTestCase(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.client = engines.EngineClient(time.monotonic)
        self.caller = caller_watch.CallerConnection()
        self.server = None
        self.target = None

    def serve(self, *replies):
        server = ScriptedServer(*replies)
        self.addCleanup(server.close)
        self.server = server
        self.target = builders.make_target("e-1", address=server.address)

    def send(self, request_id="r1", wait=1.0, **changes):
        return self.client.send(
            self.target,
            make_request(request_id, **changes),
            self.caller,
            time.monotonic() + wait,
        )

    def read_all(self, got, wait=1.0):
        parts = []
        while data := got.read(time.monotonic() + wait):
            parts.append(data)
        got.close()
        return b"".join(parts)

    def fails(self, verdict, **changes):
        error = self.assertRaises(errors.TargetError, self.send, **changes)
        self.assertEqual(verdict, error.verdict, str(error))
        return error


class RequestTests(EngineClientTestCase):

    def test_headers_of_one_connection_and_of_the_caller_stay_behind(self):
        self.serve(answer())
        self.assertEqual(b"ok", self.read_all(self.send()))
        received = self.server.requests[0][0]
        self.assertIn(b"POST /ask/a?x=1 HTTP/1.1\r\n", received)
        self.assertIn(b"Tenant: guild\r\n", received)
        self.assertIn(b"Expect-Instance: e-1\r\n", received)
        self.assertIn(b"X-Other: Kept\r\n", received)
        for absent in (b"secret", b"another", b"keep-alive"):
            self.assertNotIn(absent, received)

    def test_target_gets_the_time_that_is_left(self):
        self.serve(answer())
        self.read_all(self.send(deadline=time.monotonic() + 2.0))
        head = self.server.requests[0][0].decode().lower()
        left = int(head.split("deadline-ms: ")[1].split("\r\n")[0])
        self.assertTrue(1_500 < left <= 2_000, left)

    def test_resumed_stream_names_the_last_event(self):
        self.serve(answer())
        request = make_request()
        headers = request.headers + (("Last-Event-Id", "3"),)
        self.read_all(self.send(headers=headers, resume_after=12))
        received = self.server.requests[0][0]
        self.assertIn(b"Last-Event-Id: 12\r\n", received)
        self.assertNotIn(b"Last-Event-Id: 3\r\n", received)

    def test_key_with_an_old_proof_is_not_sent(self):
        self.serve(answer())
        self.fails(NOT_RUN, valid_until=time.monotonic() - 0.1)
        time.sleep(0.1)
        self.assertEqual([[]], self.server.requests)


class VerdictTests(EngineClientTestCase):

    def test_no_connection_is_not_run(self):
        server = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{server.getsockname()[1]}"
        server.close()
        self.target = builders.make_target("e-1", address=address)
        self.fails(NOT_RUN)

    def test_connection_closed_without_an_answer_may_have_run(self):
        for action in (hang_up, reset):
            self.serve(action)
            self.fails(MAY_HAVE_RUN)

    def test_silence_may_have_run(self):
        self.serve(lambda connection: time.sleep(1.0))
        error = self.fails(MAY_HAVE_RUN, wait=0.2)
        self.assertTrue(error.is_silent)

    def test_targets_own_word_is_not_run(self):
        self.serve(answer(status="503 Full", extra=b"Not-Executed: 1\r\n"))
        self.assertFalse(self.fails(NOT_RUN).is_leaving)

    def test_another_instance_at_the_address_did_not_run_it(self):
        self.serve(answer(status="421 Misdirected Request"))
        self.assertTrue(self.fails(NOT_RUN).is_leaving)

    def test_plain_503_may_have_run(self):
        self.serve(answer(status="503 Oops"))
        self.assertEqual(503, self.send().status)

    def test_answer_without_a_name_is_no_own_answer(self):
        self.serve(answer().replace(b"Attempt-Id: r1\r\n", b""))
        self.fails(MAY_HAVE_RUN)

    def test_encoded_answer_is_no_own_answer(self):
        self.serve(answer(extra=b"Content-Encoding: gzip\r\n"))
        self.fails(MAY_HAVE_RUN)

    def test_bytes_that_are_no_answer(self):
        self.serve(b"\0\1garbage\r\n\r\n")
        self.fails(MAY_HAVE_RUN)


class BodyTests(EngineClientTestCase):

    def cut(self, *replies):
        self.serve(*replies)
        got = self.send()
        error = self.assertRaises(errors.TargetError, self.read_all, got)
        self.assertEqual(MAY_HAVE_RUN, error.verdict)

    def test_short_body_is_cut(self):
        self.cut(then(answer(b"half", length=8), hang_up))

    def test_chunks_without_an_end_are_cut(self):
        head = answer(extra=b"Transfer-Encoding: chunked\r\n")
        head = head.replace(b"Content-Length: 2\r\n", b"")[:-2]
        self.cut(then(head + b"4\r\nhalf\r\n", hang_up))

    def unframed(self):
        return answer(b"all of it").replace(b"Content-Length: 9\r\n", b"")

    def test_body_without_a_length_ends_with_its_connection(self):
        self.serve(then(self.unframed(), hang_up))
        self.assertEqual(b"all of it", self.read_all(self.send()))

    def test_body_without_a_length_that_is_reset_is_cut(self):
        def play(connection):
            connection.sendall(self.unframed())
            time.sleep(0.1)
            reset(connection)

        self.cut(play)


class KeepAliveServer:
    """Answers any number of requests on any number of connections."""

    def __init__(self):
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.open = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        self.open += 1
        with connection:
            while connection.recv(65536):
                connection.sendall(answer())
        self.open -= 1

    def close(self):
        self.socket.close()


class ShareTests(EngineClientTestCase):
    """All instances together stay within what a target accepts."""

    def setUp(self):
        super().setUp()
        self.server = KeepAliveServer()
        self.addCleanup(self.server.close)
        self.target = builders.make_target("e-1", address=self.server.address)

    def send_together(self, count):
        answers = [self.send() for _ in range(count)]
        for got in answers:
            self.read_all(got)
        time.sleep(0.1)

    def test_no_more_connections_are_kept_than_the_share(self):
        self.client.shares = {"engines": 2}
        self.send_together(5)
        self.assertEqual(2, self.server.open)

    def test_connections_in_use_count(self):
        self.client.shares = {"engines": 2}
        busy = [self.send() for _ in range(2)]
        self.send_together(1)
        self.assertEqual(2, self.server.open)
        for got in busy:
            self.read_all(got)

    def test_requests_go_on_beyond_the_share(self):
        self.client.shares = {"engines": 0}
        self.send_together(3)
        self.assertEqual(1, self.server.open)


class ReuseTests(EngineClientTestCase):

    def test_connection_is_used_again(self):
        self.serve(answer(), answer(request_id="r2"))
        self.read_all(self.send())
        self.read_all(self.send("r2"))
        self.assertEqual((1, 1), (self.client.opened, self.client.reused))

    def test_surplus_bytes_close_the_connection(self):
        self.serve(
            then(answer() + b"surplus", hang_up), answer(request_id="r2")
        )
        self.assertEqual(b"ok", self.read_all(self.send()))
        self.assertEqual(b"ok", self.read_all(self.send("r2")))
        self.assertEqual(2, self.client.opened)

    def test_second_answer_that_comes_at_once_is_not_taken_for_the_next(self):
        self.serve(
            then(answer() + answer(b"again"), hang_up),
            answer(b"own", request_id="r2"),
        )
        self.read_all(self.send())
        self.assertEqual(b"own", self.read_all(self.send("r2")))

    def test_second_answer_that_comes_while_idle_closes_the_connection(self):
        late = threading.Event()

        def play(connection):
            connection.sendall(answer())
            late.wait(5.0)
            connection.sendall(answer(b"again"))
            time.sleep(0.2)

        self.serve(play, answer(b"own", request_id="r2"))
        self.read_all(self.send())
        late.set()
        time.sleep(0.1)
        self.assertEqual(b"own", self.read_all(self.send("r2")))

    def test_second_answer_before_the_next_one_is_skipped(self):
        self.serve(answer(), answer(b"again") + answer(b"own", request_id="r2"))
        self.read_all(self.send())
        got = self.send("r2")
        self.assertTrue(got.is_reused)
        self.assertEqual(b"own", self.read_all(got))

    def test_connection_without_an_end_is_not_used_again(self):
        self.serve(
            then(answer().replace(b"Content-Length: 2\r\n", b""), hang_up),
            answer(request_id="r2"),
        )
        self.read_all(self.send())
        self.read_all(self.send("r2"))
        self.assertEqual(0, self.client.reused)

    def test_idle_connection_is_closed_before_its_target_closes_it(self):
        now = [0.0]
        self.client.clock = lambda: now[0]
        self.serve(answer(), answer(request_id="r2"))
        request = make_request(deadline=99.0, valid_until=99.0)
        got = self.client.send(self.target, request, self.caller, 5.0)
        while got.read(5.0):
            pass
        got.close()
        now[0] = 4.1
        self.client.close_idle()
        self.assertIsNone(self.client._pop_idle(self.target))

    def test_early_answer_leaves_nothing_of_the_body_on_the_connection(self):
        body = b"x" * (8 << 20)

        def play(connection):
            connection.sendall(answer(status="413 Too Large"))
            time.sleep(0.5)

        self.serve(play, answer(request_id="r2"))
        got = self.send(body=body)
        self.assertEqual(413, got.status)
        self.read_all(got)
        self.read_all(self.send("r2"))
        self.assertEqual(0, self.client.reused)


class CallerLeavesTests(EngineClientTestCase):

    def test_wait_ends_when_the_caller_leaves(self):
        closed = threading.Event()

        def play(connection):
            if not connection.recv(1):
                closed.set()

        self.serve(play)
        timer = threading.Timer(0.1, self.caller.note_gone)
        timer.start()
        self.addCleanup(timer.cancel)
        started = time.monotonic()
        self.assertRaises(errors.CallerGoneError, self.send, wait=5.0)
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertTrue(closed.wait(2.0))
