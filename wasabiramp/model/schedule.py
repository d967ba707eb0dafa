"""Random schedules: work and faults drawn from a seed, run in a simulated cell and checked."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

from wasabiramp.check import (
    CallerRecord,
    CallRecord,
    Evidence,
    JobOutcome,
    PeakRecord,
    TaskRecord,
    check_all,
)
from wasabiramp.core.events import JobSubmitted, RequestArrived, ResourceWritten
from wasabiramp.jobs.home import JobsReply
from wasabiramp.jobs.schema import parse_job
from wasabiramp.model.faults import FAULTS, Fault
from wasabiramp.model.world import Node, World

FAULT_PERIOD_S: Final = 20.0
"""Time over which work arrives and faults begin."""

MAX_RECOVERY_S: Final = 75.0
"""Longest time for all jobs to end; after a third of it the remaining faults are removed."""

REQUEST_DEADLINE_S: Final = 4.0
"""Time that a caller gives a request."""

ACCEPTED_STATUSES: Final = (200, 202)
"""HTTP statuses that acknowledge a job."""


@dataclass(slots=True)
class Plan:
    """The size of a cell and the number of requests, jobs and faults of a schedule."""

    nodes: int = 3
    executors: int = 3
    workers: int = 4
    requests: int = 60
    jobs: int = 8
    faults: int = 8


@dataclass(slots=True)
class Outcome:
    """Result of a schedule: breaches, number of events applied, and the faults injected."""

    seed: int
    breaches: list[str]
    events: int
    faults: list[str] = field(default_factory=list)


class Run:
    """A cell in a simulated world, with callers and operators that record what they send."""

    def __init__(self, seed: int, plan: Plan | None = None, **overrides: Any) -> None:
        """Start the daemons and add the targets; `overrides` are settings of the daemons."""
        self.plan = plan or Plan()
        self.random = Random(seed ^ 0x5EED)
        self.world = World(seed)
        self.overrides = overrides
        self.faults: list[str] = []
        self.requests: dict[str, tuple[str, str, bool]] = {}
        self.jobs: dict[str, list[Any]] = {}
        self.writes: dict[str, tuple[str, int]] = {}
        self.breaches: list[str] = []
        self._revisions: dict[tuple[str, str], int] = {}
        self._request_count = 0
        for index in range(self.plan.nodes):
            self.world.start_node(f"entry-{index + 1}", **overrides)
        for index in range(self.plan.executors):
            self.world.add_executor(f"executor-{index + 1}", slots=2)
        for index in range(self.plan.workers):
            self.world.add_worker(f"worker-{index + 1}", 8, 8192)

    def apply_resources(self) -> None:
        """Write the resources of the cell and wait for the targets to become ready."""
        self.world.run_for(6.0)
        self.write_resource("Team", "rims", {"cores": 1000})
        self.write_resource("Team", "gala", {"cores": 1000})
        self.write_resource("Service", "quotes", {})
        for name in self.world.executors:
            spec = {"role": "executor", "address": "127.0.0.1:9", "service": "quotes", "slots": 2}
            self.write_resource("Instance", name, spec)
        for name in self.world.workers:
            spec = {"role": "worker", "address": "127.0.0.1:9", "cores": 8, "memory_mb": 8192}
            self.write_resource("Instance", name, spec)
        self.world.run_for(5.0)

    def choose_ready_node(self) -> Node | None:
        """Return a random daemon that is ready, as the load balancer does, or None."""
        live = [node for node in self.world.list_live() if node.is_ready]
        return self.random.choice(live) if live else None

    def restart_node(self, name: str) -> None:
        """Start a new incarnation of a daemon, unless it is alive."""
        if not self.world.nodes[name].is_alive:
            self.world.start_node(name, **self.overrides)

    def build_request_id(self, kind: str) -> str:
        """Return a unique id for a request; its prefix is the kind."""
        self._request_count += 1
        return f"{kind}{self._request_count}"

    def write_resource(
        self, kind: str, name: str, spec: dict[str, Any] | None, expected: int | None = None
    ) -> str:
        """Write a resource as an operator, through a ready daemon; return the request's id."""
        request_id = self.build_request_id("w")
        node = self.choose_ready_node()
        if node is not None:
            event = ResourceWritten(request_id, kind, name, spec, expected)
            self.world.apply(node, event)
        return request_id

    def send_request(self, is_idempotent: bool, key: str = "", node: Node | None = None) -> str:
        """Send a request as a caller and return its id; the id is also its body."""
        request_id = self.build_request_id("r")
        chosen = node or self.choose_ready_node()
        if chosen is None:
            return request_id
        self.requests[request_id] = (request_id, key, is_idempotent)
        event = RequestArrived(
            request_id,
            "quotes",
            self.random.choice(("rims", "gala")),
            request_id.encode(),
            REQUEST_DEADLINE_S,
            is_idempotent,
            key,
        )
        if key:
            event.team = "rims"
        self.world.apply(chosen, event)
        return request_id

    def submit_job(self, spec: dict[str, Any], node: Node | None = None) -> str:
        """Submit a job as a caller and return its name, which is also the request's id."""
        request_id = self.build_request_id("j")
        chosen = node or self.choose_ready_node()
        team = self.random.choice(("rims", "gala"))
        if chosen is None:
            return request_id
        job = parse_job({"metadata": {"name": request_id, "team": team}, "spec": spec}).ok
        self.jobs[request_id] = [job, request_id]
        self.world.apply(chosen, JobSubmitted(request_id, [job], 8.0))
        return request_id

    def check_revisions(self) -> None:
        """Check every 0.5 s that no daemon goes back to a lower revision of a resource."""
        for node in self.world.list_live():
            for (kind, name), item in node.reducer.state.intent.resources.items():
                key = (node.id, f"{kind}/{name}")
                if item.revision < self._revisions.get(key, 0):
                    self.breaches.append(f"revision: {node.id} went back to an older {kind} {name}")
                self._revisions[key] = item.revision
        self.world.call_later(0.5, self.check_revisions)

    def find_job(self, job: Any) -> Any | None:
        """Return a job's state at the daemon whose journal of its partition is ready, or None."""
        key = f"{job.team}/{job.name}"
        for node in self.world.list_live():
            for state in node.reducer.state.jobs.partitions.values():
                if key in state.jobs and not state.is_lost and state.journal.status == "ready":
                    return state.jobs[key]
        return None

    def collect_evidence(self) -> Evidence:
        """Return the records of the run for the offline checker."""
        world = self.world
        return Evidence(
            calls=_collect_calls(world),
            tasks=_collect_tasks(world),
            callers=self._collect_callers(),
            peaks=_collect_peaks(world),
            jobs=self._collect_jobs(),
            leaving=dict(world.leaving_since),
        )

    def _collect_callers(self) -> list[CallerRecord]:
        """Return the callers' requests and verdicts."""
        records = []
        for request_id, (body, key, is_idempotent) in self.requests.items():
            reply = self.world.answers.get(request_id)
            if reply is None:
                # The daemon died and the caller's connection broke: the request may have run.
                records.append(CallerRecord(body, key, is_idempotent, "may-have-run"))
                continue
            verdict = reply[1]
            answer = verdict.body.decode()
            records.append(CallerRecord(body, key, is_idempotent, verdict.outcome, answer))
        return records

    def _collect_jobs(self) -> list[JobOutcome]:
        """Return the acknowledged jobs and their phases."""
        outcomes = []
        for request_id, (job, _name) in self.jobs.items():
            reply = self.world.answers.get(request_id)
            if reply is None or not isinstance(reply[1], JobsReply):
                continue
            if reply[1].status not in ACCEPTED_STATUSES:
                continue
            found = self.find_job(job)
            name = f"{job.team}/{job.name}"
            phase = found.phase if found is not None else None
            outcomes.append(JobOutcome(name, job.is_idempotent, phase))
        return outcomes


def _collect_calls(world: World) -> list[CallRecord]:
    """Return the calls that executors started, in the world's time."""
    return [
        CallRecord(name, entry["body"], world.clocks[name].find_world_time(entry["at"]))
        for name, executor in world.executors.items()
        for entry in executor.log
    ]


def _collect_tasks(world: World) -> list[TaskRecord]:
    """Return the task attempts that workers ran, in the world's time."""
    records = []
    for name, worker in world.workers.items():
        clock = world.clocks[name]
        worker.advance(clock.read(world.now))
        ends = {
            (entry["end"], entry["attempt"]): entry["at"] for entry in worker.log if "end" in entry
        }
        for entry in worker.log:
            if "start" not in entry:
                continue
            key = (entry["start"], entry["attempt"])
            end = clock.find_world_time(ends[key]) if key in ends else world.now
            records.append(TaskRecord(name, *key, clock.find_world_time(entry["at"]), end))
    return records


def _collect_peaks(world: World) -> list[PeakRecord]:
    """Return the peak use of each resource of all targets."""
    peaks = [
        PeakRecord(name, "slots", executor.peak, executor.slots)
        for name, executor in world.executors.items()
    ]
    for name, worker in world.workers.items():
        capacity = (worker.cores, worker.memory_mb, worker.accelerators)
        for resource, peak, total in zip(
            ("cores", "megabytes", "accelerators"), worker.peak, capacity, strict=True
        ):
            peaks.append(PeakRecord(name, resource, peak, total))
    return peaks


def schedule_work(run: Run) -> None:
    """Schedule random requests and jobs over the fault period."""
    plan = run.plan
    for index in range(plan.requests):
        is_idempotent = run.random.random() < 0.4
        key = f"key-{index // 3}" if not is_idempotent and run.random.random() < 0.5 else ""
        delay_s = run.random.uniform(0, FAULT_PERIOD_S)

        def send(is_idempotent: bool = is_idempotent, key: str = key) -> None:
            run.send_request(is_idempotent, key)

        run.world.call_later(delay_s, send)
        if key and run.random.random() < 0.5:
            run.world.call_later(delay_s + run.random.choice((0.0, 0.01, 1.0, 5.0)), send)
    for _ in range(plan.jobs):
        spec = {
            "tasks": run.random.randint(1, 4),
            "cores": run.random.choice((1, 2, 4)),
            "memory_mb": run.random.choice((256, 1024, 4096)),
            "gang": run.random.random() < 0.3,
            "idempotent": run.random.random() < 0.6,
            "work_class": run.random.choice(("batch", "urgent")),
            "payload": {"run_s": round(run.random.uniform(0.1, 6.0), 2)},
        }
        run.world.call_later(
            run.random.uniform(0, FAULT_PERIOD_S), lambda spec=spec: run.submit_job(spec)
        )


def run_schedule(seed: int, plan: Plan | None = None, **overrides: Any) -> Outcome:
    """Run one schedule and check all guarantees; `overrides` are settings of the daemons."""
    run = Run(seed, plan, **{"task_lease_s": 5.0, "drain_s": 8.0, **overrides})
    run.apply_resources()
    run.check_revisions()
    schedule_work(run)
    start = run.world.now
    for _ in range(run.plan.faults):
        delay_s = run.random.uniform(0, FAULT_PERIOD_S)
        action = run.random.choice(FAULTS)

        def inject(action: Fault = action) -> None:
            if run.world.list_live():
                run.faults.append(f"{run.world.now - start:.2f}: {action(run)}")

        run.world.call_later(delay_s, inject)
    run.world.run_for(FAULT_PERIOD_S)
    _wait_for_recovery(run)
    breaches = run.breaches + check_all(run.collect_evidence()) + _check_answers(run)
    return Outcome(seed, breaches, run.world.events_applied, run.faults)


def _wait_for_recovery(run: Run) -> None:
    """Remove the faults and wait until all jobs have ended or the time to recover is over."""
    world = run.world
    world.run_for(MAX_RECOVERY_S / 3)
    world.remove_all_partitions()
    world.store.faults.down = False
    world.store.faults.stale_s = 0.0
    world.store.faults.watch_stalled = False
    world.lost_share = world.late_share = 0.0

    def is_busy() -> bool:
        outcomes = run.collect_evidence().jobs
        return any(item.phase not in ("Succeeded", "Failed", "Cancelled") for item in outcomes)

    until = world.now + 2 * MAX_RECOVERY_S / 3
    while world.now < until:
        world.run_for(2.0)
        if not is_busy():
            break
    world.run_for(3.0)


def _check_answers(run: Run) -> list[str]:
    """Return breaches of: no live daemon still holds a request without an answer."""
    alive = {node.id for node in run.world.list_live()}
    breaches = []
    for node in run.world.list_live():
        pending = len(node.reducer.state.dispatch.requests)
        keyed = len(node.reducer.state.jobs.keyed_requests)
        if node.id in alive and (pending or keyed):
            breaches.append(
                f"answer: {node.id} still holds {pending} requests and {keyed} with a key"
            )
    return breaches
