"""What an agent knows of its group, and who plans the group's maps."""

import collections
import dataclasses
import typing as t

from ..sequences import Sequence
from . import versions
from .messages import AgentStopped, Heartbeat
from .views import ExpertMap, RankView, Rows

ALIVE_TIMEOUT_MS: t.Final = 1_000.0
"""After this silence an agent isn't counted on, in a group of modest size."""
MAX_STORED_MAPS: t.Final = 8
SETTLE_STEPS: t.Final = 8
"""Passes after an agent's start before it begins a change: orders that a process before
it gave may be for passes up to there."""
STALL_TIMEOUT_MS: t.Final = 700.0
"""Longer than any pass that isn't held or waiting for a lost rank."""
PASS_WINDOW_MS: t.Final = 600.0
"""Time over which the length of a pass is taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The agent of a rank, as last heard."""

    heartbeat: Heartbeat
    last_seen_ms: float


@dataclasses.dataclass
class Group:
    """The agents of a group in one epoch.

    :param first_step: last pass begun when this agent first saw the epoch.
    :param last_change_step: highest pass that a change of this agent was for.
    :param progress_ms: when a pass was last seen to have begun, or there was no work.
    :param step_log: time and last pass begun of the latest reads of the own rank.
    :param alive_timeout_ms: silence after which an agent isn't counted on.
    :param maps: maps that this agent has met, by version, the latest last.
    :param sequences: the heartbeats from each address.
    :param rows: version of a rank's map and its part of it, by rank.
    """

    own: RankView | None = None
    first_step: int = 0
    last_change_step: int = 0
    progress_ms: float = 0.0
    alive_timeout_ms: float = ALIVE_TIMEOUT_MS
    maps: dict[int, ExpertMap] = dataclasses.field(default_factory=dict)
    rows: dict[int, tuple[int, Rows]] = dataclasses.field(default_factory=dict)
    members: dict[int, Member] = dataclasses.field(default_factory=dict)
    sequences: dict[str, Sequence] = dataclasses.field(default_factory=dict)
    step_log: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def on_view(self, now_ms: float, view: RankView) -> bool:
        """Take in the own rank's state; return whether its group formed anew."""
        own = self.own
        is_new = own is None or (own.group, own.epoch) != (view.group, view.epoch)
        if is_new or own.step != view.step or not view.active:
            self.progress_ms = now_ms
        self.own = view
        if is_new:
            self.first_step = view.step
            self.last_change_step = view.step
            self.maps.clear()
            self.rows.clear()
            self.members.clear()
            self.step_log.clear()
        self.step_log.append((now_ms, view.step))
        while now_ms - self.step_log[0][0] > PASS_WINDOW_MS:
            self.step_log.popleft()
        return is_new

    def on_heartbeat(self, now_ms: float, heartbeat: Heartbeat) -> None:
        """Take in the heartbeat of a member."""
        own = self.own
        view = heartbeat.view
        if own is None or (view.group, view.epoch) != (own.group, own.epoch):
            return
        sequence = self.sequences.setdefault(heartbeat.ip, Sequence())
        if not sequence.accept(heartbeat.incarnation, heartbeat.sequence_number):
            return
        self.members[view.rank] = Member(heartbeat, now_ms)

    def remove_agent(self, stopped: AgentStopped) -> None:
        """Take in that an agent has ended."""
        for rank, member in list(self.members.items()):
            heartbeat = member.heartbeat
            if (heartbeat.ip, heartbeat.incarnation) == (
                stopped.ip,
                stopped.incarnation,
            ):
                del self.members[rank]

    def alive(self, now_ms: float) -> t.Mapping[int, Heartbeat]:
        """Return the last heartbeat of each member that was heard lately."""
        return {
            rank: member.heartbeat
            for rank, member in self.members.items()
            if now_ms - member.last_seen_ms < self.alive_timeout_ms
        }

    def pass_ms(self, now_ms: float) -> float:
        """Return how long a pass took lately, on average; 0 while there were none."""
        if not self.step_log:
            return 0.0
        first_ms, first = self.step_log[0]
        begun = self.step_log[-1][1] - first
        return (now_ms - first_ms) / begun if begun else 0.0

    def leader(self, now_ms: float) -> int | None:
        """Return the rank whose agent plans maps: the lowest that lives and stays."""
        own = self.own
        if own is None:
            return None
        # No list of all that live is made: this is asked many times a second.
        return min(
            (
                rank
                for rank, member in self.members.items()
                if now_ms - member.last_seen_ms < self.alive_timeout_ms
                and not member.heartbeat.is_leaving
            ),
            default=own.rank,
        )

    def store_map(self, version: int, expert_map: ExpertMap) -> None:
        """Remember the map of a version, and forget old ones."""
        self.maps.pop(version, None)
        self.maps[version] = expert_map
        in_use = None if self.own is None else self.own.map_version
        old = [known_version for known_version in self.maps if known_version != in_use][
            :-MAX_STORED_MAPS
        ]
        for known_version in old:
            del self.maps[known_version]

    def store_rows(self, rank: int, version: int, rows: Rows) -> None:
        """Take in a rank's part of a map."""
        self.rows[rank] = (version, rows)

    def current_map(self) -> ExpertMap | None:
        """Return the map in use, if it is known or each rank has told its part."""
        own = self.own
        if own is None:
            return None
        known = self.maps.get(own.map_version)
        if known is None:
            known = self._assemble_map(own)
            if known is not None:
                self.store_map(own.map_version, known)
        return known

    def _assemble_map(self, own: RankView) -> ExpertMap | None:
        rows = [
            rows
            for _, (version, rows) in sorted(self.rows.items())
            if version == own.map_version
        ]
        if len(rows) < own.size or not rows[0]:
            return None
        if any(len(row) != len(rows[0]) for row in rows):
            return None
        return [[row[layer] for row in rows] for layer in range(len(rows[0]))]

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether there is work, but no pass has begun for long."""
        own = self.own
        if own is None or not own.is_open or not own.active:
            return False
        return now_ms - self.progress_ms > STALL_TIMEOUT_MS

    def may_begin_change(self, now_ms: float) -> bool:
        """Return whether a change may begin: nobody is in the middle of one."""
        own = self.own
        if own is None or not own.is_open or len(self.alive(now_ms)) < own.size:
            return False
        # The pass of the last change must have begun here, so that it is over.
        if own.step < max(self.first_step + SETTLE_STEPS, self.last_change_step):
            return False
        heartbeats = self.alive(now_ms).values()
        if any(heartbeat.is_leaving for heartbeat in heartbeats):
            return False
        views = [heartbeat.view for heartbeat in heartbeats]
        return not any(_is_in_change(view, own.step) for view in [*views, own])

    def new_version(self, nonce: int) -> int:
        """Return a version above all that are known, which nobody else makes.

        :param nonce: random, below ``2 ** versions.NONCE_BITS``.
        """
        own = t.cast(RankView, self.own)
        views = [member.heartbeat.view for member in self.members.values()]
        highest = max(
            max(view.map_version, view.prepared or 0) for view in [*views, own]
        )
        return versions.next_version(highest, own.rank, nonce)


def _is_in_change(view: RankView, step: int) -> bool:
    """Return whether a rank waits for a pass after ``step``."""
    is_armed = view.armed is not None and view.armed.step > step
    return is_armed or (view.held is not None and view.held > step)
