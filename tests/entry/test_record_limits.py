"""Tests of records that are longer than the store takes: no other job waits for them."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from tests.entry.test_components import ScriptedStore, make_job, run
from tests.entry.test_owner import make_job as make_world_job
from wasabiramp.entry import journal
from wasabiramp.entry.admission import (
    MAX_JOBS_PER_COMMIT,
    STORED,
    UNSTORABLE,
    Admission,
    AdmissionResult,
)
from wasabiramp.entry.answers import NOT_RUN
from wasabiramp.entry.health import MonitoredStore
from wasabiramp.entry.journal import MAX_BYTES_PER_COMMIT, Journal
from wasabiramp.entry.keys import (
    KEY_ROSTER,
    KEY_TERM,
    PREFIX_PROGRESS,
    build_job_key,
    build_progress_key,
)
from wasabiramp.entry.membership import Tenure
from wasabiramp.entry.ports import StoreInvalidError, Transaction
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.store import MAX_VALUE_BYTES
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import (
    CANCELLED,
    DONE,
    RUNNING,
    JobDefinition,
    JobProgress,
    Resources,
    Step,
    StepProgress,
)
from wasabiramp.scheduling.records import decode_progress
from wasabiramp.scheduling.scheduler import Changes
from wasabiramp.scheduling.state import JobRun

VALUE_BYTES = 20_000


class LimitedStore(ScriptedStore):
    """A store that takes values of a limited length and keeps each that it took."""

    def __init__(self, value_bytes: int = VALUE_BYTES) -> None:
        """Take values of at most `value_bytes`."""
        super().__init__()
        self.value_bytes = value_bytes
        self.items: dict[str, bytes] = {}
        self.refused = 0

    async def async_commit(self, transaction: Transaction) -> Any:
        """Store a transaction, or refuse it as a whole."""
        self._answers = {"commits": [60 + len(self.commits)]}
        revision = await super().async_commit(transaction)
        if any(len(value) > self.value_bytes for value, _lease in transaction.writes.values()):
            self.refused += 1
            raise StoreInvalidError("status 400")
        self.items |= {key: value for key, (value, _lease) in transaction.writes.items()}
        return revision


def make_run(number: int, done: int = 0, phase: str = RUNNING, saved: int = 0) -> JobRun:
    """Return a job with done tasks, three bytes for each in its record, and saved bytes."""
    progress = JobProgress(phase)
    progress.steps[(0, 0)] = StepProgress(
        {1_000 + task for task in range(done)}, saved={0: "x" * saved} if saved else {}
    )
    return JobRun(make_job(number), progress, 0.0)


def store_changes(store: LimitedStore, changes: Changes, value_bytes: int = VALUE_BYTES) -> bool:
    """Store changes and return whether that succeeded."""
    outcome: list[bool] = []

    async def run_scenario() -> None:
        owned = Journal(store, Tenure(1, 50), lambda reason: None, value_bytes)
        outcome.append(await owned.async_store(changes))

    run(run_scenario())
    return outcome[0]


class TestJournal:
    """Each job's record is stored or not by itself."""

    # Guards against Acks: one record that was too long held up those of all jobs for good.
    @pytest.mark.parametrize("value_bytes", [VALUE_BYTES, MAX_VALUE_BYTES])
    def test_long_record_does_not_hold_up_others(self, value_bytes: int) -> None:
        """With the greater limit, only the store knows that the record is too long."""
        jobs = [make_run(1), make_run(2, done=8_000), make_run(3, phase=DONE)]
        store, changes = LimitedStore(), Changes(jobs, [("i-1", "a:1")], {}, {})
        assert store_changes(store, changes, value_bytes)
        assert list(changes.left_out) == [jobs[1].definition.id]
        stored = {build_progress_key(jobs[number].definition.id) for number in (0, 2)}
        assert {KEY_ROSTER} | stored <= store.items.keys()
        assert build_progress_key(jobs[1].definition.id) not in store.items
        assert not changes.is_empty

    # Guards against a proof of the term by a commit that was never sent or was refused.
    @pytest.mark.parametrize("value_bytes", [VALUE_BYTES, MAX_VALUE_BYTES])
    def test_changes_of_which_nothing_is_stored_are_empty(self, value_bytes: int) -> None:
        changes = Changes([make_run(1, done=8_000)], None, {}, {})
        assert store_changes(LimitedStore(), changes, value_bytes)
        assert changes.is_empty

    # Guards against a refusal of the journal's conditions by a store that takes the record.
    def test_chain_of_commits_goes_on_after_a_refusal(self) -> None:
        store = LimitedStore()
        jobs = [make_run(1, done=8_000), *(make_run(number) for number in range(2, 5))]
        assert store_changes(store, Changes(jobs, None, {}, {}), MAX_VALUE_BYTES)
        assert store.refused == 2
        assert len(store.items) == 4
        assert {commit.expected[KEY_TERM] for commit in store.commits} == {50}

    def test_saved_values_that_do_not_fit_are_left_out(self) -> None:
        job = make_run(1, done=6_000, saved=10_000)
        store, changes = LimitedStore(), Changes([job], None, {}, {})
        assert store_changes(store, changes)
        assert not changes.left_out
        progress = decode_progress(store.items[build_progress_key(job.definition.id)])
        assert progress.steps[(0, 0)] == StepProgress(job.progress.steps[(0, 0)].done)

    # Guards against Acks: a cancel was never answered, as the record stayed too long.
    @pytest.mark.parametrize("phase", [CANCELLED, DONE])
    def test_end_of_any_job_is_stored(self, phase: str) -> None:
        job = make_run(1, done=8_000, phase=phase)
        store, changes = LimitedStore(), Changes([job], None, {}, {})
        assert store_changes(store, changes)
        assert not changes.left_out
        record = store.items[build_progress_key(job.definition.id)]
        assert decode_progress(record) == JobProgress(phase)
        assert store.commits[0].removed == [build_job_key(job.definition.id)]

    def test_transactions_are_limited_in_length(self) -> None:
        jobs = [make_run(number, saved=100_000) for number in range(20)]
        store = LimitedStore(MAX_VALUE_BYTES)
        assert store_changes(store, Changes(jobs, None, {}, {}), MAX_VALUE_BYTES)
        lengths = [
            sum(len(value) for key, (value, _lease) in c.writes.items() if key[:3] == "wr/")
            for c in store.commits
        ]
        assert len(store.items) == 21
        assert max(lengths) <= MAX_BYTES_PER_COMMIT + 100
        assert len(lengths) <= 5

    def test_transactions_keep_to_the_entries_of_the_store(self) -> None:
        jobs = [make_run(number, phase=DONE) for number in range(40)]
        store = LimitedStore()
        assert store_changes(store, Changes(jobs, [], {}, {}))
        assert all(commit.size <= 32 for commit in store.commits)
        assert len(store.items) == 42


def admit(store: LimitedStore, jobs: list[JobDefinition], value_bytes: int) -> list[Any]:
    """Return the outcomes of jobs that arrive together."""
    found: list[AdmissionResult] = []

    async def run_scenario() -> None:
        admission = Admission(store, value_bytes)
        task = asyncio.get_running_loop().create_task(admission.async_run())
        found.extend(await asyncio.gather(*(admission.async_store(job) for job in jobs)))
        task.cancel()

    run(run_scenario())
    return [outcome for outcome, _revision in found]


class TestAdmission:
    """A job whose record cannot be stored is refused for good, and alone."""

    # Guards against jobs that were refused since another one in their transaction was too long.
    @pytest.mark.parametrize("value_bytes", [VALUE_BYTES, MAX_VALUE_BYTES])
    def test_long_job_is_refused_alone(self, value_bytes: int) -> None:
        jobs = [make_job(number) for number in range(MAX_JOBS_PER_COMMIT)]
        jobs[3] = replace(jobs[3], spec="x" * VALUE_BYTES)
        store = LimitedStore()
        outcomes = admit(store, jobs, value_bytes)
        assert outcomes == [STORED] * 3 + [UNSTORABLE] + [STORED] * 6
        assert store.items.keys() == {build_job_key(job.id) for job in jobs if job is not jobs[3]}

    # Guards against a caller that waited for its whole time, and tried the same again.
    def test_caller_is_answered_at_once(self) -> None:
        world = World(11)

        async def run_scenario() -> None:
            await world.async_start()
            job = replace(make_world_job(world, 1), spec="x" * MAX_VALUE_BYTES)
            began_at = world.loop.time()
            handler = next(iter(world.daemons.values())).request_handler
            answer = await handler.async_submit(job, 3.0)
            assert answer.outcome == NOT_RUN
            assert world.loop.time() - began_at < 0.2

        world.run(run_scenario())


class TestHealth:
    """A call that the store cannot take shows that the store answers this daemon."""

    # Guards against hand-overs: refusals for size were taken for a store that turns the owner away.
    def test_invalid_call_is_an_answer(self) -> None:
        async def run_scenario() -> None:
            store = MonitoredStore(ScriptedStore(commits=[StoreInvalidError("status 400")] * 3))
            for _ in range(3):
                with pytest.raises(StoreInvalidError):
                    await store.async_commit(Transaction())
                await asyncio.sleep(1.0)
            assert store.get_turned_away_s() == 0.0
            assert not store.is_unavailable()

        run(run_scenario())


def make_wide_job(world: World) -> JobDefinition:
    """Return a job of 600 tasks that save their progress and do not end in the test."""
    step = Step(600, Resources(1, 1, 0), 60.0, saves_progress=True)
    return JobDefinition(f"{0xAA:016x}", world.queues[2], "wide", (step,), world.read_wall_ms())


class TestCell:
    """A cell goes on beside a job whose saved values exceed a value of the store."""

    # Guards against Acks: nothing of any job was stored, and owners handed over in turn.
    def test_others_end_and_are_cancelled(self) -> None:
        world = World(12)

        async def run_scenario() -> None:
            await world.async_start()
            wide = make_wide_job(world)
            assert await world.async_submit(wide)
            await asyncio.sleep(0.5)
            owner = find_owner(world)
            assert owner is not None
            job = world.daemons[owner].owner.scheduler.state.jobs[wide.id]
            saved = {number: "x" * 2_000 for number in range(600)}
            job.progress.steps[(0, 0)].saved.update(saved)
            job.is_dirty = True
            small, endless = make_world_job(world, 1), make_world_job(world, 2, estimate_s=60.0)
            assert await world.async_submit(small)
            assert await world.async_submit(endless)
            await asyncio.sleep(5.0)
            assert await world.async_show(small.id) == DONE
            await world.async_cancel(endless.id)
            assert await world.async_show(endless.id) == CANCELLED
            assert find_owner(world) == owner
            record = world.store.items[PREFIX_PROGRESS + wide.id].value
            assert decode_progress(record).steps[(0, 0)].saved.items() < saved.items()
            await world.async_cancel(wide.id)
            assert await world.async_show(wide.id) == CANCELLED

        world.run(run_scenario())


class TestUnstoredJob:
    """A job whose record the store cannot take runs on, also with the next owner."""

    # Guards against TWICE: the next owner started tasks again whose ends had been acknowledged.
    def test_next_owner_reads_its_ends_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        world = World(14)
        job_id = f"{0xAB:016x}"
        encode = journal.encode_progress_within
        left_out: list[bytes] = []

        def encode_too_long(progress: JobProgress, most_bytes: int) -> bytes:
            owner = find_owner(world)
            state = world.daemons[owner].owner.scheduler.state if owner is not None else None
            job = state.jobs.get(job_id) if state is not None else None
            if job is None or progress is not job.progress or not progress.steps[(0, 0)].done:
                return encode(progress, most_bytes)
            left_out.append(b"x" * (most_bytes + 1))
            return left_out[-1]

        monkeypatch.setattr(journal, "encode_progress_within", encode_too_long)

        async def run_scenario() -> None:
            await world.async_start()
            steps = (
                Step(6, Resources(500, 100, 0), 0.5),
                Step(4, Resources(500, 100, 0), 4.0, (0,)),
            )
            job = JobDefinition(job_id, world.queues[2], "long", steps, world.read_wall_ms())
            assert await world.async_submit(job)
            await asyncio.sleep(2.0)
            assert await world.async_submit(make_world_job(world, 1))
            await asyncio.sleep(2.0)
            assert left_out
            assert await world.async_show(f"{1:016x}") == DONE
            owner = find_owner(world)
            assert owner is not None
            world.kill_daemon(owner)
            await world.async_wait_for_jobs(40.0)
            assert await world.async_show(job_id) == DONE

        world.run(run_scenario())
        assert world.checker.breaches == []


class TestStoreOfTheModel:
    """The simulated store refuses what the platform's store refuses."""

    def test_long_value_is_refused(self) -> None:
        world = World(13)

        async def run_scenario() -> None:
            await world.async_start()
            writes = {"k": (b"x" * (MAX_VALUE_BYTES + 1), 0)}
            with pytest.raises(StoreInvalidError):
                world.store.commit(Transaction(writes=writes))
            assert "k" not in world.store.items

        world.run(run_scenario())
