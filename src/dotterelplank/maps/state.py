"""What an agent knows of its group's map, and the acts that all decisions share."""

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
    """Settings of the protocol, equal in all agents of a group.

    :param retry_ms: after it an unanswered message is sent again.
    :param response_timeout_ms: how long a ballot stays open before its holders
        ask each other.
    :param stagger_ms: what each later host of the group waits longer.
    :param poll_ms: how often the engine is read.
    :param max_view_age_ms: how old a read may be when an agent speaks of its engine.
    :param order_expiry_ms: once an engine has answered reads for so long, with no gap
        above ``max_view_age_ms``, no order from before can take effect any more.
    :param lead_steps: how many steps lie between a proposal and the first step with
        the new map.
    :param vote_deadline_steps: how many steps before that step the patience ends.
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
    """What this agent has decided on a change and ordered."""

    change: Change
    commit: bool


@dataclasses.dataclass
class Draft:
    """A proposal for which the agent asks the others whether they are ready.

    :param number: names the question.
    :param ready: the hosts that are.
    """

    number: int
    event: Propose
    since_ms: int
    next_send_ms: int = 0
    ready: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class OrderWait:
    """A wait for the end of orders that may yet take effect.

    :param since_ms: the first of the answered reads without a gap.
    :param last_read_ms: the last of them.
    :param found_staged: whether a change was found staged, after which nothing but its
        resolution can be on its way.
    """

    since_ms: int | None = None
    last_read_ms: int = 0
    found_staged: bool = False


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A change that this agent proposed and that isn't closed.

    :param voters: the incarnations of the other agents that may stage it.
    """

    change: Change
    voters: t.Mapping[str, int]


@dataclasses.dataclass
class State:
    """What one agent of a group knows; it is lost with the process.

    :param host: this agent's host.
    :param hosts: all hosts of the group, sorted.
    :param incarnation: higher than that of each earlier agent on this host.
    :param initial: payload of the first map, used by the first host alone.
    :param order_wait: set while an older order may take effect.
    :param known: the highest incarnation met of each other host.
    :param statuses: what each other host answered to this incarnation.
    :param has_joined: whether every other host has answered this incarnation.
    :param floor: this agent stages no ballot at or below it.
    :param denied: ballots denied since the engine got its map.
    :param order_id: the open order.
    :param read_id: the open read.
    :param must_read: whether the view is older than an order.
    :param decision: what to tell the others once the engine has taken it.
    :param unanswered_asks: votes owed, by host.
    :param unanswered_hellos: statuses owed.
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
    """Return the state of an agent that starts.

    :param incarnation: wall-clock milliseconds at the start will do; a lower one than
        before is noticed by the other agents and raised.
    """
    return State(
        host=host,
        hosts=tuple(sorted(hosts)),
        incarnation=incarnation,
        initial=initial,
    )


@dataclasses.dataclass
class Context:
    """One call of :func:`~dotterelplank.mapchange.decide`, for its helpers."""

    now_ms: int
    state: State
    policy: Policy
    commands: list[Command]


def participants(state: State) -> tuple[Participant, ...]:
    """Return this agent and the other incarnations that it has met."""
    own = Participant(state.host, state.incarnation)
    known = [peer for peer in state.peers if peer in state.known]
    others = [Participant(peer, state.known[peer]) for peer in known]
    return (own, *others)


def has_current_view(context: Context) -> bool:
    """Return whether the agent may speak of its engine and give it an order."""
    state = context.state
    return (
        state.view is not None
        and not state.must_read
        and context.now_ms - state.read_at_ms <= context.policy.max_view_age_ms
    )


def fence_peer(state: State, peer: Participant) -> None:
    """Take note of an agent's incarnation and drop what came from older ones."""
    if peer.incarnation <= state.known.get(peer.host, 0):
        return
    state.known[peer.host] = peer.incarnation
    state.statuses.pop(peer.host, None)
    state.unanswered_asks.pop(peer.host, None)
    state.unanswered_hellos.pop(peer.host, None)
    if state.tally is not None:
        state.tally.answers.pop(peer.host, None)


def begin_incarnation(context: Context) -> None:
    """Take a higher incarnation, which has yet to meet the others."""
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
    """Return a number for an order or a read."""
    state.last_id += 1
    return state.last_id


def give_order(context: Context, action: Action) -> None:
    """Give the engine an order; nothing is said of it before the next read."""
    state = context.state
    if state.order_id is not None:
        raise InvariantError("two orders are open at one engine")
    state.fence = max(state.fence + 1, state.incarnation)
    state.order_id = next_id(state)
    state.read_id = None  # opened before the order
    state.must_read = True
    context.commands.append(Order(state.order_id, state.fence, action))


def send(context: Context, host: str, message: Message) -> None:
    """Send a message to another agent."""
    envelope = Envelope(context.state.host, context.state.incarnation, message)
    context.commands.append(Send(host, envelope))


def report(
    context: Context,
    event: events.Event,
    ballot: Ballot | None = None,
    map_version: int | None = None,
) -> None:
    """Log an event."""
    context.commands.append(Report(event, context.state.host, ballot, map_version))
