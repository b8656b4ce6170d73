"""Thread-safe metrics of a process in the Prometheus text format."""

import threading
import typing as t

import aioprometheus
from aioprometheus.formats import text
from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2


class Timing:
    """A histogram of durations, which are stored in microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        self._lock = threading.Lock()

    def observe(self, duration_ms: float) -> None:
        """Add one duration."""
        value_us = min(max(int(duration_ms * 1000), _LOWEST_US), _HIGHEST_US)
        with self._lock:
            self._histogram.record_value(value_us)

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile in milliseconds; 0 if there are no durations yet."""
        with self._lock:
            if not self._histogram.total_count:
                return 0.0
            return self._histogram.get_value_at_percentile(percent) / 1000

    def count(self) -> int:
        """Return the number of durations added."""
        with self._lock:
            return self._histogram.total_count


class Metrics:
    """The counters, gauges and timings of one process."""

    def __init__(self, host: str, role: str) -> None:
        self.registry = aioprometheus.Registry()
        labels = {"host": host, "role": role}
        self.results = self._counter(
            "dotterelplank_results_total", "Requests by result code.", labels
        )
        self.dropped = self._counter(
            "dotterelplank_answers_dropped_total",
            "Answers for requests that were over or unknown.",
            labels,
        )
        self.platform_reads = self._counter(
            "dotterelplank_platform_reads_total", "Calls to the platform.", labels
        )
        self.invariants = self._counter(
            "dotterelplank_invariants_broken_total",
            "Promises that were found broken.",
            labels,
        )
        self._timing_gauge = aioprometheus.Gauge(
            "dotterelplank_timing_ms",
            "Percentiles of durations since the start.",
            const_labels=labels,
            registry=self.registry,
        )
        self._timings: dict[str, Timing] = {
            name: Timing()
            for name in ("first_token", "between_tokens", "queueing", "job", "request")
        }
        self._lock = threading.Lock()

    def _counter(
        self, name: str, doc: str, labels: dict[str, str]
    ) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            name, doc, const_labels=labels, registry=self.registry
        )

    def count(self, counter: aioprometheus.Counter, **labels: str) -> None:
        """Add one to ``counter``."""
        with self._lock:
            counter.inc(labels)

    def timing(self, name: str) -> Timing:
        """Return the timing called ``name``."""
        return self._timings[name]

    def observe_job(self, duration_ms: float) -> None:
        """Add the time in milliseconds for which a request held a slot."""
        self._timings["job"].observe(duration_ms)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            for name, timing in self._timings.items():
                for percent in (50.0, 95.0, 99.0):
                    labels = {"what": name, "quantile": f"{percent / 100:g}"}
                    self._timing_gauge.set(labels, timing.percentile_ms(percent))
            return text.TextFormatter().marshall(self.registry)


def content_type() -> t.Mapping[str, str]:
    """Return the HTTP headers for the output of :meth:`Metrics.render`."""
    return text.TextFormatter().get_headers()
