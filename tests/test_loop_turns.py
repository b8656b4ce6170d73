"""Guards against another party deciding how long the event loop works (review case 1).

Data without end, or in very small parts, may keep neither the loop nor the memory of a
process: other calls are answered meanwhile.
"""

import asyncio
import contextlib
import time

import testtools
from entry_process import is_ready, running_entry, wait_until
from platform_standin import ServiceStandin, StoreStandin, configuration, listening
from raw_server import answer, raw_server

from dotterelplank.errors import UpstreamError
from dotterelplank.http1.bodies import ByteBudget, read_body
from dotterelplank.http1.client import temporary_connection
from dotterelplank.http1.responses import Request
from dotterelplank.http1.server import ConnectionLimits, Server

MAX_TURN_S = 0.12
"""``pass_ms`` of the deployments: an event that is held up longer is late."""
MAX_ANSWER_S = 0.5
"""The time past its timeout in which a call has to be answered."""
MAX_MEMORY_KB = 300 * 1024
"""``memory_mb`` of the deployments' entry hosts."""
LIMITS = ConnectionLimits(16_384, 1_000_000, 5.0, 30.0)
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Signature: s\r\n"
)
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 4_000
FLOODS = {
    "chunks of one byte": (CHUNKED_HEAD, SMALL_CHUNKS),
    "chunks of line ends": (CHUNKED_HEAD, b"1\r\n\n\r\n" * 4_000),
    "comments": (CHUNKED_HEAD, b"3\r\n:\n\n\r\n" * 3_000),
    "chunk extensions": (CHUNKED_HEAD, b"1;" + b"e" * 10_000 + b"\r\nx\r\n"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"t: t\r\n" * 4_000),
    "interim responses": (b"", b"HTTP/1.1 103 E\r\n\r\n" * 1_000),
    "empty lines": (b"", b"\r\n" * 8_000),
    "header lines": (HEAD, b"x: y\r\n" * 4_000),
    "an event without an end": (HEAD + b"\r\n", b"data: x" * 3_000),
}


async def flood(writer, data):
    """Write data until the other side closes the connection."""
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(data)
            await writer.drain()


@contextlib.asynccontextmanager
async def longest_turn():
    """Measure the longest turn of the loop; yield a function that returns it.

    It is the processor time of the turn, so that other processes don't count.
    """
    longest_s = 0.0

    async def watch():
        nonlocal longest_s
        while True:
            began = time.thread_time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.thread_time() - began)

    task = asyncio.create_task(watch())
    try:
        yield lambda: longest_s
    finally:
        task.cancel()


class EntryTests(testtools.TestCase):
    """An entry process answers other calls beside an endless response."""

    def _play(self, name):
        first, rest = FLOODS[name]

        async def respond(call, writer):
            if b"/u/" in call.head.partition(b"\r\n")[0]:
                writer.write(answer(call.id, b"whole"))
                return True
            writer.write(first)
            await flood(writer, rest)
            return False

        async def run():
            store = StoreStandin()
            store.put("op/config", configuration())
            async with contextlib.AsyncExitStack() as stack:
                port = await stack.enter_async_context(raw_server(respond))
                record = ServiceStandin("i-0", port=port).entry(slots=8)
                store.put("servers/i-0", record)
                store_port = await stack.enter_async_context(listening(store))
                entry = await stack.enter_async_context(running_entry(store_port))
                await wait_until(lambda: is_ready(entry), what="ready")
                flooded = asyncio.create_task(self._stream(entry))
                await asyncio.sleep(0.2)
                longest_s = await self._longest_call_s(entry)
                await flooded
                return longest_s, memory_kb(entry)

        return asyncio.run(run())

    async def _stream(self, entry):
        with contextlib.suppress(UpstreamError):
            await entry.call(b"/s/x", call_id=b"flood")

    async def _longest_call_s(self, entry):
        longest_s = 0.0
        for number in range(20):
            began = time.monotonic()
            response = await entry.call(b"/u/x", call_id=b"u%d" % number)
            longest_s = max(longest_s, time.monotonic() - began)
            # A server that has just failed a stream may be avoided for a moment.
            self.assertIn(response.status, (200, 503))
            await asyncio.sleep(0.02)
        return longest_s

    def test_other_calls_are_answered_beside_an_endless_response(self):
        for name in FLOODS:
            longest_s, used_kb = self._play(name)
            self.assertLess(longest_s, MAX_ANSWER_S, name)
            self.assertLess(used_kb, MAX_MEMORY_KB, name)


def memory_kb(entry):
    """Return the largest memory that an entry process has used."""
    with open(f"/proc/{entry.process.pid}/status") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    raise AssertionError("no memory in the status of the process")


class ClientTests(testtools.TestCase):
    """Reading a response never takes a long turn of the loop."""

    def _read(self, first, rest, budget=None):
        """Return the longest turn of the loop while an endless response is read."""

        async def respond(call, writer):
            writer.write(first)
            await flood(writer, rest)
            return False

        async def run():
            async with contextlib.AsyncExitStack() as stack:
                port = await stack.enter_async_context(raw_server(respond))
                connection = await stack.enter_async_context(
                    temporary_connection("127.0.0.1", port, 1.0)
                )
                longest_s = await stack.enter_async_context(longest_turn())
                connection.send(Request(b"GET", b"/", [(b"host", b"h")], b""))
                with contextlib.suppress(UpstreamError, TimeoutError):
                    async with asyncio.timeout(3.0):
                        await connection.head()
                        await read_body(connection, 1_000_000, budget)
                        self.fail("the response has ended")
                return longest_s()

        return asyncio.run(run())

    def test_small_parts_are_read_in_short_turns(self):
        for name, (first, rest) in FLOODS.items():
            self.assertLess(self._read(first, rest), MAX_TURN_S, name)

    def test_all_bodies_of_one_server_share_a_bound(self):
        budget = ByteBudget(100_000, used_bytes=90_000)
        self._read(CHUNKED_HEAD, b"ff\r\n" + b"x" * 255 + b"\r\n", budget)
        self.assertEqual(90_000, budget.used_bytes)


class ServerTests(testtools.TestCase):
    """Reading a call never takes a long turn of the loop."""

    def test_a_body_in_small_chunks_is_read_in_short_turns(self):
        bodies = []

        async def handle(call, exchange):
            bodies.append(call.body)
            exchange.respond(200, [], b"")

        async def run():
            server = Server(handle, lambda: LIMITS, lambda *_: None)
            loop = asyncio.get_running_loop()
            listener = await loop.create_server(server.make_connection, "127.0.0.1", 0)
            port = listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            async with longest_turn() as longest_s:
                writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n")
                writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
                writer.write(SMALL_CHUNKS * 8 + b"0\r\n\r\n")
                async with asyncio.timeout(10.0):
                    line = await reader.readline()
                found = longest_s()
            writer.close()
            listener.close()
            return line, found

        line, longest_s = asyncio.run(run())
        self.assertIn(b" 200 ", line)
        self.assertEqual([b"x" * 32_000], bodies)
        self.assertLess(longest_s, MAX_TURN_S)
