"""Splits event streams into events, so that they can be resumed after any of them."""

import dataclasses

_SEPARATORS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


@dataclasses.dataclass
class EventCursor:
    """The position in an event stream.

    :param last_id: id of the last complete event; None: no event with an id yet.
    :param partial: the bytes received of the next event.
    """

    last_id: int | None = None
    partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that are now complete, if any."""
        joined = self.partial + data
        end = max(_end_of_last(joined, separator) for separator in _SEPARATORS)
        complete, self.partial = joined[:end], joined[end:]
        self._note_id(complete)
        return complete

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(_ID_FIELD):
                text = line[len(_ID_FIELD) :].strip()
                if text.isdigit():
                    self.last_id = int(text)
                return


def _end_of_last(data: bytes, separator: bytes) -> int:
    found = data.rfind(separator)
    return found + len(separator) if found >= 0 else 0
