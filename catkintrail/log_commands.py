"""Commands that analyse logs: `explain` for one request, `report` for all."""

import argparse
import contextlib
from typing import Any, Callable

from catkintrail import errors
from catkintrail import request_trace

__all__ = ["add_commands"]

OK, FAILED = 0, 1

AddCommand = Callable[[Any, str, Callable, str], argparse.ArgumentParser]


def add_commands(commands: Any, add: AddCommand) -> None:
    """Adds the `explain` and `report` commands.

    Args:
        commands: Subparsers of the main parser.
        add: Adds a command to `commands` by its name, function and help text.
    """
    explain = add(
        commands,
        "explain",
        _run_explain,
        "Show what happened to a request, from logs of relaying instances.",
    )
    explain.add_argument("request_id", metavar="REQUEST-ID")
    explain.add_argument("logs", nargs="+", metavar="LOG")
    report = add(
        commands,
        "report",
        _run_report,
        "Summarise outcomes, causes of refusals and times to the first token"
        " from logs of relaying instances.",
    )
    report.add_argument("logs", nargs="+", metavar="LOG")


def _run_explain(options: argparse.Namespace) -> int:
    lines = _read_logs(options.logs)
    print("\n".join(request_trace.explain(options.request_id, lines)))
    is_known = any(
        line.get("request_id") == options.request_id for line in lines
    )
    return OK if is_known else FAILED


def _run_report(options: argparse.Namespace) -> int:
    summary = request_trace.report(_read_logs(options.logs))
    for outcome, count in sorted(summary.outcomes.items()):
        print(f"{outcome}: {count}")
    for (outcome, cause, status), count in sorted(summary.causes.items()):
        status_text = f" {status}" if status else ""
        print(f"  {outcome}{status_text} {cause}: {count}")
    print("first token, ms, by prompt tokens:")
    for name, count, values in summary.first_token_ms:
        percentiles = ", ".join(
            f"p{percentile} {value}"
            for percentile, value in zip(request_trace.PERCENTILES, values)
        )
        print(f"  {name}: {count} requests, {percentiles if count else '-'}")
    return OK


def _read_logs(paths: list[str]) -> list[request_trace.Line]:
    with contextlib.ExitStack() as stack:
        try:
            files = [
                stack.enter_context(
                    open(path, encoding="utf-8", errors="replace")
                )
                for path in paths
            ]
        except OSError as error:
            raise errors.CheckError(
                str(error.filename),
                [errors.Mistake("", error.strerror or str(error))],
            ) from error
        return request_trace.read_lines(files)
