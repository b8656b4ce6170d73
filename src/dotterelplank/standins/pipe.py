"""One direction of a connection through the fault-injecting proxy.

:class:`Pipe` reads no clock and does no I/O: it gets the received bytes and the
current time, and returns the bytes to send. The module ``connection`` moves them
between sockets.
"""

import collections
import random
import typing as t

import pydantic

from . import http as standin_http

QUEUE_BYTES = 256 * 1024

Direction = t.Literal["up", "down"]
Directions = t.Literal["none", "up", "down", "both"]


class ProxyRules(standin_http.StrictModel):
    """Faults of a proxy; "up" is the direction from the caller to the target.

    :param cut: refuse new connections and reset open ones.
    :param half_open: direction whose bytes are discarded, while the connection stays
        open. A connection that lost bytes this way is reset when the rule ends.
    :param hold: direction whose bytes aren't read until the rule ends.
    :param delay_ms: delay of each direction.
    :param reorder_ms: upper bound of an additional random delay, which is constant for
        each connection. It reorders the bytes of different connections.
    :param drop_after_up_bytes: number of bytes that a connection may send up; it is
        reset at the next byte.
    :param drop_after_down_bytes: the same for the direction down.
    """

    cut: bool = False
    half_open: Directions = "none"
    hold: Directions = "none"
    delay_ms: float = pydantic.Field(default=0.0, ge=0, le=standin_http.MAX_WAIT_MS)
    reorder_ms: float = pydantic.Field(default=0.0, ge=0, le=standin_http.MAX_WAIT_MS)
    drop_after_up_bytes: int | None = pydantic.Field(default=None, ge=0)
    drop_after_down_bytes: int | None = pydantic.Field(default=None, ge=0)

    def discards(self, direction: Direction) -> bool:
        """Return whether bytes of a direction are discarded."""
        return self.half_open in (direction, "both")

    def holds(self, direction: Direction) -> bool:
        """Return whether bytes of a direction are held back."""
        return self.hold in (direction, "both")

    def limit_bytes(self, direction: Direction) -> int | None:
        """Return how many bytes may be sent in a direction, None without a limit."""
        if direction == "up":
            return self.drop_after_up_bytes
        return self.drop_after_down_bytes


def draw_delay_fraction(seed: int, connection: int) -> float:
    """Return the fraction of ``reorder_ms`` by which a connection is delayed.

    :param connection: number of the connection; with the seed, it determines the
        result.
    """
    return random.Random(f"{seed}:{connection}").random()


class Pipe:
    """A queue of the bytes of one direction that were received and not yet sent.

    :param delay_fraction: fraction of ``reorder_ms`` that is added to each delay.
    """

    def __init__(self, direction: Direction, delay_fraction: float) -> None:
        self.direction = direction
        self.forwarded_bytes = 0
        self.discarded_bytes = 0
        self.source_closed = False
        self.limit_reached = False
        self._delay_fraction = delay_fraction
        self._end_discarded = False
        self._queue: collections.deque[tuple[float, bytes]] = collections.deque()
        self._queued_bytes = 0
        self._last_due_ms = float("-inf")

    def wants_bytes(self, rules: ProxyRules) -> bool:
        """Return whether more bytes are to be read from the source."""
        if self.source_closed or self._end_discarded or rules.holds(self.direction):
            return False
        return self._queued_bytes < QUEUE_BYTES

    def receive(self, data: bytes, rules: ProxyRules, now_ms: float) -> None:
        """Add received bytes to the queue, or discard them if the rules say so.

        :param data: the bytes; empty when the source has closed its side.
        """
        if rules.discards(self.direction):
            self.discarded_bytes += len(data)
            self._end_discarded = self._end_discarded or not data
            return
        if not data:
            self.source_closed = True
            return
        delay_ms = rules.delay_ms + rules.reorder_ms * self._delay_fraction
        self._last_due_ms = max(self._last_due_ms, now_ms + delay_ms)
        self._queue.append((self._last_due_ms, data))
        self._queued_bytes += len(data)

    def due_bytes(self, rules: ProxyRules, now_ms: float) -> bytes:
        """Return bytes that may be sent now; :meth:`mark_sent` removes them.

        An empty result can also mean that the limit of the rules is reached, in which
        case :meth:`must_reset` becomes true.
        """
        if not self._queue or self._queue[0][0] > now_ms:
            return b""
        data = self._queue[0][1]
        limit_bytes = rules.limit_bytes(self.direction)
        if limit_bytes is None:
            return data
        remaining_bytes = max(0, limit_bytes - self.forwarded_bytes)
        self.limit_reached = remaining_bytes == 0
        return data[:remaining_bytes]

    def mark_sent(self, count_bytes: int) -> None:
        """Remove the first ``count_bytes`` of the due bytes, which were sent."""
        due_ms, data = self._queue.popleft()
        if count_bytes < len(data):
            self._queue.appendleft((due_ms, data[count_bytes:]))
        self._queued_bytes -= count_bytes
        self.forwarded_bytes += count_bytes

    def next_due_ms(self) -> float | None:
        """Return when the next bytes may be sent, or None if the queue is empty."""
        return self._queue[0][0] if self._queue else None

    def finished(self) -> bool:
        """Return whether the source has closed and all its bytes were sent."""
        return self.source_closed and not self._queue

    def must_reset(self, rules: ProxyRules) -> bool:
        """Return whether the connection must be reset under ``rules``.

        This is the case when a byte beyond the limit was due, or when earlier bytes
        were discarded and later ones would be sent: TCP never delivers bytes that
        follow a gap.
        """
        lost = self.discarded_bytes > 0 or self._end_discarded
        return self.limit_reached or (lost and not rules.discards(self.direction))
