"""Tests of announcements: which jobs an owner may take for unknown to earlier owners."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from wasabiramp.entry.membership import Membership
from wasabiramp.entry.peers import FAILED, OK, AnnounceJobs, AnnounceNewJobs, PeerAnswer
from wasabiramp.entry.ports import NoAnswerError, PeerGoneError
from wasabiramp.model.entry.checker import JobRecord
from wasabiramp.model.entry.clock import async_run_on_node
from wasabiramp.model.entry.network import ModelPeers
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import JobDefinition, Resources, Step

MAX_START_DELAY_S = 0.5
"""Time in which a new job starts while the recovery goes on; the leases last for seconds more."""


def make_job(world: World, number: int) -> JobDefinition:
    """Return a job of one short task."""
    steps = (Step(1, Resources(500, 100, 0), 0.5),)
    return JobDefinition(f"{number:016x}", world.queues[2], "x", steps, world.read_wall_ms())


async def async_submit_at(world: World, name: str, job: JobDefinition) -> None:
    """Submit a job at one daemon."""
    record = world.checker.jobs.setdefault(job.id, JobRecord(job))
    record.submit_attempts = 1
    handler = world.daemons[name].request_handler
    answer = await async_run_on_node(world.node_names[name], handler.async_submit(job, 3.0))
    assert answer.outcome == "accepted"
    record.accepted_at = world.loop.time()


def play_announcements(
    monkeypatch: pytest.MonkeyPatch, first_outcome: Exception | PeerAnswer, jobs: int = 1
) -> list[type]:
    """Return the kinds of announcements for jobs in a row; the first call has a given outcome."""
    world = World(3)
    kinds: list[type] = []

    async def answer_call(peers: ModelPeers, address: str, message: Any, timeout_s: float) -> Any:
        if not isinstance(message, AnnounceJobs | AnnounceNewJobs):
            raise NoAnswerError(address)
        kinds.append(type(message))
        if len(kinds) > 1:
            return PeerAnswer(OK)
        if isinstance(first_outcome, Exception):
            raise first_outcome
        return first_outcome

    async def run_scenario() -> None:
        await world.async_start()
        monkeypatch.setattr(ModelPeers, "async_call", answer_call)
        monkeypatch.setattr(Membership, "replace_owner", lambda membership, address: None)
        owner = find_owner(world)
        other = next(name for name in sorted(world.daemons) if name != owner)
        for number in range(jobs):
            await async_submit_at(world, other, make_job(world, number))
            await asyncio.sleep(2.0)

    world.run(run_scenario())
    return kinds


class TestFirstAnnouncement:
    """A job counts as new while it is certain that no owner was told of it."""

    def test_first_announcement_names_new_jobs(self, monkeypatch: pytest.MonkeyPatch) -> None:
        assert play_announcements(monkeypatch, PeerAnswer(OK)) == [AnnounceNewJobs]

    # Guards against TWICE after a takeover: an announcement without an answer may have reached an
    # old owner, so the job is not new to the next one.
    def test_unanswered_announcement_is_repeated_as_known(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        kinds = play_announcements(monkeypatch, NoAnswerError("lost"))
        assert kinds == [AnnounceNewJobs, AnnounceJobs]

    @pytest.mark.parametrize("outcome", [PeerGoneError("gone"), PeerAnswer("not-owner")])
    def test_announcement_that_told_nobody_is_repeated_as_new(
        self, monkeypatch: pytest.MonkeyPatch, outcome: Exception | PeerAnswer
    ) -> None:
        kinds = play_announcements(monkeypatch, outcome)
        assert kinds == [AnnounceNewJobs, AnnounceNewJobs]

    def test_owner_of_an_older_build_gets_messages_that_it_can_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        kinds = play_announcements(monkeypatch, PeerAnswer(FAILED), jobs=2)
        assert kinds == [AnnounceNewJobs, AnnounceJobs, AnnounceJobs]


class TestStartsDuringARecovery:
    """A new job does not wait for an executor that earlier owners may have used."""

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_new_job_starts_while_an_executor_is_cut_off(self, seed: int) -> None:
        world = World(seed)
        waited_s = 0.0

        async def run_scenario() -> None:
            nonlocal waited_s
            await world.async_start()
            old = find_owner(world)
            assert old is not None
            for name in world.daemons:
                world.network.add_partition(world.node_names[name], "i-0")
            world.kill_daemon(old)
            await asyncio.sleep(3.0)
            new = find_owner(world)
            assert new is not None
            owner = world.daemons[new].owner
            assert owner is not None
            other = next(name for name in sorted(world.daemons) if name != new)
            await async_submit_at(world, other, make_job(world, 1))
            submitted_at, starts = world.loop.time(), world.checker.starts
            assert owner.scheduler.state.is_recovering
            while world.checker.starts == starts and waited_s < MAX_START_DELAY_S:
                await asyncio.sleep(0.01)
                waited_s = world.loop.time() - submitted_at
            assert owner.scheduler.state.is_recovering

        world.run(run_scenario())
        assert world.checker.breaches == []
        assert waited_s < MAX_START_DELAY_S
