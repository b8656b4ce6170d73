"""The decision which agent of a rank group plans its expert maps, and what it proposes.

:func:`decide` takes the present time, an agent's state and one event, and returns
commands. Every agent sends what its rank has done to the first host, in sorted order,
that has answered lately and gets samples of the whole group. That one plans. Two that
plan at once do no harm: a proposal names the version that it starts from, so at most
one of the two comes into use, and both then start a window anew under that map and
lock the experts that it moved.
"""

import dataclasses
import typing as t

import numpy as np

from .. import defaults, events
from ..links.messages import ExpertsLoaded, LoadExperts, RankSample, SampleTaken
from . import layouts as maplayouts, loads as maploads, orders as maporders, rebalancing
from .experts import ExpertMap
from .messages import Propose
from .planner_state import (
    Command,
    Compute,
    Computed,
    Event,
    InUse,
    Loaded,
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
    """Return what the rebalancing decides; a plain function for any thread.

    :param may_move: whether experts can be loaded at all.
    """
    memory = command.memory
    policy = command.policy
    if not may_move:
        policy = dataclasses.replace(policy, cost_weight=1.0)
    decision = rebalancing.plan(command.now_ms, memory, command.observation, policy)
    return Computed(memory.map.version, decision)


def unchanged(command: Compute) -> Computed:
    """Return the decision to plan nothing, for a window that can't be used."""
    memory = command.memory
    return Computed(memory.map.version, rebalancing.Decision(memory, None))


def new_state(now_ms: float, host: str, hosts: tuple[str, ...]) -> State:
    """Return the state at the start, when every host counts as heard."""
    state = State(host, hosts)
    state.heard_ms = {other: now_ms for other in hosts if other != host}
    return state


def planner_of(now_ms: float, state: State, policy: Policy) -> str:
    """Return the first host that may plan, or this one if none may."""
    able = (host for host in state.hosts if _may_plan(now_ms, state, host, policy))
    return next(able, state.host)


def _may_plan(now_ms: float, state: State, host: str, policy: Policy) -> bool:
    if now_ms < state.avoided_until_ms.get(host, 0.0):
        return False
    return host == state.host or now_ms - state.heard_ms[host] <= policy.silent_ms


def decide(
    now_ms: float, state: State, event: Event, policy: Policy
) -> t.Sequence[Command]:
    """Take in one event and return the commands that follow, in order.

    :param now_ms: monotonic milliseconds, read after the event came.
    """
    commands: list[Command] = []
    match event:
        case Tick():
            pass
        case InUse():
            commands += _on_in_use(now_ms, state, event, policy)
        case Sampled(sample):
            _keep(now_ms, state, state.host, sample)
            commands += _pass_on(now_ms, state, sample, policy)
        case Received():
            commands += _on_received(now_ms, state, event, policy)
        case Loaded():
            commands += maploads.on_loaded(now_ms, state, event)
        case Computed():
            commands += _on_computed(now_ms, state, event, policy)
    commands += _advance(now_ms, state, policy)
    return commands


def _pass_on(
    now_ms: float, state: State, sample: RankSample, policy: Policy
) -> t.Iterator[Command]:
    """Send a sample to the planner, and to one silent host that would go before it."""
    planner = planner_of(now_ms, state, policy)
    if planner != state.host:
        yield Send(planner, sample)
    before = state.hosts[: state.hosts.index(planner)]
    if before:
        state.probes += 1
        yield Send(before[state.probes % len(before)], sample)


def _on_received(
    now_ms: float, state: State, event: Received, policy: Policy
) -> t.Iterator[Command]:
    host = event.host
    if host not in state.heard_ms:
        return
    state.heard_ms[host] = now_ms
    match event.message:
        case RankSample() as sample:
            _keep(now_ms, state, host, sample)
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


def _keep(now_ms: float, state: State, host: str, sample: RankSample) -> None:
    state.samples[host] = sample
    state.sampled_ms[host] = now_ms


def _on_in_use(
    now_ms: float, state: State, event: InUse, policy: Policy
) -> t.Iterator[Command]:
    if event.version <= state.map_version:
        return
    state.map_version = event.version
    state.map_revision = event.published.revision
    state.map_origin = event.published.origin
    state.starts = {}
    value = event.published.value
    expert_map = maplayouts.map_of(
        value, policy.planning, len(state.hosts), event.version
    )
    if expert_map is None:
        state.memory = None
        state.pending = ()
        state.loads = {}
        yield Report(events.MAP_UNPLANNABLE, state.host, event.version)
        return
    state.memory = _adopted(now_ms, state.memory, expert_map)
    if not state.pending:
        return
    if value == maplayouts.value_of(state.pending[0]):
        state.pending = state.pending[1:]
        state.propose_at_ms = now_ms
        if not state.pending:
            state.memory = rebalancing.abandon(state.memory)
    else:
        yield _drop(state)


def _adopted(
    now_ms: float, memory: rebalancing.State | None, expert_map: ExpertMap
) -> rebalancing.State:
    """Return the memory after a change of map, whoever planned it.

    The times of gains and losses are taken from the maps themselves, so that every
    agent holds the same locks when it takes over.
    """
    if memory is None or memory.map.slots.shape != expert_map.slots.shape:
        return rebalancing.initial_state(expert_map)
    change = expert_map.replicas() - memory.map.replicas()
    marked = dataclasses.replace(
        memory,
        gained_ms=np.where(change > 0, now_ms, memory.gained_ms),
        lost_ms=np.where(change < 0, now_ms, memory.lost_ms),
    )
    return rebalancing.adopt(marked, expert_map)


def _on_computed(
    now_ms: float, state: State, event: Computed, policy: Policy
) -> t.Iterator[Command]:
    state.is_computing = False
    state.starts = {}
    plan = event.decision.plan
    if event.map_version != state.map_version or state.memory is None:
        if plan is not None:
            yield Report(events.PLAN_DROPPED, state.host, event.map_version)
        return
    state.memory = event.decision.state
    if plan is None:
        return
    steps = (plan.target,)
    if plan.interim is not None and _evicts(plan):
        steps = (plan.interim, plan.target)
    state.pending = steps
    state.pending_until_ms = now_ms + policy.plan_bound_ms
    if policy.planning.store_url and plan.moves:
        maploads.begin(now_ms, state, plan)
    state.propose_at_ms = now_ms


def _evicts(plan: rebalancing.Plan) -> bool:
    return any(move.evicted >= 0 for move in plan.moves)


def _drop(state: State) -> Command:
    state.pending = ()
    state.loads = {}
    state.starts = {}
    if state.memory is not None:
        state.memory = rebalancing.abandon(state.memory)
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
    if state.pending and (not may_plan or now_ms >= state.pending_until_ms):
        yield _drop(state)
    if not may_plan or state.memory is None:
        return
    if len(state.pending) == 1 and state.loads:
        # A slot may be written once no rank takes a step that uses it.
        if len(_present(state)) == len(state.hosts):
            yield from maploads.ask(now_ms, state)
    elif state.pending:
        yield from _propose(now_ms, state, policy)
    elif not state.is_computing:
        yield from _take_window(now_ms, state, policy)


def _is_current(state: State, policy: Policy) -> bool:
    """Return whether the map in use is the published one or was planned from it.

    Until a newly published map is in use, a plan from the old one would bear its name
    and keep it out.
    """
    is_origin = state.map_origin == policy.planned_from
    return is_origin and state.map_revision <= policy.revision


def _misses_samples(now_ms: float, state: State, policy: Policy) -> bool:
    """Return whether some host's samples have stayed away since this one plans."""
    since_ms = now_ms - policy.silent_ms
    return state.planner_since_ms < since_ms and any(
        state.sampled_ms.get(host, since_ms - 1) < since_ms for host in state.hosts
    )


def _propose(now_ms: float, state: State, policy: Policy) -> t.Iterator[Command]:
    if now_ms < state.propose_at_ms:
        return
    state.propose_at_ms = now_ms + defaults.PROPOSAL_INTERVAL_MS
    value = maplayouts.value_of(state.pending[0])
    payload = maporders.planned_payload(value, policy.revision, policy.planned_from)
    yield Propose(state.map_version, payload)


def _take_window(now_ms: float, state: State, policy: Policy) -> t.Iterator[Command]:
    """Begin a window, or end it when it has been long enough for every rank."""
    present = _present(state)
    if len(present) < len(state.hosts):
        return
    if not state.starts:
        state.starts = present
        state.window_since_ms = now_ms
        return
    window_ms = now_ms - state.window_since_ms
    if window_ms < policy.planning.window_ms or state.memory is None:
        return
    starts = [state.starts[host] for host in state.hosts]
    ends = [present[host] for host in state.hosts]
    observation = observe(window_ms, starts, ends, policy.planning)
    if observation is None:
        state.starts = {}
        return
    state.is_computing = True
    yield Compute(now_ms, state.memory, observation, policy.worth)


def _present(state: State) -> dict[str, RankSample]:
    """Return the samples of the ranks that use the newest map already."""
    return {
        host: sample
        for host, sample in state.samples.items()
        if sample.map_version == state.map_version
    }
