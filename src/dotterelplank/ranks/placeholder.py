"""A map that asks nothing new of a rank, made from what that rank alone can tell.

A version that is prepared only so that lower ones are refused is never armed. Its map
must be valid, and its rank must hold what it holds already; where the other experts lie
doesn't matter. So whoever clears up needs no knowledge of the map in use.
"""

import typing as t

from .views import ExpertMap, Rows


def placeholder(rank: int, size: int, rows: Rows, experts: int) -> ExpertMap:
    """Return a map in which ``rank`` holds ``rows`` and each expert lies somewhere.

    :param size: ranks of the group.
    :param rows: the experts that the rank holds now, by layer.
    :param experts: experts of a layer.
    """
    return [_layer(rank, size, row, experts) for row in rows]


def _layer(rank: int, size: int, row: t.Sequence[int], experts: int) -> list[list[int]]:
    others = size - 1
    held = set(row)
    rest = [expert for expert in range(experts) if expert not in held]
    parts = [rest[number::others] for number in range(others)]
    # A rank without any expert may not be valid; a replica is.
    parts = [part or list(row[:1]) for part in parts]
    return [*parts[:rank], list(row), *parts[rank:]]
