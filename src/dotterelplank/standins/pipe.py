"""One direction of a connection through the fault-injecting proxy.

:class:`Pipe` is pure: it takes the bytes that came and the present time, and tells
which bytes are to leave. ``standin_proxy`` moves them between sockets.
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
    """Faults of a proxy; "up" is from the caller to the target.

    :param cut: refuse new connections and reset those that stand.
    :param half_open: discard the bytes of a direction without a sign; a connection
        that lost bytes so is reset when the rule is taken back.
    :param hold: keep the bytes of a direction back, and deliver them late.
    :param delay_ms: delay of each direction.
    :param reorder_ms: most further delay of a connection, drawn for each by seed, so
        that what one connection sends first can arrive last.
    :param drop_after_up_bytes: let so many bytes of a connection pass; the next one
        resets it.
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
        """Return whether bytes of a direction are kept back."""
        return self.hold in (direction, "both")

    def limit_bytes(self, direction: Direction) -> int | None:
        """Return how many bytes of a direction may pass."""
        if direction == "up":
            return self.drop_after_up_bytes
        return self.drop_after_down_bytes


def draw_delay_fraction(seed: int, connection: int) -> float:
    """Return the share of ``reorder_ms`` that a connection is delayed by."""
    return random.Random(f"{seed}:{connection}").random()


class Pipe:
    """The bytes of one direction that have come and not yet left.

    :param delay_fraction: share of ``reorder_ms`` that is added to each delay.
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
        """Return whether more bytes should be read from the source."""
        if self.source_closed or self._end_discarded or rules.holds(self.direction):
            return False
        return self._queued_bytes < QUEUE_BYTES

    def receive(self, data: bytes, rules: ProxyRules, now_ms: float) -> None:
        """Take bytes in; none at all mean that the source has closed."""
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
        """Return the bytes that may leave now; :meth:`mark_sent` takes them off."""
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
        """Note that the first ``count_bytes`` of the due bytes have left."""
        due_ms, data = self._queue.popleft()
        if count_bytes < len(data):
            self._queue.appendleft((due_ms, data[count_bytes:]))
        self._queued_bytes -= count_bytes
        self.forwarded_bytes += count_bytes

    def next_due_ms(self) -> float | None:
        """Return when the next bytes may leave, None without any."""
        return self._queue[0][0] if self._queue else None

    def finished(self) -> bool:
        """Return whether the source has closed and all its bytes have left."""
        return self.source_closed and not self._queue

    def must_reset(self, rules: ProxyRules) -> bool:
        """Return whether later bytes would follow a gap, which TCP never shows."""
        lost = self.discarded_bytes > 0 or self._end_discarded
        return self.limit_reached or (lost and not rules.discards(self.direction))
