"""A server for tests that writes the bytes it is told to, on kept connections."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import typing as t

ID_HEADER = b"x-request-id:"


@dataclasses.dataclass(frozen=True)
class RawCall:
    """A request as the server got it.

    :param number: how many requests came before it on all connections.
    :param connection: number of its connection.
    """

    id: bytes
    head: bytes
    number: int
    connection: int


def refusal(call_id: bytes | None) -> bytes:
    """Return the refusal of a call that hasn't run; None: without an id."""
    lines = [b"HTTP/1.1 503 Service Unavailable", b"x-not-executed: 1"]
    return _response(lines, call_id, b"")


def answer(call_id: bytes, body: bytes) -> bytes:
    """Return a complete answer with a signature."""
    return _response([b"HTTP/1.1 200 OK", b"x-server-signature: s"], call_id, body)


def _response(lines: list[bytes], call_id: bytes | None, body: bytes) -> bytes:
    if call_id is not None:
        lines.append(ID_HEADER + b" " + call_id)
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Make the next close of a connection a reset."""
    found = writer.get_extra_info("socket")
    found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


Respond = t.Callable[[RawCall, asyncio.StreamWriter], t.Awaitable[bool]]
"""Writes what is due to a request; returns whether the connection stays open."""


@contextlib.asynccontextmanager
async def raw_server(respond: Respond) -> t.AsyncIterator[int]:
    """Run a server on a free port, and yield the port."""
    counts = {"calls": 0, "connections": 0}

    async def serve(reader, writer):
        connection = counts["connections"]
        counts["connections"] += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                await reader.readexactly(_length(head))
                number = counts["calls"]
                counts["calls"] += 1
                call = RawCall(_value(head, ID_HEADER), head, number, connection)
                if not await respond(call, writer):
                    break
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()


def _length(head: bytes) -> int:
    return int(_value(head, b"content-length:") or 0)


def _value(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        if line.startswith(name):
            return line[len(name) :].strip()
    return b""
