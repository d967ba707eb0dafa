"""HTTP server for callers, metrics and the readiness check of the platform's load balancer."""

from __future__ import annotations

import asyncio
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
from wasabiramp.entry.ports import WasabirampError
from wasabiramp.logs import log_event, log_failure
from wasabiramp.platform.wire import InputError, decode_job
from wasabiramp.scheduling.model import Queue

JOB_ID_PATTERN: Final = re.compile(r"[0-9a-f]{16}")
HEADER_CALLER_TIMEOUT: Final = "Deadline-Ms"
CALLER_TIMEOUT_PATTERN: Final = re.compile(r"[0-9]{1,9}")
DEFAULT_CALLER_TIMEOUT_S: Final = 3.0
"""Timeout of a caller that sends no `Deadline-Ms`; equals the time budget of the present queues."""

READY_PATH: Final = "/v1/readyz"
METRICS_PATH: Final = "/metrics"
SHUTDOWN_TIMEOUT_S: Final = 1.0
"""Time for requests in progress to finish once the load balancer sends no new ones."""

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
        self.open_requests = 0

    async def async_start(
        self, caller_address: str, ready_address: str, metrics_address: str
    ) -> None:
        """Listen on all three addresses."""
        await self._async_open(self._async_handle_request, caller_address)
        await self._async_open(self._async_handle_readiness, ready_address)
        await self._async_open(self._async_handle_metrics, metrics_address)

    async def async_stop(self) -> None:
        """Close the ports after the requests in progress, or after SHUTDOWN_TIMEOUT_S."""
        for runner in self._runners:
            await runner.cleanup()

    async def _async_open(self, handler: Any, address: str) -> None:
        """Start a server on an address."""
        host, _, port = address.rpartition(":")
        server = web.Server(
            handler,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
        self._runners.append(runner)

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
        """Reply to one request of a caller, errors included."""
        self.open_requests += 1
        try:
            return _build_response(await self._async_route(request))
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
        finally:
            self.open_requests -= 1

    async def _async_route(self, request: web.BaseRequest) -> Answer:
        """Find the queue of a request and run the requested action."""
        host = request.headers.get("Host", "").partition(":")[0]
        queue = await self._backend.async_find_queue(host, request.path)
        if queue is None:
            return Answer(NO_SUCH_QUEUE)
        if isinstance(queue, Answer):
            return queue
        job_id = request.path[len(queue.prefix) :]
        timeout_s = _parse_caller_timeout(request)
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
