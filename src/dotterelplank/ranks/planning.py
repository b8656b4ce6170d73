"""The planner of expert maps: it copies a few experts to balance the load of the ranks.

A pass takes as long as the most loaded rank of each layer needs. The demand for experts
shifts abruptly, every few seconds, so a new map must be in use soon after a shift. Each
change therefore copies only a few experts, and further changes follow.
"""

import dataclasses
import heapq
import itertools
import typing as t

from .demand import Demand
from .views import ExpertMap

CANDIDATE_EXPERTS: t.Final = 4
"""The number of experts of the most loaded rank that are considered for a move."""
CANDIDATE_RANKS: t.Final = 6
"""The number of target ranks, least loaded first, that are considered per expert."""
MIN_PEAK_REDUCTION: t.Final = 0.03
"""The fraction of the mean load by which a move must lower the highest load.

A smaller gain isn't worth a copy, which slows down the passes while it is made.
"""
BALANCED_SKEW: t.Final = 1.03
"""The skew at which a layer is balanced: no further moves are made on it.

The first move that lowers the ranks involved to this skew is made without a search for
a better one.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLimits:
    """The limits of one map change.

    :param places: the maximum number of experts of a layer that a rank holds.
    :param new_per_layer: the maximum number of experts of a layer added to a rank.
    :param new_per_rank: the maximum number of experts added to a rank over all layers.
    """

    places: int
    new_per_layer: int
    new_per_rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A new map and its effect.

    :param skew_before: skew of the current map. The skew is the load of a layer's most
        loaded rank divided by the mean load, averaged over the layers.
    :param skew_after: skew of the new map for the same demand.
    :param copies: the largest number of experts that are added to one rank.
    """

    map: ExpertMap
    skew_before: float
    skew_after: float
    copies: int


class _Move(t.NamedTuple):
    """The placement of an expert on another rank.

    :param source: a rank that holds the expert.
    :param target: the rank that the expert is added to.
    :param evicted: expert that ``target`` drops in exchange; ``None`` if it has room.
    :param is_moved: whether ``source`` drops the expert, instead of sharing its load.
    """

    expert: int
    source: int
    target: int
    evicted: int | None
    is_moved: bool


def plan(demand: Demand, current_map: ExpertMap, limits: ChangeLimits) -> Plan | None:
    """Return a map that balances ``demand`` better, or ``None`` if none is found."""
    layers = [
        _Layer(weights, rows, limits) for weights, rows in zip(demand, current_map)
    ]
    before = _mean_skew(layers)
    copies = [0] * (len(current_map[0]) if current_map else 0)
    # The layer with the highest skew comes first, as the limit on copies spans layers.
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
    """Return the skew of a map, averaged over the layers; 1 if it is balanced.

    The skew of a layer is the load of its most loaded rank divided by the mean load.
    """
    limits = ChangeLimits(0, 0, 0)
    return _mean_skew(
        [_Layer(weights, rows, limits) for weights, rows in zip(demand, current_map)]
    )


def _mean_skew(layers: t.Sequence["_Layer"]) -> float:
    return sum(layer.skew() for layer in layers) / max(1, len(layers))


class _Layer:
    """The placement of one layer's experts, changed move by move.

    :param weights: the demand for each expert.
    :param rows: the experts that each rank holds before the change.
    """

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
        """Return the load of the most loaded rank divided by the mean load."""
        if not self._mean:
            return 1.0
        return max(self._loads) / self._mean

    def rows(self) -> list[list[int]]:
        """Return the experts of each rank; those that stay keep their positions."""
        return [
            _keep_positions(before, now)
            for before, now in zip(self._initial_rows, self._held)
        ]

    def improve(self, copies: list[int], max_copies: int) -> bool:
        """Make the move that lowers the highest load most.

        Return whether there was a move that lowers it enough.

        :param copies: the number of experts added to each rank so far; updated.
        :param max_copies: the maximum number of experts added to a rank.
        """
        peak = max(self._loads)
        hot = self._loads.index(peak)
        best: _Move | None = None
        best_peak = peak - MIN_PEAK_REDUCTION * self._mean
        for move in self._moves(hot, copies, max_copies):
            move_peak = self._peak_after(move)
            if move_peak < best_peak:
                best, best_peak = move, move_peak
                if best_peak <= BALANCED_SKEW * self._mean:
                    break
        if best is None:
            return False
        self._apply(best, copies)
        return True

    def _moves(self, hot: int, copies: list[int], max_copies: int) -> t.Iterator[_Move]:
        experts = sorted(self._held[hot], key=self._share, reverse=True)
        ranks = sorted(range(len(self._loads)), key=self._loads.__getitem__)
        for expert in experts[:CANDIDATE_EXPERTS]:
            eligible = (
                rank
                for rank in ranks
                if rank not in self._holders[expert]
                and self._may_add(rank, expert, copies, max_copies)
            )
            for rank in itertools.islice(eligible, CANDIDATE_RANKS):
                for evicted in self._evictable(rank):
                    yield _Move(expert, hot, rank, evicted, False)
                    yield _Move(expert, hot, rank, evicted, True)

    def _evictable(self, rank: int) -> t.Sequence[int | None]:
        """Return the experts that a rank may drop for another one.

        ``None`` stands for no expert, as the rank has room. An expert that no other
        rank holds can't be dropped.
        """
        if len(self._held[rank]) < self._limits.places:
            return [None]
        return [expert for expert in self._held[rank] if len(self._holders[expert]) > 1]

    def _peak_after(self, move: _Move) -> float:
        """Return the highest load that a move leaves on the ranks that it affects."""
        loads, weights, expert = self._loads, self._weights, move.expert
        holders = self._holders[expert]
        share = weights[expert] / len(holders)
        gained = share if move.is_moved else weights[expert] / (len(holders) + 1)
        removed = share if move.is_moved else share - gained
        hot_load, target_load = (
            loads[move.source] - removed,
            loads[move.target] + gained,
        )
        peak = 0.0
        if move.evicted is not None:
            evicted_holders = self._holders[move.evicted]
            evicted_share = weights[move.evicted] / len(evicted_holders)
            rise = weights[move.evicted] / (len(evicted_holders) - 1) - evicted_share
            target_load -= evicted_share
            for rank in evicted_holders:
                if rank == move.source:
                    hot_load += rise
                elif rank != move.target:
                    relief = 0.0 if move.is_moved or rank not in holders else removed
                    peak = max(peak, loads[rank] + rise - relief)
        return max(peak, hot_load, target_load)

    def _may_add(
        self, rank: int, expert: int, copies: list[int], max_copies: int
    ) -> bool:
        if expert in self._initial[rank]:
            return True
        if copies[rank] >= max_copies:
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
        """Place an expert on exactly these ranks and split its load among them."""
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
    """Return the experts of a rank, with new ones at the positions of dropped ones."""
    new = sorted(set(now) - set(before))
    row = []
    for expert in before:
        if expert in now:
            row.append(expert)
        elif new:
            row.append(new.pop(0))
    return row + new
