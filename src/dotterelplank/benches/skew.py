"""Measurements of a run: the skew of sampled steps, and the moves that were undone."""

import typing as t

import numpy as np

from ..maps.experts import EMPTY, ExpertMap
from ..standins.fake_group import HOUR_MS, MINUTE_MS, Workload

UNDONE_WITHIN_MS: t.Final = HOUR_MS
RECOVERED_SKEW: t.Final = 1.15


class Ledger:
    """Counts of the moves that were undone within ``UNDONE_WITHIN_MS``.

    ``undone`` counts the replicas removed soon after being added to the same rank, or
    added again soon after being removed from it. ``reversed`` counts the replicas by
    which an expert's replica count changed is_reversal, on any rank.
    """

    def __init__(self, first: ExpertMap) -> None:
        self._held = _presence(first)
        never_ms = np.full(self._held.shape, -np.inf)
        self._added_ms = never_ms.copy()
        self._removed_ms = never_ms.copy()
        self._gained_ms = never_ms[:, :, 0].copy()
        self._lost_ms = never_ms[:, :, 0].copy()
        self.undone = 0
        self.reversed = 0

    def record(self, now_ms: float, target: ExpertMap) -> None:
        """Count what changes with a new map."""
        held = _presence(target)
        added = held & ~self._held
        removed = self._held & ~held
        since_ms = now_ms - UNDONE_WITHIN_MS
        self.undone += int((added & (self._removed_ms > since_ms)).sum())
        self.undone += int((removed & (self._added_ms > since_ms)).sum())
        self._added_ms[added] = now_ms
        self._removed_ms[removed] = now_ms
        change = held.sum(axis=2) - self._held.sum(axis=2)
        is_reversal = ((change > 0) & (self._lost_ms > since_ms)) | (
            (change < 0) & (self._gained_ms > since_ms)
        )
        self.reversed += int(np.abs(change[is_reversal]).sum())
        self._gained_ms[change > 0] = now_ms
        self._lost_ms[change < 0] = now_ms
        self._held = held


def _presence(expert_map: ExpertMap) -> np.ndarray:
    """Return whether each rank holds each expert, ``[layer, expert, rank]``."""
    shape = (expert_map.layers, expert_map.experts, expert_map.ranks)
    held = np.zeros(shape, dtype=bool)
    layer, rank, slot = np.nonzero(expert_map.slots != EMPTY)
    held[layer, expert_map.slots[layer, rank, slot], rank] = True
    return held


class Samples:
    """Sampled steps of one run.

    ``calm`` holds for each step whether it is outside the first minute after a sudden
    change of the workload.
    """

    def __init__(self, workload: Workload) -> None:
        self._sudden_ms = np.array(workload.sudden_change_times_ms)
        self._step_tokens = workload.step_tokens
        self._times_ms: list[float] = []
        self.skews: list[float] = []
        self.step_times: list[float] = []
        self.calm: list[bool] = []

    def take(self, now_ms: float, times_ms: np.ndarray, speeds: np.ndarray) -> None:
        """Record the times ``[layer, rank]`` of one step."""
        per_rank = times_ms.sum(axis=0)
        self._times_ms.append(now_ms)
        ideal_ms = len(times_ms) * self._step_tokens / speeds.sum()
        self.skews.append(per_rank.max() / per_rank.min())
        self.step_times.append(times_ms.max(axis=1).sum() / ideal_ms)
        since_ms = now_ms - self._sudden_ms
        self.calm.append(not ((since_ms >= 0) & (since_ms < MINUTE_MS)).any())

    def recoveries_s(self) -> t.Sequence[float]:
        """Return the time in seconds until the skew was low after each sudden change.

        If the skew stayed high, the time until the last step counts.
        """
        times_ms = np.array(self._times_ms)
        low = np.array(self.skews) <= RECOVERED_SKEW
        recoveries = []
        for sudden_ms in self._sudden_ms[self._sudden_ms < times_ms[-1]]:
            after_ms = times_ms[(times_ms >= sudden_ms) & low]
            end_ms = after_ms[0] if after_ms.size else times_ms[-1]
            recoveries.append((end_ms - sudden_ms) / 1000)
        return recoveries
