"""The planning of moves whose benefit exceeds their cost."""

import dataclasses
import typing as t

import numpy as np

from .experts import EMPTY, ExpertMap, Move
from .net_benefit import Policy, net_benefit_ms
from .placement import (
    Candidate,
    LayerLoad,
    evaluate,
    extend,
    ideal_time_ms,
    search,
    with_all_unlocked,
    with_gains_unlocked,
)
from .popularity import Estimate
from .shares import balance, rank_times_ms

NOISE_DEVIATIONS: t.Final = 3.0
SPLIT_ROUNDS: t.Final = 120
GAIN_UNLOCK_RATIO: t.Final = 1.1
FULL_UNLOCK_RATIO: t.Final = 1.5


@dataclasses.dataclass(frozen=True)
class Plan:
    """A new map and the moves that lead to it.

    The interim map is used first: it routes no tokens to the slots that the moves
    overwrite. The target map follows when every rank has loaded its experts.

    :param interim: map in use while the moves load; ``None`` if there are no moves.
    :param target: map in use afterwards.
    :param moves: the moves, in the order in which to load them.
    :param size_bytes: number of bytes that the moves load from the weight store.
    :param stage_ms: expected time in milliseconds to load the moves at the store's
        rate limit.
    :param before_ms: predicted step time of the current map in milliseconds, with its
        current shares.
    :param after_ms: predicted step time of the target map in milliseconds.
    """

    interim: ExpertMap | None
    target: ExpertMap
    moves: tuple[Move, ...]
    size_bytes: int
    stage_ms: float
    before_ms: float
    after_ms: float


@dataclasses.dataclass(frozen=True)
class PlanInput:
    """The input of the planning of moves.

    :param current_map: the map in use.
    :param split: the current placement with shares balanced for the estimate.
    :param estimate: estimated load of the experts and speed of the ranks.
    :param loads: the estimate for each layer, with the experts that may be moved.
    """

    current_map: ExpertMap
    split: ExpertMap
    estimate: Estimate
    loads: t.Sequence[LayerLoad]


@dataclasses.dataclass(frozen=True)
class LayerChoice:
    """The candidate chosen for a layer, and its net benefit in milliseconds."""

    candidate: Candidate
    net_benefit_ms: float


def plan_moves(plan_input: PlanInput, policy: Policy) -> Plan | None:
    """Return the plan whose moves have the greatest net benefit.

    :return: ``None`` if no moves have a net benefit or the policy allows no moves.
    """
    if not policy.max_moves or policy.cost_weight == 1:
        return None
    step_ms = step_time_ms(plan_input.split, plan_input.estimate)
    noise = noise_ratio(plan_input.current_map, plan_input.estimate)
    chosen = {}
    for layer, load in enumerate(plan_input.loads):
        noise_ms = noise * ideal_time_ms(load)
        candidates = _search_layer(layer, plan_input, noise_ms / step_ms, policy)
        choice = _best_candidate(candidates, noise_ms, step_ms, policy)
        if choice is not None:
            chosen[layer] = choice
    return _assemble(plan_input, chosen, policy)


def _search_layer(
    layer: int, plan_input: PlanInput, noise: float, policy: Policy
) -> t.Sequence[Candidate]:
    """Return the candidates of a layer, from no moves to most moves.

    :param noise: reduction of the step time that sampling noise explains, as a
        fraction of the step time.
    :return: no candidates if even an ideal placement would have no net benefit.
    """
    load = plan_input.loads[layer]
    ideal_ms = ideal_time_ms(load)
    layers_ms = layer_times_ms(plan_input.split, plan_input.estimate)
    max_reduction = (layers_ms[layer] - ideal_ms) / layers_ms.sum() - noise
    if net_benefit_ms(max_reduction, 1, policy) <= 0:
        return []
    candidates = [_initial_candidate(plan_input, layer)]
    search(layer, candidates, load, policy.max_moves)
    if candidates[-1].time_ms > ideal_ms * GAIN_UNLOCK_RATIO:
        search(layer, candidates, with_gains_unlocked(load), policy.max_moves)
    if candidates[-1].time_ms > ideal_ms * FULL_UNLOCK_RATIO:
        search(layer, candidates, with_all_unlocked(load), policy.max_moves)
    return candidates


def _initial_candidate(plan_input: PlanInput, layer: int) -> Candidate:
    split = plan_input.split
    return evaluate(
        (), split.slots[layer], split.shares[layer], plan_input.loads[layer]
    )


def _best_candidate(
    candidates: t.Sequence[Candidate], noise_ms: float, step_ms: float, policy: Policy
) -> LayerChoice | None:
    """Return the candidate with the greatest net benefit, of equals the shortest.

    Only the reduction of the step time that exceeds the noise of the estimate is a
    benefit.

    :return: ``None`` if no candidate has a net benefit.
    """
    best = None
    for candidate in candidates[1:]:
        reduction = (candidates[0].time_ms - candidate.time_ms - noise_ms) / step_ms
        net_benefit = net_benefit_ms(reduction, len(candidate.moves), policy)
        if net_benefit > (best.net_benefit_ms if best else 0):
            best = LayerChoice(candidate, net_benefit)
    return best


def _assemble(
    plan_input: PlanInput, chosen: t.Mapping[int, LayerChoice], policy: Policy
) -> Plan | None:
    """Return one plan of the candidates chosen for all layers.

    The layer with the greatest benefit per move is first. Moves beyond the policy's
    limit are dropped.

    :return: ``None`` if no candidate was chosen.
    """
    if not chosen:
        return None

    def benefit_per_move(layer: int) -> float:
        return chosen[layer].net_benefit_ms / len(chosen[layer].candidate.moves)

    split = plan_input.split
    slots = split.slots.copy()
    shares = split.shares.copy()
    moves: list[Move] = []
    for layer in sorted(chosen, key=benefit_per_move, reverse=True):
        candidate = chosen[layer].candidate
        moves_left = policy.max_moves - len(moves)
        if len(candidate.moves) > moves_left:
            start = _initial_candidate(plan_input, layer)
            candidate = extend(
                start, candidate.moves[:moves_left], plan_input.loads[layer]
            )
        slots[layer] = candidate.slots
        shares[layer] = candidate.shares
        moves.extend(candidate.moves)
    target = ExpertMap(split.version + 1, split.experts, slots, shares)
    return Plan(
        _interim(plan_input, moves),
        target,
        tuple(moves),
        len(moves) * policy.expert_bytes,
        len(moves) * policy.expert_load_ms,
        step_time_ms(plan_input.current_map, plan_input.estimate),
        step_time_ms(target, plan_input.estimate),
    )


def _interim(plan_input: PlanInput, moves: t.Sequence[Move]) -> ExpertMap:
    """Return the balanced current map without the slots that the moves overwrite."""
    split = plan_input.split
    slots = split.slots.copy()
    for move in moves:
        slots[move.layer, move.rank, move.slot] = EMPTY
    shares = np.where(slots == EMPTY, 0.0, split.shares)
    estimate = plan_input.estimate
    shares = balance(slots, shares, estimate.tokens, estimate.speeds, SPLIT_ROUNDS)
    return dataclasses.replace(split, slots=slots, shares=shares)


def layer_times_ms(expert_map: ExpertMap, estimate: Estimate) -> np.ndarray:
    """Return the predicted time of the slowest rank in each layer, ``[layer]``.

    :return: times in milliseconds.
    """
    times = rank_times_ms(
        expert_map.slots, expert_map.shares, estimate.tokens, estimate.speeds
    )
    return times.max(axis=1)


def step_time_ms(expert_map: ExpertMap, estimate: Estimate) -> float:
    """Return the predicted step time in milliseconds.

    The ranks wait for one another in each layer, so the step time is the sum of the
    times of the slowest rank in each layer.
    """
    return float(layer_times_ms(expert_map, estimate).sum())


def noise_ratio(expert_map: ExpertMap, estimate: Estimate) -> float:
    """Return the error of a predicted rank time that sampling noise can cause.

    :return: the error as a fraction of the mean rank load.
    """
    layer = np.arange(expert_map.layers)[:, None, None]
    variance = estimate.variance[layer, expert_map.slots]
    deviation = np.sqrt((expert_map.shares**2 * variance).sum(axis=2))
    load = expert_map.rank_tokens(estimate.tokens)
    return float(NOISE_DEVIATIONS * deviation.mean() / load.mean())
