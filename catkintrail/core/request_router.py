"""Admits callers' requests and chooses targets for them.

Performs no I/O and takes the current time as an argument. Times are in seconds
of a clock that keeps running while the machine is suspended.
"""

import random
from typing import NamedTuple

from catkintrail import messages
from catkintrail import relay_settings
from catkintrail import verdict as verdicts
from catkintrail.core import fleet_load
from catkintrail.core import fleet_state
from catkintrail.core import load_reports
from catkintrail.core import request_quarantine
from catkintrail.core import route_table
from catkintrail.core import service_retry_budget
from catkintrail.core import store_views
from catkintrail.core import target_choice
from catkintrail.core import target_health
from catkintrail.core import target_notices
from catkintrail.core import targets as target_records
from catkintrail.core.target_speed import attempt_times

__all__ = [
    "Admission",
    "Placement",
    "PlacementRequest",
    "RequestRouter",
    "caller_event_timeout_ms",
]

# The router refuses a request on the grounds of its configuration only if the
# proof that no newer version exists is younger than this share of
# `configuration_seconds`.
MAX_PROOF_AGE_SHARE = 0.75
# In a large fleet, the attempts of an instance that has sent no load message
# for this long are dropped.
MAX_REPORT_AGE_SECONDS = 12.0
# The platform specifies that callers abandon a stream after a pause of this
# minimum, this many first-event goals, or this many event gap goals, whichever
# is longest.
MIN_CALLER_TIMEOUT_MS = 2_000.0
CALLER_TIMEOUT_GOALS = 4.0
CALLER_TIMEOUT_GAPS = 8.0

# After so many windows of the retry budget without word of a zone, its size is
# estimated; before, an instance takes no share of the extra retries.
UNHEARD_ZONE_WINDOWS = 3

_REASONS = {reason.value: reason for reason in verdicts.Reason}


class Admission(NamedTuple):
    """The decision to serve a request.

    Attributes:
        route: The route that matches the request.
        service: The service chosen among those of the route.
        organisation: Name of the organisation that holds the API key; "" if the
            route is public or requests need no key.
        priority: Rank; 0 is the most urgent.
        version: Version of the configuration that the decision is based on.
        proof_age_ms: Age of the proof that no newer version was in force.
    """

    route: route_table.Route
    service: str
    organisation: str
    priority: int
    version: int
    proof_age_ms: float


class PlacementRequest(NamedTuple):
    """A request for which a target is to be chosen.

    Attributes:
        key: Id of the attempt, unique in the deployment; each send has its own.
        admission: The decision made when the request arrived.
        prompt_tokens: Length of the prompt; 0 if unknown.
        output_tokens: Maximum number of output tokens.
        elapsed_ms: Time since the request arrived.
        tried: Names of the targets of earlier attempts.
        is_retry: Whether the request was sent to a target before.
        counted_at: When the send was counted in the retry budget, in seconds;
            None if it was not.
    """

    key: str
    admission: Admission
    prompt_tokens: int
    output_tokens: int
    elapsed_ms: float
    tried: frozenset[str]
    is_retry: bool
    counted_at: float | None = None


class Placement(NamedTuple):
    """The placement of a request.

    Attributes:
        target: The target that answers the request.
        helpers: Engines that prefill parts of the prompt.
        memory: KV cache tokens kept by the target and each helper, in that
            order; the helpers' shares have to be reserved before use.
        predicted_ms: Predicted time to the first token; 0 if unknown.
        valid_until: Time after which the request must not be sent.
        candidates: Number of targets that were considered.
        cost: Cost of the chosen placement.
        may_retry_early: Whether the retry budget is large enough to send a
            retry before the target has exceeded its timeout.
        permits: Names of the targets with a limit for which the request has a
            permit.
    """

    target: target_records.Target
    helpers: tuple[target_records.Target, ...]
    memory: tuple[int, ...]
    predicted_ms: float
    valid_until: float
    candidates: int
    cost: float
    may_retry_early: bool
    permits: tuple[str, ...] = ()


def caller_event_timeout_ms(route: route_table.Route) -> float:
    """Returns the longest pause in a stream that its caller tolerates."""
    return max(
        MIN_CALLER_TIMEOUT_MS,
        CALLER_TIMEOUT_GOALS * route.goal_ms,
        CALLER_TIMEOUT_GAPS * route.gap_goal_ms,
    )


class RequestRouter:
    """Routes the requests of one instance.

    Attributes:
        settings: Settings of this instance.
        rng: Source of random numbers.
        fleet_state: Known state of the configuration, targets and peers.
        load: Attempts in progress of this instance and its peers.
        health: Failures and response times of targets, from past attempts.
        times: Learns the speed of targets from attempts.
        chooser: Chooses targets from this state.
        quarantine: Prompts that are kept away from engines.
        notices: What targets have stated of themselves.
        started_at: When the process of this instance started, in seconds.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        incarnation: int,
        rng: random.Random,
        started_at: float,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.started_at = started_at
        self.fleet_state = fleet_state.FleetState(settings, incarnation, rng)
        self.load = fleet_load.FleetLoad()
        self.health = target_health.TargetHealth()
        self.times = attempt_times.AttemptTimes(
            settings.availability_zone,
            self.load,
            self.health,
            self.fleet_state.targets,
        )
        self.notices = target_notices.TargetNotices(
            self.fleet_state.targets.departures,
            self.fleet_state.evacuations,
            settings.limits_cold_targets,
        )
        self.chooser = target_choice.TargetChooser(
            settings,
            rng,
            self.fleet_state,
            self.load,
            self.health,
            self.notices,
        )
        self.quarantine = request_quarantine.RequestQuarantine()
        self._retry_budgets: dict[
            str, service_retry_budget.ServiceRetryBudget
        ] = {}

    def admit(
        self, host: str, path: str, api_key: str, now: float
    ) -> Admission | verdicts.Refusal:
        """Decides whether a request is served, and by which service.

        Args:
            host: Host header of the request.
            path: Path of the request.
            api_key: API key of the caller; ignored on public routes.
            now: Time in seconds.

        Returns:
            The admission, or the reason for refusing the request.
        """
        table = self.fleet_state.configuration.table
        if table is None:
            return _refuse(
                verdicts.Reason.NOT_READY,
                "no configuration has been received yet",
                target_choice.NOT_READY_RETRY_SECONDS,
            )
        age = now - self.fleet_state.configuration.proven_at
        route = table.find(host, path)
        if route is None:
            return self._refuse_for_configuration(
                verdicts.Reason.NOT_FOUND, "no route matches", age
            )
        organisation = None
        organisations = table.configuration.organisations
        if organisations is not None and not route.is_public:
            organisation = organisations.get(api_key)
            if organisation is None:
                return self._refuse_for_configuration(
                    verdicts.Reason.UNAUTHENTICATED, "the key is unknown", age
                )
            if now > self.fleet_state.keys_valid_until():
                return _refuse(
                    verdicts.Reason.STORE_UNAVAILABLE,
                    f"no proof of the key for {age:.1f} s",
                    target_choice.NOT_READY_RETRY_SECONDS,
                )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return Admission(
            route,
            self._pick_service(route),
            organisation.name if organisation else "",
            priority,
            self.fleet_state.configuration.version,
            age * 1000.0,
        )

    def place(
        self, request: PlacementRequest, now: float
    ) -> Placement | verdicts.Refusal:
        """Chooses the targets of a request and records the attempt.

        Only the load that this instance knows is taken into account, and no
        permits are obtained for targets with a limit.

        Args:
            request: The request.
            now: Time in seconds.

        Returns:
            The placement, or the reason for refusing the request.
        """
        refusal = self.count_send(request, now)
        if refusal is not None:
            return refusal
        answer = self.chooser.answer_query(self.make_query(request), now)
        return self.finish_placement(request, answer, now)

    def count_send(
        self, request: PlacementRequest, now: float
    ) -> verdicts.Refusal | None:
        """Counts a send; refuses a retry that exceeds the retry budget."""
        service = request.admission.service
        if request.counted_at is not None:
            if request.is_retry:
                self.retry_budget(service).move_retry(request.counted_at, now)
            return None
        if not request.is_retry:
            self.retry_budget(service).record_first_send(now)
        elif not self.acquire_retry(service, now):
            usage = self.retry_usage(now)[service]
            return _refuse(
                verdicts.Reason.OVERLOADED,
                "the retry budget is exhausted:"
                f" {usage.retries} of {usage.allowed:.1f} retries",
                target_choice.NO_TARGET_RETRY_SECONDS,
            )
        return None

    def acquire_retry(self, service: str, now: float) -> bool:
        """Takes a retry from the budget of a service, if one is left.

        Args:
            service: Name of the service.
            now: Time in seconds.
        """
        return self.retry_budget(service).try_acquire(
            self._count_sharing(now), now
        )

    def retry_usage(
        self, now: float
    ) -> dict[str, service_retry_budget.BudgetUsage]:
        """Returns how much of the retry budget of each service is used."""
        instances = self._count_sharing(now)
        return {
            service: budget.usage(instances, now)
            for service, budget in self._retry_budgets.items()
        }

    def _count_sharing(self, now: float) -> int:
        """Returns how many instances share a retry budget; 0 if unknown."""
        peers = self.fleet_state.peers
        wait_seconds = UNHEARD_ZONE_WINDOWS * self.settings.retry_window_seconds
        if peers.knows_size or now - self.started_at >= wait_seconds:
            return peers.likely_size
        return 0

    def is_in_first_window(self, now: float) -> bool:
        """Returns whether this instance started within the last window."""
        age = now - self.started_at
        return age < self.settings.retry_window_seconds

    def lend_retries(self, now: float) -> messages.RetryLoan | None:
        """Lends a part of each retry budget to a peer that has started.

        Returns:
            The loan; None if this instance has no share of its own.
        """
        instances = self._count_sharing(now)
        if self.is_in_first_window(now) or not instances:
            return None
        loans = [
            (service, budget.lend(instances, now))
            for service, budget in self._retry_budgets.items()
        ]
        return messages.RetryLoan(
            self.settings.name,
            instances,
            tuple((service, retries) for service, retries in loans if retries),
        )

    def accept_loan(self, loan: messages.RetryLoan) -> None:
        """Records what a peer lends to this instance, which has started."""
        self.fleet_state.peers.record_size(loan.fleet_size)
        for service, retries in loan.retries:
            self.retry_budget(service).borrow(loan.sender, retries)

    def make_query(self, request: PlacementRequest) -> messages.PlacementQuery:
        """Returns the question that a request puts to a coordinator."""
        route = request.admission.route
        return messages.PlacementQuery(
            self.settings.name,
            request.key,
            request.admission.service,
            request.prompt_tokens,
            request.output_tokens,
            route.goal_ms,
            route.gap_goal_ms,
            request.elapsed_ms,
            tuple(sorted(request.tried)),
        )

    def finish_placement(
        self,
        request: PlacementRequest,
        answer: messages.PlacementAnswer,
        now: float,
    ) -> Placement | verdicts.Refusal:
        """Turns an answer to a request's query into its placement.

        Args:
            request: The request.
            answer: The answer, of this instance or a coordinator.
            now: Time in seconds.
        """
        if not answer.targets:
            return _refuse(
                _REASONS.get(answer.reason, verdicts.Reason.NO_TARGET),
                answer.detail,
                answer.retry_after_seconds,
            )
        if answer.sender != self.settings.name:
            self.chooser.record_attempt(self.make_query(request), answer, now)
        budget = self.retry_budget(request.admission.service)
        return Placement(
            answer.targets[0],
            answer.targets[1:],
            answer.memory,
            answer.first_token_ms,
            self._key_valid_until(request.admission),
            answer.candidates,
            answer.cost,
            bool(answer.first_token_ms)
            and budget.allows_early_retry(self._count_sharing(now), now),
            answer.permits,
        )

    def may_send_to(self, answer: messages.PlacementAnswer, now: float) -> bool:
        """Returns whether all targets of an answer may be sent the request."""
        return not any(
            self.notices.find_obstacle(target, answer.permits, now)
            for target in answer.targets
        )

    def find_unpermitted(
        self, answer: messages.PlacementAnswer, now: float
    ) -> target_records.Target | None:
        """Returns a target for which a permit is needed; None for none."""
        for target in answer.targets:
            if (
                target.name not in answer.permits
                and self.notices.find_limit(target, now) is not None
            ):
                return target
        return None

    def record_first_token(
        self, key: str, measured_ms: float, predicted_ms: float, now: float
    ) -> messages.LoadUpdate | None:
        """Records the arrival of a stream's first event.

        Args:
            key: Key of the attempt.
            measured_ms: Measured time to the first token.
            predicted_ms: Predicted time to the first token; 0 if unknown.
            now: Time in seconds.

        Returns:
            The update for peers; None if the attempt is unknown.
        """
        owner = self.settings.name
        attempt = self.load.by_owner.get(owner, {}).get(key)
        if attempt is None:
            return None
        if predicted_ms:
            self.times.record_first_token(
                attempt, measured_ms, predicted_ms, now
            )
        attempt = attempt._replace(is_decoding=True, prefill_end=now)
        self.load.put(owner, attempt)
        return self._make_update((attempt,), (), now)

    def record_attempt_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_target_fault: bool,
        is_silent: bool,
        now: float,
    ) -> tuple[messages.LoadUpdate, bool]:
        """Records the end of an attempt.

        Args:
            key: Key of the attempt.
            target: Name of the target that succeeded or failed.
            is_success: Whether the target completed the request.
            is_target_fault: Whether the target caused the failure.
            is_silent: Whether the target sent no response at all.
            now: Time in seconds.

        Returns:
            The update for peers, and whether the target was ejected.
        """
        if is_success:
            self.times.record_end(self.settings.name, key, now)
        self.load.drop(self.settings.name, key)
        is_ejected = False
        if is_success:
            self.health.record_success(target)
        elif is_target_fault:
            is_ejected = self.health.record_failure(target, now, is_silent)
            if is_silent:
                self._record_silence(target, "", now)
        outcomes = ()
        if is_success or is_target_fault:
            outcome = messages.AttemptOutcome(target, is_success, is_silent)
            outcomes = (outcome,)
        return self._make_update((), (key,), now, outcomes), is_ejected

    def apply_settings(self, settings: relay_settings.RelaySettings) -> None:
        """Applies reloaded settings; changes of addresses have no effect."""
        self.settings = settings
        self.fleet_state.settings = settings
        self.fleet_state.evacuations.is_active = settings.evacuation_seconds > 0
        self.notices.cold.is_active = settings.limits_cold_targets
        for budget in self._retry_budgets.values():
            budget.set_bounds(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_seconds,
            )

    def apply_load_message(
        self,
        message: messages.LoadUpdate | messages.LoadSnapshot,
        now: float,
        is_near: bool = False,
    ) -> list[str]:
        """Applies a peer's attempts and the results of those that ended.

        Args:
            message: The message.
            now: Time in seconds.
            is_near: Whether this instance places the requests of the sender. It
                then ejects targets that fail the sender's requests. Otherwise
                the cause may be the network between the sender and the target,
                and the target is only penalised for a while.

        Returns:
            Names of the targets that were ejected.
        """
        ejected = []
        if isinstance(message, messages.LoadUpdate):
            self._record_reported_first_tokens(message, now)
            self._record_reported_ends(message, is_near, now)
            for outcome in message.outcomes:
                if outcome.is_success:
                    if is_near:
                        self.health.record_success(outcome.target)
                elif not is_near:
                    self.health.record_peer_report(outcome.target, now)
                # A single silence may be the sender's own loss of contact.
                elif self.health.record_failure(outcome.target, now, False):
                    ejected.append(outcome.target)
                if outcome.is_silent:
                    self._record_silence(outcome.target, message.sender, now)
        load_reports.apply_message(self.load, message, now)
        return ejected

    def _record_silence(self, name: str, reporter: str, now: float) -> None:
        """Records that a target was silent, and may be cold when it is back."""
        target = self.fleet_state.targets.targets.get(name)
        if target is not None:
            self.notices.cold.record_silence(target, reporter, now)

    def _record_reported_first_tokens(
        self, message: messages.LoadUpdate, now: float
    ) -> None:
        """Compares first tokens that a peer reports with their predictions."""
        known = self.load.by_owner.get(message.sender, {})
        for report in message.puts:
            attempt = known.get(report.key)
            if attempt is None or attempt.is_decoding or not report.is_decoding:
                continue
            predicted = attempt.prefill_end - attempt.placed_at
            self.times.record_first_token(
                attempt,
                report.age_ms + report.prefill_left_ms,
                predicted * 1000.0,
                now,
            )

    def _record_reported_ends(
        self, message: messages.LoadUpdate, is_near: bool, now: float
    ) -> None:
        """Records the run times of attempts whose end a peer reports.

        Reports of other zones are delayed, and their requests take another way
        to the targets.
        """
        peers = self.fleet_state.peers
        if not is_near and (
            peers.is_large_fleet
            or not any(p.name == message.sender for p in peers.zone_peers())
        ):
            return
        for key, outcome in zip(message.drops, message.outcomes):
            if outcome.is_success:
                self.times.record_end(message.sender, key, now)

    def snapshot(self, now: float) -> messages.LoadSnapshot:
        """Returns a message with all attempts of this instance."""
        return load_reports.make_snapshot(self.settings.name, self.load, now)

    def expire(self, now: float) -> list[store_views.TargetChange]:
        """Drops expired state and the attempts of peers that are down.

        Args:
            now: Time in seconds.

        Returns:
            The targets that were removed.
        """
        self.load.expire(now)
        self.notices.expire(now)
        for owner in self._find_gone_owners(now):
            self.load.drop_owner(owner)
        return self.fleet_state.expire(now)

    def drop_removed_targets(
        self, changes: list[store_views.TargetChange]
    ) -> None:
        """Drops the health records of targets that were removed."""
        for change in changes:
            if change.event in store_views.REMOVAL_EVENTS:
                self.health.forget(change.target.name)

    def _find_gone_owners(self, now: float) -> list[str]:
        """Returns the instances that are down and have attempts recorded."""
        owners = self.load.by_owner.keys() - {self.settings.name}
        if not owners:
            return []
        peers = self.fleet_state.peers
        missing = owners - {peer.name for peer in peers.alive()}
        if not peers.is_large_fleet:
            return sorted(missing)
        # Coordinators do not exchange heartbeats with all instances of other
        # zones.
        known = {peer.name for peer in peers.peers.values()}
        oldest_report_at = now - MAX_REPORT_AGE_SECONDS
        return [
            name
            for name in sorted(missing)
            if name in known
            or self.load.reported_at.get(name, now) < oldest_report_at
        ]

    def _make_update(
        self,
        puts: tuple[fleet_load.Attempt, ...],
        drops: tuple[str, ...],
        now: float,
        outcomes: tuple[messages.AttemptOutcome, ...] = (),
    ) -> messages.LoadUpdate:
        return load_reports.make_update(
            self.settings.name, puts, drops, now, outcomes
        )

    def _key_valid_until(self, admission: Admission) -> float:
        """Returns until when the API key of a request is known to be valid."""
        return (
            self.fleet_state.keys_valid_until()
            if admission.organisation
            else float("inf")
        )

    def _refuse_for_configuration(
        self, reason: verdicts.Reason, message: str, age: float
    ) -> verdicts.Refusal:
        """Refuses a request that the configuration does not allow.

        If the proof that the configuration is current is too old, a newer
        version may allow the request, so the caller is asked to retry.
        """
        if age <= self.settings.configuration_seconds * MAX_PROOF_AGE_SHARE:
            return verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
        return _refuse(
            verdicts.Reason.STORE_UNAVAILABLE,
            f"{message} in a configuration last confirmed {age:.1f} s ago",
            target_choice.NOT_READY_RETRY_SECONDS,
        )

    def _pick_service(self, route: route_table.Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        if not any(weights):
            return route.services[0].service
        return self.rng.choices(route.services, weights)[0].service

    def retry_budget(
        self, service: str
    ) -> service_retry_budget.ServiceRetryBudget:
        """Returns the retry budget of a service; creates it if needed."""
        if service not in self._retry_budgets:
            self._retry_budgets[service] = (
                service_retry_budget.ServiceRetryBudget(
                    self.settings.retry_ratio,
                    self.settings.retry_extra,
                    self.settings.retry_window_seconds,
                    self.started_at,
                )
            )
        return self._retry_budgets[service]

    def make_placement_update(
        self, key: str, now: float, owner: str = ""
    ) -> messages.LoadUpdate | None:
        """Returns the update that reports a placed request to peers.

        Args:
            key: Key of the attempt.
            now: Time in seconds.
            owner: Name of the instance that sends the request; "" for this one.

        Returns:
            The update; None if the attempt is unknown.
        """
        owner = owner or self.settings.name
        attempt = self.load.by_owner.get(owner, {}).get(key)
        if attempt is None:
            return None
        return load_reports.make_update(owner, (attempt,), (), now)


def _refuse(
    reason: verdicts.Reason, message: str, retry_after_seconds: float
) -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, reason, message, retry_after_seconds
    )
