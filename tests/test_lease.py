"""One holder at a time, fenced; and the orders given under it."""

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


class OrderTarget:
    """An engine that notes when orders take effect."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fencing = 0
        self.taken = []
        self.before = None

    def order(self, address, order):
        if self.before is not None:
            self.before()
        if self.checks_fencing and order.fencing < self.fencing:
            raise errors.TargetError("old", verdicts.Verdict.NOT_RUN)
        self.fencing = max(self.fencing, order.fencing)
        self.taken.append(order.fencing)
        return targets_port.OrderState(order.version, self.fencing)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Holders with drifting clocks pause, and the store loses answers."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = fakes.FaultyStore()
        self.names = ("a", "b")
        self.keepers = {
            name: lease.LeaseKeeper("lease/x", name) for name in self.names
        }
        self.rates = {"a": 1.0 - DRIFT, "b": 1.0 + DRIFT}
        self.unfenced = []

    def clock(self, name):
        return 1_000.0 * len(name) + self.now * self.rates[name]

    @stateful.rule(
        name=strategies.sampled_from(("a", "b")),
        faults=strategies.lists(strategies.integers(0, 3), max_size=2),
        pause=strategies.sampled_from([0.0, 0.0, 0.0, 0.5, 30.0]),
    )
    def keep(self, name, faults, pause):
        """A paused holder reads its clock, sleeps, then goes on."""
        read = self.clock(name)
        self.now += pause
        self.store.faults = faults
        self.keepers[name].keep(self.store, read)
        self.store.faults = []

    @stateful.rule(seconds=strategies.floats(0.1, 12.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(name=strategies.sampled_from(("a", "b")))
    def give_up(self, name):
        self.keepers[name].give_up(self.store)

    @stateful.rule(name=strategies.sampled_from(("a", "b")))
    def order(self, name):
        if self.keepers[name].may_order_unfenced(self.clock(name)):
            self.unfenced.append((self.now, name))

    @stateful.invariant()
    def at_most_one_holds(self):
        held = [
            name
            for name in self.names
            if self.keepers[name].is_held(self.clock(name))
        ]
        assert len(held) <= 1, held

    @stateful.invariant()
    def orders_of_two_holders_never_overlap(self):
        for (then, first), (now, second) in zip(
            self.unfenced, self.unfenced[1:], strict=False
        ):
            if first != second:
                longest = lease.LONGEST_ORDER_SECONDS * (1.0 - 2 * DRIFT)
                assert now - then >= longest

    @stateful.invariant()
    def fencing_numbers_differ(self):
        numbers = [k.lease.fencing for k in self.keepers.values() if k.lease]
        assert len(numbers) == len(set(numbers))


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)


class LeaseTests(LeaseMachine.TestCase):
    """Runs the state machine."""


class OrdersTests(testtools.TestCase):

    def give(self, keeper, target, clock, fencing):
        models = {
            "m": objects.Model(1, 1, fencing=fencing, wanted_version="v2")
        }
        misplaced = [messages.Misplaced("e", "e:1", "m")]
        return orders.give_orders(
            keeper, target, misplaced, models, lambda: "o1", clock
        )

    def make_keeper(self, name="a", store=None, now=0.0):
        keeper = lease.LeaseKeeper("lease/x", name)
        keeper.keep(store or fakes.FaultyStore(), now)
        return keeper

    def test_order_under_a_lease_is_taken(self):
        target = OrderTarget(True)
        clock = fakes.FakeClock()
        (outcome,) = self.give(self.make_keeper(), target, clock, True)
        self.assertEqual(("e", "taken"), outcome)

    def test_paused_holder_gives_no_order_after_its_lease(self):
        target = OrderTarget(False)
        clock = fakes.FakeClock(lease.LEASE_SECONDS + 1.0)
        (outcome,) = self.give(self.make_keeper(), target, clock, True)
        self.assertEqual("held_back", outcome.outcome)
        self.assertEqual([], target.taken)

    def test_order_sent_late_is_refused_by_its_fencing_number(self):
        """The holder is paused between its check and the send."""
        store = fakes.FaultyStore()
        first = self.make_keeper(store=store)
        second = lease.LeaseKeeper("lease/x", "b")
        target = OrderTarget(True)
        clock = fakes.FakeClock()

        def pause():
            target.before = None
            for moment in (20.0, 40.0):
                second.keep(store, moment)
            clock.now = 40.0
            self.give(second, target, clock, True)

        target.before = pause
        (outcome,) = self.give(first, target, clock, True)
        self.assertEqual("failed", outcome.outcome)
        self.assertEqual([2], target.taken)

    def test_new_holder_waits_for_engines_without_fencing(self):
        store = fakes.FaultyStore()
        self.make_keeper(store=store)
        second = lease.LeaseKeeper("lease/x", "b")
        second.keep(store, 20.0)
        second.keep(store, 40.0)
        target = OrderTarget(False)
        clock = fakes.FakeClock(41.0)
        (outcome,) = self.give(second, target, clock, False)
        self.assertEqual("held_back", outcome.outcome)
        moment = 40.0
        while not second.may_order_unfenced(moment):
            moment += 1.0
            second.keep(store, moment)
        clock.now = moment
        (outcome,) = self.give(second, target, clock, False)
        self.assertEqual("taken", outcome.outcome)
