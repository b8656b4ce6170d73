"""What the driver of a change has the agent of a rank, or the rank itself, do."""

import dataclasses

from .views import ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class Look:
    """Say how the rank is."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Have the map prepared."""

    version: int
    map: ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Have the pass held."""

    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """Have the map armed for the pass."""

    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Void:
    """Have a version prepared that refuses late orders to arm lower ones.

    It is never armed, so its map is made where the rank is.

    :param dead: versions that may be disarmed first.
    """

    version: int
    dead: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Have the pass released."""

    step: int


Task = Look | Prepare | Hold | Arm | Void | Release


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A task for the agent of a rank, or for the rank itself if ``is_direct``.

    :param is_repeat: whether the rank was given it before.
    """

    rank: int
    task: Task
    is_direct: bool
    is_repeat: bool = False
