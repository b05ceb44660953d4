"""Messages between instances as UDP datagrams."""

import logging
import socket
import threading
from typing import Callable

from catkintrail import errors
from catkintrail import messages

__all__ = ["DatagramPort"]

_LOG = logging.getLogger("catkintrail.peers")

MAX_DATAGRAM_BYTES = 60_000
RECEIVE_POLL_SECONDS = 1.0


class DatagramPort:
    """Sends and receives messages; loses some.

    Attributes:
        sent_bytes: Bytes of payload sent.
        dropped: Messages that could not be sent or read.
    """

    def __init__(
        self,
        address: str,
        port: int,
        receive: Callable[[str, messages.Message], None],
    ) -> None:
        self.sent_bytes = 0
        self.dropped = 0
        self._port = port
        self._receive = receive
        self._is_stopped = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind((address, port))
        except OSError as error:
            self._socket.close()
            raise errors.StartError(
                f"port {port} for peers: {error}"
            ) from error
        self._socket.settimeout(RECEIVE_POLL_SECONDS)

    def start(self) -> None:
        """Starts to receive in a thread."""
        threading.Thread(
            target=self._run, name="datagrams", daemon=True
        ).start()

    def stop(self) -> None:
        """Stops within RECEIVE_POLL_SECONDS."""
        self._is_stopped = True

    def send(self, addresses: list[str], message: messages.Message) -> None:
        """Sends a message to the same port of some instances."""
        if not addresses:
            return
        data = messages.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._drop("too_long", f"{len(data)} bytes")
            return
        for address in addresses:
            try:
                self._socket.sendto(data, (address, self._port))
                self.sent_bytes += len(data)
            except OSError as error:
                self._drop("not_sent", str(error))

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                data, (address, _) = self._socket.recvfrom(1 << 16)
            except TimeoutError:
                continue
            except OSError as error:
                # An earlier datagram found no listener.
                self._drop("not_received", str(error))
                continue
            try:
                message = messages.decode(data)
            except errors.FrameError as error:
                self._drop("unreadable", str(error))
                continue
            self._receive(address, message)

    def _drop(self, cause: str, reason: str) -> None:
        self.dropped += 1
        _LOG.info("datagram_dropped", extra={"cause": cause, "reason": reason})
