"""Measures a map change on a virtual clock: messages, processor time and delay."""

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
MAX_DURATION_MS = 20_000


@dataclasses.dataclass(frozen=True)
class Delays:
    """The simulated durations, in milliseconds.

    :param link_ms: delivery of a message from one agent to another.
    :param order_ms: round trip of an order or a read between agent and engine.
    :param step_ms: one step of all engines of the group.
    """

    link_ms: float = 0.5
    order_ms: float = 2
    step_ms: float = 27


@dataclasses.dataclass(frozen=True)
class Cost:
    """The cost of one map change.

    :param messages: number of messages between agents, by class name.
    :param result: how the proposal ended, or None if the proposing agent did not
        receive its result.
    :param resolved_ms: time from the proposal until no engine has the change staged.
    :param held_ms: delay that the change caused to the start of the step after the
        first one with the new map.
    :param decide_us: processor time of all agents in ``decide()`` from the proposal to
        the end of the run.
    :param most_us: processor time of the longest call of ``decide()``.
    :param idle_us_per_s: processor time in ``decide()`` per agent and second while no
        change is in progress.
    """

    messages: dict[str, int]
    result: ProposalResult | None
    resolved_ms: float
    held_ms: float
    decide_us: float
    most_us: float
    idle_us_per_s: float


class _Run:
    """A simulated group: the queue of events on its virtual clock, agents, engines."""

    def __init__(self, size: int, policy: Policy, delays: Delays) -> None:
        self.policy = policy
        self.delays = delays
        self.now_ms = 0.0
        self.queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.hosts = [f"h{index:03}" for index in range(size)]
        self.engines = {host: Engine(True) for host in self.hosts}
        self.agents: dict[str, State | None] = {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.result: ProposalResult | None = None
        self.decide_s: list[float] = []
        self.begun_ms: dict[int, float] = {}
        for number, host in enumerate(self.hosts):
            self.start(host, number + 1)

    def start(self, host: str, incarnation: int) -> None:
        self.agents[host] = new_state(host, self.hosts, incarnation, b"initial")

    def schedule(self, delay_ms: float, action: t.Callable[[], None]) -> None:
        heapq.heappush(
            self.queue, (self.now_ms + delay_ms, next(self.sequence), action)
        )

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.queue)
            action()
        self.now_ms = end_ms

    def tick(self) -> None:
        for host in self.hosts:
            self.dispatch(host, self.agents[host], Tick())
        self.schedule(TICK_MS, self.tick)

    def step(self) -> None:
        next_step = self.engines[self.hosts[0]].step + 1
        if all(engine.may_begin(next_step) for engine in self.engines.values()):
            for engine in self.engines.values():
                engine.begin(next_step)
            self.begun_ms[next_step] = self.now_ms
            self.schedule(self.delays.step_ms, self.step)
        else:
            self.schedule(self.delays.link_ms, self.step)

    def dispatch(self, host: str, agent: State | None, event: Event) -> None:
        if agent is None or agent is not self.agents[host]:
            return
        started_s = time.process_time()
        commands = decide(int(self.now_ms), agent, event, self.policy)
        self.decide_s.append(time.process_time() - started_s)
        for command in commands:
            self.execute(host, agent, command)

    def execute(self, host: str, agent: State, command: Command) -> None:
        half_ms = self.delays.order_ms / 2
        if isinstance(command, Send):
            self.messages[type(command.envelope.message).__name__] += 1
            event = Received(command.envelope)
            self.schedule(
                self.delays.link_ms, lambda: self.deliver(command.host, event)
            )
        elif isinstance(command, Order):
            self.schedule(half_ms, lambda: self.apply_order(host, agent, command))
        elif isinstance(command, Read):
            self.schedule(half_ms, lambda: self.read_engine(host, agent, command))
        elif isinstance(command, ProposalClosed):
            self.result = command.result

    def deliver(self, host: str, event: Received) -> None:
        self.dispatch(host, self.agents[host], event)

    def apply_order(self, host: str, agent: State, order: Order) -> None:
        refusal = self.engines[host].apply(order)
        done = OrderDone(order.order_id, refusal)
        self.schedule(
            self.delays.order_ms / 2, lambda: self.dispatch(host, agent, done)
        )

    def read_engine(self, host: str, agent: State, read: Read) -> None:
        done = ReadDone(read.read_id, self.engines[host].view())
        self.schedule(
            self.delays.order_ms / 2, lambda: self.dispatch(host, agent, done)
        )

    def is_change_staged(self) -> bool:
        return any(engine.staged is not None for engine in self.engines.values())


def measure(
    size: int,
    policy: Policy,
    delays: Delays = Delays(),
    proposer_dies_after_ms: float | None = None,
    proposer_returns_after_ms: float = 2_000,
) -> Cost:
    """Run one map change in a group of ``size`` hosts and return its cost.

    :param proposer_dies_after_ms: time from the proposal until the proposing agent is
        killed. None keeps it running.
    :param proposer_returns_after_ms: time from the proposal until a killed agent starts
        again. Its engine keeps running.
    """
    run = _Run(size, policy, delays)
    run.tick()
    run.step()
    run.run(SETTLE_MS)
    idle_us_per_s = _measure_idle_us_per_s(run)
    run.messages.clear()
    run.decide_s.clear()
    first_step = run.engines[run.hosts[0]].step
    proposer = run.hosts[-1]
    begin_ms = run.now_ms
    run.dispatch(proposer, run.agents[proposer], Propose(0, b"next"))
    if proposer_dies_after_ms is not None:
        run.schedule(
            proposer_dies_after_ms, lambda: run.agents.update({proposer: None})
        )
        run.schedule(proposer_returns_after_ms, lambda: run.start(proposer, size + 1))
    resolved_ms = _run_until_begun(run, first_step + policy.lead_steps + 1) - begin_ms
    spent_us = [1e6 * spent for spent in run.decide_s]
    return Cost(
        messages=dict(run.messages),
        result=run.result,
        resolved_ms=resolved_ms,
        held_ms=_delay_ms(run, first_step, first_step + policy.lead_steps + 1, delays),
        decide_us=sum(spent_us),
        most_us=max(spent_us),
        idle_us_per_s=idle_us_per_s,
    )


def _measure_idle_us_per_s(run: _Run) -> float:
    run.decide_s.clear()
    run.run(1_000)
    return 1e6 * sum(run.decide_s) / len(run.hosts)


def _run_until_begun(run: _Run, goal_step: int) -> float:
    """Run until ``goal_step`` has begun, or for MAX_DURATION_MS.

    :return: the last time at which an engine had a change staged.
    """
    limit_ms = run.now_ms + MAX_DURATION_MS
    resolved_ms = run.now_ms
    while run.now_ms < limit_ms and goal_step not in run.begun_ms:
        run.run(0.5)
        if run.is_change_staged():
            resolved_ms = run.now_ms
    return resolved_ms


def _delay_ms(run: _Run, first_step: int, goal_step: int, delays: Delays) -> float:
    """Return how much later ``goal_step`` began than without a change."""
    elapsed_ms = run.begun_ms.get(goal_step, run.now_ms) - run.begun_ms[first_step]
    return elapsed_ms - (goal_step - first_step) * delays.step_ms
