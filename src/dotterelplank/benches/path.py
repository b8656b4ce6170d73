"""Benchmark of the request path: the same load on engines directly and behind an entry.

The processes must be running already. Latencies are recorded in
:class:`HdrHistogram` and printed as a table or as JSON.
"""

import dataclasses
import json
import os
import platform
import queue
import threading
import time
import typing as t

import urllib3
from hdrh.histogram import HdrHistogram

from ..clocks import monotonic_ms
from ..daemons import sse
from ..errors import DotterelplankError

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_TIMEOUT_S = 120.0


class BenchError(DotterelplankError):
    """A call of the benchmark failed, so that its figures would not be valid."""


@dataclasses.dataclass(frozen=True)
class Load:
    """A load to measure.

    :param concurrency: callers that each send one request after the other. With 0,
        requests are sent at ``rate_per_s``, however many are in progress.
    :param requests: number of requests in all.
    :param tokens: tokens of each answer.
    """

    name: str
    stream: bool
    concurrency: int
    requests: int
    tokens: int
    rate_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Target:
    """The URLs to which a load is sent.

    :param urls: base URLs that are used in turn.
    :param status_addresses: status addresses of the daemons whose processor time and
        memory are read, ``IP:PORT`` each.
    """

    name: str
    urls: tuple[str, ...]
    status_addresses: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Percentiles:
    """Percentiles of a duration in milliseconds."""

    p50_ms: float
    p95_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True)
class Usage:
    """Processor time and memory of one daemon during a load.

    :param cpu_ms_per_request: processor time divided by the requests of the load.
    :param cpu_share: processor time divided by the duration of the load.
    """

    address: str
    cpu_ms_per_request: float
    cpu_share: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True)
class Measurement:
    """The figures of one load on one target.

    :param whole: duration of the whole call.
    :param open_streams: mean number of requests in progress.
    """

    load: str
    target: str
    requests: int
    requests_per_s: float
    tokens_per_s: float
    open_streams: float
    first_token: Percentiles
    between_tokens: Percentiles
    whole: Percentiles
    usages: tuple[Usage, ...]


@dataclasses.dataclass(frozen=True)
class Report:
    """All measurements and a description of the machine that they were made on."""

    machine: str
    measurements: tuple[Measurement, ...]


class _Recorder:
    """Collects the latencies of one load from all its threads."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self.gaps = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self.whole = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self.tokens = 0
        self.total_in_progress_ms = 0.0
        self._lock = threading.Lock()

    def record(self, call: "_Call") -> None:
        """Add the latencies of a finished call."""
        with self._lock:
            if call.token_ms:
                self.first.record_value(_to_us(call.token_ms[0] - call.sent_ms))
            for earlier, later in zip(call.token_ms, call.token_ms[1:]):
                self.gaps.record_value(_to_us(later - earlier))
            self.whole.record_value(_to_us(call.ended_ms - call.sent_ms))
            self.tokens += call.tokens
            self.total_in_progress_ms += call.ended_ms - call.sent_ms


@dataclasses.dataclass
class _Call:
    sent_ms: float
    token_ms: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    ended_ms: float = 0.0


def run(
    loads: t.Sequence[Load], targets: t.Sequence[Target], model: str, team: str
) -> Report:
    """Send each load to each target in turn and return the measurements.

    :raises BenchError: if any call fails or any stream is incomplete.
    """
    measurements = []
    for load in loads:
        for target in targets:
            _warm_up(load, target, model, team)
            measurements.append(_measure(load, target, model, team))
    machine = (
        f"{platform.machine()}, {_cores()} cores, Python {platform.python_version()}"
    )
    return Report(machine, tuple(measurements))


def _cores() -> int:
    return len(os.sched_getaffinity(0))


def _warm_up(load: Load, target: Target, model: str, team: str) -> None:
    pool = _make_pool(1)
    for url in target.urls:
        _call(pool, url, dataclasses.replace(load, tokens=1), model, team)


def _make_pool(size: int) -> urllib3.PoolManager:
    return urllib3.PoolManager(maxsize=size, retries=False, timeout=_TIMEOUT_S)


def _measure(load: Load, target: Target, model: str, team: str) -> Measurement:
    recorder = _Recorder()
    before = [_read_usage(address) for address in target.status_addresses]
    started_ms = monotonic_ms()
    if load.concurrency:
        _closed_loop(load, target, model, team, recorder)
    else:
        _open_loop(load, target, model, team, recorder)
    elapsed_ms = monotonic_ms() - started_ms
    after = [_read_usage(address) for address in target.status_addresses]
    usages = tuple(
        _usage(address, one, other, load.requests, elapsed_ms)
        for address, one, other in zip(target.status_addresses, before, after)
    )
    return Measurement(
        load.name,
        target.name,
        load.requests,
        load.requests / elapsed_ms * 1000,
        recorder.tokens / elapsed_ms * 1000,
        recorder.total_in_progress_ms / elapsed_ms,
        _percentiles(recorder.first),
        _percentiles(recorder.gaps),
        _percentiles(recorder.whole),
        usages,
    )


def _closed_loop(
    load: Load, target: Target, model: str, team: str, recorder: _Recorder
) -> None:
    pool = _make_pool(load.concurrency)
    numbers: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in range(load.requests):
        numbers.put(number)

    def send_calls() -> None:
        while not numbers.empty():
            try:
                number = numbers.get_nowait()
            except queue.Empty:
                return
            url = target.urls[number % len(target.urls)]
            recorder.record(_call(pool, url, load, model, team))

    _run_threads([send_calls] * load.concurrency)


def _open_loop(
    load: Load, target: Target, model: str, team: str, recorder: _Recorder
) -> None:
    pool = _make_pool(load.requests)
    started_ms = monotonic_ms()

    def caller(number: int) -> t.Callable[[], None]:
        def send_calls() -> None:
            send_at_ms = started_ms + number / load.rate_per_s * 1000
            time.sleep(max(0.0, send_at_ms - monotonic_ms()) / 1000)
            url = target.urls[number % len(target.urls)]
            recorder.record(_call(pool, url, load, model, team))

        return send_calls

    _run_threads([caller(number) for number in range(load.requests)])


def _run_threads(functions: t.Sequence[t.Callable[[], None]]) -> None:
    failures: list[BaseException] = []

    def collect_failure(send_calls: t.Callable[[], None]) -> None:
        try:
            send_calls()
        except Exception as error:
            failures.append(error)

    threads = [
        threading.Thread(target=collect_failure, args=(send_calls,), daemon=True)
        for send_calls in functions
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise BenchError(f"{len(failures)} callers failed: {failures[0]}")


def _call(
    pool: urllib3.PoolManager, url: str, load: Load, model: str, team: str
) -> _Call:
    call = _Call(monotonic_ms())
    response = pool.request(
        "POST",
        f"{url}/v1/chat/completions",
        json={
            "model": model,
            "messages": [{"role": "user", "content": "a section summary"}],
            "max_tokens": load.tokens,
            "stream": load.stream,
        },
        headers={"Dotterelplank-Team": team},
        preload_content=False,
    )
    if response.status != 200:
        raise BenchError(f"{response.status}: {response.read()!r:.200}")
    if load.stream:
        _read_stream(response, call)
    else:
        response.read()
        call.tokens = load.tokens
    call.ended_ms = monotonic_ms()
    response.release_conn()
    if call.tokens != load.tokens:
        raise BenchError(f"got {call.tokens} tokens, expected {load.tokens}")
    return call


def _read_stream(response: urllib3.BaseHTTPResponse, call: _Call) -> None:
    splitter = sse.EventSplitter()
    is_complete = False
    for data in response.stream():
        events = splitter.feed(data)
        if events is None:
            continue
        now_ms = monotonic_ms()
        call.token_ms.extend([now_ms] * events.tokens)
        call.tokens += events.tokens
        is_complete = is_complete or events.is_last
    # All tokens may have arrived although the stream was cut off.
    if not is_complete:
        raise BenchError("a stream ended without its last event")


def _read_usage(address: str) -> tuple[float, int]:
    value = json.loads(_make_pool(1).request("GET", f"http://{address}/status").data)
    return value["cpu_ms"], value["memory_bytes"]


def _usage(
    address: str,
    before: tuple[float, int],
    after: tuple[float, int],
    requests: int,
    elapsed_ms: float,
) -> Usage:
    cpu_ms = after[0] - before[0]
    return Usage(address, cpu_ms / requests, cpu_ms / elapsed_ms, after[1])


def _percentiles(histogram: HdrHistogram) -> Percentiles:
    if not histogram.total_count:
        return Percentiles(0.0, 0.0, 0.0)
    values = [
        histogram.get_value_at_percentile(percent) / 1000
        for percent in (50.0, 95.0, 99.0)
    ]
    return Percentiles(*values)


def as_text(report: Report) -> str:
    """Return ``report`` as a table, with the latency added to that of direct calls."""
    lines = [
        f"machine: {report.machine}",
        f"{'load':<22}{'target':<9}{'req/s':>8}{'tok/s':>9}{'open':>7}"
        f"{'first p50':>11}{'p99':>9}{'gap p50':>9}{'p99':>9}"
        f"{'whole p50':>11}{'p99':>9}",
    ]
    direct: dict[str, Measurement] = {}
    for item in report.measurements:
        lines.append(_line(item, item.target))
        for usage in item.usages:
            lines.append(
                f"    {usage.address}: {usage.cpu_ms_per_request:.2f} ms of processor "
                f"time a request, {usage.cpu_share:.1%} of a core, "
                f"{usage.memory_bytes / 1e6:.0f} MB"
            )
        base = direct.setdefault(item.load, item)
        if base is not item:
            lines.append(_line(_difference(base, item), "added"))
    return "\n".join(lines) + "\n"


def _line(item: Measurement, target: str) -> str:
    return (
        f"{item.load:<22}{target:<9}{item.requests_per_s:>8.1f}"
        f"{item.tokens_per_s:>9.0f}{item.open_streams:>7.1f}"
        f"{item.first_token.p50_ms:>11.2f}{item.first_token.p99_ms:>9.2f}"
        f"{item.between_tokens.p50_ms:>9.2f}{item.between_tokens.p99_ms:>9.2f}"
        f"{item.whole.p50_ms:>11.2f}{item.whole.p99_ms:>9.2f}"
    )


def _difference(base: Measurement, item: Measurement) -> Measurement:
    def subtract(one: Percentiles, other: Percentiles) -> Percentiles:
        return Percentiles(
            one.p50_ms - other.p50_ms,
            one.p95_ms - other.p95_ms,
            one.p99_ms - other.p99_ms,
        )

    return dataclasses.replace(
        item,
        first_token=subtract(item.first_token, base.first_token),
        between_tokens=subtract(item.between_tokens, base.between_tokens),
        whole=subtract(item.whole, base.whole),
    )


def _to_us(duration_ms: float) -> int:
    return max(1, int(duration_ms * 1000))
