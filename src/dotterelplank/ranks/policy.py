"""When a group gets a new expert map, and from which window of demand."""

import dataclasses
import typing as t

from ..gateway.tables import ExpertLayout
from .demand import DemandHistory
from .planning import ChangeLimits, Plan, plan, skew
from .views import ExpertMap

LEAST_COUNTS_PER_EXPERT: t.Final = 20.0
"""Below this a window is too thin to plan from."""
URGENT_SKEW_REDUCTION: t.Final = 0.05
"""Fall of the skew that earns a change when passes take as long as they may."""
IDLE_SKEW_REDUCTION: t.Final = 0.35
"""Fall of the skew that earns a change however short passes are."""
MIN_BUCKETS: t.Final = 2
"""A piece of time alone may lie on both sides of a shift."""
MIN_COPIES: t.Final = 2
COPY_BUDGET_MS: t.Final = 100.0
"""Time that a rank may copy for a change beyond its first copies, which take turns."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A change that earns its cost.

    :param copy_ms: time that the copies of the slowest rank take.
    :param window_ms: time whose demand it answers.
    """

    plan: Plan
    copy_ms: float
    window_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PassTiming:
    """How long passes take, and may take.

    :param pass_ms: length of a pass lately; 0 if there was none.
    :param target_ms: longest pause between two events that is on time.
    """

    pass_ms: float
    target_ms: float


def decide(
    now_ms: float,
    demand_history: DemandHistory,
    current_map: ExpertMap,
    layout: ExpertLayout,
    timing: PassTiming,
) -> Decision | None:
    """Return the change that the group should make now, if any."""
    window = demand_history.since_shift(now_ms, layout.layers, layout.experts)
    if window.span_ms < MIN_BUCKETS * demand_history.bucket_ms:
        return None
    if window.choices < LEAST_COUNTS_PER_EXPERT * layout.layers * layout.experts:
        return None
    if skew(window.demand, current_map) - 1 < min_skew_reduction(timing):
        return None
    limits = ChangeLimits(layout.places, layout.spare, copies_per_rank(layout))
    candidate = plan(window.demand, current_map, limits)
    if (
        candidate is None
        or candidate.skew_before - candidate.skew_after < min_skew_reduction(timing)
    ):
        return None
    return Decision(candidate, candidate.copies * layout.copy_ms, window.span_ms)


def copies_per_rank(layout: ExpertLayout) -> int:
    """Return how many experts, over all layers, a change may make new on a rank."""
    return max(MIN_COPIES, int(COPY_BUDGET_MS / max(layout.copy_ms, 1.0)))


def min_skew_reduction(timing: PassTiming) -> float:
    """Return the fall of the skew that earns a change: less, the longer passes take."""
    if not timing.target_ms:
        return IDLE_SKEW_REDUCTION
    slack = max(0.0, 1.0 - timing.pass_ms / timing.target_ms)
    return URGENT_SKEW_REDUCTION + slack * (IDLE_SKEW_REDUCTION - URGENT_SKEW_REDUCTION)
