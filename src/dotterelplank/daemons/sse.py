"""Splitting of server-sent-event streams of model engines into complete events."""

import dataclasses
import typing as t

_SEPARATOR = b"\n\n"
_DONE = b"data: [DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class EventBytes:
    """One or more complete events.

    :param tokens: number of events that carry a token.
    :param is_last: whether the last event of the stream is among them.
    """

    data: bytes
    tokens: int
    is_last: bool


class EventSplitter:
    """Splits a stream into events; it buffers the bytes of an incomplete event."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> EventBytes | None:
        """Return the events that ``data`` completes, or ``None`` if there are none."""
        joined = self._rest + data
        end = joined.rfind(_SEPARATOR)
        if end < 0:
            self._rest = joined
            return None
        end += len(_SEPARATOR)
        self._rest = joined[end:]
        return _count(joined[:end])


def _count(data: bytes) -> EventBytes:
    lines = [event for event in data.split(_SEPARATOR) if event.startswith(b"data:")]
    done = sum(event == _DONE for event in lines)
    return EventBytes(data, len(lines) - done, done > 0)


def error_event(text: str) -> bytes:
    """Return an event that reports to a caller why its stream ends early."""
    return b"event: error\ndata: " + text.encode() + _SEPARATOR


def keep_alive() -> bytes:
    """Return a comment that callers ignore; writing it detects closed connections."""
    return b":" + _SEPARATOR


def events(data: bytes) -> t.Iterator[bytes]:
    """Yield the payload of each data event in ``data``."""
    for event in data.split(_SEPARATOR):
        if event.startswith(b"data: "):
            yield event[len(b"data: ") :]
