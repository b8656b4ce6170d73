"""Which experts are in demand now, from the counts of all ranks."""

import collections
import dataclasses
import typing as t

KEPT_MS: t.Final = 1_500.0
BLOCK_MS: t.Final = 150.0
"""Length of the pieces of time that are compared with each other."""
BLOCKS: t.Final = 5
SHIFT_DISTANCE: t.Final = 0.2
"""Part of the choices that differ between pieces of time after a shift."""

Demand = list[list[float]]
"""How often each expert was chosen, by layer and expert."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The counts of a rank up to a time, from when it was first heard."""

    read_ms: float
    counts: t.Sequence[int]


@dataclasses.dataclass
class Demands:
    """The latest readings of all ranks."""

    by_rank: dict[int, collections.deque[Reading]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, now_ms: float, rank: int, counts: t.Sequence[int]) -> None:
        """Take in what was counted at a rank since the sample before."""
        readings = self.by_rank.setdefault(rank, collections.deque())
        if not readings or len(readings[-1].counts) != len(counts):
            readings.clear()
            readings.append(Reading(now_ms, [0] * len(counts)))
        before = readings[-1].counts
        total = [then + new for then, new in zip(before, counts)]
        readings.append(Reading(now_ms, total))
        while len(readings) > 2 and now_ms - readings[1].read_ms > KEPT_MS:
            readings.popleft()

    def clear(self) -> None:
        """Forget everything, as the group has formed anew."""
        self.by_rank.clear()

    def since_shift(self, now_ms: float, layers: int, experts: int) -> "Window":
        """Return what was chosen lately, as far back as it was chosen alike.

        Right after a shift that is little; the longer demand is steady, the more, up
        to a bound.
        """
        choices = self._block(now_ms, 0, layers * experts)
        blocks = 1
        while blocks < BLOCKS:
            earlier = self._block(now_ms, blocks, layers * experts)
            if distance(choices, earlier) > SHIFT_DISTANCE:
                break
            choices = [now + before for now, before in zip(choices, earlier)]
            blocks += 1
        demand = [
            choices[layer * experts : (layer + 1) * experts] for layer in range(layers)
        ]
        return Window(demand, blocks * BLOCK_MS)

    def _block(self, now_ms: float, number: int, size: int) -> list[float]:
        """Return the choices of a piece of time; number 0 is the latest."""
        until_ms = now_ms - number * BLOCK_MS
        total = [0.0] * size
        for readings in self.by_rank.values():
            latest = _reading_before(readings, until_ms).counts
            earlier = _reading_before(readings, until_ms - BLOCK_MS).counts
            if len(latest) != size:
                continue
            for index, count in enumerate(latest):
                total[index] += count - earlier[index]
        return total


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """What was chosen in a span of time."""

    demand: Demand
    span_ms: float

    @property
    def choices(self) -> float:
        """How many choices there were."""
        return sum(map(sum, self.demand))


def distance(one: t.Sequence[float], other: t.Sequence[float]) -> float:
    """Return the part of the choices by which two pieces of time differ, 0 to 1.

    A piece without choices differs from none.
    """
    total, other_total = sum(one), sum(other)
    if not total or not other_total:
        return 0.0
    differences = (abs(a / total - b / other_total) for a, b in zip(one, other))
    return sum(differences) / 2


def _reading_before(readings: t.Sequence[Reading], before_ms: float) -> Reading:
    found = readings[0]
    for reading in readings:
        if reading.read_ms > before_ms:
            break
        found = reading
    return found
