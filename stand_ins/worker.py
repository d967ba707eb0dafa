"""Stand-in for a worker, which runs tasks under leases and records what it ran."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

DEFAULT_RUN_S = 0.2
"""Run time of a task whose payload sets none."""


@dataclass(slots=True)
class WorkerFaults:
    """Faults that tests set while the stand-in runs.

    `down` aborts connections instead of answering, `fail_all` makes new tasks fail soon after their
    start, `lose_answers` is the share of sync calls, from 0 to 1, that are applied but not
    answered, and `delay_s` delays sync calls, in seconds.
    """

    down: bool = False
    fail_all: bool = False
    lose_answers: float = 0.0
    delay_s: float = 0.0


@dataclass(slots=True)
class Task:
    """A task on the worker, with the size that it was started with.

    `outcome` is the state in which it ends at `ends_at` unless its lease expires first.
    """

    task: str
    attempt: int
    cores: float
    memory_mb: float
    accelerators: int
    ends_at: float
    lease_until: float
    outcome: str
    exit_code: int
    state: str = "running"
    reason: str = ""
    used_memory_mb: float = 0.0
    started_at: float = 0.0


@dataclass(slots=True)
class Worker:
    """State of a worker, without I/O; `now` is its own clock in seconds.

    `log` has an entry for each start and end of a task, `peak` the greatest cores, memory and
    accelerators that running tasks held at once, and `sequence` counts the changes of tasks. The
    usage of a task is reported once it has run for `usage_lag_s` seconds. `incarnation` identifies
    this run of the worker, and `throttled` holds the cores that tasks were throttled to, by task.
    """

    cores: float
    memory_mb: float
    accelerators: int = 0
    incarnation: str = "1"
    usage_lag_s: float = 5.0
    sequence: int = 0
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    log: list[dict[str, Any]] = field(default_factory=list)
    peak: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    throttled: dict[str, float] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """End the tasks that are due to end or whose lease has expired by now."""
        for task in self.tasks.values():
            if task.state != "running":
                continue
            if now >= task.lease_until and task.lease_until <= task.ends_at:
                self._end_task(task, "lapsed", "the lease lapsed", task.lease_until)
            elif now >= task.ends_at:
                self._end_task(task, task.outcome, task.reason, task.ends_at)

    def _end_task(self, task: Task, state: str, reason: str, at: float) -> None:
        """Set the final state of a task and add it to the log."""
        task.state = state
        task.reason = reason
        self.sequence += 1
        self.log.append({"end": task.task, "attempt": task.attempt, "at": at, "state": state})

    def sync(self, now: float, request: dict[str, Any]) -> dict[str, Any]:
        """Apply a batch of orders and return the inventory.

        A batch without `valid_until_s` only reads. One that arrives after that time is not applied,
        and its starts are refused as late.
        """
        self.advance(now)
        refused: list[list[Any]] = []
        valid_until = request.get("valid_until_s", 0.0)
        if valid_until and now <= valid_until:
            self._apply_batch(now, request, refused)
        elif valid_until:
            refused = [[item["task"], item["attempt"], "late"] for item in request["starts"]]
        return self.report(now, refused)

    def _apply_batch(self, now: float, request: dict[str, Any], refused: list[list[Any]]) -> None:
        """Renew leases, stop tasks, forget ended tasks and start tasks, in this order."""
        lease_until = now + request["lease_s"]
        for name, attempt in request.get("renew", ()):
            task = self.tasks.get((name, attempt))
            if task is not None and task.state == "running":
                task.lease_until = lease_until
        for name, attempt in request.get("stops", ()):
            task = self.tasks.get((name, attempt))
            if task is not None and task.state == "running":
                self._end_task(task, "stopped", "stopped", now)
        for name, attempt in request.get("forget", ()):
            task = self.tasks.get((name, attempt))
            if task is not None and task.state != "running":
                del self.tasks[(name, attempt)]
        for start in request.get("starts", ()):
            key = (start["task"], start["attempt"])
            if key in self.tasks:
                continue
            if now > start["start_by_s"]:
                refused.append([*key, "late"])
                continue
            self._start_task(now, start, lease_until)

    def _start_task(self, now: float, start: dict[str, Any], lease_until: float) -> None:
        """Start a task.

        The payload may set how long it runs, its exit code and the memory that it uses. A task that
        uses more memory than its size ends as over-limit. One whose payload has `crashes_worker`
        crashes the worker, which is back at once.
        """
        payload = start.get("payload") or {}
        ends_at = now + float(payload.get("run_s", DEFAULT_RUN_S))
        outcome, reason = "done", ""
        exit_code = int(payload.get("exit_code", 0))
        if self.faults.fail_all:
            exit_code, ends_at = 1, now + 0.01
        if exit_code:
            outcome, reason = "failed", f"exit code {exit_code}"
        memory_used_mb = float(payload.get("used_memory_mb", start["memory_mb"]))
        if memory_used_mb > start["memory_mb"]:
            outcome, reason, ends_at = "over-limit", "used more memory than its size", now + 0.05
        task = Task(
            start["task"],
            start["attempt"],
            start["cores"],
            start["memory_mb"],
            start["accelerators"],
            ends_at,
            lease_until,
            outcome,
            exit_code,
            reason=reason,
            used_memory_mb=min(memory_used_mb, start["memory_mb"]),
            started_at=now,
        )
        self.tasks[(task.task, task.attempt)] = task
        self.sequence += 1
        if payload.get("crashes_worker"):
            self._crash(now)
            return
        self.log.append({"start": task.task, "attempt": task.attempt, "at": now})
        running = [item for item in self.tasks.values() if item.state == "running"]
        totals = (
            sum(item.cores for item in running),
            sum(item.memory_mb for item in running),
            sum(item.accelerators for item in running),
        )
        self.peak = [max(old, new) for old, new in zip(self.peak, totals, strict=True)]

    def _crash(self, now: float) -> None:
        """Restart as a new incarnation, which knows nothing of the tasks of the earlier one."""
        for task in list(self.tasks.values()):
            if task.state == "running":
                self._end_task(task, "lost", "the worker crashed", now)
        self.tasks.clear()
        self.sequence = 0
        self.incarnation = str(int(self.incarnation) + 1)

    def get_next_change_s(self) -> float | None:
        """Return when the next running task ends or loses its lease, or None if none runs."""
        times = [
            min(task.ends_at, task.lease_until)
            for task in self.tasks.values()
            if task.state == "running"
        ]
        return min(times, default=None)

    def report(self, now: float, refused: list[list[Any]] | None = None) -> dict[str, Any]:
        """Return the inventory; `usage` covers running tasks started at least `usage_lag_s` ago."""
        self.advance(now)
        return {
            "clock_s": now,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "refused": refused or [],
            "tasks": [
                {
                    "task": task.task,
                    "attempt": task.attempt,
                    "state": task.state,
                    "exit_code": task.exit_code,
                    "cores": task.cores,
                    "memory_mb": task.memory_mb,
                    "accelerators": task.accelerators,
                    "reason": task.reason,
                }
                for task in self.tasks.values()
            ],
            "usage": {
                task.task: task.used_memory_mb
                for task in self.tasks.values()
                if task.state == "running" and now - task.started_at >= self.usage_lag_s
            },
        }
