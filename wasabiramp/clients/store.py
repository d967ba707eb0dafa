"""Client of the key-value store."""

from __future__ import annotations

from typing import Any, Final

import aiohttp

from wasabiramp.clients.http import CallFailedError, CallUnknownError, async_call_json
from wasabiramp.core.effects import StoreRead, StoreSwap, StoreWatch
from wasabiramp.core.events import CONFLICT, FAILED, OK, UNKNOWN, StoreAnswer, StoreItem
from wasabiramp.core.records import DecodeError, decode_json, encode_json

TIMEOUT_S: Final = 1.0
WATCH_TIMEOUT_MARGIN_S: Final = 5.0
"""Time beyond the duration of a watch after which its call times out."""


class StoreClient:
    """Runs store effects and returns their answers as events."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use the store at an IP address and port."""
        self._session = session
        self._base_url = f"http://{address}"

    async def async_read(self, effect: StoreRead, sent_at: float) -> StoreAnswer:
        """Read one key, or all keys under a prefix."""
        body = {"prefix": effect.key, "after": effect.after}
        answer = await self._async_call_store(effect.purpose, effect.tag, "/list", body, sent_at)
        if not effect.is_prefix:
            answer.items = [item for item in answer.items if item.key == effect.key]
        return answer

    async def async_watch(self, effect: StoreWatch, sent_at: float) -> StoreAnswer:
        """Wait for changes under a prefix."""
        body = {"prefix": effect.key, "after": effect.after, "timeout_s": effect.timeout_s}
        timeout_s = effect.timeout_s + WATCH_TIMEOUT_MARGIN_S
        return await self._async_call_store(effect.purpose, "", "/watch", body, sent_at, timeout_s)

    async def async_swap(self, effect: StoreSwap, sent_at: float) -> StoreAnswer:
        """Compare-and-swap one key."""
        value = None if effect.value is None else encode_json(effect.value)
        body = {"key": effect.key, "value": value, "expect": effect.expect}
        return await self._async_call_store(effect.purpose, effect.tag, "/swap", body, sent_at)

    async def _async_call_store(
        self,
        purpose: str,
        tag: str,
        path: str,
        body: dict[str, Any],
        sent_at: float,
        timeout_s: float = TIMEOUT_S,
    ) -> StoreAnswer:
        """Call the store and return its answer, with status FAILED or UNKNOWN if the call fails."""
        try:
            raw = await async_call_json(
                self._session, "POST", self._base_url + path, timeout_s, body
            )
            return _parse_answer(purpose, tag, raw, sent_at)
        except CallFailedError:
            return StoreAnswer(purpose, tag, FAILED, sent_at)
        except (CallUnknownError, DecodeError, KeyError, TypeError):
            return StoreAnswer(purpose, tag, UNKNOWN, sent_at)


def _parse_answer(purpose: str, tag: str, raw: dict[str, Any], sent_at: float) -> StoreAnswer:
    """Return an answer of the store as an event."""
    if "items" in raw:
        items = [_parse_item(item) for item in raw["items"]]
        return StoreAnswer(purpose, tag, OK, sent_at, raw["revision"], items)
    status = OK if raw["ok"] else CONFLICT
    return StoreAnswer(purpose, tag, status, sent_at, raw["revision"], [_parse_item(raw)])


def _parse_item(raw: dict[str, Any]) -> StoreItem:
    """Return one item of an answer."""
    value = None if raw["value"] is None else decode_json(raw["value"])
    return StoreItem(raw["key"], value, raw["revision"])
