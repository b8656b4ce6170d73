"""The reports of an agent to other agents: heartbeats, counts and rows of its rank."""

import dataclasses
import logging
import typing as t

from .. import events
from ..gateway.host import HostSettings
from ..platform.ranks import RankClient
from . import heartbeats, messages, sampling
from .demand import MIN_BUCKET_MS, DemandHistory
from .group import ALIVE_TIMEOUT_MS, Group
from .membership import Membership
from .views import RankView

log = logging.getLogger(__name__)

ROWS_INTERVAL_MS: t.Final = 250.0
"""The minimum time between two reports of a rank's rows to the leader."""

Send = t.Callable[[t.Iterable[str], t.Any], int]
"""Sends a message to the agents at the given addresses; returns its size in bytes."""


@dataclasses.dataclass
class Reporter:
    """Sends the reports of one agent.

    Counts are forwarded to the leader along a tree; see :mod:`.sampling`.

    :param incarnation: a number that differs with each start of the agent.
    :param demand_history: receives the counts while this agent is the leader.
    :param heartbeats_sent: number of heartbeats so far.
    :param leader: the leader's rank when counts were last read; ``None`` before.
    :param heartbeat_schedule: when the other agents are due to get a heartbeat.
    :param counter: the counts of the own rank since its start.
    :param pending_counts: the counts that haven't been forwarded to the parent yet.
    :param counts_read_ms: when the own rank's counts were last read.
    :param interval_ms: time between two reads of the counts.
    :param rows_sent_ms: when the own rank's rows were last reported.
    :param is_leaving: whether this agent is stopping.
    """

    host: HostSettings
    incarnation: int
    group: Group
    membership: Membership
    rank: RankClient
    demand_history: DemandHistory
    send: Send
    heartbeats_sent: int = 0
    leader: int | None = None
    heartbeat_schedule: heartbeats.HeartbeatSchedule = dataclasses.field(
        default_factory=heartbeats.HeartbeatSchedule
    )
    counter: sampling.DeltaCounter = dataclasses.field(
        default_factory=sampling.DeltaCounter
    )
    pending_counts: sampling.CountAccumulator = dataclasses.field(
        default_factory=sampling.CountAccumulator
    )
    counts_read_ms: float = 0.0
    interval_ms: float = 0.0
    rows_sent_ms: float = 0.0
    is_leaving: bool = False

    def clear(self) -> None:
        """Discard all counts, as the group has formed anew."""
        self.pending_counts.drain()
        self.demand_history.clear()

    def heartbeat(self, now_ms: float, view: RankView, tick_ms: float) -> None:
        """Send a heartbeat to the agents for which one is due.

        :param view: the latest report of the own rank.
        :param tick_ms: time between two calls of this function.
        """
        self.heartbeats_sent += 1
        heartbeat = messages.Heartbeat(
            self.host.ip,
            self.host.service or "",
            self.incarnation,
            self.heartbeats_sent,
            view,
            self.group.current_map() is not None,
            self.membership.knows_all(view.group, view.size),
            self.is_leaving,
        )
        self.group.on_heartbeat(now_ms, heartbeat)
        others = self._others(view)
        period_ms = heartbeats.interval_ms(len(others), self.host.link_mbps)
        self.group.alive_timeout_ms = max(
            ALIVE_TIMEOUT_MS, heartbeats.MAX_MISSED * period_ms
        )
        self.send(
            self.heartbeat_schedule.due(now_ms, others, period_ms, tick_ms), heartbeat
        )

    def announce_leaving(self) -> None:
        """Mark heartbeats as those of a stopping agent, and make them due for all."""
        self.is_leaving = True
        self.heartbeat_schedule.sent_ms.clear()

    def announce_stopped(self) -> None:
        """Notify all other agents that this agent has stopped."""
        own = self.group.own
        if own is None:
            return
        self.send(
            self._others(own), messages.AgentStopped(self.host.ip, self.incarnation)
        )

    def _others(self, own: RankView) -> set[str]:
        """Return the hosts of the other agents of the group of ``own``."""
        return self.membership.members.ips(own.group) - {self.host.ip}

    async def report_rows(self, now_ms: float, view: RankView) -> None:
        """Send the own rank's rows to the leader if it doesn't know the map in use.

        :raises UpstreamError: if the rank can't be read.
        """
        leader = self.group.members.get(t.cast(int, self.group.leader(now_ms)))
        if leader is None or leader.heartbeat.knows_map:
            return
        if now_ms - self.rows_sent_ms < ROWS_INTERVAL_MS:
            return
        self.rows_sent_ms = now_ms
        rank_rows = await self.rank.rows()
        if rank_rows.epoch != view.epoch:
            return
        if leader.heartbeat.view.rank == view.rank:
            self.group.store_rows(view.rank, rank_rows.version, rank_rows.rows)
        else:
            message = messages.RowsReport(
                view.group,
                rank_rows.epoch,
                view.rank,
                rank_rows.version,
                rank_rows.rows,
            )
            self.send([leader.heartbeat.ip], message)

    async def report_counts(self, now_ms: float, view: RankView) -> None:
        """Send the counts of the own rank and its children in the tree to the parent.

        :raises UpstreamError: if the rank can't be read.
        """
        is_idle = (
            not view.active
            and self.leader is None
            and self.pending_counts.counts is None
        )
        if is_idle or now_ms - self.counts_read_ms < self.interval_ms:
            return
        rank_counts = await self.rank.counts()
        if rank_counts.epoch != view.epoch:
            return
        self.counts_read_ms = now_ms
        increase = self.counter.since_last(rank_counts.epoch, rank_counts.counts)
        if increase is not None:
            self.pending_counts.add(increase)
        self._forward_counts(now_ms, view)

    def on_sample(
        self, now_ms: float, sample: messages.Sample, sample_bytes: int
    ) -> None:
        """Add a child's sample, to the demand history if this agent is the leader.

        :param sample_bytes: size of the sample.
        """
        own = t.cast(RankView, self.group.own)
        counts = sampling.dequantize(
            sampling.QuantizedCounts(sample.unit, sample.counts)
        )
        if self.group.leader(now_ms) != own.rank:
            self.pending_counts.add(counts)
            return
        sample_interval_ms = sampling.interval_ms(sample_bytes, self.host.link_mbps)
        pass_ms = self.group.pass_ms(now_ms)
        self.demand_history.bucket_ms = max(MIN_BUCKET_MS, sample_interval_ms, pass_ms)
        self.demand_history.add(now_ms, counts)

    def _forward_counts(self, now_ms: float, view: RankView) -> None:
        alive = self.group.alive(now_ms)
        leader = t.cast(int, self.group.leader(now_ms))
        self._update_leader(leader, view, len(alive))
        counts = self.pending_counts.drain()
        if counts is None:
            return
        if leader == view.rank:
            self.demand_history.add(now_ms, counts)
            return
        parent = sampling.parent_of(view.rank, leader, view.size, alive)
        member = self.group.members.get(parent)
        if member is not None:
            quantized = sampling.quantize(counts)
            sample = messages.Sample(
                view.group, view.epoch, quantized.unit, quantized.counts
            )
            sent_bytes = self.send([member.heartbeat.ip], sample)
            self.interval_ms = sampling.interval_ms(sent_bytes, self.host.link_mbps)

    def _update_leader(self, leader: int, view: RankView, alive: int) -> None:
        if leader != self.leader:
            self.leader = leader
            events.emit(
                log, events.LEADER_CHANGED, leader=leader, own=view.rank, alive=alive
            )
