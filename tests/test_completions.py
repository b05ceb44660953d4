"""Whole answers, deadlines and groups of completions."""

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

LENGTH = 8
WORDS = [f"w{number} " for number in range(LENGTH)]
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


def make_runner(targets, clock=None, placer=None, book=None):
    return fakes.Runners("a", targets, None, clock, placer=placer, book=book)


def completion(**changes):
    request = completions.Completion(
        "r",
        "m",
        objects.Model(10_000, 10_000),
        "guild",
        objects.Organisation(retry_fraction=1.0),
        b"{}",
        100,
        LENGTH,
        (),
        5,
        0.5,
        60.0,
    )
    return request._replace(**changes)


def chunk(call, start, end, is_end=None, attempt_id=None):
    return attempts.Chunk(
        attempt_id or call.attempt_id,
        start,
        end - start,
        "".join(WORDS[start:end]),
        end == LENGTH if is_end is None else is_end,
    )


def stream(*steps):
    """Makes an engine's stream: lists of (start, end) pairs and faults."""

    def generate(call):
        for step in steps:
            if step == "cut":
                raise errors.TargetError("cut", MAY_HAVE_RUN)
            if step == "not_run":
                raise errors.TargetError("declined", NOT_RUN)
            if step == "crossed":
                another = chunk(call, call.offset, LENGTH, attempt_id="b")
                yield another._replace(text="not yours")
            else:
                yield chunk(call, *step)

    return generate


def honest(call):
    """An engine that answers the rest of the answer, word by word."""
    for start in range(call.offset, LENGTH):
        yield chunk(call, start, start + 1)


def collect(runner, request):
    """Returns the text passed on, whether it was whole, and the refusal."""
    texts, is_whole, refusal = [], False, None
    try:
        for piece in runner.complete(request):
            texts.append(piece.text)
            is_whole = piece.end
    except errors.RequestError as error:
        refusal = error.refusal
    return "".join(texts), is_whole, refusal


def any_steps():
    pairs = strategies.tuples(
        strategies.integers(0, LENGTH), strategies.integers(0, LENGTH)
    ).map(lambda pair: tuple(sorted(pair)))
    faults = strategies.sampled_from(["cut", "not_run", "crossed"])
    return strategies.lists(pairs | faults, max_size=6)


class WholeAnswerTests(testtools.TestCase):

    @hypothesis.given(strategies.lists(any_steps(), min_size=4, max_size=4))
    @hypothesis.settings(max_examples=500)
    def test_text_is_a_prefix_and_whole_only_with_all_of_it(self, streams):
        """Crossed, doubled, reordered and cut chunks do no harm."""
        targets = fakes.FakeTargets(streams=[stream(*one) for one in streams])
        text, is_whole, refusal = collect(make_runner(targets), completion())
        whole = "".join(WORDS)
        self.assertTrue(whole.startswith(text))
        self.assertEqual(is_whole, refusal is None)
        if is_whole:
            self.assertEqual(whole, text)

    def test_cut_stream_is_resumed_where_it_ended(self):
        targets = fakes.FakeTargets(
            streams=[stream((0, 3), "cut"), stream((3, 5), "cut"), honest]
        )
        text, is_whole, _ = collect(make_runner(targets), completion())
        self.assertEqual("".join(WORDS), text)
        self.assertTrue(is_whole)
        offsets = [call.offset for _, call, _ in targets.calls]
        self.assertEqual([0, 3, 5], offsets)
        addresses = {address for address, _, _ in targets.calls}
        self.assertEqual(3, len(addresses))

    def test_end_mark_at_another_length_is_not_whole(self):
        """A chunk was lost before the end mark, or the mark is another's."""
        for length in (0, 2, 5):

            def ends_at(call, length=length):
                yield chunk(call, 0, 3)
                yield chunk(call, length, length, True)

            targets = fakes.FakeTargets(streams=[ends_at])
            request = completion(model=objects.Model(9, 9, resume=False))
            _, is_whole, refusal = collect(make_runner(targets), request)
            self.assertFalse(is_whole)
            self.assertIs(MAY_HAVE_RUN, refusal.verdict)

    def test_model_without_resume_ends_in_an_error(self):
        targets = fakes.FakeTargets(streams=[stream((0, 3), "cut"), honest])
        request = completion(model=objects.Model(9, 9, resume=False))
        text, is_whole, refusal = collect(make_runner(targets), request)
        self.assertEqual("".join(WORDS[:3]), text)
        self.assertFalse(is_whole)
        self.assertIs(MAY_HAVE_RUN, refusal.verdict)

    def test_caller_that_ends_after_the_last_piece_cancels_nothing(self):
        targets = fakes.FakeTargets(streams=[stream((0, LENGTH))])
        placer = fakes.FakePlacer()
        pieces = make_runner(targets, placer=placer).complete(completion())
        self.assertTrue(next(pieces).end)
        pieces.close()
        self.assertEqual([], targets.cancelled)
        self.assertEqual(retrying.WHOLE, placer.released[0][1].outcome)

    def test_ended_caller_cancels_the_attempt(self):
        targets = fakes.FakeTargets(streams=[honest])
        placer = fakes.FakePlacer()
        runner = make_runner(targets, placer=placer)
        pieces = runner.complete(completion())
        next(pieces)
        pieces.close()
        self.assertEqual(1, len(targets.cancelled))
        self.assertEqual(retrying.CANCELLED, placer.released[0][1].outcome)


class VerdictTests(testtools.TestCase):

    def test_later_failure_does_not_make_a_doubtful_attempt_not_run(self):
        targets = fakes.FakeTargets(
            streams=[stream("cut")] + [stream("not_run")] * 3
        )
        _, _, refusal = collect(make_runner(targets), completion())
        self.assertIs(MAY_HAVE_RUN, refusal.verdict)

    def test_refused_retry_does_not_make_a_doubtful_attempt_not_run(self):
        """The first attempt passed text on; no place is left for another."""
        for head in ([], [(0, 3)], [(0, 3), "not_run"]):
            placer = fakes.FakePlacer()
            original = placer.place

            def place(work, is_retry, placer=placer, original=original):
                if is_retry:
                    placer.refusal = verdicts.Refusal(
                        NOT_RUN, verdicts.Reason.OVERLOADED, "", 1.0
                    )
                return original(work, is_retry)

            placer.place = place
            targets = fakes.FakeTargets(streams=[stream(*head, "cut")])
            runner = make_runner(targets, placer=placer)
            _, _, refusal = collect(runner, completion())
            self.assertIs(MAY_HAVE_RUN, refusal.verdict)
            self.assertIs(verdicts.Reason.OVERLOADED, refusal.reason)

    def test_declined_attempts_are_not_run(self):
        targets = fakes.FakeTargets(streams=[stream("not_run")] * 4)
        _, _, refusal = collect(make_runner(targets), completion())
        self.assertIs(NOT_RUN, refusal.verdict)


class DeadlineTests(testtools.TestCase):

    def test_passed_deadline_sends_nothing(self):
        """A thread that was paused before the send must not send."""
        clock = fakes.FakeClock()
        targets = fakes.FakeTargets(streams=[honest])
        placer = fakes.FakePlacer()
        placed = placer.place

        def pause(work, is_retry):
            clock.now = 100.0
            return placed(work, is_retry)

        placer.place = pause
        runner = make_runner(targets, clock, placer)
        _, is_whole, refusal = collect(runner, completion())
        self.assertFalse(is_whole)
        self.assertIs(NOT_RUN, refusal.verdict)
        self.assertEqual([], targets.calls)

    @hypothesis.given(strategies.lists(strategies.integers(0, 30), max_size=8))
    def test_never_ends_after_the_deadline(self, seconds):
        clock = fakes.FakeClock()
        pauses = list(seconds)

        def slow(call):
            clock.now += pauses.pop(0) if pauses else 1
            if clock.now >= 60.0:
                raise errors.TargetError("deadline", MAY_HAVE_RUN)
            raise errors.TargetError("cut", MAY_HAVE_RUN)
            yield

        targets = fakes.FakeTargets(streams=[slow] * 9)
        collect(make_runner(targets, clock), completion())
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
        """What is not freed is no longer claimed, so the sweep frees it."""
        targets = fakes.FakeTargets(script, streams=[honest] * 4)
        book = reservation.ReservationBook()
        placer = fakes.FakePlacer([f"t{n}" for n in range(8)], members=3)
        runner = make_runner(targets, placer=placer, book=book)
        collect(runner, completion())
        self.assertEqual(set(), book.claimed)
        if not script:
            self.assertEqual({}, targets.reserved)
        for _, call, _ in targets.calls:
            self.assertEqual(3, len(call.group))
