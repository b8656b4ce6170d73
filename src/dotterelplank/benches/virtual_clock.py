"""A virtual clock, on which benches run acts in order of time."""

import heapq
import itertools
import typing as t

Act = t.Callable[[float], None]


class VirtualClock:
    """Acts and when they are due; each is called with the time in milliseconds."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Act]] = []
        self._order = itertools.count()

    def at(self, at_ms: float, act: Act) -> None:
        """Call ``act`` at ``at_ms``; acts of one time run in the order given."""
        heapq.heappush(self._due, (at_ms, next(self._order), act))

    def every(self, first_ms: float, interval_ms: float, act: Act) -> None:
        """Call ``act`` at ``first_ms`` and after each interval from then on."""

        def again(now_ms: float) -> None:
            self.at(now_ms + interval_ms, again)
            act(now_ms)

        self.at(first_ms, again)

    def run(self, until_ms: float) -> None:
        """Run what is due before ``until_ms``."""
        while self._due and self._due[0][0] < until_ms:
            now_ms, _, act = heapq.heappop(self._due)
            act(now_ms)
