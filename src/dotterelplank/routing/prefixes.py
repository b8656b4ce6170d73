"""Prefix blocks of a message text, and a bounded index of an endpoint's cached blocks.

A text is split into blocks of :data:`BLOCK_SIZE_BYTES`. The hash of a block also covers
all text before the block, so equal hashes mean equal prefixes.
"""

import dataclasses
import hashlib
import itertools
import math
import typing as t

BLOCK_SIZE_BYTES = 1_024
BLOCK_TOKENS = 256
MAX_CHAIN_BLOCKS = 32
HASH_SIZE_BYTES = 8
MAX_GAP_BLOCKS = 2
FAMILY_TIME_CONSTANT_MS = 20_000.0
MAX_FAMILIES = 8_192


def chain(text: bytes, max_blocks: int = MAX_CHAIN_BLOCKS) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks of ``text``, first block first.

    An incomplete last block has no hash. At most ``max_blocks`` hashes are returned.
    """
    hashes = []
    previous = b""
    full_blocks = min(len(text) // BLOCK_SIZE_BYTES, max_blocks)
    for number in range(full_blocks):
        start = number * BLOCK_SIZE_BYTES
        block = text[start : start + BLOCK_SIZE_BYTES]
        digest = hashlib.blake2b(previous + block, digest_size=HASH_SIZE_BYTES)
        previous = digest.digest()
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


def hash_text(text: str) -> int:
    """Return a hash of ``text`` that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_SIZE_BYTES)
    return int.from_bytes(digest.digest(), "big")


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """How much of a chain an endpoint is expected to have cached.

    :param blocks: length of the longest known prefix of the chain, in blocks.
    :param seen_ms: time at which the last of these blocks was seen; 0 without a match.
    """

    blocks: int
    seen_ms: float


NO_MATCH = Match(0, 0.0)


@dataclasses.dataclass(slots=True)
class PrefixIndex:
    """The blocks that one endpoint likely caches, least recently seen first.

    :param capacity_blocks: maximum number of blocks; the least recently seen blocks
        beyond it are evicted.
    """

    capacity_blocks: int
    seen_ms: dict[int, float] = dataclasses.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.seen_ms)

    def add(self, now_ms: float, blocks: t.Sequence[int]) -> tuple[int, ...]:
        """Record that ``blocks`` of one chain, first block first, were cached.

        The last block of a chain is evicted first, as in an engine that frees the
        leaves of its prefix tree.

        :return: the evicted blocks.
        """
        seen_ms = self.seen_ms
        for block in reversed(blocks):
            seen_ms.pop(block, None)
            seen_ms[block] = now_ms
        excess = len(seen_ms) - self.capacity_blocks
        if excess <= 0:
            return ()
        evicted = tuple(itertools.islice(seen_ms, excess))
        self.remove(evicted)
        return evicted

    def remove(self, blocks: t.Iterable[int]) -> None:
        """Remove ``blocks`` from the index and ignore those that aren't in it."""
        for block in blocks:
            self.seen_ms.pop(block, None)

    def clear(self) -> None:
        """Remove all blocks, for an endpoint whose cache was cleared."""
        self.seen_ms.clear()

    def match(self, blocks: t.Sequence[int]) -> Match:
        """Return the longest known prefix of the chain ``blocks``.

        A hash covers all blocks before its own, so a known block implies the blocks
        before it. Up to :data:`MAX_GAP_BLOCKS` unknown blocks in a row are therefore
        skipped, which compensates for lost cache events.
        """
        seen_ms = self.seen_ms
        matched = 0
        last_ms = 0.0
        position = 0
        for block in blocks:
            position += 1
            if block in seen_ms:
                matched = position
                last_ms = seen_ms[block]
            elif position - matched > MAX_GAP_BLOCKS:
                break
        return Match(matched, last_ms) if matched else NO_MATCH


def likely_blocks(match: Match, now_ms: float, half_life_ms: float) -> float:
    """Return the expected number of blocks of ``match`` that are still cached.

    The probability halves for each ``half_life_ms`` since the match was seen.
    """
    if not match.blocks:
        return 0.0
    age_ms = max(0.0, now_ms - match.seen_ms)
    return match.blocks * math.pow(0.5, age_ms / half_life_ms)


@dataclasses.dataclass(slots=True)
class FamilyRates:
    """Request rates at this entry for each family, the requests with one first block.

    Counts decay with the time constant :data:`FAMILY_TIME_CONSTANT_MS`. The least
    recently seen families beyond ``capacity`` are evicted.
    """

    capacity: int = MAX_FAMILIES
    counts: dict[int, tuple[float, float]] = dataclasses.field(default_factory=dict)

    def note(self, now_ms: float, blocks: t.Sequence[int]) -> float:
        """Count a request and return the rate of its family before it, per second.

        :param blocks: hash chain of the request; without blocks, the rate is 0.
        """
        if not blocks:
            return 0.0
        count, updated_ms = self.counts.pop(blocks[0], (0.0, now_ms))
        count *= math.exp(-max(0.0, now_ms - updated_ms) / FAMILY_TIME_CONSTANT_MS)
        self.counts[blocks[0]] = (count + 1.0, now_ms)
        if len(self.counts) > self.capacity:
            del self.counts[next(iter(self.counts))]
        return count * 1_000.0 / FAMILY_TIME_CONSTANT_MS
