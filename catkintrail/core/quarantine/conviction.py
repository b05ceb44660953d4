"""Judges which traits of requests crash engines."""

import collections
from typing import Collection, Iterable, Mapping, NamedTuple, Sequence

from catkintrail.core.quarantine import crash_evidence

__all__ = ["Findings", "find_guilty", "is_convicted", "is_refuted"]

# Crashes after which traits that no engine has written on are quarantined.
CRASHES_OF_UNPROVEN_TRAITS = 3
# The same for traits on which an engine has written since they were first seen.
CRASHES_OF_PROVEN_TRAITS = 8
# Crashes closer together are of one moment.
CRASH_GAP_SECONDS = 0.1
# Crashes of one moment that count for an unproven trait, unless a request went
# from one to another. They do not convict without a crash at another moment.
MAX_CRASHES_PER_MOMENT = CRASHES_OF_UNPROVEN_TRAITS - 1


class Findings(NamedTuple):
    """What is known when traits are judged.

    Attributes:
        ends: The ends of engines that count, the oldest first.
        proven_at: When an engine has last written on a trait, in seconds.
        quarantined: The combinations of traits that are quarantined.
    """

    ends: Sequence[crash_evidence.EngineEnd]
    proven_at: Mapping[str, float]
    quarantined: Collection[crash_evidence.Traits]


class _Crash(NamedTuple):
    """A crash, with the requests that may have caused it.

    Attributes:
        at: Time in seconds.
        culprits: Fingerprints of the requests.
    """

    at: float
    culprits: crash_evidence.Traits


def find_guilty(
    findings: Findings, suspects: crash_evidence.Traits
) -> crash_evidence.Traits | None:
    """Returns the suspects with the most crashes, if there are too many."""
    guilty = []
    for alike in _group_alike(findings, suspects):
        times = _find_crash_times(findings, min(alike))
        if len(times) >= _limit(findings, min(alike)):
            guilty.append((times, alike))
    if not guilty:
        return None
    guilty.sort(key=lambda entry: min(entry[1]))
    worst, _ = max(guilty, key=lambda entry: len(entry[0]))
    return frozenset().union(
        *(alike for times, alike in guilty if times == worst)
    )


def is_convicted(
    findings: Findings, combination: crash_evidence.Traits
) -> bool:
    """Returns whether the evidence suffices for a quarantine."""
    return all(
        len(_find_crash_times(findings, trait, combination))
        >= _limit(findings, trait)
        for trait in combination
    )


def is_refuted(findings: Findings, combination: crash_evidence.Traits) -> bool:
    """Returns whether engines have written on all traits of a combination."""
    return all(
        trait in findings.proven_at
        and len(_find_crash_times(findings, trait)) < CRASHES_OF_PROVEN_TRAITS
        for trait in combination
    )


def _group_alike(
    findings: Findings, suspects: crash_evidence.Traits
) -> list[crash_evidence.Traits]:
    """Returns groups of suspects that no evidence tells apart.

    A long conversation has hundreds of parts, but few such groups.
    """
    by_proof = collections.defaultdict(set)
    for trait in suspects:
        by_proof[findings.proven_at.get(trait)].add(trait)
    groups = [frozenset(group) for group in by_proof.values()]
    for end in findings.ends:
        for traits in end.requests:
            groups = [
                part
                for group in groups
                for part in (group & traits, group - traits)
                if part
            ]
    return groups


def _limit(findings: Findings, trait: str) -> int:
    if trait in findings.proven_at:
        return CRASHES_OF_PROVEN_TRAITS
    return CRASHES_OF_UNPROVEN_TRAITS


def _find_crash_times(
    findings: Findings, trait: str, ignored: crash_evidence.Traits | None = None
) -> list[float]:
    """Returns the times of the crashes that convict a trait.

    A part is convicted only by crashes under different requests, as few as
    explain all of them.

    Args:
        findings: What is known.
        trait: The trait.
        ignored: A quarantine that is taken not to explain crashes.
    """
    crashes = _find_independent_crashes(findings, trait, ignored)
    if not crash_evidence.is_fingerprint(trait):
        crashes = _select_under_different_requests(crashes)
    return [crash.at for crash in crashes]


def _find_independent_crashes(
    findings: Findings, trait: str, ignored: crash_evidence.Traits | None
) -> list[_Crash]:
    """Returns the crashes under a trait that have no common cause.

    Of crashes close together few count, unless the trait is unproven and
    one of its requests went from one crash to another.
    """
    proven_at = findings.proven_at.get(trait, float("-inf"))
    moments: list[list[_Crash]] = []
    followed: set[int] = set()
    for end in findings.ends:
        if end.at <= proven_at:
            continue
        culprits = _find_culprits(findings, trait, end, ignored)
        if not culprits:
            continue
        crash = _Crash(end.at, culprits)
        if not moments or crash.at - moments[-1][0].at >= CRASH_GAP_SECONDS:
            moments.append([crash])
            continue
        resent = _name_requests(trait, end.resent)
        if any(resent & earlier.culprits for earlier in moments[-1]):
            followed.add(len(moments) - 1)
        moments[-1].append(crash)
    crashes = []
    for number, moment in enumerate(moments):
        if trait in findings.proven_at:
            crashes += moment[:1]
        elif number in followed:
            crashes += moment
        else:
            crashes += moment[:MAX_CRASHES_PER_MOMENT]
    return crashes


def _find_culprits(
    findings: Findings,
    trait: str,
    end: crash_evidence.EngineEnd,
    ignored: crash_evidence.Traits | None,
) -> crash_evidence.Traits:
    """Returns the requests with a trait that may have caused a crash.

    A crash that a quarantined combination explains speaks against no other
    trait, except that a part is suspected if its requests are.

    Returns:
        Fingerprints; for requests without one, names that stand for them.
    """
    requests = (
        end.requests if crash_evidence.is_fingerprint(trait) else end.accused
    )
    candidates = [t for t in requests if trait in t]
    if not candidates:
        return frozenset()
    explaining = [
        combination
        for combination in findings.quarantined
        if combination != ignored
        and any(combination <= traits for traits in end.requests)
    ]
    if explaining:
        is_part = not crash_evidence.is_fingerprint(trait)
        if not (is_part and all(map(_is_of_one_request, explaining))):
            return frozenset()
        candidates = [t for t in candidates if any(c <= t for c in explaining)]
    return frozenset(
        next(
            filter(crash_evidence.is_fingerprint, traits), f"{end.at} {number}"
        )
        for number, traits in enumerate(candidates)
    )


def _name_requests(
    trait: str, requests: Iterable[crash_evidence.Traits]
) -> crash_evidence.Traits:
    """Returns the fingerprints of the requests with a trait."""
    return frozenset(
        name
        for traits in requests
        if trait in traits
        for name in filter(crash_evidence.is_fingerprint, traits)
    )


def _is_of_one_request(combination: crash_evidence.Traits) -> bool:
    """Returns whether a combination has the fingerprint of a request."""
    return any(map(crash_evidence.is_fingerprint, combination))


def _select_under_different_requests(crashes: list[_Crash]) -> list[_Crash]:
    """Returns crashes that need a culprit each.

    The culprits are as few as explain all crashes, found by the greedy
    algorithm for hitting sets.
    """
    selected = []
    left = crashes
    while left:
        counts = collections.Counter(
            name for crash in left for name in crash.culprits
        )
        culprit = max(sorted(counts), key=counts.__getitem__)
        selected.append(
            next(crash for crash in left if culprit in crash.culprits)
        )
        left = [crash for crash in left if culprit not in crash.culprits]
    return sorted(selected)
