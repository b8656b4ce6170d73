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
TARGET_PART: t.Final = 0.9
"""The part of the longest pause on time that a pass may take."""
STALLED_PARTS: t.Final = 3.0
"""Longest pauses on time after which a pass was held up by something else than load."""
LEAST_SHARE: t.Final = 0.52
"""The least part of a group's places that may be taken."""
GROWTH: t.Final = 0.004
"""By how much the part of the places rises with each pass that is short enough."""
NEARLY: t.Final = 0.9
"""The part of the places allowed that must be taken for more to be tried."""


@dataclasses.dataclass
class Pace:
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
class Paces:
    """The pace of each group, by its name."""

    by_group: dict[str, Pace] = dataclasses.field(default_factory=dict)

    def hear(
        self,
        now_ms: float,
        group: str,
        gap_ms: float,
        target_ms: float,
        taken_share: t.Callable[[], float],
    ) -> None:
        """Take in an event of a stream.

        :param gap_ms: time since the event before in the same stream.
        :param target_ms: longest pause between two events that is on time; 0: any.
        :param taken_share: returns the part of the group's places that is taken.
        """
        pace = self.by_group.setdefault(group, Pace())
        if now_ms - pace.began_ms >= SAME_PASS_MS:
            if pace.gaps_ms:
                pace.pass_ms = statistics.median(pace.gaps_ms)
                if pace.pass_ms < target_ms * STALLED_PARTS:
                    _judge(pace, target_ms * TARGET_PART, taken_share())
            pace.began_ms = now_ms
            pace.gaps_ms.clear()
        pace.gaps_ms.append(gap_ms)

    def share(self, group: str) -> float:
        """Return the part of a group's places that may be taken."""
        pace = self.by_group.get(group)
        return 1.0 if pace is None else pace.share

    def least_share(self) -> float:
        """Return the least part of any group's places that may be taken."""
        return min((pace.share for pace in self.by_group.values()), default=1.0)

    def longest_ms(self) -> float:
        """Return the length of the longest of the groups' last passes."""
        return max((pace.pass_ms for pace in self.by_group.values()), default=0.0)


def _judge(pace: Pace, longest_ms: float, taken_share: float) -> None:
    if pace.pass_ms > longest_ms:
        fitting = taken_share * longest_ms / pace.pass_ms
        pace.share = max(LEAST_SHARE, min(pace.share, fitting))
    elif taken_share >= pace.share * NEARLY:
        pace.share = min(1.0, pace.share + GROWTH)


def taken_share(endpoints: t.Iterable[Endpoint], loads: Loads) -> float:
    """Return the part of the places of endpoints that is taken."""
    taken = places = 0
    for one in endpoints:
        taken += loads.of(one.id)
        places += one.slots
    return taken / max(1, places)
