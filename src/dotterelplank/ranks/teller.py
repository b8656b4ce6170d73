"""What an agent tells the others: that it lives, what its rank counted, its rows."""

import dataclasses
import logging
import typing as t

from .. import events
from ..gateway.host import HostSettings
from ..platform.ranks import RankClient
from . import heartbeats, messages, sampling
from .demand import BLOCK_MS, Demands, shift_distance
from .group import ALIVE_MS, Group
from .membership import Membership
from .views import RankView

log = logging.getLogger(__name__)

ROWS_INTERVAL_MS: t.Final = 250.0
"""How often a leader that doesn't know the map in use is told a rank's part of it."""

Send = t.Callable[[t.Iterable[str], t.Any], int]
"""Sends a message to the agents at addresses; returns its size in bytes."""


@dataclasses.dataclass
class Teller:
    """The part of one agent.

    :param incarnation: another one with each start of the agent.
    :param demands: what a leader is told is added here.
    :param numbers: heartbeats so far.
    :param leader: the rank that leads, as it was last thought.
    :param below: what the agents below have told.
    :param counted_ms: when the own rank's counts were last read.
    :param interval_ms: time between two reads of them.
    :param is_leaving: whether this agent was told to stop.
    """

    host: HostSettings
    incarnation: int
    group: Group
    membership: Membership
    rank: RankClient
    demands: Demands
    send: Send
    numbers: int = 0
    leader: int | None = None
    rota: heartbeats.Rota = dataclasses.field(default_factory=heartbeats.Rota)
    counter: sampling.Counter = dataclasses.field(default_factory=sampling.Counter)
    below: sampling.Sum = dataclasses.field(default_factory=sampling.Sum)
    counted_ms: float = 0.0
    interval_ms: float = 0.0
    told_rows_ms: float = 0.0
    is_leaving: bool = False

    def clear(self) -> None:
        """Forget what was counted, as the group has formed anew."""
        self.below.take()
        self.demands.clear()

    def heartbeat(self, now_ms: float, view: RankView, turn_ms: float) -> None:
        """Tell those whose turn it is that this agent lives.

        :param turn_ms: time between two calls.
        """
        self.numbers += 1
        heartbeat = messages.Heartbeat(
            self.host.ip,
            self.host.service or "",
            self.incarnation,
            self.numbers,
            view,
            self.group.present_map() is not None,
            self.membership.knows_all(view.size),
            self.is_leaving,
        )
        self.group.hear(now_ms, heartbeat)
        others = self.membership.members.ips - {self.host.ip}
        every_ms = heartbeats.interval_ms(len(others), self.host.link_mbps)
        self.group.alive_ms = max(ALIVE_MS, heartbeats.MISSED * every_ms)
        self.send(self.rota.due(now_ms, others, every_ms, turn_ms), heartbeat)

    def leave(self) -> None:
        """Have the next heartbeat to each agent tell that this one will end."""
        self.is_leaving = True
        self.rota.sent_ms.clear()

    def tell_stopped(self) -> None:
        """Tell all others that this agent ends now."""
        others = self.membership.members.ips - {self.host.ip}
        self.send(others, messages.AgentStopped(self.host.ip, self.incarnation))

    async def tell_rows(self, now_ms: float, view: RankView) -> None:
        """Tell a leader that doesn't know the map in use the part of the own rank.

        :raises UpstreamError: if the rank can't be read.
        """
        leader = self.group.members.get(t.cast(int, self.group.leader(now_ms)))
        if leader is None or leader.heartbeat.knows_map:
            return
        if now_ms - self.told_rows_ms < ROWS_INTERVAL_MS:
            return
        self.told_rows_ms = now_ms
        part = await self.rank.rows()
        if part.epoch != view.epoch:
            return
        if leader.heartbeat.view.rank == view.rank:
            self.group.learn_rows(view.rank, part.version, part.rows)
        else:
            told = messages.OwnRows(
                view.group, part.epoch, view.rank, part.version, part.rows
            )
            self.send([leader.heartbeat.ip], told)

    async def tell_counts(self, now_ms: float, view: RankView) -> None:
        """Tell the next agent towards the leader what was counted here and below.

        :raises UpstreamError: if the rank can't be read.
        """
        is_idle = not view.active and self.leader is None and self.below.counts is None
        if is_idle or now_ms - self.counted_ms < self.interval_ms:
            return
        found = await self.rank.counts()
        if found.epoch != view.epoch:
            return
        self.counted_ms = now_ms
        new = self.counter.since_last(found.epoch, found.counts)
        if new is not None:
            self.below.add(new)
        self._pass_on(now_ms, view)

    def take_sample(
        self, now_ms: float, sample: messages.Sample, sample_bytes: int
    ) -> None:
        """Take in what an agent below has told."""
        own = t.cast(RankView, self.group.own)
        counts = sampling.counts_of(sampling.Coarse(sample.unit, sample.counts))
        if self.group.leader(now_ms) != own.rank:
            self.below.add(counts)
            return
        between_ms = sampling.interval_ms(sample_bytes, self.host.link_mbps)
        pass_ms = self.group.pass_ms(now_ms)
        self.demands.shift_distance = shift_distance(own.size)
        self.demands.block_ms = max(BLOCK_MS, between_ms, pass_ms)
        self.demands.add(now_ms, counts)

    def _pass_on(self, now_ms: float, view: RankView) -> None:
        alive = self.group.alive(now_ms)
        leader = t.cast(int, self.group.leader(now_ms))
        self._note_leader(leader, view, len(alive))
        counts = self.below.take()
        if counts is None:
            return
        if leader == view.rank:
            self.demands.add(now_ms, counts)
            return
        above = sampling.teller_to(view.rank, leader, view.size, alive)
        member = self.group.members.get(above)
        if member is not None:
            told = sampling.coarse(counts)
            sample = messages.Sample(view.group, view.epoch, told.unit, told.counts)
            sent_bytes = self.send([member.heartbeat.ip], sample)
            self.interval_ms = sampling.interval_ms(sent_bytes, self.host.link_mbps)

    def _note_leader(self, leader: int, view: RankView, alive: int) -> None:
        if leader != self.leader:
            self.leader = leader
            events.emit(
                log, events.LEADER_CHANGED, leader=leader, own=view.rank, alive=alive
            )
