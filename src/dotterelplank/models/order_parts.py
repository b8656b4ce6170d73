"""What the model of orders is made of: processes, streams, callers and their orders."""

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
    """One stream from an entry's process to an agent's, whose ends break apart.

    :param up: frames that the entry sent and the agent has not read.
    :param down: frames that the agent sent and the entry has not read.
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
class Seen:
    """What an entry believes of an agent; it may be out of date."""

    incarnation: int
    epoch: int


@dataclasses.dataclass
class EntryProcess:
    """One process of an entry."""

    host: str
    domain: str
    alive: bool = True
    paused: bool = False
    wires: dict[str, Wire] = dataclasses.field(default_factory=dict)
    seen: dict[str, Seen] = dataclasses.field(default_factory=dict)
    selected: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class AgentProcess:
    """One process of an agent; an earlier one of its host may still be about."""

    host: str
    domain: str
    state: AgentState
    alive: bool = True
    paused: bool = False


@dataclasses.dataclass
class Order:
    """What one caller wants done once.

    :param executions: bodies that the service ran under the ticket, in order.
    :param not_run: bodies of which a caller was told that they did not run.
    """

    key: str
    ticket: Ticket
    executions: list[bytes] = dataclasses.field(default_factory=list)
    not_run: set[bytes] = dataclasses.field(default_factory=set)
    unknown: bool = False
    done: bool = False


@dataclasses.dataclass
class Call:
    """One submission of an order by a caller, through one entry."""

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

    :param at_service: the service holds it and may run it at any time.
    :param answer: what the service answered, on its way to the agent.
    """

    agent: AgentProcess
    wire: Wire
    submit: Submit
    ticket: Ticket
    progress: Progress = dataclasses.field(default_factory=Progress)
    at_service: bool = False
    answer: Answer | None = None
    ended: bool = False


def submit_of(call: Call) -> Submit:
    """Return the frame that hands a call to its home."""
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


def answer_body(order: Order, body: bytes) -> bytes:
    """Return the one right answer to an order; some are too long to be kept."""
    number = int.from_bytes(order.ticket.nonce, "big")
    return b"booked %d %s" % (number, body) + b"." * (number % 4 * 10)


def answer_to(call: Call) -> bytes:
    """Return the one right answer to a call."""
    return answer_body(call.order, call.body)
