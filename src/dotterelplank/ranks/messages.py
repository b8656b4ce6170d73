"""What the agents of a group tell each other, in datagrams."""

import dataclasses
import typing as t

import pydantic

from ..datagram_codec import Codec, name_fields
from ..gateway.host import Address
from ..gateway.tables import ExpertLayout
from . import deltas
from .membership import Members
from .tasks import Arm, Hold, Look, Prepare, Release, Task, Void
from .views import ExpertMap, RankView, Rows


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An agent lives, and its rank is as told.

    :param incarnation: another one with each start of the agent.
    :param sequence_number: rises with each heartbeat.
    :param knows_map: whether it knows the map that its rank uses.
    :param knows_members: whether it knows the layout and the address of each rank.
    :param is_leaving: whether it was told to stop, and only ends what is in progress.
    """

    ip: str
    service: str
    incarnation: int
    sequence_number: int
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
class RowsReport:
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
class MembersRequest:
    """An agent wants to know who belongs to its service."""

    ip: str


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class RankAddress:
    """The address of a rank's server."""

    rank: int
    ip: str
    port: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


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
        return name_fields(cls, values)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class MembersReply:
    """Who belongs to a service, as the platform had it at ``revision``."""

    service: str
    revision: int
    addresses: list[RankAddress]
    layout: Layout | None
    gap_target_ms: float


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class EncodedMap:
    """A map, as a whole or by what differs from another.

    :param base: version of the map that it differs from; none: it is whole.
    :param digest: of the map that is meant.
    """

    base: int | None
    cells: list[int]
    rows: list[list[int]]
    full_map: ExpertMap
    digest: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class TaskRequest:
    """A task for the agents of some ranks.

    :param ip: where the replies go.
    :param request_id: names the replies.
    :param kind: name of the task's type; its fields are those that it has.
    :param forward_to: ranks that the agent passes the task on to, after its own.
    """

    ip: str
    request_id: int
    epoch: int
    kind: t.Literal["look", "prepare", "hold", "arm", "void", "release"]
    version: int
    step: int
    dead: tuple[int, ...]
    map: EncodedMap | None
    forward_to: tuple[int, ...]


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class TaskReply:
    """How a rank is after a task."""

    request_id: int
    view: RankView


CODEC: t.Final = Codec(
    Heartbeat,
    RowsReport,
    Sample,
    TaskRequest,
    TaskReply,
    MembersRequest,
    MembersReply,
    AgentStopped,
)


def encode_members(service: str, members: Members) -> MembersReply:
    """Return the message that tells who belongs to a service."""
    layout = members.layout
    return MembersReply(
        service,
        members.revision,
        [
            RankAddress(rank, address.ip, address.port)
            for rank, address in sorted(members.ranks.items())
        ],
        None if layout is None else Layout(**dataclasses.asdict(layout)),
        members.gap_target_ms,
    )


def decode_members(reply: MembersReply) -> Members:
    """Return who belongs to a service as another agent told it."""
    layout = reply.layout
    return Members(
        {
            address.rank: Address(address.ip, address.port)
            for address in reply.addresses
        },
        None if layout is None else ExpertLayout(**dataclasses.asdict(layout)),
        reply.gap_target_ms,
        {address.ip for address in reply.addresses},
        reply.revision,
    )


def encode_map(
    expert_map: ExpertMap, base: tuple[int, ExpertMap] | None = None
) -> EncodedMap:
    """Return the text of a map.

    :param base: version and map that those who get it are thought to know.
    """
    map_digest = deltas.digest(expert_map)
    if base is None:
        return EncodedMap(None, [], [], expert_map, map_digest)
    delta = deltas.diff(base[1], expert_map)
    return EncodedMap(base[0], delta.cells, delta.rows, [], map_digest)


def decode_map(
    encoded: EncodedMap, known: t.Mapping[int, ExpertMap]
) -> ExpertMap | None:
    """Return the map of a text; none if it can't be told from those that are known."""
    if encoded.base is None:
        expert_map = encoded.full_map
    elif encoded.base in known:
        try:
            delta = deltas.Delta(encoded.cells, encoded.rows)
            expert_map = deltas.apply_delta(known[encoded.base], delta)
        except ValueError:
            return None
    else:
        return None
    return expert_map if deltas.digest(expert_map) == encoded.digest else None


def task_request(
    ip: str, request_id: int, epoch: int, task: Task, encoded: EncodedMap | None
) -> TaskRequest:
    """Return the message of a task.

    :param encoded: the map that is to be prepared.
    """
    kind = type(task).__name__.lower()
    return TaskRequest(
        ip,
        request_id,
        epoch,
        t.cast(t.Any, kind),
        getattr(task, "version", 0),
        getattr(task, "step", 0),
        getattr(task, "dead", ()),
        encoded,
        (),
    )


def decode_task(message: TaskRequest, known: t.Mapping[int, ExpertMap]) -> Task | None:
    """Return the task in a message; none if its map can't be told.

    :param known: maps that its map may be told from, by version.
    """
    expert_map = None if message.map is None else decode_map(message.map, known)
    match message.kind:
        case "prepare":
            return None if expert_map is None else Prepare(message.version, expert_map)
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
