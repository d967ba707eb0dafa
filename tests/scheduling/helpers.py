"""Test harness: a scheduler with scripted executors and a manual clock."""

from __future__ import annotations

from typing import Any

from wasabiramp.scheduling.effects import (
    AskAdvice,
    Effect,
    HoldExecutor,
    NoteDecision,
    StartTask,
    StopTask,
)
from wasabiramp.scheduling.events import (
    NOT_SENT,
    OTHER_INCARNATION,
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
    StartAnswered,
    StopAnswered,
    StoredJob,
    TimePassed,
)
from wasabiramp.scheduling.model import (
    AdvicePolicy,
    CellConfig,
    EndReport,
    ExecutorEntry,
    ExecutorReport,
    JobDefinition,
    Queue,
    Resources,
    RunReport,
    Step,
)
from wasabiramp.scheduling.scheduler import Scheduler

SERVICE = "service"
QUEUES = (
    Queue("urgent", "h", "/u/", SERVICE, priority=0, max_attempts=2, stretch=1.5),
    Queue("gangs", "h", "/g/", SERVICE, priority=1, max_attempts=3, stretch=2.0),
    Queue("batch", "h", "/b/", SERVICE, priority=2, max_attempts=4, stretch=4.0),
    Queue("advised", "h", "/a/", SERVICE, advice=AdvicePolicy(0.1, 0.01, 2.5)),
)


def make_step(count: int = 1, cpu: int = 1_000, **options: Any) -> Step:
    """Return a step whose tasks take `cpu` thousandths of a core for an estimated second."""
    return Step(count, Resources(cpu, 100, 0), 1.0, **options)


class SchedulerHarness:
    """A scheduler whose effects are collected, with executors `e0`, `e1` and so on."""

    def __init__(self, executors: int = 3, cpu: int = 4_000, lease_s: float = 3.0) -> None:
        """List all executors, store the roster and answer their first holds."""
        self.scheduler = Scheduler(1, lease_s, 6.0, 1_000_000.0)
        self.now = 10.0
        self.effects: list[Effect] = []
        self.ended: dict[str, list[EndReport]] = {}
        self.running: dict[str, list[RunReport]] = {}
        self.incarnations: dict[str, int] = {}
        self.clock_lag_s = 5.0
        self.holds: dict[str, HoldExecutor] = {}
        self.end_counts: dict[str, int] = {}
        self.apply(ConfigChanged(CellConfig(1, QUEUES)))
        for number in range(executors):
            self.list_executor(f"e{number}", cpu)
        self.tick()
        self.commit()
        for number in range(executors):
            self.answer_hold(f"e{number}")
        self.commit()
        self.effects.clear()

    def list_executor(self, name: str, cpu: int = 4_000, **options: Any) -> None:
        """List an executor as the platform does."""
        self.incarnations.setdefault(name, 1)
        fields = {
            "is_draining": False,
            "labels": ("a", f"r{name[-1]}"),
            "born_ms": self.incarnations[name],
            **options,
        }
        entry = ExecutorEntry(
            id=name,
            address=name,
            service=SERVICE,
            zone="z",
            capacity=Resources(cpu, 100_000, 8),
            **fields,
        )
        self.apply(ExecutorListed(entry))

    def apply(self, event: Any) -> None:
        """Apply an event and collect its effects."""
        effects = self.scheduler.apply(event, self.now)
        self.effects += effects
        self.holds |= {e.executor: e for e in effects if isinstance(e, HoldExecutor)}

    def place(self) -> list[StartTask]:
        """Run a placement pass and return its starts."""
        effects = self.scheduler.place(self.now)
        self.effects += effects
        return [effect for effect in effects if isinstance(effect, StartTask)]

    def tick(self, seconds: float = 0.0) -> None:
        """Advance the clock and apply a timer event."""
        self.now += seconds
        self.apply(TimePassed())

    def confirm_jobs(self, confirmed_at: float) -> None:
        """Apply a timer event with the time up to which the list of stored jobs is complete."""
        self.apply(TimePassed(jobs_confirmed_at=confirmed_at))

    def commit(self) -> bool:
        """Commit pending changes and return whether there were any."""
        if self.scheduler.take_changes() is None:
            return False
        self.apply(Committed())
        return True

    def submit(
        self,
        job_id: str,
        queue: str,
        *steps: Step,
        revision: int = 100,
        is_new: bool = False,
        is_found: bool = False,
        **options: Any,
    ):
        """Submit a job and return its state, or None if it was ignored."""
        found = next(q for q in QUEUES if q.name == queue)
        definition = JobDefinition(job_id, found, f"spec {job_id}", steps, **options)
        self.apply(JobAccepted(StoredJob(definition, self.now, revision), is_new, is_found))
        return self.scheduler.state.jobs.get(job_id)

    def answer_start(self, start: StartTask, outcome: str = STARTED) -> None:
        """Answer a start; a started run is listed as running from then on."""
        if outcome == STARTED:
            run_report = RunReport(start.task, start.run, "", 100.0, 0.0)
            self.running.setdefault(start.executor, []).append(run_report)
        clock_ms = self.read_clock_ms() if outcome == STARTED else None
        self.apply(
            StartAnswered(
                start.executor,
                start.task,
                start.run,
                self.now,
                outcome,
                clock_ms,
                start.until_ms,
                start.fence_epoch,
            )
        )

    def read_clock_ms(self) -> int:
        """Return the clock of the executors."""
        return int((self.now - self.clock_lag_s) * 1000)

    def leave_unanswered(self, start: StartTask) -> None:
        """Report a start and its repeat as unanswered."""
        self.answer_start(start, UNKNOWN)
        self.answer_start(start, UNKNOWN)

    def place_and_start(self) -> list[StartTask]:
        """Run a placement pass and confirm all its starts."""
        starts = self.place()
        for start in starts:
            self.answer_start(start)
        return starts

    def end_run(self, start: StartTask, how: str, saved: str = "") -> None:
        """End a run; the next answer of its executor to a hold lists the end."""
        run_reports = self.running.get(start.executor, [])
        self.running[start.executor] = [
            r for r in run_reports if (r.task, r.run) != (start.task, start.run)
        ]
        ends = self.ended.setdefault(start.executor, [])
        numbers = (self.end_counts.get(start.executor, 0), *(end.number for end in ends))
        number = self.end_counts[start.executor] = max(numbers) + 1
        ends.append(EndReport(number, start.task, start.run, how, saved))

    def answer_hold(self, name: str, sent_at: float | None = None) -> None:
        """Answer the last hold with the current runs and ends of an executor.

        Ends stay listed until they are acknowledged by `acknowledge_ends`.
        """
        report = ExecutorReport(
            self.read_clock_ms(),
            self.incarnations[name],
            tuple(self.running.get(name, ())),
            tuple(self.ended.get(name, ())),
        )
        hold = self.holds.get(name)
        sent_at = self.now if sent_at is None else sent_at
        if hold is None:
            self.apply(HoldAnswered(name, sent_at, report))
            return
        fields = ("", hold.last_seen, hold.until_ms, hold.fence_epoch)
        self.apply(HoldAnswered(name, sent_at, report, *fields))

    def meet_process(self, name: str) -> None:
        """Send a hold that is meant for a new process, which answers it."""
        self.tick()
        self.answer_hold(name)

    def acknowledge_ends(self, name: str) -> None:
        """Store the ends that were read, and answer the hold that acknowledges them."""
        self.commit()
        self.tick(0.05)
        hold = self.holds[name]
        self.ended[name] = [e for e in self.ended.get(name, []) if e.number > hold.last_seen]
        self.answer_hold(name)

    def finish_run(self, start: StartTask, how: str = "done") -> None:
        """End a run and report it at once."""
        self.end_run(start, how)
        self.answer_hold(start.executor)

    def crash_executor(self, name: str) -> None:
        """Crash an executor: its open hold fails, and it answers nothing more."""
        self.running.pop(name, None)
        self.ended.pop(name, None)
        self.end_counts.pop(name, None)
        self.apply(HoldFailed(name, self.now, NOT_SENT))

    def replace_executor(self, name: str, new_name: str, cpu: int = 4_000) -> None:
        """Let another process answer at the address of a crashed executor, under a new id."""
        self.list_executor(new_name, cpu)
        self.apply(HoldFailed(name, self.now, OTHER_INCARNATION))
        self.apply(ExecutorUnlisted(name))
        self.commit()
        self.tick()
        self.answer_hold(new_name)
        self.commit()

    def answer_stop(self, stop: StopTask, outcome: str = STARTED) -> None:
        """Answer a stop."""
        self.apply(StopAnswered(stop.executor, stop.task, stop.run, outcome))

    def answer_advice(self, ask: AskAdvice, good: list[str], valid_s: float = 2.5) -> None:
        """Answer a question to the adviser; `good` lists the suitable executors."""
        tickets = {name: f"ticket-{name}" for name in good}
        self.apply(AdviceAnswered(ask.step, ask.executors, tickets, valid_s, self.now))

    def take_effects(self, kind: type) -> list[Any]:
        """Return and remove the collected effects of one type."""
        found = [effect for effect in self.effects if isinstance(effect, kind)]
        self.effects = [effect for effect in self.effects if not isinstance(effect, kind)]
        return found

    def find_decisions(self, event: str) -> list[dict[str, object]]:
        """Return the fields of all logged decisions of one event."""
        decisions = [effect for effect in self.effects if isinstance(effect, NoteDecision)]
        return [decision.fields for decision in decisions if decision.event == event]


__all__ = ["AskAdvice", "SchedulerHarness", "HoldExecutor", "StartTask", "StopTask", "make_step"]
