"""HTTP server for callers, metrics and the readiness check of the platform's load balancer."""

from __future__ import annotations

import asyncio
import math
import re
from typing import Any, Final

from aiohttp import web
import orjson

from wasabiramp.entry.answers import (
    ACCEPTED,
    CANCELLED,
    MAY_HAVE_RUN,
    NO_SUCH_JOB,
    NO_SUCH_QUEUE,
    NOT_READY,
    NOT_RUN,
    OVERLOADED,
    SHOWN,
    Answer,
)
from wasabiramp.entry.daemon import async_bind
from wasabiramp.entry.ports import WasabirampError
from wasabiramp.logs import log_event, log_failure
from wasabiramp.platform.wire import InputError, decode_job
from wasabiramp.scheduling.model import Queue

JOB_ID_PATTERN: Final = re.compile(r"[0-9a-f]{16}")
HEADER_CALLER_TIMEOUT: Final = "Deadline-Ms"
CALLER_TIMEOUT_PATTERN: Final = re.compile(r"[0-9]{1,9}")
DEFAULT_CALLER_TIMEOUT_S: Final = 3.0
"""Timeout of a caller that sends no `Deadline-Ms`; equals the time budget of the present queues."""

MAX_CALLER_TIMEOUT_DIGITS: Final = 9
"""Longest value of the header that is read; more than a day."""

LAST_ANSWER_MARGIN_S: Final = 0.1
"""Part of a caller's timeout that is left when a request is answered that has no end by then."""

READY_PATH: Final = "/v1/readyz"
METRICS_PATH: Final = "/metrics"
LINGER_S: Final = 1.0
"""Longest time for which open connections are served after the stop began, until a request lets
their callers be told to leave."""

SHUTDOWN_TIMEOUT_S: Final = 0.5
"""Time for sending the last answers once no request is in progress."""

DRAIN_POLL_INTERVAL_S: Final = 0.01
QUIET_POLLS: Final = 5
"""Interval at which a stop polls for open connections and requests in progress, and polls in a row
without such a request after which there is none."""

LATE_REASON: Final = "the request could not be finished in time"
LATE_RETRY_AFTER_S: Final = 1.0
"""Reason and retry-after of a request that did not end in time."""

LISTEN_BACKLOG: Final = 1024
MAX_HEADER_BYTES: Final = 16_384
STATUS_BY_OUTCOME: Final = {
    ACCEPTED: 200,
    SHOWN: 200,
    CANCELLED: 200,
    NO_SUCH_JOB: 410,
    NO_SUCH_QUEUE: 404,
    OVERLOADED: 429,
    NOT_RUN: 503,
    NOT_READY: 503,
    MAY_HAVE_RUN: 504,
}


class CallerServer:
    """Serves callers, the readiness check and the metrics, each on its own address."""

    def __init__(self, backend: Any) -> None:
        """Serve the decisions of the backend, the daemon's interface for callers."""
        self._backend = backend
        self._runners: list[web.ServerRunner] = []
        self._caller_server: web.Server | None = None
        self._is_stopping = False
        self._answer_by = math.inf
        self._limits: set[asyncio.Timeout] = set()

    async def async_start(
        self, caller_address: str, ready_address: str, metrics_address: str
    ) -> None:
        """Listen on all three addresses."""
        self._caller_server = await self._async_open(self._async_handle_request, caller_address)
        await self._async_open(self._async_handle_readiness, ready_address)
        await self._async_open(self._async_handle_metrics, metrics_address)

    async def async_stop(self, answer_by: float) -> None:
        """Answer all requests that callers have sent, then close the ports and all connections.

        Each answer tells its caller to leave the connection. A request that is still in progress
        at `answer_by`, on the event loop's clock, is answered as one that did not end in time: a
        connection must not end while its caller waits for an answer.
        """
        loop = asyncio.get_running_loop()
        self._is_stopping = True
        self._limit_requests(answer_by)
        linger_until = min(answer_by, loop.time() + LINGER_S)
        while self._has_connections() and loop.time() < linger_until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        for runner in self._runners:
            for site in runner.sites:
                await site.stop()
        await self._async_wait_for_requests(answer_by + SHUTDOWN_TIMEOUT_S)
        # Applies to requests that are read while the idle connections are closed.
        self._limit_requests(loop.time() + SHUTDOWN_TIMEOUT_S / 2)
        for runner in self._runners:
            await runner.cleanup()

    def _has_connections(self) -> bool:
        """Return whether callers have open connections."""
        return self._caller_server is not None and bool(self._caller_server.connections)

    def _limit_requests(self, answer_by: float) -> None:
        """Let all requests be answered by a time, those in progress and those to come."""
        self._answer_by = answer_by
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(min(answer_by, limit.when() or answer_by))

    async def _async_wait_for_requests(self, until: float) -> None:
        """Wait until no request is in progress, or until a time.

        A request is in progress some turns of the loop after its bytes have arrived, more than one
        of which a busy process may owe.
        """
        loop = asyncio.get_running_loop()
        quiet_polls = 0
        while quiet_polls < QUIET_POLLS and loop.time() < until:
            quiet_polls = 0 if self._limits else quiet_polls + 1
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _async_open(self, handler: Any, address: str) -> web.Server:
        """Start a server on an address, and return it."""
        host, _, port = address.rpartition(":")
        server = web.Server(
            handler,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        await async_bind(
            lambda: web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
        )
        self._runners.append(runner)
        return server

    async def _async_handle_readiness(self, request: web.BaseRequest) -> web.Response:
        """Reply 200 to the load balancer when ready, else 503."""
        return web.Response(status=200 if self._backend.is_ready() else 503)

    async def _async_handle_metrics(self, request: web.BaseRequest) -> web.Response:
        """Reply with the metrics page."""
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        body, headers = self._backend.metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    async def _async_handle_request(self, request: web.BaseRequest) -> web.Response:
        """Reply to one request of a caller; while the server stops, also end the connection."""
        response = await self._async_reply(request)
        if self._is_stopping:
            response.force_close()
        return response

    async def _async_reply(self, request: web.BaseRequest) -> web.Response:
        """Return the reply to one request of a caller, errors included."""
        timeout_s = _parse_caller_timeout(request)
        try:
            limit_at = asyncio.get_running_loop().time() + timeout_s - LAST_ANSWER_MARGIN_S
            async with asyncio.timeout_at(min(limit_at, self._answer_by)) as limit:
                self._limits.add(limit)
                try:
                    return _build_response(await self._async_route(request, timeout_s))
                finally:
                    self._limits.discard(limit)
        except TimeoutError:
            log_event("request_cut_off", path=request.path, method=request.method)
            outcome = NOT_READY if request.method == "GET" else MAY_HAVE_RUN
            return _build_response(
                Answer(outcome, reason=LATE_REASON, retry_after_s=LATE_RETRY_AFTER_S)
            )
        except InputError as err:
            log_event("request_invalid", path=request.path, error=err)
            return web.Response(status=400, body=orjson.dumps({"error": str(err)}))
        except web.HTTPRequestEntityTooLarge:
            return web.Response(status=413, body=orjson.dumps({"error": "body: too large"}))
        except asyncio.CancelledError:
            raise
        except WasabirampError as err:
            log_event("request_failed", path=request.path, error=err)
            return web.Response(status=504)
        except Exception:
            log_failure("request_failed")
            return web.Response(status=504)

    async def _async_route(self, request: web.BaseRequest, timeout_s: float) -> Answer:
        """Find the queue of a request and run the requested action."""
        host = request.headers.get("Host", "").partition(":")[0]
        queue = await self._backend.async_find_queue(host, request.path)
        if queue is None:
            return Answer(NO_SUCH_QUEUE)
        if isinstance(queue, Answer):
            return queue
        job_id = request.path[len(queue.prefix) :]
        if not job_id and request.method == "GET":
            return await self._backend.async_count_waiting(queue, timeout_s)
        if not JOB_ID_PATTERN.fullmatch(job_id):
            raise InputError("path: expected a queue's prefix and 16 hexadecimal digits")
        return await self._async_handle_job(request, queue, job_id, timeout_s)

    async def _async_handle_job(
        self, request: web.BaseRequest, queue: Queue, job_id: str, timeout_s: float
    ) -> Answer:
        """Submit, show or cancel one job."""
        if request.method == "POST":
            body = await _read_body(request, self._backend.max_body_bytes)
            job = decode_job(body, job_id, queue, self._backend.read_wall_ms())
            return await self._backend.async_submit(job, timeout_s)
        if request.method == "GET":
            return await self._backend.async_show(job_id, timeout_s)
        if request.method == "DELETE":
            return await self._backend.async_cancel(job_id, timeout_s)
        raise InputError("method: expected GET, POST or DELETE")


async def _read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return the whole body; raises HTTPRequestEntityTooLarge beyond the limit."""
    parts = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > max_bytes:
            raise web.HTTPRequestEntityTooLarge(max_bytes, size)
        parts.append(part)
    return b"".join(parts)


def _parse_caller_timeout(request: web.BaseRequest) -> float:
    """Return how long the caller waits for an answer, in seconds, from its header.

    A missing or invalid header gives DEFAULT_CALLER_TIMEOUT_S.
    """
    raw = request.headers.get(HEADER_CALLER_TIMEOUT, "")
    timeout_ms = int(raw) if CALLER_TIMEOUT_PATTERN.fullmatch(raw) else 0
    return timeout_ms / 1000 if timeout_ms else DEFAULT_CALLER_TIMEOUT_S


def _build_response(answer: Answer) -> web.Response:
    """Return an answer as an HTTP response."""
    headers = {"Content-Type": "application/json"}
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(answer.retry_after_s)))
    body: dict[str, Any] = {}
    if answer.phase:
        body["state"] = answer.phase
    if answer.waiting is not None:
        body["waiting"] = answer.waiting
    if answer.reason:
        body["error"] = answer.reason
    return web.Response(
        status=STATUS_BY_OUTCOME[answer.outcome], body=orjson.dumps(body), headers=headers
    )
