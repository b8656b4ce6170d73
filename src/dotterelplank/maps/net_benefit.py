"""What a move costs and what it must bring: the operator's settings."""

import dataclasses
import typing as t

from ..errors import SettingsError

STEP_MS_PER_STORE_MS: t.Final = 20.0


@dataclasses.dataclass(frozen=True)
class Policy:
    """The operator's settings for rebalancing.

    :param cost_weight: 0 weighs step time alone, 1 never moves an expert. At
        0.5, a millisecond of the store's time must save
        :data:`STEP_MS_PER_STORE_MS` milliseconds of step time over the horizon.
    :param expert_bytes: size of one expert of one layer.
    :param store_bytes_per_s: rate at which the group may load from the store.
    :param horizon_ms: time over which a new map must earn its cost.
    :param stage_bound_ms: longest time that one plan may take to load.
    :param settle_ms: time for which a move is not undone.
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
        """Return the time that the store takes for one expert."""
        return 1000 * self.expert_bytes / self.store_bytes_per_s

    @property
    def max_moves(self) -> int:
        """Return the most moves that one plan can stage in time."""
        return int(min(self.stage_bound_ms, self.horizon_ms) // self.expert_load_ms)


def net_benefit_ms(reduction: float, moves: int, policy: Policy) -> float:
    """Return what moves are worth that cut a step by the part ``reduction``.

    A plan that takes up its whole bound saves nothing until then.
    """
    saved_ms = max(reduction, 0) * max(policy.horizon_ms - policy.stage_bound_ms, 0)
    spent_ms = moves * policy.expert_load_ms * STEP_MS_PER_STORE_MS
    return (1 - policy.cost_weight) * saved_ms - policy.cost_weight * spent_ms
