"""Tests of at-most-once execution of calls with an idempotency key."""

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
    """The runners of one instance, with a shared store and shared targets."""

    def __init__(self, name, store, targets):
        self.runners = fakes.Runners(name, targets, store)
        self.unsaved_results = self.runners.unsaved_results
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
    """Returns the body of the answer, a refusal, or None after a crash."""
    try:
        return instance.call(**arguments).body
    except errors.RequestError as error:
        return error.refusal
    except fakes.SimulatedCrash:
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
        """Concurrent attempts crash and lose responses.

        The call must run at most once, all answers must be the same, and an
        attempt that reports NOT_RUN must not have run.
        """
        targets = fakes.FakeTargets(script)
        store = fakes.FaultyStore(faults)
        calls = 0
        outcomes = []
        pending_competitors = list(competitors)

        def run_competitor():
            nonlocal calls
            calls += 1
            if pending_competitors and calls > pending_competitors[0]:
                pending_competitors.pop(0)
                competitor = Instance(
                    f"rival{len(pending_competitors)}", store, targets
                )
                outcomes.append((competitor, outcome(competitor)))

        store.before_call = run_competitor
        targets.before_call = run_competitor
        for number in range(1 + repeats):
            instance = Instance(f"again{number}", store, targets)
            outcomes.append((instance, outcome(instance)))
        self.assertThat(targets.executions, testtools.matchers.LessThan(2))
        answers = {body for _, body in outcomes if isinstance(body, bytes)}
        self.assertThat(len(answers), testtools.matchers.LessThan(2))
        self.assertTrue(targets.executions or not answers)
        for instance, refusal in outcomes:
            if not isinstance(refusal, verdicts.Refusal):
                continue
            if refusal.verdict is verdicts.Verdict.NOT_RUN:
                prefix = instance.prefix + "."
                ran = [a for a in targets.executed if a.startswith(prefix)]
                self.assertEqual([], ran)

    def test_repeated_call_gets_recorded_result(self):
        store = fakes.FaultyStore()
        targets = fakes.FakeTargets()
        first = outcome(Instance("a", store, targets))
        self.assertEqual(first, outcome(Instance("b", store, targets)))
        self.assertEqual(1, targets.executions)

    def test_lost_response_of_create_is_resolved_by_reading(self):
        store = fakes.FaultyStore([fakes.LOST])
        targets = fakes.FakeTargets()
        self.assertEqual(b"result 1", outcome(Instance("a", store, targets)))

    def test_store_outage_is_reported_as_not_run_with_retry_after(self):
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

    def test_call_without_response_is_never_repeated(self):
        store = fakes.FaultyStore()
        targets = fakes.FakeTargets(["lost"])
        for name in ("a", "b"):
            refusal = outcome(Instance(name, store, targets))
            self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, refusal.verdict)
        self.assertEqual(1, targets.executions)

    def test_key_reuse_with_different_body_is_rejected(self):
        store = fakes.FaultyStore()
        targets = fakes.FakeTargets()
        outcome(Instance("a", store, targets))
        refusal = outcome(Instance("b", store, targets), body=b"other")
        self.assertIs(verdicts.Reason.KEY_REUSED, refusal.reason)

    def test_result_can_be_stored_after_a_store_failure(self):
        store = fakes.FaultyStore([fakes.OK, fakes.DOWN])
        instance = Instance("a", store, fakes.FakeTargets())
        self.assertEqual(b"result 1", outcome(instance))
        ((claim, record),) = instance.unsaved_results
        self.assertTrue(idempotency.store_outcome(store, claim, record))
        again = Instance("b", store, fakes.FakeTargets())
        self.assertEqual(b"result 1", outcome(again))

    def test_key_is_required(self):
        instance = Instance("a", fakes.FaultyStore(), fakes.FakeTargets())
        refusal = outcome(instance, key="")
        self.assertIs(verdicts.Reason.BAD_REQUEST, refusal.reason)

    def test_oversized_result_is_recorded_as_run(self):
        store = fakes.FaultyStore()
        claim = idempotency.claim_run(store, NAME, "n", "f", 1.0, 0.0)
        record = idempotency.finished_record(
            claim, 200, "text/plain", b"x" * (1 << 20)
        )
        self.assertTrue(idempotency.store_outcome(store, claim, record))
        recorded = idempotency.claim_run(store, NAME, "m", "f", 1.0, 0.0)
        self.assertFalse(recorded.record.is_whole)
