"""Prefix blocks of a message text, and a bounded index of those an endpoint caches.

A text is cut into blocks of :data:`BLOCK_SIZE_BYTES`. The hash of a block covers
all the text before it too, so that equal hashes mean equal prefixes.
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

    A last block that isn't full has no hash. At most ``max_blocks`` are returned.
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

    :param blocks: length of the longest prefix of the chain that was seen.
    :param seen_ms: when the last of these blocks was seen; 0 if there is none.
    """

    blocks: int
    seen_ms: float


NO_MATCH = Match(0, 0.0)


@dataclasses.dataclass(slots=True)
class PrefixIndex:
    """The blocks that one endpoint is believed to cache, least recently seen first.

    :param capacity_blocks: blocks beyond this number push out the oldest.
    """

    capacity_blocks: int
    seen_ms: dict[int, float] = dataclasses.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.seen_ms)

    def add(self, now_ms: float, blocks: t.Sequence[int]) -> tuple[int, ...]:
        """Record that ``blocks`` of one chain, first block first, were cached.

        The last block of a chain leaves first, as it does in an engine that
        frees the leaves of its prefix tree. Returns the blocks pushed out.
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
        """Forget ``blocks``; those that aren't known are passed over."""
        for block in blocks:
            self.seen_ms.pop(block, None)

    def clear(self) -> None:
        """Forget everything, for an endpoint that was restarted."""
        self.seen_ms.clear()

    def match(self, blocks: t.Sequence[int]) -> Match:
        """Return the longest known prefix of the chain ``blocks``.

        Since a hash covers all blocks before it, a known block proves those
        before it; up to :data:`MAX_GAP_BLOCKS` unknown ones in a row are skipped,
        which covers lost cache events.
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
    """Return the blocks of ``match`` that are likely still cached.

    The likelihood halves for each ``half_life_ms`` since the match was seen.
    """
    if not match.blocks:
        return 0.0
    age_ms = max(0.0, now_ms - match.seen_ms)
    return match.blocks * math.pow(0.5, age_ms / half_life_ms)


@dataclasses.dataclass(slots=True)
class FamilyRates:
    """How often requests with the same first block came to this entry.

    Counts decay over :data:`FAMILY_TIME_CONSTANT_MS`; the families least recently met
    are forgotten beyond ``capacity``.
    """

    capacity: int = MAX_FAMILIES
    counts: dict[int, tuple[float, float]] = dataclasses.field(default_factory=dict)

    def note(self, now_ms: float, blocks: t.Sequence[int]) -> float:
        """Count a request and return its family's rate a second, itself excluded."""
        if not blocks:
            return 0.0
        count, updated_ms = self.counts.pop(blocks[0], (0.0, now_ms))
        count *= math.exp(-max(0.0, now_ms - updated_ms) / FAMILY_TIME_CONSTANT_MS)
        self.counts[blocks[0]] = (count + 1.0, now_ms)
        if len(self.counts) > self.capacity:
            del self.counts[next(iter(self.counts))]
        return count * 1_000.0 / FAMILY_TIME_CONSTANT_MS
