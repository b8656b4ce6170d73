"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import contextlib
import dataclasses
import enum

CHUNK_BYTES = 16_384


class Mode(enum.Enum):
    """What becomes of bytes that go through."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    LOSE_REQUESTS = "lose requests"
    LOSE_ANSWERS = "lose answers"
    SILENT = "silent"


DROPS_REQUESTS = {Mode.LOSE_REQUESTS, Mode.SILENT}
DROPS_RESPONSES = {Mode.LOSE_ANSWERS, Mode.SILENT}


@dataclasses.dataclass
class Proxy:
    """Stands before one server.

    Bytes that are lost stay lost, so a connection that lost some is never whole again.
    """

    port: int
    mode: Mode = Mode.PASS
    delay_s: float = 0.05
    connections: set = dataclasses.field(default_factory=set)

    def set(self, mode):
        """Change the mode; a reset strikes all connections at once."""
        self.mode = mode
        if mode is Mode.RESET:
            for transport in list(self.connections):
                transport.abort()

    async def handle(self, reader, writer):
        """Carry one connection; the end of the soak cancels it."""
        with contextlib.suppress(asyncio.CancelledError):
            await self._handle(reader, writer)

    async def _handle(self, reader, writer):
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            writer.transport.abort()
            return
        transports = {writer.transport, upstream_writer.transport}
        self.connections |= transports
        try:
            await asyncio.gather(
                self._relay(reader, upstream_writer, DROPS_REQUESTS),
                self._relay(upstream_reader, writer, DROPS_RESPONSES),
            )
        finally:
            self.connections -= transports
            for transport in transports:
                transport.abort()

    async def _relay(self, reader, writer, lossy_modes):
        has_lost_bytes = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                has_lost_bytes = has_lost_bytes or self.mode in lossy_modes
                if not has_lost_bytes:
                    writer.write(data)
                    await writer.drain()
            if not has_lost_bytes:
                writer.write_eof()
        except OSError:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def proxied(port):
    """Stand before the server at ``port``; give the proxy and its own port."""
    proxy = Proxy(port)
    listener = await asyncio.start_server(proxy.handle, "127.0.0.1", 0)
    try:
        yield proxy, listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        for transport in list(proxy.connections):
            transport.abort()
