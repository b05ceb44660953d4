"""Calls of the router actor from other threads."""

from typing import Any, Callable

import pykka

from catkintrail import verdict as verdicts
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_status
from catkintrail.core import request_quarantine
from catkintrail.core import request_router
from catkintrail.core import service_retry_budget
from catkintrail.core import target_notices
from catkintrail.core import targets as target_records
from catkintrail.core.quarantine import crash_evidence

__all__ = ["PEER_TIMEOUT_SECONDS", "RouterClient"]

# How long a peer may take to choose a target or to issue a permit.
PEER_TIMEOUT_SECONDS = 0.08
# The actor does no blocking I/O, so a slower response indicates a fault.
CALL_TIMEOUT_SECONDS = 5.0


class RouterClient:
    """Calls the actor from other threads.

    The `record_...` and `mark_...` methods do not wait for the actor to handle
    the call, except `record_request_crash`.

    Attributes:
        proxy: The actor's proxy.
        notices: What targets have stated of themselves. It is read without the
            actor, right before each send.
        quarantine: The quarantined prompts, read in the same way.
        clock: Returns the time in seconds.
        probe: Finds out whether a target lives on after it ended a connection;
            calls its second argument if the target is gone.
    """

    def __init__(
        self,
        actor_ref: pykka.ActorRef,
        notices: target_notices.TargetNotices,
        quarantine: request_quarantine.RequestQuarantine,
        clock: Callable[[], float],
    ) -> None:
        self.proxy = actor_ref.proxy()
        self.notices = notices
        self.quarantine = quarantine
        self.clock = clock
        self.probe: Callable[
            [target_records.Target, Callable[[], None]], None
        ] = lambda target, on_refusal: None

    def admit(
        self, host: str, path: str, api_key: str
    ) -> request_router.Admission | verdicts.Refusal:
        """Decides whether a request may be served."""
        future = self.proxy.admit(host, path, api_key)
        return _await_result(future)

    def place(
        self, request: request_router.PlacementRequest
    ) -> request_router.Placement | verdicts.Refusal:
        """Chooses a target and reports the attempt to peers.

        Peers that do not answer in time are passed over.
        """
        result = _await_result(self.proxy.place(request))
        while isinstance(result, router_actor.PendingPlacement):
            result = self._await_peer(result)
        return result

    def _await_peer(
        self, pending: router_actor.PendingPlacement
    ) -> router_actor.PlacementResult:
        try:
            return pending.result.get(timeout=PEER_TIMEOUT_SECONDS)
        except pykka.Timeout:
            future = self.proxy.give_up_waiting(pending.request.key)
            result = _await_result(future)
            return result or pending.result.get(timeout=0)

    def acquire_retry(self, service: str) -> bool:
        """Takes a retry from the budget of a service, if one is left."""
        future = self.proxy.acquire_retry(service)
        return _await_result(future)

    def record_first_token(
        self, key: str, measured_ms: float, predicted_ms: float
    ) -> None:
        """Records that the first event of a stream arrived."""
        self.proxy.record_first_token.defer(key, measured_ms, predicted_ms)

    def record_attempt_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_target_fault: bool,
        is_silent: bool,
    ) -> None:
        """Records the end of an attempt."""
        self.proxy.record_attempt_end.defer(
            key, target, is_success, is_target_fault, is_silent
        )

    def find_quarantine(self, traits: tuple[str, ...]) -> float | None:
        """Returns for how many seconds a request is quarantined, or None."""
        now = self.clock()
        until = self.quarantine.find(traits, now)
        return None if until is None else until - now

    def record_request_crash(
        self,
        target: target_records.Target,
        traits: tuple[str, ...],
        has_begun: bool,
        is_resend: bool,
    ) -> None:
        """Records that a target broke off a response at its start.

        Waits, so that a retry is decided with this crash in mind.
        """
        crash = crash_evidence.EngineCrash(
            target.name, target.born, traits, has_begun, is_resend=is_resend
        )
        future = self.proxy.record_request_crash(crash)
        _await_result(future)
        ended = crash._replace(has_ended=True)
        self.probe(target, lambda: self.proxy.record_request_crash.defer(ended))

    def begin_trial(self, traits: tuple[str, ...]) -> bool:
        """Returns whether a quarantined request may be sent as a trial."""
        if not self.quarantine.is_trial_due(traits, self.clock()):
            return False
        future = self.proxy.begin_trial(traits)
        return _await_result(future)

    def record_request_proof(self, traits: tuple[str, ...]) -> None:
        """Records that a target has answered, or written on a prompt."""
        needed = self.quarantine.select_provable(traits)
        if needed:
            self.proxy.record_request_proof.defer(needed)

    def restore_quarantines(
        self,
        remainders: dict[crash_evidence.Traits, request_quarantine.Remainder],
    ) -> None:
        """Applies stored quarantines; waits until they are in force."""
        future = self.proxy.restore_quarantines(remainders)
        _await_result(future)

    def quarantine_statuses(
        self,
    ) -> dict[crash_evidence.Traits, router_status.QuarantineStatus]:
        """Returns the quarantines in force."""
        if not self.quarantine.quarantined:
            return {}
        future = self.proxy.quarantine_statuses()
        return _await_result(future)

    def owns_quarantine(self, traits: crash_evidence.Traits) -> bool:
        """Returns whether this instance stores a quarantine for all."""
        future = self.proxy.owns_quarantine(traits)
        return _await_result(future)

    def find_obstacle(
        self, target: target_records.Target, permits: tuple[str, ...]
    ) -> str:
        """Returns why a target must not be sent a request; "" if it may be."""
        return self.notices.find_obstacle(target, permits, self.clock())

    def record_statement(
        self,
        target: target_records.Target,
        statement: target_notices.TargetStatement,
        sent_at: float,
    ) -> None:
        """Records what an answer states of its target."""
        if self.notices.record(target, statement, sent_at, self.clock()):
            self.proxy.tell_limit.defer(target)
        if statement.cold_seconds:
            self.proxy.record_cold.defer(target, statement.cold_seconds)
        if statement.is_leaving:
            self.mark_target_leaving(target)

    def mark_target_leaving(self, target: target_records.Target) -> None:
        """Records that a target is leaving, or gone from its address."""
        self.proxy.mark_target_leaving.defer(target)

    def find_target(self, name: str) -> target_records.Target | None:
        """Returns a target that this instance may connect to, by name."""
        future = self.proxy.find_target(name)
        return _await_result(future)

    def status(self) -> router_status.RouterStatus:
        """Returns the actor's status."""
        return _await_result(self.proxy.status())

    def retry_usage(self) -> dict[str, service_retry_budget.BudgetUsage]:
        """Returns how much of the retry budget of each service is used."""
        return _await_result(self.proxy.retry_usage())

    def peer_state(self, known_version: int = -1) -> router_status.PeerState:
        """Returns the state that another instance fetches from this one.

        Args:
            known_version: Configuration version that the peer has; -1 for none.
        """
        future = self.proxy.peer_state(known_version)
        return _await_result(future)


def _await_result(future: pykka.Future) -> Any:
    """Returns the result of a call of the actor.

    Raises:
        pykka.Timeout: The actor has not responded for too long.
    """
    try:
        return future.get(timeout=CALL_TIMEOUT_SECONDS)
    except pykka.Timeout:
        # The process may have been suspended for all that time.
        return future.get(timeout=CALL_TIMEOUT_SECONDS)
