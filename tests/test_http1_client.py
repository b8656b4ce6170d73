import asyncio
import socket
import struct

import testtools
from hypothesis import given, settings, strategies as st

from dotterelplank.errors import UpstreamError
from dotterelplank.http1.bodies import read_body
from dotterelplank.http1.client import Pool, connect
from dotterelplank.http1.responses import Request

REQUEST = Request(b"GET", b"/a", [(b"host", b"h")], b"")
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nabc"


def _run_on_connection(response, script, *, end="keep"):
    """Run ``script`` on a connection to a server that answers each request alike.

    :param response: bytes that the server sends for each request.
    :param end: ``close`` or ``reset``: the server ends the connection in this way after
        the first response; ``keep``: it keeps the connection.
    """

    async def serve(reader, writer):
        while await reader.read(65_536):
            writer.write(response)
            await writer.drain()
            if end == "reset":
                found = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                await asyncio.sleep(0.02)
                found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            if end != "keep":
                writer.close()
                return

    async def run():
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        connection = await connect("127.0.0.1", port, 1.0)
        try:
            async with asyncio.timeout(2.0):
                return await script(connection)
        finally:
            connection.close()
            listener.close()

    return asyncio.run(run())


async def _get(connection):
    connection.send(REQUEST)
    head = await connection.head()
    return head.status, await read_body(connection, 1_000)


async def _get_and_usable(connection):
    found = await _get(connection)
    await asyncio.sleep(0.05)
    return found, connection.is_usable


class ClientTests(testtools.TestCase):
    def test_a_complete_response_leaves_the_connection_usable(self):
        found = _run_on_connection(RESPONSE, _get_and_usable)
        self.assertEqual(((200, b"abc"), True), found)

    def test_a_truncated_response_is_an_error(self):
        self.assertRaises(
            UpstreamError, _run_on_connection, RESPONSE[:-1], _get, end="close"
        )

    def test_a_response_without_a_length_ends_with_its_connection(self):
        found = _run_on_connection(
            RESPONSE_WITHOUT_LENGTH, _get_and_usable, end="close"
        )
        self.assertEqual(((200, b"abc"), False), found)

    def test_a_response_without_a_length_that_is_reset_is_an_error(self):
        self.assertRaises(
            UpstreamError,
            _run_on_connection,
            RESPONSE_WITHOUT_LENGTH,
            _get,
            end="reset",
        )

    def test_data_after_a_response_makes_the_connection_unusable(self):
        found = _run_on_connection(RESPONSE + b"HTTP/1.1 200 OK\r\n", _get_and_usable)
        self.assertEqual(((200, b"abc"), False), found)

    def test_data_without_a_request_makes_the_connection_unusable(self):
        async def script(connection):
            await _get(connection)
            connection.data_received(b"x")
            return connection.is_usable

        self.assertFalse(_run_on_connection(RESPONSE, script))

    def test_connection_close_makes_the_connection_unusable(self):
        closing = RESPONSE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        self.assertFalse(_run_on_connection(closing, _get_and_usable)[1])

    def test_a_response_to_another_request_can_be_skipped(self):
        stray = RESPONSE.replace(b"abc", b"old").replace(b" 200 OK", b" 500 Old")

        async def script(connection):
            connection.send(REQUEST)
            first = await connection.head()
            await connection.skip_response()
            head = await connection.head()
            body = await read_body(connection, 1_000)
            return first.status, head.status, body, connection.is_usable

        found = _run_on_connection(stray + RESPONSE, script)
        self.assertEqual((500, 200, b"abc", False), found)

    def test_the_error_of_a_failed_connect_says_that_nothing_was_sent(self):
        async def run():
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                return await connect("127.0.0.1", closed.getsockname()[1], 0.5)

        error = self.assertRaises(UpstreamError, asyncio.run, run())
        self.assertFalse(error.sent)

    def test_a_pool_closes_a_connection_that_was_idle_for_too_long(self):
        async def script(connection):
            pool = Pool("127.0.0.1", 1)
            await _get(connection)
            pool.release(1_000.0, connection)
            late = pool.acquire(9_000.0, 5_000.0)
            return late, connection.is_usable

        self.assertEqual((None, False), _run_on_connection(RESPONSE, script))

    @settings(max_examples=40, deadline=None)
    @given(st.binary(min_size=1, max_size=80))
    def test_invalid_bytes_never_make_a_complete_response(self, noise):
        response = noise + RESPONSE
        try:
            found = _run_on_connection(response, _get, end="close")
        except UpstreamError:
            return
        # Only blank lines and bytes that begin a response themselves are accepted.
        self.assertTrue(
            noise.strip(b"\r\n") == b"" or noise.startswith(b"HTTP/1."), found
        )
