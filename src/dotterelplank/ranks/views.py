"""What a rank says of itself, and the orders that it takes.

A rank is one server of a group whose servers make every pass together. Each holds an
expert map; a pass must never begin while two ranks of the group hold different ones.
"""

import dataclasses
import typing as t

import pydantic

from ..datagram_codec import name_fields

Rows = list[list[int]]
"""The experts that a rank holds, by layer."""

ExpertMap = list[list[list[int]]]
"""The experts of a group, by layer and rank."""


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Armed:
    """The map to which a rank switches as a pass begins."""

    version: int
    step: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class RankView:
    """A rank at one moment.

    :param epoch: rises each time its group forms anew; all else starts afresh then.
    :param step: the last pass that has begun.
    :param map_version: the map in use.
    :param prepared: the map that is ready for use; none while one is being copied.
    :param held: the pass that the rank keeps its group from beginning.
    :param active: calls that it works on.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared: int | None
    armed: Armed | None
    held: int | None
    active: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """How often the calls of a rank chose each expert since its start.

    :param counts: by layer and expert, one row after the other.
    """

    epoch: int
    step: int
    counts: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class RankRows:
    """A rank's part of the map in use."""

    epoch: int
    version: int
    rows: Rows


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareMap:
    """Copy what is new to the rank, and keep the map ready.

    Refused if the version isn't higher than all that the rank has had, or while the
    rank is armed.
    """

    epoch: int
    version: int
    map: ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class ArmMap:
    """Switch to the prepared map as pass ``step`` begins.

    Refused if another version is prepared or the pass has begun.
    """

    epoch: int
    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class DisarmMap:
    """Don't switch to the map of this version."""

    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldStep:
    """Keep the group from beginning pass ``step`` until it is released here.

    Refused if the pass has begun or another is held.
    """

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseStep:
    """Let the group begin pass ``step``, as far as this rank is concerned."""

    epoch: int
    step: int


Order = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep


class Rank(t.Protocol):
    """A rank as its agent reaches it.

    Each method raises :class:`~dotterelplank.errors.UpstreamError` if no answer came;
    an order without an answer may still be carried out, seconds later.
    """

    async def view(self) -> RankView:
        """Return what the rank says of itself now."""

    async def rows(self) -> RankRows:
        """Return the rank's part of the map in use."""

    async def counts(self) -> Counts:
        """Return how often the rank's calls chose each expert."""

    async def send_order(self, order: Order) -> bool:
        """Give an order; return whether it was accepted."""
