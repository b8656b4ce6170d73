"""The estimates of the load of each expert and the speed of each rank.

Windows are averaged, so that sampling noise in the token counts isn't mistaken for a
change. A window whose difference sampling noise can't explain replaces the average at
once.
"""

import dataclasses
import typing as t

import numpy as np

from .experts import Observation

AVERAGING_TIME_CONSTANT_MS: t.Final = 60_000.0
PEAK_TIME_CONSTANT_MS: t.Final = 5_400_000.0
JUMP_DEVIATIONS: t.Final = 6.0
JUMP_RATIO: t.Final = 0.05
SPEED_JUMP_RATIO: t.Final = 0.05
MIN_SPEED_TOKENS_PER_MS: t.Final = 1e-6


@dataclasses.dataclass(frozen=True)
class Estimate:
    """The estimated load of a group's experts and speed of its ranks.

    :param tokens: expected number of tokens of each expert in a step, ``[layer,
        expert]``.
    :param variance: variance of ``tokens``, of the same shape.
    :param recent_peak: highest recent value of ``tokens``, which decays over hours.
    :param speeds: tokens that each rank processes per millisecond, ``[rank]``. A speed
        is derived from the time per token, so a loaded rank isn't mistaken for a slow
        one.
    :param observed: tokens of each expert in a step of the last window.
    :param change: difference of ``observed`` from the window before; 0 where sampling
        noise explains it.
    """

    tokens: np.ndarray
    variance: np.ndarray
    recent_peak: np.ndarray
    speeds: np.ndarray
    observed: np.ndarray
    change: np.ndarray


def first_estimate(observation: Observation) -> Estimate:
    """Return the estimate that follows from a single window."""
    tokens = observation.tokens / observation.steps
    variance = _sampling_variance(observation)
    speeds = _window_speeds(observation, np.ones(observation.rank_tokens.shape[1]))
    return Estimate(tokens, variance, tokens, speeds, tokens, np.zeros_like(tokens))


def update(estimate: Estimate, observation: Observation) -> Estimate:
    """Return ``estimate`` updated with one more window."""
    if observation.steps == 0:
        return estimate
    gain = 1 - np.exp(-observation.window_ms / AVERAGING_TIME_CONSTANT_MS)
    observed = observation.tokens / observation.steps
    noise = _sampling_variance(observation)
    tokens = estimate.tokens + gain * (observed - estimate.tokens)
    variance = (1 - gain) ** 2 * estimate.variance + gain**2 * noise
    jumped = _jumped(estimate, observed, noise)[:, None]
    tokens = np.where(jumped, observed, tokens)
    variance = np.where(jumped, noise, variance)
    change = _change(estimate, observed, noise)
    trend = _trend(estimate.change, change)
    tokens = np.where(trend != 0, np.maximum(observed + trend, 0), tokens)
    decay = np.exp(-observation.window_ms / PEAK_TIME_CONSTANT_MS)
    recent_peak = np.maximum(tokens, estimate.recent_peak * decay)
    speeds = _updated_speeds(estimate.speeds, observation, gain)
    return Estimate(tokens, variance, recent_peak, speeds, observed, change)


def _sampling_variance(observation: Observation) -> np.ndarray:
    """Return the variance of a window's tokens per step, if they are Poisson counts."""
    return (observation.tokens + 1) / observation.steps**2


def _jumped(estimate: Estimate, observed: np.ndarray, noise: np.ndarray) -> np.ndarray:
    """Return for each layer whether sampling noise can't explain the window."""
    change = np.abs(observed - estimate.tokens)
    deviation = np.sqrt(estimate.variance + noise)
    unlikely = change > JUMP_DEVIATIONS * deviation
    mean = observed.mean(axis=1, keepdims=True)
    relevant = change > JUMP_RATIO * np.maximum(estimate.tokens, mean)
    return (unlikely & relevant).any(axis=1)


def _change(estimate: Estimate, observed: np.ndarray, noise: np.ndarray) -> np.ndarray:
    change = observed - estimate.observed
    explained = np.abs(change) <= JUMP_DEVIATIONS * np.sqrt(2 * noise)
    return np.where(explained, 0.0, change)


def _trend(previous: np.ndarray, current: np.ndarray) -> np.ndarray:
    """Return the change that is expected in the next window.

    Two successive changes in the same direction are a trend, and the smaller one is
    expected again. A single change is a jump; no further change is expected after it.
    """
    smaller = np.sign(current) * np.minimum(np.abs(previous), np.abs(current))
    return np.where(previous * current > 0, smaller, 0.0)


def _window_speeds(observation: Observation, previous: np.ndarray) -> np.ndarray:
    tokens = observation.rank_tokens.sum(axis=0)
    busy_ms = observation.busy_ms.sum(axis=0)
    measured = (tokens > 0) & (busy_ms > 0)
    speeds = np.where(measured, tokens / np.where(measured, busy_ms, 1), previous)
    return np.maximum(speeds, MIN_SPEED_TOKENS_PER_MS)


def _updated_speeds(
    previous: np.ndarray, observation: Observation, gain: float
) -> np.ndarray:
    observed = _window_speeds(observation, previous)
    jumped = np.abs(observed - previous) > SPEED_JUMP_RATIO * previous
    return np.where(jumped, observed, previous + gain * (observed - previous))
