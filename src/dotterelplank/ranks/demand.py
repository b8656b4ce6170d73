"""Which experts are in demand now, from the counts of all ranks."""

import collections
import dataclasses
import math
import operator
import typing as t

MIN_BUCKET_MS: t.Final = 75.0
"""Least length of the pieces of time that are compared with each other."""
MAX_BUCKETS: t.Final = 10
MIN_SHIFT_DISTANCE: t.Final = 0.12
MAX_SHIFT_DISTANCE: t.Final = 0.2
"""Part of the choices that differ between pieces of time after a shift."""
SINGLE_RANK_NOISE: t.Final = 0.8
"""How far the choices of one rank's few calls may differ between pieces of time."""

Demand = list[list[float]]
"""How often each expert was chosen, by layer and expert."""


@dataclasses.dataclass
class DemandHistory:
    """What all ranks chose lately.

    :param samples: when counts came in, and these.
    :param bucket_ms: length of the pieces of time that are compared; not less than the
        time between two samples of a rank.
    :param shift_distance: from here on two pieces lie on both sides of a shift.
    """

    samples: collections.deque[tuple[float, t.Sequence[int]]] = dataclasses.field(
        default_factory=collections.deque
    )
    bucket_ms: float = MIN_BUCKET_MS
    shift_distance: float = MAX_SHIFT_DISTANCE

    def add(self, now_ms: float, counts: t.Sequence[int]) -> None:
        """Take in what some ranks counted since their sample before."""
        self.samples.append((now_ms, counts))
        retention_ms = self.bucket_ms * (MAX_BUCKETS + 1)
        while now_ms - self.samples[0][0] > retention_ms:
            self.samples.popleft()

    def latest_ms(self) -> float | None:
        """Return when the latest counts came in."""
        return self.samples[-1][0] if self.samples else None

    def clear(self) -> None:
        """Forget everything, as the group has formed anew."""
        self.samples.clear()

    def since_shift(self, now_ms: float, layers: int, experts: int) -> "Window":
        """Return what was chosen lately, as far back as it was chosen alike.

        Right after a shift that is little; the longer demand is steady, the more, up
        to a bound.
        """
        latest = choices = self._bucket(now_ms, 0, layers * experts)
        buckets = 1
        while buckets < MAX_BUCKETS:
            # Against the latest alone, as word of a shift comes in by and by.
            earlier = self._bucket(now_ms, buckets, layers * experts)
            if distance(latest, earlier) > self.shift_distance:
                break
            choices = list(map(operator.add, choices, earlier))
            buckets += 1
        demand = [
            choices[layer * experts : (layer + 1) * experts] for layer in range(layers)
        ]
        return Window(demand, buckets * self.bucket_ms)

    def _bucket(self, now_ms: float, index: int, size: int) -> list[float]:
        """Return the choices of a piece of time; number 0 is the latest."""
        until_ms = now_ms - index * self.bucket_ms
        since_ms = until_ms - self.bucket_ms
        total: list[float] = [0.0] * size
        for received_ms, counts in self.samples:
            if since_ms < received_ms <= until_ms and len(counts) == size:
                total = list(map(operator.add, total, counts))
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


def shift_distance(ranks: int) -> float:
    """Return what tells a shift from noise: less, the more ranks have calls."""
    noise = SINGLE_RANK_NOISE / math.sqrt(ranks)
    return min(MAX_SHIFT_DISTANCE, max(MIN_SHIFT_DISTANCE, noise))


def distance(one: t.Sequence[float], other: t.Sequence[float]) -> float:
    """Return the part of the choices by which two pieces of time differ, 0 to 1.

    A piece without choices differs from none.
    """
    total, other_total = sum(one), sum(other)
    if not total or not other_total:
        return 0.0
    differences = (abs(a / total - b / other_total) for a, b in zip(one, other))
    return sum(differences) / 2
