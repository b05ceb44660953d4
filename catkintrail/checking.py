"""Checks parsed documents against NamedTuple types and lists every mistake."""

import difflib
from typing import Any, NamedTuple, TypeVar

import json5
import msgspec

from catkintrail import errors

__all__ = ["check_record", "parse_document", "read_document"]

MAX_DOCUMENT_BYTES = 64 << 20

Record = TypeVar("Record", bound=NamedTuple)


def parse_document(text: str, source: str) -> dict[str, Any]:
    """Parses JSON with comments.

    Args:
        text: The document.
        source: Its name, for messages.

    Returns:
        The top-level object.

    Raises:
        errors.CheckError: The text is not JSON, or not an object.
    """
    try:
        # Strict JSON is tried first; the lenient parser is far slower.
        data = msgspec.json.decode(text)
    except RecursionError as error:
        mistake = errors.Mistake("(document)", "nested too deeply")
        raise errors.CheckError(source, [mistake]) from error
    except msgspec.DecodeError:
        try:
            data = json5.loads(text)
        except (ValueError, RecursionError) as error:
            mistake = errors.Mistake("(document)", f"not JSON: {error}")
            raise errors.CheckError(source, [mistake]) from error
    if not isinstance(data, dict):
        mistake = errors.Mistake("(document)", "expected an object at the top")
        raise errors.CheckError(source, [mistake])
    return data


def read_document(path: str) -> dict[str, Any]:
    """Reads a file of JSON with comments.

    Raises:
        errors.CheckError: The file cannot be read or is not such a document.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_DOCUMENT_BYTES)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        mistake = errors.Mistake("(file)", f"cannot be read: {reason}")
        raise errors.CheckError(path, [mistake]) from error
    return parse_document(text, path)


def check_record(
    data: Any, kind: type[Record], path: str, mistakes: list[errors.Mistake]
) -> Record | None:
    """Converts an object into a NamedTuple, field by field.

    Args:
        data: The parsed object.
        kind: The NamedTuple type wanted.
        path: Where the object stands in its document.
        mistakes: Receives every mistake found.

    Returns:
        The record, or None where it has mistakes.
    """
    if not isinstance(data, dict):
        found = type(data).__name__
        mistakes.append(
            errors.Mistake(path, f"expected an object, found {found}")
        )
        return None
    before = len(mistakes)
    values = {}
    for name, annotation in kind.__annotations__.items():
        field_path = f"{path}.{name}" if path else name
        if name not in data:
            if name not in kind._field_defaults:
                mistakes.append(
                    errors.Mistake(field_path, "required, but missing")
                )
            continue
        values[name] = _check_value(
            data[name], annotation, field_path, mistakes
        )
    _check_unknown(data, kind, path, mistakes)
    if len(mistakes) > before:
        return None
    return kind(**values)


def _check_unknown(
    data: dict, kind: type, path: str, mistakes: list[errors.Mistake]
) -> None:
    for name in data:
        if name in kind.__annotations__:
            continue
        near = difflib.get_close_matches(str(name), kind.__annotations__, 1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        where = f"{path}.{name}" if path else str(name)
        mistakes.append(errors.Mistake(where, f"unknown key{hint}"))


def _check_value(
    value: Any, annotation: Any, path: str, mistakes: list[errors.Mistake]
) -> Any:
    if _is_record(annotation):
        return check_record(value, annotation, path, mistakes)
    origin = getattr(annotation, "__origin__", None)
    arguments = getattr(annotation, "__args__", ())
    if origin in (list, tuple) and _is_record(arguments[0]):
        return _check_list(value, arguments[0], path, mistakes)
    try:
        return msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        message, _, inner = str(error).partition(" - at `$")
        where = path + inner.rstrip("`")
        mistakes.append(errors.Mistake(where, message))
        return None


def _check_list(
    value: Any, kind: type, path: str, mistakes: list[errors.Mistake]
) -> tuple:
    if not isinstance(value, list):
        mistakes.append(errors.Mistake(path, "expected a list"))
        return ()
    return tuple(
        check_record(item, kind, f"{path}[{index}]", mistakes)
        for index, item in enumerate(value)
    )


def _is_record(annotation: Any) -> bool:
    return isinstance(annotation, type) and hasattr(annotation, "_fields")
