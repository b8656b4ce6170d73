"""The loading of experts before a planned map is proposed.

The planner asks each host whose rank gains experts to load them and repeats the request
until the host answers. The target map is proposed when all hosts have loaded their
experts. If a load fails, the plan is abandoned and the current map stays in use.
"""

import collections
import dataclasses
import typing as t

from .. import defaults
from ..links.messages import ExpertsLoaded, LoadExperts
from .moves import Plan
from .planner_state import Command, Load, Loaded, LoadJob, Send, State


def begin(now_ms: float, state: State, plan: Plan) -> None:
    """Record which experts each host must load for ``plan``.

    The plan's expiry is extended by the time that the store needs for its bytes.

    :param now_ms: current monotonic time in milliseconds.
    """
    by_host: dict[str, list[int]] = collections.defaultdict(list)
    for move in plan.moves:
        number = move.layer * plan.target.experts + move.expert
        by_host[state.hosts[move.rank]].append(number)
    state.expert_loads = {host: tuple(numbers) for host, numbers in by_host.items()}
    # The number is at least the current time, so that a restarted planner doesn't
    # accept answers to a plan that it made before the restart.
    state.plan = max(state.plan + 1, int(now_ms))
    state.next_load_ms = now_ms
    state.plan_expires_ms += plan.stage_ms


def request_loads(now_ms: float, state: State) -> t.Iterator[Command]:
    """Yield load requests for the hosts that have not answered yet, if due."""
    if now_ms < state.next_load_ms:
        return
    state.next_load_ms = now_ms + defaults.SAMPLE_INTERVAL_MS
    bound_ms = state.plan_expires_ms - now_ms
    for host, experts in list(state.expert_loads.items()):
        request = LoadExperts(state.plan, experts, bound_ms)
        if host == state.host:
            yield from on_request(state, host, request)
        else:
            yield Send(host, request)


def on_request(state: State, host: str, request: LoadExperts) -> t.Iterator[Command]:
    """Start the requested load, or answer if the same load has ended already.

    :param host: the host that sent the request.
    """
    load_job = state.load_job
    requested = LoadJob(host, request.plan, request.experts)
    if load_job is None or dataclasses.replace(load_job, is_complete=None) != requested:
        state.load_job = requested
        yield Load(host, request)
    elif load_job.is_complete is not None and host != state.host:
        yield Send(host, ExpertsLoaded(load_job.plan, load_job.is_complete))


def on_loaded(now_ms: float, state: State, event: Loaded) -> t.Iterator[Command]:
    """Answer the host that requested the load, unless a later request replaced it."""
    load_job = state.load_job
    if load_job is None or (load_job.host, load_job.plan) != (event.host, event.plan):
        return
    state.load_job = dataclasses.replace(load_job, is_complete=event.is_complete)
    answer = ExpertsLoaded(event.plan, event.is_complete)
    if event.host == state.host:
        on_answer(now_ms, state, event.host, answer)
    else:
        yield Send(event.host, answer)


def on_answer(now_ms: float, state: State, host: str, answer: ExpertsLoaded) -> None:
    """Record that a host has loaded its experts, or expire the plan if it failed to.

    :param host: the host that sent the answer.
    """
    if answer.plan != state.plan or host not in state.expert_loads:
        return
    if answer.is_complete:
        del state.expert_loads[host]
        state.next_proposal_ms = now_ms
    else:
        state.plan_expires_ms = now_ms
