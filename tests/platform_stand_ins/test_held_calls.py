"""Tests of calls that wait for the end of a cut, or for the next process of an executor."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import socket
import struct
from typing import Any

import aiohttp
import orjson
import pytest

from stand_ins import platform as platform_module
from stand_ins.paths import HELD, Cut
from stand_ins.platform import PlatformStandIn
from stand_ins.reports import HEARTBEAT_S
from wasabiramp.model.entry.checker import JobRecord
from wasabiramp.scheduling.model import JobDefinition, Queue, Resources, Step

JOB = "0" * 16
TASK = f"{JOB}.0.0.0"
CUT = Cut(["i-0"], None, HELD)
DOWNTIME_S = 0.2
ANSWER_S = 2.0
"""Greatest time that an answer may take."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Fleet:
    """A platform with one executor, and a job of one lasting task."""

    def __init__(self) -> None:
        """Create the platform without starting it."""
        self.platform = PlatformStandIn(1)
        queue = Queue("batch", "h", "/b/", "service", 2, 4, 4.0, 3.0)
        step = Step(1, Resources(100, 100, 0), 1.0, is_lasting=True)
        record = JobRecord(JobDefinition(JOB, queue, "spec", (step,), 0))
        self.platform.checker.jobs[JOB] = record

    @property
    def executor(self) -> Any:
        """The executor."""
        return self.platform.executors.by_id["i-0"]

    @property
    def runs(self) -> list[str]:
        """The tasks that run on the executor."""
        return sorted(self.executor.runs)

    async def async_start(self, timeout_s: float = ANSWER_S) -> int:
        """Send a start and return the status, or 0 if there is no answer in time."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{self.executor.entry.address}/v1/run-start"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=make_start()) as answer,
            ):
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def async_start_and_close(self, is_reset: bool) -> None:
        """Send a start, and once it is held, reset or close its connection."""
        host, _, port = self.executor.entry.address.rpartition(":")
        body = make_start()
        head = f"POST /v1/run-start HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection((host, int(port))) as connection:
            if is_reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.sendall(head.encode() + body)
            await async_wait_until(lambda: self.platform.held_calls == 1)


def make_start() -> bytes:
    """Return the body of a start."""
    body = {"task": TASK, "run": 1, "spec": "spec", "untilMs": 60_000, "fencingToken": 1}
    return orjson.dumps(body)


def play(main: Callable[[Fleet], Awaitable[Any]]) -> Any:
    """Run a test with a platform of one executor, and return its result."""

    async def async_play() -> Any:
        fleet = Fleet()
        await fleet.platform.async_start(executors=1)
        try:
            return await main(fleet)
        finally:
            await fleet.platform.async_stop()

    return asyncio.run(async_play())


async def async_wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(ANSWER_S):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def answers_kept_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the next process of an executor answer all calls that waited for it."""
    monkeypatch.setattr(platform_module, "KEPT_SHARE", 0.0)


@pytest.fixture
def leaves_kept_calls_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the next process of an executor answer no call that waited for it."""
    monkeypatch.setattr(platform_module, "KEPT_SHARE", 1.0)


class TestHeldCalls:
    """Calls through a cut that holds bytes arrive after it, unless they were withdrawn."""

    def test_call_is_served_and_answered_after_the_cut(self) -> None:
        async def async_play(fleet: Fleet) -> list[Any]:
            await fleet.platform.async_cut(CUT)
            call = asyncio.create_task(fleet.async_start())
            await async_wait_until(lambda: fleet.platform.held_calls == 1)
            runs_behind_the_cut = fleet.runs
            await fleet.platform.async_heal(CUT)
            return [runs_behind_the_cut, await call, fleet.runs]

        assert play(async_play) == [[], 200, [TASK]]

    def test_call_of_a_closed_connection_is_served_by_the_next_process(self) -> None:
        async def async_play(fleet: Fleet) -> list[Any]:
            await fleet.platform.async_cut(CUT)
            await fleet.async_start_and_close(is_reset=False)
            await fleet.platform.async_crash_executor(fleet.executor, DOWNTIME_S)
            runs_behind_the_cut = fleet.runs
            await fleet.platform.async_heal(CUT)
            await async_wait_until(lambda: fleet.runs == [TASK])
            return [runs_behind_the_cut, fleet.platform.withdrawn_calls]

        assert play(async_play) == [[], 0]

    def test_call_of_a_reset_connection_is_lost(self) -> None:
        async def async_play(fleet: Fleet) -> list[str]:
            await fleet.platform.async_cut(CUT)
            await fleet.async_start_and_close(is_reset=True)
            await async_wait_until(lambda: fleet.platform.withdrawn_calls == 1)
            await fleet.platform.async_heal(CUT)
            await asyncio.sleep(DOWNTIME_S)
            return fleet.runs

        assert play(async_play) == []

    def test_answer_waits_for_the_end_of_a_cut(self) -> None:
        async def async_play(fleet: Fleet) -> list[Any]:
            serve = fleet.platform._async_apply_executor_call

            async def async_serve_and_cut(*arguments: Any) -> Any:
                answer = await serve(*arguments)
                await fleet.platform.async_cut(CUT)
                return answer

            fleet.platform._async_apply_executor_call = async_serve_and_cut
            call = asyncio.create_task(fleet.async_start())
            await async_wait_until(lambda: fleet.runs == [TASK])
            await asyncio.sleep(DOWNTIME_S)
            is_answered_behind_the_cut = call.done()
            await fleet.platform.async_heal(CUT)
            return [is_answered_behind_the_cut, await call]

        assert play(async_play) == [False, 200]


class TestKeptCalls:
    """Calls to an executor that is down reach its next process, if the platform keeps them."""

    async def async_call_while_down(self, fleet: Fleet, keeps_calls: bool, wait_s: float) -> Any:
        """Send a start to an executor that is down, and return the status and what runs then."""
        fleet.platform.executors.keeps_calls = keeps_calls
        crash = fleet.platform.async_crash_executor(fleet.executor, DOWNTIME_S)
        crashing = asyncio.create_task(crash)
        await async_wait_until(lambda: not fleet.executor.is_up)
        status = await fleet.async_start(wait_s)
        await crashing
        await asyncio.sleep(DOWNTIME_S)
        return [status, fleet.runs]

    @pytest.mark.usefixtures("answers_kept_calls")
    def test_call_is_answered_by_the_next_process(self) -> None:
        # Guards against a soak in which no call reaches the next process of an executor (TWICE).
        result = play(lambda fleet: self.async_call_while_down(fleet, True, ANSWER_S))
        assert result == [200, [TASK]]

    @pytest.mark.usefixtures("leaves_kept_calls_unanswered")
    def test_call_without_an_answer_is_served_by_the_next_process(self) -> None:
        result = play(lambda fleet: self.async_call_while_down(fleet, True, DOWNTIME_S / 2))
        assert result == [0, [TASK]]

    def test_call_is_refused_without_the_option(self) -> None:
        result = play(lambda fleet: self.async_call_while_down(fleet, False, ANSWER_S))
        assert result == [0, []]

    def test_call_that_a_process_has_read_ends_with_it(self) -> None:
        async def async_play(fleet: Fleet) -> int:
            fleet.platform.executors.keeps_calls = True
            fleet.executor.late_share = 1.0
            call = asyncio.create_task(fleet.async_start())
            await asyncio.sleep(DOWNTIME_S / 2)
            crash = fleet.platform.async_crash_executor(fleet.executor, ANSWER_S)
            crashing = asyncio.create_task(crash)
            async with asyncio.timeout(ANSWER_S / 2):
                status = await call
            crashing.cancel()
            return status

        assert play(async_play) == 0


class TestLateEntries:
    """The entry of an executor follows its restart at once, or up to a heartbeat later."""

    async def async_restart(self, fleet: Fleet, has_late_entries: bool) -> list[bool]:
        """Restart the executor, and return whether its entry is new at once, and after a beat."""
        key, store = "servers/i-0", fleet.platform.store
        revision = store.items[key].revision
        fleet.platform.has_late_entries = has_late_entries
        await fleet.platform.async_crash_executor(fleet.executor, DOWNTIME_S)
        is_new_at_once = store.items[key].revision > revision
        await asyncio.sleep(HEARTBEAT_S + DOWNTIME_S)
        born_ms = orjson.loads(store.items[key].value)["born"]
        return [is_new_at_once, born_ms == fleet.executor.entry.born_ms]

    def test_entry_follows_late(self) -> None:
        # Guards against a soak in which no owner meets a process that is not listed yet (TWICE).
        assert play(lambda fleet: self.async_restart(fleet, True)) == [False, True]

    def test_entry_follows_at_once(self) -> None:
        assert play(lambda fleet: self.async_restart(fleet, False)) == [True, True]
