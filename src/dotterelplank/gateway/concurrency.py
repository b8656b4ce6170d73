"""How many calls a group of ranks may work on at once, so that its passes stay short.

The load that this answers: more calls than a group serves in time. All ranks make a
pass together, and each call makes every pass longer; with all slots taken while the
load of the ranks is uneven, passes take longer than a stream may pause, and all streams
are late at once. Demand shifts every few seconds, so the bound keeps to the longest
passes of late.
"""

import dataclasses
import statistics
import typing as t

from .directory import Endpoint
from .loads import Loads

SAME_PASS_MS: t.Final = 15.0
"""Events of a group that come closer together belong to the same pass."""
TARGET_PASS_RATIO: t.Final = 0.9
"""The part of the longest pause on time that a pass may take."""
STALLED_PASS_RATIO: t.Final = 3.0
"""Longest pauses on time after which a pass was held up by something else than load."""
MIN_SHARE: t.Final = 0.52
"""The least part of a group's places that may be taken."""
SHARE_INCREMENT: t.Final = 0.004
"""By how much the part of the places rises with each pass that is short enough."""
SATURATED_RATIO: t.Final = 0.9
"""The part of the places allowed that must be taken for more to be tried."""


@dataclasses.dataclass
class ConcurrencyLimit:
    """The passes of one group, as its streams show them.

    :param share: the part of the group's places that may be taken.
    :param began_ms: when the first event of the present pass came.
    :param gaps_ms: times since the events before, of the events of the present pass.
    :param pass_ms: length of the last whole pass; 0 before there was one.
    """

    share: float = 1.0
    began_ms: float = 0.0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    pass_ms: float = 0.0


@dataclasses.dataclass
class ConcurrencyLimits:
    """The pace of each group, by its name."""

    by_group: dict[str, ConcurrencyLimit] = dataclasses.field(default_factory=dict)

    def record_event_gap(
        self,
        now_ms: float,
        group: str,
        gap_ms: float,
        target_ms: float,
        used_share: t.Callable[[], float],
    ) -> None:
        """Take in an event of a stream.

        :param gap_ms: time since the event before in the same stream.
        :param target_ms: longest pause between two events that is on time; 0: any.
        :param used_share: returns the part of the group's places that is taken.
        """
        limit = self.by_group.setdefault(group, ConcurrencyLimit())
        if now_ms - limit.began_ms >= SAME_PASS_MS:
            if limit.gaps_ms:
                limit.pass_ms = statistics.median(limit.gaps_ms)
                if limit.pass_ms < target_ms * STALLED_PASS_RATIO:
                    _adjust_share(limit, target_ms * TARGET_PASS_RATIO, used_share())
            limit.began_ms = now_ms
            limit.gaps_ms.clear()
        limit.gaps_ms.append(gap_ms)

    def share(self, group: str) -> float:
        """Return the part of a group's places that may be taken."""
        limit = self.by_group.get(group)
        return 1.0 if limit is None else limit.share

    def min_share(self) -> float:
        """Return the least part of any group's places that may be taken."""
        return min((limit.share for limit in self.by_group.values()), default=1.0)

    def longest_pass_ms(self) -> float:
        """Return the length of the longest of the groups' last passes."""
        return max((limit.pass_ms for limit in self.by_group.values()), default=0.0)


def _adjust_share(
    limit: ConcurrencyLimit, max_pass_ms: float, used_share: float
) -> None:
    if limit.pass_ms > max_pass_ms:
        fitting = used_share * max_pass_ms / limit.pass_ms
        limit.share = max(MIN_SHARE, min(limit.share, fitting))
    elif used_share >= limit.share * SATURATED_RATIO:
        limit.share = min(1.0, limit.share + SHARE_INCREMENT)


def used_share(endpoints: t.Iterable[Endpoint], loads: Loads) -> float:
    """Return the part of the places of endpoints that is taken."""
    used = slots = 0
    for endpoint in endpoints:
        used += loads.in_flight_at(endpoint.id)
        slots += endpoint.slots
    return used / max(1, slots)
