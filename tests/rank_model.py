"""A simulation of a group of ranks, its agents and their orders, with random faults.

It runs the package's change and participant code on a simulated clock. Answers to
orders are lost and orders are executed seconds late. Agents die, freeze and are
replaced. Groups form anew.
"""

import dataclasses
import random
import types
import typing as t

from dotterelplank.errors import UpstreamError
from dotterelplank.ranks import change as changes, participant, phases, versions
from dotterelplank.ranks.group import Group
from dotterelplank.ranks.holds import ORPHANED_HOLD_TIMEOUT_MS
from dotterelplank.ranks.messages import Heartbeat
from dotterelplank.ranks.views import (
    Armed,
    ArmMap,
    Counts,
    DisarmMap,
    HoldStep,
    Order,
    PrepareMap,
    RankRows,
    RankView,
    ReleaseStep,
)

DELAY_RANGE_MS = (2_000, 12_000)
MAP = [[[0], [1], [2]]]
EXPERTS = 3


class MapsDifferError(Exception):
    """Raised when a pass begins while ranks use different maps."""


@dataclasses.dataclass
class ModelRank:
    """A model of a rank that follows the platform's documentation."""

    rank: int
    size: int
    epoch: int = 1
    step: int = 0
    map_version: int = 0
    highest: int = 0
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    group: str = "g"

    def view(self) -> RankView:
        return RankView(
            self.group,
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
    """Replace ``asyncio.sleep`` in the simulation, without a delay."""
    await _pause()


@dataclasses.dataclass
class _RankProxy:
    """The interface by which an agent reaches a rank."""

    world: "World"
    rank: int

    async def view(self) -> RankView:
        await _pause()
        self.world.check_reachable(self.rank)
        return self.world.ranks[self.rank].view()

    async def rows(self) -> RankRows:
        view = await self.view()
        rows = [layer[self.rank] for layer in MAP]
        return RankRows(view.epoch, view.map_version, rows)

    async def counts(self) -> Counts:
        view = await self.view()
        return Counts(view.epoch, view.step, [0] * EXPERTS)

    async def send_order(self, order: Order) -> bool:
        await _pause()
        self.world.check_reachable(self.rank)
        return self.world.send_order(self.rank, order)


@dataclasses.dataclass
class Agent:
    """The agent of a rank; an agent that replaces another one starts without state."""

    rank: int
    group: Group = dataclasses.field(default_factory=Group)
    change: changes.Change | None = None
    frozen_until_ms: float = 0.0
    held_since_ms: float | None = None


@dataclasses.dataclass
class World:
    """The simulated group with its agents.

    :param p_late: probability that an order is executed late and not answered.
    :param p_lost: probability that the answer to an order is lost.
    :param p_death: probability per tick that an agent dies; freezes and the forming of
        a new group depend on it as well.
    :param planners: number of agents that begin changes. There may be more than one, as
        an agent that gets no heartbeats takes itself for the leader.
    :param hold_limit_ms: how long a rank may hold a pass before its agent resolves the
        hold.
    :ivar switches: number of changes that switched the map.
    :ivar voids: number of changes that were aborted.
    :ivar takeovers: number of holds that the agents of their ranks began to resolve.
    :ivar leader_takeovers: number of holds that other agents began to resolve.
    """

    seed: int
    size: int = 3
    p_late: float = 0.3
    p_lost: float = 0.1
    p_death: float = 0.002
    planners: int = 3
    hold_limit_ms: float = ORPHANED_HOLD_TIMEOUT_MS
    now_ms: float = 0.0
    switches: int = 0
    voids: int = 0
    takeovers: int = 0
    leader_takeovers: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.ranks = [ModelRank(rank, self.size) for rank in range(self.size)]
        self.agents = [Agent(rank) for rank in range(self.size)]
        self.delayed_orders: list[tuple[float, int, Order]] = []
        self.running_tasks: list[tuple[Agent, changes.Change, t.Any]] = []
        self.frozen_hosts: dict[int, float] = {}

    def freeze_host(self, rank: int, until_ms: float) -> None:
        """Freeze an agent and the answers of its rank, which still runs passes."""
        self.frozen_hosts[rank] = until_ms
        self.agents[rank].frozen_until_ms = until_ms

    def check_reachable(self, rank: int) -> None:
        """Raise an error if the host of a rank is frozen.

        :raises UpstreamError: if it is.
        """
        if self.frozen_hosts.get(rank, 0.0) > self.now_ms:
            raise UpstreamError("the host is frozen", sent=False)

    def send_order(self, rank: int, order: Order) -> bool:
        """Execute an order now or late; return whether the rank accepted it.

        :raises UpstreamError: if the order isn't answered.
        """
        draw = self.random.random()
        if draw < self.p_late:
            due_ms = self.now_ms + self.random.uniform(*DELAY_RANGE_MS)
            self.delayed_orders.append((due_ms, rank, order))
            raise UpstreamError("late", sent=True)
        is_accepted = self.ranks[rank].apply(order)
        if draw < self.p_late + self.p_lost:
            raise UpstreamError("lost", sent=True)
        return is_accepted

    def run(self, ticks: int) -> None:
        """Run ``ticks`` ticks."""
        for _ in range(ticks):
            self.tick()

    def tick(self) -> None:
        """Advance the clock, continue some tasks and trigger one random event."""
        self.now_ms += self.random.choice((1, 2, 5, 20))
        self._apply_delayed()
        for _ in range(self.random.randrange(2 * len(self.running_tasks) + 1)):
            self._run_one()
        draw = self.random.random()
        if draw < 0.2:
            self._begin_pass()
        elif draw < 0.9:
            self._drive(self.random.choice(self.agents))
        elif draw < 0.9 + self.p_death:
            self._kill(self.random.choice(self.agents))
        elif draw < 0.9 + self.p_death * 1.5:
            agent = self.random.choice(self.agents)
            until_ms = self.now_ms + self.random.uniform(500, 6_000)
            if self.random.random() < 0.5:
                self.freeze_host(agent.rank, until_ms)
            else:
                agent.frozen_until_ms = until_ms
        elif draw < 0.9 + self.p_death * 1.6:
            self._reform()

    def _apply_delayed(self) -> None:
        due = [entry for entry in self.delayed_orders if entry[0] <= self.now_ms]
        self.delayed_orders = [
            entry for entry in self.delayed_orders if entry[0] > self.now_ms
        ]
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
        if not self.running_tasks:
            return
        index = self.random.randrange(len(self.running_tasks))
        agent, change, work = self.running_tasks[index]
        if agent.frozen_until_ms > self.now_ms:
            return
        try:
            work.send(None)
        except StopIteration as ended:
            del self.running_tasks[index]
            if agent.change is change and self.random.random() > 0.05:
                changes.record_view(self.now_ms, change, ended.value)
        except UpstreamError:
            del self.running_tasks[index]

    def _drive(self, agent: Agent) -> None:
        if agent.frozen_until_ms > self.now_ms:
            return
        if agent.group.on_view(self.now_ms, self.ranks[agent.rank].view()):
            agent.change = None
        for other in self.ranks:
            if self.agents[other.rank].frozen_until_ms > self.now_ms:
                continue
            heartbeat = Heartbeat(
                str(other.rank), "s", 1, int(self.now_ms), other.view(), True, True
            )
            agent.group.on_heartbeat(self.now_ms, heartbeat)
        if agent.change is None:
            self._begin(agent)
        change = agent.change
        if change is None:
            return
        for assignment in phases.advance(self.now_ms, change):
            proxy = _RankProxy(self, assignment.rank)
            work = participant.execute(proxy, change.formation, assignment.task)
            self.running_tasks.append((agent, change, work))
        agent.group.last_change_step = max(agent.group.last_change_step, change.step)
        if change.outcome is not None:
            self.switches += change.outcome is changes.Outcome.SWITCHED
            self.voids += change.outcome is changes.Outcome.VOIDED
            agent.change = None

    def _begin(self, agent: Agent) -> None:
        own = self.ranks[agent.rank].view()
        nonce = self.random.getrandbits(versions.NONCE_BITS)
        version = agent.group.new_version(nonce)
        if self._is_orphaned(agent, own):
            agent.group.last_change_step = max(agent.group.last_change_step, own.held)
            agent.change = changes.take_over(
                self.now_ms, own.formation, own.size, own.rank, own.held, version
            )
            self.takeovers += 1
        elif agent.group.is_stalled(self.now_ms) and self.random.random() < 0.3:
            self._take_over_elsewhere(agent, version)
        elif agent.rank >= self.planners:
            return
        elif agent.group.may_begin_change(self.now_ms) and self.random.random() < 0.3:
            min_step = agent.group.last_change_step + 1
            agent.change = changes.begin(self.now_ms, own, version, MAP, 10.0, min_step)

    def _is_orphaned(self, agent: Agent, own: RankView) -> bool:
        if own.held is None or own.step >= own.held:
            agent.held_since_ms = None
            return False
        if agent.held_since_ms is None:
            agent.held_since_ms = self.now_ms
        return self.now_ms - agent.held_since_ms >= self.hold_limit_ms

    def _take_over_elsewhere(self, agent: Agent, version: int) -> None:
        """Let an agent resolve the first hold of any rank."""
        for rank in self.ranks:
            if rank.held is not None and rank.held > rank.step:
                agent.group.last_change_step = max(
                    agent.group.last_change_step, rank.held
                )
                agent.change = changes.take_over(
                    self.now_ms,
                    rank.view().formation,
                    rank.size,
                    rank.rank,
                    rank.held,
                    version,
                )
                self.leader_takeovers += 1
                return

    def _kill(self, agent: Agent) -> None:
        """Replace an agent; its tasks may continue to run."""
        if self.frozen_hosts.get(agent.rank, 0.0) > self.now_ms:
            return
        self.agents[agent.rank] = Agent(agent.rank)

    def _reform(self) -> None:
        epoch = self.ranks[0].epoch + 1
        step = self.ranks[0].step
        self.ranks = [
            ModelRank(rank, self.size, epoch, step) for rank in range(self.size)
        ]

    def stop_faults(self) -> None:
        """End all faults, except for late orders that have already been sent."""
        self.p_late = self.p_lost = self.p_death = 0.0
        for agent in self.agents:
            agent.frozen_until_ms = 0.0
        self.frozen_hosts.clear()
