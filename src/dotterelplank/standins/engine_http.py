"""The HTTP interface of the stand-in engine, and the lock and thread that it needs."""

import contextlib
import dataclasses
import queue
import typing as t

import pydantic_core

from .. import events
from ..errors import StandinRefusalError
from . import http as standin_http
from .engine import (
    ChatRequest,
    Emission,
    EngineFaults,
    EngineOrder,
    EngineSettings,
    EngineState,
)
from .steps import StepLoop, run_in_thread
from .tokens import prompt_text

CHARS_PER_TOKEN = 4
DONE_EVENT = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True)
class Delta:
    """The text that a chunk adds to the response."""

    content: str


@dataclasses.dataclass(frozen=True)
class ChunkChoice:
    """The only choice of a chunk."""

    delta: Delta
    finish_reason: str | None
    index: int = 0


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One token of a streamed response, or its end without a token."""

    id: str
    model: str
    choices: t.Sequence[ChunkChoice]
    index_token: int
    object: str = "chat.completion.chunk"
    created: int = 0


@dataclasses.dataclass(frozen=True)
class CompletionMessage:
    """The message of a response that isn't streamed."""

    content: str
    role: str = "assistant"


@dataclasses.dataclass(frozen=True)
class CompletionChoice:
    """The only choice of a response that isn't streamed."""

    message: CompletionMessage
    finish_reason: str
    index: int = 0


@dataclasses.dataclass(frozen=True)
class Usage:
    """The number of tokens in a prompt and in its response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclasses.dataclass(frozen=True)
class ChatCompletion:
    """A response that isn't streamed."""

    id: str
    model: str
    choices: t.Sequence[CompletionChoice]
    usage: Usage
    object: str = "chat.completion"
    created: int = 0


@dataclasses.dataclass(frozen=True)
class OrderReport:
    """The response to an order that was executed."""

    executed: bool
    highest_fence: int


class Engine:
    """A thread-safe engine, for use inside a process and by the HTTP interface."""

    def __init__(self, settings: EngineSettings | None = None) -> None:
        self.state = EngineState(settings)
        self.step_loop = StepLoop(self._advance, self.state.next_due_ms)
        self._emission_queues: dict[int, queue.SimpleQueue[Emission]] = {}

    def submit(self, request: ChatRequest, request_id: str) -> int:
        """Queue a request and return the number of its generation.

        The call waits while the engine is frozen.
        """
        with self._locked_unfrozen() as now_ms:
            number = self.state.submit(request, request_id, now_ms)
            self._emission_queues[number] = queue.SimpleQueue()
        return number

    def next_emission(self, number: int) -> Emission:
        """Wait for the next emission of a generation and return it."""
        return self._emission_queues[number].get()

    def release(self, number: int) -> None:
        """Remove a generation, and cancel it if it hasn't ended."""
        with self.step_loop.changed:
            self._emission_queues.pop(number, None)
            self.state.abandon(number, standin_http.now_ms())
            self.step_loop.changed.notify_all()

    def call(self, operation: t.Callable[[float], t.Any]) -> t.Any:
        """Wait while the engine is frozen, then call ``operation`` with the time.

        :param operation: called under the lock with the current time in milliseconds.
        :return: the result of ``operation``.
        """
        with self._locked_unfrozen() as now_ms:
            return operation(now_ms)

    def order(self, order: EngineOrder) -> OrderReport:
        """Receive an order and wait until it has been executed.

        :raises StandinRefusalError: when the order is refused.
        """
        with self._locked_unfrozen() as now_ms:
            pending = self.state.order(order, now_ms)
            self.step_loop.changed.notify_all()
            self.step_loop.wait_while(lambda: not pending.done)
            pending.check()
            return OrderReport(True, self.state.orders.highest_fence)

    def change_faults(self, changes: EngineFaults) -> EngineFaults:
        """Change the faults that ``changes`` sets, and return all faults."""
        with self.step_loop.changed:
            faults = standin_http.merged(self.state.faults, changes)
            self.state.set_faults(faults, standin_http.now_ms())
            self.step_loop.changed.notify_all()
        events.emit(standin_http.logger, events.STANDIN_FAULTS_SET, faults=faults)
        return faults

    def close(self) -> None:
        """Stop the engine and end every waiting call."""
        self.step_loop.close()
        with self.step_loop.changed:
            for number, emission_queue in self._emission_queues.items():
                emission_queue.put(Emission(number, 0, None, "died"))

    def _locked_unfrozen(self) -> t.ContextManager[float]:
        return self.step_loop.locked(lambda: self.state.faults.freeze)

    def _advance(self, now_ms: float) -> None:
        for emission in self.state.advance(now_ms):
            emission_queue = self._emission_queues.get(emission.number)
            if emission_queue is not None:
                emission_queue.put(emission)


@contextlib.contextmanager
def running(settings: EngineSettings | None = None) -> t.Iterator[Engine]:
    """Yield an engine whose steps are executed by a thread of its own."""
    engine = Engine(settings)
    with run_in_thread(engine.step_loop):
        yield engine


def routes(engine: Engine) -> t.Sequence[standin_http.Route]:
    """Return the HTTP interface of ``engine``."""

    def chat(request: standin_http.Request) -> standin_http.Response:
        call = request.read(ChatRequest)
        return _chat(engine, request, call)

    def cancel(request: standin_http.Request) -> standin_http.Response:
        request_id = request.params["id"]
        return standin_http.json_response(
            engine.call(lambda now_ms: engine.state.cancel(request_id, now_ms))
        )

    def load(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(engine.call(engine.state.load))

    def cache_events(request: standin_http.Request) -> standin_http.Response:
        after = request.number("after", 0)
        return standin_http.json_response(
            engine.call(lambda now_ms: engine.state.cache_events(after, now_ms))
        )

    def order(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(engine.order(request.read(EngineOrder)))

    def orders(_request: standin_http.Request) -> standin_http.Response:
        with engine.step_loop.changed:
            return standin_http.json_response(engine.state.orders.executed)

    def executions(_request: standin_http.Request) -> standin_http.Response:
        with engine.step_loop.changed:
            return standin_http.json_response(engine.state.executions())

    def set_faults(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(
            engine.change_faults(request.read(EngineFaults))
        )

    return [
        standin_http.Route("POST", "/v1/chat/completions", chat),
        standin_http.Route("DELETE", "/v1/requests/{id}", cancel),
        standin_http.Route("GET", "/v1/load", load),
        standin_http.Route("GET", "/v1/cache/events", cache_events),
        standin_http.Route("POST", "/v1/orders", order),
        standin_http.Route("GET", "/control/orders", orders),
        standin_http.Route("GET", "/control/executions", executions),
        standin_http.Route("POST", "/control/faults", set_faults),
    ]


def _chat(
    engine: Engine, request: standin_http.Request, call: ChatRequest
) -> standin_http.Response:
    request_id = request.headers.get("x-request-id", "")
    number = engine.submit(call, request_id)
    emissions = _emissions(engine, request, number)
    # The status is sent only after the first emission, so that a request that was
    # cancelled before its start is refused instead of answered with an empty stream.
    first = next(emissions)
    _check_not_cancelled(first)
    if call.stream:
        chunks = _stream(call, request_id, first, emissions)
        return standin_http.Response(body=chunks, content_type="text/event-stream")
    whole = [first, *emissions]
    _check_not_cancelled(whole[-1])
    return standin_http.json_response(_completion(call, request_id, whole))


def _check_not_cancelled(emission: Emission) -> None:
    if emission.finish == "cancelled":
        message = f"cancelled at token {emission.index_token}"
        raise StandinRefusalError(409, standin_http.Code.CANCELLED, message)


def _emissions(
    engine: Engine, request: standin_http.Request, number: int
) -> t.Iterator[Emission]:
    """Yield the emissions of a generation up to its end.

    When the generation dies, the connection is aborted.
    """
    try:
        finish = None
        while finish is None:
            emission = engine.next_emission(number)
            finish = emission.finish
            if finish == "died":
                request.abort_connection()
            yield emission
    finally:
        engine.release(number)


def _stream(
    call: ChatRequest,
    request_id: str,
    first: Emission,
    rest: t.Generator[Emission, None, None],
) -> t.Iterator[bytes]:
    with contextlib.closing(rest):
        emission = first
        while True:
            yield _chunk(call, request_id, emission)
            if emission.finish is not None:
                break
            emission = next(rest)
    if emission.finish == "length":
        yield DONE_EVENT


def _chunk(call: ChatRequest, request_id: str, emission: Emission) -> bytes:
    choice = ChunkChoice(Delta(emission.token or ""), emission.finish)
    chunk = Chunk(request_id, call.model, [choice], emission.index_token)
    return b"data: " + pydantic_core.to_json(chunk) + b"\n\n"


def _completion(
    call: ChatRequest, request_id: str, emissions: t.Sequence[Emission]
) -> ChatCompletion:
    tokens = [emission.token for emission in emissions if emission.token is not None]
    finish = emissions[-1].finish or "length"
    choice = CompletionChoice(CompletionMessage("".join(tokens)), finish)
    prompt_tokens = len(prompt_text(call.messages)) // CHARS_PER_TOKEN
    usage = Usage(prompt_tokens, len(tokens), prompt_tokens + len(tokens))
    return ChatCompletion(request_id, call.model, [choice], usage)
