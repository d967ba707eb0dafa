"""Tests of the store client with an HTTP server: slow, incomplete and malformed answers."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
import orjson
import pytest

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.ports import PartialList, StoreUnknownError, Transaction
from wasabiramp.platform.clients import STORE_TIMEOUT_RANGE_S, HttpClient, StoreClient
from wasabiramp.platform.items import decode_page

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


def encode_item(key: str, revision: Any = 5, value: Any = "eA==") -> dict[str, Any]:
    """Return an item in the wire format."""
    return {"key": key, "value": value, "rev": revision, "created": 1, "lease": 0}


GOOD_ROWS = [encode_item(f"p/{n}", n) for n in range(1, 6)]
ODD_REVISIONS = ["x", None, True, -1, 1.5, 1e300, 2**64 - 1, [], {}]
ODD_VALUES = ["a", "é", "====", "\\u00e9", 5, [1], {"a": 1}, "a b", "YQ=\n"]
ROWS_WITHOUT_KEY = [5, None, [], "row", {}, {"key": 5, "rev": 9}, {"key": None}, {"key": ["p/9"]}]


class TestOddRows:
    """One odd row of the store does not hide the other rows of the same answer."""

    def answer(self, call: Call, body: bytes) -> Any:
        """Call a store that gives one answer."""

        async def answer(request: web.BaseRequest) -> web.Response:
            return web.Response(body=body)

        return call_store(answer, call)

    def list(self, row: Any) -> tuple[list[Any], int]:
        """List a page of good rows with one odd row in the middle."""
        rows = [*GOOD_ROWS[:2], row, *GOOD_ROWS[2:]]
        body = orjson.dumps({"items": rows, "asOf": 9, "hasMore": False})
        return self.answer(lambda store: store.async_list("p/"), body)

    def watch(self, row: Any) -> tuple[list[Any], int]:
        """Watch changes of which one in the middle is odd."""
        body = orjson.dumps({"events": [*GOOD_ROWS[:2], row, *GOOD_ROWS[2:]], "asOf": 9})
        return self.answer(lambda store: store.async_watch("p/", 4, 0.1), body)

    # Guards against a watch that lists again and again, as one row was taken for a lost answer.
    @pytest.mark.parametrize("revision", ODD_REVISIONS, ids=ascii)
    def test_listed_item_without_revision_is_invalid_but_not_removed(self, revision: Any) -> None:
        items, as_of = self.list(encode_item("p/odd", revision))
        assert ([item.key for item in items], as_of) == (
            ["p/1", "p/2", "p/odd", "p/3", "p/4", "p/5"],
            9,
        )
        assert (items[2].value, items[2].revision) == (b"", 0)

    @pytest.mark.parametrize("value", ODD_VALUES, ids=ascii)
    def test_item_with_unreadable_value_is_invalid_but_not_removed(self, value: Any) -> None:
        items, _as_of = self.list(encode_item("p/odd", 7, value))
        assert (items[2].key, items[2].value, items[2].revision) == ("p/odd", b"", 7)
        assert len(items) == 6
        changes, _as_of = self.watch(encode_item("p/odd", 7, value))
        assert (changes[2].key, changes[2].item.value) == ("p/odd", b"")
        assert len(changes) == 6

    # Guards against a removal that was concluded from a row without a key.
    @pytest.mark.parametrize("row", ROWS_WITHOUT_KEY, ids=ascii)
    def test_rows_without_key_make_the_answer_partial(self, row: Any) -> None:
        for rows, as_of in (self.list(row), self.watch(row)):
            assert [row.key for row in rows] == [f"p/{n}" for n in range(1, 6)]
            assert isinstance(rows, PartialList)
            assert as_of == 9

    @pytest.mark.parametrize("revision", ODD_REVISIONS, ids=ascii)
    def test_change_without_revision_makes_the_answer_partial(self, revision: Any) -> None:
        changes, _as_of = self.watch(encode_item("p/odd", revision))
        assert len(changes) == 5
        assert isinstance(changes, PartialList)

    # Guards against a list that ends again and again at the key of another writer.
    def test_key_that_cannot_be_encoded_is_left_out(self) -> None:
        body = (
            b'{"items":[{"key":"p/1","value":"","rev":1},{"key":"p/\\ud800","value":"","rev":2},'
            b'{"key":"p/2","value":"","rev":3}],"events":[{"key":"p/\\ud800","value":"","rev":2},'
            b'{"key":"p/2","value":"","rev":3}],"asOf":9,"hasMore":false}'
        )
        items, _as_of = self.answer(lambda store: store.async_list("p/"), body)
        assert [item.key for item in items] == ["p/1", "p/2"]
        assert not isinstance(items, PartialList)
        changes, _as_of = self.answer(lambda store: store.async_watch("p/", 4, 0.1), body)
        assert [change.key for change in changes] == ["p/2"]

    def test_pages_that_end_with_an_odd_key(self) -> None:
        odd_row = b'{"key":"p/\\ud800","value":"","rev":2}'

        async def answer(request: web.BaseRequest) -> web.Response:
            row = b'{"key":"p/%s","value":"","rev":3}'
            if "after" not in request.query:
                rows, more = row % b"1" + b"," + odd_row, b"true"
            else:
                assert request.query["after"] == "p/1"
                rows, more = odd_row + b"," + row % b"2", b"false"
            return web.Response(body=b'{"items":[%s],"hasMore":%s,"asOf":9}' % (rows, more))

        items, _as_of = call_store(answer, lambda store: store.async_list("p/"))
        assert [item.key for item in items] == ["p/1", "p/2"]

    # Guards against a list that never ends.
    def test_page_that_is_returned_again_counts_as_lost(self) -> None:
        body = orjson.dumps({"items": GOOD_ROWS, "asOf": 9, "hasMore": True})
        with pytest.raises(StoreUnknownError):
            self.answer(lambda store: store.async_list("p/"), body)

    @pytest.mark.parametrize(
        "body",
        [
            b'{"asOf":1e400,"items":[],"events":[],"rev":1e400,"lease":1e400}',
            b'{"asOf":NaN,"items":[],"events":[],"rev":NaN,"lease":NaN}',
            b'{"asOf":-1,"items":[],"events":[],"rev":-1,"lease":-1}',
            b'{"asOf":true,"items":[],"events":[],"rev":true,"lease":true}',
            b'{"asOf":18446744073709551615,"items":[],"events":[],"rev":1.5,"lease":1e308}',
            b'{"asOf":1,"items":{},"events":{},"rev":"1","lease":"1"}',
            b'{"asOf":' + b"1" * 5_000 + b"}",
            b"[" * 100_000,
            b'{"a":' * 100_000,
            b'"\\ud800"',
            b"\xff",
            b"5",
        ],
        ids=range(12),
    )
    @pytest.mark.parametrize(
        "call",
        [
            lambda store: store.async_get("k"),
            lambda store: store.async_list("k"),
            lambda store: store.async_watch("k", 1, 0.1),
            lambda store: store.async_commit(Transaction()),
            lambda store: store.async_grant(1.0),
        ],
        ids=["get", "list", "watch", "commit", "grant"],
    )
    def test_odd_answer_counts_as_lost(self, call: Call, body: bytes) -> None:
        with pytest.raises(StoreUnknownError):
            self.answer(call, body)


class TestIncompletePage:
    """A page has to say whether others follow."""

    # Guards against a list that ends at a page which does not say whether others follow.
    @pytest.mark.parametrize("odd", [{}, {"hasMore": None}, {"hasMore": "no"}])
    def test_page_that_does_not_say_whether_more_follow_is_refused(
        self, odd: dict[str, Any]
    ) -> None:
        with pytest.raises((DecodeError, KeyError)):
            decode_page({"items": [], "asOf": 5, **odd})
