"""Index of the prompt prefixes that a pool's engines have cached.

A block's hash covers its text and the hash before it, so that equal hashes
mean equal prefixes. The index follows dispatches at once and the engines'
cache events when they come. Source of the idea: Srivatsa and others,
"Preble: efficient distributed prompt scheduling", 2024.
"""

import collections
from typing import Iterable, NamedTuple

import xxhash

__all__ = ["CacheEvent", "PrefixIndex", "hash_blocks", "hash_token_blocks"]

MAX_BLOCKS_PER_REQUEST = 2_048


class CacheEvent(NamedTuple):
    """One change of an engine's prefix cache.

    Attributes:
        sequence: Its number; one more than that of the event before.
        added: Hashes of blocks that are now cached.
        removed: Hashes of blocks that no longer are.
    """

    sequence: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


def hash_blocks(text: bytes, block_bytes: int) -> tuple[int, ...]:
    """Returns the chained hashes of a text's whole leading blocks."""
    hashes = []
    previous = 0
    count = min(len(text) // block_bytes, MAX_BLOCKS_PER_REQUEST)
    for index in range(count):
        block = text[index * block_bytes : (index + 1) * block_bytes]
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)


def hash_token_blocks(
    tokens: Iterable[int], block_tokens: int
) -> tuple[int, ...]:
    """Returns the chained hashes of a token list's whole leading blocks."""
    data = b"".join(
        (token & 0xFFFFFFFF).to_bytes(4, "little") for token in tokens
    )
    return hash_blocks(data, 4 * block_tokens)


class PrefixIndex:
    """Which blocks each target has, bounded per target.

    Attributes:
        capacity: The most blocks kept for one target.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = max(1, capacity)
        self._bits: dict[str, int] = {}
        self._free_bits: list[int] = []
        self._masks: dict[int, int] = {}
        # The value is the time of the last touch, in seconds.
        self._blocks: dict[str, collections.OrderedDict[int, float]] = {}
        self._sequences: dict[str, int] = {}

    def add(self, target: str, blocks: Iterable[int], now: float) -> None:
        """Notes that a target is about to hold blocks."""
        bit = self._bit_of(target)
        held = self._blocks[target]
        for block in blocks:
            held[block] = now
            held.move_to_end(block)
            self._masks[block] = self._masks.get(block, 0) | bit
        while len(held) > self.capacity:
            block, _ = held.popitem(last=False)
            self._clear(block, bit)

    def match(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Returns how many leading blocks each target holds, where any."""
        depths: dict[int, int] = {}
        mask = -1
        depth = 0
        for block in blocks:
            remaining = mask & self._masks.get(block, 0)
            self._note_dropped(mask & ~remaining, depth, depths)
            mask = remaining
            if not mask:
                break
            depth += 1
        self._note_dropped(mask, depth, depths)
        return {
            name: depths[bit]
            for name, bit in self._bits.items()
            if depths.get(bit)
        }

    def apply(
        self, target: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Applies cache events in order.

        A gap in their numbers may hide removals: blocks that were not touched
        since the last event before the gap are dropped.
        """
        for event in events:
            expected = self._sequences.get(target, event.sequence - 1) + 1
            if event.sequence < expected:
                continue
            if event.sequence > expected:
                self.forget_older(target, now)
            self._sequences[target] = event.sequence
            self.remove(target, event.removed)
            self.add(target, event.added, now)

    def remove(self, target: str, blocks: Iterable[int]) -> None:
        """Notes that a target no longer holds blocks."""
        held = self._blocks.get(target)
        if held is None:
            return
        bit = self._bits[target]
        for block in blocks:
            if held.pop(block, None) is not None:
                self._clear(block, bit)

    def forget_older(self, target: str, before: float) -> None:
        """Drops a target's blocks that were last touched before a time."""
        held = self._blocks.get(target, {})
        self.remove(target, [b for b, at in held.items() if at < before])

    def drop_target(self, target: str) -> None:
        """Drops all that is known of a target."""
        held = self._blocks.pop(target, None)
        if held is None:
            return
        bit = self._bits.pop(target)
        for block in held:
            self._clear(block, bit)
        self._free_bits.append(bit)
        self._sequences.pop(target, None)

    def _bit_of(self, target: str) -> int:
        bit = self._bits.get(target)
        if bit is None:
            if self._free_bits:
                bit = self._free_bits.pop()
            else:
                bit = 1 << len(self._bits)
            self._bits[target] = bit
            self._blocks[target] = collections.OrderedDict()
        return bit

    def _clear(self, block: int, bit: int) -> None:
        mask = self._masks.get(block, 0) & ~bit
        if mask:
            self._masks[block] = mask
        else:
            self._masks.pop(block, None)

    def _note_dropped(
        self, dropped: int, depth: int, depths: dict[int, int]
    ) -> None:
        if dropped <= 0:
            return
        while dropped:
            bit = dropped & -dropped
            depths[bit] = depth
            dropped ^= bit
