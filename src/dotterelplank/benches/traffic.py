"""Simulated traffic: requests with shared prefixes, at seeded random times."""

import bisect
import dataclasses
import heapq
import itertools
import random
import typing as t

from ..routing import prefixes
from ..standins.fake_engine import Job


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficOptions:
    """The shape of the traffic.

    :param families: number of shared prefixes that requests begin with.
    :param skew: exponent of the Zipf distribution of the families.
    :param family_blocks_min: least number of blocks in a shared prefix.
    :param family_blocks_max: greatest number of blocks in a shared prefix.
    :param follow_up_share: probability that a conversation goes on after a request, and
        that an arrival continues a conversation which is due.
    :param tail_tokens_max: greatest number of prompt tokens after the last block.
    :param follow_up_min_ms: least time from a request to its follow-up.
    :param follow_up_max_ms: greatest time from a request to its follow-up.
    :param output_tokens: mean number of tokens generated.
    """

    families: int = 200
    skew: float = 0.9
    family_blocks_min: int = 4
    family_blocks_max: int = 10
    follow_up_share: float = 0.3
    tail_tokens_max: int = 500
    output_tokens: int = 400
    follow_up_min_ms: float = 10_000.0
    follow_up_max_ms: float = 40_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reaches an entry.

    :param entry: number of the entry in its domain.
    """

    at_ms: float
    domain: str
    entry: int
    job: Job


def zipf_weights(count: int, skew: float) -> list[float]:
    """Return the cumulative Zipf weights of ``count`` items, the most popular first."""
    weights = (1.0 / rank**skew for rank in range(1, count + 1))
    return list(itertools.accumulate(weights))


def pick(rng: random.Random, cumulative: t.Sequence[float]) -> int:
    """Return the index of a random item, with the probability of its weight."""
    return bisect.bisect_left(cumulative, rng.random() * cumulative[-1])


def arrivals(
    rng: random.Random,
    options: TrafficOptions,
    domain: str,
    entries: int,
    per_s: float,
    duration_ms: float,
) -> t.Iterator[Arrival]:
    """Yield the requests of one domain in order of time.

    :param entries: number of entries of the domain.
    :param per_s: mean number of requests per second.
    """
    family_rng = random.Random("families")
    families = [
        _random_blocks(
            family_rng,
            family_rng.randint(options.family_blocks_min, options.family_blocks_max),
        )
        for _ in range(options.families)
    ]
    weights = zipf_weights(options.families, options.skew)
    conversations: list[tuple[float, tuple[int, ...]]] = []
    now_ms = rng.expovariate(per_s) * 1_000.0
    for number in itertools.count():
        if now_ms >= duration_ms:
            return
        blocks = families[pick(rng, weights)]
        if conversations and conversations[0][0] <= now_ms:
            if rng.random() < options.follow_up_share:
                _, blocks = heapq.heappop(conversations)
        blocks = (blocks + _random_blocks(rng, 1))[: prefixes.MAX_CHAIN_BLOCKS]
        gap_ms = rng.uniform(options.follow_up_min_ms, options.follow_up_max_ms)
        if rng.random() < options.follow_up_share:
            heapq.heappush(conversations, (now_ms + gap_ms, blocks))
        job = _make_job(rng, options, f"{domain}/{number}", blocks)
        yield Arrival(now_ms, domain, rng.randrange(entries), job)
        now_ms += rng.expovariate(per_s) * 1_000.0


def _random_blocks(rng: random.Random, count: int) -> tuple[int, ...]:
    return tuple(rng.getrandbits(64) for _ in range(count))


def _make_job(
    rng: random.Random,
    options: TrafficOptions,
    request_id: str,
    blocks: tuple[int, ...],
) -> Job:
    tail_tokens = rng.randint(1, options.tail_tokens_max)
    prompt_tokens = len(blocks) * prefixes.BLOCK_TOKENS + tail_tokens
    mean = options.output_tokens
    output_tokens = min(4 * mean, 1 + int(rng.expovariate(1.0 / mean)))
    return Job(request_id, blocks, prompt_tokens, output_tokens)
