"""Tests of callers' requests while the owner, or its path to the store, is lost."""

from __future__ import annotations

import asyncio

import pytest

from wasabiramp.entry.answers import (
    ACCEPTED,
    CANCELLED,
    MAY_HAVE_RUN,
    NO_SUCH_JOB,
    NOT_READY,
    NOT_RUN,
    SHOWN,
    Answer,
)
from wasabiramp.entry.daemon import FLUSH_TIMEOUT_S
from wasabiramp.entry.keys import PREFIX_JOB, PREFIX_PROGRESS
from wasabiramp.entry.membership import LEASE_TTL_S
from wasabiramp.entry.ports import StoreUnknownError, Transaction
from wasabiramp.model.entry.checker import CANCEL_GRACE_S, JobRecord
from wasabiramp.model.entry.clock import async_run_on_node
from wasabiramp.model.entry.network import STORE
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.store import LATE_WRITE_DELAY_S, ModelStoreClient
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import JobDefinition, Resources, Step

STEPS = 14
STEP_S = 2.5
PATIENT_CALLER_S = 60.0
"""Timeout of a caller that outlasts a takeover."""

STATUS_S = 4.0
RECORDS_GONE_S = 20.0
"""Time for which ended jobs can be shown, and time after which their records have been removed."""


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


def get_other_name(world: World) -> str:
    """Return the name of a daemon that is not the owner."""
    owner = find_owner(world)
    return next(name for name in sorted(world.daemons) if name != owner)


async def async_call_at(world: World, name: str, call: str, *args: object) -> Answer:
    """Make a caller's call at one daemon."""
    handler = world.daemons[name].request_handler
    return await async_run_on_node(world.node_names[name], getattr(handler, call)(*args))


async def async_cancel_at(world: World, name: str, job_id: str, timeout_s: float) -> Answer:
    """Cancel a job at one daemon, and record the time of the acknowledgement."""
    answer = await async_call_at(world, name, "async_cancel", job_id, timeout_s)
    if answer.outcome in (CANCELLED, NO_SUCH_JOB):
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
            async with asyncio.timeout(1.0):
                answers.append(await async_call_at(world, other, "async_show", job.id, 1.0))
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


class TestCancelBeforeStorage:
    """A cancel of a job that is not stored keeps an unanswered write from storing it later."""

    async def async_submit_unanswered(self, world: World) -> JobDefinition:
        """Submit a job whose write has no answer and is carried out seconds later."""
        job = make_long_job(world, 1)
        record = world.checker.jobs.setdefault(job.id, JobRecord(job))
        record.submit_attempts += 1
        world.store.answer_loss_share = world.store.late_share = 1.0
        answer = await async_call_at(world, get_other_name(world), "async_submit", job, 0.5)
        world.store.answer_loss_share = world.store.late_share = 0.0
        assert answer.outcome == MAY_HAVE_RUN
        return job

    @pytest.mark.parametrize("seed", range(20, 25))
    def test_late_write_does_not_run_after_the_cancel(self, seed: int) -> None:
        """Guards against UNASKED: a late write stored the job after its cancel was answered 410."""
        world = World(seed)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = await self.async_submit_unanswered(world)
            name = get_other_name(world)
            answers.append(await async_cancel_at(world, name, job.id, 3.0))
            await asyncio.sleep(LATE_WRITE_DELAY_S[1] + CANCEL_GRACE_S + 1.0)
            answers.append(await async_call_at(world, name, "async_show", job.id, 3.0))

        world.run(run_scenario())
        assert [answer.outcome for answer in answers] == [NO_SUCH_JOB, NO_SUCH_JOB]
        assert world.checker.starts == 0
        assert world.checker.breaches == []

    def test_late_write_does_not_run_after_a_takeover(self) -> None:
        """Guards against a cancel that only its owner knows."""
        world = World(26)

        async def run_scenario() -> None:
            await world.async_start()
            job = await self.async_submit_unanswered(world)
            answer = await async_cancel_at(world, get_other_name(world), job.id, 3.0)
            assert answer.outcome == NO_SUCH_JOB
            world.kill_daemon(get_owner_name(world))
            await asyncio.sleep(LATE_WRITE_DELAY_S[1] + CANCEL_GRACE_S + 1.0)

        world.run(run_scenario())
        assert world.checker.starts == 0

    def test_no_job_is_denied_while_the_store_is_away(self) -> None:
        """Guards against a 410 for a job that a late write may still store."""
        world = World(27)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = await self.async_submit_unanswered(world)
            world.store.is_down = True
            answers.append(await async_cancel_at(world, get_owner_name(world), job.id, 3.0))
            world.store.is_down = False

        world.run(run_scenario())
        assert [answer.outcome for answer in answers] == [MAY_HAVE_RUN]

    def test_repeated_submission_is_refused_after_the_cancel(self) -> None:
        """Guards against UNASKED: a submission that is repeated after its cancel must not run."""
        world = World(28)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = await self.async_submit_unanswered(world)
            name, owner = get_other_name(world), get_owner_name(world)
            answers.append(await async_cancel_at(world, name, job.id, 3.0))
            for daemon in (name, owner):
                answers.append(await async_call_at(world, daemon, "async_submit", job, 3.0))
            answers.append(await async_call_at(world, name, "async_show", job.id, 3.0))
            answers.append(await async_cancel_at(world, owner, job.id, 3.0))
            await asyncio.sleep(LATE_WRITE_DELAY_S[1] + CANCEL_GRACE_S + 1.0)

        world.run(run_scenario())
        outcomes = [answer.outcome for answer in answers]
        assert outcomes == [NO_SUCH_JOB, NOT_RUN, NOT_RUN, NO_SUCH_JOB, NO_SUCH_JOB]
        assert world.checker.starts == 0

    def test_refused_repeat_through_a_peer(self) -> None:
        """Guards against a 504 for a job that certainly never runs."""
        world = World(29)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            world.checker.jobs.setdefault(job.id, JobRecord(job))
            name = get_other_name(world)
            answers.append(await async_cancel_at(world, name, job.id, 3.0))
            world.clients[name].is_refused = True
            await asyncio.sleep(2.0)
            answers.append(await async_call_at(world, name, "async_submit", job, 3.0))

        world.run(run_scenario())
        assert [answer.outcome for answer in answers] == [NO_SUCH_JOB, NOT_RUN]

    def test_cancel_costs_one_write(self) -> None:
        """Guards against costs: the platform charges for each call to the store."""
        world = World(30)
        writes: list[Transaction] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            world.checker.jobs.setdefault(job.id, JobRecord(job))
            world.store.on_commit.append(writes.append)
            await async_cancel_at(world, get_other_name(world), job.id, 3.0)

        world.run(run_scenario())
        assert [sorted(transaction.writes) for transaction in writes] == [
            [PREFIX_PROGRESS + f"{1:016x}"]
        ]

    def test_stored_job_that_the_owner_does_not_know_is_cancelled_at_once(self) -> None:
        """Guards against a cancel that waits until the owner finds the job in the store."""
        world = World(31)
        took_s: list[float] = []

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            record = world.checker.jobs.setdefault(job.id, JobRecord(job))
            name = get_other_name(world)
            admission = world.daemons[name].request_handler.admission
            record.submit_attempts = 1
            outcome, _revision = await async_run_on_node(
                world.node_names[name], admission.async_store(job)
            )
            assert outcome == "stored"
            started_at = world.loop.time()
            answer = await async_cancel_at(world, get_owner_name(world), job.id, 3.0)
            assert answer.outcome == CANCELLED
            took_s.append(world.loop.time() - started_at)
            await asyncio.sleep(CANCEL_GRACE_S + 1.0)
            assert await world.async_show(job.id) == "cancelled"

        world.run(run_scenario())
        assert took_s[0] < 0.1
        assert world.checker.breaches == []

    def test_job_that_ended_under_an_earlier_owner(self) -> None:
        """Guards against a cancel that hides the end of a job that the owner does not know."""
        world = World(32)
        answers: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            steps = (Step(1, Resources(500, 100, 0), 0.3),)
            job = JobDefinition("a" * 16, world.queues[2], "s", steps, world.read_wall_ms())
            assert await world.async_submit(job)
            await world.async_wait_for_jobs(10.0)
            world.kill_daemon(get_owner_name(world))
            await asyncio.sleep(3.0)
            name = get_other_name(world)
            answers.append(await async_call_at(world, name, "async_cancel", job.id, 3.0))
            answers.append(await async_call_at(world, name, "async_show", job.id, 3.0))

        world.run(run_scenario())
        assert [(a.outcome, a.phase) for a in answers] == [(CANCELLED, "done"), (SHOWN, "done")]

    @pytest.mark.parametrize("is_owner_killed", [False, True])
    def test_record_of_the_cancel_is_removed(self, is_owner_killed: bool) -> None:
        """Guards against records that stay in the store for good."""
        world = World(33, status_s=STATUS_S)

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            world.checker.jobs.setdefault(job.id, JobRecord(job))
            answer = await async_cancel_at(world, get_other_name(world), job.id, 3.0)
            assert answer.outcome == NO_SUCH_JOB
            assert any(key.startswith(PREFIX_PROGRESS) for key in world.store.items)
            if is_owner_killed:
                world.kill_daemon(get_owner_name(world))
            await asyncio.sleep(RECORDS_GONE_S)
            assert not any(key.startswith(PREFIX_PROGRESS) for key in world.store.items)

        world.run(run_scenario())

    def test_progress_of_a_job_that_is_stored_after_all_is_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against TWICE: an unanswered cancel must not remove the progress of a live job."""
        world = World(34, status_s=STATUS_S)
        commit = ModelStoreClient.async_commit

        async def refuse_voids(client: ModelStoreClient, transaction: Transaction) -> int:
            keys = list(transaction.writes)
            if len(keys) == 1 and keys[0].startswith(PREFIX_PROGRESS):
                raise StoreUnknownError("no answer")
            return await commit(client, transaction)

        async def run_scenario() -> None:
            await world.async_start()
            job = make_long_job(world, 1)
            world.checker.jobs.setdefault(job.id, JobRecord(job))
            name = get_other_name(world)
            monkeypatch.setattr(ModelStoreClient, "async_commit", refuse_voids)
            answer = await async_call_at(world, name, "async_cancel", job.id, 1.0)
            assert answer.outcome == MAY_HAVE_RUN
            monkeypatch.undo()
            assert (await async_call_at(world, name, "async_submit", job, 3.0)).outcome == ACCEPTED
            await asyncio.sleep(STATUS_S + RECORDS_GONE_S / 2)
            assert PREFIX_JOB + job.id in world.store.items
            assert PREFIX_PROGRESS + job.id in world.store.items

        world.run(run_scenario())
        assert world.checker.breaches == []
