"""Tests of `report losses`: causes of late, failed and refused jobs, and unreadable logs."""

from __future__ import annotations

from pathlib import Path

import pytest

from wasabiramp.report.losses import (
    CellHistory,
    LogError,
    plot_timeline,
    read_cell,
    summarize_losses,
)

TAKEN = "event=job_taken job={job} queue=quotes stretch=1.5 target_s=0.25"


def write_log(path: Path, *lines: tuple[float, str]) -> Path:
    """Write a log of lines, each given as seconds and text."""
    texts = [
        f"time=2026-01-01 10:00:{int(at):02d},{int(at % 1 * 1000):03d} level=info {text}"
        for at, text in lines
    ]
    path.write_text("\n".join(texts) + "\n")
    return path


def make_job_lines(
    job: str, submitted_at: float, started_at: float, ended_at: float, runs: str = "0:1:e1:600"
) -> list[tuple[float, str]]:
    """Return the lines of a job with one step."""
    return [
        (submitted_at, f"event=job_stored job={job} queue=quotes how=stored"),
        (submitted_at + 0.01, TAKEN.format(job=job)),
        (submitted_at + 0.05, f"event=advice step={job}.0.0 asked=24 good=9"),
        (started_at, f"event=run_started step={job}.0.0 runs=0:1:e1"),
        (ended_at, f"event=run_ended step={job}.0.0 how=done runs={runs}"),
        (ended_at, f"event=job_ended job={job} phase=done"),
    ]


def list_losses(cell: CellHistory) -> list[tuple[str, str, int]]:
    """Return cause, loss and number of jobs of each row."""
    return [(row.cause, row.loss, row.jobs) for row in summarize_losses(cell, 5.0)]


class TestCauses:
    """Each lost job counts for the first cause that explains it."""

    def test_job_in_time_is_no_loss(self, tmp_path: Path) -> None:
        log = write_log(tmp_path / "a.log", *make_job_lines("aa", 1.0, 1.1, 1.7))
        assert list_losses(read_cell([log])) == []

    def test_wait_for_room(self, tmp_path: Path) -> None:
        log = write_log(tmp_path / "a.log", *make_job_lines("aa", 1.0, 2.5, 3.1))
        assert list_losses(read_cell([log])) == [("no room", "late", 1)]

    def test_slow_run(self, tmp_path: Path) -> None:
        runs = "0:1:e1:600,1:1:e2:600,2:1:e3:2900"
        log = write_log(tmp_path / "a.log", *make_job_lines("aa", 1.0, 1.1, 4.0, runs))
        assert list_losses(read_cell([log])) == [("slow run or late report", "late", 1)]

    def test_refusal_in_an_outage_of_the_store(self, tmp_path: Path) -> None:
        log = write_log(
            tmp_path / "a.log",
            (0.1, "event=starting member=a"),
            (3.0, "event=store_away answered_s_ago=0.8"),
            (3.1, "event=job_not_stored job=aa queue=quotes outcome=not-run"),
            (6.0, "event=store_back silent_s=4"),
        )
        cell = read_cell([log])
        assert list_losses(cell) == [("store away", "refused", 1)]
        assert summarize_losses(cell, 5.0)[0].is_unavoidable

    def test_takeover(self, tmp_path: Path) -> None:
        owner = write_log(tmp_path / "a.log", *make_job_lines("aa", 1.0, 2.5, 3.1))
        other = write_log(
            tmp_path / "b.log", (1.2, "event=owner_gone last=c"), (2.4, "event=recovery_complete")
        )
        assert list_losses(read_cell([owner, other])) == [("takeover", "late", 1)]

    def test_unanswered_order(self, tmp_path: Path) -> None:
        log = write_log(
            tmp_path / "a.log",
            *make_job_lines("aa", 1.0, 1.1, 3.0),
            (1.4, "event=start_refused task=aa.0.0.0 run=1 executor=e1 why=unknown"),
        )
        assert list_losses(read_cell([log])) == [("order unanswered", "late", 1)]

    def test_loss_without_a_known_cause(self, tmp_path: Path) -> None:
        log = write_log(tmp_path / "a.log", *make_job_lines("aa", 1.0, 1.1, 3.0))
        assert list_losses(read_cell([log])) == [("not known", "late", 1)]


class TestLogs:
    """What cannot be read is an error that names the file, never a figure."""

    def test_empty_log(self, tmp_path: Path) -> None:
        (tmp_path / "empty.log").write_text("")
        with pytest.raises(LogError, match="empty.log: no line with a time"):
            read_cell([tmp_path / "empty.log"])

    def test_foreign_time(self, tmp_path: Path) -> None:
        (tmp_path / "foreign.log").write_text("time=12:00 level=info event=x\n")
        with pytest.raises(LogError, match="foreign.log: time=12:00"):
            read_cell([tmp_path / "foreign.log"])

    def test_log_that_does_not_tell_the_objective(self, tmp_path: Path) -> None:
        lines = [line for line in make_job_lines("aa", 1.0, 9.0, 9.6) if "job_taken" not in line[1]]
        assert list_losses(read_cell([write_log(tmp_path / "a.log", *lines)])) == []

    def test_job_of_which_only_steps_are_logged(self, tmp_path: Path) -> None:
        log = write_log(tmp_path / "a.log", (1.0, "event=advice step=aa.0.0 asked=24 good=9"))
        assert read_cell([log]).jobs == {}

    def test_lines_of_several_daemons_in_one_file(self, tmp_path: Path) -> None:
        log = write_log(
            tmp_path / "all.log",
            (1.0, "event=store_away answered_s_ago=0.8"),
            (2.0, "event=store_back silent_s=4"),
        )
        text = log.read_text().replace("time=", "  1.2 entry-1 time=", 1)
        log.write_text(text.replace("\ntime=", "\n  2.2 entry-2 time="))
        # Only `entry-1` saw the outage, and it never logs the store's return.
        assert read_cell([log]).outages == []

    def test_store_that_turns_one_of_three_daemons_away_is_no_outage(self, tmp_path: Path) -> None:
        paths = [
            write_log(tmp_path / f"{name}.log", (1.0, f"event=starting member={name}"))
            for name in "bc"
        ]
        away = write_log(
            tmp_path / "a.log",
            (2.0, "event=store_away answered_s_ago=0.8"),
            (5.0, "event=store_back silent_s=4"),
        )
        assert read_cell([*paths, away]).outages == []
        assert len(read_cell([away]).outages) == 1

    def test_outage_that_a_daemon_does_not_outlive(self, tmp_path: Path) -> None:
        """Guards against an outage without an end, to which all later losses are put down."""
        log = write_log(
            tmp_path / "a.log",
            (1.0, "event=store_away answered_s_ago=0.8"),
            (1.5, "event=renewal_failed error=x"),
            (9.0, "event=starting member=a"),
            (12.0, "event=joined lease=1"),
        )
        ((_begin, end),) = read_cell([log]).outages
        assert end == pytest.approx(0.5)


class TestTimeline:
    """The timeline is a picture."""

    def test_png(self, tmp_path: Path) -> None:
        log = write_log(tmp_path / "a.log", *make_job_lines("aa", 1.0, 2.5, 3.1))
        plot_timeline(read_cell([log]), tmp_path / "day.png")
        assert (tmp_path / "day.png").read_bytes().startswith(b"\x89PNG")
