"""Typed messages, engine orders, events and commands of the map change protocol."""

import dataclasses
import enum
import typing as t

from .. import events
from .ballots import Ballot, Change, EncodedMap

# The engine


@dataclasses.dataclass(frozen=True)
class EngineView:
    """The state that an engine reports; it is the same for all ranks of the engine.

    :param step: the last step that was started, -1 if none was.
    :param map: the map that steps use now; ``None`` after the engine was replaced,
        until a map is installed.
    :param staged: a staged change whose ballot is undecided, or ``None``.
    :param committed: a committed change whose first step hasn't started yet, or
        ``None``.
    :param highest_fence: the highest fencing token received with any order.
    """

    step: int
    map: EncodedMap | None
    staged: Change | None
    committed: Change | None
    highest_fence: int

    @property
    def version(self) -> int:
        """Return the version of the newest committed map, -1 if there is no map."""
        if self.committed is not None:
            return self.committed.map.version
        if self.map is not None:
            return self.map.version
        return -1


class Refusal(enum.Enum):
    """The reason for which an engine refused an order."""

    PASSED = "passed"
    STAGED = "staged"
    FENCE = "fence"
    UNKNOWN = "unknown"
    MAP = "map"


@dataclasses.dataclass(frozen=True)
class StageOrder:
    """Order to stage a change: no rank starts its hold step until it is resolved."""

    change: Change


@dataclasses.dataclass(frozen=True)
class ResolveOrder:
    """Order to commit or abort the staged change; idempotent for the same ballot."""

    ballot: Ballot
    commit: bool


@dataclasses.dataclass(frozen=True)
class InstallOrder:
    """Order to install a map in an engine that has none.

    :param map: the oldest map that the group's current steps use.
    :param change: a change to ``map`` that is staged or committed in the group, or
        ``None``.
    :param committed: whether ``change`` is committed.
    """

    map: EncodedMap
    change: Change | None = None
    committed: bool = False


Action = t.Union[StageOrder, ResolveOrder, InstallOrder]

# Between agents


class Answer(enum.Enum):
    """An agent's vote on a ballot, on behalf of all ranks of its engine."""

    YES = "yes"
    NO = "no"
    COMMITTED = "committed"


@dataclasses.dataclass(frozen=True)
class Participant:
    """One incarnation of an agent of the group."""

    host: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Stage:
    """Request that an agent stage a change and vote on it.

    :param change: the proposed change.
    :param base_version: the map version that the change replaces.
    :param voter_incarnation: the incarnation of the receiver that may stage the
        change; a later incarnation can't know whether this one has voted no.
    """

    change: Change
    base_version: int
    voter_incarnation: int


@dataclasses.dataclass(frozen=True)
class Ask:
    """Request an agent's vote on a ballot.

    An agent that has neither staged nor committed the ballot votes no and never
    stages it afterwards.

    :param map_version: the map version that the ballot would install.
    """

    ballot: Ballot
    map_version: int


@dataclasses.dataclass(frozen=True)
class Vote:
    """Answer to a :class:`Stage` or an :class:`Ask`.

    :param floor: the voter stages only ballots above this one; ``None`` if it stages
        any ballot.
    """

    ballot: Ballot
    answer: Answer
    floor: Ballot | None = None


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Notification of the outcome of a ballot that the sender's engine has applied."""

    ballot: Ballot
    commit: bool


@dataclasses.dataclass(frozen=True)
class Hello:
    """Announcement of the sender's incarnation and request for a :class:`Status`.

    :param participants: the sender's own incarnation and the highest incarnations of
        other agents that it knows.
    """

    participants: tuple[Participant, ...]


@dataclasses.dataclass(frozen=True)
class Status:
    """Answer to a :class:`Hello`.

    :param participants: the participants of the hello; the sender of the status
        ignores messages of older incarnations of them.
    :param view: the state of the sender's engine.
    """

    participants: tuple[Participant, ...]
    view: EngineView


@dataclasses.dataclass(frozen=True)
class Stale:
    """Answer to a message whose sender has an outdated incarnation.

    :param incarnation: the incarnation that sent the message.
    :param highest_incarnation: the highest known incarnation of the agent that sent
        the message.
    """

    incarnation: int
    highest_incarnation: int


@dataclasses.dataclass(frozen=True)
class Probe:
    """Request to report whether an agent is ready for a change.

    :param number: identifies the request; the answer repeats it.
    :param base_version: the map version that the change replaces.
    """

    number: int
    base_version: int


@dataclasses.dataclass(frozen=True)
class Ready:
    """Answer to a :class:`Probe`; it doesn't bind the sender."""

    number: int
    is_ready: bool


Message = t.Union[Stage, Ask, Vote, Outcome, Hello, Status, Stale, Probe, Ready]


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message with the host and the incarnation of its sender."""

    host: str
    incarnation: int
    message: Message


# Events


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True)
class Received:
    """A message was received from another agent of the group."""

    envelope: Envelope


@dataclasses.dataclass(frozen=True)
class OrderDone:
    """The engine answered an order, so the order can't take effect later.

    :param refusal: the reason if the engine refused the order; ``None`` if it
        accepted it.
    """

    order_id: int
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True)
class OrderUnanswered:
    """The engine didn't answer an order in time; the order may still take effect."""

    order_id: int


@dataclasses.dataclass(frozen=True)
class ReadDone:
    """The engine answered a read."""

    read_id: int
    view: EngineView


@dataclasses.dataclass(frozen=True)
class ReadUnanswered:
    """A read of the engine's state failed or was not answered in time."""

    read_id: int


@dataclasses.dataclass(frozen=True)
class Propose:
    """A component of this agent's process requests a map change.

    :param base_version: the map version that the payload was computed from.
    :param payload: the new map in its encoding.
    """

    base_version: int
    payload: bytes


Event = t.Union[
    Tick, Received, OrderDone, OrderUnanswered, ReadDone, ReadUnanswered, Propose
]

# Commands


@dataclasses.dataclass(frozen=True)
class Send:
    """Command to send ``envelope`` to ``host``; the message may be lost."""

    host: str
    envelope: Envelope


@dataclasses.dataclass(frozen=True)
class Order:
    """Command to send the engine an order, exactly once.

    The result is an :class:`OrderDone` or :class:`OrderUnanswered` event.

    :param fence: fencing token, higher than the tokens of all earlier orders.
    """

    order_id: int
    fence: int
    action: Action


@dataclasses.dataclass(frozen=True)
class Read:
    """Command to read the engine's state.

    The result is a :class:`ReadDone` or :class:`ReadUnanswered` event.
    """

    read_id: int


class ProposalResult(enum.Enum):
    """How a proposal of this agent ended, as far as the agent knows."""

    COMMITTED = "committed"
    ABORTED = "aborted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ProposalClosed:
    """Command to report how a proposal ended.

    :param ballot: the proposal's ballot; ``None`` if the proposal was refused before
        it received one.
    :param result: ``UNKNOWN`` if the agent began a new incarnation before it learned
        the outcome.
    """

    ballot: Ballot | None
    result: ProposalResult


@dataclasses.dataclass(frozen=True)
class Report:
    """Command to log ``event``."""

    event: events.Event
    host: str
    ballot: Ballot | None = None
    map_version: int | None = None


@dataclasses.dataclass(frozen=True)
class Stop:
    """Command to stop this agent, because another agent gives orders to its engine."""


Command = t.Union[Send, Order, Read, ProposalClosed, Report, Stop]
