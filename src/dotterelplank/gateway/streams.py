"""Splits event streams into events, so that they can be resumed after any of them."""

import dataclasses
import re
import typing as t

from ..errors import UpstreamError

_SEPARATORS = (b"\n\n", b"\r\n\r\n")
_SEPARATOR_OVERLAP_BYTES = 3
"""The most bytes of a separator that one part of a body may leave to the next."""
_FIELD_LINE = re.compile(rb"^[^:\r\n]", re.MULTILINE)
"""The beginning of a line that isn't a comment."""
_ID_LINE = re.compile(rb"^id:[ ]*(\d{1,18})[ ]*\r?$", re.MULTILINE)


@dataclasses.dataclass
class EventCursor:
    """The position in an event stream, which may come in several responses.

    :param last_id: id of the last complete event; None: no event with an id yet.
    :param partial: the bytes received of the next event.
    :param unfinished_bytes: bytes received since the last event, with comments.
    :param unfinished_parts: parts of the body in which these came.
    :param step: difference between the ids of events that follow each other; None: it
        isn't known, or isn't always the same.
    """

    last_id: int | None = None
    partial: bytearray = dataclasses.field(default_factory=bytearray)
    unfinished_bytes: int = 0
    unfinished_parts: int = 0
    step: int | None = None
    _is_resuming: bool = False
    _is_step_irregular: bool = False

    @property
    def is_at_event(self) -> bool:
        """Whether the last part of the body completed an event, not just comments."""
        return not self.unfinished_parts

    def resume(self, after: int | None) -> None:
        """Expect a response that goes on after the last complete event.

        :param after: id of the last event that the caller had before its call.
        """
        self.partial.clear()
        self.unfinished_bytes = self.unfinished_parts = 0
        if self.last_id is None:
            self.last_id = after
        self._is_resuming = self.last_id is not None

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that are now complete, if any.

        :raises UpstreamError: if they don't follow the events before.
        """
        search_from = max(0, len(self.partial) - _SEPARATOR_OVERLAP_BYTES)
        self.partial += data
        self.unfinished_bytes += len(data)
        self.unfinished_parts += 1
        end = max(
            _end_of_last(self.partial, separator, search_from)
            for separator in _SEPARATORS
        )
        if not end:
            return b""
        complete = bytes(self.partial[:end])
        del self.partial[:end]
        if _FIELD_LINE.search(complete):
            self.unfinished_bytes = len(self.partial)
            self.unfinished_parts = 0
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


def _end_of_last(data: bytearray, separator: bytes, search_from: int) -> int:
    found = data.rfind(separator, search_from)
    return found + len(separator) if found >= 0 else 0
