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
from .limit_state import LimitPolicy, LimitState, TeamState, worth_per_s

IDLE_MS = 120_000.0
RECENT_MS = 20_000.0
DIGEST_INTERVAL_MIN_MS = 500.0
DIGEST_INTERVAL_ENTRY_MS = 25.0
DIGEST_LIFE_MIN_MS = 2_500.0
DIGEST_LIFE_INTERVALS = 2.2
NAMED_TEAMS_MIN = 8
NAMED_TEAMS_SUM = 1_000
NAMED_REQUESTS = 3.0
MIN_TRIM = 0.8
MAX_TRIM = 1.25
TRIM_GAIN = 0.05
BACKLOG_HORIZON_MS = 2_000.0
MIN_BACKLOG_FACTOR = 0.4
PLACES_GAIN = 2.5
MIN_FILLING = 0.8
MAX_FILLING = 1.1
MIN_SHARE = 1e-9
MIN_COST = 1e-9
CHANCE = 1.0


def digest_interval_ms(state: LimitState) -> float:
    """Return the time between two digests; it grows with the number of entries."""
    grown_ms = DIGEST_INTERVAL_ENTRY_MS * state.live_entries
    return max(DIGEST_INTERVAL_MIN_MS, grown_ms)


def refresh_interval_ms(state: LimitState) -> float:
    """Return how long a fair level is used before it is worked out anew."""
    return digest_interval_ms(state) / 2.0


def _named_count(state: LimitState) -> int:
    count = NAMED_TEAMS_SUM // state.live_entries
    return max(NAMED_TEAMS_MIN, min(demands.MAX_NAMED_TEAMS, count))


def digest(now_ms: float, state: LimitState) -> DemandDigest:
    """Return this entry's demand for the other entries, and forget idle teams."""
    _evict_idle(now_ms, state)
    rates = []
    for name, team in reversed(state.teams.items()):
        if now_ms - team.demand.updated_ms > RECENT_MS:
            break
        rates.append((team.demand.at(now_ms), name))
    rates.sort(reverse=True)
    named = tuple(
        demands.TeamDemand(name, rate) for rate, name in rates[: _named_count(state)]
    )
    offered_per_s = state.offered.at(now_ms)
    admitted_per_s = state.admitted.at(now_ms)
    rest_per_s = state.rest.demand.at(now_ms)
    return DemandDigest(state.entry, offered_per_s, admitted_per_s, rest_per_s, named)


def refresh(now_ms: float, state: LimitState, policy: LimitPolicy) -> None:
    """Work out the fair level anew from the own demand and the digests held."""
    state.refreshed_ms = now_ms
    _forget_silent(now_ms, state)
    own = digest(now_ms, state)
    peers = [heard.digest for heard in state.peers.values()]
    count = _named_count(state)
    state.peer_demand = demands.sum_named(peers, count)
    sums = demands.sum_named([own, *peers], count)
    least_per_s = NAMED_REQUESTS * worth_per_s(state.request_cost)
    state.totals = {
        name: one.estimate_per_s(state.live_entries)
        for name, one in sums.items()
        if one.demand_per_s >= least_per_s
    }
    claims = _claims(state, [own, *peers], policy)
    _update_trim(state, [own, *peers], policy)
    given_out = _given_out(state, policy) * state.trim
    state.fair_level = demands.fair_level(claims, given_out)


def refresh_team(
    now_ms: float, state: LimitState, team: TeamState, name: str, policy: LimitPolicy
) -> None:
    """Work out this entry's part of the rate of a team with a level of its own."""
    own_per_s = team.demand.at(now_ms)
    peers = state.peer_demand.get(name, demands.NamedSum())
    total_per_s = own_per_s + peers.estimate_per_s(state.live_entries - 1)
    _set_part(state, team, own_per_s, total_per_s, policy.share(name))


def refresh_rest(now_ms: float, state: LimitState, policy: LimitPolicy) -> None:
    """Work out this entry's part of the rate of the rest of the teams."""
    state.rest.request_cost = state.request_cost
    own_per_s = state.rest.demand.at(now_ms)
    total_per_s = max(own_per_s, state.rest_per_s)
    _set_part(state, state.rest, own_per_s, total_per_s, policy.share_of_rest())


def sparse_chance(
    now_ms: float, state: LimitState, team: TeamState, name: str, policy: LimitPolicy
) -> float:
    """Return the part of the requests of a team with few of them that is let in.

    What it asks for at this entry, less one request, stands for what it asks for
    at each other. The last factor corrects the mean of one over so small a count.
    """
    if math.isinf(state.fair_level):
        return 1.0
    rate = team.sparse_demand
    worth_per_request = rate.worth_at(now_ms, max(MIN_COST, team.request_cost))
    own_per_s = rate.at(now_ms) - worth_per_request
    fair_per_s = policy.share(name) * max(state.fair_level, state.capacity_per_s)
    total_per_s = own_per_s * state.live_entries
    if total_per_s <= fair_per_s:
        return 1.0
    requests = own_per_s / worth_per_request
    return fair_per_s / total_per_s * requests / (requests + 1.0)


def _set_part(
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
    requests = total_per_s / worth_per_s(max(MIN_COST, team.request_cost))
    chance = 1.0 + CHANCE / math.sqrt(max(1.0, requests))
    share_per_s = share * state.capacity_per_s * chance
    fair_per_s = share * state.fair_level
    team.is_within_share = total_per_s <= share_per_s
    team.is_within_fair = total_per_s <= max(fair_per_s, share_per_s)
    if math.isinf(state.fair_level):
        team.rate_per_s = math.inf
        return
    even_per_s = worth_per_s(team.request_cost)
    evened_total_per_s = total_per_s + even_per_s * state.live_entries
    team.rate_per_s = fair_per_s * (own_per_s + even_per_s) / evened_total_per_s


def _forget_silent(now_ms: float, state: LimitState) -> None:
    life_ms = DIGEST_LIFE_INTERVALS * digest_interval_ms(state)
    life_ms = max(DIGEST_LIFE_MIN_MS, life_ms)
    for entry, heard in list(state.peers.items()):
        if now_ms - heard.heard_ms > life_ms:
            del state.peers[entry]
    state.live_entries = len(state.peers) + 1


def _evict_idle(now_ms: float, state: LimitState) -> None:
    while state.teams:
        name = next(iter(state.teams))
        if now_ms - state.teams[name].demand.updated_ms < IDLE_MS:
            return
        del state.teams[name]


def _claims(
    state: LimitState, digests: t.Sequence[DemandDigest], policy: LimitPolicy
) -> list[demands.Claim]:
    """Return the claims of the named teams, of the rest, and of the sparse ones."""
    claims = [
        demands.Claim(rate, policy.share(name)) for name, rate in state.totals.items()
    ]
    offered = sum(one.offered_per_s for one in digests)
    rest = sum(one.rest_per_s for one in digests)
    named = listed_named = listed_shares = 0.0
    for name, rate in state.totals.items():
        named += rate
        if name in policy.shares:
            listed_named += rate
            listed_shares += policy.shares[name]
    state.rest_per_s = max(0.0, rest - (named - listed_named))
    claims.append(
        demands.Claim(state.rest_per_s, max(MIN_SHARE, policy.share_of_rest()))
    )
    sparse = max(0.0, offered - rest - listed_named)
    sparse_share = sum(policy.shares.values()) - listed_shares
    claims.append(demands.Claim(sparse, max(MIN_SHARE, sparse_share)))
    return claims


def _given_out(state: LimitState, policy: LimitPolicy) -> float:
    """Return the rate that all entries let in together.

    It is less while work queues. It follows the free places too, since what runs
    wanders far when only its arrivals are held to a rate.
    """
    queueing = max(MIN_BACKLOG_FACTOR, 1.0 - state.backlog_ms / BACKLOG_HORIZON_MS)
    filling = 1.0
    if state.free_share is not None:
        filling += PLACES_GAIN * (state.free_share - (1.0 - policy.fill))
        filling = max(MIN_FILLING, min(MAX_FILLING, filling))
    return state.capacity_per_s * policy.fill * queueing * filling


def _update_trim(
    state: LimitState, digests: t.Sequence[DemandDigest], policy: LimitPolicy
) -> None:
    """Adjust what is given out by what was let in."""
    offered = sum(one.offered_per_s for one in digests)
    admitted = sum(one.admitted_per_s for one in digests)
    wanted = max(_given_out(state, policy), 1e-9)
    state.overload = max(0.0, offered / wanted - 1.0)
    if state.overload == 0.0:
        state.trim = 1.0
        return
    error = 1.0 - admitted / wanted
    trim = state.trim * (1.0 + TRIM_GAIN * error)
    state.trim = max(MIN_TRIM, min(MAX_TRIM, trim))
