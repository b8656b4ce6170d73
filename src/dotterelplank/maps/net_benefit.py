"""The operator's settings for rebalancing, and the net benefit of moves under them."""

import dataclasses
import typing as t

from ..errors import SettingsError

STEP_MS_PER_STORE_MS: t.Final = 20.0


@dataclasses.dataclass(frozen=True)
class Policy:
    """The operator's settings for rebalancing.

    :param cost_weight: weight of the cost of moves against the step time. With 0,
        only the step time is considered; with 1, no expert is ever moved. With 0.5,
        each millisecond of loading from the store must save
        :data:`STEP_MS_PER_STORE_MS` milliseconds of step time over the horizon.
    :param expert_bytes: size of one expert of one layer in bytes.
    :param store_bytes_per_s: rate at which the group may load from the weight store.
    :param horizon_ms: time in milliseconds over which the benefit of a new map must
        exceed its cost.
    :param stage_bound_ms: longest time in milliseconds that a plan may take to load.
    :param settle_ms: time in milliseconds during which a move is not undone.
    """

    cost_weight: float = 0.3
    expert_bytes: int = 44_000_000
    store_bytes_per_s: float = 2e9
    horizon_ms: float = 3_600_000.0
    stage_bound_ms: float = 15_000.0
    settle_ms: float = 3_600_000.0

    def __post_init__(self) -> None:
        if not 0 <= self.cost_weight <= 1:
            raise SettingsError("cost_weight", str(self.cost_weight), "0 to 1")
        for name in ("expert_bytes", "store_bytes_per_s", "horizon_ms"):
            if getattr(self, name) <= 0:
                raise SettingsError(name, str(getattr(self, name)), "more than 0")
        for name in ("stage_bound_ms", "settle_ms"):
            if getattr(self, name) < 0:
                raise SettingsError(name, str(getattr(self, name)), "0 or more")

    @property
    def expert_load_ms(self) -> float:
        """Return the time in milliseconds to load one expert from the store."""
        return 1000 * self.expert_bytes / self.store_bytes_per_s

    @property
    def max_moves(self) -> int:
        """Return the maximum number of moves that one plan can load in time."""
        return int(min(self.stage_bound_ms, self.horizon_ms) // self.expert_load_ms)


def net_benefit_ms(reduction: float, moves: int, policy: Policy) -> float:
    """Return the weighted net benefit of moves over the horizon, in milliseconds.

    A plan saves no step time while it loads, so the longest loading time is subtracted
    from the horizon.

    :param reduction: reduction of the step time, as a fraction of the step time.
    :param moves: number of moves.
    """
    saved_ms = max(reduction, 0) * max(policy.horizon_ms - policy.stage_bound_ms, 0)
    spent_ms = moves * policy.expert_load_ms * STEP_MS_PER_STORE_MS
    return (1 - policy.cost_weight) * saved_ms - policy.cost_weight * spent_ms
