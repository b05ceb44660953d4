"""Tests of the limits on callers, without a network."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from catkintrail.adapters import request_bodies
from catkintrail.core.callers import byte_budget

MAX_BYTES = 100_000


class BudgetTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.budget = byte_budget.ByteBudget(1_000)

    def add(self, size, now=0.0, sources=(), is_waiting=True):
        account = byte_budget.Account(sources, now)
        self.assertEqual((True, []), self.budget.take(account, size, now))
        self.budget.set_waiting(account, is_waiting)
        return account

    def test_slowest_gives_way_first(self):
        old, slow = self.add(400), self.add(400)
        old.progress_at = 9.9
        new = byte_budget.Account((), 10.0)
        self.assertEqual((True, [slow]), self.budget.take(new, 500, 10.0))
        self.assertEqual(900, self.budget.used)

    def test_newest_gives_way_if_none_is_slow(self):
        accounts = [self.add(300, now / 10) for now in range(3)]
        first = accounts[0]
        result = self.budget.take(first, 200, 0.3)
        self.assertEqual((True, [accounts[2]]), result)

    def test_newest_is_refused_itself(self):
        self.add(900)
        new = byte_budget.Account((), 0.1)
        self.assertEqual((False, []), self.budget.take(new, 200, 0.1))

    def test_connections_that_do_not_wait_are_not_ended(self):
        self.add(900, is_waiting=False)
        new = byte_budget.Account((), 10.0)
        self.assertEqual((False, []), self.budget.take(new, 200, 10.0))

    def test_one_source_leaves_bytes_to_others(self):
        account = self.add(790, sources=("a",), is_waiting=False)
        self.assertFalse(self.budget.take(account, 50, 0.0)[0])
        self.add(100, sources=("b",))

    def test_spent_share_is_freed_by_the_same_source(self):
        other = self.add(100, sources=("b",))
        slow = self.add(700, sources=("a",))
        new = byte_budget.Account(("a",), 10.0)
        self.assertEqual((True, [slow]), self.budget.take(new, 100, 10.0))
        self.assertFalse(other.is_ended)

    def test_released_bytes_are_free_again(self):
        self.budget.release(self.add(700, sources=("a",)))
        self.assertEqual(0, self.budget.used)
        self.add(700, sources=("a",))

    def test_smallest_and_largest_machine(self):
        for memory_mb, descriptors in ((200, 4_100), (552, 8_192)):
            count = byte_budget.connection_limit(descriptors)
            self.assertGreater(count, 2_000)
            size = byte_budget.budget_bytes(memory_mb, count)
            # Several bodies of the usual limit.
            self.assertGreater(size, 5 * (4 << 20))
            self.assertLess(2 * size, memory_mb << 20)


class ChunkedBodyTests(testtools.TestCase):

    def encode(self, chunks, end=b"0\r\nX-A: b\r\n\r\n"):
        return b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks) + end

    def read(self, data, step=1_000):
        body = request_bodies.ChunkedBody(MAX_BYTES, 1_000)
        rest = b""
        for start in range(0, len(data), step):
            part = data[start : start + step]
            rest = rest + part if body.is_whole else body.feed(part)
        return body, rest

    def check_refused(self, status, data):
        error = self.assertRaises(request_bodies.BodyError, self.read, data)
        self.assertEqual(status, error.status)

    @hypothesis.given(
        strategies.lists(strategies.sampled_from([1, 1, 1, 2, 15, 600])),
        strategies.integers(1, 5_000),
        strategies.integers(0, 100),
    )
    def test_any_chunks_in_any_parts(self, sizes, step, repeats):
        # Guards against faults in the joint reading of equal chunks.
        rng = random.Random(1)
        chunks = [rng.randbytes(size) for size in sizes + [1] * repeats]
        body, rest = self.read(self.encode(chunks) + b"next", step)
        self.assertTrue(body.is_whole)
        self.assertEqual(b"".join(chunks), bytes(body.data))
        self.assertEqual(b"next", rest)

    def test_largest_body_in_chunks_of_any_size(self):
        for size in (1, 3, 512, 65_536, MAX_BYTES):
            data = b"x" * MAX_BYTES
            chunks = [
                data[start : start + size]
                for start in range(0, MAX_BYTES, size)
            ]
            body, _ = self.read(self.encode(chunks), 65_536)
            self.assertEqual(MAX_BYTES, len(body.data))

    def test_limits(self):
        self.check_refused(413, self.encode([b"x" * MAX_BYTES, b"x"]))
        self.check_refused(413, b"fffffffffff\r\n")
        self.check_refused(413, b"5;" + b"a" * 2_000)
        self.check_refused(413, (b"1;" + b"a" * 500 + b"\r\nx\r\n") * 1_000)
        self.check_refused(431, b"0\r\nX-A: " + b"a" * 2_000)
        self.check_refused(431, b"0\r\n" + b"X-A: b\r\n" * 200)

    def test_malformed_framing(self):
        for line in (b"+5", b"5_0", b"0x5", b"-1", b" 5", b"", b"g", b"5\r"):
            self.check_refused(400, line + b"\r\n" + b"x" * 100)
        self.check_refused(400, b"5\nhello\r\n")
        self.check_refused(400, b"5\r\nhello!\r\n")
        self.check_refused(400, b"0\r\nX-A: b\n\r\n")


class LengthBodyTests(testtools.TestCase):

    def test_bytes_behind_the_body_are_returned(self):
        body = request_bodies.LengthBody(5)
        self.assertEqual(b"", body.feed(b"hel"))
        self.assertFalse(body.is_whole)
        self.assertEqual(b"next", body.feed(b"lonext"))
        self.assertEqual((b"hello", True), (bytes(body.data), body.is_whole))
