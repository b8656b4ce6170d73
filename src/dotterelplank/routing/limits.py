"""Admission control that is fair between teams and needs no shared store.

Each entry knows its own demand and, from digests, the demand at the other live entries
in its failure domain. From these, every entry computes the same max-min fair level. If
a team's demand exceeds its fair rate, each entry limits the team to the entry's part of
that rate. Requests don't queue here: each one is admitted or shed at once.
"""

import dataclasses
import enum
import math

from . import prefixes, team_shares
from .demands import DemandDigest
from .limit_state import (
    LimitPolicy,
    LimitState,
    ReceivedDigest,
    TeamState,
    Ticket,
    increment_per_s,
)
from .team_shares import digest, digest_interval_ms

__all__ = [
    "Admitted",
    "LimitPolicy",
    "LimitRequest",
    "LimitState",
    "Outcome",
    "Shed",
    "ShedReason",
    "Ticket",
    "admit",
    "digest",
    "digest_interval_ms",
    "on_digest",
    "on_load",
    "release",
]

MAX_TEAMS = 8_192
MAX_TICKETS = 65_536
BURST_MS = 2_000.0
REQUEST_COST_WEIGHT = 0.1
PRIORITY_STEP_MS = 100.0
MAX_PRIORITY_STEPS = 4
LIGHT_TEAM_REQUESTS = 1.5
MIN_RETRY_AFTER_MS = 250.0
MAX_RETRY_AFTER_MS = 30_000.0


class ShedReason(enum.Enum):
    """Why a request was not admitted."""

    TEAM_OVER_SHARE = "team-over-share"
    OVERLOAD = "overload"
    DEADLINE = "deadline"


class Outcome(enum.Enum):
    """How an admitted request ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRequest:
    """The properties of a request that admission control uses.

    :param cost: expected cost, usually the number of tokens read and generated.
    :param priority: requests with a higher priority are shed later; the default is 0.
    :param deadline_ms: time after which the answer is useless, on the clock of
        ``now_ms``.
    :param expected_ms: time that the request needs on an idle endpoint.
    """

    request_id: str
    team: str
    cost: float
    priority: int
    deadline_ms: float
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The result for a request that may run now.

    :param is_within_share: whether the team's demand is at most its share. If so, the
        engine should prefer the request to those of teams above their share.
    """

    ticket: Ticket
    is_within_share: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The result for a request that has not run and will not run.

    :param retry_after_ms: time after which the caller may try again. It differs
        between requests, so that callers don't all return at once.
    """

    retry_after_ms: float
    reason: ShedReason


def admit(
    now_ms: float, state: LimitState, request: LimitRequest, policy: LimitPolicy
) -> Admitted | Shed:
    """Admit ``request`` or shed it, without waiting.

    A request that can't meet its deadline is shed before any cost is charged.
    """
    team = _record_demand(now_ms, state, request)
    if request.team not in policy.shares:
        state.rest.demand.add(now_ms, request.cost)
    if now_ms - state.refreshed_ms >= team_shares.refresh_interval_ms(state):
        team_shares.refresh(now_ms, state, policy)
        team_shares.refresh_rest(now_ms, state, policy)
    level = _refilled_level(now_ms, state, team, request, policy)
    if now_ms + state.backlog_ms + request.expected_ms > request.deadline_ms:
        return _shed(state, level, request, ShedReason.DEADLINE)
    if level is None:
        probability = team_shares.sparse_admission_probability(
            now_ms, state, team, request.team, policy
        )
        if _hash_fraction(request.request_id) >= probability:
            return _shed(state, level, request, ShedReason.TEAM_OVER_SHARE)
    elif not level.is_within_fair_rate:
        if level.level < _required_level(state, level, team, request):
            return _shed(state, level, request, ShedReason.TEAM_OVER_SHARE)
    if len(state.tickets) >= MAX_TICKETS:
        return _shed(state, level, request, ShedReason.OVERLOAD)
    if level is not None:
        min_level = 0.0 if level.is_within_fair_rate else -math.inf
        level.level = max(min_level, level.level - request.cost)
    state.admitted.add(now_ms, request.cost)
    ticket = Ticket(state.next_ticket, request.team, request.cost, level is state.rest)
    state.next_ticket += 1
    state.tickets[ticket.number] = ticket
    state.in_flight_cost += request.cost
    return Admitted(ticket, level is None or level.is_within_share)


def release(now_ms: float, state: LimitState, ticket: Ticket, outcome: Outcome) -> None:
    """Release ``ticket``; a second release of the same ticket has no effect.

    The cost of a failed request is refunded to the bucket from which it was taken.
    """
    if state.tickets.pop(ticket.number, None) is None:
        return
    state.in_flight_cost = max(0.0, state.in_flight_cost - ticket.cost)
    if outcome is not Outcome.FAILED:
        return
    level = state.rest if ticket.is_of_rest else state.teams.get(ticket.team)
    if level is not None:
        level.level = min(level.level + ticket.cost, level.burst(BURST_MS))


def on_load(
    now_ms: float,
    state: LimitState,
    capacity_per_s: float,
    backlog_ms: float,
    free_share: float | None = None,
) -> None:
    """Record the load of the domain's endpoints, see :mod:`capacities`."""
    state.capacity_per_s = capacity_per_s
    state.backlog_ms = backlog_ms
    state.free_share = free_share


def on_digest(now_ms: float, state: LimitState, digest: DemandDigest) -> None:
    """Record the digest of another live entry of the domain."""
    if digest.entry != state.entry:
        state.peer_digests[digest.entry] = ReceivedDigest(digest, now_ms)


def _record_demand(
    now_ms: float, state: LimitState, request: LimitRequest
) -> TeamState:
    """Add the request to its team's demand and return the state of the team."""
    team = state.teams.get(request.team)
    if team is None:
        team = TeamState(0.0, now_ms, request.cost)
        state.teams[request.team] = team
        if len(state.teams) > MAX_TEAMS:
            state.teams.popitem(last=False)
    state.teams.move_to_end(request.team)
    team.mean_request_cost += REQUEST_COST_WEIGHT * (
        request.cost - team.mean_request_cost
    )
    if not state.mean_request_cost:
        state.mean_request_cost = request.cost
    change = request.cost - state.mean_request_cost
    state.mean_request_cost += REQUEST_COST_WEIGHT * change
    team.demand.add(now_ms, request.cost)
    team.sparse_demand.add(now_ms, request.cost)
    state.offered.add(now_ms, request.cost)
    return team


def _refilled_level(
    now_ms: float,
    state: LimitState,
    team: TeamState,
    request: LimitRequest,
    policy: LimitPolicy,
) -> TeamState | None:
    """Refill and return the token bucket from which the request's cost is taken.

    It is None for a team with a configured share and few requests, whose requests are
    admitted with a probability instead.
    """
    level = state.rest
    if request.team in state.totals:
        level = team
        if level.refreshed_ms < state.refreshed_ms:
            team_shares.refresh_team(now_ms, state, level, request.team, policy)
    elif request.team in policy.shares:
        return None
    elapsed_s = max(0.0, now_ms - level.level_updated_ms) / 1_000.0
    level.level_updated_ms = max(level.level_updated_ms, now_ms)
    burst = level.burst(BURST_MS)
    if math.isinf(level.rate_per_s):
        level.level = burst
    else:
        level.level = min(level.level + elapsed_s * level.rate_per_s, burst)
    return level


def _required_level(
    state: LimitState, level: TeamState, team: TeamState, request: LimitRequest
) -> float:
    """Return the level that the bucket must have for ``request`` to be admitted.

    The base is a pseudorandom value between 0 and the request's cost. If the bucket
    covers only a part of the cost, the request is admitted with the probability of
    that part. A higher priority lowers the required level. In the joint bucket of the
    remaining teams, the level is higher for a team with a recent demand of more than
    LIGHT_TEAM_REQUESTS requests of mean cost.
    """
    steps = max(-MAX_PRIORITY_STEPS, min(MAX_PRIORITY_STEPS, request.priority))
    required_level = _hash_fraction(request.request_id) * request.cost
    required_level -= steps * PRIORITY_STEP_MS / 1_000.0 * level.rate_per_s
    if level is state.rest:
        light_per_s = LIGHT_TEAM_REQUESTS * increment_per_s(state.mean_request_cost)
        if team.demand.value_per_s > light_per_s:
            required_level += level.burst(BURST_MS) / 4.0
    return required_level


def _shed(
    state: LimitState,
    level: TeamState | None,
    request: LimitRequest,
    reason: ShedReason,
) -> Shed:
    wait_ms = MIN_RETRY_AFTER_MS + state.backlog_ms
    if level and level.level < 0.0 and 0.0 < level.rate_per_s < math.inf:
        wait_ms += -level.level / level.rate_per_s * 1_000.0
    wait_ms *= 1.0 + state.overload
    wait_ms = min(MAX_RETRY_AFTER_MS / 2.0, wait_ms)
    return Shed(
        wait_ms * (0.5 + 1.5 * _hash_fraction(request.request_id + "/shed")), reason
    )


def _hash_fraction(text: str) -> float:
    """Return a pseudorandom number from 0 to 1 that depends on ``text`` alone."""
    return prefixes.hash_text(text) / 2.0**64
