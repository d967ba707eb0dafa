"""The platform's instance list, which lags behind the truth."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class InstanceList:
    """Live and leaving instances; readers see the list as it was `lag_s` seconds ago."""

    lag_s: float = 0.5
    down: bool = False
    versions: list[tuple[float, dict[str, str]]] = field(default_factory=list)

    def set_state(self, now: float, name: str, state: str) -> None:
        """Note that an instance is "live", "leaving" or "gone" from now on."""
        latest = dict(self.versions[-1][1]) if self.versions else {}
        if state == "gone":
            latest.pop(name, None)
        else:
            latest[name] = state
        self.versions.append((now, latest))

    def read(self, now: float) -> dict[str, str]:
        """Return the list as a reader sees it."""
        visible: dict[str, str] = {}
        for changed_at, version in self.versions:
            if changed_at > now - self.lag_s and visible:
                break
            visible = version
        return visible
