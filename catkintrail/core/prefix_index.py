"""Index of the prompt prefixes that a pool's engines have cached.

A block's hash covers its text and the hash of the previous block, so that equal
hashes mean equal prefixes. The index is updated on every dispatch and by the
engines' cache events. The approach follows Srivatsa and others, "Preble:
efficient distributed prompt scheduling", 2024.
"""

import collections
from typing import Iterable, NamedTuple

import xxhash

__all__ = ["CacheEvent", "PrefixIndex", "hash_blocks", "hash_token_blocks"]

MAX_BLOCKS_PER_REQUEST = 2_048


class CacheEvent(NamedTuple):
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Sequence number; consecutive for each engine.
        added: Hashes of the blocks that were added to the cache.
        removed: Hashes of the blocks that were removed from the cache.
    """

    sequence: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


def hash_blocks(text: bytes, block_bytes: int) -> tuple[int, ...]:
    """Returns the chained hashes of a text's complete leading blocks."""
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
    """Returns the chained hashes of a token list's complete blocks."""
    data = b"".join(
        (token & 0xFFFFFFFF).to_bytes(4, "little") for token in tokens
    )
    return hash_blocks(data, 4 * block_tokens)


class PrefixIndex:
    """Index of the blocks cached on each target.

    Attributes:
        capacity: Maximum number of blocks kept for one target; the least
            recently touched ones are dropped first.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = max(1, capacity)
        # Each target's bit in the masks.
        self._bits: dict[str, int] = {}
        self._free_bits: list[int] = []
        # Bit mask of the targets that have cached a block, by its hash.
        self._masks: dict[int, int] = {}
        # Time in seconds of the last use of each target's blocks.
        self._blocks: dict[str, collections.OrderedDict[int, float]] = {}
        self._sequences: dict[str, int] = {}

    def add(self, target: str, blocks: Iterable[int], now: float) -> None:
        """Records that a target has cached, or will cache, blocks."""
        bit = self._target_bit(target)
        cached = self._blocks[target]
        for block in blocks:
            cached[block] = now
            cached.move_to_end(block)
            self._masks[block] = self._masks.get(block, 0) | bit
        while len(cached) > self.capacity:
            block, _ = cached.popitem(last=False)
            self._clear(block, bit)

    def match(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Returns how many leading blocks each target has cached, if any."""
        depths: dict[int, int] = {}
        mask = -1
        depth = 0
        for block in blocks:
            remaining = mask & self._masks.get(block, 0)
            self._record_depth(mask & ~remaining, depth, depths)
            mask = remaining
            if not mask:
                break
            depth += 1
        self._record_depth(mask, depth, depths)
        return {
            name: depths[bit]
            for name, bit in self._bits.items()
            if depths.get(bit)
        }

    def apply(
        self, target: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Applies cache events in order.

        A gap in the sequence numbers may hide removals. After a gap, blocks
        that were last touched before `now` are dropped.
        """
        for event in events:
            expected = self._sequences.get(target, event.sequence - 1) + 1
            if event.sequence < expected:
                continue
            if event.sequence > expected:
                self.drop_older(target, now)
            self._sequences[target] = event.sequence
            self.remove(target, event.removed)
            self.add(target, event.added, now)

    def remove(self, target: str, blocks: Iterable[int]) -> None:
        """Records that a target no longer has blocks cached."""
        cached = self._blocks.get(target)
        if cached is None:
            return
        bit = self._bits[target]
        for block in blocks:
            if cached.pop(block, None) is not None:
                self._clear(block, bit)

    def drop_older(self, target: str, before: float) -> None:
        """Drops a target's blocks that were last touched before a time."""
        cached = self._blocks.get(target, {})
        self.remove(target, [b for b, at in cached.items() if at < before])

    def drop_target(self, target: str) -> None:
        """Removes a target and its blocks."""
        cached = self._blocks.pop(target, None)
        if cached is None:
            return
        bit = self._bits.pop(target)
        for block in cached:
            self._clear(block, bit)
        self._free_bits.append(bit)
        self._sequences.pop(target, None)

    def _target_bit(self, target: str) -> int:
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

    def _record_depth(
        self, target_mask: int, depth: int, depths: dict[int, int]
    ) -> None:
        """Stores a depth for each target in a bit mask."""
        if target_mask <= 0:
            return
        while target_mask:
            bit = target_mask & -target_mask
            depths[bit] = depth
            target_mask ^= bit
