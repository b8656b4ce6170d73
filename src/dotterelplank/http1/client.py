"""HTTP/1.1 client connections, kept open for several requests.

Responses aren't trusted: they may be malformed, endless, or belong to another request.
"""

import asyncio
import contextlib
import dataclasses
import socket
import typing as t

import h11

from ..errors import UpstreamError
from .bodies import ByteBudget
from .messages import MAX_EVENTS_PER_TURN, Headers, header, keep_alive_ms
from .responses import Request, ResponseEvent, ResponseParser

MAX_UNREAD_BYTES: t.Final = 64 * 1024
"""Received data that isn't parsed yet, from which reading is paused."""
MAX_BODIES_BYTES: t.Final = 16 * 1024 * 1024
"""Largest bodies, together, that are read from one server at once."""
MAX_SKIPPED_BYTES: t.Final = 64 * 1024
"""The most that is read of a body that is skipped."""
MAX_INTERIM_RESPONSES: t.Final = 8
"""The most responses of status 1xx before the final one."""
TCP_USER_TIMEOUT_MS: t.Final = 1_500
"""How long sent data may stay unacknowledged before the connection is closed."""
KEEPALIVE_INTERVAL_S: t.Final = 1
KEEPALIVE_PROBES: t.Final = 2
DEFAULT_KEEP_ALIVE_MS: t.Final = 4_000.0
"""Idle timeout assumed of an endpoint that doesn't send one."""
KEEP_ALIVE_RATIO: t.Final = 0.7
"""The part of an endpoint's idle timeout up to which a connection is reused."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of a response."""

    status: int
    headers: Headers


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint, with at most one request in progress.

    Responses are parsed as they are read, a bounded number of events in one turn of the
    event loop, so that an endpoint can't keep the loop busy.

    ``requests_sent`` counts its requests. ``refused_ids`` are the ids of those that the
    endpoint has refused, kept by the user of the connection: a faulty endpoint may
    write a refusal once more.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = ResponseParser()
        self._unread_event: ResponseEvent | None = None
        self._events_in_turn = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None
        self._request: Request | None = None
        self._is_idle = True
        self._has_to_close = False
        self.requests_sent = 0
        self.refused_ids: set[bytes] = set()
        self.idle_since_ms = 0.0
        self.keep_alive_ms = DEFAULT_KEEP_ALIVE_MS

    @property
    def has_marked_end(self) -> bool:
        """Whether the response has ended, and not merely with its connection."""
        return self._parser.is_end_marked

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._is_idle
            and not self._has_to_close
            and self._failure is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and enable TCP keepalive to detect a dead peer."""
        self._transport = t.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Keep received data; close the connection if no request is in progress."""
        if self._is_idle:
            self._fail("received data without a request")
            self.close()
            return
        self._parser.receive(data)
        if self._parser.unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the end of the endpoint's data."""
        self._parser.end()
        self._fail("the endpoint closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection has ended."""
        self._transport = None
        self._fail("the connection was reset" if exc else "the connection was closed")

    def send(self, request: Request) -> None:
        """Send a request with its body.

        :raises UpstreamError: if the connection isn't usable; nothing was sent.
        """
        if not self.is_usable:
            raise UpstreamError(self._failure or "the connection has ended", sent=False)
        self._is_idle = False
        self._request = request
        self.requests_sent += 1
        self._transport.write(self._parser.encode(request))

    async def head(self) -> ResponseHead:
        """Return the head of the response.

        :raises UpstreamError: if the connection has ended, or if the received data
            isn't a valid response.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return self._head(event)
        raise UpstreamError("too many interim responses", sent=True)

    async def body_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        Chunks that have arrived already are joined, up to MAX_EVENTS_PER_TURN.

        :raises UpstreamError: if the body was cut short.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            self._end_response()
            return None
        part = bytearray(event.data)
        while self._events_in_turn < MAX_EVENTS_PER_TURN:
            following = self._take_event()
            if not isinstance(following, h11.Data):
                self._unread_event = following
                break
            part += following.data
        return bytes(part)

    async def skip_body(self) -> bool:
        """Skip the body, up to MAX_SKIPPED_BYTES.

        :return: whether the end of the body was reached.
        :raises UpstreamError: if the body was cut short.
        """
        is_ended = await self._skip()
        if is_ended:
            self._end_response()
        return is_ended

    async def skip_response(self) -> None:
        """Skip a response that doesn't belong to the request in progress.

        :raises UpstreamError: if the response is too long, or if its end isn't marked.
        """
        if not await self._skip():
            raise UpstreamError(
                "a response to another request exceeds the size limit", True
            )
        self._has_to_close = True
        if not self._parser.is_end_marked:
            raise UpstreamError(
                "a response to another request has no marked end", sent=True
            )
        self._parser = self._parser.next_response(t.cast(Request, self._request))

    def _head(self, response: h11.Response) -> ResponseHead:
        headers = list(response.headers)
        server_idle_ms = keep_alive_ms(headers)
        if server_idle_ms is not None:
            self.keep_alive_ms = server_idle_ms
        if (header(headers, b"connection") or b"").lower() == b"close":
            self._has_to_close = True
        return ResponseHead(response.status_code, headers)

    async def _skip(self) -> bool:
        """Skip a body; return whether its end came within MAX_SKIPPED_BYTES."""
        skipped_bytes = 0
        while isinstance(event := await self._next_event(), h11.Data):
            skipped_bytes += len(event.data)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                return False
        return True

    def close(self) -> None:
        """Close the connection at once, even with a request in progress."""
        self._has_to_close = True
        if self._transport is not None:
            self._transport.abort()

    def _end_response(self) -> None:
        self._is_idle = True
        self._request = None
        if not self._parser.is_reusable:
            self._has_to_close = True

    async def _next_event(self) -> ResponseEvent:
        """Return the next event, after a turn of the event loop if many were read."""
        if self._events_in_turn >= MAX_EVENTS_PER_TURN:
            await asyncio.sleep(0)
            self._events_in_turn = 0
        while (event := self._take_event()) is None:
            if self._failure is not None:
                raise UpstreamError(self._failure, sent=True)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._events_in_turn = 0
        return event

    def _take_event(self) -> ResponseEvent | None:
        """Return the next event that can be parsed now; None if there is none."""
        event, self._unread_event = self._unread_event, None
        if event is not None:
            return event
        self._events_in_turn += 1
        try:
            event = self._parser.next_event()
        except UpstreamError as error:
            self._failure = str(error)
            return None
        if (
            self._parser.unread_bytes <= MAX_UNREAD_BYTES
            and self._transport is not None
        ):
            self._transport.resume_reading()
        return event

    def _fail(self, why: str) -> None:
        if self._failure is None:
            self._failure = why
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(ip: str, port: int, timeout_s: float) -> EndpointConnection:
    """Open a connection to an address.

    :raises UpstreamError: if it can't be opened in time; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(EndpointConnection, ip, port)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # A host or port that is malformed raises the last two.
        error_type = type(error).__name__
        raise UpstreamError(
            f"{ip}:{port}: {error_type}: {error}", sent=False
        ) from error
    return connection


async def is_listening(ip: str, port: int, timeout_s: float) -> bool:
    """Return whether an address accepts connections.

    Only a refused connection shows that it doesn't; an address that can't be reached
    in time may still be in use.
    """
    try:
        connection = await connect(ip, port, timeout_s)
    except UpstreamError as error:
        return not isinstance(error.__cause__, ConnectionRefusedError)
    connection.close()
    return True


class Pool:
    """Idle connections to one server, kept for further requests.

    ``budget`` bounds the bodies that are read on all connections to the server.
    """

    def __init__(self, ip: str, port: int) -> None:
        self.ip = ip
        self.port = port
        self.budget = ByteBudget(MAX_BODIES_BYTES)
        self._idle: list[EndpointConnection] = []

    def acquire(self, now_ms: float, max_idle_ms: float) -> EndpointConnection | None:
        """Return the usable connection that was released last, or ``None``.

        Connections that are idle for too long are closed.

        :param max_idle_ms: idle time up to which a connection is returned.
        """
        while self._idle:
            connection = self._idle.pop()
            idle_timeout_ms = min(
                max_idle_ms, connection.keep_alive_ms * KEEP_ALIVE_RATIO
            )
            idle_ms = now_ms - connection.idle_since_ms
            if connection.is_usable and idle_ms < idle_timeout_ms:
                return connection
            connection.close()
        return None

    def release(self, now_ms: float, connection: EndpointConnection) -> None:
        """Keep ``connection`` if it may be used again, else close it."""
        if connection.is_usable:
            connection.idle_since_ms = now_ms
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()


@contextlib.asynccontextmanager
async def temporary_connection(
    ip: str, port: int, timeout_s: float
) -> t.AsyncIterator[EndpointConnection]:
    """Open a connection that is closed at the end of the ``with`` block.

    :raises UpstreamError: if it can't be opened in time.
    """
    connection = await connect(ip, port, timeout_s)
    try:
        yield connection
    finally:
        connection.close()


def _enable_keepalive(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
