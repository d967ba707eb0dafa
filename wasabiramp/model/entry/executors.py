"""Simulated executors with leases, fencing tokens, gangs, late orders and injected faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import contextvars
from dataclasses import replace
from random import Random
from typing import Any, Final

from wasabiramp.entry.ports import NoAnswerError, OrderAnswer
from wasabiramp.model.entry.checker import HistoryChecker
from wasabiramp.model.entry.network import ONE_WAY_LATENCY_S, Network
from wasabiramp.scheduling import events
from wasabiramp.scheduling.effects import HoldExecutor, PaceTask, StartTask, StopTask
from wasabiramp.scheduling.model import (
    DONE,
    FAILED,
    EndReport,
    ExecutorEntry,
    ExecutorReport,
    Resources,
    RunReport,
)

MAX_STOP_S: Final = 0.2
"""Greatest time that a run takes to end after a stop order."""

GANG_JOIN_TIMEOUT_S: Final = 3.0
"""Time that a member of a gang waits for the others before it ends as `alone`."""

ORDER_TIMEOUT_S: Final = 0.3
"""Timeout of a call that sends an order to an executor."""

HOLD_TIMEOUT_MARGIN_S: Final = 0.4
"""Time by which the timeout of a hold call exceeds the wait that the call requests."""

LEASE_LIMIT_S: Final = 6.0
"""Greatest time for which a start or a hold renews the lease of an executor."""

MIN_CLOCK_RATE: Final = 0.98
"""Rate of the slowest executor clock relative to true time."""

LATE_ORDER_DELAY_S: Final = (2.0, 12.0)
"""Range of the random delay of an order that is applied late and without an answer."""

SHRINK_GRACE_S: Final = 4.5
"""Time from which a shrunk capacity counts: the platform's time to be in touch again and a beat."""

MAX_KEPT_CALL_S: Final = 6.0
KEPT_CALL_POLL_S: Final = 0.02
"""Longest time for which a call to an executor that is down waits for its next process, and the
interval at which it looks for that."""

MAX_REPORTED_ENDS: Final = 500
"""Greatest number of ended runs in one report."""


DURATION_RANGE: Final = (0.5, 1.6)
"""Range of the random duration of a run, relative to the estimate of its step."""


class ModelRun:
    """A run of a task on a simulated executor.

    `gang_size` is 0 for a run outside a gang. `ends_at` is None until the end of the run is drawn,
    for a gang once all members have started, and `how` is the way in which it then ends.
    """

    __slots__ = (
        "demand",
        "ends_at",
        "gang_size",
        "how",
        "number",
        "started_at",
        "step",
        "stops_at",
        "task",
    )

    def __init__(self, task: str, number: int, demand: Resources, step: str) -> None:
        """Create a run; when and how it ends is drawn once it starts to work."""
        self.task = task
        self.number = number
        self.demand = demand
        self.step = step
        self.gang_size = 0
        self.started_at = 0.0
        self.ends_at: float | None = None
        self.how = DONE
        self.stops_at: float | None = None


class ModelExecutor:
    """One simulated executor through all its incarnations.

    Faults set `fails_all`, which fails all runs that start, and `late_share`, the share of orders
    that are applied late and without an answer. With `refuses_when_down` the machine of an executor
    that is down refuses connections; otherwise it does not answer.
    """

    def __init__(self, fleet: ModelExecutors, entry: ExecutorEntry, random: Random) -> None:
        """Begin the first incarnation."""
        self.fleet = fleet
        self.entry = entry
        self._random = random
        self.is_up = True
        self.fails_all = False
        self.late_share = 0.0
        self.refuses_when_down = False
        self._shrunk_at = float("-inf")
        self.full_capacity = entry.capacity
        self._capacity_before = entry.capacity
        self.begin_incarnation(entry.born_ms)

    def begin_incarnation(self, born_ms: int) -> None:
        """Reset all state, as a restart of the executor does."""
        self.entry = replace(self.entry, born_ms=born_ms, is_draining=False)
        self.clock_started_at = asyncio.get_running_loop().time()
        self.clock_rate = self._random.uniform(MIN_CLOCK_RATE, 1.0)
        self.fence = 0
        self.lease_until_ms = 0
        self.runs: dict[str, ModelRun] = {}
        self.ends: list[tuple[EndReport, float]] = []
        self.lease_expired_at = -1.0
        self.next_end = 1
        # By task, the highest run that ended or was ordered to stop; it is not started again.
        self.last_closed_run: dict[str, int] = {}
        self.is_up = True

    @property
    def clock_ms(self) -> int:
        """Return the monotonic clock of the executor in milliseconds."""
        now = asyncio.get_running_loop().time()
        return 5_000 + int((now - self.clock_started_at) * self.clock_rate * 1000)

    @property
    def free_resources(self) -> Resources:
        """Return the resources that no run uses; a shrunk capacity counts after a time."""
        used = Resources()
        for run in self.runs.values():
            used = used.plus(run.demand)
        return (self._capacity_before if self._has_just_shrunk() else self.entry.capacity).minus(
            used
        )

    def _has_just_shrunk(self) -> bool:
        """Return whether the capacity from before the executor shrank still counts."""
        return asyncio.get_running_loop().time() < self._shrunk_at + SHRINK_GRACE_S

    def set_capacity(self, capacity: Resources) -> None:
        """Shrink or grow the executor, which goes on running its tasks."""
        if not self.entry.capacity.fits(capacity):
            if not self._has_just_shrunk():
                self._capacity_before = self.entry.capacity
            self._shrunk_at = asyncio.get_running_loop().time()
        else:
            self._shrunk_at = float("-inf")
        self.entry = replace(self.entry, capacity=capacity)

    def crash(self) -> None:
        """End all runs without reporting their ends."""
        now = asyncio.get_running_loop().time()
        for run in list(self.runs.values()):
            self.fleet.checker.record_end(now, run.task, run.number, self.entry.id, "lost")
            self.fleet.checker.record_run_at_crash(run.task)
            self.fleet.end_other_members(run)
        self.runs.clear()
        self.is_up = False

    def _crash_by_run(self, run: ModelRun) -> None:
        """Crash because of a run, if it is still there."""
        if self.runs.get(run.task) is run:
            self.fleet.checker.record_crash(run.task)
            self.fleet.on_deadly_crash(self)

    def start(self, effect: StartTask, fence: int, is_late: bool) -> str:
        """Apply a start order and return its outcome."""
        if fence < self.fence:
            return events.REFUSED_FENCE
        self.fence = max(self.fence, fence)
        known = self.runs.get(effect.task)
        if known is not None and known.number == effect.run:
            return events.STARTED
        if effect.until_ms <= self.clock_ms:
            return events.REFUSED_LATE
        lease_end_ms = min(effect.until_ms, self.clock_ms + int(LEASE_LIMIT_S * 1000))
        self.lease_until_ms = max(self.lease_until_ms, lease_end_ms)
        if effect.run <= self.last_closed_run.get(effect.task, 0) or known is not None:
            return events.REFUSED_OLD
        self._start_run(effect, is_late)
        return events.STARTED

    def _start_run(self, effect: StartTask, is_late: bool) -> None:
        """Start a run after the history checker has checked it."""
        now = asyncio.get_running_loop().time()
        checker = self.fleet.checker
        _record, _occurrence, _number, _index, step = checker.find_task(effect.task)
        name = effect.task.rpartition(".")[0]
        same_step_count = sum(run.step == name for run in self.runs.values())
        checker.check_start(
            now,
            effect.task,
            effect.run,
            self.entry.id,
            effect.spec,
            self.entry.labels,
            self.free_resources,
            same_step_count,
            is_late,
        )
        run = ModelRun(effect.task, effect.run, step.demand, name)
        run.started_at = now
        self.runs[effect.task] = run
        share = self.fleet.deadly_start_share
        if share and self._random.random() < share:
            self.fleet.deadly_tasks.add(effect.task)
        if effect.task in self.fleet.deadly_tasks:
            loop = asyncio.get_running_loop()
            loop.call_later(self.fleet.crash_delay_s, self._crash_by_run, run)
        if step.is_gang:
            run.gang_size = step.count
            self.fleet.start_complete_gang(run, step.estimate_s)
        elif not step.is_lasting:
            self._draw_end(run, step.estimate_s)
            if effect.task in self.fleet.deadly_tasks:
                run.ends_at = None

    def _draw_end(self, run: ModelRun, estimate_s: float) -> None:
        """Draw at random when and how a run ends."""
        now = asyncio.get_running_loop().time()
        run.ends_at = now + estimate_s * self._random.uniform(*self.fleet.duration_range)
        if self.fails_all or self._random.random() < self.fleet.failure_share:
            run.how = FAILED

    def stop(self, effect: StopTask, fence: int) -> str:
        """Apply a stop order and return its outcome.

        Later starts of the run or of earlier runs of the task are refused.
        """
        if fence < self.fence:
            return events.REFUSED_FENCE
        self.fence = max(self.fence, fence)
        self.last_closed_run[effect.task] = max(
            self.last_closed_run.get(effect.task, 0), effect.run
        )
        run = self.runs.get(effect.task)
        if run is not None and run.number <= effect.run and run.stops_at is None:
            run.stops_at = asyncio.get_running_loop().time() + self._random.uniform(0, MAX_STOP_S)
        return events.STARTED

    async def async_hold(self, effect: HoldExecutor, fence: int) -> ExecutorReport | str:
        """Renew the lease, wait until a run has ended or the wait is over, and return a report."""
        if fence < self.fence:
            return events.REFUSED_FENCE
        self.fence = max(self.fence, fence)
        if effect.until_ms is not None:
            lease_end_ms = min(effect.until_ms, self.clock_ms + int(LEASE_LIMIT_S * 1000))
            self.lease_until_ms = max(self.lease_until_ms, lease_end_ms)
        self._acknowledge_ends(effect.last_seen)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + effect.wait_s
        born_ms = self.entry.born_ms
        while not self.ends and loop.time() < deadline and self.entry.born_ms == born_ms:
            await asyncio.sleep(0.01)
        running = tuple(
            RunReport(run.task, run.number, "", 100.0, 0.0) for run in self.runs.values()
        )
        ended = tuple(end for end, _at in self.ends[:MAX_REPORTED_ENDS])
        return ExecutorReport(self.clock_ms, self.entry.born_ms, running, ended)

    def _acknowledge_ends(self, last_seen: int) -> None:
        """Remove the ends that the owner has acknowledged and record them in the checker."""
        now = asyncio.get_running_loop().time()
        for end, ended_at in self.ends:
            if end.number <= last_seen:
                is_lease_expired = self.lease_expired_at >= ended_at
                self.fleet.checker.record_acknowledged_end(
                    now, end.task, end.run, end.how, ended_at, is_lease_expired
                )
        self.ends = [(end, at) for end, at in self.ends if end.number > last_seen]

    def end_run(self, run: ModelRun, how: str) -> None:
        """End a run and add its end to the next reports.

        `how` is DONE, FAILED, `stopped` by an order, `lapsed` with the lease, `alone` where the
        other members of the gang did not start, or `broken` where one of them ended.
        """
        now = asyncio.get_running_loop().time()
        if self.runs.pop(run.task, None) is None:
            return
        self.last_closed_run[run.task] = max(self.last_closed_run.get(run.task, 0), run.number)
        self.fleet.checker.record_end(now, run.task, run.number, self.entry.id, how)
        end = EndReport(self.next_end, run.task, run.number, how, "")
        self.ends.append((end, now))
        self.next_end += 1
        if run.gang_size and how != DONE:
            self.fleet.end_other_members(run)

    def end_due_runs(self) -> None:
        """End the runs that are finished, stopped or without a lease.

        Members of a gang whose other members do not start in time end too.
        """
        if not self.is_up:
            return
        now = asyncio.get_running_loop().time()
        if self.clock_ms > self.lease_until_ms:
            # Recorded also without runs, as ends that are not yet acknowledged depend on it.
            self.lease_expired_at = now
            for run in list(self.runs.values()):
                self.end_run(run, "lapsed")
            return
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is not run:
                continue
            if run.stops_at is not None and now >= run.stops_at:
                self.end_run(run, "stopped")
            elif run.ends_at is not None and now >= run.ends_at:
                if run.gang_size and run.how == DONE:
                    self.fleet.end_gang(run)
                else:
                    self.end_run(run, run.how)
            elif (
                run.gang_size and run.ends_at is None and now > run.started_at + GANG_JOIN_TIMEOUT_S
            ):
                self.end_run(run, "alone")


class ModelExecutors:
    """The fleet of simulated executors, and the gangs that span them."""

    def __init__(self, random: Random, checker: HistoryChecker) -> None:
        """Create an empty fleet.

        `on_add` is called with each executor that is added. Each run of one of the `deadly_tasks`
        crashes its executor after `crash_delay_s`, for which `on_deadly_crash` is called. Of the
        tasks that start, the share `deadly_start_share` is deadly from then on. With `keeps_calls`,
        calls to an executor that is down are served by its next process, without an answer.
        """
        self._random = random
        self.checker = checker
        self.by_id: dict[str, ModelExecutor] = {}
        self.failure_share = 0.0
        self.duration_range = DURATION_RANGE
        self.on_add: Callable[[ModelExecutor], None] = lambda executor: None
        self.keeps_calls = False
        self.deadly_tasks: set[str] = set()
        self.deadly_start_share = 0.0
        self.crash_delay_s = 0.02
        self.on_deadly_crash: Callable[[ModelExecutor], None] = ModelExecutor.crash

    def add(self, entry: ExecutorEntry) -> ModelExecutor:
        """Add an executor."""
        executor = ModelExecutor(self, entry, self._random)
        self.by_id[entry.id] = executor
        self.on_add(executor)
        return executor

    async def async_run(self) -> None:
        """End due runs of all executors periodically."""
        while True:
            for executor in list(self.by_id.values()):
                executor.end_due_runs()
            await asyncio.sleep(0.01)

    def find_members(self, run: ModelRun) -> list[tuple[ModelExecutor, ModelRun]]:
        """Return the members of a run's gang that are running."""
        return [
            (executor, other)
            for executor in self.by_id.values()
            for other in executor.runs.values()
            if other.step == run.step and other.number == run.number
        ]

    def start_complete_gang(self, run: ModelRun, estimate_s: float) -> None:
        """Draw when and how the runs of a gang end, once its last member has started."""
        members = self.find_members(run)
        if len(members) < run.gang_size:
            return
        now = asyncio.get_running_loop().time()
        ends_at = now + estimate_s * self._random.uniform(*self.duration_range)
        fails = self._random.random() < self.failure_share
        for _executor, other in members:
            other.ends_at = ends_at
        if fails:
            members[0][1].how = FAILED

    def end_gang(self, run: ModelRun) -> None:
        """End all members as done, or as failed or broken where a member fails or is missing."""
        members = self.find_members(run)
        failing = [pair for pair in members if pair[1].how == FAILED]
        if failing or len(members) < run.gang_size:
            executor, other = failing[0] if failing else members[0]
            executor.end_run(other, FAILED if failing else "broken")
            return
        for executor, other in members:
            executor.end_run(other, DONE)

    def end_other_members(self, run: ModelRun) -> None:
        """End the other members of a gang as broken after one has ended."""
        if not run.gang_size or run.ends_at is None:
            return
        for executor, other in self.find_members(run):
            if other is not run:
                other.gang_size = 0
                executor.end_run(other, "broken")


class ModelExecutorClient:
    """Executor client of one daemon.

    An executor that is down never answers: the handler sleeps for longer than the call's timeout.
    """

    def __init__(
        self, network: Network, source: str, executors: ModelExecutors, random: Random
    ) -> None:
        """Make calls as the daemon node `source`."""
        self._network = network
        self._source = source
        self._executors = executors
        self._random = random

    def _is_kept(self, executor_id: str) -> bool:
        """Return whether a call waits for the next process of an executor that is down."""
        executor = self._executors.by_id.get(executor_id)
        if executor is None or executor.is_up or executor.refuses_when_down:
            return False
        return self._executors.keeps_calls

    async def _async_keep(
        self, executor_id: str, timeout_s: float, serve: Callable[[ModelExecutor], Any]
    ) -> None:
        """Let the next process of an executor serve a call; return once its sender gives up."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            self._async_serve_when_up(executor_id, serve), context=contextvars.Context()
        )
        # The call goes on without its sender, which may be killed.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(task), timeout_s)

    async def _async_serve_when_up(
        self, executor_id: str, serve: Callable[[ModelExecutor], Any]
    ) -> None:
        """Serve a call once an executor is up again, unless that takes too long."""
        for _ in range(round(MAX_KEPT_CALL_S / KEPT_CALL_POLL_S)):
            executor = self._executors.by_id.get(executor_id)
            if executor is not None and executor.is_up:
                served = serve(executor)
                if asyncio.iscoroutine(served):
                    await served
                return
            await asyncio.sleep(KEPT_CALL_POLL_S)

    async def _async_is_refused(self, executor_id: str) -> bool:
        """Return whether the machine of an executor refuses the connection, after a round trip."""
        executor = self._executors.by_id.get(executor_id)
        is_down = executor is not None and not executor.is_up and executor.refuses_when_down
        if not is_down and not self._network.is_refused(self._source, executor_id):
            return False
        await asyncio.sleep(ONE_WAY_LATENCY_S[1])
        return True

    async def _async_send_order(
        self, executor_id: str, order: Callable[[ModelExecutor, bool], str]
    ) -> OrderAnswer:
        """Send an order, which an executor may also apply late without an answer."""

        async def serve() -> OrderAnswer:
            executor = self._executors.by_id.get(executor_id)
            if executor is None or not executor.is_up:
                await asyncio.sleep(3600)
            # A late order is applied after a delay, and its sender gets no answer.
            if self._random.random() < executor.late_share:
                loop = asyncio.get_running_loop()
                delay_s = self._random.uniform(*LATE_ORDER_DELAY_S)
                loop.call_later(delay_s, _apply_late_order, executor, order)
                await asyncio.sleep(3600)
            return OrderAnswer(order(executor, False), executor.clock_ms)

        if self._is_kept(executor_id):
            await self._async_keep(
                executor_id, ORDER_TIMEOUT_S, lambda executor: order(executor, True)
            )
            return OrderAnswer(events.UNKNOWN)
        if await self._async_is_refused(executor_id):
            return OrderAnswer(events.NOT_SENT)
        try:
            return await self._network.async_call(self._source, executor_id, ORDER_TIMEOUT_S, serve)
        except NoAnswerError:
            return OrderAnswer(events.UNKNOWN)

    async def async_start(self, effect: StartTask, fence: int) -> OrderAnswer:
        """Start a run."""
        return await self._async_send_order(
            effect.executor, lambda executor, is_late: executor.start(effect, fence, is_late)
        )

    async def async_stop(self, effect: StopTask, fence: int) -> OrderAnswer:
        """Stop a run."""
        return await self._async_send_order(
            effect.executor, lambda executor, is_late: executor.stop(effect, fence)
        )

    async def async_pace(self, effect: PaceTask, fence: int) -> OrderAnswer:
        """Acknowledge a pace without effect, as the model has no serving tasks."""
        return await self._async_send_order(
            effect.executor, lambda executor, is_late: events.STARTED
        )

    async def async_hold(self, effect: HoldExecutor, fence: int) -> ExecutorReport | str:
        """Renew the lease of an executor and wait for its report."""

        async def serve() -> ExecutorReport | str:
            executor = self._executors.by_id.get(effect.executor)
            if executor is None or not executor.is_up:
                await asyncio.sleep(3600)
            born_ms = executor.entry.born_ms
            answer = await executor.async_hold(effect, fence)
            if not executor.is_up or executor.entry.born_ms != born_ms:
                # The process that held the call has crashed meanwhile.
                await asyncio.sleep(3600)
            return answer

        timeout_s = effect.wait_s + HOLD_TIMEOUT_MARGIN_S
        if self._is_kept(effect.executor):
            await self._async_keep(
                effect.executor, timeout_s, lambda executor: executor.async_hold(effect, fence)
            )
            return events.UNKNOWN
        if await self._async_is_refused(effect.executor):
            return events.NOT_SENT
        try:
            return await self._network.async_call(self._source, effect.executor, timeout_s, serve)
        except NoAnswerError:
            return events.UNKNOWN


def _apply_late_order(executor: ModelExecutor, order: Callable[[ModelExecutor, bool], str]) -> None:
    """Apply an order long after it was sent, possibly at a newer incarnation of the executor."""
    if executor.is_up:
        order(executor, True)
