"""Tests of the complete reducer."""

from __future__ import annotations

from typing import Any

import pytest

from wasabiramp.core.records import decode_json, encode_json
from wasabiramp.core.reducer import Reducer
from wasabiramp.model.schedule import Run, schedule_work


class TestReplay:
    """Replaying recorded events produces the same effects, byte for byte."""

    def test_replay_gives_the_same_effects(self, monkeypatch: pytest.MonkeyPatch) -> None:
        recorded: list[tuple[float, str, str]] = []
        apply = Reducer.apply

        def apply_and_record(self: Reducer, event: Any, now: float) -> list[Any]:
            text = encode_json(event)
            effects = apply(self, event, now)
            if self.state.me.name == "entry-1":
                recorded.append((now, text, encode_json(effects)))
            return effects

        monkeypatch.setattr(Reducer, "apply", apply_and_record)
        run = Run(3, task_lease_s=5.0)
        run.apply_resources()
        schedule_work(run)
        run.world.run_for(15.0)
        monkeypatch.undo()
        node = run.world.nodes["entry-1"]
        replayed = Reducer(node.reducer.context.settings, node.incarnation)
        assert len(recorded) > 200
        for now, event, effects in recorded:
            assert encode_json(replayed.apply(decode_json(event), now)) == effects
