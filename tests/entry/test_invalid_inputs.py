"""Tests of invalid inputs of other writers: entries of executors, and the log of such inputs."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from tests.entry.test_owner import make_job
from wasabiramp.core.records import DecodeError
from wasabiramp.entry import invalid_inputs
from wasabiramp.entry.invalid_inputs import (
    LOG_INTERVAL_S,
    MAX_LINES_PER_INTERVAL,
    InvalidInputs,
)
from wasabiramp.entry.ports import Change, Item, PartialList
from wasabiramp.entry.supervision import async_keep_running
from wasabiramp.entry.watcher import PrefixWatcher
from wasabiramp.model.entry.clock import VirtualLoop
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.world import ModelCodec, World
from wasabiramp.scheduling.model import CellConfig

Lines = list[dict[str, Any]]


@pytest.fixture(name="lines")
def collect_lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """Return the fields of the lines that are logged about invalid inputs."""
    lines: Lines = []
    monkeypatch.setattr(
        invalid_inputs, "log_event", lambda event, **fields: lines.append({"event": event} | fields)
    )
    return lines


class TestInvalidInputs:
    """One line for each key and reason, within a limit."""

    def run(self, scenario: Any) -> None:
        """Run a scenario with a log, in virtual time."""
        loop = VirtualLoop()
        loop.run_until_complete(scenario(InvalidInputs("input_invalid")))
        loop.close()

    def test_line_names_key_and_reason_once(self, lines: Lines) -> None:
        async def scenario(inputs: InvalidInputs) -> None:
            assert inputs.add("k", DecodeError("born: expected a number"))
            for _ in range(5):
                assert not inputs.add("k", DecodeError("born: expected a number"))
            assert not inputs.add("k", DecodeError("state: expected a text"))
            inputs.remove("k")
            assert inputs.add("k", DecodeError("state: expected a text"))

        self.run(scenario)
        assert [(line["key"], line["error"]) for line in lines] == [
            ("k", "born: expected a number"),
            ("k", "state: expected a text"),
            ("k", "state: expected a text"),
        ]

    def test_lines_are_limited_and_the_others_counted(self, lines: Lines) -> None:
        async def scenario(inputs: InvalidInputs) -> None:
            for number in range(3 * MAX_LINES_PER_INTERVAL):
                inputs.add(f"k{number}", DecodeError("born: expected a number"))
            assert len(lines) == MAX_LINES_PER_INTERVAL
            await asyncio.sleep(LOG_INTERVAL_S)
            inputs.add("last", DecodeError("born: expected a number"))
            assert len(inputs) == 3 * MAX_LINES_PER_INTERVAL + 1

        self.run(scenario)
        assert lines[-1]["omitted"] == 2 * MAX_LINES_PER_INTERVAL
        assert lines[-1]["invalid"] == 3 * MAX_LINES_PER_INTERVAL + 1


class ItemStore:
    """A store with one list, and watches that return scripted changes."""

    def __init__(self, items: list[Item], watches: list[list[Change]]) -> None:
        """Return the items from each list, and the changes from successive watches."""
        self._items = items
        self._watches = watches
        self.lists = 0

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return the items."""
        self.lists += 1
        return self._items, 10

    async def async_watch(self, prefix: str, after: int, wait_s: float) -> tuple[Any, int]:
        """Return the next changes, or wait for an hour once there are none."""
        if not self._watches:
            await asyncio.sleep(3600)
        changes = self._watches.pop(0)
        return changes, changes[-1].revision


class TestFailedChange:
    """A change whose handler fails affects neither other items nor the watch."""

    def watch(self, store: ItemStore) -> list[str]:
        """Watch with a handler that fails for keys with `odd`; return the other keys in order."""
        seen = []

        def handle(key: str, item: Item | None) -> None:
            if "odd" in key:
                raise RecursionError("too deep")
            seen.append(key)

        async def run_scenario() -> None:
            watcher = PrefixWatcher(store, "p/", 1.0, handle)  # type: ignore[arg-type]
            work = async_keep_running("watch", watcher.async_run)
            task = asyncio.get_running_loop().create_task(work)
            await asyncio.sleep(2.0)
            assert watcher.synced.is_set()
            task.cancel()

        loop = VirtualLoop()
        loop.run_until_complete(run_scenario())
        loop.close()
        return seen

    # Guards against lists that are read again and again: one for each item whose handler fails.
    def test_list(self, lines: Lines) -> None:
        items = [Item(f"p/odd-{n}", b"", 5) for n in range(200)] + [Item("p/z", b"", 5)]
        store = ItemStore(items, [])
        assert self.watch(store) == ["p/z"]
        assert store.lists == 1
        assert len(lines) == MAX_LINES_PER_INTERVAL

    def test_watch(self, lines: Lines) -> None:
        def change(key: str, revision: int) -> Change:
            return Change(key, revision, Item(key, b"", revision))

        odd_beats = [[change("p/odd", n), change(f"p/{n}", n)] for n in range(11, 21)]
        removal = [Change("p/odd", 30, None), Change("p/12", 31, None)]
        store = ItemStore([], [*odd_beats, removal])
        assert self.watch(store) == [f"p/{n}" for n in range(11, 21)] + ["p/12"]
        assert store.lists == 1
        assert [line["key"] for line in lines] == ["p/odd"]


class TestPartialAnswers:
    """Nothing is concluded from what a partial list or partial changes lack."""

    def watch(self, store: Any) -> list[tuple[str, int | None]]:
        """Watch for two seconds; return the reported keys and revisions."""
        seen: list[tuple[str, int | None]] = []

        async def run_scenario() -> None:
            watcher = PrefixWatcher(
                store, "p/", 1.0, lambda key, item: seen.append((key, item and item.revision))
            )
            task = asyncio.get_running_loop().create_task(watcher.async_run())
            await asyncio.sleep(2.0)
            task.cancel()

        loop = VirtualLoop()
        loop.run_until_complete(run_scenario())
        loop.close()
        return seen

    # Guards against the removal of items that an answer of the store could not show.
    def test_item_that_a_partial_list_lacks_is_not_removed(self) -> None:
        store = ItemStore([Item("p/a", b"", 5), Item("p/b", b"", 5)], [])
        change = Change("p/a", 11, Item("p/a", b"", 11))
        store._watches.append(PartialList([change]))
        first_list = store._items

        async def async_list(prefix: str) -> tuple[list[Item], int]:
            store.lists += 1
            return first_list if store.lists == 1 else PartialList([Item("p/b", b"", 12)]), 12

        store.async_list = async_list  # type: ignore[method-assign]
        assert self.watch(store) == [("p/a", 5), ("p/b", 5), ("p/a", 11), ("p/b", 12)]
        assert store.lists == 2

    def test_item_without_revision_keeps_the_known_one(self) -> None:
        store = ItemStore([Item("p/a", b"good", 5)], [])
        store._watches.append(PartialList([Change("p/c", 11, Item("p/c", b"", 11))]))
        first_list = store._items

        async def async_list(prefix: str) -> tuple[list[Item], int]:
            store.lists += 1
            return first_list if store.lists == 1 else [Item("p/a", b"", 0)], 12

        store.async_list = async_list  # type: ignore[method-assign]
        assert self.watch(store) == [("p/a", 5), ("p/c", 11), ("p/c", None)]


class TestEntriesOfOtherWriters:
    """Invalid entries beside good ones: the jobs run, and the owner and its watch go on."""

    def put_entry(self, world: World, key: str, value: bytes) -> None:
        """Write an entry under the prefix of the executors."""
        world.store.put(ModelCodec.executors_prefix + key, value, 0)

    async def async_run_jobs(self, world: World, first: int) -> None:
        """Run some jobs to their end."""
        for number in range(first, first + 8):
            assert await world.async_submit(make_job(world, number))
        await world.async_wait_for_jobs(20.0)

    # Guards against a log line for each heartbeat of an invalid entry, and for hundreds of them.
    def test_hundreds_of_entries_in_list_and_watch(self, lines: Lines) -> None:
        world = World(11)

        async def run_scenario() -> None:
            await world.async_start()
            for number in range(300):
                self.put_entry(world, f"odd-{number}", b"odd")
            for beat in range(10):
                for number in range(300):
                    self.put_entry(world, f"odd-{number}", b"odd" + bytes([beat]))
                await asyncio.sleep(0.5)
            await self.async_run_jobs(world, 0)
            owner = find_owner(world)
            assert owner is not None
            assert len(lines) == MAX_LINES_PER_INTERVAL
            world.kill_daemon(owner)
            await self.async_run_jobs(world, 100)
            successor = find_owner(world)
            assert successor is not None
            executors = world.daemons[successor].owner.scheduler.state.executors
            assert sorted(executors) == [f"i-{number}" for number in range(8)]

        world.run(run_scenario())
        assert world.checker.breaches == []
        assert len(lines) <= 2 * MAX_LINES_PER_INTERVAL
        assert {line["event"] for line in lines} == {"executor_entry_invalid"}

    def test_good_entry_that_turns_invalid_and_good_again(self, lines: Lines) -> None:
        world = World(12)

        async def run_scenario() -> None:
            await world.async_start()
            for number in range(8):
                self.put_entry(world, f"i-{number}", b"odd")
            for number in range(4):
                assert await world.async_submit(make_job(world, number))
            await asyncio.sleep(5.0)
            assert world.checker.starts == 0
            for executor in world.executors.by_id.values():
                world.list_executor(executor)
            await world.async_wait_for_jobs(20.0)

        world.run(run_scenario())
        assert world.checker.breaches == []
        assert [line["key"] for line in lines] == [f"servers/i-{number}" for number in range(8)]

    def test_entries_that_turn_invalid_under_runs_and_a_change_of_owner(self) -> None:
        world = World(13)

        async def run_scenario() -> None:
            await world.async_start()
            for number in range(16):
                assert await world.async_submit(make_job(world, number, estimate_s=4.0))
            await asyncio.sleep(1.0)
            for number in range(8):
                self.put_entry(world, f"i-{number}", b"odd")
            owner = find_owner(world)
            assert owner is not None
            world.kill_daemon(owner)
            await asyncio.sleep(3.0)
            for executor in world.executors.by_id.values():
                world.list_executor(executor)
            await world.async_wait_for_jobs(30.0)

        world.run(run_scenario())
        assert world.checker.breaches == []

    # Guards against holds, silence and a roster of executors that no work can use.
    def test_entries_of_a_service_that_is_not_named(self, lines: Lines) -> None:
        world = World(14)

        async def run_scenario() -> None:
            await world.async_start()
            entry = replace(world.executors.by_id["i-0"].entry, service="other")
            for number in range(50):
                value = world.codec.encode(replace(entry, id=f"x-{number}", address="x"))
                self.put_entry(world, f"x-{number}", value)
            await self.async_run_jobs(world, 0)
            owner = find_owner(world)
            assert owner is not None
            state = world.daemons[owner].owner.scheduler.state
            assert sorted(state.executors) == [f"i-{number}" for number in range(8)]
            self.put_entry(world, "x-1", b"odd")
            await asyncio.sleep(1.0)
            queue = replace(world.queues[2], name="more", prefix="/m/", service="other")
            world.set_config(CellConfig(2, (*world.queues, queue)))
            await asyncio.sleep(1.0)
            assert len(state.executors) == 8 + 49
            world.unlist_executor("x-2")
            await asyncio.sleep(1.0)
            assert "x-1" not in state.executors

        world.run(run_scenario())
        assert world.checker.breaches == []
        assert len(lines) == 51

    # Guards against a job of a queue that was removed, whose executors are not listed.
    def test_service_of_a_job_whose_queue_was_removed(self) -> None:
        world = World(15)

        async def run_scenario() -> None:
            await world.async_start()
            for executor in list(world.executors.by_id.values()):
                executor.entry = replace(executor.entry, service="other")
                world.executors.by_id.pop(executor.entry.id)
                executor.entry = replace(executor.entry, id="y" + executor.entry.id)
                world.executors.by_id[executor.entry.id] = executor
                world.list_executor(executor)
            await asyncio.sleep(1.0)
            owner = find_owner(world)
            assert owner is not None
            state = world.daemons[owner].owner.scheduler.state
            assert not any(name.startswith("y") for name in state.executors)
            job = make_job(world, 1)
            definition = replace(job, queue=replace(job.queue, name="gone", service="other"))
            world.daemons[owner].owner.add_stored_job(definition, 10_000)
            assert sum(name.startswith("y") for name in state.executors) == 8

        world.run(run_scenario())
