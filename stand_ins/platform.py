"""Stand-in for the users' platform: its store, adviser and executors over HTTP on loopback.

It serves the simulated services of `wasabiramp.model.entry`, so that daemon processes meet the same
behaviour, and are checked by the same history checker, as daemons on the virtual clock.
"""

from __future__ import annotations

import asyncio
import base64
from collections import defaultdict
from random import Random
import time
from typing import Any, Final

from aiohttp import web
import orjson

from stand_ins.listener import Handler, Listener, is_withdrawn
from stand_ins.paths import HELD, ONE_WAY, OPEN, REFUSED, Cut, ExecutorPaths, SenderFinder
from stand_ins.platform_executors import PlatformExecutors
from stand_ins.platform_store import PlatformStore
from stand_ins.reports import HEARTBEAT_S, ExecutorReports
from wasabiramp.entry.ports import (
    Change,
    HistoryLostError,
    Item,
    LeaseEndedError,
    StoreConflictError,
    StoreInvalidError,
    Transaction,
)
from wasabiramp.model.entry.checker import HistoryChecker
from wasabiramp.model.entry.executors import ModelExecutor
from wasabiramp.scheduling import events
from wasabiramp.scheduling.effects import HoldExecutor, StartTask, StopTask
from wasabiramp.scheduling.model import ExecutorEntry, ExecutorReport, Resources

SERVICE: Final = "service"
COMMON_LABEL: Final = "b"
COMMON_LABEL_COUNT: Final = 3
"""A label that few executors have, so that many tasks of one step meet on each, and how many."""
MAX_PAGE_ITEMS: Final = 500
"""Most items in one answer to `kv-range`; a caller asks for further pages by key."""
UNANSWERED_S: Final = 60.0
"""Time for which a handler keeps a call without an answer; every caller's timeout is shorter."""
HELD_CALL_POLL_S: Final = 0.005
KEPT_SHARE: Final = 0.5
"""Share of the calls to an executor that is down which its next process serves without an answer,
even if their sender resets the connection meanwhile."""
DEADLY_DOWNTIME_S: Final = (1.0, 3.0)
"""Range of the time for which an executor is down after a task has crashed it."""
REASONS: Final = {
    events.REFUSED_FENCE: "fence",
    events.REFUSED_OLD: "old",
    events.REFUSED_LATE: "late",
    events.REFUSED_ROOM: "room",
}
"""Reasons on the wire, by the outcome of an order."""


def reply(body: Any, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(body=orjson.dumps(body), status=status, content_type="application/json")


def read_clock_start_s() -> float:
    """Return the Unix time at which the running loop's clock showed zero, for the checker."""
    return time.time() - asyncio.get_running_loop().time()


async def async_leave_unanswered() -> web.Response:
    """Keep a call until its caller has given up."""
    await asyncio.sleep(UNANSWERED_S)
    return reply({}, 500)


def reset_connection(request: web.BaseRequest) -> web.Response:
    """Reset the connection of a request, so that the response returned is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return reply({}, 500)


class PlatformStandIn:
    """The platform services of one cell.

    `good_share` is the share of executors, from 0 to 1, that the adviser recommends for a step.
    With `executors.keeps_calls`, calls to an executor that is down are served by its next process;
    some of them get no answer, the others are lost if their sender resets the connection. With
    `has_late_entries`, the entry of an executor follows up to a heartbeat after its restart.
    `held_calls` counts the calls that waited for the end of a cut or for a process, and
    `withdrawn_calls` those of them that were lost.

    Example: `platform = PlatformStandIn(seed=1); await platform.async_start(executors=6)`.
    """

    def __init__(self, seed: int, checker: HistoryChecker | None = None) -> None:
        """Create the services; they listen once `async_start` has run.

        The event loop must be running, because the history checker relates its clock to Unix time.
        """
        self.random = Random(seed)
        self.checker = checker or HistoryChecker(read_clock_start_s())
        self.store = PlatformStore(self.random)
        self.executors = PlatformExecutors(self.random, self.checker)
        self._reports = ExecutorReports(self.store, self.executors, self.random)
        self.executors.on_add = self.list_executor
        self.executors.on_deadly_crash = self._crash_by_task
        self.store_address = ""
        self.adviser_address = ""
        self.good_share = 0.7
        self.has_late_entries = False
        self.held_calls = 0
        self.withdrawn_calls = 0
        # By executor, the connections of the calls that wait for a process of it.
        self._held_connections: defaultdict[str, set[object]] = defaultdict(set)
        self.senders = SenderFinder()
        self._paths = ExecutorPaths()
        self._listeners: list[Listener] = []
        self._listeners_by_executor: dict[str, Listener] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def async_start(self, executors: int) -> None:
        """Start the services and add this number of executors."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.store.async_run()),
            loop.create_task(self.executors.async_run()),
            loop.create_task(self._reports.async_run()),
        ]
        self.store_address = await self.async_open_store("")
        self.adviser_address = (await self._async_listen(self._async_serve_advice)).address
        for number in range(executors):
            await self.async_add_executor(number)

    async def async_stop(self) -> None:
        """Stop the services."""
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            await listener.async_stop()

    async def _async_listen(self, handler: Handler) -> Listener:
        """Serve requests on a free port."""
        listener = Listener(handler)
        await listener.async_open()
        self._listeners.append(listener)
        return listener

    async def async_open_store(self, daemon: str) -> str:
        """Open an address of the store for the calls of one daemon and return it."""
        listener = await self._async_listen(
            lambda request: self._async_serve_store(daemon, request)
        )
        return listener.address

    async def async_add_executor(self, number: int) -> ModelExecutor:
        """Add an executor with a port of its own."""
        name = f"i-{number}"
        listener = await self._async_listen(
            lambda request: self._async_serve_executor(name, request)
        )
        self._listeners_by_executor[name] = listener
        entry = ExecutorEntry(
            id=name,
            address=listener.address,
            service=SERVICE,
            zone="z",
            is_draining=False,
            capacity=Resources(8_000, 8_000, 0),
            labels=(_choose_kind(number), f"r{number % 2}"),
            born_ms=int(time.time() * 1000),
        )
        return self.executors.add(entry)

    async def async_cut(self, cut: Cut) -> None:
        """Cut executors off from daemons; they run on."""
        self._paths.add(cut)
        await self._async_apply_refusals(cut)

    async def async_heal(self, cut: Cut) -> None:
        """End a cut."""
        self._paths.remove(cut)
        await self._async_apply_refusals(cut)

    async def _async_apply_refusals(self, cut: Cut) -> None:
        """Close or open the ports of the executors of a cut."""
        for name in sorted(cut.executors):
            await self._async_apply_refusal(self.executors.by_id[name])

    async def _async_apply_refusal(self, executor: ModelExecutor) -> None:
        """Close the port of an executor that is down or refuses all daemons, or open it.

        The port of one whose calls are held up meanwhile stays open.
        """
        name = executor.entry.id
        listener = self._listeners_by_executor[name]
        is_holding = self.executors.keeps_calls or self._paths.is_held(name)
        if self._paths.is_refused(name) or not (executor.is_up or is_holding):
            listener.close()
        else:
            await listener.async_open()

    def list_executor(self, executor: ModelExecutor) -> None:
        """Let an executor report to the store now, if that is up."""
        self._reports.report(executor)

    def write_config(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration to the store, as an operator does."""
        service = {"name": SERVICE, "healthPath": "/healthz", "enforcesCapacity": False}
        body = {"version": version, "routes": routes, "services": [service], "limits": {}}
        self.store.put("op/config", orjson.dumps(body), 0)

    async def async_crash_executor(self, executor: ModelExecutor, downtime_s: float) -> None:
        """Crash an executor and start a new incarnation of it after `downtime_s`."""
        executor.crash()
        self._reset_connections(executor)
        await self._async_apply_refusal(executor)
        await asyncio.sleep(downtime_s)
        # An overlapping crash may have restarted it; this ends the runs started since then.
        executor.crash()
        executor.begin_incarnation(int(time.time() * 1000))
        await self._async_apply_refusal(executor)
        if self.has_late_entries:
            self._reports.report_later(executor, self.random.uniform(0.0, HEARTBEAT_S))
        else:
            self.list_executor(executor)

    def _reset_connections(self, executor: ModelExecutor) -> None:
        """Reset the connections of a process that has ended, but not those of calls not yet read.

        Behind a cut that holds bytes, resets do not arrive either.
        """
        name = executor.entry.id
        if not self._paths.is_held(name):
            self._listeners_by_executor[name].reset(self._held_connections[name])

    def _crash_by_task(self, executor: ModelExecutor) -> None:
        """Crash an executor because of a deadly task; it is back after some seconds."""
        downtime_s = self.random.uniform(*DEADLY_DOWNTIME_S)
        task = asyncio.get_running_loop().create_task(
            self.async_crash_executor(executor, downtime_s)
        )
        self._tasks.append(task)

    async def _async_serve_store(self, daemon: str, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call of a daemon to the store, once it is up."""
        body = await request.read()
        if self.store.refuses_all or daemon in self.store.refused_daemons:
            return reply({"error": "the store refuses the call"}, 503)
        while self.store.is_down:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.store.answer_delay_s)
        raw = orjson.loads(body) if body else {}
        try:
            answer = await self._async_apply_store_call(request, raw)
        except StoreConflictError as err:
            answer = reply({"items": [_encode_item(item) for item in err.items.values()]}, 412)
        except StoreInvalidError:
            answer = reply({"error": "a value is too long"}, 400)
        except LeaseEndedError:
            answer = reply({"error": "no such lease"}, 404)
        except HistoryLostError:
            answer = reply({"error": "history is gone"}, 410)
        return await async_leave_unanswered() if self.store.is_down else answer

    async def _async_apply_store_call(self, request: web.BaseRequest, raw: Any) -> web.Response:
        """Apply a call to the store; raises the store's errors."""
        store, operation = self.store, request.path.removeprefix("/v1/")
        operation, _, lease_id = operation.partition("/")
        query = request.query
        if operation == "kv-key":
            item = store.items.get(query["key"])
            return reply({}, 404) if item is None else reply(_encode_item(item))
        if operation == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in store.items if k.startswith(query["prefix"]) and k > after)
            page_items = [_encode_item(store.items[key]) for key in keys[:MAX_PAGE_ITEMS]]
            return reply(
                {"items": page_items, "hasMore": len(keys) > MAX_PAGE_ITEMS, "asOf": store.revision}
            )
        if operation == "kv-watch":
            wait_s = int(query["waitMs"]) / 1000
            changes, as_of = await store.async_wait_for_changes(
                query["prefix"], int(query["after"]), wait_s
            )
            return reply({"events": [_encode_change(change) for change in changes], "asOf": as_of})
        if operation == "kv-lease":
            return reply({"lease": store.grant(raw["ttlMs"] / 1000), "ttlMs": raw["ttlMs"]})
        if operation == "kv-keep":
            store.renew(int(lease_id))
            return reply({"ttlMs": 0})
        if operation == "kv-lease-end":
            store.end_lease(int(lease_id))
            return reply({})
        return await self._async_commit(raw)

    async def _async_commit(self, raw: Any) -> web.Response:
        """Commit a transaction; the answer may be lost and the write applied late."""
        transaction = Transaction(
            {check["key"]: check["rev"] for check in raw["expectRev"]},
            {
                write["key"]: (base64.b64decode(write["value"]), write.get("lease", 0))
                for write in raw["writes"]
            },
            raw["remove"],
        )
        is_lost = self.store.draw_answer_loss()
        if is_lost and self.store.draw_late_write():
            await asyncio.sleep(self.store.draw_late_write_delay_s())
        revision = self.store.commit(transaction)
        if is_lost:
            return await async_leave_unanswered()
        return reply({"rev": revision})

    async def _async_serve_advice(self, request: web.BaseRequest) -> web.Response:
        """Answer which executors the adviser recommends for a step.

        It recommends a pseudo-random share of the executors, the same ones each time for a step.
        """
        raw = orjson.loads(await request.read())
        await asyncio.sleep(0.01 + 0.001 * len(raw["workers"]))
        step = raw["step"]
        recommended = [e for e in raw["workers"] if Random(f"{step}{e}").random() < self.good_share]
        return reply({"good": [[name, "t"] for name in recommended], "validMs": 2500})

    async def _async_serve_executor(self, name: str, request: web.BaseRequest) -> web.Response:
        """Answer a call to an executor, unless the path of its sender is cut."""
        raw = orjson.loads(await request.read())
        executor = self.executors.by_id[name]
        is_kept = self._is_down(executor) and self.random.random() < KEPT_SHARE
        is_late = self._is_held(name, request)
        if is_late and not await self._async_hold_call(name, request, is_kept):
            return reset_connection(request)
        mode = self._get_path_mode(name, request)
        if mode == REFUSED:
            return reset_connection(request)
        if mode not in (OPEN, ONE_WAY):
            return await async_leave_unanswered()
        answer = await self._async_apply_executor_call(executor, request, raw, is_late)
        if is_kept:
            return await async_leave_unanswered()
        while self._get_path_mode(name, request) == HELD and not is_withdrawn(request):
            await asyncio.sleep(HELD_CALL_POLL_S)
        if self._get_path_mode(name, request) != OPEN:
            return await async_leave_unanswered()
        return answer

    def _is_held(self, name: str, request: web.BaseRequest) -> bool:
        """Return whether a call waits for the end of a cut, or for a process of its executor."""
        is_down = self._is_down(self.executors.by_id[name])
        return is_down or self._get_path_mode(name, request) == HELD

    def _is_down(self, executor: ModelExecutor) -> bool:
        """Return whether calls to an executor wait for its next process."""
        return self.executors.keeps_calls and not executor.is_up

    async def _async_hold_call(self, name: str, request: web.BaseRequest, is_kept: bool) -> bool:
        """Hold a call until a process can read it, and return False if it is withdrawn before.

        A call whose sender has closed the connection in the ordinary way is read none the less, and
        so is one that is kept.
        """
        self.held_calls += 1
        connection = request.protocol
        self._held_connections[name].add(connection)
        try:
            while self._is_held(name, request) and (is_kept or not is_withdrawn(request)):
                await asyncio.sleep(HELD_CALL_POLL_S)
        finally:
            self._held_connections[name].discard(connection)
        is_read = is_kept or not is_withdrawn(request)
        self.withdrawn_calls += not is_read
        return is_read

    def _get_path_mode(self, name: str, request: web.BaseRequest) -> str:
        """Return the mode of the path from the sender of a request to an executor."""
        return self._paths.get_mode(name, lambda: self.senders.find(request))

    async def _async_apply_executor_call(
        self, executor: ModelExecutor, request: web.BaseRequest, raw: Any, is_late: bool
    ) -> web.Response:
        """Apply a call to an executor; an order may be applied late and without an answer.

        What a process has received ends with it: it is not applied by the next incarnation. With
        `is_late`, the call was held up before.
        """
        if not executor.is_up:
            return reset_connection(request)
        if request.headers.get("Expect-Instance", executor.entry.id) != executor.entry.id:
            return reply({"clockMs": executor.clock_ms}, 421)
        operation, fence = request.path.removeprefix("/v1/"), raw["fencingToken"]
        born_ms = executor.entry.born_ms
        if operation == "hold":
            answer = await self._async_hold(executor, raw, fence)
            is_same = executor.is_up and executor.entry.born_ms == born_ms
            return answer if is_same else reset_connection(request)
        if self.random.random() < executor.late_share:
            await asyncio.sleep(self.random.uniform(2.0, 12.0))
            if executor.is_up and executor.entry.born_ms == born_ms:
                self._apply_order(executor, operation, raw, fence, True)
            return await async_leave_unanswered()
        outcome = self._apply_order(executor, operation, raw, fence, is_late)
        if outcome == events.STARTED:
            return reply({"clockMs": executor.clock_ms})
        return reply({"clockMs": executor.clock_ms, "reason": REASONS[outcome]}, 409)

    def _apply_order(
        self, executor: ModelExecutor, operation: str, raw: Any, fence: int, is_late: bool
    ) -> str:
        """Apply a start or stop order and return its outcome."""
        name, address = executor.entry.id, executor.entry.address
        if operation == "run-stop":
            return executor.stop(StopTask(name, address, raw["task"], raw["run"]), fence)
        effect = StartTask(
            name,
            address,
            raw["task"],
            raw["run"],
            raw["spec"],
            raw["untilMs"],
            raw.get("saved", ""),
            raw.get("ticket", ""),
        )
        return executor.start(effect, fence, is_late)

    async def _async_hold(self, executor: ModelExecutor, raw: Any, fence: int) -> web.Response:
        """Renew the lease of an executor and answer with its report."""
        effect = HoldExecutor(
            executor.entry.id,
            executor.entry.address,
            raw.get("untilMs"),
            raw["lastSeen"],
            raw.get("waitMs", 0) / 1000,
        )
        report = await executor.async_hold(effect, fence)
        if not isinstance(report, ExecutorReport):
            return reply({"clockMs": executor.clock_ms, "reason": REASONS[report]}, 409)
        return reply(
            {
                "clockMs": report.clock_ms,
                "born": report.born_ms,
                "running": [[r.task, r.run, r.saved, r.percent, 0] for r in report.running],
                "ended": [[e.number, e.task, e.run, e.how, e.saved] for e in report.ended],
            }
        )


def _choose_kind(number: int) -> str:
    """Return the label of an executor that names its kind."""
    is_common = number % 3 == 0 and number < 3 * COMMON_LABEL_COUNT
    return COMMON_LABEL if is_common else "a"


def _encode_item(item: Item) -> dict[str, Any]:
    """Return an item in the store's wire format."""
    value = base64.b64encode(item.value).decode()
    fields = {"key": item.key, "value": value, "rev": item.revision}
    return {**fields, "created": item.created, "lease": 0}


def _encode_change(change: Change) -> dict[str, Any]:
    """Return a change in the wire format of a watch."""
    if change.item is None:
        return {"key": change.key, "rev": change.revision, "removed": True}
    return _encode_item(change.item)
