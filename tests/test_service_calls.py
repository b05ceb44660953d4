"""Tests of verdicts, retries and the retry budget of service calls."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from catkintrail import errors
from catkintrail import objects
from catkintrail import service_calls
from catkintrail import verdict as verdicts
from tests import fakes

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class VerdictTests(testtools.TestCase):

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["ok", "not_run", "lost", "unreached"]),
            max_size=6,
        ),
        strategies.booleans(),
    )
    @hypothesis.settings(max_examples=300)
    def test_not_run_verdict_is_correct_and_post_runs_at_most_once(
        self, script, is_post
    ):
        targets = fakes.FakeTargets(script)
        runner = fakes.Runners("a", targets)
        request = service_calls.ServiceRequest(
            "r",
            "rota",
            objects.Service(require_key=False),
            "guild",
            objects.Organisation(),
            "POST" if is_post else "GET",
            "/",
            {},
            b"",
            "",
            5,
            60.0,
        )
        try:
            runner.call(request)
        except errors.RequestError as error:
            if error.refusal.verdict is NOT_RUN:
                self.assertEqual(0, targets.executions)
            self.assertIsNotNone(error.refusal.retry_after_seconds)
        if is_post:
            self.assertThat(targets.executions, matchers.LessThan(2))
            lost_attempts = [
                s for s in script[: len(targets.calls)] if s == "lost"
            ]
            self.assertThat(len(lost_attempts), matchers.LessThan(2))

    def test_refused_retry_keeps_verdict_may_have_run(self):
        refusal = verdicts.Refusal(NOT_RUN, verdicts.Reason.OVERLOADED, "", 1.0)
        targets = fakes.FakeTargets(["unreached"])
        placer = fakes.FakePlacer()
        runner = fakes.Runners("a", targets, placer=placer)
        original_place = placer.place

        def place(work, is_retry):
            placer.refusal = refusal if is_retry else None
            return original_place(work, is_retry)

        placer.place = place
        request = service_calls.ServiceRequest(
            "r",
            "rota",
            objects.Service(),
            "guild",
            objects.Organisation(),
            "GET",
            "/",
            {},
            b"",
            "",
            5,
            60.0,
        )
        error = self.assertRaises(errors.RequestError, runner.call, request)
        self.assertIs(MAY_HAVE_RUN, error.refusal.verdict)

    def test_retries_are_limited_by_budget(self):
        targets = fakes.FakeTargets(["not_run"] * 100)
        runner = fakes.Runners("a", targets)
        request = service_calls.ServiceRequest(
            "r",
            "rota",
            objects.Service(),
            "guild",
            objects.Organisation(retry_fraction=0.1),
            "GET",
            "/",
            {},
            b"",
            "",
            5,
            1_000.0,
        )
        for _ in range(20):
            self.assertRaises(errors.RequestError, runner.call, request)
        # Twenty first attempts earn two retries beyond the initial budget of
        # three.
        self.assertThat(len(targets.calls), matchers.LessThan(20 + 6))
