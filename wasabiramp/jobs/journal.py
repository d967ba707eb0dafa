"""Journal of a partition: records, written in groups to store segments with one writer each.

Every write is a compare-and-swap on the newest segment. A new home seals that segment before it
creates the next one, so every later write of the old home fails.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from wasabiramp.const import MAX_SEGMENT_BYTES, PREFIX_JOURNAL
from wasabiramp.core.context import Context
from wasabiramp.core.events import CONFLICT, FAILED, OK, UNKNOWN, StoreAnswer, Tick
from wasabiramp.core.records import encode_json
from wasabiramp.core.registry import handles, handles_store_answer
from wasabiramp.jobs.state import Append, Journal, PartitionState, Segment
from wasabiramp.membership.rights import is_member

RETRY_DELAY_S: Final = 0.3
"""Longest delay of a retry after a failed load or write."""

LAZY_WRITE_DELAY_S: Final = 1.0
"""Time for which records that no caller waits for are held back, to share a write."""

COMPACTION_SEGMENT_COUNT: Final = 6
"""Number of segments above which they are replaced by a snapshot."""

MAX_SNAPSHOT_BYTES: Final = 900_000
"""Size up to which a snapshot is written."""

KEPT_ENDED_COUNTS: Final = (1500, 400, 100)
"""Numbers of ended jobs, and of keys with a verdict, that a snapshot keeps.

The first number with which the snapshot is not too large is used.
"""

NEW: Final = "new"
LOADING: Final = "loading"
READY: Final = "ready"

CommitHandler = Callable[[Context, PartitionState, Append, str], None]
ReplayHandler = Callable[[Context, PartitionState, Any], None]
SnapshotBuilder = Callable[[PartitionState, int], list[Any]]

COMMIT_HANDLERS: Final[dict[str, CommitHandler]] = {}
REPLAY_HANDLERS: Final[dict[type, ReplayHandler]] = {}
SNAPSHOT_BUILDERS: Final[list[SnapshotBuilder]] = []
LOAD_HANDLERS: Final[list[Callable[[Context, PartitionState], None]]] = []


def handles_commit(kind: str) -> Callable[[CommitHandler], CommitHandler]:
    """Register the handler of an append's outcome, which is OK, FAILED or UNKNOWN."""

    def register(handler: CommitHandler) -> CommitHandler:
        COMMIT_HANDLERS[kind] = handler
        return handler

    return register


def replays(record_type: type) -> Callable[[ReplayHandler], ReplayHandler]:
    """Register the handler that applies a record type when a partition is loaded."""

    def register(handler: ReplayHandler) -> ReplayHandler:
        REPLAY_HANDLERS[record_type] = handler
        return handler

    return register


def build_segment_key(partition: int, segment: int) -> str:
    """Return the store key of a segment."""
    return f"{PREFIX_JOURNAL}{partition:02d}/{segment:08d}"


def is_ready(state: PartitionState | None) -> bool:
    """Return whether the partition is loaded and may be written."""
    return state is not None and not state.is_lost and state.journal.status == READY


def is_store_failing(context: Context, state: PartitionState) -> bool:
    """Return whether writes of this partition have been failing for over 1 s."""
    failing = state.journal.failing_since
    return failing > 0 and context.now - failing > 1.0


def append(
    context: Context,
    state: PartitionState,
    records: list[Any],
    kind: str,
    reference: str = "",
    wait_s: float = 0.0,
) -> None:
    """Queue records for the next group write; the commit handler of `kind` gets the outcome.

    Records that no caller waits for can be held back for up to `wait_s`, to share a write.
    """
    size = sum(len(encode_json(item)) for item in records)
    due_at = context.now + wait_s
    state.journal.queue.append(Append(records, kind, reference, size, due_at))
    _flush_queue(context, state)


def withdraw(state: PartitionState, kind: str, reference: str) -> bool:
    """Remove an append that is still queued, and return whether there was one."""
    journal = state.journal
    for item in journal.queue:
        if item.kind == kind and item.reference == reference:
            journal.queue.remove(item)
            return True
    return False


@handles(Tick)
def handle_journal_tick(context: Context, _event: Tick) -> None:
    """Load new partitions, write queued records and release lost partitions."""
    partitions = context.state.jobs.partitions
    for state in list(partitions.values()):
        if state.is_lost:
            _release_partition(context, state)
        elif state.journal.status == NEW and context.now >= state.journal.due_at:
            if is_member(context):
                _start_load(context, state)
        else:
            _flush_queue(context, state)


def _release_partition(context: Context, state: PartitionState) -> None:
    """Remove a partition that another member is home to.

    Queued records were never written; the outcome of records in flight is unknown.
    """
    journal = state.journal
    for item in journal.queue:
        _notify_appender(context, state, item, FAILED)
    journal.queue = []
    for item in journal.in_flight:
        _notify_appender(context, state, item, UNKNOWN)
    journal.in_flight = []
    del context.state.jobs.partitions[state.number]
    context.log("partition_released", partition=state.number)
    from wasabiramp.membership.targets import refresh_owned_targets

    refresh_owned_targets(context)


def _notify_appender(context: Context, state: PartitionState, item: Append, outcome: str) -> None:
    """Call the commit handler of an append with its outcome."""
    handler = COMMIT_HANDLERS.get(item.kind)
    if handler is not None:
        handler(context, state, item, outcome)


def _start_load(context: Context, state: PartitionState) -> None:
    """Read the segments; sealing and opening detect segments that a stale list lacks."""
    state.journal.status = LOADING
    prefix = f"{PREFIX_JOURNAL}{state.number:02d}/"
    context.read("journal.list", prefix, str(state.number), is_prefix=True)


def _find_answer_partition(context: Context, answer: StoreAnswer) -> PartitionState | None:
    """Return the partition to which a store answer belongs, or None if it is lost."""
    number, _, _rest = answer.tag.partition(":")
    state = context.state.jobs.partitions.get(int(number))
    return None if state is None or state.is_lost else state


def _restart_load(context: Context, state: PartitionState) -> None:
    """Discard what is loaded and schedule another load."""
    state.journal = _build_empty_journal(state.journal)
    state.journal.due_at = context.now + context.random.uniform(0.5, 1.0) * RETRY_DELAY_S


def _build_empty_journal(old: Journal) -> Journal:
    """Return an empty journal that continues the write count, so that write ids stay unique."""
    journal = Journal()
    journal.write_count = old.write_count
    return journal


@handles_store_answer("journal.list")
def handle_segment_list(context: Context, answer: StoreAnswer) -> None:
    """Seal the newest listed segment, or open the first one."""
    state = _find_answer_partition(context, answer)
    if state is None or state.journal.status != LOADING:
        return
    if answer.status != OK:
        _restart_load(context, state)
        return
    for item in answer.items:
        if item.value is not None:
            number = int(item.key.rsplit("/", 1)[1])
            state.journal.loaded_segments[number] = item.value
            state.journal.segment_revisions[number] = item.revision
    if not state.journal.loaded_segments:
        _open_segment(context, state, 1)
        return
    _seal_segment(context, state, max(state.journal.loaded_segments))


def _create_write_id(context: Context, journal: Journal) -> str:
    """Return a new id, by which a write is recognised if its answer was lost."""
    journal.write_count += 1
    return f"{context.state.me.id}.{journal.write_count}"


def _seal_segment(context: Context, state: PartitionState, number: int) -> None:
    """Write a segment again as sealed, which makes writes of its old owner fail."""
    journal = state.journal
    old = journal.loaded_segments[number]
    journal.write_id = _create_write_id(context, journal)
    sealed = Segment(old.owner, journal.write_id, True, old.is_base, old.records)
    key = build_segment_key(state.number, number)
    tag = f"{state.number}:{number}"
    context.compare_and_swap("journal.seal", key, sealed, journal.segment_revisions[number], tag)


@handles_store_answer("journal.seal")
def handle_segment_seal(context: Context, answer: StoreAnswer) -> None:
    """Open the next segment once the newest is sealed; seal again if it changed meanwhile."""
    state = _find_answer_partition(context, answer)
    if state is None or state.journal.status != LOADING:
        return
    number = int(answer.tag.partition(":")[2])
    journal = state.journal
    if answer.status == OK:
        journal.segment_revisions[number] = answer.revision
        _open_segment(context, state, number + 1)
        return
    item = answer.items[0] if answer.items else None
    if answer.status != CONFLICT or item is None or item.value is None:
        _restart_load(context, state)
        return
    is_ours = item.value.write_id == journal.write_id
    journal.loaded_segments[number] = item.value
    journal.segment_revisions[number] = item.revision
    if is_ours:
        _open_segment(context, state, number + 1)
        return
    _seal_segment(context, state, number)


def _open_segment(context: Context, state: PartitionState, number: int) -> None:
    """Create the segment to which this home writes."""
    journal = state.journal
    journal.write_id = _create_write_id(context, journal)
    segment = Segment(context.state.me.id, journal.write_id, False, False, [])
    key = build_segment_key(state.number, number)
    context.compare_and_swap("journal.open", key, segment, 0, f"{state.number}:{number}")


@handles_store_answer("journal.open")
def handle_segment_open(context: Context, answer: StoreAnswer) -> None:
    """Replay the journal once the new segment is created by this home."""
    state = _find_answer_partition(context, answer)
    if state is None or state.journal.status != LOADING:
        return
    number = int(answer.tag.partition(":")[2])
    journal = state.journal
    item = answer.items[0] if answer.items else None
    is_ours = answer.status == OK
    revision = answer.revision
    if answer.status == CONFLICT and item is not None and item.value is not None:
        is_ours = item.value.write_id == journal.write_id
        revision = item.revision
        if not is_ours:
            # The list was stale: another home has already opened this segment.
            journal.loaded_segments[number] = item.value
            journal.segment_revisions[number] = item.revision
            _seal_segment(context, state, number)
            return
    if not is_ours:
        _restart_load(context, state)
        return
    journal.segment_revisions[number] = revision
    journal.active_segment = number
    _replay_segments(context, state)


def _replay_segments(context: Context, state: PartitionState) -> None:
    """Apply the records from the newest base segment on, in order, and mark the journal ready."""
    journal = state.journal
    bases = [number for number, segment in journal.loaded_segments.items() if segment.is_base]
    newest_base = max(bases, default=0)
    count = 0
    for number in sorted(journal.loaded_segments):
        if number < newest_base:
            continue
        for item in journal.loaded_segments[number].records:
            REPLAY_HANDLERS[type(item)](context, state, item)
            count += 1
    journal.loaded_segments = {}
    journal.status = READY
    context.log(
        "partition_loaded", partition=state.number, records=count, segment=journal.active_segment
    )
    for load_handler in LOAD_HANDLERS:
        load_handler(context, state)


def _flush_queue(context: Context, state: PartitionState) -> None:
    """Write the queue in one compare-and-swap, unless a write is in progress.

    A write that failed is sent again first. If there are more than COMPACTION_SEGMENT_COUNT
    segments, a snapshot is written first.
    """
    journal = state.journal
    if journal.status != READY or journal.is_write_pending or context.now < journal.due_at:
        return
    if journal.in_flight or journal.is_writing_snapshot:
        _send_write(context, state)
        return
    if len(journal.segment_revisions) > COMPACTION_SEGMENT_COUNT and _start_snapshot(
        context, state
    ):
        return
    if all(context.now < item.due_at for item in journal.queue):
        return
    journal.in_flight = journal.queue
    journal.queue = []
    size = sum(item.size for item in journal.in_flight)
    added = [entry for item in journal.in_flight for entry in item.records]
    if journal.size + size > MAX_SEGMENT_BYTES and journal.records:
        journal.next_segment = journal.active_segment + 1
        journal.records = added
        journal.size = size
    else:
        journal.records = [*journal.records, *added]
        journal.size += size
    journal.write_id = _create_write_id(context, journal)
    _send_write(context, state)


def _start_snapshot(context: Context, state: PartitionState) -> bool:
    """Write a snapshot as a new base segment, and return whether it was small enough.

    The oldest ended jobs and keys with a verdict are dropped here, and nowhere else.
    """
    journal = state.journal
    for kept_count in KEPT_ENDED_COUNTS:
        records = [
            item for build_records in SNAPSHOT_BUILDERS for item in build_records(state, kept_count)
        ]
        size = sum(len(encode_json(item)) for item in records)
        if size <= MAX_SNAPSHOT_BYTES:
            break
    else:
        context.log("snapshot_too_large", partition=state.number, bytes=size)
        return False
    journal.is_writing_snapshot = True
    journal.next_segment = journal.active_segment + 1
    journal.records = records
    journal.size = size
    journal.write_id = _create_write_id(context, journal)
    _send_write(context, state)
    return True


def _send_write(context: Context, state: PartitionState) -> None:
    """Send the current write, or read its segment back if the outcome is unknown."""
    journal = state.journal
    journal.is_write_pending = True
    number = journal.next_segment or journal.active_segment
    key = build_segment_key(state.number, number)
    tag = f"{state.number}:{number}"
    if journal.is_reading_back:
        # Revision -1 never matches, so the answer is a conflict that holds the current value.
        context.compare_and_swap("journal.write", key, None, -1, tag)
        return
    is_base = journal.is_writing_snapshot
    segment = Segment(context.state.me.id, journal.write_id, False, is_base, journal.records)
    expect = 0 if journal.next_segment else journal.segment_revisions[journal.active_segment]
    context.compare_and_swap("journal.write", key, segment, expect, tag)


@handles_store_answer("journal.write")
def handle_segment_write(context: Context, answer: StoreAnswer) -> None:
    """Complete a group write, or schedule a retry; a lost answer is first read back."""
    state = _find_answer_partition(context, answer)
    if state is None or not state.journal.is_write_pending:
        return
    journal = state.journal
    journal.is_write_pending = False
    if answer.status == OK:
        _complete_segment_write(context, state, answer.revision)
        return
    if answer.status in (FAILED, UNKNOWN):
        journal.is_reading_back |= answer.status == UNKNOWN
        journal.failing_since = journal.failing_since or context.now
        journal.due_at = context.now + context.random.uniform(0.5, 1.0) * RETRY_DELAY_S
        return
    _handle_write_conflict(context, state, answer)


def _handle_write_conflict(context: Context, state: PartitionState, answer: StoreAnswer) -> None:
    """Resolve a conflict: the write was stored already, is sent again, or the partition is lost."""
    journal = state.journal
    item = answer.items[0] if answer.items else None
    value = item.value if item else None
    revision = item.revision if item and value is not None else 0
    if value is not None and value.write_id == journal.write_id:
        _complete_segment_write(context, state, revision)
        return
    expected = 0 if journal.next_segment else journal.segment_revisions[journal.active_segment]
    if journal.is_reading_back and revision == expected:
        journal.is_reading_back = False
        _send_write(context, state)
        return
    _mark_partition_lost(context, state)


def _mark_partition_lost(context: Context, state: PartitionState) -> None:
    """Mark a partition as lost to another home that sealed the segment; the write had no effect."""
    journal = state.journal
    for item in journal.in_flight:
        _notify_appender(context, state, item, FAILED)
    journal.in_flight = []
    state.is_lost = True
    context.log("partition_lost", partition=state.number)


def _complete_segment_write(context: Context, state: PartitionState, revision: int) -> None:
    """Record a stored write and call the commit handlers of its appends."""
    journal = state.journal
    journal.failing_since = 0.0
    journal.is_reading_back = False
    if journal.next_segment:
        journal.active_segment = journal.next_segment
        journal.next_segment = 0
    journal.segment_revisions[journal.active_segment] = revision
    context.count("journal_writes_total")
    if journal.is_writing_snapshot:
        journal.is_writing_snapshot = False
        _delete_old_segments(context, state)
    finished_appends, journal.in_flight = journal.in_flight, []
    journal.due_at = context.now + context.settings.journal_interval_s
    for item in finished_appends:
        _notify_appender(context, state, item, OK)


def _delete_old_segments(context: Context, state: PartitionState) -> None:
    """Delete the segments that the new base segment replaces."""
    journal = state.journal
    for number in [
        number for number in journal.segment_revisions if number < journal.active_segment
    ]:
        revision = journal.segment_revisions.pop(number)
        key = build_segment_key(state.number, number)
        context.compare_and_swap("journal.drop", key, None, revision, f"{state.number}:{number}")


@handles_store_answer("journal.drop")
def handle_segment_delete(context: Context, answer: StoreAnswer) -> None:
    """Log a failed deletion; a later home deletes the segment with its next snapshot."""
    if answer.status != OK:
        context.log("segment_delete_failed", segment=answer.tag, status=answer.status)
