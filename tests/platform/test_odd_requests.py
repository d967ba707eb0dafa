"""Tests of the callers' server with odd requests."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from wasabiramp.entry.answers import ACCEPTED, SHOWN, Answer
from wasabiramp.platform.callers import DEFAULT_CALLER_TIMEOUT_S, CallerServer
from wasabiramp.scheduling.model import Queue

JOB_PATH = "/q/" + "a" * 16
JOB_BODY = b'{"spec":"x","steps":[{"count":1}]}'


class FakeBackend:
    """Accepts each job and shows each as pending; records the timeouts of the callers."""

    max_body_bytes = 10_000

    def __init__(self) -> None:
        """Start without requests."""
        self.timeouts_s: list[float] = []

    def is_ready(self) -> bool:
        """Return whether requests are served."""
        return True

    def read_wall_ms(self) -> int:
        """Return a time."""
        return 5

    async def async_find_queue(self, host: str, path: str) -> Queue:
        """Return the same queue for each request."""
        return Queue("q", host, "/q/", "s")

    async def async_submit(self, job: Any, timeout_s: float) -> Answer:
        """Accept a job."""
        self.timeouts_s.append(timeout_s)
        return Answer(ACCEPTED)

    async def async_show(self, job_id: str, timeout_s: float) -> Answer:
        """Show a job."""
        self.timeouts_s.append(timeout_s)
        return Answer(SHOWN, "pending")


def send(request: bytes) -> tuple[bytes, FakeBackend]:
    """Send a request to a server, then a good one on another connection.

    Return the status line of the first answer, and the backend.
    """
    backend = FakeBackend()

    async def async_send(port: int, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        line = await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()
        return line

    async def async_run() -> bytes:
        server = CallerServer(backend)
        await server.async_start("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
        port = server._runners[0].addresses[0][1]
        first = await async_send(port, request)
        good = build_request("GET", JOB_PATH)
        assert b" 200 " in await async_send(port, good)
        await server.async_stop(asyncio.get_running_loop().time() + 1.0)
        return first

    return asyncio.run(async_run()), backend


def build_request(method: str, path: str, headers: bytes = b"", body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    start = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n".encode()
    return start + headers + b"\r\n" + body


class TestOddRequests:
    """An odd request is answered, and the server goes on."""

    # Guards against an answer that says that a request may have run, for an odd header.
    @pytest.mark.parametrize(
        "value",
        ["²", "٣", "1" * 5_000, "1" * 400, "-5", "0", "1e3", "NaN", "", "1_000", "1.5"],
        ids=lambda value: ascii(value)[:20],
    )
    def test_odd_deadline_counts_as_missing(self, value: str) -> None:
        headers = b"Deadline-Ms: " + value.encode() + b"\r\n"
        status, backend = send(build_request("POST", JOB_PATH, headers, JOB_BODY))
        assert b" 200 " in status
        assert backend.timeouts_s[0] == DEFAULT_CALLER_TIMEOUT_S

    @pytest.mark.parametrize(
        "body",
        [
            b"[" * 9_000,
            b'{"steps":[{"count":1e308}]}',
            b'{"steps":[{"count":1,"cpu":1e308}]}',
            b'{"steps":[{"count":' + b"1" * 5_000 + b"}]}",
            b'{"steps":[{"count":1}],"repeatCount":18446744073709551615}',
            b'{"spec":"\\ud800","steps":[{"count":1}]}',
            b"\xff",
        ],
        ids=range(7),
    )
    def test_odd_body_is_refused(self, body: bytes) -> None:
        status, _backend = send(build_request("POST", JOB_PATH, body=body))
        assert b" 400 " in status

    @pytest.mark.parametrize(
        "path", ["/q/%FF", "/q/%ED%A0%80", "/q/" + "a" * 8_000, "/q/²", "/q/..%2F", "/q/%00"]
    )
    def test_odd_path_is_refused(self, path: str) -> None:
        status, _backend = send(build_request("GET", path))
        assert b" 400 " in status

    def test_bytes_that_are_no_request(self) -> None:
        status, _backend = send(b"GET /q/\xff\xfe HTTP/1.1\r\nHost: \xff\r\n\r\n")
        assert b" 400 " in status
