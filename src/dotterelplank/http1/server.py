"""HTTP/1.1 server connections from callers.

Each call is read with its body before it is handled. The calls of a connection are
handled one after the other.
"""

import asyncio
import dataclasses
import typing as t

import h11

from .messages import MAX_EVENTS_PER_TURN, Headers, header

MAX_PIPELINED_BYTES: t.Final = 64 * 1024
"""Data of further calls above which reading is paused until a call is answered."""
CLOSE_LINGER_S: t.Final = 1.0
"""Time after a refusal in which a caller may read it before the connection closes."""

_REASON_PHRASES: t.Final = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the size of calls, and on how long a caller may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


DEFAULT_CONNECTION_LIMITS: t.Final = ConnectionLimits(16_384, 1_048_576, 3.0, 15.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call that has been read with its body.

    :param target: path and query, as the caller sent them.
    :param headers: all headers, names in lower case.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Exchange:
    """The response to one call, which a handler sends with these methods.

    ``has_begun`` and ``is_complete`` tell how much of it has been sent.
    """

    def __init__(self, connection: "CallerConnection") -> None:
        self._connection = connection
        self.has_begun = False
        self.is_complete = False

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of the response.

        :param length: length of the body in bytes; None: the body is sent in chunks.
        """
        framing = (b"transfer-encoding", b"chunked")
        if length is not None:
            framing = (b"content-length", str(length).encode())
        self.has_begun = True
        self._connection.send_head(status, [*headers, framing])

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._connection.send(h11.Data(data=data))

    async def drain(self) -> None:
        """Wait until the caller has read most of what was sent."""
        await self._connection.writable.wait()

    def finish(self) -> None:
        """Complete the response."""
        self.is_complete = True
        self._connection.send(h11.EndOfMessage())
        self._connection.finish()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        self.begin(status, headers, len(body))
        if body:
            self.send(body)
        self.finish()

    def abort(self) -> None:
        """Close the connection, so that the response is recognised as incomplete."""
        self._connection.abort()


Handler = t.Callable[[Call, Exchange], t.Coroutine[t.Any, t.Any, None]]


class Server:
    """The connections of one listener, with their handler and settings.

    :param handler: answers a call.
    :param connection_limits: returns the limits for the next call of a connection.
    :param on_refused: called for each call that couldn't be read, with the status of
        the response and the reason.
    """

    def __init__(
        self,
        handler: Handler,
        connection_limits: t.Callable[[], ConnectionLimits],
        on_refused: t.Callable[[int, str], None],
    ) -> None:
        self.handler = handler
        self.connection_limits = connection_limits
        self.on_refused = on_refused
        self.connections: set[CallerConnection] = set()
        self.is_stopping = False

    def make_connection(self) -> "CallerConnection":
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def stop(self) -> None:
        """Close every connection after its next response."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Close the connections on which no call is being read or answered."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.close()

    def in_progress(self) -> int:
        """Return how many calls are being read or answered."""
        return sum(connection.is_busy for connection in self.connections)


class CallerConnection(asyncio.Protocol):
    """One connection from a caller."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._has_input = False
        self._is_refused = False
        self.writable = asyncio.Event()
        self.writable.set()
        self._expect_call()

    @property
    def is_busy(self) -> bool:
        """Whether a call is being read or answered."""
        return self._task is not None or self._has_input

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and start the idle timeout."""
        self._transport = t.cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._start_timer(self._connection_limits.idle_timeout_s, self.close)

    def data_received(self, data: bytes) -> None:
        """Process received data of a call."""
        if self._is_refused:
            return
        if self._task is None and not self._has_input:
            self._expect_call()
            self._start_timer(
                self._connection_limits.header_timeout_s, self._on_head_timeout
            )
        self._has_input = True
        self._h11.receive_data(data)
        pipelined, _ = self._h11.trailing_data
        if self._task is not None and len(pipelined) > MAX_PIPELINED_BYTES:
            self._transport.pause_reading()
        self._process_input()

    def eof_received(self) -> bool:
        """Close the connection, as the caller may not read a response any more."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call in progress."""
        self._server.connections.discard(self)
        self._cancel_timer()
        self.writable.set()
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make drain() wait until the caller reads on."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let drain() return."""
        self.writable.set()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""
        if self._server.is_stopping:
            headers = [*headers, (b"connection", b"close")]
        reason = _REASON_PHRASES.get(status, b"")
        self.send(h11.Response(status_code=status, headers=headers, reason=reason))

    def send(self, event: t.Any) -> None:
        """Send one h11 event of a response."""
        data = self._h11.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def finish(self) -> None:
        """Prepare for the next call, or close the connection if there can't be one."""
        self._task = None
        if self._transport is None:
            return
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self.close()
            return
        pipelined, _ = self._h11.trailing_data
        self._expect_call()
        self._transport.resume_reading()
        self._has_input = bool(pipelined)
        if self._has_input:
            self._h11.receive_data(pipelined)
        timeout_s = self._connection_limits.idle_timeout_s
        on_timeout = self.close
        if self._has_input:
            timeout_s = self._connection_limits.header_timeout_s
            on_timeout = self._on_head_timeout
        self._start_timer(timeout_s, on_timeout)
        if self._has_input:
            self._loop.call_soon(self._process_input)

    def close(self) -> None:
        """Close the connection after sending the buffered data."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection and leave the response incomplete.

        HTTP/1.0 has no chunks, so the connection is reset there to show the error.
        """
        if self._transport is None:
            return
        if self._h11.their_http_version == b"1.0":
            self._transport.abort()
        else:
            self._transport.close()

    def _expect_call(self) -> None:
        """Prepare to read a call, within the limits that hold by now."""
        self._connection_limits = self._server.connection_limits()
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._connection_limits.header_bytes
        )

    def _process_input(self) -> None:
        """Parse what was received, a bounded part in one turn of the loop."""
        if self._task is not None:
            return
        for _ in range(MAX_EVENTS_PER_TURN):
            if self._transport is None or self._is_refused:
                return
            if not self._process_next_event():
                self._resume_reading()
                return
        if self._transport is not None:
            self._transport.pause_reading()
            self._loop.call_soon(self._process_input)

    def _process_next_event(self) -> bool:
        """Parse and process one event; return whether to read the next one."""
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
            return False
        if event is h11.NEED_DATA:
            self._send_continue()
            return False
        return self._handle_event(event)

    def _resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def _send_continue(self) -> None:
        if self._request is not None and self._h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _handle_event(self, event: t.Any) -> bool:
        """Process one h11 event; return whether to read the next one."""
        if isinstance(event, h11.Request):
            return self._handle_request_head(event)
        if isinstance(event, h11.Data):
            self._start_timer(
                self._connection_limits.idle_timeout_s, self._on_body_timeout
            )
            self._body += event.data
            if len(self._body) > self._connection_limits.body_bytes:
                self._refuse(413, "the body exceeds the size limit")
                return False
            return True
        if isinstance(event, h11.EndOfMessage):
            self._begin_call()
            return False
        return event is not h11.PAUSED

    def _handle_request_head(self, request: h11.Request) -> bool:
        headers = list(request.headers)
        coding = header(headers, b"transfer-encoding")
        length = header(headers, b"content-length")
        if coding is not None and length is not None:
            self._refuse(400, "both Content-Length and Transfer-Encoding are given")
            return False
        if length is not None and int(length) > self._connection_limits.body_bytes:
            self._refuse(413, "the body exceeds the size limit")
            return False
        self._request = request
        self._body = bytearray()
        self._start_timer(self._connection_limits.idle_timeout_s, self._on_body_timeout)
        return True

    def _begin_call(self) -> None:
        self._cancel_timer()
        request = t.cast(h11.Request, self._request)
        self._request = None
        call = Call(
            request.method, request.target, list(request.headers), bytes(self._body)
        )
        self._body = bytearray()
        self._has_input = False
        exchange = Exchange(self)
        self._task = self._loop.create_task(self._server.handler(call, exchange))

    def _refuse(self, status: int, why: str) -> None:
        self._cancel_timer()
        self._resume_reading()
        self._server.on_refused(status, why)
        self._is_refused = True
        self._request = None
        self._has_input = False
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            reason = _REASON_PHRASES.get(status, b"")
            self.send(h11.Response(status_code=status, headers=headers, reason=reason))
            self.send(h11.EndOfMessage())
        if self._transport is not None and self._transport.can_write_eof():
            # Closing with unread data would reset the connection before the response.
            self._transport.write_eof()
            self._start_timer(CLOSE_LINGER_S, self.close)

    def _on_head_timeout(self) -> None:
        self._refuse(408, "the head took too long")

    def _on_body_timeout(self) -> None:
        self._refuse(408, "the body took too long")

    def _start_timer(self, delay_s: float, callback: t.Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
