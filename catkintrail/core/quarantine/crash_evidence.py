"""Evidence about requests that crash engines.

Times are in seconds of a clock that keeps running while the machine is
suspended.
"""

import hashlib
from typing import NamedTuple

__all__ = [
    "CrashEvidence",
    "EngineCrash",
    "EngineEnd",
    "Traits",
    "is_fingerprint",
    "make_fingerprint",
]

# An engine that is gone this long after it ended a connection has ended then.
END_SECONDS = 10.0
EVIDENCE_SECONDS = 600.0
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 32
# Traits in the evidence; each one in several requests counts several times.
MAX_EVIDENCE_TRAITS = 1 << 19

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


def is_fingerprint(trait: str) -> bool:
    """Returns whether a trait is a fingerprint, not a part of a prompt."""
    return trait.startswith(FINGERPRINT_PREFIX)


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


class EngineEnd(NamedTuple):
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


class CrashEvidence:
    """The ends of engines, and which engines lived on.

    Attributes:
        ends: The ends of engines, by name and start of the engine.
        survivors: Engines that lived on after they had ended a connection, and
            since when that is known, in seconds.
        suspects: Fingerprints that crashes speak against. Replaced at each
            change, so that other threads may read it.
    """

    def __init__(self) -> None:
        self.ends: dict[tuple[str, int], EngineEnd] = {}
        self.survivors: dict[tuple[str, int], float] = {}
        self.suspects: Traits = frozenset()

    def add(self, crash: EngineCrash, now: float) -> None:
        """Adds a crash at a time in seconds."""
        traits = frozenset(crash.traits)
        key = (crash.target, crash.born)
        known = self.ends.pop(key, EngineEnd(now, frozenset(), frozenset()))
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
        self.ends[key] = EngineEnd(
            min(known.at, now), requests, begun, has_ended, resent
        )
        self.suspects |= set(filter(is_fingerprint, traits))
        self._drop_oldest()

    def add_survival(self, target: str, born: int, now: float) -> None:
        """Records that an engine has lived on."""
        key = (target, born)
        self.survivors.pop(key, None)
        self.survivors[key] = now
        if len(self.survivors) > MAX_CRASHES:
            del self.survivors[next(iter(self.survivors))]

    def is_known(self, crash: EngineCrash) -> bool:
        """Returns whether a crash is recorded."""
        end = self.ends.get((crash.target, crash.born))
        return (
            end is not None
            and frozenset(crash.traits) in end.requests
            and (end.has_ended or not crash.has_ended)
        )

    def counts(self, key: tuple[str, int]) -> bool:
        """Returns whether the evidence of an engine counts."""
        end = self.ends.get(key)
        return end is not None and (end.has_ended or key not in self.survivors)

    def counted_ends(self) -> list[EngineEnd]:
        """Returns the ends that count, the oldest first."""
        ends = [end for key, end in self.ends.items() if self.counts(key)]
        return sorted(ends, key=lambda end: end.at)

    def expire(self, now: float) -> None:
        """Drops old evidence."""
        self.ends = {
            key: end
            for key, end in self.ends.items()
            if now - end.at <= EVIDENCE_SECONDS
        }
        self.survivors = {
            key: at
            for key, at in self.survivors.items()
            if now - at <= EVIDENCE_SECONDS
        }
        self._update_suspects()

    def _drop_oldest(self) -> None:
        """Drops old evidence that is beyond the bounds of memory."""
        size = sum(end.size for end in self.ends.values())
        has_dropped = False
        while len(self.ends) > MAX_CRASHES or (
            size > MAX_EVIDENCE_TRAITS and len(self.ends) > 1
        ):
            oldest = next(iter(self.ends))
            size -= self.ends.pop(oldest).size
            has_dropped = True
        if has_dropped:
            self._update_suspects()

    def _update_suspects(self) -> None:
        self.suspects = frozenset(
            trait
            for end in self.ends.values()
            for traits in end.requests
            for trait in traits
            if is_fingerprint(trait)
        )
