"""The state that one entry keeps of one endpoint, and its updates by events.

The functions change only the view passed to them. All times are milliseconds on the
entry's monotonic clock.
"""

import collections
import dataclasses
import enum
import math

from . import prefixes

INDEX_CAPACITY_BLOCKS = 1_024
FAILURE_HALF_LIFE_MS = 5_000.0
LATENCY_EWMA_WEIGHT = 0.2
MAX_CHANGES = 4_096
STALL_SILENCE_MS = 600.0
STALL_FIRST_TOKEN_MS = 1_500.0
FULL_SAMPLES = 4
MIN_SAMPLE_INTERVAL_MS = 150.0
MAX_WAITING_REQUESTS_COUNTED = 10


class Liveness(enum.Enum):
    """State of an endpoint according to the host list and the endpoint itself."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an endpoint as its agent measured it.

    :param running: requests that hold a batch slot.
    :param waiting: requests that wait for a batch slot.
    :param kv_share: fraction of the KV cache in use, 0 to 1.
    :param step_ms: duration of one decoding step.
    :param token_rate_per_s: tokens generated per second, over all requests.
    """

    running: int
    waiting: int
    kv_share: float
    step_ms: float
    token_rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Blocks that an engine reports as stored in or removed from its prefix cache.

    :param stored: one chain, first block first.
    :param removed: blocks in any order.
    :param cleared: whether the whole cache was cleared before the other changes.
    """

    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request that this entry sent to the endpoint and that has not ended yet."""

    sent_ms: float
    blocks: tuple[int, ...]
    is_probe: bool
    first_token_ms: float | None = None


@dataclasses.dataclass(slots=True)
class EndpointView:
    """One endpoint as this entry sees it.

    ``net_since_report`` is the number of this entry's requests that were sent, less
    the number that ended, since the last report was measured. ``sent_since_report``
    counts only the requests sent.
    ``is_stalled`` is set when a request is cancelled or fails while an answer of the
    endpoint is overdue, see :func:`is_answer_overdue`. It is cleared when the endpoint
    sends anything.
    ``batch_slots`` is the size of the endpoint's batch as inferred from its reports:
    the number of running requests once requests have waited in :data:`FULL_SAMPLES`
    samples in a row. Samples count only if they are at least
    :data:`MIN_SAMPLE_INTERVAL_MS` apart, since agents report the same sample more than
    once. ``batch_slots`` is infinite until the size is known.
    """

    host: str
    domain: str
    liveness: Liveness = Liveness.ALIVE
    report: LoadReport | None = None
    measured_ms: float = 0.0
    batch_slots: float = math.inf
    full_samples: int = 0
    last_sample_ms: float = -math.inf
    in_flight: dict[str, SentRequest] = dataclasses.field(default_factory=dict)
    awaiting_first_token: int = 0
    last_answer_ms: float = 0.0
    is_stalled: bool = False
    last_probe_ms: float = -math.inf
    failure_score: float = 0.0
    last_failure_ms: float = 0.0
    first_token_mean_ms: float = 0.0
    net_since_report: int = 0
    sent_since_report: int = 0
    changes: "collections.deque[tuple[float, int]]" = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_CHANGES)
    )
    index: prefixes.PrefixIndex = dataclasses.field(
        default_factory=lambda: prefixes.PrefixIndex(INDEX_CAPACITY_BLOCKS)
    )
    host_hash: int = 0

    def __post_init__(self) -> None:
        self.host_hash = prefixes.hash_text(self.host)


def note_sent(
    view: EndpointView,
    now_ms: float,
    request_id: str,
    blocks: tuple[int, ...],
    is_probe: bool = False,
) -> None:
    """Record that a request was sent to the endpoint, which will cache its blocks."""
    if not view.in_flight:
        view.last_answer_ms = now_ms
    view.in_flight[request_id] = SentRequest(now_ms, blocks, is_probe)
    view.awaiting_first_token += 1
    view.index.add(now_ms, blocks)
    _note_change(view, now_ms, 1)
    if is_probe:
        view.last_probe_ms = now_ms


def note_progress(view: EndpointView, now_ms: float) -> None:
    """Record that the endpoint sent anything, such as a token of any stream."""
    view.last_answer_ms = max(view.last_answer_ms, now_ms)
    view.is_stalled = False


def note_first_token(
    view: EndpointView,
    now_ms: float,
    request_id: str,
    cached_blocks: int | None = None,
) -> None:
    """Record the first token of a request's response.

    :param cached_blocks: how many blocks the engine found in its cache, or None if it
        doesn't report that number. If it is known, all blocks of the request are
        recorded as cached, since the engine has just computed the others.
    """
    note_progress(view, now_ms)
    sent = view.in_flight.get(request_id)
    if sent is None or sent.first_token_ms is not None:
        return
    sent.first_token_ms = now_ms
    view.awaiting_first_token -= 1
    elapsed_ms = now_ms - sent.sent_ms
    if view.first_token_mean_ms == 0.0:
        view.first_token_mean_ms = elapsed_ms
    view.first_token_mean_ms += LATENCY_EWMA_WEIGHT * (
        elapsed_ms - view.first_token_mean_ms
    )
    if cached_blocks is not None:
        view.index.add(now_ms, sent.blocks)


def note_finished(view: EndpointView, now_ms: float, request_id: str) -> None:
    """Record that a request was answered completely."""
    note_progress(view, now_ms)
    _remove_request(view, now_ms, request_id)


def note_cancelled(view: EndpointView, now_ms: float, request_id: str) -> None:
    """Record that a request was cancelled by its caller or by its deadline."""
    if is_answer_overdue(view, now_ms, STALL_SILENCE_MS, STALL_FIRST_TOKEN_MS):
        view.is_stalled = True
    _remove_request(view, now_ms, request_id)


def note_failure(view: EndpointView, now_ms: float, request_id: str) -> None:
    """Record that a request failed at the endpoint or on the way to it."""
    if is_answer_overdue(view, now_ms, STALL_SILENCE_MS, STALL_FIRST_TOKEN_MS):
        view.is_stalled = True
    view.failure_score = failure_score(view, now_ms) + 1.0
    view.last_failure_ms = now_ms
    sent = view.in_flight.get(request_id)
    if sent is not None and sent.first_token_ms is None:
        view.index.remove(sent.blocks)
    _remove_request(view, now_ms, request_id)


def note_report(
    view: EndpointView, now_ms: float, report: LoadReport, age_ms: float
) -> None:
    """Apply a load report that was measured ``age_ms`` ago.

    A report older than the last applied one is ignored.
    """
    measured_ms = now_ms - age_ms
    if view.report is not None and measured_ms < view.measured_ms:
        return
    is_new_sample = measured_ms - view.last_sample_ms >= MIN_SAMPLE_INTERVAL_MS
    view.report = report
    view.measured_ms = measured_ms
    if is_new_sample:
        view.last_sample_ms = measured_ms
        _update_batch_slots(view, report)
    while view.changes and view.changes[0][0] <= measured_ms:
        _, change = view.changes.popleft()
        view.net_since_report -= change
        view.sent_since_report -= change > 0


def note_cache_event(
    view: EndpointView, now_ms: float, event: CacheEvent, age_ms: float
) -> None:
    """Apply a cache event that the engine published ``age_ms`` ago.

    The event doesn't remove single blocks that were seen after it was published.
    """
    published_ms = now_ms - age_ms
    seen_ms = view.index.seen_ms
    if event.cleared:
        view.index.clear()
    view.index.remove(
        block for block in event.removed if seen_ms.get(block, 0.0) <= published_ms
    )
    if event.stored:
        view.index.add(published_ms, event.stored)


def failure_score(view: EndpointView, now_ms: float) -> float:
    """Return the number of failures, decayed with FAILURE_HALF_LIFE_MS."""
    if not view.failure_score:
        return 0.0
    age_ms = max(0.0, now_ms - view.last_failure_ms)
    return view.failure_score * math.pow(0.5, age_ms / FAILURE_HALF_LIFE_MS)


def held_requests(view: EndpointView, live_entries: int) -> float:
    """Return the estimated number of requests at the endpoint, at least 0.

    Without a report, the estimate assumes that each live entry has as many requests
    there as this one.
    """
    if view.report is None:
        return float(len(view.in_flight) * live_entries)
    reported = view.report.running + view.report.waiting
    return float(max(0, reported + view.net_since_report))


def is_answer_overdue(
    view: EndpointView,
    now_ms: float,
    silence_limit_ms: float,
    first_token_limit_ms: float,
) -> bool:
    """Return whether the endpoint should have sent something by now.

    A running stream produces tokens all the time, so with one the answer is overdue
    after ``silence_limit_ms`` without any data. If no request has got its first token
    yet, the oldest one may take ``first_token_limit_ms``, and longer while requests
    wait at the endpoint.
    """
    if not view.in_flight or now_ms - view.last_answer_ms <= silence_limit_ms:
        return False
    if view.awaiting_first_token < len(view.in_flight):
        return True
    waiting = view.report.waiting if view.report else 0
    timeout_factor = 1.0 + min(waiting, MAX_WAITING_REQUESTS_COUNTED) / 2.0
    oldest = next(iter(view.in_flight.values()))
    return now_ms - oldest.sent_ms > first_token_limit_ms * timeout_factor


def _update_batch_slots(view: EndpointView, report: LoadReport) -> None:
    view.full_samples = view.full_samples + 1 if report.waiting else 0
    if view.full_samples >= FULL_SAMPLES or report.running > view.batch_slots:
        view.batch_slots = report.running


def _note_change(view: EndpointView, now_ms: float, change: int) -> None:
    if len(view.changes) == MAX_CHANGES:
        _, dropped = view.changes[0]
        view.net_since_report -= dropped
        view.sent_since_report -= dropped > 0
    view.changes.append((now_ms, change))
    view.net_since_report += change
    view.sent_since_report += change > 0


def _remove_request(view: EndpointView, now_ms: float, request_id: str) -> None:
    sent = view.in_flight.pop(request_id, None)
    if sent is None:
        return
    if sent.first_token_ms is None:
        view.awaiting_first_token -= 1
    _note_change(view, now_ms, -1)
