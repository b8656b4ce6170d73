"""What entries tell each other of their teams' demand, and the fair level in it.

A digest is bounded: a few teams of great demand are named, and all the others are
summed up as the rest. Demand and rates are in units of cost a second; the usual
unit of cost is a token.
"""

import dataclasses
import math
import typing as t

MAX_NAMED_TEAMS = 32


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
    :param named: at most :data:`MAX_NAMED_TEAMS` teams, greatest first.
    """

    entry: str
    offered_per_s: float
    admitted_per_s: float
    rest_per_s: float
    named: tuple[TeamDemand, ...]


@dataclasses.dataclass(slots=True)
class NamedSum:
    """The demand of one team in several digests.

    :param demand_per_s: the sum over the digests that name it.
    :param entries: how many do.
    :param unseen_per_s: the most that it can ask for at the other entries, which
        have named other teams instead.
    """

    demand_per_s: float = 0.0
    entries: int = 0
    unseen_per_s: float = 0.0

    def estimate_per_s(self, entries: int) -> float:
        """Return the likely demand over ``entries`` entries.

        Where it isn't named it is taken to be what it is elsewhere, as far as it
        can be.
        """
        if not self.entries:
            return 0.0
        mean_per_s = self.demand_per_s / self.entries
        likely_per_s = mean_per_s * (entries - self.entries)
        return self.demand_per_s + min(likely_per_s, self.unseen_per_s)


def sum_named(digests: t.Sequence[DemandDigest], count: int) -> dict[str, NamedSum]:
    """Return for each team that is named its demand over ``digests``.

    :param count: the number of teams that a digest names at most.
    """
    least_per_s = [_least_named(one, count) for one in digests]
    all_least_per_s = sum(least_per_s)
    sums: dict[str, NamedSum] = {}
    for one, least in zip(digests, least_per_s):
        for team in one.named:
            known = sums.get(team.team)
            if known is None:
                known = sums[team.team] = NamedSum(unseen_per_s=all_least_per_s)
            known.demand_per_s += team.demand_per_s
            known.entries += 1
            known.unseen_per_s -= least
    return sums


def _least_named(digest: DemandDigest, count: int) -> float:
    if len(digest.named) < count:
        return 0.0
    return digest.named[-1].demand_per_s


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
    left_per_s = capacity_per_s
    if sum(claim.demand_per_s for claim in claims) <= left_per_s:
        return math.inf
    ordered = sorted(
        (claim for claim in claims if claim.share > 0.0),
        key=lambda claim: claim.demand_per_s / claim.share,
    )
    left_share = sum(claim.share for claim in ordered)
    for claim in ordered:
        level = left_per_s / left_share
        if claim.demand_per_s / claim.share >= level:
            return max(0.0, level)
        left_per_s -= claim.demand_per_s
        left_share -= claim.share
    return math.inf
