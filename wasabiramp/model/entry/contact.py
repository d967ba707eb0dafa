"""Faults in which daemons, executors and the store lose contact with each other, and run on."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

from wasabiramp.entry.keys import PREFIX_LIVE, PREFIX_MEMBER
from wasabiramp.model.entry.network import STORE
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.world import World

CUT_S: Final = (1.0, 6.0)
"""Range of the duration of a cut."""

MESSAGE_DELAY_S: Final = (0.2, 1.5)
"""Range of the longest delay of a message on a slow path; orders time out after 0.3 s."""

OUTAGE_S: Final = (1.5, 5.0)
"""Range of the duration of an outage of the store."""

LAPSING_OUTAGE_S: Final = (4.0, 5.5)
"""Range of the duration of an outage in which the entries of most executors lapse."""

LONG_OUTAGE_S: Final = (7.0, 11.0)
"""Range of the duration of an outage in which the leases of runs expire."""

LATE_OWNER_S: Final = (0.5, 4.0)
"""Range of the time after an outage for which the store does not serve the earlier owner yet."""

LAPSING_CUT_S: Final = (5.0, 12.0)
"""Range of the duration of a cut behind which the leases of runs expire."""

LAPSE_S: Final = (2.0, 4.0)
LAPSE_POLL_S: Final = 0.1
MAX_LAPSE_S: Final = 10.0
"""Range of the time from a cut until an executor may crash behind it, the interval at which it is
checked whether its runs have lapsed, and the longest wait for that."""

DOWNTIME_S: Final = (0.1, 3.0)
"""Range of the time from a crash behind a cut until the executor is back."""

SUSPENSION_S: Final = (0.5, 6.0)
"""Range of the time for which a machine is suspended."""

MIN_NOTICE_S: Final = 2.0
"""Shortest time from the store's answer to the report of a drain until the executor leaves."""

RESTART_S: Final = (0.1, 0.9)
CUT_AFTER_RESTART_S: Final = (0.1, 1.5)
CUT_OF_RESTARTED_S: Final = (3.0, 9.0)
"""Ranges of the time for which an executor is down that restarts under its id, of the time from
then until it is cut off, and of the duration of that cut."""

Fault = Callable[[World], Awaitable[None]]
CONTACT_FAULTS: Final[dict[str, Fault]] = {}
LONG_FAULTS: Final[dict[str, Fault]] = {}


def contact_fault(action: Fault) -> Fault:
    """Register a fault under the name of its function without `async_`."""
    CONTACT_FAULTS[action.__name__.removeprefix("async_")] = action
    return action


def long_fault(action: Fault) -> Fault:
    """Register a fault that most kinds of schedules leave out, as `contact_fault` does."""
    LONG_FAULTS[action.__name__.removeprefix("async_")] = action
    return action


def draw_executors(world: World, most: int = 2) -> list[str]:
    """Draw one or more executors that are up, those that run something first."""
    fleet = world.executors.by_id
    ids = sorted(name for name, executor in fleet.items() if executor.is_up)
    busy = [name for name in ids if fleet[name].runs]
    chosen = busy if len(busy) >= most else ids
    return world.random.sample(chosen, min(len(chosen), world.random.randint(1, most)))


async def async_cut_pairs(world: World, pairs: list[tuple[str, str]], duration_s: float) -> None:
    """Cut the paths between pairs of nodes for a time; calls get no answer, or are refused."""
    refuses = world.random.random() < 0.5
    for one, other in pairs:
        if refuses and other != STORE:
            world.network.add_refusal(one, other)
        else:
            world.network.add_partition(one, other)
    await asyncio.sleep(duration_s)
    for one, other in pairs:
        world.network.remove_partition(one, other)


async def async_isolate(
    world: World, executors: list[str], duration_s: float, from_store: bool
) -> None:
    """Cut executors off from all daemons, and from the store, for a time."""
    refuses = world.random.random() < 0.5
    for executor in executors:
        world.network.isolate(executor, refuses)
        if from_store:
            world.network.add_partition(executor, STORE)
    await asyncio.sleep(duration_s)
    for executor in executors:
        world.network.rejoin(executor)
        world.network.remove_partition(executor, STORE)


def list_other_nodes(world: World, name: str | None) -> list[str]:
    """Return the nodes of all daemons but one."""
    return [node for other, node in sorted(world.node_names.items()) if other != name]


@contact_fault
async def async_cut_from_one(world: World) -> None:
    """Cut executors off from one daemon, which is not the owner."""
    others = list_other_nodes(world, find_owner(world))
    if not others:
        return
    node = world.random.choice(others)
    pairs = [(node, executor) for executor in draw_executors(world)]
    await async_cut_pairs(world, pairs, world.random.uniform(*CUT_S))


@contact_fault
async def async_cut_from_others(world: World) -> None:
    """Cut executors off from all daemons but the owner."""
    others = list_other_nodes(world, find_owner(world))
    pairs = [(node, executor) for executor in draw_executors(world) for node in others]
    await async_cut_pairs(world, pairs, world.random.uniform(*CUT_S))


@contact_fault
async def async_cut_from_all(world: World) -> None:
    """Cut executors off from all daemons, and at random also from the store."""
    from_store = world.random.random() < 0.5
    duration_s = world.random.uniform(*CUT_S)
    await async_isolate(world, draw_executors(world), duration_s, from_store)


@contact_fault
async def async_cut_long_from_all(world: World) -> None:
    """Cut an executor off from all nodes until its entry has lapsed."""
    await async_isolate(world, draw_executors(world, 1), world.random.uniform(5.0, 10.0), True)


@contact_fault
async def async_delay_executors(world: World) -> None:
    """Delay the messages between the owner and executors, so that orders time out and overtake."""
    name = find_owner(world)
    if name is None:
        return
    node, longest_s = world.node_names[name], world.random.uniform(*MESSAGE_DELAY_S)
    chosen = draw_executors(world, 3)
    for executor in chosen:
        world.network.add_delay(node, executor, longest_s)
    await asyncio.sleep(world.random.uniform(*CUT_S))
    for executor in chosen:
        world.network.remove_delay(node, executor)


@contact_fault
async def async_cut_daemons(world: World) -> None:
    """Cut the path between two daemons, or between the owner and all others."""
    nodes = sorted(world.node_names.values())
    if len(nodes) < 2:
        return
    owner = find_owner(world)
    if owner is not None and world.random.random() < 0.5:
        pairs = [(world.node_names[owner], node) for node in list_other_nodes(world, owner)]
    else:
        one, other = world.random.sample(nodes, 2)
        pairs = [(one, other)]
    await async_cut_pairs(world, pairs, world.random.uniform(*CUT_S))


@contact_fault
async def async_cut_owner_off(world: World) -> None:
    """Cut the owner off from the store, and at random also from the other daemons."""
    await async_cut_owner(world, world.random.uniform(*CUT_S))


async def async_cut_owner(world: World, duration_s: float) -> None:
    """Cut the owner off from the store for a time, and at random also from the other daemons."""
    name = find_owner(world)
    if name is None:
        return
    node = world.node_names[name]
    pairs = [(node, STORE)]
    if world.random.random() < 0.3:
        pairs += [(node, other) for other in list_other_nodes(world, name)]
    await async_cut_pairs(world, pairs, duration_s)


@contact_fault
async def async_refuse_owner(world: World) -> None:
    """Let the store refuse the calls of the owner."""
    name = find_owner(world)
    if name is None:
        return
    client = world.clients[name]
    client.is_refused = True
    await asyncio.sleep(world.random.uniform(*CUT_S))
    client.is_refused = False


@contact_fault
async def async_cut_owner_and_executors(world: World) -> None:
    """Cut the owner off from the store, and executors off from all other daemons, at once."""
    owner = find_owner(world)
    duration_s = world.random.uniform(4.0, 6.0)
    others = list_other_nodes(world, owner)
    if world.random.random() < 0.5:
        others = world.random.sample(others, min(1, len(others)))
    pairs = [(node, executor) for executor in draw_executors(world) for node in others]
    await asyncio.gather(
        async_cut_owner(world, duration_s), async_cut_pairs(world, pairs, duration_s)
    )


@contact_fault
async def async_revoke_owner(world: World) -> None:
    """End the lease of the owner while it is cut off from the store."""
    name = find_owner(world)
    if name is None:
        return
    cut = asyncio.create_task(async_cut_owner(world, world.random.uniform(*CUT_S)))
    await asyncio.sleep(world.random.uniform(0.0, 0.5))
    world.store.revoke_leases(PREFIX_MEMBER + name)
    await cut


@contact_fault
async def async_revoke_leases(world: World) -> None:
    """End the leases of all daemons while they run."""
    world.store.revoke_leases(PREFIX_LIVE)


async def async_have_outage(
    world: World, duration_s: float, does_lapse: bool, owner_late_s: float, kept_share: float = 0.0
) -> None:
    """Let the store be down for a time; it serves the owner later than the others.

    It refuses calls, or does not answer, as it must where writes are kept.
    """
    if world.store.is_in_outage:
        return
    name = find_owner(world)
    node = world.node_names[name] if name is not None else ""
    does_refuse = not kept_share and world.random.random() < 0.5
    world.store.begin_outage(does_lapse, does_refuse, kept_share)
    await asyncio.sleep(duration_s)
    if owner_late_s:
        world.network.add_partition(node, STORE)
    world.store.end_outage()
    if owner_late_s:
        await asyncio.sleep(owner_late_s)
        world.network.remove_partition(node, STORE)


def draw_owner_lateness_s(world: World) -> float:
    """Draw for how long the store does not serve the owner after an outage."""
    return world.random.uniform(*LATE_OWNER_S) if world.random.random() < 0.7 else 0.0


@contact_fault
async def async_have_outage_that_lapses(world: World) -> None:
    """Let the store be down while leases expire."""
    duration_s = world.random.uniform(*OUTAGE_S)
    await async_have_outage(world, duration_s, True, draw_owner_lateness_s(world))


@contact_fault
async def async_have_outage_that_pauses(world: World) -> None:
    """Let the store be down while leases pause."""
    duration_s = world.random.uniform(*OUTAGE_S)
    await async_have_outage(world, duration_s, False, draw_owner_lateness_s(world))


@long_fault
async def async_have_long_outage(world: World) -> None:
    """Let the store be down until the term of the owner is not proven any more."""
    duration_s = world.random.uniform(*LONG_OUTAGE_S)
    await async_have_outage(world, duration_s, world.random.random() < 0.5, 0.0)


async def _async_crash_when_idle(world: World, name: str) -> None:
    """Crash and restart an executor that is cut off, once its runs have lapsed."""
    executor = world.executors.by_id[name]
    await asyncio.sleep(world.random.uniform(*LAPSE_S))
    for _ in range(round(MAX_LAPSE_S / LAPSE_POLL_S)):
        if not executor.is_up or not executor.runs:
            break
        await asyncio.sleep(LAPSE_POLL_S)
    if executor.is_up and not executor.runs:
        number = int(name.removeprefix("i-"))
        await world.async_crash_executor(number, world.random.uniform(*DOWNTIME_S), True)


@long_fault
async def async_crash_after_lapse(world: World) -> None:
    """Cut executors off, and crash each once its runs have lapsed, so that none is on it."""
    chosen = draw_executors(world, 2)
    cut = async_isolate(world, chosen, world.random.uniform(*LAPSING_CUT_S), False)
    await asyncio.gather(cut, *(_async_crash_when_idle(world, name) for name in chosen))


@contact_fault
async def async_keep_writes(world: World) -> None:
    """Let the store be down, and apply half of the writes that it got after that."""
    duration_s = world.random.uniform(*OUTAGE_S)
    await async_have_outage(world, duration_s, world.random.random() < 0.5, 0.0, 0.5)


async def async_cut_at_end(world: World, outage_s: float) -> None:
    """Cut executors off around the end of an outage."""
    await asyncio.sleep(max(0.0, outage_s - world.random.uniform(0.0, 1.0)))
    from_store = world.random.random() < 0.3
    await async_isolate(world, draw_executors(world), world.random.uniform(2.0, 4.5), from_store)


@contact_fault
async def async_have_outage_and_cut(world: World) -> None:
    """Let the store be down while leases expire, and cut executors off around the end."""
    duration_s = world.random.uniform(*LAPSING_OUTAGE_S)
    await asyncio.gather(
        async_have_outage(world, duration_s, True, draw_owner_lateness_s(world)),
        async_cut_at_end(world, duration_s),
    )


@contact_fault
async def async_lose_power(world: World) -> None:
    """Restart all daemons in an outage in which leases expire, and cut executors off at its end."""
    duration_s = world.random.uniform(*LAPSING_OUTAGE_S)

    async def restart_all() -> None:
        names = sorted(world.daemons)
        for name in names:
            world.kill_daemon(name)
        await asyncio.sleep(world.random.uniform(0.5, 2.0))
        for name in names:
            if name not in world.daemons:
                await world.async_start_daemon(name)

    await asyncio.gather(
        async_have_outage(world, duration_s, True, 0.0),
        async_cut_at_end(world, duration_s),
        restart_all(),
    )


@contact_fault
async def async_drain_cut_off(world: World) -> None:
    """Cut a draining executor off, which runs on and leaves later; another one replaces it."""
    chosen = draw_executors(world, 1)
    if not chosen or world.executors.by_id[chosen[0]].entry.is_draining:
        return
    executor = world.executors.by_id[chosen[0]]
    executor.entry = replace(executor.entry, is_draining=True, remaining_s=4.0)
    executor.refuses_when_down = world.random.random() < 0.5
    world.list_executor(executor)
    while world.heartbeats is not None and not world.heartbeats.is_reported(executor):
        await asyncio.sleep(0.05)
    cut_s = world.random.uniform(MIN_NOTICE_S, 5.0)
    await async_isolate(world, chosen, cut_s, world.random.random() < 0.5)
    await asyncio.sleep(world.random.uniform(0.0, 2.0))
    executor.crash()
    world.unlist_executor(executor.entry.id)
    world.add_executor(len(world.executors.by_id))


@contact_fault
async def async_suspend_owner(world: World) -> None:
    """Suspend the machine of the owner, whose clock stands still meanwhile."""
    name = find_owner(world)
    if name is not None:
        await async_suspend(world, name)


@contact_fault
async def async_suspend_daemon(world: World) -> None:
    """Suspend the machine of any daemon."""
    if world.daemons:
        await async_suspend(world, world.random.choice(sorted(world.daemons)))


async def async_suspend(world: World, name: str) -> None:
    """Suspend the machine of a daemon for a time."""
    duration_s = world.random.uniform(*SUSPENSION_S)
    if world.loop.get_resume_time(world.node_names[name]) <= world.loop.time():
        world.loop.suspend(world.node_names[name], duration_s)
    await asyncio.sleep(duration_s)


def heal(world: World) -> None:
    """End all cuts and outages."""
    world.network.remove_all_partitions()
    if world.store.is_in_outage:
        world.store.end_outage()
    for client in world.clients.values():
        client.is_refused = False


@long_fault
async def async_restart_and_cut(world: World) -> None:
    """Restart an executor under its id, and cut it off soon after it is back."""
    names = draw_executors(world, 1)
    if not names:
        return
    down_s = world.random.uniform(*RESTART_S)
    async with asyncio.TaskGroup() as group:
        number = int(names[0].removeprefix("i-"))
        group.create_task(world.async_crash_executor(number, down_s, True))
        await asyncio.sleep(down_s + world.random.uniform(*CUT_AFTER_RESTART_S))
        await async_isolate(world, names, world.random.uniform(*CUT_OF_RESTARTED_S), False)
