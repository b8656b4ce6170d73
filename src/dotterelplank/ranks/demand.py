"""The recent demand for each expert, computed from the counts of all ranks.

Counts are summed by span, an interval of a few buckets. A shift is an abrupt change of
the demand. It shows as a distance between two spans that is larger than usual: calls
differ in the experts that they choose, so the demand also varies between shifts, the
more, the fewer calls a group has.
"""

import collections
import dataclasses
import operator
import statistics
import typing as t

MIN_BUCKET_MS: t.Final = 75.0
"""The minimum length of a bucket."""
SPAN_BUCKETS: t.Final = 2
"""The number of buckets in a span, as a sample may arrive one bucket late."""
MAX_SPANS: t.Final = 10
"""The number of spans in the longest window."""
MIN_SHIFT_DISTANCE: t.Final = 0.12
MAX_SHIFT_DISTANCE: t.Final = 0.4
"""The bounds of the distance between two spans that indicates a shift."""
DEFAULT_SHIFT_DISTANCE: t.Final = 0.2
"""The distance that indicates a shift until the usual distance is known."""
SHIFT_RATIO: t.Final = 1.8
"""The distance that indicates a shift, as a multiple of the usual distance."""
MIN_DISTANCES: t.Final = 8
"""The number of distances from which the usual one is known."""
MAX_DISTANCES: t.Final = 64
"""The number of recent distances whose median is the usual one."""

Demand = list[list[float]]
"""How often each expert was chosen, by layer and expert."""


@dataclasses.dataclass
class DemandHistory:
    """The experts that the calls of all ranks chose recently.

    :param samples: when each sample was received, and its counts.
    :param bucket_ms: length of a bucket; at least the time between two samples of a
        rank.
    :param distances: recent distances between two successive spans.
    :param compared_ms: when the last of these was measured.
    """

    samples: collections.deque[tuple[float, t.Sequence[int]]] = dataclasses.field(
        default_factory=collections.deque
    )
    bucket_ms: float = MIN_BUCKET_MS
    distances: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_DISTANCES)
    )
    compared_ms: float = 0.0

    @property
    def shift_distance(self) -> float:
        """The distance between two spans above which the demand has shifted."""
        if len(self.distances) < MIN_DISTANCES:
            return DEFAULT_SHIFT_DISTANCE
        usual = statistics.median(self.distances)
        return min(MAX_SHIFT_DISTANCE, max(MIN_SHIFT_DISTANCE, SHIFT_RATIO * usual))

    def add(self, now_ms: float, counts: t.Sequence[int]) -> None:
        """Add counts of some ranks and discard samples that are too old.

        :param counts: choices since the last sample of these ranks, one layer after
            the other.
        """
        self.samples.append((now_ms, counts))
        retention_ms = self.bucket_ms * (MAX_SPANS * SPAN_BUCKETS + 1)
        while now_ms - self.samples[0][0] > retention_ms:
            self.samples.popleft()

    def latest_ms(self) -> float | None:
        """Return when the latest counts were received; ``None`` if there are none."""
        return self.samples[-1][0] if self.samples else None

    def clear(self) -> None:
        """Discard all counts, as the group has formed anew."""
        self.samples.clear()
        self.distances.clear()

    def since_shift(self, now_ms: float, layers: int, experts: int) -> "Window":
        """Return the demand since the last shift, over at most ``MAX_SPANS`` spans.

        :param layers: number of layers of the model.
        :param experts: number of experts of a layer.
        """
        choices = self._span(now_ms, 0, layers * experts)
        self._record_distance(now_ms, choices)
        shift_distance = self.shift_distance
        spans = 1
        while spans < MAX_SPANS:
            # An earlier span is compared with all that follow, as their sum varies
            # less than the latest span alone.
            earlier = self._span(now_ms, spans, layers * experts)
            if distance(choices, earlier) > shift_distance:
                break
            choices = list(map(operator.add, choices, earlier))
            spans += 1
        demand = [
            choices[layer * experts : (layer + 1) * experts] for layer in range(layers)
        ]
        return Window(demand, spans * self.span_ms)

    @property
    def span_ms(self) -> float:
        """The length of a span."""
        return SPAN_BUCKETS * self.bucket_ms

    def _record_distance(self, now_ms: float, latest: t.Sequence[float]) -> None:
        """Record the distance of the latest span from the one before, once a bucket."""
        if now_ms - self.compared_ms < self.bucket_ms:
            return
        earlier = self._span(now_ms, 1, len(latest))
        if sum(latest) and sum(earlier):
            self.compared_ms = now_ms
            self.distances.append(distance(latest, earlier))

    def _span(self, now_ms: float, index: int, size: int) -> list[float]:
        """Return the summed counts of a span; index 0 is the latest span."""
        until_ms = now_ms - index * self.span_ms
        since_ms = until_ms - self.span_ms
        total: list[float] = [0.0] * size
        for received_ms, counts in self.samples:
            if since_ms < received_ms <= until_ms and len(counts) == size:
                total = list(map(operator.add, total, counts))
        return total


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The demand within a window of time.

    :param length_ms: length of the window.
    """

    demand: Demand
    length_ms: float

    @property
    def choices(self) -> float:
        """The total number of choices."""
        return sum(map(sum, self.demand))


def distance(one: t.Sequence[float], other: t.Sequence[float]) -> float:
    """Return the fraction of choices by which two spans differ, from 0 to 1.

    The distance to a span without choices is 0.
    """
    total, other_total = sum(one), sum(other)
    if not total or not other_total:
        return 0.0
    differences = (abs(a / total - b / other_total) for a, b in zip(one, other))
    return sum(differences) / 2
