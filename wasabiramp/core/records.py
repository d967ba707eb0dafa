"""Slotted records with a codec: msgpack between daemons, JSON in files and in the store."""

from __future__ import annotations

import base64
from dataclasses import dataclass, fields
from typing import Any, Final, TypeVar, dataclass_transform

import msgpack
import orjson

ATTR_RECORD: Final = "record"
ATTR_BYTES: Final = "base64"
_EXT_RECORD: Final = 1

_classes: dict[str, type] = {}
_field_names: dict[type, tuple[str, ...]] = {}

T = TypeVar("T")


class DecodeError(ValueError):
    """Bytes that do not describe a known record."""


@dataclass_transform()
def record(cls: type[T]) -> type[T]:
    """Make a slotted data class of the type and register it under its name."""
    made = dataclass(slots=True)(cls)
    if made.__name__ in _classes:
        raise TypeError(f"record {made.__name__} is defined twice")
    _classes[made.__name__] = made
    _field_names[made] = tuple(item.name for item in fields(made))
    return made


def _pack_record(value: Any) -> msgpack.ExtType:
    """Return a record as an extension value: its name, then its fields in order."""
    names = _field_names.get(type(value))
    if names is None:
        raise TypeError(f"{type(value).__name__} is not a record")
    body = [type(value).__name__, *(getattr(value, name) for name in names)]
    return msgpack.ExtType(_EXT_RECORD, msgpack.packb(body, default=_pack_record))


def _unpack_record(code: int, data: bytes) -> Any:
    """Build the record that an extension value holds."""
    body = msgpack.unpackb(data, ext_hook=_unpack_record, strict_map_key=False)
    cls = _classes.get(body[0]) if code == _EXT_RECORD and body else None
    if cls is None:
        raise DecodeError(f"unknown record in a message: {body[:1]}")
    return cls(*body[1:])


def encode_message(value: Any) -> bytes:
    """Encode a record, or a list of records, as msgpack."""
    return msgpack.packb(value, default=_pack_record)


def decode_message(data: bytes) -> Any:
    """Decode what `encode_message` made.

    Raises DecodeError when the bytes are truncated or name an unknown record.
    """
    try:
        return msgpack.unpackb(data, ext_hook=_unpack_record, strict_map_key=False)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as err:
        raise DecodeError(f"message cannot be decoded: {err}") from err


def _json_record(value: Any) -> dict[str, Any]:
    """Return a record as a JSON object that names its type, and bytes as base64 text."""
    if isinstance(value, bytes):
        return {ATTR_BYTES: base64.b64encode(value).decode()}
    names = _field_names.get(type(value))
    if names is None:
        raise TypeError(f"{type(value).__name__} is not a record")
    return {ATTR_RECORD: type(value).__name__, **{name: getattr(value, name) for name in names}}


def encode_json(value: Any) -> str:
    """Encode records and plain values as JSON text."""
    option = orjson.OPT_PASSTHROUGH_DATACLASS | orjson.OPT_NON_STR_KEYS
    return orjson.dumps(value, default=_json_record, option=option).decode()


def decode_json(text: str | bytes) -> Any:
    """Decode what `encode_json` made.

    Raises DecodeError when the text is not JSON or names an unknown record.
    """
    try:
        return _revive(orjson.loads(text))
    except (ValueError, TypeError) as err:
        raise DecodeError(f"record cannot be decoded: {err}") from err


def _revive(value: Any) -> Any:
    """Turn JSON objects that name a record back into records."""
    if isinstance(value, list):
        return [_revive(item) for item in value]
    if not isinstance(value, dict):
        return value
    revived = {key: _revive(item) for key, item in value.items()}
    if len(value) == 1 and ATTR_BYTES in value:
        return base64.b64decode(value[ATTR_BYTES])
    name = revived.pop(ATTR_RECORD, None)
    if name is None:
        return revived
    cls = _classes.get(name)
    if cls is None:
        raise DecodeError(f"unknown record {name}")
    return cls(**revived)
