"""The time between the head of an answer and its first event, by service.

Servers that send the head as they begin to write show by it which of their calls they
were answering when they crashed. Others send it as soon as a call arrives.
"""

import collections
import dataclasses
import typing as t

MAX_HEAD_GAP_RATIO: t.Final = 0.1
"""Largest share of the time to the first event that passes after the head, at servers
that send the head as they begin to write."""
MIN_ANSWERS: t.Final = 5
SMOOTHING_RATIO: t.Final = 0.1
"""Weight of a new value in the moving average."""


@dataclasses.dataclass
class HeadGaps:
    """How long the first event of an answer comes after its head, by service.

    :param ratios: moving average of the share of the time to the first event that
        passes after the head.
    :param counts: number of answers seen.
    """

    ratios: dict[str, float] = dataclasses.field(default_factory=dict)
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def record(self, service: str, head_ms: float, first_event_ms: float) -> None:
        """Record the times from the send of a call to the head and the first event."""
        ratio = 1.0 - head_ms / first_event_ms if first_event_ms > 0 else 0.0
        before = self.ratios.get(service, ratio)
        self.ratios[service] = before + SMOOTHING_RATIO * (ratio - before)
        self.counts[service] += 1

    def are_short(self, service: str) -> bool:
        """Return whether the service is known to send heads with the first events."""
        if self.counts[service] < MIN_ANSWERS:
            return False
        return self.ratios[service] < MAX_HEAD_GAP_RATIO
