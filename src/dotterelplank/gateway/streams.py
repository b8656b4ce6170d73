"""Event streams, cut into whole events so that another endpoint can go on after one."""

import dataclasses

_SEPARATORS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


@dataclasses.dataclass
class EventCursor:
    """The bytes of an event that hasn't arrived whole, and the last whole one's id."""

    last_id: int | None = None
    partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes; may be empty."""
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
