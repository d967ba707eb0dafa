"""Tests of decoding the platform's entries, executors' reports and callers' jobs."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from wasabiramp.core.records import DecodeError
from wasabiramp.platform.wire import (
    MAX_CPU_MILLICORES,
    MAX_WHOLE_NUMBER,
    InputError,
    decode_advice_answer,
    decode_config,
    decode_executor,
    decode_job,
    decode_order_answer,
    decode_report,
)
from wasabiramp.scheduling.model import AdvicePolicy, Queue, Resources
from wasabiramp.scheduling.records import decode_definition, encode_definition

QUEUE = Queue("q", "h", "/q/", "s")
ROUTE = {"name": "r", "host": "h", "prefix": "/p/"}
EXECUTOR_ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 1_700_000_000_000,
    "seq": 4,
}

ENTRY_START = orjson.dumps({k: v for k, v in EXECUTOR_ENTRY.items() if k != "born"})[:-1] + b","
NESTED_LIST: list[Any] = []
for _ in range(100):
    NESTED_LIST = [NESTED_LIST]


def repr_shortly(value: Any) -> str:
    """Return a short name of a parameter."""
    return ascii(value)[:40]


def decode_body(body: Any) -> Any:
    """Decode a request body as a job."""
    return decode_job(orjson.dumps(body), "a" * 16, QUEUE, 5)


class TestConfig:
    """A configuration is decoded completely, or refused."""

    def test_queue(self) -> None:
        route = {
            "name": "r",
            "host": "h",
            "prefix": "/p/",
            "targetLatencyMs": 250,
            "service": "s",
            "maxAttempts": 2,
            "stretch": 1.5,
            "advice": {"decideMs": 20, "eachMs": 0.5, "validMs": 2500},
        }
        config = decode_config(orjson.dumps({"version": 7, "routes": [route], "limits": {}}))
        queue = config.route("h", "/p/abc")
        assert queue is not None
        assert (queue.max_attempts, queue.target_s) == (2, 0.25)
        assert queue.advice == AdvicePolicy(0.02, 0.0005, 2.5)
        assert config.route("other", "/p/abc") is None

    def test_services(self) -> None:
        rows: list[Any] = [{"name": "a"}, {"name": 5}, 5, {}]
        for services, names in ((rows, {"a", "s"}), ({"a": 1}, {"s"}), (None, {"s"})):
            raw = {"version": 1, "routes": [{**ROUTE, "service": "s"}], "services": services}
            assert decode_config(orjson.dumps(raw)).services == names

    def test_longest_prefix(self) -> None:
        routes = [{"name": n, "host": "h", "prefix": p} for n, p in (("a", "/a/"), ("b", "/a/b/"))]
        config = decode_config(orjson.dumps({"version": 1, "routes": routes}))
        found = config.route("h", "/a/b/c")
        assert found is not None
        assert found.name == "b"

    @pytest.mark.parametrize("raw", [b"{", b"[]", b'{"routes":[]}', b'{"version":1,"routes":[{}]}'])
    def test_unreadable(self, raw: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_config(raw)

    # Guards against a version so great that all later ones are ignored, and against numbers that
    # the records of jobs cannot hold.
    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"version": 1e308}, "version"),
            ({"version": 2**63}, "version"),
            ({"version": 1.5}, "version"),
            ({"version": "7"}, "version"),
            ({"version": True}, "version"),
            ({"version": -1}, "version"),
            ({"version": None}, "version"),
            ({"limits": 5}, "limits"),
            ({"limits": {"maxBodyBytes": 1e308}}, "limits.maxBodyBytes"),
            ({"limits": {"maxBodyBytes": -1}}, "limits.maxBodyBytes"),
            ({"routes": {"a": 1}}, "routes"),
            ({"routes": [[]]}, r"routes\[0\]"),
            ({"routes": [{**ROUTE, "name": [1]}]}, r"routes\[0\].name"),
            ({"routes": [ROUTE, {**ROUTE, "host": {}}]}, r"routes\[1\].host"),
            ({"routes": [{**ROUTE, "prefix": 5}]}, r"routes\[0\].prefix"),
            ({"routes": [{**ROUTE, "service": 5}]}, r"routes\[0\].service"),
            ({"routes": [{**ROUTE, "priority": 1e308}]}, r"routes\[0\].priority"),
            ({"routes": [{**ROUTE, "priority": -1}]}, r"routes\[0\].priority"),
            ({"routes": [{**ROUTE, "maxAttempts": "2"}]}, r"routes\[0\].maxAttempts"),
            ({"routes": [{**ROUTE, "maxAttempts": -1}]}, r"routes\[0\].maxAttempts"),
            ({"routes": [{**ROUTE, "stretch": -1.5}]}, r"routes\[0\].stretch"),
            ({"routes": [{**ROUTE, "timeoutMs": 1e308}]}, r"routes\[0\].timeoutMs"),
            ({"routes": [{**ROUTE, "targetLatencyMs": True}]}, r"routes\[0\].targetLatencyMs"),
            ({"routes": [{**ROUTE, "advice": 5}]}, r"routes\[0\].advice"),
            (
                {"routes": [{**ROUTE, "advice": {"validMs": 1e308}}]},
                r"routes\[0\].advice.validMs",
            ),
        ],
        ids=repr_shortly,
    )
    def test_invalid_field_is_named(self, change: dict[str, Any], field: str) -> None:
        raw = {"version": 1, "routes": [ROUTE], "limits": {}, **change}
        with pytest.raises(DecodeError, match=f"^{field}: "):
            decode_config(orjson.dumps(raw))

    @pytest.mark.parametrize(
        "raw",
        [
            b'{"version":1e400}',
            b'{"version":NaN}',
            b'{"version":' + b"1" * 5_000 + b"}",
            b'{"version":"' + b"1" * 5_000 + b'"}',
            b"[" * 100_000,
            b'{"a":' * 100_000,
            b'{"version":1,"routes":[{"name":"\\ud800"}]}',
            b"\xff",
            b"5",
        ],
        ids=range(9),
    )
    def test_undecodable(self, raw: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_config(raw)


class TestExecutor:
    """An executor's entry is decoded; the error of an invalid one names the field."""

    def test_entry(self) -> None:
        entry = decode_executor("servers/i-1", orjson.dumps(EXECUTOR_ENTRY))
        assert (entry.id, entry.rack, entry.kind) == ("i-1", "r1-3", "a")
        assert entry.capacity == Resources(16000, 32768, 0)

    def test_draining_entry(self) -> None:
        changed = {**EXECUTOR_ENTRY, "state": "draining", "remainingMs": 1_500}
        entry = decode_executor("servers/i-1", orjson.dumps(changed))
        assert (entry.is_draining, entry.remaining_s) == (True, 1.5)

    # Guards against entries of other writers that were taken for executors, and whose numbers and
    # addresses later calls and records could not hold.
    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"state": "odd"}, "state"),
            ({"state": ["ready"]}, "state"),
            ({"state": None}, "state"),
            ({"service": 5}, "service"),
            ({"service": ""}, "service"),
            ({"service": "s" * 5_000}, "service"),
            ({"address": None}, "address"),
            ({"address": "nowhere"}, "address"),
            ({"address": ":80"}, "address"),
            ({"address": "10.0.0.1"}, "address"),
            ({"address": "10.0.0.1:"}, "address"),
            ({"address": "10.0.0.1:0"}, "address"),
            ({"address": "10.0.0.1:65536"}, "address"),
            ({"address": "10.0.0.1:70000"}, "address"),
            ({"address": "10.0.0.1:-80"}, "address"),
            ({"address": "10.0.0.1:+80"}, "address"),
            ({"address": "10.0.0.1: 80"}, "address"),
            ({"address": "10.0.0.1:8_0"}, "address"),
            ({"address": "10.0.0.1:8²"}, "address"),
            ({"address": "10.0.0.1:٨٠"}, "address"),
            ({"address": "10.0.0.1:" + "8" * 5_000}, "address"),
            ({"address": "10.0.0.1:80\n"}, "address"),
            ({"address": "executor.example:80"}, "address"),
            ({"address": "localhost:80"}, "address"),
            ({"address": "10.0.0.256:80"}, "address"),
            ({"address": "10.0.1:80"}, "address"),
            ({"address": "10.0.0.1/x:80"}, "address"),
            ({"address": "u@10.0.0.1:80"}, "address"),
            ({"address": "10.0.0.1\r\nA: b:80"}, "address"),
            ({"address": "::1:80"}, "address"),
            ({"address": "[fe80::1%eth0]:80"}, "address"),
            ({"address": "[10.0.0.1]:80"}, "address"),
            ({"zone": 5}, "zone"),
            ({"zone": "z" * 5_000}, "zone"),
            ({"capacity": None}, "capacity"),
            ({"capacity": [16_000]}, "capacity"),
            ({"capacity": {"cpu": "much"}}, "capacity.cpu"),
            ({"capacity": {"cpu": True}}, "capacity.cpu"),
            ({"capacity": {"cpu": -1}}, "capacity.cpu"),
            ({"capacity": {"cpu": 1e308}}, "capacity.cpu"),
            ({"capacity": {"cpu": 2**64 - 1}}, "capacity.cpu"),
            ({"capacity": {"memMb": 1e308}}, "capacity.memMb"),
            ({"capacity": {"memMb": [1]}}, "capacity.memMb"),
            ({"capacity": {"gpu": 2**53}}, "capacity.gpu"),
            ({"labels": [1]}, "labels"),
            ({"labels": "ab"}, "labels"),
            ({"labels": {"a": 1}}, "labels"),
            ({"labels": ["a"] * 5_000}, "labels"),
            ({"labels": ["a" * 5_000]}, "labels"),
            ({"born": "yesterday"}, "born"),
            ({"born": None}, "born"),
            ({"born": True}, "born"),
            ({"born": -1}, "born"),
            ({"born": 1.5}, "born"),
            ({"born": 1e308}, "born"),
            ({"born": 2**63}, "born"),
            ({"born": 9_000_000_000_000_000}, "born"),
            ({"remainingMs": 1e308}, "remainingMs"),
            ({"remainingMs": -5}, "remainingMs"),
            ({"remainingMs": "soon"}, "remainingMs"),
            ({"other": NESTED_LIST}, "entry"),
            ({"other": "x" * 100_000}, "entry"),
        ],
        ids=repr_shortly,
    )
    def test_invalid_field_is_named(self, change: dict[str, Any], field: str) -> None:
        with pytest.raises(DecodeError) as caught:
            decode_executor("servers/i-1", orjson.dumps({**EXECUTOR_ENTRY, **change}))
        assert str(caught.value).startswith(f"{field}: ")
        assert len(str(caught.value)) < 120

    @pytest.mark.parametrize("field", ["service", "address", "state", "capacity", "born"])
    def test_missing_field_is_named(self, field: str) -> None:
        raw = {name: value for name, value in EXECUTOR_ENTRY.items() if name != field}
        with pytest.raises(DecodeError, match=f"^{field}: "):
            decode_executor("servers/i-1", orjson.dumps(raw))

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b"\xff\xfe",
            b"[]",
            b"null",
            b"5",
            b"[" * 100_000,
            b'{"a":' * 100_000,
            b"1" * 5_000,
            ENTRY_START + b'"born":1e400}',
            ENTRY_START + b'"born":NaN}',
            ENTRY_START + b'"born":Infinity}',
            ENTRY_START + b'"born":' + b"1" * 5_000 + b"}",
            ENTRY_START + b'"zone":"\\ud800"}',
            ENTRY_START + b'"zone":"\xed\xa0\x80"}',
            ENTRY_START + b'"other":' + b"[" * 1_000 + b"]" * 1_000 + b"}",
            ENTRY_START + b'"other":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ],
        ids=range(16),
    )
    def test_undecodable_entry_is_refused(self, raw: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_executor("servers/i-1", raw)

    # Guards against a ValueError of the HTTP library, which was logged for each call.
    @pytest.mark.parametrize(
        "executor_id", ["", "a b", "a\r\nb: c", "a\x00", "ä", "\ud800", "a/b", "a?b", "a" * 193]
    )
    def test_id_that_no_header_can_hold_is_refused(self, executor_id: str) -> None:
        with pytest.raises(DecodeError, match="^id: "):
            decode_executor(f"servers/{executor_id}", orjson.dumps(EXECUTOR_ENTRY))

    @pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1:65535", "[::1]:80"])
    def test_valid_address(self, address: str) -> None:
        raw = orjson.dumps({**EXECUTOR_ENTRY, "address": address})
        assert decode_executor("servers/i-1", raw).address == address


class TestReport:
    """The rows of an executor's report are decoded, or the report is refused."""

    def test_rows(self) -> None:
        report = decode_report(
            b'{"clockMs":5,"born":9,"running":[["t.0.0.0",2,"s",41,7]],'
            b'"ended":[[58,"t.0.0.1",1,"done",""]]}'
        )
        assert (report.running[0].run, report.running[0].saved) == (2, "s")
        assert (report.ended[0].number, report.ended[0].how) == (58, "done")

    def test_unreadable(self) -> None:
        with pytest.raises(DecodeError):
            decode_report(b'{"running":[[1]]}')

    # Guards against clocks and numbers that no order can hold, and against texts that are none.
    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"clockMs": 1e308}, "clockMs"),
            ({"clockMs": 2**64 - 1}, "clockMs"),
            ({"clockMs": -5}, "clockMs"),
            ({"clockMs": True}, "clockMs"),
            ({"clockMs": "5"}, "clockMs"),
            ({"clockMs": None}, "clockMs"),
            ({"born": 1e308}, "born"),
            ({"born": 2**63}, "born"),
            ({"born": 1.5}, "born"),
            ({"born": None}, "born"),
            ({"running": {"a": 1}}, "running"),
            ({"running": 5}, "running"),
            ({"running": [5]}, "running"),
            ({"running": [[]]}, "running"),
            ({"running": [[5, 1, "", 1]]}, "running.task"),
            ({"running": [[["a"], 1, "", 1]]}, "running.task"),
            ({"running": [["a" * 5_000, 1, "", 1]]}, "running.task"),
            ({"running": [["a", "1", "", 1]]}, "running.run"),
            ({"running": [["a", 2**64 - 1, "", 1]]}, "running.run"),
            ({"running": [["a", 1.5, "", 1]]}, "running.run"),
            ({"running": [["a", 1, ["x"], 1]]}, "running.saved"),
            ({"running": [["a", 1, "x" * 70_000, 1]]}, "running.saved"),
            ({"running": [["a", 1, "", "1"]]}, "running.percent"),
            ({"running": [["a", 1, "", 1e308]]}, "running.percent"),
            ({"running": [["a", 1, "", -1]]}, "running.percent"),
            ({"running": [["a", 1, "", 1, {}, 2]]}, None),
            ({"running": [["a", 1, "", 1, [1]]]}, "running.figure"),
            ({"running": [["a", 1, "", 1, 1e308]]}, "running.figure"),
            ({"ended": "abc"}, "running"),
            ({"ended": [["a", "t", 1, "done"]]}, "ended.number"),
            ({"ended": [[2**63, "t", 1, "done"]]}, "ended.number"),
            ({"ended": [[1, None, 1, "done"]]}, "ended.task"),
            ({"ended": [[1, "t", -1, "done"]]}, "ended.run"),
            ({"ended": [[1, "t", 1, 5]]}, "ended.how"),
            ({"ended": [[1, "t", 1, "done", 5]]}, "ended.saved"),
            ({"ended": [[1, "t", 1]]}, "ended"),
        ],
        ids=repr_shortly,
    )
    def test_invalid_field_is_named(self, change: dict[str, Any], field: str | None) -> None:
        raw = {"clockMs": 5, "born": 9, "running": [["t.0.0.0", 2, "", 41]], "ended": [], **change}
        if field is None:
            assert decode_report(orjson.dumps(raw)).running[0].figure == 0
            return
        with pytest.raises(DecodeError, match=f"^{field}[:,]") as caught:
            decode_report(orjson.dumps(raw))
        assert len(str(caught.value)) < 120

    @pytest.mark.parametrize(
        "raw", [b"", b"[]", b"5", b"[" * 100_000, b'{"clockMs":1e400}', b'{"a":"\\ud800"}', b"\xff"]
    )
    def test_undecodable(self, raw: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_report(raw)


class TestOrderAnswer:
    """The body of an answer to an order may be odd, as its status decides."""

    @pytest.mark.parametrize(
        ("raw", "answer"),
        [
            (b'{"clockMs":5,"reason":"fence"}', ("fence", 5)),
            (b'{"clockMs":true,"reason":"fence"}', ("fence", None)),
            (b'{"clockMs":18446744073709551615,"reason":["fence"]}', ("", None)),
            (b'{"clockMs":1e308}', ("", None)),
            (b'{"clockMs":-1}', ("", None)),
            (b'{"clockMs":1e400}', ("", None)),
            (b"[" * 100_000, ("", None)),
            (b"[5]", ("", None)),
            (b"", ("", None)),
            (b"\xff", ("", None)),
        ],
        ids=range(10),
    )
    def test_answer(self, raw: bytes, answer: tuple[str, int | None]) -> None:
        assert decode_order_answer(raw) == answer


class TestAdvice:
    """The adviser's answer is decoded; an odd row does not hide the others."""

    @pytest.mark.parametrize(
        "row", [5, None, [], ["e2"], [["e2"], "t"], [{}, "t"], ["e2", 5], ["e2", None], {}, "e2"]
    )
    def test_odd_row_recommends_no_executor(self, row: Any) -> None:
        raw = {"good": [["e1", "t1"], row, ["e3", "t3"]], "validMs": 2_500}
        assert decode_advice_answer(orjson.dumps(raw)) == ({"e1": "t1", "e3": "t3"}, 2.5)

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b"[]",
            b"[" * 100_000,
            b'{"good":{},"validMs":5}',
            b'{"good":[]}',
            b'{"good":[],"validMs":1e308}',
            b'{"good":[],"validMs":1e400}',
            b'{"good":[],"validMs":-1}',
            b'{"good":[],"validMs":true}',
            b'{"good":[],"validMs":"5"}',
        ],
        ids=range(10),
    )
    def test_odd_answer_is_refused(self, raw: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_advice_answer(raw)


class TestJob:
    """A job is decoded; the error of an invalid one names the field."""

    def test_steps(self) -> None:
        job = decode_body({"spec": "x", "steps": [{"count": 2, "cpu": 500, "gang": True}]})
        assert job.steps[0].is_gang
        assert job.steps[0].demand == Resources(500, 0, 0)

    def test_step_that_fills_demands_no_processors(self) -> None:
        job = decode_body({"steps": [{"count": 1, "cpu": 500, "memMb": 7, "fills": True}]})
        assert job.steps[0].demand == Resources(0, 7, 0)
        assert job.steps[0].fills

    def test_step_of_a_service(self) -> None:
        job = decode_body({"steps": [{"count": 1, "image": "web", "targetMs": 250}]})
        assert (job.steps[0].image, job.steps[0].target_s) == ("web", 0.25)

    @pytest.mark.parametrize(
        ("body", "field"),
        [
            ([], "body"),
            ({"spec": 5, "steps": [{"count": 1}]}, "spec"),
            ({"spec": "x" * 4001, "steps": [{"count": 1}]}, "spec"),
            ({}, "steps"),
            ({"steps": []}, "steps"),
            ({"steps": [5]}, "steps[0]"),
            ({"steps": [{"count": 0}]}, "steps[0].count"),
            ({"steps": [{"count": 1, "cpu": -1}]}, "steps[0].cpu"),
            ({"steps": [{"count": 1, "cpu": "2"}]}, "steps[0].cpu"),
            ({"steps": [{"count": 1, "after": [0]}]}, "steps[0].after"),
            ({"steps": [{"count": 1, "after": ["a"]}]}, "steps[0].after"),
            ({"steps": [{"count": 1, "requires": 4}]}, "steps[0].requires"),
            ({"steps": [{"count": 30_000}]}, "steps"),
            ({"steps": [{"count": 1}], "repeatCount": -1}, "body.repeatCount"),
            ({"steps": [{"count": 1}], "repeatCount": 1e308}, "body.repeatCount"),
            ({"steps": [{"count": 1}], "firstMs": 2**64 - 1}, "body.firstMs"),
            ({"steps": [{"count": 1}], "intervalMs": True}, "body.intervalMs"),
            ({"steps": [{"count": 1e308}]}, "steps[0].count"),
            ({"steps": [{"count": 1, "cpu": 1e308}]}, "steps[0].cpu"),
            ({"steps": [{"count": 1, "cpu": MAX_CPU_MILLICORES + 1}]}, "steps[0].cpu"),
            ({"steps": [{"count": 1, "memMb": 2**63}]}, "steps[0].memMb"),
            ({"steps": [{"count": 1, "gpu": MAX_WHOLE_NUMBER}]}, "steps[0].gpu"),
            ({"steps": [{"count": 1, "estimateMs": 1e308}]}, "steps[0].estimateMs"),
            ({"steps": [{"count": 1, "antiAffinity": 1e308}]}, "steps[0].antiAffinity"),
            ({"steps": [{"count": 1, "mayMiss": [1]}]}, "steps[0].mayMiss"),
            ({"steps": [{"count": 1, "targetMs": 2**64 - 1}]}, "steps[0].targetMs"),
            ({"steps": [{"count": 1, "after": [2**63]}]}, "steps[0].after"),
            ({"steps": [{"count": 1, "after": [True]}]}, "steps[0].after"),
        ],
    )
    def test_invalid_field_is_named(self, body: Any, field: str) -> None:
        with pytest.raises(InputError) as caught:
            decode_body(body)
        assert str(caught.value).startswith(field)

    # Guards against a job that can be decoded but not stored, which failed those beside it.
    def test_greatest_numbers_can_be_stored(self) -> None:
        step = dict.fromkeys(
            ("estimateMs", "antiAffinity", "mayMiss", "targetMs"), MAX_WHOLE_NUMBER
        )
        times = dict.fromkeys(("repeatCount", "firstMs", "intervalMs"), MAX_WHOLE_NUMBER)
        job = decode_body({"steps": [{"count": 1, "cpu": MAX_CPU_MILLICORES, **step}], **times})
        assert decode_definition(encode_definition(job)) == job

    @pytest.mark.parametrize(
        "body",
        [
            b"[" * 100_000,
            b'{"a":' * 100_000,
            b'{"steps":[{"count":1e400}]}',
            b'{"steps":[{"count":NaN}]}',
            b'{"steps":[{"count":' + b"1" * 5_000 + b"}]}",
            b'{"spec":"\\ud800","steps":[{"count":1}]}',
            b"\xff",
        ],
        ids=range(7),
    )
    def test_undecodable_body(self, body: bytes) -> None:
        with pytest.raises(InputError):
            decode_job(body, "a" * 16, QUEUE, 5)

    def test_truncated_body(self) -> None:
        with pytest.raises(InputError):
            decode_job(b'{"spec":"x","ste', "a" * 16, QUEUE, 5)


COMPLETE_REPORT = {
    "clockMs": 5,
    "born": 7,
    "running": [["a.0.0.0", 1, "", 5]],
    "ended": [],
}


class TestIncompleteReport:
    """A report that lacks one of its lists is no report."""

    # Guards against TWICE: a report without one of its lists counted as complete, so that what it
    # hid counted as gone.
    @pytest.mark.parametrize("field", ["running", "ended"])
    @pytest.mark.parametrize("odd", ["missing", None, "", 0, {}, False])
    def test_report_without_a_list_is_refused(self, field: str, odd: Any) -> None:
        report = {**COMPLETE_REPORT, field: odd}
        if odd == "missing":
            del report[field]
        with pytest.raises(DecodeError):
            decode_report(orjson.dumps(report))
