"""Benchmark of placement decisions in the reducer, against a best-fit scan over all workers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
import time
from typing import Any, Final

from wasabiramp.const import KEY_MEMBERS
from wasabiramp.core.events import OK, StoreAnswer, StoreItem
from wasabiramp.core.records import record
from wasabiramp.core.reducer import Reducer
from wasabiramp.jobs.capacity import get_worker_candidate
from wasabiramp.membership.owners import build_partition_key, find_owner_id
from wasabiramp.membership.state import MemberList
from wasabiramp.membership.targets import refresh_owned_targets
from wasabiramp.peer.messages import PlaceAsked, Placement
from wasabiramp.policy.placement import Need, choose_best, score_fit
from wasabiramp.resource.state import Resource
from wasabiramp.settings.schema import Settings

CORES_PER_WORKER: Final = 64
MEMORY_MB_PER_WORKER: Final = 262_144
TASK_SHAPES: Final = ((1, 2048, 0), (2, 16384, 0), (4, 8192, 0), (8, 32768, 0), (16, 32768, 0))
"""Tasks as cores, memory in MB and accelerators."""

MAX_CORES_USED_SHARE: Final = 0.9
"""Share of all cores in use above which a running task ends after each placement."""

MEAN_TASK_CORES: Final = sum(shape[0] for shape in TASK_SHAPES) / len(TASK_SHAPES)
WARM_UP_DECISIONS: Final = 200
"""Number of first decisions that are not measured."""


@record
class DecisionResult:
    """Result of one measurement: decision times in microseconds, and decisions per second."""

    policy: str
    workers: int
    teams: int
    decisions: int
    p50_us: float
    p99_us: float
    per_second: float


def build_reducer(workers: int, teams: int) -> Reducer:
    """Return a reducer of a daemon that owns a number of ready workers."""
    settings = Settings("entry-1", "shubra", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "")
    reducer = Reducer(settings, "bench")
    state = reducer.state
    for index in range(teams):
        state.intent.apply(Resource("Team", f"team-{index}", {}, 1))
    for index in range(workers):
        spec = {
            "role": "worker",
            "address": "127.0.0.1:9",
            "cores": CORES_PER_WORKER,
            "memory_mb": MEMORY_MB_PER_WORKER,
            "rack": f"rack-{index // 6}",
        }
        state.intent.apply(Resource("Instance", f"worker-{index}", spec, 1))
    members = StoreItem(KEY_MEMBERS, MemberList(1, [state.me], []), 1)
    reducer.apply(StoreAnswer("members.read", "", OK, 0.0, 1, [members]), 0.0)
    refresh_owned_targets(reducer.context)
    for worker in state.jobs.workers.values():
        worker.is_ready = True
        worker.is_syncing = True
    return reducer


def measure_decisions(workers: int, teams: int, count: int, seed: int) -> DecisionResult:
    """Measure placements through the reducer; once the cell is full, a task ends for each one."""
    reducer = build_reducer(workers, teams)
    state = reducer.state
    random = Random(seed)
    partition = 0
    assert find_owner_id(build_partition_key(partition), [state.me]) == state.me.id
    running: list[tuple[Any, tuple[str, int]]] = []

    def admit(index: int) -> None:
        cores, memory_mb, accelerators = random.choice(TASK_SHAPES)
        name = f"team-{index % teams}/job/{index}"
        placement = Placement(name, 1, cores, memory_mb, accelerators, 0, {})
        message = PlaceAsked(1, partition, [placement])
        reducer.context.local_messages.append(message)
        start = time.perf_counter()
        reducer.apply(None, 0.0)
        times_s.append(time.perf_counter() - start)
        worker = state.jobs.find_task_worker((name, 1))
        if worker is not None:
            running.append((worker, (name, 1)))

    times_s: list[float] = []
    capacity = workers * CORES_PER_WORKER * MAX_CORES_USED_SHARE
    for index in range(count + WARM_UP_DECISIONS):
        admit(index)
        if running and len(running) * MEAN_TASK_CORES > capacity:
            worker, key = running.pop(random.randrange(len(running)))
            worker.adjust_usage(worker.tasks[key].placement, -1)
            state.jobs.remove_worker_task(worker, key)
            state.jobs.capacity_version += 1
    return _summarize("wasabiramp", workers, teams, times_s[WARM_UP_DECISIONS:])


def measure_full_scan(workers: int, teams: int, count: int, seed: int) -> DecisionResult:
    """Measure the baseline, which selects the best fit by scanning all workers."""
    reducer = build_reducer(workers, teams)
    random = Random(seed)
    pool = list(reducer.state.jobs.workers.values())
    running: list[tuple[Any, Placement]] = []
    times_s: list[float] = []
    for index in range(count):
        shape = random.choice(TASK_SHAPES)
        start = time.perf_counter()
        chosen = choose_best(score_fit, Need(*shape), pool, get_worker_candidate)
        times_s.append(time.perf_counter() - start)
        if chosen is not None:
            placement = Placement(f"t/j/{index}", 1, *shape, 0, {})
            chosen.adjust_usage(placement, 1)
            running.append((chosen, placement))
        if (
            running
            and len(running) * MEAN_TASK_CORES > workers * CORES_PER_WORKER * MAX_CORES_USED_SHARE
        ):
            worker, placement = running.pop(random.randrange(len(running)))
            worker.adjust_usage(placement, -1)
    return _summarize("full-scan best fit", workers, teams, times_s)


def _summarize(policy: str, workers: int, teams: int, times_s: list[float]) -> DecisionResult:
    """Build a result from decision times."""
    ordered = sorted(times_s)
    total = sum(ordered)
    return DecisionResult(
        policy,
        workers,
        teams,
        len(ordered),
        round(ordered[len(ordered) // 2] * 1e6, 1),
        round(ordered[int(len(ordered) * 0.99)] * 1e6, 1),
        round(len(ordered) / total),
    )


def run_decisions(
    sizes: list[int], count: int, seed: int, report_progress: Callable[[str], None]
) -> list[DecisionResult]:
    """Measure each number of workers with 2 and with 460 teams, and the baseline with 2 teams."""
    results = []
    for workers in sizes:
        for teams in (2, 460):
            report_progress(f"decisions: {workers} workers, {teams} teams")
            results.append(measure_decisions(workers, teams, count, seed))
        results.append(measure_full_scan(workers, 2, min(count, 2000), seed))
    return results
