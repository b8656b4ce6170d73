"""An HTTP server on cheroot with bounds on input and access to the connection."""

import contextlib
import io
import logging
import select
import socket
import sys
import threading
import typing as t

import cheroot.server
import cheroot.wsgi

from .. import defaults, events
from ..clocks import monotonic_ms
from ..threads import start_thread

log = logging.getLogger(__name__)

CONNECTION_KEY = "dotterelplank.connection"
_CHECKS_PER_BOUND = 4

StartResponse = t.Callable[[str, list[tuple[str, str]]], t.Any]
Application = t.Callable[[dict[str, t.Any], StartResponse], t.Iterable[bytes]]


class _Readers:
    """The connections whose requests are being read, each by a thread of the pool."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._started_ms: dict[socket.socket, float] = {}

    def begin(self, connection: socket.socket) -> None:
        """Record that a thread begins to read from ``connection``."""
        with self._lock:
            self._started_ms[connection] = monotonic_ms()

    def end(self, connection: socket.socket) -> None:
        """Record that the request was read, or that reading it was aborted."""
        with self._lock:
            self._started_ms.pop(connection, None)

    def abort_overdue(self, bound_ms: float) -> None:
        """Shut down the connections read from for more than ``bound_ms``."""
        with self._lock:
            for connection in overdue(monotonic_ms(), self._started_ms, bound_ms):
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)


_C = t.TypeVar("_C")


def overdue(
    now_ms: float, started_ms: t.Mapping[_C, float], bound_ms: float
) -> list[_C]:
    """Return the connections that have been read from for more than ``bound_ms``.

    :param started_ms: time at which the reading began, by connection.
    """
    return [
        connection
        for connection, since_ms in started_ms.items()
        if now_ms - since_ms > bound_ms
    ]


class _Connection(cheroot.server.HTTPConnection):
    """A connection that records while its request is being read."""

    def communicate(self) -> bool:
        sock = self.socket
        self.server.readers.begin(sock)
        try:
            return super().communicate()
        finally:
            self.server.readers.end(sock)


class _Gateway(cheroot.wsgi.Gateway_10):
    """Reads the body before calling the application; adds the connection to environ.

    A caller that sends its body slowly therefore occupies a thread of the pool for a
    bounded time only, and does not count as a request in progress.
    """

    def respond(self) -> None:
        """Read the body, then call the application."""
        length = self.env.get("CONTENT_LENGTH") or "0"
        if self.env.get("wsgi.input_terminated"):
            body = self.req.rfile.read(defaults.MAX_BODY_BYTES + 1)
            self.env["wsgi.input"] = io.BytesIO(body)
        elif length.isdecimal() and int(length) <= defaults.MAX_BODY_BYTES:
            self.env["wsgi.input"] = io.BytesIO(self.req.rfile.read(int(length)))
        self.req.server.readers.end(self.req.conn.socket)
        super().respond()

    def get_environ(self) -> dict[str, t.Any]:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


def caller_is_gone(connection: socket.socket) -> bool:
    """Return whether the caller closed its side of ``connection``."""
    try:
        poll = select.poll()
        poll.register(connection, select.POLLIN)
        # Without data, a peek at a socket with a timeout would block until the timeout.
        if not poll.poll(0):
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


@contextlib.contextmanager
def serving(
    application: Application,
    address: str,
    port: int,
    threads: int,
    read_bound_ms: float = defaults.READ_BOUND_MS,
) -> t.Iterator[int]:
    """Serve ``application`` until the block ends; yield the port that was bound.

    :param read_bound_ms: how long a caller may take to send its request while every
        thread is in use.
    """
    server = cheroot.wsgi.Server((address, port), application, numthreads=threads)
    server.gateway = _Gateway
    server.ConnectionClass = _Connection
    server.readers = _Readers()
    server.max_request_header_size = defaults.MAX_HEADER_BYTES
    server.max_request_body_size = defaults.MAX_FRAME_BYTES
    server.timeout = defaults.SOCKET_TIMEOUT_MS / 1000
    server.request_queue_size = defaults.LISTEN_BACKLOG
    server.keep_alive_conn_limit = 4 * threads
    server.shutdown_timeout = defaults.SEND_TIMEOUT_MS / 1000
    server.error_log = _log_error
    server.prepare()
    thread = threading.Thread(target=server.serve, name="http", daemon=True)
    thread.start()
    stopping = threading.Event()
    watch = start_thread("readers", _watch_readers, server, read_bound_ms, stopping)
    try:
        yield server.bind_addr[1]
    finally:
        stopping.set()
        server.stop()
        thread.join()
        watch.join()


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log an error that cheroot reports; aborted streams are also reported here."""
    error = sys.exc_info()[1]
    events.emit(log, events.HTTP_FAULT, message=msg, error=repr(error))
    if traceback:
        log.debug("unexpected error in the HTTP server", exc_info=True)


def _watch_readers(
    server: cheroot.wsgi.Server, bound_ms: float, stopping: threading.Event
) -> None:
    while not stopping.wait(bound_ms / _CHECKS_PER_BOUND / 1000):
        if server.requests.idle == 0:
            server.readers.abort_overdue(bound_ms)
