"""Log lines on standard output that never hold the process up."""

import collections
import logging
import os
import typing as t

MAX_BUFFERED_LINES: t.Final = 2_000
FLUSH_INTERVAL_S: t.Final = 0.1
WRITE_CHUNK_BYTES: t.Final = 64 * 1024


class BoundedHandler(logging.Handler):
    """Holds formatted lines until they can be written without waiting.

    Lines that find the buffer full are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Hold one line."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    def flush(self) -> None:
        """Write what can be written at once."""
        while self._unwritten or self._lines:
            while self._lines and len(self._unwritten) < WRITE_CHUNK_BYTES:
                self._unwritten += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; there is nowhere to say so.
                self.dropped += len(self._lines)
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
