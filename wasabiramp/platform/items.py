"""Wire format of the platform's store: items, pages of lists, and changes.

Other writers may put any key and any value into the store, and one odd item must not hide others.
An item whose value or revision cannot be read has an empty value, which is an invalid record but
not a removed one. An item whose key is a text that cannot be encoded is left out, as it is none of
ours. If the key is no text at all, any item may be missing, so that the list is partial.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
import json
from typing import Any, Final, TypeVar

import orjson

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.ports import Change, Item, PartialList
from wasabiramp.logs import log_event

T = TypeVar("T")

MAX_REVISION: Final = 2**63 - 1
"""Greatest revision or lease of the store."""


def parse_lenient_json(data: bytes) -> Any:
    """Parse JSON that may contain single surrogates, as of a key of another writer.

    Raises ValueError, or RecursionError if it is nested too deeply.
    """
    try:
        return orjson.loads(data)
    except ValueError:
        return json.loads(data)


def check_revision(value: Any, field_path: str) -> int:
    """Return a revision or lease; raises DecodeError, which names the field, if it is none."""
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise DecodeError(f"{field_path}: expected a whole number from 0 to {MAX_REVISION}")
    return value


def is_valid_key(key: str) -> bool:
    """Return whether a key can be encoded, as all keys of this system can."""
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True


def decode_item(raw: dict[str, Any]) -> Item:
    """Decode an item; raises DecodeError if its key or revision cannot be read."""
    key = _check_key(raw)
    revision = check_revision(raw.get("rev"), "rev")
    created = check_revision(raw.get("created", 0), "created")
    return Item(key, _decode_value(key, raw.get("value")), revision, created)


def _check_key(raw: Any) -> str:
    """Return the key of an item or a change; raises DecodeError if it is no text."""
    if not isinstance(raw, dict) or not isinstance(raw.get("key"), str):
        raise DecodeError("key: expected a text")
    return raw["key"]


def _decode_value(key: str, value: Any) -> bytes:
    """Return the value of an item, which is empty if it is no base64 text."""
    try:
        return base64.b64decode(value or "", validate=True)
    except (ValueError, TypeError):
        log_event("store_value_unreadable", key=ascii(key))
        return b""


def _decode_listed_item(raw: dict[str, Any]) -> Item:
    """Decode an item of a list; one without a valid revision is invalid, but not removed."""
    try:
        return decode_item(raw)
    except DecodeError as err:
        key = _check_key(raw)
        log_event("store_item_unreadable", key=ascii(key), error=err)
        return Item(key, b"", 0)


def decode_page(raw: dict[str, Any]) -> tuple[list[Item], int, bool]:
    """Return the items of a page, its revision, and whether more pages follow."""
    items = _decode_rows(raw["items"], _decode_listed_item)
    if not isinstance(raw["hasMore"], bool):
        raise DecodeError("hasMore: expected true or false")
    return items, check_revision(raw["asOf"], "asOf"), raw["hasMore"]


def decode_changes(raw: dict[str, Any]) -> tuple[list[Change], int]:
    """Return the changes of a watch, and the revision from which to continue."""
    return _decode_rows(raw["events"], _decode_change), check_revision(raw["asOf"], "asOf")


def _decode_rows(rows: Any, decode: Callable[[Any], T]) -> list[T]:
    """Return the decoded rows, as a PartialList if some cannot be read."""
    if not isinstance(rows, list):
        raise DecodeError("expected a list of rows")
    decoded: list[T] = []
    error: DecodeError | None = None
    for row in rows:
        try:
            if is_valid_key(_check_key(row)):
                decoded.append(decode(row))
        except DecodeError as err:
            error = err
    if error is None:
        return decoded
    log_event("store_rows_unreadable", rows=len(rows) - len(decoded), error=error)
    return PartialList(decoded)


def _decode_change(raw: dict[str, Any]) -> Change:
    """Decode a change; raises DecodeError if its key or revision cannot be read."""
    item = decode_item(raw)
    return Change(item.key, item.revision, None if raw.get("removed") else item)


def decode_existing_items(raw: dict[str, Any]) -> dict[str, Item]:
    """Return by key the items that exist among the keys whose expected revision did not match."""
    entries = [entry for entry in raw.get("items") or [] if entry and entry.get("rev")]
    return {item.key: item for item in map(decode_item, entries)}
