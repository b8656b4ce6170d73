"""The decision whether a group gets a new expert map, and which.

A new split of the tokens over existing replicas costs no bytes and comes first. A
move must earn its cost: the fall in step time that it promises over the horizon,
against the bytes that it takes through the rate-limited weight store.
"""

import dataclasses
import typing as t

import numpy as np

from .errors import SettingsError
from .experts import EMPTY, ExpertMap, Move, Observation
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
from .popularity import Estimate, first_estimate, update
from .shares import balance, rank_times_ms

STEP_MS_PER_STORE_MS: t.Final = 20.0
LEAST_SPREAD_FALL: t.Final = 0.005
NOISE_DEVIATIONS: t.Final = 3.0
SPLIT_ROUNDS: t.Final = 120
URGENT_RATIO: t.Final = 1.1
DIRE_RATIO: t.Final = 1.5


@dataclasses.dataclass(frozen=True)
class Policy:
    """The operator's settings for rebalancing.

    :param cost_weight: 0 weighs step time alone, 1 never moves an expert. At
        0.5, a millisecond of the store's time must save
        :data:`STEP_MS_PER_STORE_MS` milliseconds of step time over the horizon.
    :param expert_bytes: size of one expert of one layer.
    :param store_bytes_per_s: rate at which the group may load from the store.
    :param horizon_ms: time over which a new map must earn its cost.
    :param stage_bound_ms: longest time that one plan may take to load.
    :param settle_ms: time for which a move is not undone.
    """

    cost_weight: float = 0.3
    expert_bytes: int = 44_000_000
    store_bytes_per_s: float = 2e9
    horizon_ms: float = 3_600_000.0
    stage_bound_ms: float = 15_000.0
    settle_ms: float = 3_600_000.0

    def __post_init__(self) -> None:
        if not 0 <= self.cost_weight <= 1:
            raise SettingsError("cost_weight", str(self.cost_weight), "0 to 1")
        for name in ("expert_bytes", "store_bytes_per_s", "horizon_ms"):
            if getattr(self, name) <= 0:
                raise SettingsError(name, str(getattr(self, name)), "more than 0")

    @property
    def move_ms(self) -> float:
        """Return the time that the store takes for one expert."""
        return 1000 * self.expert_bytes / self.store_bytes_per_s

    @property
    def most_moves(self) -> int:
        """Return the most moves that one plan can stage in time."""
        return int(min(self.stage_bound_ms, self.horizon_ms) // self.move_ms)


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
class State:
    """What the decision remembers of a group between two windows.

    :param map: the map in force.
    :param estimate: what is believed about load and speed; none at first.
    :param staging: the plan whose moves are being loaded, if any.
    :param staging_since_ms: time at which it was made.
    :param gained_ms: last time each expert gained a replica, ``[layer, expert]``.
    :param lost_ms: last time each expert lost a replica, ``[layer, expert]``.
    """

    map: ExpertMap
    estimate: Estimate | None
    staging: Plan | None
    staging_since_ms: float
    gained_ms: np.ndarray
    lost_ms: np.ndarray


@dataclasses.dataclass(frozen=True)
class Decision:
    """The state after a window, and the plan if a new map is worth it."""

    state: State
    plan: Plan | None


def initial_state(expert_map: ExpertMap) -> State:
    """Return the state of a group that starts with ``expert_map``."""
    never = np.full((expert_map.layers, expert_map.experts), -np.inf)
    return State(expert_map, None, None, -np.inf, never, never)


def plan(
    now_ms: float, state: State, observation: Observation, policy: Policy
) -> Decision:
    """Take in one window and decide whether the group gets a new map.

    While the moves of a plan are being loaded no other is made, unless the plan is
    overdue by the longest time that a plan may take.
    """
    state = _observed(state, observation)
    if state.estimate is None or _is_staging(now_ms, state, policy):
        return Decision(state, None)
    state = dataclasses.replace(state, staging=None)
    estimate = state.estimate
    shares = balance(
        state.map.slots,
        state.map.shares,
        estimate.tokens,
        estimate.speeds,
        SPLIT_ROUNDS,
    )
    split = dataclasses.replace(state.map, shares=shares, version=state.map.version + 1)
    moved = _move(now_ms, state, split, policy)
    if moved is not None:
        return Decision(_with_staging(now_ms, state, moved), moved)
    if _spread_fall(state, shares) < LEAST_SPREAD_FALL + _noise(state):
        return Decision(state, None)
    before_ms = _step_ms(state.map, estimate)
    after_ms = _step_ms(split, estimate)
    return Decision(state, Plan(None, split, (), 0, 0.0, before_ms, after_ms))


def adopt(state: State, expert_map: ExpertMap) -> State:
    """Return the state after the group has switched to ``expert_map``."""
    staging = state.staging
    if staging is not None and expert_map.version >= staging.target.version:
        staging = None
    return dataclasses.replace(state, map=expert_map, staging=staging)


def abandon(state: State) -> State:
    """Return the state after the group has given up the plan that it staged."""
    return dataclasses.replace(state, staging=None)


def _observed(state: State, observation: Observation) -> State:
    if observation.steps == 0:
        return state
    if state.estimate is None:
        estimate = first_estimate(observation)
    else:
        estimate = update(state.estimate, observation)
    return dataclasses.replace(state, estimate=estimate)


def _is_staging(now_ms: float, state: State, policy: Policy) -> bool:
    if state.staging is None:
        return False
    due_ms = state.staging_since_ms + state.staging.stage_ms
    return now_ms < due_ms + policy.stage_bound_ms


def _with_staging(now_ms: float, state: State, made: Plan) -> State:
    gained_ms = state.gained_ms.copy()
    lost_ms = state.lost_ms.copy()
    for move in made.moves:
        gained_ms[move.layer, move.expert] = now_ms
        if move.evicted != EMPTY:
            lost_ms[move.layer, move.evicted] = now_ms
    return dataclasses.replace(
        state,
        staging=made,
        staging_since_ms=now_ms,
        gained_ms=gained_ms,
        lost_ms=lost_ms,
    )


def _move(now_ms: float, state: State, split: ExpertMap, policy: Policy) -> Plan | None:
    """Return the plan whose moves are worth most, or none."""
    if not policy.most_moves or policy.cost_weight == 1:
        return None
    loads = _layer_loads(now_ms, state, policy)
    times_ms = rank_times_ms(
        split.slots, split.shares, state.estimate.tokens, state.estimate.speeds
    ).max(axis=1)
    step_ms = float(times_ms.sum())
    chosen = []
    for layer, load in enumerate(loads):
        start = settle((), split.slots[layer], split.shares[layer], load)
        noise_ms = _noise(state) * ideal_time_ms(load)
        stages = [start]
        best_fall = (start.time_ms - ideal_time_ms(load) - noise_ms) / step_ms
        for ratio, eased in _easing(load):
            if _worth(best_fall, 1, policy) <= 0:
                break
            if stages[-1].time_ms > ideal_time_ms(load) * ratio:
                search(layer, stages, eased, policy.most_moves)
        chosen.append(_worthiest(stages, noise_ms, step_ms, policy))
    return _assemble(state, split, loads, chosen, policy)


def _easing(load: LayerLoad) -> t.Sequence[tuple[float, LayerLoad]]:
    """Return how far over the ideal a layer must be for locks to be lifted."""
    return (
        (1.0, load),
        (URGENT_RATIO, may_gain(load)),
        (DIRE_RATIO, unlocked(load)),
    )


def _layer_loads(now_ms: float, state: State, policy: Policy) -> t.Sequence[LayerLoad]:
    estimate = state.estimate
    evictable = now_ms - state.gained_ms >= policy.settle_ms
    addable = now_ms - state.lost_ms >= policy.settle_ms
    return [
        LayerLoad(
            estimate.tokens[layer],
            estimate.reserve[layer],
            estimate.speeds,
            evictable[layer],
            addable[layer],
        )
        for layer in range(state.map.layers)
    ]


def _worthiest(
    stages: t.Sequence[Stage], noise_ms: float, step_ms: float, policy: Policy
) -> tuple[float, Stage]:
    """Return the worth of the best stage and that stage, the shortest of equals.

    A fall in step time counts only beyond what the noise of the estimate explains.
    """
    best = (0.0, stages[0])
    for stage in stages[1:]:
        fall = (stages[0].time_ms - stage.time_ms - noise_ms) / step_ms
        worth = _worth(fall, len(stage.moves), policy)
        if worth > best[0]:
            best = (worth, stage)
    return best


def _worth(fall: float, moves: int, policy: Policy) -> float:
    """Return what moves are worth that cut a step by the part ``fall``."""
    saved_ms = max(fall, 0) * max(policy.horizon_ms - policy.stage_bound_ms, 0)
    spent_ms = moves * policy.move_ms * STEP_MS_PER_STORE_MS
    return (1 - policy.cost_weight) * saved_ms - policy.cost_weight * spent_ms


def _assemble(
    state: State,
    split: ExpertMap,
    loads: t.Sequence[LayerLoad],
    chosen: t.Sequence[tuple[float, Stage]],
    policy: Policy,
) -> Plan | None:
    """Return one plan of the stages of all layers, the worthiest layer first."""
    layers = [layer for layer, (worth, _) in enumerate(chosen) if worth > 0]
    layers.sort(key=lambda layer: -chosen[layer][0] / len(chosen[layer][1].moves))
    slots = split.slots.copy()
    shares = split.shares.copy()
    moves: list[Move] = []
    for layer in layers:
        stage = chosen[layer][1]
        room = policy.most_moves - len(moves)
        if len(stage.moves) > room:
            start = settle((), split.slots[layer], split.shares[layer], loads[layer])
            stage = extend(start, stage.moves[:room], loads[layer])
        slots[layer] = stage.slots
        shares[layer] = stage.shares
        moves.extend(stage.moves)
    if not moves:
        return None
    target = ExpertMap(split.version + 1, split.experts, slots, shares)
    return Plan(
        _interim(state, split, moves),
        target,
        tuple(moves),
        len(moves) * policy.expert_bytes,
        len(moves) * policy.move_ms,
        _step_ms(state.map, state.estimate),
        _step_ms(target, state.estimate),
    )


def _interim(state: State, split: ExpertMap, moves: t.Sequence[Move]) -> ExpertMap:
    slots = split.slots.copy()
    for move in moves:
        slots[move.layer, move.rank, move.slot] = EMPTY
    shares = np.where(slots == EMPTY, 0.0, split.shares)
    estimate = state.estimate
    shares = balance(slots, shares, estimate.tokens, estimate.speeds, SPLIT_ROUNDS)
    return dataclasses.replace(split, slots=slots, shares=shares)


def _step_ms(expert_map: ExpertMap, estimate: Estimate) -> float:
    """Return the step time, as the ranks wait for one another in each layer."""
    times = rank_times_ms(
        expert_map.slots, expert_map.shares, estimate.tokens, estimate.speeds
    )
    return float(times.max(axis=1).sum())


def _spread_fall(state: State, shares: np.ndarray) -> float:
    """Return by how much new shares narrow the spread, as a part of the mean."""
    estimate = state.estimate
    slots = state.map.slots
    before = rank_times_ms(slots, state.map.shares, estimate.tokens, estimate.speeds)
    after = rank_times_ms(slots, shares, estimate.tokens, estimate.speeds)
    ideal = estimate.tokens.sum(axis=1) / estimate.speeds.sum()
    return float((np.ptp(before, axis=1) - np.ptp(after, axis=1)).max() / ideal.max())


def _noise(state: State) -> float:
    """Return how far sampling may bend a predicted rank time, as a part of it."""
    estimate = state.estimate
    layer = np.arange(state.map.layers)[:, None, None]
    variance = estimate.variance[layer, state.map.slots]
    deviation = np.sqrt((state.map.shares**2 * variance).sum(axis=2))
    load = state.map.rank_tokens(estimate.tokens)
    return float(NOISE_DEVIATIONS * deviation.mean() / load.mean())
