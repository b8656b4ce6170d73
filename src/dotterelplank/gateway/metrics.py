"""The counters and latency histograms of an entry."""

import typing as t

import aioprometheus
from aioprometheus.formats import text

from ..results import Result

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
    """A histogram of durations."""

    def __init__(self, registry: aioprometheus.Registry, name: str, doc: str) -> None:
        self._histogram = aioprometheus.Histogram(
            name, doc, buckets=list(_BUCKETS_MS), registry=registry
        )

    def observe(self, duration_ms: float) -> None:
        """Add one duration."""
        self._histogram.observe({}, duration_ms)


class EntryMetrics:
    """What an entry counts; read and written by one loop."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._results = self._counter("results_total", "Calls by result code.")
        self._failures = self._counter("sends_failed_total", "Failed sends.")
        self._connections = self._counter(
            "connections_total", "Connections opened to endpoints."
        )
        self._strays = self._counter(
            "stray_answers_total", "Answers that belonged to another call."
        )
        self.platform_calls = self._counter(
            "platform_calls_total", "Calls to the platform's store, by outcome."
        )
        self._gauge = aioprometheus.Gauge(
            "dotterelplank_state", "State by name.", registry=self.registry
        )
        self.request = Latency(
            self.registry,
            "dotterelplank_request_ms",
            "Time from a call read to its answer sent.",
        )
        self.first_event = Latency(
            self.registry,
            "dotterelplank_first_event_ms",
            "Time from a call read to the first event of its stream sent.",
        )

    def count_result(self, result: Result) -> None:
        """Count a call that ended."""
        self._results.inc({"result": result.name})

    def count_failure(self, service: str) -> None:
        """Count a send that brought no answer."""
        self._failures.inc({"service": service})

    def count_connection(self, service: str) -> None:
        """Count a connection that is opened to an endpoint."""
        self._connections.inc({"service": service})

    def count_stray(self) -> None:
        """Count an answer that belonged to another call."""
        self._strays.inc({})

    def render(self, state: t.Mapping[str, float]) -> bytes:
        """Return all metrics in the Prometheus text format.

        :param state: present values by name.
        """
        for name, value in state.items():
            self._gauge.set({"name": name}, value)
        return text.TextFormatter().marshall(self.registry)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"dotterelplank_{name}", doc, registry=self.registry
        )
