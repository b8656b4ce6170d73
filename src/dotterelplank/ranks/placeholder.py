"""A placeholder map, which a rank can prepare without copying any experts.

To abort a change, a rank prepares a higher version that is never armed, so that it
refuses lower ones. The map of that version must be valid and keep the experts that the
rank holds already. The placement of the other experts doesn't matter. The map is made
from data of this one rank, so an agent can abort a change without knowing the map in
use.
"""

import typing as t

from .views import ExpertMap, Rows


def placeholder(rank: int, size: int, rows: Rows, experts: int) -> ExpertMap:
    """Return a map in which ``rank`` holds ``rows`` and some rank holds each expert.

    :param size: number of ranks of the group.
    :param rows: the experts that the rank holds now, by layer.
    :param experts: number of experts of a layer.
    """
    return [_layer(rank, size, row, experts) for row in rows]


def _layer(rank: int, size: int, row: t.Sequence[int], experts: int) -> list[list[int]]:
    others = size - 1
    held = set(row)
    rest = [expert for expert in range(experts) if expert not in held]
    parts = [rest[number::others] for number in range(others)]
    # A map may be invalid if a rank holds no expert; holding a replica is valid.
    parts = [part or list(row[:1]) for part in parts]
    return [*parts[:rank], list(row), *parts[rank:]]
