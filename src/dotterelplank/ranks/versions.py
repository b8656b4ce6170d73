"""The numbers of expert maps: they only rise, and tell who made the map."""

import typing as t

DRAW_BITS: t.Final = 16
RANK_BITS: t.Final = 12


def next_version(highest: int, rank: int, draw: int) -> int:
    """Return a version above ``highest`` that nobody else makes.

    :param rank: rank of the maker.
    :param draw: random, below ``2 ** DRAW_BITS``; tells apart what two agents of one
        rank make.
    """
    turn = (highest >> (RANK_BITS + DRAW_BITS)) + 1
    return (turn << (RANK_BITS + DRAW_BITS)) | (rank << DRAW_BITS) | draw


def maker_of(version: int) -> int:
    """Return the rank whose agent made a version."""
    return (version >> DRAW_BITS) & ((1 << RANK_BITS) - 1)
