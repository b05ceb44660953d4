"""Fakes at the ports, with faults that a test scripts."""

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


# A late write takes effect after the call that reads it back.
LATE_CALLS = 2


class Died(BaseException):
    """The process that made a call died."""


class FaultyStore:
    """A store whose calls go wrong as scripted.

    A fault for each call in turn: DOWN (no effect, no answer), LOST (effect,
    no answer), LATE (no answer, the write takes effect before a later call),
    DIE_BEFORE and DIE_AFTER (the caller dies). `between` runs before each
    call, so that a test can let another instance act there.
    """

    def __init__(self, faults=(), between=None):
        self.inner = memory_platform.MemoryPlatform()
        self.faults = list(faults)
        self.between = between
        self.late = []

    def _call(self, is_write, function):
        if self.between is not None:
            self.between()
        self._run_late_writes()
        fault = self.faults.pop(0) if self.faults else OK
        if fault == DIE_BEFORE:
            raise Died()
        if fault == DOWN or (fault in (LOST, LATE) and not is_write):
            raise errors.PlatformUnavailableError("down")
        if fault == LATE:
            self.late.append([LATE_CALLS, function])
            raise errors.PlatformUnavailableError("late")
        result = function()
        if fault == DIE_AFTER:
            raise Died()
        if fault == LOST:
            raise errors.PlatformUnavailableError("lost")
        return result

    def _run_late_writes(self):
        due = []
        for one in self.late:
            one[0] -= 1
            if one[0] <= 0:
                due.append(one)
        self.late = [one for one in self.late if one not in due]
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
    """A clock that moves only when told to."""

    def __init__(self, now=0.0):
        self.now = now

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class FakePlacer:
    """Grants every request a target in turn, or refuses it."""

    def __init__(self, targets=("t0", "t1", "t2"), refusal=None, members=1):
        self.targets = targets
        self.refusal = refusal
        self.members = members
        self.works = []
        self.released = []

    def place(self, work, is_retry):
        self.works.append((work, is_retry))
        if self.refusal is not None:
            return dispatch.Event(work.request_id, None, self.refusal)
        free = [t for t in self.targets if t not in work.avoid]
        names = (free or self.targets)[: self.members]
        members = tuple(
            messages.GroupMember(name, f"{name}:1", 100) for name in names
        )
        granted = messages.Granted(work.request_id, members, 10, 0)
        return dispatch.Event(work.request_id, granted, None, "owner")

    def started(self, request_id):
        pass

    def finish(self, request_id, done):
        self.released.append((request_id, done))


class FakeTargets:
    """Targets whose calls end as scripted.

    A service call's script: `ok`, `not_run` (declined), `lost` (it ran, no
    answer), `unreached` (may have run, but did not), `error` (it ran, 5xx).
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
        how = self.script.pop(0) if self.script else "ok"
        if how == "not_run":
            raise errors.TargetError("declined", verdicts.Verdict.NOT_RUN)
        if how == "unreached":
            raise errors.TargetError("reset", verdicts.Verdict.MAY_HAVE_RUN)
        self.executions += 1
        self.executed.append(call.attempt_id)
        if how in ("lost", "error"):
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
        how = self.script.pop(0) if self.script else "ok"
        if how in ("ok", "lost"):
            self.reserved[(address, reservation_id)] = holder
        if how != "ok":
            raise errors.TargetError(how, verdicts.Verdict.MAY_HAVE_RUN)

    def free(self, address, reservation_id):
        how = self.script.pop(0) if self.script else "ok"
        if how != "ok":
            raise errors.TargetError(how, verdicts.Verdict.MAY_HAVE_RUN)
        self.reserved.pop((address, reservation_id), None)


class Runners:
    """Both runners of one instance, over shared fakes."""

    def __init__(self, name, targets, store=None, clock=None, **changes):
        self.clock = clock or FakeClock()
        self.ids = attempts.IdSource(name, 1)
        self.unwritten = []
        retrier = retrying.Retrier(
            changes.get("placer") or FakePlacer(),
            lambda outcome: None,
            random.Random(1),
            self.clock,
            self.clock.sleep,
        )
        self.complete = completions.CompletionRunner(
            retrier,
            targets,
            self.ids,
            changes.get("book") or reservation.ReservationBook(),
            name,
        ).complete
        self.call = service_calls.ServiceRunner(
            retrier,
            targets,
            store or FaultyStore(),
            self.ids,
            lambda begun, record: self.unwritten.append((begun, record)),
            lambda: 1_000.0,
        ).call
