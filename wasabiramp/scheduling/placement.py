"""Placement: order waiting steps and choose executors for their tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from wasabiramp.policy.switches import do_nothing, switchable
from wasabiramp.scheduling.advice import ask_for_advice, get_max_refreshed_steps, has_ticket
from wasabiramp.scheduling.attribution import may_start_job
from wasabiramp.scheduling.capacity import measure_free_resources
from wasabiramp.scheduling.evidence import may_start_step
from wasabiramp.scheduling.executors import is_usable
from wasabiramp.scheduling.isolation import Exposure
from wasabiramp.scheduling.leases import may_start_runs
from wasabiramp.scheduling.model import Queue, Resources
from wasabiramp.scheduling.orders import start_run
from wasabiramp.scheduling.reservations import (
    Reservation,
    could_hold,
    count_fitting_tasks,
    estimate_ends,
    find_earliest_start,
)
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState, StepRun, TaskState
from wasabiramp.scheduling.trials import (
    Trials,
    count_other_runs,
    find_waiting_suspects,
    is_backing_off,
)

SLOWNESS_WEIGHT: Final = 1.0
REMOTE_RACK_WEIGHT: Final = 2.0
BALANCE_WEIGHT: Final = 0.5
"""Score weights of a slow executor, a rack other than that of the data, and an imbalance between
free CPU and memory, relative to the weight 1 of the free share (best fit)."""

MAX_OPEN_QUESTIONS: Final = 12
"""Maximum number of unanswered questions per queue, which is a few for each asking daemon."""

RESERVED_WEIGHT: Final = 2.0
"""Score weight of an executor reserved for a gang, so that urgent work prefers others."""

EXPOSURE_WEIGHT: Final = 2.0
"""Score weight of an executor on which a crash would hit work of other queues."""

BACKFILL_FACTOR: Final = 1.25
"""Factor on the rough estimate of work that has to end before a gang starts."""

MIN_RESERVED_GANGS: Final = 2
EXECUTORS_PER_RESERVATION: Final = 24
"""Gangs with a reservation at a time: at least two, more on a site with many usable executors."""


class PlacementView:
    """Usable executors, free resources and gang reservations during one placement pass."""

    __slots__ = (
        "_ends",
        "_groups",
        "exposure",
        "free_by_executor",
        "now",
        "reserved",
        "trials",
        "usable",
    )

    def __init__(self, state: SchedulerState) -> None:
        """Collect the usable executors and their free resources."""
        self.now = state.now
        self.usable = {e.id: e for e in state.executors.values() if is_usable(state, e)}
        self.free_by_executor: dict[str, Resources] = {
            e.id: measure_free_resources(state, e) for e in self.usable.values()
        }
        self.reserved: dict[str, Reservation] = {}
        usable = list(self.usable.values())
        self.trials = Trials(state, usable)
        self.exposure = Exposure(state, usable)
        self._groups: dict[tuple[str, str], list[ExecutorState]] = {}
        self._ends: dict[str, list[tuple[float, Resources]]] = {}

    def get_run_ends(self, executor: ExecutorState) -> list[tuple[float, Resources]]:
        """Return the estimated ends of an executor's runs and what they free, earliest first."""
        ends = self._ends.get(executor.id)
        if ends is None:
            ends = self._ends[executor.id] = estimate_ends(executor, self.now)
        return ends

    @switchable(
        "backfill",
        "let work that ends in time use executors reserved for a gang",
        plain=lambda view, executor, queue, step: executor.id not in view.reserved
        or queue.priority < view.reserved[executor.id].priority,
    )
    def can_use(self, executor: ExecutorState, queue: Queue, step: StepRun) -> bool:
        """Return whether a step may use an executor.

        A reserved one is open to more urgent work and to work that ends before the gang starts.
        """
        reservation = self.reserved.get(executor.id)
        if reservation is None or queue.priority < reservation.priority:
            return True
        ends_at = self.now + BACKFILL_FACTOR * step.spec.estimate_s
        return not step.spec.is_lasting and ends_at <= reservation.starts_at

    def allocate(self, executor: ExecutorState, demand: Resources) -> None:
        """Subtract the demand of a task from the executor's free resources."""
        self.free_by_executor[executor.id] = self.free_by_executor[executor.id].minus(demand)

    def find_executors(self, service: str, label: str) -> list[ExecutorState]:
        """Return the usable executors of a service with a label, sorted by free CPU, most first."""
        group = self._groups.get((service, label))
        if group is None:
            group = [e for e in self.usable.values() if matches(e, service, label)]
            group.sort(key=lambda executor: -self.free_by_executor[executor.id].cpu)
            self._groups[(service, label)] = group
        return group


def matches(executor: ExecutorState, service: str, label: str) -> bool:
    """Return whether an executor belongs to a service and has the label, if one is required."""
    entry = executor.entry
    return entry.service == service and (not label or label in entry.labels)


@switchable(
    "latest-start",
    "start the work first whose latest start is next",
    plain=lambda queue, step: (queue.priority, step.job.accepted_at),
)
def get_sort_key(queue: Queue, step: StepRun) -> tuple[int, float]:
    """Return the sort key of a waiting step: its priority, then its latest start time.

    If steps were sorted by objective, long work would start too late, as its objective is later.
    """
    return queue.priority, step.job.objective_at - step.critical_path_s


class PlacementPass:
    """One placement pass over all waiting steps."""

    __slots__ = ("open_questions", "reserved_gangs", "view", "state", "refreshed_steps")

    def __init__(self, state: SchedulerState, ready: list[tuple[Queue, StepRun]]) -> None:
        """Start a pass without reservations."""
        self.state = state
        self.view = PlacementView(state)
        self.refreshed_steps: Counter[str] = Counter()
        self.open_questions = Counter(queue.name for queue, step in ready if step.is_advice_pending)
        self.reserved_gangs = 0

    def place_step(self, queue: Queue, step: StepRun) -> None:
        """Start the tasks of a step that fit, and ask for advice if needed."""
        if not _is_feasible(self.state, queue, step):
            return
        if step.spec.is_gang and any(is_backing_off(self.state, step, n) for n in step.suspects):
            return
        group = self.view.find_executors(queue.service, step.spec.label)
        waiting = len(step.find_waiting_tasks())
        if queue.advice is not None:
            self._ask_if_needed(queue, step, group, waiting)
            group = self._find_executors_with_ticket(step)
        group = self.view.trials.find_open_executors(self.state, step, group)
        allowed = [e for e in group if self.view.can_use(e, queue, step)]
        if not step.spec.is_gang:
            _place_tasks(self.state, step, allowed, self.view)
            step.lacks_resources = bool(step.find_waiting_tasks())
            return
        step.lacks_resources = not _place_gang(self.state, step, allowed, self.view)
        if step.lacks_resources:
            self._reserve(queue, step)

    def place_suspects(self, queue: Queue, step: StepRun) -> None:
        """Start the suspects of a step that fit on one executor, apart from other work.

        Gangs start as a whole, so theirs run beside the other members.
        """
        waiting = find_waiting_suspects(step) if not step.spec.is_gang else []
        waiting = [task for task in waiting if not is_backing_off(self.state, step, task.index)]
        if not waiting:
            return
        trials, view = self.view.trials, self.view
        group = view.find_executors(queue.service, step.spec.label)
        if queue.advice is not None:
            group = self._find_executors_with_ticket(step)
        task_counts = Counter(run.executor for run in step.iter_runs())
        limit = step.spec.max_per_executor
        candidates = [
            executor
            for executor in group
            if step.spec.demand.fits(view.free_by_executor[executor.id])
            and trials.is_open_for(executor, step)
            and (not limit or task_counts[executor.id] < limit)
        ]
        executor = trials.choose_executor(
            self.state,
            step,
            group,
            candidates,
            lambda executor: _score(step, executor, view.free_by_executor[executor.id]),
        )
        if executor is None:
            return
        chosen = _choose_executors(step, [executor], view, len(waiting), task_counts)
        trials.add_run(executor, step)
        _start_tasks(self.state, step, waiting, chosen, view)
        self.state.log_decision(
            "trial_started",
            step=step.name,
            executor=executor.id,
            tasks=len(chosen),
            beside=count_other_runs(executor, step),
        )

    def _find_executors_with_ticket(self, step: StepRun) -> list[ExecutorState]:
        """Return the usable executors for which the step has a valid ticket."""
        usable = self.view.usable
        found = [usable[name] for name in step.tickets if name in usable]
        return [executor for executor in found if has_ticket(self.state, step, executor)]

    def _ask_if_needed(
        self, queue: Queue, step: StepRun, group: list[ExecutorState], waiting: int
    ) -> None:
        """Ask for tickets if the step is among the next of its queue, or if it fits now."""
        if queue.advice is None or self.open_questions[queue.name] >= MAX_OPEN_QUESTIONS:
            return
        if step.is_advice_pending or self.state.now < step.next_advice_at:
            self.refreshed_steps[queue.name] += 1
            return
        candidates = group
        limit = step.spec.max_per_executor
        if limit:
            task_counts = Counter(run.executor for run in step.iter_runs())
            candidates = [executor for executor in group if task_counts[executor.id] < limit]
        candidates = [e for e in candidates if step.verdicts.get((e.id, e.born_ms), True)]
        is_first = self.refreshed_steps[queue.name] < get_max_refreshed_steps(
            queue.advice, len(group)
        )
        if not candidates or not (is_first or _fits_now(step, candidates, self.view)):
            return
        self.refreshed_steps[queue.name] += is_first
        self.open_questions[queue.name] += ask_for_advice(
            self.state, step, queue.advice, candidates, waiting, self._get_room_check(step)
        )

    def _get_room_check(self, step: StepRun) -> Callable[[ExecutorState], bool]:
        """Return a function that tells whether a task of the step fits on an executor now."""
        demand, free_by_executor = step.spec.demand, self.view.free_by_executor
        return lambda executor: demand.fits(free_by_executor[executor.id])

    @switchable("reservations", "reserve executors for waiting gangs", plain=do_nothing)
    def _reserve(self, queue: Queue, step: StepRun) -> None:
        """Reserve the executors on which a gang can start earliest.

        Work that ends before then may still use them (backfilling).
        """
        limit = max(MIN_RESERVED_GANGS, len(self.view.usable) // EXECUTORS_PER_RESERVATION)
        if self.reserved_gangs >= limit:
            return
        candidates = [
            executor
            for executor in self.view.find_executors(queue.service, step.spec.label)
            if executor.id not in self.view.reserved
            and (queue.advice is None or step.verdicts.get((executor.id, executor.born_ms)))
        ]
        reserved_ids, starts_at = find_earliest_start(
            self.state.now, step, candidates, self.view.free_by_executor, self.view.get_run_ends
        )
        if not reserved_ids:
            return
        self.reserved_gangs += 1
        for executor_id in reserved_ids:
            self.view.reserved[executor_id] = Reservation(queue.priority, starts_at)


def place_work(state: SchedulerState) -> None:
    """Start waiting tasks that fit in order, and ask for advice on the next steps."""
    if state.has_given_up_ownership or not may_start_runs(state):
        return
    ready = _find_ready_steps(state)
    if not ready:
        return
    placement = PlacementPass(state, ready)
    # Suspects first, so that the executors kept for them get no other work in this pass.
    for queue, step in ready:
        placement.place_suspects(queue, step)
    for queue, step in ready:
        placement.place_step(queue, step)


def _find_ready_steps(state: SchedulerState) -> list[tuple[Queue, StepRun]]:
    """Return the steps with tasks that may start now, most urgent first."""
    ready = []
    for step in state.open_steps.values():
        job = step.job
        if job.is_ended or not may_start_job(state, job) or state.now < step.due_at:
            continue
        if not may_start_step(state, step):
            continue
        if not job.has_done_predecessors(step):
            continue
        is_waiting = bool(step.find_waiting_tasks())
        if step.spec.is_gang:
            is_waiting = not step.undecided and not any(task.runs for task in step.tasks)
        if is_waiting:
            ready.append((state.find_queue(job), step))
    ready.sort(key=lambda item: get_sort_key(*item))
    return ready


def _is_feasible(state: SchedulerState, queue: Queue, step: StepRun) -> bool:
    """Return whether the step would fit on empty executors, as far as advice is known.

    An infeasible step neither blocks other steps nor reserves executors. The result is cached until
    an executor is added, removed or changed, or advice arrives.
    """
    version = (state.executor_list_version, len(step.verdicts))
    if step.feasibility_version != version:
        step.feasibility_version = version
        step.is_feasible = _fits_when_empty(state, queue, step)
        if not step.is_feasible:
            state.log_decision("step_without_room", step=step.name, known=len(step.verdicts))
    return step.is_feasible


def _fits_when_empty(state: SchedulerState, queue: Queue, step: StepRun) -> bool:
    """Return whether the step fits on empty executors that advice has not ruled out."""
    return could_hold(
        step,
        (
            executor
            for executor in state.executors.values()
            if executor.is_listed
            and not executor.entry.is_draining
            and step.verdicts.get((executor.id, executor.born_ms), True)
            and matches(executor, queue.service, step.spec.label)
        ),
    )


def _fits_now(step: StepRun, candidates: list[ExecutorState], view: PlacementView) -> bool:
    """Return whether the step could start now if the adviser approved all these executors."""
    wanted = step.spec.count if step.spec.is_gang else 1
    members = 0
    for executor in candidates:
        fitting = count_fitting_tasks(step.spec.demand, view.free_by_executor[executor.id])
        members += min(fitting, step.spec.max_per_executor or fitting)
        if members >= wanted:
            return True
    return False


def _score(step: StepRun, executor: ExecutorState, free: Resources) -> float:
    """Return the score of placing a task on an executor; lower is better."""
    capacity = executor.entry.capacity
    cpu = (free.cpu - step.spec.demand.cpu) / max(1, capacity.cpu)
    memory = (free.memory_mb - step.spec.demand.memory_mb) / max(1, capacity.memory_mb)
    is_remote = bool(step.spec.rack) and step.spec.rack != executor.entry.rack
    return (
        (cpu + memory) / 2
        + BALANCE_WEIGHT * abs(cpu - memory)
        + SLOWNESS_WEIGHT * executor.slowness
        + REMOTE_RACK_WEIGHT * is_remote
    )


def _score_in_pass(step: StepRun, executor: ExecutorState, view: PlacementView) -> float:
    """Return the score of an executor in this pass; lower is better."""
    is_reserved = executor.id in view.reserved
    return (
        _score(step, executor, view.free_by_executor[executor.id])
        + RESERVED_WEIGHT * is_reserved
        + EXPOSURE_WEIGHT * view.exposure.measure(executor, step.job.definition.queue.name)
    )


def _choose_executors(
    step: StepRun,
    allowed: list[ExecutorState],
    view: PlacementView,
    wanted: int,
    task_counts: Counter[str],
) -> list[ExecutorState]:
    """Return executors for up to `wanted` tasks, best first; fewer if not all fit."""
    demand, limit = step.spec.demand, step.spec.max_per_executor
    fitting = [e for e in allowed if demand.fits(view.free_by_executor[e.id])]
    fitting.sort(key=lambda executor: _score_in_pass(step, executor, view))
    chosen: list[ExecutorState] = []
    for executor in fitting:
        count = min(
            count_fitting_tasks(demand, view.free_by_executor[executor.id]), wanted - len(chosen)
        )
        if limit:
            count = min(count, limit - task_counts[executor.id])
        chosen += [executor] * count
        if len(chosen) >= wanted:
            break
    return chosen


def _place_tasks(
    state: SchedulerState, step: StepRun, allowed: list[ExecutorState], view: PlacementView
) -> None:
    """Start as many waiting tasks of a step as fit."""
    if not allowed:
        return
    suspects = {task.index for task in find_waiting_suspects(step)}
    waiting = [task for task in step.find_waiting_tasks() if task.index not in suspects]
    task_counts: Counter[str] = Counter()
    if step.spec.max_per_executor:
        task_counts = Counter(run.executor for run in step.iter_runs())
    chosen = _choose_executors(step, allowed, view, len(waiting), task_counts)
    _start_tasks(state, step, waiting, chosen, view)


def _start_tasks(
    state: SchedulerState,
    step: StepRun,
    waiting: list[TaskState],
    chosen: list[ExecutorState],
    view: PlacementView,
) -> None:
    """Start the first of the waiting tasks, one on each of the chosen executors."""
    runs = []
    for task, executor in zip(waiting, chosen, strict=False):
        view.allocate(executor, step.spec.demand)
        runs.append(start_run(state, executor, step, task, state.get_next_run_number(task)))
    _log_started_runs(state, step, runs)


def _place_gang(
    state: SchedulerState, step: StepRun, allowed: list[ExecutorState], view: PlacementView
) -> bool:
    """Start all tasks of a gang at once, or none; return whether they started."""
    chosen = _choose_gang(step, allowed, view)
    if chosen is None:
        return False
    number = max(state.get_next_run_number(task) for task in step.tasks)
    saved = next((task.saved for task in step.tasks if task.saved), "")
    runs = []
    for task, executor in zip(step.tasks, chosen, strict=True):
        task.saved = saved
        view.allocate(executor, step.spec.demand)
        runs.append(start_run(state, executor, step, task, number))
    _log_started_runs(state, step, runs)
    return True


def _log_started_runs(state: SchedulerState, step: StepRun, runs: list[Run]) -> None:
    """Log the starts of one step in one line: the index, run number and executor of each task."""
    if runs:
        rows = ",".join(f"{run.index}:{run.number}:{run.executor}" for run in runs)
        state.log_decision("run_started", count=len(runs), step=step.name, runs=rows)


def _choose_gang(
    step: StepRun, allowed: list[ExecutorState], view: PlacementView
) -> list[ExecutorState] | None:
    """Return an executor for each task, on one rack if the step wants that and it fits."""
    groups = [allowed]
    if step.spec.wants_one_rack:
        racks = sorted({executor.entry.rack for executor in allowed})
        groups = [[e for e in allowed if e.entry.rack == rack] for rack in racks] + groups
    for group in groups:
        chosen = _choose_executors(step, group, view, step.spec.count, Counter())
        if len(chosen) == step.spec.count:
            return chosen
    return None


def summarize_queues(state: SchedulerState) -> list[dict[str, object]]:
    """Return a status row for each queue with open steps; its counts show why tasks wait."""
    rows: dict[str, dict[str, Any]] = {}
    usable = [executor for executor in state.executors.values() if is_usable(state, executor)]
    incarnations = {(executor.id, executor.born_ms) for executor in state.executors.values()}
    for step in state.open_steps.values():
        name = step.job.definition.queue.name
        row = rows.setdefault(
            name,
            {
                "queue": name,
                "open_steps": 0,
                "waiting_tasks": 0,
                "running_tasks": 0,
                "asking": 0,
                "with_ticket": 0,
                "not_ready": 0,
                "unaccounted": 0,
                "oldest": "",
                "usable": len(usable),
                "stale_verdicts": 0,
            },
        )
        row["open_steps"] += 1
        row["waiting_tasks"] += len(step.find_waiting_tasks())
        row["running_tasks"] += sum(len(task.runs) for task in step.tasks)
        row["asking"] += step.is_advice_pending
        row["with_ticket"] += any(has_ticket(state, step, executor) for executor in usable)
        row["not_ready"] += not step.job.has_done_predecessors(step)
        row["unaccounted"] += not may_start_job(state, step.job)
        row["oldest"] = row["oldest"] or step.name
        row["stale_verdicts"] += sum(key not in incarnations for key in step.verdicts)
    return list(rows.values())
