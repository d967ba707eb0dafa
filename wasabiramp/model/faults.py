"""Faults that random schedules inject."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from wasabiramp.core.events import StopRequested

if TYPE_CHECKING:
    from wasabiramp.model.schedule import Run
    from wasabiramp.model.world import Node

Fault = Callable[["Run"], str]
FAULTS: Final[list[Fault]] = []


def fault(action: Fault) -> Fault:
    """Register a fault for random schedules; it returns a description of what it did."""
    FAULTS.append(action)
    return action


def _choose_live_node(run: Run) -> Node:
    """Return a random live daemon."""
    return run.random.choice(run.world.list_live())


@fault
def kill_node(run: Run) -> str:
    """Kill a daemon and start a new process on the same instance later."""
    node = _choose_live_node(run)
    run.world.kill(node.name)
    restart_delay_s = run.random.uniform(0.1, 6.0)
    run.world.call_later(restart_delay_s, lambda: run.restart_node(node.name))
    return f"kill {node.name}, restart after {restart_delay_s:.1f} s"


@fault
def freeze_node(run: Run) -> str:
    """Freeze a daemon, in most cases until after its right has expired."""
    node = _choose_live_node(run)
    seconds = run.random.uniform(0.5, 10.0)
    run.world.freeze(node.name, seconds)
    return f"freeze {node.name} for {seconds:.1f} s"


@fault
def freeze_in_decision(run: Run) -> str:
    """Freeze a daemon after its next decision, before the effects run."""
    node = _choose_live_node(run)
    run.world.freeze_at_next_decision(node.name)
    return f"freeze {node.name} in its next decision"


@fault
def cut_node(run: Run) -> str:
    """Partition a daemon from all peers and the store; it still reaches its targets."""
    node = _choose_live_node(run)
    is_blackhole = run.random.random() < 0.5
    for other in run.world.nodes:
        if other != node.name:
            run.world.add_partition(node.name, other, is_blackhole)
    run.world.add_partition(node.name, "store")
    seconds = run.random.uniform(1.0, 10.0)
    run.world.call_later(seconds, run.world.remove_all_partitions)
    return f"cut {node.name} off, black hole {is_blackhole}, for {seconds:.1f} s"


@fault
def cut_pair(run: Run) -> str:
    """Partition two daemons from each other."""
    names = list(run.world.nodes)
    one, other = run.random.sample(names, 2)
    run.world.add_partition(one, other, run.random.random() < 0.5)
    seconds = run.random.uniform(0.5, 8.0)
    run.world.call_later(seconds, run.world.remove_all_partitions)
    return f"cut {one} from {other} for {seconds:.1f} s"


@fault
def cut_target(run: Run) -> str:
    """Partition a daemon from a target, in some cases for longer than a lease."""
    node = _choose_live_node(run)
    target = run.random.choice([*run.world.executors, *run.world.workers])
    run.world.add_partition(node.name, target)
    seconds = run.random.uniform(0.5, 20.0)
    run.world.call_later(seconds, run.world.remove_all_partitions)
    return f"cut {node.name} from {target} for {seconds:.1f} s"


@fault
def stop_store(run: Run) -> str:
    """Stop the store for a while."""
    faults = run.world.store.faults
    faults.down = True
    seconds = run.random.uniform(1.0, 12.0)
    run.world.call_later(seconds, lambda: setattr(faults, "down", False))
    return f"store down for {seconds:.1f} s"


@fault
def age_store(run: Run) -> str:
    """Serve reads of the store from a stale replica, and in half of the cases stall watches."""
    faults = run.world.store.faults
    faults.stale_s = run.random.uniform(0.5, 5.0)
    faults.watch_stalled = run.random.random() < 0.5

    def restore() -> None:
        faults.stale_s = 0.0
        faults.watch_stalled = False

    run.world.call_later(run.random.uniform(2.0, 10.0), restore)
    return f"store {faults.stale_s:.1f} s stale, watch stalled {faults.watch_stalled}"


@fault
def lose_answers(run: Run) -> str:
    """Lose answers to calls that took effect, and delay other calls."""
    world = run.world
    world.lost_share, world.late_share = 0.2, 0.1

    def restore() -> None:
        world.lost_share, world.late_share = 0.0, 0.0

    world.call_later(run.random.uniform(2.0, 8.0), restore)
    return "a fifth of answers lost, a tenth of calls late"


@fault
def replace_all(run: Run) -> str:
    """Kill all daemons at once and restart each after a delay."""
    names = [node.name for node in run.world.list_live()]
    for name in names:
        run.world.kill(name)
        restart_delay_s = run.random.uniform(0.1, 2.0)
        run.world.call_later(restart_delay_s, lambda name=name: run.restart_node(name))
    return "replace all daemons"


@fault
def stop_gracefully(run: Run) -> str:
    """Stop a daemon gracefully and start a new process in its place."""
    node = _choose_live_node(run)
    run.world.apply(node, StopRequested())

    def restart_when_stopped() -> None:
        if node.is_alive:
            run.world.call_later(0.5, restart_when_stopped)
            return
        run.restart_node(node.name)

    run.world.call_later(1.0, restart_when_stopped)
    return f"stop {node.name} gracefully"


@fault
def leave_target(run: Run) -> str:
    """Have the platform list a target as leaving."""
    leaving = run.world.leaving_since
    executor_names = [name for name in [*run.world.executors][1:] if name not in leaving]
    workers = [name for name in run.world.workers if name not in leaving]
    # Two workers stay: the largest gang job needs two whole ones and would otherwise never start.
    candidates = executor_names + workers[1 : max(1, len(workers) - 1)]
    if not candidates:
        return "no target may leave"
    name = run.random.choice(candidates)
    run.world.set_leaving(name)
    return f"{name} is leaving"


@fault
def break_worker(run: Run) -> str:
    """Make a worker fail all tasks for 4 s."""
    worker = run.random.choice(list(run.world.workers.values()))
    worker.faults.fail_all = True
    run.world.call_later(4.0, lambda: setattr(worker.faults, "fail_all", False))
    return "a worker fails all tasks"
