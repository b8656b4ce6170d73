"""A fake engine on a virtual clock, to measure decisions against.

It has a batch of bounded size with a queue before it, one prefill at a time, a
bounded prefix cache, and a speed that can fall to 0. Inside it time is counted
in work: a millisecond of work takes 1 / speed milliseconds on the virtual clock.
"""

import bisect
import dataclasses
import enum
import heapq
import math
import typing as t

from ..routing import prefixes
from ..routing.endpoint_view import CacheEvent, LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """The size and speed of an engine.

    :param step_ms: time of one decoding step at full speed.
    """

    max_batch: int = 48
    step_ms: float = 25.0
    prefill_tokens_per_s: float = 8_000.0
    cache_blocks: int = 750


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request as an engine sees it; one of a higher priority starts first."""

    request_id: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0


class Stage(enum.IntEnum):
    """How far a job has come."""

    FIRST_TOKEN = 0
    FINISHED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Happening:
    """A job that reached a stage, with the blocks it had found in the cache."""

    at_ms: float
    stage: Stage
    job: Job
    cached_blocks: int


@dataclasses.dataclass(slots=True)
class _Running:
    job: Job
    cached_blocks: int


class FakeEngine:
    """One engine; call :meth:`advance` whenever :meth:`next_ms` has come."""

    def __init__(self, host: str, domain: str, options: EngineOptions) -> None:
        self.host = host
        self.domain = domain
        self.options = options
        self.speed = 1.0
        self.cache = prefixes.PrefixIndex(options.cache_blocks)
        self.queue: list[Job] = []
        self.running: dict[str, _Running] = {}
        self._work_ms = 0.0
        self._updated_ms = 0.0
        self._prefill_free_ms = 0.0
        self._due: list[tuple[float, str, Stage]] = []
        self._stored: list[tuple[int, ...]] = []
        self._removed: list[int] = []

    def submit(self, now_ms: float, job: Job) -> None:
        """Take ``job`` into the batch, or into the queue while the batch is full."""
        self._advance_to(now_ms)
        bisect.insort(self.queue, job, key=lambda queued: -queued.priority)
        self._fill_batch()

    def advance(self, now_ms: float) -> list[Happening]:
        """Do the work up to ``now_ms`` and return what happened, in order."""
        events = []
        while self._due and self.next_ms() <= now_ms:
            at_ms = self.next_ms()
            self._advance_to(at_ms)
            _, request_id, stage = heapq.heappop(self._due)
            running = self.running.get(request_id)
            if running is None:
                continue
            events.append(Happening(at_ms, stage, running.job, running.cached_blocks))
            if stage is Stage.FINISHED:
                del self.running[request_id]
                self._fill_batch()
        self._advance_to(now_ms)
        return events

    def cancel(self, now_ms: float, request_id: str) -> None:
        """Drop a job, wherever it is."""
        self._advance_to(now_ms)
        self.running.pop(request_id, None)
        self.queue = [job for job in self.queue if job.request_id != request_id]
        self._fill_batch()

    def set_speed(self, now_ms: float, speed: float) -> None:
        """Go on at ``speed``, 1 being the full one and 0 frozen."""
        self._advance_to(now_ms)
        self.speed = speed

    def next_ms(self) -> float:
        """Return when the next thing happens, or infinity."""
        if not self._due or self.speed <= 0.0:
            return math.inf
        remaining_ms = max(0.0, self._due[0][0] - self._work_ms)
        return self._updated_ms + remaining_ms / self.speed

    def held(self) -> int:
        """Return the jobs in the batch and in the queue."""
        return len(self.running) + len(self.queue)

    def report(self) -> LoadReport:
        """Return the load as an agent would measure it now."""
        running = len(self.running)
        kv_share = min(1.0, running / self.options.max_batch)
        step_ms = self.options.step_ms / max(self.speed, 0.01)
        rate = running * 1_000.0 / step_ms
        return LoadReport(running, len(self.queue), kv_share, step_ms, rate)

    def take_cache_event(self) -> CacheEvent | None:
        """Return what the cache stored and removed since the last call."""
        if not self._stored and not self._removed:
            return None
        stored = tuple(block for blocks in self._stored for block in blocks)
        event = CacheEvent(stored, tuple(self._removed))
        self._stored.clear()
        self._removed.clear()
        return event

    def advance_clock(self, now_ms: float) -> None:
        """Do the work up to ``now_ms``, before which nothing may be due."""
        self._advance_to(now_ms)

    def pending_prefill_ms(self) -> float:
        """Return the time at full speed of the prefills begun and not ended."""
        return max(0.0, self._prefill_free_ms - self._work_ms)

    def first_token_delay_ms(self, job: Job) -> float:
        """Return when ``job`` would get its first token, without queueing it."""
        if self.speed <= 0.0:
            return math.inf
        cached = self.cache.match(job.blocks).blocks
        prefill_ms = self._prefill_ms(job, cached)
        wait_ms = self.pending_prefill_ms()
        if self.held() >= self.options.max_batch:
            wait_ms = max(wait_ms, self._slot_wait_ms(job))
        return (wait_ms + prefill_ms) / self.speed

    def _slot_wait_ms(self, job: Job) -> float:
        position = sum(queued.priority >= job.priority for queued in self.queue)
        ends = [due for due, _, stage in self._due if stage is Stage.FINISHED]
        first = heapq.nsmallest(position + 1, ends)
        if not first:
            return 0.0
        return max(0.0, first[-1] - self._work_ms)

    def _prefill_ms(self, job: Job, cached_blocks: int) -> float:
        tokens = max(1, job.prompt_tokens - cached_blocks * prefixes.BLOCK_TOKENS)
        return tokens * 1_000.0 / self.options.prefill_tokens_per_s

    def _advance_to(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._work_ms += elapsed_ms * self.speed
        self._updated_ms = max(self._updated_ms, now_ms)

    def _fill_batch(self) -> None:
        while self.queue and len(self.running) < self.options.max_batch:
            self._start(self.queue.pop(0))

    def _start(self, job: Job) -> None:
        cached = self.cache.match(job.blocks).blocks
        started_ms = max(self._work_ms, self._prefill_free_ms)
        first_ms = started_ms + self._prefill_ms(job, cached)
        self._prefill_free_ms = first_ms
        end_ms = first_ms + job.output_tokens * self.options.step_ms
        self.running[job.request_id] = _Running(job, cached)
        heapq.heappush(self._due, (first_ms, job.request_id, Stage.FIRST_TOKEN))
        heapq.heappush(self._due, (end_ms, job.request_id, Stage.FINISHED))
        self._removed.extend(self.cache.add(first_ms, job.blocks))
        if cached < len(job.blocks):
            self._stored.append(job.blocks[cached:])


def total_jobs(engines: t.Iterable[FakeEngine]) -> int:
    """Return the jobs that ``engines`` hold together."""
    return sum(engine.held() for engine in engines)
