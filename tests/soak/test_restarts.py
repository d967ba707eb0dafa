"""Tests of the faults in which executors restart under their ids beside cuts."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from soak.faults import Fault
from soak.restarts import (
    CUT_S,
    DOWNTIME_S,
    async_restart_and_cut,
    async_restart_and_cut_rack,
    async_restart_behind_cut,
    async_restart_kill_owner_and_cut,
)
from stand_ins.paths import HELD, Cut
from stand_ins.platform_executors import PlatformExecutors
from tests.platform_stand_ins.helpers import make_entry, run_virtual
from wasabiramp.model.entry.checker import HistoryChecker
from wasabiramp.model.entry.executors import ModelExecutor

SEEDS = range(10)
EXECUTORS = 4


class FakeCell:
    """A cell, platform and owner of some executors of one rack, which records what happens."""

    def __init__(self) -> None:
        """Add the executors."""
        self.executors = PlatformExecutors(Random(1), HistoryChecker(0.0))
        for number in range(EXECUTORS):
            self.executors.add(make_entry(f"i-{number}"))
        self.platform = self
        self.name = "entry-0"
        self.cuts: list[Cut] = []
        # What happened, with the time and the executors.
        self.events: list[tuple[str, float, frozenset[str]]] = []

    def _add(self, what: str, names: frozenset[str] = frozenset()) -> None:
        """Record an event."""
        self.events.append((what, asyncio.get_running_loop().time(), names))

    def note(self, text: str) -> None:
        """Ignore a note."""

    def find_owner(self) -> FakeCell:
        """Return the owner."""
        return self

    async def async_kill(self) -> None:
        """Kill the owner."""
        self._add("kill")

    def start(self) -> None:
        """Start the owner."""
        self._add("start")

    async def async_cut(self, cut: Cut) -> None:
        """Begin a cut."""
        assert cut.daemons is None
        self.cuts.append(cut)
        self._add("cut", cut.executors)

    async def async_heal(self, cut: Cut) -> None:
        """End a cut."""
        self._add("heal", cut.executors)

    async def async_crash_executor(self, executor: ModelExecutor, downtime_s: float) -> None:
        """Crash and restart an executor."""
        assert DOWNTIME_S[0] <= downtime_s <= DOWNTIME_S[1]
        await asyncio.sleep(downtime_s)
        self._add("restart", frozenset({executor.entry.id}))


def play(fault: Fault, seed: int) -> FakeCell:
    """Play a fault and return the cell."""

    async def async_play() -> FakeCell:
        cell: Any = FakeCell()
        await fault(cell, Random(seed))
        return cell

    return run_virtual(async_play())


class TestRestarts:
    """Executors restart and are cut off, and the cut ends."""

    @pytest.mark.parametrize("fault", [async_restart_and_cut, async_restart_and_cut_rack])
    def test_cut_follows_the_restart(self, fault: Fault) -> None:
        for seed in SEEDS:
            cell = play(fault, seed)
            assert [what for what, *_ in cell.events[-2:]] == ["cut", "heal"]
            (_, cut_at, names), (_, healed_at, _) = cell.events[-2:]
            assert CUT_S[0] <= healed_at - cut_at <= CUT_S[1]
            restarts = [names for what, _at, names in cell.events if what == "restart"]
            assert frozenset().union(*restarts) == names
            assert len(names) == (1 if fault is async_restart_and_cut else EXECUTORS)

    def test_most_cuts_hold_bytes(self) -> None:
        modes = [play(async_restart_and_cut, seed).cuts[0].mode for seed in range(40)]
        assert modes.count(HELD) > len(modes) / 3
        assert len(set(modes)) == 3

    def test_owner_is_killed_after_the_restart(self) -> None:
        for seed in SEEDS:
            events = [what for what, *_ in play(async_restart_kill_owner_and_cut, seed).events]
            assert events[: EXECUTORS + 1] == EXECUTORS * ["restart"] + ["kill"]
            assert set(events[EXECUTORS + 1 :]) == {"start", "cut", "heal"}

    def test_restart_behind_a_cut_is_within_it(self) -> None:
        for seed in SEEDS:
            cell = play(async_restart_behind_cut, seed)
            events = [what for what, *_ in cell.events]
            assert events[0] == "cut"
            assert events[-1] == "heal"
            assert set(events[1:-1]) == {"restart"}
            assert cell.cuts[0].mode == HELD
