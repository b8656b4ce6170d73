"""A group of ranks, its agents and their orders, under random faults, on one clock.

It drives the package's own change and participant code. Orders may be lost, doubled or
carried out seconds late; agents die, stand still and are replaced; groups form anew.
"""

import dataclasses
import random
import types
import typing as t

from dotterelplank.errors import UpstreamError
from dotterelplank.ranks import change as changes, participant, versions
from dotterelplank.ranks.group import Group
from dotterelplank.ranks.holds import FORGOTTEN_HOLD_MS
from dotterelplank.ranks.messages import Heartbeat
from dotterelplank.ranks.views import (
    Armed,
    ArmMap,
    Counts,
    DisarmMap,
    HoldStep,
    Order,
    OwnPart,
    PrepareMap,
    RankView,
    ReleaseStep,
)

LATE_MS = (2_000, 12_000)
MAP = [[[0], [1], [2]]]
EXPERTS = 3


class MapsDifferError(Exception):
    """A pass began with different maps."""


@dataclasses.dataclass
class ModelRank:
    """A rank as the platform's pages describe it."""

    rank: int
    size: int
    epoch: int = 1
    step: int = 0
    map_version: int = 0
    highest: int = 0
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None

    def view(self) -> RankView:
        return RankView(
            "g",
            self.epoch,
            self.rank,
            self.size,
            True,
            self.step,
            self.map_version,
            self.prepared,
            self.armed,
            self.held,
            1,
        )

    def apply(self, order: Order) -> bool:
        if order.epoch != self.epoch:
            return False
        match order:
            case PrepareMap():
                if order.version <= self.highest or self.armed is not None:
                    return False
                self.highest = self.prepared = order.version
            case ArmMap():
                if self.prepared != order.version or order.step <= self.step:
                    return False
                self.armed = Armed(order.version, order.step)
            case DisarmMap():
                if self.armed is not None and self.armed.version == order.version:
                    self.armed = None
            case HoldStep():
                if order.step <= self.step or self.held not in (None, order.step):
                    return False
                self.held = order.step
            case ReleaseStep():
                if self.held == order.step:
                    self.held = None
        return True

    def begin_pass(self) -> None:
        self.step += 1
        if self.armed is not None and self.armed.step == self.step:
            self.map_version = self.armed.version
            self.prepared = self.armed = None


@types.coroutine
def _pause() -> t.Generator[None, None, None]:
    yield


async def sleep(_delay_s: float) -> None:
    """Stands in for asyncio's sleep while the model runs."""
    await _pause()


@dataclasses.dataclass
class _Reach:
    """A rank as an agent reaches it."""

    world: "World"
    rank: int

    async def view(self) -> RankView:
        await _pause()
        self.world.reach(self.rank)
        return self.world.ranks[self.rank].view()

    async def rows(self) -> OwnPart:
        view = await self.view()
        rows = [layer[self.rank] for layer in MAP]
        return OwnPart(view.epoch, view.map_version, rows)

    async def counts(self) -> Counts:
        view = await self.view()
        return Counts(view.epoch, view.step, [0] * EXPERTS)

    async def give(self, order: Order) -> bool:
        await _pause()
        self.world.reach(self.rank)
        return self.world.give(self.rank, order)


@dataclasses.dataclass
class Agent:
    """The agent of a rank; a new one knows nothing of the one before."""

    rank: int
    group: Group = dataclasses.field(default_factory=Group)
    change: changes.Change | None = None
    frozen_until_ms: float = 0.0
    held_since_ms: float | None = None


@dataclasses.dataclass
class World:
    """All of it.

    :param late: share of the orders that are carried out late, unanswered.
    :param lost: share of the orders whose answer is lost.
    :param patience_ms: how long an agent leaves a pass held at its rank for which it
        knows of no change.
    :param planners: agents that begin changes; more than one, as each may think that
        it alone lives.
    """

    seed: int
    size: int = 3
    late: float = 0.3
    lost: float = 0.1
    deaths: float = 0.002
    planners: int = 3
    patience_ms: float = FORGOTTEN_HOLD_MS
    now_ms: float = 0.0
    switches: int = 0
    voids: int = 0
    takeovers: int = 0
    rescues: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.ranks = [ModelRank(rank, self.size) for rank in range(self.size)]
        self.agents = [Agent(rank) for rank in range(self.size)]
        self.coming: list[tuple[float, int, Order]] = []
        self.running: list[tuple[Agent, changes.Change, t.Any]] = []
        self.frozen_hosts: dict[int, float] = {}

    def freeze_host(self, rank: int, until_ms: float) -> None:
        """Let an agent stand still, and its rank answer nobody, but make passes."""
        self.frozen_hosts[rank] = until_ms
        self.agents[rank].frozen_until_ms = until_ms

    def reach(self, rank: int) -> None:
        """Fail if a rank answers nobody now."""
        if self.frozen_hosts.get(rank, 0.0) > self.now_ms:
            raise UpstreamError("the host stands still", sent=False)

    def give(self, rank: int, order: Order) -> bool:
        """Carry an order out now, later, or without an answer."""
        draw = self.random.random()
        if draw < self.late:
            due_ms = self.now_ms + self.random.uniform(*LATE_MS)
            self.coming.append((due_ms, rank, order))
            raise UpstreamError("late", sent=True)
        is_accepted = self.ranks[rank].apply(order)
        if draw < self.late + self.lost:
            raise UpstreamError("lost", sent=True)
        return is_accepted

    def run(self, turns: int) -> None:
        """Let ``turns`` random things happen."""
        for _ in range(turns):
            self.turn()

    def turn(self) -> None:
        """Let one random thing happen."""
        self.now_ms += self.random.choice((1, 2, 5, 20))
        self._carry_out_late()
        for _ in range(self.random.randrange(2 * len(self.running) + 1)):
            self._run_one()
        draw = self.random.random()
        if draw < 0.2:
            self._begin_pass()
        elif draw < 0.9:
            self._drive(self.random.choice(self.agents))
        elif draw < 0.9 + self.deaths:
            self._kill(self.random.choice(self.agents))
        elif draw < 0.9 + self.deaths * 1.5:
            agent = self.random.choice(self.agents)
            until_ms = self.now_ms + self.random.uniform(500, 6_000)
            if self.random.random() < 0.5:
                self.freeze_host(agent.rank, until_ms)
            else:
                agent.frozen_until_ms = until_ms
        elif draw < 0.9 + self.deaths * 1.6:
            self._reform()

    def _carry_out_late(self) -> None:
        due = [one for one in self.coming if one[0] <= self.now_ms]
        self.coming = [one for one in self.coming if one[0] > self.now_ms]
        for _, rank, order in due:
            self.ranks[rank].apply(order)

    def _begin_pass(self) -> None:
        step = self.ranks[0].step + 1
        if any(rank.held == step for rank in self.ranks):
            return
        for rank in self.ranks:
            rank.begin_pass()
        if len({rank.map_version for rank in self.ranks}) != 1:
            raise MapsDifferError([rank.view() for rank in self.ranks])

    def _run_one(self) -> None:
        if not self.running:
            return
        index = self.random.randrange(len(self.running))
        agent, change, work = self.running[index]
        if agent.frozen_until_ms > self.now_ms:
            return
        try:
            work.send(None)
        except StopIteration as ended:
            del self.running[index]
            if agent.change is change and self.random.random() > 0.05:
                changes.hear(self.now_ms, change, ended.value)
        except UpstreamError:
            del self.running[index]

    def _drive(self, agent: Agent) -> None:
        if agent.frozen_until_ms > self.now_ms:
            return
        if agent.group.see(self.now_ms, self.ranks[agent.rank].view()):
            agent.change = None
        for other in self.ranks:
            if self.agents[other.rank].frozen_until_ms > self.now_ms:
                continue
            heartbeat = Heartbeat(
                str(other.rank), "s", 1, int(self.now_ms), other.view(), True, True
            )
            agent.group.hear(self.now_ms, heartbeat)
        if agent.change is None:
            self._begin(agent)
        change = agent.change
        if change is None:
            return
        for assignment in changes.advance(self.now_ms, change):
            reach = _Reach(self, assignment.rank)
            work = participant.carry_out(reach, change.epoch, assignment.task)
            self.running.append((agent, change, work))
        agent.group.used_step = max(agent.group.used_step, change.step)
        if change.outcome is not None:
            self.switches += change.outcome is changes.Outcome.SWITCHED
            self.voids += change.outcome is changes.Outcome.VOIDED
            agent.change = None

    def _begin(self, agent: Agent) -> None:
        own = self.ranks[agent.rank].view()
        draw = self.random.getrandbits(versions.DRAW_BITS)
        version = agent.group.new_version(draw)
        if self._is_forgotten(agent, own):
            agent.group.used_step = max(agent.group.used_step, own.held)
            agent.change = changes.take_over(
                self.now_ms, own.epoch, own.size, own.rank, own.held, version
            )
            self.takeovers += 1
        elif agent.group.is_stalled(self.now_ms) and self.random.random() < 0.3:
            self._rescue(agent, version)
        elif agent.rank >= self.planners:
            return
        elif agent.group.is_calm(self.now_ms) and self.random.random() < 0.3:
            least_step = agent.group.used_step + 1
            agent.change = changes.begin(
                self.now_ms, own, version, MAP, 10.0, least_step
            )

    def _is_forgotten(self, agent: Agent, own: RankView) -> bool:
        if own.held is None or own.step >= own.held:
            agent.held_since_ms = None
            return False
        if agent.held_since_ms is None:
            agent.held_since_ms = self.now_ms
        return self.now_ms - agent.held_since_ms >= self.patience_ms

    def _rescue(self, agent: Agent, version: int) -> None:
        """Let an agent clear up a pass that another rank holds."""
        for rank in self.ranks:
            if rank.held is not None and rank.held > rank.step:
                agent.group.used_step = max(agent.group.used_step, rank.held)
                agent.change = changes.take_over(
                    self.now_ms,
                    rank.epoch,
                    rank.size,
                    rank.rank,
                    rank.held,
                    version,
                )
                self.rescues += 1
                return

    def _kill(self, agent: Agent) -> None:
        """Replace an agent; what it had sent to its own rank may still be running."""
        if self.frozen_hosts.get(agent.rank, 0.0) > self.now_ms:
            return
        self.agents[agent.rank] = Agent(agent.rank)

    def _reform(self) -> None:
        epoch = self.ranks[0].epoch + 1
        step = self.ranks[0].step
        self.ranks = [
            ModelRank(rank, self.size, epoch, step) for rank in range(self.size)
        ]

    def calm(self) -> None:
        """End all faults, but for late orders that are on their way."""
        self.late = self.lost = self.deaths = 0.0
        for agent in self.agents:
            agent.frozen_until_ms = 0.0
        self.frozen_hosts.clear()
