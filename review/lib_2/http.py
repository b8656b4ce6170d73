"""A small HTTP/1.1 server and client for the stand-ins of the review's cases."""

import asyncio
import contextlib
import socket
import struct


class Message:
    """The head and the body of a request or of a response."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        """Return the first value of a header, whose name is in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return default


async def read_head(reader):
    """Return the head of the next message, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Message(first, headers)


async def read_chunk(reader):
    """Return the next chunk of a body; b"" is its end."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, message):
    """Read the body of a message that has a length or comes in chunks."""
    if message.header("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(message.header("content-length", "0")))


def encode(first, headers, body=b""):
    """Return a message with a length."""
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def serve(handle, ip, port, writers=None):
    """Serve requests, one at a time on a connection.

    :param handle: answers a request on a writer; returns whether to keep the channel.
    :param writers: the set that is to hold the writers of the open connections.
    """
    writers = set() if writers is None else writers

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                if not await handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connected, ip, port, limit=1 << 20)
    return server


def reset(writer):
    """Reset a connection."""
    found = writer.get_extra_info("socket")
    if found is not None:
        option = struct.pack("ii", 1, 0)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()


@contextlib.asynccontextmanager
async def connection(ip, port, sock=None):
    """Open a connection that is closed at the end of the block."""
    if sock is None:
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
    else:
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    try:
        yield reader, writer
    finally:
        writer.close()
