"""A group of fake engines and faulty links that drives the map change protocol.

:mod:`dotterelplank.mapchange_checks` checks after each act what the protocol
promises. :mod:`dotterelplank.soak` and the tests choose the acts.
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

INCARNATION_STEP = 1000
_TRACE_LENGTH = 60


@dataclasses.dataclass
class Agent:
    """A process beside an engine.

    :param serial: unique among all processes of the model.
    """

    serial: int
    state: State
    paused: bool = False
    inbox: collections.deque[Event] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass
class OpenOrder:
    """An order on its way to the engine of ``host``.

    :param serial: the agent that gave it.
    :param lands_before_ms: set once nobody waits for the answer.
    """

    host: str
    serial: int
    order: Order
    lands_before_ms: int | None = None


@dataclasses.dataclass
class OpenRead:
    """A read on its way; ``view`` is set between the reading and the answer."""

    host: str
    serial: int
    read_id: int
    view: EngineView | None = None


@dataclasses.dataclass(frozen=True)
class OpenMessage:
    """A message on its way to ``host``."""

    host: str
    envelope: Envelope


class Model:
    """A group, its links and a clock.

    :param size: number of hosts.
    :param fences: whether the engines refuse old fencing tokens.
    :param reach: counts of what happened.
    :param trace: the last acts, newest last.
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
        self.ghosts: list[tuple[str, Agent]] = []
        self.cuts: set[frozenset[str]] = set()
        self.reach: collections.Counter[str] = collections.Counter()
        self.trace: collections.deque[str] = collections.deque(maxlen=_TRACE_LENGTH)
        self.checks = Checks(self.engines, self.reach)
        self.owners: dict[tuple[str, int], int] = {}
        self.serial = 0
        self.payload = 0
        for host in self.hosts:
            self.agents[host] = None
            self.start(host)

    # Agents

    def start(self, host: str, is_set_back: bool = False) -> None:
        """Start an agent with no memory, maybe with a clock that was set back."""
        self._note(f"start {host}{' set back' if is_set_back else ''}")
        self.reach["clocks set back"] += is_set_back
        self.serial += 1
        step = 1 if is_set_back else INCARNATION_STEP
        self.agents[host] = Agent(
            self.serial,
            new_state(
                host,
                self.hosts,
                self.serial * step,
                f"initial {self.serial}".encode(),
            ),
        )

    def crash(self, host: str) -> None:
        """Kill the agent; its orders may still land."""
        agent = self.agents[host]
        if agent is None:
            return
        self._note(f"crash {host}")
        self.reach["crashes"] += 1
        self.agents[host] = None
        if agent.paused:
            self.ghosts.append((host, agent))
        self.reads = [read for read in self.reads if read.serial != agent.serial]
        for entry in self.orders:
            if entry.serial == agent.serial and entry.lands_before_ms is None:
                entry.lands_before_ms = self.now_ms + self.policy.order_expiry_ms

    def pause(self, host: str) -> None:
        """Stop the agent's process for a while."""
        agent = self.agents[host]
        if agent is not None and not agent.paused:
            self._note(f"pause {host}")
            self.reach["pauses"] += 1
            agent.paused = True

    def wake(self, host: str) -> None:
        """Let a paused agent go on with what it found when it stopped."""
        agent = self.agents[host]
        if agent is None or not agent.paused:
            return
        self._note(f"wake {host}")
        agent.paused = False
        while agent.inbox and agent is self.agents[host]:
            self._decide(host, agent, agent.inbox.popleft())

    def replace(self, host: str) -> None:
        """Replace the host: the engine and the agent lose all they had."""
        self._note(f"replace {host}")
        self.reach["hosts replaced"] += 1
        self.crash(host)
        self._lose_engine(host)
        self.start(host)

    def kill_engine(self, host: str) -> None:
        """Replace the engine beside a living agent."""
        self._note(f"kill engine {host}")
        self.reach["engines killed"] += 1
        self._lose_engine(host)

    def stall(self, host: str) -> None:
        """Stop an engine: it answers nothing and begins no step."""
        self._note(f"stall {host}")
        self.reach["engines stalled"] += 1
        self.stalled.setdefault(host, self.now_ms)

    def unstall(self, host: str) -> None:
        """Let a stalled engine go on, with the orders that it had met before."""
        since_ms = self.stalled.pop(host, None)
        if since_ms is None:
            return
        self._note(f"unstall {host}")
        if self.now_ms - since_ms <= self.policy.max_view_age_ms:
            self._land_overdue()
            return
        for entry in self.orders:
            if entry.host == host and entry.lands_before_ms is not None:
                entry.lands_before_ms = self.now_ms + self.policy.order_expiry_ms

    def stir(self, index: int) -> None:
        """Let a paused process that was replaced send what it had to say.

        The platform ends a process before its slot gets the next one, so it gives
        its engine no order any more.
        """
        if not self.ghosts:
            return
        index %= len(self.ghosts)
        host, agent = self.ghosts[index]
        self._note(f"stir {host}")
        self.reach["ghosts stirred"] += 1
        try:
            self._stir(host, agent)
        except InvariantError:
            # Its engine is another one by now, so it ends itself.
            self.reach["ghosts ended"] += 1
            self.ghosts.pop(index)

    def _stir(self, host: str, agent: Agent) -> None:
        view = self.engines[host].view()
        read = ReadDone(agent.state.read_id or 0, view)
        for event in (*agent.inbox, Tick(), read):
            for command in decide(self.now_ms, agent.state, event, self.policy):
                if isinstance(command, Send):
                    self.messages.append(OpenMessage(command.host, command.envelope))
        agent.inbox.clear()

    def _lose_engine(self, host: str) -> None:
        self.unstall(host)
        self.engines[host] = Engine(self.fences)
        self.checks.forget_lost_steps()
        if all(engine.map is None for engine in self.engines.values()):
            self.reach["groups lost"] += 1

    def propose(self, host: str, base_version: int | None = None) -> None:
        """Ask the agent of ``host`` for a change of map."""
        agent = self.agents[host]
        if agent is None:
            return
        self.payload += 1
        view = agent.state.view
        base = base_version
        if base is None:
            base = -1 if view is None else view.version
        self._note(f"propose {host} from {base}")
        self.feed(host, Propose(base, f"map {self.payload}".encode()))

    def tick(self, host: str) -> None:
        """Tell the agent that time has moved."""
        self.feed(host, Tick())

    def feed(self, host: str, event: Event) -> None:
        """Give the agent an event, later if it is paused."""
        agent = self.agents[host]
        if agent is None:
            return
        if agent.paused:
            agent.inbox.append(event)
        else:
            self._decide(host, agent, event)

    def _decide(self, host: str, agent: Agent, event: Event) -> None:
        commands = decide(self.now_ms, agent.state, event, self.policy)
        if self._is_repeated(host, agent):
            self.crash(host)
            self.start(host)
            return
        for command in commands:
            self._carry_out(host, agent, command)

    def _is_repeated(self, host: str, agent: Agent) -> bool:
        # The protocol takes it as given that no two processes of a host share an
        # incarnation; a clock set back may break that once nobody remembers.
        name = (host, agent.state.incarnation)
        is_repeated = self.owners.setdefault(name, agent.serial) != agent.serial
        self.reach["incarnations repeated"] += is_repeated
        return is_repeated

    def _carry_out(self, host: str, agent: Agent, command: Command) -> None:
        if isinstance(command, Send):
            self.reach[type(command.envelope.message).__name__] += 1
            self.messages.append(OpenMessage(command.host, command.envelope))
        elif isinstance(command, Order):
            self._check_order(host, agent)
            self.orders.append(OpenOrder(host, agent.serial, command))
        elif isinstance(command, Read):
            self.reads.append(OpenRead(host, agent.serial, command.read_id))
        elif isinstance(command, ProposalClosed):
            self._note(f"{host} closed {command.result.value}")
            self.reach[f"proposals {command.result.value}"] += 1
            self.checks.closed(command)
        elif isinstance(command, Report):
            self.reach[command.event.name] += 1
        elif isinstance(command, Stop):
            raise InvariantError(f"{host} was superseded by nobody")

    def _check_order(self, host: str, agent: Agent) -> None:
        for entry in self.orders:
            # A late resolution is harmless: each agent would order the same.
            is_harmless = isinstance(entry.order.action, ResolveOrder)
            if entry.host == host and not is_harmless:
                raise InvariantError(f"two orders at once at {host}")

    def _is_over(self, entry: OpenOrder) -> bool:
        bound_ms = entry.lands_before_ms
        is_stalled = entry.host in self.stalled
        return bound_ms is not None and bound_ms <= self.now_ms and not is_stalled

    # Links

    def cut(self, left: str, right: str) -> None:
        """Cut two hosts off from each other."""
        self._note(f"cut {left} {right}")
        self.reach["cuts"] += 1
        self.cuts.add(frozenset((left, right)))

    def block(self, kind: type, host: str) -> None:
        """Set aside each message of one kind to ``host`` until the links heal."""
        self._note(f"block {kind.__name__} to {host}")
        self.blocked.add((kind, host))

    def heal(self) -> None:
        """Mend every link."""
        self._note("heal")
        self.blocked.clear()
        self.cuts.clear()

    def deliver(self, index: int, keep: bool = False) -> None:
        """Deliver one of the messages on the way; ``keep`` delivers it again later."""
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
        self.feed(entry.host, Received(envelope))

    def drop(self, index: int) -> None:
        """Lose one of the messages on the way."""
        if self.messages:
            self.reach["messages dropped"] += 1
            self.messages.pop(index % len(self.messages))

    def hasten(self, kind: type) -> None:
        """Deliver every message of one kind that is on its way."""
        for index in reversed(range(len(self.messages))):
            if isinstance(self.messages[index].envelope.message, kind):
                self.deliver(index)

    def hold(self, index: int, keep: bool = False) -> None:
        """Set a message aside for long; ``keep`` lets a copy of it go on."""
        if not self.messages:
            return
        self.reach["messages held"] += 1
        index %= len(self.messages)
        self.held.append(self.messages[index] if keep else self.messages.pop(index))

    def release(self, index: int) -> None:
        """Deliver a message that was set aside."""
        if self.held:
            self.messages.append(self.held.pop(index % len(self.held)))
            self.deliver(len(self.messages) - 1)

    # Orders and reads

    def land(self, index: int) -> None:
        """Let an order take effect, and answer it if somebody still waits."""
        if not self.orders:
            return
        index %= len(self.orders)
        if self.orders[index].host not in self.stalled:
            self._land(self.orders.pop(index))

    def _land(self, entry: OpenOrder) -> None:
        host = entry.host
        action = entry.order.action
        engine = self.engines[host]
        before = engine.view()
        refusal = engine.apply(entry.order)
        result = "done" if refusal is None else refusal.value
        self._note(f"{type(action).__name__} at {host} {result}")
        self.checks.landed(host, before, action)
        agent = self.agents[host]
        is_late = entry.lands_before_ms is not None
        if is_late:
            self.reach["late orders"] += 1
        if agent is None or agent.serial != entry.serial:
            self.reach["late orders of a dead agent"] += 1
        elif not is_late:
            self.feed(host, OrderDone(entry.order.order_id, refusal))

    def lose_order(self, index: int) -> None:
        """Give up the wait for an order's answer."""
        if not self.orders:
            return
        entry = self.orders[index % len(self.orders)]
        agent = self.agents[entry.host]
        if entry.lands_before_ms is not None or agent is None:
            return
        self._note(f"order to {entry.host} unanswered")
        # A paused process notices late, and waits out from then on.
        bound_ms = self.policy.order_expiry_ms
        entry.lands_before_ms = self.now_ms + bound_ms
        self.feed(entry.host, OrderUnanswered(entry.order.order_id))

    def forget_order(self, index: int) -> None:
        """Lose an order that nobody waits for, before it reaches the engine."""
        if not self.orders:
            return
        index %= len(self.orders)
        if self.orders[index].lands_before_ms is not None:
            self.orders.pop(index)

    def read(self, index: int) -> None:
        """Let a read see the engine, or its answer come back."""
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
            self.feed(entry.host, ReadDone(entry.read_id, entry.view))

    def lose_read(self, index: int) -> None:
        """Let a read fail."""
        if self.reads:
            entry = self.reads.pop(index % len(self.reads))
            self.feed(entry.host, ReadUnanswered(entry.read_id))

    # Time and steps

    def advance(self, duration_ms: int) -> None:
        """Move the clock; what must have landed by then lands."""
        self.now_ms += duration_ms
        self._land_overdue()

    def _land_overdue(self) -> None:
        over = [entry for entry in self.orders if self._is_over(entry)]
        self.orders = [entry for entry in self.orders if not self._is_over(entry)]
        for entry in over:
            self._land(entry)

    def begin(self, host: str) -> None:
        """Let the engine of ``host`` begin its next step if the group lets it."""
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
        self.checks.begun(step, expert_map)

    # Liveness

    def round(self) -> None:
        """Let everything that can happen without a fault happen once."""
        for _ in range(len(self.orders)):
            self.land(0)
        for _ in range(2 * len(self.reads)):
            self.read(0)
        for _ in range(len(self.messages)):
            self.deliver(0)
        for host in self.hosts:
            self.begin(host)

    def mend(self) -> None:
        """Mend every link, start what is dead and wake what is paused."""
        self.heal()
        self.messages.extend(self.held)
        self.held.clear()
        for host in self.hosts:
            self.unstall(host)
            if self.agents[host] is None:
                self.start(host)
            self.wake(host)

    def settle(self) -> None:
        """Mend everything and require that the group settles and steps again."""
        self._note("settle")
        self.mend()
        limit_ms = self.now_ms + 20 * self.policy.order_expiry_ms
        first = max(engine.step for engine in self.engines.values())
        while not self._is_settled(first):
            if self.now_ms > limit_ms:
                raise InvariantError("the group does not settle")
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
