"""Verdicts on whether a request may have run, and reasons of refusals."""

import enum
from typing import NamedTuple

__all__ = [
    "FINAL_STATUSES",
    "Reason",
    "Refusal",
    "STATUS_OF_REASON",
    "Verdict",
    "combine",
]

# Statuses of responses that end an exchange (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)


class Verdict(enum.Enum):
    """States whether a request ran on a target.

    `NOT_RUN` is given only if no byte of the request was written to a
    connection, or if the target itself declined the request.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Reason(enum.Enum):
    """Why a request was refused or failed."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    KEY_REUSED = "idempotency_key_reused"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    STORE_UNAVAILABLE = "store_unavailable"
    DEADLINE = "deadline_exceeded"
    TARGET_FAILED = "target_failed"
    QUARANTINED = "quarantined"
    IN_PROGRESS = "in_progress"
    CANCELLED = "cancelled"


STATUS_OF_REASON: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.RATE_LIMITED: 429,
    Reason.OVERLOADED: 503,
    Reason.NO_TARGET: 503,
    Reason.DRAINING: 503,
    Reason.NOT_READY: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.DEADLINE: 504,
    Reason.TARGET_FAILED: 502,
    Reason.QUARANTINED: 503,
    Reason.IN_PROGRESS: 409,
    Reason.CANCELLED: 499,
}


class Refusal(NamedTuple):
    """The final result of a request that was refused or failed.

    Attributes:
        verdict: Whether the request may have run.
        reason: Machine-readable cause.
        message: Human-readable cause; one line.
        retry_after_seconds: When to retry; None if a retry of the same request
            cannot succeed.
    """

    verdict: Verdict
    reason: Reason
    message: str
    retry_after_seconds: float | None = None


_EXECUTION_ORDER = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Returns the verdict on a request after attempts with both verdicts."""
    return max(first, second, key=_EXECUTION_ORDER.index)
