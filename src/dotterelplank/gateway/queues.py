"""Queues of calls that wait for a slot: the most urgent first, then the oldest."""

import bisect
import dataclasses
import typing as t

from .directory import Endpoint


@dataclasses.dataclass(order=True)
class QueuedCall:
    """A call that waits for a slot.

    :param priority: priorities of the call, compared in order; 0 is the most urgent.
    :param arrived_ms: time at which the call had been read.
    :param number: order in which calls were queued; breaks ties.
    :param tried: ids of endpoints that the call must not be sent to again.
    :param on_admitted: called with the endpoint once a slot was acquired.
    """

    priority: tuple[int, ...]
    arrived_ms: float
    number: int
    tried: frozenset[str] = dataclasses.field(compare=False)
    on_admitted: t.Callable[[Endpoint], None] = dataclasses.field(compare=False)


@dataclasses.dataclass
class Queue:
    """The waiting calls of one service, in the order in which they get slots."""

    waiting: list[QueuedCall] = dataclasses.field(default_factory=list)

    def add(self, call: QueuedCall) -> None:
        """Insert a call by its priority and age."""
        bisect.insort(self.waiting, call)

    def remove(self, call: QueuedCall) -> None:
        """Remove a call, if it still waits."""
        self.waiting = [other for other in self.waiting if other is not call]

    def count_ahead(self, priority: tuple[int, ...], arrived_ms: float) -> int:
        """Return how many waiting calls come before one of this priority and age."""
        key = (priority, arrived_ms)
        return sum(
            (queued_call.priority, queued_call.arrived_ms) <= key
            for queued_call in self.waiting
        )


AcquireSlot = t.Callable[[QueuedCall], Endpoint | None]


def admit(queue: Queue, acquire_slot: AcquireSlot) -> None:
    """Admit calls from the front of the queue while slots are free.

    :param acquire_slot: acquires a slot for a call and returns its endpoint; returns
        ``None`` if no slot is free.
    """
    for call in list(queue.waiting):
        endpoint = acquire_slot(call)
        if endpoint is None:
            return
        queue.remove(call)
        call.on_admitted(endpoint)
