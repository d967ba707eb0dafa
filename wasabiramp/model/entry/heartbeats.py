"""Heartbeats of the simulated executors, without which their entries in the store lapse."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from wasabiramp.model.entry.executors import ModelExecutor, ModelExecutors
from wasabiramp.model.entry.network import STORE, Network
from wasabiramp.model.entry.store import ModelStore
from wasabiramp.scheduling.model import ExecutorEntry

HEARTBEAT_S: Final = 1.5
"""Interval at which an executor reports to the store."""

ENTRY_TTL_S: Final = 3 * HEARTBEAT_S
"""Time after the last heartbeat at which an entry lapses."""

CHECK_INTERVAL_S: Final = 0.05


class Heartbeats:
    """Writes and removes the entries of all executors.

    An executor that is up reports in each interval if it reaches the store, which its entry needs
    to stay. Entries lapse or pause in an outage as the leases of the store do.
    """

    def __init__(
        self,
        random: Random,
        store: ModelStore,
        network: Network,
        executors: ModelExecutors,
        write_entry: Callable[[ModelExecutor], None],
    ) -> None:
        """Begin with executors that have just reported, with random phases of their intervals."""
        self._random = random
        self._store = store
        self._network = network
        self._executors = executors
        self._write_entry = write_entry
        self._due_at: dict[str, float] = {}
        self._reported_at: dict[str, float] = {}
        # By executor, the entry as it is in the store.
        self._written: dict[str, ExecutorEntry] = {}
        now = asyncio.get_running_loop().time()
        for executor in executors.by_id.values():
            self._due_at[executor.entry.id] = now + random.uniform(0.0, HEARTBEAT_S)
            self._reported_at[executor.entry.id] = now
            self._written[executor.entry.id] = executor.entry

    async def async_run(self) -> None:
        """Report and remove entries until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            for executor in list(self._executors.by_id.values()):
                if loop.time() >= self._due_at.get(executor.entry.id, 0.0):
                    self._due_at[executor.entry.id] = loop.time() + HEARTBEAT_S
                    self._report(executor)
            self._remove_lapsed(loop.time())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def report_soon(self, executor: ModelExecutor, delay_s: float = 0.0) -> None:
        """Let an executor report after a delay, as its entry has changed."""
        self._due_at[executor.entry.id] = asyncio.get_running_loop().time() + delay_s

    def is_reported(self, executor: ModelExecutor) -> bool:
        """Return whether the store holds the current entry of an executor."""
        return self._written.get(executor.entry.id) == executor.entry

    def forget(self, executor_id: str) -> None:
        """Record that the entry of an executor was removed, as the executor has left."""
        self._written.pop(executor_id, None)
        self._reported_at.pop(executor_id, None)

    def _report(self, executor: ModelExecutor) -> None:
        """Write the entry of an executor that reaches the store, unless it is there."""
        executor_id = executor.entry.id
        is_cut = self._network.is_unreachable(executor_id, STORE)
        if not executor.is_up or is_cut or self._store.is_down:
            return
        self._reported_at[executor_id] = asyncio.get_running_loop().time()
        if not self.is_reported(executor):
            self._written[executor_id] = executor.entry
            self._write_entry(executor)

    def _remove_lapsed(self, now: float) -> None:
        """Remove the entries of executors that have not reported for too long."""
        if self._store.is_down and not self._store.does_lapse:
            for executor_id in self._reported_at:
                self._reported_at[executor_id] += CHECK_INTERVAL_S
            return
        for executor_id, reported_at in list(self._reported_at.items()):
            if now > reported_at + ENTRY_TTL_S:
                self.forget(executor_id)
                self._store.put(f"servers/{executor_id}", None, 0)
