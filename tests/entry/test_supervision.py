"""Tests of what happens where something fails that nobody expected."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from wasabiramp.entry.admission import STORED, UNKNOWN, Admission
from wasabiramp.entry.desk import Desk
from wasabiramp.entry.owner import Owner
from wasabiramp.entry.peers import NOT_OWNER, OK, AnnounceJobs, ShowJob
from wasabiramp.entry.ports import NoAnswerError, Transaction
from wasabiramp.entry.reach import LONGEST_PAUSE_S
from wasabiramp.entry.supervision import RESTART_S, async_keep_running, async_settle
from wasabiramp.model.entry.clock import VirtualLoop, async_run_on_node
from wasabiramp.model.entry.executors import ModelExecutorClient
from wasabiramp.model.entry.network import ModelPeers
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import DONE, JobDefinition, Resources, Step
from wasabiramp.scheduling.records import encode_definition
from wasabiramp.scheduling.scheduler import Scheduler


class OddError(Exception):
    """An error that no caller expects."""


def make_job(world: World, number: int) -> JobDefinition:
    """Return a job of one short task."""
    steps = (Step(1, Resources(500, 100, 0), 0.5),)
    return JobDefinition(f"{number:016x}", world.queues[2], "x", steps, world.read_wall_ms())


class TestKeepRunning:
    """A loop goes on after an error, and ends when it is done."""

    def test_restarts_after_a_pause(self) -> None:
        began: list[float] = []

        async def work() -> None:
            began.append(asyncio.get_running_loop().time())
            if len(began) < 3:
                raise OddError

        loop = VirtualLoop()
        loop.run_until_complete(async_keep_running("work", work))
        loop.close()
        assert began == pytest.approx([0.0, RESTART_S, 2 * RESTART_S])

    def test_call_that_fails_has_an_answer(self) -> None:
        async def fail() -> str:
            raise OddError

        assert asyncio.run(async_settle(fail(), "unknown")) == "unknown"


class TestOddErrorsOfTheOwner:
    """One unexpected error does not stop the owner's work."""

    def play(self, monkeypatch: pytest.MonkeyPatch, owner: type, name: str, failures: int) -> World:
        """Let a method fail some times while a job is done."""
        world = World(3)
        method = getattr(owner, name)
        left = [failures]

        def fail_at_first() -> None:
            if left[0] and world.loop.time() > 2.0:
                left[0] -= 1
                raise OddError(name)

        def call(*args: Any) -> Any:
            fail_at_first()
            return method(*args)

        async def async_call(*args: Any) -> Any:
            fail_at_first()
            return await method(*args)

        async def play() -> None:
            await world.async_start()
            is_async = asyncio.iscoroutinefunction(method)
            monkeypatch.setattr(owner, name, async_call if is_async else call)
            assert await world.async_submit(make_job(world, 1))
            await world.async_wait_for_jobs(15.0)
            assert await world.async_show(f"{1:016x}") == DONE

        world.run(play())
        assert left == [0]
        return world

    @pytest.mark.parametrize(
        ("owner", "name", "failures"),
        [
            (Scheduler, "take_changes", 2),
            (Scheduler, "place", 2),
            (Owner, "_watch_load", 2),
            (ModelExecutorClient, "async_start", 1),
            (ModelExecutorClient, "async_hold", 3),
        ],
    )
    def test_job_is_done_all_the_same(
        self, monkeypatch: pytest.MonkeyPatch, owner: type, name: str, failures: int
    ) -> None:
        assert self.play(monkeypatch, owner, name, failures).checker.breaches == []


class TestOddErrorsOfTheDesk:
    """One unexpected error leaves other callers unharmed."""

    def test_admission_goes_on(self) -> None:
        class OddStore:
            """Fails the first commit."""

            commits = 0

            async def async_commit(self, transaction: Transaction) -> int:
                """Fail, then hold."""
                self.commits += 1
                if self.commits == 1:
                    raise OddError
                return 7

        async def play() -> list[str]:
            world = World(1)
            admission = Admission(OddStore())
            running = asyncio.create_task(admission.async_run())
            first, _ = await asyncio.wait_for(admission.async_store(make_job_of(world, 1)), 1.0)
            second, _ = await asyncio.wait_for(admission.async_store(make_job_of(world, 2)), 1.0)
            running.cancel()
            return [first, second]

        assert asyncio.run(play()) == [UNKNOWN, STORED]

    def test_way_to_the_owner_opens_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        world = World(5)

        errors = [NoAnswerError("lost"), OddError()]

        async def fail(*_args: Any) -> Any:
            raise errors.pop(0)

        async def play() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert await world.async_submit(make_job(world, 1))
            name = next(n for n in sorted(world.daemons) if n != owner)
            desk, place = world.daemons[name].desk, world.node_names[name]
            message = ShowJob(f"{1:016x}")
            with monkeypatch.context() as patch:
                patch.setattr(ModelPeers, "async_call", fail)
                answer = await async_run_on_node(place, desk.async_ask_owner(message, 0.4))
                assert answer.outcome == NOT_OWNER
                await asyncio.sleep(LONGEST_PAUSE_S)
                with pytest.raises(OddError):
                    await async_run_on_node(place, desk.async_ask_owner(message, 0.4))
            await asyncio.sleep(2 * LONGEST_PAUSE_S)
            answer = await async_run_on_node(place, desk.async_ask_owner(message, 0.4))
            assert answer.outcome == OK

        world.run(play())

    def test_announced_job_that_cannot_be_read(self) -> None:
        world = World(4)

        async def play() -> None:
            await world.async_start()
            name = find_owner(world)
            assert name is not None
            desk: Desk = world.daemons[name].desk
            rows = [(b"not a record", 900), (encode_definition(make_job(world, 1)), 901)]
            answer = await async_run_on_node(
                world.node_names[name], desk.async_serve(AnnounceJobs(rows))
            )
            assert answer.outcome == OK
            owner = world.daemons[name].owner
            assert owner is not None and owner.find_phase(f"{1:016x}") is not None

        world.run(play())


def make_job_of(world: World, number: int) -> JobDefinition:
    """Return a job for a store that keeps nothing."""
    steps = (Step(1, Resources(500, 100, 0), 0.5),)
    return JobDefinition(f"{number:016x}", world.queues[2], "x", steps, 0)
