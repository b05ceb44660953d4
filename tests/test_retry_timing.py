"""When retries count in the retry budget."""

from catkintrail import verdict as verdicts
from catkintrail.core import request_router
from tests import relaying as builders
from tests import test_relay

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class RetryTimingTests(test_relay.RelayTestCase):

    def setUp(self):
        super().setUp()
        self.router = builders.make_router(
            [builders.make_target(f"e-{i}") for i in range(1, 31)]
        )

    def test_retry_counts_in_the_window_in_which_it_is_sent(self):
        # Guards against retries that wait for a connection and arrive together.
        sent_at = []

        def fail_to_connect():
            self.now += 0.4
            return test_relay.target_error(NOT_RUN, is_silent=True)

        def respond():
            sent_at.append(self.now)
            return test_relay.FakeTargetResponse(200, [test_relay.event(0)])

        self.serve(
            test_relay.target_error(MAY_HAVE_RUN),
            *[fail_to_connect] * 20,
            respond,
            path="/ask/a",
        )
        self.assertEqual(1, len(sent_at))
        counted_at = self.router.retry_budget("engines")._retries[-1]
        self.assertLess(sent_at[0] - counted_at, 1.0)

    def test_retries_that_waited_and_new_ones_keep_to_the_bound_together(self):
        router = builders.make_router(
            [builders.make_target("e-1")], retry_extra=100.0, retry_ratio=0.2
        )
        seconds = router.settings.retry_window_seconds
        admission = router.admit("wells.example", "/ask/a", "key-1", 100.0)
        request = request_router.PlacementRequest(
            "k", admission, 5_000, 500, 0.0, frozenset(), True
        )

        def place(now, **changes):
            placement = router.place(request._replace(**changes), now)
            return isinstance(placement, request_router.Placement)

        waiting = sum(place(100.0) for _ in range(500))
        end = 100.0 + seconds
        sent = sum(place(end - 0.1, counted_at=100.0) for _ in range(waiting))
        sent += sum(place(end + 0.1) for _ in range(500))
        share = 100.0 / router.fleet_state.peers.likely_size
        self.assertLessEqual(sent, share)
