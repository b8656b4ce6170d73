"""The prefix cache of the stand-in engine; its events can be delayed and lost."""

import collections
import dataclasses
import random
import typing as t

MAX_RECORDED_EVENTS = 10_000

Operation = t.Literal["stored", "evicted"]


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A change of the cache.

    :param sequence: number of the event; a gap between two numbers means that the
        events between them were lost.
    """

    sequence: int
    operation: Operation
    block: str


@dataclasses.dataclass(frozen=True)
class CacheEvents:
    """The visible events after a sequence number.

    :param last: sequence number of the last visible event, also of one that was lost;
        without a visible event, the queried number, but at most that of the last
        recorded event.
    """

    events: t.Sequence[CacheEvent]
    last: int


@dataclasses.dataclass(frozen=True)
class _RecordedEvent:
    event: CacheEvent
    at_ms: float
    lost: bool


class PrefixCache:
    """A cache of prefix blocks that evicts the least recently used ones.

    :param capacity_blocks: the largest number of cached blocks.
    :param seed: seed of the random choice of lost events.
    """

    def __init__(self, capacity_blocks: int, seed: int) -> None:
        self.loss_probability = 0.0
        self._capacity_blocks = capacity_blocks
        self._random = random.Random(seed)
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._recorded: collections.deque[_RecordedEvent] = collections.deque(
            maxlen=MAX_RECORDED_EVENTS
        )
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_prefix(self, blocks: t.Sequence[str]) -> int:
        """Return how many of the leading ``blocks`` are cached."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)

    def use(self, blocks: t.Sequence[str], now_ms: float) -> None:
        """Mark ``blocks`` as most recently used, and evict blocks over the capacity.

        Blocks that are not cached yet are stored.
        """
        # The block of the shortest prefix becomes the most recently used one, so that
        # it is evicted last.
        for block in reversed(blocks):
            if block not in self._blocks:
                self._record("stored", block, now_ms)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("evicted", evicted, now_ms)

    def events(self, after: int, now_ms: float, delay_ms: float) -> CacheEvents:
        """Return the events that a reader sees at ``now_ms``.

        :param after: sequence number; only later events are returned.
        :param delay_ms: age in milliseconds from which on an event is visible.
        """
        visible = [
            recorded
            for recorded in self._recorded
            if recorded.at_ms <= now_ms - delay_ms and recorded.event.sequence > after
        ]
        last = visible[-1].event.sequence if visible else after
        delivered = tuple(recorded.event for recorded in visible if not recorded.lost)
        return CacheEvents(delivered, min(last, self._sequence))

    def _record(self, operation: Operation, block: str, now_ms: float) -> None:
        self._sequence += 1
        lost = self._random.random() < self.loss_probability
        event = CacheEvent(self._sequence, operation, block)
        self._recorded.append(_RecordedEvent(event, now_ms, lost))
