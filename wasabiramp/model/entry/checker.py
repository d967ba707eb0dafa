"""Checks the history of executors and callers against the guarantees of the scheduler."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from wasabiramp.scheduling.model import (
    DONE,
    FAILED,
    JobDefinition,
    Resources,
    Step,
    parse_task,
)

MIN_CRASHES: Final = 2
"""Number of crashes under a task from which it may be given up."""

MAX_CRASHES: Final = 3
MAX_STARTS_AFTER_CRASHES: Final = 2
"""Number of crashes under one task, and of its starts after them, that the users' rule allows."""

CANCEL_GRACE_S: Final = 3.0
"""Time after the acknowledgement of a cancel within which a task may still start."""

CONTACT_S: Final = 3.0
CANCEL_WAIT_S: Final = 4.0
"""Time from the last disturbance until daemons are in touch, and time after that for which a cancel
may wait for its answer before it counts as acknowledged."""

MAX_ANSWER_DELAY_S: Final = 3.0
"""Time after the deadline of a request by which it must be answered."""

MAX_EARLY_START_S: Final = 0.25
"""Greatest time by which a task of a repeated job may start before it is due."""


class JobRecord:
    """The recorded history of one job.

    `submit_attempts` counts the calls that submit the job, and `refusals` those that were refused.
    `acknowledged_failures` holds the failed runs of each task whose end the owner acknowledged
    before the lease of the executor had expired; only those count as attempts.
    `is_cancel_waiting` is True while a caller waits for the answer to a cancel.
    """

    __slots__ = (
        "accepted_at",
        "submit_attempts",
        "cancel_acked_at",
        "cancel_asked_at",
        "definition",
        "acknowledged_failures",
        "is_cancel_waiting",
        "refusals",
        "last_phase",
    )

    def __init__(self, definition: JobDefinition) -> None:
        """Create the record of a job that a caller submits."""
        self.definition = definition
        self.submit_attempts = 0
        self.refusals = 0
        self.accepted_at: float | None = None
        self.cancel_asked_at: float | None = None
        self.cancel_acked_at: float | None = None
        self.is_cancel_waiting = False
        self.last_phase: str = ""
        self.acknowledged_failures: dict[str, set[int]] = {}


class HistoryChecker:
    """Records the history of a cell and collects the breaches of guarantees.

    A breach begins with its code:

    - UNASKED: a start without a valid job: unknown, different from the submitted one or cancelled.
    - REFUSED: a start although all attempts to submit the job were refused.
    - TWICE: a start of a task that already runs or is done and that must not be copied.
    - ORDER: a start before the predecessors are done or before the task is due.
    - LIMIT: a start that exceeds the free resources of the executor.
    - ROUTE: a start on an executor without the label or with too many tasks of the step.
    - BUDGET: a start after the greatest number of failures, or of crashes by the task.
    - MIXED: a phase shown to a caller that contradicts an earlier one or the tasks.
    - LOST: an accepted job that is unknown, does not end, or fails although no task has used up
      its attempts or was on two executors that crashed; a request that a daemon does not answer
      while it lives.

    The soak test adds STATUS (a call got an unexpected status) and STOP (a daemon did not exit).
    """

    def __init__(self, wall_s: float) -> None:
        """Create an empty history; `wall_s` is the Unix time at virtual time zero."""
        self.wall_s = wall_s
        self.jobs: dict[str, JobRecord] = {}
        # By task, the executor and number of each run that is running.
        self.running: dict[str, set[tuple[str, int]]] = {}
        # By task, when it was first done.
        self.done_at: dict[str, float] = {}
        self.acknowledged_done: set[str] = set()
        # By task, the number of executors that it crashed.
        self.crashes: dict[str, int] = {}
        # By task, the number of executors that crashed with a run of it on them.
        self.crashes_around: dict[str, int] = {}
        # By task, the number of its starts after MAX_CRASHES crashes.
        self.starts_after_crashes: dict[str, int] = {}
        # By task, when its latest run started.
        self.started_at: dict[str, float] = {}
        # By task, the time of each start that has no breach of BUDGET yet, and of the end of each
        # acknowledged failure, by run.
        self._open_starts: defaultdict[str, dict[int, float]] = defaultdict(dict)
        self._failed_at: defaultdict[str, dict[int, float]] = defaultdict(dict)
        self.starts = 0
        # The end of the last disturbance, once that is over.
        self.calm_from = float("inf")
        # By number, the text, the daemon and the time by which it answers, of each open request.
        self._open_requests: dict[int, tuple[str, str, float]] = {}
        self._request_count = 0
        self.breaches: list[str] = []

    def report(self, text: str) -> None:
        """Add a breach, whose text begins with its code."""
        self.breaches.append(text)

    def record_request(self, text: str, daemon: str, due_at: float) -> int:
        """Record that a daemon got a request of a caller, and return its number.

        `due_at` is the time on the daemon's clock by which it has answered.
        """
        self._request_count += 1
        self._open_requests[self._request_count] = (text, daemon, due_at)
        return self._request_count

    def record_answer(self, request: int) -> None:
        """Record that a request was answered, or that its daemon ended."""
        self._open_requests.pop(request, None)

    def check_answers(self, clocks: dict[str, tuple[float, float]]) -> None:
        """Report the requests that are overdue at daemons that live.

        `clocks` holds for each living daemon its clock, and the time on it at which its last pause
        ended; it gets some time to answer after that.
        """
        for request, (text, daemon, due_at) in list(self._open_requests.items()):
            if daemon not in clocks:
                del self._open_requests[request]
                continue
            now, resumed_at = clocks[daemon]
            if now > max(due_at, resumed_at + MAX_ANSWER_DELAY_S):
                del self._open_requests[request]
                self.report(f"LOST at {now:.3f} {text}: no answer though the daemon lives")

    def find_task(self, task: str) -> tuple[JobRecord, int, int, int, Step]:
        """Return the job record, occurrence, step number, index and step of a task.

        Raises KeyError, after reporting it, for a task of an unknown job.
        """
        parsed = parse_task(task)
        if parsed is None or parsed[0] not in self.jobs:
            self.report(f"UNASKED {task} belongs to no job")
            raise KeyError(task)
        record = self.jobs[parsed[0]]
        step = record.definition.steps[parsed[2]]
        return record, parsed[1], parsed[2], parsed[3], step

    def check_start(
        self,
        now: float,
        task: str,
        run: int,
        executor: str,
        spec: str,
        labels: tuple[str, ...],
        free_resources: Resources,
        same_step_count: int,
        is_late: bool,
    ) -> None:
        """Check and record a start that an executor applies.

        `same_step_count` is the number of runs of the step on the executor. `is_late` marks an
        order that was delayed and may therefore be applied after a cancel was acknowledged.
        """
        record, occurrence, number, index, step = self.find_task(task)
        where = f"at {now:.3f} {task} run {run} on {executor}"
        breaches_before = len(self.breaches)
        if spec != record.definition.spec or index >= step.count:
            self.report(f"UNASKED {where}: differs from the submitted job")
        if record.submit_attempts and record.refusals == record.submit_attempts:
            self.report(f"REFUSED {where}: all attempts to submit the job were refused")
        if self.running.get(task) and not step.may_copy:
            self.report(f"TWICE {where}: already runs as {sorted(self.running[task])}")
        if task in self.acknowledged_done and not step.may_copy:
            self.report(f"TWICE {where}: its end was acknowledged")
        for predecessor in step.after:
            for other in range(record.definition.steps[predecessor].count):
                name = f"{record.definition.id}.{occurrence}.{predecessor}.{other}"
                if name not in self.done_at:
                    self.report(f"ORDER {where}: {name} is not done")
        self._check_limits(
            now, where, record, occurrence, step, task, labels, free_resources, same_step_count
        )
        acked_at = record.cancel_acked_at
        if acked_at is not None and now > acked_at + CANCEL_GRACE_S and not is_late:
            self.report(f"UNASKED {where}: cancelled at {acked_at:.3f}")
        self._check_waiting_cancel(now, where, record)
        if not any(text.startswith("BUDGET") for text in self.breaches[breaches_before:]):
            self._open_starts[task][run] = now
        self.starts += 1
        self.started_at[task] = now
        self.running.setdefault(task, set()).add((executor, run))

    def _check_waiting_cancel(self, now: float, where: str, record: JobRecord) -> None:
        """Report a start of a job whose cancel has waited for its answer for long enough."""
        asked_at = record.cancel_asked_at
        if asked_at is None or not record.is_cancel_waiting:
            return
        acked_at = max(asked_at, self.calm_from + CONTACT_S) + CANCEL_WAIT_S
        if now > acked_at + CANCEL_GRACE_S:
            self.report(f"UNASKED {where}: a cancel waits since {asked_at:.3f}")

    def _check_limits(
        self,
        now: float,
        where: str,
        record: JobRecord,
        occurrence: int,
        step: Step,
        task: str,
        labels: tuple[str, ...],
        free_resources: Resources,
        same_step_count: int,
    ) -> None:
        """Check the resources, label, tasks per executor, attempts and due time of a start."""
        if not step.demand.fits(free_resources):
            self.report(f"LIMIT {where}: needs {step.demand}, only {free_resources} free")
        if step.label and step.label not in labels:
            self.report(f"ROUTE {where}: lacks the label {step.label}")
        if step.max_per_executor and same_step_count >= step.max_per_executor:
            self.report(f"ROUTE {where}: {same_step_count} tasks of the step already run there")
        limit = record.definition.queue.max_attempts
        failures = record.acknowledged_failures.get(task, set())
        if len(failures) >= limit and not step.is_lasting:
            self.report(f"BUDGET {where}: already failed {limit} times")
        if self.crashes.get(task, 0) >= MAX_CRASHES:
            starts = self.starts_after_crashes[task] = self.starts_after_crashes.get(task, 0) + 1
            if starts > MAX_STARTS_AFTER_CRASHES:
                self.report(f"BUDGET {where}: {self.crashes[task]} executors crashed under it")
        definition = record.definition
        if definition.repeat_count:
            due_ms = definition.first_ms + occurrence * definition.interval_ms
            if self.wall_s + now < due_ms / 1000 - MAX_EARLY_START_S:
                self.report(f"ORDER {where}: not due before {due_ms}")

    def record_crash(self, task: str) -> None:
        """Record that a task crashed its executor."""
        self.crashes[task] = self.crashes.get(task, 0) + 1

    def record_run_at_crash(self, task: str) -> None:
        """Record that an executor crashed while a run of the task was on it."""
        self.crashes_around[task] = self.crashes_around.get(task, 0) + 1

    def may_be_given_up(self, job_id: str) -> bool:
        """Return whether two executors crashed under a task of a job, which may thus be failed."""
        return any(
            count >= MIN_CRASHES and task.partition(".")[0] == job_id
            for task, count in self.crashes_around.items()
        )

    def record_end(self, now: float, task: str, run: int, executor: str, how: str) -> None:
        """Record that a run ended on its executor."""
        self.running.get(task, set()).discard((executor, run))
        if how == DONE:
            self.done_at.setdefault(task, now)

    def has_used_up_attempts(self, record: JobRecord) -> bool:
        """Return whether a task, or a gang as a whole, has failed as often as its queue allows.

        Several members of a gang may fail in one run of it, which is one attempt.
        """
        runs: dict[str, set[int]] = {}
        for task, failures in record.acknowledged_failures.items():
            parsed = parse_task(task)
            step = record.definition.steps[parsed[2]] if parsed is not None else None
            if step is None or step.is_lasting:
                continue
            key = task.rpartition(".")[0] if step.is_gang else task
            runs.setdefault(key, set()).update(failures)
        limit = record.definition.queue.max_attempts
        return any(len(failures) >= limit for failures in runs.values())

    def record_acknowledged_end(
        self, now: float, task: str, run: int, how: str, ended_at: float, is_lease_expired: bool
    ) -> None:
        """Record that the owner acknowledged the end of a run.

        The end is ignored where the lease of the executor has expired since the run ended, as the
        owner may have started the task again after the expiry.
        """
        record, _occurrence, _number, _index, step = self.find_task(task)
        if is_lease_expired:
            return
        if how == DONE:
            has_restarted = self.started_at.get(task, 0.0) > ended_at
            if has_restarted and not step.may_copy:
                self.report(
                    f"TWICE {task} started after its end at {ended_at:.3f}, acknowledged at {now}"
                )
            self.acknowledged_done.add(task)
        elif how == FAILED:
            record.acknowledged_failures.setdefault(task, set()).add(run)
            self._failed_at[task].setdefault(run, ended_at)
            self._check_earlier_starts(now, task)

    def _check_earlier_starts(self, now: float, task: str) -> None:
        """Report starts after the last attempt had ended, which is acknowledged only now."""
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

    def check_shown(self, now: float, job_id: str, phase: str) -> None:
        """Check and record a phase that a caller is shown."""
        record = self.jobs[job_id]
        if record.last_phase in (DONE, FAILED) and phase != record.last_phase:
            self.report(f"MIXED at {now:.3f} {job_id}: {phase} after {record.last_phase}")
        record.last_phase = phase
        if phase == DONE and not self.has_all_tasks_done(record):
            self.report(f"MIXED at {now:.3f} {job_id}: shown as done before all tasks were done")
        has_cause = self.has_used_up_attempts(record) or self.may_be_given_up(job_id)
        if phase == FAILED and not has_cause:
            self.report(f"LOST at {now:.3f} {job_id}: shown as failed before its attempts are used")

    def has_all_tasks_done(self, record: JobRecord) -> bool:
        """Return whether all tasks of a job are done."""
        definition = record.definition
        return all(
            f"{definition.id}.{occurrence}.{number}.{index}" in self.done_at
            for occurrence in range(max(1, definition.repeat_count))
            for number, step in enumerate(definition.steps)
            for index in range(step.count)
        )
