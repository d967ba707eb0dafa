"""Stand-in for an executor, which runs requests in slots and records what it ran."""

from __future__ import annotations

from dataclasses import dataclass, field
import math
from random import Random
from typing import Any


@dataclass(slots=True)
class ExecutorFaults:
    """Faults that tests set while the stand-in runs.

    `down` aborts connections instead of answering, and `late_s` prolongs each call, in seconds. The
    others are shares of requests, from 0 to 1: connections aborted after the run (`truncate`),
    refusals with status 503 (`refuse`) and answers with the id of another call (`swap_ids`).
    """

    down: bool = False
    late_s: float = 0.0
    truncate: float = 0.0
    refuse: float = 0.0
    swap_ids: float = 0.0


@dataclass(slots=True)
class Executor:
    """State of an executor, without I/O; `now` is its own clock in seconds.

    `service_s` is the mean service time in seconds, `variation` its coefficient of variation.
    `running` holds the start times of running calls by call id, `log` has an entry for each started
    call, `peak` is the greatest number of concurrent calls, and `refused_late` counts calls refused
    because they arrived after their latest start time. Connections are not counted: `connections`
    and `peak_connections` stay 0.
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
        """Start a call unless `start_by_s` has passed, and return whether it started.

        The number of slots is not enforced, so that `peak` shows when a daemon exceeds it. A
        `start_by_s` of 0 means no limit.
        """
        if start_by_s and now > start_by_s:
            self.refused_late += 1
            return False
        self.running[call_id] = now
        self.peak = max(self.peak, len(self.running))
        self.log.append({"call": call_id, "at": now, "body": body.decode("utf-8", "replace")})
        return True

    def draw_service_s(self, body: bytes) -> float:
        """Draw the service time of a request in seconds.

        It has a lognormal distribution and depends only on the body, so that a model can repeat it.
        """
        if not self.variation:
            return self.service_s
        sigma = math.sqrt(math.log(1 + self.variation**2))
        return self.service_s * Random(body).lognormvariate(-sigma * sigma / 2, sigma)

    def finish(self, call_id: str) -> None:
        """Remove a call from the running calls."""
        self.running.pop(call_id, None)
