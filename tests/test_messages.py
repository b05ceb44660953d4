"""Tests of the message codec with arbitrary input."""

import hypothesis
from hypothesis import strategies
import msgpack
import testtools

from catkintrail import errors
from catkintrail import messages

ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: strategies.lists(inner, max_size=6)
    | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3),
    max_leaves=20,
)


class DecodeTests(testtools.TestCase):

    def assert_round_trip_or_frame_error(self, frame):
        try:
            message = messages.decode(frame)
        except errors.FrameError:
            return
        self.assertEqual(message, messages.decode(messages.encode(message)))

    @hypothesis.given(strategies.binary(max_size=200))
    @hypothesis.settings(max_examples=400)
    def test_arbitrary_bytes(self, frame):
        self.assert_round_trip_or_frame_error(frame)

    @hypothesis.given(
        strategies.integers(-1, 40), strategies.lists(ANYTHING, max_size=8)
    )
    @hypothesis.settings(max_examples=300)
    def test_arbitrary_fields(self, tag, fields):
        self.assert_round_trip_or_frame_error(msgpack.packb([tag, *fields]))

    def test_deep_nesting_is_refused(self):
        frame = b"\x91" * 100_000 + b"\x00"
        self.assertRaises(errors.FrameError, messages.decode, frame)

    def test_oversized_frame_is_refused(self):
        frame = b"\x00" * (messages.MAX_FRAME_BYTES + 1)
        self.assertRaises(errors.FrameError, messages.decode, frame)

    def test_round_trip_preserves_message_type(self):
        ping = messages.Ping(1, 2, 3, 4, ())
        self.assertIsInstance(
            messages.decode(messages.encode(ping)), messages.Ping
        )
