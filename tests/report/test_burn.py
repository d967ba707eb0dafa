"""Tests of burn rates."""

from __future__ import annotations

from pathlib import Path

from wasabiramp.report.burn import Burn, BurnHistory, Sample, parse_wait_counts, plot_burns

PAGE = """
wasabiramp_request_wait_seconds_bucket{le="0.1",work_class="interactive"} 90.0
wasabiramp_request_wait_seconds_bucket{le="0.25",work_class="interactive"} 95.0
wasabiramp_request_wait_seconds_bucket{le="+Inf",work_class="interactive"} 100.0
"""


class TestBurn:
    """The burn rate of a window is its share of late work, divided by the allowed share."""

    def test_exact_budget_gives_rate_of_one(self) -> None:
        history = BurnHistory("interactive", 0.9)
        history.add(Sample(0.0, 0.0, 0.0))
        history.add(Sample(100.0, 100.0, 90.0))
        assert round(history.compute_burn_rate(300.0), 6) == 1.0

    def test_short_window_ignores_old_samples(self) -> None:
        history = BurnHistory("interactive", 0.9)
        history.add(Sample(0.0, 0.0, 0.0))
        history.add(Sample(1000.0, 100.0, 0.0))
        history.add(Sample(1400.0, 200.0, 100.0))
        assert history.compute_burn_rate(300.0) == 0.0
        assert history.build_burn().budget_left == 0.0

    def test_counts_of_a_metrics_page(self) -> None:
        assert parse_wait_counts(PAGE, {"interactive": 0.1}) == {"interactive": (100.0, 90.0)}

    def test_plot(self, tmp_path: Path) -> None:
        path = tmp_path / "burn.png"
        plot_burns([Burn("batch", 0.9, 0.5, 0.2, 0.8)], path)
        assert path.read_bytes().startswith(b"\x89PNG")
