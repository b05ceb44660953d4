"""Commands that read logs: what happened to a request, and to all of them."""

import argparse
import contextlib
from typing import Any, Callable

from catkintrail import errors
from catkintrail import request_story

__all__ = ["add_commands"]

OK, FAILED = 0, 1

Add = Callable[[Any, str, Callable, str], argparse.ArgumentParser]


def add_commands(commands: Any, add: Add) -> None:
    """Adds `explain` and `report`."""
    explain = add(
        commands,
        "explain",
        _run_explain,
        "Tell from logs of relaying instances what happened to a request.",
    )
    explain.add_argument("request_id", metavar="REQUEST-ID")
    explain.add_argument("logs", nargs="+", metavar="LOG")
    report = add(
        commands,
        "report",
        _run_report,
        "Count ends, refusals by cause and first-token times in logs of"
        " relaying instances.",
    )
    report.add_argument("logs", nargs="+", metavar="LOG")


def _run_explain(options: argparse.Namespace) -> int:
    lines = _read(options.logs)
    print("\n".join(request_story.explain(options.request_id, lines)))
    is_known = any(
        line.get("request_id") == options.request_id for line in lines
    )
    return OK if is_known else FAILED


def _run_report(options: argparse.Namespace) -> int:
    found = request_story.report(_read(options.logs))
    for outcome, count in sorted(found.outcomes.items()):
        print(f"{outcome}: {count}")
    for (outcome, cause, status), count in sorted(found.causes.items()):
        shown = f" {status}" if status else ""
        print(f"  {outcome}{shown} {cause}: {count}")
    print("first token, ms, by prompt tokens:")
    for name, count, values in found.first_token_ms:
        shown = ", ".join(
            f"p{percentile} {value}"
            for percentile, value in zip(request_story.PERCENTILES, values)
        )
        print(f"  {name}: {count} requests, {shown if count else '-'}")
    return OK


def _read(paths: list[str]) -> list[request_story.Line]:
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
        return request_story.read_lines(files)
