"""Finds out whether the processes that made an answer still run.

The end of a connection does not tell a process that has finished an answer from
one that has ended: the kernel closes the connections of both.
"""

from concurrent import futures
import json
import select
import socket
import time
from typing import Any, NamedTuple, Sequence

import urllib3

from catkintrail.adapters import bounded_http
from catkintrail.adapters import peer_tunnels
from catkintrail.adapters import sockets
from catkintrail.adapters import target_connector
from catkintrail.core import targets as target_records
from catkintrail.platform import wire

__all__ = ["Doubt", "Participant", "find_doubt"]

REPORT_PATH = "/api/report"
# How long a connection has to stay open that a target has accepted.
OPEN_SECONDS = 0.02
RETRY_SECONDS = 0.1
# A target at the limit of its connections closes new ones for a moment; a
# listener that is not the target's own may close them for good.
CLOSED = "closes connections"


class Participant(NamedTuple):
    """A target that took part in an answer.

    Attributes:
        target: The target.
        has_report: Whether it may be asked for its report; otherwise it only
            has to accept a connection.
        is_helper: Whether it prefilled a part of the prompt for another one.
        reservation: Id of the reservation of its memory; "" if there is none.
    """

    target: target_records.Target
    has_report: bool
    is_helper: bool = False
    reservation: str = ""


class Doubt(NamedTuple):
    """Why an answer may have been cut.

    Attributes:
        participant: The target that ended, or lost the memory of the answer.
        reason: What was found.
        is_certain: Whether the target has surely ended.
    """

    participant: Participant
    reason: str
    is_certain: bool


def find_doubt(
    connector: target_connector.TargetConnector,
    participants: Sequence[Participant],
    carrier_zones: frozenset[str] | None,
    started_ms: int,
    wait_seconds: float,
) -> Doubt | None:
    """Looks for a target that may have ended while it made an answer.

    A target that is silent, or cannot be reached by this instance, may be
    sound. Helpers that cannot be reached are a reason to doubt: the answer ends
    early if an engine loses them.

    Args:
        connector: Opens connections.
        participants: The targets, which are asked at the same time.
        carrier_zones: Zones of the peers that may carry the connections; None
            for all.
        started_ms: Time of the request, in Unix milliseconds.
        wait_seconds: The longest wait.
    """

    def check(participant: Participant) -> str:
        def connect(_address: str, timeout_seconds: float) -> socket.socket:
            return connector.connect(
                participant.target, timeout_seconds, carrier_zones
            )

        end = time.monotonic() + wait_seconds
        while True:
            if participant.has_report:
                reason = _ask(
                    connector, participant, connect, started_ms, wait_seconds
                )
            else:
                reason = _connect(connector, participant, connect, wait_seconds)
            if reason != CLOSED or time.monotonic() + RETRY_SECONDS >= end:
                return reason
            time.sleep(RETRY_SECONDS)

    if len(participants) < 2:
        reasons = [check(participant) for participant in participants]
    else:
        with futures.ThreadPoolExecutor(len(participants)) as pool:
            reasons = list(pool.map(check, participants))
    for participant, reason in zip(participants, reasons):
        if reason:
            return Doubt(
                participant,
                f"{participant.target.name} {reason}",
                reason != CLOSED,
            )
    return None


def _connect(
    connector: target_connector.TargetConnector,
    participant: Participant,
    connect: bounded_http.OpenSocket,
    wait_seconds: float,
) -> str:
    try:
        with connect(participant.target.address, wait_seconds) as connection:
            time.sleep(OPEN_SECONDS)
            if sockets.has_event(connection, select.POLLIN):
                return CLOSED
    except (OSError, ValueError) as error:
        return _judge_failure(connector, participant, error)
    return ""


def _judge_failure(
    connector: target_connector.TargetConnector,
    participant: Participant,
    error: BaseException | None,
) -> str:
    """Returns what a failed connection says of a target; "" for nothing."""
    target = participant.target
    if isinstance(error, peer_tunnels.TargetNotReachedError):
        return "is not reached by peers either"
    if (
        isinstance(error, ConnectionRefusedError)
        and not connector.prefers_peer(target)
        and not connector.is_cut_off()
    ):
        return "refuses connections"
    if participant.is_helper and isinstance(error, TimeoutError):
        return "does not respond"
    return ""


def _ask(
    connector: target_connector.TargetConnector,
    participant: Participant,
    connect: bounded_http.OpenSocket,
    started_ms: int,
    wait_seconds: float,
) -> str:
    target = participant.target
    http = bounded_http.make_pool_manager(1, connect)
    try:
        response = http.request(
            "GET",
            f"http://{target.address}{REPORT_PATH}",
            headers={"Expect-Instance": target.name, "Connection": "close"},
            timeout=urllib3.Timeout(connect=wait_seconds, read=wait_seconds),
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        return _judge_failure(connector, participant, error.__cause__)
    except urllib3.exceptions.ReadTimeoutError:
        return ""
    except (urllib3.exceptions.HTTPError, OSError):
        return CLOSED
    finally:
        http.clear()
    name = response.headers.get(wire.INSTANCE_ID, target.name)
    if response.status == 421 or name != target.name:
        return "has been replaced at its address"
    if _is_cut(response):
        return CLOSED
    return _read_report(response.data, participant, started_ms)


def _is_cut(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether a report that ends with its connection is not whole."""
    is_framed = (
        "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
    )
    if is_framed or response.status != 200:
        return False
    try:
        json.loads(response.data)
    except (ValueError, RecursionError):
        return True
    return False


def _read_report(data: bytes, participant: Participant, started_ms: int) -> str:
    """Returns what a report says against its target; "" for nothing."""
    try:
        report: Any = json.loads(data)
        born = report.get("born")
        tickets = report.get("tickets")
        if participant.reservation and isinstance(tickets, list):
            if participant.reservation not in [t["id"] for t in tickets]:
                return "has lost the reservation"
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return ""
    # The entry of a target may be older than its process.
    if isinstance(born, int) and born > max(
        started_ms, participant.target.born
    ):
        return "was started again"
    return ""
