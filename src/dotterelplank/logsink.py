"""Non-blocking output of log lines."""

import collections
import logging
import os
import typing as t

MAX_BUFFERED_LINES: t.Final = 2_000
FLUSH_INTERVAL_S: t.Final = 0.1
WRITE_CHUNK_BYTES: t.Final = 64 * 1024


class BoundedHandler(logging.Handler):
    """A log handler that buffers lines until they can be written without blocking.

    A line that arrives while the buffer is full is dropped and counted.

    :param descriptor: non-blocking file descriptor for the output.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Format a record and add its line to the buffer."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        while self._unwritten or self._lines:
            while self._lines and len(self._unwritten) < WRITE_CHUNK_BYTES:
                self._unwritten += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log, so the error can't be logged.
                self.dropped += len(self._lines)
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call, and reset it."""
        dropped, self.dropped = self.dropped, 0
        return dropped
