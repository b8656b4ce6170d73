"""A proxy on the loopback interface that delays, resets or drops traffic."""

import asyncio
import contextlib
import dataclasses
import enum

CHUNK_BYTES = 16_384


class Mode(enum.Enum):
    """How the proxy treats data that passes through it."""

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
    """A proxy for one server.

    Once a connection has lost data in one direction, all later data in this direction
    is dropped as well.

    :param port: port of the server.
    :param delay_s: delay of each chunk of data in the mode DELAY.
    """

    port: int
    mode: Mode = Mode.PASS
    delay_s: float = 0.05
    connections: set = dataclasses.field(default_factory=set)

    def set(self, mode):
        """Change the mode; RESET also aborts all open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for transport in list(self.connections):
                transport.abort()

    async def handle(self, reader, writer):
        """Relay one connection, until it ends or the test cancels it."""
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
    """Run a proxy for the server at ``port``; yield the proxy and its port."""
    proxy = Proxy(port)
    listener = await asyncio.start_server(proxy.handle, "127.0.0.1", 0)
    try:
        yield proxy, listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        for transport in list(proxy.connections):
            transport.abort()
