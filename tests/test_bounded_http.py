"""Tests of HTTP connections to the store, engines and peers.

Responses without end are in test_endless_bytes.
"""

import threading

import testtools

from catkintrail.adapters import bounded_http
from tests import test_platform_engines as engine_tests
from tests import waits

SECONDS = 5.0


def make_reply(body, *headers):
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class BoundedPoolTests(testtools.TestCase):

    def serve(self, *replies):
        server = engine_tests.ScriptedServer(*replies)
        self.addCleanup(server.close)
        pool = bounded_http.BoundedPool(server.address)
        self.addCleanup(pool.close)
        return server, pool

    def get(self, pool, path="/a"):
        return pool.request("GET", path, SECONDS, SECONDS)

    def test_surplus_bytes_are_not_taken_for_the_next_response(self):
        server, pool = self.serve(
            make_reply(b"one") + make_reply(b"surplus"), make_reply(b"two")
        )
        bodies = [self.get(pool).data for _ in range(2)]
        self.assertEqual([b"one", b"two"], bodies)
        self.assertEqual(2, len(server.requests))

    def test_connection_that_the_server_closed_is_not_used_again(self):
        # Its next request would fail, although the server is there.
        def answer_and_close(connection):
            connection.sendall(make_reply(b"one"))
            connection.close()

        server, pool = self.serve(answer_and_close, make_reply(b"two"))
        self.get(pool)
        self.assertTrue(waits.wait_until(lambda: not pool._idle[0].may_reuse()))
        self.assertEqual(b"two", self.get(pool).data)
        self.assertEqual(2, len(server.requests))

    def test_equal_headers_and_bodies_without_length_are_read(self):
        def answer(connection):
            connection.sendall(
                b"HTTP/1.1 100 Continue\r\n\r\n"
                b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nStore-Era: 2\r\n\r\nbody"
            )
            connection.close()

        _, pool = self.serve(answer)
        response = self.get(pool)
        self.assertEqual("1, 2", response.headers["store-era"])
        self.assertEqual(b"body", response.data)

    def test_cut_body_is_an_error(self):
        def answer(connection):
            connection.sendall(make_reply(b"whole")[:-1])
            connection.close()

        _, pool = self.serve(answer)
        self.assertRaises(OSError, self.get, pool)

    def test_refused_connection_states_that_nothing_was_sent(self):
        server, pool = self.serve()
        server.close()
        self.assertRaises(bounded_http.ConnectError, self.get, pool)

    def test_calls_in_progress_can_be_ended(self):
        # A watch of a store that is back would otherwise last to its time-out.
        is_asked = threading.Event()
        is_over = threading.Event()
        self.addCleanup(is_over.set)

        def stay_silent(connection):
            is_asked.set()
            is_over.wait(60.0)
            connection.close()

        _, pool = self.serve(stay_silent)
        failures = []

        def call():
            try:
                pool.request("GET", "/a", SECONDS, 60.0)
            except OSError as error:
                failures.append(error)

        thread = threading.Thread(target=call, daemon=True)
        thread.start()
        self.assertTrue(is_asked.wait(SECONDS))
        pool.end_calls()
        thread.join(SECONDS)
        self.assertEqual(1, len(failures))


class PoolManagerTests(testtools.TestCase):

    def test_connections_are_kept_to_a_bounded_number_of_servers(self):
        manager = bounded_http.PoolManager(2)
        pools = [manager.pool(f"127.0.0.1:{port}") for port in (1, 2, 1, 3)]
        self.assertIs(pools[0], pools[2])
        self.assertIs(pools[0], manager.pool("127.0.0.1:1"))
        self.assertIsNot(pools[1], manager.pool("127.0.0.1:2"))
