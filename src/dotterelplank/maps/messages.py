"""Typed messages, engine orders, events and commands of the map change protocol."""

import dataclasses
import enum
import typing as t

from .. import events
from .ballots import Ballot, Change, EncodedMap

# The engine


@dataclasses.dataclass(frozen=True)
class EngineView:
    """What an engine reports of its ranks, which it keeps in one state.

    :param step: the last step begun, -1 for an engine that has begun none.
    :param map: the map of the steps begun now, none after a replacement.
    :param staged: a change whose ballot is undecided.
    :param committed: a change that is decided and whose first step is still ahead.
    :param highest_fence: the highest fencing token that came with any order.
    """

    step: int
    map: EncodedMap | None
    staged: Change | None
    committed: Change | None
    highest_fence: int

    @property
    def version(self) -> int:
        """Return the version of the newest decided map, -1 without one."""
        if self.committed is not None:
            return self.committed.map.version
        if self.map is not None:
            return self.map.version
        return -1


class Refusal(enum.Enum):
    """Why an engine refused an order."""

    PASSED = "passed"
    STAGED = "staged"
    FENCE = "fence"
    UNKNOWN = "unknown"
    MAP = "map"


@dataclasses.dataclass(frozen=True)
class StageOrder:
    """Hold before ``change.hold_step`` until the ballot is resolved."""

    change: Change


@dataclasses.dataclass(frozen=True)
class ResolveOrder:
    """Keep or drop the staged change; idempotent for one ballot."""

    ballot: Ballot
    commit: bool


@dataclasses.dataclass(frozen=True)
class InstallOrder:
    """Give an engine without a map its first one.

    :param map: the map of the step that the group is in.
    :param change: a change that the group has staged or decided and not yet begun.
    :param committed: whether ``change`` is decided.
    """

    map: EncodedMap
    change: Change | None = None
    committed: bool = False


Action = t.Union[StageOrder, ResolveOrder, InstallOrder]

# Between agents


class Answer(enum.Enum):
    """What an agent says of one ballot, for all ranks of its engine."""

    YES = "yes"
    NO = "no"
    COMMITTED = "committed"


@dataclasses.dataclass(frozen=True)
class Participant:
    """An agent of the group, in one incarnation."""

    host: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Stage:
    """Ask an agent to stage a change, and for its vote.

    :param base_version: the version that the change starts from.
    :param voter_incarnation: the incarnation that may stage it; a later one can't
        know whether an earlier one has voted no.
    """

    change: Change
    base_version: int
    voter_incarnation: int


@dataclasses.dataclass(frozen=True)
class Ask:
    """Ask for an agent's vote; one that hasn't staged the ballot votes no for good.

    :param map_version: the version that the ballot would bring.
    """

    ballot: Ballot
    map_version: int


@dataclasses.dataclass(frozen=True)
class Vote:
    """Answer a :class:`Stage` or an :class:`Ask`.

    :param floor: the highest ballot that the voter won't stage any more.
    """

    ballot: Ballot
    answer: Answer
    floor: Ballot | None = None


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Tell the decision on a ballot, which the sender's engine has taken."""

    ballot: Ballot
    commit: bool


@dataclasses.dataclass(frozen=True)
class Hello:
    """Announce the sender's incarnation and ask for a :class:`Status`.

    :param participants: the incarnations that the sender has met, and its own.
    """

    participants: tuple[Participant, ...]


@dataclasses.dataclass(frozen=True)
class Status:
    """Answer a :class:`Hello`.

    :param participants: those of the hello; the sender drops any older incarnation.
    :param view: the state of the sender's engine.
    """

    participants: tuple[Participant, ...]
    view: EngineView


@dataclasses.dataclass(frozen=True)
class Stale:
    """Tell the sender of a message that a higher incarnation of it was met.

    :param incarnation: the one that sent the message.
    """

    incarnation: int
    highest_incarnation: int


@dataclasses.dataclass(frozen=True)
class Probe:
    """Ask an agent whether it is ready for a change.

    :param number: names the question for its asker.
    :param base_version: the version that the change starts from.
    """

    number: int
    base_version: int


@dataclasses.dataclass(frozen=True)
class Ready:
    """Answer a :class:`Probe`; the sender promises nothing."""

    number: int
    is_ready: bool


Message = t.Union[Stage, Ask, Vote, Outcome, Hello, Status, Stale, Probe, Ready]


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message with the host and the incarnation that sent it."""

    host: str
    incarnation: int
    message: Message


# Events


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has moved on."""


@dataclasses.dataclass(frozen=True)
class Received:
    """A message came from another agent of the group."""

    envelope: Envelope


@dataclasses.dataclass(frozen=True)
class OrderDone:
    """The engine answered an order, so it can't take effect later."""

    order_id: int
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True)
class OrderUnanswered:
    """The wait for an engine's answer was given up; the order may still take effect."""

    order_id: int


@dataclasses.dataclass(frozen=True)
class ReadDone:
    """The engine answered a read."""

    read_id: int
    view: EngineView


@dataclasses.dataclass(frozen=True)
class ReadUnanswered:
    """The engine didn't answer a read."""

    read_id: int


@dataclasses.dataclass(frozen=True)
class Propose:
    """Somebody beside this agent wants a new map.

    :param base_version: the version that the payload was computed from.
    """

    base_version: int
    payload: bytes


Event = t.Union[
    Tick, Received, OrderDone, OrderUnanswered, ReadDone, ReadUnanswered, Propose
]

# Commands


@dataclasses.dataclass(frozen=True)
class Send:
    """Send ``envelope`` to ``host``; it may be lost."""

    host: str
    envelope: Envelope


@dataclasses.dataclass(frozen=True)
class Order:
    """Give the engine an order, once.

    Report :class:`OrderDone` or :class:`OrderUnanswered`.

    :param fence: fencing token, higher than that of each order before.
    """

    order_id: int
    fence: int
    action: Action


@dataclasses.dataclass(frozen=True)
class Read:
    """Read the engine's state; report :class:`ReadDone` or :class:`ReadUnanswered`."""

    read_id: int


class ProposalResult(enum.Enum):
    """How a proposal ended here."""

    COMMITTED = "committed"
    ABORTED = "aborted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ProposalClosed:
    """Tell the one who proposed how it ended.

    :param ballot: none if the proposal was refused before it got one.
    :param result: unknown if this agent lost its engine before the decision.
    """

    ballot: Ballot | None
    result: ProposalResult


@dataclasses.dataclass(frozen=True)
class Report:
    """Log ``event``."""

    event: events.Event
    host: str
    ballot: Ballot | None = None
    map_version: int | None = None


@dataclasses.dataclass(frozen=True)
class Stop:
    """End this agent: another one gives orders to its engine."""


Command = t.Union[Send, Order, Read, ProposalClosed, Report, Stop]
