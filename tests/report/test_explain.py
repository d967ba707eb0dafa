"""Tests of the `explain` command, the history of one id across several logs."""

from __future__ import annotations

from pathlib import Path

import pytest
import typer

from wasabiramp.report.explain import explain, read_lines, read_pairs, select_lines

FIRST = """time=2026-01-01 10:00:00,100 level=info event=job_stored job=ab queue=quotes
time=2026-01-01 10:00:03,000 level=info event=ownership_taken term=2 fence=9
time=2026-01-01 10:00:04,000 level=info event=job_ended job=ab phase=done reason="all tasks ended"
"""
SECOND = """noise without a time
time=2026-01-01 10:00:00,200 level=info event=run_started task=ab.0.0.0 run=1 executor=e1
time=2026-01-01 10:00:02,000 level=info event=member_joined member=other
time=2026-01-01 10:00:09,000 level=info event=ownership_lost term=1
"""


class TestExplain:
    """The lines of an id are sorted by time, with the changes of ownership in between."""

    def test_lines_of_two_logs(self, tmp_path: Path) -> None:
        (tmp_path / "one.log").write_text(FIRST)
        (tmp_path / "two.log").write_text(SECOND)
        rows = [row for name in ("one", "two") for row in read_lines(tmp_path / f"{name}.log")]
        events = [read_pairs(text)["event"] for _, _, text in select_lines(rows, "ab")]
        assert events == ["job_stored", "run_started", "ownership_taken", "job_ended"]

    def test_unknown_id(self, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
        (tmp_path / "one.log").write_text(FIRST)
        with pytest.raises(typer.Exit):
            explain("nothing", [tmp_path / "one.log"])
        assert "no line names it" in capsys.readouterr().out

    def test_quoted_values(self) -> None:
        assert read_pairs('event=a reason="b c=d" x=1') == {
            "event": "a",
            "reason": "b c=d",
            "x": "1",
        }
