"""Tests of calls between daemons whose fields or answers are of another form."""

from __future__ import annotations

import asyncio
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
import pytest

from wasabiramp.core.records import DecodeError, decode_message, encode_message
from wasabiramp.core.verdict import Verdict
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.peers import (
    ENDING,
    FAILED,
    METHOD_PATH,
    OK,
    UNCONFIRMED,
    AnnounceJobs,
    AskAdviser,
    CancelJob,
    CountWaiting,
    PeerAnswer,
    PeerCaller,
    PeerListener,
    ShowJob,
    StoreJobs,
    TakeOver,
    decode_answer,
    decode_call,
)
from wasabiramp.entry.ports import NoAnswerError
from wasabiramp.peer.streams import BytesCodec

CALLS: list[Any] = [
    AnnounceJobs([(b"x", 5)]),
    AnnounceJobs([]),
    StoreJobs([b"x"]),
    ShowJob("a"),
    CancelJob("a"),
    CountWaiting(),
    AskAdviser("s", ["e"], 0.5),
    TakeOver("10.0.0.1:80"),
]
ODD_CALLS: list[Any] = [
    None,
    5,
    "text",
    [ShowJob("a")],
    {"a": 1},
    PeerAnswer(OK),
    Verdict.not_run("full"),
    AnnounceJobs(5),  # type: ignore[arg-type]
    AnnounceJobs([5]),  # type: ignore[list-item]
    AnnounceJobs([(b"x",)]),  # type: ignore[list-item]
    AnnounceJobs([("x", 5)]),  # type: ignore[list-item]
    AnnounceJobs([(b"x", True)]),
    AnnounceJobs([(b"x", "5")]),  # type: ignore[list-item]
    StoreJobs({}),  # type: ignore[arg-type]
    StoreJobs([5]),  # type: ignore[list-item]
    ShowJob([]),  # type: ignore[arg-type]
    CancelJob({}),  # type: ignore[arg-type]
    AskAdviser(5, ["e"], 0.5),  # type: ignore[arg-type]
    AskAdviser("s", "e", 0.5),  # type: ignore[arg-type]
    AskAdviser("s", [5], 0.5),  # type: ignore[list-item]
    AskAdviser("s", ["e"], float("nan")),
    AskAdviser("s", ["e"], float("inf")),
    AskAdviser("s", ["e"], -1.0),
    AskAdviser("s", ["e"], "1"),  # type: ignore[arg-type]
    TakeOver(None),  # type: ignore[arg-type]
]
ODD_ANSWERS: list[tuple[Any, Any]] = [
    (ShowJob("a"), PeerAnswer(OK, ["done"])),
    (ShowJob("a"), PeerAnswer(OK, b"done")),
    (ShowJob("a"), PeerAnswer(UNCONFIRMED, {})),
    (ShowJob("a"), PeerAnswer(["ok"], "done")),  # type: ignore[arg-type]
    (ShowJob("a"), ShowJob("a")),
    (ShowJob("a"), None),
    (CancelJob("a"), PeerAnswer(OK, 5)),
    (StoreJobs([]), PeerAnswer(OK, ["stored"])),
    (CountWaiting(), PeerAnswer(OK, None)),
    (CountWaiting(), PeerAnswer(OK, [1])),
    (CountWaiting(), PeerAnswer(OK, {"q": "1"})),
    (CountWaiting(), PeerAnswer(OK, {1: 1})),
    (AskAdviser("s", [], 0.5), PeerAnswer(OK, None)),
    (AskAdviser("s", [], 0.5), PeerAnswer(OK, [])),
    (AskAdviser("s", [], 0.5), PeerAnswer(OK, ([], 2.5))),
    (AskAdviser("s", [], 0.5), PeerAnswer(OK, ({"e": 5}, 2.5))),
    (AskAdviser("s", [], 0.5), PeerAnswer(OK, ({}, float("nan")))),
    (AskAdviser("s", [], 0.5), PeerAnswer(OK, ({}, 1e308))),
]


class TestCalls:
    """A call of another form is refused before it is served."""

    @pytest.mark.parametrize("call", CALLS, ids=range(len(CALLS)))
    def test_call(self, call: Any) -> None:
        assert type(decode_call(encode_message(call))) is type(call)

    @pytest.mark.parametrize("call", ODD_CALLS, ids=range(len(ODD_CALLS)))
    def test_odd_call_is_refused(self, call: Any) -> None:
        with pytest.raises(DecodeError):
            decode_call(encode_message(call))

    # Guards against errors in the code that serves calls.
    def test_listener_goes_on_after_odd_calls(self) -> None:
        served: list[Any] = []

        async def serve(message: Any) -> PeerAnswer:
            served.append(message)
            return PeerAnswer(OK, "done")

        async def run_scenario() -> None:
            listener = PeerListener(serve)
            await listener.async_start("127.0.0.1:0")
            port = listener._server._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
            channel = Channel("127.0.0.1", port, codec=BytesCodec())
            method = UnaryUnaryMethod(channel, METHOD_PATH, bytes, bytes)
            for call in ODD_CALLS:
                answer = decode_message(await method(encode_message(call)))
                assert answer.outcome == FAILED
            for data in (b"", b"\xc1", b"\x91" * 100_000):
                assert decode_message(await method(data)).outcome == FAILED
            good = decode_message(await method(encode_message(ShowJob("a"))))
            assert good == PeerAnswer(OK, "done")
            channel.close()
            await listener.async_stop()

        asyncio.run(run_scenario())
        assert served == [ShowJob("a")]


class TestAnswers:
    """An answer of another form counts as missing."""

    @pytest.mark.parametrize(
        ("call", "answer"),
        [
            (ShowJob("a"), PeerAnswer(OK, "done")),
            (ShowJob("a"), PeerAnswer(ENDING)),
            (CountWaiting(), PeerAnswer(OK, {"q": 5})),
            (AskAdviser("s", [], 0.5), PeerAnswer(OK, [{"e": "t"}, 2.5])),
            (AskAdviser("s", [], 0.5), PeerAnswer(FAILED, "no answer")),
            (AnnounceJobs([]), PeerAnswer(OK)),
        ],
        ids=range(6),
    )
    def test_answer(self, call: Any, answer: PeerAnswer) -> None:
        assert decode_answer(encode_message(answer), call) == answer

    # Guards against a step whose question to the adviser stayed open for good.
    @pytest.mark.parametrize(("call", "answer"), ODD_ANSWERS, ids=range(len(ODD_ANSWERS)))
    def test_odd_answer_counts_as_missing(self, call: Any, answer: Any) -> None:
        class OddListener(PeerListener):
            async def _async_call(self, stream: Any) -> None:
                await stream.recv_message()
                await stream.send_message(encode_message(answer))

        async def run_scenario() -> None:
            listener = OddListener(None)  # type: ignore[arg-type]
            await listener.async_start("127.0.0.1:0")
            port = listener._server._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
            caller = PeerCaller(LoopLag())
            with pytest.raises(NoAnswerError):
                await caller.async_call(f"127.0.0.1:{port}", call, 2.0)
            caller.close()
            await listener.async_stop()

        asyncio.run(run_scenario())
