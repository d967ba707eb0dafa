"""HTTP clients of the platform's store, executors and adviser, over one session."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
import socket
import struct
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

import aiohttp
import orjson

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.invalid_inputs import InvalidInputs
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.ports import (
    Change,
    HistoryLostError,
    Item,
    LeaseEndedError,
    NoAnswerError,
    OrderAnswer,
    PartialList,
    StoreConflictError,
    StoreInvalidError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.entry.timeouts import AdaptiveTimeouts
from wasabiramp.platform.items import (
    check_revision,
    decode_changes,
    decode_existing_items,
    decode_item,
    decode_page,
    parse_lenient_json,
)
from wasabiramp.platform.wire import decode_advice_answer, decode_order_answer, decode_report
from wasabiramp.scheduling import events
from wasabiramp.scheduling.effects import HoldExecutor, PaceTask, StartTask, StopTask
from wasabiramp.scheduling.model import ExecutorReport

T = TypeVar("T")

KEEPALIVE_S: Final = 90.0
"""How long an idle connection is kept; the platform charges for each new one to an executor."""

CONNECTIONS_PER_EXECUTOR: Final = 6
"""One connection waits in a hold (the long poll that renews a lease); the others carry orders."""

STORE_CONNECTIONS: Final = 24
"""Four watches wait at the store; the other connections carry renewals, proofs and commits, which
overlap while the store does not answer."""

CONNECT_TIMEOUT_S: Final = 0.5
WATCH_TIMEOUT_MARGIN_S: Final = 0.7
"""Both are several times the duration of a slow answer, yet detect a silent connection soon.

The margin is added to the time for which a watch asks the store to wait.
"""

STORE_TIMEOUT_RANGE_S: Final = (0.4, 1.6)
"""Shortest and longest timeout of a store call; a lost answer delays it by the shortest or more."""

LONG_ANSWER_TIMEOUT_S: Final = 5.0
"""Total timeout of a long answer (item, list, watch) whose parts keep arriving.

A watch adds the time for which it asks the store to wait.
"""

ORDER_TIMEOUT_RANGE_S: Final = (0.1, 0.3)
"""Shortest and longest timeout of a call to an executor; a hold adds the time for which it waits.

Executors answer in milliseconds, and a lost answer delays the work by the timeout. The longest one
is used for an executor whose last call had no answer, as it may have become slow.
"""

CONNECT_TIMEOUT_SHARE: Final = 0.8
"""Share of a timeout for connecting, so that a failed connection is not taken for a lost answer."""

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a socket is reset when it is closed."""

JSON_HEADERS: Final = {"Content-Type": "application/json"}
OUTCOME_BY_REASON: Final = {
    "fence": events.REFUSED_FENCE,
    "old": events.REFUSED_OLD,
    "late": events.REFUSED_LATE,
    "room": events.REFUSED_ROOM,
    "ticket": events.REFUSED_TICKET,
}
OUTCOME_BY_STATUS: Final = {
    400: events.REFUSED_INPUT,
    421: events.OTHER_INCARNATION,
    429: events.REFUSED_BUSY,
    503: events.REFUSED_BUSY,
}


class NotSentError(Exception):
    """No connection could be made, so the call certainly had no effect."""


class HttpClient:
    """HTTP session for calls to the platform."""

    def __init__(self, lag: LoopLag, connections: int = CONNECTIONS_PER_EXECUTOR) -> None:
        """Open the session on the running event loop, with a limit of connections per address."""
        self._lag = lag
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections,
            keepalive_timeout=KEEPALIVE_S,
            socket_factory=_open_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
        )

    async def async_send(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: Any = None,
        headers: dict[str, str] | None = None,
        total_timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Return the status and the complete body of an answer.

        `timeout_s` bounds the whole answer. If `total_timeout_s` is given, that bounds the whole
        answer instead, and `timeout_s` bounds each pause between its parts. `timeout_s` and the
        connection timeout derived from it are extended by the current lag of the event loop.

        Raises NotSentError if no connection was made, and NoAnswerError if the answer is missing
        or incomplete.
        """
        try:
            data = orjson.dumps(body) if body is not None else None
        except TypeError as err:
            raise NotSentError(f"the body cannot be encoded: {err}") from err
        connect_timeout_s = min(CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_SHARE * timeout_s)
        read_timeout_s = self._lag.extend(timeout_s)
        timeout = aiohttp.ClientTimeout(
            total=read_timeout_s if total_timeout_s is None else total_timeout_s,
            sock_connect=self._lag.extend(connect_timeout_s),
            sock_read=None if total_timeout_s is None else read_timeout_s,
        )
        try:
            async with self._session.request(
                method, url, data=data, headers=headers or JSON_HEADERS, timeout=timeout
            ) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as err:
            raise NotSentError(f"no connection: {err}") from err
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as err:
            # An address or a header that cannot be sent raises ValueError.
            raise NoAnswerError(f"no answer: {type(err).__name__}") from err

    async def async_close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Open a socket that is reset when it is closed.

    A call without an answer is withdrawn so: what a partition holds up of it is dropped, and does
    not reach whichever process answers there later.
    """
    family, kind, protocol, _name, _address = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return opened


class StoreClient:
    """Client of the platform's key-value store."""

    def __init__(self, http: HttpClient, address: str) -> None:
        """Share the HTTP client and use the store at an address."""
        self._http = http
        self._timeouts = AdaptiveTimeouts(*STORE_TIMEOUT_RANGE_S)
        self._base_url = ""
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Change the address of the store."""
        self._base_url = f"http://{address}/v1/"

    async def async_get(self, key: str) -> Item | None:
        """Return an item, or None if the key does not exist."""
        query = urlencode({"key": key})
        status, raw = await self._async_call(
            "GET", f"kv-key?{query}", total_timeout_s=LONG_ANSWER_TIMEOUT_S
        )
        return None if status == 404 else _parse_answer(lambda: decode_item(raw))

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix, and the revision from which to watch for changes.

        The revision is that of the first page, so a watch from it misses no change. The items are
        a PartialList if some could not be read.
        """
        items: list[Item] = []
        is_partial = False
        as_of = 0
        last_key = ""
        while True:
            query = {"prefix": prefix}
            if last_key:
                query["after"] = last_key
            _status, raw = await self._async_call(
                "GET", f"kv-range?{urlencode(query)}", total_timeout_s=LONG_ANSWER_TIMEOUT_S
            )
            page, page_as_of, has_more = _parse_answer(lambda raw=raw: decode_page(raw))
            items += page
            is_partial |= isinstance(page, PartialList)
            as_of = as_of or page_as_of
            if not has_more:
                return PartialList(items) if is_partial else items, as_of
            if not page or page[-1].key <= last_key:
                raise StoreUnknownError("a page of a list has no further key that can be read")
            last_key = page[-1].key

    async def async_watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        """Wait for changes; return them and the revision from which to continue.

        The changes are a PartialList if some could not be read. Raises HistoryLostError if the
        store no longer has the changes after `after`.
        """
        query = urlencode({"prefix": prefix, "after": after, "waitMs": int(wait_s * 1000)})
        status, raw = await self._async_call(
            "GET",
            f"kv-watch?{query}",
            fixed_timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
            total_timeout_s=wait_s + LONG_ANSWER_TIMEOUT_S,
        )
        if status == 410:
            raise HistoryLostError(prefix)
        return _parse_answer(lambda: decode_changes(raw))

    async def async_commit(self, transaction: Transaction) -> int:
        """Commit a transaction and return its revision.

        Raises StoreConflictError if a key is not at its expected revision, and LeaseEndedError if
        a lease of the transaction has ended.
        """
        body = {
            "expectRev": [{"key": key, "rev": rev} for key, rev in transaction.expected.items()],
            "writes": [
                _encode_write(key, value, lease)
                for key, (value, lease) in transaction.writes.items()
            ],
            "remove": transaction.removed,
        }
        status, raw = await self._async_call("POST", "kv-txn", body)
        if status == 412:
            raise StoreConflictError(_parse_answer(lambda: decode_existing_items(raw)))
        if status == 404:
            raise LeaseEndedError("the transaction names a lease that has ended")
        return _parse_answer(lambda: check_revision(raw["rev"], "rev"))

    async def async_grant(self, ttl_s: float) -> int:
        """Grant a lease and return its id."""
        _status, raw = await self._async_call("POST", "kv-lease", {"ttlMs": int(ttl_s * 1000)})
        return _parse_answer(lambda: check_revision(raw["lease"], "lease"))

    async def async_renew(self, lease: int) -> None:
        """Renew a lease; raises LeaseEndedError if it has ended."""
        status, _raw = await self._async_call("POST", f"kv-keep/{lease}")
        if status == 404:
            raise LeaseEndedError(str(lease))

    async def async_end(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
        await self._async_call("DELETE", f"kv-lease-end/{lease}")

    async def _async_call(
        self,
        method: str,
        path: str,
        body: Any = None,
        fixed_timeout_s: float | None = None,
        total_timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        """Call the store and return the status (200, 404, 410 or 412) and the parsed answer.

        `fixed_timeout_s` is the timeout of a call for which the store waits; other calls have an
        adaptive timeout. `total_timeout_s` is for long answers, see `HttpClient.async_send`.

        Raises StoreRefusedError if the call had no effect, and StoreUnknownError if it may have.
        """
        kind = path.partition("?")[0].partition("/")[0]
        timeout_s = self._timeouts.get_timeout(kind) if fixed_timeout_s is None else fixed_timeout_s
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            status, data = await self._http.async_send(
                method, self._base_url + path, timeout_s, body, total_timeout_s=total_timeout_s
            )
        except NotSentError as err:
            raise StoreRefusedError(str(err)) from err
        except NoAnswerError as err:
            raise StoreUnknownError(str(err)) from err
        self._timeouts.record_response_time(kind, loop.time() - sent_at)
        if status in (200, 404, 410, 412):
            return status, _parse_answer(lambda: parse_lenient_json(data)) if data else {}
        if status in (400, 413):
            raise StoreInvalidError(f"status {status}")
        if status in (403, 429, 503):
            raise StoreRefusedError(f"status {status}")
        raise StoreUnknownError(f"status {status}")


def _encode_write(key: str, value: bytes, lease: int) -> dict[str, Any]:
    """Return a write in the JSON form of the store."""
    entry: dict[str, Any] = {"key": key, "value": base64.b64encode(value).decode()}
    if lease:
        entry["lease"] = lease
    return entry


def _parse_answer(parse: Callable[[], T]) -> T:
    """Parse an answer; raises StoreUnknownError if it is malformed, as if it were lost."""
    try:
        return parse()
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as err:
        raise StoreUnknownError(f"the answer cannot be read: {err!r}") from err


class ExecutorClient:
    """Client of the executors, which take one order per call."""

    def __init__(self, http: HttpClient) -> None:
        """Share the HTTP client."""
        self._http = http
        self._timeouts = AdaptiveTimeouts(*ORDER_TIMEOUT_RANGE_S)
        self._invalid_reports = InvalidInputs("report_invalid")

    async def async_start(self, effect: StartTask, fence: int) -> OrderAnswer:
        """Send the order to start a run."""
        body: dict[str, Any] = {
            "task": effect.task,
            "run": effect.run,
            "spec": effect.spec,
            "untilMs": effect.until_ms,
            "fencingToken": fence,
        }
        if effect.saved:
            body["saved"] = effect.saved
        if effect.ticket:
            body["ticket"] = effect.ticket
        return await self._async_send_order(effect, "run-start", body)

    async def async_stop(self, effect: StopTask, fence: int) -> OrderAnswer:
        """Send the order to stop a run."""
        body = {"task": effect.task, "run": effect.run, "fencingToken": fence}
        return await self._async_send_order(effect, "run-stop", body)

    async def async_pace(self, effect: PaceTask, fence: int) -> OrderAnswer:
        """Send the order to change the pace of a run, in percent."""
        body = {
            "task": effect.task,
            "run": effect.run,
            "percent": effect.percent,
            "fencingToken": fence,
        }
        return await self._async_send_order(effect, "pace", body)

    async def async_hold(self, effect: HoldExecutor, fence: int) -> ExecutorReport | str:
        """Renew the executor's lease and return its report, or the outcome if the call failed."""
        body: dict[str, Any] = {"fencingToken": fence, "lastSeen": effect.last_seen}
        if effect.until_ms is not None:
            body["untilMs"] = effect.until_ms
        if effect.wait_s > 0:
            body["waitMs"] = int(effect.wait_s * 1000)
        try:
            status, data = await self._async_post(effect, "hold", body, effect.wait_s)
        except NotSentError:
            return events.NOT_SENT
        except NoAnswerError:
            return events.UNKNOWN
        if status != 200:
            return _parse_order_answer(status, data).outcome
        try:
            report = decode_report(data)
        except DecodeError as err:
            self._invalid_reports.add(effect.executor, err)
            return events.UNKNOWN
        self._invalid_reports.remove(effect.executor)
        return report

    async def _async_post(
        self,
        effect: StartTask | StopTask | PaceTask | HoldExecutor,
        verb: str,
        body: dict[str, Any],
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        """Call an executor, which may wait for `wait_s` before it answers.

        The `Expect-Instance` header makes an executor with another id refuse the call. It does not
        tell processes with the same id apart (`scheduling/processes.py`).
        """
        headers = {**JSON_HEADERS, "Expect-Instance": effect.executor}
        url = f"http://{effect.address}/v1/{verb}"
        timeout_s = wait_s + self._timeouts.get_timeout(effect.executor)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            answer = await self._http.async_send("POST", url, timeout_s, body, headers)
        except (NoAnswerError, NotSentError):
            self._timeouts.record_timeout(effect.executor)
            raise
        if not wait_s:
            self._timeouts.record_response_time(effect.executor, loop.time() - sent_at)
        return answer

    async def _async_send_order(
        self, effect: StartTask | StopTask | PaceTask, verb: str, body: dict[str, Any]
    ) -> OrderAnswer:
        """Send an order and return its outcome."""
        try:
            status, data = await self._async_post(effect, verb, body)
        except NotSentError:
            return OrderAnswer(events.NOT_SENT)
        except NoAnswerError:
            return OrderAnswer(events.UNKNOWN)
        return _parse_order_answer(status, data)


def _parse_order_answer(status: int, data: bytes) -> OrderAnswer:
    """Return the outcome of an answered order or refused hold.

    It is UNKNOWN only for an unexpected status.
    """
    reason, clock_ms = decode_order_answer(data)
    if status == 200:
        return OrderAnswer(events.STARTED, clock_ms)
    if status == 409:
        return OrderAnswer(OUTCOME_BY_REASON.get(reason, events.REFUSED_BUSY), clock_ms)
    return OrderAnswer(OUTCOME_BY_STATUS.get(status, events.UNKNOWN), clock_ms)


class AdviserClient:
    """Client of the adviser, the service that knows which executors may run a step."""

    def __init__(self, http: HttpClient, address: str) -> None:
        """Share the HTTP client and use the adviser at an address."""
        self._http = http
        self._url = ""
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Change the address of the adviser."""
        self._url = f"http://{address}/v1/advise"

    async def async_ask(
        self, step: str, executors: list[str], timeout_s: float
    ) -> tuple[dict[str, str], float]:
        """Return the ticket of each suitable executor, and how long they are valid, in seconds.

        Raises NoAnswerError if there is no valid answer.
        """
        body = {"step": step, "workers": executors}
        try:
            status, data = await self._http.async_send("POST", self._url, timeout_s, body)
        except NotSentError as err:
            raise NoAnswerError(str(err)) from err
        if status != 200:
            raise NoAnswerError(f"status {status}")
        try:
            return decode_advice_answer(data)
        except DecodeError as err:
            raise NoAnswerError(f"advice cannot be read: {err}") from err
