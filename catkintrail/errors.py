"""The exceptions of this package."""

from typing import NamedTuple

from catkintrail import verdict as verdicts

__all__ = [
    "CallerDisconnectedError",
    "CatkintrailError",
    "CheckError",
    "ConflictError",
    "FrameError",
    "HistoryExpiredError",
    "MemorySpentError",
    "Mistake",
    "OutcomeUnknownError",
    "PlatformError",
    "PlatformUnavailableError",
    "ProofExpiredError",
    "RequestError",
    "StartError",
    "TargetResponseError",
    "TargetError",
]


class CatkintrailError(Exception):
    """Base class of all exceptions that this package raises."""


class Mistake(NamedTuple):
    """One validation error in a document.

    Attributes:
        path: Path to the invalid value, such as
            `models.wordsmith.block_tokens`.
        message: The value that was found and the one that was expected.
    """

    path: str
    message: str


class CheckError(CatkintrailError):
    """A document fails validation.

    Attributes:
        source: Name of the document.
        mistakes: All validation errors in the document.
    """

    def __init__(self, source: str, mistakes: list[Mistake]) -> None:
        self.source = source
        self.mistakes = mistakes
        lines = [f"{m.path}: {m.message}" for m in mistakes]
        super().__init__(f"{source}: " + "; ".join(lines))


class StartError(CatkintrailError):
    """A program cannot start; the message names the cause and a remedy."""


class FrameError(CatkintrailError):
    """A peer sent bytes that are not a valid message."""


class PlatformError(CatkintrailError):
    """The platform's object API refused or failed a call."""


class ConflictError(PlatformError):
    """A conditional update was refused because the version differs.

    Attributes:
        name: Name of the object.
        current_version: Version in the store; 0 where the object is absent.
    """

    def __init__(self, name: str, current_version: int) -> None:
        self.name = name
        self.current_version = current_version
        super().__init__(f"{name} is at version {current_version}")


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may have taken effect."""


class HistoryExpiredError(PlatformError):
    """The platform no longer keeps the requested range of changes."""


class HistoryReplacedError(HistoryExpiredError):
    """The platform's store has come back from an older copy."""


class TargetError(CatkintrailError):
    """A call to a target failed.

    Attributes:
        verdict: Whether the target may have run the call.
        is_leaving: Whether the target reported that it is shutting down.
        is_silent: Whether the target did not accept the connection or did not
            answer in time.
        at_fault: Name or address of the target that failed, where that is
            another one than the target that was called; else "".
        is_broken_off: Whether the target ended the connection before the end
            of its response.
        is_paused: Whether the target asked to be sent nothing for some time.
    """

    def __init__(
        self,
        message: str,
        verdict: verdicts.Verdict,
        is_leaving: bool = False,
        is_silent: bool = False,
        at_fault: str = "",
        is_broken_off: bool = False,
        is_paused: bool = False,
    ) -> None:
        self.is_paused = is_paused
        self.is_broken_off = is_broken_off
        self.verdict = verdict
        self.is_leaving = is_leaving
        self.is_silent = is_silent
        self.at_fault = at_fault
        super().__init__(message)


class UncertainEndError(TargetError):
    """It is not certain that a response is whole; its target may be sound."""


class TargetNotCalledError(TargetError):
    """A call was withheld, because the target must not get it any more.

    Attributes:
        target: Name of the target; that of a helper if it is the cause.
    """

    def __init__(self, message: str, target: str) -> None:
        self.target = target
        super().__init__(message, verdicts.Verdict.NOT_RUN, at_fault=target)


class ProofExpiredError(TargetNotCalledError):
    """A call was withheld, because the caller's key may have been revoked."""

    def __init__(self) -> None:
        super().__init__(
            "the caller's API key was last verified too long ago", ""
        )


class TargetResponseError(TargetError):
    """A target ran the request and answered with an error status.

    Attributes:
        status: HTTP status code of the answer.
        headers: End-to-end headers of the answer.
        body: Body of the answer.
    """

    def __init__(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        super().__init__(f"the target answered {status}", verdicts.Verdict.RAN)


class MemorySpentError(TargetError):
    """A response is given up, as there is no memory to keep it in."""

    def __init__(self) -> None:
        super().__init__(
            "there is no memory left for the response",
            verdicts.Verdict.MAY_HAVE_RUN,
        )


class CallerDisconnectedError(CatkintrailError):
    """The caller has closed its connection."""


class OutcomeUnknownError(PlatformUnavailableError):
    """A write may have taken effect, and reading it back failed as well."""


class RequestError(CatkintrailError):
    """A request ends with a refusal.

    Attributes:
        refusal: The verdict and the reason to return to the caller.
    """

    def __init__(self, refusal: verdicts.Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.message)
