"""The recent demand for each expert, computed from the counts of all ranks.

Counts are summed by bucket, an interval of fixed length. A shift is an abrupt change of
the demand. It shows as a distance between two buckets.
"""

import collections
import dataclasses
import math
import operator
import typing as t

MIN_BUCKET_MS: t.Final = 75.0
"""The minimum length of a bucket."""
MAX_BUCKETS: t.Final = 10
"""The number of buckets in the longest window."""
MIN_SHIFT_DISTANCE: t.Final = 0.12
MAX_SHIFT_DISTANCE: t.Final = 0.2
"""The bounds of the distance between two buckets that indicates a shift."""
SINGLE_RANK_NOISE: t.Final = 0.8
"""The distance that the few calls of a single rank may cause without a shift."""

Demand = list[list[float]]
"""How often each expert was chosen, by layer and expert."""


@dataclasses.dataclass
class DemandHistory:
    """The experts that the calls of all ranks chose recently.

    :param samples: when each sample was received, and its counts.
    :param bucket_ms: length of a bucket; at least the time between two samples of a
        rank.
    :param shift_distance: a larger distance between two buckets indicates a shift.
    """

    samples: collections.deque[tuple[float, t.Sequence[int]]] = dataclasses.field(
        default_factory=collections.deque
    )
    bucket_ms: float = MIN_BUCKET_MS
    shift_distance: float = MAX_SHIFT_DISTANCE

    def add(self, now_ms: float, counts: t.Sequence[int]) -> None:
        """Add counts of some ranks and discard samples that are too old.

        :param counts: choices since the last sample of these ranks, one layer after
            the other.
        """
        self.samples.append((now_ms, counts))
        retention_ms = self.bucket_ms * (MAX_BUCKETS + 1)
        while now_ms - self.samples[0][0] > retention_ms:
            self.samples.popleft()

    def latest_ms(self) -> float | None:
        """Return when the latest counts were received; ``None`` if there are none."""
        return self.samples[-1][0] if self.samples else None

    def clear(self) -> None:
        """Discard all counts, as the group has formed anew."""
        self.samples.clear()

    def since_shift(self, now_ms: float, layers: int, experts: int) -> "Window":
        """Return the demand since the last shift, over at most ``MAX_BUCKETS`` buckets.

        :param layers: number of layers of the model.
        :param experts: number of experts of a layer.
        """
        latest = choices = self._bucket(now_ms, 0, layers * experts)
        buckets = 1
        while buckets < MAX_BUCKETS:
            # Each bucket is compared with the latest one: the counts of a shift arrive
            # gradually, so neighbouring buckets may differ only a little.
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
        """Return the summed counts of a bucket; index 0 is the latest bucket."""
        until_ms = now_ms - index * self.bucket_ms
        since_ms = until_ms - self.bucket_ms
        total: list[float] = [0.0] * size
        for received_ms, counts in self.samples:
            if since_ms < received_ms <= until_ms and len(counts) == size:
                total = list(map(operator.add, total, counts))
        return total


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The demand within a span of time.

    :param span_ms: length of the span.
    """

    demand: Demand
    span_ms: float

    @property
    def choices(self) -> float:
        """The total number of choices."""
        return sum(map(sum, self.demand))


def shift_distance(ranks: int) -> float:
    """Return the distance above which two buckets indicate a shift and not just noise.

    The noise falls with the square root of the number of ranks.
    """
    noise = SINGLE_RANK_NOISE / math.sqrt(ranks)
    return min(MAX_SHIFT_DISTANCE, max(MIN_SHIFT_DISTANCE, noise))


def distance(one: t.Sequence[float], other: t.Sequence[float]) -> float:
    """Return the fraction of choices by which two buckets differ, from 0 to 1.

    The distance to a bucket without choices is 0.
    """
    total, other_total = sum(one), sum(other)
    if not total or not other_total:
        return 0.0
    differences = (abs(a / total - b / other_total) for a, b in zip(one, other))
    return sum(differences) / 2
