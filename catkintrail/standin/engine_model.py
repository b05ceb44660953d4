"""State and cost model of the stand-in engine, independent of a clock.

Continuous batching with chunked prefill: each step decodes one token of every
decoding sequence and prefills up to a chunk of prompt tokens, sequences of
higher priority first. The caller decides when steps happen, so the HTTP
stand-in and the benchmark run the same model, in scaled real time and in
virtual time.
"""

import collections
import itertools
from typing import NamedTuple

__all__ = ["EngineModel", "EngineParameters", "Sequence", "SequenceProgress"]


class EngineParameters(NamedTuple):
    """Memory sizes, batch limits and step times of an engine.

    Attributes:
        kv_tokens: Capacity of the KV memory, in tokens.
        block_tokens: Tokens in a block of the prefix cache.
        chunk_tokens: Maximum number of prompt tokens prefilled in one step.
        slots: Maximum number of admitted sequences.
        step_seconds: Fixed time of a step.
        prefill_seconds: Additional time for each prompt token in a step.
        decode_seconds: Additional time for each decoding sequence in a step.
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
        name: Unique name, such as the attempt's id.
        prompt_tokens: Length of the prompt, or of this engine's part of it.
        output_tokens: Tokens to produce; 0 for a part of a group's prompt.
        priority: Higher values are scheduled first.
        blocks: Hashes of the prompt's blocks.
        kv_tokens: KV tokens allocated to it; 0 if a reservation holds them.
        arrival_number: Order of submission; breaks ties of priority.
        prefill_tokens_left: Prompt tokens still to prefill.
        produced_tokens: Output tokens produced so far.
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
        arrival_number: int,
    ) -> None:
        self.name = name
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.blocks = blocks
        self.kv_tokens = kv_tokens
        self.arrival_number = arrival_number
        self.prefill_tokens_left = prompt_tokens
        self.produced_tokens = 0
        self.cached_tokens = 0


class SequenceProgress(NamedTuple):
    """Progress of one sequence in a step.

    Attributes:
        name: Name of the sequence.
        count: Output tokens produced so far.
        finished_prefill: Whether its prefill ended with this step.
        is_done: Whether the sequence is complete.
    """

    name: str
    count: int
    finished_prefill: bool
    is_done: bool


class EngineModel:
    """State of an engine.

    Attributes:
        parameters: Memory sizes, batch limits and step times.
        kv_used: KV tokens held by sequences and reservations.
        sequences: Admitted sequences, by name.
        waiting: Sequences that wait for memory or a slot.
        cache: Hashes of the cached blocks, least recently used first.
        changes: Added and removed hashes of each cache change since the last
            read; the reader resets the list.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.kv_used = 0
        self.sequences: dict[str, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.changes: list[tuple[tuple[int, ...], tuple[int, ...]]] = []
        self._arrival_numbers = itertools.count()
        self._prefill_plan: list[tuple[Sequence, int]] = []
        self._decoding: list[Sequence] = []

    def free_tokens(self) -> int:
        """Returns the KV tokens held by no sequence or reservation."""
        return self.parameters.kv_tokens - self.kv_used

    def reserve_memory(self, tokens: int) -> bool:
        """Reserves KV memory; returns False where too little is free."""
        if tokens > self.free_tokens():
            return False
        self.kv_used += tokens
        self._evict_blocks()
        return True

    def release_memory(self, tokens: int) -> None:
        """Releases reserved KV memory."""
        self.kv_used -= tokens

    def queue_tokens(self) -> int:
        """Returns the submitted prompt tokens that are not yet prefilled."""
        admitted = sum(s.prefill_tokens_left for s in self.sequences.values())
        return admitted + sum(s.prefill_tokens_left for s in self.waiting)

    def submit(
        self,
        name: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        blocks: tuple[int, ...] = (),
        is_reserved: bool = False,
    ) -> Sequence:
        """Submits a request, which waits if memory or slots are short.

        Args:
            name: Unique name of the sequence.
            prompt_tokens: Length of the prompt, or of this engine's part.
            output_tokens: Tokens to produce; 0 for a part of a group's prompt.
            priority: Higher values are scheduled first.
            blocks: Hashes of the prompt's blocks.
            is_reserved: Whether a reservation holds its KV memory already.

        Returns:
            The waiting or admitted sequence.
        """
        kv_tokens = 0 if is_reserved else prompt_tokens + output_tokens
        sequence = Sequence(
            name,
            prompt_tokens,
            output_tokens,
            priority,
            blocks,
            kv_tokens,
            next(self._arrival_numbers),
        )
        self.waiting.append(sequence)
        self._admit()
        return sequence

    def cancel(self, name: str) -> bool:
        """Removes a sequence, waiting or not; returns whether it existed."""
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
        """Returns whether no sequence is admitted."""
        return not self.sequences

    def begin_step(self) -> float:
        """Plans the next step; returns its duration in seconds."""
        self._decoding = [
            s for s in self.sequences.values() if not s.prefill_tokens_left
        ]
        budget = self.parameters.chunk_tokens
        self._prefill_plan = []
        prefilling = [
            s for s in self.sequences.values() if s.prefill_tokens_left
        ]
        for sequence in sorted(prefilling, key=_scheduling_key):
            if not budget:
                break
            tokens = min(budget, sequence.prefill_tokens_left)
            budget -= tokens
            self._prefill_plan.append((sequence, tokens))
        prefilled = self.parameters.chunk_tokens - budget
        return (
            self.parameters.step_seconds
            + prefilled * self.parameters.prefill_seconds
            + len(self._decoding) * self.parameters.decode_seconds
        )

    def end_step(self) -> list[SequenceProgress]:
        """Completes the planned step.

        Returns:
            The progress of each sequence that decoded or ended its prefill.
        """
        results = []
        for sequence in self._decoding:
            if sequence.name in self.sequences:
                results.append(self._record_progress(sequence, False))
        for sequence, tokens in self._prefill_plan:
            if sequence.name not in self.sequences:
                continue
            sequence.prefill_tokens_left -= tokens
            if not sequence.prefill_tokens_left:
                self._cache_blocks(sequence)
                results.append(self._record_progress(sequence, True))
        for progress in results:
            if progress.is_done:
                sequence = self.sequences.pop(progress.name)
                self.kv_used -= sequence.kv_tokens
        self._admit()
        return results

    def _record_progress(
        self, sequence: Sequence, finished_prefill: bool
    ) -> SequenceProgress:
        """Counts an output token if the sequence produces any."""
        if sequence.output_tokens:
            sequence.produced_tokens += 1
        is_done = sequence.produced_tokens >= sequence.output_tokens
        return SequenceProgress(
            sequence.name, sequence.produced_tokens, finished_prefill, is_done
        )

    def _admit(self) -> None:
        """Admits waiting sequences in order until one does not fit."""
        self.waiting.sort(key=_scheduling_key)
        while self.waiting and len(self.sequences) < self.parameters.slots:
            sequence = self.waiting[0]
            if sequence.kv_tokens > self.free_tokens():
                return
            self.waiting.pop(0)
            self.kv_used += sequence.kv_tokens
            self._match_cached_prefix(sequence)
            self.sequences[sequence.name] = sequence
            self._evict_blocks()

    def _match_cached_prefix(self, sequence: Sequence) -> None:
        """Skips the prefill of cached leading blocks, except the last token."""
        matched = 0
        for block in sequence.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            matched += 1
        cached = matched * self.parameters.block_tokens
        cached = max(0, min(cached, sequence.prompt_tokens - 1))
        sequence.cached_tokens = cached
        sequence.prefill_tokens_left = sequence.prompt_tokens - cached

    def _cache_blocks(self, sequence: Sequence) -> None:
        added = tuple(b for b in sequence.blocks if b not in self.cache)
        for block in sequence.blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        if added:
            self.changes.append((added, ()))
        self._evict_blocks()

    def _evict_blocks(self) -> None:
        """Evicts the least recently used blocks that exceed the free memory.

        Cached blocks of admitted sequences count twice, as the sequences' KV
        memory and as cache. This keeps the model simple and errs towards a
        smaller cache.
        """
        max_blocks = max(0, self.free_tokens()) // self.parameters.block_tokens
        removed = []
        while len(self.cache) > max_blocks:
            removed.append(self.cache.popitem(last=False)[0])
        if removed:
            self.changes.append(((), tuple(removed)))


def _scheduling_key(sequence: Sequence) -> tuple[int, int]:
    return (-sequence.priority, sequence.arrival_number)
