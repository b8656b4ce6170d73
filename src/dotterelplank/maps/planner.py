"""The choice of the agent that plans a rank group's expert maps, and its proposals.

:func:`decide` takes the current time, an agent's state and one event, and returns
commands. The planner is the first host, in sorted order, that has answered recently and
receives samples of the whole group. Every agent sends the samples of its rank to the
planner. Two planners at the same time do no harm: a proposal contains the map version
that it replaces, so at most one of the two proposals is adopted. Both planners then
start a new window under that map and lock the experts that it moved.
"""

import dataclasses
import typing as t

import numpy as np

from .. import defaults, events
from ..links.messages import ExpertsLoaded, LoadExperts, RankSample, SampleTaken
from . import (
    conversion as mapconversion,
    expert_loads as maploads,
    orders as maporders,
    rebalancing,
)
from .experts import ExpertMap
from .messages import Propose
from .planner_state import (
    Command,
    Compute,
    Computed,
    Event,
    Loaded,
    MapChanged,
    Policy,
    Received,
    Report,
    Sampled,
    Send,
    State,
    Tick,
)
from .windows import observe


def compute(command: Compute, may_move: bool = True) -> Computed:
    """Return the decision of the rebalancing; callable from any thread.

    :param may_move: whether ranks can load experts now; if not, only shares may change.
    """
    rebalancing_state = command.rebalancing_state
    policy = command.policy
    if not may_move:
        policy = dataclasses.replace(policy, cost_weight=1.0)
    decision = rebalancing.plan(
        command.now_ms, rebalancing_state, command.observation, policy
    )
    return Computed(rebalancing_state.map.version, decision)


def without_plan(command: Compute) -> Computed:
    """Return the decision to make no plan, for a window that can't be used."""
    rebalancing_state = command.rebalancing_state
    return Computed(
        rebalancing_state.map.version, rebalancing.Decision(rebalancing_state, None)
    )


def new_state(now_ms: float, host: str, hosts: tuple[str, ...]) -> State:
    """Return the initial state, in which all other hosts have just been seen.

    :param now_ms: current monotonic time in milliseconds.
    """
    state = State(host, hosts)
    state.last_seen_ms = {other: now_ms for other in hosts if other != host}
    return state


def planner_of(now_ms: float, state: State, policy: Policy) -> str:
    """Return the first host that may plan, or this agent's host if none may.

    A host may plan if it was seen recently and isn't avoided for missing samples.
    """
    candidates = (
        host for host in state.hosts if _may_plan(now_ms, state, host, policy)
    )
    return next(candidates, state.host)


def _may_plan(now_ms: float, state: State, host: str, policy: Policy) -> bool:
    if now_ms < state.avoided_until_ms.get(host, 0.0):
        return False
    return (
        host == state.host
        or now_ms - state.last_seen_ms[host] <= policy.unresponsive_timeout_ms
    )


def decide(
    now_ms: float, state: State, event: Event, policy: Policy
) -> t.Sequence[Command]:
    """Apply one event to the state and return the resulting commands, in order.

    :param now_ms: monotonic time in milliseconds, read after the event was received.
    """
    commands: list[Command] = []
    match event:
        case Tick():
            pass
        case MapChanged():
            commands += _on_map_changed(now_ms, state, event, policy)
        case Sampled(sample):
            _store_sample(now_ms, state, state.host, sample)
            commands += _forward_sample(now_ms, state, sample, policy)
        case Received():
            commands += _on_received(now_ms, state, event, policy)
        case Loaded():
            commands += maploads.on_loaded(now_ms, state, event)
        case Computed():
            commands += _on_computed(now_ms, state, event, policy)
    commands += _advance(now_ms, state, policy)
    return commands


def _forward_sample(
    now_ms: float, state: State, sample: RankSample, policy: Policy
) -> t.Iterator[Command]:
    """Send a sample to the planner, and to one of the hosts before the planner.

    The hosts before the planner are unresponsive or avoided. They receive samples in
    turn, so that their answers show when one of them can plan again.
    """
    planner = planner_of(now_ms, state, policy)
    if planner != state.host:
        yield Send(planner, sample)
    earlier_hosts = state.hosts[: state.hosts.index(planner)]
    if earlier_hosts:
        state.probes += 1
        yield Send(earlier_hosts[state.probes % len(earlier_hosts)], sample)


def _on_received(
    now_ms: float, state: State, event: Received, policy: Policy
) -> t.Iterator[Command]:
    host = event.host
    if host not in state.last_seen_ms:
        return
    state.last_seen_ms[host] = now_ms
    match event.message:
        case RankSample() as sample:
            _store_sample(now_ms, state, host, sample)
            can_plan = now_ms >= state.avoided_until_ms.get(state.host, 0.0)
            yield Send(host, SampleTaken(sample.step, can_plan))
        case LoadExperts() as request:
            yield from maploads.on_request(state, host, request)
        case ExpertsLoaded() as answer:
            maploads.on_answer(now_ms, state, host, answer)
        case SampleTaken(_, True):
            state.avoided_until_ms.pop(host, None)
        case SampleTaken():
            state.avoided_until_ms[host] = now_ms + policy.avoided_ms


def _store_sample(now_ms: float, state: State, host: str, sample: RankSample) -> None:
    state.samples[host] = sample
    state.sampled_ms[host] = now_ms


def _on_map_changed(
    now_ms: float, state: State, event: MapChanged, policy: Policy
) -> t.Iterator[Command]:
    if event.version <= state.map_version:
        return
    state.map_version = event.version
    state.map_revision = event.published.revision
    state.map_origin = event.published.origin
    state.window_starts = {}
    value = event.published.value
    expert_map = mapconversion.map_from_value(
        value, policy.planning, len(state.hosts), event.version
    )
    if expert_map is None:
        state.rebalancing_state = None
        state.pending_maps = ()
        state.expert_loads = {}
        yield Report(events.MAP_UNPLANNABLE, state.host, event.version)
        return
    state.rebalancing_state = _state_after_change(
        now_ms, state.rebalancing_state, expert_map
    )
    if not state.pending_maps:
        return
    if value == mapconversion.value_from_map(state.pending_maps[0]):
        state.pending_maps = state.pending_maps[1:]
        state.next_proposal_ms = now_ms
        if not state.pending_maps:
            state.rebalancing_state = rebalancing.abandon(state.rebalancing_state)
    else:
        yield _drop_plan(state)


def _state_after_change(
    now_ms: float, rebalancing_state: rebalancing.State | None, expert_map: ExpertMap
) -> rebalancing.State:
    """Return the rebalancing state after a map change, whichever agent planned it.

    The experts that gained or lost replicas are derived from the two maps, so that
    every agent has the same locks if it becomes the planner.
    """
    if (
        rebalancing_state is None
        or rebalancing_state.map.slots.shape != expert_map.slots.shape
    ):
        return rebalancing.initial_state(expert_map)
    change = expert_map.replicas() - rebalancing_state.map.replicas()
    with_locks = dataclasses.replace(
        rebalancing_state,
        gained_ms=np.where(change > 0, now_ms, rebalancing_state.gained_ms),
        lost_ms=np.where(change < 0, now_ms, rebalancing_state.lost_ms),
    )
    return rebalancing.adopt(with_locks, expert_map)


def _on_computed(
    now_ms: float, state: State, event: Computed, policy: Policy
) -> t.Iterator[Command]:
    state.is_computing = False
    state.window_starts = {}
    plan = event.decision.plan
    if event.map_version != state.map_version or state.rebalancing_state is None:
        if plan is not None:
            yield Report(events.PLAN_DROPPED, state.host, event.map_version)
        return
    state.rebalancing_state = event.decision.state
    if plan is None:
        return
    new_maps = (plan.target,)
    if plan.interim is not None and _evicts(plan):
        new_maps = (plan.interim, plan.target)
    state.pending_maps = new_maps
    state.plan_expires_ms = now_ms + policy.plan_bound_ms
    if policy.planning.store_url and plan.moves:
        maploads.begin(now_ms, state, plan)
    state.next_proposal_ms = now_ms


def _evicts(plan: rebalancing.Plan) -> bool:
    return any(move.evicted >= 0 for move in plan.moves)


def _drop_plan(state: State) -> Command:
    state.pending_maps = ()
    state.expert_loads = {}
    state.window_starts = {}
    if state.rebalancing_state is not None:
        state.rebalancing_state = rebalancing.abandon(state.rebalancing_state)
    return Report(events.PLAN_DROPPED, state.host, state.map_version)


def _advance(now_ms: float, state: State, policy: Policy) -> t.Iterator[Command]:
    planner = planner_of(now_ms, state, policy)
    if planner != state.planner:
        state.planner = planner
        state.planner_since_ms = now_ms
        yield Report(events.PLANNER_CHANGED, planner, state.map_version)
    if planner == state.host and _misses_samples(now_ms, state, policy):
        state.avoided_until_ms[planner] = now_ms + policy.avoided_ms
        state.planner_since_ms = now_ms
    may_plan = planner == state.host and _is_current(state, policy)
    if state.pending_maps and (not may_plan or now_ms >= state.plan_expires_ms):
        yield _drop_plan(state)
    if not may_plan or state.rebalancing_state is None:
        return
    if len(state.pending_maps) == 1 and state.expert_loads:
        # Ranks may overwrite slots only when all ranks use the interim map.
        if len(_current_samples(state)) == len(state.hosts):
            yield from maploads.request_loads(now_ms, state)
    elif state.pending_maps:
        yield from _propose(now_ms, state, policy)
    elif not state.is_computing:
        yield from _take_window(now_ms, state, policy)


def _is_current(state: State, policy: Policy) -> bool:
    """Return whether a plan may be made from the map in use.

    It may if the map is the published map of this agent's configuration or was planned
    from it, and doesn't belong to a newer configuration. A plan made from an older
    published map would carry the digest of the newly published map, which would then
    not be proposed any more.
    """
    is_origin = state.map_origin == policy.planned_from
    return is_origin and state.map_revision <= policy.revision


def _misses_samples(now_ms: float, state: State, policy: Policy) -> bool:
    """Return whether some host has sent no sample within ``unresponsive_timeout_ms``.

    The result is false while this agent has been the planner for a shorter time.
    """
    since_ms = now_ms - policy.unresponsive_timeout_ms
    return state.planner_since_ms < since_ms and any(
        state.sampled_ms.get(host, since_ms - 1) < since_ms for host in state.hosts
    )


def _propose(now_ms: float, state: State, policy: Policy) -> t.Iterator[Command]:
    if now_ms < state.next_proposal_ms:
        return
    state.next_proposal_ms = now_ms + defaults.PROPOSAL_INTERVAL_MS
    value = mapconversion.value_from_map(state.pending_maps[0])
    payload = maporders.planned_payload(value, policy.revision, policy.planned_from)
    yield Propose(state.map_version, payload)


def _take_window(now_ms: float, state: State, policy: Policy) -> t.Iterator[Command]:
    """Start a window, or end it and yield its computation when it is long enough.

    Nothing happens until samples of all ranks under the newest map have been received.
    """
    current = _current_samples(state)
    if len(current) < len(state.hosts):
        return
    if not state.window_starts:
        state.window_starts = current
        state.window_start_ms = now_ms
        return
    window_ms = now_ms - state.window_start_ms
    if window_ms < policy.planning.window_ms or state.rebalancing_state is None:
        return
    window_starts = [state.window_starts[host] for host in state.hosts]
    ends = [current[host] for host in state.hosts]
    observation = observe(window_ms, window_starts, ends, policy.planning)
    if observation is None:
        state.window_starts = {}
        return
    state.is_computing = True
    yield Compute(
        now_ms, state.rebalancing_state, observation, policy.rebalancing_policy
    )


def _current_samples(state: State) -> dict[str, RankSample]:
    """Return, by host, the samples of the ranks that already use the newest map."""
    return {
        host: sample
        for host, sample in state.samples.items()
        if sample.map_version == state.map_version
    }
