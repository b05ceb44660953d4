"""Commands that analyse logs: `explain` for one request, `report` for all."""

import argparse
import os
import sys
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
    output = request_trace.explain(options.request_id, _open_logs(options.logs))
    print("\n".join(output))
    return OK if len(output) > 1 else FAILED


def _run_report(options: argparse.Namespace) -> int:
    summary = request_trace.report(_open_logs(options.logs))
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
    print("slow targets:" if summary.slow_targets else "slow targets: none")
    for slow in summary.slow_targets:
        state = "fast again" if slow.is_recovered else "still slow"
        print(
            f"  {slow.target}: {slow.max_slowness:.1f} times as slow, from"
            f" {slow.first} to {slow.last}, {state},"
            f" by {', '.join(slow.instances)}"
        )
    for strained in summary.strained_targets:
        state = (
            "as many as its slots again" if strained.is_relieved else "still"
        )
        print(
            f"  {strained.target}: handles {strained.min_requests:g} requests"
            f" well, {strained.max_strain:.1f} times as slow with more, from"
            f" {strained.first} to {strained.last}, {state}"
        )
    print("configuration in force:")
    for (zone, version), count in sorted(summary.versions.items()):
        print(f"  {zone or '-'}: version {version} on {count} instances")
    for zone in summary.evacuations:
        print(
            f"zone {zone.zone} was evacuated: lines from {zone.first} to"
            f" {zone.last}; at the end evacuated on {zone.evacuated} instances,"
            f" returned on {zone.returned}"
        )
    return OK


def _open_logs(paths: list[str]) -> request_trace.LogFiles:
    """Returns the lines of log files.

    Raises:
        errors.CheckError: A file cannot be read.
    """
    for path in paths:
        if not os.access(path, os.R_OK) or os.path.isdir(path):
            raise errors.CheckError(
                path, [errors.Mistake("", "the log cannot be read")]
            )
    return request_trace.LogFiles(paths, _show_progress)


def _show_progress(number: int, count: int) -> None:
    if sys.stderr.isatty():
        end = "\n" if number == count else ""
        print(f"\rlog {number} of {count}", end=end, file=sys.stderr)
