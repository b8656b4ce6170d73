"""Strategies for changing expert popularity that the expert map benchmark compares.

A strategy is a function of the time, the map in use and the observation of the last
window. It returns a plan, or None if the map stays as it is.
"""

import typing as t

import numpy as np

from ..maps import rebalancing
from ..maps.experts import EMPTY, ExpertMap, Move, Observation, even_shares
from ..maps.placement import LayerLoad, evaluate, place_map, search
from ..maps.popularity import Estimate, first_estimate, update
from ..maps.rebalancing import Plan, Policy
from ..standins.fake_group import FakeGroup

Strategy = t.Callable[[float, ExpertMap, Observation], Plan | None]
Placement = t.Callable[[ExpertMap, Estimate], ExpertMap]


def never_move(now_ms: float, expert_map: ExpertMap, observation: Observation) -> None:
    """Return None always, so that the first map stays in use."""
    return None


def rebalance(first: ExpertMap, policy: Policy) -> Strategy:
    """Return the strategy of :mod:`dotterelplank.maps.rebalancing`."""
    state = rebalancing.initial_state(first)

    def decide(
        now_ms: float, expert_map: ExpertMap, observation: Observation
    ) -> Plan | None:
        nonlocal state
        state = rebalancing.adopt(state, expert_map)
        decision = rebalancing.plan(now_ms, state, observation, policy)
        state = decision.state
        return decision.plan

    return decide


def replace_all(place: Placement, interval_ms: float, policy: Policy) -> Strategy:
    """Return a strategy that computes a new placement of all experts periodically.

    The old map stays in use until all replicas have been loaded, and a replica that
    a rank holds already costs nothing. A real group has neither advantage.

    :param place: function that computes the new map.
    :param interval_ms: time between two placements.
    """
    estimate: Estimate | None = None
    next_ms = interval_ms

    def decide(
        now_ms: float, expert_map: ExpertMap, observation: Observation
    ) -> Plan | None:
        nonlocal estimate, next_ms
        if estimate is None:
            estimate = first_estimate(observation)
        estimate = update(estimate, observation)
        if now_ms < next_ms:
            return None
        next_ms += interval_ms
        target = place(expert_map, estimate)
        moves = moves_between(expert_map, target)
        size_bytes = len(moves) * policy.expert_bytes
        stage_ms = len(moves) * policy.expert_load_ms
        return Plan(None, target, moves, size_bytes, stage_ms, np.nan, np.nan)

    return decide


def place_by_speed(expert_map: ExpertMap, estimate: Estimate) -> ExpertMap:
    """Return a new placement for the measured speeds, with balanced shares."""
    return place_map(
        estimate.tokens,
        estimate.speeds,
        expert_map.slots_per_rank,
        expert_map.version + 1,
    )


def place_greedily(expert_map: ExpertMap, estimate: Estimate) -> ExpertMap:
    """Return a greedy replication that assumes equal speeds, with even shares."""
    equal = np.ones(expert_map.ranks)
    placed = place_map(estimate.tokens, equal, expert_map.slots_per_rank)
    shares = even_shares(placed.slots, placed.experts)
    return ExpertMap(expert_map.version + 1, placed.experts, placed.slots, shares)


def place_with_true_load(
    group: FakeGroup, now_ms: float, slots_per_rank: int
) -> ExpertMap:
    """Return a map for the true popularity and speeds, at any cost in moved bytes.

    The skew that remains with this map is sampling noise.
    """
    tokens = group.popularity(now_ms) * group.workload.step_tokens
    speeds = group.speeds(now_ms)
    placed = place_map(tokens, speeds, slots_per_rank)
    slots = placed.slots.copy()
    shares = placed.shares.copy()
    free = np.ones(placed.experts, dtype=bool)
    for layer in range(placed.layers):
        load = LayerLoad(tokens[layer], tokens[layer], speeds, free, free)
        candidates = [evaluate((), slots[layer], shares[layer], load)]
        search(layer, candidates, load, slots[layer].size)
        slots[layer] = candidates[-1].slots
        shares[layer] = candidates[-1].shares
    return ExpertMap(0, placed.experts, slots, shares)


def moves_between(old: ExpertMap, new: ExpertMap) -> tuple[Move, ...]:
    """Return the replicas of ``new`` that their ranks don't hold in ``old``."""
    held = (new.slots[:, :, :, None] == old.slots[:, :, None, :]).any(axis=3)
    missing = np.argwhere((new.slots != EMPTY) & ~held)
    return tuple(
        Move(layer, int(new.slots[layer, rank, slot]), rank, slot, EMPTY)
        for layer, rank, slot in missing.tolist()
    )
