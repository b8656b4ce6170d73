"""Counters, latency histograms and gauges of a process in Prometheus text format."""

import typing as t

import aioprometheus
from aioprometheus.formats import text

METRICS_PATH: t.Final = b"/metrics"
_BUCKETS_MS: t.Final = [
    1,
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    350,
    500,
    750,
    1000,
    2000,
    4000,
    8000,
    16000,
]


class Latency:
    """A histogram of durations in milliseconds."""

    def __init__(self, registry: aioprometheus.Registry, name: str, doc: str) -> None:
        self._histogram = aioprometheus.Histogram(
            name, doc, buckets=list(_BUCKETS_MS), registry=registry
        )

    def observe(self, duration_ms: float) -> None:
        """Add one duration."""
        self._histogram.observe({}, duration_ms)


class MetricSet:
    """The metrics of one process, which only one event loop may read and write.

    :param state_name: name of the gauge for the current values.
    """

    def __init__(self, state_name: str) -> None:
        self._registry = aioprometheus.Registry()
        self._state = aioprometheus.Gauge(
            f"dotterelplank_{state_name}", "State by name.", registry=self._registry
        )

    def counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Return a new counter."""
        return aioprometheus.Counter(
            f"dotterelplank_{name}", doc, registry=self._registry
        )

    def latency(self, name: str, doc: str) -> Latency:
        """Return a new histogram of durations in milliseconds."""
        return Latency(self._registry, f"dotterelplank_{name}", doc)

    def render(self, state: t.Mapping[str, float]) -> bytes:
        """Return all metrics in the Prometheus text format.

        :param state: current values by name.
        """
        for name, value in state.items():
            self._state.set({"name": name}, value)
        return text.TextFormatter().marshall(self._registry)
