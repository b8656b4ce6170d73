"""Conversion of expert maps between published values and the arrays for planning."""

import typing as t

import numpy as np

from ..config.planned_maps import EXPERTS_KEY, SHARES_KEY, Planning, value_faults
from .experts import EMPTY, ExpertMap, even_shares, sum_by_expert

SHARE_DECIMALS: t.Final = 6


def map_from_value(
    value: t.Mapping[str, t.Any], planning: Planning, ranks: int, version: int
) -> ExpertMap | None:
    """Return the map that ``value`` describes, as arrays.

    :param value: the published map.
    :param ranks: number of ranks of the group.
    :return: the map, or ``None`` if ``value`` isn't a valid map for a group of this
        size.
    """
    if any(value_faults("map", value, planning, ranks)):
        return None
    shape = (planning.layers, ranks, planning.slots_per_rank)
    slots = np.full(shape, EMPTY)
    shares = np.zeros(shape)
    published_shares = value.get(SHARES_KEY)
    for rank, numbers in enumerate(value[EXPERTS_KEY]):
        filled_slots = [0] * planning.layers
        for position, number in enumerate(numbers):
            layer, expert = divmod(number, planning.experts)
            slots[layer, rank, filled_slots[layer]] = expert
            if published_shares is not None:
                shares[layer, rank, filled_slots[layer]] = published_shares[rank][
                    position
                ]
            filled_slots[layer] += 1
    if published_shares is None:
        return ExpertMap(
            version, planning.experts, slots, even_shares(slots, planning.experts)
        )
    return ExpertMap(
        version, planning.experts, slots, _normalized_shares(slots, shares, planning)
    )


def _normalized_shares(
    slots: np.ndarray, shares: np.ndarray, planning: Planning
) -> np.ndarray:
    """Return ``shares`` scaled so that the shares of each expert sum to 1.

    Published shares are rounded, so their sums differ slightly from 1.
    """
    sums = sum_by_expert(slots, shares, planning.experts)
    layer = np.arange(slots.shape[0])[:, None, None]
    return np.where(slots == EMPTY, 0.0, shares / sums[layer, slots])


def value_from_map(expert_map: ExpertMap) -> dict[str, t.Any]:
    """Return ``expert_map`` as the value that is published."""
    experts: list[list[int]] = []
    shares: list[list[float]] = []
    for rank in range(expert_map.ranks):
        layer, slot = np.nonzero(expert_map.slots[:, rank] != EMPTY)
        numbers = layer * expert_map.experts + expert_map.slots[layer, rank, slot]
        order = np.argsort(numbers)
        rounded_shares = expert_map.shares[layer, rank, slot].round(SHARE_DECIMALS)
        experts.append(numbers[order].tolist())
        shares.append(rounded_shares[order].tolist())
    return {EXPERTS_KEY: experts, SHARES_KEY: shares}
