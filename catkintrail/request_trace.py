"""Reconstructs what happened to requests from relaying instances' logs."""

import collections
import json
import math
from typing import Any, Callable, Iterable, Iterator, NamedTuple, TypeVar

from hdrh import histogram

__all__ = [
    "EvacuatedZone",
    "LogFiles",
    "Report",
    "SlowTarget",
    "StrainedTarget",
    "explain",
    "parse_lines",
    "report",
]

# Events that an instance logged up to this long before the first line of a
# request may have influenced where the request was placed.
RELATED_EVENTS_SECONDS = 6.0
# Fields that are printed at the start of a line, or not at all. All others are
# printed as `name=value`.
OMITTED_FIELDS = frozenset(
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
        "target_cold",
        "target_ejected",
        "target_gone",
        "target_joined",
        "target_lapsed",
        "target_leaving",
        "target_fast",
        "target_relieved",
        "target_slow",
        "target_warm",
        "target_strained",
    }
)
SLOW_EVENTS = frozenset({"target_slow", "target_fast"})
STRAIN_EVENTS = frozenset({"target_strained", "target_relieved"})
EVACUATION_EVENTS = frozenset({"zone_evacuated", "zone_returned"})
INSTANCE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "evacuated_zone_unknown",
        "history_gone",
        "instance_draining",
        "instance_started",
        "instance_stopped",
        "settings_reloaded",
        "store_lost",
        "store_regained",
        "zone_evacuated",
        "zone_returned",
    }
)
# Upper limits of the prompt length buckets, in tokens.
PROMPT_BUCKETS = (8_000, 100_000)
MAX_RECORDED_MS = 600_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)

Line = dict[str, Any]
_Summary = TypeVar("_Summary")


class SlowTarget(NamedTuple):
    """A target that instances suspected of being slow.

    Attributes:
        target: Name of the target.
        first: Time of the first suspicion, as in the logs.
        last: Time of the last line about it.
        max_slowness: Largest ratio of measured to predicted time.
        instances: Names of the instances that suspected it.
        is_recovered: Whether all of them took it for fast again.
        basis: What the last suspicion was learned from, with the target's usual
            and the normal time where these are known; "" if unknown.
    """

    target: str
    first: str
    last: str
    max_slowness: float
    instances: tuple[str, ...]
    is_recovered: bool
    basis: str


class EvacuatedZone(NamedTuple):
    """What instances knew of the evacuations of a zone.

    Attributes:
        zone: Name of the availability zone.
        first: Time of the first line about it, as in the logs.
        last: Time of the last line.
        evacuated: Number of instances on which it was evacuated at the end.
        returned: Number of instances on which it was not any more.
    """

    zone: str
    first: str
    last: str
    evacuated: int
    returned: int


class StrainedTarget(NamedTuple):
    """A target that handles fewer requests well than it has slots.

    Attributes:
        target: Name of the target.
        first: Time of the first line about it, as in the logs.
        last: Time of the last line about it.
        min_requests: Least number of requests that it handles well.
        max_strain: Largest ratio of its times with more requests.
        is_relieved: Whether it handles as many as its slots again.
    """

    target: str
    first: str
    last: str
    min_requests: float
    max_strain: float
    is_relieved: bool


class Report(NamedTuple):
    """Outcomes and latencies of the requests in some logs.

    Attributes:
        outcomes: Number of requests by outcome.
        causes: Number of refusals and failures by outcome, cause and status.
        first_token_ms: For each bucket of prompt lengths its name, the number
            of requests, and the PERCENTILES of the time to the first token.
        slow_targets: Targets that were suspected of being slow, in the order
            of their names.
        versions: Number of instances by availability zone and version of the
            configuration that was last in force on them.
        evacuations: Zones that were evacuated, in the order of their names.
        strained_targets: Targets that slowed down before they were full, in the
            order of their names.
    """

    outcomes: dict[str, int]
    causes: dict[tuple[str, str, int], int]
    first_token_ms: list[tuple[str, int, list[float]]]
    slow_targets: list[SlowTarget]
    versions: dict[tuple[str, int], int]
    evacuations: list[EvacuatedZone]
    strained_targets: list[StrainedTarget]


class LogFiles:
    """The lines of log files, read anew at each iteration.

    Attributes:
        paths: Paths of the files.
        on_file: Called with the number of the file that is read next and the
            number of all files.
    """

    def __init__(
        self, paths: list[str], on_file: Callable[[int, int], None]
    ) -> None:
        self.paths = paths
        self.on_file = on_file

    def __iter__(self) -> Iterator[Line]:
        """Yields the lines of one file after the other."""
        for number, path in enumerate(self.paths, 1):
            self.on_file(number, len(self.paths))
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from parse_lines(file)


def parse_lines(source: Iterable[str]) -> Iterator[Line]:
    """Yields the JSON lines of a log; skips lines that are not log records."""
    for text in source:
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "time" in line:
            yield line


def explain(request_id: str, lines: Iterable[Line]) -> list[str]:
    """Returns text lines that show what happened to a request.

    The request's own log lines come first, then related events of its instances
    and targets, and last how the request ended.

    Args:
        request_id: Id of the request.
        lines: Log lines of all instances, in any order. They are read twice
            and not kept.

    Returns:
        The text lines; a single one if no line has the id.
    """
    request_lines = _sort_by_time(
        line for line in lines if line.get("request_id") == request_id
    )
    if not request_lines:
        return [
            f"{request_id}: no lines; they may be in another instance's log"
        ]
    output = [_format_line(line) for line in request_lines]
    related = _sort_by_time(_related_lines(request_lines, lines))
    if related:
        output += [
            "",
            "Related events of the same instances and targets:",
        ]
        output += [_format_line(line) for line in related]
    return output + ["", _describe_end(request_lines)]


def report(lines: Iterable[Line]) -> Report:
    """Counts outcomes and collects the times to the first token.

    Args:
        lines: Log lines of all instances; those of one instance in order.
            They are read once and not kept.
    """
    outcomes: collections.Counter[str] = collections.Counter()
    causes: collections.Counter[tuple[str, str, int]] = collections.Counter()
    prompt_tokens_by_request: dict[str, int] = {}
    first_token_times = {name: _new_histogram() for name in _bucket_names()}
    slow_targets = _StateLines(SLOW_EVENTS, "target")
    strained_targets = _StateLines(STRAIN_EVENTS, "target")
    evacuations = _StateLines(EVACUATION_EVENTS, "zone")
    version_by_instance: dict[str, tuple[str, int]] = {}
    for line in lines:
        for state_lines in (slow_targets, strained_targets, evacuations):
            state_lines.add(line)
        if line["event"] == "configuration_in_force":
            version_by_instance[line["instance"]] = (
                line.get("availability_zone", ""),
                line["version"],
            )
        elif line["event"] == "request_placed":
            prompt_tokens_by_request[line["request_id"]] = line["prompt_tokens"]
        elif line["event"] == "request_ended":
            outcomes[line["outcome"]] += 1
            prompt_tokens = prompt_tokens_by_request.pop(line["request_id"], 0)
            if "cause" in line:
                key = line["outcome"], line["cause"], line.get("status", 0)
                causes[key] += 1
            if "first_event_ms" in line:
                milliseconds = max(1, round(line["first_event_ms"]))
                first_token_times[_bucket_name(prompt_tokens)].record_value(
                    min(MAX_RECORDED_MS, milliseconds)
                )
    return Report(
        dict(outcomes),
        dict(causes),
        [
            (
                name,
                recorded.get_total_count(),
                [recorded.get_value_at_percentile(p) for p in PERCENTILES],
            )
            for name, recorded in first_token_times.items()
        ],
        slow_targets.summarise(_describe_slow),
        dict(collections.Counter(version_by_instance.values())),
        evacuations.summarise(_describe_zone),
        strained_targets.summarise(_describe_strained),
    )


class _StateLines:
    """Lines about states that begin and end, by what has the state.

    Attributes:
        events: Names of the events.
        field: Field of a line that names what has the state.
        lines: The lines by that name.
    """

    def __init__(self, events: frozenset[str], field: str) -> None:
        self.events = events
        self.field = field
        self.lines: dict[str, list[Line]] = {}

    def add(self, line: Line) -> None:
        """Adds a line, if it is about such a state."""
        if line["event"] in self.events:
            self.lines.setdefault(line[self.field], []).append(line)

    def summarise(
        self, describe: Callable[[str, list[Line], dict[str, str]], _Summary]
    ) -> list[_Summary]:
        """Returns what the lines say, in the order of the names.

        Args:
            describe: Takes a name, its lines in the order of time, and the last
                event of each instance.
        """
        summaries = []
        for name, unsorted_lines in sorted(self.lines.items()):
            lines = _sort_by_time(unsorted_lines)
            last_events = {line["instance"]: line["event"] for line in lines}
            summaries.append(describe(name, lines, last_events))
        return summaries


def _describe_zone(
    zone: str, lines: list[Line], last_events: dict[str, str]
) -> EvacuatedZone:
    counts = collections.Counter(last_events.values())
    return EvacuatedZone(
        zone,
        lines[0]["time"],
        lines[-1]["time"],
        counts["zone_evacuated"],
        counts["zone_returned"],
    )


def _describe_slow(
    target: str, lines: list[Line], last_events: dict[str, str]
) -> SlowTarget:
    return SlowTarget(
        target,
        lines[0]["time"],
        lines[-1]["time"],
        max(line.get("slowness", 1.0) for line in lines),
        tuple(sorted(last_events)),
        set(last_events.values()) == {"target_fast"},
        _describe_basis(lines),
    )


def _describe_strained(
    target: str, lines: list[Line], last_events: dict[str, str]
) -> StrainedTarget:
    return StrainedTarget(
        target,
        lines[0]["time"],
        lines[-1]["time"],
        min(line.get("comfortable", math.inf) for line in lines),
        max(line.get("strain", 1.0) for line in lines),
        set(last_events.values()) == {"target_relieved"},
    )


def _describe_basis(lines: list[Line]) -> str:
    """Returns what the last suspicion of a target was learned from."""
    slow = [line for line in lines if line["event"] == "target_slow"]
    if not slow:
        return ""
    text = str(slow[-1].get("basis", "")).replace("_", " ")
    if "normal_ms" in slow[-1]:
        usual, normal = slow[-1].get("usual_ms", 0), slow[-1]["normal_ms"]
        text += f" of {usual} ms, normally {normal} ms"
    return text


def _sort_by_time(lines: Iterable[Line]) -> list[Line]:
    return sorted(lines, key=lambda line: line["time"])


def _related_lines(
    request_lines: list[Line], lines: Iterable[Line]
) -> Iterator[Line]:
    """Yields events of the request's instances that may have affected it."""
    instances = {line["instance"] for line in request_lines}
    targets = {
        line[field]
        for line in request_lines
        for field in ("target", "at_fault")
        if field in line
    }
    first, last = _seconds(request_lines[0]), _seconds(request_lines[-1])
    for line in lines:
        if line["instance"] not in instances:
            continue
        if not first - RELATED_EVENTS_SECONDS <= _seconds(line) <= last:
            continue
        concerns_target = (
            line["event"] in TARGET_EVENTS and line.get("target") in targets
        )
        if concerns_target or line["event"] in INSTANCE_EVENTS:
            yield line


def _describe_end(request_lines: list[Line]) -> str:
    ended = next(
        (line for line in request_lines if line["event"] == "request_ended"),
        None,
    )
    if ended is None:
        return (
            "The request has no end: the instance stopped before, or its lines"
            " were dropped."
        )
    failures = [
        line for line in request_lines if line["event"] == "send_failed"
    ]
    if ended["outcome"] == "answered":
        text = f"The request was answered after {ended['elapsed_ms']} ms"
        if failures:
            text += f", after {len(failures)} failed sends"
        return text + "."
    text = f"The request ended as {ended['outcome']}"
    if "status" in ended:
        text += f" with status {ended['status']}"
    if "cause" in ended:
        text += f": {ended['cause']}: {ended['reason']}"
    if failures:
        at_fault = ", ".join(sorted({line["at_fault"] for line in failures}))
        text += f". At fault: {at_fault}"
    if "verdict" in ended:
        text += f". Verdict: {ended['verdict']}"
    return text + "."


def _format_line(line: Line) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in OMITTED_FIELDS
    )
    time_of_day = str(line["time"]).partition("T")[2] or line["time"]
    return f"{time_of_day} {line['instance']} {line['event']} {fields}"


def _seconds(line: Line) -> float:
    """Returns the seconds from midnight to the time of a line.

    Only differences between lines of the same day are meaningful.
    """
    time_of_day = str(line["time"]).partition("T")[2].partition("+")[0]
    hours, minutes, seconds = time_of_day.rstrip("Z").split(":")
    return int(hours) * 3600.0 + int(minutes) * 60.0 + float(seconds)


def _bucket_names() -> list[str]:
    names = [f"up to {limit}" for limit in PROMPT_BUCKETS]
    return names + [f"over {PROMPT_BUCKETS[-1]}"]


def _bucket_name(prompt_tokens: int) -> str:
    for limit, name in zip(PROMPT_BUCKETS, _bucket_names()):
        if prompt_tokens <= limit:
            return name
    return _bucket_names()[-1]


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
