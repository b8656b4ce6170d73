"""Digests of the teams' demand that entries exchange, and the max-min fair level.

The size of a digest is bounded: it lists only the teams with the highest demand. A
separate total covers all teams without a configured share. Demand and rates are in
units of cost per second; the usual unit of cost is a token.
"""

import dataclasses
import math
import typing as t

MAX_TOP_TEAMS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """The demand of one team at one entry.

    :param demand_per_s: cost per second of the requests that callers sent.
    """

    team: str
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DemandDigest:
    """The demand that one entry saw.

    :param entry: the name of the entry.
    :param offered_per_s: cost per second of all requests that callers sent.
    :param admitted_per_s: cost per second of the admitted requests.
    :param rest_per_s: cost per second of the requests that callers of teams without a
        configured share sent.
    :param top_teams: at most :data:`MAX_TOP_TEAMS` teams, highest demand first.
    """

    entry: str
    offered_per_s: float
    admitted_per_s: float
    rest_per_s: float
    top_teams: tuple[TeamDemand, ...]


@dataclasses.dataclass(slots=True)
class TeamDemandSum:
    """The demand of one team summed over several digests.

    :param demand_per_s: the sum over the digests that list the team.
    :param entries: the number of digests that list the team.
    :param max_unlisted_per_s: upper bound of the team's demand at the entries whose
        digests don't list it.
    """

    demand_per_s: float = 0.0
    entries: int = 0
    max_unlisted_per_s: float = 0.0

    def estimate_per_s(self, entries: int) -> float:
        """Return the estimated demand of the team over ``entries`` entries.

        At each entry that doesn't list the team, its demand is taken to be the mean
        of the entries that do. The sum of these is limited to ``max_unlisted_per_s``.
        """
        if not self.entries:
            return 0.0
        mean_per_s = self.demand_per_s / self.entries
        likely_per_s = mean_per_s * (entries - self.entries)
        return self.demand_per_s + min(likely_per_s, self.max_unlisted_per_s)


def sum_by_team(
    digests: t.Sequence[DemandDigest], count: int
) -> dict[str, TeamDemandSum]:
    """Return the demand over ``digests`` of each team listed in any of them.

    :param count: the maximum number of teams in a digest. A digest with fewer teams
        lists every team that has demand.
    """
    least_per_s = [_smallest_top_demand_per_s(digest, count) for digest in digests]
    all_least_per_s = sum(least_per_s)
    sums: dict[str, TeamDemandSum] = {}
    for digest, least in zip(digests, least_per_s):
        for team in digest.top_teams:
            team_sum = sums.get(team.team)
            if team_sum is None:
                team_sum = sums[team.team] = TeamDemandSum(
                    max_unlisted_per_s=all_least_per_s
                )
            team_sum.demand_per_s += team.demand_per_s
            team_sum.entries += 1
            team_sum.max_unlisted_per_s -= least
    return sums


def _smallest_top_demand_per_s(digest: DemandDigest, count: int) -> float:
    if len(digest.top_teams) < count:
        return 0.0
    return digest.top_teams[-1].demand_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One demand and its weight, as input of :func:`fair_level`.

    :param share: weight of the claim.
    """

    demand_per_s: float
    share: float


def fair_level(claims: t.Sequence[Claim], capacity_per_s: float) -> float:
    """Return the rate per unit of share at which the claims use the whole capacity.

    This is the level of weighted max-min fairness: a claim gets the lesser of its
    demand and its share times the level. The level is infinite if the capacity covers
    all demand.
    """
    remaining_per_s = capacity_per_s
    if sum(claim.demand_per_s for claim in claims) <= remaining_per_s:
        return math.inf
    ordered = sorted(
        (claim for claim in claims if claim.share > 0.0),
        key=lambda claim: claim.demand_per_s / claim.share,
    )
    remaining_share = sum(claim.share for claim in ordered)
    for claim in ordered:
        level = remaining_per_s / remaining_share
        if claim.demand_per_s / claim.share >= level:
            return max(0.0, level)
        remaining_per_s -= claim.demand_per_s
        remaining_share -= claim.share
    return math.inf
