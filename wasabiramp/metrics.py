"""Metrics of one daemon, for Prometheus."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.collectors import Histogram
from aioprometheus.renderer import render

WAIT_BUCKETS_S: Final = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5, 10]
METRIC_PREFIX: Final = "wasabiramp_"


class Metrics:
    """Counters, histograms and gauges by name, created on first use."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._registry = Registry()
        self._collectors: dict[str, Counter | Histogram | Gauge] = {}

    def record_value(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Add to a counter, or observe seconds in a histogram if the name ends in `_seconds`."""
        collector = self._collectors.get(name)
        if collector is None:
            collector = self._create_collector(name)
        if isinstance(collector, Histogram):
            collector.observe(labels, value)
        else:
            collector.add(labels, value)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge without labels."""
        collector = self._collectors.get(name)
        if collector is None:
            collector = Gauge(METRIC_PREFIX + name, name.replace("_", " "), registry=self._registry)
            self._collectors[name] = collector
        collector.set({}, value)

    def _create_collector(self, name: str) -> Counter | Histogram:
        """Create the histogram or counter that fits the name."""
        description = name.replace("_", " ")
        if name.endswith("_seconds"):
            new_collector: Counter | Histogram = Histogram(
                METRIC_PREFIX + name, description, buckets=WAIT_BUCKETS_S, registry=self._registry
            )
        else:
            new_collector = Counter(METRIC_PREFIX + name, description, registry=self._registry)
        self._collectors[name] = new_collector
        return new_collector

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its HTTP headers, in a format that the client accepts."""
        return render(self._registry, accepts)
