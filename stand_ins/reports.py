"""Reports of executors to the store, which removes the entries of those that are silent."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

import orjson

from stand_ins.platform_store import PlatformStore
from wasabiramp.model.entry.executors import ModelExecutor, ModelExecutors

HEARTBEAT_S: Final = 1.5
"""Time between two reports of an executor."""

UNLISTED_S: Final = 3 * HEARTBEAT_S
"""Silence of an executor after which its entry is removed."""

POLL_S: Final = 0.02


class ExecutorReports:
    """Lets the executors of a fleet report to the store at intervals."""

    def __init__(self, store: PlatformStore, executors: ModelExecutors, random: Random) -> None:
        """Create the reports; an executor's first one is sent by `report`."""
        self._store = store
        self._executors = executors
        self._random = random
        # By executor, when it last reached the store and when it reports next.
        self._reported_at: dict[str, float] = {}
        self._next_at: dict[str, float] = {}

    async def async_run(self) -> None:
        """Send the reports that are due and remove the entries of silent executors."""
        while True:
            now = asyncio.get_running_loop().time()
            for name, executor in list(self._executors.by_id.items()):
                if executor.is_up and now >= self._next_at[name]:
                    self.report(executor)
                elif now > self._reported_at[name] + UNLISTED_S and self._store.expires_entries:
                    self._remove_entry(name)
            await asyncio.sleep(POLL_S)

    def report_later(self, executor: ModelExecutor, delay_s: float) -> None:
        """Let an executor report after a delay, and not before."""
        self._next_at[executor.entry.id] = asyncio.get_running_loop().time() + delay_s

    def report(self, executor: ModelExecutor) -> None:
        """Report now, if the store is up; the entry is written if it differs."""
        now = asyncio.get_running_loop().time()
        name = executor.entry.id
        self._next_at[name] = now + HEARTBEAT_S * self._random.uniform(0.9, 1.0)
        self._reported_at.setdefault(name, now)
        if self._store.is_down:
            return
        self._reported_at[name] = now
        value = _encode_entry(executor)
        item = self._store.items.get(_build_key(name))
        if item is None or item.value != value:
            self._store.put(_build_key(name), value, 0)

    def _remove_entry(self, name: str) -> None:
        """Remove the entry of an executor, if it is there."""
        if _build_key(name) in self._store.items:
            self._store.put(_build_key(name), None, 0)


def _build_key(name: str) -> str:
    """Return the key of an executor's entry."""
    return f"servers/{name}"


def _encode_entry(executor: ModelExecutor) -> bytes:
    """Return the entry of an executor in the store's format."""
    entry = executor.entry
    fields = {
        "service": entry.service,
        "address": entry.address,
        "zone": entry.zone,
        "version": "v1",
        "slots": 8,
        "state": "draining" if entry.is_draining else "ready",
        "coldLeftMs": 0,
        "capacity": {"cpu": entry.capacity.cpu, "memMb": entry.capacity.memory_mb, "gpu": 0},
        "labels": list(entry.labels),
        "born": entry.born_ms,
        "seq": 1,
    }
    return orjson.dumps(fields)
