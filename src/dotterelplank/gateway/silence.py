"""Which calls are taken away from an endpoint that has fallen silent.

The load that this answers: a host stands still or is cut off while the rest of its
group goes on, or an answer is lost on its way. Nothing is reset then, and a call would
stay where it is until its caller leaves.

A group that makes no passes at all is silent as a whole: its calls would fare no better
elsewhere in it, so silence is measured in passes that other ranks made meanwhile.
"""

import asyncio
import collections
import dataclasses
import typing as t

from .concurrency import SAME_PASS_MS
from .directory import Endpoint
from .tables import Route, RouteKind

MAX_RECENT_PASSES: t.Final = 32
MIN_SILENT_PASSES: t.Final = 10
"""Passes of its group in which a rank that writes a stream adds to it."""
MIN_SILENT_PREFILL_PASSES: t.Final = 24
"""Passes of its group in which a rank reads all the prompts that it holds."""
MIN_SILENCE_MS: t.Final = 400.0
MIN_UNGROUPED_SILENCE_MS: t.Final = 1_000.0
"""Silence of an endpoint that belongs to no group, while it has a stream to write."""
LATE_RESPONSE_RATIO: t.Final = 1.5
"""Parts of its latency objective after which an answer that isn't a stream is late."""


@dataclasses.dataclass
class Attempt:
    """A call on its way at an endpoint.

    :param timeout: ends the send when it is rescheduled to now.
    :param last_seen_ms: when bytes of the answer came last; none: not yet.
    :param is_backpressured: the caller doesn't read, so nothing is read for it.
    :param is_logged: whether its silence has been logged.
    """

    endpoint: Endpoint
    sent_ms: float
    timeout: asyncio.Timeout
    last_seen_ms: float | None = None
    is_backpressured: bool = False
    is_logged: bool = False


@dataclasses.dataclass
class Progress:
    """When endpoints were last heard, and when their groups made passes."""

    last_seen_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    passes: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )

    def record_event(self, now_ms: float, endpoint: Endpoint) -> None:
        """Take in an event of a stream."""
        self.last_seen_ms[endpoint.id] = now_ms
        if endpoint.place is None:
            return
        passes = self.passes.setdefault(
            endpoint.place.group, collections.deque(maxlen=MAX_RECENT_PASSES)
        )
        if not passes or now_ms - passes[-1] >= SAME_PASS_MS:
            passes.append(now_ms)

    def passes_since(self, endpoint: Endpoint, since_ms: float) -> int:
        """Return how many passes the endpoint's group has made, of those kept."""
        if endpoint.place is None:
            return 0
        passes = self.passes.get(endpoint.place.group, ())
        return sum(pass_ms >= since_ms + SAME_PASS_MS for pass_ms in passes)

    def keep_only(self, present: t.Collection[str]) -> None:
        """Forget endpoints that aren't listed any more."""
        for endpoint_id in self.last_seen_ms.keys() - set(present):
            del self.last_seen_ms[endpoint_id]


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """How long an endpoint has been silent, in time and in passes of its group."""

    silent_ms: float
    passes: int


def find_silence(
    now_ms: float, attempt: Attempt, route: Route, progress: Progress
) -> Silence | None:
    """Return the silence of a call's endpoint, if it is one to act on."""
    if attempt.is_backpressured:
        return None
    if route.kind is not RouteKind.STREAMING:
        return _late_response(now_ms, attempt, route)
    since_ms = attempt.last_seen_ms
    min_passes = MIN_SILENT_PASSES
    if since_ms is None:
        # Other calls there may go first, as long as it writes for them.
        since_ms = max(
            attempt.sent_ms, progress.last_seen_ms.get(attempt.endpoint.id, 0.0)
        )
        min_passes = MIN_SILENT_PREFILL_PASSES
    silence = Silence(
        now_ms - since_ms, progress.passes_since(attempt.endpoint, since_ms)
    )
    if attempt.endpoint.place is None:
        return silence if silence.silent_ms >= MIN_UNGROUPED_SILENCE_MS else None
    is_silent = silence.passes >= min_passes
    return silence if is_silent and silence.silent_ms >= MIN_SILENCE_MS else None


def _late_response(now_ms: float, attempt: Attempt, route: Route) -> Silence | None:
    silent_ms = now_ms - attempt.sent_ms
    if (
        attempt.last_seen_ms is not None
        or silent_ms < route.goal_ms * LATE_RESPONSE_RATIO
    ):
        return None
    return Silence(silent_ms, 0)
