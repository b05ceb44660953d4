"""Client for engines' order API, which reserves memory."""

import socket
import threading

import msgspec
import urllib3

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import bounded_http
from catkintrail.adapters import target_connector
from catkintrail.core import targets as target_records
from catkintrail.platform import wire
from catkintrail.ports import relaying

__all__ = ["ReservationClient"]

ORDER_PATH = "/api/order"
# Engines respond to orders within a few milliseconds, or not at all.
RESPONSE_TIMEOUT_SECONDS = 0.3
CONNECT_TIMEOUT_SECONDS = 0.3
MAX_POOLS = 64
MAX_TARGETS = 256


class ReservationClient:
    """Reserves and releases memory on engines.

    Attributes:
        record_statement: Records what a response states of its target.
        order_count: Number of orders sent.
        http: Pool of connections to engines.
    """

    def __init__(
        self,
        record_statement: relaying.StatementRecorder,
        connector: target_connector.TargetConnector,
    ) -> None:
        self.record_statement = record_statement
        self.order_count = 0
        self.http = bounded_http.make_pool_manager(MAX_POOLS, self._connect)
        self._connector = connector
        # Targets that orders are sent to, by address.
        self._targets: dict[str, target_records.Target] = {}
        self._lock = threading.Lock()

    def reserve(
        self,
        target: target_records.Target,
        reservation: str,
        tokens: int,
        lease_seconds: float,
    ) -> None:
        """Reserves memory, or renews a reservation.

        Args:
            target: The engine.
            reservation: Id of the reservation.
            tokens: Memory to reserve, in tokens.
            lease_seconds: How long the engine holds the reservation if it is
                not renewed.

        Raises:
            errors.TargetError: The engine rejected the order, for example for
                lack of free memory, or could not be reached (`NOT_RUN`); or it
                failed or did not respond (`MAY_HAVE_RUN`).
        """
        order = {
            "op": "reserve",
            "id": reservation,
            "tokens": tokens,
            # The engine counts this time from the arrival of the order.
            "hold-ms": int(lease_seconds * 1000),
        }
        self._send_order(target, order)

    def release(self, target: target_records.Target, reservation: str) -> None:
        """Ends a reservation; an unknown id is not an error.

        Raises:
            errors.TargetError: As in `reserve`.
        """
        self._send_order(target, {"op": "release", "id": reservation})

    def register_target(self, target: target_records.Target) -> None:
        """Makes a target known by its address."""
        with self._lock:
            self._targets.pop(target.address, None)
            self._targets[target.address] = target
            if len(self._targets) > MAX_TARGETS:
                del self._targets[next(iter(self._targets))]

    def find_target(self, address: str) -> target_records.Target | None:
        """Returns the target of the newest order to an address."""
        with self._lock:
            return self._targets.get(address)

    def _connect(self, address: str, timeout_seconds: float) -> socket.socket:
        target = self.find_target(address)
        if target is None:
            raise ConnectionError(f"no target is known at {address}")
        return self._connector.connect(target, timeout_seconds)

    def _send_order(self, target: target_records.Target, order: dict) -> None:
        self.order_count += 1
        self.register_target(target)
        try:
            response = self.http.request(
                "POST",
                f"http://{target.address}{ORDER_PATH}",
                body=msgspec.json.encode(order),
                headers={
                    "Content-Type": "application/json",
                    "Expect-Instance": target.name,
                },
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS,
                    read=RESPONSE_TIMEOUT_SECONDS,
                ),
            )
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
        ) as error:
            raise errors.TargetError(
                f"{target.address}: {error}",
                verdicts.Verdict.NOT_RUN,
                is_silent=True,
            ) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.TargetError(
                f"{target.address}: {error}",
                verdicts.Verdict.MAY_HAVE_RUN,
                is_silent=True,
            ) from error
        statement = wire.decode_statement(response.status, response.headers)
        # The pause and the end of a limit are stated to requests only.
        statement = statement._replace(pause_seconds=None, ends_limit=False)
        self.record_statement(target, statement, 0.0)
        if response.status != 200:
            is_rejection = 400 <= response.status < 500
            raise errors.TargetError(
                f"{target.address}: order failed, status {response.status}",
                (
                    verdicts.Verdict.NOT_RUN
                    if is_rejection
                    else verdicts.Verdict.MAY_HAVE_RUN
                ),
                is_leaving=response.status == 421,
            )
