"""Decoding of JSON of which some values cannot be read.

Several writers share the store. A value that one of them has left malformed
must not hide those of the others in the same response.
"""

import re
from typing import Any

import msgspec

__all__ = ["decode"]

# Values deeper than this are read as a whole or not at all.
MAX_SEPARATED_DEPTH = 6

_STRING = rb'"(?:[^"\\]|\\.)*"'
_TOKEN = re.compile(_STRING + rb'|[\[\]{},"]', re.DOTALL)
_MEMBER = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)
_CLOSING = {b"[": b"]", b"{": b"}"}


def decode(data: bytes) -> Any:
    """Decodes JSON; values that cannot be read become None.

    Raises:
        ValueError: The brackets or quotes do not match, or the whole is not an
            object or an array.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return _decode_separately(data, MAX_SEPARATED_DEPTH)


def _decode_separately(data: bytes, depth: int) -> Any:
    """Decodes the items of an array or the members of an object one by one."""
    text = data.strip()
    opening, closing = text[:1], text[-1:]
    if len(text) < 2 or _CLOSING.get(opening) != closing:
        raise ValueError("neither an object nor an array")
    pieces = _split(text[1:-1])
    if opening == b"[":
        return [_decode_value(piece, depth - 1) for piece in pieces]
    members = {}
    for piece in pieces:
        match = _MEMBER.match(piece)
        if match is None:
            raise ValueError("a member without a name")
        name = _decode_value(match.group(1), 0)
        members[name] = _decode_value(piece[match.end() :], depth - 1)
    return members


def _decode_value(data: bytes, depth: int) -> Any:
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        pass
    try:
        return _decode_separately(data, depth) if depth > 0 else None
    except ValueError:
        return None


def _split(data: bytes) -> list[bytes]:
    """Splits the content of an array or object at its commas.

    Raises:
        ValueError: The brackets or quotes do not match.
    """
    pieces = []
    start = 0
    expected: list[bytes] = []
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in _CLOSING:
            expected.append(_CLOSING[token])
        elif token in (b"]", b"}"):
            if not expected or expected.pop() != token:
                raise ValueError("brackets do not match")
        elif token == b'"':
            raise ValueError("a string does not end")
        elif token == b"," and not expected:
            pieces.append(data[start : match.start()])
            start = match.end()
    if expected:
        raise ValueError("brackets do not match")
    last = data[start:]
    return pieces + [last] if pieces or last.strip() else []
