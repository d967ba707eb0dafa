"""Tests of the journal on a virtual network."""

from __future__ import annotations

from wasabiramp.jobs import journal
from wasabiramp.model.schedule import Plan, Run

QUICK_JOB = {"payload": {"run_s": 0.05}}


def find_partitions(run: Run) -> list[object]:
    """Return the loaded partitions of all daemons."""
    return [
        state
        for node in run.world.list_live()
        for state in node.reducer.state.jobs.partitions.values()
        if journal.is_ready(state)
    ]


class TestCompaction:
    """Old segments go away, and what is alive stays."""

    def test_jobs_survive_compaction_and_replacement(self, monkeypatch) -> None:
        monkeypatch.setattr(journal, "MAX_SEGMENT_BYTES", 2_000)
        run = Run(5, Plan(nodes=3, executors=1, workers=2))
        run.declare()
        for _ in range(120):
            run.submit(dict(QUICK_JOB))
            run.world.run_for(0.3)
        run.world.run_for(10.0)
        keys = [key for key in run.world.store.items if key.startswith("journal/")]
        assert len(keys) < 16 * (journal.COMPACT_SEGMENTS + 3)
        for name in list(run.world.nodes):
            run.world.kill(name)
            run.replace(name)
        run.world.run_for(15.0)
        assert {item.phase for item in run.gather().jobs} == {"Succeeded"}
        assert len(run.gather().jobs) == 120

    def test_oldest_ended_jobs_are_dropped(self, monkeypatch) -> None:
        monkeypatch.setattr(journal, "MAX_SEGMENT_BYTES", 2_000)
        monkeypatch.setattr(journal, "KEPT_ENDED", (10,))
        run = Run(6, Plan(nodes=1, executors=1, workers=2))
        run.declare()
        for _ in range(150):
            run.submit(dict(QUICK_JOB))
            run.world.run_for(0.3)
        run.world.run_for(10.0)
        kept = sum(len(state.jobs) for state in find_partitions(run))
        assert kept < 150
        assert all(len(state.journal.revisions) <= 8 for state in find_partitions(run))
