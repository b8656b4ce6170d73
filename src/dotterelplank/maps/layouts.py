"""Expert maps between their published value and the arrays that decisions use."""

import typing as t

import numpy as np

from ..config.planned_maps import EXPERTS_MEMBER, SHARES_MEMBER, Planning, value_faults
from .experts import EMPTY, ExpertMap, even_shares, sum_by_expert

SHARE_DIGITS: t.Final = 6


def map_of(
    value: t.Mapping[str, t.Any], planning: Planning, ranks: int, version: int
) -> ExpertMap | None:
    """Return the arrays of ``value``, or ``None`` if it is of another size."""
    if any(value_faults("map", value, planning, ranks)):
        return None
    shape = (planning.layers, ranks, planning.slots_per_rank)
    slots = np.full(shape, EMPTY)
    shares = np.zeros(shape)
    given = value.get(SHARES_MEMBER)
    for rank, numbers in enumerate(value[EXPERTS_MEMBER]):
        filled = [0] * planning.layers
        for place, number in enumerate(numbers):
            layer, expert = divmod(number, planning.experts)
            slots[layer, rank, filled[layer]] = expert
            if given is not None:
                shares[layer, rank, filled[layer]] = given[rank][place]
            filled[layer] += 1
    if given is None:
        return ExpertMap(
            version, planning.experts, slots, even_shares(slots, planning.experts)
        )
    return ExpertMap(version, planning.experts, slots, _whole(slots, shares, planning))


def _whole(slots: np.ndarray, shares: np.ndarray, planning: Planning) -> np.ndarray:
    """Return shares that sum to 1, which rounding has changed a little."""
    sums = sum_by_expert(slots, shares, planning.experts)
    layer = np.arange(slots.shape[0])[:, None, None]
    return np.where(slots == EMPTY, 0.0, shares / sums[layer, slots])


def value_of(expert_map: ExpertMap) -> dict[str, t.Any]:
    """Return the value that is published for ``expert_map``."""
    experts: list[list[int]] = []
    shares: list[list[float]] = []
    for rank in range(expert_map.ranks):
        layer, slot = np.nonzero(expert_map.slots[:, rank] != EMPTY)
        numbers = layer * expert_map.experts + expert_map.slots[layer, rank, slot]
        order = np.argsort(numbers)
        given = expert_map.shares[layer, rank, slot].round(SHARE_DIGITS)
        experts.append(numbers[order].tolist())
        shares.append(given[order].tolist())
    return {EXPERTS_MEMBER: experts, SHARES_MEMBER: shares}
