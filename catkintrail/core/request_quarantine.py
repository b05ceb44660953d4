"""Keeps requests away from engines if they, or a part of them, crash engines.

Answers a load in which some requests end each engine that begins to run them.
Either the same request comes again and again, or the requests have one part of
their prompts in common. Sound requests share caller, route and all other parts.

What may be at fault are the traits of a request: its fingerprint, and the
shared parts of its prompt. Evidence is a response that broke off at its start,
or before it: the traits of its request are suspected. Several crashes under one
request convict its fingerprint; several requests with crashes convict a part
that they share. A trait on which an engine has written an answer is not, unless
far more engines ended on it later.

Engines that end at the same moment may have a common cause, such as a power
failure, and convict nothing by themselves. But a power failure does not follow
a request to its next engine: if one of the requests was sent again after its
engine had ended, and ended another one in the same moment, each engine counts.

An engine that has ended a connection may live on. If it is seen to, its
evidence is withdrawn, and its later evidence counts only if it then ends. Few
requests are let through a quarantine as trials: an answer on one ends it.

Performs no I/O and takes the current time as an argument. Times are in seconds
of a clock that keeps running while the machine is suspended.
"""

import collections
import hashlib
from typing import Iterable, NamedTuple

__all__ = ["EngineCrash", "RequestQuarantine", "make_fingerprint"]

# Crashes after which traits that no engine has written on are quarantined.
CRASHES_OF_UNPROVEN_TRAITS = 3
# The same for traits on which an engine has written since they were first seen.
CRASHES_OF_PROVEN_TRAITS = 8
# Crashes closer together are of one moment.
CRASH_GAP_SECONDS = 0.1
# Crashes of one moment that count for an unproven trait, unless a request went
# from one to another. They do not convict without a crash at another moment.
MAX_CRASHES_PER_MOMENT = CRASHES_OF_UNPROVEN_TRAITS - 1
QUARANTINE_SECONDS = 600.0
# After a quarantine, one further crash renews it for this long.
PROBATION_SECONDS = 3_600.0
# Pauses before the trials: after the quarantine began, and after each trial
# that has crashed an engine.
TRIAL_PAUSES_SECONDS = (0.5, 1.0)
# After a crash on trial, the next trial begins this long after the quarantine
# at the latest.
TRIAL_WINDOW_SECONDS = 3.0
# How long the outcome of a trial is awaited; doubles with each one.
TRIAL_SECONDS = 2.0
# An engine that is gone this long after it ended a connection has ended then.
END_SECONDS = 10.0
# A withdrawn quarantine is not taken from a peer for this long.
WITHDRAWAL_SECONDS = 60.0
EVIDENCE_SECONDS = 600.0
PROOF_SECONDS = 300.0
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 32
# Traits in the evidence; each one in several requests counts several times.
MAX_EVIDENCE_TRAITS = 1 << 19
MAX_PROVEN_TRAITS = 20_000
MAX_QUARANTINES = 64

# Part ids of prompts have no colon.
FINGERPRINT_PREFIX = "request:"
FINGERPRINT_BYTES = 16
FIELD_LENGTH_BYTES = 8

Traits = frozenset[str]


def make_fingerprint(method: str, uri: str, caller: str, body: bytes) -> str:
    """Returns what identifies a request that comes again.

    The hash is BLAKE2b (RFC 7693).

    Args:
        method: HTTP method.
        uri: Path and query.
        caller: Name of the organisation, or "" for none.
        body: The body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (
        method.encode(),
        uri.encode("utf-8", "surrogateescape"),
        caller.encode(),
        body,
    ):
        digest.update(len(field).to_bytes(FIELD_LENGTH_BYTES))
        digest.update(field)
    return FINGERPRINT_PREFIX + digest.hexdigest()


class EngineCrash(NamedTuple):
    """An engine that broke off a response at its start, or before it.

    Attributes:
        target: Name of the engine.
        born: Start time of the engine, in Unix milliseconds; 0 if unknown.
        traits: Traits of the request.
        has_begun: Whether the head of the response had arrived.
        has_ended: Whether the engine was found to be gone afterwards.
        is_resend: Whether the request was sent to the engine after it had ended
            another one. Known to the instance that has sent it only.
    """

    target: str
    born: int
    traits: tuple[str, ...]
    has_begun: bool
    has_ended: bool = False
    is_resend: bool = False


class Remainder(NamedTuple):
    """What is left of a quarantine that has outlasted the instances.

    Attributes:
        seconds: Remaining duration.
        failed: Number of trials that had crashed an engine.
    """

    seconds: float
    failed: int


class Trial(NamedTuple):
    """The trials of a quarantine.

    Attributes:
        begun: Number of requests that were let through.
        failed: Number of crashes since the quarantine began.
        next_at: Time in seconds from which a request is let through.
        last_at: Time in seconds until which one is.
    """

    begun: int
    failed: int
    next_at: float
    last_at: float = float("inf")


class _Evidence(NamedTuple):
    """The end of an engine.

    Attributes:
        at: Time in seconds.
        requests: Traits of each request whose response broke off.
        begun: Those among them of which the head of the response had arrived.
        has_ended: Whether the engine was found to be gone afterwards.
        resent: Those among them that had ended another engine before.
    """

    at: float
    requests: frozenset[Traits]
    begun: frozenset[Traits]
    has_ended: bool = False
    resent: frozenset[Traits] = frozenset()

    @property
    def size(self) -> int:
        """Number of traits, those of each request for themselves."""
        return sum(map(len, self.requests))

    @property
    def accused(self) -> frozenset[Traits]:
        """Requests whose parts may be at fault.

        An engine that crashes when it begins to write may do so before the head
        of the response. But if some response had just begun, the others were
        only waiting at the same engine.
        """
        return self.begun or self.requests


class _Crash(NamedTuple):
    """A crash, with the requests that may have caused it.

    Attributes:
        at: Time in seconds.
        culprits: Fingerprints of the requests.
    """

    at: float
    culprits: Traits


class RequestQuarantine:
    """The quarantined combinations of traits, and the evidence against traits.

    A request is quarantined if it has all traits of a combination: a
    fingerprint, or parts of prompts. Parts that the crashes do not tell apart
    make one combination, so that prompts with some of them only are served.

    Attributes:
        quarantined: Combinations with the times in seconds at which their
            quarantines end. Replaced at each change, so that other threads may
            read it.
        suspects: Fingerprints that crashes speak against; replaced likewise.
        trials: The trials of the quarantines.
    """

    def __init__(self) -> None:
        self.quarantined: dict[Traits, float] = {}
        self.suspects: Traits = frozenset()
        self.trials: dict[Traits, Trial] = {}
        self._crashes: dict[tuple[str, int], _Evidence] = {}
        # Engines that lived on after they had ended a connection, and since
        # when that is known.
        self._survivors: dict[tuple[str, int], float] = {}
        self._withdrawn_at: dict[Traits, float] = {}
        self._proven_at: dict[str, float] = {}
        self._probation: dict[Traits, float] = {}

    def find(self, traits: Iterable[str], now: float) -> float | None:
        """Returns until when a request is quarantined; None if it is not.

        Args:
            traits: Traits of the request.
            now: Time in seconds.

        Returns:
            Time in seconds.
        """
        quarantined = self.quarantined
        if not quarantined:
            return None
        known = frozenset(traits)
        ends = [
            until
            for combination, until in quarantined.items()
            if combination <= known and until > now
        ]
        return max(ends, default=None)

    def record_crash(self, crash: EngineCrash, now: float) -> list[Traits]:
        """Records a crash that this instance or a peer has seen.

        Args:
            crash: The crash.
            now: Time of the crash, in seconds.

        Returns:
            Combinations that are quarantined from now on.
        """
        if self.is_known(crash):
            return []
        traits = frozenset(crash.traits)
        key = (crash.target, crash.born)
        known = self._crashes.pop(key, _Evidence(now, frozenset(), frozenset()))
        requests, begun, resent = known.requests, known.begun, known.resent
        has_ended = known.has_ended or crash.has_ended
        if len(requests) < MAX_REQUESTS_PER_CRASH or (
            # Those that waited at the engine do not hide the one that ended it.
            crash.has_begun
            and len(begun) < MAX_REQUESTS_PER_CRASH
        ):
            requests |= {traits}
            if crash.has_begun:
                begun |= {traits}
            if crash.is_resend:
                resent |= {traits}
        self._crashes[key] = _Evidence(
            min(known.at, now), requests, begun, has_ended, resent
        )
        self.suspects |= set(filter(_is_fingerprint, traits))
        self._drop_oldest()
        if not self._counts(key):
            return []
        self._fail_trials(traits, now)
        added = self._renew(traits, now)
        return added + self._convict(traits, now)

    def record_end(self, target: str, born: int, now: float) -> list[Traits]:
        """Records that an engine is gone, or has started anew.

        Args:
            target: Name of the engine.
            born: The start that has ended, in Unix milliseconds.
            now: Time in seconds.

        Returns:
            Combinations that are quarantined from now on.
        """
        key = (target, born)
        evidence = self._crashes.get(key)
        if evidence is None or not 0.0 <= now - evidence.at <= END_SECONDS:
            return []
        counted = self._counts(key)
        self._crashes[key] = evidence._replace(has_ended=True)
        added = []
        if not counted:
            for traits in sorted(evidence.requests, key=sorted):
                added += self._convict(traits, now)
        return added

    def record_survival(
        self, target: str, born: int, now: float
    ) -> list[Traits]:
        """Records that an engine has lived on after it ended a connection.

        Args:
            target: Name of the engine.
            born: Start time of the engine, in Unix milliseconds.
            now: Time in seconds.

        Returns:
            Combinations that are no longer quarantined.
        """
        key = (target, born)
        counted = self._counts(key)
        self._survivors.pop(key, None)
        self._survivors[key] = now
        if len(self._survivors) > MAX_CRASHES:
            del self._survivors[next(iter(self._survivors))]
        evidence = self._crashes.get(key)
        if evidence is None or evidence.has_ended or not counted:
            return []
        released = []
        for combination in list(self.quarantined):
            if not any(combination <= traits for traits in evidence.requests):
                continue
            if self._is_convicted(combination):
                self._restore_trial(combination, now)
            else:
                released.append(combination)
                self._remove(combination)
                self._withdrawn_at[combination] = now
        return released

    def survivors(
        self, now: float, max_age_seconds: float = EVIDENCE_SECONDS
    ) -> list[tuple[str, int, float]]:
        """Returns names, starts and ages in seconds of what was survived."""
        return [
            (*key, now - at)
            for key, at in self._survivors.items()
            if now - at <= max_age_seconds
        ]

    def is_survivor(self, target: str, born: int) -> bool:
        """Returns whether an engine has lived on after such an end."""
        return (target, born) in self._survivors

    def record_start(self, target: str, born: int, now: float) -> list[Traits]:
        """Records that an engine has started; earlier starts have ended."""
        added = []
        for name, other in list(self._crashes):
            if name == target and other != born:
                added += self.record_end(name, other, now)
        return added

    def is_trial_due(self, traits: Iterable[str], now: float) -> bool:
        """Returns whether a quarantined request may be sent as a trial.

        May be called while another thread changes the quarantine.
        """
        known = frozenset(traits)
        trials = self.trials
        return all(
            combination in trials
            and trials[combination].next_at
            <= now
            <= trials[combination].last_at
            for combination, until in self.quarantined.items()
            if combination <= known and until > now
        )

    def begin_trial(self, traits: Iterable[str], now: float) -> list[Traits]:
        """Lets a quarantined request through, if a trial is due.

        Args:
            traits: Traits of the request.
            now: Time in seconds.

        Returns:
            The quarantines that are on trial; none if the request may not be
            sent.
        """
        known = frozenset(traits)
        if not self.is_trial_due(known, now):
            return []
        matching = [
            combination
            for combination, until in self.quarantined.items()
            if combination <= known and until > now
        ]
        for combination in matching:
            trial = self.trials[combination]
            pause = TRIAL_SECONDS * 2**trial.begun
            self.trials[combination] = trial._replace(
                begun=trial.begun + 1, next_at=now + pause
            )
        return matching

    def merge_trial(
        self, combination: Traits, begun: int, next_at: float
    ) -> bool:
        """Applies what a peer knows of the trials of a quarantine.

        Returns:
            Whether it was news.
        """
        trial = self.trials.get(combination)
        if trial is None or begun <= trial.begun:
            return False
        self.trials[combination] = trial._replace(
            begun=begun, next_at=max(next_at, trial.next_at)
        )
        return True

    def select_provable(self, traits: Iterable[str]) -> tuple[str, ...]:
        """Returns the traits of which a proof matters.

        Fingerprints are too many to record, unless crashes speak against them.
        May be called while another thread changes the quarantine.
        """
        suspects = self.suspects
        return tuple(
            t for t in traits if not _is_fingerprint(t) or t in suspects
        )

    def record_proof(self, traits: Iterable[str], now: float) -> list[Traits]:
        """Records that an engine has written an answer on a request.

        Returns:
            Combinations that are no longer quarantined.
        """
        proven = frozenset(traits)
        for trait in proven:
            self._proven_at.pop(trait, None)
            self._proven_at[trait] = now
        while len(self._proven_at) > MAX_PROVEN_TRAITS:
            del self._proven_at[next(iter(self._proven_at))]
        released = [c for c in self.quarantined if c <= proven]
        for combination in released:
            self._remove(combination)
            self._probation.pop(combination, None)
        return released

    def accept(
        self,
        combination: Traits,
        seconds: float,
        now: float,
        failed: int = 0,
    ) -> bool:
        """Applies a quarantine that a peer reports, or that was stored.

        Args:
            combination: The traits.
            seconds: Remaining duration of the quarantine.
            now: Time in seconds.
            failed: Number of trials that have crashed an engine.

        Returns:
            False if this instance has proof against the quarantine.
        """
        if not combination:
            return True
        if all(
            trait in self._proven_at
            and len(self._crash_times(trait)) < CRASHES_OF_PROVEN_TRAITS
            for trait in combination
        ):
            return False
        if (
            combination not in self.quarantined
            and combination not in self._withdrawn_at
        ):
            self._add(combination, now + min(seconds, QUARANTINE_SECONDS))
            self._set_trial(combination, failed, now)
        return True

    def restore(
        self, combination: Traits, remainder: Remainder, now: float
    ) -> bool:
        """Applies a quarantine that has outlasted the instances.

        It has one trial at most, and none if one has failed, as trials after it
        was stored are not known.

        Returns:
            Whether the quarantine is new.
        """
        if combination in self.quarantined:
            return False
        failed = len(TRIAL_PAUSES_SECONDS) - (0 if remainder.failed else 1)
        self.accept(combination, remainder.seconds, now, failed)
        if combination not in self.quarantined:
            return False
        self.trials[combination] = _make_trial(failed, now)
        return True

    def crashes(
        self, now: float, max_age_seconds: float = EVIDENCE_SECONDS
    ) -> list[tuple[EngineCrash, float]]:
        """Returns the crashes that speak against traits without a proof.

        Args:
            now: Time in seconds.
            max_age_seconds: Older crashes are left out.

        Returns:
            The crashes with their ages in seconds.
        """
        return [
            (
                EngineCrash(
                    *key,
                    tuple(sorted(traits)),
                    traits in evidence.begun,
                    evidence.has_ended,
                ),
                now - evidence.at,
            )
            for key, evidence in self._crashes.items()
            if now - evidence.at <= max_age_seconds and self._counts(key)
            for traits in evidence.requests
            if not traits <= self._proven_at.keys()
        ]

    def is_known(self, crash: EngineCrash) -> bool:
        """Returns whether a crash is recorded."""
        evidence = self._crashes.get((crash.target, crash.born))
        return (
            evidence is not None
            and frozenset(crash.traits) in evidence.requests
            and (evidence.has_ended or not crash.has_ended)
        )

    def expire(self, now: float) -> list[Traits]:
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
        self._survivors = {
            key: at
            for key, at in self._survivors.items()
            if now - at <= EVIDENCE_SECONDS
        }
        self._withdrawn_at = {
            combination: at
            for combination, at in self._withdrawn_at.items()
            if now - at <= WITHDRAWAL_SECONDS
        }
        self._update_suspects()
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

    def _drop_oldest(self) -> None:
        """Drops old evidence that is beyond the bounds of memory."""
        size = sum(evidence.size for evidence in self._crashes.values())
        has_dropped = False
        while len(self._crashes) > MAX_CRASHES or (
            size > MAX_EVIDENCE_TRAITS and len(self._crashes) > 1
        ):
            oldest = next(iter(self._crashes))
            size -= self._crashes.pop(oldest).size
            has_dropped = True
        if has_dropped:
            self._update_suspects()

    def _update_suspects(self) -> None:
        self.suspects = frozenset(
            trait
            for evidence in self._crashes.values()
            for traits in evidence.requests
            for trait in traits
            if _is_fingerprint(trait)
        )

    def _renew(self, traits: Traits, now: float) -> list[Traits]:
        """Quarantines combinations again that were so before."""
        renewed = [
            combination
            for combination, until in self._probation.items()
            if until > now and combination <= traits
        ]
        for combination in renewed:
            self._add(combination, now + QUARANTINE_SECONDS)
            self.trials[combination] = _make_trial(
                len(TRIAL_PAUSES_SECONDS), now
            )
        return renewed

    def _convict(self, traits: Traits, now: float) -> list[Traits]:
        """Quarantines what is at fault among the traits of a request."""
        added = []
        # Fingerprints first: what they explain does not convict parts.
        for suspects in _split(traits):
            guilty = self._find_guilty(suspects)
            if guilty and guilty not in self.quarantined:
                added.append(guilty)
                self._add(guilty, now + QUARANTINE_SECONDS)
                self.trials[guilty] = _make_trial(0, now)
        return added

    def _is_convicted(self, combination: Traits) -> bool:
        """Returns whether the evidence suffices for a quarantine."""
        return all(
            len(self._crash_times(trait, combination)) >= self._limit(trait)
            for trait in combination
        )

    def _counts(self, key: tuple[str, int]) -> bool:
        """Returns whether the evidence of an engine counts."""
        evidence = self._crashes.get(key)
        return evidence is not None and (
            evidence.has_ended or key not in self._survivors
        )

    def _fail_trials(self, traits: Traits, now: float) -> None:
        for combination, trial in list(self.trials.items()):
            if combination <= traits:
                self._set_trial(combination, trial.failed + 1, now)

    def _restore_trial(self, combination: Traits, now: float) -> None:
        """Repeats a trial whose engine was found to live on."""
        trial = self.trials[combination]
        self._set_trial(combination, max(0, trial.failed - 1), now)

    def _set_trial(self, combination: Traits, failed: int, now: float) -> None:
        """Sets when the next trial may begin after some have failed."""
        trial = _make_trial(failed, now)
        if combination in self.trials:
            trial = trial._replace(begun=self.trials[combination].begun)
        if failed:
            begun_at = self.quarantined[combination] - QUARANTINE_SECONDS
            trial = trial._replace(last_at=begun_at + TRIAL_WINDOW_SECONDS)
        self.trials[combination] = trial

    def _find_guilty(self, suspects: Traits) -> Traits | None:
        """Returns the suspects with the most crashes, if there are too many."""
        guilty = []
        for alike in self._group_alike(suspects):
            times = self._crash_times(min(alike))
            if len(times) >= self._limit(min(alike)):
                guilty.append((times, alike))
        if not guilty:
            return None
        guilty.sort(key=lambda entry: min(entry[1]))
        worst, _ = max(guilty, key=lambda entry: len(entry[0]))
        return frozenset().union(
            *(alike for times, alike in guilty if times == worst)
        )

    def _group_alike(self, suspects: Traits) -> list[Traits]:
        """Returns groups of suspects that no evidence tells apart.

        A long conversation has hundreds of parts, but few such groups.
        """
        by_proof = collections.defaultdict(set)
        for trait in suspects:
            by_proof[self._proven_at.get(trait)].add(trait)
        groups = [frozenset(group) for group in by_proof.values()]
        for evidence in self._crashes.values():
            for traits in evidence.requests:
                groups = [
                    part
                    for group in groups
                    for part in (group & traits, group - traits)
                    if part
                ]
        return groups

    def _limit(self, trait: str) -> int:
        if trait in self._proven_at:
            return CRASHES_OF_PROVEN_TRAITS
        return CRASHES_OF_UNPROVEN_TRAITS

    def _crash_times(
        self, trait: str, ignored: Traits | None = None
    ) -> list[float]:
        """Returns the times of the crashes that convict a trait.

        A part is convicted only by crashes under different requests, as few as
        explain all of them.

        Args:
            trait: The trait.
            ignored: A quarantine that is taken not to explain crashes.
        """
        crashes = self._find_independent_crashes(trait, ignored)
        if not _is_fingerprint(trait):
            crashes = _select_under_different_requests(crashes)
        return [crash.at for crash in crashes]

    def _find_independent_crashes(
        self, trait: str, ignored: Traits | None
    ) -> list[_Crash]:
        """Returns the crashes under a trait that have no common cause.

        Of crashes close together few count, unless the trait is unproven and
        one of its requests went from one crash to another.
        """
        proven_at = self._proven_at.get(trait, float("-inf"))
        counted = [
            evidence
            for key, evidence in self._crashes.items()
            if self._counts(key) and evidence.at > proven_at
        ]
        moments: list[list[_Crash]] = []
        followed: set[int] = set()
        for evidence in sorted(counted, key=lambda e: e.at):
            culprits = self._find_culprits(trait, evidence, ignored)
            if not culprits:
                continue
            crash = _Crash(evidence.at, culprits)
            if not moments or crash.at - moments[-1][0].at >= CRASH_GAP_SECONDS:
                moments.append([crash])
                continue
            resent = _name_requests(trait, evidence.resent)
            if any(resent & earlier.culprits for earlier in moments[-1]):
                followed.add(len(moments) - 1)
            moments[-1].append(crash)
        crashes = []
        for number, moment in enumerate(moments):
            if trait in self._proven_at:
                crashes += moment[:1]
            elif number in followed:
                crashes += moment
            else:
                crashes += moment[:MAX_CRASHES_PER_MOMENT]
        return crashes

    def _find_culprits(
        self, trait: str, evidence: _Evidence, ignored: Traits | None
    ) -> Traits:
        """Returns the requests with a trait that may have caused a crash.

        A crash that a quarantined combination explains speaks against no other
        trait, except that a part is suspected if its requests are.

        Returns:
            Fingerprints; for requests without one, names that stand for them.
        """
        requests = (
            evidence.requests if _is_fingerprint(trait) else evidence.accused
        )
        candidates = [t for t in requests if trait in t]
        if not candidates:
            return frozenset()
        explaining = [
            combination
            for combination in self.quarantined
            if combination != ignored
            and any(combination <= traits for traits in evidence.requests)
        ]
        if explaining:
            is_part = not _is_fingerprint(trait)
            if not (is_part and all(map(_is_of_one_request, explaining))):
                return frozenset()
            candidates = [
                t for t in candidates if any(c <= t for c in explaining)
            ]
        return frozenset(
            next(filter(_is_fingerprint, traits), f"{evidence.at} {number}")
            for number, traits in enumerate(candidates)
        )

    def _add(self, combination: Traits, until: float) -> None:
        kept = list(self.quarantined.items())[-MAX_QUARANTINES + 1 :]
        self.quarantined = {**dict(kept), combination: until}
        self.trials = {c: t for c, t in self.trials.items() if c in dict(kept)}

    def _remove(self, combination: Traits) -> None:
        self.quarantined = {
            traits: until
            for traits, until in self.quarantined.items()
            if traits != combination
        }
        self.trials.pop(combination, None)


def _is_fingerprint(trait: str) -> bool:
    return trait.startswith(FINGERPRINT_PREFIX)


def _make_trial(failed: int, now: float) -> Trial:
    """Returns the trials after some have crashed an engine."""
    if failed >= len(TRIAL_PAUSES_SECONDS):
        return Trial(0, failed, float("inf"))
    return Trial(0, failed, now + TRIAL_PAUSES_SECONDS[failed])


def _name_requests(trait: str, requests: Iterable[Traits]) -> Traits:
    """Returns the fingerprints of the requests with a trait."""
    return frozenset(
        name
        for traits in requests
        if trait in traits
        for name in filter(_is_fingerprint, traits)
    )


def _is_of_one_request(combination: Traits) -> bool:
    return any(map(_is_fingerprint, combination))


def _split(traits: Traits) -> tuple[Traits, Traits]:
    """Returns the fingerprint of a request, and the parts of its prompt."""
    fingerprint = frozenset(filter(_is_fingerprint, traits))
    return fingerprint, traits - fingerprint


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
