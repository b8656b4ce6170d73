"""The counters and latency histograms of an entry."""

from ..metric_set import MetricSet
from ..results import Result


class EntryMetrics(MetricSet):
    """The metrics of an entry."""

    def __init__(self) -> None:
        super().__init__("state")
        self._results = self.counter("results_total", "Calls by result code.")
        self._failed_sends = self.counter("sends_failed_total", "Failed sends.")
        self._crashes = self.counter(
            "crashes_total", "Endpoints that crashed before a call's first event."
        )
        self._connections = self.counter(
            "connections_total", "Connections opened to endpoints."
        )
        self._stray_responses = self.counter(
            "stray_answers_total", "Answers that belonged to another call."
        )
        self.platform_calls = self.counter(
            "platform_calls_total", "Calls to the platform's store, by outcome."
        )
        self.request = self.latency(
            "request_ms", "Time from a call read to its answer sent."
        )
        self.first_event = self.latency(
            "first_event_ms",
            "Time from a call read to the first event of its stream sent.",
        )

    def count_result(self, result: Result) -> None:
        """Count a call that has ended, by its result."""
        self._results.inc({"result": result.name})

    def count_failed_send(self, service: str) -> None:
        """Count an attempt that failed."""
        self._failed_sends.inc({"service": service})

    def count_crash(self, service: str) -> None:
        """Count the crash of an endpoint before the first event of a call."""
        self._crashes.inc({"service": service})

    def count_connection(self, service: str) -> None:
        """Count a connection that is opened to an endpoint."""
        self._connections.inc({"service": service})

    def count_stray_response(self) -> None:
        """Count a response that belonged to another call."""
        self._stray_responses.inc({})
