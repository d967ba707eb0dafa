"""Tests of the handling of unexpected errors."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from wasabiramp.entry.admission import STORED, UNKNOWN, Admission
from wasabiramp.entry.circuit_breaker import MAX_PAUSE_S
from wasabiramp.entry.owner import Owner
from wasabiramp.entry.peers import NOT_OWNER, OK, AnnounceJobs, ShowJob
from wasabiramp.entry.ports import NoAnswerError, Transaction
from wasabiramp.entry.request_handler import RequestHandler
from wasabiramp.entry.supervision import RESTART_DELAY_S, async_call_or_default, async_keep_running
from wasabiramp.model.entry.clock import VirtualLoop, async_run_on_node
from wasabiramp.model.entry.executors import ModelExecutorClient
from wasabiramp.model.entry.network import ModelPeers
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.store import MAX_VALUE_BYTES
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import DONE, JobDefinition, Resources, Step
from wasabiramp.scheduling.records import encode_definition
from wasabiramp.scheduling.scheduler import Scheduler


class UnexpectedError(Exception):
    """An error that no caller expects."""


def make_job(world: World, number: int) -> JobDefinition:
    """Return a job of one short task."""
    steps = (Step(1, Resources(500, 100, 0), 0.5),)
    return JobDefinition(f"{number:016x}", world.queues[2], "x", steps, world.read_wall_ms())


class TestKeepRunning:
    """A loop restarts after an error, and ends when its work returns."""

    def test_restarts_after_a_pause(self) -> None:
        started_at: list[float] = []

        async def work() -> None:
            started_at.append(asyncio.get_running_loop().time())
            if len(started_at) < 3:
                raise UnexpectedError

        loop = VirtualLoop()
        loop.run_until_complete(async_keep_running("work", work))
        loop.close()
        assert started_at == pytest.approx([0.0, RESTART_DELAY_S, 2 * RESTART_DELAY_S])

    def test_failed_call_returns_the_default(self) -> None:
        async def fail() -> str:
            raise UnexpectedError

        assert asyncio.run(async_call_or_default(fail(), "unknown")) == "unknown"


class TestUnexpectedOwnerErrors:
    """Unexpected errors do not stop the owner."""

    def run_scenario(
        self, monkeypatch: pytest.MonkeyPatch, method_class: type, name: str, failures: int
    ) -> World:
        """Let a method fail the given number of times while a job runs."""
        world = World(3)
        method = getattr(method_class, name)
        failures_left = [failures]

        def fail_at_first() -> None:
            if failures_left[0] and world.loop.time() > 2.0:
                failures_left[0] -= 1
                raise UnexpectedError(name)

        def call(*args: Any) -> Any:
            fail_at_first()
            return method(*args)

        async def async_call(*args: Any) -> Any:
            fail_at_first()
            return await method(*args)

        async def run_scenario() -> None:
            await world.async_start()
            is_async = asyncio.iscoroutinefunction(method)
            monkeypatch.setattr(method_class, name, async_call if is_async else call)
            assert await world.async_submit(make_job(world, 1))
            await world.async_wait_for_jobs(15.0)
            assert await world.async_show(f"{1:016x}") == DONE

        world.run(run_scenario())
        assert failures_left == [0]
        return world

    @pytest.mark.parametrize(
        ("method_class", "name", "failures"),
        [
            (Scheduler, "take_changes", 2),
            (Scheduler, "place", 2),
            (Owner, "_check_overload", 2),
            (ModelExecutorClient, "async_start", 1),
            (ModelExecutorClient, "async_hold", 3),
        ],
    )
    def test_job_completes_despite_errors(
        self, monkeypatch: pytest.MonkeyPatch, method_class: type, name: str, failures: int
    ) -> None:
        assert self.run_scenario(monkeypatch, method_class, name, failures).checker.breaches == []


class TestUnexpectedRequestErrors:
    """An unexpected error does not affect other callers."""

    def test_admission_continues_after_an_error(self) -> None:
        class FailingStore:
            """A store whose first commit raises an unexpected error."""

            commits = 0

            async def async_commit(self, transaction: Transaction) -> int:
                """Raise an error at the first call, then return a revision."""
                self.commits += 1
                if self.commits == 1:
                    raise UnexpectedError
                return 7

        async def run_scenario() -> list[str]:
            world = World(1)
            admission = Admission(FailingStore(), MAX_VALUE_BYTES)
            running = asyncio.create_task(admission.async_run())
            first, _ = await asyncio.wait_for(
                admission.async_store(make_undated_job(world, 1)), 1.0
            )
            second, _ = await asyncio.wait_for(
                admission.async_store(make_undated_job(world, 2)), 1.0
            )
            running.cancel()
            return [first, second]

        assert asyncio.run(run_scenario()) == [UNKNOWN, STORED]

    def test_calls_to_the_owner_resume(self, monkeypatch: pytest.MonkeyPatch) -> None:
        world = World(5)

        errors = [NoAnswerError("lost"), UnexpectedError()]

        async def fail(*_args: Any) -> Any:
            raise errors.pop(0)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert await world.async_submit(make_job(world, 1))
            name = next(n for n in sorted(world.daemons) if n != owner)
            handler, place = world.daemons[name].request_handler, world.node_names[name]
            message = ShowJob(f"{1:016x}")
            with monkeypatch.context() as patch:
                patch.setattr(ModelPeers, "async_call", fail)
                answer = await async_run_on_node(place, handler.async_ask_owner(message, 0.4))
                assert answer.outcome == NOT_OWNER
                await asyncio.sleep(MAX_PAUSE_S)
                with pytest.raises(UnexpectedError):
                    await async_run_on_node(place, handler.async_ask_owner(message, 0.4))
            await asyncio.sleep(2 * MAX_PAUSE_S)
            answer = await async_run_on_node(place, handler.async_ask_owner(message, 0.4))
            assert answer.outcome == OK

        world.run(run_scenario())

    def test_unreadable_announcement_does_not_affect_others(self) -> None:
        world = World(4)

        async def run_scenario() -> None:
            await world.async_start()
            name = find_owner(world)
            assert name is not None
            handler: RequestHandler = world.daemons[name].request_handler
            rows = [(b"not a record", 900), (encode_definition(make_job(world, 1)), 901)]
            answer = await async_run_on_node(
                world.node_names[name], handler.async_serve(AnnounceJobs(rows))
            )
            assert answer.outcome == OK
            owner = world.daemons[name].owner
            assert owner is not None and owner.find_phase(f"{1:016x}") is not None

        world.run(run_scenario())


def make_undated_job(world: World, number: int) -> JobDefinition:
    """Return a job accepted at time 0."""
    steps = (Step(1, Resources(500, 100, 0), 0.5),)
    return JobDefinition(f"{number:016x}", world.queues[2], "x", steps, 0)
