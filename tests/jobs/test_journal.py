"""Tests of journal compaction on a simulated cell."""

from __future__ import annotations

from collections import Counter

from wasabiramp.jobs import journal
from wasabiramp.model.schedule import Plan, Run

SHORT_JOB = {"payload": {"run_s": 0.05}}


def list_ready_partitions(run: Run) -> list[object]:
    """Return the ready partitions of all live daemons."""
    return [
        state
        for node in run.world.list_live()
        for state in node.reducer.state.jobs.partitions.values()
        if journal.is_ready(state)
    ]


def run_cell_with_jobs(seed: int, nodes: int, jobs: int) -> Run:
    """Run a cell until the given number of short jobs have ended, and return it."""
    run = Run(seed, Plan(nodes=nodes, executors=1, workers=2))
    run.apply_resources()
    for _ in range(jobs):
        run.submit_job(dict(SHORT_JOB))
        run.world.run_for(0.3)
    run.world.run_for(10.0)
    return run


class TestCompaction:
    """Snapshots replace old segments without losing jobs that must be kept."""

    def test_jobs_survive_compaction_and_replacement(self, monkeypatch) -> None:
        monkeypatch.setattr(journal, "MAX_SEGMENT_BYTES", 2_000)
        run = run_cell_with_jobs(5, 3, 120)
        keys = [key for key in run.world.store.items if key.startswith("journal/")]
        segments_by_partition = Counter(key.split("/")[1] for key in keys)
        assert max(segments_by_partition.values()) <= journal.COMPACTION_SEGMENT_COUNT + 3
        for name in list(run.world.nodes):
            run.world.kill(name)
            run.restart_node(name)
        run.world.run_for(15.0)
        assert {item.phase for item in run.collect_evidence().jobs} == {"Succeeded"}
        assert len(run.collect_evidence().jobs) == 120

    def test_oldest_ended_jobs_are_dropped(self, monkeypatch) -> None:
        monkeypatch.setattr(journal, "MAX_SEGMENT_BYTES", 2_000)
        monkeypatch.setattr(journal, "KEPT_ENDED_COUNTS", (10,))
        run = run_cell_with_jobs(6, 1, 150)
        kept_jobs = sum(len(state.jobs) for state in list_ready_partitions(run))
        assert kept_jobs < 150
        assert all(
            len(state.journal.segment_revisions) <= 8 for state in list_ready_partitions(run)
        )
