"""Splits event streams into events, so that they can be resumed after any of them."""

import dataclasses
import re
import typing as t

from ..errors import UpstreamError

_SEPARATORS = (b"\n\n", b"\r\n\r\n")
_ID_LINE = re.compile(rb"^id:[ ]*(\d{1,18})[ ]*\r?$", re.MULTILINE)


@dataclasses.dataclass
class EventCursor:
    """The position in an event stream, which may come in several responses.

    :param last_id: id of the last complete event; None: no event with an id yet.
    :param partial: the bytes received of the next event.
    :param step: difference between the ids of events that follow each other; None: it
        isn't known, or isn't always the same.
    """

    last_id: int | None = None
    partial: bytes = b""
    step: int | None = None
    _is_resuming: bool = False
    _is_step_irregular: bool = False

    def resume(self, after: int | None) -> None:
        """Expect a response that goes on after the last complete event.

        :param after: id of the last event that the caller had before its call.
        """
        self.partial = b""
        if self.last_id is None:
            self.last_id = after
        self._is_resuming = self.last_id is not None

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that are now complete, if any.

        :raises UpstreamError: if they don't follow the events before.
        """
        joined = self.partial + data
        end = max(_end_of_last(joined, separator) for separator in _SEPARATORS)
        complete, self.partial = joined[:end], joined[end:]
        for event_id in event_ids(complete):
            self._advance(event_id)
        return complete

    def _advance(self, event_id: int) -> None:
        before = self.last_id
        if before is not None:
            step = event_id - before
            is_gap = self._is_resuming and self.step not in (None, step)
            if step <= 0 or is_gap:
                raise UpstreamError(f"event {event_id} after {before}", sent=True)
            self._note_step(step)
        self._is_resuming = False
        self.last_id = event_id

    def _note_step(self, step: int) -> None:
        if self._is_step_irregular or self._is_resuming:
            return
        self._is_step_irregular = self.step not in (None, step)
        self.step = None if self._is_step_irregular else step


def event_ids(events: bytes) -> t.Iterator[int]:
    """Yield the ids of complete events, in their order."""
    return (int(found) for found in _ID_LINE.findall(events))


def _end_of_last(data: bytes, separator: bytes) -> int:
    found = data.rfind(separator)
    return found + len(separator) if found >= 0 else 0
