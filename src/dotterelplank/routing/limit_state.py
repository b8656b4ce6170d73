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

DEMAND_TIME_CONSTANT_MS = 10_000.0
TOTAL_TIME_CONSTANT_MS = 2_000.0
MIN_WARM_UP_RATIO = 0.4
TOTAL_MIN_WARM_UP_RATIO = 0.1
SPARSE_TIME_CONSTANT_MS = 60_000.0
BURST_REQUESTS = 1.0
MIN_REST_SHARE = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPolicy:
    """The settings of admission.

    :param shares: for each team named in the configuration its part of the
        capacity, 0 to 1.
    :param default_share: the same for any other team that asks for much.
    :param rest_share: the part of all other teams together; None for what the
        shares leave, at least :data:`MIN_REST_SHARE`.
    :param target_utilization: part of the capacity that is given out.
    """

    shares: t.Mapping[str, float]
    default_share: float
    rest_share: float | None = None
    target_utilization: float = 0.96

    def share(self, team: str) -> float:
        """Return the share of ``team``."""
        return self.shares.get(team, self.default_share)

    def share_of_rest(self) -> float:
        """Return the part of all teams that have no share of their own."""
        if self.rest_share is not None:
            return self.rest_share
        return max(MIN_REST_SHARE, 1.0 - sum(self.shares.values()))


@dataclasses.dataclass(slots=True)
class DecayingRate:
    """A rate in cost a second that decays over ``time_constant_ms``.

    It counts from its first cost on, so that it is little lower for being new. A
    part of ``min_warm_up_ratio`` is taken as known at once, since a single request
    shows no rate.
    """

    time_constant_ms: float = DEMAND_TIME_CONSTANT_MS
    min_warm_up_ratio: float = MIN_WARM_UP_RATIO
    value_per_s: float = 0.0
    updated_ms: float = 0.0
    started_ms: float = math.inf

    def rate_at(self, now_ms: float) -> float:
        """Return the rate as of ``now_ms``."""
        age_ms = max(0.0, now_ms - self.updated_ms)
        decayed_per_s = self.value_per_s * math.exp(-age_ms / self.time_constant_ms)
        return decayed_per_s / self._warm_up_ratio(now_ms)

    def increment_at(self, now_ms: float, cost: float) -> float:
        """Return what a single request of ``cost`` adds at ``now_ms``."""
        return increment_per_s(cost, self.time_constant_ms) / self._warm_up_ratio(
            now_ms
        )

    def _warm_up_ratio(self, now_ms: float) -> float:
        observed_ms = max(0.0, now_ms - self.started_ms)
        return max(
            self.min_warm_up_ratio, 1.0 - math.exp(-observed_ms / self.time_constant_ms)
        )

    def add(self, now_ms: float, cost: float) -> None:
        """Count ``cost`` at ``now_ms``."""
        age_ms = max(0.0, now_ms - self.updated_ms)
        self.value_per_s *= math.exp(-age_ms / self.time_constant_ms)
        self.value_per_s += increment_per_s(cost, self.time_constant_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        self.started_ms = min(self.started_ms, now_ms)


def increment_per_s(
    cost: float, time_constant_ms: float = DEMAND_TIME_CONSTANT_MS
) -> float:
    """Return the rate that a single request of ``cost`` shows at first."""
    return cost * 1_000.0 / time_constant_ms


@dataclasses.dataclass(slots=True)
class TeamState:
    """What an entry remembers of a team, or of the rest of the teams together.

    :param level: cost that may still be spent; below 0 it waits.
    :param rate_per_s: rate at which ``level`` grows; infinite while all is let in.
    :param is_within_fair_rate: whether no more is asked for than the fair part.
    :param is_within_share: whether no more is asked for than the share.
    :param mean_request_cost: usual cost of the requests.
    :param sparse_demand: the demand over a longer time, for a team with few requests.
    """

    level: float
    level_updated_ms: float
    mean_request_cost: float
    demand: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    sparse_demand: DecayingRate = dataclasses.field(
        default_factory=lambda: DecayingRate(SPARSE_TIME_CONSTANT_MS)
    )
    rate_per_s: float = math.inf
    is_within_fair_rate: bool = True
    is_within_share: bool = True
    refreshed_ms: float = -math.inf

    def burst(self, burst_ms: float) -> float:
        """Return the most that ``level`` grows to."""
        burst = BURST_REQUESTS * self.mean_request_cost
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
class ReceivedDigest:
    """A digest and when it came."""

    digest: DemandDigest
    received_ms: float


@dataclasses.dataclass(slots=True)
class LimitState:
    """The admission state of one entry.

    :param entry: name of this entry.
    :param capacity_per_s: cost a second that the endpoints of the domain can do.
    :param backlog_ms: time that the endpoints need for what waits before them.
    :param free_share: part of the places in batches that is free, if known.
    :param totals: demand of each team that any digest names, over all entries.
    :param fair_level: rate for each unit of share; infinite without overload.
    :param correction: factor on what is given out, from what was let in before.
    """

    entry: str
    capacity_per_s: float
    backlog_ms: float = 0.0
    free_share: float | None = None
    mean_request_cost: float = 0.0
    offered: DecayingRate = dataclasses.field(
        default_factory=lambda: DecayingRate(
            TOTAL_TIME_CONSTANT_MS, TOTAL_MIN_WARM_UP_RATIO
        )
    )
    admitted: DecayingRate = dataclasses.field(
        default_factory=lambda: DecayingRate(
            TOTAL_TIME_CONSTANT_MS, TOTAL_MIN_WARM_UP_RATIO
        )
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
    peer_digests: dict[str, ReceivedDigest] = dataclasses.field(default_factory=dict)
    peer_demand: dict[str, demands.TeamDemandSum] = dataclasses.field(
        default_factory=dict
    )
    totals: dict[str, float] = dataclasses.field(default_factory=dict)
    rest_per_s: float = 0.0
    fair_level: float = math.inf
    live_entries: int = 1
    overload: float = 0.0
    correction: float = 1.0
    refreshed_ms: float = -math.inf
