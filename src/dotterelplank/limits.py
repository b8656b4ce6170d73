"""Admission: which requests an entry lets in, fairly over teams and with no store.

Each entry knows its own demand and, from digests, that of the other live entries in
its failure domain. From these every entry works out the same max-min fair level,
and holds each team that asks for more to its part of what the team gets. Costs are
in the unit of :class:`LimitRequest`; rates are costs a second.
"""

import collections
import dataclasses
import enum
import math
import random
import typing as t

from . import demands
from .demands import DemandDigest

MAX_TEAMS = 8_192
MAX_TICKETS = 65_536
IDLE_MS = 120_000.0
DEMAND_TIME_MS = 2_000.0
REFRESH_MS = 250.0
DIGEST_LIFE_MS = 2_500.0
BURST_MS = 500.0
PRIORITY_STEP_MS = 100.0
MAX_PRIORITY_STEPS = 4
COME_BACK_MIN_MS = 250.0
COME_BACK_MAX_MS = 30_000.0
MIN_TRIM = 0.5
MAX_TRIM = 1.25
TRIM_GAIN = 0.1
BACKLOG_GAIN = 0.5


class ShedReason(enum.Enum):
    """Why a request was not let in."""

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
    """What admission needs to know of a request.

    :param cost: expected cost, usually tokens read and generated.
    :param priority: higher is shed later; 0 is usual.
    :param deadline_ms: when its answer is of no more use, on the clock of
        ``now_ms``.
    :param expected_ms: time that it needs on an idle endpoint to be of use.
    """

    request_id: str
    team: str
    cost: float
    priority: int
    deadline_ms: float
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPolicy:
    """The settings of admission.

    :param shares: for each team named in the configuration its part of the
        capacity, 0 to 1.
    :param default_share: the same for each other team.
    :param fill: part of the capacity that is given out.
    """

    shares: t.Mapping[str, float]
    default_share: float
    fill: float = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one request; give it back with :func:`release`."""

    number: int
    team: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The request was not run, and won't be.

    :param retry_after_ms: when the caller may ask again; spread over requests.
    """

    retry_after_ms: float
    reason: ShedReason


@dataclasses.dataclass(slots=True)
class Rate:
    """A rate that decays over :data:`DEMAND_TIME_MS`, in cost a second."""

    value_per_s: float = 0.0
    updated_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class TeamState:
    """What an entry remembers of a team.

    :param level: cost that the team may still spend; below 0 it waits.
    :param rate_per_s: rate at which ``level`` grows; infinite without a limit.
    """

    demand: Rate
    level: float
    level_ms: float
    rate_per_s: float = math.inf
    refreshed_ms: float = -math.inf


@dataclasses.dataclass(slots=True)
class _Heard:
    digest: DemandDigest
    heard_ms: float


@dataclasses.dataclass(slots=True)
class LimitState:
    """The admission state of one entry.

    :param entry: name of this entry.
    :param capacity_per_s: cost a second that the endpoints of the domain can do.
    :param backlog_ms: time that the endpoints need for what waits before them.
    """

    entry: str
    capacity_per_s: float
    backlog_ms: float = 0.0
    offered: Rate = dataclasses.field(default_factory=Rate)
    admitted: Rate = dataclasses.field(default_factory=Rate)
    teams: "collections.OrderedDict[str, TeamState]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    tickets: dict[int, Ticket] = dataclasses.field(default_factory=dict)
    next_ticket: int = 0
    in_flight_cost: float = 0.0
    peers: dict[str, _Heard] = dataclasses.field(default_factory=dict)
    peer_demand: dict[str, float] = dataclasses.field(default_factory=dict)
    fair_level: float = math.inf
    live_entries: int = 1
    overload: float = 0.0
    trim: float = 1.0
    refreshed_ms: float = -math.inf


def admit(
    now_ms: float, state: LimitState, request: LimitRequest, policy: LimitPolicy
) -> Admitted | Shed:
    """Let ``request`` in or shed it, at once.

    What can't make its deadline is shed first, and doesn't count against its team.
    """
    if now_ms - state.refreshed_ms >= REFRESH_MS:
        refresh(now_ms, state, policy)
    team = _team(now_ms, state, request.team)
    _add(now_ms, team.demand, request.cost)
    _add(now_ms, state.offered, request.cost)
    if now_ms + state.backlog_ms + request.expected_ms > request.deadline_ms:
        return _shed(state, team, request, ShedReason.DEADLINE)
    _refill(now_ms, state, team, request.team, policy)
    if team.level < _needed_level(team, request.priority):
        return _shed(state, team, request, ShedReason.TEAM_OVER_SHARE)
    if len(state.tickets) >= MAX_TICKETS:
        return _shed(state, team, request, ShedReason.OVERLOAD)
    if team.rate_per_s < math.inf:
        team.level -= request.cost
    _add(now_ms, state.admitted, request.cost)
    ticket = Ticket(state.next_ticket, request.team, request.cost)
    state.next_ticket += 1
    state.tickets[ticket.number] = ticket
    state.in_flight_cost += request.cost
    return Admitted(ticket)


def release(now_ms: float, state: LimitState, ticket: Ticket, outcome: Outcome) -> None:
    """Give back ``ticket``; a second time has no effect.

    The cost of a request that failed is given back to its team.
    """
    if state.tickets.pop(ticket.number, None) is None:
        return
    state.in_flight_cost = max(0.0, state.in_flight_cost - ticket.cost)
    team = state.teams.get(ticket.team)
    if team is not None and outcome is Outcome.FAILED:
        team.level = min(team.level + ticket.cost, _burst(team))


def on_load(
    now_ms: float, state: LimitState, capacity_per_s: float, backlog_ms: float
) -> None:
    """Take in the capacity of the domain and the time for what waits there."""
    state.capacity_per_s = capacity_per_s
    state.backlog_ms = backlog_ms


def on_digest(now_ms: float, state: LimitState, digest: DemandDigest) -> None:
    """Take in the demand that another live entry of the domain saw."""
    if digest.entry != state.entry:
        state.peers[digest.entry] = _Heard(digest, now_ms)


def digest(now_ms: float, state: LimitState, policy: LimitPolicy) -> DemandDigest:
    """Return this entry's demand for the other entries, and forget idle teams."""
    _evict_idle(now_ms, state)
    rates = [(value(now_ms, team.demand), name) for name, team in state.teams.items()]
    rates.sort(reverse=True)
    named = tuple(
        demands.TeamDemand(name, rate)
        for rate, name in rates[: demands.MAX_NAMED_TEAMS]
    )
    tail = _tail(rates[demands.MAX_NAMED_TEAMS :], state, policy)
    offered_per_s = value(now_ms, state.offered)
    admitted_per_s = value(now_ms, state.admitted)
    return DemandDigest(state.entry, offered_per_s, admitted_per_s, named, tail)


def refresh(now_ms: float, state: LimitState, policy: LimitPolicy) -> None:
    """Work out the fair level anew from the own demand and the digests held."""
    state.refreshed_ms = now_ms
    for entry, heard in list(state.peers.items()):
        if now_ms - heard.heard_ms > DIGEST_LIFE_MS:
            del state.peers[entry]
    state.live_entries = len(state.peers) + 1
    own = digest(now_ms, state, policy)
    peers = [heard.digest for heard in state.peers.values()]
    state.peer_demand = _sum_named(peers)
    totals = _sum_named([own, *peers])
    claims = [
        demands.Claim(rate, _share(policy, team)) for team, rate in totals.items()
    ]
    claims.extend(
        demands.Claim(bucket.demand_per_s, bucket.share)
        for one in [own, *peers]
        for bucket in one.tail
    )
    _update_trim(state, [own, *peers], policy)
    given_out = state.capacity_per_s * policy.fill * state.trim
    state.fair_level = demands.fair_level(claims, given_out)


def value(now_ms: float, rate: Rate) -> float:
    """Return a decaying rate as of ``now_ms``, in cost a second."""
    age_ms = max(0.0, now_ms - rate.updated_ms)
    return rate.value_per_s * math.exp(-age_ms / DEMAND_TIME_MS)


def _add(now_ms: float, rate: Rate, cost: float) -> None:
    rate.value_per_s = value(now_ms, rate) + cost * 1_000.0 / DEMAND_TIME_MS
    rate.updated_ms = max(rate.updated_ms, now_ms)


def _share(policy: LimitPolicy, team: str) -> float:
    return policy.shares.get(team, policy.default_share)


def _team(now_ms: float, state: LimitState, name: str) -> TeamState:
    team = state.teams.get(name)
    if team is None:
        team = TeamState(Rate(0.0, now_ms), 0.0, now_ms)
        state.teams[name] = team
        if len(state.teams) > MAX_TEAMS:
            state.teams.popitem(last=False)
    state.teams.move_to_end(name)
    return team


def _evict_idle(now_ms: float, state: LimitState) -> None:
    while state.teams:
        name = next(iter(state.teams))
        if now_ms - state.teams[name].demand.updated_ms < IDLE_MS:
            return
        del state.teams[name]


def _refill(
    now_ms: float, state: LimitState, team: TeamState, name: str, policy: LimitPolicy
) -> None:
    if team.refreshed_ms < state.refreshed_ms:
        team.rate_per_s = _team_rate(now_ms, state, team, name, policy)
        team.refreshed_ms = state.refreshed_ms
    if math.isinf(team.rate_per_s):
        team.level = 0.0
    else:
        elapsed_s = max(0.0, now_ms - team.level_ms) / 1_000.0
        team.level = min(team.level + elapsed_s * team.rate_per_s, _burst(team))
    team.level_ms = max(team.level_ms, now_ms)


def _team_rate(
    now_ms: float, state: LimitState, team: TeamState, name: str, policy: LimitPolicy
) -> float:
    """Return this entry's part of the team's rate; infinite while it has no limit."""
    if math.isinf(state.fair_level):
        return math.inf
    own_per_s = value(now_ms, team.demand)
    fair_per_s = _share(policy, name) * state.fair_level
    peers_per_s = state.peer_demand.get(name)
    if peers_per_s is None:
        peers_per_s = own_per_s * (state.live_entries - 1)
    total_per_s = own_per_s + peers_per_s
    if total_per_s <= fair_per_s:
        return math.inf
    return fair_per_s * own_per_s / total_per_s


def _burst(team: TeamState) -> float:
    if math.isinf(team.rate_per_s):
        return 0.0
    return team.rate_per_s * BURST_MS / 1_000.0


def _needed_level(team: TeamState, priority: int) -> float:
    """Return the level from which a request of ``priority`` is let in."""
    if math.isinf(team.rate_per_s):
        return 0.0
    steps = max(-MAX_PRIORITY_STEPS, min(MAX_PRIORITY_STEPS, priority))
    return -steps * PRIORITY_STEP_MS / 1_000.0 * team.rate_per_s


def _shed(
    state: LimitState, team: TeamState, request: LimitRequest, reason: ShedReason
) -> Shed:
    rng = random.Random(request.request_id)
    wait_ms = COME_BACK_MIN_MS + state.backlog_ms
    if team.level < 0.0 and 0.0 < team.rate_per_s < math.inf:
        wait_ms += -team.level / team.rate_per_s * 1_000.0
    wait_ms *= 1.0 + state.overload
    wait_ms = min(COME_BACK_MAX_MS / 2.0, wait_ms)
    return Shed(wait_ms * rng.uniform(0.5, 2.0), reason)


def _sum_named(digests: t.Iterable[DemandDigest]) -> dict[str, float]:
    totals: dict[str, float] = {}
    for one in digests:
        for team in one.named:
            totals[team.team] = totals.get(team.team, 0.0) + team.demand_per_s
    return totals


def _tail(
    rates: t.Sequence[tuple[float, str]], state: LimitState, policy: LimitPolicy
) -> tuple[demands.TailBucket, ...]:
    entries = state.live_entries
    sums: dict[int, list[float]] = {}
    for rate, name in rates:
        share = _share(policy, name) / entries
        number = demands.tail_bucket_number(rate, share, state.capacity_per_s)
        bucket = sums.setdefault(number, [0.0, 0.0])
        bucket[0] += rate
        bucket[1] += share
    return tuple(
        demands.TailBucket(number, demand, share)
        for number, (demand, share) in sorted(sums.items())
    )


def _update_trim(
    state: LimitState, digests: t.Sequence[DemandDigest], policy: LimitPolicy
) -> None:
    """Adjust what is given out by what was let in and by the backlog it made."""
    offered = sum(one.offered_per_s for one in digests)
    admitted = sum(one.admitted_per_s for one in digests)
    capacity = max(state.capacity_per_s * policy.fill, 1e-9)
    state.overload = max(0.0, offered / capacity - 1.0)
    if state.overload == 0.0:
        state.trim = 1.0
        return
    error = 1.0 - admitted / capacity
    state.trim = state.trim * (1.0 + TRIM_GAIN * error)
    state.trim = max(MIN_TRIM, min(MAX_TRIM, state.trim))
