"""What the agents of a group tell each other, in datagrams."""

import typing as t

import pydantic

from ..packets import Codec
from .tasks import Arm, Hold, Look, Prepare, Release, Task, Void
from .views import ExpertMap, RankView, Rows


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An agent lives, and its rank is as told.

    :param incarnation: rises with each start of the agent.
    :param number: rises with each heartbeat.
    :param rows: the experts that the rank holds in the map in use.
    """

    ip: str
    service: str
    incarnation: int
    number: int
    view: RankView
    rows: Rows


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """How often the calls of a rank chose each expert since the sample before."""

    ip: str
    view: RankView
    step: int
    counts: list[int]


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A task for the agent of a rank.

    :param number: names the reply.
    :param kind: name of the task's type; its fields are those that it has.
    """

    ip: str
    number: int
    epoch: int
    kind: t.Literal["look", "prepare", "hold", "arm", "void", "release"]
    version: int
    step: int
    map: ExpertMap
    dead: tuple[int, ...]


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """How the rank is after a task."""

    number: int
    view: RankView


CODEC: t.Final = Codec(Heartbeat, Sample, Ask, Reply)


def ask(ip: str, number: int, epoch: int, task: Task) -> Ask:
    """Return the message of a task."""
    kind = type(task).__name__.lower()
    return Ask(
        ip,
        number,
        epoch,
        t.cast(t.Any, kind),
        getattr(task, "version", 0),
        getattr(task, "step", 0),
        getattr(task, "map", []),
        getattr(task, "dead", ()),
    )


def task_of(message: Ask) -> Task:
    """Return the task in a message."""
    match message.kind:
        case "prepare":
            return Prepare(message.version, message.map)
        case "hold":
            return Hold(message.step)
        case "arm":
            return Arm(message.version, message.step)
        case "void":
            return Void(message.version, message.map, message.dead)
        case "release":
            return Release(message.step)
        case "look":
            return Look()
