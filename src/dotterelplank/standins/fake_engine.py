"""A fake engine on a virtual clock, with which benches measure routing decisions.

The engine has a batch of bounded size, a queue for further jobs, one prefill at a
time, a bounded prefix cache, and a speed that can fall to 0. Its internal times are
in milliseconds of work: one of these takes 1 / speed milliseconds on the virtual
clock.
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

    :param max_batch: largest number of jobs in the batch.
    :param step_ms: time of one decoding step at full speed.
    :param prefill_tokens_per_s: prompt tokens that are processed in a second at full
        speed.
    :param cache_blocks: capacity of the prefix cache in blocks.
    """

    max_batch: int = 48
    step_ms: float = 25.0
    prefill_tokens_per_s: float = 8_000.0
    cache_blocks: int = 750


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request as an engine sees it.

    :param blocks: hashes of the prompt's prefix blocks.
    :param priority: waiting jobs with a higher number start earlier.
    """

    request_id: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0


class Stage(enum.IntEnum):
    """The points in the execution of a job that the engine reports."""

    FIRST_TOKEN = 0
    FINISHED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class JobEvent:
    """An event: a job has reached a stage.

    :param at_ms: time of the event on the virtual clock.
    :param cached_blocks: blocks of the prompt that were cached at the job's start.
    """

    at_ms: float
    stage: Stage
    job: Job
    cached_blocks: int


@dataclasses.dataclass(slots=True)
class _Running:
    job: Job
    cached_blocks: int


class FakeEngine:
    """A simulated engine.

    The caller runs the virtual clock and calls :meth:`advance` at the time that
    :meth:`next_ms` returns.
    """

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
        """Add ``job`` to the batch, or to the queue if the batch is full."""
        self._advance_to(now_ms)
        bisect.insort(self.queue, job, key=lambda queued: -queued.priority)
        self._fill_batch()

    def advance(self, now_ms: float) -> list[JobEvent]:
        """Advance the engine to ``now_ms`` and return the events, earliest first."""
        events = []
        while self._due and self.next_ms() <= now_ms:
            at_ms = self.next_ms()
            self._advance_to(at_ms)
            _, request_id, stage = heapq.heappop(self._due)
            running = self.running.get(request_id)
            if running is None:
                continue
            events.append(JobEvent(at_ms, stage, running.job, running.cached_blocks))
            if stage is Stage.FINISHED:
                del self.running[request_id]
                self._fill_batch()
        self._advance_to(now_ms)
        return events

    def cancel(self, now_ms: float, request_id: str) -> None:
        """Remove a job from the batch or the queue."""
        self._advance_to(now_ms)
        self.running.pop(request_id, None)
        self.queue = [job for job in self.queue if job.request_id != request_id]
        self._fill_batch()

    def set_speed(self, now_ms: float, speed: float) -> None:
        """Set the speed of the work after ``now_ms``: 1 is full speed, 0 is frozen."""
        self._advance_to(now_ms)
        self.speed = speed

    def next_ms(self) -> float:
        """Return the time at which :meth:`advance` is to be called next.

        At that time a job reaches a stage, unless it was cancelled. The time is
        infinite if nothing is due, and while the engine is frozen.
        """
        if not self._due or self.speed <= 0.0:
            return math.inf
        remaining_ms = max(0.0, self._due[0][0] - self._work_ms)
        return self._updated_ms + remaining_ms / self.speed

    def job_count(self) -> int:
        """Return the number of jobs in the batch and the queue."""
        return len(self.running) + len(self.queue)

    def report(self) -> LoadReport:
        """Return the load that an agent would measure now."""
        running = len(self.running)
        kv_share = min(1.0, running / self.options.max_batch)
        step_ms = self.options.step_ms / max(self.speed, 0.01)
        rate = running * 1_000.0 / step_ms
        return LoadReport(running, len(self.queue), kv_share, step_ms, rate)

    def pop_cache_event(self) -> CacheEvent | None:
        """Return the blocks that the cache has stored and removed since the last call.

        :return: None if there are none.
        """
        if not self._stored and not self._removed:
            return None
        stored = tuple(block for blocks in self._stored for block in blocks)
        event = CacheEvent(stored, tuple(self._removed))
        self._stored.clear()
        self._removed.clear()
        return event

    def advance_clock(self, now_ms: float) -> None:
        """Advance the engine to ``now_ms``; no event may be due before that time."""
        self._advance_to(now_ms)

    def pending_prefill_ms(self) -> float:
        """Return the time in ms that the unfinished prefills take at full speed.

        The prefill of a cancelled job still counts.
        """
        return max(0.0, self._prefill_free_ms - self._work_ms)

    def first_token_delay_ms(self, job: Job) -> float:
        """Return the estimated time in ms until the first token of ``job``.

        The job isn't submitted. The time is infinite while the engine is frozen.
        """
        if self.speed <= 0.0:
            return math.inf
        cached = self.cache.match(job.blocks).blocks
        prefill_ms = self._prefill_ms(job, cached)
        wait_ms = self.pending_prefill_ms()
        if self.job_count() >= self.options.max_batch:
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
    """Return the number of jobs in the batches and queues of all ``engines``."""
    return sum(engine.job_count() for engine in engines)
