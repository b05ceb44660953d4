"""Crowds of callers that do not keep to the protocol, over loopback."""

import itertools
import os
import selectors
import socket
import time

# A crowd without end stops here, so that the machine is safe.
MAX_CROWD_BYTES = 256 << 20
CROWD_SECONDS = 6.0
PIECES_PER_TURN = 4
BLOCK = b"x" * (64 << 10)


class Crowd:
    """Connections that send bytes and do not read unless told to.

    Attributes:
        count: Number of connections.
        ended: Number of connections that the server has closed or answered.
        sent_bytes: Bytes that the kernel has taken.
        received: What was read; answers are not read by slow readers.
    """

    def __init__(self, address, is_reading=True):
        self.count = 0
        self.ended = 0
        self.sent_bytes = 0
        self.received = []
        self._address = address
        self._is_reading = is_reading
        self._selector = selectors.DefaultSelector()
        self._sockets = []

    def add(self, count, start, block=b"", repeats=0, receive_bytes=0):
        """Connects callers.

        Args:
            count: Number of connections.
            start: What each sends first.
            block: What it then repeats.
            repeats: How often; None for ever.
            receive_bytes: Size of the receive buffer; 0 for the default.
        """
        self.count += count
        for _ in range(count):
            caller = socket.socket()
            self._sockets.append(caller)
            if receive_bytes:
                caller.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            caller.settimeout(5.0)
            caller.connect(self._address)
            caller.setblocking(False)
            repeated = (
                itertools.repeat(block)
                if repeats is None
                else itertools.repeat(block, repeats)
            )
            pieces = itertools.chain([start], repeated)
            # Two lists: what the kernel did not take, and the pieces to come.
            events = selectors.EVENT_WRITE
            if self._is_reading:
                events |= selectors.EVENT_READ
            self._selector.register(caller, events, [b"", pieces])
        return self

    def run(self):
        """Sends until all is sent or refused, or the limits are reached."""
        end = time.monotonic() + CROWD_SECONDS
        while (
            time.monotonic() < end
            and self.sent_bytes < MAX_CROWD_BYTES
            and self._has_more_to_send()
        ):
            for key, events in self._selector.select(0.1):
                if events & selectors.EVENT_READ:
                    self._read(key.fileobj)
                elif events & selectors.EVENT_WRITE:
                    self._write(key)
        return self

    def read_ends(self, seconds):
        """Reads until all connections have ended, for some time at most."""
        for key in list(self._selector.get_map().values()):
            self._selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
        end = time.monotonic() + seconds
        while time.monotonic() < end and self._selector.get_map():
            for key, _ in self._selector.select(0.1):
                self._read(key.fileobj)
        return self

    def close(self):
        for caller in self._sockets:
            caller.close()
        self._selector.close()

    def _has_more_to_send(self):
        return any(
            key.events & selectors.EVENT_WRITE
            for key in self._selector.get_map().values()
        )

    def _end(self, caller):
        self.ended += 1
        self._selector.unregister(caller)

    def _read(self, caller):
        try:
            data = caller.recv(65536)
        except OSError:
            data = b""
        self.received.append(data[:64])
        self._end(caller)

    def _write(self, key):
        unsent, pieces = key.data
        try:
            for _ in range(PIECES_PER_TURN):
                unsent = unsent or next(pieces, b"")
                if not unsent:
                    self._finish(key)
                    return
                sent = key.fileobj.send(unsent)
                self.sent_bytes += sent
                unsent = memoryview(unsent)[sent:]
        except BlockingIOError:
            pass
        except OSError:
            self._end(key.fileobj)
            return
        key.data[0] = unsent

    def _finish(self, key):
        """Leaves a connection open that has sent all its bytes."""
        if self._is_reading:
            self._selector.modify(
                key.fileobj, selectors.EVENT_READ, [b"", iter(())]
            )
        else:
            self._selector.unregister(key.fileobj)


def read_figures(pid):
    """Returns peak and present memory in MB, and open descriptors."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        lines = dict(line.split(":", 1) for line in file)
    megabytes = [int(lines[n].split()[0]) / 1024 for n in ("VmHWM", "VmRSS")]
    return (*megabytes, len(os.listdir(f"/proc/{pid}/fd")))
