"""The messages that the agents of a group send each other as datagrams."""

import dataclasses
import typing as t

import pydantic

from ..datagram_codec import Codec, name_fields
from ..gateway.host import Address
from ..gateway.revisions import Revision
from ..gateway.tables import ExpertLayout
from . import deltas
from .membership import Members, RankId
from .tasks import Arm, Hold, Prepare, QueryState, Release, Supersede, Task
from .views import ExpertMap, Formation, RankView, Rows


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign that an agent is alive, with the latest report of its rank.

    :param ip: address of the agent's host.
    :param incarnation: a number that differs with each start of the agent.
    :param sequence_number: a number that rises with each heartbeat.
    :param view: the latest report of the rank.
    :param knows_map: whether the agent knows the map that its rank uses.
    :param knows_members: whether the agent knows the layout and all ranks' addresses.
    :param is_leaving: whether the agent is stopping and only completes the changes in
        progress.
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
    """The notice that an agent has stopped; tasks now go to its rank directly."""

    ip: str
    incarnation: int


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class RowsReport:
    """The experts that a rank holds, for a leader that doesn't know the map in use.

    :param version: version of the map that ``rows`` are part of.
    """

    group: str
    epoch: int
    rank: int
    version: int
    rows: Rows

    @property
    def formation(self) -> Formation:
        """The group and epoch that the message is for."""
        return Formation(self.group, self.epoch)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """How often the calls of some ranks chose each expert since the last sample.

    :param unit: the factor by which ``counts`` are multiplied to get the choices.
    """

    group: str
    epoch: int
    unit: int
    counts: bytes

    @property
    def formation(self) -> Formation:
        """The group and epoch that the message is for."""
        return Formation(self.group, self.epoch)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class MembersRequest:
    """A request for the members of a service.

    :param ip: address of the host that the reply is sent to.
    """

    ip: str


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class RankAddress:
    """The address of a rank's server."""

    group: str
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
    """The members of a service, as stored by the platform at ``revision``.

    The fields are those of :class:`.membership.Members`.
    """

    service: str
    revision: Revision
    addresses: list[RankAddress]
    layout: Layout | None
    gap_target_ms: float


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class EncodedMap:
    """A map, in full or as a delta.

    :param base: version of the map that the delta applies to; ``None`` if the map is
        sent in full.
    :param cells: see :class:`.deltas.Delta`.
    :param rows: see :class:`.deltas.Delta`.
    :param full_map: the map, if it is sent in full.
    :param digest: checksum of the map.
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

    :param ip: address of the host that the replies are sent to.
    :param request_id: a number that the replies repeat.
    :param group: group that the task is for, in ``epoch``.
    :param kind: type of the task. ``version``, ``step``, ``dead`` and ``map`` are set
        as far as a task of this type has them.
    :param forward_to: ranks whose agents the receiver forwards the task to.
    """

    ip: str
    request_id: int
    group: str
    epoch: int
    kind: t.Literal["look", "prepare", "hold", "arm", "void", "release"]
    version: int
    step: int
    dead: tuple[int, ...]
    map: EncodedMap | None
    forward_to: tuple[int, ...]

    @property
    def formation(self) -> Formation:
        """The group and epoch that the message is for."""
        return Formation(self.group, self.epoch)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class TaskReply:
    """The report of a rank after a task."""

    request_id: int
    view: RankView


FORMAT: t.Final = "agent/2"
"""Agents ignore messages of another format, as those of an older program are."""

CODEC: t.Final = Codec(
    FORMAT,
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
    """Return the message with the members of a service."""
    layout = members.layout
    return MembersReply(
        service,
        members.revision,
        [
            RankAddress(rank_id.group, rank_id.rank, address.ip, address.port)
            for rank_id, address in sorted(members.ranks.items())
        ],
        None if layout is None else Layout(**dataclasses.asdict(layout)),
        members.gap_target_ms,
    )


def decode_members(reply: MembersReply) -> Members:
    """Return the members of a service from another agent's message."""
    layout = reply.layout
    return Members(
        {
            RankId(address.group, address.rank): Address(address.ip, address.port)
            for address in reply.addresses
        },
        None if layout is None else ExpertLayout(**dataclasses.asdict(layout)),
        reply.gap_target_ms,
        {address.ip: address.group for address in reply.addresses},
        reply.revision,
    )


def encode_map(
    expert_map: ExpertMap, base: tuple[int, ExpertMap] | None = None
) -> EncodedMap:
    """Return a map encoded for a message.

    :param base: version and map that the receivers are expected to know; ``None`` to
        send the map in full.
    """
    map_digest = deltas.digest(expert_map)
    if base is None:
        return EncodedMap(None, [], [], expert_map, map_digest)
    delta = deltas.diff(base[1], expert_map)
    return EncodedMap(base[0], delta.cells, delta.rows, [], map_digest)


def decode_map(
    encoded: EncodedMap, known: t.Mapping[int, ExpertMap]
) -> ExpertMap | None:
    """Return the decoded map, or ``None`` if it can't be decoded.

    A delta can't be decoded if its base isn't among the ``known`` maps, which are given
    by version, or if the checksum of the result differs.
    """
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
    ip: str,
    request_id: int,
    formation: Formation,
    task: Task,
    encoded: EncodedMap | None,
) -> TaskRequest:
    """Return the message that carries a task.

    :param formation: the group and epoch that the task is for.
    :param encoded: the map to prepare; ``None`` for any other task.
    """
    return TaskRequest(
        ip,
        request_id,
        formation.group,
        formation.epoch,
        t.cast(t.Any, task.kind),
        getattr(task, "version", 0),
        getattr(task, "step", 0),
        getattr(task, "dead", ()),
        encoded,
        (),
    )


def decode_task(message: TaskRequest, known: t.Mapping[int, ExpertMap]) -> Task | None:
    """Return the task in a message, or ``None`` if its map can't be decoded.

    :param known: maps that the task's map may be a delta of, by version.
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
            return Supersede(message.version, message.dead)
        case "release":
            return Release(message.step)
        case "look":
            return QueryState()
