"""The promises, checked from what callers and targets saw.

Bounds are those of the settings that the instances get. Where a promise has a
bound in time, requests are left out whose instance, store or target a fault
touched within CONTACT_SECONDS before.
"""

import collections
from typing import Callable, Iterator, NamedTuple

from soak import history as histories
from soak import instances as processes
from soak import targets

__all__ = [
    "CHECKS",
    "Violation",
    "find_long_deadlines",
    "find_unserved_in_calm",
    "find_violations",
]

CONTACT_SECONDS = 4.0
# A request ends this long after its time is over at the latest.
END_SLACK_SECONDS = 0.5
ASK_TIMEOUT_SECONDS = 10.0
SERVICES = {"ask": targets.ENGINES, "book": targets.DESK, "look": targets.DESK}
ORGANISATION = "guild"
REVOKE_SECONDS = 5.0
APPLY_SECONDS = 2.0
# An unstable store stretches the time to apply a configuration by so much.
STRETCH_SECONDS = 5.0
DRAIN_SECONDS = 2.0
FREE_SECONDS = 4.0
IDLE_SECONDS = 9.0
GONE_SECONDS = 0.5
RETRY_RATIO = 0.2
RETRY_EXTRA = processes.RETRY_EXTRA + 5
RETRY_WINDOW_SECONDS = 10.0
MAX_SENDS = 2
# A stop leaves the last sixth of the grace time for requests that are cut.
STOP_SECONDS = processes.GRACE_SECONDS * 5 / 6
# After the last fault the fleet serves as before within this time.
RECOVERY_SECONDS = 12.0
RECOVERED_SHARE = 0.95
DEADLINE_SLACK_MS = 500.0
# The users' rule: more than so many, and more than a fifth of all.
LONG_DEADLINES = 20
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DENIALS = frozenset({401, 403, 404})
STORE = "store"

History = histories.History


class Violation(NamedTuple):
    """A promise that was broken.

    Attributes:
        promise: Name of the check.
        subject: Id of the request, or name of what broke it.
        text: What was seen.
    """

    promise: str
    subject: str
    text: str


def find_violations(history: History) -> list[Violation]:
    """Returns all violations, each once."""
    found = {}
    for check in CHECKS:
        name = check.__name__.removeprefix("check_").replace("_", " ")
        for subject, text in check(history):
            found.setdefault((name, subject), Violation(name, subject, text))
    return list(found.values())


Finding = Iterator[tuple[str, str]]


def check_at_most_once(history: History) -> Finding:
    """A request that may not be repeated runs once at most."""
    runs = _runs(history)
    for sent in history.sent:
        names = [run.target for run in runs[sent.request_id]]
        if sent.route == "book" and len(names) > 1:
            yield sent.request_id, f"ran at {names}"


def check_own_whole_answer(history: History) -> Finding:
    """An answer that looks whole is the target's own, to this request."""
    runs = _runs(history)
    for sent in history.sent:
        if sent.status != 200 or not sent.is_whole:
            continue
        names = [run.target for run in runs[sent.request_id]]
        if sent.stamp not in names:
            yield sent.request_id, f"signed {sent.stamp!r}, ran at {names}"
        if sent.route == "ask":
            expected = targets.whole_stream(sent.request_id)
        else:
            expected = f"done {sent.request_id} by {sent.stamp}".encode()
        if sent.answer != expected:
            yield sent.request_id, f"got {sent.answer[:200]!r}"


def check_order_of_events(history: History) -> Finding:
    """What came of a stream is its beginning, without gap or repeat."""
    for sent in history.sent:
        if sent.route != "ask" or sent.status != 200:
            continue
        if not targets.whole_stream(sent.request_id).startswith(sent.answer):
            yield sent.request_id, f"got {sent.answer[:200]!r}"


def check_not_run_is_true(history: History) -> Finding:
    """What is refused as not run never runs."""
    runs = _runs(history)
    for sent in history.sent:
        names = [run.target for run in runs[sent.request_id]]
        if sent.route == "book" and sent.status in NOT_RUN_STATUSES and names:
            yield sent.request_id, f"status {sent.status}, ran at {names}"


def check_passed_on_unchanged(history: History) -> Finding:
    """Targets get what callers sent, and never a key."""
    by_id = {sent.request_id: sent for sent in history.sent}
    for arrival in history.arrivals:
        if arrival.has_key:
            yield arrival.request_id, "the key was passed on"
        if arrival.has_run and arrival.organisation != ORGANISATION:
            yield arrival.request_id, f"organisation {arrival.organisation!r}"
        sent = by_id.get(arrival.request_id)
        if sent is None:
            continue
        if (arrival.path, arrival.body) != (sent.path, sent.body):
            yield arrival.request_id, f"{arrival.path} {arrival.body!r}"
        if arrival.has_run and arrival.service != SERVICES[sent.route]:
            yield arrival.request_id, f"ran at {arrival.service}"


def check_deadlines(history: History) -> Finding:
    """Targets are not handed more time than is left."""
    late = find_long_deadlines(history)
    if len(late) > LONG_DEADLINES and len(late) * 5 > len(history.arrivals):
        yield late[0], f"{len(late)} of {len(history.arrivals)} too long"


def find_long_deadlines(history: History) -> list[str]:
    """Returns requests whose target was handed more time than was left.

    A suspended instance cannot know how long a request waited for it.
    """
    by_id = {sent.request_id: sent for sent in history.sent}
    late = []
    for arrival in history.arrivals:
        sent = by_id.get(arrival.request_id)
        if sent is None:
            continue
        left_ms = (sent.patience_seconds + sent.sent_at - arrival.at) * 1000.0
        if (
            arrival.left_ms > left_ms + DEADLINE_SLACK_MS
            and not _is_late_arrival(history, arrival)
            and not history.is_disturbed(
                (sent.instance,), sent.sent_at - CONTACT_SECONDS, arrival.at
            )
        ):
            late.append(arrival.request_id)
    return late


def check_ends_in_time(history: History) -> Finding:
    """A request has its end by its deadline and its route's time-out."""
    lag = max(history.lag_seconds, default=0.0)
    for sent in history.sent:
        limit = min(sent.patience_seconds, _timeout(history, sent))
        took = sent.ended_at - sent.sent_at
        if (
            sent.is_sent
            and not sent.left_at
            and took > limit + END_SLACK_SECONDS + lag
            and not history.is_disturbed(
                (sent.instance,), sent.sent_at - CONTACT_SECONDS, sent.ended_at
            )
        ):
            yield sent.request_id, f"ended after {took:.2f} s, limit {limit}"


def check_revoked_keys(history: History) -> Finding:
    """Nothing runs for a key that was taken away long enough before."""
    runs = _runs(history)
    for sent in history.sent:
        revoked_at = history.revoked.get(sent.key, float("inf"))
        late = sent.sent_at - revoked_at - REVOKE_SECONDS
        if late > 0 and runs[sent.request_id]:
            yield sent.request_id, f"{sent.key} ran {late:.2f} s too late"


def check_proper_requests_pass(history: History) -> Finding:
    """A request that all versions in force allow is not denied."""
    for sent in history.sent:
        if sent.status not in DENIALS or sent.stamp:
            continue
        if sent.key in history.revoked:
            continue
        added_at = history.added.get(sent.key, float("-inf"))
        if not _may_be_unknown(history, sent.instance, added_at, sent.sent_at):
            yield sent.request_id, f"status {sent.status}"


def check_configuration_in_time(history: History) -> Finding:
    """A new route is served in time, and never forgotten again."""
    known: set[tuple[str, int, str]] = set()
    for probe in history.probes:
        key = probe.instance, probe.start, probe.route
        if probe.status and probe.status != 404:
            # A refusal may come before the route is looked up.
            if probe.status != 503:
                known.add(key)
            continue
        if probe.status != 404:
            continue
        if key in known:
            yield f"{probe.instance} {probe.route}", "went back to an old one"
        if not _may_be_unknown(
            history, probe.instance, probe.acknowledged_at, probe.sent_at
        ):
            age = probe.sent_at - probe.acknowledged_at
            name = f"{probe.instance} {probe.route}"
            yield name, f"unknown after {age:.2f} s"


def check_leaving_targets(history: History) -> Finding:
    """A target that leaves gets no request after its notice."""
    lag = max(history.lag_seconds, default=0.0)
    instance_of = {sent.request_id: sent.instance for sent in history.sent}
    for arrival in history.arrivals:
        left_at = history.left.get(arrival.target, float("inf"))
        late = arrival.at - left_at - DRAIN_SECONDS
        subjects = instance_of.get(arrival.request_id, ""), STORE
        if (
            late > lag
            and arrival.has_run
            and not history.is_disturbed(
                subjects, left_at - CONTACT_SECONDS, arrival.at
            )
            and not _is_late_arrival(history, arrival)
        ):
            yield arrival.request_id, f"at {arrival.target} {late:.2f} s late"


def check_memory_is_returned(history: History) -> Finding:
    """Memory is freed soon after its use, and used by one at a time."""
    for use in history.memory:
        name = f"{use.target} {use.reservation}"
        if use.has_collided:
            yield name, "two requests used it"
        limit = FREE_SECONDS if use.used_until else IDLE_SECONDS
        since = use.used_until or use.made_at
        if use.ended_at - since > limit:
            if not history.is_disturbed(
                (use.target, STORE), since - CONTACT_SECONDS, use.ended_at
            ):
                yield name, f"held for {use.ended_at - since:.2f} s"


def check_repeats_stay_in_budget(history: History) -> Finding:
    """Repeats stay within the share of requests that the settings allow."""
    route_of = {sent.request_id: sent.route for sent in history.sent}
    requests = collections.defaultdict(list)
    for sent in history.sent:
        requests[SERVICES[sent.route]].append(sent.sent_at)
    seen = set()
    repeats = collections.defaultdict(list)
    for arrival in history.arrivals:
        route = route_of.get(arrival.request_id)
        if route is None:
            continue
        if arrival.request_id in seen:
            repeats[SERVICES[route]].append(arrival.at)
        seen.add(arrival.request_id)
    for service, times in repeats.items():
        for start in times:
            end = start + RETRY_WINDOW_SECONDS
            count = sum(start <= at < end for at in times)
            asked = max(
                sum(
                    begin <= at < begin + RETRY_WINDOW_SECONDS
                    for at in requests[service]
                )
                for begin in (
                    start,
                    start - RETRY_WINDOW_SECONDS / 2,
                    start - RETRY_WINDOW_SECONDS,
                )
            )
            if count > RETRY_RATIO * asked + RETRY_EXTRA:
                yield service, f"{count} repeats of {asked} requests"


def check_number_of_sends(history: History) -> Finding:
    """A request runs at no more targets than its route allows."""
    runs = _runs(history)
    for sent in history.sent:
        names = {run.target for run in runs[sent.request_id]}
        if len(names) > MAX_SENDS:
            yield sent.request_id, f"ran at {sorted(names)}"


def check_stop_cuts_nothing(history: History) -> Finding:
    """A stop finishes what was passed on to targets."""
    arrived = {arrival.request_id: arrival for arrival in history.arrivals}
    for sent in history.sent:
        arrival = arrived.get(sent.request_id)
        if arrival is None or sent.left_at or (sent.status and sent.is_whole):
            continue
        for instance, stopped_at, _ in history.stops:
            if instance != sent.instance:
                continue
            if not sent.sent_at < sent.ended_at < stopped_at + STOP_SECONDS:
                continue
            if sent.ended_at < stopped_at:
                continue
            others = [
                found
                for found in history.disturbances
                if found.kind != "stop"
                and found.subject in (sent.instance, arrival.target, STORE)
                and found.since <= sent.ended_at
                and found.until >= sent.sent_at - CONTACT_SECONDS
            ]
            if not others:
                yield sent.request_id, (
                    f"cut {sent.ended_at - stopped_at:.2f} s after the signal"
                )


def check_callers_leaving_ends_work(history: History) -> Finding:
    """Targets are not left at work for callers that have left."""
    left = {sent.request_id: sent for sent in history.sent if sent.left_at}
    lag = max(history.lag_seconds, default=0.0)
    late = []
    count = 0
    for work in history.work:
        sent = left.get(work.request_id)
        if sent is None or sent.route == "book" or work.until < sent.left_at:
            continue
        if history.is_disturbed(
            (sent.instance, work.target),
            sent.left_at - CONTACT_SECONDS,
            work.until,
        ):
            continue
        count += 1
        if work.until > sent.left_at + GONE_SECONDS + lag:
            late.append(work.request_id)
    if len(late) >= 4 and len(late) * 4 > count:
        yield late[0], f"{len(late)} of {count} went on"


def check_processes_stay(history: History) -> Finding:
    """No process ends by itself."""
    for name in history.own_ends:
        yield name, "the process ended by itself"


def check_recovery(history: History) -> Finding:
    """After the last fault the fleet serves as before."""
    asked = _asked_in_calm(history)
    bad = find_unserved_in_calm(history)
    if len(bad) > (1 - RECOVERED_SHARE) * len(asked):
        yield bad[0].request_id, f"{len(bad)} of {len(asked)} were not served"


def find_unserved_in_calm(history: History) -> list[histories.Sent]:
    """Returns proper requests that were not served after the last fault."""
    return [
        sent
        for sent in _asked_in_calm(history)
        if sent.status != 200 or not sent.is_whole
    ]


def _asked_in_calm(history: History) -> list[histories.Sent]:
    if not history.calm_since:
        return []
    since = history.calm_since[-1] + RECOVERY_SECONDS
    return [
        sent
        for sent in history.sent
        if sent.sent_at > since
        and not sent.left_at
        and sent.key not in history.revoked
    ]


CHECKS: tuple[Callable[[History], Finding], ...] = (
    check_at_most_once,
    check_own_whole_answer,
    check_order_of_events,
    check_not_run_is_true,
    check_passed_on_unchanged,
    check_deadlines,
    check_ends_in_time,
    check_revoked_keys,
    check_proper_requests_pass,
    check_configuration_in_time,
    check_leaving_targets,
    check_memory_is_returned,
    check_repeats_stay_in_budget,
    check_number_of_sends,
    check_stop_cuts_nothing,
    check_callers_leaving_ends_work,
    check_processes_stay,
    check_recovery,
)


def _timeout(history: History, sent: histories.Sent) -> float:
    """Returns the longest time-out that may be in force for a request."""
    if sent.route == "ask":
        return ASK_TIMEOUT_SECONDS
    limit = APPLY_SECONDS
    if history.is_disturbed(
        (STORE,), sent.sent_at - CONTACT_SECONDS - STRETCH_SECONDS, sent.sent_at
    ):
        limit += STRETCH_SECONDS
    seconds = [0.0]
    for accepted_at, timeout in history.desk_timeouts:
        if accepted_at <= sent.sent_at - limit:
            # It has replaced those before it.
            seconds.clear()
        if accepted_at <= sent.ended_at:
            seconds.append(timeout)
    return max(seconds)


def _runs(history: History) -> dict[str, list[histories.Arrival]]:
    runs = collections.defaultdict(list)
    for arrival in history.arrivals:
        if arrival.has_run:
            runs[arrival.request_id].append(arrival)
    return runs


def _may_be_unknown(
    history: History, instance: str, changed_at: float, now: float
) -> bool:
    """Returns whether an instance may not know a change yet."""
    limit = APPLY_SECONDS
    if history.is_disturbed((STORE,), changed_at - CONTACT_SECONDS, now):
        limit += STRETCH_SECONDS
    return now - changed_at <= limit or history.is_disturbed(
        (instance,), now - CONTACT_SECONDS, now
    )


def _is_late_arrival(history: History, arrival: histories.Arrival) -> bool:
    """Returns whether the link to the target held the request back."""
    return history.is_disturbed(
        (arrival.target,), arrival.at - CONTACT_SECONDS, arrival.at
    )
