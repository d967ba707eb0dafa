"""Jobs at their home: accept, cancel and describe them, and forward requests there."""

from __future__ import annotations

from typing import Any, Final

from wasabiramp.core.context import Context
from wasabiramp.core.events import OK, JobAsked, JobSubmitted, PeerLost, Tick
from wasabiramp.core.records import record
from wasabiramp.core.registry import handles, receives
from wasabiramp.jobs import barrier, gangs, journal, outcomes, tasks
from wasabiramp.jobs.limits import find_rejection_reason
from wasabiramp.jobs.state import (
    ENDED_STATES,
    RECOVERING,
    Append,
    AttemptRecord,
    Job,
    JobCancelRecord,
    JobEndRecord,
    JobRecord,
    JobSpec,
    PartitionState,
    Submission,
    Task,
    TaskEndRecord,
)
from wasabiramp.membership.owners import build_partition_key, find_owner_id, find_partition
from wasabiramp.peer.messages import JobActionForwarded, JobsAnswered, JobsForwarded

KIND_ACCEPT: Final = "job-accept"
KIND_CANCEL: Final = "job-cancel"
RESEND_MARGIN_S: Final = 0.2
"""Time before the deadline within which a request is not sent again."""

RETRY_AFTER_S: Final = 2.0
"""Time after which callers are asked to retry a request that was not accepted."""

STATUS_NOT_READY: Final = 503
"""HTTP status if nothing was accepted, so that a retry is safe."""

STATUS_OUTCOME_UNKNOWN: Final = 504
"""HTTP status if the jobs may or may not have been accepted."""

LIST_LIMIT: Final = 1000
"""Largest number of jobs, or of tasks of one job, in an answer."""


@record
class JobVerdict:
    """Answer to one submitted job; `status` is an HTTP status code."""

    team: str
    name: str
    status: int
    reason: str = ""


@record
class JobStatus:
    """Status of a job for its caller; `counts` maps a task state to its number of tasks."""

    spec: JobSpec
    phase: str
    reason: str
    counts: dict[str, int]
    tasks: list[dict[str, Any]]


@record
class Acceptance:
    """Submitted jobs whose journal records are not in the store yet."""

    sender: str
    request_id: str
    jobs: list[JobSpec]
    verdicts: list[JobVerdict]


def build_job_key(team: str, name: str) -> str:
    """Return the key of a job in its partition."""
    return f"{team}/{name}"


@handles(JobSubmitted)
def handle_job_submitted(context: Context, event: JobSubmitted) -> None:
    """Forward submitted jobs to the homes of their teams, one message per home."""
    by_partition: dict[int, list[JobSpec]] = {}
    for spec in event.jobs:
        by_partition.setdefault(find_partition(spec.team), []).append(spec)
    for partition, jobs in by_partition.items():
        message = JobsForwarded(event.request_id, partition, jobs)
        _forward_to_home(context, event.request_id, event.deadline_s, message, len(by_partition))


@handles(JobAsked)
def handle_job_asked(context: Context, event: JobAsked) -> None:
    """Forward a get, list or cancel request to the home of the team."""
    partition = find_partition(event.team)
    message = JobActionForwarded(event.request_id, event.action, partition, event.team, event.name)
    _forward_to_home(context, event.request_id, event.deadline_s, message, 1)


def _forward_to_home(
    context: Context, request_id: str, deadline_s: float, message: Any, waits: int
) -> None:
    """Register a submission, so that it can be sent again, and send it to the home."""
    key = f"{request_id}/{message.partition}"
    submission = Submission(request_id, context.now + deadline_s, "", message, waits=waits)
    context.state.jobs.submissions[key] = submission
    _send_submission(context, submission)


def _send_submission(context: Context, submission: Submission) -> None:
    """Send the submission to the current home of its partition, if there is one."""
    members = context.state.membership.current.members
    home = find_owner_id(build_partition_key(submission.message.partition), members)
    if home is None:
        return
    submission.home = home
    submission.is_sent = True
    context.send(home, submission.message)


@receives(JobsAnswered)
def handle_jobs_answered(context: Context, sender: str, answer: JobsAnswered) -> None:
    """Record a home's answer, or mark the submission to be sent again if it is not ready."""
    for key, submission in list(context.state.jobs.submissions.items()):
        if submission.request_id != answer.request_id or submission.home != sender:
            continue
        if not key.endswith(f"/{answer.body.partition}"):
            continue
        is_late = context.now + RESEND_MARGIN_S >= submission.deadline_at
        if answer.status == STATUS_NOT_READY and not is_late:
            submission.home = ""
            submission.is_sent = False
            return
        _complete_submission(context, key, answer)
        return


@record
class HomeAnswer:
    """Body of a home's answer, with the partition to which it applies."""

    partition: int
    items: list[Any]
    reason: str = ""


@record
class JobsReply:
    """Answer to the caller: one status and the items of all homes."""

    status: int
    items: list[Any]
    reason: str = ""


def _complete_submission(context: Context, key: str, answer: JobsAnswered) -> None:
    """Complete one submission, and answer the caller after the last one of the request."""
    submissions = context.state.jobs.submissions
    closed = submissions.pop(key)
    closed.answers.append(answer)
    others = [item for item in submissions.values() if item.request_id == closed.request_id]
    if others:
        others[0].answers.extend(closed.answers)
        return
    items = [item for part in closed.answers for item in part.body.items]
    status = max(part.status for part in closed.answers)
    reason = "; ".join(part.body.reason for part in closed.answers if part.body.reason)
    context.answer(closed.request_id, JobsReply(status, items, reason))


@handles(Tick)
def handle_submission_tick(context: Context, _event: Tick) -> None:
    """Answer submissions past their deadline, and send those without a ready home again.

    Each of the latter is sent with a probability of 0.25 per tick.
    """
    for key, submission in list(context.state.jobs.submissions.items()):
        if context.now >= submission.deadline_at:
            _expire_submission(context, key, submission)
        elif not submission.is_sent and context.random.random() < 0.25:
            _send_submission(context, submission)


def _expire_submission(context: Context, key: str, submission: Submission) -> None:
    """Complete a submission past its deadline.

    The outcome is unknown if a home has the submission; otherwise nothing was accepted.
    """
    partition = submission.message.partition
    status, reason = STATUS_NOT_READY, "the home of the job is not ready"
    if submission.is_sent:
        status, reason = (
            STATUS_OUTCOME_UNKNOWN,
            "the home has not answered; ask for the job by name",
        )
    items: list[Any] = []
    if isinstance(submission.message, JobsForwarded):
        items = [
            JobVerdict(spec.team, spec.name, status, reason) for spec in submission.message.jobs
        ]
    body = HomeAnswer(partition, items, reason)
    _complete_submission(context, key, JobsAnswered(submission.request_id, status, body))


@handles(PeerLost)
def handle_submission_home_lost(context: Context, event: PeerLost) -> None:
    """Mark submissions to a lost home to be sent again; job names make a repeat idempotent."""
    for submission in context.state.jobs.submissions.values():
        if submission.home == event.member:
            submission.is_sent = False
            submission.home = ""


@receives(JobsForwarded)
def handle_jobs_forwarded(context: Context, sender: str, message: JobsForwarded) -> None:
    """Validate submitted jobs and append the accepted ones to the journal."""
    state = context.state.jobs.partitions.get(message.partition)
    if not journal.is_ready(state) or journal.is_store_failing(context, state):
        _reply_not_ready(context, sender, message)
        return
    acceptance = Acceptance(sender, message.request_id, [], [])
    for spec in message.jobs:
        existing_job = state.jobs.get(build_job_key(spec.team, spec.name))
        if existing_job is not None:
            acceptance.verdicts.append(_build_repeat_verdict(existing_job, spec))
            continue
        rejection_reason = find_rejection_reason(context, spec)
        if rejection_reason:
            acceptance.verdicts.append(JobVerdict(spec.team, spec.name, 422, rejection_reason))
            continue
        acceptance.jobs.append(spec)
    if not acceptance.jobs:
        _reply_with_verdicts(context, state, acceptance)
        return
    reference = f"{sender}/{message.request_id}"
    context.state.jobs.awaiting_commit[reference] = acceptance
    records = [JobRecord(spec) for spec in acceptance.jobs]
    journal.append(context, state, records, KIND_ACCEPT, reference)


def _build_repeat_verdict(existing_job: Job, spec: JobSpec) -> JobVerdict:
    """Return the verdict on a job whose name exists: a conflict unless the spec is the same."""
    if existing_job.spec == spec:
        return JobVerdict(spec.team, spec.name, 200, "accepted before")
    return JobVerdict(spec.team, spec.name, 409, "name: another job has this name")


def _reply_not_ready(context: Context, sender: str, message: JobsForwarded) -> None:
    """Reply to the entry that nothing was accepted."""
    reason = "the home of the job is not ready or the store is away; nothing was accepted"
    items = [JobVerdict(spec.team, spec.name, STATUS_NOT_READY, reason) for spec in message.jobs]
    body = HomeAnswer(message.partition, items, reason)
    context.send(sender, JobsAnswered(message.request_id, STATUS_NOT_READY, body))


@journal.handles_commit(KIND_ACCEPT)
def handle_acceptance_commit(
    context: Context, state: PartitionState, item: Append, outcome: str
) -> None:
    """Start and acknowledge jobs once the store holds their records."""
    acceptance = context.state.jobs.awaiting_commit.pop(item.reference, None)
    if acceptance is None:
        return
    for spec in acceptance.jobs:
        key = build_job_key(spec.team, spec.name)
        if outcome != OK:
            status = STATUS_NOT_READY if outcome == "failed" else STATUS_OUTCOME_UNKNOWN
            verdict = JobVerdict(spec.team, spec.name, status, "the journal moved")
            acceptance.verdicts.append(verdict)
            continue
        if key not in state.jobs:
            tasks.add_job(state, key, build_job(spec, context.now))
        context.count("jobs_accepted_total", work_class=spec.work_class)
        acceptance.verdicts.append(JobVerdict(spec.team, spec.name, 202))
    _reply_with_verdicts(context, state, acceptance)
    if outcome == OK:
        tasks.place_waiting_tasks(context, state)


def build_job(spec: JobSpec, accepted_at: float) -> Job:
    """Return a new job whose tasks all wait."""
    job_tasks = [Task(index, memory_mb=spec.memory_mb) for index in range(spec.tasks)]
    return Job(spec, tasks=job_tasks, accepted_at=accepted_at, open_tasks=spec.tasks)


def _reply_with_verdicts(context: Context, state: PartitionState, acceptance: Acceptance) -> None:
    """Send the verdicts to the entry."""
    status = max((verdict.status for verdict in acceptance.verdicts), default=200)
    body = HomeAnswer(state.number, acceptance.verdicts)
    context.send(acceptance.sender, JobsAnswered(acceptance.request_id, status, body))


@receives(JobActionForwarded)
def handle_job_action_forwarded(context: Context, sender: str, message: JobActionForwarded) -> None:
    """Answer a get, list or cancel request at the home of the job."""
    state = context.state.jobs.partitions.get(message.partition)
    if not journal.is_ready(state):
        body = HomeAnswer(message.partition, [], "the home of the job is not ready")
        context.send(sender, JobsAnswered(message.request_id, STATUS_NOT_READY, body))
        return
    if message.action == "list":
        items = [
            build_job_status(job) for job in state.jobs.values() if job.spec.team == message.team
        ]
        body = HomeAnswer(message.partition, items[-LIST_LIMIT:])
        context.send(sender, JobsAnswered(message.request_id, 200, body))
        return
    job = state.jobs.get(build_job_key(message.team, message.name))
    if job is None:
        body = HomeAnswer(message.partition, [], f"job {message.team}/{message.name} not found")
        context.send(sender, JobsAnswered(message.request_id, 404, body))
        return
    if message.action == "cancel" and job.phase not in outcomes.END_PHASES:
        _cancel_job(context, state, job)
    body = HomeAnswer(message.partition, [build_job_status(job)])
    context.send(sender, JobsAnswered(message.request_id, 200, body))


def build_job_status(job: Job) -> JobStatus:
    """Return the status of a job for its caller."""
    counts: dict[str, int] = {}
    for task in job.tasks:
        counts[task.state] = counts.get(task.state, 0) + 1
    task_entries = [
        {
            "index": task.index,
            "state": task.state,
            "worker": task.worker,
            "attempt": task.attempt,
            "reason": task.reason,
        }
        for task in job.tasks[:LIST_LIMIT]
    ]
    return JobStatus(job.spec, job.phase, job.reason, counts, task_entries)


def _cancel_job(context: Context, state: PartitionState, job: Job) -> None:
    """Cancel a job: waiting tasks end now, the others when their workers report the stop."""
    key = build_job_key(job.spec.team, job.spec.name)
    journal.append(context, state, [JobCancelRecord(key)], KIND_CANCEL, key)
    job.reason = "cancelled"
    gangs.release_reservations(context, state, key, job)
    outcomes.stop_job(context, state, key, job)


@journal.replays(JobRecord)
def replay_job(context: Context, state: PartitionState, item: JobRecord) -> None:
    """Restore a job; the state of its tasks is recovered from the workers."""
    key = build_job_key(item.spec.team, item.spec.name)
    if key in state.jobs:
        return
    job = build_job(item.spec, context.now)
    for task in job.tasks:
        task.state = RECOVERING
    tasks.add_job(state, key, job)


@journal.replays(AttemptRecord)
def replay_attempts(_context: Context, state: PartitionState, item: AttemptRecord) -> None:
    """Restore which non-idempotent tasks may have been started."""
    job = state.jobs.get(item.key)
    if job is None:
        return
    for index in item.tasks:
        job.tasks[index].has_intent = True


@journal.replays(JobCancelRecord)
def replay_cancel(_context: Context, state: PartitionState, item: JobCancelRecord) -> None:
    """Restore the cancellation of a job."""
    job = state.jobs.get(item.key)
    if job is not None:
        job.reason = "cancelled"


@journal.replays(JobEndRecord)
def replay_job_end(_context: Context, state: PartitionState, item: JobEndRecord) -> None:
    """Restore the end of a job."""
    job = state.jobs.get(item.key)
    if job is None:
        return
    outcomes.restore_job_end(state, item, job)


@journal.SNAPSHOT_BUILDERS.append
def snapshot_jobs(state: PartitionState, kept_count: int) -> list[Any]:
    """Drop the oldest ended jobs over `kept_count`, and return records that restore the rest."""
    ended = [key for key, job in state.jobs.items() if job.is_end_committed]
    for key in ended[: max(0, len(ended) - kept_count)]:
        del state.jobs[key]
    records: list[Any] = []
    for key, job in state.jobs.items():
        records.append(JobRecord(job.spec))
        intents = [task.index for task in job.tasks if task.has_intent]
        if intents and not job.is_recorded_end:
            records.append(AttemptRecord(key, intents))
        if job.is_recorded_end:
            states = [task.state for task in job.tasks]
            records.append(JobEndRecord(key, job.phase, states, job.reason))
            continue
        if job.reason == "cancelled":
            records.append(JobCancelRecord(key))
        ended = [task for task in job.tasks if task.state in ENDED_STATES]
        if ended:
            indexes = [task.index for task in ended]
            records.append(TaskEndRecord(key, indexes, [task.state for task in ended]))
    return records


@journal.LOAD_HANDLERS.append
def start_recovery(context: Context, state: PartitionState) -> None:
    """Start the recovery barrier of a loaded partition, before any of its tasks can start."""
    barrier.start_barrier(context, state)
