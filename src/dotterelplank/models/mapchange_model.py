"""A model of the map change protocol: agents, fake engines and faulty links.

:mod:`dotterelplank.models.mapchange_checks` checks the invariants of the protocol
after each action. :mod:`dotterelplank.models.soak` and the tests choose the actions.
"""

import collections
import dataclasses

from ..errors import InvariantError
from ..maps.change import decide
from ..maps.messages import (
    Command,
    EngineView,
    Envelope,
    Event,
    Order,
    OrderDone,
    OrderUnanswered,
    ProposalClosed,
    Propose,
    Read,
    ReadDone,
    ReadUnanswered,
    Received,
    Report,
    ResolveOrder,
    Send,
    Stop,
    Tick,
)
from ..maps.state import Policy, State, new_state
from .mapchange_checks import Checks
from .mapengine import Engine

INCARNATION_INCREMENT = 1000
_TRACE_LENGTH = 60


@dataclasses.dataclass
class Agent:
    """A process of an agent, which controls the engine of its host.

    :param serial: a number that no other process of the model has.
    :param paused: whether the process is stopped and its events wait in ``inbox``.
    """

    serial: int
    state: State
    paused: bool = False
    inbox: collections.deque[Event] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass
class OpenOrder:
    """An order that the engine of ``host`` has not received yet.

    :param serial: serial number of the agent that sent the order.
    :param applied_by_ms: time at which the order is applied at the latest. None while
        the agent waits for the answer.
    """

    host: str
    serial: int
    order: Order
    applied_by_ms: int | None = None


@dataclasses.dataclass
class OpenRead:
    """A read of an engine's state that the agent has no answer to yet.

    :param view: what the engine reported. None until the read reaches the engine.
    """

    host: str
    serial: int
    read_id: int
    view: EngineView | None = None


@dataclasses.dataclass(frozen=True)
class OpenMessage:
    """A message that ``host`` has not received yet."""

    host: str
    envelope: Envelope


class Model:
    """A group of agents and engines, the links between the agents, and a clock.

    :param size: number of hosts.
    :param fences: whether the engines refuse orders with an old fencing token.
    :param held: messages that are held back until :meth:`release` or :meth:`mend`.
    :param blocked: message classes and destination hosts whose messages are held back.
    :param stalled: time at which each stalled engine stopped, by host.
    :param superseded: paused processes that were replaced, with their hosts.
    :param reach: how often each kind of event occurred.
    :param trace: the last actions, newest last.
    """

    def __init__(self, size: int, fences: bool, policy: Policy) -> None:
        self.policy = policy
        self.now_ms = 0
        self.hosts = [f"h{index}" for index in range(size)]
        self.fences = fences
        self.engines = {host: Engine(fences) for host in self.hosts}
        self.agents: dict[str, Agent | None] = {}
        self.messages: list[OpenMessage] = []
        self.held: list[OpenMessage] = []
        self.orders: list[OpenOrder] = []
        self.reads: list[OpenRead] = []
        self.blocked: set[tuple[type, str]] = set()
        self.stalled: dict[str, int] = {}
        self.superseded: list[tuple[str, Agent]] = []
        self.cuts: set[frozenset[str]] = set()
        self.reach: collections.Counter[str] = collections.Counter()
        self.trace: collections.deque[str] = collections.deque(maxlen=_TRACE_LENGTH)
        self.checks = Checks(self.engines, self.reach)
        self.serial_by_incarnation: dict[tuple[str, int], int] = {}
        self.serial = 0
        self.proposal_count = 0
        for host in self.hosts:
            self.agents[host] = None
            self.start(host)

    # Agents

    def start(self, host: str, is_set_back: bool = False) -> None:
        """Start an agent without the state of earlier processes.

        :param is_set_back: whether the clock was set back, so that the incarnation may
            be lower than that of an earlier process.
        """
        self._note(f"start {host}{' set back' if is_set_back else ''}")
        self.reach["clocks set back"] += is_set_back
        self.serial += 1
        increment = 1 if is_set_back else INCARNATION_INCREMENT
        self.agents[host] = Agent(
            self.serial,
            new_state(
                host,
                self.hosts,
                self.serial * increment,
                f"initial {self.serial}".encode(),
            ),
        )

    def crash(self, host: str) -> None:
        """Kill the agent. Its engine may still apply orders that were sent before."""
        agent = self.agents[host]
        if agent is None:
            return
        self._note(f"crash {host}")
        self.reach["crashes"] += 1
        self.agents[host] = None
        if agent.paused:
            self.superseded.append((host, agent))
        self.reads = [read for read in self.reads if read.serial != agent.serial]
        for entry in self.orders:
            if entry.serial == agent.serial and entry.applied_by_ms is None:
                entry.applied_by_ms = self.now_ms + self.policy.order_expiry_ms

    def pause(self, host: str) -> None:
        """Pause the agent's process until :meth:`wake`."""
        agent = self.agents[host]
        if agent is not None and not agent.paused:
            self._note(f"pause {host}")
            self.reach["pauses"] += 1
            agent.paused = True

    def wake(self, host: str) -> None:
        """Resume a paused agent, which then handles the events in its inbox."""
        agent = self.agents[host]
        if agent is None or not agent.paused:
            return
        self._note(f"wake {host}")
        agent.paused = False
        while agent.inbox and agent is self.agents[host]:
            self._decide(host, agent, agent.inbox.popleft())

    def replace(self, host: str) -> None:
        """Replace the host: a new engine and a new agent start without state."""
        self._note(f"replace {host}")
        self.reach["hosts replaced"] += 1
        self.crash(host)
        self._replace_engine(host)
        self.start(host)

    def kill_engine(self, host: str) -> None:
        """Replace the engine by a new one without state. The agent keeps running."""
        self._note(f"kill engine {host}")
        self.reach["engines killed"] += 1
        self._replace_engine(host)

    def stall(self, host: str) -> None:
        """Stop an engine: it answers no order or read and begins no step."""
        self._note(f"stall {host}")
        self.reach["engines stalled"] += 1
        self.stalled.setdefault(host, self.now_ms)

    def unstall(self, host: str) -> None:
        """Resume a stalled engine.

        After a stall of at most ``max_view_age_ms``, the engine applies its overdue
        orders at once. After a longer one, each order that no agent waits for may
        still be applied during another ``order_expiry_ms``.
        """
        stalled_at_ms = self.stalled.pop(host, None)
        if stalled_at_ms is None:
            return
        self._note(f"unstall {host}")
        if self.now_ms - stalled_at_ms <= self.policy.max_view_age_ms:
            self._apply_overdue_orders()
            return
        for entry in self.orders:
            if entry.host == host and entry.applied_by_ms is not None:
                entry.applied_by_ms = self.now_ms + self.policy.order_expiry_ms

    def stir(self, index: int) -> None:
        """Let a paused process that was replaced handle its inbox and send messages.

        The platform ends a process before it starts the next one in the same slot, so
        the process sends no more orders to its engine.
        """
        if not self.superseded:
            return
        index %= len(self.superseded)
        host, agent = self.superseded[index]
        self._note(f"stir {host}")
        self.reach["ghosts stirred"] += 1
        try:
            self._process_pending(host, agent)
        except InvariantError:
            # The process found that its engine was replaced, and exits.
            self.reach["ghosts ended"] += 1
            self.superseded.pop(index)

    def _process_pending(self, host: str, agent: Agent) -> None:
        view = self.engines[host].view()
        read = ReadDone(agent.state.read_id or 0, view)
        for event in (*agent.inbox, Tick(), read):
            for command in decide(self.now_ms, agent.state, event, self.policy):
                if isinstance(command, Send):
                    self.messages.append(OpenMessage(command.host, command.envelope))
        agent.inbox.clear()

    def _replace_engine(self, host: str) -> None:
        self.unstall(host)
        self.engines[host] = Engine(self.fences)
        self.checks.discard_lost_steps()
        if all(engine.map is None for engine in self.engines.values()):
            self.reach["groups lost"] += 1

    def propose(self, host: str, base_version: int | None = None) -> None:
        """Let the agent of ``host`` propose a new map.

        :param base_version: version that the new map replaces. None stands for the
            version that the agent last read from its engine, or -1 without one.
        """
        agent = self.agents[host]
        if agent is None:
            return
        self.proposal_count += 1
        view = agent.state.view
        base = base_version
        if base is None:
            base = -1 if view is None else view.version
        self._note(f"propose {host} from {base}")
        self.dispatch(host, Propose(base, f"map {self.proposal_count}".encode()))

    def tick(self, host: str) -> None:
        """Dispatch a tick of the clock to the agent."""
        self.dispatch(host, Tick())

    def dispatch(self, host: str, event: Event) -> None:
        """Let the agent handle an event. A paused agent queues it."""
        agent = self.agents[host]
        if agent is None:
            return
        if agent.paused:
            agent.inbox.append(event)
        else:
            self._decide(host, agent, event)

    def _decide(self, host: str, agent: Agent, event: Event) -> None:
        commands = decide(self.now_ms, agent.state, event, self.policy)
        if self._is_incarnation_repeated(host, agent):
            self.crash(host)
            self.start(host)
            return
        for command in commands:
            self._execute(host, agent, command)

    def _is_incarnation_repeated(self, host: str, agent: Agent) -> bool:
        # The protocol assumes that no two processes of a host share an incarnation.
        # A clock that was set back can violate this assumption if nobody
        # remembers the earlier incarnation.
        key = (host, agent.state.incarnation)
        is_repeated = (
            self.serial_by_incarnation.setdefault(key, agent.serial) != agent.serial
        )
        self.reach["incarnations repeated"] += is_repeated
        return is_repeated

    def _execute(self, host: str, agent: Agent, command: Command) -> None:
        if isinstance(command, Send):
            self.reach[type(command.envelope.message).__name__] += 1
            self.messages.append(OpenMessage(command.host, command.envelope))
        elif isinstance(command, Order):
            self._check_single_order(host, agent)
            self.orders.append(OpenOrder(host, agent.serial, command))
        elif isinstance(command, Read):
            self.reads.append(OpenRead(host, agent.serial, command.read_id))
        elif isinstance(command, ProposalClosed):
            self._note(f"{host} closed {command.result.value}")
            self.reach[f"proposals {command.result.value}"] += 1
            self.checks.on_proposal_closed(command)
        elif isinstance(command, Report):
            self.reach[command.event.name] += 1
        elif isinstance(command, Stop):
            raise InvariantError(
                f"{host} stopped as superseded, but no process replaced it"
            )

    def _check_single_order(self, host: str, agent: Agent) -> None:
        for entry in self.orders:
            # A late ResolveOrder does no harm: each agent would resolve the same way.
            is_harmless = isinstance(entry.order.action, ResolveOrder)
            if entry.host == host and not is_harmless:
                raise InvariantError(f"two orders are pending at {host}")

    def _is_overdue(self, entry: OpenOrder) -> bool:
        deadline_ms = entry.applied_by_ms
        is_stalled = entry.host in self.stalled
        return deadline_ms is not None and deadline_ms <= self.now_ms and not is_stalled

    # Links

    def cut(self, left: str, right: str) -> None:
        """Drop all messages between two hosts until :meth:`heal`."""
        self._note(f"cut {left} {right}")
        self.reach["cuts"] += 1
        self.cuts.add(frozenset((left, right)))

    def block(self, kind: type, host: str) -> None:
        """Hold back each new message of one class to ``host``, until :meth:`heal`."""
        self._note(f"block {kind.__name__} to {host}")
        self.blocked.add((kind, host))

    def heal(self) -> None:
        """Repair every link. Messages that were held back stay held back."""
        self._note("heal")
        self.blocked.clear()
        self.cuts.clear()

    def deliver(self, index: int, keep: bool = False) -> None:
        """Deliver one of the undelivered messages.

        :param keep: whether the message stays undelivered, to be delivered again.
        """
        if not self.messages:
            return
        index %= len(self.messages)
        entry = self.messages[index] if keep else self.messages.pop(index)
        envelope = entry.envelope
        if frozenset((entry.host, envelope.host)) in self.cuts:
            self.reach["messages cut"] += 1
            return
        if (type(envelope.message), entry.host) in self.blocked:
            self.reach["messages blocked"] += 1
            self.held.append(entry)
            return
        if keep:
            self.reach["messages duplicated"] += 1
        name = type(envelope.message).__name__
        detail = getattr(envelope.message, "answer", None)
        self._note(f"{name} {detail or ''} {envelope.host} to {entry.host}")
        self.dispatch(entry.host, Received(envelope))

    def drop(self, index: int) -> None:
        """Drop one of the undelivered messages."""
        if self.messages:
            self.reach["messages dropped"] += 1
            self.messages.pop(index % len(self.messages))

    def deliver_all_of(self, kind: type) -> None:
        """Deliver every undelivered message of one class."""
        for index in reversed(range(len(self.messages))):
            if isinstance(self.messages[index].envelope.message, kind):
                self.deliver(index)

    def hold(self, index: int, keep: bool = False) -> None:
        """Hold back a message until :meth:`release` or :meth:`mend`.

        :param keep: whether another copy of the message is not held back.
        """
        if not self.messages:
            return
        self.reach["messages held"] += 1
        index %= len(self.messages)
        self.held.append(self.messages[index] if keep else self.messages.pop(index))

    def release(self, index: int) -> None:
        """Deliver a message that was held back."""
        if self.held:
            self.messages.append(self.held.pop(index % len(self.held)))
            self.deliver(len(self.messages) - 1)

    # Orders and reads

    def land(self, index: int) -> None:
        """Let an engine apply an order, and answer it if its agent still waits."""
        if not self.orders:
            return
        index %= len(self.orders)
        if self.orders[index].host not in self.stalled:
            self._apply_order(self.orders.pop(index))

    def _apply_order(self, entry: OpenOrder) -> None:
        host = entry.host
        action = entry.order.action
        engine = self.engines[host]
        before = engine.view()
        refusal = engine.apply(entry.order)
        result = "done" if refusal is None else refusal.value
        self._note(f"{type(action).__name__} at {host} {result}")
        self.checks.on_order_applied(host, before, action)
        agent = self.agents[host]
        is_abandoned = entry.applied_by_ms is not None
        if is_abandoned:
            self.reach["late orders"] += 1
        if agent is None or agent.serial != entry.serial:
            self.reach["late orders of a dead agent"] += 1
        elif not is_abandoned:
            self.dispatch(host, OrderDone(entry.order.order_id, refusal))

    def lose_order(self, index: int) -> None:
        """Let an order time out at its agent, while the engine may still apply it."""
        if not self.orders:
            return
        entry = self.orders[index % len(self.orders)]
        agent = self.agents[entry.host]
        if entry.applied_by_ms is not None or agent is None:
            return
        self._note(f"order to {entry.host} unanswered")
        # A paused process notices the timeout only after it resumes, and waits
        # for the expiry of the order from then on.
        expiry_ms = self.policy.order_expiry_ms
        entry.applied_by_ms = self.now_ms + expiry_ms
        self.dispatch(entry.host, OrderUnanswered(entry.order.order_id))

    def forget_order(self, index: int) -> None:
        """Drop an order that no agent waits for, before it reaches the engine."""
        if not self.orders:
            return
        index %= len(self.orders)
        if self.orders[index].applied_by_ms is not None:
            self.orders.pop(index)

    def read(self, index: int) -> None:
        """Let a read reach the engine, or deliver its answer to the agent.

        The read of a stalled engine fails.
        """
        if not self.reads:
            return
        index %= len(self.reads)
        entry = self.reads[index]
        if entry.host in self.stalled:
            self.lose_read(index)
        elif entry.view is None:
            entry.view = self.engines[entry.host].view()
        else:
            self.reads.pop(index)
            self.dispatch(entry.host, ReadDone(entry.read_id, entry.view))

    def lose_read(self, index: int) -> None:
        """Let a read fail without an answer."""
        if self.reads:
            entry = self.reads.pop(index % len(self.reads))
            self.dispatch(entry.host, ReadUnanswered(entry.read_id))

    # Time and steps

    def advance(self, duration_ms: int) -> None:
        """Advance the clock and apply the orders whose latest time has come."""
        self.now_ms += duration_ms
        self._apply_overdue_orders()

    def _apply_overdue_orders(self) -> None:
        overdue = [entry for entry in self.orders if self._is_overdue(entry)]
        self.orders = [entry for entry in self.orders if not self._is_overdue(entry)]
        for entry in overdue:
            self._apply_order(entry)

    def begin(self, host: str) -> None:
        """Let the engine of ``host`` begin its next step if the group allows it.

        A new step begins only when every engine has a map and has begun the step
        before. An engine that is behind goes directly to the newest step.
        """
        engine = self.engines[host]
        if host in self.stalled:
            return
        newest = max(other.step for other in self.engines.values())
        step = newest
        if engine.step == newest:
            step = newest + 1
            if any(other.step < newest for other in self.engines.values()):
                return
            if any(other.map is None for other in self.engines.values()):
                return
        step = max(step, 0)
        if not engine.may_begin(step):
            return
        expert_map = engine.begin(step)
        self._note(f"{host} begins {step} with {expert_map.version}")
        self.checks.on_step_begun(step, expert_map)

    # Liveness

    def round(self) -> None:
        """Apply all orders, complete all reads, deliver all messages, begin steps."""
        for _ in range(len(self.orders)):
            self.land(0)
        for _ in range(2 * len(self.reads)):
            self.read(0)
        for _ in range(len(self.messages)):
            self.deliver(0)
        for host in self.hosts:
            self.begin(host)

    def mend(self) -> None:
        """End all faults: repair links, deliver held messages, restart and resume."""
        self.heal()
        self.messages.extend(self.held)
        self.held.clear()
        for host in self.hosts:
            self.unstall(host)
            if self.agents[host] is None:
                self.start(host)
            self.wake(host)

    def settle(self) -> None:
        """End all faults and check that the group recovers within a time limit.

        :raises InvariantError: if it does not: all engines must have the same map and
            nothing staged, all agents must have joined, and steps must go on.
        """
        self._note("settle")
        self.mend()
        limit_ms = self.now_ms + 20 * self.policy.order_expiry_ms
        first = max(engine.step for engine in self.engines.values())
        while not self._is_settled(first):
            if self.now_ms > limit_ms:
                raise InvariantError(
                    "the group did not recover after all faults had ended"
                )
            self.advance(self.policy.retry_ms // 2)
            for host in self.hosts:
                self.tick(host)
            for _ in range(4):
                self.round()
        self.reach["settled"] += 1

    def _is_settled(self, first: int) -> bool:
        engines = self.engines.values()
        if any(engine.map is None or engine.staged for engine in engines):
            return False
        if len({engine.view().version for engine in engines}) > 1:
            return False
        agents = self.agents.values()
        if any(agent is None or not agent.state.has_joined for agent in agents):
            return False
        return min(engine.step for engine in engines) > first + 2

    def _note(self, text: str) -> None:
        self.trace.append(f"{self.now_ms} ms {text}")
