"""A simulated network with latency, link limits, partitions and lost messages."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import contextvars
from random import Random
from typing import Any, Final, cast

from wasabiramp.core.records import decode_message, encode_message
from wasabiramp.entry.peers import PeerAnswer, ServeCall
from wasabiramp.entry.ports import Change, Item, NoAnswerError, PeerGoneError
from wasabiramp.model.entry.clock import VirtualLoop, async_run_on_node

ONE_WAY_LATENCY_S: Final = (0.0005, 0.003)
"""Range of the random latency of a message."""

MESSAGE_OVERHEAD_BYTES: Final = 300
"""Size of a message without its payload."""

STORE: Final = "store"
ADVISER: Final = "adviser"
"""Node names of the store and the adviser."""


class NodeLimits:
    """Limits of one node: bytes per second on its link and processing seconds per message.

    Each direction of the link, and the processing of received messages, is a FIFO queue.
    """

    __slots__ = ("_bytes_per_s", "_free_at", "_processing_s")

    def __init__(self, bytes_per_s: float, processing_s: float) -> None:
        """Start with an idle link and processor."""
        self._bytes_per_s = bytes_per_s
        self._processing_s = processing_s
        self._free_at = {"in": 0.0, "out": 0.0, "work": 0.0}

    def reserve_link(self, now: float, direction: str, size: int) -> float:
        """Reserve the link for a message that is queued now and return when it has passed."""
        start = max(now, self._free_at[direction])
        self._free_at[direction] = start + (size + MESSAGE_OVERHEAD_BYTES) / self._bytes_per_s
        return self._free_at[direction]

    def reserve_processing(self, now: float) -> float:
        """Reserve processing for a message that arrives now and return when it is processed."""
        self._free_at["work"] = max(now, self._free_at["work"]) + self._processing_s
        return self._free_at["work"]


def estimate_wire_bytes(value: Any) -> int:
    """Estimate the bytes of a value on the wire, where binary values are encoded as base64."""
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
    """Carries calls between named nodes and injects faults.

    A node is an incarnation of a daemon, an executor, the store or the adviser. A partition also
    drops the messages that are in transit. Messages from and to a paused daemon are delayed until
    it resumes.
    """

    def __init__(self, random: Random) -> None:
        """Start without partitions."""
        self._random = random
        self._partitions: set[frozenset[str]] = set()
        self._killed: set[str] = set()
        self.listeners: dict[str, ServeCall] = {}
        self._powered_off: set[str] = set()
        self._refused: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._refusing: set[str] = set()
        # By pair of nodes, the longest delay of a message between them.
        self._delays_s: dict[frozenset[str], float] = {}
        self.limits: dict[str, NodeLimits] = {}

    def add_partition(self, one: str, other: str) -> None:
        """Drop all messages between two nodes."""
        self._partitions.add(frozenset((one, other)))

    def add_refusal(self, one: str, other: str) -> None:
        """Refuse connections between two nodes, and drop the messages in transit."""
        self.add_partition(one, other)
        self._refused.add(frozenset((one, other)))

    def remove_partition(self, one: str, other: str) -> None:
        """Deliver messages between two nodes again."""
        self._partitions.discard(frozenset((one, other)))
        self._refused.discard(frozenset((one, other)))

    def add_delay(self, one: str, other: str, longest_s: float) -> None:
        """Delay each message between two nodes by a random time, so that messages overtake."""
        self._delays_s[frozenset((one, other))] = longest_s

    def remove_delay(self, one: str, other: str) -> None:
        """Deliver messages between two nodes without a further delay."""
        self._delays_s.pop(frozenset((one, other)), None)

    def isolate(self, node: str, refuses: bool = False) -> None:
        """Drop all messages from and to a node but those to the store; or refuse connections."""
        self._isolated.add(node)
        if refuses:
            self._refusing.add(node)

    def rejoin(self, node: str) -> None:
        """Deliver messages from and to an isolated node again."""
        self._isolated.discard(node)
        self._refusing.discard(node)

    def remove_all_partitions(self) -> None:
        """Remove all partitions and delays."""
        self._partitions.clear()
        self._delays_s.clear()
        self._refused.clear()
        self._isolated.clear()
        self._refusing.clear()

    def is_refused(self, source: str, target: str) -> bool:
        """Return whether a connection is refused, so that nothing is sent."""
        return target in self._refusing or frozenset((source, target)) in self._refused

    def kill(self, node: str) -> None:
        """Drop all messages from and to a node.

        Half of the nodes lose power: calls to them time out, while those to the others are refused.
        """
        self._killed.add(node)
        if self._random.random() < 0.5:
            self._powered_off.add(node)

    def is_powered_off(self, node: str) -> bool:
        """Return whether a node lost power."""
        return node in self._powered_off

    def is_unreachable(self, one: str, other: str) -> bool:
        """Return whether messages between two nodes are dropped."""
        is_killed = one in self._killed or other in self._killed
        if is_killed or frozenset((one, other)) in self._partitions:
            return True
        is_isolated = one in self._isolated or other in self._isolated
        return is_isolated and STORE not in (one, other)

    async def async_deliver(self, source: str, target: str, size: int = 0) -> bool:
        """Wait for the one-way transfer of `size` payload bytes and return whether they arrived."""
        loop = cast(VirtualLoop, asyncio.get_running_loop())
        for node in (source, target):
            while (until := loop.get_resume_time(node)) > loop.time():
                await asyncio.sleep(until - loop.time())
        if self.is_unreachable(source, target):
            return False
        await self._async_wait_for_link(source, "out", size)
        await asyncio.sleep(self._random.uniform(*ONE_WAY_LATENCY_S))
        longest_s = self._delays_s.get(frozenset((source, target)), 0.0)
        if longest_s:
            await asyncio.sleep(self._random.uniform(0.0, longest_s))
        await self._async_wait_for_link(target, "in", size)
        if target in self.limits:
            await asyncio.sleep(self.limits[target].reserve_processing(loop.time()) - loop.time())
        return not self.is_unreachable(source, target)

    async def _async_wait_for_link(self, node: str, direction: str, size: int) -> None:
        """Wait until a message has passed the link of a node that has limits."""
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
        """Deliver a call of `size` bytes, run its handler and return the answer.

        Raises NoAnswerError on timeout.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s

        async def run() -> Any:
            # After a lost message nothing answers within the timeout of the caller.
            if not await self.async_deliver(source, target, size):
                await asyncio.sleep(3600)
            try:
                answer = await handle()
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is None or task.cancelling():
                    raise
                # The target was killed while it handled the call.
                await asyncio.sleep(3600)
            if not await self.async_deliver(target, source, estimate_wire_bytes(answer)):
                await asyncio.sleep(3600)
            return answer

        # A message in transit is not paused or cancelled with its sender.
        task = loop.create_task(run(), context=contextvars.Context())
        try:
            # The handler continues at the target when the caller gives up.
            return await asyncio.wait_for(asyncio.shield(task), deadline - loop.time())
        except TimeoutError as err:
            raise NoAnswerError(f"no answer from {target}") from err


class ModelPeers:
    """Client for calls from one daemon to others."""

    def __init__(self, network: Network, source: str) -> None:
        """Make calls as the daemon node `source`."""
        self._network = network
        self._source = source

    async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the answer of a daemon, whose node name serves as its address."""
        data = encode_message(message)
        if address not in self._network.listeners and not self._network.is_powered_off(address):
            await asyncio.sleep(ONE_WAY_LATENCY_S[0])
            raise PeerGoneError(address)

        async def handle() -> Any:
            serve = self._network.listeners.get(address)
            if serve is None:
                await asyncio.sleep(3600)
            return encode_message(await async_run_on_node(address, serve(decode_message(data))))

        answer = await self._network.async_call(self._source, address, timeout_s, handle, len(data))
        return decode_message(answer)

    def close(self) -> None:
        """Do nothing, as there are no connections."""


class ModelListener:
    """Listener that accepts calls to one daemon."""

    def __init__(self, network: Network, serve: ServeCall) -> None:
        """Answer calls with the result of `serve`."""
        self._network = network
        self._serve = serve
        self._address = ""

    async def async_start(self, address: str) -> None:
        """Listen at an address."""
        self._address = address
        self._network.listeners[address] = self._serve

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._network.listeners.get(self._address) is self._serve:
            del self._network.listeners[self._address]
