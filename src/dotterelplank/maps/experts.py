"""Data types of the expert map: which rank holds which expert, and for what share.

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
    """The placement of the experts of a group and the split of their tokens.

    :param version: number of the map; a later map has a higher one.
    :param experts: number of experts in each layer.
    :param slots: integers ``[layer, rank, slot]``, an expert or :data:`EMPTY`.
    :param shares: floats ``[layer, rank, slot]``, the part of the expert's tokens
        that this replica is given; the shares of an expert sum to 1.
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
        """Return how many experts a rank can hold in each layer."""
        return self.slots.shape[2]

    def replicas(self) -> np.ndarray:
        """Return the number of replicas of each expert, ``[layer, expert]``."""
        return sum_by_expert(self.slots, (self.slots != EMPTY) * 1.0, self.experts)

    def rank_tokens(self, tokens: np.ndarray) -> np.ndarray:
        """Return the tokens of each rank, ``[layer, rank]``.

        :param tokens: tokens of each expert, ``[layer, expert]``.
        """
        layer = np.arange(self.layers)[:, None, None]
        return (self.shares * tokens[layer, self.slots]).sum(axis=2)

    def check(self) -> None:
        """Raise :class:`InvariantError` unless the map can serve every token."""
        if self.slots.max() >= self.experts or self.slots.min() < EMPTY:
            raise InvariantError("a slot names an expert that the layer doesn't have")
        if self.replicas().min() < 1:
            raise InvariantError("an expert has no replica")
        if self.shares.min() < 0 or self.shares[self.slots == EMPTY].any():
            raise InvariantError("a share is negative or belongs to an empty slot")
        sums = sum_by_expert(self.slots, self.shares, self.experts)
        if np.abs(sums - 1).max() > SHARE_TOLERANCE:
            raise InvariantError("the shares of an expert don't sum to 1")
        ordered = np.sort(self.slots, axis=2)
        twice = (np.diff(ordered, axis=2) == 0) & (ordered[:, :, 1:] != EMPTY)
        if twice.any():
            raise InvariantError("a rank holds two replicas of one expert")


@dataclasses.dataclass(frozen=True)
class Move:
    """One replica that a rank loads from the weight store.

    :param evicted: the expert that leaves the slot, or :data:`EMPTY`.
    """

    layer: int
    expert: int
    rank: int
    slot: int
    evicted: int


@dataclasses.dataclass(frozen=True)
class Observation:
    """What the ranks of a group report about the steps of one window.

    :param window_ms: length of the window.
    :param steps: number of steps in it.
    :param tokens: tokens routed to each expert, ``[layer, expert]``.
    :param rank_tokens: tokens that each rank ran, ``[layer, rank]``.
    :param busy_ms: time that each rank spent on them, ``[layer, rank]``.
    """

    window_ms: float
    steps: int
    tokens: np.ndarray
    rank_tokens: np.ndarray
    busy_ms: np.ndarray


def sum_by_expert(slots: np.ndarray, values: np.ndarray, experts: int) -> np.ndarray:
    """Return the sums of ``values`` over the replicas, ``[layer, expert]``.

    :param slots: integers ``[layer, rank, slot]``.
    :param values: floats of the same shape; those of empty slots are left out.
    """
    layers = slots.shape[0]
    layer, rank, slot = np.nonzero(slots != EMPTY)
    key = layer * experts + slots[layer, rank, slot]
    sums = np.bincount(key, values[layer, rank, slot], layers * experts)
    return sums.reshape(layers, experts)


def even_shares(slots: np.ndarray, experts: int) -> np.ndarray:
    """Return shares that split each expert evenly over its replicas."""
    held = slots != EMPTY
    count = sum_by_expert(slots, held * 1.0, experts)
    layer = np.arange(slots.shape[0])[:, None, None]
    return np.where(held, 1 / np.maximum(count[layer, slots], 1), 0.0)
