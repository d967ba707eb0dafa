"""Limits on jobs: the capacity of the workers and the quota of the team."""

from __future__ import annotations

from wasabiramp.core.context import Context
from wasabiramp.jobs.state import JobSpec, PartitionState
from wasabiramp.policy.placement import EPSILON
from wasabiramp.resource.kinds import ROLE_WORKER


def find_rejection_reason(context: Context, spec: JobSpec) -> str:
    """Return the reason why a job can never run, or an empty string."""
    intent = context.state.intent
    team = intent.teams.get(spec.team)
    if team is None:
        return f"spec.team: unknown team {spec.team!r}"
    count = spec.tasks if spec.is_gang else 1
    sizes = (
        ("cores", spec.cores, team.cores),
        ("memory_mb", spec.memory_mb, team.memory_mb),
        ("accelerators", spec.accelerators, team.accelerators),
    )
    for name, size, quota in sizes:
        if size * count > quota + EPSILON:
            return f"spec.{name}: {size * count:g} at once is over the team's quota of {quota:g}"
    workers = [item for item in intent.instances.values() if item.role == ROLE_WORKER]
    if not workers:
        return ""
    fitting_count = sum(_count_fitting(spec, worker) for worker in workers)
    if fitting_count < count:
        return f"spec: no set of trusted workers has room for {count} task(s) of this size at once"
    return ""


def _count_fitting(spec: JobSpec, worker: object) -> int:
    """Return the number of the job's tasks that fit on an empty worker."""
    counts = [spec.tasks]
    for size, total in (
        (spec.cores, worker.cores),
        (spec.memory_mb, worker.memory_mb),
        (spec.accelerators, worker.accelerators),
    ):
        if size > 0:
            counts.append(int((total + EPSILON) // size))
    return min(counts)


def adjust_team_usage(state: PartitionState, spec: JobSpec, memory_mb: float, sign: int) -> None:
    """Add a task to the usage of its team (sign 1) or subtract it (sign -1)."""
    used = state.usage_by_team.setdefault(spec.team, [0.0, 0.0, 0.0])
    used[0] += sign * spec.cores
    used[1] += sign * memory_mb
    used[2] += sign * spec.accelerators


def is_within_quota(
    context: Context, state: PartitionState, spec: JobSpec, memory_mb: float, count: int = 1
) -> bool:
    """Return whether the quota of the team allows `count` more tasks of the job."""
    team = context.state.intent.teams.get(spec.team)
    if team is None:
        return False
    used = state.usage_by_team.get(spec.team, (0.0, 0.0, 0.0))
    return (
        used[0] + spec.cores * count <= team.cores + EPSILON
        and used[1] + memory_mb * count <= team.memory_mb + EPSILON
        and used[2] + spec.accelerators * count <= team.accelerators
    )


def compute_dominant_share(context: Context, state: PartitionState, team_name: str) -> float:
    """Return the dominant share of a team, divided by its weight.

    It is the largest share that the team uses of the cell's cores, memory or accelerators.
    """
    intent = context.state.intent
    team = intent.teams.get(team_name)
    used = state.usage_by_team.get(team_name)
    if team is None or used is None:
        return 0.0
    totals = [0.0, 0.0, 0.0]
    for item in intent.instances.values():
        totals[0] += item.cores
        totals[1] += item.memory_mb
        totals[2] += item.accelerators
    shares = [part / total for part, total in zip(used, totals, strict=True) if total]
    return max(shares, default=0.0) / team.weight
