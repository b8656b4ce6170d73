"""The plan of moves that earn their cost, and its way to the new map."""

import dataclasses
import typing as t

import numpy as np

from .experts import EMPTY, ExpertMap, Move
from .placement import (
    LayerLoad,
    Stage,
    extend,
    ideal_time_ms,
    may_gain,
    search,
    settle,
    unlocked,
)
from .popularity import Estimate
from .shares import balance, rank_times_ms
from .worth import Policy, worth_ms

NOISE_DEVIATIONS: t.Final = 3.0
SPLIT_ROUNDS: t.Final = 120
URGENT_RATIO: t.Final = 1.1
DIRE_RATIO: t.Final = 1.5


@dataclasses.dataclass(frozen=True)
class Plan:
    """A new map, and what it takes to get there.

    The interim map goes in force first: it takes the work from the slots that the
    moves overwrite. The target follows when every rank has loaded its moves.

    :param interim: map to serve from while the moves load; none without moves.
    :param target: map to serve from afterwards.
    :param moves: the moves in the order in which to load them.
    :param size_bytes: bytes that the moves take from the weight store.
    :param stage_ms: expected time to load them at the rate of the store.
    :param before_ms: predicted step time of the present map, its shares as they are.
    :param after_ms: predicted step time of the target.
    """

    interim: ExpertMap | None
    target: ExpertMap
    moves: tuple[Move, ...]
    size_bytes: int
    stage_ms: float
    before_ms: float
    after_ms: float


@dataclasses.dataclass(frozen=True)
class Base:
    """What moves start from.

    :param present: the map in force.
    :param split: its placement with shares balanced anew.
    :param estimate: what is believed about load and speed.
    :param loads: the same for each layer, with the locks on moves.
    """

    present: ExpertMap
    split: ExpertMap
    estimate: Estimate
    loads: t.Sequence[LayerLoad]


@dataclasses.dataclass(frozen=True)
class Choice:
    """The stage that is taken of a layer, and what it is worth."""

    stage: Stage
    worth_ms: float


def plan_moves(base: Base, policy: Policy) -> Plan | None:
    """Return the plan whose moves are worth most, or none."""
    if not policy.most_moves or policy.cost_weight == 1:
        return None
    step_ms = step_time_ms(base.split, base.estimate)
    noise = noise_part(base.present, base.estimate)
    chosen = {}
    for layer, load in enumerate(base.loads):
        noise_ms = noise * ideal_time_ms(load)
        stages = _search_layer(layer, base, noise_ms / step_ms, policy)
        choice = _worthiest(stages, noise_ms, step_ms, policy)
        if choice is not None:
            chosen[layer] = choice
    return _assemble(base, chosen, policy)


def _search_layer(
    layer: int, base: Base, noise: float, policy: Policy
) -> t.Sequence[Stage]:
    """Return the stages of a layer, none if even the ideal could not pay.

    :param noise: fall of the step time that sampling explains, as a part of it.
    """
    load = base.loads[layer]
    ideal_ms = ideal_time_ms(load)
    layers_ms = layer_times_ms(base.split, base.estimate)
    best_fall = (layers_ms[layer] - ideal_ms) / layers_ms.sum() - noise
    if worth_ms(best_fall, 1, policy) <= 0:
        return []
    stages = [_start(base, layer)]
    search(layer, stages, load, policy.most_moves)
    if stages[-1].time_ms > ideal_ms * URGENT_RATIO:
        search(layer, stages, may_gain(load), policy.most_moves)
    if stages[-1].time_ms > ideal_ms * DIRE_RATIO:
        search(layer, stages, unlocked(load), policy.most_moves)
    return stages


def _start(base: Base, layer: int) -> Stage:
    split = base.split
    return settle((), split.slots[layer], split.shares[layer], base.loads[layer])


def _worthiest(
    stages: t.Sequence[Stage], noise_ms: float, step_ms: float, policy: Policy
) -> Choice | None:
    """Return the stage of greatest worth, the shortest of equals, if any has worth.

    A fall in step time counts only beyond what the noise of the estimate explains.
    """
    best = None
    for stage in stages[1:]:
        fall = (stages[0].time_ms - stage.time_ms - noise_ms) / step_ms
        worth = worth_ms(fall, len(stage.moves), policy)
        if worth > (best.worth_ms if best else 0):
            best = Choice(stage, worth)
    return best


def _assemble(
    base: Base, chosen: t.Mapping[int, Choice], policy: Policy
) -> Plan | None:
    """Return one plan of the stages of all layers, the worthiest layer first."""
    if not chosen:
        return None

    def worth_of_a_move(layer: int) -> float:
        return chosen[layer].worth_ms / len(chosen[layer].stage.moves)

    split = base.split
    slots = split.slots.copy()
    shares = split.shares.copy()
    moves: list[Move] = []
    for layer in sorted(chosen, key=worth_of_a_move, reverse=True):
        stage = chosen[layer].stage
        room = policy.most_moves - len(moves)
        if len(stage.moves) > room:
            start = _start(base, layer)
            stage = extend(start, stage.moves[:room], base.loads[layer])
        slots[layer] = stage.slots
        shares[layer] = stage.shares
        moves.extend(stage.moves)
    target = ExpertMap(split.version + 1, split.experts, slots, shares)
    return Plan(
        _interim(base, moves),
        target,
        tuple(moves),
        len(moves) * policy.expert_bytes,
        len(moves) * policy.move_ms,
        step_time_ms(base.present, base.estimate),
        step_time_ms(target, base.estimate),
    )


def _interim(base: Base, moves: t.Sequence[Move]) -> ExpertMap:
    """Return the split without the slots that the moves overwrite."""
    split = base.split
    slots = split.slots.copy()
    for move in moves:
        slots[move.layer, move.rank, move.slot] = EMPTY
    shares = np.where(slots == EMPTY, 0.0, split.shares)
    estimate = base.estimate
    shares = balance(slots, shares, estimate.tokens, estimate.speeds, SPLIT_ROUNDS)
    return dataclasses.replace(split, slots=slots, shares=shares)


def layer_times_ms(expert_map: ExpertMap, estimate: Estimate) -> np.ndarray:
    """Return the time of the slowest rank in each layer, ``[layer]``."""
    times = rank_times_ms(
        expert_map.slots, expert_map.shares, estimate.tokens, estimate.speeds
    )
    return times.max(axis=1)


def step_time_ms(expert_map: ExpertMap, estimate: Estimate) -> float:
    """Return the step time, as the ranks wait for one another in each layer."""
    return float(layer_times_ms(expert_map, estimate).sum())


def noise_part(expert_map: ExpertMap, estimate: Estimate) -> float:
    """Return how far sampling may bend a predicted rank time, as a part of it."""
    layer = np.arange(expert_map.layers)[:, None, None]
    variance = estimate.variance[layer, expert_map.slots]
    deviation = np.sqrt((expert_map.shares**2 * variance).sum(axis=2))
    load = expert_map.rank_tokens(estimate.tokens)
    return float(NOISE_DEVIATIONS * deviation.mean() / load.mean())
