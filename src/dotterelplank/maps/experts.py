"""Data types of the expert map: which rank holds which expert, with which share.

Arrays are indexed by layer, rank and slot, or by layer and expert. A slot holds
the number of an expert, or :data:`EMPTY`.
"""

import dataclasses
import typing as t

import numpy as np

from ..errors import InvariantError

EMPTY: t.Final = -1
SHARE_TOLERANCE: t.Final = 1e-6


@dataclasses.dataclass(frozen=True)
class ExpertMap:
    """The placement of a group's experts on ranks and the shares of their replicas.

    :param version: version of the map; a later map has a higher version.
    :param experts: number of experts in each layer.
    :param slots: integers ``[layer, rank, slot]``; each is the number of an expert or
        :data:`EMPTY`.
    :param shares: floats ``[layer, rank, slot]``, the fraction of the expert's tokens
        that is routed to this replica; the shares of an expert sum to 1.
    """

    version: int
    experts: int
    slots: np.ndarray
    shares: np.ndarray

    @property
    def layers(self) -> int:
        """Return the number of layers."""
        return self.slots.shape[0]

    @property
    def ranks(self) -> int:
        """Return the number of ranks."""
        return self.slots.shape[1]

    @property
    def slots_per_rank(self) -> int:
        """Return the number of experts that a rank can hold in each layer."""
        return self.slots.shape[2]

    def replicas(self) -> np.ndarray:
        """Return the number of replicas of each expert, ``[layer, expert]``."""
        return sum_by_expert(self.slots, (self.slots != EMPTY) * 1.0, self.experts)

    def rank_tokens(self, tokens: np.ndarray) -> np.ndarray:
        """Return the number of tokens routed to each rank, ``[layer, rank]``.

        :param tokens: number of tokens of each expert, ``[layer, expert]``.
        """
        layer = np.arange(self.layers)[:, None, None]
        return (self.shares * tokens[layer, self.slots]).sum(axis=2)

    def check(self) -> None:
        """Check that the map can serve every token.

        :raises InvariantError: if it can't, or a rank holds an expert twice in a layer.
        """
        if self.slots.max() >= self.experts or self.slots.min() < EMPTY:
            raise InvariantError("a slot holds an expert number that is out of range")
        if self.replicas().min() < 1:
            raise InvariantError("an expert has no replica")
        if self.shares.min() < 0 or self.shares[self.slots == EMPTY].any():
            raise InvariantError("a share is negative, or an empty slot has a share")
        sums = sum_by_expert(self.slots, self.shares, self.experts)
        if np.abs(sums - 1).max() > SHARE_TOLERANCE:
            raise InvariantError("the shares of an expert don't sum to 1")
        ordered = np.sort(self.slots, axis=2)
        duplicates = (np.diff(ordered, axis=2) == 0) & (ordered[:, :, 1:] != EMPTY)
        if duplicates.any():
            raise InvariantError("a rank holds two replicas of one expert")


@dataclasses.dataclass(frozen=True)
class Move:
    """One expert replica that a rank loads from the weight store.

    :param slot: the slot of the rank that receives the replica.
    :param evicted: the expert that the slot held before, or :data:`EMPTY`.
    """

    layer: int
    expert: int
    rank: int
    slot: int
    evicted: int


@dataclasses.dataclass(frozen=True)
class Observation:
    """The load of a group's ranks during one window.

    :param window_ms: length of the window in milliseconds.
    :param steps: number of steps in the window.
    :param tokens: number of tokens routed to each expert, ``[layer, expert]``.
    :param rank_tokens: number of tokens that each rank processed, ``[layer, rank]``.
    :param busy_ms: time in milliseconds that each rank spent on these tokens,
        ``[layer, rank]``.
    """

    window_ms: float
    steps: int
    tokens: np.ndarray
    rank_tokens: np.ndarray
    busy_ms: np.ndarray


def sum_by_expert(slots: np.ndarray, values: np.ndarray, experts: int) -> np.ndarray:
    """Return the sum of ``values`` over the replicas of each expert.

    :param slots: integers ``[layer, rank, slot]``.
    :param values: floats of the same shape; those of empty slots are ignored.
    :param experts: number of experts in each layer.
    :return: sums ``[layer, expert]``.
    """
    layers = slots.shape[0]
    layer, rank, slot = np.nonzero(slots != EMPTY)
    key = layer * experts + slots[layer, rank, slot]
    sums = np.bincount(key, values[layer, rank, slot], layers * experts)
    return sums.reshape(layers, experts)


def even_shares(slots: np.ndarray, experts: int) -> np.ndarray:
    """Return shares that split the tokens of each expert evenly over its replicas."""
    held = slots != EMPTY
    count = sum_by_expert(slots, held * 1.0, experts)
    layer = np.arange(slots.shape[0])[:, None, None]
    return np.where(held, 1 / np.maximum(count[layer, slots], 1), 0.0)
