"""Tests of the executor client and of timeouts: request bodies, and the outcomes of answers."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from wasabiramp.entry import invalid_inputs
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.timeouts import AdaptiveTimeouts
from wasabiramp.platform.clients import (
    CONNECT_TIMEOUT_S,
    CONNECT_TIMEOUT_SHARE,
    ORDER_TIMEOUT_RANGE_S,
    STORE_TIMEOUT_RANGE_S,
    ExecutorClient,
    HttpClient,
    NoAnswerError,
    NotSentError,
)
from wasabiramp.scheduling import events
from wasabiramp.scheduling.effects import HoldExecutor, PaceTask, StartTask
from wasabiramp.scheduling.model import ExecutorReport


class FakeHttpClient:
    """Gives each call the same answer, and records the calls."""

    def __init__(self, answer: tuple[int, Any] | Exception) -> None:
        """Answer with a status and a body, or fail."""
        self.answer = answer
        self.sent: list[tuple[str, Any, dict[str, str]]] = []
        self.timeouts_s: list[float] = []

    async def async_send(
        self, method: str, url: str, timeout_s: float, body: Any, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        """Record a call and return the answer."""
        self.sent.append((url, body, headers))
        self.timeouts_s.append(timeout_s)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer[0], orjson.dumps(self.answer[1])


def send_start(answer: tuple[int, Any] | Exception) -> tuple[str, FakeHttpClient]:
    """Send a start order and return its outcome, and the client that recorded the call."""
    http = FakeHttpClient(answer)
    effect = StartTask("i-1", "10.0.0.1:80", "a.0.0.0", 2, "x", 9_000, "", "t")
    client: Any = ExecutorClient(http)  # type: ignore[arg-type]
    return asyncio.run(client.async_start(effect, 7)).outcome, http


class TestStart:
    """An order counts as not carried out only after a definite refusal or without a connection."""

    @pytest.mark.parametrize(
        ("answer", "outcome"),
        [
            ((200, {"clockMs": 5}), events.STARTED),
            ((409, {"reason": "fence"}), events.REFUSED_FENCE),
            ((409, {"reason": "old"}), events.REFUSED_OLD),
            ((409, {"reason": "ticket"}), events.REFUSED_TICKET),
            ((421, {}), events.OTHER_INCARNATION),
            ((503, {}), events.REFUSED_BUSY),
            ((500, {}), events.UNKNOWN),
            (NotSentError("no"), events.NOT_SENT),
            (NoAnswerError("cut"), events.UNKNOWN),
        ],
    )
    def test_answer_gives_outcome(self, answer: Any, outcome: str) -> None:
        assert send_start(answer)[0] == outcome

    def test_body_and_expected_executor(self) -> None:
        _outcome, http = send_start((200, {}))
        url, body, headers = http.sent[0]
        assert url == "http://10.0.0.1:80/v1/run-start"
        assert headers["Expect-Instance"] == "i-1"
        assert body == {
            "task": "a.0.0.0",
            "run": 2,
            "spec": "x",
            "untilMs": 9_000,
            "fencingToken": 7,
            "ticket": "t",
        }


class TestPace:
    """A change of pace is sent like any other order."""

    def test_body(self) -> None:
        http = FakeHttpClient((200, {"clockMs": 5}))
        client: Any = ExecutorClient(http)  # type: ignore[arg-type]
        effect = PaceTask("i-1", "10.0.0.1:80", "a.0.0.0", 2, 30)
        assert asyncio.run(client.async_pace(effect, 7)).outcome == events.STARTED
        url, body, _headers = http.sent[0]
        assert url == "http://10.0.0.1:80/v1/pace"
        assert body == {"task": "a.0.0.0", "run": 2, "percent": 30, "fencingToken": 7}


class TestTimeouts:
    """A failed connection is detected as such before the whole timeout is over."""

    @pytest.mark.parametrize("timeout_s", ORDER_TIMEOUT_RANGE_S)
    def test_connect_timeout_is_shorter_than_order_timeout(self, timeout_s: float) -> None:
        assert min(CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_SHARE * timeout_s) < timeout_s


class TestLostAnswerOfAnExecutor:
    """A lost answer is noticed soon, and an executor that has become slow is given longer."""

    def send_twice(self, first: tuple[int, Any] | Exception) -> list[float]:
        """Send two starts, of which the first has the given outcome, and return their timeouts."""
        http = FakeHttpClient(first)
        client: Any = ExecutorClient(http)  # type: ignore[arg-type]
        effect = StartTask("i-1", "10.0.0.1:80", "a.0.0.0", 2, "x", 9_000, "", "t")

        async def run_scenario() -> None:
            await client.async_start(effect, 7)
            http.answer = (200, {})
            await client.async_start(effect, 7)

        asyncio.run(run_scenario())
        return http.timeouts_s

    def test_second_call_after_a_lost_answer_has_the_longest_timeout(self) -> None:
        assert self.send_twice(NoAnswerError("cut")) == list(ORDER_TIMEOUT_RANGE_S)

    def test_second_call_after_an_answer_has_the_shortest_timeout(self) -> None:
        assert self.send_twice((200, {})) == [ORDER_TIMEOUT_RANGE_S[0]] * 2


class TestWithdrawnCall:
    """A call without an answer is withdrawn, so that it does not reach the next process."""

    # Guards against TWICE: a call that a partition held up was served by the next process.
    def test_connection_is_reset_after_a_timeout(self) -> None:
        async def async_run() -> str:
            ends: asyncio.Queue[str] = asyncio.Queue()

            async def async_accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                try:
                    while await reader.read(65_536):
                        pass
                    ends.put_nowait("closed")
                except ConnectionResetError:
                    ends.put_nowait("reset")
                finally:
                    writer.close()

            server = await asyncio.start_server(async_accept, "127.0.0.1", 0)
            url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
            client = HttpClient(LoopLag())
            with pytest.raises(NoAnswerError):
                await client.async_send("POST", url, 0.1, {})
            end = await asyncio.wait_for(ends.get(), 5.0)
            await client.async_close()
            server.close()
            return end

        assert asyncio.run(async_run()) == "reset"


class TestAdaptiveTimeouts:
    """Guards against giving up the answers of a store that is 65 times slower than usual."""

    def test_few_slow_answers_raise_the_timeout(self) -> None:
        timeouts = AdaptiveTimeouts(*STORE_TIMEOUT_RANGE_S)
        for _ in range(5):
            timeouts.record_response_time("kv-txn", 0.26)
        assert timeouts.get_timeout("kv-txn") > 1.0
        assert timeouts.get_timeout("kv-key") == STORE_TIMEOUT_RANGE_S[0]

    def test_fast_answers_keep_the_shortest_timeout(self) -> None:
        timeouts = AdaptiveTimeouts(*STORE_TIMEOUT_RANGE_S)
        timeouts.record_response_time("kv-txn", 0.004)
        assert timeouts.get_timeout("kv-txn") == STORE_TIMEOUT_RANGE_S[0]

    def test_timeout_is_limited(self) -> None:
        timeouts = AdaptiveTimeouts(*STORE_TIMEOUT_RANGE_S)
        for _ in range(20):
            timeouts.record_response_time("kv-txn", 5.0)
        assert timeouts.get_timeout("kv-txn") == STORE_TIMEOUT_RANGE_S[1]


class TestCallsThatCannotBeSent:
    """An order that cannot be encoded or addressed has an outcome, not an unexpected error."""

    def send(self, effect: StartTask) -> str:
        """Send a start with a real client and return its outcome."""

        async def async_run() -> str:
            http = HttpClient(LoopLag())
            try:
                return (await ExecutorClient(http).async_start(effect, 7)).outcome
            finally:
                await http.async_close()

        return asyncio.run(async_run())

    # Guards against a traceback for each call to an executor of another writer's entry.
    @pytest.mark.parametrize(
        ("executor", "address"),
        [
            ("i\r\nA: b", "127.0.0.1:9"),
            ("i\n1", "127.0.0.1:9"),
            ("i\x00", "127.0.0.1:9"),
            ("i\ud800", "127.0.0.1:9"),
            ("i-1", "127.0.0.1:70000"),
            ("i-1", "127.0.0.1:8²"),
            ("i-1", "10.0.0.1\r\nA: b:80"),
            ("i-1", "[::1:80"),
            ("i-1", "a" * 300 + ":80"),
            ("i-1", "\ud800:80"),
        ],
        ids=ascii,
    )
    def test_odd_address_or_id(self, executor: str, address: str) -> None:
        effect = StartTask(executor, address, "a.0.0.0", 2, "x", 9_000, "", "t")
        assert self.send(effect) in (events.UNKNOWN, events.NOT_SENT)

    @pytest.mark.parametrize("until_ms", [2**64, float("nan"), 10**400])
    def test_number_that_json_cannot_hold(self, until_ms: Any) -> None:
        effect = StartTask("i-1", "127.0.0.1:9", "a.0.0.0", 2, "x", until_ms, "", "t")
        assert self.send(effect) == events.NOT_SENT

    def test_text_that_cannot_be_encoded(self) -> None:
        effect = StartTask("i-1", "127.0.0.1:9", "a.0.0.0", 2, "\ud800", 9_000, "", "t")
        assert self.send(effect) == events.NOT_SENT


class TestHold:
    """A report that cannot be read counts as lost, and is logged once."""

    def test_odd_reports_are_logged_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        lines: list[Any] = []
        monkeypatch.setattr(
            invalid_inputs, "log_event", lambda event, **fields: lines.append(fields["error"])
        )
        good = {"clockMs": 5, "born": 9, "running": [], "ended": []}
        http = FakeHttpClient((200, good))
        client: Any = ExecutorClient(http)  # type: ignore[arg-type]
        outcomes = []

        async def run_scenario() -> None:
            for clock_ms in (5, -1, -1, -1, 5, -1):
                http.answer = (200, {**good, "clockMs": clock_ms})
                effect = HoldExecutor("i-1", "10.0.0.1:80", None, 0, 0.0)
                outcomes.append(await client.async_hold(effect, 7))

        asyncio.run(run_scenario())
        is_report = [isinstance(outcome, ExecutorReport) for outcome in outcomes]
        assert is_report == [True, False, False, False, True, False]
        assert outcomes[1] == events.UNKNOWN
        assert [line.partition(":")[0] for line in lines] == ["clockMs", "clockMs"]
