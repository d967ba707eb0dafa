"""The simulated cell: daemons, platform and callers on one virtual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from random import Random
from typing import Any, Final, TypeVar

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.answers import (
    ACCEPTED,
    CANCELLED,
    NO_SUCH_JOB,
    NOT_RUN,
    SHOWN,
    Answer,
)
from wasabiramp.entry.daemon import EntryDaemon
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.ports import EntrySettings, NoAnswerError
from wasabiramp.model.entry.checker import MAX_ANSWER_DELAY_S, HistoryChecker, JobRecord
from wasabiramp.model.entry.clock import CURRENT_NODE, VirtualLoop, async_run_on_node
from wasabiramp.model.entry.executors import (
    ModelExecutor,
    ModelExecutorClient,
    ModelExecutors,
)
from wasabiramp.model.entry.heartbeats import HEARTBEAT_S, Heartbeats
from wasabiramp.model.entry.network import ADVISER, ModelListener, ModelPeers, Network, NodeLimits
from wasabiramp.model.entry.store import MAX_VALUE_BYTES, ModelStore, ModelStoreClient
from wasabiramp.scheduling.model import (
    FINAL_PHASES,
    AdvicePolicy,
    CellConfig,
    ExecutorEntry,
    JobDefinition,
    Queue,
    Resources,
)

Result = TypeVar("Result")

WALL_START_S: Final = 1_700_000_000.0
"""Unix time at the start of the virtual clock."""

SERVICE: Final = "service"
"""Name of the service that all executors belong to."""

CALLER: Final = "caller"
"""Node name that all callers share."""

UNLIST_DELAY_S: Final = 4.5
"""Time after which the platform removes the entry of an executor that is gone."""

MAX_CALL_ATTEMPTS: Final = 5
"""Greatest number of calls that a caller makes to submit or cancel one job."""

CALL_TIMEOUT_S: Final = 3.0

LOSS_NOTICE_S: Final = 3.0
"""Time after which a caller that keeps its connection open notices that its daemon is gone."""


class ModelCodec:
    """Codec for the values in the simulated store, which are indexes into a list of objects."""

    config_key = "op/config"
    executors_prefix = "servers/"

    def __init__(self) -> None:
        """Create a codec without objects."""
        self._objects: list[Any] = []

    def encode(self, value: Any) -> bytes:
        """Store an object and return its index as bytes."""
        self._objects.append(value)
        return str(len(self._objects) - 1).encode()

    def decode_config(self, value: bytes) -> CellConfig:
        """Return a configuration."""
        return self._objects[int(value)]

    def decode_executor(self, key: str, value: bytes) -> ExecutorEntry:
        """Return an executor's entry; raises DecodeError if the value is no index of one."""
        index = int(value) if value.isdigit() else len(self._objects)
        entry = self._objects[index] if index < len(self._objects) else None
        if not isinstance(entry, ExecutorEntry):
            raise DecodeError("entry: expected the index of an executor's entry")
        return entry

    def parse_executor_id(self, key: str) -> str:
        """Return the id of the executor under a key."""
        return key.removeprefix(self.executors_prefix)


class ModelAdviser:
    """Client of an adviser that recommends the share `World.good_share` of executors for each step.

    Each daemon asks one question at a time.
    """

    def __init__(self, network: Network, source: str, world: World) -> None:
        """Ask as the daemon node `source`."""
        self._network = network
        self._source = source
        self._world = world
        self._lock = asyncio.Lock()

    async def async_ask(
        self, step: str, executors: list[str], timeout_s: float
    ) -> tuple[dict[str, str], float]:
        """Return the recommended executors with their tickets and the validity in seconds."""

        async def serve() -> tuple[dict[str, str], float]:
            async with self._lock:
                await asyncio.sleep(0.02 + 0.001 * len(executors))
            share = self._world.good_share
            good = {e: "t" for e in executors if Random(f"{step}{e}").random() < share}
            return good, 2.5

        return await self._network.async_call(self._source, ADVISER, timeout_s, serve)


class World:
    """A simulated cell with its platform.

    Example: `world = World(7); world.run(async_run_schedule(world, ["kill_owner"], 3))`.
    """

    def __init__(
        self,
        seed: int,
        daemons: int = 4,
        executors: int = 8,
        status_s: float = 120.0,
        link: tuple[float, float] | None = None,
    ) -> None:
        """Build a cell without faults; nothing runs before `run`.

        `status_s` is the time for which callers may query ended jobs. `link` limits
        each daemon to a number of bytes per second in each direction and sets its processing time
        per message in seconds.
        """
        self._link = link
        self.loop = VirtualLoop()
        self.random = Random(seed)
        self.checker = HistoryChecker(WALL_START_S)
        self.heartbeats: Heartbeats | None = None
        self.network = Network(self.random)
        self.has_late_entries = False
        self.good_share = 0.7
        self._counts = (daemons, executors)
        self._status_s = status_s
        # By node, its tasks in the order of their creation.
        self._tasks: dict[str, dict[asyncio.Task[Any], None]] = {}
        self.daemons: dict[str, EntryDaemon] = {}
        self.clients: dict[str, ModelStoreClient] = {}
        self.node_names: dict[str, str] = {}
        # By node, the limits of the calls of callers that wait for its answer.
        self._open_calls: dict[str, set[asyncio.Timeout]] = {}
        self._incarnations = 0
        self.codec = ModelCodec()
        self.queues = (
            Queue(
                "quotes", "h", "/q/", SERVICE, 0, 2, 1.5, 0.25, 3.0, AdvicePolicy(0.02, 0.001, 2.5)
            ),
            Queue(
                "gangs", "h", "/g/", SERVICE, 1, 4, 2.2, 1.0, 3.0, AdvicePolicy(0.02, 0.001, 2.5)
            ),
            Queue("batch", "h", "/b/", SERVICE, 2, 4, 4.0, 3.0),
        )

    def run(self, main: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine to its end on virtual time and return the result."""
        asyncio.set_event_loop(self.loop)
        self.loop.set_task_factory(self._make_task)
        try:
            return self.loop.run_until_complete(main)
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()
            asyncio.set_event_loop(None)

    def _make_task(self, loop: Any, coroutine: Any, **options: Any) -> asyncio.Task[Any]:
        """Create a task and record the node that it belongs to."""
        task = asyncio.Task(coroutine, loop=loop, **options)
        tasks = self._tasks.setdefault(CURRENT_NODE.get(), {})
        tasks[task] = None
        task.add_done_callback(lambda task: tasks.pop(task, None))
        return task

    async def async_start(self) -> None:
        """Start the platform and all daemons."""
        self.store = ModelStore(self.random)
        self.executors = ModelExecutors(self.random, self.checker)
        self.executors.on_add = self.list_executor
        self.loop.create_task(self.store.async_run())
        self.loop.create_task(self.executors.async_run())
        self.set_config(CellConfig(1, self.queues))
        daemons, executors = self._counts
        for number in range(executors):
            self.add_executor(number)
        for number in range(daemons):
            await self.async_start_daemon(f"entry-{number}")
        await asyncio.sleep(2.0)

    def set_config(self, config: CellConfig) -> None:
        """Write a configuration, as the operator does."""
        self.store.put(ModelCodec.config_key, self.codec.encode(config), 0)

    def add_executor(self, number: int) -> ModelExecutor:
        """Add an executor in one of two racks; every third has the label `b`, the others `a`."""
        kind = "b" if number % 3 == 0 else "a"
        entry = ExecutorEntry(
            id=f"i-{number}",
            address=f"i-{number}",
            service=SERVICE,
            zone="z",
            is_draining=False,
            capacity=Resources(8_000, 8_000, 0),
            labels=(kind, f"r{number % 2}"),
            born_ms=self.read_wall_ms(),
        )
        return self.executors.add(entry)

    def start_heartbeats(self) -> None:
        """Let executors write their entries themselves, which lapse after a silence."""
        self.heartbeats = Heartbeats(
            self.random, self.store, self.network, self.executors, self._write_entry
        )
        self.loop.create_task(self.heartbeats.async_run())

    def list_executor(self, executor: ModelExecutor) -> None:
        """List an executor in the store; with heartbeats, as soon as it reaches the store.

        With `has_late_entries`, that is up to an interval of its heartbeats later.
        """
        if self.heartbeats is not None:
            delay_s = self.random.uniform(0.0, HEARTBEAT_S) if self.has_late_entries else 0.0
            self.heartbeats.report_soon(executor, delay_s)
            return
        self._write_entry(executor)

    def _write_entry(self, executor: ModelExecutor) -> None:
        """Write the entry of an executor to the store, where daemons find it."""
        key = ModelCodec.executors_prefix + executor.entry.id
        self.store.put(key, self.codec.encode(executor.entry), 0)

    def unlist_executor(self, executor_id: str) -> None:
        """Remove the entry of an executor from the store."""
        if self.heartbeats is not None:
            self.heartbeats.forget(executor_id)
        self.store.put(ModelCodec.executors_prefix + executor_id, None, 0)

    def read_wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int((WALL_START_S + self.loop.true_time) * 1000)

    async def async_start_daemon(self, name: str) -> None:
        """Start a new incarnation of a daemon."""
        self._incarnations += 1
        node = f"{name}#{self._incarnations}"
        if self._link is not None:
            self.network.limits[node] = NodeLimits(*self._link)
        token = CURRENT_NODE.set(node)
        try:
            settings = EntrySettings(
                name=name,
                zone="z",
                caller_address="",
                ready_address="",
                peer_address=node,
                metrics_address="",
                store_address="",
                adviser_address="",
                lease_limit_s=6.0,
                grace_s=6.0,
                status_s=self._status_s,
                config_s=2.0,
                lease_least_s=1.0,
                store_value_bytes=MAX_VALUE_BYTES,
                link_mbps=1_000.0 if self._link is None else self._link[0] * 8 / 1e6,
            )
            client = ModelStoreClient(self.network, node, self.store)
            daemon = EntryDaemon(
                settings,
                client,
                ModelExecutorClient(self.network, node, self.executors, self.random),
                ModelAdviser(self.network, node, self),
                self.codec,
                ModelPeers(self.network, node),
                lambda serve: ModelListener(self.network, serve),
                LoopLag(),
                lambda: WALL_START_S + self.loop.true_time,
                lambda: self.loop.true_time,
            )
            await daemon.async_start()
        finally:
            CURRENT_NODE.reset(token)
        self.daemons[name], self.node_names[name], self.clients[name] = daemon, node, client

    def kill_daemon(self, name: str) -> None:
        """Kill a daemon, cancelling its tasks and dropping its messages."""
        node = self.node_names.pop(name)
        del self.daemons[name], self.clients[name]
        self.network.kill(node)
        self.network.listeners.pop(node, None)
        for task in list(self._tasks.get(node, ())):
            task.cancel()
        for limit in self._open_calls.pop(node, ()):
            limit.reschedule(self.loop.time() + LOSS_NOTICE_S)

    async def async_stop_daemon(self, name: str) -> None:
        """Shut a daemon down gracefully."""
        daemon = self.daemons[name]
        token = CURRENT_NODE.set(self.node_names[name])
        try:
            await daemon.async_relinquish()
            await daemon.async_stop()
        except asyncio.CancelledError:
            # A kill of the daemon meanwhile cancels the calls that it waits for.
            if self.daemons.get(name) is daemon:
                raise
        finally:
            CURRENT_NODE.reset(token)
        if self.daemons.get(name) is daemon:
            self.kill_daemon(name)

    async def async_crash_executor(
        self, number: int, downtime_s: float, should_restart: bool
    ) -> None:
        """Crash an executor, and restart it after its downtime or remove it for good."""
        executor = self.executors.by_id[f"i-{number}"]
        executor.crash()
        await asyncio.sleep(downtime_s)
        if should_restart:
            # An overlapping crash may have restarted it; this ends the runs started since then.
            executor.crash()
            executor.begin_incarnation(self.read_wall_ms())
            self.list_executor(executor)
            return
        await asyncio.sleep(max(0.0, UNLIST_DELAY_S - downtime_s))
        self.unlist_executor(executor.entry.id)

    async def async_drain_executor(self, number: int, notice_s: float = 4.0) -> None:
        """Drain an executor for a time, then stop and remove it."""
        executor = self.executors.by_id[f"i-{number}"]
        executor.entry = replace(executor.entry, is_draining=True, remaining_s=notice_s)
        self.list_executor(executor)
        await asyncio.sleep(notice_s)
        executor.crash()
        self.unlist_executor(executor.entry.id)

    async def _async_call(
        self, call: str, *args: Any, timeout_s: float = CALL_TIMEOUT_S, name: str | None = None
    ) -> Answer:
        """Call the request handler of a daemon, by default a random one, as a caller."""
        names = sorted(self.daemons)
        if not names:
            raise NoAnswerError("no daemon is running")
        if name not in self.daemons:
            name = self.random.choice(names)
        handler, node = self.daemons[name].request_handler, self.node_names[name]

        async def serve() -> Answer:
            # The request runs in the daemon: a killed daemon never answers.
            clock = self.loop.true_time - self.loop.get_suspended_s(node)
            due_at = clock + timeout_s + MAX_ANSWER_DELAY_S
            request = self.checker.record_request(f"{call} at {node}", node, due_at)
            try:
                return await async_run_on_node(node, getattr(handler, call)(*args, timeout_s))
            except asyncio.CancelledError:
                return await self.loop.create_future()
            finally:
                self.checker.record_answer(request)

        self.check_answers()
        try:
            async with asyncio.timeout(None) as limit:
                self._open_calls.setdefault(node, set()).add(limit)
                return await self.network.async_call(CALLER, node, timeout_s, serve)
        except TimeoutError as err:
            raise NoAnswerError(f"{node} is gone") from err
        finally:
            self._open_calls.get(node, set()).discard(limit)

    def check_answers(self) -> None:
        """Check that the daemons have answered in time all requests that are due."""
        clocks: dict[str, tuple[float, float]] = {}
        for node in self.node_names.values():
            suspended_s = self.loop.get_suspended_s(node)
            resumed_at = self.loop.get_resume_time(node) - suspended_s
            clocks[node] = (self.loop.true_time - suspended_s, resumed_at)
        self.checker.check_answers(clocks)

    async def async_submit(self, job: JobDefinition, attempts: int = MAX_CALL_ATTEMPTS) -> bool:
        """Submit a job with retries and return whether it was accepted."""
        record = self.checker.jobs.setdefault(job.id, JobRecord(job))
        for _ in range(attempts):
            record.submit_attempts += 1
            try:
                answer = await self._async_call("async_submit", job)
            except NoAnswerError:
                continue
            if answer.outcome == ACCEPTED:
                record.accepted_at = self.loop.time()
                return True
            record.refusals += answer.outcome == NOT_RUN
            await asyncio.sleep(answer.retry_after_s or 0.5)
        return False

    async def async_submit_once(self, job: JobDefinition, timeout_s: float) -> bool:
        """Submit a job once with a timeout, and return whether it was accepted."""
        record = self.checker.jobs.setdefault(job.id, JobRecord(job))
        record.submit_attempts += 1
        try:
            answer = await self._async_call("async_submit", job, timeout_s=timeout_s)
        except NoAnswerError:
            return False
        record.refusals += answer.outcome == NOT_RUN
        return answer.outcome == ACCEPTED

    async def async_show(self, job_id: str) -> str:
        """Return the phase of an accepted job, or an empty string without an answer."""
        try:
            answer = await self._async_call("async_show", job_id)
        except NoAnswerError:
            return ""
        if answer.outcome == NO_SUCH_JOB:
            self.checker.report(f"LOST at {self.loop.time():.3f} {job_id}: reported as unknown")
        if answer.outcome != SHOWN:
            return ""
        self.checker.check_shown(self.loop.time(), job_id, answer.phase)
        return answer.phase

    async def async_cancel(
        self, job_id: str, timeout_s: float = CALL_TIMEOUT_S, name: str | None = None
    ) -> None:
        """Cancel a job, with retries until the cancel is acknowledged.

        The first call goes to the daemon `name`, where given.
        """
        record = self.checker.jobs[job_id]
        record.cancel_asked_at = self.loop.time()
        record.is_cancel_waiting = True
        for _ in range(MAX_CALL_ATTEMPTS):
            try:
                answer = await self._async_call(
                    "async_cancel", job_id, timeout_s=timeout_s, name=name
                )
            except NoAnswerError:
                name = None
                continue
            if answer.outcome in (CANCELLED, NO_SUCH_JOB):
                record.cancel_acked_at = self.loop.time()
                break
            await asyncio.sleep(0.5)
        record.is_cancel_waiting = False

    async def async_wait_for_jobs(self, limit_s: float) -> None:
        """Wait until all accepted jobs have ended and report the others as lost after the limit."""
        deadline = self.loop.time() + limit_s
        waiting = {job_id for job_id, r in self.checker.jobs.items() if r.accepted_at is not None}
        while waiting and self.loop.time() < deadline:
            for job_id in sorted(waiting):
                if await self.async_show(job_id) in FINAL_PHASES:
                    waiting.discard(job_id)
            await asyncio.sleep(0.5)
        self.check_answers()
        for job_id in sorted(waiting):
            self.checker.report(f"LOST {job_id}: not ended {limit_s:.0f} s after the last fault")
