"""Tests for the decisions of a pool's owner."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools
from testtools import matchers

from catkintrail import messages
from catkintrail import objects
from catkintrail.core import cost
from catkintrail.core import pool as pools
from catkintrail.core import target_state

KV_TOKENS = 400_000
TARGETS = tuple(f"t{number}" for number in range(5))
PROFILE = cost.profile_of_model(
    objects.Model(
        context_tokens=1_000_000, engine_kv_tokens=KV_TOKENS, engine_slots=8
    )
)
KEY = pools.PoolKey("m", "x", 0)


def make_record(name, incarnation=1, leaving=False):
    return messages.TargetRecord(
        name, "x", "r", "m", f"{name}:1", incarnation, leaving
    )


def make_acquire(number, tokens=1_000, output=50, deadline=60.0, **changes):
    message = messages.Acquire(
        f"r{number}",
        "m",
        "x",
        0,
        "guild",
        1.0,
        tokens,
        output,
        (),
        deadline,
        5,
        0.5,
        0,
    )
    return message._replace(**changes)


def make_report(
    name, leaving=False, incarnation=1, age=0.0, kv_used=0, running=0
):
    return target_state.LoadReport(
        name, age, incarnation, leaving, 0, running, kv_used, KV_TOKENS
    )


def make_pool(names=TARGETS):
    pool = pools.Pool(KEY, PROFILE)
    pool.set_targets([make_record(name) for name in names], 0.0)
    return pool


def poll_messages(pool, now):
    return [reply.message for reply in pool.poll(now)]


class PoolMachine(stateful.RuleBasedStateMachine):
    """Random sequences of requests, results, load reports and target lists."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.pool = make_pool()
        self.counter = 0
        self.deadlines = {}
        self.answered = {}
        self.leaving = {}
        self.incarnations = dict.fromkeys(TARGETS, 1)

    def check_replies(self, replies):
        for reply in replies:
            message = reply.message
            if isinstance(message, messages.Queued):
                continue
            request_id = message.request_id
            assert request_id not in self.answered, "answered twice"
            self.answered[request_id] = message
            if isinstance(message, messages.Granted):
                for member in message.members:
                    assert member.name not in self.leaving
                names = [member.name for member in message.members]
                assert len(names) == len(set(names))
                assert names == sorted(names)
            if isinstance(message, messages.Declined):
                # A request whose own run time exceeds its deadline cannot be
                # retried; every other refusal gives a retry delay.
                is_infeasible = message.reason == "deadline_exceeded"
                assert is_infeasible or message.retry_after_seconds > 0

    @stateful.rule(
        tokens=strategies.sampled_from(
            [500, 3_000, 60_000, 150_000, 390_000, 900_000]
        ),
        organisation=strategies.sampled_from(["a", "b"]),
        deadline=strategies.sampled_from([0.01, 5.0, 60.0, 40_000.0]),
        blocks=strategies.lists(strategies.integers(1, 5), max_size=3),
    )
    def arrive(self, tokens, organisation, deadline, blocks):
        self.counter += 1
        message = make_acquire(
            self.counter,
            tokens,
            50,
            deadline,
            organisation=organisation,
            blocks=tuple(blocks),
        )
        self.deadlines[message.request_id] = self.now + deadline
        self.check_replies(self.pool.acquire(message, "entry", self.now))
        self.check_replies(self.pool.poll(self.now))

    @stateful.rule(seconds=strategies.floats(0.01, 20.0))
    def wait(self, seconds):
        self.now += seconds
        self.check_replies(self.pool.poll(self.now))

    @stateful.rule(data=strategies.data(), outcome=strategies.integers(0, 4))
    def end(self, data, outcome):
        if not self.pool.grants:
            return
        request_id = data.draw(
            strategies.sampled_from(sorted(self.pool.grants))
        )
        target = self.pool.grants[request_id].names[0]
        self.pool.start(request_id, self.now)
        done = messages.Released(request_id, target, outcome, 1)
        if self.pool.release(done, self.now):
            self.leaving[target] = True
        self.check_replies(self.pool.poll(self.now))

    @stateful.rule(name=strategies.sampled_from(TARGETS))
    def leave(self, name):
        if name in self.pool.targets:
            incarnation = self.pool.targets[name].record.incarnation
            self.pool.apply_load_report(
                make_report(name, True, incarnation), self.now
            )
            self.leaving[name] = True

    @stateful.rule(name=strategies.sampled_from(TARGETS))
    def receive_outdated_state(self, name):
        """An outdated report and an outdated list show a target as live."""
        incarnation = self.incarnations[name]
        self.pool.apply_load_report(
            make_report(name, False, incarnation), self.now
        )
        self.pool.set_targets(
            [make_record(n, self.incarnations[n]) for n in TARGETS], self.now
        )

    @stateful.rule(name=strategies.sampled_from(TARGETS))
    def replace(self, name):
        self.incarnations[name] += 1
        self.pool.set_targets(
            [make_record(n, self.incarnations[n]) for n in TARGETS], self.now
        )
        self.leaving.pop(name, None)

    @stateful.rule()
    def drop_instance_requests(self):
        self.pool.drop_instance_requests("entry", self.now)
        for request_id in self.deadlines:
            self.answered.setdefault(request_id, None)

    @stateful.invariant()
    def memory_is_never_overcommitted(self):
        for target in self.pool.targets.values():
            committed = sum(a.kv_tokens for a in target.attempts.values())
            assert committed == target.kv_committed
            assert committed <= KV_TOKENS
            assert len(target.attempts) <= PROFILE.slots

    @stateful.invariant()
    def no_request_waits_past_its_deadline(self):
        for request_id, deadline in self.deadlines.items():
            assert request_id in self.answered or self.now <= deadline

    def teardown(self):
        """After the last deadline the pool holds no requests or memory."""
        self.now += 50_000.0
        self.check_replies(self.pool.poll(self.now))
        self.pool.expire_grants(self.now)
        assert not self.pool.waiting_count()
        assert not self.pool.grants
        for target in self.pool.targets.values():
            assert not target.attempts and not target.held_for
            assert target.kv_committed == 0


PoolMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


class PoolMachineTests(PoolMachine.TestCase):
    """Runs the state machine."""


class AdmissionTests(testtools.TestCase):

    def test_request_that_cannot_end_in_time_is_refused_at_once(self):
        pool = make_pool()
        (reply,) = pool.acquire(
            make_acquire(1, output=1_000, deadline=5.0), "e", 0.0
        )
        self.assertEqual("deadline_exceeded", reply.message.reason)
        self.assertEqual(0.0, reply.message.retry_after_seconds)

    def test_overload_is_refused_with_a_retry_delay(self):
        pool = make_pool()
        refused = None
        for number in range(20_000):
            (reply,) = pool.acquire(
                make_acquire(number, 20_000, deadline=10.0), "e", 0.0
            )
            poll_messages(pool, 0.0)
            if isinstance(reply.message, messages.Declined):
                refused = reply.message
                break
        self.assertEqual("overloaded", refused.reason)
        self.assertThat(refused.retry_after_seconds, matchers.GreaterThan(0.0))

    def test_backlog_of_one_organisation_does_not_refuse_another(self):
        pool = make_pool(("t0",))
        for number in range(600):
            pool.acquire(make_acquire(number, 10_000, deadline=30.0), "e", 0.0)
        other = make_acquire("x", 10_000, deadline=30.0, organisation="other")
        (reply,) = pool.acquire(other, "e", 0.0)
        self.assertIsInstance(reply.message, messages.Queued)

    def test_pool_without_targets_refuses(self):
        pool = pools.Pool(KEY, PROFILE)
        (reply,) = pool.acquire(make_acquire(1), "e", 0.0)
        self.assertEqual("no_target", reply.message.reason)

    def test_repeated_request_returns_the_same_grant(self):
        pool = make_pool()
        pool.acquire(make_acquire(1), "e", 0.0)
        (granted,) = poll_messages(pool, 0.0)
        (reply,) = pool.acquire(make_acquire(1), "e", 0.1)
        self.assertEqual(granted.members, reply.message.members)
        self.assertEqual([], poll_messages(pool, 0.1))


class PlacementTests(testtools.TestCase):

    def test_prompt_over_two_engines_gets_a_group(self):
        pool = make_pool()
        pool.acquire(make_acquire(1, 900_000, deadline=300.0), "e", 0.0)
        (granted,) = poll_messages(pool, 0.0)
        self.assertThat(len(granted.members), matchers.GreaterThan(2))

    def test_follow_up_goes_to_the_target_with_its_prefix(self):
        pool = make_pool()
        blocks = tuple(range(1, 20))
        pool.acquire(make_acquire(1, 10_000, blocks=blocks), "e", 0.0)
        (first,) = poll_messages(pool, 0.0)
        pool.start("r1", 0.2)
        pool.acquire(make_acquire(2, 10_400, blocks=blocks + (99,)), "e", 0.2)
        (second,) = poll_messages(pool, 0.2)
        self.assertEqual(first.members[0].name, second.members[0].name)
        self.assertThat(second.cached_tokens, matchers.GreaterThan(9_000))

    def test_short_request_precedes_waiting_long_prompts(self):
        pool = make_pool()
        for number in range(30):
            pool.acquire(
                make_acquire(number, 200_000, deadline=600.0), "e", 0.0
            )
        poll_messages(pool, 0.0)
        pool.acquire(make_acquire("short"), "e", 1.0)
        granted = {m.request_id for m in poll_messages(pool, 1.0)}
        self.assertIn("rshort", granted)

    def test_long_prompts_leave_targets_for_short_requests(self):
        pool = make_pool()
        for number in range(200):
            pool.acquire(make_acquire(number, 4_000), "e", 0.0)
        for number in range(30):
            pool.acquire(
                make_acquire(f"l{number}", 200_000, deadline=900.0), "e", 0.5
            )
        poll_messages(pool, 0.5)
        poll_messages(pool, 1.5)
        with_long_prefill = [
            t for t in pool.targets.values() if t.has_long_prefill()
        ]
        self.assertThat(len(with_long_prefill), matchers.LessThan(len(TARGETS)))
        self.assertThat(len(with_long_prefill), matchers.GreaterThan(0))

    def test_urgent_long_prompt_starts_although_memory_is_short(self):
        """Guards against a stream of other requests starving a long prompt.

        Memory is held free for the long prompt once it is urgent.
        """
        pool = pools.Pool(KEY, PROFILE._replace(max_group=1))
        pool.set_targets([make_record("t0")], 0.0)
        granted_at = None
        running = []
        pool.acquire(make_acquire("long", 360_000, deadline=60.0), "e", 0.0)
        for second in range(60):
            for number in range(6):
                name = f"{second}.{number}"
                pool.acquire(
                    make_acquire(name, 60_000, deadline=20.0), "e", second
                )
            for message in poll_messages(pool, float(second)):
                if message.request_id == "rlong":
                    granted_at = second
                elif isinstance(message, messages.Granted):
                    running.append((second, message.request_id))
            for since, name in list(running):
                if second - since >= 3:
                    running.remove((since, name))
                    pool.start(name, second)
                    done = messages.Released(name, "t0", 0, 1)
                    pool.release(done, second)
        self.assertIsNotNone(granted_at)

    def test_request_is_redirected_to_a_zone_with_a_shorter_wait(self):
        pool = make_pool(("t0",))
        for number in range(200):
            pool.acquire(make_acquire(number, 10_000), "e", 0.0)
        summary = messages.PoolSummary("m", "y", 0, 8, 0, 0, 1)
        pool.store_summary(summary, 0.0)
        (reply,) = pool.acquire(make_acquire("x", 10_000), "e", 0.1)
        self.assertEqual(messages.Redirected("rx", "y", 0), reply.message)
        (reply,) = pool.acquire(make_acquire("y", 10_000), "e", 60.0)
        self.assertNotIsInstance(reply.message, messages.Redirected)


class LeavingTests(testtools.TestCase):

    def test_outdated_list_does_not_restore_a_leaving_target(self):
        pool = make_pool(("t0", "t1"))
        pool.set_targets(
            [make_record("t0", leaving=True), make_record("t1")], 0.0
        )
        pool.set_targets([make_record("t0"), make_record("t1")], 1.0)
        names = {target.record.name for target in pool.live_targets(1.0)}
        self.assertEqual({"t1"}, names)
        pool.set_targets([make_record("t0", 2), make_record("t1")], 2.0)
        self.assertEqual(2, len(pool.live_targets(2.0)))


class FailureTests(testtools.TestCase):

    def test_failing_targets_are_ejected_up_to_the_limit(self):
        pool = make_pool()
        for name in TARGETS:
            for _ in range(10):
                done = messages.Released("r", name, 1, 0)
                pool.release(done, 1.0)
        live = len(pool.live_targets(1.0))
        self.assertThat(live, matchers.GreaterThan(len(TARGETS) // 2 - 1))
        self.assertThat(live, matchers.LessThan(len(TARGETS)))
        self.assertEqual(len(TARGETS), len(pool.live_targets(100.0)))

    def test_stale_report_is_ignored(self):
        pool = make_pool(("t0",))
        outdated = make_report("t0", age=99.0, kv_used=KV_TOKENS, running=8)
        pool.apply_load_report(outdated, 0.0)
        pool.acquire(make_acquire(1), "e", 0.0)
        self.assertEqual(1, len(poll_messages(pool, 0.0)))

    def test_load_of_another_owner_is_taken_from_reports(self):
        pool = make_pool(("t0",))
        pool.apply_load_report(
            make_report("t0", kv_used=KV_TOKENS - 100, running=4), 1.0
        )
        pool.acquire(make_acquire(1), "e", 1.0)
        self.assertEqual([], poll_messages(pool, 1.0))
        pool.apply_load_report(make_report("t0"), 3.0)
        self.assertEqual(1, len(poll_messages(pool, 3.0)))
