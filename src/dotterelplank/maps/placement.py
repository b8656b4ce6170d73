"""The search for the few moves that let the ranks of one layer take equal time."""

import dataclasses
import typing as t

import numpy as np

from .experts import EMPTY, ExpertMap, Move, even_shares
from .shares import balance, rank_times_ms

ROUNDS: t.Final = 60
NEW_MAP_ROUNDS: t.Final = 300
GOOD_ENOUGH: t.Final = 0.005
LEAST_GAIN: t.Final = 0.0005
LARGEST_BATCH_DIVISOR: t.Final = 8
MOST_TRIALS: t.Final = 8
SMALLEST_SURPLUS: t.Final = 1e-9
STALLED_PART: t.Final = 0.25
NEW_SHARE: t.Final = 0.05


@dataclasses.dataclass(frozen=True)
class LayerLoad:
    """What the search knows about a layer.

    :param tokens: expected tokens of each expert in a step, ``[expert]``.
    :param reserve: tokens that each expert may soon have again, ``[expert]``.
    :param speeds: tokens that each rank runs in a millisecond, ``[rank]``.
    :param evictable: whether an expert may lose a replica, ``[expert]``.
    :param addable: whether an expert may gain a replica, ``[expert]``.
    """

    tokens: np.ndarray
    reserve: np.ndarray
    speeds: np.ndarray
    evictable: np.ndarray
    addable: np.ndarray


@dataclasses.dataclass(frozen=True)
class Stage:
    """A point of the search: the moves up to here and what they lead to.

    :param time_ms: expected time of the slowest rank.
    :param excess_ms: root of the summed squares of the ranks' times over the ideal.
    """

    moves: tuple[Move, ...]
    slots: np.ndarray
    shares: np.ndarray
    time_ms: float
    excess_ms: float


@dataclasses.dataclass(frozen=True)
class _Claims:
    """What each expert has on ranks that are over the ideal, ``[expert]``.

    :param surplus: tokens that other ranks could take.
    :param delay: what they add to the times of those ranks, as parts of the ideal;
        it says which expert comes first.
    """

    surplus: np.ndarray
    delay: np.ndarray


def search(layer: int, stages: list[Stage], load: LayerLoad, most_moves: int) -> None:
    """Append to ``stages`` ones of more moves, each faster than the one before.

    Ranks that are short of work are offered replicas of experts from the slowest
    ranks, in batches that are halved when they bring nothing; a rank for which a
    single move brings nothing is passed over. The search doesn't look at what a
    move costs, so that its stages are the same for every weight.

    :param stages: the stage without a move, its shares balanced, and those that an
        earlier search has found.
    :param most_moves: most moves of the last stage.
    """
    start = stages[0]
    last = stages[-1]
    refused = np.zeros(len(load.speeds), dtype=bool)
    batch = max(1, start.slots.shape[0] // LARGEST_BATCH_DIVISOR)
    good_ms = ideal_time_ms(load) * (1 + GOOD_ENOUGH)
    for _ in range(MOST_TRIALS):
        room = most_moves - len(last.moves)
        if last.time_ms < good_ms or not room:
            break
        kept = last.slots == start.slots
        moves = _offer(layer, last, load, min(batch, room), kept, refused)
        if not moves:
            break
        found = extend(last, moves, load)
        if found.excess_ms > last.excess_ms * (1 - LEAST_GAIN):
            refused[moves[0].rank] = batch == 1
            batch = max(batch // 2, 1)
            continue
        last = found
        refused[:] = False
        if found.time_ms < stages[-1].time_ms:
            stages.append(found)


def sound_ranks(speeds: np.ndarray) -> np.ndarray:
    """Tell which ranks are fast enough to be an expert's only home, ``[rank]``."""
    return speeds >= STALLED_PART * np.median(speeds)


def may_gain(load: LayerLoad) -> LayerLoad:
    """Return ``load`` with every expert free to gain replicas."""
    return dataclasses.replace(load, addable=np.ones(len(load.tokens), dtype=bool))


def unlocked(load: LayerLoad) -> LayerLoad:
    """Return ``load`` with every expert free to gain and to lose replicas."""
    free = np.ones(len(load.tokens), dtype=bool)
    return dataclasses.replace(load, evictable=free, addable=free)


def ideal_time_ms(load: LayerLoad) -> float:
    """Return the time of a step of the layer if the work could be split at will."""
    return float(load.tokens.sum() / load.speeds.sum())


def extend(stage: Stage, moves: t.Sequence[Move], load: LayerLoad) -> Stage:
    """Return the stage that more ``moves`` lead to, its shares balanced."""
    slots = stage.slots.copy()
    for move in moves:
        slots[move.rank, move.slot] = move.expert
    shares = np.where(slots == stage.slots, stage.shares, NEW_SHARE)
    return settle((*stage.moves, *moves), slots, shares, load)


def settle(
    moves: tuple[Move, ...], slots: np.ndarray, shares: np.ndarray, load: LayerLoad
) -> Stage:
    """Return the stage of ``moves`` with balanced shares and its time."""
    tokens = load.tokens[None]
    shares = balance(slots[None], shares[None], tokens, load.speeds, ROUNDS)
    times = rank_times_ms(slots[None], shares, tokens, load.speeds)
    excess = np.maximum(times - ideal_time_ms(load), 0)
    return Stage(
        moves, slots, shares[0], float(times.max()), float(np.linalg.norm(excess))
    )


def _offer(
    layer: int,
    stage: Stage,
    load: LayerLoad,
    count: int,
    kept: np.ndarray,
    refused: np.ndarray,
) -> t.Sequence[Move]:
    """Return up to ``count`` moves from the slowest to the least loaded ranks.

    :param kept: whether a slot is as it was at the start, ``[rank, slot]``. Only
        these count as homes and may be overwritten, since the interim map serves
        from them alone.
    :param refused: ranks to pass over.
    """
    slots = stage.slots.copy()
    excess = _excess_tokens(stage, load)
    claims = _claims(stage, load, excess)
    left = claims.surplus.copy()
    sound = sound_ranks(load.speeds)
    homes = kept & (slots != EMPTY) & sound[:, None]
    replicas = np.bincount(slots[homes], minlength=len(load.tokens))
    moves = []
    for rank in np.argsort(np.where(sound & ~refused, excess, np.inf)):
        if len(moves) == count or excess[rank] >= 0 or refused[rank]:
            break
        slot = _slot_to_fill(slots[rank], kept[rank], replicas, left, load)
        part_left = np.maximum(left, 0) / np.maximum(claims.surplus, SMALLEST_SURPLUS)
        wanted = claims.delay * part_left
        wanted[slots[rank][slots[rank] != EMPTY]] = 0
        expert = int(wanted.argmax())
        if slot is None or wanted[expert] <= 0:
            continue
        evicted = int(slots[rank, slot])
        if evicted != EMPTY:
            replicas[evicted] -= 1
        slots[rank, slot] = expert
        left[expert] += excess[rank]
        moves.append(Move(layer, expert, int(rank), slot, evicted))
    return moves


def _excess_tokens(stage: Stage, load: LayerLoad) -> np.ndarray:
    """Return the tokens of each rank beyond its part of the ideal, ``[rank]``."""
    work = stage.shares * load.tokens[stage.slots]
    return work.sum(axis=1) - ideal_time_ms(load) * load.speeds


def _claims(stage: Stage, load: LayerLoad, excess: np.ndarray) -> _Claims:
    held = stage.slots != EMPTY
    ideal = ideal_time_ms(load) * load.speeds
    ratio = np.maximum(excess / ideal, 0)
    surplus = stage.shares * load.tokens[stage.slots] * ratio[:, None]
    delay = surplus / ideal[:, None]
    experts = len(load.tokens)
    return _Claims(
        np.bincount(stage.slots[held], surplus[held], experts),
        np.bincount(stage.slots[held], delay[held], experts) * load.addable,
    )


def _slot_to_fill(
    held: np.ndarray,
    kept: np.ndarray,
    replicas: np.ndarray,
    surplus: np.ndarray,
    load: LayerLoad,
) -> int | None:
    """Return the slot of a rank whose expert will be missed least, if any."""
    empty = held == EMPTY
    if empty.any():
        return int(empty.argmax())
    others = replicas[held] - 1
    missed = (load.reserve[held] + np.maximum(surplus[held], 0)) / np.maximum(others, 1)
    missed[(others < 1) | ~kept | ~load.evictable[held]] = np.inf
    slot = int(missed.argmin())
    return slot if np.isfinite(missed[slot]) else None


def place_map(
    tokens: np.ndarray, speeds: np.ndarray, slots_per_rank: int, version: int = 0
) -> ExpertMap:
    """Return a map that is placed anew in every layer, its shares balanced.

    :param tokens: tokens of each expert in a step, ``[layer, expert]``.
    :param speeds: tokens that each rank runs in a millisecond, ``[rank]``.
    """
    experts = tokens.shape[1]
    slots = np.stack([place_all(row, speeds, slots_per_rank) for row in tokens])
    start = even_shares(slots, experts)
    shares = balance(slots, start, tokens, speeds, NEW_MAP_ROUNDS)
    return ExpertMap(version, experts, slots, shares)


def replica_counts(tokens: np.ndarray, ranks: int, slots_per_rank: int) -> np.ndarray:
    """Return how many replicas to give each expert of a layer, greedily.

    Each spare slot goes to the expert with the most tokens per replica.

    :param tokens: tokens of each expert, ``[expert]``.
    """
    counts = np.ones(len(tokens), dtype=int)
    for _ in range(ranks * slots_per_rank - len(tokens)):
        per_replica = np.where(counts < ranks, tokens / counts, -1)
        counts[per_replica.argmax()] += 1
    return counts


def place_all(
    tokens: np.ndarray, speeds: np.ndarray, slots_per_rank: int
) -> np.ndarray:
    """Return slots ``[rank, slot]`` of a layer placed anew, the largest first.

    Each replica goes to the rank that would be done first. Where the other ranks
    have room for all experts, a stalled rank gets second replicas only. A replica
    that no rank can take leaves a slot empty.

    :param tokens: tokens of each expert, ``[expert]``.
    :param speeds: tokens that each rank runs in a millisecond, ``[rank]``.
    """
    ranks = len(speeds)
    slots = np.full((ranks, slots_per_rank), EMPTY)
    sound = sound_ranks(speeds)
    if not sound.all() and sound.sum() * slots_per_rank >= len(tokens):
        slots[sound] = place_all(tokens, speeds[sound], slots_per_rank)
        slots[~sound] = np.argsort(-tokens)[:slots_per_rank]
        return slots
    counts = replica_counts(tokens, ranks, slots_per_rank)
    filled = np.zeros(ranks, dtype=int)
    work = np.zeros(ranks)
    for expert in np.argsort(-tokens / counts, kind="stable"):
        part = tokens[expert] / counts[expert]
        for _ in range(counts[expert]):
            full = (filled == slots_per_rank) | (slots == expert).any(axis=1)
            done = np.where(full, np.inf, (work + part) / speeds)
            rank = int(done.argmin())
            if full[rank]:
                break
            slots[rank, filled[rank]] = expert
            filled[rank] += 1
            work[rank] += part
    return slots
