"""Tests of a real entry with servers that send invalid or endless responses."""

import asyncio
import contextlib
import dataclasses

import testtools
from entry_process import is_ready, running_entry, wait_until
from platform_standin import ServiceStandin, StoreStandin, configuration, listening

PAUSE_S = 0.0005
DEADLINE_MS = 60_000
"""So long that responses in these tests aren't caused by the deadline."""
PROOF_HEADER = b"X-Server-Signature: s\r\n"
UNSIZED = b"HTTP/1.1 200 OK\r\n" + PROOF_HEADER + b"\r\n"
REFUSED = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n\r\n"
STRAY = b"X-Request-Id: other\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + PROOF_HEADER + b"\r\n"
UNTERMINATED_EVENT = b"data: and so on" * 500


@dataclasses.dataclass
class EndlessServer:
    """A server that sends ``first``, and then ``rest`` until the client disconnects."""

    first: bytes
    rest: bytes
    calls: int = 0
    closed: int = 0

    async def handle(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(self.first)
            while not writer.transport.is_closing():
                writer.write(self.rest)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
        self.closed += 1
        writer.transport.abort()


@contextlib.asynccontextmanager
async def _entry_for(server):
    store = StoreStandin()
    found = configuration()
    for route in found["routes"]:
        route["timeout_ms"] = DEADLINE_MS
    store.put("op/config", found)
    listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    standin = ServiceStandin("i-0", port=listener.sockets[0].getsockname()[1])
    store.put("servers/i-0", standin.entry())
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(listener.close)
        store_port = await stack.enter_async_context(listening(store))
        entry = await stack.enter_async_context(running_entry(store_port))
        await wait_until(lambda: is_ready(entry), what="ready")
        yield entry


class EndlessResponseTests(testtools.TestCase):
    """A faulty endpoint sends data without end."""

    def _call(self, target, first, rest):
        """Return the response that a caller received, once the entry disconnected."""
        server = EndlessServer(first, rest)

        async def run():
            async with _entry_for(server) as entry:
                async with asyncio.timeout(DEADLINE_MS / 1000 / 4):
                    response = await entry.call(target, deadline_ms=DEADLINE_MS)
                    while server.closed < server.calls:
                        await asyncio.sleep(0.01)
            return response

        response = asyncio.run(run())
        self.assertGreater(server.calls, 0)
        return response

    def _assert_bad_gateway(self, target, first, rest):
        self.assertEqual(502, self._call(target, first, rest).status)

    def test_a_head_without_an_end(self):
        self._assert_bad_gateway(b"/u/x", b"", b"no answer at all")
        self._assert_bad_gateway(
            b"/q/x", b"HTTP/1.1 200 OK\r\n", b"X-More: and more\r\n"
        )

    def test_interim_responses_without_an_end(self):
        self._assert_bad_gateway(b"/u/x", b"", b"HTTP/1.1 103 Early\r\n\r\n" * 20)

    def test_a_body_without_an_end(self):
        self._assert_bad_gateway(b"/u/x", UNSIZED, b"x" * 5_000)

    def test_a_chunk_size_without_an_end(self):
        self._assert_bad_gateway(b"/u/x", CHUNKED, b"0" * 5_000)

    def test_a_stream_without_the_end_of_an_event(self):
        server = EndlessServer(UNSIZED, UNTERMINATED_EVENT)

        async def run():
            async with _entry_for(server) as entry:
                async with asyncio.timeout(DEADLINE_MS / 1000 / 4):
                    with contextlib.suppress(Exception):
                        await entry.call(b"/s/x", deadline_ms=DEADLINE_MS)
                    while not server.calls or server.closed < server.calls:
                        await asyncio.sleep(0.01)
                    while not (lines := entry.events("request-ended")):
                        await asyncio.sleep(0.01)
            return lines[0]["result"]

        self.assertEqual(405, asyncio.run(run()))

    def test_the_body_of_a_refusal_without_an_end(self):
        response = self._call(b"/u/x", REFUSED, b"x" * 5_000)
        self.assertEqual(503, response.status)

    def test_responses_to_other_calls_without_an_end(self):
        stray = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + STRAY + b"\r\nab"
        self._assert_bad_gateway(b"/u/x", b"", stray * 20)

    def test_a_response_to_another_call_without_an_end(self):
        first = b"HTTP/1.1 200 OK\r\n" + STRAY + b"\r\n"
        self._assert_bad_gateway(b"/u/x", first, b"x" * 5_000)
