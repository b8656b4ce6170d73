"""The settings and the state of admission at one entry.

Costs are in the unit of the requests, usually tokens; rates are costs a second.
Times are milliseconds on the entry's monotonic clock.
"""

import collections
import dataclasses
import math
import typing as t

from . import demands
from .demands import DemandDigest

DEMAND_TIME_MS = 10_000.0
TOTAL_TIME_MS = 2_000.0
KNOWN_PART_MIN = 0.4
TOTAL_KNOWN_PART_MIN = 0.1
SPARSE_TIME_MS = 60_000.0
BURST_REQUESTS = 1.0
REST_SHARE_MIN = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPolicy:
    """The settings of admission.

    :param shares: for each team named in the configuration its part of the
        capacity, 0 to 1.
    :param default_share: the same for any other team that asks for much.
    :param rest_share: the part of all other teams together; None for what the
        shares leave, at least :data:`REST_SHARE_MIN`.
    :param fill: part of the capacity that is given out.
    """

    shares: t.Mapping[str, float]
    default_share: float
    rest_share: float | None = None
    fill: float = 0.96

    def share(self, team: str) -> float:
        """Return the share of ``team``."""
        return self.shares.get(team, self.default_share)

    def share_of_rest(self) -> float:
        """Return the part of all teams that have no share of their own."""
        if self.rest_share is not None:
            return self.rest_share
        return max(REST_SHARE_MIN, 1.0 - sum(self.shares.values()))


@dataclasses.dataclass(slots=True)
class Rate:
    """A rate in cost a second that decays over ``time_ms``.

    It counts from its first cost on, so that it is little lower for being new. A
    part of ``known_part_min`` is taken as known at once, since a single request
    shows no rate.
    """

    time_ms: float = DEMAND_TIME_MS
    known_part_min: float = KNOWN_PART_MIN
    value_per_s: float = 0.0
    updated_ms: float = 0.0
    started_ms: float = math.inf

    def at(self, now_ms: float) -> float:
        """Return the rate as of ``now_ms``."""
        age_ms = max(0.0, now_ms - self.updated_ms)
        decayed_per_s = self.value_per_s * math.exp(-age_ms / self.time_ms)
        return decayed_per_s / self._known(now_ms)

    def worth_at(self, now_ms: float, cost: float) -> float:
        """Return what a single request of ``cost`` adds at ``now_ms``."""
        return worth_per_s(cost, self.time_ms) / self._known(now_ms)

    def _known(self, now_ms: float) -> float:
        known_ms = max(0.0, now_ms - self.started_ms)
        return max(self.known_part_min, 1.0 - math.exp(-known_ms / self.time_ms))

    def add(self, now_ms: float, cost: float) -> None:
        """Count ``cost`` at ``now_ms``."""
        age_ms = max(0.0, now_ms - self.updated_ms)
        self.value_per_s *= math.exp(-age_ms / self.time_ms)
        self.value_per_s += worth_per_s(cost, self.time_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        self.started_ms = min(self.started_ms, now_ms)


def worth_per_s(cost: float, time_ms: float = DEMAND_TIME_MS) -> float:
    """Return the rate that a single request of ``cost`` shows at first."""
    return cost * 1_000.0 / time_ms


@dataclasses.dataclass(slots=True)
class TeamState:
    """What an entry remembers of a team, or of the rest of the teams together.

    :param level: cost that may still be spent; below 0 it waits.
    :param rate_per_s: rate at which ``level`` grows; infinite while all is let in.
    :param is_within_fair: whether no more is asked for than the fair part.
    :param is_within_share: whether no more is asked for than the share.
    :param request_cost: usual cost of the requests.
    :param sparse_demand: the demand over a longer time, for a team with few requests.
    """

    level: float
    level_ms: float
    request_cost: float
    demand: Rate = dataclasses.field(default_factory=Rate)
    sparse_demand: Rate = dataclasses.field(
        default_factory=lambda: Rate(SPARSE_TIME_MS)
    )
    rate_per_s: float = math.inf
    is_within_fair: bool = True
    is_within_share: bool = True
    refreshed_ms: float = -math.inf

    def burst(self, burst_ms: float) -> float:
        """Return the most that ``level`` grows to."""
        burst = BURST_REQUESTS * self.request_cost
        if math.isinf(self.rate_per_s):
            return burst
        return burst + self.rate_per_s * burst_ms / 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one request; give it back with :func:`limits.release`.

    :param is_of_rest: whether the rest of the teams together paid for it.
    """

    number: int
    team: str
    cost: float
    is_of_rest: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A digest and when it came."""

    digest: DemandDigest
    heard_ms: float


@dataclasses.dataclass(slots=True)
class LimitState:
    """The admission state of one entry.

    :param entry: name of this entry.
    :param capacity_per_s: cost a second that the endpoints of the domain can do.
    :param backlog_ms: time that the endpoints need for what waits before them.
    :param free_share: part of the places in batches that is free, if known.
    :param totals: demand of each team that any digest names, over all entries.
    :param fair_level: rate for each unit of share; infinite without overload.
    :param trim: factor on what is given out, from what was let in before.
    """

    entry: str
    capacity_per_s: float
    backlog_ms: float = 0.0
    free_share: float | None = None
    request_cost: float = 0.0
    offered: Rate = dataclasses.field(
        default_factory=lambda: Rate(TOTAL_TIME_MS, TOTAL_KNOWN_PART_MIN)
    )
    admitted: Rate = dataclasses.field(
        default_factory=lambda: Rate(TOTAL_TIME_MS, TOTAL_KNOWN_PART_MIN)
    )
    teams: "collections.OrderedDict[str, TeamState]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    rest: TeamState = dataclasses.field(
        default_factory=lambda: TeamState(0.0, 0.0, 0.0)
    )
    tickets: dict[int, Ticket] = dataclasses.field(default_factory=dict)
    next_ticket: int = 0
    in_flight_cost: float = 0.0
    peers: dict[str, Heard] = dataclasses.field(default_factory=dict)
    peer_demand: dict[str, demands.NamedSum] = dataclasses.field(default_factory=dict)
    totals: dict[str, float] = dataclasses.field(default_factory=dict)
    rest_per_s: float = 0.0
    fair_level: float = math.inf
    live_entries: int = 1
    overload: float = 0.0
    trim: float = 1.0
    refreshed_ms: float = -math.inf
