"""The operators' intent as this daemon has it."""

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
    """The value of a resource's key; `spec` is None once it is deleted."""

    spec: dict[str, Any] | None
    write_id: str


@record
class Resource:
    """A resource at a revision; a deleted one stays as a tombstone with no spec."""

    kind: str
    name: str
    spec: dict[str, Any] | None
    revision: int


@record
class ResourceAnswer:
    """The answer to an operator; `status` is an HTTP status code."""

    status: int
    message: str
    resource: Resource | None = None


@record
class PendingWrite:
    """An operator's change on its way to the store."""

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
    """Resources by kind and name, and the typed objects made of them.

    `complete_to` is the store revision up to which every change is known here.
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
        """Start with the default policies and nothing else."""
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
        """Return the policy for a class of work; an unknown class gets the batch policy."""
        return self.policies.get(work_class) or self.policies["batch"]

    def apply(self, resource: Resource) -> bool:
        """Take a resource over if its revision is higher than the known one."""
        key = (resource.kind, resource.name)
        known = self.resources.get(key)
        if known is not None and known.revision >= resource.revision:
            return False
        self.resources[key] = resource
        self._update_typed_object(resource)
        return True

    def _update_typed_object(self, resource: Resource) -> None:
        """Replace or drop the typed object of the resource."""
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
