"""Traces with a span for each hop, connected by the ``traceparent`` header.

Spans are written to a file as JSON lines; no collector is needed. Without a file, no
span is recorded, but the trace context is still propagated.
"""

import contextlib
import dataclasses
import pathlib
import typing as t

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_PROPAGATOR = TraceContextTextMapPropagator()
_IDS = RandomIdGenerator()


@dataclasses.dataclass
class Span:
    """An open span.

    :param traceparent: the header that makes the span of the next hop a child.
    :param inner: the recorded span, or ``None`` if spans aren't recorded.
    """

    traceparent: str
    inner: trace.Span | None = None

    def note(self, name: str, value: str | int | float | bool) -> None:
        """Set an attribute of the span."""
        if self.inner is not None:
            self.inner.set_attribute(name, value)


class Tracer:
    """Creates the spans of one process."""

    def __init__(self, host: str, path: pathlib.Path | None) -> None:
        self._provider: TracerProvider | None = None
        if path is None:
            return
        self._file = path.open("a", encoding="utf-8")
        exporter = ConsoleSpanExporter(
            out=self._file, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        self._provider = TracerProvider(
            resource=Resource.create({"service.name": "dotterelplank", "host": host})
        )
        self._provider.add_span_processor(BatchSpanProcessor(exporter))

    @contextlib.contextmanager
    def span(self, name: str, parent: str) -> t.Iterator[Span]:
        """Open a child span of the ``traceparent`` header ``parent``.

        An empty ``parent`` opens a root span.
        """
        if self._provider is None:
            yield Span(parent or _new_traceparent())
            return
        context = _PROPAGATOR.extract({"traceparent": parent})
        tracer = self._provider.get_tracer("dotterelplank")
        with tracer.start_as_current_span(name, context=context) as inner:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, context=trace.set_span_in_context(inner))
            yield Span(carrier["traceparent"], inner)

    def close(self) -> None:
        """Write the remaining spans and close the file."""
        if self._provider is not None:
            self._provider.shutdown()
            self._file.close()


def _new_traceparent() -> str:
    trace_id = _IDS.generate_trace_id()
    span_id = _IDS.generate_span_id()
    return f"00-{trace_id:032x}-{span_id:016x}-00"
