"""The state machine of one request at an entry: attempts, relaying and failure.

:func:`decide` depends only on the time, the exchange and one event. Once a request may
have been sent to an endpoint, another endpoint is tried only if the request is
idempotent or the first one reported that the request did not run.
"""

import dataclasses
import enum
import typing as t

from .. import defaults, results
from ..errors import InvariantError
from ..links.messages import Begin, Chunk, End, Refuse


class Phase(enum.Enum):
    """The phase of an exchange."""

    CHOOSING = "choosing"
    SENT = "sent"
    RELAYING = "relaying"
    CANCELLING = "cancelling"
    OVER = "over"


@dataclasses.dataclass
class Exchange:
    """One caller's request, from its admission to the last byte of the answer.

    :param repeatable: whether the request may run more than once (is idempotent).
    :param resumable: whether another endpoint can continue a stream after a token.
    :param home: the only host that may run the request, or ``None`` for any host.
    :param stream: whether the caller receives the answer as it is generated.
    :param host: the host of the current attempt, or ``None``.
    :param attempts: number of attempts begun.
    :param tried: the hosts of all attempts.
    :param may_have_run: whether an attempt ended without proof that it did not run.
    :param head: status and headers that the current attempt received.
    :param head_relayed: whether the caller has received status and headers.
    :param tokens_relayed: number of complete tokens sent to the caller.
    :param chunks_received: number of chunks of the current attempt.
    :param body: the answer received so far, if it is not streamed.
    :param cancel_until_ms: time until which the answer to a cancel is awaited.
    :param duplicates_dropped: number of chunks that were received twice.
    """

    repeatable: bool
    resumable: bool
    home: str | None
    stream: bool
    deadline_at_ms: float
    attempt_limit: int = defaults.ATTEMPTS_PER_REQUEST
    phase: Phase = Phase.CHOOSING
    host: str | None = None
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    head: Begin | None = None
    head_relayed: bool = False
    tokens_relayed: int = 0
    chunks_received: int = 0
    body: bytearray = dataclasses.field(default_factory=bytearray)
    cancel_until_ms: float = 0.0
    duplicates_dropped: int = 0


@dataclasses.dataclass(frozen=True)
class Chosen:
    """The choice of an endpoint ended.

    :param host: the host that was chosen, or ``None`` if no endpoint is usable.
    """

    host: str | None
    retry_after_ms: float = defaults.RETRY_AFTER_MS


@dataclasses.dataclass(frozen=True)
class Lost:
    """The link to the endpoint ended, or the request could not be sent over it.

    :param written: whether any byte of the request may have been sent.
    """

    written: bool


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True)
class CallerGone:
    """The caller closed its connection."""


@dataclasses.dataclass(frozen=True)
class StopBound:
    """The time limit for the shutdown of this process is reached."""


Event = Chosen | Lost | Tick | CallerGone | StopBound | Begin | Chunk | End | Refuse


@dataclasses.dataclass(frozen=True)
class Choose:
    """Choose an endpoint that is not in ``excluded``.

    :param home: the only host that may be chosen, or ``None`` for any host.
    :param is_retry: whether an earlier attempt failed, so that the retry budget
        applies.
    """

    home: str | None
    excluded: frozenset[str]
    is_retry: bool


@dataclasses.dataclass(frozen=True)
class Send:
    """Send the request to ``host``.

    :param resume_from: number of tokens after which the endpoint continues the stream.
    """

    host: str
    resume_from: int


@dataclasses.dataclass(frozen=True)
class CancelAt:
    """Ask ``host`` to cancel the request."""

    host: str


@dataclasses.dataclass(frozen=True)
class RelayHead:
    """Send the status and headers to the caller."""

    head: Begin


@dataclasses.dataclass(frozen=True)
class RelayData:
    """Send a part of the body to the caller."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Complete:
    """End the exchange with a complete answer.

    :param body: the whole body, or empty if it was streamed.
    """

    head: Begin
    body: bytes


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """End the exchange without a complete answer; the result says what is known."""

    result: results.Result
    retry_after_ms: float


Command = Choose | Send | CancelAt | RelayHead | RelayData | Complete | GiveUp

_RETRYABLE_RESULTS = frozenset(
    {
        results.ENDPOINT_LEAVING.number,
        results.ENDPOINT_FULL.number,
        results.ENDPOINT_UNREACHABLE.number,
    }
)


def start(exchange: Exchange) -> t.Sequence[Command]:
    """Return the first command of a new exchange."""
    return [Choose(exchange.home, frozenset(), is_retry=False)]


def decide(now_ms: float, exchange: Exchange, event: Event) -> t.Sequence[Command]:
    """Return the next commands; there are none once the exchange is over."""
    if exchange.phase is Phase.OVER:
        return []
    match event:
        case Chosen():
            return _on_chosen(now_ms, exchange, event)
        case Begin():
            return _on_begin(exchange, event)
        case Chunk():
            return _on_chunk(now_ms, exchange, event)
        case End():
            return _on_end(now_ms, exchange, event)
        case Refuse():
            return _on_refuse(now_ms, exchange, event)
        case Lost():
            return _on_lost(now_ms, exchange, event)
        case Tick():
            return _on_tick(now_ms, exchange)
        case CallerGone():
            return _on_caller_gone(exchange)
        case StopBound():
            return _on_stop_bound(exchange)
    raise InvariantError(f"no such event: {event!r}")


def next_wake_ms(exchange: Exchange) -> float:
    """Return the time at which the next :class:`Tick` is due."""
    if exchange.phase is Phase.CANCELLING:
        return exchange.cancel_until_ms
    return exchange.deadline_at_ms


def _on_chosen(now_ms: float, exchange: Exchange, event: Chosen) -> t.Sequence[Command]:
    if exchange.phase is not Phase.CHOOSING:
        raise InvariantError(f"an endpoint was chosen in phase {exchange.phase}")
    if event.host is None:
        return _on_no_endpoint(exchange, event)
    if exchange.home is not None and event.host != exchange.home:
        raise InvariantError(f"{event.host} was chosen, its home is {exchange.home}")
    if now_ms >= exchange.deadline_at_ms:
        return _abandon_unsent(exchange, results.DEADLINE_BEFORE_START)
    exchange.phase = Phase.SENT
    exchange.host = event.host
    exchange.tried.add(event.host)
    exchange.attempts += 1
    _reset_attempt(exchange)
    return [Send(event.host, exchange.tokens_relayed)]


def _on_no_endpoint(exchange: Exchange, event: Chosen) -> t.Sequence[Command]:
    if exchange.home is not None:
        result = results.TICKET_HOME_UNREACHABLE
        return _abandon(exchange, result, event.retry_after_ms)
    return _abandon(exchange, results.NO_ENDPOINT, event.retry_after_ms)


def _on_begin(exchange: Exchange, event: Begin) -> t.Sequence[Command]:
    if exchange.phase is not Phase.SENT or exchange.head is not None:
        return []
    exchange.head = event
    if not exchange.stream:
        return []
    exchange.phase = Phase.RELAYING
    if exchange.head_relayed:
        return []
    exchange.head_relayed = True
    return [RelayHead(event)]


def _on_chunk(now_ms: float, exchange: Exchange, event: Chunk) -> t.Sequence[Command]:
    if exchange.phase not in (Phase.SENT, Phase.RELAYING) or exchange.head is None:
        return []
    if event.sequence < exchange.chunks_received:
        exchange.duplicates_dropped += 1
        return []
    if event.sequence > exchange.chunks_received:
        return _on_attempt_lost(now_ms, exchange, results.STREAM_CUT, cancel=True)
    exchange.chunks_received += 1
    if not exchange.stream:
        exchange.body += event.data
        return []
    exchange.tokens_relayed += event.tokens
    return [RelayData(event.data)]


def _on_end(now_ms: float, exchange: Exchange, event: End) -> t.Sequence[Command]:
    if exchange.phase is Phase.CANCELLING:
        return _abandon(exchange, results.DEADLINE_AFTER_START)
    if exchange.phase not in (Phase.SENT, Phase.RELAYING):
        return []
    if exchange.head is None or event.chunks != exchange.chunks_received:
        return _on_attempt_lost(now_ms, exchange, results.STREAM_CUT, cancel=False)
    exchange.phase = Phase.OVER
    return [Complete(exchange.head, bytes(exchange.body))]


def _on_refuse(now_ms: float, exchange: Exchange, event: Refuse) -> t.Sequence[Command]:
    result = results.by_number(event.result)
    if exchange.phase is Phase.CANCELLING:
        if result.outcome is results.Outcome.NOT_RUN:
            return _abandon(exchange, results.DEADLINE_BEFORE_START)
        return _abandon(exchange, results.DEADLINE_AFTER_START)
    if exchange.phase not in (Phase.SENT, Phase.RELAYING):
        return []
    has_begun = exchange.head is not None
    if result.outcome is results.Outcome.UNKNOWN or has_begun:
        return _on_attempt_lost(now_ms, exchange, result, False, event.retry_after_ms)
    if result.number in _RETRYABLE_RESULTS and _may_retry(exchange):
        return _retry(exchange)
    return _abandon(exchange, result, event.retry_after_ms)


def _on_lost(now_ms: float, exchange: Exchange, event: Lost) -> t.Sequence[Command]:
    if exchange.phase is Phase.CANCELLING:
        return _abandon(exchange, results.DEADLINE_AFTER_START)
    if exchange.phase not in (Phase.SENT, Phase.RELAYING):
        return []
    if event.written:
        return _on_attempt_lost(now_ms, exchange, results.ENDPOINT_LOST, cancel=False)
    if _may_retry(exchange):
        return _retry(exchange)
    return _abandon_unsent(exchange, results.ENDPOINT_UNREACHABLE)


def _on_tick(now_ms: float, exchange: Exchange) -> t.Sequence[Command]:
    if exchange.phase is Phase.CANCELLING:
        if now_ms < exchange.cancel_until_ms:
            return []
        return _abandon(exchange, results.DEADLINE_AFTER_START)
    if now_ms < exchange.deadline_at_ms:
        return []
    if exchange.phase is Phase.CHOOSING:
        return _abandon_unsent(exchange, results.DEADLINE_BEFORE_START)
    host = t.cast(str, exchange.host)
    if exchange.phase is Phase.RELAYING or exchange.head is not None:
        final = _abandon(exchange, results.DEADLINE_AFTER_START)
        return [CancelAt(host), *final]
    exchange.phase = Phase.CANCELLING
    exchange.cancel_until_ms = now_ms + defaults.CANCEL_WAIT_MS
    return [CancelAt(host)]


def _on_caller_gone(exchange: Exchange) -> t.Sequence[Command]:
    was_sent = exchange.phase in (Phase.SENT, Phase.RELAYING)
    exchange.phase = Phase.OVER
    if not was_sent:
        return []
    return [CancelAt(t.cast(str, exchange.host))]


def _on_stop_bound(exchange: Exchange) -> t.Sequence[Command]:
    was_sent = exchange.phase in (Phase.SENT, Phase.RELAYING)
    cancels = [CancelAt(t.cast(str, exchange.host))] if was_sent else []
    return [*cancels, *_abandon(exchange, results.STOP_BOUND)]


def _on_attempt_lost(
    now_ms: float,
    exchange: Exchange,
    result: results.Result,
    cancel: bool,
    retry_after_ms: float = defaults.RETRY_AFTER_MS,
) -> t.Sequence[Command]:
    exchange.may_have_run = True
    cancels = [CancelAt(t.cast(str, exchange.host))] if cancel else []
    can_continue = exchange.resumable or not exchange.head_relayed
    if exchange.repeatable and can_continue and _may_retry(exchange):
        if now_ms < exchange.deadline_at_ms:
            return [*cancels, *_retry(exchange)]
    return [*cancels, *_abandon(exchange, result, retry_after_ms)]


def _may_retry(exchange: Exchange) -> bool:
    return exchange.home is None and exchange.attempts < exchange.attempt_limit


def _retry(exchange: Exchange) -> t.Sequence[Command]:
    exchange.phase = Phase.CHOOSING
    exchange.host = None
    _reset_attempt(exchange)
    return [Choose(None, frozenset(exchange.tried), is_retry=True)]


def _reset_attempt(exchange: Exchange) -> None:
    exchange.head = None
    exchange.chunks_received = 0
    exchange.body.clear()


def _abandon_unsent(exchange: Exchange, result: results.Result) -> t.Sequence[Command]:
    """End an exchange whose current attempt sent nothing.

    If the request has a ticket, only its home knows whether an earlier request under
    the ticket ran.
    """
    if exchange.home is not None:
        result = results.TICKET_HOME_NOT_ASKED
    return _abandon(exchange, result)


def _abandon(
    exchange: Exchange,
    result: results.Result,
    retry_after_ms: float = defaults.RETRY_AFTER_MS,
) -> t.Sequence[Command]:
    """End the exchange without a complete answer.

    If an earlier attempt may have run, the result never says "not run".
    """
    exchange.phase = Phase.OVER
    if exchange.may_have_run and result.outcome is results.Outcome.NOT_RUN:
        result = results.ENDPOINT_LOST
    return [GiveUp(result, retry_after_ms)]
