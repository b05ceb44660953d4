"""Parses JSON documents and validates them against NamedTuple types."""

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
        text: Content of the document.
        source: Name of the document, for error messages.

    Returns:
        The top-level object.

    Raises:
        errors.CheckError: The text is not valid JSON, or its top-level value
            is not an object.
    """
    try:
        # Tries strict JSON first, because json5 is far slower.
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
        mistake = errors.Mistake(
            "(document)", "expected an object at the top level"
        )
        raise errors.CheckError(source, [mistake])
    return data


def read_document(path: str) -> dict[str, Any]:
    """Reads a file of JSON with comments.

    Raises:
        errors.CheckError: The file cannot be read, is not valid JSON or has
            a top-level value other than an object.
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
    data: Any,
    record_type: type[Record],
    path: str,
    mistakes: list[errors.Mistake],
) -> Record | None:
    """Converts a parsed object to a NamedTuple, field by field.

    Args:
        data: The parsed object.
        record_type: NamedTuple type to convert to.
        path: Path of the object in its document, such as `models.m`; "" for
            the top level.
        mistakes: List to which every mistake found is appended.

    Returns:
        The record, or None if the object is invalid.
    """
    if not isinstance(data, dict):
        found = type(data).__name__
        mistakes.append(
            errors.Mistake(path, f"expected an object, found {found}")
        )
        return None
    mistake_count = len(mistakes)
    values = {}
    for name, annotation in record_type.__annotations__.items():
        field_path = f"{path}.{name}" if path else name
        if name not in data:
            if name not in record_type._field_defaults:
                mistakes.append(
                    errors.Mistake(field_path, "required, but missing")
                )
            continue
        values[name] = _check_value(
            data[name], annotation, field_path, mistakes
        )
    _check_unknown_keys(data, record_type, path, mistakes)
    if len(mistakes) > mistake_count:
        return None
    return record_type(**values)


def _check_unknown_keys(
    data: dict, record_type: type, path: str, mistakes: list[errors.Mistake]
) -> None:
    for name in data:
        if name in record_type.__annotations__:
            continue
        close_matches = difflib.get_close_matches(
            str(name), record_type.__annotations__, 1
        )
        hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
        field_path = f"{path}.{name}" if path else str(name)
        mistakes.append(errors.Mistake(field_path, f"unknown key{hint}"))


def _check_value(
    value: Any, annotation: Any, path: str, mistakes: list[errors.Mistake]
) -> Any:
    if _is_record_type(annotation):
        return check_record(value, annotation, path, mistakes)
    origin = getattr(annotation, "__origin__", None)
    type_arguments = getattr(annotation, "__args__", ())
    if origin in (list, tuple) and _is_record_type(type_arguments[0]):
        return _check_list(value, type_arguments[0], path, mistakes)
    try:
        return msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        message, _, relative_path = str(error).partition(" - at `$")
        field_path = path + relative_path.rstrip("`")
        mistakes.append(errors.Mistake(field_path, message))
        return None


def _check_list(
    value: Any, record_type: type, path: str, mistakes: list[errors.Mistake]
) -> tuple:
    if not isinstance(value, list):
        mistakes.append(errors.Mistake(path, "expected a list"))
        return ()
    return tuple(
        check_record(item, record_type, f"{path}[{index}]", mistakes)
        for index, item in enumerate(value)
    )


def _is_record_type(annotation: Any) -> bool:
    return isinstance(annotation, type) and hasattr(annotation, "_fields")
