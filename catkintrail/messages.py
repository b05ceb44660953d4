"""Messages between instances and their msgpack encoding.

A message is encoded as an array: its tag, then its fields in order.
"""

from typing import Any, NamedTuple

import msgpack
import msgspec

from catkintrail import errors
from catkintrail.core import store_views
from catkintrail.core import targets
from catkintrail.core.zones import evacuation

__all__ = [
    "Batch",
    "Ack",
    "Acquire",
    "AttemptOutcome",
    "AttemptReport",
    "Claim",
    "ColdNews",
    "ColdReport",
    "ConfigHead",
    "ConfigRequest",
    "Declined",
    "EvacuationNews",
    "FleetHeartbeat",
    "FleetHeartbeatAnswer",
    "FleetNews",
    "Forwarded",
    "Granted",
    "GroupMember",
    "HoldingsClaimed",
    "HoldingsQuery",
    "LimitAnswer",
    "LimitAsk",
    "LoadSnapshot",
    "LoadUpdate",
    "MAX_FRAME_BYTES",
    "MemberRecord",
    "Members",
    "Message",
    "Misplaced",
    "Part",
    "PartRequest",
    "Ping",
    "PlacementAnswer",
    "PlacementQuery",
    "PoolSummary",
    "Queued",
    "Redirected",
    "Released",
    "RetryLoan",
    "RetryLoanQuery",
    "Standing",
    "Started",
    "TargetGone",
    "TargetList",
    "TargetListRequest",
    "TargetRecord",
    "Withdraw",
    "ZoneClaims",
    "decode",
    "encode",
]

MAX_FRAME_BYTES = 4 << 20


class MemberRecord(NamedTuple):
    """The membership record of an instance.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        region: Region of the zone.
        address: `IP:port` on which the instance accepts peer connections.
        incarnation: Raised by the instance itself to refute a suspicion.
        status: 0 alive, 1 suspect, 2 dead, 3 left.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    status: int


class Ping(NamedTuple):
    """A heartbeat with piggybacked membership changes.

    Attributes:
        sequence: Sequence number, repeated in the Ack.
        view_hash: Hash of the sender's view of the membership.
        generation: Generation of the sender's configuration.
        targets_revision: Revision of the sender's list of targets.
        updates: Records of members whose state changed recently.
    """

    sequence: int
    view_hash: int
    generation: int
    targets_revision: int
    updates: tuple[MemberRecord, ...] = ()


class Ack(NamedTuple):
    """The answer to a Ping, with the same fields."""

    sequence: int
    view_hash: int
    generation: int
    targets_revision: int
    updates: tuple[MemberRecord, ...] = ()


class Members(NamedTuple):
    """Membership records that reconcile two views or contact a lost peer.

    The whole view is sent when two views still differ after several heartbeats.

    Attributes:
        records: Records of the sender and of other members.
        reply: Whether the receiver is to send its own view back.
    """

    records: tuple[MemberRecord, ...]
    reply: bool


class TargetRecord(NamedTuple):
    """An entry of the platform's list of targets.

    Attributes:
        name: Name of the target.
        zone: Availability zone of the target.
        region: Region of the zone.
        serves: Name of the model or service that the target serves.
        address: `IP:port` of the target.
        incarnation: Raised at each start of the target.
        leaving: Whether the target is shutting down.
    """

    name: str
    zone: str
    region: str
    serves: str
    address: str
    incarnation: int
    leaving: bool


class TargetListRequest(NamedTuple):
    """Requests the receiver's list of targets."""


class TargetList(NamedTuple):
    """The targets of the sender's zone, with the platform's list revision."""

    revision: int
    targets: tuple[TargetRecord, ...]


class TargetGone(NamedTuple):
    """A target has reported that it is shutting down."""

    name: str
    incarnation: int


class Misplaced(NamedTuple):
    """An engine has not loaded the `wanted_version` of its model's object."""

    target: str
    address: str
    serves: str


class Acquire(NamedTuple):
    """Asks the owner of a pool to place a request on a target.

    Attributes:
        request_id: Unique id of the request, unchanged in repeated messages.
        serves: Name of the model or service.
        zone: Availability zone of the pool.
        shard: Shard of the pool.
        organisation: Name of the caller's organisation.
        weight: Scheduling weight of the organisation.
        prompt_tokens: Length of the prompt; 0 for a service call.
        output_tokens: Maximum number of output tokens.
        blocks: Hashes of the prompt's leading blocks.
        remaining_seconds: Time left until the deadline.
        urgency: Priority asked for by the caller, 0 to 9, higher first.
        first_token_weight: Weight of the time to the first token, from the
            route.
        redirects: Number of redirects to another pool so far.
        avoid: Names of targets on which an attempt failed.
    """

    request_id: str
    serves: str
    zone: str
    shard: int
    organisation: str
    weight: float
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    remaining_seconds: float
    urgency: int
    first_token_weight: float
    redirects: int
    avoid: tuple[str, ...] = ()


class GroupMember(NamedTuple):
    """One target of a grant.

    Attributes:
        name: Name of the target.
        address: `IP:port` of the target.
        tokens: KV tokens that the target holds for the request.
    """

    name: str
    address: str
    tokens: int


class Granted(NamedTuple):
    """Grants a request a place on a target or on a group of engines.

    Attributes:
        request_id: Id of the request.
        members: The target, or the engines of the group.
        priority: Scheduling priority at the engine, higher first.
        cached_tokens: Prompt tokens expected in the engine's prefix cache.
    """

    request_id: str
    members: tuple[GroupMember, ...]
    priority: int
    cached_tokens: int


class Queued(NamedTuple):
    """The pool's owner has queued the request."""

    request_id: str


class Declined(NamedTuple):
    """The pool's owner refuses the request, which did not run.

    Attributes:
        request_id: Id of the request.
        reason: Value of a verdict.Reason.
        message: One line that explains the refusal to people.
        retry_after_seconds: Time to wait before a retry; 0 where a repeat of
            the same request cannot succeed.
    """

    request_id: str
    reason: str
    message: str
    retry_after_seconds: float


class Redirected(NamedTuple):
    """Redirects a request to another pool that is expected to answer sooner."""

    request_id: str
    zone: str
    shard: int


class Started(NamedTuple):
    """The first token of a granted request has arrived."""

    request_id: str


class Released(NamedTuple):
    """A granted request has ended.

    Attributes:
        request_id: Id of the request.
        target: Name of the first member of the grant.
        outcome: 0 completed, 1 target failed, 2 cancelled, 3 target declined,
            4 target is shutting down.
        output_tokens: Number of tokens produced.
    """

    request_id: str
    target: str
    outcome: int
    output_tokens: int


class Withdraw(NamedTuple):
    """Withdraws a request from the owner of a pool.

    Sent when the caller has disconnected, the deadline has passed or another
    owner is asked instead.
    """

    request_id: str


class PoolSummary(NamedTuple):
    """The load of a pool, for the owners of the same model's other pools.

    Attributes:
        serves: Name of the model or service.
        zone: Availability zone of the pool.
        shard: Shard of the pool.
        targets: Number of targets that accept requests.
        short_wait_ms: Expected wait of a short request.
        long_wait_ms: Expected wait of a request with a long prompt.
        free_tokens: Free KV tokens on all targets together.
    """

    serves: str
    zone: str
    shard: int
    targets: int
    short_wait_ms: int
    long_wait_ms: int
    free_tokens: int


class LimitAsk(NamedTuple):
    """Asks the coordinator of an organisation's limit to admit a request.

    The coordinator of a limit is the instance of a zone that enforces it there.
    """

    request_id: str
    organisation: str
    tokens: int


class LimitAnswer(NamedTuple):
    """Answers a LimitAsk: whether to admit the request, else when to retry."""

    request_id: str
    is_allowed: bool
    retry_after_seconds: float


class Claim(NamedTuple):
    """One zone's claim on a share of an organisation's rate limit.

    Attributes:
        organisation: Name of the organisation.
        effective: Fraction of the limit that the zone applies now.
        wanted: Fraction of the limit that the zone is going to apply.
        demand: Recent demand in the zone, as a fraction of the limit.
        sequence: Sequence number of the sender's newest announcement.
        seen: Highest sequence number received from the receiver.
    """

    organisation: str
    effective: float
    wanted: float
    demand: float
    sequence: int
    seen: int


class ZoneClaims(NamedTuple):
    """Claims that a limit coordinator sends to the one in another zone."""

    zone: str
    claims: tuple[Claim, ...]


class HoldingsQuery(NamedTuple):
    """Asks the holder of reservations on a target which it still claims."""

    target: str
    reservation_ids: tuple[str, ...]


class HoldingsClaimed(NamedTuple):
    """Answers a HoldingsQuery.

    Attributes:
        target: Name of the target.
        asked: Reservation ids of the query.
        claimed: Those among them that the holder still claims.
    """

    target: str
    asked: tuple[str, ...]
    claimed: tuple[str, ...]


class ConfigRequest(NamedTuple):
    """Requests the head of the receiver's configuration."""


class ConfigHead(NamedTuple):
    """The compressed head of the configuration in force at the sender."""

    generation: int
    head: bytes


class PartRequest(NamedTuple):
    """Requests parts of the receiver's configuration by name."""

    names: tuple[str, ...]


class Part(NamedTuple):
    """One compressed part of a configuration."""

    name: str
    content: bytes


class AttemptReport(NamedTuple):
    """An attempt in progress; see core.fleet_load.Attempt for most fields.

    Times are relative to the moment of sending, since clocks differ.

    Attributes:
        prefill_left_ms: Predicted time until the prefill ends.
        age_ms: Time since the attempt was placed.
    """

    key: str
    targets: tuple[str, ...]
    memory: tuple[int, ...]
    gap_goal_ms: float
    weight: float
    prefill_left_ms: float
    is_decoding: bool
    age_ms: float


class AttemptOutcome(NamedTuple):
    """How a target did in an attempt that ended.

    Attributes:
        target: Name of the target that succeeded or failed.
        is_success: Whether the target completed the request.
        is_silent: Whether the target sent no response at all.
    """

    target: str
    is_success: bool
    is_silent: bool


class LoadUpdate(NamedTuple):
    """Changes of the attempts of an instance.

    Attributes:
        sender: Name of the instance.
        puts: Attempts that are new or changed.
        drops: Keys of attempts that ended.
        outcomes: Results of the attempts that ended.
    """

    sender: str
    puts: tuple[AttemptReport, ...]
    drops: tuple[str, ...]
    outcomes: tuple[AttemptOutcome, ...]


class LoadSnapshot(NamedTuple):
    """All attempts of an instance; corrects the effects of lost updates."""

    sender: str
    attempts: tuple[AttemptReport, ...]


class Standing(NamedTuple):
    """An instance's processing power and its knowledge of the fleet.

    Attributes:
        cores: Processing power of the machine, in cores; negative while the
            instance shuts down.
        zone_size: Largest number of live instances known in its zone.
        fleet_size: Largest number of live instances known in the fleet.
        coordinators: Addresses of the coordinators of its zone.
    """

    cores: float
    zone_size: int
    fleet_size: int
    coordinators: tuple[str, ...]


class FleetHeartbeat(NamedTuple):
    """A heartbeat of an instance, which the receiver answers.

    Attributes:
        sender: Name of the instance.
        availability_zone: Availability zone of the instance.
        incarnation: Raised at each start of the instance.
        nonce: Repeated in the answer.
        version: Version of the configuration known to the instance.
        target_digest: Digest of the targets known to the instance.
        is_watcher: Whether the instance watches the store for its zone.
        has_store: Whether the instance can reach the store.
        left: Name and start time, in Unix milliseconds, of each target that
            left recently.
        addresses: Addresses of some live peers, for peer discovery.
        standing: The sender's processing power and knowledge of the fleet.
        evacuations: The evacuated zones known to the instance.
    """

    sender: str
    availability_zone: str
    incarnation: int
    nonce: int
    version: int
    target_digest: int
    is_watcher: bool
    has_store: bool
    left: tuple[tuple[str, int], ...]
    addresses: tuple[str, ...]
    standing: Standing
    evacuations: evacuation.EvacuationState = evacuation.UNKNOWN_STATE


class FleetHeartbeatAnswer(NamedTuple):
    """The answer to a FleetHeartbeat.

    Attributes:
        sender: Name of the answering instance.
        availability_zone: Availability zone of the answering instance.
        incarnation: Raised at each start of the answering instance.
        nonce: The nonce of the heartbeat.
        version: Version of the configuration known to the instance.
        proof_age_ms: Time since that version was proven to be the newest; -1
            where unknown.
        addresses: Addresses of some live peers; first, the coordinators of the
            receiver's zone as far as the sender knows them.
        standing: The sender's processing power and knowledge of the fleet.
        targets_position: Era and revision of the store that the targets known
            to the instance reflect.
        targets_age_ms: Time since these were known to be all changes of
            targets; -1 where unknown.
        evacuations: The evacuated zones known to the instance.
    """

    sender: str
    availability_zone: str
    incarnation: int
    nonce: int
    version: int
    proof_age_ms: float
    addresses: tuple[str, ...]
    standing: Standing
    targets_position: tuple[int, int] = (-1, -1)
    targets_age_ms: float = -1.0
    evacuations: evacuation.EvacuationState = evacuation.UNKNOWN_STATE


class EvacuationNews(NamedTuple):
    """A change of the evacuated zones.

    Attributes:
        sender: Name of the instance.
        state: The evacuated zones known to the instance.
    """

    sender: str
    state: evacuation.EvacuationState


class FleetNews(NamedTuple):
    """Changes that a watcher of the store passes to its peers.

    Attributes:
        sender: Name of the watcher.
        version: Version of the configuration known to the watcher.
        entries: Entries of targets that changed or were removed.
        position: Era and revision of the store that the changes lead to.
    """

    sender: str
    version: int
    entries: tuple[store_views.EntryStatement, ...]
    position: tuple[int, int]


class CrashReport(NamedTuple):
    """A crash of an engine; see core.quarantine.crash_evidence.EngineCrash.

    Attributes:
        age_ms: Time since the crash.
    """

    target: str
    born: int
    traits: tuple[str, ...]
    has_begun: bool
    has_ended: bool
    age_ms: float


class SurvivalReport(NamedTuple):
    """An engine that lived on after it had ended a connection.

    Attributes:
        target: Name of the engine.
        born: Start time of the engine, in Unix milliseconds.
        age_ms: Time since that was seen.
    """

    target: str
    born: int
    age_ms: float


class QuarantineReport(NamedTuple):
    """A quarantined combination of traits of requests.

    Attributes:
        traits: The traits; see core.request_quarantine.
        left_ms: Remaining duration of the quarantine.
        trials: Number of trials that have begun.
        failed: Number of crashes since the quarantine began.
        next_trial_ms: Time until the next trial; -1 if there is none.
    """

    traits: tuple[str, ...]
    left_ms: float
    trials: int
    failed: int
    next_trial_ms: float


class QuarantineNews(NamedTuple):
    """What an instance knows of requests that crash engines.

    Attributes:
        sender: Name of the instance.
        crashes: Crashes of engines right after the start of a response.
        quarantines: Combinations that are quarantined.
        released: Combinations that an engine has written an answer on.
        survivals: Engines that lived on after they had ended a connection.
    """

    sender: str
    crashes: tuple[CrashReport, ...]
    quarantines: tuple[QuarantineReport, ...]
    released: tuple[tuple[str, ...], ...]
    survivals: tuple[SurvivalReport, ...]


class LimitReport(NamedTuple):
    """What a target has stated of its limit.

    Attributes:
        target: Name of the target.
        born: Start time of the target in Unix milliseconds.
        requests_per_second: The limit; None if there is none any more.
        age_ms: Time since the target has stated it.
    """

    target: str
    born: int
    requests_per_second: float | None
    age_ms: float


class LimitNews(NamedTuple):
    """What an instance knows of the limits of targets."""

    sender: str
    reports: tuple[LimitReport, ...]


class PermitQuery(NamedTuple):
    """Asks for a permit to send one request to a target with a limit.

    Attributes:
        key: Id of the attempt, unique in the deployment.
        target: Name of the target.
        born: Start time of the target in Unix milliseconds.
        availability_zone: Availability zone of the target.
        requests_per_second: The limit; None if it has just ended.
        age_ms: Time since the target has stated it; -1 if it never has.
        asker: IP address of the instance that gets the answer; "" for the
            sender.
        cold_per_second: How many requests a second the target takes while it is
            cold; 0 if it is not, as far as the sender knows.
    """

    key: str
    target: str
    born: int
    availability_zone: str
    requests_per_second: float | None
    age_ms: float
    asker: str
    cold_per_second: float = 0.0


class PermitAnswer(NamedTuple):
    """The answer to a PermitQuery.

    Attributes:
        key: Id of the attempt.
        target: Name of the target.
        wait_seconds: Time until a permit is due; 0 if one is issued.
    """

    key: str
    target: str
    wait_seconds: float


class ColdReport(NamedTuple):
    """What is known of a target that is cold, or was so until lately.

    Attributes:
        target: Name of the target.
        born: Start time of the target in Unix milliseconds.
        order: Era and revision of the entry that states it; both -1 if the
            target itself has stated it.
        left_ms: For how long the target stays cold.
    """

    target: str
    born: int
    order: store_views.Position
    left_ms: float


class ColdNews(NamedTuple):
    """What an instance knows of cold targets."""

    sender: str
    reports: tuple[ColdReport, ...]


class RetryLoanQuery(NamedTuple):
    """Asks a peer for retries, as the sender has just started.

    Attributes:
        sender: Name of the instance.
    """

    sender: str


class RetryLoan(NamedTuple):
    """Retries that an instance leaves to a peer that has just started.

    Attributes:
        sender: Name of the lender.
        fleet_size: Number of instances among which it divides the retries.
        retries: Names of services, with the number of retries for each.
    """

    sender: str
    fleet_size: int
    retries: tuple[tuple[str, float], ...]


class Forwarded(NamedTuple):
    """An encoded message to forward to all instances of the receiver's zone."""

    content: bytes


class Batch(NamedTuple):
    """Encoded messages from other zones, forwarded together."""

    contents: tuple[bytes, ...]


class PlacementQuery(NamedTuple):
    """Asks a coordinator to choose targets for a request.

    Attributes:
        sender: Name of the instance that will send the request.
        key: Id of the attempt, unique in the deployment.
        service: Name of the service.
        prompt_tokens: Length of the prompt; 0 if unknown.
        output_tokens: Maximum number of output tokens.
        goal_ms: Goal for the time from arrival to the first event.
        gap_goal_ms: Goal for the longest gap between events; 0 for none.
        elapsed_ms: Time since the request arrived.
        tried: Names of the targets of earlier attempts.
        allowed_regions: Regions whose targets may get the request; None for
            all.
    """

    sender: str
    key: str
    service: str
    prompt_tokens: int
    output_tokens: int
    goal_ms: float
    gap_goal_ms: float
    elapsed_ms: float
    tried: tuple[str, ...]
    allowed_regions: tuple[str, ...] | None = None


class PlacementAnswer(NamedTuple):
    """The answer to a PlacementQuery.

    Attributes:
        sender: Name of the coordinator.
        key: Id of the attempt.
        targets: The target that answers the request, and its helpers; empty if
            the request was not placed.
        memory: KV cache tokens kept by each of the targets.
        first_token_ms: Predicted time to the first token; 0 if unknown.
        cost: Cost of the choice.
        candidates: Number of targets that were considered.
        reason: Why the request was not placed, a value of `verdict.Reason`; ""
            if it was placed.
        detail: Why the request was not placed, in words.
        retry_after_seconds: When the request may be placed.
        permits: Names of the targets with a limit for which the request has a
            permit.
    """

    sender: str
    key: str
    targets: tuple[targets.Target, ...]
    memory: tuple[int, ...]
    first_token_ms: float
    cost: float
    candidates: int
    reason: str
    detail: str
    retry_after_seconds: float
    permits: tuple[str, ...] = ()


_MESSAGE_TYPES: tuple[type, ...] = (
    Ping,
    Ack,
    Members,
    TargetListRequest,
    TargetList,
    TargetGone,
    Acquire,
    Granted,
    Queued,
    Declined,
    Redirected,
    Started,
    Released,
    Withdraw,
    PoolSummary,
    LimitAsk,
    LimitAnswer,
    ZoneClaims,
    HoldingsQuery,
    HoldingsClaimed,
    ConfigRequest,
    ConfigHead,
    PartRequest,
    Part,
    Misplaced,
    LoadUpdate,
    LoadSnapshot,
    FleetHeartbeat,
    FleetHeartbeatAnswer,
    FleetNews,
    Forwarded,
    Batch,
    PlacementQuery,
    PlacementAnswer,
    QuarantineNews,
    LimitNews,
    PermitQuery,
    PermitAnswer,
    RetryLoanQuery,
    RetryLoan,
    EvacuationNews,
    ColdNews,
)
_TAG_OF_TYPE = {kind: tag for tag, kind in enumerate(_MESSAGE_TYPES)}

Message = NamedTuple


def encode(message: Message) -> bytes:
    """Encodes a message in msgpack, without the length prefix of a frame."""
    return msgpack.packb((_TAG_OF_TYPE[type(message)], *message))


def decode(frame: bytes) -> Message:
    """Decodes the content of one frame.

    Raises:
        errors.FrameError: The frame is too long or not a valid message.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.FrameError(f"frame of {len(frame)} bytes is too long")
    try:
        fields: Any = msgpack.unpackb(frame, use_list=True)
    except Exception as error:  # pylint: disable=broad-exception-caught
        # msgpack raises exceptions of many types for malformed input.
        raise errors.FrameError(f"invalid msgpack: {error}") from error
    if not isinstance(fields, list) or not fields:
        raise errors.FrameError(
            "a message must be a list that begins with a tag"
        )
    tag = fields[0]
    if type(tag) is not int or not 0 <= tag < len(_MESSAGE_TYPES):  # pylint: disable=unidiomatic-typecheck
        raise errors.FrameError(f"unknown message tag {str(tag)[:20]}")
    try:
        return msgspec.convert(fields[1:], _MESSAGE_TYPES[tag])
    except (msgspec.ValidationError, RecursionError) as error:
        name = _MESSAGE_TYPES[tag].__name__
        raise errors.FrameError(f"{name}: {error}") from error
