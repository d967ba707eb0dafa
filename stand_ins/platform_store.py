"""The platform's store with outages in which leases expire or pause, and its present owner."""

from __future__ import annotations

import asyncio
from random import Random

from wasabiramp.entry.election import parse_name
from wasabiramp.entry.keys import KEY_OWNER, KEY_TERM
from wasabiramp.entry.ports import Change, HistoryLostError
from wasabiramp.model.entry.store import ModelStore


class Outage:
    """An outage; leases run on if `expires_leases`, and calls get a 503 if `refuses`."""

    __slots__ = ("began_at", "expires_leases", "refuses")

    def __init__(self, expires_leases: bool, refuses: bool) -> None:
        """Begin an outage now."""
        self.began_at = asyncio.get_running_loop().time()
        self.expires_leases = expires_leases
        self.refuses = refuses


class PlatformStore(ModelStore):
    """The simulated store as the platform's stand-in serves it.

    `refused_daemons` are those whose calls get a 503 while the others are served.
    """

    def __init__(self, random: Random) -> None:
        """Create an empty store that is up."""
        super().__init__(random)
        self._outages: list[Outage] = []
        self.refused_daemons: set[str] = set()

    @property
    def refuses_all(self) -> bool:
        """Return whether an outage refuses all calls, instead of leaving them unanswered."""
        return any(outage.refuses for outage in self._outages)

    @property
    def expires_entries(self) -> bool:
        """Return whether what runs out is removed now, as the store is up or its leases run on."""
        return not self.is_down or any(outage.expires_leases for outage in self._outages)

    def begin_outage(self, expires_leases: bool, refuses: bool) -> Outage:
        """Begin an outage, which may overlap others."""
        outage = Outage(expires_leases, refuses)
        self._outages.append(outage)
        self.is_down = True
        return outage

    def end_outage(self, outage: Outage) -> None:
        """End an outage; with the last one, leases that have run out end before any call."""
        self._outages.remove(outage)
        if not outage.expires_leases:
            self._extend_leases(asyncio.get_running_loop().time() - outage.began_at)
        if self._outages:
            return
        self.end_expired_leases()
        self.is_down = False

    def _extend_leases(self, pause_s: float) -> None:
        """Let all leases end later."""
        for lease, (ends_at, ttl_s) in self._leases.items():
            self._leases[lease] = (ends_at + pause_s, ttl_s)

    def end_expired_leases(self) -> None:
        """End the leases that have run out."""
        now = asyncio.get_running_loop().time()
        for lease in [lease for lease, (ends_at, _ttl) in self._leases.items() if now >= ends_at]:
            self.end_lease(lease)

    def find_owner(self) -> str:
        """Return the name of the owner, or of the last one while no daemon is the owner."""
        item = self.items.get(KEY_OWNER) or self.items.get(KEY_TERM)
        return parse_name(item) if item is not None else ""

    async def async_wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Change], int]:
        """Wait for changes as the simulated store does, but read only the newest history."""
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self.compacted_revision:
                raise HistoryLostError(prefix)
            found = self._list_changes(prefix, after)
            remaining_s = deadline - asyncio.get_running_loop().time()
            if found or remaining_s <= 0:
                return found, self.revision
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _list_changes(self, prefix: str, after: int) -> list[Change]:
        """Return the changes under a prefix after a revision, oldest first."""
        found = []
        for change in reversed(self.history):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]
