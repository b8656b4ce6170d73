"""How one agent drives changes of its group's expert map, and clears up others'."""

import dataclasses
import logging
import random
import typing as t

from .. import events
from ..clocks import boottime_ms
from ..errors import UpstreamError
from ..gateway.host import Address
from ..loops import Background
from ..platform.ranks import RankClient
from . import change as changes, messages, policy, spreading, tasks, versions
from .group import Group
from .membership import Membership
from .metrics import AgentMetrics
from .participant import carry_out, give_once
from .views import ExpertMap, HoldStep, RankView

log = logging.getLogger(__name__)

SLOW_PHASE_MS: t.Final = 1_000.0
"""After this a phase of a change is logged."""
DIRECT_TIMEOUT_MS: t.Final = 200.0
DIRECT_ORDER_TIMEOUT_MS: t.Final = 40.0
"""Longest time that an order may take at a rank of another host."""


class Driver:
    """Drives one change at a time.

    :param ip: address of this host.
    :param link_mbps: what this host can send, in millions of bits a second.
    :param rank: the rank of this host.
    :param send: sends a message to the agent at an address, and returns its size.
    :param on_silence: told why the rank of this host gave no answer.
    """

    def __init__(
        self,
        ip: str,
        link_mbps: float,
        group: Group,
        membership: Membership,
        rank: RankClient,
        metrics: AgentMetrics,
        send: t.Callable[[str, t.Any], int],
        on_silence: t.Callable[[str], None],
    ) -> None:
        self.change: changes.Change | None = None
        self._ip = ip
        self._link_mbps = link_mbps
        self._group = group
        self._membership = membership
        self._rank = rank
        self._metrics = metrics
        self._send = send
        self._on_silence = on_silence
        self._random = random.Random()
        self._slow: changes.Phase | None = None
        self._numbers = 0
        self._sent_bytes = 0
        self._spread_version = -1
        self._base: tuple[int, ExpertMap] | None = None
        self._asked: dict[int, int] = {}
        self._background = Background()

    def begin(
        self,
        now_ms: float,
        own: RankView,
        present: ExpertMap,
        decision: policy.Decision,
    ) -> None:
        """Begin a change; ``present`` is the map in use."""
        version = self._group.new_version(self._random.getrandbits(versions.DRAW_BITS))
        found = decision.plan
        self._group.keep_map(version, found.map)
        self._base = (own.map_version, present)
        self.change = changes.begin(
            now_ms,
            own,
            version,
            found.map,
            decision.copy_ms,
            self._group.used_step + 1,
        )
        events.emit(
            log,
            events.CHANGE_BEGUN,
            version=version,
            epoch=own.epoch,
            step=own.step,
            skew_before=round(found.skew_before, 3),
            skew_after=round(found.skew_after, 3),
            copies=found.copies,
            window_ms=round(decision.window_ms),
            pass_ms=round(self._group.pass_ms(now_ms), 1),
            planned_ms=round(boottime_ms() - now_ms, 1),
        )

    def take_over(self, now_ms: float, holder: int, step: int) -> None:
        """Clear up a pass that a rank holds, whoever had it held."""
        own = t.cast(RankView, self._group.own)
        draw = self._random.getrandbits(versions.DRAW_BITS)
        self._group.used_step = max(self._group.used_step, step)
        self.change = changes.take_over(
            now_ms,
            own.epoch,
            own.size,
            holder,
            step,
            self._group.new_version(draw),
        )
        self._metrics.count_take_over()
        events.emit(log, events.CHANGE_TAKEN_OVER, holder=holder, step=step)

    def make_room(self) -> bool:
        """Give up a change that holds nothing yet; return whether none is in hand."""
        if self.change is not None and changes.give_way(self.change):
            self.advance()
        return self.change is None

    def drop(self) -> None:
        """Forget the change in hand, and what was asked for it."""
        self.change = None
        self._asked.clear()
        self._slow = None
        self._sent_bytes = 0

    def advance(self) -> None:
        """Let the change in hand, if any, go on as far as it can."""
        change = self.change
        if change is None:
            return
        now_ms = boottime_ms()
        self._give_out(change, changes.advance(now_ms, change))
        self._group.used_step = max(self._group.used_step, change.step)
        self._note_slow(now_ms, change)
        if change.outcome is not None:
            sent_bytes = self._sent_bytes
            self.drop()
            if change.outcome is changes.Outcome.SWITCHED:
                self._spread_version = change.version
            self._metrics.count_change(change.outcome.value)
            self._metrics.change.observe(now_ms - change.began_ms)
            events.emit(
                log,
                events.CHANGE_ENDED,
                version=change.version,
                step=change.step,
                outcome=change.outcome.value,
                took_ms=round(now_ms - change.began_ms),
                spent_ms={
                    phase.value: round(spent_ms)
                    for phase, spent_ms in change.spent_ms.items()
                },
                heard=len(change.views),
                repeats=change.repeats,
                sent_bytes=sent_bytes,
                pass_ms=round(self._group.pass_ms(now_ms), 1),
            )

    def take_reply(self, reply: messages.Reply) -> None:
        """Take in how a rank is after a task of the change in hand."""
        version = self._asked.get(reply.number)
        change = self.change
        if change is not None and version == change.version:
            self._hear(change, reply.view)

    def _note_slow(self, now_ms: float, change: changes.Change) -> None:
        """Log once a phase that takes long, and which ranks it may wait for."""
        if now_ms - change.phase_ms < SLOW_PHASE_MS or self._slow == change.phase:
            return
        self._slow = change.phase
        views = change.views.values()
        events.emit(
            log,
            events.MAP_CHANGE_SLOW,
            phase=change.phase.value,
            version=change.version,
            step=change.step,
            heard=len(change.views),
            armed=sorted(view.rank for view in views if view.armed is not None),
            phase_ms=round(now_ms - change.phase_ms),
        )

    def _give_out(
        self, change: changes.Change, assignments: t.Sequence[tasks.Assignment]
    ) -> None:
        """Have tasks carried out; one that many agents get is passed on by them."""
        by_agents: dict[tuple[int, bool], tuple[tasks.Task, list[int]]] = {}
        for one in assignments:
            if self._is_for_agent(one):
                key = (id(one.task), one.is_repeat)
                by_agents.setdefault(key, (one.task, []))[1].append(one.rank)
            else:
                self._carry_out(change, one)
        for (_, is_repeat), (task, ranks) in by_agents.items():
            self._ask(change, ranks, task, is_repeat)

    def _is_for_agent(self, one: tasks.Assignment) -> bool:
        own = t.cast(RankView, self._group.own)
        if one.rank == own.rank or one.is_direct:
            return False
        return one.rank in self._group.alive(boottime_ms())

    def _carry_out(self, change: changes.Change, one: tasks.Assignment) -> None:
        """Carry out a task at a rank from here."""
        own = t.cast(RankView, self._group.own)
        if one.rank == own.rank:
            work = self._carry_out_here(change, one.task)
        elif isinstance(one.task, tasks.Hold) and one.rank in self._group.alive(
            boottime_ms()
        ):
            work = self._hold_there(change, one.rank, one.task)
        else:
            work = self._carry_out_there(change, one)
        self._background.spawn(work)

    def _ask(
        self,
        change: changes.Change,
        ranks: t.Sequence[int],
        task: tasks.Task,
        is_repeat: bool = False,
    ) -> None:
        """Ask the agents of ranks to carry out a task there."""
        text = None
        if isinstance(task, tasks.Prepare):
            text = self._map_text(task, is_repeat)
        self._numbers += 1
        self._asked[self._numbers] = change.version
        ask = messages.ask(self._ip, self._numbers, change.epoch, task, text)
        self._sent_bytes += self.spread(ask, ranks)

    def _map_text(self, task: tasks.Prepare, is_repeat: bool) -> messages.MapText:
        """Return the text of a map; a whole one where its base may not be known."""
        # Whoever took part in the change to the map in use knows it.
        if is_repeat or self._base is None or self._spread_version != self._base[0]:
            return messages.map_text(task.map)
        return messages.map_text(task.map, self._base)

    def spread(self, ask: messages.Ask, ranks: t.Sequence[int]) -> int:
        """Send a task to the agents of ranks, a few of which pass it on to the others.

        Returns how many bytes were sent from here.
        """
        members = self._group.members
        known = [rank for rank in ranks if rank in members]
        self._random.shuffle(known)
        sent_bytes = 0
        message_bytes = len(messages.CODEC.encode(ask))
        most = spreading.fanout(message_bytes, self._link_mbps)
        for first, *rest in spreading.branches(known, most):
            passed = dataclasses.replace(ask, pass_on=tuple(rest))
            sent_bytes += self._send(members[first].heartbeat.ip, passed)
        return sent_bytes

    async def _hold_there(
        self, change: changes.Change, rank: int, task: tasks.Hold
    ) -> None:
        """Give the order to hold a pass, and have the agent there tell the outcome.

        A report that is read from afar costs more than one that its agent reads.
        """
        place = self._place_of(rank)
        if place is None:
            return
        client = direct_client(place)
        try:
            order = HoldStep(change.epoch, task.step)
            is_accepted = await give_once(client, order)
        finally:
            client.close()
        if is_accepted is not None:
            self._ask(change, [rank], tasks.Look())

    async def _carry_out_here(self, change: changes.Change, task: tasks.Task) -> None:
        try:
            self._hear(change, await carry_out(self._rank, change.epoch, task))
        except UpstreamError as error:
            self._on_silence(str(error))

    async def _carry_out_there(
        self, change: changes.Change, assignment: tasks.Assignment
    ) -> None:
        place = self._place_of(assignment.rank)
        if place is None:
            return
        rank = direct_client(place)
        try:
            self._hear(change, await carry_out(rank, change.epoch, assignment.task))
        except UpstreamError as error:
            events.emit(log, events.RANK_LOST, rank=assignment.rank, why=str(error))
        finally:
            rank.close()

    def _place_of(self, rank: int) -> Address | None:
        place = self._membership.members.ranks.get(rank)
        if place is None:
            events.emit(log, events.RANK_LOST, rank=rank, why="its address isn't known")
        return place

    def _hear(self, change: changes.Change, view: RankView) -> None:
        if change is self.change:
            changes.hear(boottime_ms(), change, view)
            self.advance()


def direct_client(place: Address) -> RankClient:
    """Return a client for a rank of another host."""
    return RankClient(place, DIRECT_TIMEOUT_MS, DIRECT_ORDER_TIMEOUT_MS)
