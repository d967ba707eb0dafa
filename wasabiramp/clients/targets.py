"""Clients of executors, workers and the instance list."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any, Final

import aiohttp

from wasabiramp.clients.http import (
    CallFailedError,
    CallUnknownError,
    async_call,
    async_call_json,
)
from wasabiramp.core.effects import CallExecutor, ProbeExecutor, SyncWorker, WatchWorker
from wasabiramp.core.events import (
    FAILED,
    OK,
    UNKNOWN,
    ExecutorAnswered,
    ExecutorReported,
    InstancesListed,
    ListedInstance,
    TaskSeen,
    WorkerReported,
)

PROBE_TIMEOUT_S: Final = 1.0
SYNC_TIMEOUT_S: Final = 2.0
WATCH_TIMEOUT_MARGIN_S: Final = 3.0
"""Time beyond the duration of a watch after which its call times out."""

HEADER_CALL_ID: Final = "X-Call-Id"
HEADER_START_BY: Final = "X-Start-By"
HEADER_CLOCK: Final = "X-Clock"
"""Headers with the id of a call, its start deadline and the time of the answer.

Both times are in seconds on the executor's own clock.
"""


class TargetClient:
    """Runs effects on executors and workers and returns their answers as events."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Share an HTTP session."""
        self._session = session

    async def async_call_executor(self, effect: CallExecutor, sent_at: float) -> ExecutorAnswered:
        """Send a request; an answer is accepted only if complete and labelled with this call."""
        headers = {HEADER_CALL_ID: effect.call_id, HEADER_START_BY: repr(effect.start_by_s)}
        url = f"http://{effect.address}/run"
        answered = ExecutorAnswered(effect.executor, effect.call_id, UNKNOWN, sent_at=sent_at)
        try:
            body, answer_headers = await async_call(
                self._session, "POST", url, effect.timeout_s, effect.body, headers
            )
        except CallFailedError as err:
            answered.status, answered.reason = FAILED, str(err)
            return answered
        except CallUnknownError as err:
            answered.reason = str(err)
            return answered
        if answer_headers.get(HEADER_CALL_ID) != effect.call_id:
            answered.reason = "the answer belongs to another call"
            return answered
        answered.status, answered.body = OK, body
        answered.clock_s = float(answer_headers.get(HEADER_CLOCK, "0"))
        return answered

    async def async_probe(self, effect: ProbeExecutor, sent_at: float) -> ExecutorReported:
        """Read an executor's clock, running calls and connections."""
        url = f"http://{effect.address}/status"
        try:
            raw = await async_call_json(self._session, "GET", url, PROBE_TIMEOUT_S)
            return ExecutorReported(
                effect.executor,
                True,
                sent_at,
                raw["clock_s"],
                raw["running"],
                raw["connections"],
            )
        except (CallFailedError, CallUnknownError, KeyError, TypeError):
            return ExecutorReported(effect.executor, False, sent_at)

    async def async_sync(self, effect: SyncWorker, sent_at: float) -> WorkerReported:
        """Send a worker its lease, starts and stops, and return its inventory."""
        body = {
            "lease_s": effect.lease_s,
            "valid_until_s": effect.valid_until_s,
            "renew": effect.renew,
            "starts": [asdict(start) for start in effect.starts],
            "stops": effect.stops,
            "forget": effect.forget,
        }
        url = f"http://{effect.address}/sync"
        return await self._async_report(effect.worker, url, body, SYNC_TIMEOUT_S, sent_at)

    async def async_watch(self, effect: WatchWorker, sent_at: float) -> WorkerReported:
        """Return a worker's inventory once it has changed or the watch has timed out."""
        body = {"sequence": effect.sequence, "timeout_s": effect.timeout_s}
        url = f"http://{effect.address}/watch"
        timeout_s = effect.timeout_s + WATCH_TIMEOUT_MARGIN_S
        report = await self._async_report(effect.worker, url, body, timeout_s, sent_at)
        report.is_watch = True
        return report

    async def _async_report(
        self, worker: str, url: str, body: dict[str, Any], timeout_s: float, sent_at: float
    ) -> WorkerReported:
        """Call a worker and return its inventory."""
        try:
            raw = await async_call_json(self._session, "POST", url, timeout_s, body)
            return parse_report(worker, raw, sent_at)
        except (CallFailedError, CallUnknownError, KeyError, TypeError):
            return WorkerReported(worker, False, sent_at)

    async def async_list(self, address: str, sent_at: float) -> InstancesListed | None:
        """Read the instance list; returns None if it does not answer."""
        url = f"http://{address}/instances"
        try:
            raw = await async_call_json(self._session, "GET", url, PROBE_TIMEOUT_S)
            listed = [ListedInstance(item["name"], item["state"]) for item in raw]
        except (CallFailedError, CallUnknownError, KeyError, TypeError):
            return None
        return InstancesListed(sent_at, listed)


def parse_report(worker: str, raw: dict[str, Any], sent_at: float) -> WorkerReported:
    """Return a worker's answer as an event."""
    return WorkerReported(
        worker,
        True,
        sent_at,
        raw["clock_s"],
        raw["incarnation"],
        raw["sequence"],
        tasks=[
            TaskSeen(
                item["task"],
                item["attempt"],
                item["state"],
                item["exit_code"],
                item["cores"],
                item["memory_mb"],
                item["accelerators"],
                item["reason"],
            )
            for item in raw["tasks"]
        ],
        refused=[(item[0], item[1], item[2]) for item in raw["refused"]],
    )
