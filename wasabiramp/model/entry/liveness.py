"""Checks that work goes on once all disturbances are over."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.entry.keys import PREFIX_MEMBER
from wasabiramp.model.entry.checker import CONTACT_S, JobRecord
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import FAILED, FINAL_PHASES, Step

FINISH_S: Final = 14.0
"""Time after all traffic from which no job with work to do may stand still."""

MAX_STANDSTILL_S: Final = 3.0
"""Time for which nothing of a job may run while a task could start."""

MAX_GAP_S: Final = 6.0
"""Time within which a lasting task runs again."""

SETTLE_S: Final = 7.0
"""Time from the last disturbance until the cell counts as undisturbed: the longest lease and the
delay with which the entry of an executor lapses."""

SAMPLE_INTERVAL_S: Final = 0.25
MAX_USED_SHARE: Final = 0.5
"""Share of the capacity in use from which a job may wait."""


async def async_check_lasting_tasks(world: World) -> None:
    """Report each task of an accepted lasting job that has no run.

    A job under whose task two executors have crashed may be given up, and is then shown as failed.
    """
    for job_id, record in list(world.checker.jobs.items()):
        step = record.definition.steps[0]
        if not step.is_lasting or record.accepted_at is None or record.cancel_asked_at is not None:
            continue
        if world.checker.may_be_given_up(job_id) and await world.async_show(job_id) == FAILED:
            continue
        for index in range(step.count):
            task = f"{job_id}.0.0.{index}"
            if not world.checker.running.get(task):
                world.checker.report(f"LOST at {world.loop.time():.3f} {task} does not run")


def check_members(world: World) -> None:
    """Report daemons that the others cannot find, and a cell without an owner."""
    for name in sorted(world.daemons):
        if PREFIX_MEMBER + name not in world.store.items:
            world.checker.report(f"LOST at {world.loop.time():.3f} {name} has no entry")
    if all(daemon.owner is None for daemon in world.daemons.values()):
        world.checker.report(f"LOST at {world.loop.time():.3f} there is no owner")


async def async_check_standstill(world: World) -> None:
    """Report jobs that stand still though there is room, until cancelled."""
    await asyncio.sleep(
        max(0.0, world.checker.calm_from + CONTACT_S + FINISH_S - world.loop.time())
    )
    moved_at: dict[str, float] = {}
    reported: set[str] = set()
    while True:
        now = world.loop.time()
        working = _list_working_jobs(world)
        is_full = _measure_used_share(world) >= MAX_USED_SHARE
        for job_id, record in world.checker.jobs.items():
            may_wait = is_full or job_id in working or not _has_ready_task(world, record)
            if may_wait or job_id in reported:
                moved_at[job_id] = now
            elif now >= moved_at.setdefault(job_id, now) + MAX_STANDSTILL_S:
                reported.add(job_id)
                world.checker.report(
                    f"LOST at {now:.3f} {job_id}: nothing runs for {MAX_STANDSTILL_S:.0f} s"
                )
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _list_working_jobs(world: World) -> set[str]:
    """Return the jobs of which a task runs."""
    return {
        task.partition(".")[0]
        for executor in world.executors.by_id.values()
        if executor.is_up
        for task in executor.runs
    }


def _measure_used_share(world: World) -> float:
    """Return the share of the processors of all executors that runs use."""
    fleet = [executor for executor in world.executors.by_id.values() if executor.is_up]
    total = sum(executor.entry.capacity.cpu for executor in fleet)
    used = sum(run.demand.cpu for executor in fleet for run in executor.runs.values())
    return used / total if total else 1.0


def _has_ready_task(world: World, record: JobRecord) -> bool:
    """Return whether an accepted job that goes on has a task whose turn has come."""
    if record.accepted_at is None or record.cancel_asked_at is not None:
        return False
    if record.last_phase in FINAL_PHASES:
        return False
    definition = record.definition
    for occurrence in range(max(1, definition.repeat_count)):
        due_ms = definition.first_ms + occurrence * definition.interval_ms
        if definition.repeat_count and due_ms > world.read_wall_ms():
            return False
        prefix = f"{definition.id}.{occurrence}"
        for number, step in enumerate(definition.steps):
            is_open = not _is_done(world, prefix, number, step)
            before = ((n, definition.steps[n]) for n in step.after)
            if is_open and all(_is_done(world, prefix, n, other) for n, other in before):
                return True
    return False


def _is_done(world: World, prefix: str, number: int, step: Step) -> bool:
    """Return whether all tasks of a step have ended as done."""
    done = world.checker.done_at
    return all(f"{prefix}.{number}.{index}" in done for index in range(step.count))
