"""Faults of the simulated platform: cuts, outages, entries that lapse, suspended machines."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from wasabiramp.entry.keys import PREFIX_MEMBER
from wasabiramp.entry.peers import OK, CountWaiting, PeerAnswer
from wasabiramp.entry.ports import (
    LeaseEndedError,
    NoAnswerError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.model.entry.checker import CANCEL_WAIT_S, CONTACT_S, HistoryChecker, JobRecord
from wasabiramp.model.entry.clock import async_run_on_node
from wasabiramp.model.entry.heartbeats import ENTRY_TTL_S
from wasabiramp.model.entry.kinds import PATIENT_TIMEOUT_S
from wasabiramp.model.entry.liveness import (
    async_check_lasting_tasks,
    async_check_standstill,
    check_members,
)
from wasabiramp.model.entry.network import STORE, ModelPeers
from wasabiramp.model.entry.store import ModelStoreClient
from wasabiramp.model.entry.world import LOSS_NOTICE_S, World
from wasabiramp.scheduling.effects import HoldExecutor
from wasabiramp.scheduling.events import NOT_SENT, UNKNOWN
from wasabiramp.scheduling.model import ExecutorReport, JobDefinition, Resources, Step
from wasabiramp.scheduling.processes import build_fence

KEY = "servers/i-0"
CONTACT_LIMIT_S = 2.0
"""Time within which an executor that reaches the store again is listed."""


def run_world(main: Callable[[World], Awaitable[None]]) -> None:
    """Run a test in a cell with one daemon, three executors and heartbeats."""
    world = World(1, daemons=1, executors=3)

    async def run() -> None:
        await world.async_start()
        world.start_heartbeats()
        await main(world)

    world.run(run())


def make_job(world: World, step: Step) -> JobDefinition:
    """Return a job of one step."""
    return JobDefinition("a" * 16, world.queues[2], "spec", (step,), world.read_wall_ms())


class TestHeartbeats:
    """Entries stay while executors report, and lapse after a silence."""

    def test_entries_stay(self) -> None:
        async def main(world: World) -> None:
            revision = world.store.items[KEY].revision
            await asyncio.sleep(10.0)
            assert world.store.items[KEY].revision == revision

        run_world(main)

    def test_entry_lapses_and_is_back_after_contact(self) -> None:
        async def main(world: World) -> None:
            world.network.add_partition("i-0", STORE)
            await asyncio.sleep(ENTRY_TTL_S - 1.6)
            assert KEY in world.store.items
            await asyncio.sleep(1.8)
            assert KEY not in world.store.items
            world.network.remove_partition("i-0", STORE)
            await asyncio.sleep(CONTACT_LIMIT_S)
            assert KEY in world.store.items

        run_world(main)

    @pytest.mark.parametrize("does_lapse", [True, False])
    def test_entries_in_an_outage(self, does_lapse: bool) -> None:
        async def main(world: World) -> None:
            world.store.begin_outage(does_lapse)
            await asyncio.sleep(ENTRY_TTL_S + 0.5)
            assert (KEY in world.store.items) != does_lapse
            world.store.end_outage()
            await asyncio.sleep(CONTACT_LIMIT_S)
            assert KEY in world.store.items

        run_world(main)

    def test_entry_of_an_executor_that_left_is_not_back(self) -> None:
        async def main(world: World) -> None:
            world.executors.by_id["i-0"].crash()
            world.unlist_executor("i-0")
            await asyncio.sleep(ENTRY_TTL_S)
            assert KEY not in world.store.items

        run_world(main)


class TestOutages:
    """In an outage leases expire or pause, and calls are refused or get no answer."""

    @pytest.mark.parametrize("does_lapse", [True, False])
    def test_leases(self, does_lapse: bool) -> None:
        async def main(world: World) -> None:
            lease = world.store.grant(2.0)
            world.store.put("key", b"", lease)
            await asyncio.sleep(1.0)
            world.store.begin_outage(does_lapse)
            await asyncio.sleep(4.0)
            world.store.end_outage()
            await asyncio.sleep(0.5)
            assert ("key" in world.store.items) != does_lapse
            await asyncio.sleep(1.0)
            assert "key" not in world.store.items

        run_world(main)

    @pytest.mark.parametrize(
        ("does_refuse", "error"), [(True, StoreRefusedError), (False, StoreUnknownError)]
    )
    def test_calls_fail(self, does_refuse: bool, error: type[Exception]) -> None:
        async def main(world: World) -> None:
            client = ModelStoreClient(world.network, "a", world.store)
            world.store.begin_outage(True, does_refuse)
            with pytest.raises(error):
                await client.async_get("key")

        run_world(main)

    def test_watch_that_waits_gets_no_answer(self) -> None:
        async def main(world: World) -> None:
            client = ModelStoreClient(world.network, "a", world.store)
            watch = asyncio.create_task(client.async_watch("key", world.store.revision, 2.0))
            await asyncio.sleep(0.5)
            world.store.begin_outage(True)
            world.store.put("key", b"", 0)
            with pytest.raises(StoreUnknownError):
                await watch

        run_world(main)

    def test_kept_writes_are_applied_after_the_end(self) -> None:
        async def main(world: World) -> None:
            client = ModelStoreClient(world.network, "a", world.store)
            world.store.begin_outage(True, kept_share=1.0)
            with pytest.raises(StoreUnknownError):
                await client.async_commit(Transaction(writes={"key": (b"", 0)}))
            assert "key" not in world.store.items
            world.store.end_outage()
            await asyncio.sleep(5.0)
            assert "key" in world.store.items

        run_world(main)

    def test_revoked_lease_takes_its_keys_along(self) -> None:
        async def main(world: World) -> None:
            lease = world.store.grant(60.0)
            world.store.put("a/key", b"", lease)
            world.store.revoke_leases("a/")
            assert "a/key" not in world.store.items
            with pytest.raises(LeaseEndedError):
                world.store.renew(lease)

        run_world(main)


class TestCuts:
    """A cut separates the nodes that it names, without an answer or with refused connections."""

    @staticmethod
    async def _async_hold(world: World) -> ExecutorReport | str:
        """Send a hold from the daemon to an executor."""
        daemon = next(iter(world.daemons.values()))
        hold = HoldExecutor("i-0", "i-0", None, 0, 0.0)
        return await daemon._executors.async_hold(hold, build_fence(100, 0))

    def test_silent(self) -> None:
        async def main(world: World) -> None:
            node = world.node_names["entry-0"]
            world.network.add_partition(node, "i-0")
            assert await self._async_hold(world) == UNKNOWN
            assert not world.network.is_unreachable(node, "i-1")
            world.network.remove_partition(node, "i-0")
            assert isinstance(await self._async_hold(world), ExecutorReport)

        run_world(main)

    def test_refused(self) -> None:
        async def main(world: World) -> None:
            node = world.node_names["entry-0"]
            world.network.add_refusal(node, "i-0")
            assert await self._async_hold(world) == NOT_SENT
            world.network.remove_partition(node, "i-0")
            assert isinstance(await self._async_hold(world), ExecutorReport)

        run_world(main)

    @pytest.mark.parametrize(("refuses", "outcome"), [(True, NOT_SENT), (False, UNKNOWN)])
    def test_isolated_from_all_but_the_store(self, refuses: bool, outcome: str) -> None:
        async def main(world: World) -> None:
            world.network.isolate("i-0", refuses)
            assert await self._async_hold(world) == outcome
            assert not world.network.is_unreachable("i-0", STORE)
            world.network.rejoin("i-0")
            assert isinstance(await self._async_hold(world), ExecutorReport)

        run_world(main)

    def test_executor_that_left_refuses(self) -> None:
        async def main(world: World) -> None:
            world.executors.by_id["i-0"].refuses_when_down = True
            world.executors.by_id["i-0"].crash()
            assert await self._async_hold(world) == NOT_SENT

        run_world(main)


class TestSuspension:
    """The clock of a suspended machine stands still, that of the others goes on."""

    def test_clock_and_timers(self) -> None:
        world = World(1)
        seen: dict[str, tuple[float, float]] = {}

        async def sleep(name: str) -> None:
            await asyncio.sleep(2.0)
            seen[name] = (round(world.loop.time(), 3), round(world.loop.true_time, 3))

        async def main() -> None:
            tasks = [
                asyncio.create_task(async_run_on_node(node, sleep(node))) for node in ("a", "b")
            ]
            await asyncio.sleep(1.0)
            world.loop.suspend("a", 3.0)
            await asyncio.gather(*tasks)
            await async_run_on_node("a", sleep("a later"))

        world.run(main())
        assert seen == {"b": (2.0, 2.0), "a": (2.0, 5.0), "a later": (4.0, 7.0)}

    def test_cancelled_timer_of_a_suspended_node_does_not_run(self) -> None:
        world = World(1)
        calls: list[int] = []

        async def set_timer() -> asyncio.TimerHandle:
            return world.loop.call_later(2.0, calls.append, 1)

        async def main() -> None:
            timer = await async_run_on_node("a", set_timer())
            world.loop.suspend("a", 3.0)
            await asyncio.sleep(2.5)
            timer.cancel()
            await asyncio.sleep(5.0)

        world.run(main())
        assert calls == []

    def test_uptime_of_a_daemon_goes_on(self) -> None:
        async def main(world: World) -> None:
            daemon = world.daemons["entry-0"]

            async def read() -> float:
                return daemon._read_uptime() - world.loop.time()

            node = world.node_names["entry-0"]
            before_s = await async_run_on_node(node, read())
            world.loop.suspend(node, 3.0)
            after_s = await async_run_on_node(node, read())
            assert after_s - before_s == pytest.approx(3.0)

        run_world(main)


class TestRequests:
    """Each request gets an answer while its daemon lives."""

    @staticmethod
    def _make_checker() -> tuple[HistoryChecker, int]:
        """Return a checker with a request at daemon `a` that is due at 5 s."""
        checker = HistoryChecker(0.0)
        return checker, checker.record_request("async_cancel at a", "a", 5.0)

    def test_unanswered(self) -> None:
        checker, _request = self._make_checker()
        checker.check_answers({"a": (4.9, 0.0)})
        assert checker.breaches == []
        checker.check_answers({"a": (5.1, 0.0)})
        checker.check_answers({"a": (6.0, 0.0)})
        assert [text.split()[0] for text in checker.breaches] == ["LOST"]

    def test_answered(self) -> None:
        checker, request = self._make_checker()
        checker.record_answer(request)
        checker.check_answers({"a": (9.0, 0.0)})
        assert checker.breaches == []

    def test_daemon_ended(self) -> None:
        checker, _request = self._make_checker()
        checker.check_answers({"b": (9.0, 0.0)})
        checker.check_answers({"a": (9.0, 0.0)})
        assert checker.breaches == []

    def test_daemon_was_paused(self) -> None:
        checker, _request = self._make_checker()
        checker.check_answers({"a": (9.0, 8.0)})
        assert checker.breaches == []
        checker.check_answers({"a": (12.0, 8.0)})
        assert len(checker.breaches) == 1

    def test_patient_caller_calls_again_after_the_daemon_ended(self) -> None:
        async def main(world: World) -> None:
            job = make_job(world, Step(1, Resources(100, 100, 0), 1.0, is_lasting=True))
            assert await world.async_submit(job)
            node = world.node_names["entry-0"]
            world.network.add_partition(node, STORE)
            cancel = asyncio.create_task(world.async_cancel(job.id, PATIENT_TIMEOUT_S))
            await asyncio.sleep(0.5)
            record = world.checker.jobs[job.id]
            assert record.is_cancel_waiting
            world.kill_daemon("entry-0")
            await world.async_start_daemon("entry-0")
            await asyncio.sleep(LOSS_NOTICE_S + CONTACT_LIMIT_S)
            assert record.cancel_acked_at is not None
            assert cancel.done()

        run_world(main)


class TestWaitingCancels:
    """A job is not started while its cancel waits for an answer for long in a calm cell."""

    @pytest.mark.parametrize(
        ("is_waiting", "delay_s", "count"), [(1, 0.1, 1), (1, -4, 0), (0, 1, 0)]
    )
    def test_start(self, is_waiting: int, delay_s: float, count: int) -> None:
        world = World(1)
        job = make_job(world, Step(1, Resources(1, 1, 0), 1.0))
        checker = world.checker
        record = checker.jobs[job.id] = JobRecord(job)
        record.cancel_asked_at, record.is_cancel_waiting = 10.0, bool(is_waiting)
        checker.calm_from = 20.0
        now = checker.calm_from + CONTACT_S + CANCEL_WAIT_S + 3.0 + delay_s
        task = f"{job.id}.0.0.0"
        checker.check_start(now, task, 1, "i-0", "spec", (), Resources(9, 9, 9), 0, False)
        assert [text.split()[0] for text in checker.breaches] == ["UNASKED"] * count


class TestStandstill:
    """Work that does not go on in a calm cell is reported, and work that goes on is not."""

    @pytest.mark.parametrize("is_held", [True, False])
    def test_job(self, is_held: bool) -> None:
        async def main(world: World) -> None:
            world.checker.calm_from = world.loop.time()
            await asyncio.sleep(14.0)
            if is_held:
                world.kill_daemon("entry-0")
            step = Step(2, Resources(100, 100, 0), 5.0)
            job = make_job(world, step)
            if is_held:
                record = world.checker.jobs[job.id] = JobRecord(job)
                record.accepted_at = world.loop.time()
            else:
                assert await world.async_submit(job)
            check = asyncio.create_task(async_check_standstill(world))
            await asyncio.sleep(7.0)
            check.cancel()
            assert [text.split()[0] for text in world.checker.breaches] == ["LOST"] * is_held

        run_world(main)

    @pytest.mark.parametrize("is_held", [True, False])
    def test_lasting_task(self, is_held: bool) -> None:
        async def main(world: World) -> None:
            job = make_job(world, Step(1, Resources(100, 100, 0), 1.0, is_lasting=True))
            assert await world.async_submit(job)
            await asyncio.sleep(1.0)
            if is_held:
                world.kill_daemon("entry-0")
                await asyncio.sleep(8.0)
            await async_check_lasting_tasks(world)
            assert [text.split()[0] for text in world.checker.breaches] == ["LOST"] * is_held

        run_world(main)


class TestMembers:
    """A living daemon that the others cannot find is reported."""

    def test_entry_is_gone(self) -> None:
        async def main(world: World) -> None:
            check_members(world)
            assert world.checker.breaches == []
            world.store.delete_prefix(PREFIX_MEMBER)
            check_members(world)
            assert len(world.checker.breaches) == 1

        run_world(main)


class TestKilledPeer:
    """A daemon that is killed while it handles a call of another one does not answer."""

    # Guards against a kill that also ended the request of a caller at another daemon, which then
    # counted as unanswered (impatient schedule 12).
    def test_caller_gets_no_answer(self) -> None:
        world = World(1)

        async def hang(message: object) -> PeerAnswer:
            await asyncio.get_running_loop().create_task(asyncio.sleep(60.0))
            return PeerAnswer(OK)

        async def run_scenario() -> None:
            await world.async_start()
            name, other = sorted(world.daemons)[:2]
            node = world.node_names[name]
            world.network.listeners[node] = hang
            peers = ModelPeers(world.network, world.node_names[other])
            call = asyncio.ensure_future(peers.async_call(node, CountWaiting(), 1.0))
            await asyncio.sleep(0.5)
            world.kill_daemon(name)
            with pytest.raises(NoAnswerError):
                await call

        world.run(run_scenario())
