"""Callers that send a head and the begin of a chunked body, and stay."""

import socket

import harness

__all__ = ["connect"]


def connect(address, count, max_header_bytes):
    """Connects callers, until one is refused; returns their sockets.

    Each head is within the limit, and has as many header lines as fit in. A
    first chunk of a kilobyte follows, and nothing more.

    Args:
        address: Address and port of the instance.
        count: Number of callers.
        max_header_bytes: Limit of a head.
    """
    lines = [b"x%x:%d\r\n" % (n, 10 + n % 90) for n in range(4_000)]
    callers = []
    for number in range(count):
        head = (
            f"POST /boka/a HTTP/1.1\r\nHost: {harness.HOST}\r\n"
            f"Attempt-Id: crowd-{number}\r\n"
            f"Authorization: Token {harness.KEY}\r\n"
            "Deadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\n"
        ).encode()
        room = max_header_bytes - len(head) - 64
        fitting = []
        for line in lines:
            room -= len(line)
            if room < 0:
                break
            fitting.append(line)
        data = head + b"".join(fitting) + b"\r\n400\r\n" + b"x" * 1024
        try:
            caller = socket.create_connection(address, 5.0)
            callers.append(caller)
            caller.sendall(data + b"\r\n")
        except OSError:
            # The instance may refuse callers; the case sees whether it lives.
            break
    return callers
