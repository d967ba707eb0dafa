"""A history checker that also writes what executors do to a file."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any, TextIO

from wasabiramp.model.entry.checker import HistoryChecker
from wasabiramp.scheduling.model import FAILED


class RecordingChecker(HistoryChecker):
    """Writes each start and end of a run, and each acknowledged end, with the checker's time.

    It also counts the `lapses` of each task, and the `crashes_after_lapse` of executors whose runs
    had lapsed before, and writes each crash of an executor with a run on it. It also reports a
    start after the last attempt where the ends of the attempts are only acknowledged later.
    """

    def __init__(self, wall_s: float, path: Path) -> None:
        """Create an empty history and its file."""
        super().__init__(wall_s)
        self.lapses: Counter[str] = Counter()
        self.crashes_after_lapse = 0
        # By task, the time of each start that has no breach of BUDGET yet, by run, and the time of
        # each acknowledged failure.
        self._open_starts: defaultdict[str, dict[int, float]] = defaultdict(dict)
        self._failed_at: defaultdict[str, dict[int, float]] = defaultdict(dict)
        self._file: TextIO = path.open("w", encoding="utf-8", buffering=1)

    def _write(self, now: float, text: str) -> None:
        """Write a line."""
        self._file.write(f"{now:.3f} {self.wall_s + now:.3f} {text}\n")

    def check_start(
        self, now: float, task: str, run: int, executor: str, *details: Any, **more: Any
    ) -> None:
        """Check and write a start."""
        self._write(now, f"start {task} run {run} on {executor}")
        breaches = len(self.breaches)
        super().check_start(now, task, run, executor, *details, **more)
        if not any(text.startswith("BUDGET") for text in self.breaches[breaches:]):
            self._open_starts[task][run] = now

    def record_end(self, now: float, task: str, run: int, executor: str, how: str) -> None:
        """Record and write an end."""
        self._write(now, f"end {task} run {run} on {executor}: {how}")
        self.lapses[task] += how == "lapsed"
        super().record_end(now, task, run, executor, how)

    def record_run_at_crash(self, task: str) -> None:
        """Record and write that an executor crashed while a run of the task was on it."""
        super().record_run_at_crash(task)
        now = asyncio.get_running_loop().time()
        self._write(now, f"crash {self.crashes_around[task]} of an executor with {task}")

    def record_acknowledged_end(
        self, now: float, task: str, run: int, how: str, ended_at: float, is_lease_expired: bool
    ) -> None:
        """Record and write that an end was acknowledged."""
        expired = ", the lease expired since" if is_lease_expired else ""
        self._write(now, f"acknowledged {task} run {run} {how} at {ended_at:.3f}{expired}")
        super().record_acknowledged_end(now, task, run, how, ended_at, is_lease_expired)
        if how == FAILED and not is_lease_expired:
            self._failed_at[task].setdefault(run, ended_at)
            self._check_earlier_starts(now, task)

    def _check_earlier_starts(self, now: float, task: str) -> None:
        """Report starts of a task after its last attempt had ended."""
        record, _occurrence, _number, _index, step = self.find_task(task)
        ends = sorted(self._failed_at[task].values())
        limit = record.definition.queue.max_attempts
        if step.is_lasting or len(ends) < limit:
            return
        starts = self._open_starts[task]
        for run in [run for run, started_at in starts.items() if started_at > ends[limit - 1]]:
            started_at = starts.pop(run)
            self.report(
                f"BUDGET at {started_at:.3f} {task} run {run}: already failed {limit} times, "
                f"acknowledged at {now:.3f}"
            )

    def close(self) -> None:
        """Close the file."""
        self._file.close()
