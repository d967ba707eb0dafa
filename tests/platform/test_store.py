"""Tests of the store client with an HTTP server: slow, incomplete and malformed answers."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
import orjson
import pytest

from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.ports import StoreUnknownError, Transaction
from wasabiramp.platform.clients import STORE_TIMEOUT_RANGE_S, HttpClient, StoreClient

PART_COUNT = 6
PART_PAUSE_S = STORE_TIMEOUT_RANGE_S[0] / 3
"""The whole answer takes twice the shortest timeout, with short pauses between its parts."""

Call = Callable[[StoreClient], Awaitable[Any]]


def call_store(handler: Callable[[web.BaseRequest], Awaitable[Any]], call: Call) -> Any:
    """Call the store client with a server whose handler gives the answers."""

    async def async_run() -> Any:
        runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        http = HttpClient(LoopLag())
        try:
            return await call(StoreClient(http, f"127.0.0.1:{port}"))
        finally:
            await http.async_close()
            await runner.cleanup()

    return asyncio.run(async_run())


def make_item(size: int) -> dict[str, Any]:
    """Return an item of the store with a large value."""
    return {"key": "op/config", "value": base64.b64encode(b"x" * size).decode(), "rev": 5}


class TestLongAnswers:
    """Long answers over slow links are read to the end while parts keep arriving.

    Guards against timeouts when 1,400 routes are added at once and daemons read them over slow
    links.
    """

    def call_with_slow_answer(
        self, call: Call, body: dict[str, Any], sent_parts: int = PART_COUNT
    ) -> Any:
        """Call a store that sends its answer in parts, and stops after `sent_parts` of them."""
        data = orjson.dumps(body)

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            response = web.StreamResponse(headers={"Content-Length": str(len(data))})
            await response.prepare(request)
            size = len(data) // PART_COUNT + 1
            for number in range(sent_parts):
                await asyncio.sleep(PART_PAUSE_S)
                await response.write(data[number * size : (number + 1) * size])
            if sent_parts < PART_COUNT:
                await asyncio.sleep(5.0)
            return response

        return call_store(answer, call)

    def test_key(self) -> None:
        item = self.call_with_slow_answer(
            lambda store: store.async_get("op/config"), make_item(60_000)
        )
        assert len(item.value) == 60_000

    def test_list(self) -> None:
        body = {"items": [make_item(60_000)], "asOf": 9, "hasMore": False}
        items, as_of = self.call_with_slow_answer(lambda store: store.async_list("op/"), body)
        assert (len(items), as_of) == (1, 9)

    def test_watch(self) -> None:
        body = {"events": [make_item(60_000)], "asOf": 9}
        changes, as_of = self.call_with_slow_answer(
            lambda store: store.async_watch("op/", 4, 0.1), body
        )
        assert (changes[0].revision, as_of) == (5, 9)

    def test_incomplete_answer_counts_as_lost(self) -> None:
        with pytest.raises(StoreUnknownError):
            self.call_with_slow_answer(
                lambda store: store.async_get("op/config"), make_item(60_000), 2
            )


class TestMalformedAnswers:
    """An answer without the expected fields counts as lost."""

    @pytest.mark.parametrize(
        "call",
        [
            lambda store: store.async_get("k"),
            lambda store: store.async_list("k"),
            lambda store: store.async_watch("k", 1, 0.1),
            lambda store: store.async_commit(Transaction()),
            lambda store: store.async_grant(1.0),
        ],
    )
    @pytest.mark.parametrize("body", [{}, [], {"rev": "x", "items": 3}, "text"])
    def test_counts_as_lost(self, call: Call, body: Any) -> None:
        async def answer(request: web.BaseRequest) -> web.Response:
            return web.Response(body=orjson.dumps(body))

        with pytest.raises(StoreUnknownError):
            call_store(answer, call)
