"""A simulation of the pure scheduler under mixed load, in virtual time and without network."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import heapq
import math
from random import Random
from typing import Any, Final

from wasabiramp.bench.load_faults import LOAD_FAULTS
from wasabiramp.bench.profiles import Kind, Profile
from wasabiramp.bench.simulated import SimulatedExecutor, SimulatedRun
from wasabiramp.core.records import record
from wasabiramp.entry.owner import PLACEMENT_DELAY_S, RUN_LEASE_S, TICK_INTERVAL_S
from wasabiramp.scheduling.effects import (
    AskAdvice,
    Effect,
    HoldExecutor,
    PaceTask,
    StartTask,
    StopTask,
)
from wasabiramp.scheduling.events import (
    NOT_SENT,
    OTHER_INCARNATION,
    REFUSED_OLD,
    STARTED,
    UNKNOWN,
    AdviceAnswered,
    Committed,
    ConfigChanged,
    ExecutorListed,
    ExecutorUnlisted,
    HoldAnswered,
    HoldFailed,
    JobAccepted,
    PaceAnswered,
    StartAnswered,
    StopAnswered,
    StoredJob,
    TimePassed,
)
from wasabiramp.scheduling.model import (
    CellConfig,
    EndReport,
    ExecutorEntry,
    ExecutorReport,
    JobDefinition,
    Resources,
    RunReport,
    Step,
)
from wasabiramp.scheduling.scheduler import Scheduler

MESSAGE_DELAY_S: Final = 0.003
"""Delay of a call, including its answer, between a daemon and an executor in one region."""

COMMIT_DELAY_S: Final = 0.024
"""Delay of a group commit: the pause between two commits and the answer of the store."""

STOP_DELAY_S: Final = 0.2
"""Time that a run takes to end after a stop order."""

MAX_LEASE_S: Final = 6.0
"""Longest lease that the simulated executors accept."""

ANSWER_TIMEOUT_S: Final = 0.1
"""Time after which a call to an executor counts as unanswered, beyond the wait of a hold."""

LATE_ORDER_DELAY_S: Final = (2.0, 12.0)
"""Range of the delay with which an unanswered start is carried out."""

DEADLY_AGE_S: Final = 0.015
DEADLY_DOWNTIME_S: Final = 3.2
"""Age at which a deadly run crashes its executor, and the time until that is replaced."""

MAX_DRAIN_S: Final = 60.0
"""Greatest time that the simulation continues after the last arrival."""


@record
class LoadResult:
    """Results of one kind of jobs, without those that have a deadly task.

    `in_time` is the share of jobs that end within their objective; waits are the seconds from the
    submission of a job to its first start.
    """

    kind: str
    jobs: int
    in_time: float
    wait_p50_s: float
    wait_p99_s: float


class LoadModel:
    """A discrete-event simulation of one scheduler, its executors and its adviser.

    Example: `LoadModel(PROFILES["small"], seed=1).run(30.0)`.
    """

    def __init__(self, profile: Profile, seed: int) -> None:
        """Create an idle cell."""
        self.profile = profile
        self.random = Random(seed)
        self.scheduler = Scheduler(1, RUN_LEASE_S, MAX_LEASE_S, 0.0)
        self._is_owned = True
        self.unanswered_share = 0.0
        self.advice_factor = 1.0
        self.store_back_at = 0.0
        self.now = 1.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._next_sequence = 0
        self.simulated_executors: dict[str, SimulatedExecutor] = {}
        # By job id, its kind, the time of its submission and the duration of its tasks in seconds.
        self.submitted: dict[str, tuple[Kind, float, float]] = {}
        self._widths: dict[str, int] = {}
        self.deadly_share = 0.0
        # By deadly task, the number of executors that it has crashed.
        self.deadly_tasks: dict[str, int] = {}
        self._added_executors = 0
        self.first_start: dict[str, float] = {}
        self.done_at: dict[str, float] = {}
        self.failed_jobs: set[str] = set()
        # By daemon, the time from which it may ask the adviser again.
        self._adviser_free_at = [0.0] * profile.callers
        self._is_placing = False
        self._is_committing = False

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a time."""
        self._next_sequence += 1
        heapq.heappush(self._queue, (at, self._next_sequence, callback))

    def run(
        self,
        seconds: float,
        load: float = 1.0,
        faults: Sequence[tuple[str, float, float]] = (),
    ) -> list[LoadResult]:
        """Simulate arrivals for a time, at `load` times the rates of the profile.

        Each fault is its name, the time of its beginning and its duration, in seconds. Returns the
        results of each kind of jobs.
        """
        self._set_up_cell()
        for name, begins_at, duration_s in faults:
            self.call_at(
                self.now + begins_at,
                lambda name=name, duration_s=duration_s: LOAD_FAULTS[name](self, duration_s),
            )
        for kind in self.profile.kinds:
            at = self.now
            while True:
                at += self.random.expovariate(load * kind.per_s)
                if at > self.now + seconds:
                    break
                self.call_at(at, lambda kind=kind: self._submit_job(kind))
        deadline = self.now + seconds + MAX_DRAIN_S
        while self._queue and self._queue[0][0] <= deadline:
            self.now, _number, callback = heapq.heappop(self._queue)
            callback()
            if self.now > deadline - MAX_DRAIN_S and len(self.done_at) == len(self.submitted):
                break
        return [self._summarize(kind) for kind in self.profile.kinds]

    def _set_up_cell(self) -> None:
        """Configure the scheduler, add all executors and start the periodic tick.

        Every third executor is slower than the others.
        """
        for number in range(self.profile.executors):
            name = f"e{number}"
            slowness = 1.3 if number % 3 == 2 else 1.0
            self.simulated_executors[name] = SimulatedExecutor(name, slowness)
        self._describe_cell()
        self._tick()

    def _describe_cell(self) -> None:
        """Tell the scheduler the configuration and the executors."""
        queues = tuple(kind.queue for kind in self.profile.kinds)
        self.apply(ConfigChanged(CellConfig(1, queues)))
        for name in self.simulated_executors:
            self.list_executor(name)

    def list_executor(self, name: str, capacity_share: float = 1.0) -> None:
        """List an executor, with a share of the usual capacity."""
        labels = ("a", f"r{int(name[1:]) // self.profile.rack}")
        capacity = Resources(
            round(capacity_share * self.profile.cpu),
            round(capacity_share * self.profile.memory_mb),
            0,
        )
        entry = ExecutorEntry(name, name, "service", "z", False, capacity, labels, 1)
        self.apply(ExecutorListed(entry))

    def crash_executor(self, name: str, downtime_s: float) -> None:
        """Crash an executor; after a time another one answers at its address."""
        simulated = self.simulated_executors.pop(name)
        simulated.runs.clear()
        self.apply(HoldFailed(name, self.now, NOT_SENT))
        self.call_at(self.now + downtime_s, lambda: self._replace_executor(simulated))

    def _replace_executor(self, simulated: SimulatedExecutor) -> None:
        """Add an executor in the place of one that has crashed."""
        number = self.profile.executors + self._added_executors
        self._added_executors += 1
        self.simulated_executors[f"e{number}"] = SimulatedExecutor(
            f"e{number}", simulated.slowness, simulated.machine
        )
        self.apply(HoldFailed(simulated.name, self.now, OTHER_INCARNATION))
        self.apply(ExecutorUnlisted(simulated.name))
        self.list_executor(f"e{number}")

    def stop_scheduler(self) -> None:
        """Lose the owner: answers are lost, and nothing is decided."""
        self._is_owned = False

    def start_scheduler(self, term: int) -> None:
        """Start the next owner, which knows the cell but no job."""
        self.scheduler = Scheduler(term, RUN_LEASE_S, MAX_LEASE_S, 0.0)
        self._is_owned = True
        self._is_committing = False
        self._describe_cell()

    def _tick(self) -> None:
        """Advance the scheduler's time and schedule the next tick."""
        self.apply(TimePassed(jobs_confirmed_at=self.now))
        self.call_at(self.now + TICK_INTERVAL_S, self._tick)

    def apply(self, event: Any) -> None:
        """Reduce an event, execute its effects and schedule a placement and a commit.

        Without an owner, a new job waits for the next one, and other events are lost.
        """
        if not self._is_owned:
            if isinstance(event, JobAccepted):
                self.call_at(self.now + TICK_INTERVAL_S, lambda: self.apply(event))
            return
        self._execute_effects(self.scheduler.apply(event, self.now))
        if not self._is_placing:
            self._is_placing = True
            self.call_at(self.now + PLACEMENT_DELAY_S, self._place)
        if not self._is_committing and self.scheduler.take_changes() is not None:
            self._is_committing = True
            committed_at = max(self.store_back_at, self.now) + COMMIT_DELAY_S
            scheduler = self.scheduler
            self.call_at(committed_at, lambda: self._commit(scheduler))

    def _place(self) -> None:
        """Run one round of placement."""
        self._is_placing = False
        if self._is_owned:
            self._execute_effects(self.scheduler.place(self.now))

    def _commit(self, scheduler: Scheduler) -> None:
        """Complete a commit of the current owner and record the jobs that are shown as done."""
        if not self._is_owned or scheduler is not self.scheduler:
            return
        self._is_committing = False
        self.apply(Committed())
        for job_id in self.submitted.keys() - self.done_at.keys():
            job = self.scheduler.state.jobs.get(job_id)
            if job is not None and job.shown_phase in ("done", "failed"):
                self.done_at[job_id] = self.now
            if job is not None and job.shown_phase == "failed":
                self.failed_jobs.add(job_id)

    def _submit_job(self, kind: Kind) -> None:
        """Submit a job with a random width, duration and demand."""
        job_id = f"{len(self.submitted):016x}"
        width = kind.draw_width(self.random)
        work_s = kind.draw_duration_s(self.random)
        estimate_s = work_s * math.exp(self.random.gauss(0.0, kind.estimate_error))
        demand = kind.draw_demand(self.random)
        step = Step(
            width,
            demand,
            estimate_s,
            is_gang=kind.is_gang,
            max_per_executor=kind.max_per_executor,
        )
        self.submitted[job_id] = (kind, self.now, work_s)
        if self.deadly_share and self.random.random() < self.deadly_share:
            self.deadly_tasks[f"{job_id}.0.0.{self.random.randrange(width)}"] = 0
        self._widths[job_id] = width
        definition = JobDefinition(job_id, kind.queue, "x", (step,))
        event = JobAccepted(StoredJob(definition, self.now, 100 + len(self.submitted)))
        self.call_at(max(self.now, self.store_back_at), lambda: self.apply(event))

    def _execute_effects(self, effects: list[Effect]) -> None:
        """Schedule the execution of the scheduler's effects."""
        for effect in effects:
            if self._leave_unanswered(effect):
                continue
            if isinstance(effect, StartTask):
                self.call_at(
                    self.now + MESSAGE_DELAY_S, lambda effect=effect: self._handle_start(effect)
                )
            elif isinstance(effect, StopTask):
                self.call_at(
                    self.now + MESSAGE_DELAY_S, lambda effect=effect: self._handle_stop(effect)
                )
            elif isinstance(effect, HoldExecutor):
                self.call_at(
                    self.now + MESSAGE_DELAY_S, lambda effect=effect: self._handle_hold(effect)
                )
            elif isinstance(effect, AskAdvice):
                self._answer_advice(effect)
            elif isinstance(effect, PaceTask):
                answer = PaceAnswered(effect.executor, effect.task, effect.run, STARTED)
                self.call_at(self.now + MESSAGE_DELAY_S, lambda answer=answer: self.apply(answer))

    def _leave_unanswered(self, effect: Effect) -> bool:
        """Lose a call to an executor that is gone, or at random; return whether it was lost."""
        if not isinstance(effect, StartTask | StopTask | HoldExecutor):
            return False
        is_gone = effect.executor not in self.simulated_executors
        if not is_gone and (
            not self.unanswered_share or self.random.random() >= self.unanswered_share
        ):
            return False
        if isinstance(effect, HoldExecutor):
            sent_at = self.now
            failed = HoldFailed(effect.executor, sent_at, NOT_SENT if is_gone else UNKNOWN)
            delay_s = 0.0 if is_gone else effect.wait_s
            self.call_at(self.now + delay_s + ANSWER_TIMEOUT_S, lambda: self.apply(failed))
            return True
        answer: Any = StopAnswered(effect.executor, effect.task, effect.run, UNKNOWN)
        if isinstance(effect, StartTask):
            answer = StartAnswered(effect.executor, effect.task, effect.run, self.now, UNKNOWN)
            delay_s = self.random.uniform(*LATE_ORDER_DELAY_S)
            self.call_at(self.now + delay_s, lambda: self._handle_start(effect, is_late=True))
        self.call_at(self.now + ANSWER_TIMEOUT_S, lambda: self.apply(answer))
        return True

    def _answer_advice(self, effect: AskAdvice) -> None:
        """Answer an adviser request through the daemon that is free first, after its `cost_s`."""
        index = min(range(len(self._adviser_free_at)), key=self._adviser_free_at.__getitem__)
        cost_s = self.advice_factor * effect.cost_s
        answer_at = max(self.now, self._adviser_free_at[index]) + cost_s
        self._adviser_free_at[index] = answer_at
        kind, _at, _work_s = self.submitted[effect.step.partition(".")[0]]
        good = {
            name: "t"
            for name in effect.executors
            if Random(f"{effect.step}{self._find_machine(name)}").random() < kind.good_share
        }
        valid_s = kind.queue.advice.valid_s if kind.queue.advice is not None else 0.0
        event = AdviceAnswered(effect.step, effect.executors, good, valid_s, self.now)
        self.call_at(answer_at, lambda: self.apply(event))

    def _find_machine(self, name: str) -> str:
        """Return the machine of an executor, or its name if it is gone."""
        simulated = self.simulated_executors.get(name)
        return simulated.machine if simulated is not None else name

    def _handle_start(self, effect: StartTask, is_late: bool = False) -> None:
        """Carry out a start, which has no effect if the run is there or was closed already."""
        simulated = self.simulated_executors.get(effect.executor)
        if simulated is None:
            return
        if effect.run > simulated.last_closed_run.get(effect.task, 0):
            known = simulated.runs.get(effect.task)
            if known is None or known.effect.run != effect.run:
                self._start_run(simulated, effect)
            outcome = STARTED
        else:
            outcome = REFUSED_OLD
        if not is_late:
            clock_ms = self._read_clock_ms()
            self.apply(
                StartAnswered(
                    effect.executor,
                    effect.task,
                    effect.run,
                    self.now,
                    outcome,
                    clock_ms,
                    effect.until_ms,
                )
            )

    def _start_run(self, simulated: SimulatedExecutor, effect: StartTask) -> None:
        """Start a run, and schedule its end or that of its gang once the gang is complete."""
        job_id = effect.task.partition(".")[0]
        kind, _at, work_s = self.submitted[job_id]
        self.first_start.setdefault(job_id, self.now)
        simulated.runs[effect.task] = SimulatedRun(effect, self.now)
        if effect.task in self.deadly_tasks:
            run = simulated.runs[effect.task]
            self.call_at(
                self.now + DEADLY_AGE_S, lambda: self._crash_by_run(simulated, effect.task, run)
            )
        members = [(simulated, simulated.runs[effect.task])]
        if kind.is_gang:
            members = self._find_members(effect)
        count = self._widths[job_id]
        if not kind.is_gang or len(members) == count:
            duration_s = work_s * max(member.slowness for member, _simulated_run in members)
            for member, simulated_run in members:
                simulated_run.ends_at = self.now + duration_s
                self.call_at(
                    simulated_run.ends_at,
                    lambda member=member, simulated_run=simulated_run: self._end_run(
                        member, simulated_run, "done"
                    ),
                )

    def _crash_by_run(self, simulated: SimulatedExecutor, task: str, run: SimulatedRun) -> None:
        """Crash an executor because of a run, if it is still there."""
        if simulated.runs.get(task) is run:
            self.deadly_tasks[task] += 1
            self.crash_executor(simulated.name, DEADLY_DOWNTIME_S)

    def _find_members(self, effect: StartTask) -> list[tuple[SimulatedExecutor, SimulatedRun]]:
        """Return the members of a gang that are running."""
        step = effect.task.rpartition(".")[0]
        return [
            (simulated, simulated_run)
            for simulated in self.simulated_executors.values()
            for name, simulated_run in simulated.runs.items()
            if name.rpartition(".")[0] == step and simulated_run.effect.run == effect.run
        ]

    def _end_run(self, simulated: SimulatedExecutor, simulated_run: SimulatedRun, how: str) -> None:
        """End a run and answer the pending holds."""
        if simulated_run.has_ended:
            return
        simulated_run.has_ended = True
        if self.simulated_executors.get(simulated.name) is not simulated:
            return
        effect = simulated_run.effect
        simulated.runs.pop(effect.task, None)
        closed = simulated.last_closed_run
        closed[effect.task] = max(closed.get(effect.task, 0), effect.run)
        end = EndReport(
            simulated.next_end, simulated_run.effect.task, simulated_run.effect.run, how, ""
        )
        simulated.next_end += 1
        simulated.ends.append(end)
        self._answer_holds(simulated)

    def _handle_stop(self, effect: StopTask) -> None:
        """Answer a stop order and end the run after STOP_DELAY_S."""
        simulated = self.simulated_executors.get(effect.executor)
        if simulated is None:
            return
        closed = simulated.last_closed_run
        closed[effect.task] = max(closed.get(effect.task, 0), effect.run)
        simulated_run = simulated.runs.get(effect.task)
        if simulated_run is not None:
            self.call_at(
                self.now + STOP_DELAY_S, lambda: self._end_run(simulated, simulated_run, "stopped")
            )
        self.apply(StopAnswered(effect.executor, effect.task, effect.run, STARTED))

    def _handle_hold(self, effect: HoldExecutor) -> None:
        """Remove acknowledged ends, and answer at once, on the next end or after the wait."""
        simulated = self.simulated_executors.get(effect.executor)
        if simulated is None:
            return
        simulated.ends = [end for end in simulated.ends if end.number > effect.last_seen]
        simulated.holds.append((self.now, effect))
        if simulated.ends or effect.wait_s <= 0:
            self._answer_holds(simulated)
            return
        self.call_at(self.now + effect.wait_s, lambda: self._answer_holds(simulated))

    def _answer_holds(self, simulated: SimulatedExecutor) -> None:
        """Answer all pending holds of an executor."""
        holds, simulated.holds = simulated.holds, []
        for sent_at, effect in holds:
            reports = tuple(
                self._build_run_report(simulated_run) for simulated_run in simulated.runs.values()
            )
            report = ExecutorReport(self._read_clock_ms(), 1, reports, tuple(simulated.ends))
            self.apply(
                HoldAnswered(simulated.name, sent_at, report, "", effect.last_seen, effect.until_ms)
            )

    def _read_clock_ms(self) -> int:
        """Return the time on the clock of all simulated executors."""
        return int(self.now * 1000)

    def _build_run_report(self, simulated_run: SimulatedRun) -> RunReport:
        """Return the report of a run with its progress in percent, at most 99 before its end."""
        percent = 0.0
        if simulated_run.ends_at < math.inf:
            percent = (
                100
                * (self.now - simulated_run.started_at)
                / max(0.001, simulated_run.ends_at - simulated_run.started_at)
            )
        return RunReport(
            simulated_run.effect.task, simulated_run.effect.run, "", min(99.0, percent), 0.0
        )

    def _summarize(self, kind: Kind) -> LoadResult:
        """Return the results of one kind of jobs."""
        deadly_jobs = {task.partition(".")[0] for task in self.deadly_tasks}
        jobs = {
            job_id: job
            for job_id, job in self.submitted.items()
            if job[0] is kind and job_id not in deadly_jobs
        }
        in_time = sum(
            self.done_at.get(job_id, math.inf) <= at + kind.get_objective_s(work_s)
            for job_id, (_kind, at, work_s) in jobs.items()
        )
        waits = sorted(self.first_start.get(job_id, math.inf) - jobs[job_id][1] for job_id in jobs)
        share = round(in_time / max(1, len(jobs)), 3)
        p50_s, p99_s = (_get_quantile(waits, quantile) for quantile in (0.5, 0.99))
        return LoadResult(kind.queue.name, len(jobs), share, p50_s, p99_s)


def _get_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile of sorted values, or 0 where there are none."""
    return round(values[int(quantile * (len(values) - 1))], 3) if values else 0.0
