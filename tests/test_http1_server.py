import asyncio
import contextlib

import testtools
from hypothesis import given, settings, strategies as st

from dotterelplank.http1.server import ConnectionLimits, Server

LIMITS = ConnectionLimits(
    header_bytes=2_000, body_bytes=1_000, header_timeout_s=0.3, idle_timeout_s=0.6
)
LARGE_LIMITS = ConnectionLimits(
    header_bytes=8_000, body_bytes=5_000, header_timeout_s=0.3, idle_timeout_s=0.6
)
CALL = b"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"


class _Echo:
    """A server that records each call and answers with its target and body."""

    def __init__(self):
        self.calls = []
        self.was_cancelled = False
        self.refused = []
        self.delay_s = 0.0
        self.limits = LIMITS
        self.server = Server(self.handle, lambda: self.limits, self.on_refused)

    def on_refused(self, status, why):
        self.refused.append(status)

    async def handle(self, call, exchange):
        if call.target == b"/large":
            self.limits = LARGE_LIMITS
        self.calls.append((call.method, call.target, call.body))
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.was_cancelled = True
            return
        exchange.respond(200, [], call.target + call.body)


def _send_parts(echo, *parts, pause_s=0.0, wait_s=0.05, is_aborted=False):
    """Send ``parts`` on one connection and return all data received.

    :param pause_s: pause after each part.
    :param wait_s: longest time to wait for data.
    :param is_aborted: whether the connection is aborted instead of read.
    """

    async def send():
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(echo.server.make_connection, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        if is_aborted:
            writer.transport.abort()
            await asyncio.sleep(wait_s)
            found = b""
        else:
            found = bytearray()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while data := await reader.read(4_096):
                        found += data
            writer.close()
        echo.server.close_all()
        listener.close()
        await asyncio.sleep(0)
        return bytes(found)

    return asyncio.run(send())


class ServerTests(testtools.TestCase):
    def test_calls_on_a_kept_connection_are_answered_in_order(self):
        echo = _Echo()
        second = CALL.replace(b"/a?b", b"/c")
        found = _send_parts(echo, CALL + second)
        self.assertEqual(2, found.count(b"200 OK"))
        self.assertLess(found.index(b"/a?babc"), found.index(b"/cabc"))

    @settings(max_examples=30, deadline=None)
    @given(cuts=st.lists(st.integers(1, len(CALL) - 1), max_size=5, unique=True))
    def test_a_call_may_be_received_in_any_parts(self, cuts):
        echo = _Echo()
        edges = [0, *sorted(cuts), len(CALL)]
        pieces = [CALL[a:b] for a, b in zip(edges, edges[1:])]
        _send_parts(echo, *pieces, wait_s=0.02)
        self.assertEqual([(b"POST", b"/a?b", b"abc")], echo.calls)

    @settings(max_examples=60, deadline=None)
    @given(noise=st.binary(min_size=1, max_size=60), at=st.integers(0, len(CALL) - 4))
    def test_invalid_bytes_never_split_a_call_in_two(self, noise, at):
        echo = _Echo()
        _send_parts(echo, CALL[:at] + noise + CALL[at:], wait_s=0.02)
        self.assertLessEqual(len(echo.calls), 1 + noise.count(b"\n\r\n"))

    def test_a_content_length_with_a_transfer_encoding_is_refused(self):
        echo = _Echo()
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        found = _send_parts(echo, head + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
        self.assertIn(b" 400 ", found)
        self.assertEqual([], echo.calls)

    def test_an_unknown_transfer_encoding_is_refused(self):
        echo = _Echo()
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"
        self.assertIn(b" 501 ", _send_parts(echo, head))

    def test_a_head_over_the_size_limit_is_refused(self):
        echo = _Echo()
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3_000
        self.assertIn(b" 431 ", _send_parts(echo, head))

    def test_a_body_over_the_size_limit_is_refused(self):
        echo = _Echo()
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n"
        self.assertIn(b" 413 ", _send_parts(echo, head))

    def test_the_next_call_of_a_connection_keeps_the_limits_of_by_then(self):
        # A kept connection had the limits of its opening for good.
        first = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
        large = (
            b"POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\nX: "
            + b"x" * 6_000
            + b"\r\n\r\n"
            + b"y" * 4_000
        )
        for parts in ((first, large), (first + large,)):
            echo = _Echo()
            _send_parts(echo, *parts, pause_s=0.05)
            self.assertEqual([], echo.refused)
            self.assertEqual([b"/large", b"/next"], [call[1] for call in echo.calls])

    def test_a_slow_head_times_out(self):
        echo = _Echo()
        found = _send_parts(echo, b"GET / HT", wait_s=1.0)
        self.assertIn(b" 408 ", found)

    def test_an_idle_connection_is_closed_without_a_response(self):
        echo = _Echo()
        self.assertEqual(b"", _send_parts(echo, wait_s=1.5))
        self.assertEqual([], echo.refused)

    def test_a_caller_that_disconnects_cancels_its_call(self):
        echo = _Echo()
        echo.delay_s = 5.0
        _send_parts(echo, CALL, pause_s=0.02, is_aborted=True)
        self.assertTrue(echo.was_cancelled)

    def test_a_stopping_server_closes_connections_after_a_response(self):
        echo = _Echo()
        echo.server.stop()
        found = _send_parts(echo, CALL, wait_s=1.0)
        self.assertIn(b"connection: close", found.lower())
        self.assertIn(b"/a?babc", found)

    def test_a_chunked_body_is_read_to_its_end(self):
        echo = _Echo()
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        _send_parts(echo, head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        self.assertEqual([(b"POST", b"/", b"abc")], echo.calls)
