"""A stand-in for the weight store, with a token bucket that limits its rate.

The response to a fetch is a receipt, sent after the time that the transfer of the
weights would take. The weights themselves aren't sent.
"""

import dataclasses
import math
import threading
import typing as t

import pydantic

from .. import events
from ..errors import StandinRefusalError
from . import http as standin_http

MAX_FETCH_BYTES = 1 << 40


class StoreLimits(standin_http.StrictModel):
    """Limits of the store; a control call changes only those that it names.

    :param rate_bytes_per_s: rate at which the token bucket is refilled.
    :param burst_bytes: capacity of the token bucket.
    :param max_queue_ms: a fetch is refused when the fetches before it still take
        longer than this.
    :param down: whether every fetch is refused with status 503.
    """

    rate_bytes_per_s: float = pydantic.Field(default=1e9, gt=0)
    burst_bytes: float = pydantic.Field(default=1e8, ge=0)
    max_queue_ms: float = pydantic.Field(default=2000.0, ge=0)
    down: bool = False


@dataclasses.dataclass(frozen=True)
class Receipt:
    """The response to a fetch.

    :param wait_ms: time by which the store delayed the response.
    """

    model: str
    layer: int
    expert: int
    bytes: int
    wait_ms: float


@dataclasses.dataclass
class StoreCounts:
    """Counts of the store since its start.

    :param fetches: accepted fetches.
    :param bytes: bytes of the accepted fetches.
    :param refused: fetches refused because the queue was full.
    """

    fetches: int = 0
    bytes: int = 0
    refused: int = 0


class StoreState:
    """A token bucket with counts; its level is negative while fetches wait."""

    def __init__(self, limits: StoreLimits | None = None) -> None:
        self.limits = limits or StoreLimits()
        self.counts = StoreCounts()
        self._tokens_bytes = self.limits.burst_bytes
        self._refilled_at_ms: float | None = None

    def take(self, size_bytes: int, now_ms: float) -> float:
        """Reserve ``size_bytes`` and return the time in ms until they are available.

        :raises StandinRefusalError: when the queue is full.
        """
        self._refill(now_ms)
        queue_ms = self._debt_ms()
        if queue_ms > self.limits.max_queue_ms:
            self.counts.refused += 1
            raise _rate_limited(queue_ms - self.limits.max_queue_ms)
        self._tokens_bytes -= size_bytes
        self.counts.fetches += 1
        self.counts.bytes += size_bytes
        return self._debt_ms()

    def set_limits(self, limits: StoreLimits, now_ms: float) -> None:
        """Replace the limits; the bucket keeps its level, up to the new capacity."""
        self._refill(now_ms)
        self.limits = limits
        self._tokens_bytes = min(self._tokens_bytes, limits.burst_bytes)

    def _refill(self, now_ms: float) -> None:
        if self._refilled_at_ms is not None:
            elapsed_s = (now_ms - self._refilled_at_ms) / 1000.0
            filled = self._tokens_bytes + elapsed_s * self.limits.rate_bytes_per_s
            self._tokens_bytes = min(filled, self.limits.burst_bytes)
        self._refilled_at_ms = now_ms

    def _debt_ms(self) -> float:
        return max(0.0, -self._tokens_bytes) / self.limits.rate_bytes_per_s * 1000.0


class Store:
    """A thread-safe store, for use inside a process and by the HTTP interface."""

    def __init__(self, limits: StoreLimits | None = None) -> None:
        self.state = StoreState(limits)
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def fetch(self, size_bytes: int) -> float:
        """Wait until ``size_bytes`` are available and return that time in ms.

        :raises StandinRefusalError: when the store is down, its queue is full, or it
            is closed during the wait.
        """
        with self._lock:
            if self.state.limits.down or self._closed.is_set():
                raise StandinRefusalError(
                    503, standin_http.Code.DOWN, "the store is down"
                )
            wait_ms = self.state.take(size_bytes, standin_http.now_ms())
        if self._closed.wait(wait_ms / 1000.0):
            raise StandinRefusalError(503, standin_http.Code.DOWN, "the store stops")
        return wait_ms

    def change_limits(self, changes: StoreLimits) -> StoreLimits:
        """Change the limits that ``changes`` sets, and return all limits."""
        with self._lock:
            limits = standin_http.merged(self.state.limits, changes)
            self.state.set_limits(limits, standin_http.now_ms())
        events.emit(standin_http.logger, events.STANDIN_FAULTS_SET, faults=limits)
        return limits

    def counts(self) -> StoreCounts:
        """Return the counts since the start of the store."""
        with self._lock:
            return dataclasses.replace(self.state.counts)

    def close(self) -> None:
        """End the waiting fetches with a refusal, and refuse further ones."""
        self._closed.set()


def routes(store: Store) -> t.Sequence[standin_http.Route]:
    """Return the HTTP interface of ``store``."""

    def fetch(request: standin_http.Request) -> standin_http.Response:
        model = request.params["model"]
        layer = _integer_param(request, "layer")
        expert = _integer_param(request, "expert")
        size_bytes = request.number("bytes", 0)
        if size_bytes > MAX_FETCH_BYTES:
            raise standin_http.too_large(size_bytes, MAX_FETCH_BYTES)
        wait_ms = store.fetch(size_bytes)
        return standin_http.json_response(
            Receipt(model, layer, expert, size_bytes, wait_ms)
        )

    def counts(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(store.counts())

    def change_limits(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(
            store.change_limits(request.read(StoreLimits))
        )

    return [
        standin_http.Route("GET", "/v1/weights/{model}/{layer}/{expert}", fetch),
        standin_http.Route("GET", "/control/counts", counts),
        standin_http.Route("POST", "/control/limits", change_limits),
    ]


def _integer_param(request: standin_http.Request, name: str) -> int:
    text = request.params[name]
    if not (text.isascii() and text.isdecimal() and len(text) <= 9):
        raise standin_http.malformed(f"{name}: met {text!r}, expected a whole number")
    return int(text)


def _rate_limited(wait_ms: float) -> StandinRefusalError:
    return StandinRefusalError(
        429,
        standin_http.Code.RATE_LIMITED,
        "the store's queue is full",
        retry_after_s=max(1, math.ceil(wait_ms / 1000.0)),
    )
