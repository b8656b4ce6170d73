"""The search for few moves after which the ranks of a layer take equal time."""

import dataclasses
import typing as t

import numpy as np

from .experts import EMPTY, ExpertMap, Move, even_shares
from .shares import balance, rank_times_ms

BALANCE_ROUNDS: t.Final = 60
NEW_MAP_BALANCE_ROUNDS: t.Final = 300
TARGET_TOLERANCE_RATIO: t.Final = 0.005
MIN_GAIN_RATIO: t.Final = 0.0005
MAX_BATCH_DIVISOR: t.Final = 8
MAX_TRIALS: t.Final = 8
MIN_SURPLUS_TOKENS: t.Final = 1e-9
STALLED_SPEED_RATIO: t.Final = 0.25
NEW_REPLICA_SHARE: t.Final = 0.05


@dataclasses.dataclass(frozen=True)
class LayerLoad:
    """The expected load of a layer, and the experts whose replicas may change.

    :param tokens: expected number of tokens of each expert in a step, ``[expert]``.
    :param recent_peak: highest recent value of ``tokens``, which the experts may
        reach again, ``[expert]``.
    :param speeds: tokens that each rank processes per millisecond, ``[rank]``.
    :param evictable: whether an expert may lose a replica, ``[expert]``.
    :param addable: whether an expert may gain a replica, ``[expert]``.
    """

    tokens: np.ndarray
    recent_peak: np.ndarray
    speeds: np.ndarray
    evictable: np.ndarray
    addable: np.ndarray


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A series of moves in a layer, and the placement that results from them.

    :param moves: the moves, in order.
    :param slots: the experts of each rank after the moves, ``[rank, slot]``.
    :param shares: the balanced shares after the moves, ``[rank, slot]``.
    :param time_ms: expected time of the slowest rank in milliseconds.
    :param excess_ms: square root of the sum of squares of the milliseconds by which
        each rank exceeds the ideal time.
    """

    moves: tuple[Move, ...]
    slots: np.ndarray
    shares: np.ndarray
    time_ms: float
    excess_ms: float


@dataclasses.dataclass(frozen=True)
class _ExcessLoad:
    """The load of each expert on ranks that exceed the ideal time, ``[expert]``.

    :param surplus: number of tokens that other ranks should take over.
    :param delay: time that the surplus adds to these ranks, as a fraction of the ideal
        time; 0 for experts that may not gain a replica. Experts with the greatest
        delay are replicated first.
    """

    surplus: np.ndarray
    delay: np.ndarray


def search(
    layer: int, candidates: list[Candidate], load: LayerLoad, max_moves: int
) -> None:
    """Append candidates with more moves to ``candidates``, each faster than the last.

    Underloaded ranks are given replicas of experts from the slowest ranks, in batches.
    A batch without a sufficient gain is rejected and the batch size is halved; a rank
    for which a single move has no sufficient gain is skipped. The search doesn't
    consider the cost of a move, so it finds the same candidates for every cost weight.

    :param candidates: the candidate without moves, with balanced shares, followed by
        the candidates that an earlier search has found.
    :param max_moves: maximum number of moves of a candidate.
    """
    start = candidates[0]
    last = candidates[-1]
    skipped = np.zeros(len(load.speeds), dtype=bool)
    batch = max(1, start.slots.shape[0] // MAX_BATCH_DIVISOR)
    target_ms = ideal_time_ms(load) * (1 + TARGET_TOLERANCE_RATIO)
    for _ in range(MAX_TRIALS):
        moves_left = max_moves - len(last.moves)
        if last.time_ms < target_ms or not moves_left:
            break
        unchanged = last.slots == start.slots
        moves = _choose_moves(
            layer, last, load, min(batch, moves_left), unchanged, skipped
        )
        if not moves:
            break
        extended = extend(last, moves, load)
        if extended.excess_ms > last.excess_ms * (1 - MIN_GAIN_RATIO):
            skipped[moves[0].rank] = batch == 1
            batch = max(batch // 2, 1)
            continue
        last = extended
        skipped[:] = False
        if extended.time_ms < candidates[-1].time_ms:
            candidates.append(extended)


def healthy_ranks(speeds: np.ndarray) -> np.ndarray:
    """Return which ranks are fast enough to hold an expert's only replica, ``[rank]``.

    :param speeds: tokens that each rank processes per millisecond, ``[rank]``.
    """
    return speeds >= STALLED_SPEED_RATIO * np.median(speeds)


def with_gains_unlocked(load: LayerLoad) -> LayerLoad:
    """Return ``load`` with all experts allowed to gain replicas."""
    return dataclasses.replace(load, addable=np.ones(len(load.tokens), dtype=bool))


def with_all_unlocked(load: LayerLoad) -> LayerLoad:
    """Return ``load`` with all experts allowed to gain and to lose replicas."""
    unlocked = np.ones(len(load.tokens), dtype=bool)
    return dataclasses.replace(load, evictable=unlocked, addable=unlocked)


def ideal_time_ms(load: LayerLoad) -> float:
    """Return the ideal time of the layer: its step time if tokens could go to any rank.

    :return: the time in milliseconds.
    """
    return float(load.tokens.sum() / load.speeds.sum())


def extend(candidate: Candidate, moves: t.Sequence[Move], load: LayerLoad) -> Candidate:
    """Return the candidate that results from more ``moves``, with balanced shares."""
    slots = candidate.slots.copy()
    for move in moves:
        slots[move.rank, move.slot] = move.expert
    shares = np.where(slots == candidate.slots, candidate.shares, NEW_REPLICA_SHARE)
    return evaluate((*candidate.moves, *moves), slots, shares, load)


def evaluate(
    moves: tuple[Move, ...], slots: np.ndarray, shares: np.ndarray, load: LayerLoad
) -> Candidate:
    """Return a candidate with balanced shares and its expected times.

    :param moves: the moves of the candidate.
    :param slots: the experts of each rank after the moves, ``[rank, slot]``.
    :param shares: shares from which the balancing starts, ``[rank, slot]``.
    """
    tokens = load.tokens[None]
    shares = balance(slots[None], shares[None], tokens, load.speeds, BALANCE_ROUNDS)
    times = rank_times_ms(slots[None], shares, tokens, load.speeds)
    excess = np.maximum(times - ideal_time_ms(load), 0)
    return Candidate(
        moves, slots, shares[0], float(times.max()), float(np.linalg.norm(excess))
    )


def _choose_moves(
    layer: int,
    candidate: Candidate,
    load: LayerLoad,
    count: int,
    unchanged: np.ndarray,
    skipped: np.ndarray,
) -> t.Sequence[Move]:
    """Return up to ``count`` moves from the slowest to the least loaded ranks.

    :param unchanged: whether a slot holds the same expert as before all moves, ``[rank,
        slot]``. Only these slots count as replicas and may be overwritten, since the
        interim map routes tokens to them alone.
    :param skipped: whether a rank receives no moves, ``[rank]``.
    """
    slots = candidate.slots.copy()
    excess = _excess_tokens(candidate, load)
    excess_load = _excess_load(candidate, load, excess)
    remaining = excess_load.surplus.copy()
    healthy = healthy_ranks(load.speeds)
    serving = unchanged & (slots != EMPTY) & healthy[:, None]
    replicas = np.bincount(slots[serving], minlength=len(load.tokens))
    moves = []
    for rank in np.argsort(np.where(healthy & ~skipped, excess, np.inf)):
        if len(moves) == count or excess[rank] >= 0 or skipped[rank]:
            break
        slot = _slot_to_fill(slots[rank], unchanged[rank], replicas, remaining, load)
        remaining_ratio = np.maximum(remaining, 0) / np.maximum(
            excess_load.surplus, MIN_SURPLUS_TOKENS
        )
        priority = excess_load.delay * remaining_ratio
        priority[slots[rank][slots[rank] != EMPTY]] = 0
        expert = int(priority.argmax())
        if slot is None or priority[expert] <= 0:
            continue
        evicted = int(slots[rank, slot])
        if evicted != EMPTY:
            replicas[evicted] -= 1
        slots[rank, slot] = expert
        remaining[expert] += excess[rank]
        moves.append(Move(layer, expert, int(rank), slot, evicted))
    return moves


def _excess_tokens(candidate: Candidate, load: LayerLoad) -> np.ndarray:
    """Return the tokens of each rank beyond those of an ideal split, ``[rank]``."""
    work = candidate.shares * load.tokens[candidate.slots]
    return work.sum(axis=1) - ideal_time_ms(load) * load.speeds


def _excess_load(
    candidate: Candidate, load: LayerLoad, excess: np.ndarray
) -> _ExcessLoad:
    held = candidate.slots != EMPTY
    ideal = ideal_time_ms(load) * load.speeds
    ratio = np.maximum(excess / ideal, 0)
    surplus = candidate.shares * load.tokens[candidate.slots] * ratio[:, None]
    delay = surplus / ideal[:, None]
    experts = len(load.tokens)
    return _ExcessLoad(
        np.bincount(candidate.slots[held], surplus[held], experts),
        np.bincount(candidate.slots[held], delay[held], experts) * load.addable,
    )


def _slot_to_fill(
    held: np.ndarray,
    unchanged: np.ndarray,
    replicas: np.ndarray,
    surplus: np.ndarray,
    load: LayerLoad,
) -> int | None:
    """Return the slot of a rank that a move fills at the lowest loss.

    An empty slot has no loss; otherwise the loss is the load of the slot's expert per
    remaining replica.

    :param held: the expert of each slot of the rank, ``[slot]``.
    :param unchanged: whether a slot holds the same expert as before all moves,
        ``[slot]``.
    :param replicas: number of replicas of each expert, ``[expert]``.
    :param surplus: tokens of each expert that other ranks should take over,
        ``[expert]``.
    :return: ``None`` if no slot may be overwritten.
    """
    empty = held == EMPTY
    if empty.any():
        return int(empty.argmax())
    others = replicas[held] - 1
    loss = (load.recent_peak[held] + np.maximum(surplus[held], 0)) / np.maximum(
        others, 1
    )
    loss[(others < 1) | ~unchanged | ~load.evictable[held]] = np.inf
    slot = int(loss.argmin())
    return slot if np.isfinite(loss[slot]) else None


def place_map(
    tokens: np.ndarray, speeds: np.ndarray, slots_per_rank: int, version: int = 0
) -> ExpertMap:
    """Return a map that is placed from scratch in every layer, with balanced shares.

    :param tokens: number of tokens of each expert in a step, ``[layer, expert]``.
    :param speeds: tokens that each rank processes per millisecond, ``[rank]``.
    :param version: version of the new map.
    """
    experts = tokens.shape[1]
    slots = np.stack([place_layer(row, speeds, slots_per_rank) for row in tokens])
    start = even_shares(slots, experts)
    shares = balance(slots, start, tokens, speeds, NEW_MAP_BALANCE_ROUNDS)
    return ExpertMap(version, experts, slots, shares)


def replica_counts(tokens: np.ndarray, ranks: int, slots_per_rank: int) -> np.ndarray:
    """Return the number of replicas for each expert of a layer, ``[expert]``.

    Each expert gets one replica; each further slot goes to the expert with the most
    tokens per replica.

    :param tokens: number of tokens of each expert, ``[expert]``.
    """
    counts = np.ones(len(tokens), dtype=int)
    for _ in range(ranks * slots_per_rank - len(tokens)):
        per_replica = np.where(counts < ranks, tokens / counts, -1)
        counts[per_replica.argmax()] += 1
    return counts


def place_layer(
    tokens: np.ndarray, speeds: np.ndarray, slots_per_rank: int
) -> np.ndarray:
    """Return a placement of a layer from scratch, ``[rank, slot]``.

    The replicas are placed in descending order of their tokens, each on the rank that
    would finish first with it. If the other ranks have slots for all experts, a stalled
    rank gets only second replicas. A replica that no rank can hold leaves a slot empty.

    :param tokens: number of tokens of each expert, ``[expert]``.
    :param speeds: tokens that each rank processes per millisecond, ``[rank]``.
    """
    ranks = len(speeds)
    slots = np.full((ranks, slots_per_rank), EMPTY)
    healthy = healthy_ranks(speeds)
    if not healthy.all() and healthy.sum() * slots_per_rank >= len(tokens):
        slots[healthy] = place_layer(tokens, speeds[healthy], slots_per_rank)
        slots[~healthy] = np.argsort(-tokens)[:slots_per_rank]
        return slots
    counts = replica_counts(tokens, ranks, slots_per_rank)
    filled = np.zeros(ranks, dtype=int)
    work = np.zeros(ranks)
    for expert in np.argsort(-tokens / counts, kind="stable"):
        replica_tokens = tokens[expert] / counts[expert]
        for _ in range(counts[expert]):
            excluded = (filled == slots_per_rank) | (slots == expert).any(axis=1)
            end_ms = np.where(excluded, np.inf, (work + replica_tokens) / speeds)
            rank = int(end_ms.argmin())
            if excluded[rank]:
                break
            slots[rank, filled[rank]] = expert
            filled[rank] += 1
            work[rank] += replica_tokens
    return slots
