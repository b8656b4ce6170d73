"""A virtual clock that calls scheduled functions in order of time."""

import heapq
import itertools
import typing as t

Action = t.Callable[[float], None]


class VirtualClock:
    """The scheduled functions; each is called with the time in milliseconds."""

    def __init__(self) -> None:
        self._scheduled: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def at(self, at_ms: float, action: Action) -> None:
        """Call ``action`` at ``at_ms``.

        Actions of the same time run in the order in which they were scheduled.
        """
        heapq.heappush(self._scheduled, (at_ms, next(self._order), action))

    def every(self, first_ms: float, interval_ms: float, action: Action) -> None:
        """Call ``action`` at ``first_ms`` and then once each ``interval_ms``."""

        def repeat(now_ms: float) -> None:
            self.at(now_ms + interval_ms, repeat)
            action(now_ms)

        self.at(first_ms, repeat)

    def run(self, until_ms: float) -> None:
        """Run the actions that are due before ``until_ms``."""
        while self._scheduled and self._scheduled[0][0] < until_ms:
            now_ms, _, action = heapq.heappop(self._scheduled)
            action(now_ms)
