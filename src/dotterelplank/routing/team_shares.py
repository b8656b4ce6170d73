"""Working out each team's fair part at one entry, from the digests of all.

A team that the digests show to ask for much has a level of its own, and so has each
entry's part of it. A team with a configured share and few requests is let in by
chance, in proportion to what it is due. All other teams are the rest, with one
level for them together.
"""

import math
import typing as t

from . import demands
from .demands import DemandDigest
from .limit_state import LimitPolicy, LimitState, TeamState, increment_per_s

IDLE_TIMEOUT_MS = 120_000.0
MAX_TOP_TEAM_IDLE_MS = 20_000.0
MIN_DIGEST_INTERVAL_MS = 500.0
DIGEST_INTERVAL_PER_ENTRY_MS = 25.0
MIN_DIGEST_TTL_MS = 2_500.0
DIGEST_TTL_INTERVALS = 2.2
MIN_TOP_TEAMS = 8
TOP_TEAMS_OVER_ALL_ENTRIES = 1_000
MIN_TOP_TEAM_REQUESTS = 3.0
MIN_CORRECTION = 0.8
MAX_CORRECTION = 1.25
CORRECTION_GAIN = 0.05
BACKLOG_HORIZON_MS = 2_000.0
MIN_BACKLOG_FACTOR = 0.4
OCCUPANCY_GAIN = 2.5
MIN_OCCUPANCY_FACTOR = 0.8
MAX_OCCUPANCY_FACTOR = 1.1
MIN_SHARE = 1e-9
MIN_COST = 1e-9
SAMPLING_NOISE_FACTOR = 1.0


def digest_interval_ms(state: LimitState) -> float:
    """Return the time between two digests; it grows with the number of entries."""
    grown_ms = DIGEST_INTERVAL_PER_ENTRY_MS * state.live_entries
    return max(MIN_DIGEST_INTERVAL_MS, grown_ms)


def refresh_interval_ms(state: LimitState) -> float:
    """Return how long a fair level is used before it is worked out anew."""
    return digest_interval_ms(state) / 2.0


def _top_team_count(state: LimitState) -> int:
    count = TOP_TEAMS_OVER_ALL_ENTRIES // state.live_entries
    return max(MIN_TOP_TEAMS, min(demands.MAX_TOP_TEAMS, count))


def digest(now_ms: float, state: LimitState) -> DemandDigest:
    """Return this entry's demand for the other entries, and forget idle teams."""
    _evict_idle(now_ms, state)
    rates = []
    for name, team in reversed(state.teams.items()):
        if now_ms - team.demand.updated_ms > MAX_TOP_TEAM_IDLE_MS:
            break
        rates.append((team.demand.rate_at(now_ms), name))
    rates.sort(reverse=True)
    top_teams = tuple(
        demands.TeamDemand(name, rate) for rate, name in rates[: _top_team_count(state)]
    )
    offered_per_s = state.offered.rate_at(now_ms)
    admitted_per_s = state.admitted.rate_at(now_ms)
    rest_per_s = state.rest.demand.rate_at(now_ms)
    return DemandDigest(
        state.entry, offered_per_s, admitted_per_s, rest_per_s, top_teams
    )


def refresh(now_ms: float, state: LimitState, policy: LimitPolicy) -> None:
    """Work out the fair level anew from the own demand and the digests held."""
    state.refreshed_ms = now_ms
    _expire_digests(now_ms, state)
    own = digest(now_ms, state)
    peer_digests = [received.digest for received in state.peer_digests.values()]
    count = _top_team_count(state)
    state.peer_demand = demands.sum_by_team(peer_digests, count)
    sums = demands.sum_by_team([own, *peer_digests], count)
    least_per_s = MIN_TOP_TEAM_REQUESTS * increment_per_s(state.mean_request_cost)
    state.totals = {
        name: team_sum.estimate_per_s(state.live_entries)
        for name, team_sum in sums.items()
        if team_sum.demand_per_s >= least_per_s
    }
    claims = _claims(state, [own, *peer_digests], policy)
    _update_correction(state, [own, *peer_digests], policy)
    admissible_per_s = _admissible_per_s(state, policy) * state.correction
    state.fair_level = demands.fair_level(claims, admissible_per_s)


def refresh_team(
    now_ms: float, state: LimitState, team: TeamState, name: str, policy: LimitPolicy
) -> None:
    """Work out this entry's part of the rate of a team with a level of its own."""
    own_per_s = team.demand.rate_at(now_ms)
    peer_sum = state.peer_demand.get(name, demands.TeamDemandSum())
    total_per_s = own_per_s + peer_sum.estimate_per_s(state.live_entries - 1)
    _set_rate(state, team, own_per_s, total_per_s, policy.share(name))


def refresh_rest(now_ms: float, state: LimitState, policy: LimitPolicy) -> None:
    """Work out this entry's part of the rate of the rest of the teams."""
    state.rest.mean_request_cost = state.mean_request_cost
    own_per_s = state.rest.demand.rate_at(now_ms)
    total_per_s = max(own_per_s, state.rest_per_s)
    _set_rate(state, state.rest, own_per_s, total_per_s, policy.share_of_rest())


def sparse_admission_probability(
    now_ms: float, state: LimitState, team: TeamState, name: str, policy: LimitPolicy
) -> float:
    """Return the part of the requests of a team with few of them that is let in.

    What it asks for at this entry, less one request, stands for what it asks for
    at each other. The last factor corrects the mean of one over so small a count.
    """
    if math.isinf(state.fair_level):
        return 1.0
    rate = team.sparse_demand
    increment_per_request = rate.increment_at(
        now_ms, max(MIN_COST, team.mean_request_cost)
    )
    own_per_s = rate.rate_at(now_ms) - increment_per_request
    fair_per_s = policy.share(name) * max(state.fair_level, state.capacity_per_s)
    total_per_s = own_per_s * state.live_entries
    if total_per_s <= fair_per_s:
        return 1.0
    requests = own_per_s / increment_per_request
    return fair_per_s / total_per_s * requests / (requests + 1.0)


def _set_rate(
    state: LimitState,
    team: TeamState,
    own_per_s: float,
    total_per_s: float,
    share: float,
) -> None:
    """Split a fair rate by demand, evened out by one request at each entry.

    A team is within its share up to a demand that chance alone may show.
    """
    team.refreshed_ms = state.refreshed_ms
    requests = total_per_s / increment_per_s(max(MIN_COST, team.mean_request_cost))
    noise_margin = 1.0 + SAMPLING_NOISE_FACTOR / math.sqrt(max(1.0, requests))
    share_per_s = share * state.capacity_per_s * noise_margin
    fair_per_s = share * state.fair_level
    team.is_within_share = total_per_s <= share_per_s
    team.is_within_fair_rate = total_per_s <= max(fair_per_s, share_per_s)
    if math.isinf(state.fair_level):
        team.rate_per_s = math.inf
        return
    smoothing_per_s = increment_per_s(team.mean_request_cost)
    smoothed_total_per_s = total_per_s + smoothing_per_s * state.live_entries
    team.rate_per_s = fair_per_s * (own_per_s + smoothing_per_s) / smoothed_total_per_s


def _expire_digests(now_ms: float, state: LimitState) -> None:
    ttl_ms = DIGEST_TTL_INTERVALS * digest_interval_ms(state)
    ttl_ms = max(MIN_DIGEST_TTL_MS, ttl_ms)
    for entry, received in list(state.peer_digests.items()):
        if now_ms - received.received_ms > ttl_ms:
            del state.peer_digests[entry]
    state.live_entries = len(state.peer_digests) + 1


def _evict_idle(now_ms: float, state: LimitState) -> None:
    while state.teams:
        name = next(iter(state.teams))
        if now_ms - state.teams[name].demand.updated_ms < IDLE_TIMEOUT_MS:
            return
        del state.teams[name]


def _claims(
    state: LimitState, digests: t.Sequence[DemandDigest], policy: LimitPolicy
) -> list[demands.Claim]:
    """Return the claims of the named teams, of the rest, and of the sparse ones."""
    claims = [
        demands.Claim(rate, policy.share(name)) for name, rate in state.totals.items()
    ]
    offered = sum(digest.offered_per_s for digest in digests)
    rest = sum(digest.rest_per_s for digest in digests)
    named_per_s = listed_named_per_s = listed_shares = 0.0
    for name, rate in state.totals.items():
        named_per_s += rate
        if name in policy.shares:
            listed_named_per_s += rate
            listed_shares += policy.shares[name]
    state.rest_per_s = max(0.0, rest - (named_per_s - listed_named_per_s))
    claims.append(
        demands.Claim(state.rest_per_s, max(MIN_SHARE, policy.share_of_rest()))
    )
    sparse = max(0.0, offered - rest - listed_named_per_s)
    sparse_share = sum(policy.shares.values()) - listed_shares
    claims.append(demands.Claim(sparse, max(MIN_SHARE, sparse_share)))
    return claims


def _admissible_per_s(state: LimitState, policy: LimitPolicy) -> float:
    """Return the rate that all entries let in together.

    It is less while work queues. It follows the free places too, since what runs
    wanders far when only its arrivals are held to a rate.
    """
    backlog_factor = max(
        MIN_BACKLOG_FACTOR, 1.0 - state.backlog_ms / BACKLOG_HORIZON_MS
    )
    occupancy_factor = 1.0
    if state.free_share is not None:
        occupancy_factor += OCCUPANCY_GAIN * (
            state.free_share - (1.0 - policy.target_utilization)
        )
        occupancy_factor = max(
            MIN_OCCUPANCY_FACTOR, min(MAX_OCCUPANCY_FACTOR, occupancy_factor)
        )
    return (
        state.capacity_per_s
        * policy.target_utilization
        * backlog_factor
        * occupancy_factor
    )


def _update_correction(
    state: LimitState, digests: t.Sequence[DemandDigest], policy: LimitPolicy
) -> None:
    """Adjust what is given out by what was let in."""
    offered = sum(digest.offered_per_s for digest in digests)
    admitted = sum(digest.admitted_per_s for digest in digests)
    target_per_s = max(_admissible_per_s(state, policy), 1e-9)
    state.overload = max(0.0, offered / target_per_s - 1.0)
    if state.overload == 0.0:
        state.correction = 1.0
        return
    error = 1.0 - admitted / target_per_s
    correction = state.correction * (1.0 + CORRECTION_GAIN * error)
    state.correction = max(MIN_CORRECTION, min(MAX_CORRECTION, correction))
