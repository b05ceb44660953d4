"""The stand-in engine's cost model and state, in virtual time.

Continuous batching with chunked prefill: every step decodes one token of each
running sequence and prefills up to a chunk of prompt tokens, sequences of
higher priority first. The caller decides when steps happen, so the same model
runs under the HTTP stand-in, the tests and the benchmark.
"""

import collections
import itertools
from typing import NamedTuple

__all__ = ["EngineModel", "EngineShape", "Produced", "Sequence"]


class EngineShape(NamedTuple):
    """Sizes and speeds of an engine.

    Attributes:
        kv_tokens: KV tokens that fit into its memory.
        block_tokens: Tokens in a block of the prefix cache.
        chunk_tokens: The most prompt tokens prefilled in one step.
        slots: The most sequences at once.
        step_seconds: Fixed time of a step.
        prefill_seconds: Time of a step for each prompt token.
        decode_seconds: Time of a step for each decoding sequence.
    """

    kv_tokens: int = 450_000
    block_tokens: int = 512
    chunk_tokens: int = 2_048
    slots: int = 128
    step_seconds: float = 0.008
    prefill_seconds: float = 0.000012
    decode_seconds: float = 0.0001


class Sequence:
    """A request on an engine.

    Attributes:
        name: The attempt's id.
        prompt_tokens: Length of the prompt, or of this engine's part of it.
        output_tokens: Tokens to produce; 0 for a part of a group's prompt.
        priority: Higher goes first.
        blocks: Hashes of the prompt's blocks.
        kv_tokens: Memory it holds.
        prefill_left: Prompt tokens still to prefill.
        produced: Tokens produced.
        cached_tokens: Prompt tokens found in the prefix cache.
    """

    def __init__(
        self,
        name: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        blocks: tuple[int, ...],
        kv_tokens: int,
        order: int,
    ) -> None:
        self.name = name
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.blocks = blocks
        self.kv_tokens = kv_tokens
        self.order = order
        self.prefill_left = prompt_tokens
        self.produced = 0
        self.cached_tokens = 0


class Produced(NamedTuple):
    """What one sequence got from a step.

    Attributes:
        name: The sequence.
        count: Tokens produced in all.
        is_first: Whether its prefill ended with this step.
        is_done: Whether it has ended.
    """

    name: str
    count: int
    is_first: bool
    is_done: bool


class EngineModel:
    """An engine's state.

    Attributes:
        shape: Its sizes and speeds.
        kv_used: KV tokens held by sequences and reservations.
        sequences: Admitted sequences, by name.
        waiting: Sequences that do not fit yet.
    """

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.kv_used = 0
        self.sequences: dict[str, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.changes: list[tuple[tuple[int, ...], tuple[int, ...]]] = []
        self._orders = itertools.count()
        self._planned: list[tuple[Sequence, int]] = []
        self._decoding: list[Sequence] = []

    def free_tokens(self) -> int:
        """Returns KV tokens that nobody holds."""
        return self.shape.kv_tokens - self.kv_used

    def hold(self, tokens: int) -> bool:
        """Holds memory for a reservation; returns whether it fits."""
        if tokens > self.free_tokens():
            return False
        self.kv_used += tokens
        self._shrink_cache()
        return True

    def unhold(self, tokens: int) -> None:
        """Gives back memory of a reservation."""
        self.kv_used -= tokens

    def queue_tokens(self) -> int:
        """Returns prompt tokens accepted but not yet prefilled."""
        admitted = sum(s.prefill_left for s in self.sequences.values())
        return admitted + sum(s.prefill_left for s in self.waiting)

    def submit(
        self,
        name: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        blocks: tuple[int, ...] = (),
        is_reserved: bool = False,
    ) -> Sequence:
        """Takes a request; it waits where memory or slots are short.

        Args:
            name: Unique.
            prompt_tokens: Length of the prompt.
            output_tokens: Tokens to produce; 0 for a part of a prompt.
            priority: Higher goes first.
            blocks: Hashes of the prompt's blocks.
            is_reserved: Whether its memory is held by a reservation.
        """
        need = 0 if is_reserved else prompt_tokens + output_tokens
        sequence = Sequence(
            name,
            prompt_tokens,
            output_tokens,
            priority,
            blocks,
            need,
            next(self._orders),
        )
        self.waiting.append(sequence)
        self._admit()
        return sequence

    def cancel(self, name: str) -> bool:
        """Ends a sequence early; returns whether it was there."""
        for sequence in self.waiting:
            if sequence.name == name:
                self.waiting.remove(sequence)
                return True
        sequence = self.sequences.pop(name, None)
        if sequence is None:
            return False
        self.kv_used -= sequence.kv_tokens
        self._admit()
        return True

    def is_idle(self) -> bool:
        """Returns whether there is nothing to do."""
        return not self.sequences

    def begin_step(self) -> float:
        """Plans the next step; returns its length in seconds."""
        self._decoding = [
            s for s in self.sequences.values() if not s.prefill_left
        ]
        budget = self.shape.chunk_tokens
        self._planned = []
        prefilling = [s for s in self.sequences.values() if s.prefill_left]
        for sequence in sorted(prefilling, key=_turn):
            if not budget:
                break
            tokens = min(budget, sequence.prefill_left)
            budget -= tokens
            self._planned.append((sequence, tokens))
        prefilled = self.shape.chunk_tokens - budget
        return (
            self.shape.step_seconds
            + prefilled * self.shape.prefill_seconds
            + len(self._decoding) * self.shape.decode_seconds
        )

    def end_step(self) -> list[Produced]:
        """Carries out the planned step."""
        produced = []
        for sequence in self._decoding:
            if sequence.name in self.sequences:
                produced.append(self._produce(sequence, False))
        for sequence, tokens in self._planned:
            if sequence.name not in self.sequences:
                continue
            sequence.prefill_left -= tokens
            if not sequence.prefill_left:
                self._store_blocks(sequence)
                produced.append(self._produce(sequence, True))
        for one in produced:
            if one.is_done:
                sequence = self.sequences.pop(one.name)
                self.kv_used -= sequence.kv_tokens
        self._admit()
        return produced

    def _produce(self, sequence: Sequence, is_first: bool) -> Produced:
        if sequence.output_tokens:
            sequence.produced += 1
        is_done = sequence.produced >= sequence.output_tokens
        return Produced(sequence.name, sequence.produced, is_first, is_done)

    def _admit(self) -> None:
        self.waiting.sort(key=_turn)
        while self.waiting and len(self.sequences) < self.shape.slots:
            sequence = self.waiting[0]
            if sequence.kv_tokens > self.free_tokens():
                return
            self.waiting.pop(0)
            self.kv_used += sequence.kv_tokens
            self._use_cache(sequence)
            self.sequences[sequence.name] = sequence
            self._shrink_cache()

    def _use_cache(self, sequence: Sequence) -> None:
        matched = 0
        for block in sequence.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            matched += 1
        cached = matched * self.shape.block_tokens
        cached = max(0, min(cached, sequence.prompt_tokens - 1))
        sequence.cached_tokens = cached
        sequence.prefill_left = sequence.prompt_tokens - cached

    def _store_blocks(self, sequence: Sequence) -> None:
        added = tuple(b for b in sequence.blocks if b not in self.cache)
        for block in sequence.blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        if added:
            self.changes.append((added, ()))
        self._shrink_cache()

    def _shrink_cache(self) -> None:
        """Evicts the oldest blocks beyond what memory leaves for them.

        The blocks of running sequences are counted once more as cache; that
        keeps the model simple and errs towards a smaller cache.
        """
        room = max(0, self.free_tokens()) // self.shape.block_tokens
        removed = []
        while len(self.cache) > room:
            removed.append(self.cache.popitem(last=False)[0])
        if removed:
            self.changes.append(((), tuple(removed)))


def _turn(sequence: Sequence) -> tuple[int, int]:
    return (-sequence.priority, sequence.order)
