"""The thread that serves the streams and datagrams of one process.

The thread accepts and opens connections, reads and writes data, and calls the handlers
of the process.
"""

import collections
import contextlib
import dataclasses
import logging
import secrets
import selectors
import socket
import threading
import time
import typing as t

from .. import defaults, events
from ..clocks import monotonic_ms
from ..errors import LinkClosedError, PeerRefusedError, ProtocolError
from . import handshakes
from .handshakes import Handshake, Side
from .links import Identity, Link
from .messages import PROTOCOL_VERSION, Hello, Message

log = logging.getLogger(__name__)

_MAX_DATAGRAM_BYTES = 64 * 1024
_PORT_ATTEMPTS = 20
_DRAIN_POLL_S = 0.01
_MAX_HANDSHAKE_BYTES = 4 * 1024
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, defaults.KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, defaults.KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, defaults.KEEPALIVE_PROBES),
)


@dataclasses.dataclass(frozen=True)
class Handlers:
    """Callbacks of the owner of the links, which run on the serving thread.

    :param on_ready: called with a link when its handshake has succeeded.
    :param on_message: called with a link and each message received after the handshake.
    :param on_closed: called with a link, ready or not, when it has been closed, and
        with the host passed to :meth:`LinkServer.connect` or ``None`` for an accepted
        link.
    :param on_tick: called about every ``TICK_INTERVAL_MS`` with the monotonic time in
        milliseconds.
    :param on_datagram: called with each datagram and its sender's address and port.
    :param on_pause: called after a pause of this process with its length in
        milliseconds, before anything that arrived during the pause is read.
    :param epoch: returns the ticket epoch to send in a hello.
    """

    on_ready: t.Callable[[Link], None]
    on_message: t.Callable[[Link, Message], None]
    on_closed: t.Callable[[Link, str | None], None]
    on_tick: t.Callable[[float], None]
    on_datagram: t.Callable[[bytes, str, int], None]
    on_pause: t.Callable[[float], None]
    epoch: t.Callable[[], int] = lambda: 0


class LinkServer:
    """Owns the links of one process and the thread that serves them."""

    def __init__(self, identity: Identity, handlers: Handlers) -> None:
        self._identity = identity
        self._handlers = handlers
        self._selector = selectors.DefaultSelector()
        self._listener: socket.socket | None = None
        self._datagrams: socket.socket | None = None
        self._dialled: dict[Link, str] = {}
        self._links: set[Link] = set()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._calls: collections.deque[t.Callable[[], None]] = collections.deque()
        self._stopping = False
        self._thread = threading.Thread(target=self._serve, name="links", daemon=True)

    def listen(self, address: str, port: int) -> int:
        """Listen for streams and datagrams at ``address`` and return their common port.

        :raises OSError: if the port isn't available.
        """
        listener, datagram_socket = _bind_pair(address, port)
        self._listener = listener
        self._datagrams = datagram_socket
        self._selector.register(listener, selectors.EVENT_READ)
        self._selector.register(datagram_socket, selectors.EVENT_READ)
        return listener.getsockname()[1]

    def send_datagram(self, data: bytes, address: str, port: int) -> None:
        """Send a datagram; it is dropped without an error if it can't be sent."""
        with contextlib.suppress(OSError):
            t.cast(socket.socket, self._datagrams).sendto(data, (address, port))

    def start(self) -> None:
        """Start the serving thread."""
        self._thread.start()

    def stop(self, drain_timeout_ms: float = defaults.DRAIN_TIMEOUT_MS) -> None:
        """Send what is queued, close all links and end the thread.

        Queued data is sent for at most ``drain_timeout_ms``; the rest is dropped.
        """
        end_ms = monotonic_ms() + drain_timeout_ms
        while self._has_unsent() and monotonic_ms() < end_ms:
            time.sleep(_DRAIN_POLL_S)
        self._stopping = True
        self._wake()
        self._thread.join()

    def _has_unsent(self) -> bool:
        return any(link.is_ready and link.has_unsent() for link in list(self._links))

    def abort_all(self) -> None:
        """Close every link and discard received data that has not been read."""
        for link in list(self._links):
            self._close(link, "its unread data may be outdated")

    def call(self, function: t.Callable[[], None]) -> None:
        """Schedule ``function`` to run on the serving thread."""
        self._calls.append(function)
        self._wake()

    def connect(self, host: str, address: str, port: int) -> None:
        """Begin to connect to ``host``; call this on the serving thread only."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        link = self._register_link(sock, Side.CONNECTOR)
        link.connecting = True
        self._dialled[link] = host
        try:
            sock.connect((address, port))
        except BlockingIOError:
            pass
        except OSError as error:
            self._close(link, str(error))
            return
        self._selector.modify(link, selectors.EVENT_READ | selectors.EVENT_WRITE, link)

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            self._wake_writer.send(b"w")

    def _serve(self) -> None:
        next_tick_ms = monotonic_ms()
        while not self._stopping:
            before_ms = monotonic_ms()
            wait_ms = max(0.0, next_tick_ms - before_ms)
            ready = self._selector.select(wait_ms / 1000)
            self._detect_pause(monotonic_ms() - before_ms - wait_ms)
            for key, mask in ready:
                self._on_ready_socket(key, mask)
            self._run_calls()
            now_ms = monotonic_ms()
            if now_ms >= next_tick_ms:
                next_tick_ms = now_ms + defaults.TICK_INTERVAL_MS
                self._close_expired_handshakes(now_ms)
                self._call_handler(self._handlers.on_tick, now_ms)
        self._close_all()

    def _detect_pause(self, late_ms: float) -> None:
        if late_ms < defaults.MIN_PAUSE_MS:
            return
        events.emit(log, events.PAUSE_NOTICED, late_ms=late_ms)
        now_ms = monotonic_ms()
        for link in self._links:
            link.last_seen_ms = now_ms
        self._call_handler(self._handlers.on_pause, late_ms)

    def _on_ready_socket(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.fileobj is self._wake_reader:
            with contextlib.suppress(BlockingIOError):
                self._wake_reader.recv(4096)
        elif key.fileobj is self._listener:
            self._accept()
        elif key.fileobj is self._datagrams:
            self._receive_datagrams()
        else:
            self._on_link(key.data, mask)

    def _receive_datagrams(self) -> None:
        datagram_socket = t.cast(socket.socket, self._datagrams)
        for _ in range(defaults.MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, sender = datagram_socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._call_handler(self._handlers.on_datagram, data, sender[0], sender[1])

    def _call_handler(self, function: t.Callable[..., None], *arguments: t.Any) -> None:
        """Call ``function`` and log an exception, which must not end the thread."""
        try:
            function(*arguments)
        except Exception:
            events.emit(log, events.HANDLER_FAILED, what=function.__qualname__)
            log.exception("handler failed")

    def _accept(self) -> None:
        try:
            sock, _ = t.cast(socket.socket, self._listener).accept()
        except OSError:
            return
        sock.setblocking(False)
        self._register_link(sock, Side.ACCEPTOR)

    def _register_link(self, sock: socket.socket, side: Side) -> Link:
        for level, name, value in _SOCKET_OPTIONS:
            sock.setsockopt(level, name, value)
        own = Hello(
            PROTOCOL_VERSION,
            self._identity.host,
            self._identity.role,
            self._identity.domain,
            self._identity.incarnation,
            secrets.token_bytes(handshakes.NONCE_SIZE_BYTES),
            self._handlers.epoch(),
        )
        link = Link(sock, Handshake(side, own, self._identity.secret), self._arm_soon)
        link.opened_ms = link.last_seen_ms = monotonic_ms()
        self._links.add(link)
        self._selector.register(link, selectors.EVENT_READ, link)
        return link

    def _on_link(self, link: Link, mask: int) -> None:
        if link not in self._links:
            return
        if link.connecting:
            self._on_connected(link)
            return
        if mask & selectors.EVENT_WRITE:
            link.flush()
            self._update_interest(link)
        if mask & selectors.EVENT_READ:
            self._read(link)

    def _on_connected(self, link: Link) -> None:
        error = link.connect_error()
        if error:
            self._close(link, f"connect failed with error {error}")
            return
        link.connecting = False
        self._update_interest(link)
        for message in handshakes.first_messages(link.handshake):
            link.send(message)

    def _read(self, link: Link) -> None:
        try:
            data = link.receive()
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._close(link, str(error))
            return
        if not data:
            self._close(link, "the peer closed the stream")
            return
        link.last_seen_ms = monotonic_ms()
        link.received_size_bytes += len(data)
        try:
            for message in link.reader.feed(data):
                self._on_message(link, message)
            self._check_handshake_size(link)
        except PeerRefusedError as error:
            events.emit(log, events.PEER_REFUSED, reason=str(error))
            self._close(link, str(error))
        except ProtocolError as error:
            events.emit(log, events.FRAME_REFUSED, reason=str(error))
            self._close(link, str(error))
        except LinkClosedError as error:
            self._close(link, str(error))

    def _on_message(self, link: Link, message: Message) -> None:
        link.messages_received += 1
        if link.handshake.ready:
            self._call_handler(self._handlers.on_message, link, message)
            return
        for reply in handshakes.advance(link.handshake, message):
            link.send(reply)
        if link.handshake.ready:
            self._call_handler(self._handlers.on_ready, link)

    def _check_handshake_size(self, link: Link) -> None:
        if link.handshake.ready:
            return
        if link.received_size_bytes > _MAX_HANDSHAKE_BYTES:
            raise ProtocolError(
                f"got {link.received_size_bytes} bytes before the handshake was over"
            )

    def _close_expired_handshakes(self, now_ms: float) -> None:
        for link in list(self._links):
            if link.handshake.ready:
                continue
            if now_ms - link.opened_ms > defaults.HANDSHAKE_TIMEOUT_MS:
                self._close(link, "the handshake took too long")

    def _run_calls(self) -> None:
        while self._calls:
            self._call_handler(self._calls.popleft())

    def _arm_soon(self, link: Link) -> None:
        self.call(lambda: self._update_interest(link))

    def _update_interest(self, link: Link) -> None:
        if link not in self._links or link.connecting:
            return
        mask = selectors.EVENT_READ
        if link.has_unsent():
            mask |= selectors.EVENT_WRITE
        self._selector.modify(link, mask, link)

    def _close(self, link: Link, reason: str) -> None:
        if link not in self._links:
            return
        self._links.discard(link)
        self._selector.unregister(link)
        link.close()
        dialled = self._dialled.pop(link, None)
        if link.handshake.ready:
            events.emit(log, events.LINK_CLOSED, peer=link.peer.host, reason=reason)
        self._call_handler(self._handlers.on_closed, link, dialled)

    def _close_all(self) -> None:
        end_ms = monotonic_ms() + defaults.CLOSE_TIMEOUT_MS
        for link in self._links:
            link.shutdown_write()
        for link in list(self._links):
            link.wait_closed(end_ms - monotonic_ms())
            self._close(link, "this process stops")
        for sock in (self._listener, self._datagrams):
            if sock is not None:
                sock.close()
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()


def _bind_pair(address: str, port: int) -> tuple[socket.socket, socket.socket]:
    """Return a listening and a datagram socket that share a port number."""
    for _ in range(_PORT_ATTEMPTS):
        listener = socket.create_server(
            (address, port), backlog=defaults.LISTEN_BACKLOG
        )
        listener.setblocking(False)
        datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagram_socket.setblocking(False)
        try:
            datagram_socket.bind((address, listener.getsockname()[1]))
        except OSError:
            listener.close()
            datagram_socket.close()
            if port:
                raise
            continue
        return listener, datagram_socket
    raise OSError(f"no port of {address} is free for both streams and datagrams")
