"""The version numbers of expert maps.

A version is made up of a counter, the rank of its initiator and a nonce. Versions only
rise.
"""

import typing as t

NONCE_BITS: t.Final = 16
"""The number of bits of the random part of a version."""
RANK_BITS: t.Final = 12
"""The number of bits of the initiator's rank."""


def next_version(highest: int, rank: int, nonce: int) -> int:
    """Return a unique version that is higher than ``highest``.

    :param rank: rank of the initiator.
    :param nonce: a random number below ``2 ** NONCE_BITS``, which distinguishes the
        versions of two agent processes of the same rank.
    """
    counter = (highest >> (RANK_BITS + NONCE_BITS)) + 1
    return (counter << (RANK_BITS + NONCE_BITS)) | (rank << NONCE_BITS) | nonce


def initiator_of(version: int) -> int:
    """Return the rank of the agent that created a version."""
    return (version >> NONCE_BITS) & ((1 << RANK_BITS) - 1)
