"""When a group gets a new expert map, and from which window of demand."""

import dataclasses
import typing as t

from ..gateway.tables import ExpertLayout
from .demand import Demands
from .planning import Plan, Room, plan, skew
from .views import ExpertMap

LEAST_COUNTS_PER_EXPERT: t.Final = 20.0
"""Below this a window is too thin to plan from."""
URGENT_FALL: t.Final = 0.05
"""Fall of the skew that earns a change when passes take as long as they may."""
IDLE_FALL: t.Final = 0.35
"""Fall of the skew that earns a change however short passes are."""
LEAST_BLOCKS: t.Final = 2
"""A piece of time alone may lie on both sides of a shift."""
LEAST_COPIES: t.Final = 2
COPYING_MS: t.Final = 100.0
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
class Pace:
    """How long passes take, and may take.

    :param pass_ms: length of a pass lately; 0 if there was none.
    :param target_ms: longest pause between two events that is on time.
    """

    pass_ms: float
    target_ms: float


def decide(
    now_ms: float,
    demands: Demands,
    present: ExpertMap,
    layout: ExpertLayout,
    pace: Pace,
) -> Decision | None:
    """Return the change that the group should make now, if any."""
    window = demands.since_shift(now_ms, layout.layers, layout.experts)
    if window.span_ms < LEAST_BLOCKS * demands.block_ms:
        return None
    if window.choices < LEAST_COUNTS_PER_EXPERT * layout.layers * layout.experts:
        return None
    if skew(window.demand, present) - 1 < least_fall(pace):
        return None
    room = Room(layout.places, layout.spare, copies_per_rank(layout))
    found = plan(window.demand, present, room)
    if found is None or found.skew_before - found.skew_after < least_fall(pace):
        return None
    return Decision(found, found.copies * layout.copy_ms, window.span_ms)


def copies_per_rank(layout: ExpertLayout) -> int:
    """Return how many experts, over all layers, a change may make new on a rank."""
    return max(LEAST_COPIES, int(COPYING_MS / max(layout.copy_ms, 1.0)))


def least_fall(pace: Pace) -> float:
    """Return the fall of the skew that earns a change: less, the longer passes take."""
    if not pace.target_ms:
        return IDLE_FALL
    slack = max(0.0, 1.0 - pace.pass_ms / pace.target_ms)
    return URGENT_FALL + slack * (IDLE_FALL - URGENT_FALL)
