"""What the agents of a group tell each other, in datagrams."""

import dataclasses
import typing as t

import pydantic

from ..gateway.host import Address
from ..gateway.tables import ExpertLayout
from ..packets import Codec, by_position
from . import deltas
from .membership import Members
from .tasks import Arm, Hold, Look, Prepare, Release, Task, Void
from .views import ExpertMap, RankView, Rows


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An agent lives, and its rank is as told.

    :param incarnation: another one with each start of the agent.
    :param number: rises with each heartbeat.
    :param knows_map: whether it knows the map that its rank uses.
    :param knows_members: whether it knows the layout and the address of each rank.
    :param is_leaving: whether it was told to stop, and only ends what is in progress.
    """

    ip: str
    service: str
    incarnation: int
    number: int
    view: RankView
    knows_map: bool
    knows_members: bool
    is_leaving: bool = False


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class AgentStopped:
    """An agent ends: its rank is to be spoken to directly."""

    ip: str
    incarnation: int


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class OwnRows:
    """The experts that a rank holds, for a leader that doesn't know the map in use."""

    group: str
    epoch: int
    rank: int
    version: int
    rows: Rows


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """How often the calls of some ranks chose each expert since the sample before.

    :param unit: what one of ``counts`` stands for.
    """

    group: str
    epoch: int
    unit: int
    counts: bytes


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class MembersAsked:
    """An agent wants to know who belongs to its service."""

    ip: str


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The address of a rank's server."""

    rank: int
    ip: str
    port: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return by_position(cls, values)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The layout of a service's expert maps."""

    layers: int
    experts: int
    places: int
    spare: int
    copy_ms: float

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return by_position(cls, values)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class MembersTold:
    """Who belongs to a service, as the platform had it at ``revision``."""

    service: str
    revision: int
    places: list[Place]
    layout: Layout | None
    gap_target_ms: float


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class MapText:
    """A map, as a whole or by what differs from another.

    :param base: version of the map that it differs from; none: it is whole.
    :param digest: of the map that is meant.
    """

    base: int | None
    cells: list[int]
    rows: list[list[int]]
    whole: ExpertMap
    digest: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return by_position(cls, values)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A task for the agents of some ranks.

    :param ip: where the replies go.
    :param number: names the replies.
    :param kind: name of the task's type; its fields are those that it has.
    :param pass_on: ranks that the agent passes the task on to, after its own.
    """

    ip: str
    number: int
    epoch: int
    kind: t.Literal["look", "prepare", "hold", "arm", "void", "release"]
    version: int
    step: int
    dead: tuple[int, ...]
    map: MapText | None
    pass_on: tuple[int, ...]


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """How a rank is after a task."""

    number: int
    view: RankView


CODEC: t.Final = Codec(
    Heartbeat, OwnRows, Sample, Ask, Reply, MembersAsked, MembersTold, AgentStopped
)


def members_told(service: str, members: Members) -> MembersTold:
    """Return the message that tells who belongs to a service."""
    layout = members.layout
    return MembersTold(
        service,
        members.revision,
        [Place(rank, one.ip, one.port) for rank, one in sorted(members.ranks.items())],
        None if layout is None else Layout(**dataclasses.asdict(layout)),
        members.gap_target_ms,
    )


def members_of(told: MembersTold) -> Members:
    """Return who belongs to a service as another agent told it."""
    layout = told.layout
    return Members(
        {place.rank: Address(place.ip, place.port) for place in told.places},
        None if layout is None else ExpertLayout(**dataclasses.asdict(layout)),
        told.gap_target_ms,
        {place.ip for place in told.places},
        told.revision,
    )


def map_text(
    expert_map: ExpertMap, base: tuple[int, ExpertMap] | None = None
) -> MapText:
    """Return the text of a map.

    :param base: version and map that those who get it are thought to know.
    """
    number = deltas.digest(expert_map)
    if base is None:
        return MapText(None, [], [], expert_map, number)
    delta = deltas.difference(base[1], expert_map)
    return MapText(base[0], delta.cells, delta.rows, [], number)


def map_of(text: MapText, known: t.Mapping[int, ExpertMap]) -> ExpertMap | None:
    """Return the map of a text; none if it can't be told from those that are known."""
    if text.base is None:
        found = text.whole
    elif text.base in known:
        try:
            delta = deltas.Delta(text.cells, text.rows)
            found = deltas.applied(known[text.base], delta)
        except ValueError:
            return None
    else:
        return None
    return found if deltas.digest(found) == text.digest else None


def ask(ip: str, number: int, epoch: int, task: Task, text: MapText | None) -> Ask:
    """Return the message of a task.

    :param text: the map that is to be prepared.
    """
    kind = type(task).__name__.lower()
    return Ask(
        ip,
        number,
        epoch,
        t.cast(t.Any, kind),
        getattr(task, "version", 0),
        getattr(task, "step", 0),
        getattr(task, "dead", ()),
        text,
        (),
    )


def task_of(message: Ask, known: t.Mapping[int, ExpertMap]) -> Task | None:
    """Return the task in a message; none if its map can't be told.

    :param known: maps that its map may be told from, by version.
    """
    found = None if message.map is None else map_of(message.map, known)
    match message.kind:
        case "prepare":
            return None if found is None else Prepare(message.version, found)
        case "hold":
            return Hold(message.step)
        case "arm":
            return Arm(message.version, message.step)
        case "void":
            return Void(message.version, message.dead)
        case "release":
            return Release(message.step)
        case "look":
            return Look()
