"""Keeps prompts away from engines if a part of them crashes engines.

Answers a load in which some requests end each engine that begins to write an
answer on them. They have one part of their prompts in common; sound requests
share their caller, route and all other parts.

Evidence is a response that broke off right after its start: the parts of its
prompt are suspected. A part on which an engine has written an answer is not,
unless far more engines ended on it later. Engines that end at the same moment
are likely to have a common cause, such as a power failure, and count once.

Performs no I/O and takes the current time as an argument. Times are in seconds
of a clock that keeps running while the machine is suspended.
"""

from typing import Iterable, NamedTuple

__all__ = ["EngineCrash", "RequestQuarantine"]

# Crashes after which parts that no engine has written on are quarantined.
CRASHES_OF_UNPROVEN_PARTS = 3
# The same for parts on which an engine has written since they were first seen.
CRASHES_OF_PROVEN_PARTS = 8
# Crashes closer together count as one.
CRASH_GAP_SECONDS = 0.1
QUARANTINE_SECONDS = 600.0
# After a quarantine, one further crash renews it for this long.
PROBATION_SECONDS = 3_600.0
EVIDENCE_SECONDS = 600.0
PROOF_SECONDS = 300.0
MAX_CRASHES = 256
MAX_PROVEN_PARTS = 20_000
MAX_QUARANTINES = 64

Parts = frozenset[str]


class EngineCrash(NamedTuple):
    """An engine that broke off a response right after its start.

    Attributes:
        target: Name of the engine.
        born: Start time of the engine, in Unix milliseconds; 0 if unknown.
        parts: Ids of the shared parts of the prompt.
    """

    target: str
    born: int
    parts: tuple[str, ...]


class _Evidence(NamedTuple):
    at: float
    parts: Parts


class RequestQuarantine:
    """The quarantined combinations of parts, and the evidence against parts.

    A prompt is quarantined if it has all parts of a combination. Parts that
    the crashes do not tell apart make one combination, so that prompts with
    some of them only are served.

    Attributes:
        quarantined: Combinations of parts with the times in seconds at which
            their quarantines end. Replaced at each change, so that other
            threads may read it.
    """

    def __init__(self) -> None:
        self.quarantined: dict[Parts, float] = {}
        self._crashes: dict[tuple[str, int], _Evidence] = {}
        self._proven_at: dict[str, float] = {}
        self._probation: dict[Parts, float] = {}

    def find(self, parts: Iterable[str], now: float) -> float | None:
        """Returns until when a prompt is quarantined; None if it is not.

        Args:
            parts: Ids of the parts of the prompt.
            now: Time in seconds.

        Returns:
            Time in seconds.
        """
        quarantined = self.quarantined
        if not quarantined:
            return None
        prompt = frozenset(parts)
        ends = [
            until
            for combination, until in quarantined.items()
            if combination <= prompt and until > now
        ]
        return max(ends, default=None)

    def record_crash(self, crash: EngineCrash, now: float) -> list[Parts]:
        """Records a crash that this instance or a peer has seen.

        Args:
            crash: The crash.
            now: Time of the crash, in seconds.

        Returns:
            Combinations of parts that are quarantined from now on.
        """
        key = (crash.target, crash.born)
        is_new = key not in self._crashes
        known = self._crashes.pop(key, _Evidence(now, frozenset()))
        self._crashes[key] = _Evidence(
            min(known.at, now), known.parts | frozenset(crash.parts)
        )
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        parts = frozenset(crash.parts)
        added = self._renew(parts, now) if is_new else []
        guilty = self._find_guilty(parts)
        if guilty:
            added.append(guilty)
            self._add(guilty, now + QUARANTINE_SECONDS)
        return added

    def record_proof(self, parts: Iterable[str], now: float) -> list[Parts]:
        """Records that an engine has written an answer on a prompt.

        Returns:
            Combinations of parts that are no longer quarantined.
        """
        prompt = frozenset(parts)
        for part in prompt:
            self._proven_at.pop(part, None)
            self._proven_at[part] = now
        while len(self._proven_at) > MAX_PROVEN_PARTS:
            del self._proven_at[next(iter(self._proven_at))]
        released = [parts for parts in self.quarantined if parts <= prompt]
        for combination in released:
            self._remove(combination)
            self._probation.pop(combination, None)
        return released

    def accept(self, combination: Parts, seconds: float, now: float) -> bool:
        """Applies a quarantine that a peer reports.

        Args:
            combination: The parts.
            seconds: Remaining duration of the quarantine.
            now: Time in seconds.

        Returns:
            False if this instance has proof against the quarantine.
        """
        if not combination:
            return True
        crashes = list(self._crashes.values())
        if all(
            part in self._proven_at
            and _count_moments(self._crash_times(part, crashes))
            < CRASHES_OF_PROVEN_PARTS
            for part in combination
        ):
            return False
        if combination not in self.quarantined:
            self._add(combination, now + min(seconds, QUARANTINE_SECONDS))
        return True

    def crashes(
        self, now: float, max_age_seconds: float = EVIDENCE_SECONDS
    ) -> list[tuple[EngineCrash, float]]:
        """Returns the crashes that speak against parts without a proof.

        Args:
            now: Time in seconds.
            max_age_seconds: Older crashes are left out.

        Returns:
            The crashes with their ages in seconds.
        """
        return [
            (
                EngineCrash(*key, tuple(sorted(evidence.parts))),
                now - evidence.at,
            )
            for key, evidence in self._crashes.items()
            if now - evidence.at <= max_age_seconds
            and not evidence.parts <= self._proven_at.keys()
        ]

    def is_known(self, target: str, born: int) -> bool:
        """Returns whether a crash of an engine is recorded."""
        return (target, born) in self._crashes

    def expire(self, now: float) -> list[Parts]:
        """Drops old evidence; returns quarantines that have ended."""
        ended = [c for c, until in self.quarantined.items() if until <= now]
        for combination in ended:
            self._remove(combination)
            self._probation[combination] = now + PROBATION_SECONDS
        self._crashes = {
            key: evidence
            for key, evidence in self._crashes.items()
            if now - evidence.at <= EVIDENCE_SECONDS
        }
        while self._proven_at:
            oldest = next(iter(self._proven_at))
            if now - self._proven_at[oldest] <= PROOF_SECONDS:
                break
            del self._proven_at[oldest]
        self._probation = {
            combination: until
            for combination, until in self._probation.items()
            if until > now
        }
        return ended

    def _renew(self, parts: Parts, now: float) -> list[Parts]:
        """Quarantines combinations again that were so before."""
        renewed = [
            combination
            for combination, until in self._probation.items()
            if until > now and combination <= parts
        ]
        for combination in renewed:
            self._add(combination, now + QUARANTINE_SECONDS)
        return renewed

    def _find_guilty(self, suspects: Parts) -> Parts | None:
        """Returns the suspects with the most crashes, if there are too many."""
        unexplained = self._unexplained()
        times = {
            part: self._crash_times(part, unexplained) for part in suspects
        }
        counts = {part: _count_moments(times[part]) for part in suspects}
        guilty = [
            part for part in suspects if counts[part] >= self._limit(part)
        ]
        if not guilty:
            return None
        worst = max(sorted(guilty), key=counts.__getitem__)
        return frozenset(part for part in guilty if times[part] == times[worst])

    def _limit(self, part: str) -> int:
        if part in self._proven_at:
            return CRASHES_OF_PROVEN_PARTS
        return CRASHES_OF_UNPROVEN_PARTS

    def _unexplained(self) -> list[_Evidence]:
        """Returns the crashes that no quarantined combination explains."""
        return [
            evidence
            for evidence in self._crashes.values()
            if not any(c <= evidence.parts for c in self.quarantined)
        ]

    def _crash_times(self, part: str, crashes: list[_Evidence]) -> list[float]:
        """Returns the times of the crashes that speak against a part."""
        proven_at = self._proven_at.get(part, float("-inf"))
        return sorted(
            crash.at
            for crash in crashes
            if part in crash.parts and crash.at > proven_at
        )

    def _add(self, combination: Parts, until: float) -> None:
        kept = list(self.quarantined.items())[-MAX_QUARANTINES + 1 :]
        self.quarantined = {**dict(kept), combination: until}

    def _remove(self, combination: Parts) -> None:
        self.quarantined = {
            parts: until
            for parts, until in self.quarantined.items()
            if parts != combination
        }


def _count_moments(times: list[float]) -> int:
    """Returns the number of times, counting those close together once."""
    count = 0
    last = float("-inf")
    for time in times:
        if time - last >= CRASH_GAP_SECONDS:
            count += 1
            last = time
    return count
