"""Computation of each team's fair rate at one entry from the digests of all entries.

A team with high demand in the digests has a token bucket of its own at each entry. The
requests of a team with a configured share and few requests are admitted at random, with
a probability that follows from its fair rate. All remaining teams are called the rest
and have one joint token bucket.
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
    """Return the time after which the fair level is computed again."""
    return digest_interval_ms(state) / 2.0


def _top_team_count(state: LimitState) -> int:
    count = TOP_TEAMS_OVER_ALL_ENTRIES // state.live_entries
    return max(MIN_TOP_TEAMS, min(demands.MAX_TOP_TEAMS, count))


def digest(now_ms: float, state: LimitState) -> DemandDigest:
    """Remove idle teams and return the digest of this entry's demand."""
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
    """Compute the fair level from this entry's demand and the digests of its peers."""
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
    """Compute this entry's part of the rate of a team with a bucket of its own."""
    own_per_s = team.demand.rate_at(now_ms)
    peer_sum = state.peer_demand.get(name, demands.TeamDemandSum())
    total_per_s = own_per_s + peer_sum.estimate_per_s(state.live_entries - 1)
    _set_rate(state, team, own_per_s, total_per_s, policy.share(name))


def refresh_rest(now_ms: float, state: LimitState, policy: LimitPolicy) -> None:
    """Compute this entry's part of the joint rate of the remaining teams."""
    state.rest.mean_request_cost = state.mean_request_cost
    own_per_s = state.rest.demand.rate_at(now_ms)
    total_per_s = max(own_per_s, state.rest_per_s)
    _set_rate(state, state.rest, own_per_s, total_per_s, policy.share_of_rest())


def sparse_admission_probability(
    now_ms: float, state: LimitState, team: TeamState, name: str, policy: LimitPolicy
) -> float:
    """Return the probability with which a request of a sparse team is admitted.

    A sparse team has a configured share and few requests. Its demand at this entry,
    less one request, is taken as its demand at each of the entries. The last factor
    corrects the bias in the mean of the reciprocal of such a small count.
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
    """Set this entry's part of a team's fair rate, in proportion to its demand here.

    The demand at each entry is smoothed by adding one request of mean cost. A team is
    within its share as long as its demand exceeds the share by no more than sampling
    noise explains.
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
    """Return the claims of the teams with own buckets, the rest and sparse teams."""
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
    """Return the rate that all entries may admit together, before the correction.

    The rate is lower while requests wait at the endpoints. It also follows the fraction
    of free batch slots, since the number of running requests drifts far if only
    arrivals are limited.
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
    """Adjust the correction factor by comparing the admitted rate with its target."""
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
