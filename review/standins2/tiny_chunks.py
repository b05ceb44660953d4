"""Callers that send chunked bodies in very small chunks, and stay."""

import multiprocessing
import socket
import time

import harness

__all__ = ["start"]

PROCESSES = 2
PIECE_BYTES = 4_096
PIECE_SECONDS = 0.4
# Chunks of one and of two bytes; far below max-body-bytes.
CHUNKS = b"1\r\nx\r\n2\r\nxx\r\n" * 20_000
HEAD = (
    f"POST /boka/a HTTP/1.1\r\nHost: {harness.HOST}\r\nAttempt-Id: crowd\r\n"
    f"Authorization: Token {harness.KEY}\r\nDeadline-Ms: 10000\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()


def start(address, count, seconds):
    """Starts the callers; returns their processes.

    Together they send 4 KB each 0.4 s and caller: 1,500 callers send 123
    Mbit/s. A caller whose connection is closed opens another one.

    Args:
        address: Address and port of the instance.
        count: Number of callers.
        seconds: How long they send and stay.
    """
    processes = []
    for _ in range(PROCESSES):
        process = multiprocessing.Process(
            target=_run, args=(address, count // PROCESSES, seconds)
        )
        process.start()
        processes.append(process)
    return processes


def _run(address, count, seconds):
    ends_at = time.monotonic() + seconds
    unsent = {}
    for _ in range(count):
        _connect(address, unsent)
    while time.monotonic() < ends_at:
        started = time.monotonic()
        for caller, data in list(unsent.items()):
            try:
                unsent[caller] = data[caller.send(data[:PIECE_BYTES]) :]
            except BlockingIOError:
                continue
            except OSError:
                caller.close()
                del unsent[caller]
                _connect(address, unsent)
        time.sleep(max(0.0, started + PIECE_SECONDS - time.monotonic()))
    for caller in unsent:
        caller.close()


def _connect(address, unsent):
    caller = socket.socket()
    caller.settimeout(3.0)
    try:
        caller.connect(address)
    except OSError:
        caller.close()
        return
    caller.setblocking(False)
    unsent[caller] = memoryview(HEAD + CHUNKS)
