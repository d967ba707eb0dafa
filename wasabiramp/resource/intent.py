"""Replication of resources: writes by compare-and-swap, updates by watch, poll and peers."""

from __future__ import annotations

from typing import Final

from wasabiramp.const import PREFIX_RESOURCE
from wasabiramp.core.context import Context
from wasabiramp.core.effects import StoreRead, StoreWatch
from wasabiramp.core.events import CONFLICT, OK, UNKNOWN, ResourceWritten, StoreAnswer, Tick
from wasabiramp.core.registry import handles, handles_store_answer, receives
from wasabiramp.membership.owners import choose_witnesses
from wasabiramp.membership.targets import refresh_owned_targets
from wasabiramp.peer.messages import ConfigAsked, ConfigTold
from wasabiramp.resource.state import PendingWrite, Resource, ResourceAnswer, StoredSpec

WATCH_TIMEOUT_S: Final = 20.0

POLL_INTERVAL_S: Final = 1.0
"""Poll interval of the frequent pollers, and of a daemon that has no configuration yet."""

SLOW_POLL_INTERVAL_S: Final = 10.0
"""Poll interval of all other members."""

FREQUENT_POLLER_COUNT: Final = 2
"""Number of witnesses that poll at the short interval."""

MAX_WRITE_ATTEMPTS: Final = 8
"""Maximum number of store operations, writes and reads back, for one change."""


@handles(Tick)
def handle_resource_sync_tick(context: Context, _event: Tick) -> None:
    """Keep a store watch open, and poll the store in case the watch has stalled."""
    intent = context.state.intent
    if not intent.is_watching and context.now >= intent.watch_due_at and intent.synced_revision:
        intent.is_watching = True
        context.add(
            StoreWatch("resources.watch", PREFIX_RESOURCE, intent.synced_revision, WATCH_TIMEOUT_S)
        )
    if intent.is_polling or context.now < intent.poll_due_at:
        return
    intent.is_polling = True
    intent.poll_due_at = context.now + _get_poll_interval_s(context)
    context.add(
        StoreRead(
            "resources.poll", "", PREFIX_RESOURCE, is_prefix=True, after=intent.synced_revision
        )
    )


def _get_poll_interval_s(context: Context) -> float:
    """Return the time between polls.

    Two witnesses poll often; the other members learn of newer revisions from heartbeats.
    """
    members = context.state.membership.current.members
    pollers = choose_witnesses(members)[:FREQUENT_POLLER_COUNT]
    if not context.state.intent.synced_revision or not pollers or context.state.me.id in pollers:
        return POLL_INTERVAL_S
    return SLOW_POLL_INTERVAL_S


@handles_store_answer("resources.watch")
def handle_resource_watch(context: Context, answer: StoreAnswer) -> None:
    """Apply the changes that the watch returned.

    The next tick opens a new watch; after a failure, the first tick after a random delay.
    """
    intent = context.state.intent
    intent.is_watching = False
    if answer.status == OK:
        _apply_store_items(context, answer)
        return
    intent.watch_due_at = context.now + context.random.uniform(0.5, 1.0)


@handles_store_answer("resources.poll")
def handle_resource_poll(context: Context, answer: StoreAnswer) -> None:
    """Apply the changes that the poll returned."""
    context.state.intent.is_polling = False
    if answer.status == OK:
        _apply_store_items(context, answer)


def _apply_store_items(context: Context, answer: StoreAnswer) -> None:
    """Apply changed keys of the store, which are complete up to the answer's revision."""
    resources = []
    for item in answer.items:
        _prefix, kind, name = item.key.split("/", 2)
        spec = item.value.spec if item.value is not None else None
        resources.append(Resource(kind, name, spec, item.revision))
    _apply_resources(context, resources, answer.revision)


def _apply_resources(context: Context, resources: list[Resource], synced_revision: int) -> None:
    """Apply resources, skipping those that are not newer than the known revision."""
    intent = context.state.intent
    changed = [resource for resource in resources if intent.apply(resource)]
    intent.synced_revision = max(intent.synced_revision, synced_revision)
    if not changed:
        return
    newest = max(resource.revision for resource in changed)
    context.log("resources_applied", count=len(changed), revision=newest)
    refresh_owned_targets(context)


@receives(ConfigAsked)
def handle_config_asked(context: Context, sender: str, message: ConfigAsked) -> None:
    """Send the peer every resource newer than the revision that it has."""
    intent = context.state.intent
    newer = [item for item in intent.resources.values() if item.revision > message.revision]
    context.send(sender, ConfigTold(newer, intent.synced_revision, message.revision))


@receives(ConfigTold)
def handle_config_told(context: Context, _sender: str, message: ConfigTold) -> None:
    """Apply resources from a peer.

    `synced_revision` advances only if the update leaves no gap after the revision known here.
    """
    intent = context.state.intent
    synced_to = message.revision if message.since <= intent.synced_revision else 0
    _apply_resources(context, message.resources, synced_to)


@handles(ResourceWritten)
def handle_resource_written(context: Context, event: ResourceWritten) -> None:
    """Start a compare-and-swap for an operator's change, or refuse to delete a missing resource."""
    write = PendingWrite(
        event.request_id, event.kind, event.name, event.spec, event.expected_revision
    )
    intent = context.state.intent
    known_resource = intent.resources.get((event.kind, event.name))
    if event.spec is None and event.expected_revision is None and intent.synced_revision:
        is_missing = known_resource is None or known_resource.spec is None
        if is_missing:
            message = f"{event.kind} {event.name} does not exist"
            context.answer(event.request_id, ResourceAnswer(404, message))
            return
    intent.writes[write.request_id] = write
    expect = write.expected_revision
    if expect is None:
        expect = known_resource.revision if known_resource else 0
    _send_resource_write(context, write, expect)


def _send_resource_write(context: Context, write: PendingWrite, expect: int) -> None:
    """Send the write, marked with its id so that a read can identify the committed value."""
    write.tries += 1
    write.last_expect = expect
    value = StoredSpec(write.spec, write.request_id)
    context.compare_and_swap(
        "resources.write", _build_store_key(write), value, expect, write.request_id
    )


def _build_store_key(write: PendingWrite) -> str:
    """Return the key of the resource in the store."""
    return f"{PREFIX_RESOURCE}{write.kind}/{write.name}"


@handles_store_answer("resources.write")
def handle_write_answer(context: Context, answer: StoreAnswer) -> None:
    """Answer the operator once the outcome of the write is certain, or else read it back."""
    write = context.state.intent.writes.get(answer.tag)
    if write is None:
        return
    if answer.status == OK:
        _complete_write(context, write, answer.revision)
        return
    if answer.status == CONFLICT:
        _handle_write_conflict(context, write, answer)
        return
    if answer.status == UNKNOWN:
        write.is_reading_back = True
    if write.tries >= MAX_WRITE_ATTEMPTS:
        _reply_outcome_unknown(context, write)
        return
    write.tries += 1
    if write.is_reading_back:
        context.compare_and_swap(
            "resources.write", _build_store_key(write), None, -1, write.request_id
        )
        return
    message = "not changed: the store is away, try again"
    _reply_to_write(context, write, ResourceAnswer(503, message))


def _handle_write_conflict(context: Context, write: PendingWrite, answer: StoreAnswer) -> None:
    """Check whether the committed value is from this write; if not, retry or report a conflict."""
    item = answer.items[0] if answer.items else None
    value = item.value if item else None
    revision = item.revision if item else 0
    if value is not None and value.write_id == write.request_id:
        _complete_write(context, write, revision)
        return
    was_reading_back = write.is_reading_back
    write.is_reading_back = False
    if (
        write.expected_revision is None
        and write.tries < MAX_WRITE_ATTEMPTS
        and not was_reading_back
    ):
        _send_resource_write(context, write, revision)
        return
    if was_reading_back and revision == write.last_expect:
        # The key is still at the expected revision: the write had no effect and is sent again.
        _send_resource_write(context, write, revision)
        return
    if was_reading_back:
        message = f"a later change at revision {revision} is in force; this one may have preceded"
        _reply_to_write(context, write, ResourceAnswer(409, message))
        return
    message = f"metadata.resourceVersion: the resource is at revision {revision}"
    _reply_to_write(context, write, ResourceAnswer(409, message))


def _complete_write(context: Context, write: PendingWrite, revision: int) -> None:
    """Apply a committed change, send it to every other member and answer the operator."""
    resource = Resource(write.kind, write.name, write.spec, revision)
    _apply_resources(context, [resource], 0)
    config_update = ConfigTold([resource], 0, 0)
    for member in context.state.membership.current.members:
        if member.id != context.state.me.id:
            context.send(member.id, config_update)
    _reply_to_write(context, write, ResourceAnswer(200, "accepted", resource))


def _reply_outcome_unknown(context: Context, write: PendingWrite) -> None:
    """Answer the operator that the outcome of the write is unknown."""
    message = "the store does not answer: the change may have been accepted; read it back"
    _reply_to_write(context, write, ResourceAnswer(504, message))


def _reply_to_write(context: Context, write: PendingWrite, answer: ResourceAnswer) -> None:
    """Remove the pending write and answer the operator."""
    context.state.intent.writes.pop(write.request_id, None)
    context.answer(write.request_id, answer)
