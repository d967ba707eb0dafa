"""A history checker that also writes what executors do to a file."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any, TextIO

from wasabiramp.model.entry.checker import HistoryChecker


class RecordingChecker(HistoryChecker):
    """Writes each start and end of a run, and each acknowledged end, with the checker's time.

    It also counts the `lapses` of each task, and the `crashes_after_lapse` of executors whose runs
    had lapsed before, and writes each crash of an executor with a run on it.
    """

    def __init__(self, wall_s: float, path: Path) -> None:
        """Create an empty history and its file."""
        super().__init__(wall_s)
        self.lapses: Counter[str] = Counter()
        self.crashes_after_lapse = 0
        self._file: TextIO = path.open("w", encoding="utf-8", buffering=1)

    def _write(self, now: float, text: str) -> None:
        """Write a line."""
        self._file.write(f"{now:.3f} {self.wall_s + now:.3f} {text}\n")

    def check_start(
        self, now: float, task: str, run: int, executor: str, *details: Any, **more: Any
    ) -> None:
        """Check and write a start."""
        self._write(now, f"start {task} run {run} on {executor}")
        super().check_start(now, task, run, executor, *details, **more)

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

    def close(self) -> None:
        """Close the file."""
        self._file.close()
