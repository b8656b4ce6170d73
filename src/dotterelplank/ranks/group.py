"""The state that an agent keeps of its group, and the choice of the group's leader.

The agent of the leader plans the group's maps.
"""

import collections
import dataclasses
import typing as t

from ..sequences import Sequence
from . import versions
from .messages import AgentStopped, Heartbeat
from .views import ExpertMap, RankView, Rows

ALIVE_TIMEOUT_MS: t.Final = 1_000.0
"""The time without a heartbeat after which an agent isn't alive any more.

In large groups, where heartbeats are less frequent, the timeout is longer.
"""
MAX_STORED_MAPS: t.Final = 8
SETTLE_STEPS: t.Final = 8
"""The number of passes that an agent waits after its start before it begins a change.

Late orders of an earlier agent process may concern passes up to then.
"""
STALL_TIMEOUT_MS: t.Final = 700.0
"""Longer than any pass, unless the pass is held or waits for a lost rank."""
PASS_WINDOW_MS: t.Final = 600.0
"""The time over which the duration of passes is averaged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The agent of a rank and its latest heartbeat."""

    heartbeat: Heartbeat
    last_seen_ms: float


@dataclasses.dataclass
class Group:
    """The agents of a group in one epoch.

    :param own: the latest report of this agent's rank.
    :param first_step: last pass begun when this agent first saw the epoch.
    :param last_change_step: highest pass that a change of this agent was for.
    :param progress_ms: when the own rank last reported a new pass or no active calls.
    :param alive_timeout_ms: time without a heartbeat after which an agent isn't alive.
    :param maps: known maps by version, the most recently stored last.
    :param rows: for each rank, the version of its map and its part of the map.
    :param members: the latest heartbeat of each rank's agent.
    :param sequences: the sequence of heartbeats from each address.
    :param step_log: time and last pass begun of the latest reports of the own rank.
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
        """Record the own rank's report; return whether its group formed anew."""
        own = self.own
        is_new = own is None or own.formation != view.formation
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
        """Record an agent's heartbeat, unless it is outdated or of another epoch."""
        own = self.own
        view = heartbeat.view
        if own is None or view.formation != own.formation:
            return
        sequence = self.sequences.setdefault(heartbeat.ip, Sequence())
        if not sequence.accept(heartbeat.incarnation, heartbeat.sequence_number):
            return
        self.members[view.rank] = Member(heartbeat, now_ms)

    def remove_agent(self, stopped: AgentStopped) -> None:
        """Remove an agent that has stopped."""
        for rank, member in list(self.members.items()):
            heartbeat = member.heartbeat
            if (heartbeat.ip, heartbeat.incarnation) == (
                stopped.ip,
                stopped.incarnation,
            ):
                del self.members[rank]

    def alive(self, now_ms: float) -> t.Mapping[int, Heartbeat]:
        """Return the latest heartbeat of each agent that is alive, by rank."""
        return {
            rank: member.heartbeat
            for rank, member in self.members.items()
            if now_ms - member.last_seen_ms < self.alive_timeout_ms
        }

    def pass_ms(self, now_ms: float) -> float:
        """Return the mean duration of recent passes; 0 if there were none."""
        if not self.step_log:
            return 0.0
        first_ms, first = self.step_log[0]
        begun = self.step_log[-1][1] - first
        return (now_ms - first_ms) / begun if begun else 0.0

    def leader(self, now_ms: float) -> int | None:
        """Return the rank whose agent plans maps, or ``None`` before the first report.

        This is the lowest rank whose agent is alive and not about to stop.
        """
        own = self.own
        if own is None:
            return None
        # This is called many times a second, so no dictionary is built with alive().
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
        """Store the map of a version and discard old maps."""
        self.maps.pop(version, None)
        self.maps[version] = expert_map
        in_use = None if self.own is None else self.own.map_version
        old = [known_version for known_version in self.maps if known_version != in_use][
            :-MAX_STORED_MAPS
        ]
        for known_version in old:
            del self.maps[known_version]

    def store_rows(self, rank: int, version: int, rows: Rows) -> None:
        """Store a rank's part of the map of a version."""
        self.rows[rank] = (version, rows)

    def current_map(self) -> ExpertMap | None:
        """Return the map in use, or ``None`` if it isn't known.

        An unknown map is assembled once all ranks have reported their parts of it.
        """
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
        """Return whether calls are active but no pass began in ``STALL_TIMEOUT_MS``."""
        own = self.own
        if own is None or not own.is_open or not own.active:
            return False
        return now_ms - self.progress_ms > STALL_TIMEOUT_MS

    def may_begin_change(self, now_ms: float) -> bool:
        """Return whether a change may begin.

        All agents must be alive and none about to stop, and no change be in progress.
        """
        own = self.own
        if own is None or not own.is_open or len(self.alive(now_ms)) < own.size:
            return False
        # The last change is over once its pass has begun at the own rank.
        if own.step < max(self.first_step + SETTLE_STEPS, self.last_change_step):
            return False
        heartbeats = self.alive(now_ms).values()
        if any(heartbeat.is_leaving for heartbeat in heartbeats):
            return False
        views = [heartbeat.view for heartbeat in heartbeats]
        return not any(_is_in_change(view, own.step) for view in [*views, own])

    def new_version(self, nonce: int) -> int:
        """Return a unique version that is higher than all known ones.

        :param nonce: a random number below ``2 ** versions.NONCE_BITS``.
        """
        own = t.cast(RankView, self.own)
        views = [member.heartbeat.view for member in self.members.values()]
        highest = max(
            max(view.map_version, view.prepared or 0) for view in [*views, own]
        )
        return versions.next_version(highest, own.rank, nonce)


def _is_in_change(view: RankView, step: int) -> bool:
    """Return whether a rank is armed for, or holds, a pass after ``step``."""
    is_armed = view.armed is not None and view.armed.step > step
    return is_armed or (view.held is not None and view.held > step)
