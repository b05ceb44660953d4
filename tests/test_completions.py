"""Tests of output assembly, verdicts, deadlines and engine groups."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from catkintrail import completions
from catkintrail import errors
from catkintrail import objects
from catkintrail import retrying
from catkintrail import verdict as verdicts
from catkintrail.core import attempts
from catkintrail.core import reservation
from tests import fakes

OUTPUT_TOKENS = 8
OUTPUT_WORDS = [f"w{number} " for number in range(OUTPUT_TOKENS)]
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


def make_runner(targets, clock=None, placer=None, reservations=None):
    return fakes.Runners(
        "a", targets, None, clock, placer=placer, reservations=reservations
    )


def make_completion(**changes):
    request = completions.Completion(
        "r",
        "m",
        objects.Model(10_000, 10_000),
        "guild",
        objects.Organisation(retry_fraction=1.0),
        b"{}",
        100,
        OUTPUT_TOKENS,
        (),
        5,
        0.5,
        60.0,
    )
    return request._replace(**changes)


def make_chunk(call, start, end, is_end=None, attempt_id=None):
    return attempts.Chunk(
        attempt_id or call.attempt_id,
        start,
        end - start,
        "".join(OUTPUT_WORDS[start:end]),
        end == OUTPUT_TOKENS if is_end is None else is_end,
    )


def make_stream(*steps):
    """Returns a scripted engine stream.

    Args:
        *steps: A (start, end) pair yields the chunk of these output tokens;
            "cut" and "not_run" raise; "crossed" yields the chunk of an attempt
            of another request.
    """

    def generate(call):
        for step in steps:
            if step == "cut":
                raise errors.TargetError("cut", MAY_HAVE_RUN)
            if step == "not_run":
                raise errors.TargetError("declined", NOT_RUN)
            if step == "crossed":
                foreign_chunk = make_chunk(
                    call, call.offset, OUTPUT_TOKENS, attempt_id="b"
                )
                yield foreign_chunk._replace(text="not yours")
            else:
                yield make_chunk(call, *step)

    return generate


def generate_rest(call):
    """Streams the rest of the output from the call's offset, word by word."""
    for start in range(call.offset, OUTPUT_TOKENS):
        yield make_chunk(call, start, start + 1)


def run_completion(runner, request):
    """Returns the text yielded, whether it is complete, and the refusal."""
    texts, is_complete, refusal = [], False, None
    try:
        for piece in runner.complete(request):
            texts.append(piece.text)
            is_complete = piece.is_last
    except errors.RequestError as error:
        refusal = error.refusal
    return "".join(texts), is_complete, refusal


def stream_steps():
    pairs = strategies.tuples(
        strategies.integers(0, OUTPUT_TOKENS),
        strategies.integers(0, OUTPUT_TOKENS),
    ).map(lambda pair: tuple(sorted(pair)))
    faults = strategies.sampled_from(["cut", "not_run", "crossed"])
    return strategies.lists(pairs | faults, max_size=6)


class OutputAssemblyTests(testtools.TestCase):

    @hypothesis.given(strategies.lists(stream_steps(), min_size=4, max_size=4))
    @hypothesis.settings(max_examples=500)
    def test_output_is_a_prefix_and_complete_only_at_full_length(self, streams):
        """Foreign, repeated, reordered and lost chunks corrupt no output."""
        targets = fakes.FakeTargets(
            streams=[make_stream(*steps) for steps in streams]
        )
        text, is_complete, refusal = run_completion(
            make_runner(targets), make_completion()
        )
        full_text = "".join(OUTPUT_WORDS)
        self.assertTrue(full_text.startswith(text))
        self.assertEqual(is_complete, refusal is None)
        if is_complete:
            self.assertEqual(full_text, text)

    def test_interrupted_stream_resumes_at_its_offset(self):
        targets = fakes.FakeTargets(
            streams=[
                make_stream((0, 3), "cut"),
                make_stream((3, 5), "cut"),
                generate_rest,
            ]
        )
        text, is_complete, _ = run_completion(
            make_runner(targets), make_completion()
        )
        self.assertEqual("".join(OUTPUT_WORDS), text)
        self.assertTrue(is_complete)
        offsets = [call.offset for _, call, _ in targets.calls]
        self.assertEqual([0, 3, 5], offsets)
        addresses = {address for address, _, _ in targets.calls}
        self.assertEqual(3, len(addresses))

    def test_end_mark_at_wrong_offset_is_an_error(self):
        """A chunk is missing before the end mark, or the mark is foreign."""
        for length in (0, 2, 5):

            def generate_early_end(call, length=length):
                yield make_chunk(call, 0, 3)
                yield make_chunk(call, length, length, True)

            targets = fakes.FakeTargets(streams=[generate_early_end])
            request = make_completion(model=objects.Model(9, 9, resume=False))
            _, is_complete, refusal = run_completion(
                make_runner(targets), request
            )
            self.assertFalse(is_complete)
            self.assertIs(MAY_HAVE_RUN, refusal.verdict)

    def test_interrupted_stream_without_resume_is_an_error(self):
        targets = fakes.FakeTargets(
            streams=[make_stream((0, 3), "cut"), generate_rest]
        )
        request = make_completion(model=objects.Model(9, 9, resume=False))
        text, is_complete, refusal = run_completion(
            make_runner(targets), request
        )
        self.assertEqual("".join(OUTPUT_WORDS[:3]), text)
        self.assertFalse(is_complete)
        self.assertIs(MAY_HAVE_RUN, refusal.verdict)

    def test_close_after_last_piece_does_not_cancel_attempt(self):
        targets = fakes.FakeTargets(streams=[make_stream((0, OUTPUT_TOKENS))])
        placer = fakes.FakePlacer()
        pieces = make_runner(targets, placer=placer).complete(make_completion())
        self.assertTrue(next(pieces).is_last)
        pieces.close()
        self.assertEqual([], targets.cancelled)
        self.assertEqual(retrying.COMPLETED, placer.released[0][1].outcome)

    def test_close_before_last_piece_cancels_attempt(self):
        targets = fakes.FakeTargets(streams=[generate_rest])
        placer = fakes.FakePlacer()
        runner = make_runner(targets, placer=placer)
        pieces = runner.complete(make_completion())
        next(pieces)
        pieces.close()
        self.assertEqual(1, len(targets.cancelled))
        self.assertEqual(retrying.CANCELLED, placer.released[0][1].outcome)


class VerdictTests(testtools.TestCase):

    def test_declined_retries_keep_verdict_may_have_run(self):
        targets = fakes.FakeTargets(
            streams=[make_stream("cut")] + [make_stream("not_run")] * 3
        )
        _, _, refusal = run_completion(make_runner(targets), make_completion())
        self.assertIs(MAY_HAVE_RUN, refusal.verdict)

    def test_refused_placement_of_retry_keeps_verdict_may_have_run(self):
        """The first attempt may have run; the retry gets no target."""
        for head in ([], [(0, 3)], [(0, 3), "not_run"]):
            placer = fakes.FakePlacer()
            original = placer.place

            def place(
                dispatch_request, is_retry, placer=placer, original=original
            ):
                if is_retry:
                    placer.refusal = verdicts.Refusal(
                        NOT_RUN, verdicts.Reason.OVERLOADED, "", 1.0
                    )
                return original(dispatch_request, is_retry)

            placer.place = place
            targets = fakes.FakeTargets(streams=[make_stream(*head, "cut")])
            runner = make_runner(targets, placer=placer)
            _, _, refusal = run_completion(runner, make_completion())
            self.assertIs(MAY_HAVE_RUN, refusal.verdict)
            self.assertIs(verdicts.Reason.OVERLOADED, refusal.reason)

    def test_declined_attempts_have_verdict_not_run(self):
        targets = fakes.FakeTargets(streams=[make_stream("not_run")] * 4)
        _, _, refusal = run_completion(make_runner(targets), make_completion())
        self.assertIs(NOT_RUN, refusal.verdict)


class DeadlineTests(testtools.TestCase):

    def test_expired_request_is_not_sent(self):
        """A thread paused past the deadline while placing must not send."""
        clock = fakes.FakeClock()
        targets = fakes.FakeTargets(streams=[generate_rest])
        placer = fakes.FakePlacer()
        original_place = placer.place

        def place_after_deadline(dispatch_request, is_retry):
            clock.now = 100.0
            return original_place(dispatch_request, is_retry)

        placer.place = place_after_deadline
        runner = make_runner(targets, clock, placer)
        _, is_complete, refusal = run_completion(runner, make_completion())
        self.assertFalse(is_complete)
        self.assertIs(NOT_RUN, refusal.verdict)
        self.assertEqual([], targets.calls)

    @hypothesis.given(strategies.lists(strategies.integers(0, 30), max_size=8))
    def test_attempt_timeouts_end_with_deadline(self, delay_seconds):
        clock = fakes.FakeClock()
        delays = list(delay_seconds)

        def generate_slowly(call):
            clock.now += delays.pop(0) if delays else 1
            if clock.now >= 60.0:
                raise errors.TargetError("deadline", MAY_HAVE_RUN)
            raise errors.TargetError("cut", MAY_HAVE_RUN)
            yield

        targets = fakes.FakeTargets(streams=[generate_slowly] * 9)
        run_completion(make_runner(targets, clock), make_completion())
        for _, call, timeout in targets.calls:
            self.assertThat(timeout, matchers.LessThan(60.001))
            self.assertEqual(timeout, call.timeout_seconds)
        self.assertThat(clock.now, matchers.LessThan(60.0 + 30.0 + 0.001))


class GroupTests(testtools.TestCase):

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["ok", "lost", "refused"]), max_size=6
        )
    )
    def test_group_is_all_or_nothing(self, script):
        """A reservation left on an engine is unclaimed: the sweep frees it."""
        targets = fakes.FakeTargets(script, streams=[generate_rest] * 4)
        reservations = reservation.ReservationRegistry()
        placer = fakes.FakePlacer([f"t{n}" for n in range(8)], members=3)
        runner = make_runner(targets, placer=placer, reservations=reservations)
        run_completion(runner, make_completion())
        self.assertEqual(set(), reservations.claimed)
        if not script:
            self.assertEqual({}, targets.reserved)
        for _, call, _ in targets.calls:
            self.assertEqual(3, len(call.group))
