"""Record classes and their encodings: msgpack between daemons, JSON in files and the store."""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass, fields
from functools import partial
from typing import Any, Final, TypeVar, dataclass_transform

import msgpack
import orjson

KEY_RECORD_NAME: Final = "record"
KEY_BASE64: Final = "base64"
_EXT_RECORD: Final = 1

MAX_RECORD_DEPTH: Final = 16
"""Levels of records within records in a message.

Each level calls the msgpack decoder anew, so that deep nesting would exhaust the C stack.
"""

MAX_SHOWN_CHARS: Final = 80
"""Characters of an unknown name that an error shows."""

MAX_JSON_DEPTH: Final = 64
"""Levels of lists and objects in a JSON text that is decoded into records."""

_class_by_name: dict[str, type] = {}
_fields_by_class: dict[type, tuple[str, ...]] = {}

T = TypeVar("T")


class DecodeError(ValueError):
    """Raised for data that cannot be decoded into a known record."""


@dataclass_transform()
def record(cls: type[T]) -> type[T]:
    """Turn the class into a slotted data class and register it for decoding under its name.

    Raises TypeError when a record of this name exists already.
    """
    record_class = dataclass(slots=True)(cls)
    if record_class.__name__ in _class_by_name:
        raise TypeError(f"record {record_class.__name__} is defined twice")
    _class_by_name[record_class.__name__] = record_class
    _fields_by_class[record_class] = tuple(item.name for item in fields(record_class))
    return record_class


def _pack_record(value: Any) -> msgpack.ExtType:
    """Return a record as a msgpack extension value: its class name, then its fields in order."""
    names = _fields_by_class.get(type(value))
    if names is None:
        raise TypeError(f"{type(value).__name__} is not a record")
    body = [type(value).__name__, *(getattr(value, name) for name in names)]
    return msgpack.ExtType(_EXT_RECORD, msgpack.packb(body, default=_pack_record))


def _refuse_extension(code: int, data: bytes) -> Any:
    """Refuse a msgpack extension value."""
    raise DecodeError(f"unexpected extension {code}")


def _unpack_record(code: int, data: bytes, depth: int = 1) -> Any:
    """Build the record that a msgpack extension value contains, at a level of nesting."""
    if code != _EXT_RECORD or depth > MAX_RECORD_DEPTH:
        raise DecodeError(f"unexpected extension {code} in a message at level {depth}")
    unpack_nested = partial(_unpack_record, depth=depth + 1)
    body = msgpack.unpackb(data, ext_hook=unpack_nested, strict_map_key=False)
    if not isinstance(body, list) or not body or not isinstance(body[0], str):
        raise DecodeError("expected a list with the name of a record in a message")
    cls = _class_by_name.get(body[0])
    if cls is None:
        raise DecodeError(f"unknown record {body[0][:MAX_SHOWN_CHARS]} in a message")
    return cls(*body[1:])


def encode_message(value: Any) -> bytes:
    """Encode a record, or a list of records, as msgpack."""
    return msgpack.packb(value, default=_pack_record)


def decode_message(data: bytes) -> Any:
    """Decode the output of `encode_message`.

    Raises DecodeError when the bytes are truncated, too deeply nested or name an unknown record.
    """
    return unpack(data, _unpack_record)


def unpack(data: bytes, ext_hook: Callable[[int, bytes], Any] = _refuse_extension) -> Any:
    """Decode msgpack data that another process wrote; raises DecodeError for anything invalid."""
    try:
        return msgpack.unpackb(data, ext_hook=ext_hook, strict_map_key=False)
    except (ValueError, TypeError, OverflowError, msgpack.UnpackException) as err:
        raise DecodeError(f"the data is not msgpack: {type(err).__name__} {err}") from err


def _encode_json_value(value: Any) -> dict[str, Any]:
    """Return a record as a JSON object with its class name, or bytes as base64 text."""
    if isinstance(value, bytes):
        return {KEY_BASE64: base64.b64encode(value).decode()}
    names = _fields_by_class.get(type(value))
    if names is None:
        raise TypeError(f"{type(value).__name__} is not a record")
    return {KEY_RECORD_NAME: type(value).__name__, **{name: getattr(value, name) for name in names}}


def encode_json(value: Any) -> str:
    """Encode records and plain values as JSON text."""
    option = orjson.OPT_PASSTHROUGH_DATACLASS | orjson.OPT_NON_STR_KEYS
    return orjson.dumps(value, default=_encode_json_value, option=option).decode()


def decode_json(text: str | bytes) -> Any:
    """Decode the output of `encode_json`.

    Raises DecodeError when the text is not JSON, too deeply nested or names an unknown record.
    """
    try:
        return _decode_json_value(orjson.loads(text), MAX_JSON_DEPTH)
    except (ValueError, TypeError) as err:
        raise DecodeError(f"record cannot be decoded: {err}") from err


def _decode_json_value(value: Any, levels_left: int) -> Any:
    """Convert JSON objects into the records or bytes that they were encoded from."""
    if not isinstance(value, list | dict):
        return value
    if not levels_left:
        raise DecodeError(f"record is nested deeper than {MAX_JSON_DEPTH} levels")
    if isinstance(value, list):
        return [_decode_json_value(item, levels_left - 1) for item in value]
    decoded_fields = {key: _decode_json_value(item, levels_left - 1) for key, item in value.items()}
    if len(value) == 1 and KEY_BASE64 in value:
        return base64.b64decode(value[KEY_BASE64])
    name = decoded_fields.pop(KEY_RECORD_NAME, None)
    if name is None:
        return decoded_fields
    cls = _class_by_name.get(name)
    if cls is None:
        raise DecodeError(f"unknown record {name}")
    return cls(**decoded_fields)
