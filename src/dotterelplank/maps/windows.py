"""The window that the samples of all ranks of a group make up."""

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
    """Return the window between two samples of each rank, or ``None``.

    There is none if a rank was replaced or made no step. Ranks are read at different
    moments, so what each did is scaled to the same number of steps.

    :param starts: the earlier sample of each rank, in order of the ranks.
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
    """Return the tokens of one rank, ``[layer, expert]``."""
    total = planning.layers * planning.experts
    tokens = np.zeros(total)
    for sign, sample in ((-1, start), (1, end)):
        for load in sample.loads:
            if 0 <= load.expert < total:
                tokens[load.expert] += sign * load.tokens
    return np.maximum(tokens, 0).reshape(planning.layers, planning.experts)
