"""Tests that unclaimed engine memory is freed, and memory in use is not."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from catkintrail import errors
from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import reclamation
from catkintrail.core import reservation
from catkintrail.ports import targets as targets_port

CAPACITY = 100
ENGINES = ("e0", "e1", "e2")
HOLDERS = ("h0", "h1")
OWNERS = ("o0", "o1")
GONE = reclamation.HolderState.GONE
LIVE = reclamation.HolderState.LIVE


class EngineReservation:

    def __init__(self, holder, tokens, expires):
        self.holder = holder
        self.tokens = tokens
        self.expires = expires
        self.in_use = False


class Engines:
    """Fake engines that never free memory by themselves.

    Attributes:
        held: Reservations by engine and id.
        fault: Fault of the next call: `ok` for none, `down` for a call that is
            lost before its effect, `lost` for a lost answer, `late` for a call
            that takes effect later.
        late: Effects of the `late` calls.
        now: Time in seconds.
    """

    def __init__(self):
        self.held = {name: {} for name in ENGINES}
        self.fault = "ok"
        self.late = []
        self.now = 0.0

    def _call(self, effect):
        fault, self.fault = self.fault, "ok"
        if fault == "late":
            self.late.append(effect)
        elif fault != "down":
            effect()
        if fault != "ok":
            raise errors.TargetError(fault, verdicts.Verdict.MAY_HAVE_RUN)

    def reserve(self, address, reservation_id, holder, tokens, expires_in):
        held = self.held[address]
        if sum(one.tokens for one in held.values()) + tokens > CAPACITY:
            raise errors.TargetError("full", verdicts.Verdict.NOT_RUN)

        def effect():
            held[reservation_id] = EngineReservation(
                holder, tokens, self.now + expires_in
            )

        self._call(effect)

    def free(self, address, reservation_id):
        self._call(lambda: self.held[address].pop(reservation_id, None))

    def records(self, address):
        return tuple(
            targets_port.ReservationRecord(
                name,
                one.holder,
                one.tokens,
                one.in_use,
                one.expires - self.now,
            )
            for name, one in self.held[address].items()
        )


class MemoryMachine(stateful.RuleBasedStateMachine):
    """Holders and owners crash, freeze and thaw; calls are lost or delayed.

    Attributes:
        now: Time in seconds.
        engines: The fake engines.
        reservations: The reservations that each holder claims.
        dead: Holders that have crashed.
        frozen: Holders that are paused.
        suspected: Holders that membership believes to be gone, live or not.
        sweeps: Reclamation state of each owner.
        owner: The present owner of all engines.
        groups: By attempt the holder, its reservations and the deadline.
        counter: Number of attempts so far.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.engines = Engines()
        self.reservations = {
            h: reservation.ReservationRegistry() for h in HOLDERS
        }
        self.dead = set()
        self.frozen = set()
        self.suspected = set()
        self.sweeps = {o: reclamation.Reclamation() for o in OWNERS}
        self.owner = "o0"
        self.groups = {}
        self.counter = 0

    @stateful.rule(
        holder=strategies.sampled_from(HOLDERS),
        tokens=strategies.integers(10, 60),
        fault=strategies.sampled_from(["ok", "ok", "down", "lost", "late"]),
        members=strategies.sets(strategies.sampled_from(ENGINES), min_size=2),
    )
    def reserve(self, holder, tokens, fault, members):
        if holder in self.dead | self.frozen:
            return
        self.counter += 1
        attempt = f"{holder}.{self.counter}"
        self.engines.fault = fault
        group = tuple(
            messages.GroupMember(name, name, tokens) for name in sorted(members)
        )
        try:
            held = reservation.reserve_group(
                self.engines,
                self.reservations[holder],
                group,
                attempt,
                holder,
                30.0,
            )
        except errors.TargetError:
            held = None
        self.engines.fault = "ok"
        if held is not None:
            self.groups[attempt] = (holder, held, self.now + 30.0)

    @stateful.rule(data=strategies.data())
    def use(self, data):
        """A request starts to use its reservations, where they still exist."""
        if not self.groups:
            return
        name = data.draw(strategies.sampled_from(sorted(self.groups)))
        holder, held, deadline = self.groups[name]
        if holder in self.dead | self.frozen or self.now > deadline:
            return
        for one in held:
            record = self.engines.held[one.address].get(one.reservation_id)
            if record is not None:
                record.in_use = True

    @stateful.rule(
        data=strategies.data(),
        fault=strategies.sampled_from(["ok", "ok", "down", "lost", "late"]),
    )
    def finish(self, data, fault):
        if not self.groups:
            return
        name = data.draw(strategies.sampled_from(sorted(self.groups)))
        holder, held, _ = self.groups[name]
        if holder in self.dead | self.frozen:
            return
        del self.groups[name]
        for one in held:
            record = self.engines.held[one.address].get(one.reservation_id)
            if record is not None:
                record.in_use = False
        self.engines.fault = fault
        reservation.free_group(self.engines, self.reservations[holder], held)
        self.engines.fault = "ok"

    @stateful.rule(holder=strategies.sampled_from(HOLDERS))
    def crash(self, holder):
        if holder in self.dead:
            return
        self.dead.add(holder)
        self.suspected.add(holder)
        for name in [n for n, g in self.groups.items() if g[0] == holder]:
            _, held, _ = self.groups.pop(name)
            for one in held:
                record = self.engines.held[one.address].get(one.reservation_id)
                if record is not None:
                    # The engine notices the closed connection.
                    record.in_use = False

    @stateful.rule(holder=strategies.sampled_from(HOLDERS))
    def freeze(self, holder):
        self.frozen.add(holder)
        self.suspected.add(holder)

    @stateful.rule(holder=strategies.sampled_from(HOLDERS))
    def thaw(self, holder):
        self.frozen.discard(holder)
        self.suspected -= {holder} - self.dead

    @stateful.rule(holder=strategies.sampled_from(HOLDERS))
    def become_unreachable(self, holder):
        """The owner loses contact with a holder; the engines are reachable."""
        self.suspected.add(holder)

    @stateful.rule()
    def owner_is_replaced(self):
        """The next owner starts without any state."""
        self.owner = "o1" if self.owner == "o0" else "o0"
        self.sweeps[self.owner] = reclamation.Reclamation()

    @stateful.rule()
    def late_calls_take_effect(self):
        late, self.engines.late = self.engines.late, []
        for effect in late:
            effect()

    @stateful.rule(seconds=strategies.floats(0.5, 8.0))
    def sweep(self, seconds):
        self.now += seconds
        self.engines.now = self.now
        sweep = self.sweeps[self.owner]
        for engine in ENGINES:
            self._sweep_engine(sweep, engine)

    def _sweep_engine(self, sweep, engine):
        plan = sweep.observe(
            engine,
            self.engines.records(engine),
            lambda name: GONE if name in self.suspected else LIVE,
            self.now,
        )
        for name in plan.free:
            self._check_free(engine, name)
            self.engines.held[engine].pop(name, None)
        for name in plan.cancel:
            assert self.engines.held[engine][name].expires < self.now
            self.engines.held[engine].pop(name, None)
        for holder, query in plan.ask:
            if holder not in self.dead | self.frozen | self.suspected:
                sweep.record_claims(
                    self.reservations[holder].answer_query(query), self.now
                )

    def _check_free(self, engine, name):
        """Checks a reservation that is about to be freed.

        It must not be in use, nor be claimed by a holder that is reachable.
        """
        record = self.engines.held[engine][name]
        assert not record.in_use
        holder = record.holder
        if holder not in self.suspected | self.frozen:
            for owner, held, _ in self.groups.values():
                ids = [one.reservation_id for one in held]
                assert owner != holder or name not in ids
            assert name not in self.reservations[holder].claimed

    def teardown(self):
        """Ends all faults; only claimed memory may remain after some sweeps."""
        self.late_calls_take_effect()
        for holder in HOLDERS:
            if holder not in self.dead:
                self.frozen.discard(holder)
                self.suspected.discard(holder)
        for _ in range(12):
            self.sweep(4.0)
        for engine in ENGINES:
            for name, record in self.engines.held[engine].items():
                assert record.holder not in self.dead
                assert name in self.reservations[record.holder].claimed


MemoryMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30
)


class MemoryTests(MemoryMachine.TestCase):
    """Runs the state machine."""


class GraceTests(testtools.TestCase):

    def observe(self, sweep, state, now, in_use=False, expires_in=10.0):
        record = targets_port.ReservationRecord("r", "h", 1, in_use, expires_in)
        return sweep.observe("e", (record,), lambda name: state, now)

    def test_unclaimed_reservation_is_freed_after_grace(self):
        sweep = reclamation.Reclamation()
        self.assertEqual((), self.observe(sweep, GONE, 0.0).free)
        grace = reclamation.GRACE_SECONDS
        self.assertEqual((), self.observe(sweep, GONE, grace - 0.1).free)
        self.assertEqual(("r",), self.observe(sweep, GONE, grace).free)

    def test_reservation_in_use_is_kept_until_deadline(self):
        sweep = reclamation.Reclamation()
        for now in range(0, 100, 5):
            plan = self.observe(sweep, GONE, float(now), True, 100.0 - now)
            self.assertEqual(((), ()), plan[:2])
        plan = self.observe(sweep, GONE, 101.0, True, -1.0)
        self.assertEqual(("r",), plan.cancel)

    def test_unresponsive_draining_holder_loses_reservation(self):
        sweep = reclamation.Reclamation()
        leaving = reclamation.HolderState.LEAVING
        self.assertEqual((), self.observe(sweep, leaving, 0.0).free)
        self.assertEqual((), self.observe(sweep, leaving, 10.0).free)
        self.assertEqual(("r",), self.observe(sweep, leaving, 16.0).free)
