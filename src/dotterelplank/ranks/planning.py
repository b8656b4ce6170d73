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
LEAST_FALL: t.Final = 0.002
"""The part of the mean load by which a move must lower the most loaded rank."""
EVEN_SKEW: t.Final = 1.03
"""A layer as even as this is left as it is, and a move that makes ranks so is taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
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
    """Put ``expert``, which ``source`` holds, on ``to`` in place of ``dropped``.

    :param leaves: whether the expert leaves the rank that it comes from.
    """

    expert: int
    source: int
    to: int
    dropped: int | None
    leaves: bool


def plan(demand: Demand, present: ExpertMap, room: Room) -> Plan | None:
    """Return a map that shares ``demand`` more evenly, or ``None`` if there is none."""
    layers = [_Layer(weights, rows, room) for weights, rows in zip(demand, present)]
    before = _mean_skew(layers)
    copies = [0] * (len(present[0]) if present else 0)
    # The layer that is most uneven goes first, as copies are bounded over all layers.
    active = [(-layer.skew(), number) for number, layer in enumerate(layers)]
    heapq.heapify(active)
    while active:
        negative_skew, number = heapq.heappop(active)
        if -negative_skew <= EVEN_SKEW:
            break
        if layers[number].improve(copies, room.new_per_rank):
            heapq.heappush(active, (-layers[number].skew(), number))
    if not any(layer.is_changed for layer in layers):
        return None
    new = [layer.rows() for layer in layers]
    return Plan(new, before, _mean_skew(layers), max(copies))


def skew(demand: Demand, present: ExpertMap) -> float:
    """Return the mean over the layers of the most loaded rank over the mean."""
    room = Room(0, 0, 0)
    return _mean_skew(
        [_Layer(weights, rows, room) for weights, rows in zip(demand, present)]
    )


def _mean_skew(layers: t.Sequence["_Layer"]) -> float:
    return sum(layer.skew() for layer in layers) / max(1, len(layers))


class _Layer:
    """The placement of one layer as moves are made on it."""

    def __init__(
        self, weights: t.Sequence[float], rows: t.Sequence[t.Sequence[int]], room: Room
    ) -> None:
        self._weights = weights
        self._room = room
        self._held = [set(row) for row in rows]
        self._first = [frozenset(row) for row in rows]
        self._order = rows
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
            _kept_in_place(before, now) for before, now in zip(self._order, self._held)
        ]

    def improve(self, copies: list[int], most_copies: int) -> bool:
        """Make the move that most lowers the peak; return whether there was one."""
        peak = max(self._loads)
        hot = self._loads.index(peak)
        best: _Move | None = None
        best_peak = peak - LEAST_FALL * self._mean
        for move in self._moves(hot, copies, most_copies):
            move_peak = self._peak_after(move)
            if move_peak < best_peak:
                best, best_peak = move, move_peak
                if best_peak <= EVEN_SKEW * self._mean:
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
            able = (
                rank
                for rank in ranks
                if rank not in self._holders[expert]
                and self._may_gain(rank, expert, copies, most_copies)
            )
            for rank in itertools.islice(able, CANDIDATE_RANKS):
                for dropped in self._droppable(rank):
                    yield _Move(expert, hot, rank, dropped, False)
                    yield _Move(expert, hot, rank, dropped, True)

    def _droppable(self, rank: int) -> t.Sequence[int | None]:
        """Return what a rank can give up for another expert; none: it has room."""
        if len(self._held[rank]) < self._room.places:
            return [None]
        return [one for one in self._held[rank] if len(self._holders[one]) > 1]

    def _peak_after(self, move: _Move) -> float:
        """Return the highest load among the ranks that a move touches."""
        loads, weights, expert = self._loads, self._weights, move.expert
        holders = self._holders[expert]
        share = weights[expert] / len(holders)
        gained = share if move.leaves else weights[expert] / (len(holders) + 1)
        fall = share if move.leaves else share - gained
        hot_load, to_load = loads[move.source] - fall, loads[move.to] + gained
        peak = 0.0
        if move.dropped is not None:
            dropping = self._holders[move.dropped]
            left = weights[move.dropped] / len(dropping)
            rise = weights[move.dropped] / (len(dropping) - 1) - left
            to_load -= left
            for rank in dropping:
                if rank == move.source:
                    hot_load += rise
                elif rank != move.to:
                    eased = 0.0 if move.leaves or rank not in holders else fall
                    peak = max(peak, loads[rank] + rise - eased)
        return max(peak, hot_load, to_load)

    def _may_gain(
        self, rank: int, expert: int, copies: list[int], most_copies: int
    ) -> bool:
        if expert in self._first[rank]:
            return True
        if copies[rank] >= most_copies:
            return False
        return len(self._held[rank] - self._first[rank]) < self._room.new_per_layer

    def _apply(self, move: _Move, copies: list[int]) -> None:
        if move.expert not in self._first[move.to]:
            copies[move.to] += 1
        if move.dropped is not None:
            self._place(move.dropped, self._holders[move.dropped] - {move.to})
        kept = self._holders[move.expert] - ({move.source} if move.leaves else set())
        self._place(move.expert, kept | {move.to})
        self.is_changed = True

    def _place(self, expert: int, holders: set[int]) -> None:
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


def _kept_in_place(before: t.Sequence[int], now: t.Collection[int]) -> list[int]:
    """Return the experts of a rank, new ones at the places of those that left."""
    new = sorted(set(now) - set(before))
    row = []
    for expert in before:
        if expert in now:
            row.append(expert)
        elif new:
            row.append(new.pop(0))
    return row + new
