"""Resources that operators declared, as known to this daemon."""

from __future__ import annotations

from typing import Any

from wasabiramp.core.records import record
from wasabiramp.resource.kinds import (
    KIND_INSTANCE,
    KIND_POLICY,
    KIND_SERVICE,
    KIND_TEAM,
    Instance,
    Policy,
    Service,
    Team,
    parse_spec,
)


@record
class StoredSpec:
    """Value of a resource's key in the store; `spec` is None for a deleted resource.

    `write_id` is the request id of the write that stored the value.
    """

    spec: dict[str, Any] | None
    write_id: str


@record
class Resource:
    """A resource at a revision; a deleted resource is kept as a tombstone without a spec."""

    kind: str
    name: str
    spec: dict[str, Any] | None
    revision: int


@record
class ResourceAnswer:
    """Answer to an operator; `status` is an HTTP status code."""

    status: int
    message: str
    resource: Resource | None = None


@record
class PendingWrite:
    """An operator's change whose outcome in the store is not certain yet.

    `last_expect` is the revision expected by the last write. `is_reading_back` is set while the
    outcome of that write is unknown and the committed value is read.
    """

    request_id: str
    kind: str
    name: str
    spec: dict[str, Any] | None
    expected_revision: int | None
    tries: int = 0
    last_expect: int = 0
    is_reading_back: bool = False


DEFAULT_POLICIES: dict[str, dict[str, Any]] = {
    "interactive": {"priority": 100, "wait_s": 0.1, "objective": 0.99},
    "urgent": {"priority": 50, "wait_s": 1.5, "objective": 0.99, "can_preempt": True},
    "gang": {"priority": 20, "wait_s": 60, "objective": 0.95},
    "batch": {"priority": 0, "wait_s": 300, "objective": 0.9, "is_preemptible": True},
}


class IntentState:
    """Resources by kind and name, and the typed objects parsed from them.

    `synced_revision` is the store revision up to which this daemon has every change.
    """

    __slots__ = (
        "resources",
        "synced_revision",
        "teams",
        "services",
        "policies",
        "instances",
        "writes",
        "poll_due_at",
        "watch_due_at",
        "is_watching",
        "is_polling",
    )

    def __init__(self) -> None:
        """Initialise a state that has only the default policies."""
        self.resources: dict[tuple[str, str], Resource] = {}
        self.synced_revision = 0
        self.teams: dict[str, Team] = {}
        self.services: dict[str, Service] = {}
        self.policies: dict[str, Policy] = {}
        self.instances: dict[str, Instance] = {}
        self.writes: dict[str, PendingWrite] = {}
        self.poll_due_at = 0.0
        self.watch_due_at = 0.0
        self.is_watching = False
        self.is_polling = False
        for name, spec in DEFAULT_POLICIES.items():
            self.policies[name] = parse_spec(KIND_POLICY, name, spec).ok

    def find_policy(self, work_class: str) -> Policy:
        """Return the policy for a class of work; an unknown class falls back to "batch"."""
        return self.policies.get(work_class) or self.policies["batch"]

    def apply(self, resource: Resource) -> bool:
        """Apply a resource if its revision is newer than the known one; return whether it was."""
        key = (resource.kind, resource.name)
        known_resource = self.resources.get(key)
        if known_resource is not None and known_resource.revision >= resource.revision:
            return False
        self.resources[key] = resource
        self._update_typed_object(resource)
        return True

    def _update_typed_object(self, resource: Resource) -> None:
        """Replace or remove the typed object of the resource.

        A deleted policy of a default class goes back to its default. An invalid spec is ignored.
        """
        tables: dict[str, dict[str, Any]] = {
            KIND_TEAM: self.teams,
            KIND_SERVICE: self.services,
            KIND_POLICY: self.policies,
            KIND_INSTANCE: self.instances,
        }
        table = tables.get(resource.kind)
        if table is None:
            return
        spec = resource.spec
        if spec is None and resource.kind == KIND_POLICY:
            spec = DEFAULT_POLICIES.get(resource.name)
        if spec is None:
            table.pop(resource.name, None)
            return
        parsed = parse_spec(resource.kind, resource.name, spec)
        if parsed.is_ok():
            table[resource.name] = parsed.ok
