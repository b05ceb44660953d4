"""Tests of relaying with fake callers, targets and memory leases."""

import random

import testtools

from catkintrail import errors
from catkintrail import relay
from catkintrail import verdict as verdicts
from catkintrail.core import memory_lease
from catkintrail.core.quarantine import crash_evidence
from catkintrail.ports import relaying
from tests import relaying as builders

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
EVENT_STREAM = "text/event-stream"
SIGNATURE_HEADERS = (("Engine-Stamp", "s"), ("Attempt-Id", "r1"))


class FakeResponseWriter:
    """Records the response to a caller.

    Attributes:
        budget: Bytes that may be held.
    """

    def __init__(self):
        self.budget = 1 << 30
        self.status = 0
        self.headers = {}
        self.length = None
        self.body = b""
        self.is_aborted = False
        self.on_write = None

    def start(self, status, headers, length):
        self.status = status
        self.headers = dict(headers)
        self.length = length

    def write(self, data):
        self.body += data
        if self.on_write:
            self.on_write()

    def hold(self, size):
        self.budget -= size
        if self.budget < 0:
            raise errors.MemorySpentError()

    def abort(self):
        self.is_aborted = True


class FakeCaller:

    def __init__(self):
        self.is_disconnected = False
        self.is_interrupted = False

    def set_disconnect_callback(self, shut):
        pass

    def clear_disconnect_callback(self):
        pass


class FakeTargetResponse:
    """A response whose body is a list of byte strings and exceptions."""

    def __init__(
        self, status, parts, headers=SIGNATURE_HEADERS, is_signed=True
    ):
        self.status = status
        self.headers = headers
        self.is_signed = is_signed
        self.is_reused = False
        self.is_framed = True
        self.parts = list(parts)

    def read(self, until):
        if not self.parts:
            return b""
        part = self.parts.pop(0)
        if isinstance(part, Exception):
            raise part
        return part

    def close(self):
        pass


class FakeTargets:
    """Returns, raises or calls the next script entry on each send."""

    def __init__(self, clock, *script):
        self.clock = clock
        self.script = list(script)
        self.sends = []
        self.extend = None

    def send(self, target, request, caller, until, extend):
        self.sends.append((target, request, until))
        self.extend = extend
        step = self.script.pop(0)
        if callable(step):
            step = step()
        if isinstance(step, Exception):
            raise step
        return step


class FakeMetrics:

    outcome = ""

    def record_request(self, outcome, seconds):
        self.outcome = outcome

    def record_first_event(self, seconds):
        pass

    def record_send(self, outcome):
        pass


class FakeLeases:
    """Reserves memory, except on the engines in `full`."""

    def __init__(self):
        self.full = set()
        self.held = []

    def reserve(self, target, tokens):
        if target.name in self.full:
            raise target_error(NOT_RUN)
        lease = memory_lease.Lease(f"r-{target.name}", target.name, tokens)
        self.held.append(lease)
        return lease

    def release(self, lease):
        self.held.remove(lease)


class DirectRouter:
    """Calls a router in the test's thread, with the test's clock."""

    def __init__(self, router, clock):
        self.router = router
        self.clock = clock
        self.leaving_targets = []

    def admit(self, host, path, api_key):
        return self.router.admit(host, path, api_key, self.clock())

    def place(self, request):
        return self.router.place(request, self.clock())

    def record_first_token(self, key, measured_ms, predicted_ms):
        self.router.record_first_token(
            key, measured_ms, predicted_ms, self.clock()
        )

    def record_attempt_end(
        self, key, target, is_success, is_target_fault, is_silent
    ):
        self.router.record_attempt_end(
            key, target, is_success, is_target_fault, is_silent, self.clock()
        )

    def acquire_retry(self, service):
        return self.router.acquire_retry(service, self.clock())

    def find_quarantine(self, parts):
        until = self.router.quarantine.find(parts, self.clock())
        return None if until is None else until - self.clock()

    def record_request_crash(self, target, parts, has_begun, is_resend):
        crash = crash_evidence.EngineCrash(
            target.name, target.born, parts, has_begun
        )
        self.router.quarantine.record_crash(crash, self.clock())

    def begin_trial(self, parts):
        return bool(self.router.quarantine.begin_trial(parts, self.clock()))

    def record_request_proof(self, parts):
        self.router.quarantine.record_proof(parts, self.clock())

    def find_obstacle(self, target, permits):
        return self.router.notices.find_obstacle(target, permits, self.clock())

    def mark_target_leaving(self, target):
        self.leaving_targets.append(target)


def event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n".encode()


def target_error(verdict, **changes):
    return errors.TargetError("broken", verdict, **changes)


class RelayTestCase(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.reply = FakeResponseWriter()
        self.caller = FakeCaller()
        self.targets = None
        self.leases = FakeLeases()
        self.metrics = FakeMetrics()
        self.router = builders.make_router(
            [builders.make_target(f"e-{i}") for i in range(1, 5)]
            + [builders.make_target(f"d-{i}", "desk") for i in range(1, 4)]
        )

    def clock(self):
        return self.now

    def serve(self, *script, path="/ask/a", **changes):
        request = relaying.CallerRequest(
            request_id="r1",
            method="POST",
            uri=path,
            host="wells.example",
            headers=(),
            body=b"",
            api_key="key-1",
            deadline_ms=10_000.0,
            prompt_tokens=5_000,
            output_tokens=500,
            last_event=-1,
            received_at=self.now,
        )._replace(**changes)
        self.targets = FakeTargets(self.clock, *script)
        served_relay = relay.Relay(
            "a-1",
            DirectRouter(self.router, self.clock),
            self.targets,
            self.leases,
            self.metrics,
            self.clock,
            random.Random(1),
        )
        served_relay.handle(request, self.reply, self.caller)

    def assert_no_load_counted(self):
        self.assertEqual({}, self.router.load.by_target)


class AnswerTests(RelayTestCase):

    def test_response_is_forwarded_unchanged(self):
        self.serve(FakeTargetResponse(200, [b"bo", b"dy"]), path="/book/a")
        self.assertEqual((200, b"body"), (self.reply.status, self.reply.body))
        self.assertEqual("s", self.reply.headers["Engine-Stamp"])
        self.assertEqual(4, self.reply.length)
        self.assert_no_load_counted()

    def test_truncated_response_is_not_forwarded(self):
        self.serve(
            FakeTargetResponse(200, [b"bo", target_error(MAY_HAVE_RUN)]),
            path="/book/a",
        )
        self.assertEqual(502, self.reply.status)
        self.assertNotIn("Engine-Stamp", self.reply.headers)

    def test_unsigned_success_is_not_forwarded(self):
        self.serve(FakeTargetResponse(200, [b"x"], (), False), path="/book/a")
        self.assertEqual(502, self.reply.status)

    def test_target_failure_keeps_its_status_and_signature(self):
        self.serve(FakeTargetResponse(500, [b"no"]), path="/book/a")
        self.assertEqual((500, b"no"), (self.reply.status, self.reply.body))
        self.assertEqual("s", self.reply.headers["Engine-Stamp"])

    def test_failed_repeatable_request_is_retried(self):
        self.serve(
            FakeTargetResponse(500, [b"no"]),
            FakeTargetResponse(200, [b"ok"]),
            path="/look/a",
        )
        self.assertEqual((200, b"ok"), (self.reply.status, self.reply.body))

    def test_last_failure_is_forwarded_when_all_sends_fail(self):
        self.serve(
            FakeTargetResponse(500, [b"1"]),
            FakeTargetResponse(500, [b"2"]),
            path="/look/a",
        )
        self.assertEqual((500, b"2"), (self.reply.status, self.reply.body))


class SpentMemoryTests(RelayTestCase):
    """Responses that cannot be kept until they may be forwarded."""

    PART = b"x" * 60_000

    def setUp(self):
        super().setUp()
        self.reply.budget = 200_000

    def assert_refused(self):
        self.assertEqual(502, self.reply.status)
        self.assertIn(b"memory", self.reply.body)
        self.assertEqual("refused", self.metrics.outcome)
        self.assertEqual(1, len(self.targets.sends))
        self.assert_no_load_counted()

    def test_unfinished_event_is_counted(self):
        # Guards against targets that fill the memory with events without end.
        parts = [b"data: "] + [self.PART] * 8
        self.serve(FakeTargetResponse(200, parts))
        self.assert_refused()

    def test_whole_events_are_not_counted(self):
        self.reply.budget = 0
        parts = [event(n, "x" * 50_000) for n in range(8)]
        self.serve(FakeTargetResponse(200, parts))
        self.assertEqual(b"".join(parts), self.reply.body)

    def test_response_that_cannot_be_kept_is_refused(self):
        # Guards against connections that are closed without an answer.
        for path in ("/book/a", "/look/a"):
            self.serve(FakeTargetResponse(200, [self.PART] * 8), path=path)
            self.assert_refused()
            self.reply = FakeResponseWriter()
            self.reply.budget = 200_000

    def test_stream_that_has_begun_is_cut(self):
        parts = [event(0), b"data: "] + [self.PART] * 8
        self.serve(FakeTargetResponse(200, parts))
        self.assertEqual(event(0), self.reply.body)
        self.assertTrue(self.reply.is_aborted)


class QuarantineTests(RelayTestCase):
    """Requests under which targets have broken responses off."""

    def setUp(self):
        super().setUp()
        broken = target_error(MAY_HAVE_RUN, is_broken_off=True)
        self.serve(broken, broken, path="/look/a")
        self.traits = tuple(self.router.quarantine.evidence.suspects)
        for number in range(3):
            self.now += 0.2
            crash = crash_evidence.EngineCrash(
                f"gone-{number}", 1, self.traits, False
            )
            added = self.router.quarantine.record_crash(crash, self.now)
            if added:
                break
        self.assertEqual([frozenset(self.traits)], added)
        self.now += 1.0

    def serve(self, *script, **changes):
        self.reply = FakeResponseWriter()
        super().serve(*script, **changes)
        self.now += 0.2

    def test_trial_that_is_answered_ends_the_quarantine(self):
        for _ in range(2):
            self.serve(FakeTargetResponse(200, [b"ok"]), path="/look/a")
            self.assertEqual(200, self.reply.status)

    def test_trial_that_breaks_off_is_not_sent_again(self):
        self.serve(
            target_error(MAY_HAVE_RUN, is_broken_off=True),
            FakeTargetResponse(200, [b"ok"]),
            path="/look/a",
        )
        self.assertEqual(502, self.reply.status)
        self.assertEqual(1, len(self.targets.sends))

    def test_request_is_refused_while_another_is_on_trial(self):
        def answer(_):
            self.assertIsNotNone(
                self.router.quarantine.find(self.traits, self.now)
            )
            self.assertEqual(
                [], self.router.quarantine.begin_trial(self.traits, self.now)
            )
            return b"ok"

        response = FakeTargetResponse(200, [b"ok"])
        response.read = lambda until, read=response.read: (
            answer(until) and read(until)
        )
        self.serve(response, path="/look/a")
        self.assertEqual(200, self.reply.status)


class LeavingTests(RelayTestCase):

    def test_target_that_leaves_while_memory_is_reserved_is_not_sent_to(self):
        leaving = []

        def reserve(target, tokens):
            placed = self.router.load.by_owner["a-1"]
            first = next(iter(placed.values())).targets[0]
            if not leaving:
                leaving.append(first)
                self.router.fleet_state.mark_target_leaving(first, 1, self.now)
            return memory_lease.Lease(f"r-{target.name}", target.name, tokens)

        self.leases.reserve = reserve
        self.leases.release = lambda lease: None
        self.serve(
            FakeTargetResponse(200, [event(0), event(1)]),
            FakeTargetResponse(200, [event(0), event(1)]),
            prompt_tokens=900_000,
        )
        self.assertNotEqual([], leaving)
        self.assertNotIn(
            leaving[0], [send[0].name for send in self.targets.sends]
        )

    def test_withheld_sends_use_up_neither_sends_nor_health(self):
        withheld = errors.TargetNotCalledError("leaving", "")
        self.serve(
            withheld,
            withheld,
            FakeTargetResponse(200, [event(0)]),
        )
        self.assertEqual(200, self.reply.status)
        for target, _, _ in self.targets.sends:
            self.assertEqual(
                0.0, self.router.health.penalty(target.name, 100.0)
            )


class AtMostOnceTests(RelayTestCase):

    def test_request_that_may_have_run_is_not_retried(self):
        self.serve(target_error(MAY_HAVE_RUN), path="/book/a")
        self.assertEqual(1, len(self.targets.sends))
        self.assertEqual(502, self.reply.status)
        self.assertNotIn("Retry-After", self.reply.headers)

    def test_request_that_did_not_run_is_retried_on_another_target(self):
        self.serve(
            target_error(NOT_RUN),
            FakeTargetResponse(200, [b"ok"]),
            path="/book/a",
        )
        first, second = (send[0].name for send in self.targets.sends)
        self.assertNotEqual(first, second)
        self.assertEqual(200, self.reply.status)

    def test_request_that_did_not_run_is_refused_with_retry_after(self):
        self.serve(target_error(NOT_RUN), target_error(NOT_RUN), path="/book/a")
        self.assertEqual(503, self.reply.status)
        self.assertGreater(float(self.reply.headers["Retry-After"]), 0.0)

    def test_verdict_of_an_earlier_send_is_kept(self):
        self.serve(
            target_error(MAY_HAVE_RUN), target_error(NOT_RUN), path="/look/a"
        )
        self.assertEqual(502, self.reply.status)

    def test_sends_are_limited_by_the_route(self):
        self.serve(
            target_error(MAY_HAVE_RUN),
            target_error(MAY_HAVE_RUN),
            path="/look/a",
        )
        self.assertEqual(2, len(self.targets.sends))

    def test_retries_are_limited_by_the_budget(self):
        self.router = builders.make_router(
            [builders.make_target(f"d-{i}", "desk") for i in range(1, 4)],
            retry_ratio=0.0,
            retry_extra=0.0,
        )
        self.serve(target_error(NOT_RUN), path="/look/a")
        self.assertEqual(503, self.reply.status)
        self.assertEqual(1, len(self.targets.sends))


class RetryBudgetTests(RelayTestCase):

    REQUESTS = 10

    def test_request_whose_connections_are_refused_counts_once(self):
        # Guards against a budget that grows with the targets that are tried.
        self.router = builders.make_router(
            [builders.make_target(f"e-{i}") for i in range(1, 9)],
            retry_ratio=1.0,
            retry_extra=0.0,
        )
        refused = target_error(NOT_RUN, is_silent=True)
        for _ in range(self.REQUESTS):
            self.serve(*[refused] * 8)
            self.assertEqual(8, len(self.targets.sends))
        retries = 0
        while self.router.acquire_retry("engines", self.now):
            retries += 1
        self.assertLessEqual(retries, self.REQUESTS)


class DeadlineTests(RelayTestCase):

    def fail_after(self, seconds, error):
        def step():
            self.now += seconds
            return error

        return step

    def test_timeout_of_a_sent_request_gets_gateway_timeout(self):
        self.serve(
            self.fail_after(0.77, target_error(MAY_HAVE_RUN, is_silent=True)),
            path="/look/a",
        )
        self.assertEqual(504, self.reply.status)

    def test_target_deadline_is_within_the_route_timeout(self):
        self.serve(
            FakeTargetResponse(200, [b"ok"]), path="/book/a", deadline_ms=1500.0
        )
        request, until = self.targets.sends[0][1:]
        self.assertLessEqual(request.deadline, 100.8)
        self.assertLessEqual(until, 100.8)

    def test_target_deadline_is_within_the_caller_deadline(self):
        self.serve(
            FakeTargetResponse(200, [b"ok"]), path="/book/a", deadline_ms=300.0
        )
        self.assertLessEqual(self.targets.sends[0][1].deadline, 100.3)

    def test_unresponsive_engine_is_abandoned_in_time_for_a_retry(self):
        self.serve(
            self.fail_after(1.0, target_error(MAY_HAVE_RUN, is_silent=True)),
            FakeTargetResponse(200, [event(0)]),
        )
        self.assertLess(self.targets.sends[0][2], 102.0)
        self.assertEqual(200, self.reply.status)


class StreamTests(RelayTestCase):

    def test_events_are_forwarded_whole(self):
        self.serve(
            FakeTargetResponse(200, [event(0)[:5], event(0)[5:] + event(1)])
        )
        self.assertEqual(event(0) + event(1), self.reply.body)
        self.assertIsNone(self.reply.length)
        self.assertFalse(self.reply.is_aborted)

    def test_cut_stream_is_resumed_without_gap_or_repeat(self):
        self.serve(
            FakeTargetResponse(
                200, [event(0), event(1)[:6], target_error(MAY_HAVE_RUN)]
            ),
            FakeTargetResponse(200, [event(0, "again"), event(1), event(2)]),
        )
        self.assertEqual(event(0) + event(1) + event(2), self.reply.body)
        self.assertEqual(0, self.targets.sends[1][1].resume_after)

    def test_missing_event_is_fetched_by_a_resume(self):
        self.serve(
            FakeTargetResponse(200, [event(0), event(2)]),
            FakeTargetResponse(200, [event(1), event(2)]),
        )
        self.assertEqual(event(0) + event(1) + event(2), self.reply.body)

    def test_events_that_arrive_with_a_fault_are_forwarded(self):
        # Guards against a stream that is resumed behind an event that came in
        # one read with noise, or with a gap, and was never forwarded.
        noise = b"~ no answer ~\n\n" * 200
        for read, position in (
            (event(0) + noise, 0),
            (event(0) + event(1) + noise, 1),
            (event(0) + event(2), 0),
        ):
            self.reply = FakeResponseWriter()
            rest = b"".join(event(number) for number in range(position + 1, 4))
            self.serve(
                FakeTargetResponse(200, [read]),
                FakeTargetResponse(200, [rest]),
            )
            self.assertEqual(
                [position], [s[1].resume_after for s in self.targets.sends[1:]]
            )
            whole = b"".join(event(number) for number in range(4))
            self.assertEqual(whole, self.reply.body)
            self.assertFalse(self.reply.is_aborted)

    def test_events_that_arrive_with_a_fault_end_a_stream_that_is_cut(self):
        # Guards against sound events that are dropped with what follows them.
        routes = (builders.make_route(is_resumable=False),)
        self.router.fleet_state.update_configuration(
            builders.make_configuration(2, routes=routes), 100.0
        )
        self.serve(FakeTargetResponse(200, [event(0) + event(1) + event(3)]))
        self.assertEqual(event(0) + event(1), self.reply.body)
        self.assertTrue(self.reply.is_aborted)

    def test_stream_that_cannot_be_resumed_is_aborted(self):
        self.serve(
            FakeTargetResponse(200, [event(0), target_error(MAY_HAVE_RUN)]),
            target_error(MAY_HAVE_RUN),
        )
        self.assertTrue(self.reply.is_aborted)
        self.assertEqual(event(0), self.reply.body)

    def test_stream_goes_on_when_the_proof_of_its_key_has_grown_old(self):
        # Day scale-1 of Thumbloop: when a zone was cut off, the streams that
        # broke were not resumed, because the zone's proof had expired.
        def fail_later():
            self.now += 4.7
            return target_error(MAY_HAVE_RUN)

        class DelayedFailureResponse(FakeTargetResponse):

            def read(self, until):
                part = super().read(until)
                if callable(part):
                    raise part()
                return part

        self.serve(
            DelayedFailureResponse(200, [event(0), fail_later]),
            FakeTargetResponse(200, [event(1)]),
        )
        self.assertEqual(event(0) + event(1), self.reply.body)
        self.assertGreater(self.targets.sends[1][1].valid_until, self.now)

    def test_error_after_a_cut_stream_is_not_part_of_it(self):
        text = b"the engine failed\n\n"
        event_headers = (*SIGNATURE_HEADERS, ("Content-Type", EVENT_STREAM))
        text_headers = (*SIGNATURE_HEADERS, ("Content-Type", "text/plain"))
        for answer in (
            FakeTargetResponse(500, [text]),
            FakeTargetResponse(503, [text], is_signed=False),
            FakeTargetResponse(400, [text]),
            FakeTargetResponse(404, [event(1)]),
            FakeTargetResponse(204, []),
            FakeTargetResponse(200, [text], is_signed=False),
            FakeTargetResponse(200, [text], text_headers),
            FakeTargetResponse(200, [], text_headers),
            FakeTargetResponse(200, [text], event_headers),
            FakeTargetResponse(200, [text, event(1)], text_headers),
            FakeTargetResponse(200, [b"data: error\n\n"], event_headers),
        ):
            self.reply = FakeResponseWriter()
            name = (answer.status, answer.headers, list(answer.parts))
            self.serve(
                FakeTargetResponse(
                    200,
                    [event(0), event(1)[:6], target_error(MAY_HAVE_RUN)],
                    event_headers,
                ),
                answer,
            )
            self.assertEqual(event(0), self.reply.body, name)
            self.assertTrue(self.reply.is_aborted, name)

    def test_stream_cut_after_its_last_event_is_ended_by_a_resume(self):
        self.serve(
            FakeTargetResponse(200, [event(0), target_error(MAY_HAVE_RUN)]),
            FakeTargetResponse(200, []),
        )
        self.assertEqual(event(0), self.reply.body)
        self.assertFalse(self.reply.is_aborted)

    def test_comments_in_a_resumed_stream_are_no_error(self):
        self.serve(
            FakeTargetResponse(200, [event(0), target_error(MAY_HAVE_RUN)]),
            FakeTargetResponse(200, [b": wait\n\n", event(1)]),
        )
        self.assertEqual(event(0) + event(1), self.reply.body)
        self.assertFalse(self.reply.is_aborted)

    def test_stream_that_ends_within_an_event_is_resumed(self):
        self.serve(
            FakeTargetResponse(200, [event(0), b"id: 1\n"]),
            FakeTargetResponse(200, [event(1)]),
        )
        self.assertEqual(event(0) + event(1), self.reply.body)

    def test_stream_on_a_non_resumable_route_is_not_retried(self):
        routes = (builders.make_route(is_resumable=False),)
        self.router.fleet_state.update_configuration(
            builders.make_configuration(2, routes=routes), 100.0
        )
        self.serve(
            FakeTargetResponse(200, [event(0), target_error(MAY_HAVE_RUN)])
        )
        self.assertTrue(self.reply.is_aborted)
        self.assertEqual(1, len(self.targets.sends))

    def test_resuming_caller_gets_only_later_events(self):
        self.serve(
            FakeTargetResponse(200, [event(12), event(13)]), last_event=12
        )
        self.assertEqual(event(13), self.reply.body)


class MemoryTests(RelayTestCase):
    """Prompts that do not fit into the memory of one engine."""

    LONG_PROMPT = {"prompt_tokens": 700_000, "output_tokens": 500}

    def test_helper_memory_is_reserved_and_released(self):
        self.serve(FakeTargetResponse(200, [event(0)]), **self.LONG_PROMPT)
        self.assertEqual(200, self.reply.status)
        helpers = dict(self.targets.sends[0][1].helpers)
        reserved = [
            reservation for reservation in helpers.values() if reservation
        ]
        self.assertEqual(1, len(reserved))
        self.assertEqual([], self.leases.held)

    def test_helper_memory_is_released_when_all_sends_fail(self):
        self.serve(
            target_error(MAY_HAVE_RUN),
            target_error(MAY_HAVE_RUN),
            **self.LONG_PROMPT,
        )
        self.assertEqual([], self.leases.held)

    def test_failed_reservation_leaves_no_lease_or_load_behind(self):
        self.leases.full = {"e-1", "e-2"}
        self.serve(
            FakeTargetResponse(200, [event(0)]),
            FakeTargetResponse(200, [event(0)]),
            **self.LONG_PROMPT,
        )
        self.assertIn(self.reply.status, (200, 503))
        self.assertEqual([], self.leases.held)
        self.assert_no_load_counted()


class CallerDisconnectTests(RelayTestCase):

    def test_nothing_is_sent_after_the_caller_disconnected(self):
        self.caller.is_disconnected = True
        self.assertRaises(errors.CallerDisconnectedError, self.serve)
        self.assertEqual([], self.targets.sends)

    def test_disconnect_is_not_counted_as_target_failure(self):
        def disconnect():
            self.caller.is_disconnected = True
            return target_error(MAY_HAVE_RUN)

        self.assertRaises(
            errors.CallerDisconnectedError, self.serve, disconnect
        )
        name = self.targets.sends[0][0].name
        self.assertEqual(0.0, self.router.health.penalty(name, self.now))
        self.assert_no_load_counted()


class KeyProofTests(RelayTestCase):
    """Requests that are held back, as the proof of their key has expired."""

    def expire_proof(self):
        self.now += 4.7
        return errors.ProofExpiredError()

    def answer(self):
        return FakeTargetResponse(200, [event(0)])

    def test_held_back_request_is_not_sent_without_a_new_proof(self):
        # Guards against requests that run with a key that was revoked.
        self.serve(self.expire_proof, self.answer)
        self.assertEqual(1, len(self.targets.sends))
        self.assertEqual(503, self.reply.status)
        self.assertIn(b"no proof of the key", self.reply.body)

    def test_held_back_request_is_refused_if_its_key_was_revoked(self):
        def revoke():
            error = self.expire_proof()
            self.router.fleet_state.update_configuration(
                builders.make_configuration(2, keys=("key-2",)), self.now
            )
            return error

        self.serve(revoke, self.answer)
        self.assertEqual(1, len(self.targets.sends))
        self.assertEqual(401, self.reply.status)

    def test_held_back_request_is_sent_with_a_new_proof(self):
        def renew():
            error = self.expire_proof()
            self.router.fleet_state.configuration.confirm(1, self.now)
            return error

        self.serve(renew, self.answer)
        self.assertEqual(200, self.reply.status)
        sends = [request for _, request, _ in self.targets.sends]
        self.assertLess(sends[0].valid_until, sends[1].valid_until)
        self.assertLess(sends[1].valid_until, float("inf"))


class InterruptTests(RelayTestCase):
    """Requests that have to be answered, as the process ends."""

    def interrupt(self):
        self.caller.is_interrupted = True

    def check_refused(self):
        self.assertEqual([], self.targets.sends)
        self.assertEqual(503, self.reply.status)
        self.assertIn(b"draining", self.reply.body)
        self.assert_no_load_counted()

    def test_request_interrupted_during_its_placement_is_not_sent(self):
        # Guards against waits that outlast the process.
        place = self.router.place

        def place_and_interrupt(*arguments):
            self.interrupt()
            return place(*arguments)

        self.router.place = place_and_interrupt
        self.serve()
        self.check_refused()

    def test_request_interrupted_during_a_reservation_is_not_sent(self):
        # Guards against waits that outlast the process.
        reserve = self.leases.reserve
        reserved = []

        def reserve_and_interrupt(target, tokens):
            self.interrupt()
            reserved.append(target.name)
            return reserve(target, tokens)

        self.leases.reserve = reserve_and_interrupt
        self.serve(prompt_tokens=1_500_000)
        self.check_refused()
        self.assertEqual(1, len(reserved))
        self.assertEqual([], self.leases.held)


class RefusalTests(RelayTestCase):

    def test_unknown_route_is_refused_permanently(self):
        self.serve(path="/none/a")
        self.assertEqual(404, self.reply.status)

    def test_unknown_key_is_refused_permanently(self):
        self.serve(api_key="other")
        self.assertEqual(401, self.reply.status)

    def test_stale_configuration_refuses_only_temporarily(self):
        self.now += 1.9
        for changes in ({"path": "/none/a"}, {"api_key": "other"}):
            self.serve(**changes)
            self.assertEqual(503, self.reply.status)

    def test_key_without_a_recent_proof_is_refused(self):
        self.now += 4.7
        self.serve()
        self.assertEqual(503, self.reply.status)
        self.assertIn(b"store_unavailable", self.reply.body)

    def test_request_declined_by_a_leaving_target_is_retried(self):
        self.serve(
            target_error(NOT_RUN, is_leaving=True),
            FakeTargetResponse(200, [event(0)]),
        )
        self.assertEqual(200, self.reply.status)

    def test_request_without_targets_is_refused_without_waiting(self):
        self.router = builders.make_router([])
        self.serve()
        self.assertEqual(503, self.reply.status)
        self.assertEqual(100.0, self.now)


class ExtensionTests(RelayTestCase):
    """Silent targets are given up only for a retry that is allowed."""

    def exhaust_budget(self):
        while self.router.acquire_retry("engines", self.now):
            pass

    def be_silent(self, seconds, times):
        """Returns a script entry for a target that is silent."""

        def wait():
            self.now += seconds
            times.append(self.targets.extend() - self.now)
            return target_error(MAY_HAVE_RUN, is_silent=True)

        return wait

    def test_retry_that_is_allowed_is_counted_once(self):
        times = []
        budget = self.router.retry_budget("engines")
        self.serve(
            self.be_silent(1.0, times),
            FakeTargetResponse(200, [event(0), event(1)]),
        )
        self.assertEqual(([0.0], 1), (times, len(budget._retries)))
        self.assertEqual(event(0) + event(1), self.reply.body)

    def test_wait_is_extended_while_no_retry_is_allowed(self):
        times = []
        self.exhaust_budget()
        self.serve(self.be_silent(1.0, times))
        self.assertGreater(times[0], 0.0)

    def test_memory_is_not_kept_reserved_for_a_silent_target(self):
        times = []
        self.exhaust_budget()
        self.serve(self.be_silent(1.0, times), prompt_tokens=500_000)
        self.assertNotEqual((), self.targets.sends[0][1].helpers)
        self.assertEqual(([0.0], []), (times, self.leases.held))

    def test_wait_ends_at_the_deadline(self):
        times = []
        self.exhaust_budget()
        self.serve(self.be_silent(10.0, times))
        self.assertEqual([0.0], times)
