"""Small stand-ins of the platform for the scripts of the second review.

A store, executors and a client, written from the users' pages. They share no code with the project.
All addresses are on loopback and all ports are free ones.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
import contextlib
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web
import orjson

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.1
VALUE_BYTES = 1_048_576
ENDS_PER_PAGE = 500
GANG_S = 3.0


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Add a line with its time."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def find_free_ports(count: int) -> list[int]:
    """Return free ports on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def reply(body: Any, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(body=orjson.dumps(body), status=status, content_type="application/json")


class Listener:
    """An HTTP server whose process may end and begin again at the same address."""

    def __init__(self, handler: Callable[[web.BaseRequest], Any]) -> None:
        """Prepare the server on a free port."""
        self._handler = handler
        self.port = find_free_ports(1)[0]
        self._runner: web.ServerRunner | None = None
        self._server: web.Server | None = None

    @property
    def address(self) -> str:
        """Return the address."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listen."""
        self._server = web.Server(self._handler, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port, reuse_address=True).start()

    async def close(self) -> None:
        """End all connections and listen no more, as when a process is killed."""
        if self._runner is None or self._server is None:
            return
        runner, self._runner = self._runner, None
        for site in list(runner.sites):
            await site.stop()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()


class Store:
    """The platform's key-value store."""

    def __init__(self, record: Record) -> None:
        """Create an empty store."""
        self.record = record
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 10
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.listener = Listener(self._handle)
        self.refused_values = 0

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key at a new revision, as the operator or an executor does."""
        self.revision += 1
        self._write(key, value, lease)
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key at a new revision."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "rev": self.revision, "removed": True})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def run(self) -> None:
        """End leases that have run out."""
        while True:
            now = time.monotonic()
            for lease in [each for each, (ends_at, _) in self._leases.items() if now >= ends_at]:
                self._end_lease(lease)
            await asyncio.sleep(0.02)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.content.read()
        raw = orjson.loads(body) if body else {}
        await asyncio.sleep(0.004)
        verb, _, rest = request.path.removeprefix("/v1/").partition("/")
        query = request.query
        if verb == "kv-key":
            item = self.items.get(query["key"])
            return reply({**item, "asOf": self.revision}) if item else reply({}, 404)
        if verb == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            page = [self.items[key] for key in keys[:500]]
            return reply({"items": page, "hasMore": len(keys) > 500, "asOf": self.revision})
        if verb == "kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        if verb == "kv-lease":
            self._next_lease += 1
            ttl_s = raw["ttlMs"] / 1000
            self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return reply({"lease": self._next_lease, "ttlMs": raw["ttlMs"]})
        if verb == "kv-keep":
            if int(rest) not in self._leases:
                return reply({}, 404)
            ttl_s = self._leases[int(rest)][1]
            self._leases[int(rest)] = (time.monotonic() + ttl_s, ttl_s)
            return reply({"ttlMs": int(ttl_s * 1000)})
        if verb == "kv-lease-end":
            self._end_lease(int(rest))
            return reply({})
        return self._commit(raw)

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> web.Response:
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            found = []
            for event in reversed(self.history):
                if event["rev"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return reply({"events": found[::-1], "asOf": self.revision})
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _commit(self, raw: dict[str, Any]) -> web.Response:
        checks = raw.get("expectRev") or []
        writes = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in raw.get("writes") or []
        ]
        removed = raw.get("remove") or []
        if len(checks) + len(writes) + len(removed) > 32:
            return reply({"error": "too many entries"}, 400)
        for key, value, _lease in writes:
            if len(value) > VALUE_BYTES:
                self.refused_values += 1
                self.record.add(f"store: 400, a value of {len(value)} bytes for {key}")
                return reply({"error": "value: too large"}, 400)
            if key.startswith(("op/", "servers/")):
                return reply({}, 403)
        if any((self.items.get(row["key"]) or {"rev": 0})["rev"] != row["rev"] for row in checks):
            found = [self.items[row["key"]] for row in checks if row["key"] in self.items]
            return reply({"items": found}, 412)
        if any(lease and lease not in self._leases for _key, _value, lease in writes):
            return reply({}, 404)
        self.revision += 1
        for key, value, lease in writes:
            self._write(key, value, lease)
        for key in removed:
            self._remove(key)
        self._notify()
        return reply({"rev": self.revision})


class Run:
    """A task that runs on an executor.

    The spec is the seconds of its work, or an object with `work_s`, `gang` (the number of members),
    `deadly_s` (the age at which it crashes its executor) and `fails` (how many of its runs fail).
    """

    def __init__(self, task: str, number: int, spec: str, saved: str) -> None:
        """Begin the run; `saved` is what it goes on from."""
        self.task = task
        self.number = number
        parsed = orjson.loads(spec)
        fields = parsed if isinstance(parsed, dict) else {"work_s": parsed}
        self.work_s = float(fields["work_s"])
        self.gang_size = int(fields.get("gang", 0))
        self.deadly_s = fields.get("deadly_s")
        self.fails = int(fields.get("fails", 0))
        self.saved_s = 0
        self.began_at = time.monotonic()
        self.is_complete = not self.gang_size
        self.done_s = 0.0
        self.saved = saved
        self.stops_at: float | None = None


class Gangs:
    """The members of gangs that are present, over all executors."""

    def __init__(self) -> None:
        """Begin without gangs."""
        self._members: dict[tuple[str, int], list[tuple[Executor, Run]]] = {}

    def add(self, executor: Executor, run: Run) -> None:
        """Add a member; the gang works from the moment when all are present."""
        if not run.gang_size:
            return
        members = self._members.setdefault((run.task.rpartition(".")[0], run.number), [])
        members.append((executor, run))
        if len(members) == run.gang_size:
            for _executor, member in members:
                member.is_complete = True
                member.began_at = time.monotonic()

    def remove(self, run: Run, how: str) -> None:
        """Remove a member; the others end too, as done or as broken."""
        key = (run.task.rpartition(".")[0], run.number)
        members = self._members.pop(key, []) if run.gang_size and run.is_complete else []
        for executor, member in members:
            is_there = executor.is_up and executor.runs.get(member.task) is member
            if member is not run and is_there:
                executor.end(member, "done" if how == "done" else "broken")


class Executor:
    """An executor through all its incarnations, at one address and under one id."""

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        cpu: int,
        judge: Judge,
        gangs: Gangs,
        saved_bytes: int = 0,
        down_s: float = 2.0,
        first_report_s: tuple[float, float] = (0.0, HEARTBEAT_S),
    ) -> None:
        """Create an executor; its first report after a start comes within `first_report_s`."""
        self.name = name
        self.store = store
        self.record = record
        self.judge = judge
        self.gangs = gangs
        self.cpu = cpu
        self.down_s = down_s
        self._restarts: set[asyncio.Task[None]] = set()
        self.on_listed: Callable[[list[Any]], None] = lambda ended: None
        self._known_channels: set[int] = set()
        self._healed: asyncio.Event | None = None
        self.saved_bytes = saved_bytes
        self._first_report_s = first_report_s
        self.listener = Listener(self._handle)
        self.is_up = False
        self.slow = 1.0
        self.starts = 0
        self._reported_at = 0.0
        self._task: asyncio.Task[None] | None = None

    async def start(self, is_first: bool = False) -> None:
        """Begin a new incarnation, which knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self._booted_at = self._moved_at = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.lapsed_at = -1.0
        self.runs: dict[str, Run] = {}
        self.ends: list[tuple[int, str, int, str, str, float]] = []
        self.next_end = 1
        self.closed: dict[str, int] = {}
        self.is_up = True
        self._report_due = time.monotonic()
        if not is_first:
            self._report_due += random.uniform(*self._first_report_s)
        await self.listener.open()
        self.record.add(f"{self.name}: started, born {self.born}")
        if self._task is None:
            self._task = asyncio.create_task(self._work())

    async def crash(self) -> None:
        """End the process without a word."""
        self.is_up = False
        tasks = [f"{run.task}/{run.number}" for run in self.runs.values()]
        self.record.add(f"{self.name}: killed, it ran {tasks}")
        lost, self.runs = list(self.runs.values()), {}
        for run in lost:
            self.judge.ended(self, run, "lost")
            self.gangs.remove(run, "lost")
        await self.listener.close()

    async def crash_and_restart(self) -> None:
        """Crash, and be back after some seconds."""
        await self.crash()
        await asyncio.sleep(self.down_s)
        await self.start()

    def _crash_by_task(self, run: Run) -> None:
        """Crash because of a task that crashes each executor that starts it."""
        self.record.add(f"{self.name}: crashes under {run.task} run {run.number}")
        self.judge.crashed(run.task)
        self.is_up = False
        restart = asyncio.create_task(self.crash_and_restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    @property
    def clock_ms(self) -> int:
        """Return the steady clock, which starts anew with each incarnation."""
        return int((time.monotonic() - self._booted_at) * 1000)

    async def _work(self) -> None:
        """Let tasks work, end leases, and report to the store."""
        key = f"servers/{self.name}"
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if not self.is_up:
                if now > self._reported_at + 3 * HEARTBEAT_S:
                    self.store.remove(key)
                continue
            self._move(now)
            if now >= self._report_due:
                self._report_due = now + HEARTBEAT_S
                self._reported_at = now
                value = orjson.dumps(self._entry())
                known = self.store.items.get(key)
                if known is None or base64.b64decode(known["value"]) != value:
                    self.record.add(f"{self.name}: its entry is written, born {self.born}")
                    self.store.put(key, value)

    def _entry(self) -> dict[str, Any]:
        return {
            "service": "service",
            "address": self.listener.address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 262_144, "gpu": 0},
            "labels": ["a", "r0"],
            "born": self.born,
            "seq": 1,
        }

    def _move(self, now: float) -> None:
        passed_s, self._moved_at = now - self._moved_at, now
        if self.clock_ms > self.lease_until:
            self.lapsed_at = now
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
            return
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is not run:
                continue
            if not run.is_complete:
                if now > run.began_at + GANG_S:
                    self.end(run, "alone")
                elif run.stops_at is not None and now >= run.stops_at:
                    self.end(run, "stopped")
                continue
            if run.deadly_s is not None and now >= run.began_at + run.deadly_s:
                self._crash_by_task(run)
                return
            run.done_s += passed_s / self.slow
            if self.saved_bytes and int(run.done_s) > run.saved_s:
                run.saved_s = int(run.done_s)
                run.saved = f"{run.task}:{run.saved_s}:".ljust(self.saved_bytes, "x")
            if run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")
            elif run.done_s >= run.work_s:
                has_failed = len(self.judge.failed.get(run.task, ()))
                self.end(run, "failed" if has_failed < run.fails else "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        del self.runs[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        row = (self.next_end, run.task, run.number, how, run.saved, time.monotonic())
        self.ends.append(row)
        self.next_end += 1
        self.record.add(f"{self.name}: end {row[0]}: {run.task} run {run.number} {how}")
        self.judge.ended(self, run, how)
        self.gangs.remove(run, how)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        raw = orjson.loads(await request.content.read())
        verb = request.path.removeprefix("/v1/")
        born = self.born
        channel = id(request.transport)
        if self._healed is not None:
            return await self._hold_up(request, raw, verb, channel)
        self._known_channels.add(channel)
        if not self.is_up:
            return self._cut(request)
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return self._reply({}, 421)
        fence = raw.get("fencingToken", 0)
        if fence < self.fence:
            return self._reply({"reason": "fence"}, 409)
        self.fence = fence
        if verb == "run-start":
            return self._start_run(request, raw)
        if verb == "run-stop":
            task, number = raw["task"], raw["run"]
            self.closed[task] = max(self.closed.get(task, 0), number)
            run = self.runs.get(task)
            if run is not None and run.number <= number and run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_S
            self.record.add(f"{self.name}: told to stop {task} run {number}")
            return self._reply({})
        if verb != "hold":
            return self._reply({})
        self._renew(raw.get("untilMs"))
        self._forget_ends(raw["lastSeen"])
        deadline = time.monotonic() + min(2000, raw.get("waitMs", 0)) / 1000
        while not self.ends and time.monotonic() < deadline and self.is_up and born == self.born:
            await asyncio.sleep(0.005)
        if not self.is_up or born != self.born:
            return self._cut(request)
        running = [
            [r.task, r.number, r.saved, min(99, int(100 * r.done_s / r.work_s)), 0]
            for r in self.runs.values()
        ]
        ended = [list(row[:5]) for row in self.ends[:ENDS_PER_PAGE]]
        self.on_listed(ended)
        return self._reply({"running": running, "ended": ended})

    def begin_cut(self) -> None:
        """Cut the executor off from all daemons, silently; it runs on."""
        self._healed = asyncio.Event()
        self.record.add(f"{self.name}: is cut off from all daemons")

    def heal(self) -> None:
        """End the cut."""
        if self._healed is not None:
            self.record.add(f"{self.name}: the cut has healed")
            self._healed.set()
            self._healed = None

    async def _hold_up(
        self, request: web.BaseRequest, raw: dict[str, Any], verb: str, channel: int
    ) -> web.Response:
        """Hold a call up until the cut has healed; then it arrives, and nobody reads the answer.

        The bytes on a channel from before the cut are kept, as its sender closes it and does not
        reset it. A new channel cannot be opened.
        """
        healed = self._healed
        if channel in self._known_channels and healed is not None:
            self.record.add(f"{self.name}: a call is held up: {verb} {orjson.dumps(raw).decode()}")
            await healed.wait()
            if verb == "hold" and raw.get("fencingToken", 0) >= self.fence:
                self.fence = raw["fencingToken"]
                self.record.add(f"{self.name}: the call that was held up arrives: {verb}")
                self._renew(raw.get("untilMs"))
                self._forget_ends(raw["lastSeen"])
        else:
            await asyncio.sleep(10.0)
        return self._cut(request)

    def _cut(self, request: web.BaseRequest) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return reply({}, 500)

    def _reply(self, body: dict[str, Any], status: int = 200) -> web.Response:
        return reply({"clockMs": self.clock_ms, "born": self.born, **body}, status)

    def _renew(self, until_ms: int | None) -> None:
        if until_ms is not None:
            until_ms = min(until_ms, self.clock_ms + HOLD_MAX_MS)
            self.lease_until = max(self.lease_until, until_ms)

    def _forget_ends(self, last_seen: int) -> None:
        for row in self.ends:
            if row[0] <= last_seen:
                number, task, run, how, _saved, ended_at = row
                self.record.add(
                    f"{self.name}: end {number} ({task} run {run} {how}) is taken note of by a hold"
                    f" with lastSeen {last_seen}"
                )
                self.judge.noted(self, task, run, how, ended_at, self.lapsed_at >= ended_at)
        self.ends = [row for row in self.ends if row[0] > last_seen]

    def _start_run(self, request: web.BaseRequest, raw: dict[str, Any]) -> web.Response:
        task, number = raw["task"], raw["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return self._reply({})
        if raw["untilMs"] <= self.clock_ms:
            return self._reply({"reason": "late"}, 409)
        self._renew(raw["untilMs"])
        if known is not None or number <= self.closed.get(task, 0):
            return self._reply({"reason": "old"}, 409)
        self.starts += 1
        run = Run(task, number, raw["spec"], raw.get("saved", ""))
        self.record.add(f"{self.name}: started {task} run {number}, born {self.born}")
        self.judge.started(self, run)
        self.runs[task] = run
        self.gangs.add(self, run)
        if run.deadly_s == 0 and run.is_complete:
            # It crashes before the start is answered.
            self._crash_by_task(run)
            return self._cut(request)
        return self._reply({})


class Judge:
    """Checks the rules TWICE and BUDGET (of crashes) on what the executors saw."""

    def __init__(self, record: Record) -> None:
        """Begin without runs."""
        self._record = record
        self.breaches: list[str] = []
        self._running: dict[str, set[tuple[str, int]]] = {}
        self._started_at: dict[str, float] = {}
        self._noted: set[str] = set()
        self.failed: dict[str, set[int]] = {}
        self.noted_failures: dict[str, set[int]] = {}
        self.crashes: dict[str, int] = {}
        self.starts_after_crashes: dict[str, int] = {}

    def crashed(self, task: str) -> None:
        """Note that a task has crashed its executor."""
        self.crashes[task] = self.crashes.get(task, 0) + 1

    def _breach(self, text: str) -> None:
        self.breaches.append(text)
        self._record.add(f"RULE BROKEN: {text}")

    def started(self, executor: Executor, run: Run) -> None:
        """Check a start."""
        running = self._running.setdefault(run.task, set())
        if running:
            self._breach(f"TWICE: {run.task} run {run.number} starts beside {sorted(running)}")
        if run.task in self._noted:
            self._breach(
                f"TWICE: {run.task} run {run.number} starts on {executor.name} after a run of it"
                " has ended done and that was taken note of"
            )
        if self.crashes.get(run.task, 0) >= 3:
            more = self.starts_after_crashes[run.task] = (
                self.starts_after_crashes.get(run.task, 0) + 1
            )
            if more >= 3:
                self._breach(
                    f"BUDGET: {run.task} run {run.number} is start {more} after three executors"
                    f" have crashed under it ({self.crashes[run.task]} by now)"
                )
        running.add((executor.name, run.number))
        self._started_at[run.task] = time.monotonic()

    def ended(self, executor: Executor, run: Run, how: str) -> None:
        """Note an end."""
        self._running.get(run.task, set()).discard((executor.name, run.number))
        if how == "failed":
            self.failed.setdefault(run.task, set()).add(run.number)

    def noted(
        self, executor: Executor, task: str, run: int, how: str, ended_at: float, has_lapsed: bool
    ) -> None:
        """Note that an end was taken note of; not where the lease lapsed between the two."""
        if how == "failed" and not has_lapsed:
            self.noted_failures.setdefault(task, set()).add(run)
        if how != "done" or has_lapsed:
            return
        if self._started_at.get(task, 0.0) > ended_at:
            self._breach(f"TWICE: {task} started again after run {run} had ended done, noted later")
        self._noted.add(task)


class Daemon:
    """A process of the deploy file, with the settings of a small deployment."""

    def __init__(self, name: str, number: int, folder: Path, store: str) -> None:
        """Choose its ports; nothing is started."""
        self.name = name
        self._folder = folder
        self._store = store
        self.front, self.ready, self._control, self._first, self._last = find_free_ports(5)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(f"""nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z"
region = "r"
portRange = [{self._first},{self._last}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = {int(HEARTBEAT_S * 1000)}
contracts = ["base","drain","config","cost","recover","sched","platform"]
commandMode = "call"
[listenAddrs]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready}"
control = "127.0.0.1:{self._control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
graceS = 6
configMs = 2000
holdMaxMs = {HOLD_MAX_MS}
status_s = 120
[platform]
address = "{self._store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = {VALUE_BYTES}
ttlMinMs = 1000
""")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "WASABIRAMP_NODE_FILE": str(path),
        }
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "wasabiramp.platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def stop(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Cell:
    """A store, executors, daemons and a client."""

    def __init__(self, record: Record) -> None:
        """Prepare a cell; nothing is started."""
        self.record = record
        self.judge = Judge(record)
        self.store = Store(record)
        self.gangs = Gangs()
        self.executors: list[Executor] = []
        self.daemons: list[Daemon] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self._session: ClientSession | None = None
        self._store_task: asyncio.Task[None] | None = None
        self._calls = 0

    async def start(
        self, daemons: int, executors: int, max_attempts: int = 4, **kwargs: Any
    ) -> None:
        """Start everything and wait until the daemons are ready."""
        await self.store.listener.open()
        self._store_task = asyncio.create_task(self.store.run())
        route = {
            "name": "queue",
            "host": "cell.example",
            "prefix": "/q/",
            "service": "service",
            "priority": 0,
            "maxAttempts": max_attempts,
            "stretch": 4.0,
            "targetLatencyMs": 1000,
            "timeoutMs": 3000,
        }
        service = {"name": "service", "enforcesCapacity": False}
        config = {"version": 1, "routes": [route], "services": [service], "limits": {}}
        self.store.put("op/config", orjson.dumps(config))
        for number in range(executors):
            executor = Executor(
                f"w-{number}",
                self.store,
                self.record,
                judge=self.judge,
                gangs=self.gangs,
                **kwargs,
            )
            await executor.start(is_first=True)
            self.executors.append(executor)
        for number in range(daemons):
            daemon = Daemon(f"edge-{number}", number, self.folder, self.store.listener.address)
            daemon.start()
            self.daemons.append(daemon)
        self._session = ClientSession(
            timeout=ClientTimeout(total=3.0), connector=TCPConnector(limit=0)
        )
        until = time.monotonic() + 20
        for daemon in self.daemons:
            while not await self._is_ready(daemon):
                if time.monotonic() > until:
                    raise RuntimeError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        self.record.add("all daemons are ready")

    async def _is_ready(self, daemon: Daemon) -> bool:
        assert self._session is not None
        try:
            async with self._session.get(f"http://127.0.0.1:{daemon.ready}/v1/readyz") as answer:
                return answer.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    async def call(self, method: str, job: str, body: Any = None) -> tuple[int, Any]:
        """Call the next daemon as a client; return status 0 without an answer."""
        assert self._session is not None
        self._calls += 1
        daemon = self.daemons[self._calls % len(self.daemons)]
        url = f"http://127.0.0.1:{daemon.front}/q/{job}"
        headers = {
            "Host": "cell.example",
            "Content-Type": "application/json",
            "Deadline-Ms": "3000",
        }
        data = orjson.dumps(body) if body is not None else None
        try:
            async with self._session.request(method, url, data=data, headers=headers) as answer:
                raw = await answer.read()
                shown = orjson.loads(raw) if raw else {}
                status = answer.status
        except (ClientError, TimeoutError, OSError, ValueError):
            status, shown = 0, {}
        self.record.add(f"client: {method} {job} at {daemon.name}: {status} {shown}")
        return status, shown

    async def submit(self, job: str, body: Any) -> bool:
        """Submit a job, with retries; return whether it was accepted."""
        for _ in range(5):
            status, _shown = await self.call("POST", job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def stop(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            daemon.stop()
        if self._session is not None:
            await self._session.close()
        for executor in self.executors:
            executor.is_up = False
            await executor.listener.close()
        await self.store.listener.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder)


async def async_run_case(folder: Path, play: Callable[[Cell], Awaitable[list[str]]]) -> int:
    """Play a case and return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    record = Record(folder / "record.txt")
    cell = Cell(record)
    try:
        breaches = await play(cell)
    except RuntimeError as err:
        record.add(f"the case could not run: {err}")
        return 2
    finally:
        await cell.stop()
    record.add(f"{len(breaches)} breaches")
    for text in breaches:
        record.add(f"RULE BROKEN: {text}")
        print(text)
    return 1 if breaches else 0
