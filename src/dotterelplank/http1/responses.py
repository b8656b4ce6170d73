"""Parses the responses on one connection, a piece of the received data at a time."""

import dataclasses
import typing as t

import h11

from ..errors import UpstreamError
from .messages import Headers

MAX_HEAD_BYTES: t.Final = 64 * 1024
"""Largest head, chunk header or trailer."""
SLICE_BYTES: t.Final = 16 * 1024
"""Received data that the parser is given at once."""

ResponseEvent = h11.Response | h11.InformationalResponse | h11.Data | h11.EndOfMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to send.

    :param target: path and query.
    :param headers: end-to-end headers, including ``host``.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class ResponseParser:
    """The parser of one connection's responses, which reads data only on demand.

    ``receive()`` just keeps the data; each ``next_event()`` parses one event of it.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._received = bytearray()
        self._is_ended = False
        self._is_end_parsed = False

    @property
    def unread_bytes(self) -> int:
        """The size of the received data that hasn't been given to the parser."""
        return len(self._received)

    @property
    def is_end_marked(self) -> bool:
        """Whether the response that was read has ended, and not with its connection."""
        return self._h11.their_state is h11.DONE and not self._is_end_parsed

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow the response that was read."""
        trailing, _ = self._h11.trailing_data
        is_complete = self._h11.their_state is h11.DONE
        return is_complete and not trailing and not self._received

    def encode(self, request: Request) -> bytes:
        """Return the bytes of a request, and expect its response.

        A request may follow a response that was read to its end.
        """
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        sent = self._h11.send(head)
        if request.body:
            sent += self._h11.send(h11.Data(data=request.body))
        return sent + self._h11.send(h11.EndOfMessage())

    def receive(self, data: bytes) -> None:
        """Keep received data."""
        self._received += data

    def end(self) -> None:
        """Note that no data will follow."""
        self._is_ended = True

    def next_event(self) -> ResponseEvent | None:
        """Parse and return the next event; None if more data is needed.

        :raises UpstreamError: if the data isn't a valid response.
        """
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise UpstreamError(f"invalid response: {error}", sent=True) from error
            if event is h11.NEED_DATA and self._feed():
                continue
            return event if isinstance(event, ResponseEvent) else None

    def next_response(self, request: Request) -> "ResponseParser":
        """Return a parser of the data after this response, for the same request."""
        following = ResponseParser()
        following.encode(request)
        trailing, _ = self._h11.trailing_data
        following.receive(trailing + bytes(self._received))
        if self._is_ended:
            following.end()
        return following

    def _feed(self) -> bool:
        """Give the parser more received data, or the end of all; return whether."""
        if self._received:
            self._h11.receive_data(bytes(self._received[:SLICE_BYTES]))
            del self._received[:SLICE_BYTES]
            return True
        if self._is_ended and not self._is_end_parsed:
            self._is_end_parsed = True
            self._h11.receive_data(b"")
            return True
        return False
