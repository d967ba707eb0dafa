"""Callers of the soak test, each with a persistent connection to one daemon."""

from __future__ import annotations

import asyncio
from random import Random
import time
from typing import Any, Final

import aiohttp
import orjson

from soak.cell import Cell, DaemonProcess, make_routes
from soak.jobs import JobDraft, draw_job
from stand_ins.platform_executors import parse_end_s
from wasabiramp.model.entry.checker import HistoryChecker, JobRecord
from wasabiramp.platform.wire import decode_config, decode_job
from wasabiramp.scheduling.model import FINAL_PHASES

CALL_TIMEOUT_S: Final = 3.0
HEADERS: Final = {
    "Host": "soak.example",
    "Content-Type": "application/json",
    "Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
}
MAX_CALL_ATTEMPTS: Final = 6
"""Greatest number of calls that a caller makes to submit or cancel one job."""


class OpenCall:
    """A call that had no answer in time, on a connection that stays open."""

    def __init__(
        self,
        name: str,
        daemon: DaemonProcess,
        session: aiohttp.ClientSession,
        call: asyncio.Task[tuple[int, Any]],
    ) -> None:
        """Keep the connection and the process that received the call."""
        self.name = name
        self._daemon = daemon
        self._process = daemon.process
        self._session = session
        self._call = call

    @property
    def is_forgotten(self) -> bool:
        """Return whether the process lives and has sent neither an answer nor an end."""
        is_alive = self._process is not None and self._process.poll() is None
        return is_alive and not self._call.done()

    async def async_close(self) -> None:
        """Close the connection."""
        self._call.cancel()
        await self._session.close()


async def _async_send(
    session: aiohttp.ClientSession, method: str, url: str, data: bytes | None
) -> tuple[int, Any]:
    """Send a request and return the status and body, or status 0 if the connection ends."""
    try:
        async with session.request(method, url, data=data, headers=HEADERS) as answer:
            raw = await answer.read()
            return answer.status, orjson.loads(raw) if raw else {}
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return 0, {}


class Caller:
    """A caller with its own connection, which chooses another daemon after a failed call."""

    def __init__(self, cell: Cell, checker: HistoryChecker, random: Random) -> None:
        """Create a caller; it connects with its first call."""
        self._cell = cell
        self._checker = checker
        self._random = random
        self._lock = asyncio.Lock()
        self._daemon: DaemonProcess | None = None
        self._session: aiohttp.ClientSession | None = None
        self._config = decode_config(orjson.dumps({"version": 1, "routes": make_routes()}))

    async def async_close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Make a call and return the status and body, or status 0 without an answer.

        Calls are serialized. A call without an answer keeps its connection until the daemon's
        process is gone, and later calls use another one.
        """
        async with self._lock:
            return await self._async_call(method, path, body)

    async def _async_call(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Make a call, on a connection to a random daemon if none is open; close it on failure."""
        if self._session is None or self._daemon is None:
            self._daemon = self._random.choice(self._cell.daemons)
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=60),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S),
            )
        url = f"http://127.0.0.1:{self._daemon.caller_port}{path}"
        data = orjson.dumps(body) if body is not None else None
        call = asyncio.create_task(_async_send(self._session, method, url, data))
        done, _pending = await asyncio.wait((call,), timeout=CALL_TIMEOUT_S)
        if not done:
            self._cell.open_calls.add(
                OpenCall(f"{method} {path}", self._daemon, self._session, call)
            )
            self._session = None
            return 0, {}
        status, answer_body = call.result()
        if status in (0, 504):
            # The next call is made at any daemon, as the platform does with repeated requests.
            await self.async_close()
        return status, answer_body

    async def async_run_job(self, number: int, kinds: list[str]) -> None:
        """Submit a job of one of some kinds, query its phase and, at random, cancel it."""
        draft = draw_job(self._random, kinds)
        prefix, body = draft.prefix, draft.body
        job_id = f"{number:016x}"
        queue = next(q for q in self._config.queues if q.prefix == prefix)
        definition = decode_job(orjson.dumps(body), job_id, queue, int(time.time() * 1000))
        record = self._checker.jobs.setdefault(job_id, JobRecord(definition))
        if not await self._async_submit(prefix + job_id, record, body):
            return
        self._note_common_end(draft)
        for _ in range(3):
            await asyncio.sleep(self._random.uniform(0.05, 1.5))
            await self.async_show(prefix, job_id)
        if self._random.random() < draft.cancel_share:
            await self.async_cancel(prefix + job_id, record)

    def _note_common_end(self, draft: JobDraft) -> None:
        """Note when the tasks of a job end together, for the faults that wait for it."""
        end_s = parse_end_s(draft.body["spec"])
        if end_s is not None:
            self._cell.common_ends_s.append(end_s)

    async def _async_submit(self, path: str, record: JobRecord, body: Any) -> bool:
        """Submit a job with retries and return whether it was accepted."""
        loop = asyncio.get_running_loop()
        for _ in range(MAX_CALL_ATTEMPTS):
            record.submit_attempts += 1
            status, _answer_body = await self.async_call("POST", path, body)
            if status == 200:
                record.accepted_at = loop.time()
                return True
            record.refusals += status in (429, 503)
            if status not in (0, 429, 503, 504):
                self._checker.report(f"STATUS {path}: unexpected status {status} for a valid job")
                return False
            await asyncio.sleep(0.5)
        return False

    async def async_cancel(
        self, path: str, record: JobRecord, attempts: int = MAX_CALL_ATTEMPTS
    ) -> None:
        """Cancel a job, with retries until the cancel is acknowledged."""
        loop = asyncio.get_running_loop()
        record.cancel_asked_at = loop.time()
        for _ in range(attempts):
            status, _answer_body = await self.async_call("DELETE", path)
            if status in (200, 410):
                record.cancel_acked_at = loop.time()
                return
            await asyncio.sleep(0.3)

    async def async_show(self, prefix: str, job_id: str) -> str:
        """Return the phase of an accepted job, or an empty string where none is shown."""
        now = asyncio.get_running_loop().time
        status, answer_body = await self.async_call("GET", prefix + job_id)
        if status == 410:
            self._checker.report(f"LOST at {now():.3f} {job_id}: reported as unknown")
        if status != 200:
            return ""
        self._checker.check_shown(now(), job_id, answer_body["state"])
        return str(answer_body["state"])


def get_prefixes(checker: HistoryChecker) -> dict[str, str]:
    """Return the prefix of each job's queue."""
    return {job_id: record.definition.queue.prefix for job_id, record in checker.jobs.items()}


async def async_wait_for_jobs(
    cell: Cell, checker: HistoryChecker, random: Random, limit_s: float
) -> None:
    """Wait until all accepted jobs have ended and report the others as lost after the limit."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    caller = Caller(cell, checker, random)
    prefixes = get_prefixes(checker)
    waiting = {job_id for job_id, r in checker.jobs.items() if r.accepted_at is not None}
    while waiting and loop.time() < deadline:
        for job_id in sorted(waiting):
            if await caller.async_show(prefixes[job_id], job_id) in FINAL_PHASES:
                waiting.discard(job_id)
        await asyncio.sleep(0.3)
    await caller.async_close()
    for job_id in sorted(waiting):
        checker.report(f"LOST {job_id}: not ended {limit_s:.0f} s after the last fault")
