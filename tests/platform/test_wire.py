"""Tests of decoding the platform's entries, executors' reports and callers' jobs."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from wasabiramp.core.records import DecodeError
from wasabiramp.platform.wire import (
    InputError,
    decode_config,
    decode_executor,
    decode_job,
    decode_report,
)
from wasabiramp.scheduling.model import AdvicePolicy, Queue, Resources

QUEUE = Queue("q", "h", "/q/", "s")
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


class TestExecutor:
    """An executor's entry is decoded; malformed entries are ignored."""

    def test_entry(self) -> None:
        entry = decode_executor("servers/i-1", orjson.dumps(EXECUTOR_ENTRY))
        assert entry is not None
        assert (entry.id, entry.rack, entry.kind) == ("i-1", "r1-3", "a")
        assert entry.capacity == Resources(16000, 32768, 0)

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "odd"},
            {"service": 5},
            {"address": "nowhere"},
            {"capacity": None},
            {"capacity": {"cpu": "much"}},
            {"labels": [1]},
            {"born": "yesterday"},
        ],
    )
    def test_malformed_entry_is_ignored(self, change: dict[str, Any]) -> None:
        assert decode_executor("servers/i-1", orjson.dumps({**EXECUTOR_ENTRY, **change})) is None

    @pytest.mark.parametrize("raw", [b"", b"\xff\xfe", b"[]", b"null"])
    def test_undecodable_entry_is_ignored(self, raw: bytes) -> None:
        assert decode_executor("servers/i-1", raw) is None


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
        ],
    )
    def test_invalid_field_is_named(self, body: Any, field: str) -> None:
        with pytest.raises(InputError) as caught:
            decode_body(body)
        assert str(caught.value).startswith(field)

    def test_truncated_body(self) -> None:
        with pytest.raises(InputError):
            decode_job(b'{"spec":"x","ste', "a" * 16, QUEUE, 5)
