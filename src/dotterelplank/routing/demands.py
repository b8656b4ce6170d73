"""What entries tell each other of their teams' demand, and the fair level in it.

A digest is bounded: a few teams of great demand are named, and all the others are
summed up as the rest. Demand and rates are in units of cost a second; the usual
unit of cost is a token.
"""

import dataclasses
import math
import typing as t

MAX_TOP_TEAMS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """The demand of one team at one entry.

    :param demand_per_s: offered cost a second.
    """

    team: str
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DemandDigest:
    """The demand that one entry saw.

    :param entry: the name of the entry.
    :param offered_per_s: cost a second that callers asked for, over all teams.
    :param admitted_per_s: cost a second that was let in.
    :param rest_per_s: cost a second that teams without a configured share asked for.
    :param top_teams: at most :data:`MAX_TOP_TEAMS` teams, greatest first.
    """

    entry: str
    offered_per_s: float
    admitted_per_s: float
    rest_per_s: float
    top_teams: tuple[TeamDemand, ...]


@dataclasses.dataclass(slots=True)
class TeamDemandSum:
    """The demand of one team in several digests.

    :param demand_per_s: the sum over the digests that name it.
    :param entries: how many do.
    :param max_unlisted_per_s: the most that it can ask for at the other entries, which
        have named other teams instead.
    """

    demand_per_s: float = 0.0
    entries: int = 0
    max_unlisted_per_s: float = 0.0

    def estimate_per_s(self, entries: int) -> float:
        """Return the likely demand over ``entries`` entries.

        Where it isn't named it is taken to be what it is elsewhere, as far as it
        can be.
        """
        if not self.entries:
            return 0.0
        mean_per_s = self.demand_per_s / self.entries
        likely_per_s = mean_per_s * (entries - self.entries)
        return self.demand_per_s + min(likely_per_s, self.max_unlisted_per_s)


def sum_by_team(
    digests: t.Sequence[DemandDigest], count: int
) -> dict[str, TeamDemandSum]:
    """Return for each team that is named its demand over ``digests``.

    :param count: the number of teams that a digest names at most.
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
    """A demand, the share it is weighed by, and no name: input of the fair level."""

    demand_per_s: float
    share: float


def fair_level(claims: t.Sequence[Claim], capacity_per_s: float) -> float:
    """Return the rate for each unit of share at which the claims fill the capacity.

    It is the weighted max-min level: a claim gets the lesser of its demand and its
    share times the level. It is infinite if the capacity covers all demand.
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
