"""The shares of each expert's tokens that its existing replicas receive.

New shares load no bytes, so they are computed before any move is considered.
"""

import typing as t

import numpy as np

from .experts import EMPTY

STEP_SIZE: t.Final = 0.9
MOMENTUM: t.Final = 0.6
MIN_SHARE: t.Final = 1e-4
TOLERANCE_RATIO: t.Final = 1e-3
CHECK_INTERVAL_ROUNDS: t.Final = 10


def balance(
    slots: np.ndarray,
    start: np.ndarray,
    tokens: np.ndarray,
    speeds: np.ndarray,
    rounds: int,
) -> np.ndarray:
    """Return shares under which the ranks of each layer take as equal time as possible.

    Each round is a step of mirror descent: the share of a replica on a rank that is
    slower than the mean decreases, that of a replica on a faster rank increases. The
    descent converges where the ranks of all used replicas of an expert take equal
    time. These shares have the smallest maximum and the largest minimum of the rank
    times that the placement allows.

    :param slots: integers ``[layer, rank, slot]``.
    :param start: shares to start from, of the same shape.
    :param tokens: number of tokens of each expert, ``[layer, expert]``.
    :param speeds: tokens that each rank processes per millisecond, ``[rank]``.
    :param rounds: maximum number of rounds.
    """
    layers, ranks, _ = slots.shape
    experts = tokens.shape[1]
    layer, rank, slot = np.nonzero(slots != EMPTY)
    expert_key = layer * experts + slots[layer, rank, slot]
    rank_key = layer * ranks + rank
    load = np.maximum(tokens, 1e-9).reshape(-1)[expert_key]
    ideal = np.outer(tokens.sum(axis=1) / speeds.sum(), speeds).reshape(-1)
    share = np.maximum(start[layer, rank, slot], MIN_SHARE)
    share /= np.bincount(expert_key, share)[expert_key]
    velocity = np.zeros_like(share)
    for round_number in range(rounds):
        excess = np.bincount(rank_key, share * load, layers * ranks) / ideal - 1
        if (
            round_number % CHECK_INTERVAL_ROUNDS == 0
            and np.abs(excess).max() < TOLERANCE_RATIO
        ):
            break
        velocity = MOMENTUM * velocity - STEP_SIZE * np.clip(excess, -1, 1)[rank_key]
        share = np.maximum(share * np.exp(velocity), MIN_SHARE)
        share /= np.bincount(expert_key, share)[expert_key]
    share[share <= 2 * MIN_SHARE] = 0
    share /= np.bincount(expert_key, share)[expert_key]
    shares = np.zeros(slots.shape)
    shares[layer, rank, slot] = share
    return shares


def rank_times_ms(
    slots: np.ndarray, shares: np.ndarray, tokens: np.ndarray, speeds: np.ndarray
) -> np.ndarray:
    """Return the expected time of each rank in a step, ``[layer, rank]``.

    :param slots: integers ``[layer, rank, slot]``.
    :param shares: shares of the same shape.
    :param tokens: number of tokens of each expert in a step, ``[layer, expert]``.
    :param speeds: tokens that each rank processes per millisecond, ``[rank]``.
    :return: times in milliseconds.
    """
    layer = np.arange(slots.shape[0])[:, None, None]
    return (shares * tokens[layer, slots]).sum(axis=2) / speeds
