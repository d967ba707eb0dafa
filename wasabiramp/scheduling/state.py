"""In-memory state of the domain owner: executors, jobs, steps, tasks and their runs."""

from __future__ import annotations

from collections.abc import Iterator
import math
from typing import Final

from wasabiramp.scheduling.effects import Effect, NoteDecision, StartTask
from wasabiramp.scheduling.model import (
    CANCELLED,
    FINAL_PHASES,
    PENDING,
    RUNNING,
    CellConfig,
    Crash,
    EndReport,
    ExecutorEntry,
    FailedEnd,
    JobDefinition,
    JobProgress,
    Queue,
    Resources,
    Step,
    StepProgress,
    build_step_name,
)
from wasabiramp.scheduling.processes import ProcessCalls

FULL_PACE_PERCENT: Final = 100
"""Pace at which a task starts, in percent of its full speed."""

RUNS_PER_TERM: Final = 100_000
"""Run numbers reserved for each ownership term, so that they increase across owners."""


class Run:
    """One attempt to run a task on an executor, from the start order until its end is certain.

    `percent` is its progress at the last speed sample, and `pace` is None if unknown. `lease_gaps`
    is the number of gaps in the lease of its executor when it was last known to run, or None.
    `is_unlisted` is set if a report that may lack further ends did not list it.
    `lost_with` is the start time of the executor's process with which it may have been lost.
    `may_have_broken_gang` is set if it is to be stopped only because other members of its gang
    ended, and these ended because another one did.
    """

    __slots__ = (
        "confirmed_at",
        "executor",
        "index",
        "is_uncertain",
        "is_unlisted",
        "lease_gaps",
        "lost_with",
        "may_have_broken_gang",
        "sampled_at",
        "sampled_clock_ms",
        "number",
        "start_order",
        "pace",
        "percent",
        "resends",
        "sent_at",
        "step",
        "stop_confirmed_at",
        "stop_sent_at",
        "task",
        "wants_stop",
    )

    def __init__(
        self, step: StepRun | None, index: int, task: str, executor: str, number: int, now: float
    ) -> None:
        """Create a run whose start is sent now; a run of an unknown job has no step."""
        self.step = step
        self.index = index
        self.task = task
        self.executor = executor
        self.number = number
        self.sent_at = now
        self.start_order: StartTask | None = None
        self.resends = 0
        self.percent = 0.0
        self.sampled_at: float | None = None
        self.sampled_clock_ms = 0
        self.pace: int | None = FULL_PACE_PERCENT if step is not None else None
        self.confirmed_at: float | None = None
        self.is_uncertain = False
        self.is_unlisted = False
        self.lease_gaps: int | None = None
        self.lost_with: int | None = None
        self.may_have_broken_gang = False
        self.wants_stop = False
        self.stop_sent_at: float | None = None
        self.stop_confirmed_at: float | None = None

    @property
    def demand(self) -> Resources:
        """Return the resources that the run occupies."""
        return self.step.spec.demand if self.step is not None else Resources()


class TaskAtCrash:
    """A task that ran on an executor when it stopped answering, and its record of that.

    `mass` is the probability that a deadly task crashes its executor at such an age, and `weight`
    that this task did. `chance` is the probability that the executor crashed in that time anyway,
    and `age_share` that a sound run is at such an age at any time. By answers up to one that was
    asked for at `answer_asked_at`, the run was there under a lease that lasts at least until
    `lease_ends_at`, which is in the past if that is not known. `run` is that run, or None if the
    record is one of an earlier owner. `lost_members` are the records of all members of its gang
    that were lost together, this one among them. `has_ended_in_time` is set once the process
    certainly ended before the lease did, and `is_run_known` if the process had answered for the
    run. `counted_risk` is what was counted for the queue of the task at `counted_at`.
    """

    __slots__ = (
        "age_share",
        "answer_asked_at",
        "chance",
        "counted_at",
        "counted_risk",
        "crash",
        "has_ended_in_time",
        "index",
        "is_run_known",
        "lease_ends_at",
        "lost_members",
        "mass",
        "run",
        "step",
        "weight",
    )

    def __init__(self, step: StepRun, index: int, crash: Crash) -> None:
        """Create a reference to a crash in the progress of a step."""
        self.step = step
        self.index = index
        self.crash = crash
        self.mass = 0.0
        self.chance = 0.0
        self.age_share = 0.0
        self.weight = 0.0
        self.counted_risk = 0.0
        self.counted_at = 0.0
        self.answer_asked_at = -math.inf
        self.lease_ends_at = -math.inf
        self.run: Run | None = None
        self.lost_members: list[TaskAtCrash] = [self]
        self.has_ended_in_time = False
        self.is_run_known = False


class Loss:
    """The loss of contact with an executor, at some time after it last answered.

    `explained` is the probability that a task on the executor caused it, taken by itself.
    """

    __slots__ = ("answered_at", "executor", "explained", "noticed_at")

    def __init__(
        self, executor: str, answered_at: float, noticed_at: float, explained: float
    ) -> None:
        """Create a record of a loss."""
        self.executor = executor
        self.answered_at = answered_at
        self.noticed_at = noticed_at
        self.explained = explained


class TaskState:
    """One task of a step: its runs that may be active, and its saved state."""

    __slots__ = ("index", "last_run", "moves", "runs", "saved")

    def __init__(self, index: int, saved: str) -> None:
        """Create a task without runs."""
        self.index = index
        self.last_run = 0
        self.moves = 0
        self.runs: list[Run] = []
        self.saved = saved


class UnconfirmedEnd:
    """The end of a failed run that was read, until it is known whether it counts as an attempt.

    `key` is the index of the task, or 0 for a gang. `lease_gaps` is the number of gaps in the lease
    of the executor since which it has certainly not lapsed after the end, or None if unknown.
    `acknowledgements` is the number of holds that were sent and acknowledge the end.
    """

    __slots__ = (
        "acknowledgements",
        "failed_end",
        "key",
        "lease_gaps",
        "read_at",
        "step",
    )

    def __init__(self, step: StepRun, key: int, failed_end: FailedEnd, now: float) -> None:
        """Create the end of a run of a task that the owner has not acknowledged."""
        self.step = step
        self.key = key
        self.failed_end = failed_end
        self.read_at = now
        self.lease_gaps: int | None = None
        self.acknowledgements = 0


class Ticket:
    """The adviser's permission to run a step on one incarnation of an executor."""

    __slots__ = ("born_ms", "expires_at", "value")

    def __init__(self, value: str, born_ms: int, expires_at: float) -> None:
        """Create a ticket that expires at a time on the event loop's clock."""
        self.value = value
        self.born_ms = born_ms
        self.expires_at = expires_at


class StepRun:
    """One step of one occurrence of a job.

    `verdicts` tells for each executor incarnation whether the adviser found it suitable, and
    `finished_runs` has a text for each successful run that is not logged yet.
    `lacks_resources` is set if a gang, or some tasks, did not fit in the last placement pass.
    `suspects` are the indexes of the tasks that may have crashed executors, and `trial_due_at` is
    the time until which they wait for an executor without other work. The executor of one of its
    tasks was lost at `executor_lost_at` for the last time. Since `closed_out_since`, the
    step fits only on executors that are closed to it by suspects of others. At
    `released_at` a run was last released without a listed end. `undecided` are the indexes of the
    tasks that may have used up their attempts, which are not started.
    """

    __slots__ = (
        "closed_out_since",
        "next_advice_at",
        "released_at",
        "is_feasible",
        "due_at",
        "executor_lost_at",
        "feasibility_version",
        "finished_runs",
        "index",
        "is_advice_pending",
        "job",
        "lacks_resources",
        "critical_path_s",
        "name",
        "occurrence",
        "progress",
        "spec",
        "suspects",
        "tasks",
        "tickets",
        "trial_due_at",
        "trial_executor",
        "undecided",
        "verdicts",
    )

    def __init__(self, job: JobRun, occurrence: int, index: int, due_at: float) -> None:
        """Create the tasks of the step from the job's definition and stored progress."""
        self.job = job
        self.occurrence = occurrence
        self.index = index
        self.spec: Step = job.definition.steps[index]
        self.name = build_step_name(job.definition.id, occurrence, index)
        self.progress = job.progress.steps.setdefault((occurrence, index), StepProgress())
        self.tasks = [
            TaskState(number, self.progress.saved.get(number, ""))
            for number in range(self.spec.count)
        ]
        self.due_at = due_at
        self.critical_path_s = calculate_critical_path_s(job.definition.steps, index)
        self.is_advice_pending = False
        self.next_advice_at = 0.0
        self.is_feasible = True
        self.lacks_resources = False
        self.feasibility_version = (-1, -1)
        self.tickets: dict[str, Ticket] = {}
        self.verdicts: dict[tuple[str, int], bool] = {}
        self.finished_runs: list[str] = []
        self.suspects: set[int] = set()
        self.undecided: set[int] = set()
        self.trial_due_at: float | None = None
        self.trial_executor = ""
        self.executor_lost_at = -math.inf
        self.closed_out_since: float | None = None
        self.released_at = -math.inf

    @property
    def is_done(self) -> bool:
        """Return whether all tasks succeeded."""
        return len(self.progress.done) >= self.spec.count

    def find_waiting_tasks(self) -> list[TaskState]:
        """Return the tasks that may be started: not done, undecided, or with an active run."""
        done, undecided = self.progress.done, self.undecided
        return [
            task
            for task in self.tasks
            if not task.runs and task.index not in done and task.index not in undecided
        ]

    def iter_runs(self) -> Iterator[Run]:
        """Iterate over all runs that may be active."""
        for task in self.tasks:
            yield from task.runs

    def build_task_name(self, index: int) -> str:
        """Return the name of the task with the given index."""
        return f"{self.name}.{index}"


def calculate_critical_path_s(steps: tuple[Step, ...], index: int) -> float:
    """Return the estimated critical path in seconds from the start of a step to the job's end."""
    path_s = [step.estimate_s for step in steps]
    for number in range(len(steps) - 1, index, -1):
        for before in steps[number].after:
            path_s[before] = max(path_s[before], steps[before].estimate_s + path_s[number])
    return path_s[index]


class JobRun:
    """A job at its owner; `shown_phase` is the last phase that was stored and may be shown.

    `is_reconciled` is False after a takeover until its runs under the earlier owner are known.
    `found_at` is the time at which a job was found that has not been announced.
    """

    __slots__ = (
        "accepted_at",
        "definition",
        "ended_at",
        "found_at",
        "has_started",
        "is_reconciled",
        "is_dirty",
        "objective_at",
        "progress",
        "shown_phase",
        "steps",
    )

    def __init__(self, definition: JobDefinition, progress: JobProgress, accepted_at: float):
        """Create a job from its stored definition and progress."""
        self.definition = definition
        self.progress = progress
        self.accepted_at = accepted_at
        self.shown_phase = progress.phase if progress.phase in FINAL_PHASES else PENDING
        self.is_dirty = False
        self.is_reconciled = True
        self.found_at = -math.inf
        self.has_started = False
        self.objective_at = accepted_at
        self.ended_at: float | None = None
        self.steps: dict[tuple[int, int], StepRun] = {}

    @property
    def is_ended(self) -> bool:
        """Return whether the job is done, failed or cancelled, even if that is not stored yet."""
        return self.progress.phase in FINAL_PHASES

    def find_phase(self) -> str:
        """Return the phase to show to callers."""
        if self.shown_phase in FINAL_PHASES:
            return self.shown_phase
        return RUNNING if self.has_started else PENDING

    def has_done_predecessors(self, step: StepRun) -> bool:
        """Return whether all steps that the step depends on are done."""
        return all(
            (before := self.steps.get((step.occurrence, index))) is not None and before.is_done
            for index in step.spec.after
        )


class ExecutorState:
    """An executor: its platform entry, its clock, its latest lease and its runs.

    `last_read_end` is the number of the last end that was read, and `last_seen` that of the last
    one that is stored. `calls` are those that may reach another process. Leases count as valid
    until `lease_expiry_floor` at least. `must_answer` is set after a takeover until the
    executor's runs are known. `unattributed_ends` are ends of unknown jobs by number, with the time
    at which each was read, and `lease_gaps` as in `UnconfirmedEnd`. `hold_address` is the address
    to which the last hold was sent, and `reached_at` the one from which the executor answered last.
    `reported_at` is the time of the last report, which unlike other answers tells the incarnation.
    `born_known_at` is the time since which its start time `born_ms` is known. `has_invalid_entry`
    is set while the platform lists an entry that cannot be used. `slowness` is 1 at the estimated
    speed and higher if slower. `is_gone` is set once its process is certainly gone, and
    `tasks_at_silence` holds what ran on it when it stopped answering, of which `loss` tells when.
    `open_crashes` are the crashes of earlier processes that an answer of this one may witness.
    `may_be_next_process` is set if its clock has gone back since the last report, so that the
    starts that were answered since are those of a process that is not known yet.

    Its clock showed `clock_ms` between `clock_asked_at` and `clock_at`. By its answers, its lease
    lasts until `lease_confirmed_ms` on that clock at least. `lease_gaps` counts how often it may
    have lapsed; `reported_lease_gaps` is that count at the last complete report, or None before the
    first, and `is_lease_continuous` is set while a report is processed before which the lease
    cannot have lapsed since the one before. It has certainly lapsed if a hold is answered
    that was sent at `lapse_certain_at` or later. `lapse_noticed_at` is the time at which it was
    noticed that the lease of an executor that does not answer has ended. `lease_before_hold_ms` is
    its latest end before the last hold. `unconfirmed_ends` are the ends by number that may count as
    attempts, and `unstored_withdrawals` the numbers of those that do not, until that is stored.
    `uncounted_ends` are those that the executor may still list, with the time of the decision.
    """

    __slots__ = (
        "born_known_at",
        "born_ms",
        "clock_asked_at",
        "clock_at",
        "clock_ms",
        "unanswered_starts",
        "entry",
        "failures",
        "answered_at",
        "reported_at",
        "answered_hold_sent_at",
        "hold_address",
        "hold_sent_at",
        "next_hold_at",
        "id",
        "has_accepted_fence",
        "has_invalid_entry",
        "has_open_hold",
        "is_gone",
        "is_listed",
        "is_in_stored_roster",
        "is_lease_continuous",
        "lapse_certain_at",
        "lapse_noticed_at",
        "last_seen",
        "lease_before_hold_ms",
        "lease_confirmed_ms",
        "lease_expiry_floor",
        "expired_runs",
        "lease_gaps",
        "lease_until_ms",
        "loss",
        "may_be_next_process",
        "must_answer",
        "open_crashes",
        "reached_at",
        "reported_lease_gaps",
        "has_new_ends",
        "calls",
        "last_read_end",
        "cooldown_until",
        "cooldown_s",
        "greatest_capacity",
        "runs",
        "silent_since",
        "slowness",
        "tasks_at_silence",
        "unattributed_ends",
        "unconfirmed_ends",
        "uncounted_ends",
        "unlisted_at",
        "unstored_withdrawals",
        "used",
    )

    def __init__(self, entry: ExecutorEntry, first_epoch: int = 0) -> None:
        """Create the state of an executor from its platform entry.

        Its calls begin with a fence epoch above those that this owner used for the id before.
        """
        self.id = entry.id
        self.entry = entry
        self.is_listed = True
        self.has_invalid_entry = False
        self.born_known_at = 0.0
        self.is_in_stored_roster = False
        self.unlisted_at = 0.0
        self.must_answer = False
        self.hold_address = ""
        self.reached_at = ""
        self.runs: dict[tuple[str, int], Run] = {}
        self.used = Resources()
        self.lease_expiry_floor = 0.0
        self.unanswered_starts: dict[tuple[str, int], float] = {}
        self.calls = ProcessCalls(first_epoch)
        self.cooldown_s = 0.0
        self.slowness = 1.0
        self.unconfirmed_ends: dict[int, UnconfirmedEnd] = {}
        self.open_crashes: list[TaskAtCrash] = []
        self.reset(entry.born_ms)

    def reset(self, born_ms: int) -> None:
        """Discard the state of an earlier incarnation, but keep its runs and their resources."""
        self.born_ms = born_ms
        self.greatest_capacity = Resources()
        self.is_gone = False
        self.has_accepted_fence = False
        self.has_open_hold = False
        self.answered_at = float("-inf")
        self.reported_at = float("-inf")
        self.answered_hold_sent_at = float("-inf")
        self.hold_sent_at = 0.0
        self.next_hold_at = 0.0
        self.clock_ms: int | None = None
        self.clock_at = 0.0
        self.clock_asked_at = 0.0
        self.lease_until_ms = 0
        self.lease_before_hold_ms = 0
        self.lease_confirmed_ms = 0
        self.lease_gaps = 0
        self.reported_lease_gaps: int | None = None
        self.is_lease_continuous = False
        self.lapse_certain_at: float | None = None
        self.lapse_noticed_at: float | None = None
        self.last_seen = 0
        self.last_read_end = 0
        self.has_new_ends = False
        self.failures: set[str] = set()
        self.cooldown_until = 0.0
        self.silent_since: float | None = None
        self.loss: Loss | None = None
        self.may_be_next_process = False
        self.tasks_at_silence: list[TaskAtCrash] = []
        self.expired_runs: set[tuple[str, int]] = set()
        self.unstored_withdrawals: set[int] = set()
        self.uncounted_ends: dict[int, float] = {}
        self.unattributed_ends: dict[int, tuple[EndReport, float, int | None]] = {}

    def add_run(self, run: Run) -> None:
        """Add a run and occupy its resources."""
        self.runs[(run.task, run.number)] = run
        self.used = self.used.plus(run.demand)

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self.used = self.used.minus(run.demand)


class SchedulerState:
    """State of the scheduler of one domain.

    `is_recovering` is set after a takeover until it is known what earlier owners left running, and
    their leases end at `predecessor_leases_end_at` at the latest. `has_unknown_executors` is set if
    they may have runs on executors that are not known. `recovered_revision` is the store revision
    as of which jobs were recovered. `ended_jobs` had ended by then, and `unreadable_jobs` have
    records that this build cannot read. All jobs stored up to `jobs_confirmed_at` are known.
    `suspect_steps` are the open steps with suspects, by name.
    `job_services` are the names of the services of all jobs so far, which may outlive their queues.
    `losses` are the latest losses of contact with executors. `silent_by_address` are the ids of
    those that fell silent last at an address where they were reached; they may answer again since.
    `unexplained_crashes` are the recent crashes for which no task is to blame, as of
    `unexplained_at`, since the first event at `created_at`. `risk_by_queue` holds the crashes by
    tasks of a queue, and the time as of which they count. `smallest_capacity_share` is the smallest
    share of its greatest capacity to which an executor has shrunk. No lease may end later than
    `leases_end_by`, which follows from the last proof of the owner's term. Those that are longer
    than usual have ended by `long_leases_end_at`. The machine was suspended for `suspended_s` in
    all, at `resumed_at` for the last time. Calls to executors that are added have `first_epoch` or
    a higher fence epoch.
    """

    __slots__ = (
        "config",
        "created_at",
        "effects",
        "ended_jobs",
        "executors",
        "has_given_up_ownership",
        "is_recovering",
        "has_unknown_executors",
        "is_roster_dirty",
        "job_services",
        "jobs",
        "jobs_confirmed_at",
        "lease_limit_s",
        "lease_s",
        "losses",
        "leases_end_by",
        "list_age_s",
        "long_leases_end_at",
        "silent_by_address",
        "smallest_capacity_share",
        "executor_list_version",
        "first_epoch",
        "now",
        "open_steps",
        "predecessor_leases_end_at",
        "recovered_revision",
        "resumed_at",
        "risk_by_queue",
        "suspect_steps",
        "suspended_s",
        "term",
        "unexplained_at",
        "unexplained_crashes",
        "unreadable_jobs",
        "wall_offset_s",
    )

    def __init__(
        self, term: int, lease_s: float, lease_limit_s: float, wall_offset_s: float
    ) -> None:
        """Create an empty state; `wall_offset_s` plus the loop's time is Unix time."""
        self.term = term
        self.lease_s = lease_s
        self.lease_limit_s = lease_limit_s
        self.leases_end_by = math.inf
        self.long_leases_end_at = -math.inf
        self.suspended_s: float | None = None
        self.resumed_at = -math.inf
        self.wall_offset_s = wall_offset_s
        self.config = CellConfig(0, ())
        self.executors: dict[str, ExecutorState] = {}
        self.jobs: dict[str, JobRun] = {}
        self.job_services: set[str] = set()
        self.open_steps: dict[str, StepRun] = {}
        self.suspect_steps: dict[str, StepRun] = {}
        self.risk_by_queue: dict[str, tuple[float, float]] = {}
        self.created_at = math.inf
        self.losses: list[Loss] = []
        self.silent_by_address: dict[str, str] = {}
        self.unexplained_crashes = 0.0
        self.unexplained_at = 0.0
        self.now = 0.0
        self.effects: list[Effect] = []
        self.is_recovering = False
        self.predecessor_leases_end_at = 0.0
        self.recovered_revision = 0
        self.jobs_confirmed_at = -math.inf
        self.ended_jobs: set[str] = set()
        self.unreadable_jobs: set[str] = set()
        self.has_given_up_ownership = False
        self.has_unknown_executors = False
        self.is_roster_dirty = False
        self.executor_list_version = 0
        self.first_epoch = 0
        self.list_age_s = 0.0
        self.smallest_capacity_share = 1.0

    def log_decision(self, event: str, count: int = 1, **fields: object) -> None:
        """Add an effect that logs a decision, which counts `count` times in the metrics."""
        self.effects.append(NoteDecision(event, fields, count))

    def has_use_for(self, entry: ExecutorEntry) -> bool:
        """Return whether an executor is known, or of a service that the cell or a job names."""
        is_named = entry.service in self.config.services or entry.service in self.job_services
        return is_named or entry.id in self.executors

    def find_queue(self, job: JobRun) -> Queue:
        """Return the configured queue of a job, or the job's own copy if it was removed."""
        return self.config.find(job.definition.queue.name) or job.definition.queue

    def find_run(self, executor_id: str, task: str, number: int) -> Run | None:
        """Return a run that is tracked on an executor, or None."""
        executor = self.executors.get(executor_id)
        return executor.runs.get((task, number)) if executor is not None else None

    def get_next_run_number(self, task: TaskState) -> int:
        """Return a run number above all that this or an earlier term used for the task."""
        return max(task.last_run, (self.term - 1) * RUNS_PER_TERM) + 1


def is_wanted(run: Run) -> bool:
    """Return whether the job still needs the run."""
    step = run.step
    if step is None or step.job.is_ended or step.job.progress.phase == CANCELLED:
        return False
    return run.index not in step.progress.done
