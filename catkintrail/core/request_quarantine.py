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

from typing import Iterable, NamedTuple

from catkintrail.core.quarantine import conviction
from catkintrail.core.quarantine import crash_evidence
from catkintrail.core.quarantine import trials

__all__ = ["Remainder", "RequestQuarantine"]

QUARANTINE_SECONDS = 600.0
# After a quarantine, one further crash renews it for this long.
PROBATION_SECONDS = 3_600.0
# A withdrawn quarantine is not taken from a peer for this long.
WITHDRAWAL_SECONDS = 60.0
PROOF_SECONDS = 300.0
MAX_PROVEN_TRAITS = 20_000
MAX_QUARANTINES = 64


class Remainder(NamedTuple):
    """What is left of a quarantine that has outlasted the instances.

    Attributes:
        seconds: Remaining duration.
        failed: Number of trials that had crashed an engine.
    """

    seconds: float
    failed: int


class RequestQuarantine:
    """The quarantined combinations of traits, and the evidence against traits.

    A request is quarantined if it has all traits of a combination: a
    fingerprint, or parts of prompts. Parts that the crashes do not tell apart
    make one combination, so that prompts with some of them only are served.

    Attributes:
        quarantined: Combinations with the times in seconds at which their
            quarantines end. Replaced at each change, so that other threads may
            read it.
        trials: The trials of the quarantines.
        evidence: The ends of engines, and which engines lived on.
    """

    def __init__(self) -> None:
        self.quarantined: dict[crash_evidence.Traits, float] = {}
        self.trials: dict[crash_evidence.Traits, trials.Trial] = {}
        self.evidence = crash_evidence.CrashEvidence()
        self._withdrawn_at: dict[crash_evidence.Traits, float] = {}
        self._proven_at: dict[str, float] = {}
        self._probation: dict[crash_evidence.Traits, float] = {}

    def find(self, traits: Iterable[str], now: float) -> float | None:
        """Returns until when a request is quarantined; None if it is not.

        Args:
            traits: crash_evidence.Traits of the request.
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

    def record_crash(
        self, crash: crash_evidence.EngineCrash, now: float
    ) -> list[crash_evidence.Traits]:
        """Records a crash that this instance or a peer has seen.

        Args:
            crash: The crash.
            now: Time of the crash, in seconds.

        Returns:
            Combinations that are quarantined from now on.
        """
        if self.evidence.is_known(crash):
            return []
        self.evidence.add(crash, now)
        if not self.evidence.counts((crash.target, crash.born)):
            return []
        traits = frozenset(crash.traits)
        self._fail_trials(traits, now)
        added = self._renew(traits, now)
        return added + self._convict(traits, now)

    def record_end(
        self, target: str, born: int, now: float
    ) -> list[crash_evidence.Traits]:
        """Records that an engine is gone, or has started anew.

        Args:
            target: Name of the engine.
            born: The start that has ended, in Unix milliseconds.
            now: Time in seconds.

        Returns:
            Combinations that are quarantined from now on.
        """
        key = (target, born)
        end = self.evidence.ends.get(key)
        if end is None or (
            not 0.0 <= now - end.at <= crash_evidence.END_SECONDS
        ):
            return []
        counted = self.evidence.counts(key)
        self.evidence.ends[key] = end._replace(has_ended=True)
        added = []
        if not counted:
            for traits in sorted(end.requests, key=sorted):
                added += self._convict(traits, now)
        return added

    def record_survival(
        self, target: str, born: int, now: float
    ) -> list[crash_evidence.Traits]:
        """Records that an engine has lived on after it ended a connection.

        Args:
            target: Name of the engine.
            born: Start time of the engine, in Unix milliseconds.
            now: Time in seconds.

        Returns:
            Combinations that are no longer quarantined.
        """
        key = (target, born)
        counted = self.evidence.counts(key)
        self.evidence.add_survival(target, born, now)
        end = self.evidence.ends.get(key)
        if end is None or end.has_ended or not counted:
            return []
        released = []
        for combination in list(self.quarantined):
            if not any(combination <= traits for traits in end.requests):
                continue
            if conviction.is_convicted(self._findings(), combination):
                self._restore_trial(combination, now)
            else:
                released.append(combination)
                self._remove(combination)
                self._withdrawn_at[combination] = now
        return released

    def survivors(
        self,
        now: float,
        max_age_seconds: float = crash_evidence.EVIDENCE_SECONDS,
    ) -> list[tuple[str, int, float]]:
        """Returns names, starts and ages in seconds of what was survived."""
        return [
            (*key, now - at)
            for key, at in self.evidence.survivors.items()
            if now - at <= max_age_seconds
        ]

    def is_survivor(self, target: str, born: int) -> bool:
        """Returns whether an engine has lived on after such an end."""
        return (target, born) in self.evidence.survivors

    def record_start(
        self, target: str, born: int, now: float
    ) -> list[crash_evidence.Traits]:
        """Records that an engine has started; earlier starts have ended."""
        added = []
        for name, other in list(self.evidence.ends):
            if name == target and other != born:
                added += self.record_end(name, other, now)
        return added

    def is_trial_due(self, traits: Iterable[str], now: float) -> bool:
        """Returns whether a quarantined request may be sent as a trial.

        May be called while another thread changes the quarantine.
        """
        known = frozenset(traits)
        begun = self.trials
        return all(
            combination in begun
            and begun[combination].next_at <= now <= begun[combination].last_at
            for combination, until in self.quarantined.items()
            if combination <= known and until > now
        )

    def begin_trial(
        self, traits: Iterable[str], now: float
    ) -> list[crash_evidence.Traits]:
        """Lets a quarantined request through, if a trial is due.

        Args:
            traits: crash_evidence.Traits of the request.
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
            pause = trials.TRIAL_SECONDS * 2**trial.begun
            self.trials[combination] = trial._replace(
                begun=trial.begun + 1, next_at=now + pause
            )
        return matching

    def merge_trial(
        self, combination: crash_evidence.Traits, begun: int, next_at: float
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
        suspects = self.evidence.suspects
        return tuple(
            t
            for t in traits
            if not crash_evidence.is_fingerprint(t) or t in suspects
        )

    def record_proof(
        self, traits: Iterable[str], now: float
    ) -> list[crash_evidence.Traits]:
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
        combination: crash_evidence.Traits,
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
        if conviction.is_refuted(self._findings(), combination):
            return False
        if (
            combination not in self.quarantined
            and combination not in self._withdrawn_at
        ):
            self._add(combination, now + min(seconds, QUARANTINE_SECONDS))
            self._set_trial(combination, failed, now)
        return True

    def restore(
        self,
        combination: crash_evidence.Traits,
        remainder: Remainder,
        now: float,
    ) -> bool:
        """Applies a quarantine that has outlasted the instances.

        It has one trial at most, and none if one has failed, as trials after it
        was stored are not known.

        Returns:
            Whether the quarantine is new.
        """
        if combination in self.quarantined:
            return False
        failed = len(trials.TRIAL_PAUSES_SECONDS) - (
            0 if remainder.failed else 1
        )
        self.accept(combination, remainder.seconds, now, failed)
        if combination not in self.quarantined:
            return False
        self.trials[combination] = trials.make_trial(failed, now)
        return True

    def crashes(
        self,
        now: float,
        max_age_seconds: float = crash_evidence.EVIDENCE_SECONDS,
    ) -> list[tuple[crash_evidence.EngineCrash, float]]:
        """Returns the crashes that speak against traits without a proof.

        Args:
            now: Time in seconds.
            max_age_seconds: Older crashes are left out.

        Returns:
            The crashes with their ages in seconds.
        """
        return [
            (
                crash_evidence.EngineCrash(
                    *key,
                    tuple(sorted(traits)),
                    traits in end.begun,
                    end.has_ended,
                ),
                now - end.at,
            )
            for key, end in self.evidence.ends.items()
            if now - end.at <= max_age_seconds and self.evidence.counts(key)
            for traits in end.requests
            if not traits <= self._proven_at.keys()
        ]

    def is_known(self, crash: crash_evidence.EngineCrash) -> bool:
        """Returns whether a crash is recorded."""
        return self.evidence.is_known(crash)

    def expire(self, now: float) -> list[crash_evidence.Traits]:
        """Drops old evidence; returns quarantines that have ended."""
        ended = [c for c, until in self.quarantined.items() if until <= now]
        for combination in ended:
            self._remove(combination)
            self._probation[combination] = now + PROBATION_SECONDS
        self.evidence.expire(now)
        self._withdrawn_at = {
            combination: at
            for combination, at in self._withdrawn_at.items()
            if now - at <= WITHDRAWAL_SECONDS
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

    def _renew(
        self, traits: crash_evidence.Traits, now: float
    ) -> list[crash_evidence.Traits]:
        """Quarantines combinations again that were so before."""
        renewed = [
            combination
            for combination, until in self._probation.items()
            if until > now and combination <= traits
        ]
        for combination in renewed:
            self._add(combination, now + QUARANTINE_SECONDS)
            self.trials[combination] = trials.make_trial(
                len(trials.TRIAL_PAUSES_SECONDS), now
            )
        return renewed

    def _findings(self) -> conviction.Findings:
        return conviction.Findings(
            self.evidence.counted_ends(), self._proven_at, self.quarantined
        )

    def _convict(
        self, traits: crash_evidence.Traits, now: float
    ) -> list[crash_evidence.Traits]:
        """Quarantines what is at fault among the traits of a request."""
        added = []
        # Fingerprints first: what they explain does not convict parts.
        for suspects in _split(traits):
            guilty = conviction.find_guilty(self._findings(), suspects)
            if guilty and guilty not in self.quarantined:
                added.append(guilty)
                self._add(guilty, now + QUARANTINE_SECONDS)
                self.trials[guilty] = trials.make_trial(0, now)
        return added

    def _fail_trials(self, traits: crash_evidence.Traits, now: float) -> None:
        for combination, trial in list(self.trials.items()):
            if combination <= traits:
                self._set_trial(combination, trial.failed + 1, now)

    def _restore_trial(
        self, combination: crash_evidence.Traits, now: float
    ) -> None:
        """Repeats a trial whose engine was found to live on."""
        trial = self.trials[combination]
        self._set_trial(combination, max(0, trial.failed - 1), now)

    def _set_trial(
        self, combination: crash_evidence.Traits, failed: int, now: float
    ) -> None:
        """Sets when the next trial may begin after some have failed."""
        trial = trials.make_trial(failed, now)
        if combination in self.trials:
            trial = trial._replace(begun=self.trials[combination].begun)
        if failed:
            begun_at = self.quarantined[combination] - QUARANTINE_SECONDS
            trial = trial._replace(
                last_at=begun_at + trials.TRIAL_WINDOW_SECONDS
            )
        self.trials[combination] = trial

    def _add(self, combination: crash_evidence.Traits, until: float) -> None:
        kept = list(self.quarantined.items())[-MAX_QUARANTINES + 1 :]
        self.quarantined = {**dict(kept), combination: until}
        self.trials = {c: t for c, t in self.trials.items() if c in dict(kept)}

    def _remove(self, combination: crash_evidence.Traits) -> None:
        self.quarantined = {
            traits: until
            for traits, until in self.quarantined.items()
            if traits != combination
        }
        self.trials.pop(combination, None)


def _split(
    traits: crash_evidence.Traits,
) -> tuple[crash_evidence.Traits, crash_evidence.Traits]:
    """Returns the fingerprint of a request, and the parts of its prompt."""
    fingerprint = frozenset(filter(crash_evidence.is_fingerprint, traits))
    return fingerprint, traits - fingerprint
