"""Tests of the callers' server over loopback: each request that was read is answered."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import socket
from typing import Any

import pytest

from soak.cell import find_free_ports
from wasabiramp.entry.answers import SHOWN, Answer
from wasabiramp.platform import callers
from wasabiramp.platform.callers import CallerServer
from wasabiramp.scheduling.model import PENDING, Queue

JOB_PATH = "/q/" + "a" * 16
BODY = b'{"spec": "s", "steps": [{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 100}]}'
WORK_S = 0.3
SHORT_S = 0.05
"""Time that a request takes in these tests, and a time that is much shorter."""


@pytest.fixture(autouse=True)
def shorten_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let requests in these tests take longer than the last step of a shutdown."""
    monkeypatch.setattr(callers, "SHUTDOWN_TIMEOUT_S", SHORT_S)
    monkeypatch.setattr(callers, "LINGER_S", 2 * WORK_S)


class SlowBackend:
    """A backend whose answers take WORK_S, or never come."""

    max_body_bytes = 10_000

    def __init__(self, is_hanging: bool = False, finds_queues: bool = True) -> None:
        """Let no request end if `is_hanging`, and find no queue unless `finds_queues`."""
        self._is_hanging = is_hanging
        self._finds_queues = finds_queues
        self.submitted = 0

    def is_ready(self) -> bool:
        """Return that the daemon is ready."""
        return True

    def read_wall_ms(self) -> int:
        """Return the time."""
        return 0

    async def async_find_queue(self, host: str, path: str) -> Queue:
        """Return the queue."""
        if not self._finds_queues:
            await asyncio.sleep(3600)
        return Queue("q", "h", "/q/", "s")

    async def async_show(self, job_id: str, timeout_s: float) -> Answer:
        """Show a job."""
        await asyncio.sleep(3600 if self._is_hanging else WORK_S)
        return Answer(SHOWN, PENDING)

    async def async_cancel(self, job_id: str, timeout_s: float) -> Answer:
        """Cancel a job."""
        return await self.async_show(job_id, timeout_s)

    async def async_submit(self, job: Any, timeout_s: float) -> Answer:
        """Accept a job."""
        self.submitted += 1
        return await self.async_show(job.id, timeout_s)


class RawCaller:
    """A caller with one open connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use an open connection."""
        self._reader = reader
        self.writer = writer

    def send(self, method: str, headers: str = "", body: bytes = b"") -> None:
        """Send a request."""
        head = f"{method} {JOB_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n"
        self.writer.write(f"{head}{headers}\r\n".encode() + body)

    async def async_read(self) -> tuple[int, bool]:
        """Return the status of a complete answer, and whether the connection stays open.

        Raise IncompleteReadError or ConnectionError if there is none.
        """
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
        await self._reader.readexactly(length)
        return int(head.split()[1]), "connection: close" not in head


def run_with_server(
    backend: SlowBackend,
    work: Callable[[CallerServer, Callable[[], Awaitable[RawCaller]]], Coroutine[Any, Any, None]],
) -> None:
    """Run `work` with a server and a function that connects to it."""

    async def run_scenario() -> None:
        server = CallerServer(backend)
        ports = find_free_ports(3)
        await server.async_start(*(f"127.0.0.1:{port}" for port in ports))

        opened: list[RawCaller] = []

        async def async_connect() -> RawCaller:
            opened.append(RawCaller(*await asyncio.open_connection("127.0.0.1", ports[0])))
            return opened[-1]

        async with asyncio.timeout(10.0):
            await work(server, async_connect)
        for caller in opened:
            caller.writer.close()

    asyncio.run(run_scenario())


def stop_by(server: CallerServer, seconds: float) -> asyncio.Task[None]:
    """Begin to stop a server that has to answer within a time."""
    loop = asyncio.get_running_loop()
    return loop.create_task(server.async_stop(loop.time() + seconds))


class TestDrain:
    """A server that stops answers what it has read before it closes connections."""

    def test_request_in_progress_is_answered(self) -> None:
        """Guards against LOST: requests that took longer than the shutdown were cut off."""
        statuses: list[int] = []

        async def work(server: CallerServer, async_connect: Any) -> None:
            caller = await async_connect()
            caller.send("DELETE")
            await asyncio.sleep(SHORT_S)
            stop = stop_by(server, 5.0)
            statuses.append((await caller.async_read())[0])
            await stop

        run_with_server(SlowBackend(), work)
        assert statuses == [200]

    @pytest.mark.parametrize(("method", "status"), [("GET", 503), ("DELETE", 504), ("POST", 504)])
    def test_request_without_an_end_is_answered(self, method: str, status: int) -> None:
        """Guards against LOST: a request that cannot end before the exit still gets an answer."""
        answers: list[tuple[int, bool]] = []

        async def work(server: CallerServer, async_connect: Any) -> None:
            caller = await async_connect()
            caller.send(method, body=BODY if method == "POST" else b"")
            await asyncio.sleep(SHORT_S)
            stop = stop_by(server, WORK_S)
            answers.append(await caller.async_read())
            await stop

        run_with_server(SlowBackend(is_hanging=True), work)
        assert answers == [(status, False)]

    def test_body_that_arrives_during_the_stop(self) -> None:
        """Guards against LOST: the rest of a request was dropped once the stop had begun."""
        statuses: list[int] = []
        backend = SlowBackend()

        async def work(server: CallerServer, async_connect: Any) -> None:
            caller = await async_connect()
            head = f"POST {JOB_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(BODY)}\r\n\r\n"
            caller.writer.write(head.encode())
            await asyncio.sleep(SHORT_S)
            stop = stop_by(server, 5.0)
            await asyncio.sleep(SHORT_S / 2)
            caller.writer.write(BODY)
            statuses.append((await caller.async_read())[0])
            await stop

        run_with_server(backend, work)
        assert (statuses, backend.submitted) == ([200], 1)

    def test_busy_connection_is_told_to_close(self) -> None:
        """Guards against LOST: callers that use an open connection were not told to leave it."""
        answers: list[tuple[int, bool]] = []

        async def work(server: CallerServer, async_connect: Any) -> None:
            caller = await async_connect()
            stop: asyncio.Task[None] | None = None
            while not answers or answers[-1][1]:
                caller.send("GET")
                answers.append(await caller.async_read())
                stop = stop or stop_by(server, 5.0)
                await asyncio.sleep(SHORT_S)
            await stop

        run_with_server(SlowBackend(), work)
        assert answers == [(200, True), (200, False)]

    def test_request_that_waits_in_the_socket_is_answered(self) -> None:
        """Guards against LOST on a busy machine: what has arrived is read before the close."""
        statuses: list[int] = []

        async def work(server: CallerServer, async_connect: Any) -> None:
            caller = await async_connect()
            await asyncio.sleep(2 * SHORT_S)
            sock: socket.socket = caller.writer.get_extra_info("socket")
            copy = socket.socket(fileno=sock.dup().detach())
            stop = stop_by(server, 5.0)
            await asyncio.sleep(2 * WORK_S - SHORT_S)
            # From here on the loop does not read until the time of the close has passed.
            request = f"GET {JOB_PATH} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
            copy.send(request)
            copy.close()
            block_loop(2 * SHORT_S)
            statuses.append((await caller.async_read())[0])
            await stop

        run_with_server(SlowBackend(), work)
        assert statuses == [200]

    def test_idle_connection_does_not_delay_the_exit(self) -> None:
        """Guards against a stop that waits for callers that send nothing."""
        took_s: list[float] = []

        async def work(server: CallerServer, async_connect: Any) -> None:
            await async_connect()
            await asyncio.sleep(SHORT_S)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await stop_by(server, 5.0)
            took_s.append(loop.time() - started_at)

        run_with_server(SlowBackend(), work)
        assert took_s[0] < 2.0


def block_loop(seconds: float) -> None:
    """Keep the event loop from running, as a busy machine does."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        continue


class TestStart:
    """The ports of callers may still be held by an earlier process."""

    def test_busy_port_is_tried_again(self) -> None:
        """Guards against a process that ends by itself: only the port for peers was tried again."""

        async def run_scenario() -> bool:
            ports = find_free_ports(3)
            with socket.socket() as holder:
                holder.bind(("127.0.0.1", ports[0]))
                holder.listen()
                server = CallerServer(SlowBackend())
                start = asyncio.ensure_future(
                    server.async_start(*(f"127.0.0.1:{port}" for port in ports))
                )
                await asyncio.sleep(SHORT_S)
            await start
            caller = RawCaller(*await asyncio.open_connection("127.0.0.1", ports[0]))
            caller.send("GET")
            status, _is_open = await caller.async_read()
            caller.writer.close()
            await stop_by(server, 1.0)
            return status == 200

        assert asyncio.run(run_scenario())


class TestDeadline:
    """Each request is answered before its caller gives up, whatever it waits for."""

    @pytest.mark.parametrize(
        "backend", [SlowBackend(is_hanging=True), SlowBackend(finds_queues=False)]
    )
    def test_request_is_answered_before_the_deadline(self, backend: SlowBackend) -> None:
        """Guards against a request without an answer: only some waits followed the deadline."""
        statuses: list[int] = []

        async def work(server: CallerServer, async_connect: Any) -> None:
            caller = await async_connect()
            caller.send("GET", "Deadline-Ms: 400\r\n")
            async with asyncio.timeout(0.4):
                statuses.append((await caller.async_read())[0])
            caller.writer.close()
            await stop_by(server, 1.0)

        run_with_server(backend, work)
        assert statuses == [503]

    @pytest.mark.parametrize("deadline", ["\u00b2", "9" * 400, "9" * 5000, "-5", "x"])
    def test_odd_deadline_is_ignored(self, deadline: str) -> None:
        """Guards against a failed request for a header that cannot be read."""
        statuses: list[int] = []

        async def work(server: CallerServer, async_connect: Any) -> None:
            caller = await async_connect()
            caller.send("GET", f"Deadline-Ms: {deadline}\r\n")
            statuses.append((await caller.async_read())[0])
            caller.writer.close()
            await stop_by(server, 1.0)

        run_with_server(SlowBackend(), work)
        assert statuses == [200]
