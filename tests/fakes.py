"""Fakes of the ports, with fault injection controlled by the tests."""

import random

from catkintrail import completions
from catkintrail import errors
from catkintrail import messages
from catkintrail import retrying
from catkintrail import service_calls
from catkintrail import verdict as verdicts
from catkintrail.adapters import memory_platform
from catkintrail.core import attempts
from catkintrail.core import dispatch
from catkintrail.core import reservation
from catkintrail.ports import targets as targets_port

OK, DOWN, LOST, LATE, DIE_BEFORE, DIE_AFTER = range(6)


# Number of calls after which a late write takes effect: later than the call
# with which the code under test reads the write back.
LATE_WRITE_CALLS = 2


class SimulatedCrash(BaseException):
    """Simulates the crash of the process that makes a call."""


class FaultyStore:
    """A store with one scripted fault per call.

    The faults are DOWN (no effect and no response), LOST (the write takes
    effect, but its response is lost), LATE (no response, and the write takes
    effect before a later call), DIE_BEFORE and DIE_AFTER (the calling process
    crashes before or after the effect). `before_call` runs before each call, so
    that a test can interleave the calls of another instance.
    """

    def __init__(self, faults=(), before_call=None):
        self.inner = memory_platform.MemoryPlatform()
        self.faults = list(faults)
        self.before_call = before_call
        self.late_writes = []

    def _call(self, is_write, function):
        if self.before_call is not None:
            self.before_call()
        self._apply_late_writes()
        fault = self.faults.pop(0) if self.faults else OK
        if fault == DIE_BEFORE:
            raise SimulatedCrash()
        if fault == DOWN or (fault in (LOST, LATE) and not is_write):
            raise errors.PlatformUnavailableError("down")
        if fault == LATE:
            self.late_writes.append([LATE_WRITE_CALLS, function])
            raise errors.PlatformUnavailableError("late")
        result = function()
        if fault == DIE_AFTER:
            raise SimulatedCrash()
        if fault == LOST:
            raise errors.PlatformUnavailableError("lost")
        return result

    def _apply_late_writes(self):
        due = []
        for entry in self.late_writes:
            entry[0] -= 1
            if entry[0] <= 0:
                due.append(entry)
        self.late_writes = [
            entry for entry in self.late_writes if entry not in due
        ]
        for _, write in due:
            try:
                write()
            except errors.ConflictError:
                pass

    def read(self, name):
        return self._call(False, lambda: self.inner.read(name))

    def write(self, name, value, expected_version):
        return self._call(
            True, lambda: self.inner.write(name, value, expected_version)
        )

    def delete(self, name, expected_version):
        return self._call(
            True, lambda: self.inner.delete(name, expected_version)
        )

    def watch(self, name, after_version, seconds):
        return self._call(
            False, lambda: self.inner.watch(name, after_version, 0.0)
        )

    def list_targets(self):
        return self._call(False, self.inner.list_targets)


class FakeClock:
    """A clock that advances only by `sleep` or by assignment to `now`."""

    def __init__(self, now=0.0):
        self.now = now

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class FakePlacer:
    """Grants requests the first targets not in `avoid`, or refuses them."""

    def __init__(self, targets=("t0", "t1", "t2"), refusal=None, members=1):
        self.targets = targets
        self.refusal = refusal
        self.members = members
        self.placed = []
        self.released = []

    def place(self, dispatch_request, is_retry):
        self.placed.append((dispatch_request, is_retry))
        if self.refusal is not None:
            return dispatch.DispatchResult(
                dispatch_request.request_id, None, self.refusal
            )
        free = [t for t in self.targets if t not in dispatch_request.avoid]
        names = (free or self.targets)[: self.members]
        members = tuple(
            messages.GroupMember(name, f"{name}:1", 100) for name in names
        )
        granted = messages.Granted(dispatch_request.request_id, members, 10, 0)
        return dispatch.DispatchResult(
            dispatch_request.request_id, granted, None, "owner"
        )

    def record_first_token(self, request_id):
        pass

    def finish(self, request_id, done):
        self.released.append((request_id, done))


class FakeTargets:
    """Targets whose calls have scripted outcomes.

    The outcomes of a service call are `ok`, `not_run` (declined), `lost` (it
    ran, but the response is lost), `unreached` (it did not run, but the caller
    cannot know), and `error` (it ran and returned a 5xx status).
    """

    def __init__(self, script=(), streams=(), clock=None):
        self.script = list(script)
        self.streams = list(streams)
        self.clock = clock
        self.executions = 0
        self.executed = []
        self.calls = []
        self.reserved = {}
        self.cancelled = []
        self.before_call = None

    def call(self, address, call, timeout):
        self.calls.append((address, call, timeout))
        if self.before_call is not None:
            self.before_call()
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome == "not_run":
            raise errors.TargetError("declined", verdicts.Verdict.NOT_RUN)
        if outcome == "unreached":
            raise errors.TargetError("reset", verdicts.Verdict.MAY_HAVE_RUN)
        self.executions += 1
        self.executed.append(call.attempt_id)
        if outcome in ("lost", "error"):
            raise errors.TargetError("no answer", verdicts.Verdict.MAY_HAVE_RUN)
        body = f"result {self.executions}".encode()
        return targets_port.CallAnswer(200, "text/plain", body)

    def generate(self, address, call, timeout):
        self.calls.append((address, call, timeout))
        make = self.streams.pop(0)
        yield from make(call)

    def cancel(self, address, attempt_id):
        self.cancelled.append(attempt_id)

    def reserve(self, address, reservation_id, holder, tokens, expires_in):
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome in ("ok", "lost"):
            self.reserved[(address, reservation_id)] = holder
        if outcome != "ok":
            raise errors.TargetError(outcome, verdicts.Verdict.MAY_HAVE_RUN)

    def free(self, address, reservation_id):
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome != "ok":
            raise errors.TargetError(outcome, verdicts.Verdict.MAY_HAVE_RUN)
        self.reserved.pop((address, reservation_id), None)


class Runners:
    """The completion and service runners of one instance, using fakes."""

    def __init__(self, name, targets, store=None, clock=None, **overrides):
        self.clock = clock or FakeClock()
        self.ids = attempts.IdGenerator(name, 1)
        self.unsaved_results = []
        retrier = retrying.Retrier(
            overrides.get("placer") or FakePlacer(),
            lambda outcome: None,
            random.Random(1),
            self.clock,
            self.clock.sleep,
        )
        self.complete = completions.CompletionRunner(
            retrier,
            targets,
            self.ids,
            overrides.get("reservations") or reservation.ReservationRegistry(),
            name,
        ).complete
        self.call = service_calls.ServiceRunner(
            retrier,
            targets,
            store or FaultyStore(),
            self.ids,
            lambda claim, record: self.unsaved_results.append((claim, record)),
            lambda: 1_000.0,
        ).call
