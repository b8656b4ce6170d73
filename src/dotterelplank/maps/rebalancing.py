"""The decision whether a group gets a new expert map, and which one.

New shares of existing replicas load no bytes, so they are computed first. The benefit
of a move must exceed its cost. The benefit is the step time that the move is expected
to save over the horizon; the cost is the time to load its bytes from the rate-limited
weight store.
"""

import dataclasses
import logging
import typing as t

import numpy as np

from .. import events
from ..errors import InvariantError
from .experts import EMPTY, ExpertMap, Observation
from .moves import SPLIT_ROUNDS, Plan, PlanInput, noise_ratio, plan_moves, step_time_ms
from .net_benefit import Policy
from .placement import LayerLoad
from .popularity import Estimate, first_estimate, update
from .shares import balance, rank_times_ms

__all__ = (
    "Decision",
    "Plan",
    "Policy",
    "State",
    "abandon",
    "adopt",
    "initial_state",
    "log_plan",
    "plan",
)

MIN_SPREAD_REDUCTION_RATIO: t.Final = 0.005


@dataclasses.dataclass(frozen=True)
class State:
    """The state of a group's rebalancing between two windows.

    All times are monotonic, in milliseconds.

    :param map: the map in use.
    :param estimate: estimated load of the experts and speed of the ranks; ``None``
        before the first window.
    :param staging: the plan whose moves are being loaded, or ``None``.
    :param staging_since_ms: time at which that plan was made.
    :param gained_ms: last time at which each expert gained a replica, ``[layer,
        expert]``.
    :param lost_ms: last time at which each expert lost a replica, ``[layer, expert]``.
    """

    map: ExpertMap
    estimate: Estimate | None
    staging: Plan | None
    staging_since_ms: float
    gained_ms: np.ndarray
    lost_ms: np.ndarray


@dataclasses.dataclass(frozen=True)
class Decision:
    """The state after a window, and the plan if a new map has a net benefit.

    :param plan: ``None`` if the group keeps its map.
    """

    state: State
    plan: Plan | None


def initial_state(expert_map: ExpertMap) -> State:
    """Return the state of a group that starts with ``expert_map``."""
    never = np.full((expert_map.layers, expert_map.experts), -np.inf)
    return State(expert_map, None, None, -np.inf, never, never)


def plan(
    now_ms: float, state: State, observation: Observation, policy: Policy
) -> Decision:
    """Update the estimate with one window and decide whether the group gets a new map.

    While the moves of a plan are being loaded, no other plan is made, unless the plan
    is overdue by more than the longest loading time of a plan.

    :param now_ms: current monotonic time in milliseconds.
    :raises InvariantError: if the window's layers, experts or ranks differ from those
        of the map.
    """
    _check_size(state, observation)
    state = _with_observation(state, observation)
    if state.estimate is None or _is_staging(now_ms, state, policy):
        return Decision(state, None)
    state = dataclasses.replace(state, staging=None)
    split = _balanced_map(state)
    loads = _layer_loads(now_ms, state, policy)
    moved = plan_moves(PlanInput(state.map, split, state.estimate, loads), policy)
    if moved is not None:
        return Decision(_with_staging(now_ms, state, moved), moved)
    min_reduction = MIN_SPREAD_REDUCTION_RATIO + noise_ratio(state.map, state.estimate)
    if _spread_reduction(state, split.shares) < min_reduction:
        return Decision(state, None)
    before_ms = step_time_ms(state.map, state.estimate)
    after_ms = step_time_ms(split, state.estimate)
    return Decision(state, Plan(None, split, (), 0, 0.0, before_ms, after_ms))


def adopt(state: State, expert_map: ExpertMap) -> State:
    """Return the state after the group has switched to ``expert_map``."""
    staging = state.staging
    if staging is not None and expert_map.version >= staging.target.version:
        staging = None
    return dataclasses.replace(state, map=expert_map, staging=staging)


def abandon(state: State) -> State:
    """Return the state after the group has abandoned the plan that was being loaded."""
    return dataclasses.replace(state, staging=None)


def log_plan(logger: logging.Logger, new_plan: Plan) -> None:
    """Log the cost of a plan and its expected benefit."""
    event = events.MOVES_PLANNED if new_plan.moves else events.SPLIT_PLANNED
    events.emit(
        logger,
        event,
        map_version=new_plan.target.version,
        moves=len(new_plan.moves),
        size_bytes=new_plan.size_bytes,
        stage_ms=new_plan.stage_ms,
        step_before_ms=new_plan.before_ms,
        step_after_ms=new_plan.after_ms,
    )


def _check_size(state: State, observation: Observation) -> None:
    current_map = state.map
    if observation.tokens.shape != (current_map.layers, current_map.experts):
        raise InvariantError("the window's layers or experts differ from the map's")
    if observation.rank_tokens.shape != (current_map.layers, current_map.ranks):
        raise InvariantError("the window's ranks differ from the map's")


def _with_observation(state: State, observation: Observation) -> State:
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


def _with_staging(now_ms: float, state: State, new_plan: Plan) -> State:
    gained_ms = state.gained_ms.copy()
    lost_ms = state.lost_ms.copy()
    for move in new_plan.moves:
        gained_ms[move.layer, move.expert] = now_ms
        if move.evicted != EMPTY:
            lost_ms[move.layer, move.evicted] = now_ms
    return dataclasses.replace(
        state,
        staging=new_plan,
        staging_since_ms=now_ms,
        gained_ms=gained_ms,
        lost_ms=lost_ms,
    )


def _balanced_map(state: State) -> ExpertMap:
    """Return the current map with its shares balanced for the estimate."""
    current_map, estimate = state.map, state.estimate
    shares = balance(
        current_map.slots,
        current_map.shares,
        estimate.tokens,
        estimate.speeds,
        SPLIT_ROUNDS,
    )
    return dataclasses.replace(
        current_map, shares=shares, version=current_map.version + 1
    )


def _layer_loads(now_ms: float, state: State, policy: Policy) -> t.Sequence[LayerLoad]:
    estimate = state.estimate
    evictable = now_ms - state.gained_ms >= policy.settle_ms
    addable = now_ms - state.lost_ms >= policy.settle_ms
    return [
        LayerLoad(
            estimate.tokens[layer],
            estimate.recent_peak[layer],
            estimate.speeds,
            evictable[layer],
            addable[layer],
        )
        for layer in range(state.map.layers)
    ]


def _spread_reduction(state: State, shares: np.ndarray) -> float:
    """Return the reduction of the spread of rank times by new shares.

    :return: the greatest reduction in a layer, as a fraction of the greatest ideal time
        of a layer.
    """
    estimate = state.estimate
    slots = state.map.slots
    before = rank_times_ms(slots, state.map.shares, estimate.tokens, estimate.speeds)
    after = rank_times_ms(slots, shares, estimate.tokens, estimate.speeds)
    ideal = estimate.tokens.sum(axis=1) / estimate.speeds.sum()
    return float((np.ptp(before, axis=1) - np.ptp(after, axis=1)).max() / ideal.max())
