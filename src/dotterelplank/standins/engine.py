"""A stand-in for one model server: its queue, decoding steps, prefix cache and orders.

:class:`EngineState` reads no clock and does no I/O: its methods get the current time
as an argument. The module ``engine_http`` serves it.
"""

import collections
import dataclasses
import heapq
import math
import typing as t

import pydantic

from ..errors import StandinRefusalError
from . import http as standin_http
from .cache import CacheEvents, PrefixCache
from .orders import OrderQueue, PendingOrder
from .tokens import Message, expected_tokens, prefix_blocks, prompt_digest, token_at

__all__ = ["EngineState", "expected_tokens", "prefix_blocks"]

MAX_COUNTED_REQUESTS = 100_000
MAX_LOAD_SAMPLES = 4096
TOKENS_PER_KV_BLOCK = 16
RETRY_AFTER_S = 1

Finish = t.Literal["length", "cancelled", "died"]


class EngineSettings(standin_http.StrictModel):
    """Size and speed of an engine.

    :param base_step_ms: constant part of the time of a step.
    :param per_running_ms: additional step time for each running request.
    :param prefill_block_ms: additional step time for each prompt block that isn't
        cached.
    :param max_running: size of the batch.
    :param max_waiting: largest number of waiting requests while the batch is full.
    :param cache_blocks: capacity of the prefix cache in blocks.
    :param kv_blocks: number of KV blocks of the engine, for the reported use.
    :param refuses_old_fences: whether an order is refused when its fencing number is
        below the highest that the engine has received.
    :param models: the models that are loaded at the start; if empty, every model is
        served.
    :param seed: seed of the random choice of lost cache events.
    """

    base_step_ms: float = pydantic.Field(default=20.0, gt=0)
    per_running_ms: float = pydantic.Field(default=0.5, ge=0)
    prefill_block_ms: float = pydantic.Field(default=2.0, ge=0)
    max_running: int = pydantic.Field(default=16, ge=1)
    max_waiting: int = pydantic.Field(default=1024, ge=0)
    cache_blocks: int = pydantic.Field(default=512, ge=0)
    kv_blocks: int = pydantic.Field(default=2048, ge=1)
    refuses_old_fences: bool = True
    models: list[str] = []
    role: str = "mixed"
    seed: int = 0


class EngineFaults(standin_http.StrictModel):
    """Faults of an engine; a control call changes only those that it names.

    :param freeze: the engine executes no step and answers no call.
    :param slow_factor: factor on the time of each step.
    :param die_after_tokens: number of tokens after which a generation's connection is
        closed without an end of the response.
    :param load_lag_ms: age of the load that is reported.
    :param event_delay_ms: time after which a cache event becomes visible.
    :param event_loss_share: probability that a cache event is lost.
    :param order_delay_ms: time between an order's arrival and its execution.
    """

    freeze: bool = False
    slow_factor: float = pydantic.Field(default=1.0, gt=0, le=1e6)
    die_after_tokens: int | None = pydantic.Field(default=None, ge=0)
    load_lag_ms: float = pydantic.Field(default=0.0, ge=0)
    event_delay_ms: float = pydantic.Field(default=0.0, ge=0)
    event_loss_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    order_delay_ms: float = pydantic.Field(
        default=0.0, ge=0, le=standin_http.MAX_WAIT_MS
    )


class ChatRequest(pydantic.BaseModel):
    """A chat completion call; unknown fields are ignored.

    :param priority: requests with a lower number start earlier.
    :param resume_from: index of the first token of the response; earlier tokens are
        left out.
    """

    model: str = pydantic.Field(min_length=1, max_length=255)
    messages: list[Message] = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: int = pydantic.Field(default=16, ge=1, le=65536)
    priority: int = 0
    resume_from: int = pydantic.Field(default=0, ge=0)


class EngineOrder(pydantic.BaseModel):
    """An order to an engine; unknown fields are kept and reported as received."""

    model_config = pydantic.ConfigDict(extra="allow")

    fence: int = pydantic.Field(ge=0, lt=2**63)
    kind: t.Literal["load_model", "load_adapter", "change_role"]
    model: str | None = None
    adapter: str | None = None
    role: str | None = None


@dataclasses.dataclass(frozen=True)
class Emission:
    """A token of one generation, or the end of a generation without a token.

    :param number: the generation's number, as :meth:`EngineState.submit` returned it.
    :param index_token: index of the token, or of the next one at an end without token.
    :param finish: why the generation has ended, or None while it continues.
    """

    number: int
    index_token: int
    token: str | None
    finish: Finish | None


@dataclasses.dataclass(frozen=True)
class CancelReport:
    """The response to a cancel call.

    :param known: whether a request with this id was received.
    :param started: whether a generation of the request was started.
    """

    known: bool
    started: bool


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The load of an engine ``measured_ms_ago`` milliseconds ago.

    :param kv_used_share: fraction of the KV blocks in use.
    :param step_ms: time of the latest step.
    """

    running: int
    waiting: int
    kv_used_share: float
    step_ms: float
    measured_ms_ago: float = 0.0


@dataclasses.dataclass
class _Generation:
    number: int
    request_id: str
    request: ChatRequest
    blocks: t.Sequence[str]
    seed: bytes
    emitted: int = 0

    def next_index(self) -> int:
        return self.request.resume_from + self.emitted

    def ended(self) -> bool:
        return self.next_index() >= self.request.max_tokens

    def kv_blocks(self) -> int:
        generated = math.ceil(self.next_index() / TOKENS_PER_KV_BLOCK)
        return len(self.blocks) + generated


class EngineState:
    """An engine whose clock is given by the caller; it isn't thread-safe.

    Each method with a parameter ``now_ms`` first executes the orders and steps that
    are due by then, unless the engine is frozen.
    """

    def __init__(self, settings: EngineSettings | None = None) -> None:
        self.settings = settings or EngineSettings()
        self.faults = EngineFaults()
        self.models = set(self.settings.models)
        self.role = self.settings.role
        self.orders: OrderQueue[EngineOrder] = OrderQueue(
            self.settings.refuses_old_fences, self._execute_order
        )
        self._cache = PrefixCache(self.settings.cache_blocks, self.settings.seed)
        self._generations: dict[int, _Generation] = {}
        self._running: dict[int, _Generation] = {}
        self._waiting: list[tuple[int, int]] = []
        self._executions: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._emissions: list[Emission] = []
        self._last_number = 0
        self._step_end_ms: float | None = None
        self._step_ms = 0.0
        self._frozen_at_ms: float | None = None
        self._samples: collections.deque[tuple[float, LoadReport]] = collections.deque(
            maxlen=MAX_LOAD_SAMPLES
        )

    def submit(self, request: ChatRequest, request_id: str, now_ms: float) -> int:
        """Queue a request and return the number of its generation.

        :raises StandinRefusalError: when the model isn't loaded or the queue is full.
        """
        self._advance_to(now_ms)
        self._check_admissible(request)
        self._last_number += 1
        number = self._last_number
        generation = self._new_generation(number, request_id, request)
        self._executions.setdefault(request_id, 0)
        while len(self._executions) > MAX_COUNTED_REQUESTS:
            self._executions.popitem(last=False)
        if generation.ended():
            self._emissions.append(_end_emission(generation, "length"))
        else:
            self._generations[number] = generation
            heapq.heappush(self._waiting, (request.priority, number))
        self._advance_to(now_ms)
        return number

    def advance(self, now_ms: float) -> t.Sequence[Emission]:
        """Execute what is due and return the emissions since the last call."""
        self._advance_to(now_ms)
        emissions, self._emissions = self._emissions, []
        return emissions

    def next_due_ms(self) -> float | None:
        """Return when the next step ends or the next order is due.

        None means that nothing will happen without a further call.
        """
        if self.faults.freeze:
            return None
        due = [self._step_end_ms, self.orders.next_due_ms()]
        return min((at_ms for at_ms in due if at_ms is not None), default=None)

    def cancel(self, request_id: str, now_ms: float) -> CancelReport:
        """Cancel all unfinished generations of a request."""
        self._advance_to(now_ms)
        for generation in list(self._generations.values()):
            if generation.request_id == request_id:
                self._finish(generation, "cancelled")
        self._advance_to(now_ms)
        started = self._executions.get(request_id, 0) > 0
        return CancelReport(request_id in self._executions, started)

    def abandon(self, number: int, now_ms: float) -> None:
        """Cancel a generation whose caller has disconnected, unless it has ended."""
        self._advance_to(now_ms)
        generation = self._generations.get(number)
        if generation is not None:
            self._finish(generation, "cancelled")
        self._advance_to(now_ms)

    def load(self, now_ms: float) -> LoadReport:
        """Return the load of ``load_lag_ms`` ago."""
        self._advance_to(now_ms)
        as_of_ms = now_ms - self.faults.load_lag_ms
        for at_ms, sample in reversed(self._samples):
            if at_ms <= as_of_ms:
                return dataclasses.replace(sample, measured_ms_ago=now_ms - as_of_ms)
        return LoadReport(0, 0, 0.0, 0.0, now_ms - as_of_ms)

    def cache_events(self, after: int, now_ms: float) -> CacheEvents:
        """Return the visible cache events with a sequence number above ``after``."""
        self._advance_to(now_ms)
        return self._cache.events(after, now_ms, self.faults.event_delay_ms)

    def order(self, order: EngineOrder, now_ms: float) -> PendingOrder[EngineOrder]:
        """Receive an order; the returned object records when it has been executed.

        :raises StandinRefusalError: when the engine refuses older fencing numbers and
            a higher one was received before.
        """
        self._advance_to(now_ms)
        return self.orders.receive(order, now_ms, self.faults.order_delay_ms)

    def executions(self) -> t.Mapping[str, int]:
        """Return the number of started generations by request id, without zeros."""
        return {
            request_id: count for request_id, count in self._executions.items() if count
        }

    def set_faults(self, faults: EngineFaults, now_ms: float) -> None:
        """Replace the faults.

        When the engine is no longer frozen, its current step continues with the time
        that it had left.
        """
        self._advance_to(now_ms)
        if faults.freeze and self._frozen_at_ms is None:
            self._frozen_at_ms = now_ms
        if not faults.freeze and self._frozen_at_ms is not None:
            if self._step_end_ms is not None:
                self._step_end_ms += now_ms - self._frozen_at_ms
            self._frozen_at_ms = None
        self.faults = faults
        self._cache.loss_probability = faults.event_loss_share
        self._advance_to(now_ms)

    def _check_admissible(self, request: ChatRequest) -> None:
        if self.settings.models and request.model not in self.models:
            message = f"model: met {request.model!r}, which isn't loaded"
            raise StandinRefusalError(404, standin_http.Code.MODEL_NOT_LOADED, message)
        if len(self._waiting) >= self.settings.max_waiting + self._free_slots():
            message = f"{len(self._waiting)} requests wait already"
            raise StandinRefusalError(
                429, standin_http.Code.QUEUE_FULL, message, retry_after_s=RETRY_AFTER_S
            )

    def _free_slots(self) -> int:
        return self.settings.max_running - len(self._running)

    def _new_generation(
        self, number: int, request_id: str, request: ChatRequest
    ) -> _Generation:
        blocks = prefix_blocks(request.model, request.messages)
        seed = prompt_digest(request.model, request.messages)
        return _Generation(number, request_id, request, blocks, seed)

    def _advance_to(self, now_ms: float) -> None:
        if self.faults.freeze:
            return
        self.orders.run_due(now_ms)
        while self._step_end_ms is not None and self._step_end_ms <= now_ms:
            ended_ms = self._step_end_ms
            self._end_step()
            self._begin_step(ended_ms)
        if self._step_end_ms is None:
            self._begin_step(now_ms)
        self._sample(now_ms)

    def _begin_step(self, at_ms: float) -> None:
        prefill_blocks = self._admit(at_ms)
        if not self._running:
            self._step_end_ms = None
            return
        step_ms = self.settings.base_step_ms
        step_ms += self.settings.per_running_ms * len(self._running)
        step_ms += self.settings.prefill_block_ms * prefill_blocks
        self._step_ms = step_ms * self.faults.slow_factor
        self._step_end_ms = at_ms + self._step_ms

    def _admit(self, at_ms: float) -> int:
        """Move waiting requests into the free slots of the batch.

        :return: number of prompt blocks that the step must prefill.
        """
        prefill_blocks = 0
        while self._waiting and self._free_slots():
            _, number = heapq.heappop(self._waiting)
            generation = self._generations[number]
            cached = self._cache.cached_prefix(generation.blocks)
            prefill_blocks += len(generation.blocks) - cached
            self._cache.use(generation.blocks, at_ms)
            self._running[number] = generation
            self._executions.setdefault(generation.request_id, 0)
            self._executions[generation.request_id] += 1
        return prefill_blocks

    def _end_step(self) -> None:
        die_after = self.faults.die_after_tokens
        for generation in list(self._running.values()):
            if die_after is not None and generation.emitted >= die_after:
                self._finish(generation, "died")
            else:
                self._emit(generation)

    def _emit(self, generation: _Generation) -> None:
        index_token = generation.next_index()
        token = token_at(generation.seed, index_token)
        generation.emitted += 1
        last = generation.ended()
        finish: Finish | None = "length" if last else None
        self._emissions.append(Emission(generation.number, index_token, token, finish))
        if last:
            self._remove(generation)

    def _finish(self, generation: _Generation, finish: Finish) -> None:
        self._emissions.append(_end_emission(generation, finish))
        self._remove(generation)

    def _remove(self, generation: _Generation) -> None:
        del self._generations[generation.number]
        if self._running.pop(generation.number, None) is None:
            # A cancelled request must not count towards the length of the queue.
            entry = (generation.request.priority, generation.number)
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)

    def _sample(self, now_ms: float) -> None:
        used = sum(generation.kv_blocks() for generation in self._running.values())
        share = min(1.0, used / self.settings.kv_blocks)
        sample = LoadReport(
            len(self._running), len(self._waiting), share, self._step_ms
        )
        if not self._samples or self._samples[-1][1] != sample:
            self._samples.append((now_ms, sample))

    def _execute_order(self, order: EngineOrder, _now_ms: float) -> None:
        if order.kind == "load_model" and order.model is not None:
            self.models.add(order.model)
        if order.kind == "load_adapter" and order.adapter is not None:
            self.models.add(order.adapter)
        if order.kind == "change_role" and order.role is not None:
            self.role = order.role


def _end_emission(generation: _Generation, finish: Finish) -> Emission:
    return Emission(generation.number, generation.next_index(), None, finish)
