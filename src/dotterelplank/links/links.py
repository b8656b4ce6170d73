"""Long-lived TCP streams between the system's processes.

Any thread may send. Once :meth:`Link.send` has accepted a message, the message may have
been sent. The serving thread in :mod:`link_server` reads, and sends queued data.
"""

import collections
import contextlib
import dataclasses
import itertools
import socket
import threading
import typing as t

from .. import defaults
from ..clocks import monotonic_ms
from ..errors import LinkClosedError
from .handshakes import Handshake
from .messages import FrameReader, Hello, Message, encode

_READ_SIZE_BYTES = 256 * 1024
_MAX_UNSENT_BYTES = 8 * defaults.MAX_FRAME_BYTES


@dataclasses.dataclass(frozen=True)
class Identity:
    """The data by which a process identifies itself to peers, and the shared secret."""

    host: str
    role: str
    domain: str
    incarnation: int
    secret: bytes = dataclasses.field(repr=False)


def new_incarnation(now_unix_ms: float, random_bits: int) -> int:
    """Return an incarnation number, which grows from one start on a host to the next.

    :param now_unix_ms: wall-clock time of the start in milliseconds.
    :param random_bits: random bits that distinguish two starts in one millisecond.
    """
    bits = defaults.INCARNATION_RANDOM_BITS
    return (int(now_unix_ms) << bits) | (random_bits & ((1 << bits) - 1))


class Link:
    """One stream to one peer.

    :param on_write_pending: called with the link when data waits in the send queue.
    """

    def __init__(
        self,
        sock: socket.socket,
        handshake: Handshake,
        on_write_pending: t.Callable[["Link"], None],
    ) -> None:
        self._sock = sock
        self._on_write_pending = on_write_pending
        self._lock = threading.Lock()
        self._unsent: collections.deque[bytes] = collections.deque()
        self._unsent_size_bytes = 0
        self._request_ids = itertools.count(1)
        self.handshake = handshake
        self.reader = FrameReader()
        self.opened_ms = 0.0
        self.last_seen_ms = 0.0
        self.received_size_bytes = 0
        self.sent_size_bytes = 0
        self.messages_received = 0
        self.is_open = True
        self.connecting = False

    @property
    def peer(self) -> Hello:
        """The hello of the peer; it is authenticated only once the link is ready."""
        return t.cast(Hello, self.handshake.peer)

    @property
    def is_ready(self) -> bool:
        """Whether the link is open and its handshake has succeeded."""
        return self.is_open and self.handshake.ready

    def next_request_id(self) -> int:
        """Return a correlation id that was not used on this stream before."""
        return next(self._request_ids)

    def send(self, message: Message) -> None:
        """Send ``message``, or queue it while the socket accepts no more data.

        The stream is aborted if too much data is queued.

        :raises LinkClosedError: if the link is closed; nothing was sent.
        """
        frame = encode(message)
        with self._lock:
            if not self.is_open:
                raise LinkClosedError("the link is closed", written=False)
            self._unsent.append(frame)
            self._unsent_size_bytes += len(frame)
            if not self.connecting:
                self._flush_locked()
            is_pending = bool(self._unsent)
            is_over_limit = self._unsent_size_bytes > _MAX_UNSENT_BYTES
        if is_over_limit:
            self.abort()
        elif is_pending:
            self._on_write_pending(self)

    def flush(self) -> None:
        """Send queued data until the socket accepts no more."""
        with self._lock:
            if self.is_open and not self.connecting:
                self._flush_locked()

    def has_unsent(self) -> bool:
        """Return whether there is queued data."""
        return bool(self._unsent)

    def abort(self) -> None:
        """Abort the stream; the serving thread then reports it as closed."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def shutdown_write(self) -> None:
        """Send queued data, then close the sending side of the stream."""
        self.flush()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def wait_closed(self, timeout_ms: float) -> None:
        """Wait until the peer has closed its side, for at most ``timeout_ms``.

        Received data is read and discarded. Closing a socket with unread data would
        reset the stream, and the peer could lose data that it has not read yet.
        """
        end_ms = monotonic_ms() + timeout_ms
        with contextlib.suppress(OSError):
            while monotonic_ms() < end_ms:
                self._sock.settimeout(max(0.001, (end_ms - monotonic_ms()) / 1000))
                if not self._sock.recv(_READ_SIZE_BYTES):
                    return

    def fileno(self) -> int:
        """Return the file descriptor of the socket, for a selector."""
        return self._sock.fileno()

    def receive(self) -> bytes:
        """Return received bytes, or ``b""`` once the peer has ended the stream."""
        return self._sock.recv(_READ_SIZE_BYTES)

    def connect_error(self) -> int:
        """Return the error number of a finished connect, or 0 if it succeeded."""
        return self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def close(self) -> None:
        """Close the socket and drop queued data."""
        with self._lock:
            self.is_open = False
            self._unsent.clear()
            self._sock.close()

    def _flush_locked(self) -> None:
        while self._unsent:
            frame = self._unsent[0]
            try:
                count = self._sock.send(frame)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.abort()
                return
            self.sent_size_bytes += count
            self._unsent_size_bytes -= count
            if count < len(frame):
                self._unsent[0] = frame[count:]
                return
            self._unsent.popleft()
