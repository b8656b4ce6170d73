"""What an agent knows of its group, and who plans the group's maps."""

import dataclasses
import typing as t

from .messages import Beat
from .views import ExpertMap, RankView

ALIVE_MS: t.Final = 1_000.0
"""After this silence an agent isn't counted on."""
SETTLE_STEPS: t.Final = 8
"""Passes after an agent's start before it begins a change: orders that a process before
it gave may be for passes up to there."""
VERSION_DRAW_BITS: t.Final = 16
RANK_BITS: t.Final = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The agent of a rank, as last heard."""

    beat: Beat
    heard_ms: float


@dataclasses.dataclass
class Group:
    """The agents of a group in one epoch.

    :param first_step: last pass begun when this agent first saw the epoch.
    :param used_step: highest pass that a change of this agent was for.
    """

    own: RankView | None = None
    first_step: int = 0
    used_step: int = 0
    members: dict[int, Member] = dataclasses.field(default_factory=dict)

    def see(self, view: RankView) -> bool:
        """Take in the own rank's state; return whether its group formed anew."""
        own = self.own
        is_new = own is None or (own.group, own.epoch) != (view.group, view.epoch)
        self.own = view
        if is_new:
            self.first_step = view.step
            self.used_step = view.step
            self.members.clear()
        return is_new

    def hear(self, now_ms: float, beat: Beat) -> None:
        """Take in the beat of a member."""
        own = self.own
        view = beat.view
        if own is None or (view.group, view.epoch) != (own.group, own.epoch):
            return
        known = self.members.get(view.rank)
        if known is not None and known.beat.ip == beat.ip:
            order = (known.beat.incarnation, known.beat.number)
            if (beat.incarnation, beat.number) <= order:
                return
        self.members[view.rank] = Member(beat, now_ms)

    def alive(self, now_ms: float) -> t.Mapping[int, Beat]:
        """Return the last beat of each member that was heard lately."""
        return {
            rank: member.beat
            for rank, member in self.members.items()
            if now_ms - member.heard_ms < ALIVE_MS
        }

    def leader(self, now_ms: float) -> int | None:
        """Return the rank whose agent plans maps: the lowest one that lives."""
        own = self.own
        if own is None:
            return None
        return min([*self.alive(now_ms), own.rank])

    def present_map(self, now_ms: float) -> ExpertMap | None:
        """Return the map in use, if all ranks are heard and tell of the same one."""
        own = self.own
        beats = self.alive(now_ms)
        if own is None or len(beats) < own.size:
            return None
        if len({beat.view.map_version for beat in beats.values()}) != 1:
            return None
        rows = [beats[rank].rows for rank in range(own.size)]
        if any(len(row) != len(rows[0]) for row in rows) or not rows[0]:
            return None
        return [[row[layer] for row in rows] for layer in range(len(rows[0]))]

    def is_calm(self, now_ms: float) -> bool:
        """Return whether a change may begin: nobody is in the middle of one."""
        own = self.own
        if own is None or not own.is_open:
            return False
        if own.step < self.first_step + SETTLE_STEPS:
            return False
        views = [beat.view for beat in self.alive(now_ms).values()]
        return all(view.armed is None and view.held is None for view in [*views, own])

    def new_version(self, draw: int) -> int:
        """Return a version above all that are known, which nobody else makes.

        :param draw: random, below ``2 ** VERSION_DRAW_BITS``; tells apart what two
            agents of one rank make.
        """
        own = t.cast(RankView, self.own)
        views = [member.beat.view for member in self.members.values()]
        highest = max(
            max(view.map_version, view.prepared or 0) for view in [*views, own]
        )
        bits = RANK_BITS + VERSION_DRAW_BITS
        turn = (highest >> bits) + 1
        return (turn << bits) | (own.rank << VERSION_DRAW_BITS) | draw
