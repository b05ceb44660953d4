"""The exception tree."""

from typing import NamedTuple

from catkintrail import verdict as verdicts

__all__ = [
    "CallerGoneError",
    "CatkintrailError",
    "CheckError",
    "ConflictError",
    "FrameError",
    "HistoryGoneError",
    "Mistake",
    "OutcomeUnknownError",
    "PlatformError",
    "PlatformUnavailableError",
    "RequestError",
    "StartError",
    "TargetAnsweredError",
    "TargetError",
]


class CatkintrailError(Exception):
    """Root of all errors that this package raises."""


class Mistake(NamedTuple):
    """One mistake in a document.

    Attributes:
        path: Where it is, such as `models.wordsmith.block_tokens`.
        message: What was found and what was expected.
    """

    path: str
    message: str


class CheckError(CatkintrailError):
    """A document has mistakes; all of them are listed."""

    def __init__(self, source: str, mistakes: list[Mistake]) -> None:
        self.source = source
        self.mistakes = mistakes
        lines = [f"{m.path}: {m.message}" for m in mistakes]
        super().__init__(f"{source}: " + "; ".join(lines))


class StartError(CatkintrailError):
    """A program cannot start; the message says what to do."""


class FrameError(CatkintrailError):
    """A peer sent bytes that are not a valid message."""


class PlatformError(CatkintrailError):
    """The platform's object API refused a call."""


class ConflictError(PlatformError):
    """A conditional update met another version.

    Attributes:
        current_version: The version that the store holds; 0 where none.
    """

    def __init__(self, name: str, current_version: int) -> None:
        self.name = name
        self.current_version = current_version
        super().__init__(f"{name} is at version {current_version}")


class PlatformUnavailableError(PlatformError):
    """No answer from the platform; a write may have taken effect."""


class HistoryGoneError(PlatformError):
    """The platform has forgotten the changes that were asked for."""


class TargetError(CatkintrailError):
    """A call to a target failed.

    Attributes:
        verdict: Whether the target may have run the call.
        is_leaving: Whether the target said that it is being shut down.
        is_silent: Whether the target did not answer in time.
        at_fault: Name or address of the target at fault, where it is not the
            one that was asked; else "".
    """

    def __init__(
        self,
        message: str,
        verdict: verdicts.Verdict,
        is_leaving: bool = False,
        is_silent: bool = False,
        at_fault: str = "",
    ) -> None:
        self.verdict = verdict
        self.is_leaving = is_leaving
        self.is_silent = is_silent
        self.at_fault = at_fault
        super().__init__(message)


class TargetAnsweredError(TargetError):
    """A target answered with a failure of its own.

    Attributes:
        status: Its status code.
        headers: Its end-to-end headers.
        body: Its body.
    """

    def __init__(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        super().__init__(f"the target answered {status}", verdicts.Verdict.RAN)


class CallerGoneError(CatkintrailError):
    """The caller has closed its connection."""


class OutcomeUnknownError(PlatformUnavailableError):
    """A write may have taken effect, and reading it back failed too."""


class RequestError(CatkintrailError):
    """A request ends with a refusal."""

    def __init__(self, refusal: verdicts.Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.message)
