"""Removes one safeguard per test and expects the history checker to find a breach."""

from __future__ import annotations

from typing import Any

import pytest

from wasabiramp.entry.journal import Journal
from wasabiramp.entry.owner import Owner
from wasabiramp.model.entry.checker import JobRecord
from wasabiramp.model.entry.clock import async_run_on_node
from wasabiramp.model.entry.executors import ModelExecutor
from wasabiramp.model.entry.kinds import run_kind
from wasabiramp.model.entry.schedule import find_owner, run_schedule
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling import evidence, executors, holds, orders, runs
from wasabiramp.scheduling.effects import StartTask
from wasabiramp.scheduling.model import JobDefinition, Resources, Step
from wasabiramp.scheduling.processes import FENCE_EPOCHS
from wasabiramp.scheduling.state import ExecutorState

SEEDS = range(1, 25)
"""Seeds that are tried until one leads to a breach."""


def has_breach(code: str, faults: list[str], fault_count: int = 8) -> bool:
    """Return whether any seed leads to a breach with the code; an empty code stands for all."""
    return any(
        any(
            text.startswith(code)
            for text in run_schedule(seed, faults, fault_count).checker.breaches
        )
        for seed in SEEDS
    )


def count_late_starts(monkeypatch: pytest.MonkeyPatch, seed: int) -> int:
    """Return how many starts executors get from an owner after it resumed from a pause.

    The owner is paused for 3 s after it has received a job and before it places it. Only starts
    with the fencing token of this owner count, as another daemon may have taken over meanwhile.
    """
    world = World(seed)
    starts: list[tuple[float, int]] = []
    original_start = ModelExecutor.start

    def record_start(executor: ModelExecutor, effect: StartTask, fence: int, is_late: bool) -> str:
        starts.append((world.loop.time(), fence))
        return original_start(executor, effect, fence, is_late)

    async def async_run() -> tuple[float, int]:
        await world.async_start()
        name = find_owner(world)
        other = next(other for other in sorted(world.daemons) if other != name)
        assert name is not None
        owner = world.daemons[name].owner
        assert owner is not None
        steps = (Step(4, Resources(2_000, 100, 0), 1.0),)
        job = JobDefinition("a" * 16, world.queues[2], "x", steps, world.read_wall_ms())
        record = world.checker.jobs.setdefault(job.id, JobRecord(job))
        _outcome, revision = await world.daemons[other].request_handler.admission.async_store(job)
        record.accepted_at = world.loop.time()

        async def deliver_job() -> None:
            owner.add_stored_job(job, revision)

        await async_run_on_node(world.node_names[name], deliver_job())
        resume_at = world.loop.time() + 3.0
        world.loop.pause(world.node_names[name], resume_at)
        await world.async_wait_for_jobs(60.0)
        return resume_at, owner.tenure.fencing_token

    with monkeypatch.context() as patch:
        patch.setattr(ModelExecutor, "start", record_start)
        resume_at, token = world.run(async_run())
    return sum(at >= resume_at and fence // FENCE_EPOCHS == token for at, fence in starts)


class TestGuards:
    """Without a safeguard, the faults that it guards against lead to a breach."""

    def test_resources_of_unanswered_runs_stay_reserved(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        stop_run = runs.stop_run

        def release_uncertain_run(state: Any, run: Any) -> None:
            stop_run(state, run)
            if run.is_uncertain:
                orders.release_run(state, run)

        monkeypatch.setattr(runs, "stop_run", release_uncertain_run)
        assert has_breach("TWICE", ["apply_late"])

    def test_leases_of_silent_executors_are_awaited(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(evidence, "calculate_lease_expiry", lambda state, executor: 0.0)
        monkeypatch.setattr(
            evidence, "calculate_run_lease_expiry", lambda state, executor, key: 0.0
        )
        assert has_breach("TWICE", ["cut_executors"])

    def test_new_owner_waits_for_executor_reports(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(evidence, "is_awaiting_answers", lambda state: False)
        assert has_breach("TWICE", ["kill_owner", "pause_owner", "cut_executors"])

    def test_owner_checks_its_ownership_after_a_pause(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        assert sum(count_late_starts(monkeypatch, seed) for seed in range(1, 6)) == 0
        monkeypatch.setattr(Owner, "_has_paused", lambda self: False)
        assert sum(count_late_starts(monkeypatch, seed) for seed in range(1, 6)) > 0

    def test_acknowledgements_wait_for_unsettled_starts(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(holds, "may_acknowledge", lambda executor: True)
        worlds = (run_kind("restarts", seed) for seed in SEEDS)
        breaches = (text for world in worlds for text in world.checker.breaches)
        assert any(text.startswith("TWICE") for text in breaches)

    def test_ends_are_acknowledged_after_the_commit(self, monkeypatch: pytest.MonkeyPatch) -> None:
        send_hold = executors.send_hold

        def acknowledge_early(state: Any, executor: ExecutorState, wait_s: float) -> None:
            executor.last_seen = executor.last_read_end
            send_hold(state, executor, wait_s)

        monkeypatch.setattr(executors, "send_hold", acknowledge_early)
        assert has_breach("TWICE", ["store_down", "kill_owner", "kill_all"])

    def test_commits_check_expected_revisions(self, monkeypatch: pytest.MonkeyPatch) -> None:
        original_commit = Journal._async_commit

        async def commit_unconditionally(self: Any, transaction: Any) -> bool:
            store = self._store
            try:
                transaction.expected.clear()
                await store.async_commit(transaction)
                return True
            except Exception:
                return False

        monkeypatch.setattr(Journal, "_async_commit", commit_unconditionally)
        assert original_commit is not commit_unconditionally
        assert has_breach("", ["lose_answers", "kill_owner", "cut_owner", "pause_owner"])
