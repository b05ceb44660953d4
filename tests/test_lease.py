"""Tests of exclusive leases, fencing, and orders sent under a lease."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail import verdict as verdicts
from catkintrail.core import lease
from catkintrail.core import orders
from catkintrail.ports import targets as targets_port
from tests import fakes

DRIFT = lease.CLOCK_DRIFT_SECONDS / lease.LEASE_SECONDS / 2


class RecordingEngine:
    """An engine that records the fencing numbers of executed orders."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fencing = 0
        self.executed = []
        self.before_order = None

    def order(self, address, order):
        if self.before_order is not None:
            self.before_order()
        if self.checks_fencing and order.fencing < self.fencing:
            raise errors.TargetError("old", verdicts.Verdict.NOT_RUN)
        self.fencing = max(self.fencing, order.fencing)
        self.executed.append(order.fencing)
        return targets_port.OrderState(order.version, self.fencing)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two instances compete for a lease.

    Their clocks drift apart, calls are delayed by pauses, and the store fails
    or loses responses.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = fakes.FaultyStore()
        self.names = ("a", "b")
        self.managers = {
            name: lease.LeaseManager("lease/x", name) for name in self.names
        }
        self.clock_rates = {"a": 1.0 - DRIFT, "b": 1.0 + DRIFT}
        self.unfenced_orders = []

    def clock(self, name):
        return 1_000.0 * len(name) + self.now * self.clock_rates[name]

    @stateful.rule(
        name=strategies.sampled_from(("a", "b")),
        faults=strategies.lists(strategies.integers(0, 3), max_size=2),
        pause=strategies.sampled_from([0.0, 0.0, 0.0, 0.5, 30.0]),
    )
    def keep(self, name, faults, pause):
        """Pauses the instance between reading its clock and using the time."""
        read = self.clock(name)
        self.now += pause
        self.store.faults = faults
        self.managers[name].renew_or_acquire(self.store, read)
        self.store.faults = []

    @stateful.rule(seconds=strategies.floats(0.1, 12.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(name=strategies.sampled_from(("a", "b")))
    def give_up(self, name):
        self.managers[name].release(self.store)

    @stateful.rule(name=strategies.sampled_from(("a", "b")))
    def order(self, name):
        if self.managers[name].may_send_unfenced_orders(self.clock(name)):
            self.unfenced_orders.append((self.now, name))

    @stateful.invariant()
    def at_most_one_instance_holds_the_lease(self):
        held = [
            name
            for name in self.names
            if self.managers[name].is_held(self.clock(name))
        ]
        assert len(held) <= 1, held

    @stateful.invariant()
    def orders_of_two_holders_never_overlap(self):
        for (then, first), (now, second) in zip(
            self.unfenced_orders, self.unfenced_orders[1:], strict=False
        ):
            if first != second:
                min_gap = lease.MAX_ORDER_SECONDS * (1.0 - 2 * DRIFT)
                assert now - then >= min_gap

    @stateful.invariant()
    def fencing_numbers_differ(self):
        numbers = [k.lease.fencing for k in self.managers.values() if k.lease]
        assert len(numbers) == len(set(numbers))


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)


class LeaseTests(LeaseMachine.TestCase):
    """Runs the state machine as a test case."""


class OrdersTests(testtools.TestCase):

    def send_orders(self, manager, target, clock, fencing):
        models = {
            "m": objects.Model(1, 1, fencing=fencing, wanted_version="v2")
        }
        version_mismatches = [messages.Misplaced("e", "e:1", "m")]
        return orders.send_orders(
            manager, target, version_mismatches, models, lambda: "o1", clock
        )

    def make_manager(self, name="a", store=None, now=0.0):
        manager = lease.LeaseManager("lease/x", name)
        manager.renew_or_acquire(store or fakes.FaultyStore(), now)
        return manager

    def test_order_under_a_lease_is_executed(self):
        target = RecordingEngine(True)
        clock = fakes.FakeClock()
        (outcome,) = self.send_orders(self.make_manager(), target, clock, True)
        self.assertEqual(("e", "taken"), outcome)

    def test_paused_holder_sends_no_order_after_its_lease(self):
        target = RecordingEngine(False)
        clock = fakes.FakeClock(lease.LEASE_SECONDS + 1.0)
        (outcome,) = self.send_orders(self.make_manager(), target, clock, True)
        self.assertEqual("held_back", outcome.outcome)
        self.assertEqual([], target.executed)

    def test_delayed_order_is_rejected_by_its_fencing_number(self):
        """The holder pauses after checking its lease and before sending.

        Meanwhile another instance acquires the lease and sends its own order.
        """
        store = fakes.FaultyStore()
        first = self.make_manager(store=store)
        second = lease.LeaseManager("lease/x", "b")
        target = RecordingEngine(True)
        clock = fakes.FakeClock()

        def pause():
            target.before_order = None
            for moment in (20.0, 40.0):
                second.renew_or_acquire(store, moment)
            clock.now = 40.0
            self.send_orders(second, target, clock, True)

        target.before_order = pause
        (outcome,) = self.send_orders(first, target, clock, True)
        self.assertEqual("failed", outcome.outcome)
        self.assertEqual([2], target.executed)

    def test_new_holder_waits_for_engines_without_fencing(self):
        store = fakes.FaultyStore()
        self.make_manager(store=store)
        second = lease.LeaseManager("lease/x", "b")
        second.renew_or_acquire(store, 20.0)
        second.renew_or_acquire(store, 40.0)
        target = RecordingEngine(False)
        clock = fakes.FakeClock(41.0)
        (outcome,) = self.send_orders(second, target, clock, False)
        self.assertEqual("held_back", outcome.outcome)
        moment = 40.0
        while not second.may_send_unfenced_orders(moment):
            moment += 1.0
            second.renew_or_acquire(store, moment)
        clock.now = moment
        (outcome,) = self.send_orders(second, target, clock, False)
        self.assertEqual("taken", outcome.outcome)
