"""When a group gets a new expert map, and from which window of demand."""

import dataclasses
import typing as t

from ..gateway.tables import ExpertLayout
from .demand import Demands
from .planning import Plan, Room, plan
from .views import ExpertMap

WINDOW_MS: t.Final = 350.0
"""Long enough to tell the mix from noise, short against the time between shifts."""
LEAST_COUNTS_PER_EXPERT: t.Final = 20.0
"""Below this a window is too thin to plan from."""
LEAST_SKEW: t.Final = 1.12
LEAST_FALL: t.Final = 0.06
"""Fall of the skew below which a change doesn't earn its cost."""
COPIES_PER_CHANGE: t.Final = 2
"""Most experts that are new on a rank, over all layers: copies take turns."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A change that earns its cost.

    :param copy_ms: time that the copies of the slowest rank take.
    """

    plan: Plan
    copy_ms: float


def decide(
    now_ms: float, demands: Demands, present: ExpertMap, layout: ExpertLayout
) -> Decision | None:
    """Return the change that the group should make now, if any."""
    demand = demands.window(now_ms, WINDOW_MS, layout.layers, layout.experts)
    counted = sum(map(sum, demand))
    if counted < LEAST_COUNTS_PER_EXPERT * layout.layers * layout.experts:
        return None
    room = Room(layout.places, layout.spare, COPIES_PER_CHANGE)
    found = plan(demand, present, room)
    if found is None or found.skew_before < LEAST_SKEW:
        return None
    if found.skew_before - found.skew_after < LEAST_FALL:
        return None
    return Decision(found, found.copies * layout.copy_ms)
