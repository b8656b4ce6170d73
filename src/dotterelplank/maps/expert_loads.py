"""The loads of experts that go before a planned map.

The planner asks each host whose rank gains experts to load them, again and again until
it answers, and proposes the target map when all have. A load that fails gives the plan
up; the map in use stays.
"""

import collections
import dataclasses
import typing as t

from .. import defaults
from ..links.messages import ExpertsLoaded, LoadExperts
from .moves import Plan
from .planner_state import Command, Load, Loaded, LoadJob, Send, State


def begin(now_ms: float, state: State, plan: Plan) -> None:
    """Take down what each host is to load for ``plan``.

    The plan may take the time that its bytes need in addition to its usual bound.
    """
    by_host: dict[str, list[int]] = collections.defaultdict(list)
    for move in plan.moves:
        number = move.layer * plan.target.experts + move.expert
        by_host[state.hosts[move.rank]].append(number)
    state.expert_loads = {host: tuple(numbers) for host, numbers in by_host.items()}
    # A restarted planner must not meet answers to a plan of its predecessor.
    state.plan = max(state.plan + 1, int(now_ms))
    state.next_load_ms = now_ms
    state.plan_expires_ms += plan.stage_ms


def request_loads(now_ms: float, state: State) -> t.Iterator[Command]:
    """Ask the hosts that have not answered yet."""
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
    """Begin a load, or answer if it has ended already."""
    load_job = state.load_job
    asked = LoadJob(host, request.plan, request.experts)
    if load_job is None or dataclasses.replace(load_job, is_complete=None) != asked:
        state.load_job = asked
        yield Load(host, request)
    elif load_job.is_complete is not None and host != state.host:
        yield Send(host, ExpertsLoaded(load_job.plan, load_job.is_complete))


def on_loaded(now_ms: float, state: State, event: Loaded) -> t.Iterator[Command]:
    """Answer the host that asked, unless another load came in between."""
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
    """Cross a host off, or let the plan run out now if its load failed."""
    if answer.plan != state.plan or host not in state.expert_loads:
        return
    if answer.is_whole:
        del state.expert_loads[host]
        state.next_proposal_ms = now_ms
    else:
        state.plan_expires_ms = now_ms
