"""The reports of a rank and the orders that it accepts.

A rank is one server of a group whose servers run every forward pass together. Each
rank uses an expert map, which says which rank holds which experts. A pass must never
begin while two ranks of the group use different maps.
"""

import dataclasses
import typing as t

import pydantic

from ..datagram_codec import name_fields

Rows = list[list[int]]
"""The experts that one rank holds, by layer."""

ExpertMap = list[list[list[int]]]
"""The experts that each rank of a group holds, by layer and rank."""


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Armed:
    """The version of the map to which a rank switches as pass ``step`` begins."""

    version: int
    step: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


class Formation(t.NamedTuple):
    """A group of ranks as it formed once.

    :param epoch: a number that rises each time the group forms anew.
    """

    group: str
    epoch: int


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class RankView:
    """The report of a rank on its state.

    :param group: name of the rank's group.
    :param epoch: a number that rises each time the group forms anew, which resets the
        rest of the state.
    :param size: number of ranks of the group.
    :param is_open: whether the group is open, so that it runs passes.
    :param step: the last pass that has begun.
    :param map_version: version of the map in use.
    :param prepared: version of the map that is ready for use; ``None`` if there is none
        or its experts are still being copied.
    :param armed: the map to switch to and the pass; ``None`` if there is none.
    :param held: the pass that the rank holds, that is, keeps the group from beginning;
        ``None`` if there is none.
    :param active: number of calls in progress.
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

    @property
    def formation(self) -> Formation:
        """The group and its epoch."""
        return Formation(self.group, self.epoch)

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """How often the calls of a rank chose each expert since the rank's start.

    :param counts: the counts of all experts, one layer after the other.
    """

    epoch: int
    step: int
    counts: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class RankRows:
    """A rank's part of the map in use.

    :param version: version of the map.
    """

    epoch: int
    version: int
    rows: Rows


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareMap:
    """The order to copy the experts that a map adds to the rank and to keep it ready.

    The rank refuses the order if the version isn't higher than all versions that it has
    had, or while it is armed.
    """

    epoch: int
    version: int
    map: ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class ArmMap:
    """The order to switch to the prepared map as pass ``step`` begins.

    The rank refuses the order if another version is prepared or the pass has begun.
    """

    epoch: int
    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class DisarmMap:
    """The order not to switch to the map of this version."""

    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldStep:
    """The order to keep the group from beginning pass ``step`` until it is released.

    The rank refuses the order if the pass has begun or another one is held.
    """

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseStep:
    """The order to release the rank's hold on pass ``step``."""

    epoch: int
    step: int


Order = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep


class Rank(t.Protocol):
    """The interface by which an agent reads a rank and sends it orders.

    Each method raises :class:`~dotterelplank.errors.UpstreamError` if the rank doesn't
    answer. An unanswered order may still be executed seconds later.
    """

    async def view(self) -> RankView:
        """Return the rank's report on its present state."""

    async def rows(self) -> RankRows:
        """Return the rank's part of the map in use."""

    async def counts(self) -> Counts:
        """Return how often the rank's calls chose each expert since its start."""

    async def send_order(self, order: Order) -> bool:
        """Send an order; return whether the rank accepted it."""
