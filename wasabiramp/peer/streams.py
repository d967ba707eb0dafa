"""gRPC streams between daemons: one to each peer, carrying messages in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
from typing import Any, Final

from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from wasabiramp.core.records import DecodeError, decode_message, encode_message, record

EXCHANGE_METHOD: Final = "/wasabiramp.Peer/Exchange"
RECONNECT_DELAY_S: Final = 0.2
MAX_QUEUED_MESSAGES: Final = 20_000
"""Number of waiting messages at which the queue to a peer is cleared, see `PeerLink.send`."""

MessageCallback = Callable[[str, Any], None]
LostCallback = Callable[[str], None]


@record
class Batch:
    """Messages from one incarnation of a daemon to another, in order.

    `sequence` increases over all streams from the sender to the recipient, so that a batch which an
    old connection delivers after a newer one can be recognised and dropped.
    """

    sender: str
    recipient: str
    sequence: int
    messages: list[Any]


class BytesCodec(CodecBase):
    """Passes bytes through, as the users of the stream encode the records."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes as they are."""
        return message

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the bytes as they are."""
        return data


class PeerServer:
    """Receives batches from other daemons."""

    def __init__(self, me: str, on_message: MessageCallback, on_lost: LostCallback) -> None:
        """Call `on_message` for each message to the member `me`, `on_lost` when a stream ends."""
        self._me = me
        self._on_message = on_message
        self._on_lost = on_lost
        self._last_sequences: dict[str, int] = {}
        self._server = Server([self], codec=BytesCodec())

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, as grpclib requires."""
        return {
            EXCHANGE_METHOD: Handler(self._async_exchange, Cardinality.STREAM_STREAM, bytes, bytes)
        }

    async def async_start(self, address: str) -> None:
        """Listen; binding exclusively ensures that no earlier process still has the address."""
        host, _, port = address.rpartition(":")
        await self._server.start(host, int(port), reuse_port=False)

    async def async_stop(self) -> None:
        """Stop listening and break the streams."""
        self._server.close()
        await self._server.wait_closed()

    async def _async_exchange(self, stream: Stream[bytes, bytes]) -> None:
        """Handle a peer's batches until its stream ends, or a batch is invalid or out of date."""
        sender = ""
        try:
            async for data in stream:
                batch = decode_message(data)
                if not isinstance(batch, Batch) or batch.recipient != self._me:
                    return
                sender = batch.sender
                if batch.sequence <= self._last_sequences.get(sender, 0):
                    return
                self._last_sequences[sender] = batch.sequence
                for message in batch.messages:
                    self._on_message(sender, message)
        except (DecodeError, StreamTerminatedError, GRPCError, ConnectionError):
            return
        finally:
            if sender:
                self._on_lost(sender)


class PeerLink:
    """The outgoing stream to one member, which reconnects automatically."""

    def __init__(self, me: str, member: str, address: str, on_lost: LostCallback) -> None:
        """Start sending from `me` to `member` at an IP address and port."""
        self._me = me
        self._member = member
        self._address = address
        self._on_lost = on_lost
        self._queue: list[Any] = []
        self._wake_sender = asyncio.Event()
        self._sequence = 0
        self._is_closed = False
        self.bytes_sent = 0
        self._task = asyncio.get_running_loop().create_task(self._async_run())

    def send(self, message: Any) -> None:
        """Queue a message; messages queued in one iteration of the event loop form one batch.

        A full queue is cleared, and the stream is reported as lost.
        """
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.clear()
            self._on_lost(self._member)
        self._queue.append(message)
        self._wake_sender.set()

    async def async_close(self) -> None:
        """End the stream.

        grpclib may turn the cancellation into a stream error, so a flag ends the reconnect loop.
        """
        self._is_closed = True
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _async_run(self) -> None:
        """Connect and send; reconnect after a failure."""
        while not self._is_closed:
            try:
                await self._async_run_connection()
            except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
                if self._is_closed:
                    return
                self._queue.clear()
                self._on_lost(self._member)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _async_run_connection(self) -> None:
        """Send batches on one connection until it fails."""
        host, _, port = self._address.rpartition(":")
        channel = Channel(host, int(port), codec=BytesCodec())
        method = StreamStreamMethod(channel, EXCHANGE_METHOD, bytes, bytes)
        try:
            async with method.open() as stream:
                await asyncio.wait_for(stream.send_request(), 2.0)
                end_watcher = asyncio.ensure_future(self._async_wait_for_end(stream))
                try:
                    await self._async_send_batches(stream, end_watcher)
                finally:
                    end_watcher.cancel()
        finally:
            channel.close()

    async def _async_wait_for_end(self, stream: Any) -> None:
        """Wait until the peer, which never sends on this stream, ends it."""
        try:
            await stream.recv_message()
        finally:
            self._wake_sender.set()

    async def _async_send_batches(self, stream: Any, end_watcher: asyncio.Future[None]) -> None:
        """Send the queued messages as a batch whenever there are any."""
        while True:
            await self._wake_sender.wait()
            self._wake_sender.clear()
            if end_watcher.done():
                raise ConnectionResetError("the peer ended the stream")
            if not self._queue:
                continue
            messages, self._queue = self._queue, []
            self._sequence += 1
            batch = Batch(self._me, self._member, self._sequence, messages)
            data = encode_message(batch)
            self.bytes_sent += len(data)
            await stream.send_message(data)
