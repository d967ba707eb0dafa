"""Calls between daemons: one unary method over grpclib, with records as messages."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from wasabiramp.core.records import DecodeError, decode_message, encode_message, record
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.ports import NoAnswerError, PeerGoneError
from wasabiramp.logs import log_event
from wasabiramp.peer.streams import BytesCodec
from wasabiramp.settings.address import parse_address

METHOD_PATH: Final = "/wasabiramp.Entry/Call"

CALL_SUMMARY_INTERVAL_S: Final = 5.0
"""Interval of the log lines that count calls and bytes by kind, to explain traffic peaks."""

MAX_DURATION_S: Final = 366 * 86_400.0
"""Longest duration that a message may name."""

OK: Final = "ok"
NOT_OWNER: Final = "not-owner"
LATER: Final = "later"
"""The answer changes soon: ask again."""

UNCONFIRMED: Final = "unconfirmed"
"""The owner's lease may have ended, or the job's end is not stored yet: a final phase in the store
takes precedence over the answered one."""

ENDING: Final = "ending"
"""The job has ended, but whether its end is stored is unknown: read the phase from the store."""

SILENT: Final = "silent"
"""Value of an answer `NOT_OWNER` if the call was not answered, so that it may have arrived."""

UNKNOWN_JOB: Final = "unknown-job"
FAILED: Final = "failed"


@record
class AnnounceJobs:
    """Jobs that the sender stored: the bytes of each definition and the revision it has."""

    jobs: list[tuple[bytes, int]]


@record
class AnnounceNewJobs:
    """The same for jobs that certainly were not announced to any owner before."""

    jobs: list[tuple[bytes, int]]


@record
class StoreJobs:
    """Jobs that the sender cannot store itself, as the bytes of their definitions."""

    definitions: list[bytes]


@record
class ShowJob:
    """Ask the owner for a job's phase."""

    job: str


@record
class CancelJob:
    """Ask the owner to cancel a job; the answer comes once that is stored.

    `UNKNOWN_JOB` means that no such job is stored, and that none can be from now on.
    """

    job: str


@record
class CountWaiting:
    """Ask the owner for the number of jobs of each queue without a started task."""


@record
class AskAdviser:
    """Ask the adviser on the sender's behalf."""

    step: str
    executors: list[str]
    timeout_s: float


@record
class TakeOver:
    """Ask a daemon to become the owner instead of the sender, whose calls to the store fail."""

    address: str


@record
class EndTenure:
    """Tell the owner of a term that another daemon has claimed a later one.

    The answer is OK if the process was the owner in that term, knew what all executors ran, and
    gives no more orders. It is `LATER` while leases of it or of earlier owners may last longer than
    usual.
    """

    term: int


@record
class PeerAnswer:
    """The answer to any call; `value` depends on the call."""

    outcome: str
    value: Any = None


def _is_list_of(value: Any, kind: type) -> bool:
    """Return whether a value is a list with elements of one type."""
    return isinstance(value, list) and all(isinstance(element, kind) for element in value)


def _is_duration(value: Any) -> bool:
    """Return whether a value is a number of seconds that a call may use."""
    return type(value) in (int, float) and 0 <= value <= MAX_DURATION_S


def _is_announced_job(row: Any) -> bool:
    """Return whether a row is the bytes of a definition and its revision."""
    return isinstance(row, list) and list(map(type, row)) == [bytes, int]


def _has_announced_jobs(call: Any) -> bool:
    """Return whether a call has a list of announced jobs."""
    return isinstance(call.jobs, list) and all(map(_is_announced_job, call.jobs))


def _is_advice(value: Any) -> bool:
    """Return whether a value is the tickets by executor, and how long they are valid."""
    if not isinstance(value, list) or len(value) != 2 or not isinstance(value[0], dict):
        return False
    texts = [*value[0], *value[0].values()]
    return all(isinstance(text, str) for text in texts) and _is_duration(value[1])


def _is_counts(value: Any) -> bool:
    """Return whether a value is numbers by the names of queues."""
    if not isinstance(value, dict):
        return False
    return all(isinstance(name, str) and type(n) is int for name, n in value.items())


def _is_text_or_none(value: Any) -> bool:
    """Return whether a value is a text or missing."""
    return value is None or isinstance(value, str)


MESSAGE_CHECKS: Final[dict[type, Callable[[Any], bool]]] = {
    AnnounceJobs: _has_announced_jobs,
    AnnounceNewJobs: _has_announced_jobs,
    StoreJobs: lambda call: _is_list_of(call.definitions, bytes),
    ShowJob: lambda call: isinstance(call.job, str),
    CancelJob: lambda call: isinstance(call.job, str),
    CountWaiting: lambda call: True,
    AskAdviser: lambda call: isinstance(call.step, str)
    and _is_list_of(call.executors, str)
    and _is_duration(call.timeout_s),
    TakeOver: lambda call: isinstance(call.address, str),
    EndTenure: lambda call: type(call.term) is int,
}
"""Checks of the fields of each call, as another process sends it."""

VALUE_CHECKS: Final[dict[type, Callable[[Any], bool]]] = {
    CountWaiting: _is_counts,
    AskAdviser: _is_advice,
}
"""Checks of the values of positive answers; those to other calls are texts or missing."""


def decode_call(data: bytes) -> Any:
    """Decode a call of another daemon; raises DecodeError if it or its fields are invalid."""
    message = decode_message(data)
    check = MESSAGE_CHECKS.get(type(message))
    if check is None or not check(message):
        raise DecodeError(f"unexpected call or fields of {type(message).__name__}")
    return message


def decode_answer(data: bytes, message: Any) -> PeerAnswer:
    """Decode the answer to a call; raises DecodeError if it or its value is invalid."""
    answer = decode_message(data)
    if not isinstance(answer, PeerAnswer) or not isinstance(answer.outcome, str):
        raise DecodeError(f"unexpected answer {type(answer).__name__}")
    check = _is_text_or_none
    if answer.outcome == OK:
        check = VALUE_CHECKS.get(type(message), _is_text_or_none)
    if not check(answer.value):
        raise DecodeError(f"unexpected value in the answer to {type(message).__name__}")
    return answer


ServeCall = Callable[[Any], Awaitable[PeerAnswer]]


class Peers(Protocol):
    """Calls to other daemons."""

    async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the answer; raise NoAnswerError if there is none."""

    def close(self) -> None:
        """Close all connections."""


class Listener(Protocol):
    """Takes calls from other daemons."""

    async def async_start(self, address: str) -> None:
        """Listen at an address."""

    async def async_stop(self) -> None:
        """Stop listening."""


class PeerTraffic:
    """Counts calls to other daemons and the bytes of their messages, by kind of message."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self._calls: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()
        self._unanswered: Counter[str] = Counter()
        self._summary_started_at = 0.0

    def record_call(self, kind: str, size: int, is_answered: bool) -> None:
        """Count one call, and log the counts at intervals."""
        self._calls[kind] += 1
        self._bytes[kind] += size
        self._unanswered[kind] += not is_answered
        now = asyncio.get_running_loop().time()
        if now < self._summary_started_at + CALL_SUMMARY_INTERVAL_S:
            return
        self._summary_started_at = now
        for name, calls in self._calls.items():
            log_event(
                "peer_calls",
                kind=name,
                calls=calls,
                bytes=self._bytes[name],
                unanswered=self._unanswered[name],
            )
        for counter in (self._calls, self._bytes, self._unanswered):
            counter.clear()


class PeerListener:
    """Takes calls from other daemons."""

    def __init__(self, serve: ServeCall) -> None:
        """Answer each call with the result of `serve`."""
        self._serve = serve
        self._server = Server([self], codec=BytesCodec())

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, as grpclib requires."""
        return {METHOD_PATH: Handler(self._async_call, Cardinality.UNARY_UNARY, bytes, bytes)}

    async def async_start(self, address: str) -> None:
        """Listen at an address."""
        host, _, port = address.rpartition(":")
        await self._server.start(host, int(port))

    async def async_stop(self) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    async def _async_call(self, stream: Stream[bytes, bytes]) -> None:
        """Answer one call."""
        data = await stream.recv_message()
        try:
            message = decode_call(data or b"")
        except DecodeError as err:
            log_event("peer_call_unreadable", error=err)
            await stream.send_message(encode_message(PeerAnswer(FAILED, str(err))))
            return
        await stream.send_message(encode_message(await self._serve(message)))


class PeerCaller:
    """Calls other daemons, over one connection to each."""

    def __init__(self, lag: LoopLag) -> None:
        """Start without connections; timeouts are extended by the lag."""
        self._lag = lag
        self._channels: dict[tuple[str, bool], Channel] = {}
        self._peer_traffic = PeerTraffic()

    async def async_call(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the answer; raise NoAnswerError if there is none.

        A connection on which a call timed out is closed, as it may be dead.
        Calls to the adviser take long, so they use a separate connection.
        """
        key = (address, isinstance(message, AskAdviser))
        channel = self._channels.get(key)
        if channel is None:
            host_and_port = parse_address(address)
            if host_and_port is None:
                raise NoAnswerError(f"{ascii(address)} is no address")
            channel = Channel(*host_and_port, codec=BytesCodec())
            self._channels[key] = channel
        method = UnaryUnaryMethod(channel, METHOD_PATH, bytes, bytes)
        sent = encode_message(message)
        kind = type(message).__name__
        try:
            data = await asyncio.wait_for(method(sent), self._lag.extend(timeout_s))
            self._peer_traffic.record_call(kind, len(sent) + len(data), is_answered=True)
            return decode_answer(data, message)
        except (
            TimeoutError,
            OSError,
            GRPCError,
            StreamTerminatedError,
            DecodeError,
        ) as err:
            self._peer_traffic.record_call(kind, len(sent), is_answered=False)
            if self._channels.get(key) is channel:
                del self._channels[key]
            channel.close()
            if isinstance(err, ConnectionRefusedError):
                raise PeerGoneError(f"{address}: connection refused") from err
            raise NoAnswerError(f"{address}: {type(err).__name__}") from err

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
