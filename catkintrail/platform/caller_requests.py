"""Callers' requests and responses, on top of cheroot."""

import re
import socket
import threading
from typing import Any, Callable

from cheroot import server as cheroot_server

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import caller_connections
from catkintrail.platform import wire
from catkintrail.ports import relaying

__all__ = [
    "Connection",
    "Request",
    "ResponseWriter",
    "get_header",
    "make_refusal",
    "parse_request",
]

# Applies to requests without a valid `Deadline-Ms`; the users' callers always
# send one.
DEFAULT_DEADLINE_MS = 10_000.0
MAX_REQUEST_ID_CHARACTERS = 200
# Retry-After of requests for which there is no memory or processor time: bodies
# that make no progress give way within that time.
REFUSED_RETRY_SECONDS = 1.0

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class _HeaderReader(cheroot_server.HeaderReader):
    """Keeps the headers as received, and rejects ambiguous ones.

    Two parsers could interpret an ambiguous header differently.
    """

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        headers = {} if hdict is None else hdict
        pairs = []
        while True:
            line = rfile.readline()
            if not line.endswith(b"\r\n"):
                raise ValueError("Header line does not end with CRLF.")
            if line == b"\r\n":
                break
            name, colon, value = line[:-2].partition(b":")
            if not colon or not _TOKEN.fullmatch(name):
                raise ValueError("Illegal header line.")
            value = value.strip(b" \t")
            if any(byte in value for byte in (b"\r", b"\n", b"\0")):
                raise ValueError("Illegal header value.")
            key = name.title()
            if key in headers:
                if key in (b"Content-Length", b"Transfer-Encoding", b"Host"):
                    raise ValueError("Header that must be unique is repeated.")
                headers[key] += b", " + value
            else:
                headers[key] = value
            pairs.append((name.decode("latin-1"), value.decode("latin-1")))
        if b"Content-Length" in headers:
            if b"Transfer-Encoding" in headers:
                raise ValueError("Both Content-Length and Transfer-Encoding.")
            if not headers[b"Content-Length"].isdigit():
                raise ValueError("Malformed Content-Length Header.")
        rfile.pairs = pairs
        return headers


class Request(caller_connections.CallerRequest):
    """A request; its head is parsed by cheroot, its body by the connection."""

    header_reader = _HeaderReader()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Logs and rejects a request that was not read completely."""
        self.server.caller_server.record_refusal(
            int(status[:3]), msg or status, ""
        )
        super().simple_response(status, msg)

    def read_request_headers(self) -> bool:
        """Reads the headers, and keeps them as received."""
        success = super().read_request_headers()
        # pylint: disable-next=attribute-defined-outside-init
        self.pairs = getattr(self.rfile, "pairs", [])
        # The body is read by the connection.
        # pylint: disable-next=attribute-defined-outside-init
        self.rfile = None
        return success


class Connection(caller_connections.CallerConnection):
    """A connection of a caller."""

    RequestHandlerClass = Request


class ResponseWriter:
    """Sends one response to a caller.

    Attributes:
        is_started: Whether sending of the response head has begun.
        is_aborted: Whether the response is not complete.
    """

    def __init__(self, request: Request, server: Any) -> None:
        self.is_started = False
        self.is_aborted = False
        self._is_ended = False
        self._lock = threading.Lock()
        self._request_id = ""
        self._request = request
        self._server = server

    def set_request_id(self, request_id: str) -> None:
        """Sets the `Attempt-Id` of responses that lack the header.

        Responses of targets already have it.
        """
        self._request_id = request_id

    def start(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Sends the response head.

        Args:
            status: Status code.
            headers: End-to-end headers.
            length: Bytes in the body; None for a chunked body.
        """
        request = self._request
        with self._lock:
            if self._is_ended:
                raise errors.CallerDisconnectedError(
                    "the request was answered by the exit of the process"
                )
            self.is_started = True
        names = {name.lower() for name, _ in headers}
        if self._request_id and wire.ATTEMPT_ID not in names:
            headers += (("Attempt-Id", self._request_id),)
        request.status = (
            f"{status} {_REASON_PHRASES.get(status, 'Status')}".encode()
        )
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        if length is not None:
            request.outheaders.append((b"Content-Length", str(length).encode()))
        if self._server.is_draining:
            request.close_connection = True
        request.sent_headers = True
        if length is None and request.response_protocol != "HTTP/1.1":
            # The end of the connection is the end of the response, also if the
            # process is killed.
            self._call_writer(request.conn.set_reset_on_close, True)
        self._call_writer(request.send_headers)

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        if data:
            self._call_writer(self._request.write, data)

    def finish(self) -> None:
        """Ends a response that is complete."""
        if self._request.conn.resets_on_close:
            self._call_writer(self._request.conn.set_reset_on_close, False)

    def answer_unfinished(self) -> bool:
        """Answers in place of the thread that serves the request.

        The status promises nothing of what targets have done. The answer is
        not waited for, as the process exits.

        Returns:
            Whether the response had not begun, and was sent.
        """
        with self._lock:
            if self.is_started:
                return False
            self.is_started = True
            self._is_ended = True
        reason = verdicts.Reason.DRAINING.value
        body = f"{reason}: the instance stops before the request is finished\n"
        head = (
            f"HTTP/1.1 502 {_REASON_PHRASES[502]}\r\n"
            f"Attempt-Id: {self._request_id}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        data = (head + body).encode("latin-1")
        try:
            sent = self._request.conn.socket.send(data, socket.MSG_DONTWAIT)
        except OSError:
            return False
        return sent == len(data)

    def hold(self, size: int) -> None:
        """Counts bytes of an answer that wait for the caller."""
        if not self._call_writer(self._request.conn.hold_more, size):
            raise errors.MemorySpentError()

    def abort(self) -> None:
        """Closes the connection, so that the caller detects a truncation.

        A connection whose end would be the end of the response is reset.
        """
        self.is_aborted = True
        self._request.close_connection = True
        self._request.chunked_write = False
        self._request.sent_headers = True

    def _call_writer(self, function: Callable, *arguments: Any) -> Any:
        try:
            return function(*arguments)
        except OSError as error:
            raise errors.CallerDisconnectedError(str(error)) from error


def get_header(request: Request, name: str) -> str:
    """Returns the value of a header; "" if there is none."""
    value = request.inheaders.get(name.title().encode(), b"")
    return value.decode("latin-1")


def parse_request(
    request: Request, received_at: float
) -> relaying.CallerRequest:
    """Decodes a request that is whole.

    Raises:
        ValueError: A header is malformed.
    """
    request_id = get_header(request, wire.ATTEMPT_ID)
    if len(request_id) > MAX_REQUEST_ID_CHARACTERS:
        raise ValueError("Attempt-Id is too long")
    prompt, output = wire.decode_token_counts(
        get_header(request, wire.TOKEN_COUNTS)
    )
    last_event = wire.decode_count(get_header(request, wire.LAST_EVENT_ID))
    return relaying.CallerRequest(
        request_id,
        request.method.decode("latin-1"),
        request.uri.decode("latin-1"),
        get_header(request, "host"),
        tuple(request.pairs),
        request.conn.take_body(),
        wire.decode_api_key(get_header(request, wire.AUTHORIZATION)),
        request.deadline_ms,
        prompt,
        output,
        -1 if last_event is None else last_event,
        received_at,
        wire.decode_prompt_parts(get_header(request, wire.PROMPT_PREFIX)),
    )


def make_refusal(status: int, request_id: str) -> bytes:
    """Returns the response to a request of which nothing has run."""
    fields = ""
    if request_id and len(request_id) <= MAX_REQUEST_ID_CHARACTERS:
        fields += f"Attempt-Id: {request_id}\r\n"
    if status in (429, 503):
        fields += f"Retry-After: {REFUSED_RETRY_SECONDS:.2f}\r\n"
    head = (
        f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, 'Status')}\r\n"
        f"{fields}Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    return head.encode("latin-1")
