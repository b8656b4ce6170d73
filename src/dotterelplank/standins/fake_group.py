"""A stand-in for a group of ranks on a virtual clock, for the bench and tests.

The popularity of the experts follows a Zipf-like distribution. It drifts over a day,
alternates between two sets of experts at night, and jumps at given hours. Ranks differ
in speed: the first one stalls and recovers, the last one is slow for some hours.
"""

import dataclasses
import typing as t

import numpy as np

from ..maps.experts import ExpertMap, Observation

DAY_MS: t.Final = 86_400_000.0
HOUR_MS: t.Final = 3_600_000.0
MINUTE_MS: t.Final = 60_000.0
NIGHT_HOURS: t.Final = (0.0, 6.0)
WINDOW_SAMPLES: t.Final = 5
BRAND_PERIOD_MS: t.Final = 80 * MINUTE_MS
BRAND_RAMP_MS: t.Final = 3 * MINUTE_MS


@dataclasses.dataclass(frozen=True)
class Workload:
    """The size of a group, and how its load and its speeds vary over time.

    A brand is a set of experts that are more popular while the brand is active. Two
    brands are active in turn at night.

    :param tokens_per_rank: tokens of a step for each rank.
    :param experts_per_token: experts to which a token is routed in each layer.
    :param zipf_exponent: 0 gives all experts the same popularity; with a higher value,
        fewer experts get most of the tokens.
    :param drift: amplitude of the daily drift of the logarithm of popularity.
    :param brand_boost: factor on the popularity of a brand's experts while the brand
        is fully active.
    :param brand_part: fraction of the experts that belong to a brand.
    :param speed_spread: standard deviation of the logarithm of a rank's speed.
    :param step_ms: time between the beginnings of two steps.
    :param timing_noise: standard deviation of the relative error of a reported busy
        time.
    :param jump_hours: hours at which some of the hottest experts swap their popularity
        with other experts.
    :param jump_part: fraction of the experts of a layer that a jump affects.
    :param stall_hours: begin and end of the stall of the first rank, in hours.
    :param stall_factor: factor on the speed of the first rank during its stall.
    :param slow_hours: begin and end of the slow period of the last rank, in hours.
    :param slow_factor: factor on the speed of the last rank during that period.
    """

    ranks: int
    experts: int
    layers: int = 4
    tokens_per_rank: int = 256
    experts_per_token: int = 8
    zipf_exponent: float = 0.7
    drift: float = 0.5
    brand_boost: float = 2.5
    brand_part: float = 0.2
    speed_spread: float = 0.1
    step_ms: float = 27.0
    timing_noise: float = 0.005
    jump_hours: tuple[float, ...] = (3.301, 9.102, 14.603, 19.2)
    jump_part: float = 0.08
    stall_hours: tuple[float, float] = (11.0015, 11.5)
    stall_factor: float = 0.05
    slow_hours: tuple[float, float] = (16.001, 20.5025)
    slow_factor: float = 0.6

    @property
    def step_tokens(self) -> int:
        """Return the number of tokens routed to experts in one layer of one step.

        A token counts once for each expert to which it is routed.
        """
        return self.ranks * self.tokens_per_rank * self.experts_per_token

    @property
    def sudden_change_times_ms(self) -> t.Sequence[float]:
        """Return the times in ms of all sudden changes of load or speed, sorted."""
        hours = (*self.jump_hours, *self.stall_hours, *self.slow_hours)
        return sorted(hour * HOUR_MS for hour in hours)


class FakeGroup:
    """A group whose load and speeds depend on a seed and the virtual time.

    :param rng: seeded generator of all random values.
    """

    def __init__(self, workload: Workload, rng: np.random.Generator) -> None:
        self.workload = workload
        self._rng = rng
        shape = (workload.layers, workload.experts)
        order = np.arange(workload.experts)
        self._zipf = -workload.zipf_exponent * np.log(order + 1)
        self._rankings = [
            np.array([rng.permutation(order) for _ in range(workload.layers)])
        ]
        for _ in workload.jump_hours:
            self._rankings.append(self._after_jump(self._rankings[-1]))
        self._phase = rng.uniform(0, 2 * np.pi, shape)
        brand = rng.uniform(size=shape)
        self._brands = (
            brand < workload.brand_part,
            brand > 1 - workload.brand_part,
        )
        self._speeds = 100 * np.exp(
            workload.speed_spread * rng.normal(size=workload.ranks)
        )

    def popularity(self, now_ms: float) -> np.ndarray:
        """Return the probability of each expert to get a token, ``[layer, expert]``."""
        jumps = sum(now_ms >= hour * HOUR_MS for hour in self.workload.jump_hours)
        logarithm = self._zipf[self._rankings[jumps]]
        daily_phase = 2 * np.pi * now_ms / DAY_MS
        logarithm = logarithm + self.workload.drift * np.sin(daily_phase + self._phase)
        for brand, experts in enumerate(self._brands):
            boost = np.log(self.workload.brand_boost) * _brand_level(now_ms, brand)
            logarithm = logarithm + boost * experts
        weight = np.exp(logarithm)
        return weight / weight.sum(axis=1, keepdims=True)

    def speeds(self, now_ms: float) -> np.ndarray:
        """Return the tokens that each rank processes per millisecond, ``[rank]``."""
        speeds = self._speeds.copy()
        if _within(now_ms, self.workload.stall_hours):
            speeds[0] *= self.workload.stall_factor
        if _within(now_ms, self.workload.slow_hours):
            speeds[-1] *= self.workload.slow_factor
        return speeds

    def step_times_ms(self, now_ms: float, expert_map: ExpertMap) -> np.ndarray:
        """Sample a step and return the time of each rank, ``[layer, rank]``."""
        tokens = self._rng.multinomial(
            self.workload.step_tokens, self.popularity(now_ms)
        )
        return expert_map.rank_tokens(tokens) / self.speeds(now_ms)

    def window(
        self, now_ms: float, window_ms: float, expert_map: ExpertMap
    ) -> Observation:
        """Sample what the ranks report about the window that ends at ``now_ms``."""
        middle_ms = now_ms - window_ms / 2
        fractions = (np.arange(WINDOW_SAMPLES) + 0.5) / WINDOW_SAMPLES
        popularity = np.mean(
            [self.popularity(now_ms - window_ms * fraction) for fraction in fractions],
            axis=0,
        )
        steps = int(window_ms // self.workload.step_ms)
        tokens = self._rng.multinomial(steps * self.workload.step_tokens, popularity)
        rank_tokens = expert_map.rank_tokens(tokens)
        error = self._rng.normal(1, self.workload.timing_noise, rank_tokens.shape)
        busy_ms = rank_tokens / self.speeds(middle_ms) * error
        return Observation(window_ms, steps, tokens, rank_tokens, busy_ms)

    def _after_jump(self, rankings: np.ndarray) -> np.ndarray:
        """Return ``rankings`` with hot experts of each layer swapped with others.

        :param rankings: position of each expert in the order of popularity, 0 for the
            most popular one, ``[layer, expert]``.
        """
        rankings = rankings.copy()
        count = max(2, int(self.workload.jump_part * rankings.shape[1]))
        for row in rankings:
            hottest = np.argsort(row)[: count // 2]
            others = self._rng.choice(
                np.argsort(row)[count // 2 :], len(hottest), replace=False
            )
            row[hottest], row[others] = row[others].copy(), row[hottest].copy()
        return rankings


def _within(now_ms: float, hours: tuple[float, float]) -> bool:
    return hours[0] * HOUR_MS <= now_ms < hours[1] * HOUR_MS


def _brand_level(now_ms: float, brand: int) -> float:
    """Return how active a brand is, from 0 to 1.

    During the night the two brands are active in turn; otherwise none is.
    """
    if not _within(now_ms % DAY_MS, NIGHT_HOURS):
        return 0.0
    elapsed_ms = now_ms % BRAND_PERIOD_MS
    half_ms = BRAND_PERIOD_MS / 2
    if elapsed_ms >= half_ms:
        brand, elapsed_ms = 1 - brand, elapsed_ms - half_ms
    ramp = min(elapsed_ms / BRAND_RAMP_MS, 1.0)
    remaining_ms = NIGHT_HOURS[1] * HOUR_MS - now_ms % DAY_MS
    return (ramp if brand == 0 else 1 - ramp) * min(remaining_ms / BRAND_RAMP_MS, 1.0)
