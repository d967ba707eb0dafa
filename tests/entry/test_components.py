"""Tests of a daemon's components: watches, admission, the journal, advisers and peers."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from itertools import pairwise
from typing import Any

import pytest

from wasabiramp.entry.admission import REFUSED, REPEATED, STORED, UNKNOWN, Admission
from wasabiramp.entry.advisers import ANSWER_MARGIN_RANGE_S, LOCAL, AdviserPool
from wasabiramp.entry.dispatcher import ADVICE_RETRY_S, Dispatcher
from wasabiramp.entry.health import MonitoredStore
from wasabiramp.entry.journal import Journal
from wasabiramp.entry.keys import KEY_COMMITS, KEY_TERM, build_job_key, build_progress_key
from wasabiramp.entry.lag import LOOP_TURNS_PER_CALL, MAX_LAG_S, LoopLag
from wasabiramp.entry.membership import LEASE_TTL_S, RENEWAL_INTERVAL_S, Membership, Tenure
from wasabiramp.entry.owner import OVERLOAD_LAG_S
from wasabiramp.entry.peers import OK, AskAdviser, PeerAnswer, PeerCaller, PeerListener, ShowJob
from wasabiramp.entry.ports import (
    Change,
    EntrySettings,
    HistoryLostError,
    Item,
    NoAnswerError,
    PartialList,
    PeerGoneError,
    StoreConflictError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.entry.supervision import async_log_failure
from wasabiramp.entry.watcher import PrefixWatcher
from wasabiramp.metrics import Metrics
from wasabiramp.model.entry.clock import VirtualLoop
from wasabiramp.model.entry.store import MAX_VALUE_BYTES
from wasabiramp.scheduling.effects import AskAdvice
from wasabiramp.scheduling.events import AdviceFailed
from wasabiramp.scheduling.model import (
    DONE,
    JobDefinition,
    JobProgress,
    Queue,
    Resources,
    Step,
)
from wasabiramp.scheduling.scheduler import Changes
from wasabiramp.scheduling.state import JobRun

QUEUE = Queue("q", "h", "/q/", "s")


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in virtual time."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def make_job(number: int) -> JobDefinition:
    """Return a small job."""
    return JobDefinition(f"{number:016x}", QUEUE, "x", (Step(1, Resources(1, 1, 0), 1.0),))


class ScriptedStore:
    """A store with scripted answers: exceptions are raised, other values returned."""

    def __init__(self, **answers: list[Any]) -> None:
        """Store the answers by kind of call."""
        self._answers = answers
        self.commits: list[Transaction] = []

    def _next(self, call: str) -> Any:
        """Return the next answer of a call."""
        answer = self._answers[call].pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def async_list(self, prefix: str) -> Any:
        """Return a list."""
        await asyncio.sleep(0.001)
        return self._next("lists")

    async def async_watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Return the next changes, or wait for an hour once there are none."""
        await asyncio.sleep(0.001)
        if not self._answers["watches"]:
            await asyncio.sleep(3600)
        return self._next("watches")

    async def async_commit(self, transaction: Transaction) -> Any:
        """Record a copy of the transaction."""
        await asyncio.sleep(0.001)
        self.commits.append(
            Transaction(
                dict(transaction.expected), dict(transaction.writes), list(transaction.removed)
            )
        )
        return self._next("commits")

    async def async_renew(self, lease: int) -> None:
        """Answer a renewal."""
        self._next("renewals")


class TestPrefixWatcher:
    """A copy of a prefix is complete after gaps, and its revisions never decrease."""

    def watch(self, store: ScriptedStore, seconds: float = 1.0) -> list[tuple[str, int | None]]:
        seen: list[tuple[str, int | None]] = []

        async def run_scenario() -> None:
            watcher = PrefixWatcher(
                store, "p/", 1.0, lambda key, item: seen.append((key, item and item.revision))
            )
            task = asyncio.get_running_loop().create_task(watcher.async_run())
            await asyncio.sleep(seconds)
            task.cancel()

        run(run_scenario())
        return seen

    def test_list_again_after_lost_history(self) -> None:
        store = ScriptedStore(
            lists=[([Item("p/a", b"", 3), Item("p/b", b"", 4)], 5), ([Item("p/b", b"", 7)], 9)],
            watches=[HistoryLostError("p/")],
        )
        assert self.watch(store) == [("p/a", 3), ("p/b", 4), ("p/a", None), ("p/b", 7)]

    def test_list_that_is_older_than_the_copy_is_dropped(self) -> None:
        store = ScriptedStore(
            lists=[([Item("p/a", b"", 8)], 8), ([Item("p/a", b"", 3)], 4), ([], 9)],
            watches=[HistoryLostError("p/")],
        )
        assert self.watch(store) == [("p/a", 8), ("p/a", None)]

    # Guards against TWICE: a job that a stale list lacked would have counted as over.
    def test_list_that_is_older_than_the_copy_confirms_nothing(self) -> None:
        stale: Any = ([], 4)
        store = ScriptedStore(
            lists=[([Item("p/a", b"", 8)], 8)] + 20 * [stale], watches=[HistoryLostError("p/")]
        )
        confirmed_at: list[float | None] = []

        async def run_scenario() -> None:
            watcher = PrefixWatcher(store, "p/", 1.0, lambda key, item: None)
            task = asyncio.get_running_loop().create_task(watcher.async_run())
            for _ in range(2):
                await asyncio.sleep(0.3)
                confirmed_at.append(watcher.confirmed_at)
            task.cancel()

        run(run_scenario())
        assert confirmed_at[0] is not None and confirmed_at[0] == confirmed_at[1]

    def test_older_change_is_dropped(self) -> None:
        late = Change("p/a", 5, Item("p/a", b"", 5))
        store = ScriptedStore(lists=[([Item("p/a", b"", 8)], 8)], watches=[([late], 9)])
        assert self.watch(store) == [("p/a", 8)]

    def test_changes_that_come_together_cost_few_calls(self) -> None:
        """Load pattern: 175 executors write their entries; each change alone would end a watch."""
        changes = [([Change("p/a", n, Item("p/a", b"", n))], n) for n in range(3, 40)]
        store = ScriptedStore(lists=[([], 2)], watches=changes)
        seen = self.watch(store, 0.5)
        assert 5 <= len(seen) <= 10

    def test_watch_survives_an_outage(self) -> None:
        store = ScriptedStore(
            lists=[StoreRefusedError("503"), StoreUnknownError("lost"), ([], 2)], watches=[]
        )
        assert self.watch(store, 3.0) == []


class SlowStore(ScriptedStore):
    """A store that answers renewals slowly, and records when they were sent."""

    def __init__(self) -> None:
        """Script the answers with which the daemon joins at once."""
        super().__init__(lists=[([], 1)], watches=[], commits=list(range(2, 60)))
        self.sent_at: list[float] = []

    async def async_grant(self, ttl_s: float) -> int:
        """Return a lease."""
        return 5

    async def async_renew(self, lease: int) -> None:
        """Answer after 0.6 of the lease."""
        self.sent_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0.6 * LEASE_TTL_S)


class TestRenewal:
    """The store answers slowly: renewals do not wait for earlier answers."""

    def test_renewals_are_sent_in_time(self) -> None:
        store = SlowStore()
        settings = EntrySettings("a", "z", "", "", "x:1", "", "", "", 6.0, 6.0, 120.0, 2.0, 1.0, 9)

        async def run_scenario() -> None:
            membership = Membership(
                settings,
                store,
                lambda tenure: None,
                lambda reason: None,
                asyncio.get_running_loop().time,
            )
            membership.start()
            await asyncio.sleep(4.0)
            assert membership.is_confirmed()
            membership.stop()

        run(run_scenario())
        gaps = [after - before for before, after in pairwise(store.sent_at)]
        assert len(gaps) >= 10
        assert max(gaps) <= 1.2 * RENEWAL_INTERVAL_S


class TestLoopLag:
    """On a slow machine, timeouts are extended by the delay of the process itself."""

    def test_late_timers_extend_timeouts(self) -> None:
        loop = VirtualLoop()
        lag = LoopLag()

        async def run_scenario() -> None:
            lag.start()
            await asyncio.sleep(1.0)
            assert lag.extend(0.3) == pytest.approx(0.3)
            loop.pause("", loop.time() + 0.3)
            await asyncio.sleep(0.0)
            await asyncio.sleep(0.06)
            assert lag.extend(0.3) > 0.3 + 2 * 0.2
            await asyncio.sleep(3.0)
            assert lag.extend(0.3) < 0.32
            lag.stop()

        loop.run_until_complete(run_scenario())
        loop.close()

    def test_pause_of_a_minute_counts_little(self) -> None:
        loop = VirtualLoop()
        lag = LoopLag()

        async def run_scenario() -> None:
            lag.start()
            loop.pause("", loop.time() + 60.0)
            await asyncio.sleep(0.0)
            await asyncio.sleep(0.06)
            assert lag.extend(0.3) <= 0.3 + LOOP_TURNS_PER_CALL * MAX_LAG_S
            await asyncio.sleep(0.5)
            assert lag.value_s < OVERLOAD_LAG_S
            lag.stop()

        loop.run_until_complete(run_scenario())
        loop.close()


class TestAdmission:
    """A job is stored once, and callers only learn what is certain."""

    def admit(self, store: ScriptedStore, count: int) -> list[tuple[str, int]]:
        found: list[tuple[str, int]] = []

        async def run_scenario() -> None:
            admission = Admission(store, MAX_VALUE_BYTES)
            task = asyncio.get_running_loop().create_task(admission.async_run())
            jobs = (admission.async_store(make_job(number)) for number in range(count))
            found.extend(await asyncio.gather(*jobs))
            task.cancel()

        run(run_scenario())
        return found

    def test_jobs_that_come_together_share_a_commit(self) -> None:
        store = ScriptedStore(commits=[7])
        assert self.admit(store, 5) == [(STORED, 7)] * 5
        assert store.commits[0].size <= 32

    def test_many_jobs_keep_to_the_stores_limit(self) -> None:
        store = ScriptedStore(commits=[7, 8, 9])
        self.admit(store, 25)
        assert [commit.size <= 32 for commit in store.commits] == [True] * 3

    def test_repeat_does_not_block_the_others(self) -> None:
        key = build_job_key(make_job(1).id)
        conflict = StoreConflictError({key: Item(key, b"", 4)})
        store = ScriptedStore(commits=[conflict, 9])
        assert self.admit(store, 3) == [(STORED, 9), (REPEATED, 0), (STORED, 9)]

    def test_ended_job_is_a_repeat(self) -> None:
        key = build_progress_key(make_job(0).id)
        store = ScriptedStore(commits=[StoreConflictError({key: Item(key, b"", 4)})])
        assert self.admit(store, 1) == [(REPEATED, 0)]

    @pytest.mark.parametrize(
        ("error", "outcome"),
        [(StoreRefusedError("503"), REFUSED), (StoreUnknownError("lost"), UNKNOWN)],
    )
    def test_outcome_of_a_failed_commit(self, error: Exception, outcome: str) -> None:
        assert self.admit(ScriptedStore(commits=[error]), 1) == [(outcome, 0)]


class TestJournal:
    """Commits form a chain: the outcome of a lost one is resolved, and a late one has no effect."""

    def store_ended_job(self, store: ScriptedStore) -> tuple[bool, list[str]]:
        losses: list[str] = []
        outcome: list[bool] = []

        async def run_scenario() -> None:
            journal = Journal(store, Tenure(1, 50), losses.append, MAX_VALUE_BYTES)
            job = JobRun(make_job(1), JobProgress(DONE), 0.0)
            outcome.append(await journal.async_store(Changes([job], None, {}, {})))

        run(run_scenario())
        return outcome[0], losses

    def test_conditions_and_final_record(self) -> None:
        store = ScriptedStore(commits=[60])
        assert self.store_ended_job(store) == (True, [])
        commit = store.commits[0]
        assert commit.expected == {KEY_TERM: 50, KEY_COMMITS: 0}
        assert commit.removed == [build_job_key(make_job(1).id)]
        assert build_progress_key(make_job(1).id) in commit.writes

    def test_lost_commit_that_was_applied(self) -> None:
        conflict = StoreConflictError({KEY_COMMITS: Item(KEY_COMMITS, b"50.1", 60)})
        store = ScriptedStore(commits=[StoreUnknownError("lost"), conflict])
        assert self.store_ended_job(store) == (True, [])

    def test_lost_commit_that_was_not_applied_is_retried(self) -> None:
        store = ScriptedStore(commits=[StoreUnknownError("lost"), 60])
        assert self.store_ended_job(store) == (True, [])
        assert store.commits[0].expected == store.commits[1].expected

    def test_refusals_do_not_resolve_a_lost_commit(self) -> None:
        refused = StoreRefusedError("503")
        lost = StoreUnknownError("lost")
        store = ScriptedStore(commits=[lost, refused, refused, 60])
        unanswered: list[bool] = []

        async def run_scenario() -> None:
            journal = Journal(store, Tenure(1, 50), lambda reason: None, MAX_VALUE_BYTES)
            job = JobRun(make_job(1), JobProgress(DONE), 0.0)
            for _ in range(3):
                await journal.async_store(Changes([job], None, {}, {}))
                unanswered.append(journal.has_unanswered_commit)

        run(run_scenario())
        assert unanswered == [True, True, False]

    def test_other_term_ends_the_ownership(self) -> None:
        conflict = StoreConflictError({KEY_TERM: Item(KEY_TERM, b"", 70)})
        stored, losses = self.store_ended_job(ScriptedStore(commits=[conflict]))
        assert not stored
        assert len(losses) == 1


class TestHealth:
    """The store counts as unavailable after failures without an answer in between."""

    def test_unavailable_and_recovered(self) -> None:
        async def run_scenario() -> None:
            refused = StoreRefusedError("503")
            store = MonitoredStore(ScriptedStore(renewals=[None, refused, refused, None]))
            await store.async_renew(1)
            with pytest.raises(StoreRefusedError):
                await store.async_renew(1)
            assert not store.is_unavailable()
            await asyncio.sleep(1.0)
            with pytest.raises(StoreRefusedError):
                await store.async_renew(1)
            assert store.is_unavailable()
            await store.async_renew(1)
            assert not store.is_unavailable()

        run(run_scenario())


class SlowAdviser:
    """An adviser that answers after 0.5 s, and counts questions."""

    def __init__(self) -> None:
        """Start without questions."""
        self.asked = 0

    async def async_ask(self, step: str, executors: list[str], timeout_s: float) -> Any:
        """Answer a question."""
        self.asked += 1
        await asyncio.sleep(0.5)
        return {}, 2.5


class CountingPeers:
    """Peers that count the questions by daemon."""

    def __init__(self, silent: str = "") -> None:
        """Let calls to one daemon have no answer."""
        self._silent = silent
        self.asked: list[str] = []

    async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Answer a question."""
        self.asked.append(address)
        if address == self._silent:
            raise NoAnswerError(address)
        await asyncio.sleep(0.5)
        return PeerAnswer(OK, ({}, 2.5))

    def close(self) -> None:
        """Do nothing."""


class TestAdviserPool:
    """Slow questions go to the daemon that is free first; the owner asks cheap ones itself."""

    def test_slow_questions_are_distributed(self) -> None:
        peers, adviser = CountingPeers(), SlowAdviser()

        async def run_scenario() -> None:
            pool = AdviserPool(adviser, peers, lambda: ["a", "b", "c"])
            await asyncio.gather(*(pool.async_ask("s", [], 0.5) for _ in range(6)))

        run(run_scenario())
        assert sorted(peers.asked) == ["a", "a", "b", "b", "c", "c"]
        assert adviser.asked == 0

    def test_cheap_question_is_asked_locally(self) -> None:
        peers, adviser = CountingPeers(), SlowAdviser()

        async def run_scenario() -> None:
            pool = AdviserPool(adviser, peers, lambda: ["a", "b"])
            await pool.async_ask("s", [], 0.01)

        run(run_scenario())
        assert (peers.asked, adviser.asked) == ([], 1)

    def test_silent_daemon_is_avoided(self) -> None:
        peers = CountingPeers(silent="a")

        async def run_scenario() -> None:
            pool = AdviserPool(SlowAdviser(), peers, lambda: ["a", "b"])
            with pytest.raises(NoAnswerError):
                await pool.async_ask("s", [], 0.5)
            await pool.async_ask("s", [], 0.5)
            await pool.async_ask("s", [], 0.5)

        run(run_scenario())
        assert peers.asked == ["a", "b", "b"]


class KilledPeers:
    """Peers that answer in time until they are killed."""

    def __init__(self) -> None:
        """Start with all peers alive."""
        self.is_alive = True

    async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Answer after half a second, or time out."""
        if self.is_alive:
            await asyncio.sleep(0.5)
            return PeerAnswer(OK, ({}, 2.5))
        await asyncio.sleep(timeout_s)
        raise NoAnswerError(address)

    def close(self) -> None:
        """Do nothing."""


class TestLostQuestion:
    """Load pattern: the daemon that asks the adviser is killed while quotes wait for its answer."""

    def test_cheap_question_is_given_up_soon(self) -> None:
        """A quote has about 0.6 s to spare, so a lost question must cost less than half of it."""
        took_s = 0.0

        async def run_scenario() -> None:
            nonlocal took_s
            loop = asyncio.get_running_loop()
            peers = KilledPeers()
            pool = AdviserPool(SlowAdviser(), peers, lambda: ["a"])
            await pool.async_ask("s", [], 0.5)
            peers.is_alive = False
            busy = asyncio.ensure_future(pool.async_ask("s", [], 0.02))
            await asyncio.sleep(0)
            started_at = loop.time()
            with pytest.raises(NoAnswerError):
                await pool.async_ask("s", [], 0.02)
            took_s = loop.time() - started_at + ADVICE_RETRY_S
            await busy

        run(run_scenario())
        assert took_s <= 0.4

    def test_late_answers_extend_the_margin(self) -> None:
        """Guards against asking twice while the adviser or the path is slow."""

        async def run_scenario() -> None:
            pool = AdviserPool(SlowAdviser(), KilledPeers(), list)
            for _ in range(4):
                await pool.async_ask("s", [], 0.01)
            assert pool._margins.get_timeout(LOCAL) == ANSWER_MARGIN_RANGE_S[1]

        run(run_scenario())


class SerialPeers:
    """Daemons through which the adviser answers one question after the other."""

    def __init__(self) -> None:
        """Start without questions."""
        self._locks: dict[str, asyncio.Lock] = {}

    async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Answer after the time that the step is named after."""
        async with self._locks.setdefault(address, asyncio.Lock()):
            await asyncio.sleep(float(message.step))
        return PeerAnswer(OK, ({}, 2.5))

    async def async_ask(self, step: str, executors: list[str], timeout_s: float) -> Any:
        """Answer as the adviser does to this daemon itself."""
        return (await self.async_call(LOCAL, AskAdviser(step, executors, timeout_s), 9.0)).value

    def close(self) -> None:
        """Do nothing."""


class TestBacklogAfterRestart:
    """Load pattern: few daemons are back, and quotes and batch work wait for advice on all steps.

    Seen in trouble-2 of driftglass-ktm-grown: batch questions of 0.9 s occupied all other daemons,
    so that 115 quotes were asked about one by one for 0.7 s.
    """

    def answer_backlog(self, peers: list[str], joining: list[str]) -> tuple[float, float]:
        """Return when all cheap and all expensive questions are answered; some daemons join."""
        ended_at = {}

        async def run_scenario() -> None:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            daemons = list(peers)
            serial = SerialPeers()
            pool = AdviserPool(serial, serial, lambda: daemons)

            async def async_ask_all(name: str, cost: str, count: int) -> None:
                await asyncio.gather(*(pool.async_ask(cost, [], float(cost)) for _ in range(count)))
                ended_at[name] = loop.time() - started_at

            loop.call_later(0.5, daemons.extend, joining)
            await asyncio.gather(
                async_ask_all("expensive", "0.9", 12), async_ask_all("cheap", "0.04", 60)
            )

        run(run_scenario())
        return ended_at["cheap"], ended_at["expensive"]

    def test_expensive_questions_leave_daemons_to_cheap_ones(self) -> None:
        cheap_s, _expensive_s = self.answer_backlog(["a", "b", "c", "d", "e"], [])
        assert cheap_s <= 60 * 0.04 / 3 + 0.1

    def test_daemons_that_just_started_are_asked_last(self) -> None:
        """Guards against quotes that wait for a daemon that still loads its configuration."""
        asked: list[str] = []

        class RecordingPeers(SerialPeers):
            async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
                asked.append(address)
                return await super().async_call(address, message, timeout_s)

        async def run_scenario() -> None:
            serial = RecordingPeers()
            daemons = ["known"]
            pool = AdviserPool(serial, serial, lambda: daemons)
            await asyncio.gather(*(pool.async_ask("0.04", [], 0.04) for _ in range(3)))
            daemons.append("new")
            asked.clear()
            await asyncio.gather(*(pool.async_ask("0.04", [], 0.04) for _ in range(4)))

        run(run_scenario())
        assert set(asked) == {LOCAL, "known"}

    def test_daemons_that_join_take_waiting_questions(self) -> None:
        joining = [f"j{number}" for number in range(10)]
        _cheap_s, expensive_s = self.answer_backlog(["a", "b", "c"], joining)
        assert expensive_s <= 2.9

    def test_cancelled_question_leaves_its_daemon_to_others(self) -> None:
        async def run_scenario() -> None:
            serial = SerialPeers()
            pool = AdviserPool(serial, serial, lambda: ["a"])
            first, second, third = (
                asyncio.ensure_future(pool.async_ask("0.9", [], 0.9)) for _ in range(3)
            )
            await asyncio.sleep(0.1)
            first.cancel()
            second.cancel()
            async with asyncio.timeout(1.9):
                await third

        run(run_scenario())


class TestDispatcher:
    """The scheduler gets an event for each question, also if asking fails unexpectedly."""

    def test_unexpected_error_of_a_question_is_an_answer(self) -> None:
        """Guards against a step that never asks again, as its last question has no outcome."""
        events: list[Any] = []

        class BrokenPool:
            async def async_ask(self, *_options: Any) -> Any:
                raise KeyError("a fault of a library")

        async def run_scenario() -> None:
            tasks: list[asyncio.Task[None]] = []
            dispatcher = Dispatcher(
                executors=None,
                advisers=BrokenPool(),
                metrics=Metrics(),
                spawn=lambda work: tasks.append(asyncio.ensure_future(async_log_failure(work))),
                reduce=events.append,
                get_fencing_token=lambda: 1,
                async_wait_for_tenure=None,
                lag=LoopLag(),
            )
            dispatcher.send(AskAdvice("a.0.0", ["e0"], 0.1))
            await asyncio.gather(*tasks)

        run(run_scenario())
        assert [type(event) for event in events] == [AdviceFailed]


class TestPeers:
    """Calls between daemons over loopback."""

    def test_call_and_refused_connection(self) -> None:
        async def serve(message: Any) -> PeerAnswer:
            return PeerAnswer(OK, message.job)

        async def run_scenario() -> None:
            server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            listener, caller = PeerListener(serve), PeerCaller(LoopLag())
            await listener.async_start(f"127.0.0.1:{port}")
            answer = await caller.async_call(f"127.0.0.1:{port}", ShowJob("x"), 2.0)
            assert answer.value == "x"
            await listener.async_stop()
            caller.close()
            with pytest.raises(PeerGoneError):
                await PeerCaller(LoopLag()).async_call(f"127.0.0.1:{port}", ShowJob("x"), 2.0)

        asyncio.run(run_scenario())


class TestPartialList:
    """A list that lacks rows does not show that the copy is complete."""

    # Guards against TWICE: a list that may lack a job confirms that all stored jobs are known.
    def test_partial_list_confirms_nothing(self) -> None:
        partial: Any = (PartialList([]), 8)
        store = ScriptedStore(lists=20 * [partial], watches=[])
        confirmed: list[Any] = []

        async def run_scenario() -> None:
            watcher = PrefixWatcher(store, "p/", 1.0, lambda key, item: None)
            task = asyncio.get_running_loop().create_task(watcher.async_run())
            await asyncio.sleep(0.02)
            confirmed.append(watcher.confirmed_at)
            task.cancel()

        run(run_scenario())
        assert confirmed == [None]
