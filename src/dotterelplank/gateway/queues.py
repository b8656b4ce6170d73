"""The calls that wait for a place, the most urgent and then the oldest first."""

import bisect
import dataclasses
import typing as t

from .directory import Endpoint


@dataclasses.dataclass(order=True)
class Waiting:
    """A call that waits.

    :param priority: 0 is the most urgent.
    :param arrived_ms: when the call had been read.
    :param tried: ids of endpoints that it isn't to be sent to again.
    :param on_admitted: called with the endpoint once there is a place.
    """

    priority: tuple[int, ...]
    arrived_ms: float
    number: int
    tried: frozenset[str] = dataclasses.field(compare=False)
    on_admitted: t.Callable[[Endpoint], None] = dataclasses.field(compare=False)


@dataclasses.dataclass
class Queue:
    """The calls of one service that wait."""

    waiting: list[Waiting] = dataclasses.field(default_factory=list)

    def join(self, call: Waiting) -> None:
        """Add a call at its place in the queue."""
        bisect.insort(self.waiting, call)

    def leave(self, call: Waiting) -> None:
        """Take a call out, if it still waits."""
        self.waiting = [other for other in self.waiting if other is not call]

    def ahead_of(self, priority: tuple[int, ...], arrived_ms: float) -> int:
        """Return how many calls go before one of this priority and age."""
        key = (priority, arrived_ms)
        return sum((one.priority, one.arrived_ms) <= key for one in self.waiting)


Find = t.Callable[[Waiting], Endpoint | None]


def admit(queue: Queue, find: Find) -> None:
    """Admit calls from the front of the queue while there are places.

    :param find: returns a place for a call and counts it as taken, or none.
    """
    for call in list(queue.waiting):
        endpoint = find(call)
        if endpoint is None:
            return
        queue.leave(call)
        call.on_admitted(endpoint)
