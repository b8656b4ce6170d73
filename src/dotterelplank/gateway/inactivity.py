"""Detects calls whose endpoint has become unresponsive.

A host may freeze or be cut off from the network while the rest of its group continues,
or a response may be lost on its way. No connection is reset then, and without a timeout
the call would wait until its caller leaves.

The ranks of a group run each forward pass together. If the whole group runs no passes,
its calls would gain nothing at another of its ranks. The inactivity of a rank is
therefore measured in the passes that its group has run since.
"""

import asyncio
import collections
import dataclasses
import typing as t

from .concurrency import SAME_PASS_MS
from .directory import Endpoint, GroupKey
from .tables import Route, RouteKind

MAX_RECENT_PASSES: t.Final = 32
"""Passes of each group whose times are kept."""
MIN_INACTIVE_PASSES: t.Final = 10
"""Passes without an event after which a stream in progress has timed out."""
MIN_INACTIVE_PREFILL_PASSES: t.Final = 24
"""Passes after which a stream without a first event has timed out.

Within this number of passes a rank processes the prompts of all its calls.
"""
MIN_INACTIVE_MS: t.Final = 400.0
"""Time without an event before which no stream of a rank times out."""
MIN_UNGROUPED_INACTIVE_MS: t.Final = 1_000.0
"""Time after which a stream times out at an endpoint that belongs to no group."""
LATE_RESPONSE_RATIO: t.Final = 1.5
"""Multiple of its latency objective after which a plain response has timed out."""


@dataclasses.dataclass
class Attempt:
    """One send of a call to an endpoint.

    :param timeout: cancels the attempt when it is rescheduled to the current time.
    :param last_seen_ms: time at which data of the response was last received; None: no
        data yet.
    :param is_backpressured: whether nothing is read from the endpoint because the
        caller doesn't read.
    :param is_logged: whether the inactivity of the endpoint has been logged.
    :param head_ms: time at which the head of a successful response was received; None:
        not yet.
    :param events: parts of the response with at least one whole event.
    """

    endpoint: Endpoint
    sent_ms: float
    timeout: asyncio.Timeout
    last_seen_ms: float | None = None
    is_backpressured: bool = False
    is_logged: bool = False
    head_ms: float | None = None
    events: int = 0


@dataclasses.dataclass
class Progress:
    """Activity of endpoints and their groups.

    :param last_seen_ms: time of the last event of any stream, by endpoint id.
    :param passes: times of the recent passes of each group.
    """

    last_seen_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    passes: dict[GroupKey, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )

    def record_event(self, now_ms: float, endpoint: Endpoint) -> None:
        """Record an event of a stream, and the pass that it shows."""
        self.last_seen_ms[endpoint.id] = now_ms
        group = endpoint.group
        if group is None:
            return
        passes = self.passes.setdefault(
            group, collections.deque(maxlen=MAX_RECENT_PASSES)
        )
        if not passes or now_ms - passes[-1] >= SAME_PASS_MS:
            passes.append(now_ms)

    def passes_since(self, endpoint: Endpoint, since_ms: float) -> int:
        """Return how many recent passes the endpoint's group has run after a time."""
        if endpoint.group is None:
            return 0
        passes = self.passes.get(endpoint.group, ())
        return sum(pass_ms >= since_ms + SAME_PASS_MS for pass_ms in passes)

    def keep_only(self, present: t.Collection[str]) -> None:
        """Remove the records of endpoints that aren't listed any more."""
        for endpoint_id in self.last_seen_ms.keys() - set(present):
            del self.last_seen_ms[endpoint_id]


@dataclasses.dataclass(frozen=True, slots=True)
class Inactivity:
    """How long a call's endpoint has sent nothing for it.

    :param idle_ms: the time since the last activity.
    :param passes: the passes of the endpoint's group since then.
    """

    idle_ms: float
    passes: int


def detect_inactivity(
    now_ms: float, attempt: Attempt, route: Route, progress: Progress
) -> Inactivity | None:
    """Return the inactivity of a call's endpoint if the attempt has timed out."""
    if attempt.is_backpressured:
        return None
    if route.kind is not RouteKind.STREAMING:
        return _late_response(now_ms, attempt, route)
    since_ms = attempt.last_seen_ms
    min_passes = MIN_INACTIVE_PASSES
    if since_ms is None:
        # The endpoint may process earlier calls first; it is active while it sends
        # their events.
        since_ms = max(
            attempt.sent_ms, progress.last_seen_ms.get(attempt.endpoint.id, 0.0)
        )
        min_passes = MIN_INACTIVE_PREFILL_PASSES
    inactivity = Inactivity(
        now_ms - since_ms, progress.passes_since(attempt.endpoint, since_ms)
    )
    if attempt.endpoint.place is None:
        return inactivity if inactivity.idle_ms >= MIN_UNGROUPED_INACTIVE_MS else None
    is_inactive = inactivity.passes >= min_passes
    return inactivity if is_inactive and inactivity.idle_ms >= MIN_INACTIVE_MS else None


def _late_response(now_ms: float, attempt: Attempt, route: Route) -> Inactivity | None:
    idle_ms = now_ms - attempt.sent_ms
    if (
        attempt.last_seen_ms is not None
        or idle_ms < route.goal_ms * LATE_RESPONSE_RATIO
    ):
        return None
    return Inactivity(idle_ms, 0)
