"""Executors and runs of the load model."""

from __future__ import annotations

import math

from wasabiramp.scheduling.effects import HoldExecutor, StartTask
from wasabiramp.scheduling.model import EndReport


class SimulatedRun:
    """A run on a simulated executor; `ends_at` is infinite until its end is known."""

    __slots__ = ("effect", "ends_at", "started_at", "has_ended")

    def __init__(self, effect: StartTask, started_at: float) -> None:
        """Create a run that starts at `started_at`."""
        self.effect = effect
        self.started_at = started_at
        self.ends_at = math.inf
        self.has_ended = False


class SimulatedExecutor:
    """A simulated executor with its runs, unacknowledged ends and pending holds.

    `last_closed_run` has the highest run of each task that ended or was ordered to stop.
    """

    __slots__ = (
        "ends",
        "holds",
        "last_closed_run",
        "machine",
        "name",
        "next_end",
        "slowness",
        "runs",
    )

    def __init__(self, name: str, slowness: float, machine: str = "") -> None:
        """Create an idle executor whose runs take `slowness` times as long as usual.

        The adviser decides by its machine, which is also that of the executors that replace it.
        """
        self.name = name
        self.machine = machine or name
        self.slowness = slowness
        self.runs: dict[str, SimulatedRun] = {}
        self.ends: list[EndReport] = []
        self.next_end = 1
        self.holds: list[tuple[float, HoldExecutor]] = []
        self.last_closed_run: dict[str, int] = {}
