"""Which few experts to copy so that the ranks of a group share the load evenly.

The load that this answers: what is in demand changes in steps, every few seconds, and a
pass takes as long as the most loaded rank of each layer. What counts is the time from a
step to the switch, so a change copies little and another follows.
"""

import dataclasses
import heapq
import itertools
import typing as t

from .demand import Demand
from .views import ExpertMap

CANDIDATE_EXPERTS: t.Final = 4
CANDIDATE_RANKS: t.Final = 6
MIN_PEAK_REDUCTION: t.Final = 0.002
"""The part of the mean load by which a move must lower the most loaded rank."""
BALANCED_SKEW: t.Final = 1.03
"""A layer as even as this is left as it is, and a move that makes ranks so is taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLimits:
    """What a change may do.

    :param places: most experts that a rank holds of a layer.
    :param new_per_layer: most experts of a layer that may be new on a rank.
    :param new_per_rank: most experts that may be new on a rank over all layers.
    """

    places: int
    new_per_layer: int
    new_per_rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A new map.

    :param skew_before: mean over the layers of the most loaded rank over the mean.
    :param copies: most experts that are new on one rank.
    """

    map: ExpertMap
    skew_before: float
    skew_after: float
    copies: int


class _Move(t.NamedTuple):
    """Put ``expert``, which ``source`` holds, on ``target`` in place of ``evicted``.

    :param is_moved: whether the expert leaves the rank that it comes from.
    """

    expert: int
    source: int
    target: int
    evicted: int | None
    is_moved: bool


def plan(demand: Demand, current_map: ExpertMap, limits: ChangeLimits) -> Plan | None:
    """Return a map that shares ``demand`` more evenly, or ``None`` if there is none."""
    layers = [
        _Layer(weights, rows, limits) for weights, rows in zip(demand, current_map)
    ]
    before = _mean_skew(layers)
    copies = [0] * (len(current_map[0]) if current_map else 0)
    # The layer that is most uneven goes first, as copies are bounded over all layers.
    active = [(-layer.skew(), number) for number, layer in enumerate(layers)]
    heapq.heapify(active)
    while active:
        negative_skew, number = heapq.heappop(active)
        if -negative_skew <= BALANCED_SKEW:
            break
        if layers[number].improve(copies, limits.new_per_rank):
            heapq.heappush(active, (-layers[number].skew(), number))
    if not any(layer.is_changed for layer in layers):
        return None
    new = [layer.rows() for layer in layers]
    return Plan(new, before, _mean_skew(layers), max(copies))


def skew(demand: Demand, current_map: ExpertMap) -> float:
    """Return the mean over the layers of the most loaded rank over the mean."""
    limits = ChangeLimits(0, 0, 0)
    return _mean_skew(
        [_Layer(weights, rows, limits) for weights, rows in zip(demand, current_map)]
    )


def _mean_skew(layers: t.Sequence["_Layer"]) -> float:
    return sum(layer.skew() for layer in layers) / max(1, len(layers))


class _Layer:
    """The placement of one layer as moves are made on it."""

    def __init__(
        self,
        weights: t.Sequence[float],
        rows: t.Sequence[t.Sequence[int]],
        limits: ChangeLimits,
    ) -> None:
        self._weights = weights
        self._limits = limits
        self._held = [set(row) for row in rows]
        self._initial = [frozenset(row) for row in rows]
        self._initial_rows = rows
        self._holders: list[set[int]] = [set() for _ in weights]
        for rank, row in enumerate(rows):
            for expert in row:
                self._holders[expert].add(rank)
        self._loads = [0.0] * len(rows)
        for expert, holders in enumerate(self._holders):
            self._add_share(holders, weights[expert] / max(1, len(holders)))
        self._mean = sum(weights) / max(1, len(rows))
        self.is_changed = False

    def skew(self) -> float:
        """Return the load of the most loaded rank over the mean."""
        if not self._mean:
            return 1.0
        return max(self._loads) / self._mean

    def rows(self) -> list[list[int]]:
        """Return the experts of each rank, each at its place as long as it stays."""
        return [
            _keep_positions(before, now)
            for before, now in zip(self._initial_rows, self._held)
        ]

    def improve(self, copies: list[int], most_copies: int) -> bool:
        """Make the move that most lowers the peak; return whether there was one."""
        peak = max(self._loads)
        hot = self._loads.index(peak)
        best: _Move | None = None
        best_peak = peak - MIN_PEAK_REDUCTION * self._mean
        for move in self._moves(hot, copies, most_copies):
            move_peak = self._peak_after(move)
            if move_peak < best_peak:
                best, best_peak = move, move_peak
                if best_peak <= BALANCED_SKEW * self._mean:
                    break
        if best is None:
            return False
        self._apply(best, copies)
        return True

    def _moves(
        self, hot: int, copies: list[int], most_copies: int
    ) -> t.Iterator[_Move]:
        experts = sorted(self._held[hot], key=self._share, reverse=True)
        ranks = sorted(range(len(self._loads)), key=self._loads.__getitem__)
        for expert in experts[:CANDIDATE_EXPERTS]:
            eligible = (
                rank
                for rank in ranks
                if rank not in self._holders[expert]
                and self._may_add(rank, expert, copies, most_copies)
            )
            for rank in itertools.islice(eligible, CANDIDATE_RANKS):
                for evicted in self._evictable(rank):
                    yield _Move(expert, hot, rank, evicted, False)
                    yield _Move(expert, hot, rank, evicted, True)

    def _evictable(self, rank: int) -> t.Sequence[int | None]:
        """Return what a rank can give up for another expert; none: it has room."""
        if len(self._held[rank]) < self._limits.places:
            return [None]
        return [expert for expert in self._held[rank] if len(self._holders[expert]) > 1]

    def _peak_after(self, move: _Move) -> float:
        """Return the highest load among the ranks that a move touches."""
        loads, weights, expert = self._loads, self._weights, move.expert
        holders = self._holders[expert]
        share = weights[expert] / len(holders)
        gained = share if move.is_moved else weights[expert] / (len(holders) + 1)
        fall = share if move.is_moved else share - gained
        hot_load, target_load = loads[move.source] - fall, loads[move.target] + gained
        peak = 0.0
        if move.evicted is not None:
            evicted_holders = self._holders[move.evicted]
            left = weights[move.evicted] / len(evicted_holders)
            rise = weights[move.evicted] / (len(evicted_holders) - 1) - left
            target_load -= left
            for rank in evicted_holders:
                if rank == move.source:
                    hot_load += rise
                elif rank != move.target:
                    relief = 0.0 if move.is_moved or rank not in holders else fall
                    peak = max(peak, loads[rank] + rise - relief)
        return max(peak, hot_load, target_load)

    def _may_add(
        self, rank: int, expert: int, copies: list[int], most_copies: int
    ) -> bool:
        if expert in self._initial[rank]:
            return True
        if copies[rank] >= most_copies:
            return False
        return len(self._held[rank] - self._initial[rank]) < self._limits.new_per_layer

    def _apply(self, move: _Move, copies: list[int]) -> None:
        if move.expert not in self._initial[move.target]:
            copies[move.target] += 1
        if move.evicted is not None:
            self._set_holders(move.evicted, self._holders[move.evicted] - {move.target})
        kept = self._holders[move.expert] - ({move.source} if move.is_moved else set())
        self._set_holders(move.expert, kept | {move.target})
        self.is_changed = True

    def _set_holders(self, expert: int, holders: set[int]) -> None:
        """Let just these ranks hold an expert, and share its load."""
        before = self._holders[expert]
        self._add_share(before, -self._share(expert))
        for rank in before - holders:
            self._held[rank].discard(expert)
        for rank in holders - before:
            self._held[rank].add(expert)
        self._holders[expert] = holders
        self._add_share(holders, self._share(expert))

    def _add_share(self, ranks: t.Iterable[int], share: float) -> None:
        for rank in ranks:
            self._loads[rank] += share

    def _share(self, expert: int) -> float:
        return self._weights[expert] / len(self._holders[expert])


def _keep_positions(before: t.Sequence[int], now: t.Collection[int]) -> list[int]:
    """Return the experts of a rank, new ones at the places of those that left."""
    new = sorted(set(now) - set(before))
    row = []
    for expert in before:
        if expert in now:
            row.append(expert)
        elif new:
            row.append(new.pop(0))
    return row + new
