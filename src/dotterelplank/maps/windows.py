"""The observation of a window, computed from the samples of all ranks of a group."""

import typing as t

import numpy as np

from ..config.planned_maps import Planning
from ..links.messages import RankSample
from .experts import Observation

MIN_BUSY_RATIO: t.Final = 0.01


def observe(
    window_ms: float,
    starts: t.Sequence[RankSample],
    ends: t.Sequence[RankSample],
    planning: Planning,
) -> Observation | None:
    """Return the load of all ranks between two samples of each rank.

    The ranks are sampled at different times, so the tokens and times of each rank are
    scaled to the same number of steps.

    :param window_ms: length of the window in milliseconds.
    :param starts: the first sample of each rank, in the order of the ranks.
    :param ends: the last sample of each rank, in the same order.
    :return: ``None`` if a rank was replaced or ran no step in the window.
    """
    pairs = list(zip(starts, ends))
    if any(start.since_step != end.since_step for start, end in pairs):
        return None
    counts = [end.step - start.step for start, end in pairs]
    if min(counts) <= 0:
        return None
    steps = max(counts)
    by_rank = np.stack([_tokens(start, end, planning) for start, end in pairs], axis=1)
    by_rank *= (steps / np.array(counts))[None, :, None]
    busy_ms = np.array([end.busy_ms - start.busy_ms for start, end in pairs])
    step_ms = busy_ms / counts
    own_ms = np.maximum(step_ms - planning.base_step_ms, MIN_BUSY_RATIO * step_ms)
    layers_ms = np.tile(own_ms * steps / planning.layers, (planning.layers, 1))
    return Observation(
        window_ms, steps, by_rank.sum(axis=1), by_rank.sum(axis=2), layers_ms
    )


def _tokens(start: RankSample, end: RankSample, planning: Planning) -> np.ndarray:
    """Return the number of tokens of each expert on one rank, ``[layer, expert]``."""
    total = planning.layers * planning.experts
    tokens = np.zeros(total)
    for sign, sample in ((-1, start), (1, end)):
        for load in sample.loads:
            if 0 <= load.expert < total:
                tokens[load.expert] += sign * load.tokens
    return np.maximum(tokens, 0).reshape(planning.layers, planning.experts)
