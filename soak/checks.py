"""Checks of the relay's guarantees against the records of a soak run.

The bounds are those of the instances' settings. Checks of a time limit leave
out requests whose instance, store or target had a fault within
FAULT_EFFECT_SECONDS before.
"""

import collections
from typing import Callable, Iterator, NamedTuple

from soak import callers
from soak import history as run_history
from soak import instances as instance_processes
from soak import targets

__all__ = [
    "CHECKS",
    "Violation",
    "find_long_deadlines",
    "find_unserved_after_recovery",
    "find_violations",
]

# A fault may affect requests for this long after its end.
FAULT_EFFECT_SECONDS = 4.0
# A request may end this long after its time limit.
END_SLACK_SECONDS = 0.5
ASK_TIMEOUT_SECONDS = 10.0
SERVICES = {"ask": targets.ENGINES, "book": targets.DESK, "look": targets.DESK}
ORGANISATION = "guild"
REVOKE_SECONDS = 5.0
CONFIG_APPLY_SECONDS = 2.0
# Extra time to apply a configuration after a fault of the store.
STORE_FAULT_EXTRA_SECONDS = 5.0
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# A target with a limit may get in a window this multiple of what the limit
# allows, and some more, from instances that were told some time before.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_NOTICE_SECONDS = 0.5
MEMORY_FREE_SECONDS = 4.0
# Limit for a reservation that no request has used.
UNUSED_RESERVATION_SECONDS = 9.0
# Time in which a target's work ends after the caller has disconnected.
CANCEL_SECONDS = 0.5
RETRY_RATIO = 0.2
RETRY_WINDOW_SECONDS = 10.0
MAX_SENDS = 2
# A stopping instance may cut requests in the last sixth of its grace time.
UNCUT_STOP_SECONDS = instance_processes.GRACE_SECONDS * 5 / 6
# Requests must succeed again this long after the last fault.
RECOVERY_SECONDS = 12.0
RECOVERED_FRACTION = 0.95
# Requests are served again this long after trouble has ended; a few are not,
# of those at instances that have just started.
AFTER_TROUBLE_SECONDS = 1.0
MAX_UNSERVED_AFTER_TROUBLE = 1
DEADLINE_SLACK_MS = 500.0
# The users' rule: a violation needs more than this number of requests, and more
# than a fifth of all.
MAX_LONG_DEADLINES = 20
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DENIAL_STATUSES = frozenset({401, 403, 404})
STORE = "store"

History = run_history.History


class Violation(NamedTuple):
    """A guarantee that was not kept.

    Attributes:
        check_name: Name of the check that failed.
        subject: Id of the request, or name of the instance, service or
            reservation concerned.
        text: What was observed.
    """

    check_name: str
    subject: str
    text: str


def find_violations(history: History) -> list[Violation]:
    """Returns the violations, one for each check and subject."""
    found = {}
    for check in CHECKS:
        name = check.__name__.removeprefix("check_").replace("_", " ")
        for subject, text in check(history):
            found.setdefault((name, subject), Violation(name, subject, text))
    return list(found.values())


Findings = Iterator[tuple[str, str]]


def check_at_most_once(history: History) -> Findings:
    """A request that must not be retried is executed at most once."""
    executed = _executed_arrivals(history)
    for sent in history.sent:
        ran_at = [arrival.target for arrival in executed[sent.request_id]]
        if sent.route == "book" and len(ran_at) > 1:
            yield sent.request_id, f"ran at {ran_at}"


def check_own_whole_answer(history: History) -> Findings:
    """A complete response is that of the executing target to the request."""
    executed = _executed_arrivals(history)
    for sent in history.sent:
        if sent.status != 200 or not sent.is_complete:
            continue
        ran_at = [arrival.target for arrival in executed[sent.request_id]]
        if sent.engine_stamp not in ran_at:
            yield sent.request_id, (
                f"stamped {sent.engine_stamp!r}, ran at {ran_at}"
            )
        if sent.route == "ask":
            expected = targets.complete_stream(sent.request_id)
        else:
            expected = f"done {sent.request_id} by {sent.engine_stamp}".encode()
        if sent.response_body != expected:
            yield sent.request_id, f"got {sent.response_body[:200]!r}"


def check_order_of_events(history: History) -> Findings:
    """The received events are a prefix of the stream, without gap or repeat."""
    for sent in history.sent:
        if sent.route != "ask" or sent.status != 200:
            continue
        if not targets.complete_stream(sent.request_id).startswith(
            sent.response_body
        ):
            yield sent.request_id, f"got {sent.response_body[:200]!r}"


def check_not_run_is_true(history: History) -> Findings:
    """A request that is refused as not executed is never executed."""
    executed = _executed_arrivals(history)
    for sent in history.sent:
        ran_at = [arrival.target for arrival in executed[sent.request_id]]
        if sent.route == "book" and sent.status in NOT_RUN_STATUSES and ran_at:
            yield sent.request_id, f"status {sent.status}, ran at {ran_at}"


def check_passed_on_unchanged(history: History) -> Findings:
    """Targets get the request as the caller sent it, without the API key."""
    by_id = {sent.request_id: sent for sent in history.sent}
    for arrival in history.arrivals:
        if arrival.has_key:
            yield arrival.request_id, "the API key was forwarded"
        if arrival.has_run and arrival.organisation != ORGANISATION:
            yield arrival.request_id, f"organisation {arrival.organisation!r}"
        sent = by_id.get(arrival.request_id)
        if sent is None:
            continue
        if (arrival.path, arrival.body) != (sent.path, sent.body):
            yield arrival.request_id, f"{arrival.path} {arrival.body!r}"
        if arrival.has_run and arrival.service != SERVICES[sent.route]:
            yield arrival.request_id, f"ran at {arrival.service}"


def check_deadlines(history: History) -> Findings:
    """Targets are not given more than the remaining time of a request."""
    ids = find_long_deadlines(history)
    if len(ids) > MAX_LONG_DEADLINES and len(ids) * 5 > len(history.arrivals):
        yield ids[0], f"{len(ids)} of {len(history.arrivals)} too long"


def find_long_deadlines(history: History) -> list[str]:
    """Returns ids of requests whose target was given too long a deadline.

    Requests to an instance with a fault are left out: a suspended instance
    cannot know how long a request waited before it was read.
    """
    by_id = {sent.request_id: sent for sent in history.sent}
    request_ids = []
    for arrival in history.arrivals:
        sent = by_id.get(arrival.request_id)
        if sent is None:
            continue
        remaining_ms = (
            sent.deadline_seconds + sent.sent_at - arrival.arrived_at
        ) * 1000.0
        if (
            arrival.deadline_ms > remaining_ms + DEADLINE_SLACK_MS
            and not _has_target_fault(history, arrival)
            and not history.has_fault(
                (sent.instance,),
                sent.sent_at - FAULT_EFFECT_SECONDS,
                arrival.arrived_at,
            )
        ):
            request_ids.append(arrival.request_id)
    return request_ids


def check_ends_in_time(history: History) -> Findings:
    """A request ends by its deadline and within its route's time-out."""
    lag = max(history.lag_seconds, default=0.0)
    for sent in history.sent:
        limit = min(sent.deadline_seconds, _max_route_timeout(history, sent))
        elapsed = sent.ended_at - sent.sent_at
        if (
            sent.is_written
            and not sent.disconnected_at
            and elapsed > limit + END_SLACK_SECONDS + lag
            and not history.has_fault(
                (sent.instance,),
                sent.sent_at - FAULT_EFFECT_SECONDS,
                sent.ended_at,
            )
        ):
            yield sent.request_id, f"ended after {elapsed:.2f} s, limit {limit}"


def check_revoked_keys(history: History) -> Findings:
    """No request is executed REVOKE_SECONDS after its key was revoked."""
    executed = _executed_arrivals(history)
    for sent in history.sent:
        revoked_at = history.key_revoked_at.get(sent.key, float("inf"))
        late_by = sent.sent_at - revoked_at - REVOKE_SECONDS
        if late_by > 0 and executed[sent.request_id]:
            yield sent.request_id, f"{sent.key} ran {late_by:.2f} s too late"


def check_proper_requests_pass(history: History) -> Findings:
    """A request allowed by all configurations in force is not denied."""
    for sent in history.sent:
        if sent.status not in DENIAL_STATUSES or sent.engine_stamp:
            continue
        if sent.key in history.key_revoked_at:
            continue
        added_at = history.key_added_at.get(sent.key, float("-inf"))
        if not _may_not_be_applied(
            history, sent.instance, added_at, sent.sent_at
        ):
            yield sent.request_id, f"status {sent.status}"


def check_configuration_in_time(history: History) -> Findings:
    """A new route is served in time, and remains known afterwards."""
    served_routes: set[tuple[str, int, str]] = set()
    for probe in history.probes:
        key = probe.instance, probe.start_count, probe.route
        if probe.status and probe.status != 404:
            # An instance may refuse before it looks up the route.
            if probe.status != 503:
                served_routes.add(key)
            continue
        if probe.status != 404:
            continue
        if key in served_routes:
            yield f"{probe.instance} {probe.route}", "route no longer known"
        if not _may_not_be_applied(
            history, probe.instance, probe.acknowledged_at, probe.sent_at
        ):
            age = probe.sent_at - probe.acknowledged_at
            name = f"{probe.instance} {probe.route}"
            yield name, f"route unknown after {age:.2f} s"


def check_leaving_targets(history: History) -> Findings:
    """A leaving target gets no request after the drain time."""
    lag = max(history.lag_seconds, default=0.0)
    instance_of = {sent.request_id: sent.instance for sent in history.sent}
    for arrival in history.arrivals:
        leaving_at = history.target_left_at.get(arrival.target, float("inf"))
        late_by = arrival.arrived_at - leaving_at - DRAIN_SECONDS
        subjects = instance_of.get(arrival.request_id, ""), STORE
        if (
            late_by > lag
            and arrival.has_run
            and not history.has_fault(
                subjects, leaving_at - FAULT_EFFECT_SECONDS, arrival.arrived_at
            )
            and not _has_target_fault(history, arrival)
        ):
            yield arrival.request_id, (
                f"at {arrival.target} {late_by:.2f} s late"
            )


def check_stated_leaving(history: History) -> Findings:
    """An instance does not use a target that has told it of its leaving."""
    lag = max(history.lag_seconds, default=0.0)
    sent_at = {sent.request_id: sent.sent_at for sent in history.sent}
    instance_of = {sent.request_id: sent.instance for sent in history.sent}
    stated_at: dict[tuple[str, str], float] = {}
    for request_id, target, at in history.leaving_stated:
        stated_at.setdefault((instance_of.get(request_id, ""), target), at)
    for arrival in history.arrivals:
        if arrival.expected_target != arrival.target:
            # The instance meant the target that had this address before.
            continue
        instance = instance_of.get(arrival.request_id, "")
        at = stated_at.get((instance, arrival.target), float("inf"))
        late_by = sent_at.get(arrival.request_id, 0.0) - at - DRAIN_SECONDS
        if late_by > lag and not history.has_fault(
            (instance,), at - FAULT_EFFECT_SECONDS, arrival.arrived_at
        ):
            yield arrival.request_id, (
                f"at {arrival.target} {late_by:.2f} s late"
            )


def check_limits_of_targets(history: History) -> Findings:
    """Instances that know a target's limit keep it, all together."""
    lag = max(history.lag_seconds, default=0.0)
    instance_of = {sent.request_id: sent.instance for sent in history.sent}
    for limited in history.limited_times:
        told_at: dict[str, float] = {}
        for request_id, target, at in history.limits_stated:
            if (
                target == limited.target
                and limited.started_at <= at <= limited.ended_at
            ):
                told_at.setdefault(instance_of.get(request_id, ""), at)
        start = min(told_at.values(), default=0.0) + CONTACT_SECONDS
        counted = []
        for arrival in history.arrivals:
            instance = instance_of.get(arrival.request_id, "")
            at = arrival.arrived_at
            if (
                arrival.target == limited.target
                and start <= at <= limited.ended_at
                and at > told_at.get(instance, at) + LIMIT_NOTICE_SECONDS
                and not history.has_fault(
                    (instance, limited.target), at - FAULT_EFFECT_SECONDS, at
                )
            ):
                counted.append(at)
        allowed = LIMIT_WINDOW_SECONDS * limited.requests_per_second
        allowed = LIMIT_FACTOR * allowed + LIMIT_EXTRA
        for at in counted:
            end = at + LIMIT_WINDOW_SECONDS - lag
            count = sum(at <= other < end for other in counted)
            if count > allowed:
                yield limited.target, (
                    f"{count} requests in a window, {allowed:.1f} are allowed"
                )


def check_memory_is_returned(history: History) -> Findings:
    """Reserved memory is freed in time and used by one request at once."""
    for use in history.reservations:
        name = f"{use.target} {use.reservation}"
        if use.had_concurrent_use:
            yield name, "used by two requests at once"
        limit = (
            MEMORY_FREE_SECONDS
            if use.last_used_at
            else UNUSED_RESERVATION_SECONDS
        )
        since = use.last_used_at or use.created_at
        if use.ended_at - since > limit:
            if not history.has_fault(
                (use.target, STORE), since - FAULT_EFFECT_SECONDS, use.ended_at
            ):
                yield name, f"held for {use.ended_at - since:.2f} s"


def check_repeats_stay_in_budget(history: History) -> Findings:
    """Retries stay within the retry budget of the settings."""
    retry_extra = max(history.retry_extras, default=0)
    requests = collections.defaultdict(list)
    for sent in history.sent:
        requests[SERVICES[sent.route]].append(sent.sent_at)
    for probe in history.probes:
        requests[targets.DESK].append(probe.sent_at)
    seen_ids = set()
    retries = collections.defaultdict(list)
    for arrival in history.arrivals:
        # The routes that are added during the run lead to the same service.
        route = arrival.path.split("/")[1]
        service = SERVICES.get(route, targets.DESK)
        if arrival.request_id in seen_ids:
            retries[service].append(arrival.arrived_at)
        seen_ids.add(arrival.request_id)
    for service, times in retries.items():
        for start in times:
            end = start + RETRY_WINDOW_SECONDS
            count = sum(start <= at < end for at in times)
            request_count = max(
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
            if count > RETRY_RATIO * request_count + retry_extra:
                yield service, f"{count} retries of {request_count} requests"


def check_number_of_sends(history: History) -> Findings:
    """A request is executed by at most MAX_SENDS targets."""
    executed = _executed_arrivals(history)
    for sent in history.sent:
        ran_at = {arrival.target for arrival in executed[sent.request_id]}
        if len(ran_at) > MAX_SENDS:
            yield sent.request_id, f"ran at {sorted(ran_at)}"


def check_stop_cuts_nothing(history: History) -> Findings:
    """A stopping instance finishes requests that reached a target."""
    arrival_of = {arrival.request_id: arrival for arrival in history.arrivals}
    for sent in history.sent:
        arrival = arrival_of.get(sent.request_id)
        if (
            arrival is None
            or sent.disconnected_at
            or (sent.status and sent.is_complete)
            or sent.request_id in history.cut_responses
        ):
            continue
        for instance, stop_signal_at, _ in history.stops:
            if instance != sent.instance:
                continue
            if (
                not sent.sent_at
                < sent.ended_at
                < stop_signal_at + UNCUT_STOP_SECONDS
            ):
                continue
            if sent.ended_at < stop_signal_at:
                continue
            other_faults = [
                interval
                for interval in history.fault_intervals
                if interval.kind != "stop"
                and interval.subject in (sent.instance, arrival.target, STORE)
                and interval.started_at <= sent.ended_at
                and interval.ended_at >= sent.sent_at - FAULT_EFFECT_SECONDS
            ]
            if not other_faults:
                yield sent.request_id, (
                    f"cut {sent.ended_at - stop_signal_at:.2f} s after SIGTERM"
                )


def check_callers_leaving_ends_work(history: History) -> Findings:
    """Targets stop work on a request after its caller disconnects."""
    disconnected = {
        sent.request_id: sent for sent in history.sent if sent.disconnected_at
    }
    lag = max(history.lag_seconds, default=0.0)
    still_running = []
    count = 0
    for execution in history.executions:
        sent = disconnected.get(execution.request_id)
        if (
            sent is None
            or sent.route == "book"
            or execution.ended_at < sent.disconnected_at
        ):
            continue
        if history.has_fault(
            (sent.instance, execution.target),
            sent.disconnected_at - FAULT_EFFECT_SECONDS,
            execution.ended_at,
        ):
            continue
        count += 1
        if execution.ended_at > sent.disconnected_at + CANCEL_SECONDS + lag:
            still_running.append(execution.request_id)
    if len(still_running) >= 4 and len(still_running) * 4 > count:
        yield still_running[0], (
            f"{len(still_running)} of {count} were not cancelled"
        )


def check_processes_stay(history: History) -> Findings:
    """No process exits unless the soak ends it."""
    for name in history.unexpected_exits:
        yield name, "the process exited unexpectedly"


def check_recovery(history: History) -> Findings:
    """Valid requests succeed again after the last fault."""
    requests = _requests_after_recovery(history)
    unserved = find_unserved_after_recovery(history)
    if len(unserved) > (1 - RECOVERED_FRACTION) * len(requests):
        yield unserved[0].request_id, (
            f"{len(unserved)} of {len(requests)} were not served"
        )


def check_service_after_trouble(history: History) -> Findings:
    """Valid requests are served as soon as trouble has ended."""
    if not history.faults_ended_at:
        return
    ended_at = history.faults_ended_at[-1]
    requests = [
        sent
        for sent in _valid_requests(history, ended_at + AFTER_TROUBLE_SECONDS)
        if sent.sent_at <= ended_at + RECOVERY_SECONDS
        and not history.has_fault(
            (sent.instance, STORE),
            sent.sent_at - FAULT_EFFECT_SECONDS,
            sent.sent_at,
        )
    ]
    equal = [sent for sent in requests if sent.body == callers.EQUAL_BODY]
    for name, group in (("equal requests", equal), ("requests", requests)):
        unserved = [sent for sent in group if not _is_served(sent)]
        allowed = max(
            MAX_UNSERVED_AFTER_TROUBLE, (1 - RECOVERED_FRACTION) * len(group)
        )
        if len(unserved) > allowed:
            yield unserved[0].request_id, (
                f"{len(unserved)} of {len(group)} {name} were not served"
            )


def find_unserved_after_recovery(
    history: History,
) -> list[run_history.SentRequest]:
    """Returns valid requests that failed after the recovery time."""
    return [
        sent
        for sent in _requests_after_recovery(history)
        if not _is_served(sent)
    ]


def _is_served(sent: run_history.SentRequest) -> bool:
    return sent.status == 200 and sent.is_complete


def _requests_after_recovery(history: History) -> list[run_history.SentRequest]:
    if not history.faults_ended_at:
        return []
    return _valid_requests(
        history, history.faults_ended_at[-1] + RECOVERY_SECONDS
    )


def _valid_requests(
    history: History, since: float
) -> list[run_history.SentRequest]:
    """Returns the requests after a time that have to be served."""
    return [
        sent
        for sent in history.sent
        if sent.sent_at > since
        and not sent.disconnected_at
        and sent.key not in history.key_revoked_at
    ]


CHECKS: tuple[Callable[[History], Findings], ...] = (
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
    check_stated_leaving,
    check_limits_of_targets,
    check_memory_is_returned,
    check_repeats_stay_in_budget,
    check_number_of_sends,
    check_stop_cuts_nothing,
    check_callers_leaving_ends_work,
    check_processes_stay,
    check_recovery,
    check_service_after_trouble,
)


def _max_route_timeout(
    history: History, sent: run_history.SentRequest
) -> float:
    """Returns the longest route time-out that may apply to a request."""
    if sent.route == "ask":
        return ASK_TIMEOUT_SECONDS
    limit = CONFIG_APPLY_SECONDS
    if history.has_fault(
        (STORE,),
        sent.sent_at - FAULT_EFFECT_SECONDS - STORE_FAULT_EXTRA_SECONDS,
        sent.sent_at,
    ):
        limit += STORE_FAULT_EXTRA_SECONDS
    seconds = [0.0]
    for accepted_at, timeout in history.desk_timeouts:
        if accepted_at <= sent.sent_at - limit:
            # This time-out has replaced the earlier ones.
            seconds.clear()
        if accepted_at <= sent.ended_at:
            seconds.append(timeout)
    return max(seconds)


def _executed_arrivals(
    history: History,
) -> dict[str, list[run_history.Arrival]]:
    executed = collections.defaultdict(list)
    for arrival in history.arrivals:
        if arrival.has_run:
            executed[arrival.request_id].append(arrival)
    return executed


def _may_not_be_applied(
    history: History, instance: str, changed_at: float, now: float
) -> bool:
    """Returns whether an instance may not have applied a change yet."""
    limit = CONFIG_APPLY_SECONDS
    if history.has_fault((STORE,), changed_at - FAULT_EFFECT_SECONDS, now):
        limit += STORE_FAULT_EXTRA_SECONDS
    return now - changed_at <= limit or history.has_fault(
        (instance,), now - FAULT_EFFECT_SECONDS, now
    )


def _has_target_fault(history: History, arrival: run_history.Arrival) -> bool:
    """Returns whether a fault of the target or its link may have delayed it."""
    return history.has_fault(
        (arrival.target,),
        arrival.arrived_at - FAULT_EFFECT_SECONDS,
        arrival.arrived_at,
    )
