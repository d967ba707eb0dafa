"""The platform's executors: simulated ones that also play tasks which end at one moment."""

from __future__ import annotations

import asyncio
from random import Random
import time
from typing import Final

from wasabiramp.model.entry.checker import HistoryChecker
from wasabiramp.model.entry.executors import ModelExecutor, ModelExecutors, ModelRun
from wasabiramp.scheduling.model import ExecutorEntry

SPEC_END: Final = "until="
"""A spec that begins so goes on with the Unix time in ms at which the tasks end."""

SHORTEST_RUN_S: Final = 0.01


def parse_end_s(spec: str) -> float | None:
    """Return the Unix time at which the tasks of a job end together, if its spec names one."""
    if not spec.startswith(SPEC_END):
        return None
    return int(spec.removeprefix(SPEC_END)) / 1000


class PlatformExecutor(ModelExecutor):
    """A simulated executor whose tasks may end at the time that their spec names."""

    def _draw_end(self, run: ModelRun, estimate_s: float) -> None:
        """Draw how a run ends, and when, unless its spec says so."""
        super()._draw_end(run, estimate_s)
        record = self.fleet.checker.find_task(run.task)[0]
        end_s = parse_end_s(record.definition.spec)
        if end_s is None:
            return
        remaining_s = max(SHORTEST_RUN_S, end_s - time.time())
        run.ends_at = asyncio.get_running_loop().time() + remaining_s


class PlatformExecutors(ModelExecutors):
    """The fleet of the platform's executors."""

    def __init__(self, random: Random, checker: HistoryChecker) -> None:
        """Create an empty fleet."""
        super().__init__(random, checker)
        self._entry_random = random

    def add(self, entry: ExecutorEntry) -> ModelExecutor:
        """Add an executor."""
        executor = PlatformExecutor(self, entry, self._entry_random)
        self.by_id[entry.id] = executor
        self.on_add(executor)
        return executor

    def list_with_runs(self) -> list[str]:
        """Return the ids of the executors that run something."""
        return sorted(name for name, executor in self.by_id.items() if executor.runs)

    def list_busiest(self) -> list[str]:
        """Return the ids of the executors that are up, those with the most runs first."""
        up = [executor for executor in self.by_id.values() if executor.is_up]
        up.sort(key=lambda executor: (-len(executor.runs), executor.entry.id))
        return [executor.entry.id for executor in up]
