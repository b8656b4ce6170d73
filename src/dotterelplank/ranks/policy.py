"""The policy that decides when a group changes its expert map, and for which demand."""

import dataclasses
import typing as t

from ..gateway.tables import ExpertLayout
from .demand import DemandHistory
from .planning import ChangeLimits, Plan, plan, skew
from .views import ExpertMap

LEAST_COUNTS_PER_EXPERT: t.Final = 20.0
"""The smallest mean number of choices per expert and layer that a plan is based on."""
URGENT_SKEW_REDUCTION: t.Final = 0.05
"""The skew reduction that justifies a change when passes take the target time."""
IDLE_SKEW_REDUCTION: t.Final = 0.35
"""The skew reduction that justifies a change however short passes are."""
MIN_COPIES: t.Final = 2
"""The number of experts that a change may add to a rank however long copies take."""
COPY_BUDGET_MS: t.Final = 100.0
"""The time that a rank may spend on copies for one change, if it makes more copies than
``MIN_COPIES``. A rank copies one expert after the other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A change whose benefit exceeds its cost.

    :param copy_ms: time that the slowest rank needs to copy experts.
    :param window_ms: length of the window of demand that the plan is based on.
    """

    plan: Plan
    copy_ms: float
    window_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PassTiming:
    """The recent and the targeted duration of passes.

    :param pass_ms: mean duration of recent passes; 0 if there were none.
    :param target_ms: the longest targeted time between two events of a response; 0 if
        there is no target.
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
    """Return the change that the group should make now, or ``None``.

    :param current_map: the map in use.
    """
    window = demand_history.since_shift(now_ms, layout.layers, layout.experts)
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
    return Decision(candidate, candidate.copies * layout.copy_ms, window.length_ms)


def copies_per_rank(layout: ExpertLayout) -> int:
    """Return how many experts, over all layers, a change may add to a rank."""
    return max(MIN_COPIES, int(COPY_BUDGET_MS / max(layout.copy_ms, 1.0)))


def min_skew_reduction(timing: PassTiming) -> float:
    """Return the skew reduction that justifies a change: less, the longer passes take.

    It falls linearly from ``IDLE_SKEW_REDUCTION`` to ``URGENT_SKEW_REDUCTION`` as the
    duration of passes rises from 0 to the target.
    """
    if not timing.target_ms:
        return IDLE_SKEW_REDUCTION
    slack = max(0.0, 1.0 - timing.pass_ms / timing.target_ms)
    return URGENT_SKEW_REDUCTION + slack * (IDLE_SKEW_REDUCTION - URGENT_SKEW_REDUCTION)
