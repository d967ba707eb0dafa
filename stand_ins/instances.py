"""Stand-in for the platform's instance list, which shows changes with a delay."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class InstanceList:
    """The live and leaving instances; readers get the list as it was `lag_s` seconds ago.

    `versions` holds the states by name after each change, with the time of the change in seconds.
    The fault `down` refuses reads.
    """

    lag_s: float = 0.5
    down: bool = False
    versions: list[tuple[float, dict[str, str]]] = field(default_factory=list)

    def set_state(self, now: float, name: str, state: str) -> None:
        """Set the state of an instance: "live", "leaving", or "gone", which removes it."""
        latest = dict(self.versions[-1][1]) if self.versions else {}
        if state == "gone":
            latest.pop(name, None)
        else:
            latest[name] = state
        self.versions.append((now, latest))

    def read(self, now: float) -> dict[str, str]:
        """Return the states by name as of `lag_s` ago.

        If the list was empty then, return the next one that was not.
        """
        visible: dict[str, str] = {}
        for changed_at, version in self.versions:
            if changed_at > now - self.lag_s and visible:
                break
            visible = version
        return visible
