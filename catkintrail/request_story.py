"""Tells what happened to requests, from the logs of relaying instances."""

import collections
import json
from typing import Any, Iterable, Iterator, NamedTuple

from hdrh import histogram

__all__ = ["Report", "explain", "read_lines", "report"]

# What an instance learnt this long before a request was placed may have
# decided it.
CONTEXT_SECONDS = 6.0
# Fields that are told apart from the others of a line.
KNOWN_FIELDS = frozenset(
    {
        "time",
        "level",
        "name",
        "event",
        "instance",
        "availability_zone",
        "request_id",
        "taskName",
    }
)
# Events that concern one target, and those that concern a whole instance.
TARGET_EVENTS = frozenset(
    {
        "target_ejected",
        "target_gone",
        "target_joined",
        "target_lapsed",
        "target_leaving",
    }
)
INSTANCE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "history_gone",
        "instance_draining",
        "instance_started",
        "instance_stopped",
        "settings_reloaded",
        "store_lost",
        "store_regained",
    }
)
# Prompts are told apart by these lengths, in tokens.
PROMPT_BUCKETS = (8_000, 100_000)
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)

Line = dict[str, Any]


class Report(NamedTuple):
    """What became of the requests in some logs.

    Attributes:
        outcomes: Requests by outcome.
        causes: Refusals and failures by outcome, cause and status.
        first_token_ms: Percentiles of the time to the first token by the
            prompt's length: name of the bucket, requests, values.
    """

    outcomes: dict[str, int]
    causes: dict[tuple[str, str, int], int]
    first_token_ms: list[tuple[str, int, list[float]]]


def read_lines(sources: Iterable[Iterable[str]]) -> list[Line]:
    """Returns the JSON lines of several logs by time; skips other lines."""
    lines = []
    for source in sources:
        for text in source:
            try:
                line = json.loads(text)
            except ValueError:
                continue
            if isinstance(line, dict) and "event" in line and "time" in line:
                lines.append(line)
    return sorted(lines, key=lambda line: line["time"])


def explain(request_id: str, lines: list[Line]) -> list[str]:
    """Returns what happened to a request, in order, and why it ended.

    Args:
        request_id: Of the request.
        lines: Of all instances, by time.
    """
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        return [f"{request_id}: no line; another instance's log may have it"]
    told = [_tell(line) for line in own]
    context = list(_context(own, lines))
    if context:
        told += ["", "Learnt shortly before, of the same instance or targets:"]
        told += [_tell(line) for line in context]
    return told + ["", _conclude(own)]


def report(lines: list[Line]) -> Report:
    """Counts the ends of requests and the times to first tokens."""
    outcomes: collections.Counter[str] = collections.Counter()
    causes: collections.Counter[tuple[str, str, int]] = collections.Counter()
    tokens: dict[str, int] = {}
    times = {name: _new_histogram() for name in _bucket_names()}
    for line in lines:
        if line["event"] == "request_placed":
            tokens[line["request_id"]] = line["prompt_tokens"]
        elif line["event"] == "request_ended":
            outcomes[line["outcome"]] += 1
            if "cause" in line:
                key = line["outcome"], line["cause"], line.get("status", 0)
                causes[key] += 1
            if "first_event_ms" in line:
                prompt = tokens.get(line["request_id"], 0)
                value = min(HIGHEST_MS, max(1, round(line["first_event_ms"])))
                times[_bucket(prompt)].record_value(value)
    return Report(
        dict(outcomes),
        dict(causes),
        [
            (
                name,
                found.get_total_count(),
                [found.get_value_at_percentile(p) for p in PERCENTILES],
            )
            for name, found in times.items()
        ],
    )


def _context(own: list[Line], lines: list[Line]) -> Iterator[Line]:
    """Yields what the request's instance learnt that concerns it."""
    instances = {line["instance"] for line in own}
    targets = {
        line[field]
        for line in own
        for field in ("target", "at_fault")
        if field in line
    }
    first, last = _seconds(own[0]), _seconds(own[-1])
    for line in lines:
        if line["instance"] not in instances:
            continue
        if not first - CONTEXT_SECONDS <= _seconds(line) <= last:
            continue
        concerns_target = (
            line["event"] in TARGET_EVENTS and line.get("target") in targets
        )
        if concerns_target or line["event"] in INSTANCE_EVENTS:
            yield line


def _conclude(own: list[Line]) -> str:
    ended = next(
        (line for line in own if line["event"] == "request_ended"), None
    )
    if ended is None:
        return (
            "It has no end: the instance stopped before it, or its lines were"
            " dropped."
        )
    failures = [line for line in own if line["event"] == "send_failed"]
    if ended["outcome"] == "answered":
        text = f"It was answered after {ended['elapsed_ms']} ms"
        if failures:
            text += f", after {len(failures)} failed sends"
        return text + "."
    text = f"It ended as {ended['outcome']}"
    if "status" in ended:
        text += f" with {ended['status']}"
    if "cause" in ended:
        text += f": {ended['cause']}: {ended['reason']}"
    if failures:
        at_fault = ", ".join(sorted({line["at_fault"] for line in failures}))
        text += f". At fault: {at_fault}"
    if "verdict" in ended:
        text += f". Verdict: {ended['verdict']}"
    return text + "."


def _tell(line: Line) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in KNOWN_FIELDS
    )
    clock = str(line["time"]).partition("T")[2] or line["time"]
    return f"{clock} {line['instance']} {line['event']} {fields}"


def _seconds(line: Line) -> float:
    """Returns the time of a line; only differences within a day count."""
    clock = str(line["time"]).partition("T")[2].partition("+")[0]
    hours, minutes, seconds = clock.rstrip("Z").split(":")
    return int(hours) * 3600.0 + int(minutes) * 60.0 + float(seconds)


def _bucket_names() -> list[str]:
    names = [f"up to {limit}" for limit in PROMPT_BUCKETS]
    return names + [f"over {PROMPT_BUCKETS[-1]}"]


def _bucket(tokens: int) -> str:
    for limit, name in zip(PROMPT_BUCKETS, _bucket_names()):
        if tokens <= limit:
            return name
    return _bucket_names()[-1]


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
