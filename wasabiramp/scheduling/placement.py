"""Placement: in which order waiting steps get room, and on which executors."""

from __future__ import annotations

from collections import Counter
from typing import Any, Final

from wasabiramp.scheduling.advice import has_ticket, limit_waiting, plan_question
from wasabiramp.scheduling.executors import is_usable
from wasabiramp.scheduling.model import Queue, Resources
from wasabiramp.scheduling.orders import start_run
from wasabiramp.scheduling.state import ExecutorState, SchedulerState, StepRun

SLOWNESS_WEIGHT: Final = 1.0
FAR_WEIGHT: Final = 2.0
BALANCE_WEIGHT: Final = 0.5
"""Weights of a slower executor, a rack away from the data, and uneven use, against tight fit."""

QUESTIONS_AT_ONCE: Final = 12
"""Questions of one queue that may be open: a few for each daemon that can ask."""

RESERVED_STEPS: Final = 2
"""Gangs for which room is kept free from less urgent work at one time."""


class Rooms:
    """The room of the executors that may get work in one pass."""

    __slots__ = ("left", "usable")

    def __init__(self, state: SchedulerState) -> None:
        """Read the room of all usable executors."""
        self.usable = [item for item in state.executors.values() if is_usable(state, item)]
        self.left: dict[str, Resources] = {item.id: item.room for item in self.usable}

    def take(self, executor: ExecutorState, demand: Resources) -> None:
        """Take room for a task."""
        self.left[executor.id] = self.left[executor.id].minus(demand)


def find_order(queue: Queue, step: StepRun) -> tuple[int, float]:
    """Return the place of a step among those that wait: urgency, then the objective."""
    return queue.priority, step.job.objective_at


def place_work(state: SchedulerState) -> None:
    """Start what fits, in order, and ask for advice on what comes next."""
    if state.is_given_up:
        return
    ready = _find_ready(state)
    if not ready:
        return
    rooms = Rooms(state)
    present = [e for e in state.executors.values() if e.is_listed and not e.entry.is_draining]
    supplied: Counter[str] = Counter()
    asking = Counter(queue.name for queue, step in ready if step.is_asking)
    reserved: dict[str, int] = {}
    gangs_kept = 0
    for queue, step in ready:
        candidates = [e for e in rooms.usable if _may_run(queue, step, e)]
        if not _could_run(queue, step, present):
            continue
        allowed = candidates
        if queue.advice is not None:
            open_places = [e for e in candidates if _is_below_limit(step, e)]
            is_first = supplied[queue.name] < limit_waiting(queue.advice, len(candidates))
            if open_places and (is_first or _fits_now(step, open_places, rooms)):
                supplied[queue.name] += is_first
                waiting = len(step.find_waiting())
                if asking[queue.name] < QUESTIONS_AT_ONCE:
                    asking[queue.name] += plan_question(
                        state, step, queue.advice, open_places, waiting
                    )
            allowed = [e for e in candidates if has_ticket(state, step, e)]
        open_to = [e for e in allowed if reserved.get(e.id, 99) >= queue.priority]
        if not step.spec.is_gang:
            _place_tasks(state, step, open_to, rooms)
        elif not _place_gang(state, step, open_to, rooms) and gangs_kept < RESERVED_STEPS:
            gangs_kept += 1
            _reserve(state, queue, step, candidates, rooms, reserved)


def _find_ready(state: SchedulerState) -> list[tuple[Queue, StepRun]]:
    """Return the steps with tasks that may start now, in order."""
    ready = []
    for step in state.open_steps.values():
        job = step.job
        if job.is_ended or not job.is_accounted or state.now < step.due_at:
            continue
        if not job.are_ready(step):
            continue
        is_waiting = any(True for _ in step.find_waiting())
        if step.spec.is_gang:
            is_waiting = not any(task.runs for task in step.tasks)
        if is_waiting:
            ready.append((state.find_queue(job), step))
    ready.sort(key=lambda item: find_order(*item))
    return ready


def _may_run(queue: Queue, step: StepRun, executor: ExecutorState) -> bool:
    """Tell whether the configuration and the step's label allow the executor."""
    entry = executor.entry
    if entry.service != queue.service:
        return False
    return not step.spec.label or step.spec.label in entry.labels


def _could_run(queue: Queue, step: StepRun, present: list[ExecutorState]) -> bool:
    """Tell whether the step would fit on empty executors, as far as advice is known.

    A step for which that is not so neither holds a place in the order nor room for itself.
    """
    wanted = step.spec.count if step.spec.is_gang else 1
    members = 0
    for executor in present:
        verdict = step.verdicts.get((executor.id, executor.born_ms), True)
        if not verdict or not _may_run(queue, step, executor):
            continue
        fitting = _count_members(step.spec.demand, executor.entry.capacity)
        members += min(fitting, step.spec.max_per_executor or fitting)
        if members >= wanted:
            return True
    return False


def _is_below_limit(step: StepRun, executor: ExecutorState) -> bool:
    """Tell whether the spreading limit leaves a place on an executor that may be good."""
    if not step.verdicts.get((executor.id, executor.born_ms), True):
        return False
    limit = step.spec.max_per_executor
    return not limit or sum(run.executor == executor.id for run in step.iter_runs()) < limit


def _fits_now(step: StepRun, places: list[ExecutorState], rooms: Rooms) -> bool:
    """Tell whether the step could start now if all these executors were good."""
    if step.spec.is_gang:
        return _choose_gang(step, places, rooms) is not None
    return any(step.spec.demand.fits(rooms.left[executor.id]) for executor in places)


def _score(step: StepRun, executor: ExecutorState, left: Resources) -> float:
    """Return how badly a task fits; the lowest is best."""
    capacity = executor.entry.capacity
    cpu = (left.cpu - step.spec.demand.cpu) / max(1, capacity.cpu)
    memory = (left.memory_mb - step.spec.demand.memory_mb) / max(1, capacity.memory_mb)
    is_far = bool(step.spec.rack) and step.spec.rack != executor.entry.rack
    return (
        (cpu + memory) / 2
        + BALANCE_WEIGHT * abs(cpu - memory)
        + SLOWNESS_WEIGHT * executor.slowness
        + FAR_WEIGHT * is_far
    )


def _choose(
    step: StepRun, allowed: list[ExecutorState], left: dict[str, Resources], taken: Counter[str]
) -> ExecutorState | None:
    """Return the best executor for one more task of the step."""
    limit = step.spec.max_per_executor
    demand = step.spec.demand
    best, best_score = None, 0.0
    for executor in allowed:
        room = left[executor.id]
        if not demand.fits(room) or (limit and taken[executor.id] >= limit):
            continue
        score = _score(step, executor, room)
        if best is None or score < best_score:
            best, best_score = executor, score
    return best


def _place_tasks(
    state: SchedulerState, step: StepRun, allowed: list[ExecutorState], rooms: Rooms
) -> None:
    """Start as many waiting tasks as fit."""
    if not allowed:
        return
    taken = Counter(run.executor for run in step.iter_runs())
    for task in step.find_waiting():
        executor = _choose(step, allowed, rooms.left, taken)
        if executor is None:
            return
        taken[executor.id] += 1
        rooms.take(executor, step.spec.demand)
        start_run(state, executor, step, task, state.draw_run_number(task))


def _place_gang(
    state: SchedulerState, step: StepRun, allowed: list[ExecutorState], rooms: Rooms
) -> bool:
    """Start all tasks of a gang at once, or none."""
    chosen = _choose_gang(step, allowed, rooms)
    if chosen is None:
        return False
    number = max(state.draw_run_number(task) for task in step.tasks)
    saved = next((task.saved for task in step.tasks if task.saved), "")
    for task, executor in zip(step.tasks, chosen, strict=True):
        task.saved = saved
        rooms.take(executor, step.spec.demand)
        start_run(state, executor, step, task, number)
    return True


def _choose_gang(
    step: StepRun, allowed: list[ExecutorState], rooms: Rooms
) -> list[ExecutorState] | None:
    """Return an executor for each task, on one rack where the step wants that and it fits."""
    groups = [allowed]
    if step.spec.wants_one_rack:
        racks = {executor.entry.rack for executor in allowed}
        groups = [[e for e in allowed if e.entry.rack == rack] for rack in sorted(racks)] + groups
    for group in groups:
        left = {executor.id: rooms.left[executor.id] for executor in group}
        taken: Counter[str] = Counter()
        chosen: list[ExecutorState] = []
        for _ in range(step.spec.count):
            executor = _choose(step, group, left, taken)
            if executor is None:
                break
            taken[executor.id] += 1
            left[executor.id] = left[executor.id].minus(step.spec.demand)
            chosen.append(executor)
        if len(chosen) == step.spec.count:
            return chosen
    return None


def _reserve(
    state: SchedulerState,
    queue: Queue,
    step: StepRun,
    candidates: list[ExecutorState],
    rooms: Rooms,
    reserved: dict[str, int],
) -> None:
    """Keep less urgent work off the executors that will first have room for a waiting gang."""
    good = [
        executor
        for executor in candidates
        if queue.advice is None
        or step.verdicts.get((executor.id, executor.born_ms))
        and executor.id not in reserved
    ]
    good.sort(key=lambda executor: -rooms.left[executor.id].cpu)
    members = 0
    for executor in good:
        members += _count_members(step.spec.demand, executor.entry.capacity)
        reserved[executor.id] = queue.priority
        if members >= step.spec.count:
            return


def _count_members(demand: Resources, room: Resources) -> int:
    """Return how many tasks of one demand fit into a room."""
    counts = [
        have // need
        for have, need in (
            (room.cpu, demand.cpu),
            (room.memory_mb, demand.memory_mb),
            (room.gpu, demand.gpu),
        )
        if need > 0
    ]
    return max(0, min(counts, default=1_000))


def summarize_queues(state: SchedulerState) -> list[dict[str, object]]:
    """Return a row for each queue with open steps: what waits, and why it may."""
    rows: dict[str, dict[str, Any]] = {}
    usable = [executor for executor in state.executors.values() if is_usable(state, executor)]
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
            },
        )
        row["open_steps"] += 1
        row["waiting_tasks"] += len(step.find_waiting())
        row["running_tasks"] += sum(len(task.runs) for task in step.tasks)
        row["asking"] += step.is_asking
        row["with_ticket"] += any(has_ticket(state, step, executor) for executor in usable)
        row["not_ready"] += not step.job.are_ready(step)
        row["unaccounted"] += not step.job.is_accounted
        row["oldest"] = row["oldest"] or step.name
    return list(rows.values())
