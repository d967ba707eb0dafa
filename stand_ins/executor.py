"""An executor: runs requests in slots and keeps the ground truth of what it ran."""

from __future__ import annotations

from dataclasses import dataclass, field
import math
from random import Random
from typing import Any


@dataclass(slots=True)
class ExecutorFaults:
    """Faults that a test switches; times are in seconds, shares from 0 to 1."""

    down: bool = False
    late_s: float = 0.0
    truncate: float = 0.0
    refuse: float = 0.0
    swap_ids: float = 0.0


@dataclass(slots=True)
class Executor:
    """The executor's logic; `now` is its own clock in seconds.

    `variation` is the coefficient of variation of the service time.

    `log` has an entry for each start; `peak` is the most calls that ever ran at once.
    """

    slots: int = 8
    service_s: float = 0.1
    variation: float = 0.0
    running: dict[str, float] = field(default_factory=dict)
    log: list[dict[str, Any]] = field(default_factory=list)
    peak: int = 0
    peak_connections: int = 0
    connections: int = 0
    refused_late: int = 0
    faults: ExecutorFaults = field(default_factory=ExecutorFaults)

    def start(self, now: float, call_id: str, body: bytes, start_by_s: float) -> bool:
        """Start a call unless it is late; a call over the slots runs all the same, and shows."""
        if start_by_s and now > start_by_s:
            self.refused_late += 1
            return False
        self.running[call_id] = now
        self.peak = max(self.peak, len(self.running))
        self.log.append({"call": call_id, "at": now, "body": body.decode("utf-8", "replace")})
        return True

    def draw_service_s(self, body: bytes) -> float:
        """Return how long a request runs, in seconds: lognormal, and the same for a body."""
        if not self.variation:
            return self.service_s
        sigma = math.sqrt(math.log(1 + self.variation**2))
        return self.service_s * Random(body).lognormvariate(-sigma * sigma / 2, sigma)

    def finish(self, call_id: str) -> None:
        """End a call."""
        self.running.pop(call_id, None)
