"""The calls that wait for a place, the most urgent and then the oldest first."""

import bisect
import dataclasses
import typing as t

from .directory import Endpoint


@dataclasses.dataclass(order=True)
class QueuedCall:
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

    waiting: list[QueuedCall] = dataclasses.field(default_factory=list)

    def add(self, call: QueuedCall) -> None:
        """Add a call at its place in the queue."""
        bisect.insort(self.waiting, call)

    def remove(self, call: QueuedCall) -> None:
        """Take a call out, if it still waits."""
        self.waiting = [other for other in self.waiting if other is not call]

    def count_ahead(self, priority: tuple[int, ...], arrived_ms: float) -> int:
        """Return how many calls go before one of this priority and age."""
        key = (priority, arrived_ms)
        return sum(
            (queued_call.priority, queued_call.arrived_ms) <= key
            for queued_call in self.waiting
        )


AcquireSlot = t.Callable[[QueuedCall], Endpoint | None]


def admit(queue: Queue, acquire_slot: AcquireSlot) -> None:
    """Admit calls from the front of the queue while there are places.

    :param acquire_slot: returns a place for a call and counts it as taken, or none.
    """
    for call in list(queue.waiting):
        endpoint = acquire_slot(call)
        if endpoint is None:
            return
        queue.remove(call)
        call.on_admitted(endpoint)
