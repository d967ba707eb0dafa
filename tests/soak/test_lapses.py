"""Tests of crashes that come only after the runs of an executor have lapsed."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import Any

from soak.lapses import async_crash_after_lapse
from soak.record import RecordingChecker
from stand_ins.paths import Cut
from stand_ins.platform_executors import PlatformExecutors
from tests.platform_stand_ins.helpers import make_entry, run_virtual
from wasabiramp.model.entry.checker import JobRecord
from wasabiramp.model.entry.executors import ModelExecutor
from wasabiramp.scheduling.effects import StartTask
from wasabiramp.scheduling.model import FAILED, JobDefinition, Queue, Resources, Step

JOB = "0" * 16
TASK = f"{JOB}.0.0.0"
LEASE_S = 3.0


class FakeCell:
    """A cell and platform of one executor with a lasting run, without processes."""

    def __init__(self, path: Path) -> None:
        """Add the executor and start its run."""
        queue = Queue("batch", "h", "/b/", "service", 2, 4, 4.0, 3.0)
        step = Step(1, Resources(100, 100, 0), 1.0, is_lasting=True)
        self.checker = RecordingChecker(0.0, path)
        self.checker.jobs[JOB] = JobRecord(JobDefinition(JOB, queue, "spec", (step,), 0))
        self.executors = PlatformExecutors(Random(1), self.checker)
        self.executor = self.executors.add(make_entry())
        self.platform = self
        self.lapsing_executors: set[str] = set()
        self.cuts: list[Cut] = []
        self.runs_at_crashes: list[list[str]] = []

    def start_run(self, number: int) -> None:
        """Start a run of the task, with a lease."""
        until_ms = self.executor.clock_ms + int(LEASE_S * 1000)
        address = self.executor.entry.address
        start = StartTask("i-0", address, TASK, number, "spec", until_ms, "", "")
        self.executor.start(start, 1, False)

    def note(self, text: str) -> None:
        """Ignore a note."""

    async def async_cut(self, cut: Cut) -> None:
        """Record a cut."""
        self.cuts.append(cut)

    async def async_heal(self, cut: Cut) -> None:
        """End a cut."""
        self.cuts.remove(cut)

    async def async_crash_executor(self, executor: ModelExecutor, downtime_s: float) -> None:
        """Crash and restart an executor."""
        self.runs_at_crashes.append(sorted(executor.runs))
        executor.crash()
        await asyncio.sleep(downtime_s)
        executor.begin_incarnation(2_000)


async def async_play_fault(cell: Any) -> None:
    """Play the fault under a run that has started."""
    playing = asyncio.create_task(cell.executors.async_run())
    cell.start_run(1)
    await async_crash_after_lapse(cell, Random(1))
    playing.cancel()


async def async_crash_twice(cell: FakeCell) -> None:
    """Crash the executor twice with a run of the task on it."""
    for number in (1, 2):
        cell.start_run(number)
        await cell.async_crash_executor(cell.executor, 0.1)


class TestCrashAfterLapse:
    """The fault crashes executors that run nothing, which is no cause to give a task up."""

    def test_executor_crashes_once_its_run_has_lapsed(self, tmp_path: Path) -> None:
        cell = run_virtual(self.async_make_cell(tmp_path, async_play_fault))
        assert cell.checker.lapses == {TASK: 1}
        assert cell.checker.crashes_after_lapse == 1
        assert cell.runs_at_crashes == [[]]
        assert (cell.cuts, cell.lapsing_executors) == ([], set())

    def test_job_shown_as_failed_after_it_is_lost(self, tmp_path: Path) -> None:
        # Guards against jobs given up though their runs only lapsed (LOST, issue 44).
        cell = run_virtual(self.async_make_cell(tmp_path, async_play_fault))
        cell.checker.check_shown(9.0, JOB, FAILED)
        assert [text.partition(" ")[0] for text in cell.checker.breaches] == ["LOST"]

    def test_job_shown_as_failed_after_two_crashes_with_its_run_is_allowed(
        self, tmp_path: Path
    ) -> None:
        cell = run_virtual(self.async_make_cell(tmp_path, async_crash_twice))
        cell.checker.check_shown(9.0, JOB, FAILED)
        assert cell.checker.breaches == []
        log = (tmp_path / "executors.log").read_text(encoding="utf-8")
        assert f"crash 2 of an executor with {TASK}" in log

    async def async_make_cell(self, folder: Path, play: Any) -> FakeCell:
        """Return a cell on which something has been played."""
        cell = FakeCell(folder / "executors.log")
        await play(cell)
        cell.checker.close()
        return cell
