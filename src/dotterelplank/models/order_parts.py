"""The parts of the model of orders: processes, streams, callers, orders and jobs."""

import collections
import dataclasses

from ..daemons import ledger as ledgers
from ..daemons.exchanges import Complete, Exchange, GiveUp
from ..daemons.jobs import AgentState, Progress
from ..daemons.ledger import Answer
from ..daemons.tickets import Ticket
from ..links.messages import Message, Submit

SECRET = b"a secret of the model, long enough"
TARGET = "orders"
TEAM = "crew"
POLICY = ledgers.Policy(
    epoch_ms=1_500.0,
    epochs_accepted=2,
    epochs_remembered=4,
    tickets_per_epoch=24,
    answer_bound_bytes=40,
    answers_bound_bytes=600,
)
SLOTS = 2


@dataclasses.dataclass
class Wire:
    """One stream between a process of an entry and a process of an agent.

    Each end notices a broken stream at its own time.

    :param up: frames that the entry sent and the agent has not read.
    :param down: frames that the agent sent and the entry has not read.
    :param entry_open: whether the entry still considers the stream open.
    :param agent_open: whether the agent still considers the stream open.
    :param next_id: number of the next request on the stream.
    :param up_held: whether the frames in ``up`` are held back.
    :param down_held: whether the frames in ``down`` are held back.
    """

    entry: "EntryProcess"
    agent: "AgentProcess"
    up: collections.deque[Message] = dataclasses.field(
        default_factory=collections.deque
    )
    down: collections.deque[Message] = dataclasses.field(
        default_factory=collections.deque
    )
    entry_open: bool = True
    agent_open: bool = True
    next_id: int = 1
    up_held: bool = False
    down_held: bool = False


@dataclasses.dataclass
class AgentView:
    """The last state of an agent that an entry received. It may be out of date."""

    incarnation: int
    epoch: int


@dataclasses.dataclass
class EntryProcess:
    """One process of an entry.

    :param wires: the newest stream to each agent, by the agent's host.
    :param agent_views: the last known state of each agent, by host.
    :param selected: hosts of the agents that the entry may name in new tickets.
    """

    host: str
    domain: str
    alive: bool = True
    paused: bool = False
    wires: dict[str, Wire] = dataclasses.field(default_factory=dict)
    agent_views: dict[str, AgentView] = dataclasses.field(default_factory=dict)
    selected: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class AgentProcess:
    """One process of an agent. An earlier process of its host may still be running."""

    host: str
    domain: str
    state: AgentState
    alive: bool = True
    paused: bool = False


@dataclasses.dataclass
class Order:
    """A request that must run at most once, however often callers submit it.

    :param key: the ticket as text, which callers send with the request.
    :param executions: bodies that the service ran under the ticket, in order.
    :param not_run: bodies for which a caller received the outcome "not run".
    :param unknown: whether a caller received the outcome "unknown" or no response.
    :param done: whether a caller received the complete response.
    """

    key: str
    ticket: Ticket
    executions: list[bytes] = dataclasses.field(default_factory=list)
    not_run: set[bytes] = dataclasses.field(default_factory=set)
    unknown: bool = False
    done: bool = False


@dataclasses.dataclass
class Call:
    """One submission of an order by a caller, through one entry.

    :param wire: the stream on which the entry sent the call, or None before that.
    :param request_id: number of the call on ``wire``.
    :param final: the command that ended the call for the caller, or None before that.
    """

    order: Order
    body: bytes
    entry: EntryProcess
    exchange: Exchange
    wire: Wire | None = None
    request_id: int = 0
    final: Complete | GiveUp | None = None
    caller_gone: bool = False


@dataclasses.dataclass
class Job:
    """A request that holds a slot at an agent.

    :param at_service: whether the service has the request and may run it at any time.
    :param answer: the service's response, or None while it has not responded.
    :param ended: whether the agent has finished the request.
    """

    agent: AgentProcess
    wire: Wire
    submit: Submit
    ticket: Ticket
    progress: Progress = dataclasses.field(default_factory=Progress)
    at_service: bool = False
    answer: Answer | None = None
    ended: bool = False


def submit_frame(call: Call) -> Submit:
    """Return the frame that submits a call to its home agent.

    The home agent is the one that the order's ticket names.
    """
    return Submit(
        call.request_id,
        TARGET,
        TEAM,
        call.order.key.encode(),
        1_000.0,
        0,
        "",
        "POST",
        "/closures",
        (),
        call.body,
        False,
        0,
    )


def expected_body(order: Order, body: bytes) -> bytes:
    """Return the only correct response body to an order with ``body``.

    The bodies differ in length, so that the ledger keeps some and drops others.
    """
    number = int.from_bytes(order.ticket.nonce, "big")
    return b"booked %d %s" % (number, body) + b"." * (number % 4 * 10)


def expected_answer(call: Call) -> bytes:
    """Return the only correct response body to a call."""
    return expected_body(call.order, call.body)
