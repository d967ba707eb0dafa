"""Tests of the journal on a virtual network."""

from __future__ import annotations

from collections import Counter

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


def run_jobs(seed: int, nodes: int, jobs: int) -> Run:
    """Return a cell in which so many short jobs have ended."""
    run = Run(seed, Plan(nodes=nodes, executors=1, workers=2))
    run.apply_resources()
    for _ in range(jobs):
        run.submit_job(dict(QUICK_JOB))
        run.world.run_for(0.3)
    run.world.run_for(10.0)
    return run


class TestCompaction:
    """Old segments go away, and what is alive stays."""

    def test_jobs_survive_compaction_and_replacement(self, monkeypatch) -> None:
        monkeypatch.setattr(journal, "MAX_SEGMENT_BYTES", 2_000)
        run = run_jobs(5, 3, 120)
        keys = [key for key in run.world.store.items if key.startswith("journal/")]
        segments = Counter(key.split("/")[1] for key in keys)
        assert max(segments.values()) <= journal.COMPACT_SEGMENTS + 3
        for name in list(run.world.nodes):
            run.world.kill(name)
            run.restart_node(name)
        run.world.run_for(15.0)
        assert {item.phase for item in run.collect_evidence().jobs} == {"Succeeded"}
        assert len(run.collect_evidence().jobs) == 120

    def test_oldest_ended_jobs_are_dropped(self, monkeypatch) -> None:
        monkeypatch.setattr(journal, "MAX_SEGMENT_BYTES", 2_000)
        monkeypatch.setattr(journal, "KEPT_ENDED", (10,))
        run = run_jobs(6, 1, 150)
        kept = sum(len(state.jobs) for state in find_partitions(run))
        assert kept < 150
        assert all(len(state.journal.revisions) <= 8 for state in find_partitions(run))
