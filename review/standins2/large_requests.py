"""Callers that send whole requests with large chunked bodies at once."""

import socket
import threading
import time

import harness

__all__ = ["start"]


def start(address, sizes):
    """Sends a streaming request for each size; returns the threads.

    The largest are sent first. The callers have several addresses.

    Args:
        address: Address and port of the instance.
        sizes: Sizes of the bodies in bytes, largest first.
    """
    threads = []
    previous = sizes[0]
    for number, size in enumerate(sizes):
        if size != previous:
            time.sleep(0.3)
            previous = size
        thread = threading.Thread(target=_send, args=(address, number, size))
        thread.start()
        threads.append(thread)
    return threads


def _send(address, number, size):
    with socket.socket() as caller:
        caller.bind((f"127.0.0.{10 + number % 20}", 0))
        caller.settimeout(12.0)
        try:
            caller.connect(address)
            caller.sendall(
                (
                    f"POST /fraga/a HTTP/1.1\r\nHost: {harness.HOST}\r\n"
                    f"Attempt-Id: large-{number}\r\nDeadline-Ms: 10000\r\n"
                    f"Authorization: Token {harness.KEY}\r\n"
                    "Token-Counts: 5000,1600\r\n"
                    f"Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n"
                ).encode()
                + b"x" * size
                + b"\r\n0\r\n\r\n"
            )
            received = b""
            while not received.endswith(b"0\r\n\r\n"):
                data = caller.recv(65_536)
                if not data:
                    return
                received += data
        except OSError:
            return
