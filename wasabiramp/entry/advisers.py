"""Choice of the daemon that asks the adviser, which answers each client serially."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final

from wasabiramp.entry.peers import OK, AskAdviser, Peers
from wasabiramp.entry.ports import Adviser, NoAnswerError
from wasabiramp.entry.timeouts import AdaptiveTimeouts
from wasabiramp.policy.switches import switchable

ANSWER_MARGIN_RANGE_S: Final = (0.2, 1.0)
"""Shortest and longest time allowed for an answer beyond the adviser's estimated time.

Within the range it follows how late the answers through a daemon are. The longest time is used
until that is known, as an adviser that is asked again answers both questions.
"""

UNKNOWN_LATENESS_S: Final = 0.1
"""Assumed lateness of answers through a daemon that has not answered yet: it may have just started
and still load its configuration over a narrow link."""

RELAY_MARGIN_S: Final = 0.1
"""Further time allowed for a question through another daemon, which has the timeout above."""

MAX_CHEAP_COST_S: Final = 0.06
"""Estimated time of a question up to which it is cheap: the owner may ask the adviser itself."""

MAX_CHEAP_QUESTIONS: Final = 2
"""Cheap questions through one daemon at a time: the second one is on its way while the adviser
answers the first."""

PEER_AVOIDANCE_S: Final = 1.0
"""Time for which a daemon is not used after a question through it had no answer."""

LOCAL: Final = ""
"""Address that stands for this daemon."""


def is_cheap(cost_s: float) -> bool:
    """Return whether a question takes the adviser little time."""
    return cost_s <= MAX_CHEAP_COST_S


@switchable(
    "cheap-questions-first",
    "keep a third of the daemons for cheap questions",
    plain=lambda daemons: daemons,
)
def count_daemons_for_expensive(daemons: int) -> int:
    """Return how many of the daemons may ask expensive questions at a time."""
    return max(1, 2 * daemons // 3)


class AdviserPool:
    """Distributes questions over all daemons.

    The cost of a question is the time in seconds that the adviser is estimated to need. A question
    waits here until a daemon is free for it, as one that joins meanwhile may be free first. Cheap
    questions are the urgent ones: a third of the daemons is kept for them, and they never wait
    behind an expensive one.
    """

    def __init__(self, adviser: Adviser, peers: Peers, list_peers: Callable[[], list[str]]) -> None:
        """Ask through this daemon, or through the addresses that `list_peers` returns."""
        self._adviser = adviser
        self._peers = peers
        self._list_peers = list_peers
        self._margins = AdaptiveTimeouts(*ANSWER_MARGIN_RANGE_S)
        self._free_at: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}
        self._questions = 0
        self._last_question: dict[str, int] = {}
        self._cheap: Counter[str] = Counter()
        self._expensive: set[str] = set()
        self._waiting: dict[asyncio.Future[str], float] = {}

    async def async_ask(
        self, step: str, executors: list[str], cost_s: float
    ) -> tuple[dict[str, str], float]:
        """Return the eligible executors with their tickets, and their validity in seconds."""
        address = await self._async_acquire(cost_s)
        try:
            return await self._async_ask_in_time(address, step, executors, cost_s)
        finally:
            self._release(address, cost_s)

    async def _async_acquire(self, cost_s: float) -> str:
        """Wait until a daemon may take a question, and return its address."""
        address = self._choose_address(cost_s)
        if address is None:
            granted: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            self._waiting[granted] = cost_s
            try:
                return await granted
            except asyncio.CancelledError:
                if self._waiting.pop(granted, None) is None and not granted.cancelled():
                    self._release(granted.result(), cost_s)
                raise
        self._occupy(address, cost_s)
        return address

    def _occupy(self, address: str, cost_s: float) -> None:
        """Count a question through a daemon."""
        self._questions += 1
        self._last_question[address] = self._questions
        if is_cheap(cost_s):
            self._cheap[address] += 1
        else:
            self._expensive.add(address)

    def _release(self, address: str, cost_s: float) -> None:
        """Stop counting a question, and let waiting ones be asked, cheap ones first."""
        if is_cheap(cost_s):
            self._cheap[address] -= 1
        else:
            self._expensive.discard(address)
        waiting = sorted(self._waiting.items(), key=lambda item: not is_cheap(item[1]))
        for granted, waiting_cost_s in waiting:
            if granted.cancelled():
                continue
            chosen = self._choose_address(waiting_cost_s)
            if chosen is not None:
                del self._waiting[granted]
                self._occupy(chosen, waiting_cost_s)
                granted.set_result(chosen)

    @switchable(
        "remote-questions",
        "ask the adviser through other daemons too",
        plain=lambda pool, cost_s: LOCAL if not pool._expensive and not +pool._cheap else None,
    )
    def _choose_address(self, cost_s: float) -> str | None:
        """Return the daemon to ask through, or None if the question has to wait.

        This daemon asks cheap questions itself, and all where no other daemon can be used.
        """
        now = asyncio.get_running_loop().time()
        peers = [a for a in self._list_peers() if self._avoid_until.get(a, 0.0) <= now]
        if is_cheap(cost_s):
            free = [
                address
                for address in (LOCAL, *peers)
                if address not in self._expensive and self._cheap[address] < MAX_CHEAP_QUESTIONS
            ]
        else:
            usable = peers or [LOCAL]
            if len(self._expensive) >= count_daemons_for_expensive(len(usable)):
                return None
            free = [a for a in usable if a not in self._expensive and not self._cheap[a]]
        return min(free, key=lambda address: self._rank(address, cost_s), default=None)

    def _rank(self, address: str, cost_s: float) -> tuple[int, bool, int]:
        """Return the rank of a daemon: how many questions of this cost pass until it answers.

        Of equal ones this daemon comes first, then the one that was used least recently.
        """
        lateness_s = self._margins.get_average_s(address)
        if lateness_s is None:
            lateness_s = 0.0 if address == LOCAL else UNKNOWN_LATENESS_S
        passed = self._cheap[address] + int(lateness_s / max(cost_s, 0.001))
        return passed, address != LOCAL, self._last_question.get(address, 0)

    async def _async_ask_in_time(
        self, address: str, step: str, executors: list[str], cost_s: float
    ) -> tuple[dict[str, str], float]:
        """Ask through a daemon, and avoid it for some time if there is no answer in time."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        free_at = max(now, self._free_at.get(address, 0.0)) + cost_s
        self._free_at[address] = free_at
        is_known = self._margins.get_average_s(address) is not None
        margin_s = self._margins.get_timeout(address) if is_known else ANSWER_MARGIN_RANGE_S[1]
        timeout_s = free_at - now + margin_s
        try:
            answer = await self._async_ask_through(address, step, executors, timeout_s)
        except NoAnswerError:
            self._avoid_until[address] = now + PEER_AVOIDANCE_S
            self._free_at[address] = loop.time()
            self._margins.record_timeout(address)
            raise
        self._margins.record_response_time(address, max(0.0, loop.time() - free_at))
        return answer

    async def _async_ask_through(
        self, address: str, step: str, executors: list[str], timeout_s: float
    ) -> tuple[dict[str, str], float]:
        """Ask the adviser through a daemon; raise NoAnswerError if there is no answer."""
        if address == LOCAL:
            return await self._adviser.async_ask(step, executors, timeout_s)
        answer = await self._peers.async_call(
            address, AskAdviser(step, executors, timeout_s), timeout_s + RELAY_MARGIN_S
        )
        if answer.outcome != OK:
            raise NoAnswerError(f"adviser through {address}: {answer.value}")
        eligible, valid_s = answer.value
        return eligible, valid_s
