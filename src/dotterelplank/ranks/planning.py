"""Which few experts to copy so that the ranks of a group share the load evenly.

The load that this answers: what is in demand changes in steps, every few seconds, and a
pass takes as long as the most loaded rank of each layer. What counts is the time from a
step to the switch, so a change copies little and another follows.
"""

import dataclasses
import typing as t

from .demand import Demand
from .views import ExpertMap

CANDIDATE_EXPERTS: t.Final = 5
CANDIDATE_RANKS: t.Final = 6
LEAST_FALL: t.Final = 0.002
"""The part of the mean load by which a move must lower the most loaded rank."""


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


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """Put ``expert`` on ``to``, in place of ``dropped``; ``back`` goes to ``source``.

    :param leaves: whether the expert leaves the rank that it comes from.
    """

    expert: int
    source: int
    to: int
    dropped: int | None
    leaves: bool
    peak: float


def plan(demand: Demand, present: ExpertMap, room: Room) -> Plan | None:
    """Return a map that shares ``demand`` more evenly, or ``None`` if there is none."""
    layers = [_Layer(weights, rows, room) for weights, rows in zip(demand, present)]
    before = _mean_skew(layers)
    copies = [0] * (len(present[0]) if present else 0)
    # The layer that is most uneven goes first, as copies are bounded over all layers.
    active = [layer for layer in layers if layer.total > 0]
    while active:
        layer = max(active, key=lambda one: one.skew())
        if not layer.improve(copies, room.new_per_rank):
            active.remove(layer)
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
        self._order = [list(row) for row in rows]
        self._holders = [0] * len(weights)
        for row in rows:
            for expert in row:
                self._holders[expert] += 1
        self._loads = [self._load_of(rank) for rank in range(len(rows))]
        self.total = sum(weights)
        self.is_changed = False

    def skew(self) -> float:
        """Return the load of the most loaded rank over the mean."""
        if not self.total:
            return 1.0
        return max(self._loads) * len(self._loads) / self.total

    def rows(self) -> list[list[int]]:
        """Return the experts of each rank."""
        return [
            [one for one in before if one in now] + sorted(now - set(before))
            for before, now in zip(self._order, self._held)
        ]

    def improve(self, copies: list[int], most_copies: int) -> bool:
        """Make the move that most lowers the peak; return whether there was one."""
        peak = max(self._loads)
        hot = self._loads.index(peak)
        least = peak - LEAST_FALL * self.total / len(self._loads)
        best: _Move | None = None
        for move in self._moves(hot, copies, most_copies):
            if move.peak < least and (best is None or move.peak < best.peak):
                best = move
        if best is None:
            return False
        self._apply(best, copies)
        return True

    def _moves(
        self, hot: int, copies: list[int], most_copies: int
    ) -> t.Iterator[_Move]:
        share = self._share
        experts = sorted(self._held[hot], key=lambda one: -share(one))
        ranks = sorted(
            (rank for rank in range(len(self._loads)) if rank != hot),
            key=lambda rank: self._loads[rank],
        )
        for expert in experts[:CANDIDATE_EXPERTS]:
            tried = 0
            for rank in ranks:
                if expert in self._held[rank]:
                    continue
                if not self._may_gain(rank, expert, copies, most_copies):
                    continue
                tried += 1
                if tried > CANDIDATE_RANKS:
                    break
                yield from self._moves_to(expert, hot, rank)

    def _moves_to(self, expert: int, hot: int, rank: int) -> t.Iterator[_Move]:
        drops: list[int | None] = [
            one for one in self._held[rank] if self._holders[one] > 1
        ]
        if len(self._held[rank]) < self._room.places:
            drops = [None]
        for dropped in drops:
            for leaves in (False, True):
                yield self._move(expert, hot, rank, dropped, leaves)

    def _move(
        self, expert: int, hot: int, to: int, dropped: int | None, leaves: bool
    ) -> _Move:
        """Return the move with the highest load among the ranks that it touches."""
        weight = self._weights[expert]
        holders = self._holders[expert]
        now = holders if leaves else holders + 1
        changes = {hot: -weight / holders, to: weight / now}
        if not leaves:
            for rank, held in enumerate(self._held):
                if expert in held and rank != hot:
                    changes[rank] = changes.get(rank, 0.0) - weight / holders
                    changes[rank] += weight / now
            changes[hot] += weight / now
        if dropped is not None:
            share = self._share(dropped)
            left = self._holders[dropped] - 1
            changes[to] -= share
            gain = self._weights[dropped] / left - share
            for rank, held in enumerate(self._held):
                if dropped in held and rank != to:
                    changes[rank] = changes.get(rank, 0.0) + gain
        peak = max(self._loads[rank] + change for rank, change in changes.items())
        return _Move(expert, hot, to, dropped, leaves, peak)

    def _may_gain(
        self, rank: int, expert: int, copies: list[int], most_copies: int
    ) -> bool:
        if expert in self._first[rank]:
            return True
        new = len(self._held[rank] - self._first[rank])
        return new < self._room.new_per_layer and copies[rank] < most_copies

    def _apply(self, move: _Move, copies: list[int]) -> None:
        if move.expert not in self._first[move.to]:
            copies[move.to] += 1
        if move.dropped is not None:
            self._held[move.to].discard(move.dropped)
            self._holders[move.dropped] -= 1
        self._held[move.to].add(move.expert)
        self._holders[move.expert] += 1
        if move.leaves:
            self._held[move.source].discard(move.expert)
            self._holders[move.expert] -= 1
        self.is_changed = True
        self._loads = [self._load_of(rank) for rank in range(len(self._held))]

    def _share(self, expert: int) -> float:
        return self._weights[expert] / self._holders[expert]

    def _load_of(self, rank: int) -> float:
        return sum(self._share(expert) for expert in self._held[rank])
