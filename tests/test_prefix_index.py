"""Tests for the index of cached prefixes."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from catkintrail.core import prefix_index


class HashBlocksTests(testtools.TestCase):

    @hypothesis.given(
        strategies.binary(max_size=64), strategies.binary(max_size=64)
    )
    def test_equal_hashes_mean_equal_prefixes(self, first, second):
        first_hashes = prefix_index.hash_blocks(first, 8)
        second_hashes = prefix_index.hash_blocks(second, 8)
        for number, (a, b) in enumerate(
            zip(first_hashes, second_hashes, strict=False), 1
        ):
            self.assertEqual(
                first[: 8 * number] == second[: 8 * number], a == b
            )


class PrefixIndexTests(testtools.TestCase):

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["add", "remove", "drop"]),
                strategies.sampled_from(["t0", "t1", "t2"]),
                strategies.lists(strategies.integers(1, 9), max_size=5),
            ),
            max_size=30,
        ),
        strategies.lists(strategies.integers(1, 9), unique=True),
    )
    @hypothesis.settings(max_examples=300)
    def test_matches_like_one_set_for_each_target(self, steps, asked):
        index = prefix_index.PrefixIndex(1_000)
        expected_blocks = {"t0": set(), "t1": set(), "t2": set()}
        for action, target, blocks in steps:
            if action == "add":
                index.add(target, blocks, 0.0)
                expected_blocks[target] |= set(blocks)
            elif action == "remove":
                index.remove(target, blocks)
                expected_blocks[target] -= set(blocks)
            else:
                index.drop_target(target)
                expected_blocks[target] = set()
        expected = {}
        for target, blocks in expected_blocks.items():
            depth = 0
            while depth < len(asked) and asked[depth] in blocks:
                depth += 1
            if depth:
                expected[target] = depth
        self.assertEqual(expected, index.match(tuple(asked)))

    def test_blocks_of_a_target_are_bounded(self):
        index = prefix_index.PrefixIndex(10)
        index.add("t", range(100), 0.0)
        self.assertEqual({}, index.match((5,)))
        self.assertEqual({"t": 10}, index.match(tuple(range(90, 100))))

    def test_gap_drops_blocks_whose_removal_it_may_hide(self):
        """Blocks last touched before the event after the gap are dropped."""
        index = prefix_index.PrefixIndex(100)
        event = prefix_index.CacheEvent
        index.apply("t", [event(1, (1, 2), ())], 1.0)
        index.add("t", [3], 5.0)
        index.apply("t", [event(3, (4,), ())], 5.0)
        self.assertEqual({}, index.match((1, 2)))
        self.assertEqual({"t": 1}, index.match((3,)))
        self.assertEqual({"t": 1}, index.match((4,)))

    def test_repeated_events_are_ignored(self):
        index = prefix_index.PrefixIndex(100)
        event = prefix_index.CacheEvent
        index.apply("t", [event(1, (1,), ()), event(2, (), (1,))], 1.0)
        index.apply("t", [event(1, (1,), ())], 2.0)
        self.assertThat(index.match((1,)), matchers.Equals({}))
