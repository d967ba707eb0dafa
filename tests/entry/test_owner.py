"""Tests of the owner with complete daemons on the simulated platform."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack
import pytest

from wasabiramp.entry.answers import NOT_READY, Answer
from wasabiramp.entry.health import MonitoredStore
from wasabiramp.entry.keys import KEY_TERM, PREFIX_JOB, PREFIX_PROGRESS
from wasabiramp.entry.membership import LEASE_TTL_S, RENEWAL_INTERVAL_S
from wasabiramp.entry.owner import MIN_TENURE_S, OVERLOAD_DURATION_S, OVERLOAD_LAG_S
from wasabiramp.model.entry.checker import JobRecord
from wasabiramp.model.entry.clock import async_run_on_node
from wasabiramp.model.entry.network import STORE
from wasabiramp.model.entry.schedule import draw_job, find_owner
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import DONE, JobDefinition, JobProgress, Resources, Step
from wasabiramp.scheduling.records import encode_progress


def make_job(world: World, number: int, estimate_s: float = 0.5) -> JobDefinition:
    """Return a job of one short task."""
    steps = (Step(1, Resources(500, 100, 0), estimate_s),)
    return JobDefinition(
        f"{number:016x}", world.queues[2], f"spec {number}", steps, world.read_wall_ms()
    )


class TestRecordRemoval:
    """Records of ended jobs are removed from the store after their retention."""

    def test_progress_records_are_removed(self) -> None:
        world = World(1, status_s=4.0)

        async def run_scenario() -> None:
            await world.async_start()
            assert await world.async_submit(make_job(world, 1))
            await world.async_wait_for_jobs(10.0)
            assert await world.async_show(f"{1:016x}") == DONE
            assert any(key.startswith(PREFIX_PROGRESS) for key in world.store.items)
            await asyncio.sleep(20.0)
            remaining = [
                k for k in world.store.items if k.startswith((PREFIX_JOB, PREFIX_PROGRESS))
            ]
            assert remaining == []

        world.run(run_scenario())
        assert world.checker.breaches == []

    def test_records_of_an_earlier_owner_are_removed(self) -> None:
        world = World(2, status_s=4.0)

        async def run_scenario() -> None:
            await world.async_start()
            assert await world.async_submit(make_job(world, 1))
            await world.async_wait_for_jobs(10.0)
            owner = find_owner(world)
            assert owner is not None
            world.kill_daemon(owner)
            await asyncio.sleep(25.0)
            assert not any(key.startswith(PREFIX_PROGRESS) for key in world.store.items)

        world.run(run_scenario())
        assert world.checker.breaches == []

    def test_progress_of_an_unreadable_job_is_kept(self) -> None:
        """Guards against TWICE: a later version that can read the job needs its progress."""
        world = World(3, status_s=4.0)
        job_id = "b" * 16

        async def run_scenario() -> None:
            await world.async_start()
            world.store.put(PREFIX_JOB + job_id, b"from a later version", 0)
            world.store.put(PREFIX_PROGRESS + job_id, encode_progress(JobProgress()), 0)
            owner = find_owner(world)
            assert owner is not None
            world.kill_daemon(owner)
            await asyncio.sleep(25.0)
            assert PREFIX_JOB + job_id in world.store.items
            assert PREFIX_PROGRESS + job_id in world.store.items

        world.run(run_scenario())


class TestUnreadableRecords:
    """Records that this build cannot read belong to jobs of a newer build, and are left alone."""

    # Guards against TWICE during an upgrade: an owner of an older build took a job whose
    # definition it could not read for one that had ended, and removed its progress.
    def test_progress_of_an_unreadable_job_is_kept(self) -> None:
        world = World(3, status_s=4.0)
        job_id = f"{1:016x}"

        async def run_scenario() -> None:
            await world.async_start()
            world.store.put(PREFIX_JOB + job_id, b"not a record", 0)
            world.store.put(PREFIX_PROGRESS + job_id, b"not a record", 0)
            owner = find_owner(world)
            assert owner is not None
            world.kill_daemon(owner)
            await asyncio.sleep(25.0)
            assert PREFIX_PROGRESS + job_id in world.store.items

        world.run(run_scenario())

    @pytest.mark.parametrize("is_stored_before", [True, False])
    def test_owner_knows_the_job(self, is_stored_before: bool) -> None:
        world = World(4)
        job_id = f"{1:016x}"

        async def run_scenario() -> None:
            await world.async_start()
            old = find_owner(world)
            assert old is not None
            if is_stored_before:
                world.store.put(PREFIX_JOB + job_id, b"not a record", 0)
                world.kill_daemon(old)
                await asyncio.sleep(5.0)
            else:
                world.store.put(PREFIX_JOB + job_id, b"not a record", 0)
                await asyncio.sleep(1.0)
            name = find_owner(world)
            assert name is not None
            owner = world.daemons[name].owner
            assert owner is not None
            assert owner.scheduler.state.unreadable_jobs == {job_id}

        world.run(run_scenario())


class TestTakeover:
    """Starts resume after the loss of the owner: within 2 s at the median, 4 s at most."""

    def measure_gap(self, seed: int) -> float:
        world = World(seed)
        gap = 0.0

        async def run_scenario() -> None:
            nonlocal gap
            await world.async_start()
            for number in range(5):
                await world.async_submit(make_job(world, number))
            owner = find_owner(world)
            assert owner is not None
            await asyncio.sleep(world.random.uniform(0.0, 1.0))
            world.kill_daemon(owner)
            killed_at, starts = world.loop.time(), world.checker.starts
            assert await world.async_submit(make_job(world, 99))
            while world.checker.starts == starts:
                await asyncio.sleep(0.01)
            gap = world.loop.time() - killed_at
            await world.async_wait_for_jobs(20.0)

        world.run(run_scenario())
        assert world.checker.breaches == []
        return gap

    def test_gap_without_starts_after_a_kill(self) -> None:
        gaps = sorted(self.measure_gap(seed) for seed in range(20))
        assert gaps[10] <= 2.0
        assert gaps[-1] <= 4.0


class TestAcceptance:
    """Any daemon stores a job before it acknowledges it."""

    def test_daemon_killed_right_after_the_acknowledgement(self) -> None:
        world = World(3)

        async def run_scenario() -> None:
            await world.async_start()
            names = sorted(world.daemons)
            owner = find_owner(world)
            other = next(name for name in names if name != owner)
            job = make_job(world, 7)
            record = world.checker.jobs.setdefault(job.id, JobRecord(job))
            record.submit_attempts = 1
            outcome, _revision = await world.daemons[other].request_handler.admission.async_store(
                job
            )
            assert outcome == "stored"
            record.accepted_at = world.loop.time()
            world.kill_daemon(other)
            await world.async_wait_for_jobs(10.0)

        world.run(run_scenario())
        assert world.checker.breaches == []

    def test_repeat_at_another_daemon_is_the_same_job(self) -> None:
        world = World(4)

        async def run_scenario() -> None:
            await world.async_start()
            job = draw_job(world.random, world, 5)
            for _ in range(4):
                assert await world.async_submit(job)
            await world.async_wait_for_jobs(30.0)

        world.run(run_scenario())
        assert world.checker.breaches == []


class TestRefusal:
    """While the store is unavailable, jobs are refused at once, and a refused job never runs."""

    def test_refusal_precedes_the_callers_timeout(self) -> None:
        world = World(5)

        async def run_scenario() -> None:
            await world.async_start()
            world.store.is_down = True
            await asyncio.sleep(2.5)
            handler = world.daemons["entry-0"].request_handler
            asked_at = world.loop.time()
            answer = await handler.async_submit(make_job(world, 1), 3.0)
            assert answer.outcome == "not-run"
            assert answer.retry_after_s is not None
            assert 2.0 <= answer.retry_after_s <= 4.0
            assert world.loop.time() - asked_at < 0.1
            world.store.is_down = False

        world.run(run_scenario())

    def test_refusal_is_certain_beside_daemons_that_have_ended(self) -> None:
        """Load pattern: daemons are replaced in turn while the store is away.

        A daemon that refuses connections stored nothing, so the caller is told that the job has not
        run and may send it again.
        """
        world = World(5)

        async def run_scenario() -> None:
            await world.async_start()
            world.store.is_down = True
            await asyncio.sleep(2.5)
            for name in sorted(world.daemons)[1:]:
                del world.network.listeners[world.node_names[name]]
            handler = world.daemons["entry-0"].request_handler
            answer = await handler.async_submit(make_job(world, 1), 3.0)
            assert answer.outcome == "not-run"
            world.store.is_down = False

        world.run(run_scenario())

    def test_callers_with_four_retries_outlast_an_outage(self) -> None:
        """Load pattern: a store outage of 4.2 s; callers obey retry-after four times."""
        world = World(7)
        accepted = []

        async def call(number: int) -> None:
            handler = world.daemons[f"entry-{number % 4}"].request_handler
            job = make_job(world, number)
            for _ in range(5):
                answer = await handler.async_submit(job, 3.0)
                if answer.outcome == "accepted":
                    accepted.append(number)
                    return
                await asyncio.sleep(answer.retry_after_s or 0.0)

        async def run_scenario() -> None:
            await world.async_start()
            world.store.is_down = True
            await asyncio.sleep(1.5)
            calls = [world.loop.create_task(call(number)) for number in range(12)]
            await asyncio.sleep(2.7)
            world.store.is_down = False
            await asyncio.gather(*calls)

        world.run(run_scenario())
        assert len(accepted) == 12

    def test_daemon_refused_by_the_store_uses_another(self) -> None:
        world = World(6)

        async def run_scenario() -> None:
            await world.async_start()
            world.clients["entry-1"].is_refused = True
            await asyncio.sleep(2.0)
            answer = await world.daemons["entry-1"].request_handler.async_submit(
                make_job(world, 1), 3.0
            )
            assert answer.outcome == "accepted"

        world.run(run_scenario())


class TestRefusedOwner:
    """Load pattern: the store turns the owner away and serves the other daemons."""

    def measure_handover(self, seed: int, is_cut: bool) -> float:
        """Return the time from the first failure until another owner has recovered."""
        world = World(seed)
        took_s = 0.0

        async def run_scenario() -> None:
            nonlocal took_s
            await world.async_start()
            for number in range(5):
                await world.async_submit(make_job(world, number))
            owner = find_owner(world)
            assert owner is not None
            await asyncio.sleep(world.random.uniform(0.0, 1.0))
            if is_cut:
                world.network.add_partition(world.node_names[owner], STORE)
            else:
                world.clients[owner].is_refused = True
            refused_at = world.loop.time()
            while not any(
                daemon.owner is not None and daemon.owner.is_recovered
                for name, daemon in world.daemons.items()
                if name != owner
            ):
                await asyncio.sleep(0.01)
            took_s = world.loop.time() - refused_at
            world.clients[owner].is_refused = False
            world.network.remove_all_partitions()
            await world.async_wait_for_jobs(20.0)

        world.run(run_scenario())
        assert world.checker.breaches == []
        return took_s

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_refused_owner_hands_over_within_half_a_lease(self, seed: int) -> None:
        assert self.measure_handover(seed, is_cut=False) <= LEASE_TTL_S / 2 + RENEWAL_INTERVAL_S

    @pytest.mark.parametrize("seed", range(1, 4))
    def test_owner_behind_a_partition_is_replaced_within_its_lease(self, seed: int) -> None:
        assert self.measure_handover(seed, is_cut=True) <= LEASE_TTL_S + RENEWAL_INTERVAL_S

    def test_no_handover_while_the_store_is_away_for_all(self) -> None:
        """Guards against a change of owner that costs more than the outage itself."""
        world = World(4)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            world.store.is_down = True
            await asyncio.sleep(0.8)
            assert find_owner(world) == owner
            world.store.is_down = False
            await asyncio.sleep(1.0)
            assert find_owner(world) == owner
            assert msgpack.unpackb(world.store.items[KEY_TERM].value)[1] == 1

        world.run(run_scenario())


class TestSlowStore:
    """The store answers 65 times as slowly: the owner keeps its term, and jobs finish."""

    def test_owner_keeps_its_term(self) -> None:
        world = World(6)
        names: list[str | None] = []

        async def run_scenario() -> None:
            await world.async_start()
            names.append(find_owner(world))
            world.store.answer_delay_s = 0.55
            for number in range(4):
                assert await world.async_submit(make_job(world, number))
            await asyncio.sleep(4.0)
            names.append(find_owner(world))
            await world.async_wait_for_jobs(20.0)

        world.run(run_scenario())
        assert world.checker.breaches == []
        assert names[0] is not None and names[0] == names[1]
        term = msgpack.unpackb(world.store.items[KEY_TERM].value)
        assert term[1] == 1


class TestShownEnd:
    """Callers ask right after the last task ended: the owner answers once the end is stored."""

    def test_show_waits_for_the_end_to_be_stored(self, monkeypatch: pytest.MonkeyPatch) -> None:
        world = World(8)
        phases: list[str] = []
        reads: list[str] = []
        get = MonitoredStore.async_get

        async def count(store: MonitoredStore, key: str) -> Any:
            reads.append(key)
            return await get(store, key)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert owner is not None
            job = make_job(world, 1)
            assert await world.async_submit(job)
            daemon = world.daemons[owner]
            assert daemon.owner is not None
            while not daemon.owner.is_storing_end(job.id):
                await asyncio.sleep(0.001)
            monkeypatch.setattr(MonitoredStore, "async_get", count)
            answer = await async_run_on_node(
                world.node_names[owner], daemon.request_handler.async_show(job.id, 3.0)
            )
            phases.append(answer.phase)

        world.run(run_scenario())
        assert phases == [DONE]
        assert reads == []

    def test_old_phase_is_not_shown_after_a_lost_commit(self) -> None:
        """Model seed 10: the end was stored, its answer was lost, and the store became unavailable.

        The owner, unaware that the end was stored, still had the old phase.
        """
        world = World(9)
        shown: list[Answer] = []

        async def run_scenario() -> None:
            await world.async_start()
            name = find_owner(world)
            assert name is not None
            owner = world.daemons[name].owner
            assert owner is not None
            job = make_job(world, 1)
            assert await world.async_submit(job)
            await asyncio.sleep(0.2)
            world.store.answer_loss_share = 1.0
            while await world.async_show(job.id) != DONE:
                await asyncio.sleep(0.05)
            assert owner.is_storing_end(job.id)
            world.store.is_down = True
            other = next(n for n in sorted(world.daemons) if n != name)
            handler = world.daemons[other].request_handler
            shown.append(
                await async_run_on_node(world.node_names[other], handler.async_show(job.id, 3.0))
            )

        world.run(run_scenario())
        assert [answer.outcome for answer in shown] == [NOT_READY]


class TestOverload:
    """The owner's machine becomes slow: another daemon takes over, and no task runs twice."""

    def test_owner_with_lasting_lag_resigns(self) -> None:
        world = World(5)
        owners: list[str | None] = []

        async def run_scenario() -> None:
            await world.async_start()
            await asyncio.sleep(MIN_TENURE_S)
            slow = find_owner(world)
            assert slow is not None
            for number in range(12):
                assert await world.async_submit(make_job(world, number))
            slow_owner = world.daemons[slow].owner
            assert slow_owner is not None
            slow_owner._lag.value_s = 2 * OVERLOAD_LAG_S
            await asyncio.sleep(OVERLOAD_DURATION_S + 0.5)
            owners.extend((slow, find_owner(world)))
            for number in range(20, 24):
                assert await world.async_submit(make_job(world, number))
            await world.async_wait_for_jobs(20.0)
            await asyncio.sleep(3.0)
            owners.append(find_owner(world))

        world.run(run_scenario())
        assert world.checker.breaches == []
        assert owners[1] is not None
        assert owners[0] != owners[1]
        assert owners[1] == owners[2]

    def test_owner_with_brief_lag_stays(self) -> None:
        world = World(5)

        async def run_scenario() -> tuple[str | None, str | None]:
            await world.async_start()
            await asyncio.sleep(MIN_TENURE_S)
            before = find_owner(world)
            assert before is not None
            owner = world.daemons[before].owner
            assert owner is not None
            owner._lag.value_s = 2 * OVERLOAD_LAG_S
            await asyncio.sleep(OVERLOAD_DURATION_S / 2)
            owner._lag.value_s = 0.0
            await asyncio.sleep(2.0)
            return before, find_owner(world)

        before, after = world.run(run_scenario())
        assert before == after
