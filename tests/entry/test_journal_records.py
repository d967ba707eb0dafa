"""Tests of the recovery of an owner beside odd records in the store."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack
import pytest

from tests.entry.test_components import make_job, run
from tests.entry.test_owner import make_job as make_world_job
from tests.scheduling.helpers import SchedulerHarness, make_step
from tests.scheduling.test_records import ODD_BYTES
from wasabiramp.entry.journal import Journal, Kept
from wasabiramp.entry.keys import (
    KEY_COMMITS,
    KEY_ROSTER,
    build_job_key,
    build_progress_key,
)
from wasabiramp.entry.membership import Tenure
from wasabiramp.entry.ports import Item, PartialList
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.store import MAX_VALUE_BYTES
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.events import JobsRecovered, StoredJob
from wasabiramp.scheduling.model import DONE, RUNNING, JobProgress
from wasabiramp.scheduling.records import encode_definition, encode_progress

ODD_ROSTERS = [
    *ODD_BYTES,
    msgpack.packb([[]]),
    msgpack.packb([["i-1"]]),
    msgpack.packb([[5, "a"]]),
    msgpack.packb([["i-1", None]]),
    msgpack.packb([["", "a"]]),
    msgpack.packb([[["i-1"], {}]]),
]


class RecordStore:
    """A store with fixed items."""

    def __init__(self, items: dict[str, bytes]) -> None:
        """Return these values at revision 5."""
        self._items = {key: Item(key, value, 5) for key, value in items.items()}

    async def async_get(self, key: str) -> Item | None:
        """Return an item."""
        return self._items.get(key)

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return the items under a prefix."""
        return [item for key, item in self._items.items() if key.startswith(prefix)], 9


def read_state(items: dict[str, bytes]) -> Kept:
    """Return what a new owner reads from a store."""
    found: list[Any] = []

    async def run_scenario() -> None:
        store: Any = RecordStore(items)
        found.append(
            await Journal(store, Tenure(1, 50), lambda reason: None, MAX_VALUE_BYTES).async_read()
        )

    run(run_scenario())
    return found[0]


class TestRead:
    """Odd records are left out, and nothing is concluded from them."""

    # Guards against a recovery that failed again and again, as did that of each next owner.
    @pytest.mark.parametrize("value", ODD_ROSTERS, ids=range(len(ODD_ROSTERS)))
    def test_odd_roster_is_incomplete(self, value: bytes) -> None:
        state = read_state({KEY_ROSTER: value})
        assert (state.roster, state.is_roster_complete) == ([], False)

    def test_good_rows_of_the_roster_count(self) -> None:
        rows = [["i-1", "a:1"], ["i-2"], 5, ["i-3", "a:3"]]
        state = read_state({KEY_ROSTER: msgpack.packb(rows)})
        assert state.roster == [("i-1", "a:1"), ("i-3", "a:3")]
        assert not state.is_roster_complete

    @pytest.mark.parametrize("items", [{}, {KEY_ROSTER: msgpack.packb([["i-1", "a:1"]])}])
    def test_good_roster_is_complete(self, items: dict[str, bytes]) -> None:
        assert read_state(items).is_roster_complete

    # Guards against an odd job that hides the others.
    @pytest.mark.parametrize("value", ODD_BYTES, ids=range(len(ODD_BYTES)))
    def test_odd_job_is_left_out(self, value: bytes) -> None:
        jobs = [make_job(number) for number in range(3)]
        items = {build_job_key(job.id): encode_definition(job) for job in jobs}
        items[build_job_key(jobs[1].id)] = value
        state = read_state(items)
        assert [job.id for job, _revision, _progress in state.jobs] == [jobs[0].id, jobs[2].id]

    def test_job_under_another_key_is_left_out(self) -> None:
        assert read_state({build_job_key("b" * 16): encode_definition(make_job(1))}).jobs == []

    # Guards against a second start of finished tasks: the progress must not be removed or ignored.
    @pytest.mark.parametrize("value", ODD_BYTES, ids=range(len(ODD_BYTES)))
    def test_job_with_odd_progress_is_neither_started_nor_removed(self, value: bytes) -> None:
        job, other = make_job(1), make_job(2)
        items = {
            build_job_key(job.id): encode_definition(job),
            build_progress_key(job.id): value,
            build_job_key(other.id): encode_definition(other),
            build_progress_key(other.id): encode_progress(JobProgress(RUNNING)),
            build_progress_key("c" * 16): encode_progress(JobProgress(DONE)),
        }
        state = read_state(items)
        assert [job.id for job, _revision, _progress in state.jobs] == [other.id]
        assert state.ended == ["c" * 16]


class TestIncompleteRoster:
    """The earlier owner's leases have to expire where some of its executors are unknown."""

    # Guards against a second run of a task that an unknown executor still runs.
    def test_tasks_wait_for_the_leases_of_unknown_executors(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit("a" * 16, "batch", make_step(1)).definition
        del harness.scheduler.state.jobs[job.id]
        harness.scheduler.state.open_steps.clear()
        stored = StoredJob(job, harness.now, 50, JobProgress())
        harness.apply(JobsRecovered([stored], [("e0", "e0")], 4.0, 60, is_roster_complete=False))
        harness.answer_hold("e0")
        harness.tick(3.0)
        assert harness.place() == []
        harness.tick(1.1)
        assert len(harness.place()) == 1


class TestOddRecordsInTheStore:
    """A cell goes on beside odd records, also with another owner."""

    @pytest.mark.parametrize("value", ODD_BYTES[::2], ids=range(len(ODD_BYTES[::2])))
    def test_jobs_run_and_owners_recover(self, value: bytes) -> None:
        world = World(31)

        async def run_scenario() -> None:
            await world.async_start()
            for number in range(6):
                assert await world.async_submit(make_world_job(world, number, estimate_s=2.0))
            await asyncio.sleep(0.5)
            owner = find_owner(world)
            assert owner is not None
            for number in range(100):
                world.store.put(build_job_key(f"odd-{number}"), value, 0)
                world.store.put(build_progress_key(f"odd-{number}"), value, 0)
            world.store.put(KEY_ROSTER, value, 0)
            world.store.put(KEY_COMMITS, value, 0)
            world.kill_daemon(owner)
            for number in range(10, 16):
                assert await world.async_submit(make_world_job(world, number))
            await world.async_wait_for_jobs(30.0)

        world.run(run_scenario())
        assert world.checker.breaches == []


class PartialStore(RecordStore):
    """A store whose lists lack a row that could not be read."""

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        items, as_of = await super().async_list(prefix)
        return PartialList(items), as_of


class TestPartialLists:
    """A list that lacks rows tells nothing of the jobs that it does not show."""

    # Guards against TWICE: a recovery from a list without some rows started jobs without their
    # progress, took jobs for over, and removed their progress.
    def test_recovery_needs_complete_lists(self) -> None:
        found: list[Any] = []

        async def run_scenario() -> None:
            key = build_progress_key("a" * 16)
            store: Any = PartialStore({key: encode_progress(JobProgress())})
            journal = Journal(store, Tenure(1, 1), lambda reason: None, MAX_VALUE_BYTES)
            found.append(await journal.async_read())

        run(run_scenario())
        assert found == [None]
