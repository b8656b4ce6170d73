"""The tasks of a map change, which are executed at one rank each.

The agent that drives the change sends a task to the agent of the rank, or sends the
task's orders to the rank itself. Every task results in a report of the rank.
The ``kind`` of a task is its name in messages and metrics.
"""

import dataclasses
import typing as t

from .views import ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class QueryState:
    """Report the state of the rank, without any order."""

    kind: t.ClassVar[str] = "look"


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Order the rank to prepare a map, and wait until it has copied the experts."""

    kind: t.ClassVar[str] = "prepare"

    version: int
    map: ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Order the rank to hold pass ``step``."""

    kind: t.ClassVar[str] = "hold"

    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """Order the rank to arm the prepared map for pass ``step``."""

    kind: t.ClassVar[str] = "arm"

    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Supersede:
    """Order the rank to prepare a version so that it refuses to arm lower ones.

    The version is never armed, so it uses a placeholder map made from the rank's data.

    :param dead: superseded versions; a rank armed with one of them is disarmed first.
    """

    kind: t.ClassVar[str] = "void"

    version: int
    dead: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Order the rank to release pass ``step``."""

    kind: t.ClassVar[str] = "release"

    step: int


Task = QueryState | Prepare | Hold | Arm | Supersede | Release


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A task and the rank at which it is to be executed.

    :param is_direct: whether its orders are sent to the rank itself, not to its agent.
    :param is_repeat: whether the rank was sent a task before in the present phase.
    """

    rank: int
    task: Task
    is_direct: bool
    is_repeat: bool = False
