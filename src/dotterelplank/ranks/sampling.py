"""How often an agent tells the leader of its rank's counts, and what it tells.

The load that this answers: all agents of a large group send to one leader, whose link
takes little.
"""

import dataclasses
import typing as t

LEAST_INTERVAL_MS: t.Final = 75.0
LINK_PART: t.Final = 0.3
"""The part of the leader's link that samples may take."""
PACKET_BYTES: t.Final = 60
"""What a datagram takes besides its data."""


def interval_ms(ranks: int, sample_bytes: int, link_mbps: float) -> float:
    """Return the time between two samples of a rank.

    :param ranks: ranks that send to one leader.
    :param sample_bytes: size of a sample.
    :param link_mbps: what the leader's host can take in, in millions of bits a second.
    """
    round_bits = ranks * (sample_bytes + PACKET_BYTES) * 8
    round_ms = round_bits / (link_mbps * 1000 * LINK_PART)
    return max(LEAST_INTERVAL_MS, round_ms)


@dataclasses.dataclass
class Counter:
    """The counts of a rank as they were told last."""

    epoch: int = -1
    counts: t.Sequence[int] = ()

    def since_last(self, epoch: int, counts: t.Sequence[int]) -> list[int] | None:
        """Return what was counted since the last call; none if that can't be told."""
        before, self.counts = self.counts, counts
        is_new = epoch != self.epoch or len(before) != len(counts)
        self.epoch = epoch
        if is_new or any(now < then for now, then in zip(counts, before)):
            return None
        return [now - then for now, then in zip(counts, before)]
