"""State of membership: members, epochs, and this daemon's right to act."""

from __future__ import annotations

from dataclasses import field

from wasabiramp.core.records import record


@record
class Member:
    """An incarnation of a daemon; `id` is `<instance>#<incarnation>`.

    `name` is the instance name. `peer` is the IP address and port for connections from peers.
    """

    id: str
    name: str
    zone: str
    peer: str


@record
class PastEpoch:
    """An earlier epoch in which some members may still act."""

    epoch: int
    members: list[Member]


@record
class MemberList:
    """The member list as stored; `epoch` increases with every change.

    `history` holds the earlier epochs in which a right may still be in use.
    """

    epoch: int = 0
    members: list[Member] = field(default_factory=list)
    history: list[PastEpoch] = field(default_factory=list)


@record
class PeerView:
    """State of another member as last reported by it.

    `heard_at` is when its last heartbeat or answer arrived. `acked_sent_at` is when this daemon
    sent the newest heartbeat that the member granted in the current epoch. Both are times of this
    daemon's loop in seconds. `load` maps a service to free slots and waiting requests; `free` is
    free cores, megabytes and accelerators.
    """

    heard_at: float
    epoch: int = 0
    acked_sent_at: float = -1.0
    suspects: tuple[str, ...] = ()
    is_leaving: bool = False
    clean_epoch: int = 0
    load: dict[str, tuple[int, int]] = field(default_factory=dict)
    free: tuple[float, float, int] = (0.0, 0.0, 0)


class MembershipState:
    """Members, epochs, rights and fences as known to this daemon.

    `revision` is the store revision of the current member list, and `views` holds the last report
    of each member by id. `confirmed_at` is when the store was last asked and showed no later epoch.
    `fenced_at` holds for each earlier epoch when it was first certain that no right in it can be
    renewed, and `first_seen_at` for each member when this daemon first learned of it.
    `instance_states` is the platform's list, requested at `instance_states_asked_at`.
    `last_logged_right` is whether the last change that was logged was a gain of the right.

    The member list is read again at `read_due_at` and the platform's list at `list_due_at`. This
    daemon may propose to join from `join_due_at` on, and to remove members or itself from
    `propose_due_at` on. `is_swap_pending` and `is_confirming` are set until the store answers a
    proposal or a request for confirmation. During a graceful shutdown, `idle_since` is the last
    time at which the daemon was still a member or had work under way. Times are loop times in
    seconds; -1e9 stands for never.
    """

    __slots__ = (
        "current",
        "revision",
        "epoch_adopted_at",
        "views",
        "confirmed_at",
        "fenced_at",
        "first_seen_at",
        "instance_states",
        "instance_states_asked_at",
        "is_swap_pending",
        "read_due_at",
        "heartbeat_due_at",
        "list_due_at",
        "join_due_at",
        "propose_due_at",
        "is_leaving",
        "has_left",
        "leave_deadline_at",
        "last_logged_right",
        "is_confirming",
        "leave_started_at",
        "idle_since",
    )

    def __init__(self) -> None:
        """Initialise a state without members."""
        self.current = MemberList()
        self.revision = 0
        self.epoch_adopted_at = 0.0
        self.views: dict[str, PeerView] = {}
        self.confirmed_at = -1e9
        self.fenced_at: dict[int, float] = {}
        self.first_seen_at: dict[str, float] = {}
        self.instance_states: dict[str, str] = {}
        self.instance_states_asked_at = -1e9
        self.is_swap_pending = False
        self.read_due_at = 0.0
        self.heartbeat_due_at = 0.0
        self.list_due_at = 0.0
        self.join_due_at = 0.0
        self.propose_due_at = 0.0
        self.is_leaving = False
        self.has_left = False
        self.leave_deadline_at = 0.0
        self.last_logged_right = False
        self.is_confirming = False
        self.leave_started_at = 0.0
        self.idle_since = 0.0
