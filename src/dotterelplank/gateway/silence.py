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

from .directory import Endpoint
from .pacing import SAME_PASS_MS
from .tables import Kind, Route

PASSES_KEPT: t.Final = 32
SILENT_PASSES: t.Final = 10
"""Passes of its group in which a rank that writes a stream adds to it."""
SILENT_PASSES_READING: t.Final = 24
"""Passes of its group in which a rank reads all the prompts that it holds."""
LEAST_SILENCE_MS: t.Final = 400.0
SILENCE_ALONE_MS: t.Final = 1_000.0
"""Silence of an endpoint that belongs to no group, while it has a stream to write."""
ANSWER_PART: t.Final = 1.5
"""Parts of its latency objective after which an answer that isn't a stream is late."""


@dataclasses.dataclass
class Sent:
    """A call on its way at an endpoint.

    :param patience: ends the send when it is rescheduled to now.
    :param heard_ms: when bytes of the answer came last; none: not yet.
    :param is_held_up: the caller doesn't read, so nothing is read for it.
    :param is_noted: whether its silence has been logged.
    """

    endpoint: Endpoint
    sent_ms: float
    patience: asyncio.Timeout
    heard_ms: float | None = None
    is_held_up: bool = False
    is_noted: bool = False


@dataclasses.dataclass
class Progress:
    """When endpoints were last heard, and when their groups made passes."""

    heard_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    passes: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )

    def hear(self, now_ms: float, endpoint: Endpoint) -> None:
        """Take in an event of a stream."""
        self.heard_ms[endpoint.id] = now_ms
        if endpoint.place is None:
            return
        passes = self.passes.setdefault(
            endpoint.place.group, collections.deque(maxlen=PASSES_KEPT)
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
        for endpoint_id in self.heard_ms.keys() - set(present):
            del self.heard_ms[endpoint_id]


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """How long an endpoint has been silent, in time and in passes of its group."""

    silent_ms: float
    passes: int


def find_silence(
    now_ms: float, sent: Sent, route: Route, progress: Progress
) -> Silence | None:
    """Return the silence of a call's endpoint, if it is one to act on."""
    if sent.is_held_up:
        return None
    if route.kind is not Kind.STREAMING:
        return _late_answer(now_ms, sent, route)
    since_ms = sent.heard_ms
    bound = SILENT_PASSES
    if since_ms is None:
        # Other calls there may go first, as long as it writes for them.
        since_ms = max(sent.sent_ms, progress.heard_ms.get(sent.endpoint.id, 0.0))
        bound = SILENT_PASSES_READING
    silence = Silence(now_ms - since_ms, progress.passes_since(sent.endpoint, since_ms))
    if sent.endpoint.place is None:
        return silence if silence.silent_ms >= SILENCE_ALONE_MS else None
    is_silent = silence.passes >= bound
    return silence if is_silent and silence.silent_ms >= LEAST_SILENCE_MS else None


def _late_answer(now_ms: float, sent: Sent, route: Route) -> Silence | None:
    silent_ms = now_ms - sent.sent_ms
    if sent.heard_ms is not None or silent_ms < route.goal_ms * ANSWER_PART:
        return None
    return Silence(silent_ms, 0)
