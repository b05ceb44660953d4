"""At most one run of a call with an idempotency key."""

import hypothesis
from hypothesis import strategies
import testtools

from catkintrail import errors
from catkintrail import objects
from catkintrail import service_calls
from catkintrail import verdict as verdicts
from catkintrail.core import idempotency
from tests import fakes

NAME = idempotency.record_name("guild", "key-1")


class Instance:
    """One instance's runner over a shared store and shared targets."""

    def __init__(self, name, store, targets):
        self.runners = fakes.Runners(name, targets, store)
        self.unwritten = self.runners.unwritten
        self.prefix = self.runners.ids.prefix

    def call(self, body=b"{}", key="key-1"):
        return self.runners.call(
            service_calls.ServiceRequest(
                "r",
                "rota",
                objects.Service(),
                "guild",
                objects.Organisation(),
                "POST",
                "/bookings",
                {},
                body,
                key,
                5,
                self.runners.clock() + 10.0,
            )
        )


def outcome(instance, **arguments):
    """Returns the answer's body, a refusal, or None where it died."""
    try:
        return instance.call(**arguments).body
    except errors.RequestError as error:
        return error.refusal
    except fakes.Died:
        return None


class AtMostOnceTests(testtools.TestCase):

    @hypothesis.given(
        faults=strategies.lists(strategies.integers(0, 5), max_size=14),
        script=strategies.lists(
            strategies.sampled_from(["ok", "not_run", "lost", "unreached"]),
            max_size=4,
        ),
        competitors=strategies.lists(strategies.integers(0, 8), max_size=3),
        repeats=strategies.integers(0, 3),
    )
    @hypothesis.settings(max_examples=600)
    def test_runs_at_most_once(self, faults, script, competitors, repeats):
        """Tries race, die and lose answers; each try says the truth."""
        targets = fakes.FakeTargets(script)
        store = fakes.FaultyStore(faults)
        calls = 0
        outcomes = []
        entering = list(competitors)

        def between():
            nonlocal calls
            calls += 1
            if entering and calls > entering[0]:
                entering.pop(0)
                rival = Instance(f"rival{len(entering)}", store, targets)
                outcomes.append((rival, outcome(rival)))

        store.between = between
        targets.before_call = between
        for number in range(1 + repeats):
            one = Instance(f"again{number}", store, targets)
            outcomes.append((one, outcome(one)))
        self.assertThat(targets.executions, testtools.matchers.LessThan(2))
        answers = {one for _, one in outcomes if isinstance(one, bytes)}
        self.assertThat(len(answers), testtools.matchers.LessThan(2))
        self.assertTrue(targets.executions or not answers)
        for instance, refusal in outcomes:
            if not isinstance(refusal, verdicts.Refusal):
                continue
            if refusal.verdict is verdicts.Verdict.NOT_RUN:
                prefix = instance.prefix + "."
                ran = [a for a in targets.executed if a.startswith(prefix)]
                self.assertEqual([], ran)

    def test_repeat_gets_recorded_result(self):
        store = fakes.FaultyStore()
        targets = fakes.FakeTargets()
        first = outcome(Instance("a", store, targets))
        self.assertEqual(first, outcome(Instance("b", store, targets)))
        self.assertEqual(1, targets.executions)

    def test_lost_answer_of_create_is_settled_by_reading(self):
        store = fakes.FaultyStore([fakes.LOST])
        targets = fakes.FakeTargets()
        self.assertEqual(b"result 1", outcome(Instance("a", store, targets)))

    def test_store_down_is_not_run_with_retry_after(self):
        store = fakes.FaultyStore([fakes.DOWN] * 9)
        targets = fakes.FakeTargets()
        refusal = outcome(Instance("a", store, targets))
        self.assertIs(verdicts.Verdict.NOT_RUN, refusal.verdict)
        self.assertIs(verdicts.Reason.STORE_UNAVAILABLE, refusal.reason)
        self.assertIsNotNone(refusal.retry_after_seconds)
        self.assertEqual(0, targets.executions)

    def test_declined_call_may_be_repeated(self):
        store = fakes.FaultyStore()
        targets = fakes.FakeTargets(["not_run"] * 4)
        refusal = outcome(Instance("a", store, targets))
        self.assertIs(verdicts.Verdict.NOT_RUN, refusal.verdict)
        self.assertEqual(b"result 1", outcome(Instance("b", store, targets)))

    def test_call_without_answer_is_never_repeated(self):
        store = fakes.FaultyStore()
        targets = fakes.FakeTargets(["lost"])
        for name in ("a", "b"):
            refusal = outcome(Instance(name, store, targets))
            self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, refusal.verdict)
        self.assertEqual(1, targets.executions)

    def test_key_with_another_body_is_refused(self):
        store = fakes.FaultyStore()
        targets = fakes.FakeTargets()
        outcome(Instance("a", store, targets))
        refusal = outcome(Instance("b", store, targets), body=b"other")
        self.assertIs(verdicts.Reason.KEY_REUSED, refusal.reason)

    def test_result_is_written_later_when_the_store_fails(self):
        store = fakes.FaultyStore([fakes.OK, fakes.DOWN])
        instance = Instance("a", store, fakes.FakeTargets())
        self.assertEqual(b"result 1", outcome(instance))
        ((begun, record),) = instance.unwritten
        self.assertTrue(idempotency.finish(store, begun, record))
        again = Instance("b", store, fakes.FakeTargets())
        self.assertEqual(b"result 1", outcome(again))

    def test_key_is_required(self):
        instance = Instance("a", fakes.FaultyStore(), fakes.FakeTargets())
        refusal = outcome(instance, key="")
        self.assertIs(verdicts.Reason.BAD_REQUEST, refusal.reason)

    def test_too_long_result_is_said_to_have_run(self):
        store = fakes.FaultyStore()
        begun = idempotency.begin(store, NAME, "n", "f", 1.0, 0.0)
        record = idempotency.finished(
            begun, 200, "text/plain", b"x" * (1 << 20)
        )
        self.assertTrue(idempotency.finish(store, begun, record))
        replay = idempotency.begin(store, NAME, "m", "f", 1.0, 0.0)
        self.assertFalse(replay.record.is_whole)
