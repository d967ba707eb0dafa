"""Tests of the entries of executors in the store."""

from __future__ import annotations

import asyncio
from random import Random

from stand_ins.platform_executors import PlatformExecutors
from stand_ins.platform_store import PlatformStore
from stand_ins.reports import HEARTBEAT_S, UNLISTED_S, ExecutorReports
from tests.platform_stand_ins.helpers import make_entry, run_virtual
from wasabiramp.model.entry.checker import HistoryChecker

KEY = "servers/i-0"
OUTAGE_S = UNLISTED_S + HEARTBEAT_S


class Fleet:
    """One executor that reports to a store."""

    def __init__(self) -> None:
        """List the executor."""
        self.store = PlatformStore(Random(1))
        executors = PlatformExecutors(Random(1), HistoryChecker(0.0))
        self.reports = ExecutorReports(self.store, executors, Random(1))
        executors.on_add = self.reports.report
        self.executor = executors.add(make_entry())
        self._task = asyncio.create_task(self.reports.async_run())

    @property
    def is_listed(self) -> bool:
        """Return whether the store has the executor's entry."""
        return KEY in self.store.items

    def stop(self) -> None:
        """Stop the reports."""
        self._task.cancel()


class TestEntry:
    """An executor's entry is there while it reports, and leaves after its silence."""

    def test_entry_is_written_once_while_nothing_changes(self) -> None:
        async def async_play() -> int:
            fleet = Fleet()
            revision = fleet.store.items[KEY].revision
            await asyncio.sleep(4 * HEARTBEAT_S)
            fleet.stop()
            return fleet.store.items[KEY].revision - revision

        assert run_virtual(async_play()) == 0

    def test_report_that_is_due_later_is_not_sent_before(self) -> None:
        async def async_play() -> list[bool]:
            fleet = Fleet()
            fleet.executor.crash()
            await asyncio.sleep(HEARTBEAT_S)
            fleet.executor.begin_incarnation(2_000)
            fleet.reports.report_later(fleet.executor, HEARTBEAT_S)
            revision = fleet.store.items[KEY].revision
            await asyncio.sleep(HEARTBEAT_S - 0.1)
            is_new_before = fleet.store.items[KEY].revision > revision
            await asyncio.sleep(0.2)
            fleet.stop()
            return [is_new_before, fleet.store.items[KEY].revision > revision]

        assert run_virtual(async_play()) == [False, True]

    def test_entry_of_a_crashed_executor_is_removed(self) -> None:
        async def async_play() -> list[bool]:
            fleet = Fleet()
            fleet.executor.crash()
            await asyncio.sleep(UNLISTED_S - 0.1)
            is_listed_before = fleet.is_listed
            await asyncio.sleep(HEARTBEAT_S)
            fleet.stop()
            return [is_listed_before, fleet.is_listed]

        assert run_virtual(async_play()) == [True, False]

    def test_entry_that_ran_out_in_an_outage_is_back_after_two_seconds(self) -> None:
        # Guards against a soak whose owners never meet an incomplete list of executors.
        async def async_play() -> list[bool]:
            fleet = Fleet()
            outage = fleet.store.begin_outage(True, refuses=True)
            await asyncio.sleep(OUTAGE_S)
            fleet.store.end_outage(outage)
            is_listed_at_once = fleet.is_listed
            await asyncio.sleep(2.0)
            fleet.stop()
            return [is_listed_at_once, fleet.is_listed]

        assert run_virtual(async_play()) == [False, True]

    def test_entry_outlives_an_outage_in_which_leases_pause(self) -> None:
        async def async_play() -> bool:
            fleet = Fleet()
            outage = fleet.store.begin_outage(False, refuses=True)
            await asyncio.sleep(OUTAGE_S)
            is_listed = fleet.is_listed
            fleet.store.end_outage(outage)
            fleet.stop()
            return is_listed

        assert run_virtual(async_play())
