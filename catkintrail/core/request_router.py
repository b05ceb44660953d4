"""Decisions of one instance about callers' requests and targets.

Takes the time as an argument and does no I/O. Times are in seconds of a clock
that goes on while the machine is suspended.
"""

import itertools
import random
from typing import NamedTuple

from catkintrail import messages
from catkintrail import relay_settings
from catkintrail import verdict as verdicts
from catkintrail.core import beliefs
from catkintrail.core import engine_cost
from catkintrail.core import engine_placement
from catkintrail.core import fleet_load
from catkintrail.core import fleet_peers
from catkintrail.core import repeat_budget
from catkintrail.core import route_table
from catkintrail.core import target_health
from catkintrail.core import targets as target_records

__all__ = [
    "Admission",
    "Grant",
    "PlaceRequest",
    "RequestRouter",
    "caller_patience_ms",
]

# A proof of a key's validity must be this much younger than the bound, for the
# time until the request's bytes reach the target.
REVOCATION_MARGIN_SECONDS = 0.4
# Refusals that depend on the newest configuration need a proof of this age.
FRESH_SHARE = 0.75
# Pause before a caller of an instance without knowledge comes back.
NOT_READY_RETRY_SECONDS = 0.5
# Pause before a caller comes back where no target is left.
NO_TARGET_RETRY_SECONDS = 0.4
# Cost of each running request on a plain target, as a share of its slots.
SLOT_COST = 0.1
QUEUED_COST = 1.0
OTHER_ZONE_COST = 0.12
# Answers to heartbeats that come later are not taken.
ANSWER_SECONDS = 1.6
# A watcher whose targets differ from the own ones for this long knows better:
# news of a change was lost.
DIFFERENCE_SECONDS = 0.8
# Targets that left are told to peers for this long.
LEFT_MEMORY_SECONDS = 10.0
# Callers leave a stream after the longest of these; the platform states them.
PATIENCE_FLOOR_MS = 2_000.0
PATIENCE_GOALS = 4.0
PATIENCE_GAPS = 8.0
# Part of a caller's patience that a prediction may fill.
PATIENCE_SHARE = 0.9


class Admission(NamedTuple):
    """A request that may be served.

    Attributes:
        route: Its route.
        service: The service that serves it.
        organisation: Name of the key's holder; "" for a public route.
        priority: Rank; 0 is the most urgent.
        version: Version of the configuration that said so.
        proof_age_ms: Age of the proof that no newer version was in force.
        limits: Bounds on what callers may send.
    """

    route: route_table.Route
    service: str
    organisation: str
    priority: int
    version: int
    proof_age_ms: float
    limits: route_table.CallerLimits


class PlaceRequest(NamedTuple):
    """A request that needs a target.

    Attributes:
        key: Unique in the deployment; one for each send.
        admission: What was decided when it came.
        prompt_tokens: Length of the prompt; 0 where unknown.
        output_tokens: The most output tokens.
        elapsed_ms: Time since it came.
        left_ms: Time until its deadline or its route's time-out.
        tried: Names of targets that were tried.
        is_repeat: Whether it was sent before.
        api_key: The caller's key.
    """

    key: str
    admission: Admission
    prompt_tokens: int
    output_tokens: int
    elapsed_ms: float
    left_ms: float
    tried: frozenset[str]
    is_repeat: bool
    api_key: str


class Grant(NamedTuple):
    """Where a request goes.

    Attributes:
        target: The target that answers.
        helpers: Engines that prefill parts of the prompt.
        memory: Tokens that the target and each helper keep; what a helper
            keeps has to be reserved there.
        predicted_ms: Predicted time to the first token; 0 where unknown.
        valid_until: The request must not be sent later.
        candidates: Number of targets that were weighed.
        cost: Cost of the choice.
        may_repeat_early: Whether repeats are plenty, so that one may be sent
            before the target is surely silent.
    """

    target: target_records.Target
    helpers: tuple[target_records.Target, ...]
    memory: tuple[int, ...]
    predicted_ms: float
    valid_until: float
    candidates: int
    cost: float
    may_repeat_early: bool


def caller_patience_ms(route: route_table.Route) -> float:
    """Returns how long a stream's caller waits for the next event."""
    return max(
        PATIENCE_FLOOR_MS,
        PATIENCE_GOALS * route.goal_ms,
        PATIENCE_GAPS * route.gap_goal_ms,
    )


class RequestRouter:
    """State and decisions of one instance.

    Attributes:
        settings: Its settings.
        configuration: What is known of the configuration.
        targets: What is known of the targets.
        load: Attempts at targets, its own and its peers'.
        health: What requests showed of targets.
        peers: Other instances.
        is_store_up: Whether the store answered its last call.
        store_returned_at: When it last answered after a failure.
        peer_version: The newest version that a peer told of.
        better_peer: Address of a peer that knows more; "" for none.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.rng = rng
        self.configuration = beliefs.ConfigurationBelief()
        self.targets = beliefs.TargetBelief()
        self.load = fleet_load.FleetLoad()
        self.health = target_health.TargetHealth()
        self.peers = fleet_peers.FleetPeers(
            settings.address,
            settings.availability_zone,
            [seed.rpartition(":")[0] for seed in settings.seeds],
        )
        self.is_store_up = True
        self.store_returned_at = float("-inf")
        self.peer_version = -1
        self.better_peer = ""
        self._differs_since: dict[str, float] = {}
        self.has_targets = False
        self._budgets: dict[str, repeat_budget.RepeatBudget] = {}
        self._left: dict[str, tuple[int, float]] = {}
        self._nonces = itertools.count(1)
        self._asked: dict[int, float] = {}

    # Requests.

    def admit(
        self, host: str, path: str, api_key: str, now: float
    ) -> Admission | verdicts.Refusal:
        """Decides whether a request may be served, and by which service."""
        table = self.configuration.table
        if table is None:
            return _not_run(
                verdicts.Reason.NOT_READY,
                "no configuration is known yet",
                NOT_READY_RETRY_SECONDS,
            )
        age = now - self.configuration.proven_at
        route = table.find(host, path)
        if route is None:
            return self._deny(
                verdicts.Reason.NOT_FOUND, "no route matches", age
            )
        organisation = None
        holders = table.configuration.organisations
        if holders is not None and not route.is_public:
            organisation = holders.get(api_key)
            if organisation is None:
                return self._deny(
                    verdicts.Reason.UNAUTHENTICATED, "the key is unknown", age
                )
            if now > self._valid_until():
                return _not_run(
                    verdicts.Reason.STORE_UNAVAILABLE,
                    f"no proof of the key for {age:.1f} s",
                    NOT_READY_RETRY_SECONDS,
                )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return Admission(
            route,
            self._pick_service(route),
            organisation.name if organisation else "",
            priority,
            self.configuration.version,
            age * 1000.0,
            table.configuration.limits,
        )

    def place(
        self, request: PlaceRequest, now: float
    ) -> Grant | verdicts.Refusal:
        """Chooses where a request goes, and counts it there."""
        service = request.admission.service
        members = list(self.targets.by_service.get(service, {}).values())
        usable = [t for t in members if t.name not in request.tried]
        healthy = [t for t in usable if not self.health.is_out(t.name, now)]
        cut_zones = self.peers.cut_zones()
        reached = [t for t in healthy if t.availability_zone not in cut_zones]
        candidates = reached or healthy or usable
        if not candidates:
            return _not_run(
                verdicts.Reason.NO_TARGET,
                f"no target is left of {len(members)}",
                NO_TARGET_RETRY_SECONDS,
            )
        if request.is_repeat and not self._budget(service).take(
            self.peers.most, now
        ):
            return _not_run(
                verdicts.Reason.OVERLOADED,
                "no repeat is left in the budget",
                NO_TARGET_RETRY_SECONDS,
            )
        if not request.is_repeat:
            self._budget(service).note_first(now)
        figures = self._figures(service)
        if figures is None or not request.prompt_tokens:
            return self._place_plain(request, candidates, now)
        return self._place_prompt(request, candidates, figures, now)

    def note_first_token(
        self, key: str, measured_ms: float, predicted_ms: float, now: float
    ) -> messages.LoadUpdate | None:
        """Notes that a stream's first event came."""
        owner = self.settings.name
        attempt = self.load.by_owner.get(owner, {}).get(key)
        if attempt is None:
            return None
        if predicted_ms:
            self.health.note_time(
                attempt.targets[0], measured_ms, predicted_ms, now
            )
        attempt = attempt._replace(is_decoding=True, prefill_end=now)
        self.load.put(owner, attempt)
        return self._update((attempt,), (), now)

    def note_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_fault: bool,
        is_silent: bool,
        now: float,
    ) -> tuple[messages.LoadUpdate, bool]:
        """Notes the end of an attempt.

        Peers are told of a target's faults with it.

        Args:
            key: Of the attempt.
            target: The target that was asked.
            is_success: Whether the target answered as it should.
            is_fault: Whether the failure is the target's.
            is_silent: Whether it did not answer at all.
            now: Time in seconds.

        Returns:
            The update for peers, and whether the target was ejected.
        """
        self.load.drop(self.settings.name, key)
        is_ejected = False
        if is_success:
            self.health.note_success(target)
        elif is_fault:
            is_ejected = self.health.note_failure(target, now, is_silent)
        faults = (target,) if is_fault else ()
        return self._update((), (key,), now, faults), is_ejected

    # Beliefs.

    def learn_configuration(
        self,
        configuration: route_table.Configuration,
        proven_at: float,
    ) -> bool:
        """Takes a configuration; returns whether it is newer."""
        return self.configuration.learn(configuration, proven_at)

    def learn_targets(
        self,
        listed: list[target_records.Target],
        revision: int,
        now: float,
    ) -> list[beliefs.TargetChange]:
        """Takes the whole list of targets."""
        self.has_targets = True
        changes = self.targets.replace_all(
            listed, revision, self._lapses_end(), now
        )
        return self._note_left(changes, now)

    def learn_target(
        self,
        target: target_records.Target | None,
        name: str,
        is_removed: bool,
        revision: int,
        now: float,
    ) -> list[beliefs.TargetChange]:
        """Takes one change of the list of targets.

        Args:
            target: The entry; None where it cannot be used.
            name: Its name.
            is_removed: Whether the entry was removed.
            revision: Of the change.
            now: Time in seconds.
        """
        if is_removed:
            changes = self.targets.remove(
                name, revision, self._lapses_end(), now
            )
        elif target is None:
            changes = self.targets.remove(name, revision, now, now)
        else:
            changes = self.targets.put(target, revision)
        return self._note_left(changes, now)

    def note_store(self, is_up: bool, now: float) -> None:
        """Notes whether the store answered."""
        if is_up and not self.is_store_up:
            self.store_returned_at = now
        self.is_store_up = is_up

    def learn_leaving(
        self, name: str, born: int, now: float
    ) -> list[beliefs.TargetChange]:
        """Notes that a target is leaving, from a peer or its own answer."""
        target = self.targets.targets.get(name)
        if target is None or (born and target.born != born):
            return []
        return self._note_left(self.targets.leave(name), now)

    def expire(self, now: float) -> list[beliefs.TargetChange]:
        """Drops beliefs that are too old."""
        self.load.expire(now)
        alive = {peer.name for peer in self.peers.alive()}
        alive.add(self.settings.name)
        for owner in list(self.load.by_owner):
            if owner not in alive:
                self.load.drop_owner(owner)
        for name, (_, since) in list(self._left.items()):
            if now - since > LEFT_MEMORY_SECONDS:
                del self._left[name]
        for nonce, sent_at in list(self._asked.items()):
            if now - sent_at > ANSWER_SECONDS:
                del self._asked[nonce]
        return self._note_left(self.targets.expire(now), now)

    def is_ready(self, now: float) -> bool:
        """Returns whether requests can be served."""
        if self.configuration.table is None or not self.has_targets:
            return False
        if self.configuration.table.configuration.organisations is None:
            return True
        return now <= self._valid_until()

    # Peers.

    def heartbeat(self, now: float) -> messages.FleetHeartbeat:
        """Returns the next heartbeat."""
        nonce = next(self._nonces)
        self._asked[nonce] = now
        return messages.FleetHeartbeat(
            self.settings.name,
            self.settings.availability_zone,
            self.incarnation,
            nonce,
            self.configuration.version,
            self.targets.digest,
            self.is_watcher(),
            self.is_store_up,
            tuple((name, born) for name, (born, _) in self._left.items()),
            self.peers.to_tell(self.rng),
        )

    def answer_heartbeat(
        self, heartbeat: messages.FleetHeartbeat, now: float
    ) -> messages.FleetHeartbeatAnswer:
        """Returns the answer to a peer's heartbeat."""
        age = (now - self.configuration.proven_at) * 1000.0
        return messages.FleetHeartbeatAnswer(
            self.settings.name,
            self.settings.availability_zone,
            self.incarnation,
            heartbeat.nonce,
            self.configuration.version,
            age if self.configuration.table is not None else -1.0,
        )

    def hear_heartbeat(
        self, address: str, heartbeat: messages.FleetHeartbeat, now: float
    ) -> tuple[str, list[beliefs.TargetChange]]:
        """Takes a peer's heartbeat; returns what is new."""
        news = self.peers.hear(
            address,
            heartbeat.sender,
            heartbeat.availability_zone,
            heartbeat.incarnation,
            now,
            heartbeat.has_store,
        )
        self._compare(address, heartbeat, now)
        self._note_version(address, heartbeat.version)
        for other in heartbeat.addresses:
            self.peers.learn(other, now)
        changes = []
        for name, born in heartbeat.left:
            changes += self.learn_leaving(name, born, now)
        return news, changes

    def hear_answer(
        self, address: str, answer: messages.FleetHeartbeatAnswer, now: float
    ) -> str:
        """Takes the answer to a heartbeat; returns what is new of the peer."""
        news = self.peers.hear(
            address,
            answer.sender,
            answer.availability_zone,
            answer.incarnation,
            now,
        )
        self._note_version(address, answer.version)
        sent_at = self._asked.get(answer.nonce)
        # The age counts from before the question, so transit adds nothing.
        if sent_at is not None and answer.proof_age_ms >= 0:
            self.configuration.confirm(
                answer.version, sent_at - answer.proof_age_ms / 1000.0
            )
        return news

    def hear_load(
        self, update: messages.LoadUpdate | messages.LoadSnapshot, now: float
    ) -> None:
        """Takes a peer's load."""
        if isinstance(update, messages.LoadSnapshot):
            self.load.replace_all(
                update.sender,
                [_from_report(report, now) for report in update.attempts],
            )
            return
        for key in update.drops:
            self.load.drop(update.sender, key)
        for target in update.faults:
            self.health.note_report(target, now)
        for report in update.puts:
            self.load.put(update.sender, _from_report(report, now))

    def snapshot(self, now: float) -> messages.LoadSnapshot:
        """Returns all own attempts."""
        own = self.load.by_owner.get(self.settings.name, {})
        return messages.LoadSnapshot(
            self.settings.name,
            tuple(_to_report(attempt, now) for attempt in own.values()),
        )

    def hear_news(
        self, address: str, news: messages.FleetNews, now: float
    ) -> list[beliefs.TargetChange]:
        """Takes what a watcher learned; returns what changed."""
        self._note_version(address, news.version)
        changes = []
        for target in news.targets:
            changes += self.targets.put(target, self.targets.revision)
        for name in news.removed:
            changes += self.targets.remove(
                name, self.targets.revision, now, now
            )
        return self._note_left(changes, now)

    def receivers(self) -> tuple[list[str], list[str]]:
        """Returns who is told directly, and who passes messages on."""
        if not self.peers.is_large:
            return [peer.address for peer in self.peers.alive()], []
        near = [peer.address for peer in self.peers.near()]
        return near, self.peers.gateways()

    def is_watcher(self) -> bool:
        """Returns whether this instance watches the store for its zone."""
        return self.peers.watch_rank() < self.peers.watchers()

    def is_proof_holder(self) -> bool:
        """Returns whether this instance proves the configuration for its zone.

        One of a zone's instances asks the store often; the others ask peers.
        """
        return self.peers.watch_rank() == 0

    def _note_version(self, address: str, version: int) -> None:
        self.peer_version = max(self.peer_version, version)
        if version > self.configuration.version:
            self.better_peer = address

    def _compare(
        self, address: str, heartbeat: messages.FleetHeartbeat, now: float
    ) -> None:
        """Notices that news of targets were lost."""
        is_same = heartbeat.target_digest == self.targets.digest
        if is_same or not heartbeat.is_watcher or self.is_watcher():
            self._differs_since.pop(address, None)
            return
        since = self._differs_since.setdefault(address, now)
        if now - since >= DIFFERENCE_SECONDS:
            self.better_peer = address
            del self._differs_since[address]

    def _valid_until(self) -> float:
        bound = self.settings.revocation_seconds
        if not bound:
            return float("inf")
        return self.configuration.proven_at + bound - REVOCATION_MARGIN_SECONDS

    def _send_until(self, admission: Admission) -> float:
        """Returns when the proof of a request's key ends."""
        return self._valid_until() if admission.organisation else float("inf")

    def _deny(
        self, reason: verdicts.Reason, message: str, age: float
    ) -> verdicts.Refusal:
        """Refuses for good only what the newest configuration refuses."""
        if age <= self.settings.configuration_seconds * FRESH_SHARE:
            return verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
        return _not_run(
            verdicts.Reason.STORE_UNAVAILABLE,
            f"{message} in a configuration proven {age:.1f} s ago",
            NOT_READY_RETRY_SECONDS,
        )

    def _pick_service(self, route: route_table.Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        if not any(weights):
            return route.services[0].service
        return self.rng.choices(route.services, weights)[0].service

    def _figures(self, service: str) -> route_table.EngineFigures | None:
        table = self.configuration.table
        known = table.configuration.services.get(service) if table else None
        return known.engine if known else None

    def _budget(self, service: str) -> repeat_budget.RepeatBudget:
        if service not in self._budgets:
            self._budgets[service] = repeat_budget.RepeatBudget(
                self.settings.retry_ratio,
                self.settings.retry_extra,
                self.settings.retry_window_seconds,
            )
        return self._budgets[service]

    def _place_plain(
        self,
        request: PlaceRequest,
        candidates: list[target_records.Target],
        now: float,
    ) -> Grant:
        zone = self.settings.availability_zone

        def cost(target: target_records.Target) -> float:
            running = len(self.load.at(target.name))
            slots = max(1, target.slots)
            total = SLOT_COST * running / slots
            total += QUEUED_COST * max(0, running + 1 - slots) / slots
            total += self.health.penalty(target.name, now)
            total += self.health.slowness(target.name, now) - 1.0
            if target.availability_zone != zone:
                total += OTHER_ZONE_COST
            return total

        costs = [
            (cost(target), self.rng.random(), target) for target in candidates
        ]
        best_cost, _, target = min(costs, key=lambda item: item[:2])
        self._count(request, (target,), (0,), 0.0, 0.0, 0.0, now)
        return Grant(
            target,
            (),
            (0,),
            0.0,
            self._send_until(request.admission),
            len(candidates),
            best_cost,
            False,
        )

    def _place_prompt(
        self,
        request: PlaceRequest,
        candidates: list[target_records.Target],
        figures: route_table.EngineFigures,
        now: float,
    ) -> Grant | verdicts.Refusal:
        zone = self.settings.availability_zone
        route = request.admission.route
        engines = [
            engine_placement.describe_engine(
                target,
                tuple(self.load.at(target.name).values()),
                figures,
                now,
                self.health.slowness(target.name, now),
                self.health.penalty(target.name, now),
                target.availability_zone == zone,
            )
            for target in candidates
        ]
        self.rng.shuffle(engines)
        work = engine_placement.Work(
            request.prompt_tokens,
            request.output_tokens,
            route.goal_ms,
            request.elapsed_ms,
            route.gap_goal_ms,
            request.left_ms,
        )
        choice = engine_placement.choose(work, engines, figures)
        if choice is None:
            return _not_run(
                verdicts.Reason.OVERLOADED,
                "no engine has the memory",
                NO_TARGET_RETRY_SECONDS,
            )
        self._count(
            request,
            choice.engines,
            choice.memory,
            choice.part_ms,
            choice.first_token_ms,
            engine_cost.weight(figures, request.prompt_tokens),
            now,
        )
        return Grant(
            choice.engines[0],
            choice.engines[1:],
            choice.memory,
            choice.first_token_ms,
            self._send_until(request.admission),
            len(candidates),
            choice.cost,
            self._budget(request.admission.service).is_plenty(
                self.peers.most, now
            ),
        )

    def _count(
        self,
        request: PlaceRequest,
        chosen: tuple[target_records.Target, ...],
        memory: tuple[int, ...],
        part_ms: float,
        first_token_ms: float,
        weight: float,
        now: float,
    ) -> None:
        attempt = fleet_load.Attempt(
            request.key,
            tuple(target.name for target in chosen),
            memory,
            part_ms,
            request.admission.route.gap_goal_ms,
            weight,
            now + first_token_ms / 1000.0,
            False,
            now,
        )
        self.load.put(self.settings.name, attempt)

    def placed_update(self, key: str, now: float) -> messages.LoadUpdate | None:
        """Returns the update that tells peers of a placed request."""
        attempt = self.load.by_owner.get(self.settings.name, {}).get(key)
        return self._update((attempt,), (), now) if attempt else None

    def _update(
        self,
        puts: tuple[fleet_load.Attempt, ...],
        drops: tuple[str, ...],
        now: float,
        faults: tuple[str, ...] = (),
    ) -> messages.LoadUpdate:
        return messages.LoadUpdate(
            self.settings.name,
            tuple(_to_report(attempt, now) for attempt in puts),
            drops,
            faults,
        )

    def _lapses_end(self) -> float:
        """Returns when entries that an outage removed are back."""
        return self.store_returned_at + beliefs.LAPSE_SECONDS

    def _note_left(
        self, changes: list[beliefs.TargetChange], now: float
    ) -> list[beliefs.TargetChange]:
        for change in changes:
            if change.event == "target_leaving":
                self._left[change.target.name] = (change.target.born, now)
            elif change.event != "target_joined":
                self.health.drop(change.target.name)
        return changes


def _not_run(
    reason: verdicts.Reason, message: str, retry_after_seconds: float
) -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, reason, message, retry_after_seconds
    )


def _to_report(
    attempt: fleet_load.Attempt, now: float
) -> messages.AttemptReport:
    return messages.AttemptReport(
        attempt.key,
        attempt.targets,
        attempt.memory,
        round(attempt.prefill_ms, 1),
        attempt.gap_goal_ms,
        round(attempt.weight, 3),
        round((attempt.prefill_end - now) * 1000.0, 1),
        attempt.is_decoding,
        round((now - attempt.placed_at) * 1000.0, 1),
    )


def _from_report(
    report: messages.AttemptReport, now: float
) -> fleet_load.Attempt:
    return fleet_load.Attempt(
        report.key,
        report.targets,
        report.memory,
        report.prefill_ms,
        report.gap_goal_ms,
        report.weight,
        now + report.prefill_left_ms / 1000.0,
        report.is_decoding,
        now - report.age_ms / 1000.0,
    )
