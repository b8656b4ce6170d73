"""Relaying the effects of an exchange to a caller: an answer, a stream or an error."""

import typing as t

from .. import results
from . import replies
from .calls import CallRefusedError
from .exchange_runner import Effect
from .exchanges import Complete, GiveUp, RelayData
from .http_server import StartResponse

Effects = t.Generator[Effect, None, None]


class StreamCutError(Exception):
    """Closes the connection to a caller whose stream could not be completed."""


class Body:
    """A response body that calls ``on_end`` when it is closed."""

    def __init__(self, parts: t.Iterable[bytes], on_end: t.Callable[[], None]) -> None:
        self._parts = parts
        self._on_end = on_end

    def __iter__(self) -> t.Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts and call ``on_end``."""
        try:
            close = getattr(self._parts, "close", None)
            if close is not None:
                close()
        finally:
            self._on_end()


class _StreamBody:
    """The body of a streamed answer.

    Closing it ends the exchange, even if no part has been read.
    """

    def __init__(self, effects: Effects, on_tokens: t.Callable[[], None]) -> None:
        self._effects = effects
        self._on_tokens = on_tokens

    def __iter__(self) -> t.Iterator[bytes]:
        for effect in self._effects:
            match effect:
                case RelayData(data):
                    self._on_tokens()
                    yield data
                case GiveUp(result, retry_after_ms):
                    yield replies.stream_error(result, retry_after_ms)
                    raise StreamCutError(result.name)

    def close(self) -> None:
        """End the exchange if it is not over."""
        self._effects.close()


def relay(
    start_response: StartResponse,
    effects: Effects,
    extra: replies.HeaderList,
    on_tokens: t.Callable[[], None],
) -> t.Iterable[bytes]:
    """Wait for the first effect, start the response and return its body.

    :param extra: additional headers.
    :param on_tokens: called before each part of a stream.
    :raises CallRefusedError: if the caller closed its connection before the first
        effect.
    """
    first = next(effects, None)
    match first:
        case Complete(head, body):
            effects.close()
            length = ("Content-Length", str(len(body)))
            replies.begin_answer(start_response, head, [*extra, length])
            return [body]
        case GiveUp(result, retry_after_ms):
            effects.close()
            return replies.send_error(
                start_response, result, "", retry_after_ms, extra=extra
            )
        case None:
            raise CallRefusedError(results.ENDPOINT_LOST, "the caller hung up")
    replies.begin_answer(start_response, first.head, extra)
    return _StreamBody(effects, on_tokens)
