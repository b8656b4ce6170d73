"""The numbers of expert maps: they only rise, and tell who made the map."""

import typing as t

NONCE_BITS: t.Final = 16
RANK_BITS: t.Final = 12


def next_version(highest: int, rank: int, nonce: int) -> int:
    """Return a version above ``highest`` that nobody else makes.

    :param rank: rank of the maker.
    :param nonce: random, below ``2 ** NONCE_BITS``; tells apart what two agents of one
        rank make.
    """
    counter = (highest >> (RANK_BITS + NONCE_BITS)) + 1
    return (counter << (RANK_BITS + NONCE_BITS)) | (rank << NONCE_BITS) | nonce


def initiator_of(version: int) -> int:
    """Return the rank whose agent made a version."""
    return (version >> NONCE_BITS) & ((1 << RANK_BITS) - 1)
