"""Which experts are in demand now, from the counts of all ranks."""

import collections
import dataclasses
import typing as t

KEPT_MS: t.Final = 1_500.0

Demand = list[list[float]]
"""How often each expert was chosen, by layer and expert."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The counts of a rank, as read at a time."""

    read_ms: float
    counts: t.Sequence[int]


@dataclasses.dataclass
class Demands:
    """The latest readings of all ranks."""

    by_rank: dict[int, collections.deque[Reading]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, now_ms: float, rank: int, counts: t.Sequence[int]) -> None:
        """Take in the counts of a rank; a rank that began anew has lower ones."""
        readings = self.by_rank.setdefault(rank, collections.deque())
        if readings and sum(counts) < sum(readings[-1].counts):
            readings.clear()
        readings.append(Reading(now_ms, counts))
        while len(readings) > 2 and now_ms - readings[1].read_ms > KEPT_MS:
            readings.popleft()

    def clear(self) -> None:
        """Forget everything, as the group has formed anew."""
        self.by_rank.clear()

    def window(
        self, now_ms: float, window_ms: float, layers: int, experts: int
    ) -> Demand:
        """Return what was chosen in the last ``window_ms``, summed over all ranks."""
        total = [0] * (layers * experts)
        for readings in self.by_rank.values():
            earlier = _reading_before(readings, now_ms - window_ms)
            latest = readings[-1].counts
            if len(latest) != len(total):
                continue
            for index, count in enumerate(latest):
                total[index] += count - earlier.counts[index]
        return [
            [float(count) for count in total[layer * experts : (layer + 1) * experts]]
            for layer in range(layers)
        ]


def _reading_before(readings: t.Sequence[Reading], before_ms: float) -> Reading:
    found = readings[0]
    for reading in readings:
        if reading.read_ms > before_ms:
            break
        found = reading
    return found
