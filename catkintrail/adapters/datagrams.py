"""Messages between instances over UDP."""

import logging
import socket
import threading
import time
from typing import Callable

from catkintrail import errors
from catkintrail import messages
from catkintrail.adapters import log_limits

__all__ = ["DatagramTransport"]

_LOG = logging.getLogger("catkintrail.peers")

MAX_DATAGRAM_BYTES = 60_000
RECEIVE_POLL_SECONDS = 1.0


class DatagramTransport:
    """Sends and receives messages; delivery is not guaranteed.

    Attributes:
        sent_bytes: Payload bytes sent.
        dropped: Number of messages that could not be sent, received or
            decoded.
    """

    def __init__(
        self,
        address: str,
        port: int,
        on_message: Callable[[str, messages.Message], None],
    ) -> None:
        self.sent_bytes = 0
        self.dropped = 0
        self._port = port
        self._on_message = on_message
        self._is_stopped = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind((address, port))
        except OSError as error:
            self._socket.close()
            raise errors.StartError(
                f"cannot bind UDP port {port} for peers: {error}"
            ) from error
        self._socket.settimeout(RECEIVE_POLL_SECONDS)
        # Anyone can send datagrams that are no messages.
        self._limited_log = log_limits.LimitedLog(_LOG, time.monotonic)

    def start(self) -> None:
        """Starts the thread that receives messages."""
        threading.Thread(
            target=self._run, name="datagrams", daemon=True
        ).start()

    def stop(self) -> None:
        """Stops the thread within RECEIVE_POLL_SECONDS."""
        self._is_stopped = True

    def send(self, addresses: list[str], message: messages.Message) -> None:
        """Sends a message to instances, at the port that this one uses.

        A message longer than MAX_DATAGRAM_BYTES is dropped.

        Args:
            addresses: IP addresses of the instances.
            message: The message.
        """
        if not addresses:
            return
        data = messages.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._record_drop("too_long", f"{len(data)} bytes")
            return
        for address in addresses:
            try:
                self._socket.sendto(data, (address, self._port))
                self.sent_bytes += len(data)
            except OSError as error:
                self._record_drop("not_sent", str(error))

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                data, (address, _) = self._socket.recvfrom(1 << 16)
            except TimeoutError:
                continue
            except OSError as error:
                # No socket listened at the destination of an earlier datagram.
                self._record_drop("not_received", str(error))
                continue
            try:
                message = messages.decode(data)
            except errors.FrameError as error:
                self._record_drop("unreadable", str(error))
                continue
            self._on_message(address, message)

    def _record_drop(self, cause: str, reason: str) -> None:
        self.dropped += 1
        self._limited_log.info("datagram_dropped", cause=cause, reason=reason)
