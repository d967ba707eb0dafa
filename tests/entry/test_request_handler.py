"""Tests of callers' requests while the owner, or its path to the store, is lost."""

from __future__ import annotations

import asyncio

import pytest

from wasabiramp.entry.answers import CANCELLED, MAY_HAVE_RUN, NOT_READY, Answer
from wasabiramp.entry.daemon import FLUSH_TIMEOUT_S
from wasabiramp.entry.membership import LEASE_TTL_S
from wasabiramp.model.entry.checker import CANCEL_GRACE_S
from wasabiramp.model.entry.clock import async_run_on_node
from wasabiramp.model.entry.network import STORE
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import JobDefinition, Resources, Step

STEPS = 14
STEP_S = 2.5
PATIENT_CALLER_S = 60.0
"""Timeout of a caller that outlasts a takeover."""


def make_long_job(world: World, number: int) -> JobDefinition:
    """Return a job of many short steps, one after the other."""
    steps = tuple(
        Step(2, Resources(500, 100, 0), STEP_S, after=(index - 1,) if index else ())
        for index in range(STEPS)
    )
    return JobDefinition(
        f"{number:016x}", world.queues[2], f"spec {number}", steps, world.read_wall_ms()
    )


def get_owner_name(world: World) -> str:
    """Return the name of the daemon that is the owner."""
    name = find_owner(world)
    assert name is not None
    return name


async def async_cancel_at(world: World, name: str, job_id: str, timeout_s: float) -> Answer:
    """Cancel a job at one daemon, and record the time of the acknowledgement."""
    handler = world.daemons[name].request_handler
    answer = await async_run_on_node(
        world.node_names[name], handler.async_cancel(job_id, timeout_s)
    )
    if answer.outcome == CANCELLED:
        world.checker.jobs[job_id].cancel_acked_at = world.loop.time()
    return answer


class TestLostOwnership:
    """Requests that wait for an owner go on at the next one when it stops."""

    def test_cancel_is_answered_after_the_owner_lost_its_ownership(self) -> None:
        """Guards against UNASKED: the cancel was never answered, and the job ran to its end."""
        world = World(11)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            assert await world.async_submit(job)
            await asyncio.sleep(2.0)
            name = get_owner_name(world)
            node = world.node_names[name]
            world.network.add_partition(node, STORE)
            await asyncio.sleep(0.2)
            cancel = world.loop.create_task(async_cancel_at(world, name, job.id, PATIENT_CALLER_S))
            await asyncio.sleep(5.0)
            world.network.remove_partition(node, STORE)
            async with asyncio.timeout(4.0):
                answers.append(await cancel)
            await asyncio.sleep(CANCEL_GRACE_S + STEPS * STEP_S)

        world.run(run_scenario())
        assert [answer.outcome for answer in answers] == [CANCELLED]
        assert world.checker.breaches == []

    @pytest.mark.parametrize("timeout_s", [1.0, 3.0])
    def test_cancel_is_answered_before_the_deadline(self, timeout_s: float) -> None:
        """Guards against a request without an answer: the store stays away from the owner."""
        world = World(12)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            assert await world.async_submit(job)
            await asyncio.sleep(1.0)
            name = get_owner_name(world)
            world.store.is_down = True
            async with asyncio.timeout(timeout_s):
                answers.append(await async_cancel_at(world, name, job.id, timeout_s))
            world.store.is_down = False

        world.run(run_scenario())
        assert [answer.outcome for answer in answers] == [MAY_HAVE_RUN]

    def test_show_is_answered_before_the_deadline(self) -> None:
        """Guards against a request without an answer: each read of the store took its own time."""
        world = World(13)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            assert await world.async_submit(job)
            name = get_owner_name(world)
            other = next(n for n in sorted(world.daemons) if n != name)
            world.kill_daemon(name)
            world.store.is_down = True
            handler = world.daemons[other].request_handler
            async with asyncio.timeout(1.0):
                answers.append(
                    await async_run_on_node(
                        world.node_names[other], handler.async_show(job.id, 1.0)
                    )
                )
            world.store.is_down = False

        world.run(run_scenario())
        assert [answer.outcome for answer in answers] == [NOT_READY]


class TestLeavingOwner:
    """The owner is stopped gracefully while callers wait for it."""

    def test_cancel_goes_on_at_the_next_owner(self) -> None:
        """Guards against LOST: the cancel waited for a commit of the owner that had left."""
        world = World(14)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            assert await world.async_submit(job)
            await asyncio.sleep(1.0)
            name = get_owner_name(world)
            node = world.node_names[name]
            # Its commits are not answered in time, so that it leaves with one under way.
            world.network.add_partition(node, STORE)
            cancel = world.loop.create_task(async_cancel_at(world, name, job.id, PATIENT_CALLER_S))
            await asyncio.sleep(0.05)
            leaving = world.loop.create_task(
                async_run_on_node(node, world.daemons[name].async_relinquish())
            )
            await asyncio.sleep(FLUSH_TIMEOUT_S + 0.2)
            world.network.remove_partition(node, STORE)
            await leaving
            async with asyncio.timeout(LEASE_TTL_S + 3.0):
                answers.append(await cancel)
            await asyncio.sleep(CANCEL_GRACE_S + STEPS * STEP_S)

        world.run(run_scenario())
        assert [answer.outcome for answer in answers] == [CANCELLED]
        assert world.checker.breaches == []

    def test_flush_ends_when_the_ownership_is_lost(self) -> None:
        """Guards against a shutdown that waits for changes that nobody stores any more."""
        world = World(15)
        took_s: list[float] = []

        async def run_scenario() -> None:
            await world.async_start()
            assert await world.async_submit(make_long_job(world, 1))
            owner = world.daemons[get_owner_name(world)].owner
            assert owner is not None
            world.store.is_down = True
            next(iter(owner.scheduler.state.jobs.values())).is_dirty = True
            started_at = world.loop.time()
            flush = world.loop.create_task(owner.async_flush())
            await asyncio.sleep(0.05)
            owner.stop()
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await asyncio.wait([flush])
            took_s.append(world.loop.time() - started_at)
            world.store.is_down = False

        world.run(run_scenario())
        assert took_s[0] < FLUSH_TIMEOUT_S / 2
