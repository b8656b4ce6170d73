"""The settings and the state of admission control at one entry.

Costs are in the unit of the requests, usually tokens; rates are costs per second.
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
    """The settings of admission control.

    :param shares: fraction of the capacity, 0 to 1, of each team in the configuration.
    :param default_share: fraction for any other team with high demand.
    :param rest_share: fraction for all other teams together. None means what the
        configured shares leave, at least :data:`MIN_REST_SHARE`.
    :param target_utilization: fraction of the capacity that admission aims to use.
    """

    shares: t.Mapping[str, float]
    default_share: float
    rest_share: float | None = None
    target_utilization: float = 0.96

    def share(self, team: str) -> float:
        """Return the share of ``team``."""
        return self.shares.get(team, self.default_share)

    def share_of_rest(self) -> float:
        """Return the joint share of all teams that have no share of their own."""
        if self.rest_share is not None:
            return self.rest_share
        return max(MIN_REST_SHARE, 1.0 - sum(self.shares.values()))


@dataclasses.dataclass(slots=True)
class DecayingRate:
    """An exponentially decaying rate estimate, in cost per second.

    A new estimate would be too low, so it is divided by the fraction of the averaging
    period that has been observed since the first cost. This divisor is at least
    ``min_warm_up_ratio``, since a single request doesn't show a rate.

    :param time_constant_ms: time constant of the decay.
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
        """Return by how much one request of ``cost`` raises the rate at ``now_ms``."""
        return increment_per_s(cost, self.time_constant_ms) / self._warm_up_ratio(
            now_ms
        )

    def _warm_up_ratio(self, now_ms: float) -> float:
        observed_ms = max(0.0, now_ms - self.started_ms)
        return max(
            self.min_warm_up_ratio, 1.0 - math.exp(-observed_ms / self.time_constant_ms)
        )

    def add(self, now_ms: float, cost: float) -> None:
        """Add ``cost`` to the estimate at ``now_ms``."""
        age_ms = max(0.0, now_ms - self.updated_ms)
        self.value_per_s *= math.exp(-age_ms / self.time_constant_ms)
        self.value_per_s += increment_per_s(cost, self.time_constant_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        self.started_ms = min(self.started_ms, now_ms)


def increment_per_s(
    cost: float, time_constant_ms: float = DEMAND_TIME_CONSTANT_MS
) -> float:
    """Return by how much one request of ``cost`` raises a rate without warm-up."""
    return cost * 1_000.0 / time_constant_ms


@dataclasses.dataclass(slots=True)
class TeamState:
    """The token bucket and demand of one team, or of all remaining teams together.

    :param level: cost in the token bucket that may still be spent. It may be negative.
    :param rate_per_s: rate at which ``level`` is refilled; infinite without overload.
    :param is_within_fair_rate: whether the demand is at most the fair rate.
    :param is_within_share: whether the demand is at most the share of the capacity.
    :param mean_request_cost: moving average of the cost of a request.
    :param sparse_demand: the demand averaged over a longer time, for a team with few
        requests.
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
        """Return the upper limit of ``level``."""
        burst = BURST_REQUESTS * self.mean_request_cost
        if math.isinf(self.rate_per_s):
            return burst
        return burst + self.rate_per_s * burst_ms / 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one request, to be returned with :func:`limits.release`.

    :param is_of_rest: whether the cost was taken from the joint bucket of the
        remaining teams.
    """

    number: int
    team: str
    cost: float
    is_of_rest: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """A digest and the time at which it was received."""

    digest: DemandDigest
    received_ms: float


@dataclasses.dataclass(slots=True)
class LimitState:
    """The state of admission control at one entry.

    :param entry: name of this entry.
    :param capacity_per_s: cost per second that the endpoints of the domain can process.
    :param backlog_ms: time that the endpoints need for the waiting requests.
    :param free_share: fraction of the batch slots that are free; None if unknown.
    :param totals: estimated demand over all entries of each team that has a token
        bucket of its own.
    :param fair_level: rate per unit of share; infinite without overload.
    :param correction: factor on the admissible rate, adjusted by comparing it with the
        admitted rate.
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
