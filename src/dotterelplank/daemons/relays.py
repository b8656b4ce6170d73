"""Giving a caller what an exchange yields: a whole answer, a stream, or a result."""

import typing as t

from .. import results
from . import replies
from .calls import CallRefusedError
from .conversations import Effect
from .exchanges import Complete, GiveUp, RelayData
from .http_server import StartResponse

Effects = t.Generator[Effect, None, None]


class StreamCutError(Exception):
    """Breaks the connection to a caller whose stream could not be finished."""


class Body:
    """A response body that reports its end, however it ends."""

    def __init__(self, parts: t.Iterable[bytes], on_end: t.Callable[[], None]) -> None:
        self._parts = parts
        self._on_end = on_end

    def __iter__(self) -> t.Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts and report the end."""
        try:
            close = getattr(self._parts, "close", None)
            if close is not None:
                close()
        finally:
            self._on_end()


class _StreamBody:
    """The parts of a stream; closing them ends the exchange, even before the first."""

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
    """Wait for the first effect and return the body of the answer.

    :param extra: headers to add.
    :param on_tokens: called before each part of a stream.
    :raises CallRefusedError: if the caller hung up before there was anything to give.
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
