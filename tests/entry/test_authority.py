"""Tests of how long an owner acts without a proof of its term."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from wasabiramp.entry.authority import Authority
from wasabiramp.entry.keys import PREFIX_MEMBER
from wasabiramp.entry.owner import MAX_PROOF_AGE_S, PROOF_INTERVAL_S, RUN_LEASE_S
from wasabiramp.entry.peers import FAILED, LATER, OK, EndTenure
from wasabiramp.model.entry.network import STORE
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.world import ModelCodec, World
from wasabiramp.scheduling.crashes import clear_task
from wasabiramp.scheduling.leases import MAX_UNCONFIRMED_S, PREDECESSOR_WAIT_S, convert_lease_s
from wasabiramp.scheduling.model import DONE, Crash, JobDefinition, Resources, Step

SHORT_OUTAGE_S = 4.5
"""Length of the outages that the platform names."""


def make_long_job(world: World, estimate_s: float = 20.0) -> JobDefinition:
    """Return a job of one task that runs for a while."""
    steps = (Step(1, Resources(500, 100, 0), estimate_s),)
    return JobDefinition("a" * 16, world.queues[2], "spec", steps, world.read_wall_ms())


async def async_start_job(world: World, job: JobDefinition) -> str:
    """Submit a job and return the executor that runs its task."""
    assert await world.async_submit(job)
    task = f"{job.id}.0.0.0"
    while not world.checker.running.get(task):
        await asyncio.sleep(0.01)
    ((executor, _run),) = world.checker.running[task]
    return executor


def find_recovered_owner(world: World) -> str:
    """Return the daemon that is the owner and knows what all executors run, or an empty text."""
    for name, daemon in world.daemons.items():
        if daemon.owner is not None and daemon.owner.has_heard_all():
            return name
    return ""


class TestProofs:
    """A proof counts from the time at which its call was sent."""

    def test_time_left(self) -> None:
        clock = [100.0]
        authority = Authority(lambda: clock[0], 99.0)
        assert authority.get_left_s() == MAX_UNCONFIRMED_S - 1.0
        clock[0] = 104.0
        authority.confirm(102.0)
        authority.confirm(101.0)
        assert authority.get_age_s() == 2.0
        assert authority.get_left_s() == MAX_UNCONFIRMED_S - 2.0

    def test_idle_owner_proves_its_term(self) -> None:
        world = World(3)
        ages: list[float] = []

        async def run_scenario() -> None:
            await world.async_start()
            name = find_owner(world)
            assert name is not None
            owner = world.daemons[name].owner
            assert owner is not None
            for _ in range(200):
                await asyncio.sleep(0.05)
                ages.append(owner.authority.get_age_s())

        world.run(run_scenario())
        assert max(ages) <= MAX_PROOF_AGE_S + PROOF_INTERVAL_S + 0.05


class TestPartitionedOwner:
    """An owner behind a partition acts for a limited time, which the next one awaits."""

    # Guards against TWICE: an owner behind a partition kept a run alive on an executor that the
    # next owner could not reach, and which started its task elsewhere.
    @pytest.mark.parametrize("seed", range(1, 6))
    @pytest.mark.parametrize("cut_s", [5.5, 9.0])
    def test_executor_is_cut_off_from_the_next_owner(self, seed: int, cut_s: float) -> None:
        world = World(seed)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert owner is not None
            executor = await async_start_job(world, make_long_job(world))
            await asyncio.sleep(world.random.uniform(0.5, 3.0))
            node = world.node_names[owner]
            world.network.add_partition(node, STORE)
            for name, other in world.node_names.items():
                if name != owner:
                    world.network.add_partition(other, executor)
            await asyncio.sleep(cut_s)
            world.network.remove_all_partitions()
            await world.async_wait_for_jobs(60.0)

        world.run(run_scenario())
        assert world.checker.breaches == []


class TestPredecessor:
    """An earlier owner that can be reached shortens the wait of the next one to a lease."""

    def measure_wait(self, seed: int, is_reachable: bool) -> float:
        """Return the time from a takeover until the task of a lost executor starts elsewhere."""
        world = World(seed)
        began_at: list[float] = []

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert owner is not None
            executor = await async_start_job(world, make_long_job(world))
            await asyncio.sleep(1.0)
            nodes = list(world.node_names.values())
            world.network.add_partition(world.node_names[owner], STORE)
            for node in nodes:
                world.network.add_partition(node, executor)
                if not is_reachable and node != world.node_names[owner]:
                    world.network.add_partition(world.node_names[owner], node)
            others = [daemon for name, daemon in world.daemons.items() if name != owner]
            while not any(daemon.owner is not None for daemon in others):
                await asyncio.sleep(0.01)
            began_at.append(world.loop.time())
            while world.checker.starts < 2:
                await asyncio.sleep(0.01)
            began_at.append(world.loop.time())

        world.run(run_scenario())
        assert world.checker.breaches == []
        return began_at[1] - began_at[0]

    @pytest.mark.parametrize("seed", range(1, 4))
    def test_wait_for_one_that_answers(self, seed: int) -> None:
        assert self.measure_wait(seed, is_reachable=True) <= convert_lease_s(RUN_LEASE_S) + 0.5

    @pytest.mark.parametrize("seed", range(1, 4))
    def test_wait_for_one_behind_a_partition(self, seed: int) -> None:
        wait_s = self.measure_wait(seed, is_reachable=False)
        assert PREDECESSOR_WAIT_S - 0.1 <= wait_s <= PREDECESSOR_WAIT_S + 0.5

    def test_owner_that_has_not_recovered_does_not_vouch_for_the_one_before(self) -> None:
        world = World(2)
        answers: list[str] = []

        async def run_scenario() -> None:
            await world.async_start()
            name = find_owner(world)
            assert name is not None
            daemon = world.daemons[name]
            owner = daemon.owner
            assert owner is not None
            owner.scheduler.state.is_recovering = True
            message = EndTenure(owner.tenure.term)
            answers.append((await daemon._async_serve_peer(message)).outcome)
            assert daemon.owner is None

        world.run(run_scenario())
        assert answers == [FAILED]

    # Guards against TWICE: the next owner waits for a lease of the usual length only, though this
    # owner has given a longer one, or an executor that answered it has one of the owner before.
    @pytest.mark.parametrize("source", ["long_leases_end_at", "predecessor_leases_end_at"])
    def test_owner_asks_to_wait_while_leases_are_longer(self, source: str) -> None:
        world = World(3)
        answers: list[str] = []

        async def run_scenario() -> None:
            await world.async_start()
            name = find_owner(world)
            assert name is not None
            daemon = world.daemons[name]
            owner = daemon.owner
            assert owner is not None
            ends_at = world.loop.time() + convert_lease_s(RUN_LEASE_S) + 2.0
            setattr(owner.scheduler.state, source, ends_at)
            message = EndTenure(owner.tenure.term)
            for delay_s in (1.9, 0.2):
                answers.append((await daemon._async_serve_peer(message)).outcome)
                await asyncio.sleep(delay_s)
            answers.append((await daemon._async_serve_peer(message)).outcome)

        world.run(run_scenario())
        assert answers == [LATER, LATER, OK]

    # Guards against TWICE: the third owner waited for usual leases, though the first one had given
    # a longer one to an executor that was cut off after it had answered the second one.
    @pytest.mark.parametrize("seed", range(1, 6))
    def test_two_takeovers_during_a_longer_lease(self, seed: int) -> None:
        world = World(seed)

        async def run_scenario() -> None:
            await world.async_start()
            first = find_owner(world)
            assert first is not None
            executor = await async_start_job(world, make_long_job(world))
            owner = world.daemons[first].owner
            assert owner is not None
            state = owner.scheduler.state
            (step,) = state.open_steps.values()
            step.progress.crashes[0] = [Crash("i-9", 1, 100.0, 0.5, is_proven=True)]
            step.suspects.add(0)
            state.suspect_steps[step.name] = step
            await asyncio.sleep(2.5)
            clear_task(state, step, 0)
            world.kill_daemon(first)
            while not (name := find_recovered_owner(world)):
                await asyncio.sleep(0.005)
            for node in world.node_names.values():
                world.network.add_partition(node, executor)
            world.network.add_partition(world.node_names[name], STORE)
            world.store.revoke_leases(PREFIX_MEMBER + name)
            while world.checker.starts < 2:
                await asyncio.sleep(0.01)

        world.run(run_scenario())
        assert world.checker.breaches == []


class TestOutages:
    """Work outlasts a short outage of the store, and starts again after a long one."""

    def run_through_outage(self, seed: int, outage_s: float) -> World:
        """Run a long task through an outage of the store and return the world."""
        world = World(seed)

        async def run_scenario() -> None:
            await world.async_start()
            await async_start_job(world, make_long_job(world))
            await asyncio.sleep(world.random.uniform(0.5, 3.0))
            world.store.is_down = True
            await asyncio.sleep(outage_s)
            world.store.is_down = False
            await world.async_wait_for_jobs(60.0)
            assert await world.async_show("a" * 16) == DONE

        world.run(run_scenario())
        assert world.checker.breaches == []
        return world

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_short_outage_ends_no_work(self, seed: int) -> None:
        assert self.run_through_outage(seed, SHORT_OUTAGE_S).checker.starts == 1

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_work_starts_again_after_a_long_outage(self, seed: int) -> None:
        assert self.run_through_outage(seed, 3 * MAX_UNCONFIRMED_S).checker.starts == 2


class TestOddStartTimes:
    """An entry with a later start time shows nothing about leases of earlier owners."""

    # Guards against TWICE: after a takeover, an entry with a later start time of an executor that
    # only the old owner reaches shortened the wait for its leases.
    @pytest.mark.parametrize("seed", range(1, 6))
    @pytest.mark.parametrize("is_odd", [True, False])
    def test_later_start_time_of_an_executor_during_a_recovery(
        self, seed: int, is_odd: bool
    ) -> None:
        world = World(seed)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert owner is not None
            executor = await async_start_job(world, make_long_job(world))
            await asyncio.sleep(world.random.uniform(0.5, 3.0))
            node = world.node_names[owner]
            world.network.add_partition(node, STORE)
            for name, other in world.node_names.items():
                if name != owner:
                    world.network.add_partition(other, executor)
                    world.network.add_partition(other, node)
            others = [daemon for name, daemon in world.daemons.items() if name != owner]
            while not any(d.owner is not None and d.owner.is_recovered for d in others):
                await asyncio.sleep(0.005)
            if is_odd:
                entry = world.executors.by_id[executor].entry
                odd = replace(entry, born_ms=entry.born_ms + 1)
                world.store.put(ModelCodec.executors_prefix + executor, world.codec.encode(odd), 0)
            await asyncio.sleep(9.0)
            world.network.remove_all_partitions()
            await world.async_wait_for_jobs(60.0)

        world.run(run_scenario())
        assert world.checker.breaches == []


class TestAddressOfPredecessor:
    """The watch may tell of a claim before its answer does."""

    # Guards against waits of 7.9 s instead of 3.8 s, as the address was not known.
    def test_new_owner_knows_the_address_of_the_one_before(self) -> None:
        known: list[bool] = []
        for seed in range(1, 21):
            world = World(seed)

            async def run_scenario(world: World = world) -> None:
                await world.async_start()
                owner = find_owner(world)
                assert owner is not None
                await asyncio.sleep(world.random.uniform(0.5, 3.0))
                world.network.add_partition(world.node_names[owner], STORE)
                others = [daemon for name, daemon in world.daemons.items() if name != owner]
                while not any(d.owner is not None for d in others):
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.5)
                (new,) = [d.owner for d in others if d.owner is not None]
                known.append(bool(new.tenure.predecessor_address))

            world.run(run_scenario())
        assert known.count(True) == len(known), known


class TestSplitNetwork:
    """Two owners each reach a part of the executors."""

    # Guards against TWICE in a split network: an owner on the side without the store counted the
    # leases of executors on the other side as ended, though the next owner renewed them, and
    # started their tasks on its own side.
    @pytest.mark.parametrize("seed", range(1, 6))
    @pytest.mark.parametrize("estimate_s", [2.5, 20.0])
    def test_owner_is_on_the_side_without_the_store(self, seed: int, estimate_s: float) -> None:
        world = World(seed)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert owner is not None
            executor = await async_start_job(world, make_long_job(world, estimate_s))
            await asyncio.sleep(world.random.uniform(0.1, 0.5))
            ids = sorted(world.executors.by_id)
            near = set([name for name in ids if name != executor][: len(ids) // 2])
            node = world.node_names[owner]
            others = [other for name, other in world.node_names.items() if name != owner]
            for other in [STORE, *others, *(name for name in ids if name not in near)]:
                world.network.add_partition(node, other)
            for other in others:
                for name in near:
                    world.network.add_partition(other, name)
            await asyncio.sleep(6.0)
            world.network.remove_all_partitions()
            await world.async_wait_for_jobs(60.0)

        world.run(run_scenario())
        assert world.checker.breaches == []

    # Guards against TWICE: an owner without a proof of its term took the restart of an executor for
    # the loss of a run whose success the next owner had read and stored before.
    @pytest.mark.parametrize("seed", range(1, 6))
    def test_executor_restarts_on_the_side_of_an_owner_without_the_store(self, seed: int) -> None:
        world = World(seed)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert owner is not None
            executor = await async_start_job(world, make_long_job(world, 1.2))
            ids = sorted(world.executors.by_id)
            near = [name for name in ids if name != executor][: len(ids) // 2]
            node = world.node_names[owner]
            others = [other for name, other in world.node_names.items() if name != owner]
            for other in [STORE, *others, *(name for name in ids if name not in near)]:
                world.network.add_partition(node, other)
            for other in others:
                for name in near:
                    world.network.add_partition(other, name)
            await asyncio.sleep(2.6)
            for other in others:
                world.network.add_partition(other, executor)
            world.network.remove_partition(node, executor)
            await world.async_crash_executor(int(executor.removeprefix("i-")), 0.05, True)
            await asyncio.sleep(3.0)
            world.network.remove_all_partitions()
            await world.async_wait_for_jobs(60.0)

        world.run(run_scenario())
        assert world.checker.breaches == []
