"""The aggregation of the counts of all ranks along a tree of agents.

The leader is the root of the tree. The bandwidth of its link is small, so the amount
that it receives must not grow with the size of the group. Only the sum over the ranks
is needed, so each agent adds up the samples of its children and sends its parent one
sample.
"""

import dataclasses
import operator
import typing as t

MIN_INTERVAL_MS: t.Final = 75.0
LINK_RATIO: t.Final = 0.3
"""The fraction of a link's bandwidth that the samples sent to its host may use."""
HEADER_BYTES: t.Final = 60
"""The size of a datagram on the link, without its data."""
FAN_IN: t.Final = 11
"""The maximum number of children of a rank in the tree."""

LARGEST_COUNT: t.Final = 127
"""The largest count of a sample, in units; larger ones wouldn't justify their size."""


def interval_ms(sample_bytes: int, link_mbps: float) -> float:
    """Return the time between two samples of a rank.

    :param sample_bytes: size of a sample.
    :param link_mbps: bandwidth of the receiving host's link, in megabits per second.
    """
    round_bits = FAN_IN * (sample_bytes + HEADER_BYTES) * 8
    round_ms = round_bits / (link_mbps * 1000 * LINK_RATIO)
    return max(MIN_INTERVAL_MS, round_ms)


def parent_of(rank: int, leader: int, size: int, alive: t.Collection[int]) -> int:
    """Return the rank whose agent gets the samples of ``rank``.

    This is the nearest ancestor in the tree whose agent is alive, or else the leader.

    :param size: number of ranks of the group.
    :param alive: ranks whose agents are alive.
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
    """Counts divided by a unit, so that each fits into one byte.

    :param unit: the factor by which ``counts`` are multiplied to get the choices.
    """

    unit: int
    counts: bytes


def quantize(counts: t.Sequence[int]) -> QuantizedCounts:
    """Return counts in the smallest unit with which none exceeds ``LARGEST_COUNT``."""
    unit = max(1, -(-max(counts, default=0) // LARGEST_COUNT))
    half = unit // 2
    return QuantizedCounts(unit, bytes([(count + half) // unit for count in counts]))


def dequantize(quantized: QuantizedCounts) -> list[int]:
    """Return the counts, each accurate to half a unit."""
    return [count * quantized.unit for count in quantized.counts]


@dataclasses.dataclass
class DeltaCounter:
    """Computes how much the counts of a rank have risen between two reads.

    :param epoch: epoch of the last read.
    :param counts: counts of the last read, which add up since the rank's start.
    """

    epoch: int = -1
    counts: t.Sequence[int] = ()

    def since_last(self, epoch: int, counts: t.Sequence[int]) -> list[int] | None:
        """Return the increase of ``counts`` since the last call.

        Return ``None`` if the counts aren't comparable with those of the last call, as
        the epoch or the number of counts differs or a count has fallen.
        """
        before, self.counts = self.counts, counts
        is_new = epoch != self.epoch or len(before) != len(counts)
        self.epoch = epoch
        if is_new:
            return None
        new = list(map(operator.sub, counts, before))
        return None if min(new, default=0) < 0 else new


@dataclasses.dataclass
class CountAccumulator:
    """The sum of the samples that haven't been forwarded yet.

    :param counts: the sum; ``None`` if there are no samples.
    """

    counts: list[int] | None = None

    def add(self, counts: t.Sequence[int]) -> None:
        """Add the counts of a sample; counts of a new layout replace the sum."""
        if self.counts is None or len(self.counts) != len(counts):
            self.counts = list(counts)
        else:
            self.counts = list(map(operator.add, self.counts, counts))

    def drain(self) -> list[int] | None:
        """Return the sum, ``None`` if there are no samples, and begin a new one."""
        counts, self.counts = self.counts, None
        return counts
