"""The model's network: who reaches what, how long it takes, and what gets lost."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import contextvars
from random import Random
from typing import Any, Final, cast

from wasabiramp.core.records import decode_message, encode_message
from wasabiramp.entry.peers import PeerAnswer, Serve
from wasabiramp.entry.ports import Change, Item, NoAnswerError, PeerGoneError
from wasabiramp.model.entry.clock import VirtualLoop, async_run_on_node

LATENCY_S: Final = (0.0005, 0.003)
MESSAGE_OVERHEAD_BYTES: Final = 300
"""Size of a message beside what it carries."""

STORE: Final = "store"
ADVISER: Final = "adviser"


class NodeLimits:
    """What one place can carry: bytes a second on its link, and seconds of work a message.

    Messages in each direction, and the work on those that arrived, are done one after the other.
    """

    __slots__ = ("_bytes_per_s", "_free_at", "_processing_s")

    def __init__(self, bytes_per_s: float, processing_s: float) -> None:
        """Start idle."""
        self._bytes_per_s = bytes_per_s
        self._processing_s = processing_s
        self._free_at = {"in": 0.0, "out": 0.0, "work": 0.0}

    def reserve_link(self, now: float, direction: str, size: int) -> float:
        """Return when a message that enters the queue now has passed the link."""
        start = max(now, self._free_at[direction])
        self._free_at[direction] = start + (size + MESSAGE_OVERHEAD_BYTES) / self._bytes_per_s
        return self._free_at[direction]

    def reserve_processing(self, now: float) -> float:
        """Return when the work on a message that arrives now is done."""
        self._free_at["work"] = max(now, self._free_at["work"]) + self._processing_s
        return self._free_at["work"]


def estimate_wire_bytes(value: Any) -> int:
    """Return the bytes that a value takes on the wire: binary values travel as base64 text."""
    if isinstance(value, bytes):
        return len(value) * 4 // 3
    if isinstance(value, Item):
        return estimate_wire_bytes(value.value) + len(value.key) + MESSAGE_OVERHEAD_BYTES // 3
    if isinstance(value, Change):
        return (
            estimate_wire_bytes(value.item)
            if value.item is not None
            else MESSAGE_OVERHEAD_BYTES // 3
        )
    if isinstance(value, list | tuple):
        return sum(map(estimate_wire_bytes, value))
    return 0


class Network:
    """Carries calls between named places, each with its own faults.

    A place is a daemon's name, an executor's id, the store or the adviser. A cut drops what is
    on its way at both ends; a paused daemon's calls leave, and their answers arrive, only once it
    goes on.
    """

    def __init__(self, random: Random) -> None:
        """Start whole."""
        self._random = random
        self._partitions: set[frozenset[str]] = set()
        self._killed: set[str] = set()
        self.listeners: dict[str, Serve] = {}
        self._powered_off: set[str] = set()
        self.limits: dict[str, NodeLimits] = {}

    def add_partition(self, one: str, other: str) -> None:
        """Let nothing pass between two places."""
        self._partitions.add(frozenset((one, other)))

    def remove_partition(self, one: str, other: str) -> None:
        """Let all pass again."""
        self._partitions.discard(frozenset((one, other)))

    def remove_all_partitions(self) -> None:
        """Remove all cuts."""
        self._partitions.clear()

    def kill(self, node: str) -> None:
        """Drop what a place would still send or take.

        Half of the places lose power: their addresses are silent, where those of others refuse.
        """
        self._killed.add(node)
        if self._random.random() < 0.5:
            self._powered_off.add(node)

    def is_powered_off(self, node: str) -> bool:
        """Tell whether a place lost power."""
        return node in self._powered_off

    def is_unreachable(self, one: str, other: str) -> bool:
        """Tell whether nothing passes between two places."""
        is_killed = one in self._killed or other in self._killed
        return is_killed or frozenset((one, other)) in self._partitions

    async def async_deliver(self, source: str, target: str, size: int = 0) -> bool:
        """Take the time of one way; tell whether the message arrived."""
        loop = cast(VirtualLoop, asyncio.get_running_loop())
        for node in (source, target):
            while (until := loop.get_resume_time(node)) > loop.time():
                await asyncio.sleep(until - loop.time())
        if self.is_unreachable(source, target):
            return False
        await self._async_wait_for_link(source, "out", size)
        await asyncio.sleep(self._random.uniform(*LATENCY_S))
        await self._async_wait_for_link(target, "in", size)
        if target in self.limits:
            await asyncio.sleep(self.limits[target].reserve_processing(loop.time()) - loop.time())
        return not self.is_unreachable(source, target)

    async def _async_wait_for_link(self, node: str, direction: str, size: int) -> None:
        """Wait until a message has passed the link of a place that has limits."""
        limits = self.limits.get(node)
        if limits is not None:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(limits.reserve_link(now, direction, size) - now)

    async def async_call(
        self,
        source: str,
        target: str,
        timeout_s: float,
        handle: Callable[[], Awaitable[Any]],
        size: int = 0,
    ) -> Any:
        """Carry a call of a size and its answer; raises NoAnswerError after the time-out."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + timeout_s

        async def run() -> Any:
            if not await self.async_deliver(source, target, size):
                await asyncio.sleep(3600)
            answer = await handle()
            if not await self.async_deliver(target, source, estimate_wire_bytes(answer)):
                await asyncio.sleep(3600)
            return answer

        # What is on its way neither waits for its sender nor ends with it.
        task = loop.create_task(run(), context=contextvars.Context())
        try:
            # The work goes on at the other side when the caller stops waiting.
            return await asyncio.wait_for(asyncio.shield(task), give_up_at - loop.time())
        except TimeoutError as err:
            raise NoAnswerError(f"{target} does not answer") from err


class ModelPeers:
    """Calls from one daemon to others."""

    def __init__(self, network: Network, source: str) -> None:
        """Call as the daemon `me`."""
        self._network = network
        self._source = source

    async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the answer of the daemon whose name stands for its address."""
        data = encode_message(message)
        if address not in self._network.listeners and not self._network.is_powered_off(address):
            await asyncio.sleep(LATENCY_S[0])
            raise PeerGoneError(address)

        async def handle() -> Any:
            serve = self._network.listeners.get(address)
            if serve is None:
                await asyncio.sleep(3600)
            return encode_message(await async_run_on_node(address, serve(decode_message(data))))

        answer = await self._network.async_call(self._source, address, timeout_s, handle, len(data))
        return decode_message(answer)

    def close(self) -> None:
        """Do nothing: there are no connections."""


class ModelListener:
    """Takes calls for one daemon."""

    def __init__(self, network: Network, serve: Serve) -> None:
        """Answer with what `serve` returns."""
        self._network = network
        self._serve = serve
        self._address = ""

    async def async_start(self, address: str) -> None:
        """Listen."""
        self._address = address
        self._network.listeners[address] = self._serve

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._network.listeners.get(self._address) is self._serve:
            del self._network.listeners[self._address]
