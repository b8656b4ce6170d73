"""How the counts of all ranks reach the leader of their group.

The load that this answers: what the leader hears must not grow with its group, as its
link takes little. Only the sum over the ranks is needed, so agents add up what others
tell them, in a tree at whose root is the leader.
"""

import dataclasses
import operator
import typing as t

MIN_INTERVAL_MS: t.Final = 75.0
LINK_RATIO: t.Final = 0.3
"""The part of a host's link that the samples sent to it may take."""
HEADER_BYTES: t.Final = 60
"""What a datagram takes besides its data."""
FAN_IN: t.Final = 11
"""Ranks that tell one other."""

LARGEST_COUNT: t.Final = 127
"""Units in the largest count of a sample; more would take more bytes than they tell."""


def interval_ms(sample_bytes: int, link_mbps: float) -> float:
    """Return the time between two samples of a rank.

    :param sample_bytes: size of a sample.
    :param link_mbps: what the host that is told can take in, in millions of bits a
        second.
    """
    round_bits = FAN_IN * (sample_bytes + HEADER_BYTES) * 8
    round_ms = round_bits / (link_mbps * 1000 * LINK_RATIO)
    return max(MIN_INTERVAL_MS, round_ms)


def parent_of(rank: int, leader: int, size: int, alive: t.Collection[int]) -> int:
    """Return the rank that ``rank`` tells: the next one towards the leader that lives.

    :param size: ranks of the group.
    """
    position = (rank - leader) % size
    while position:
        position = (position - 1) // FAN_IN
        parent = (leader + position) % size
        if parent in alive:
            return parent
    return leader


@dataclasses.dataclass(frozen=True, slots=True)
class QuantizedCounts:
    """Counts in whole units, so that each takes one small byte."""

    unit: int
    counts: bytes


def quantize(counts: t.Sequence[int]) -> QuantizedCounts:
    """Return counts in the smallest unit in which each fits."""
    unit = max(1, -(-max(counts, default=0) // LARGEST_COUNT))
    half = unit // 2
    return QuantizedCounts(unit, bytes([(count + half) // unit for count in counts]))


def dequantize(quantized: QuantizedCounts) -> list[int]:
    """Return the counts, each within half a unit."""
    return [count * quantized.unit for count in quantized.counts]


@dataclasses.dataclass
class DeltaCounter:
    """The counts of a rank as they were told last."""

    epoch: int = -1
    counts: t.Sequence[int] = ()

    def since_last(self, epoch: int, counts: t.Sequence[int]) -> list[int] | None:
        """Return what was counted since the last call; none if that can't be told."""
        before, self.counts = self.counts, counts
        is_new = epoch != self.epoch or len(before) != len(counts)
        self.epoch = epoch
        if is_new:
            return None
        new = list(map(operator.sub, counts, before))
        return None if min(new, default=0) < 0 else new


@dataclasses.dataclass
class CountAccumulator:
    """What others have told since this agent told it on."""

    counts: list[int] | None = None

    def add(self, counts: t.Sequence[int]) -> None:
        """Add the counts of a sample; those of another layout replace the others."""
        if self.counts is None or len(self.counts) != len(counts):
            self.counts = list(counts)
        else:
            self.counts = list(map(operator.add, self.counts, counts))

    def drain(self) -> list[int] | None:
        """Return the sum and begin a new one."""
        counts, self.counts = self.counts, None
        return counts
