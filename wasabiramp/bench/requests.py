"""Benchmark of request waits, against an ideal central queue and against fixed shares."""

from __future__ import annotations

import asyncio
from concurrent.futures import ProcessPoolExecutor
import heapq
from random import Random
import time
from typing import Any, Final

import aiohttp
import uvloop

from stand_ins.executor import Executor
from wasabiramp.core.records import record

SERVICE_S: Final = 0.1
"""Mean service time of a request."""

SERVICE_VARIATION: Final = 1.5
"""Coefficient of variation of the service time."""

BURST_FACTOR: Final = 3.0
"""Rate of the bursting team during a burst, relative to its mean rate."""

BURST_INTERVAL_S: Final = 4.0
"""Time from the start of one burst to the start of the next."""

BURST_S: Final = 0.5
WARM_UP_S: Final = 2.0
"""Requests sent earlier than this are not measured."""

START_DELAY_S: Final = 4.0
"""Time for the sender processes to start before the first request."""

SENDER_PROCESSES: Final = 3


@record
class Arrival:
    """A request: its time in seconds, the index of its daemon, its team and its unique body."""

    at: float
    daemon: int
    team: str
    body: str


@record
class WaitResult:
    """Waits in milliseconds at one load, beside the target, and the requests sent and run."""

    load: float
    spread: str
    sent: int
    ran: int
    p50_ms: float
    p99_ms: float
    ideal_p99_ms: float
    fixed_p99_ms: float
    target_p99_ms: float


def draw_arrivals(
    load: float, slots: int, daemons: int, seconds: float, is_uneven: bool, seed: int
) -> list[Arrival]:
    """Draw the arrivals of two teams, one of which sends in bursts.

    `load` is the offered load as a share of the slots. If `is_uneven` is set, the first daemon gets
    4 requests for each one of another daemon.
    """
    random = Random(seed)
    rate = load * slots / SERVICE_S
    weights = [4 if index == 0 and is_uneven else 1 for index in range(daemons)]
    arrivals: list[Arrival] = []
    now = 0.0
    while now < seconds:
        in_burst = now % BURST_INTERVAL_S < BURST_S
        share = BURST_S / BURST_INTERVAL_S
        # The bursting team sends a quarter of all requests.
        burst_rate = (
            0.25 * rate * (BURST_FACTOR if in_burst else _calculate_off_burst_factor(share))
        )
        total = 0.75 * rate + burst_rate
        now += random.expovariate(total)
        team = "gala" if random.random() < burst_rate / total else "rims"
        daemon = random.choices(range(daemons), weights)[0]
        arrivals.append(Arrival(now, daemon, team, f"{seed}-{load}-{len(arrivals)}"))
    return arrivals


def _calculate_off_burst_factor(share: float) -> float:
    """Return the rate factor outside bursts that keeps the mean factor at one."""
    return (1 - BURST_FACTOR * share) / (1 - share)


def simulate_central_queue(arrivals: list[Arrival], slots: int) -> list[float]:
    """Return the waits, in seconds, with one ideal queue for all slots.

    Requests that arrive during the warm-up are left out.
    """
    executor = Executor(service_s=SERVICE_S, variation=SERVICE_VARIATION)
    free_at = [0.0] * slots
    heapq.heapify(free_at)
    waits = []
    for item in arrivals:
        start = max(item.at, heapq.heappop(free_at))
        if item.at >= WARM_UP_S:
            waits.append(start - item.at)
        heapq.heappush(free_at, start + executor.draw_service_s(item.body.encode()))
    return waits


def simulate_fixed_shares(arrivals: list[Arrival], slots: int, daemons: int) -> list[float]:
    """Return the waits, in seconds, if each daemon has an equal fixed share of the slots."""
    waits = []
    for daemon in range(daemons):
        own = [item for item in arrivals if item.daemon == daemon]
        waits.extend(simulate_central_queue(own, slots // daemons))
    return waits


def calculate_percentile_ms(values: list[float], share: float) -> float:
    """Return a percentile, in milliseconds, of values in seconds; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))] * 1000, 2)


async def async_measure_waits(
    daemons: list[str], executors: list[str], arrivals: list[Arrival]
) -> tuple[list[float], int]:
    """Send all requests; return the seconds from sending to start, and the number that ran.

    Several processes send, as a single one would be the bottleneck.
    """
    loop = asyncio.get_running_loop()
    start_at = time.monotonic() + START_DELAY_S
    with ProcessPoolExecutor(SENDER_PROCESSES) as pool:
        senders = [
            loop.run_in_executor(
                pool, _send_in_process, daemons, arrivals[index::SENDER_PROCESSES], start_at
            )
            for index in range(SENDER_PROCESSES)
        ]
        results = await asyncio.gather(*senders)
    sent = {body: at for sent_at, _ran in results for body, at in sent_at.items()}
    async with aiohttp.ClientSession() as session:
        starts = await _async_get_starts(session, executors)
    measured = {item.body for item in arrivals if item.at >= WARM_UP_S}
    waits = [starts[body] - at for body, at in sent.items() if body in starts and body in measured]
    return waits, sum(ran for _sent_at, ran in results)


def _send_in_process(
    daemons: list[str], arrivals: list[Arrival], start_at: float
) -> tuple[dict[str, float], int]:
    """Run a sender in its own process."""
    return uvloop.run(_async_send_at_times(daemons, arrivals, start_at))


async def _async_send_at_times(
    daemons: list[str], arrivals: list[Arrival], start_at: float
) -> tuple[dict[str, float], int]:
    """Send each request at its time; return the times of sending, and the number that ran."""
    loop = asyncio.get_running_loop()
    sent: dict[str, float] = {}
    verdicts: list[str] = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def async_send(item: Arrival) -> None:
            url = f"http://{daemons[item.daemon]}/v1/services/quotes/requests"
            headers = {"X-Team": item.team, "X-Idempotent": "true"}
            sent[item.body] = time.monotonic()
            async with session.post(url, data=item.body.encode(), headers=headers) as answer:
                verdicts.append(answer.headers.get("X-Verdict", ""))
                await answer.read()

        tasks = []
        for item in arrivals:
            pause = start_at + item.at - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(loop.create_task(async_send(item)))
        await asyncio.gather(*tasks)
    return sent, verdicts.count("ran")


async def _async_get_starts(
    session: aiohttp.ClientSession, executors: list[str]
) -> dict[str, float]:
    """Return the time of each request's first start, by body, from the executors' logs."""
    starts: dict[str, float] = {}
    for address in executors:
        async with session.get(f"http://{address}/log") as answer:
            log: list[dict[str, Any]] = (await answer.json())["log"]
        for entry in log:
            starts[entry["body"]] = min(entry["at"], starts.get(entry["body"], entry["at"]))
    return starts


async def async_run_requests(
    daemons: list[str],
    executors: list[str],
    slots: int,
    loads: list[float],
    seconds: float,
    seed: int,
) -> list[WaitResult]:
    """Measure each load, with requests spread evenly over the daemons and with 4:1 to the first."""
    results = []
    for load in loads:
        for is_uneven in (False, True):
            case_seed = seed + int(load * 1000) + is_uneven
            arrivals = draw_arrivals(load, slots, len(daemons), seconds, is_uneven, case_seed)
            waits, ran = await async_measure_waits(daemons, executors, arrivals)
            ideal = calculate_percentile_ms(simulate_central_queue(arrivals, slots), 0.99)
            fixed = calculate_percentile_ms(
                simulate_fixed_shares(arrivals, slots, len(daemons)), 0.99
            )
            target = ideal + 5 if load <= 0.7 else 2 * ideal + 10
            results.append(
                WaitResult(
                    load,
                    "4:1" if is_uneven else "even",
                    len(arrivals),
                    ran,
                    calculate_percentile_ms(waits, 0.5),
                    calculate_percentile_ms(waits, 0.99),
                    ideal,
                    fixed,
                    round(target, 2),
                )
            )
    return results
