"""An agent's state in the map change protocol, and functions that handlers share."""

import collections
import dataclasses
import typing as t

from .. import events
from ..errors import InvariantError
from .ballots import Ballot, Change
from .messages import (
    Action,
    Ask,
    Command,
    EngineView,
    Envelope,
    Hello,
    Message,
    Order,
    Participant,
    ProposalClosed,
    ProposalResult,
    Propose,
    Report,
    Send,
    Status,
)
from .tally import Tally

_MAX_DENIED_BALLOTS = 256


@dataclasses.dataclass(frozen=True)
class Policy:
    """Settings of the protocol, which must be equal in all agents of a group.

    All times are in milliseconds.

    :param retry_ms: interval at which an unanswered message is sent again.
    :param response_timeout_ms: time to wait for votes on a staged ballot before the
        agents that have staged it ask all others for their votes; also the time after
        which a proposal is abandoned if an agent hasn't reported that it is ready.
    :param stagger_ms: additional wait of each host compared with the host before it
        in the group's sorted list of hosts.
    :param poll_ms: interval at which the engine is read.
    :param max_view_age_ms: maximum age of a read when an agent reports the state of
        its engine or gives an order.
    :param order_expiry_ms: time after which an unanswered order can't take effect any
        more; during this time the engine must answer reads with no gap above
        ``max_view_age_ms``.
    :param lead_steps: number of steps between a proposal and the first step with the
        new map.
    :param vote_deadline_steps: number of steps before that first step from which on
        agents don't wait ``response_timeout_ms`` for votes any more.
    """

    retry_ms: int = 50
    response_timeout_ms: int = 250
    stagger_ms: int = 20
    poll_ms: int = 100
    max_view_age_ms: int = 300
    order_expiry_ms: int = 1000
    lead_steps: int = 20
    vote_deadline_steps: int = 3


@dataclasses.dataclass(frozen=True)
class Decision:
    """The outcome that this agent has decided for a change and ordered its engine."""

    change: Change
    commit: bool


@dataclasses.dataclass
class Draft:
    """A proposal that waits until all other agents have reported that they are ready.

    :param number: identifies the request that the other agents answer.
    :param event: the proposal.
    :param since_ms: time at which the agent started to ask.
    :param next_send_ms: time at which the request is sent again to hosts without an
        answer.
    :param ready: hosts that have reported that they are ready.
    """

    number: int
    event: Propose
    since_ms: int
    next_send_ms: int = 0
    ready: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class OrderWait:
    """A wait until earlier orders can no longer take effect.

    :param since_ms: time of the first read in the current series of reads without a
        gap above ``max_view_age_ms``; ``None`` before the first read.
    :param last_read_ms: time of the last read.
    :param found_staged: whether a read found a staged change. While it is staged, the
        only order that can still take effect is its resolution.
    """

    since_ms: int | None = None
    last_read_ms: int = 0
    found_staged: bool = False


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A change that this agent has proposed and whose outcome is still open.

    :param voters: for each other host, the incarnation that may stage the change.
    """

    change: Change
    voters: t.Mapping[str, int]


@dataclasses.dataclass
class State:
    """The state of one agent of a group; it is lost when the process ends.

    :param host: this agent's host.
    :param hosts: all hosts of the group, sorted.
    :param incarnation: this agent's incarnation, higher than that of each earlier
        agent on this host.
    :param initial: payload of the group's first map; only the first host uses it.
    :param order_wait: set while an earlier order may still take effect.
    :param known: the highest known incarnation of each other host.
    :param statuses: the status that each other host has sent this incarnation.
    :param has_joined: whether this incarnation has received the status of every other
        host and its engine has a map.
    :param next_hello_ms: time at which a hello is sent again to hosts without a status.
    :param round: the highest round number received or used in a ballot.
    :param floor: the agent stages only ballots above this one; ``None`` if it stages
        any ballot.
    :param denied: the most recent ballots that the agent has voted no on since its
        engine received its map.
    :param fence: fencing token of the last order.
    :param last_id: last number given to an order, a read or a draft.
    :param order_id: number of the open order, or ``None``.
    :param read_id: number of the open read, or ``None``.
    :param must_read: whether the engine must be read before the view can be used,
        because an order was given after the last read or there was no read yet.
    :param polled_at_ms: time at which the last read was sent.
    :param read_at_ms: time at which the last answer to a read was received.
    :param view: the engine's state as last read.
    :param tally: the votes on the ballot that the engine has staged.
    :param draft: the proposal that waits for the other agents to be ready.
    :param proposal: the proposed change whose outcome is open.
    :param decision: the outcome to send to the others when the engine has applied it.
    :param unanswered_asks: the last vote request of each host that has no vote yet.
    :param unanswered_hellos: the last hello of each host that has no status yet.
    :param superseded: whether another agent gives orders to this engine; the agent
        then ignores all events.
    """

    host: str
    hosts: tuple[str, ...]
    incarnation: int
    initial: bytes | None
    order_wait: OrderWait | None = dataclasses.field(default_factory=OrderWait)
    known: dict[str, int] = dataclasses.field(default_factory=dict)
    statuses: dict[str, Status] = dataclasses.field(default_factory=dict)
    has_joined: bool = False
    next_hello_ms: int = 0
    round: int = 0
    floor: Ballot | None = None
    denied: collections.deque[Ballot] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_DENIED_BALLOTS)
    )
    fence: int = 0
    last_id: int = 0
    order_id: int | None = None
    read_id: int | None = None
    must_read: bool = True
    polled_at_ms: int | None = None
    read_at_ms: int = 0
    view: EngineView | None = None
    tally: Tally | None = None
    draft: Draft | None = None
    proposal: Proposal | None = None
    decision: Decision | None = None
    unanswered_asks: dict[str, Ask] = dataclasses.field(default_factory=dict)
    unanswered_hellos: dict[str, Hello] = dataclasses.field(default_factory=dict)
    superseded: bool = False

    @property
    def peers(self) -> list[str]:
        """Return the other hosts of the group."""
        return [host for host in self.hosts if host != self.host]


def new_state(
    host: str,
    hosts: t.Iterable[str],
    incarnation: int,
    initial: bytes | None = None,
) -> State:
    """Return the initial state of an agent.

    :param host: the agent's host.
    :param hosts: all hosts of the group.
    :param incarnation: the wall-clock time at the start in milliseconds can be used; if
        it is lower than an earlier incarnation of the host, the other agents report
        that and the agent raises it.
    :param initial: payload of the group's first map.
    """
    return State(
        host=host,
        hosts=tuple(sorted(hosts)),
        incarnation=incarnation,
        initial=initial,
    )


@dataclasses.dataclass
class Context:
    """The arguments of one call of :func:`~.change.decide`, and its commands so far."""

    now_ms: int
    state: State
    policy: Policy
    commands: list[Command]


def participants(state: State) -> tuple[Participant, ...]:
    """Return this agent and the highest known incarnations of the other agents."""
    own = Participant(state.host, state.incarnation)
    known = [peer for peer in state.peers if peer in state.known]
    others = [Participant(peer, state.known[peer]) for peer in known]
    return (own, *others)


def has_current_view(context: Context) -> bool:
    """Return whether the last read of the engine is recent and follows all orders.

    Only then may the agent report the engine's state or give it an order.
    """
    state = context.state
    return (
        state.view is not None
        and not state.must_read
        and context.now_ms - state.read_at_ms <= context.policy.max_view_age_ms
    )


def fence_peer(state: State, peer: Participant) -> None:
    """Record a peer's incarnation, and discard messages of its earlier incarnations."""
    if peer.incarnation <= state.known.get(peer.host, 0):
        return
    state.known[peer.host] = peer.incarnation
    state.statuses.pop(peer.host, None)
    state.unanswered_asks.pop(peer.host, None)
    state.unanswered_hellos.pop(peer.host, None)
    if state.tally is not None:
        state.tally.answers.pop(peer.host, None)


def begin_incarnation(context: Context) -> None:
    """Raise this agent's incarnation by one and close an open proposal.

    The agent must then join the group again.
    """
    state = context.state
    state.incarnation += 1
    state.has_joined = False
    state.statuses.clear()
    state.next_hello_ms = context.now_ms
    state.tally = None
    state.decision = None
    if state.draft is not None:
        context.commands.append(ProposalClosed(None, ProposalResult.REFUSED))
        state.draft = None
    if state.proposal is not None:
        ballot = state.proposal.change.ballot
        context.commands.append(ProposalClosed(ballot, ProposalResult.UNKNOWN))
        state.proposal = None


def next_id(state: State) -> int:
    """Return a new number for an order or a read."""
    state.last_id += 1
    return state.last_id


def give_order(context: Context, action: Action) -> None:
    """Give the engine an order; the view can't be used again before the next read.

    :raises InvariantError: if another order is open.
    """
    state = context.state
    if state.order_id is not None:
        raise InvariantError("the engine would have two open orders")
    state.fence = max(state.fence + 1, state.incarnation)
    state.order_id = next_id(state)
    state.read_id = None  # the open read was sent before this order
    state.must_read = True
    context.commands.append(Order(state.order_id, state.fence, action))


def send(context: Context, host: str, message: Message) -> None:
    """Add a command that sends a message to another agent."""
    envelope = Envelope(context.state.host, context.state.incarnation, message)
    context.commands.append(Send(host, envelope))


def report(
    context: Context,
    event: events.Event,
    ballot: Ballot | None = None,
    map_version: int | None = None,
) -> None:
    """Add a command that logs an event."""
    context.commands.append(Report(event, context.state.host, ballot, map_version))
