"""The difference of two expert maps, which takes fewer bytes to send than a map."""

import dataclasses
import typing as t
import zlib

import msgpack

from .views import ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The positions of a map whose expert differs from that of the map before.

    Positions are numbered across all rows of the map before, and rows across all
    layers. A row holds the experts of one rank in one layer.

    :param cells: two numbers for each such position, in rows of unchanged length: its
        offset from the position of the preceding entry, and its new expert.
    :param rows: the index of each row whose length differs, followed by its experts.
    """

    cells: list[int]
    rows: list[list[int]]


def diff(before: ExpertMap, after: ExpertMap) -> Delta:
    """Return the delta from ``before`` to ``after``, which has as many rows."""
    cells: list[int] = []
    rows: list[list[int]] = []
    first = last = 0
    for index, (old, new) in enumerate(zip(_rows(before), _rows(after))):
        if len(old) != len(new):
            rows.append([index, *new])
        else:
            for column, (left, right) in enumerate(zip(old, new)):
                if left != right:
                    cells += (first + column - last, right)
                    last = first + column
        first += len(old)
    return Delta(cells, rows)


def apply_delta(before: ExpertMap, delta: Delta) -> ExpertMap:
    """Return the map that results from applying ``delta`` to ``before``.

    :raises ValueError: if the delta refers to a position or row outside the map.
    """
    after = [[list(row) for row in layer] for layer in before]
    flat = [row for layer in after for row in layer]
    cells = [(row, column) for row in flat for column in range(len(row))]
    position = 0
    for offset, expert in zip(delta.cells[::2], delta.cells[1::2]):
        position += offset
        if not 0 <= position < len(cells):
            raise ValueError(f"place {position} is outside a map of size {len(cells)}")
        row, column = cells[position]
        row[column] = expert
    for index, *row in delta.rows:
        if not 0 <= index < len(flat):
            raise ValueError(f"row {index} is outside a map with row count {len(flat)}")
        flat[index][:] = row
    return after


def digest(expert_map: ExpertMap) -> int:
    """Return a checksum of a map."""
    return zlib.crc32(msgpack.packb(expert_map))


def _rows(expert_map: ExpertMap) -> t.Iterator[list[int]]:
    for layer in expert_map:
        yield from layer
