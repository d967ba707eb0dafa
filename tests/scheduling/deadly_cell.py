"""A cell of scripted executors, some of which deadly tasks or waves of crashes take down."""

from __future__ import annotations

from collections import Counter

from tests.scheduling.helpers import SchedulerHarness, StartTask
from wasabiramp.entry.owner import RUN_LEASE_S
from wasabiramp.scheduling.model import DONE

DOWNTIME_S = 3.0
"""Time from a crash until another process answers at the executor's address."""

STEP_S = 0.05


class DeadlyCell:
    """Executors that run sound tasks for a second, and that deadly tasks crash at their start."""

    def __init__(
        self,
        executors: int,
        deadly: set[str],
        crash_age_s: float = 0.0,
        downtime_s: float = DOWNTIME_S,
    ) -> None:
        """Create a cell; runs of the `deadly` tasks crash their executor at `crash_age_s`.

        Another one answers at its address after `downtime_s`.
        """
        self.harness = SchedulerHarness(executors=executors, lease_s=RUN_LEASE_S)
        self.deadly = deadly
        self.crash_age_s = crash_age_s
        self.downtime_s = downtime_s
        self.crashes: Counter[str] = Counter()
        self._started: dict[str, list[tuple[float, StartTask]]] = {}
        self._down: list[tuple[float, str]] = []
        self._names = executors

    def run(self, seconds: float) -> None:
        """Advance the clock in small steps, and start, end and lose runs."""
        until = self.harness.now + seconds
        while self.harness.now < until:
            self._replace_crashed()
            for start in self.harness.place_and_start():
                self._started.setdefault(start.executor, []).append((self.harness.now, start))
            for name in list(self._started):
                self._advance_executor(name)
            self.harness.commit()
            self.harness.tick(STEP_S)

    def _replace_crashed(self) -> None:
        """Replace the executors whose downtime is over."""
        for back_at, name in list(self._down):
            if self.harness.now >= back_at:
                self._down.remove((back_at, name))
                self.harness.replace_executor(name, f"e{self._names}")
                self._names += 1

    def crash_at_once(self, count: int) -> None:
        """Crash executors at one moment for a cause of their own, those with most runs first."""
        started = sorted(self._started, key=lambda name: -len(self._started[name]))
        for name in started[:count]:
            self._crash(name)

    def _crash(self, name: str) -> None:
        """Crash an executor; another one replaces it after a time."""
        self._started.pop(name, None)
        self.harness.crash_executor(name)
        self._down.append((self.harness.now + self.downtime_s, name))

    def _advance_executor(self, name: str) -> None:
        """Crash an executor if a deadly run is old enough; else end what has run for a second."""
        now = self.harness.now
        for at, start in self._started[name]:
            if start.task in self.deadly and now >= at + self.crash_age_s:
                self.crashes[start.task] += 1
                self._crash(name)
                return
        for at, start in list(self._started[name]):
            if now >= at + 1.0:
                self._started[name].remove((at, start))
                self.harness.end_run(start, DONE)
        self.harness.answer_hold(name)


def make_job_id(number: int) -> str:
    """Return the id of a job."""
    return f"{number:016x}"
