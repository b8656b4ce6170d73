"""How old an entry's knowledge of the store may get before the entry reads it itself.

A published change must be in force within a bound, also if the entries that watch the
store get no answers. The bound covers noticing that, reading the store, and applying
what was read.
"""

import dataclasses
import math
import typing as t

from .host import Bounds

WATCH_RATIO: t.Final = 0.5
"""The part of the bound that a watch of the store waits for a change."""
MAX_AGE_RATIO: t.Final = 0.7
"""The part of the bound after which an entry asks the store itself.

It is longer than a watch by the interval of heartbeats, which tell of its end.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTimes:
    """When the store is read.

    :param watch_ms: how long a watch waits for a change.
    :param max_age_ms: age of what is known from which an entry reads the store.
    """

    watch_ms: float
    max_age_ms: float


def read_times(bounds: Bounds) -> ReadTimes:
    """Return when the store is to be read to keep the users' bounds."""
    bound_ms = min(bounds.leave_ms, bounds.sync_ms)
    return ReadTimes(bound_ms * WATCH_RATIO, bound_ms * MAX_AGE_RATIO)


@dataclasses.dataclass
class Freshness:
    """Up to when this entry knows the store's content.

    :param known_ms: all that was published before this time is known here, from the
        store or from a peer; None: nothing is known.
    :param asked_ms: time of the request that the store hasn't answered yet; None: there
        is none.
    """

    known_ms: float | None = None
    asked_ms: float | None = None

    def record_request(self, now_ms: float) -> None:
        """Record that the store is asked."""
        self.asked_ms = now_ms

    def record_answer(self, known_ms: float) -> None:
        """Record that the store has answered with all published before ``known_ms``."""
        self.asked_ms = None
        self.record_known(known_ms)

    def record_known(self, known_ms: float) -> None:
        """Record that all published before ``known_ms`` is known."""
        if self.known_ms is None or self.known_ms < known_ms:
            self.known_ms = known_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the age of what is known; infinite if nothing is."""
        return math.inf if self.known_ms is None else now_ms - self.known_ms

    def silent_ms(self, now_ms: float) -> float:
        """Return how long the store has left a request without an answer."""
        return 0.0 if self.asked_ms is None else now_ms - self.asked_ms
