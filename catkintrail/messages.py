"""Messages between instances, and their codec."""

from typing import Any, NamedTuple

import msgpack
import msgspec

from catkintrail import errors
from catkintrail.core import targets

__all__ = [
    "Batch",
    "Ack",
    "Acquire",
    "AttemptReport",
    "Claim",
    "ConfigHead",
    "ConfigRequest",
    "Declined",
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
    "PoolSummary",
    "Queued",
    "Redirected",
    "Released",
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
    """What one instance knows of another.

    Attributes:
        name: The instance.
        zone: Its availability zone.
        region: The region of that zone.
        address: `IP:port` of its peer port.
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
    """A heartbeat with piggybacked changes of membership."""

    sequence: int
    view_hash: int
    generation: int
    targets_revision: int
    updates: tuple[MemberRecord, ...] = ()


class Ack(NamedTuple):
    """The answer to a Ping."""

    sequence: int
    view_hash: int
    generation: int
    targets_revision: int
    updates: tuple[MemberRecord, ...] = ()


class Members(NamedTuple):
    """A whole view, sent where two views stay different.

    Attributes:
        records: The members.
        reply: Whether the receiver should send its own view back.
    """

    records: tuple[MemberRecord, ...]
    reply: bool


class TargetRecord(NamedTuple):
    """A target in the platform's list.

    Attributes:
        name: The target.
        zone: Its availability zone.
        region: Region of the zone.
        serves: The model or service it serves.
        address: `IP:port`.
        incarnation: Raised at each start.
        leaving: Whether it is being shut down.
    """

    name: str
    zone: str
    region: str
    serves: str
    address: str
    incarnation: int
    leaving: bool


class TargetListRequest(NamedTuple):
    """Asks a peer for its list of targets."""


class TargetList(NamedTuple):
    """The targets of the sender's zone, at a revision of the platform."""

    revision: int
    targets: tuple[TargetRecord, ...]


class TargetGone(NamedTuple):
    """A target was seen to leave."""

    name: str
    incarnation: int


class Misplaced(NamedTuple):
    """An engine has loaded another version than its model's object wants."""

    target: str
    address: str
    serves: str


class Acquire(NamedTuple):
    """Asks a pool's owner for a place on a target.

    Attributes:
        request_id: Unique for the request, the same in repeats.
        serves: The model or service.
        zone: Zone of the pool.
        shard: Shard of the pool.
        organisation: The organisation.
        weight: The organisation's weight.
        prompt_tokens: Length of the prompt; 0 for a service call.
        output_tokens: The most tokens of output.
        blocks: Hashes of the prompt's leading blocks.
        remaining_seconds: Time left until the deadline.
        urgency: Priority asked for by the caller, 0 to 9, higher first.
        first_token_weight: From the route.
        redirects: How often the request was sent on to another pool.
        avoid: Targets on which an attempt failed.
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
    """One target of a group, with the tokens it holds."""

    name: str
    address: str
    tokens: int


class Granted(NamedTuple):
    """A place on a target; more than one member for a group of engines."""

    request_id: str
    members: tuple[GroupMember, ...]
    priority: int
    cached_tokens: int


class Queued(NamedTuple):
    """The owner has the request in its queue."""

    request_id: str


class Declined(NamedTuple):
    """The owner refuses the request; it did not run.

    Attributes:
        request_id: The request.
        reason: A verdict.Reason.
        message: One line for people.
        retry_after_seconds: When to come back; 0 where a repeat of the same
            request cannot succeed.
    """

    request_id: str
    reason: str
    message: str
    retry_after_seconds: float


class Redirected(NamedTuple):
    """Another zone's pool is expected to answer sooner."""

    request_id: str
    zone: str
    shard: int


class Started(NamedTuple):
    """The first token of a granted request has come."""

    request_id: str


class Released(NamedTuple):
    """A granted request has ended.

    Attributes:
        request_id: The request.
        target: The first member of its grant.
        outcome: 0 whole, 1 target failed, 2 cancelled, 3 target declined,
            4 target is leaving.
        output_tokens: Tokens produced.
    """

    request_id: str
    target: str
    outcome: int
    output_tokens: int


class Withdraw(NamedTuple):
    """The caller has gone, or the deadline has passed."""

    request_id: str


class PoolSummary(NamedTuple):
    """What owners of one model's pools tell each other.

    Attributes:
        serves: The model or service.
        zone: Zone of the pool.
        shard: Shard of the pool.
        targets: Targets that take work.
        short_wait_ms: Expected wait of a short request.
        long_wait_ms: Expected wait of a long prompt.
        free_tokens: KV tokens free on all targets.
    """

    serves: str
    zone: str
    shard: int
    targets: int
    short_wait_ms: int
    long_wait_ms: int
    free_tokens: int


class LimitAsk(NamedTuple):
    """Asks the home of an organisation's limit to let a request pass."""

    request_id: str
    organisation: str
    tokens: int


class LimitAnswer(NamedTuple):
    """Whether a request may pass; otherwise when to come back."""

    request_id: str
    is_allowed: bool
    retry_after_seconds: float


class Claim(NamedTuple):
    """One zone's claim on an organisation's rate.

    Attributes:
        organisation: The organisation.
        effective: Fraction of the limit that the zone uses now.
        wanted: Fraction it is about to use.
        demand: Requests a second seen in the zone.
        sequence: Raised with every change of the claim.
        seen: The highest sequence seen from the receiver.
    """

    organisation: str
    effective: float
    wanted: float
    demand: float
    sequence: int
    seen: int


class ZoneClaims(NamedTuple):
    """Claims of one zone's limit home, for another zone's."""

    zone: str
    claims: tuple[Claim, ...]


class HoldingsQuery(NamedTuple):
    """Asks a holder which reservations it still claims."""

    target: str
    reservation_ids: tuple[str, ...]


class HoldingsClaimed(NamedTuple):
    """The reservations that the holder still claims, of those asked for."""

    target: str
    asked: tuple[str, ...]
    claimed: tuple[str, ...]


class ConfigRequest(NamedTuple):
    """Asks a peer for the head of its configuration."""


class ConfigHead(NamedTuple):
    """The head of the configuration in force at the sender, compressed."""

    generation: int
    head: bytes


class PartRequest(NamedTuple):
    """Asks a peer for parts of its configuration."""

    names: tuple[str, ...]


class Part(NamedTuple):
    """One part of a configuration, compressed."""

    name: str
    content: bytes


class AttemptReport(NamedTuple):
    """A request in progress at targets; see core.fleet_load.Attempt.

    Attributes:
        prefill_left_ms: Predicted time until the prefill ends.
        age_ms: Time since it was placed.
    """

    key: str
    targets: tuple[str, ...]
    memory: tuple[int, ...]
    gap_goal_ms: float
    weight: float
    prefill_left_ms: float
    is_decoding: bool
    age_ms: float


class LoadUpdate(NamedTuple):
    """Changes of an instance's attempts.

    Attributes:
        sender: Its name.
        puts: Attempts that are new or changed.
        drops: Keys of attempts that ended.
        faults: Names of targets that failed it.
    """

    sender: str
    puts: tuple[AttemptReport, ...]
    drops: tuple[str, ...]
    faults: tuple[str, ...]


class LoadSnapshot(NamedTuple):
    """All attempts of an instance; repairs what lost updates left behind."""

    sender: str
    attempts: tuple[AttemptReport, ...]


class FleetHeartbeat(NamedTuple):
    """An instance is alive; asks for an answer.

    Attributes:
        sender: Its name.
        availability_zone: Where it runs.
        incarnation: Rises with each start.
        nonce: The answer carries it.
        version: Version of the configuration that it knows.
        target_digest: Digest of the targets that it knows.
        is_watcher: Whether it watches the store for its zone.
        has_store: Whether the store answers it.
        left: Names and starts of targets that left lately.
        addresses: Addresses of some instances that it knows.
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


class FleetHeartbeatAnswer(NamedTuple):
    """Answers a heartbeat.

    Attributes:
        sender: The answering instance's name.
        nonce: That of the heartbeat.
        version: Version of the configuration that it knows.
        proof_age_ms: How long ago that version was surely the newest; -1
            where that is not known.
    """

    sender: str
    availability_zone: str
    incarnation: int
    nonce: int
    version: int
    proof_age_ms: float


class FleetNews(NamedTuple):
    """A watcher learned of something newer.

    Attributes:
        sender: Its name.
        version: Version of the configuration that it knows.
        targets: Entries of targets that changed.
        removed: Names of targets that are gone.
    """

    sender: str
    version: int
    targets: tuple[targets.Target, ...]
    removed: tuple[str, ...]


class Forwarded(NamedTuple):
    """A message to pass on to all instances of the receiver's zone."""

    content: bytes


class Batch(NamedTuple):
    """Messages of other zones."""

    contents: tuple[bytes, ...]


_TYPES: tuple[type, ...] = (
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
)
_TAGS = {kind: tag for tag, kind in enumerate(_TYPES)}

Message = NamedTuple


def encode(message: Message) -> bytes:
    """Encodes a message as msgpack, without its frame length."""
    return msgpack.packb((_TAGS[type(message)], *message))


def decode(frame: bytes) -> Message:
    """Decodes one frame.

    Raises:
        errors.FrameError: The frame is not a message of this protocol.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.FrameError(f"frame of {len(frame)} bytes is too long")
    try:
        fields: Any = msgpack.unpackb(frame, use_list=True)
    except Exception as error:  # pylint: disable=broad-exception-caught
        # The library raises many types for malformed input.
        raise errors.FrameError(f"not msgpack: {error}") from error
    if not isinstance(fields, list) or not fields:
        raise errors.FrameError("a message is a list that starts with its tag")
    tag = fields[0]
    if type(tag) is not int or not 0 <= tag < len(_TYPES):  # pylint: disable=unidiomatic-typecheck
        raise errors.FrameError(f"unknown tag {str(tag)[:20]}")
    try:
        return msgspec.convert(fields[1:], _TYPES[tag])
    except (msgspec.ValidationError, RecursionError) as error:
        name = _TYPES[tag].__name__
        raise errors.FrameError(f"{name}: {error}") from error
