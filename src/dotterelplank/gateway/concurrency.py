"""Adaptive limits on the calls that a group of ranks works on at once.

The ranks of a group run each forward pass of the model together, and every call makes
each pass longer. With all slots in use and an uneven load of the ranks, a pass can take
longer than the gap that is allowed between two events of a stream, and all streams of
the group are late at once. The limit on the slots in use keeps the passes short.

Demand shifts every few seconds, so the limit follows the longest of the recent passes:
it falls at once after a long pass and rises slowly after short ones.
"""

import dataclasses
import statistics
import typing as t

from .directory import Endpoint, GroupKey
from .loads import Loads

SAME_PASS_MS: t.Final = 15.0
"""Events of a group belong to the same pass within this time of its first event."""
TARGET_PASS_RATIO: t.Final = 0.9
"""The part of the target gap between two events that a pass may take."""
STALLED_PASS_RATIO: t.Final = 3.0
"""Multiple of the target gap from which a pass is slow for other reasons than load."""
MIN_SHARE: t.Final = 0.52
"""The lowest limit, as a share of a group's slots."""
SHARE_INCREMENT: t.Final = 0.004
"""Increase of the share with each pass that is short enough."""
SATURATED_RATIO: t.Final = 0.9
"""The part of the permitted slots that must be in use for the limit to rise."""


@dataclasses.dataclass
class ConcurrencyLimit:
    """The concurrency limit of one group, and its passes as seen in its streams.

    :param share: the part of the group's slots that may be in use.
    :param began_ms: time of the first event of the current pass.
    :param gaps_ms: for each event of the current pass, the time since the event before
        in the same stream.
    :param pass_ms: length of the last complete pass; 0 before there was one.
    """

    share: float = 1.0
    began_ms: float = 0.0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    pass_ms: float = 0.0


@dataclasses.dataclass
class ConcurrencyLimits:
    """The concurrency limits of all groups.

    :param by_group: the limit of each group.
    """

    by_group: dict[GroupKey, ConcurrencyLimit] = dataclasses.field(default_factory=dict)

    def record_event_gap(
        self,
        now_ms: float,
        group: GroupKey,
        gap_ms: float,
        target_ms: float,
        used_share: t.Callable[[], float],
    ) -> None:
        """Record an event of a stream, and adjust the limit when a pass is complete.

        :param gap_ms: time since the event before in the same stream.
        :param target_ms: longest gap between two events that is on time; 0: there is no
            target, and the limit isn't adjusted.
        :param used_share: returns the part of the group's slots that is in use.
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

    def share(self, group: GroupKey) -> float:
        """Return the part of a group's slots that may be in use."""
        limit = self.by_group.get(group)
        return 1.0 if limit is None else limit.share

    def min_share(self) -> float:
        """Return the lowest share of all groups; 1 if no group is known."""
        return min((limit.share for limit in self.by_group.values()), default=1.0)

    def longest_pass_ms(self) -> float:
        """Return the longest of the groups' last passes; 0 if no pass is known."""
        return max((limit.pass_ms for limit in self.by_group.values()), default=0.0)


def _adjust_share(
    limit: ConcurrencyLimit, max_pass_ms: float, used_share: float
) -> None:
    if limit.pass_ms > max_pass_ms:
        sustainable = used_share * max_pass_ms / limit.pass_ms
        limit.share = max(MIN_SHARE, min(limit.share, sustainable))
    elif used_share >= limit.share * SATURATED_RATIO:
        limit.share = min(1.0, limit.share + SHARE_INCREMENT)


def used_share(endpoints: t.Iterable[Endpoint], loads: Loads) -> float:
    """Return the part of the slots of endpoints that is in use."""
    used = slots = 0
    for endpoint in endpoints:
        used += loads.in_flight_at(endpoint.id)
        slots += endpoint.slots
    return used / max(1, slots)
