"""Choice of the daemon that asks the adviser, which answers each client serially."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from wasabiramp.entry.peers import OK, AskAdviser, Peers
from wasabiramp.entry.ports import Adviser, NoAnswerError

ANSWER_MARGIN_S: Final = 1.0
"""Time allowed for an answer beyond the adviser's estimated time: several round trips on a slow
path."""

MAX_LOCAL_COST_S: Final = 0.06
"""Estimated time of a question up to which the owner may ask the adviser itself."""

PEER_AVOIDANCE_S: Final = 1.0
"""Time for which a daemon is not used after a question through it had no answer."""

LOCAL: Final = ""
"""Address that stands for this daemon."""


class AdviserPool:
    """Distributes questions over all daemons.

    The cost of a question is the time in seconds that the adviser is estimated to need. Each
    question goes to the daemon whose earlier questions will be answered first.
    """

    def __init__(self, adviser: Adviser, peers: Peers, list_peers: Callable[[], list[str]]) -> None:
        """Ask through this daemon, or through the addresses that `list_peers` returns."""
        self._adviser = adviser
        self._peers = peers
        self._list_peers = list_peers
        self._free_at: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}

    async def async_ask(
        self, step: str, executors: list[str], cost_s: float
    ) -> tuple[dict[str, str], float]:
        """Return the eligible executors with their tickets, and their validity in seconds."""
        now = asyncio.get_running_loop().time()
        address = self._choose_address(now, cost_s)
        free_at = max(now, self._free_at.get(address, 0.0)) + cost_s
        self._free_at[address] = free_at
        timeout_s = free_at - now + ANSWER_MARGIN_S
        try:
            if address == LOCAL:
                return await self._adviser.async_ask(step, executors, timeout_s)
            answer = await self._peers.async_call(
                address, AskAdviser(step, executors, timeout_s), timeout_s + ANSWER_MARGIN_S / 4
            )
            if answer.outcome != OK:
                raise NoAnswerError(f"adviser through {address}: {answer.value}")
            eligible, valid_s = answer.value
            return eligible, valid_s
        except NoAnswerError:
            self._avoid_until[address] = now + PEER_AVOIDANCE_S
            raise

    def _choose_address(self, now: float, cost_s: float) -> str:
        """Return the address of the daemon that is free first.

        This daemon is included for cheap questions, and where no other daemon can be used.
        """
        addresses = [a for a in self._list_peers() if self._avoid_until.get(a, 0.0) <= now]
        if cost_s <= MAX_LOCAL_COST_S or not addresses:
            addresses.append(LOCAL)
        return min(addresses, key=lambda a: (max(now, self._free_at.get(a, 0.0)), a != LOCAL))
