"""The cost of a change of map on a virtual clock: messages, processor time, delay."""

import collections
import dataclasses
import heapq
import itertools
import time
import typing as t

from ..maps.change import decide
from ..maps.messages import (
    Command,
    Event,
    Order,
    OrderDone,
    ProposalClosed,
    ProposalResult,
    Propose,
    Read,
    ReadDone,
    Received,
    Send,
    Tick,
)
from ..maps.state import Policy, State, new_state
from .mapengine import Engine

TICK_MS = 25
SETTLE_MS = 3_000
LIMIT_MS = 20_000


@dataclasses.dataclass(frozen=True)
class Delays:
    """What things take, in milliseconds.

    :param link_ms: a message from one agent to another.
    :param order_ms: an order or a read, to the engine and back.
    :param step_ms: a step of the group.
    """

    link_ms: float = 0.5
    order_ms: float = 2
    step_ms: float = 27


@dataclasses.dataclass(frozen=True)
class Cost:
    """What one change of map took.

    :param messages: messages between agents, by kind.
    :param result: how the proposal ended, none if its agent died.
    :param resolved_ms: from the proposal until no engine has it staged.
    :param held_ms: how much later than without a change the step after the first
        one with the new map began.
    :param decide_us: processor time in decisions until then, of all agents together.
    :param most_us: the longest decision.
    :param idle_us_per_s: processor time in decisions of one agent without a change.
    """

    messages: dict[str, int]
    result: ProposalResult | None
    resolved_ms: float
    held_ms: float
    decide_us: float
    most_us: float
    idle_us_per_s: float


class _Run:
    def __init__(self, size: int, policy: Policy, delays: Delays) -> None:
        self.policy = policy
        self.delays = delays
        self.now_ms = 0.0
        self.queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self.order = itertools.count()
        self.hosts = [f"h{index:03}" for index in range(size)]
        self.engines = {host: Engine(True) for host in self.hosts}
        self.agents: dict[str, State | None] = {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.result: ProposalResult | None = None
        self.spent_s: list[float] = []
        self.begun_ms: dict[int, float] = {}
        for number, host in enumerate(self.hosts):
            self.start(host, number + 1)

    def start(self, host: str, incarnation: int) -> None:
        self.agents[host] = new_state(host, self.hosts, incarnation, b"initial")

    def at(self, delay_ms: float, act: t.Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now_ms + delay_ms, next(self.order), act))

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, act = heapq.heappop(self.queue)
            act()
        self.now_ms = end_ms

    def tick(self) -> None:
        for host in self.hosts:
            self.feed(host, self.agents[host], Tick())
        self.at(TICK_MS, self.tick)

    def step(self) -> None:
        following = self.engines[self.hosts[0]].step + 1
        if all(engine.may_begin(following) for engine in self.engines.values()):
            for engine in self.engines.values():
                engine.begin(following)
            self.begun_ms[following] = self.now_ms
            self.at(self.delays.step_ms, self.step)
        else:
            self.at(self.delays.link_ms, self.step)

    def feed(self, host: str, agent: State | None, event: Event) -> None:
        if agent is None or agent is not self.agents[host]:
            return
        begin_s = time.process_time()
        commands = decide(int(self.now_ms), agent, event, self.policy)
        self.spent_s.append(time.process_time() - begin_s)
        for command in commands:
            self.carry_out(host, agent, command)

    def carry_out(self, host: str, agent: State, command: Command) -> None:
        half_ms = self.delays.order_ms / 2
        if isinstance(command, Send):
            self.messages[type(command.envelope.message).__name__] += 1
            event = Received(command.envelope)
            self.at(self.delays.link_ms, lambda: self.deliver(command.host, event))
        elif isinstance(command, Order):
            self.at(half_ms, lambda: self.land(host, agent, command))
        elif isinstance(command, Read):
            self.at(half_ms, lambda: self.read(host, agent, command))
        elif isinstance(command, ProposalClosed):
            self.result = command.result

    def deliver(self, host: str, event: Received) -> None:
        self.feed(host, self.agents[host], event)

    def land(self, host: str, agent: State, order: Order) -> None:
        refusal = self.engines[host].apply(order)
        done = OrderDone(order.order_id, refusal)
        self.at(self.delays.order_ms / 2, lambda: self.feed(host, agent, done))

    def read(self, host: str, agent: State, read: Read) -> None:
        done = ReadDone(read.read_id, self.engines[host].view())
        self.at(self.delays.order_ms / 2, lambda: self.feed(host, agent, done))

    def is_open(self) -> bool:
        return any(engine.staged is not None for engine in self.engines.values())


def measure(
    size: int,
    policy: Policy,
    delays: Delays = Delays(),
    proposer_dies_after_ms: float | None = None,
    proposer_returns_after_ms: float = 2_000,
) -> Cost:
    """Run one change of map in a group of ``size`` hosts and return its cost.

    :param proposer_dies_after_ms: when the proposing agent is killed, if it is.
    :param proposer_returns_after_ms: when it starts again beside its engine.
    """
    run = _Run(size, policy, delays)
    run.tick()
    run.step()
    run.run(SETTLE_MS)
    idle_us_per_s = _idle(run)
    run.messages.clear()
    run.spent_s.clear()
    first = run.engines[run.hosts[0]].step
    proposer = run.hosts[-1]
    begin_ms = run.now_ms
    run.feed(proposer, run.agents[proposer], Propose(0, b"next"))
    if proposer_dies_after_ms is not None:
        run.at(proposer_dies_after_ms, lambda: run.agents.update({proposer: None}))
        run.at(proposer_returns_after_ms, lambda: run.start(proposer, size + 1))
    resolved_ms = _until_resolved(run, first + policy.lead_steps + 1) - begin_ms
    spent_us = [1e6 * spent for spent in run.spent_s]
    return Cost(
        messages=dict(run.messages),
        result=run.result,
        resolved_ms=resolved_ms,
        held_ms=_held(run, first, first + policy.lead_steps + 1, delays),
        decide_us=sum(spent_us),
        most_us=max(spent_us),
        idle_us_per_s=idle_us_per_s,
    )


def _idle(run: _Run) -> float:
    run.spent_s.clear()
    run.run(1_000)
    return 1e6 * sum(run.spent_s) / len(run.hosts)


def _until_resolved(run: _Run, goal_step: int) -> float:
    limit_ms = run.now_ms + LIMIT_MS
    resolved_ms = run.now_ms
    while run.now_ms < limit_ms and goal_step not in run.begun_ms:
        run.run(0.5)
        if run.is_open():
            resolved_ms = run.now_ms
    return resolved_ms


def _held(run: _Run, first: int, goal: int, delays: Delays) -> float:
    passed_ms = run.begun_ms.get(goal, run.now_ms) - run.begun_ms[first]
    return passed_ms - (goal - first) * delays.step_ms
