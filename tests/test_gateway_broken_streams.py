"""Streams that begin and break off, and what the caller sees at their end."""

import asyncio
import contextlib
import itertools

import testtools
from entry_process import is_ready, running_entry, wait_until
from platform_standin import ServiceStandin, StoreStandin, configuration, listening
from raw_server import raw_server, refusal, reset

from dotterelplank.errors import UpstreamError
from dotterelplank.gateway.streams import EventCursor
from dotterelplank.http1.client import connect
from dotterelplank.http1.responses import Request

EVENTS = [b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 7)]
WHOLE = b"".join(EVENTS)
BROKEN_AFTER = 3
ERROR_TEXT = b"error-text-of-the-server"


def head(call_id, framing, *, status=b"200 OK", signature=True, kind=b"event-stream"):
    """Return the head of an answer whose body is framed as told."""
    lines = [b"HTTP/1.1 " + status, b"x-request-id: " + call_id]
    lines.append(b"content-type: text/" + kind)
    if signature:
        lines.append(b"x-server-signature: s")
    if framing == "chunks":
        lines.append(b"transfer-encoding: chunked")
    elif framing != "none":
        lines.append(b"content-length: %d" % framing)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def framed(framing, data):
    """Return data of a body as the framing wants it."""
    if framing == "chunks":
        return b"%x\r\n%s\r\n" % (len(data), data)
    return data


def break_off(framing, end, rest, after=BROKEN_AFTER):
    """Return a responder that sends some events and ends the connection.

    :param end: ``close`` or ``reset``.
    :param rest: bytes of the next event that are sent too.
    """

    async def respond(call, writer):
        length = len(WHOLE) if framing == "length" else framing
        writer.write(head(call.id, length))
        for event in EVENTS[:after]:
            writer.write(framed(framing, event))
        if rest:
            writer.write(framed(framing, rest))
        await writer.drain()
        await asyncio.sleep(0.1)
        if end == "reset":
            reset(writer)
        return False

    return respond


def go_on(after=BROKEN_AFTER, **fields):
    """Return a responder that sends the events after one, and ends the stream."""

    async def respond(call, writer):
        body = b"".join(EVENTS[after:])
        writer.write(head(call.id, len(body), **fields) + body)
        return True

    return respond


async def fail(call, writer):
    """Answer with an error and its text."""
    answer = head(call.id, len(ERROR_TEXT), status=b"500 Error", kind=b"plain")
    writer.write(answer + ERROR_TEXT)
    return True


async def refuse(call, writer):
    """Refuse the call."""
    writer.write(refusal(call.id))
    return True


async def answer_text(call, writer):
    """Answer with success, but with no event stream."""
    writer.write(head(call.id, len(ERROR_TEXT), kind=b"plain") + ERROR_TEXT)
    return True


class BrokenStreamTests(testtools.TestCase):
    def _stream(self, *responders):
        """Make one call at two servers that answer its attempts in turn.

        :return: the body that the caller got, and whether it was complete.
        """
        turns = iter(responders)

        async def respond(call, writer):
            return await next(turns)(call, writer)

        async def run():
            store = StoreStandin()
            store.put("op/config", configuration())
            async with contextlib.AsyncExitStack() as stack:
                for number in range(2):
                    port = await stack.enter_async_context(raw_server(respond))
                    record = ServiceStandin(f"i-{number}", port=port).entry()
                    store.put(f"servers/i-{number}", record)
                store_port = await stack.enter_async_context(listening(store))
                entry = await stack.enter_async_context(running_entry(store_port))
                await wait_until(lambda: is_ready(entry), what="ready")
                return await self._read(entry)

        return asyncio.run(run())

    async def _read(self, entry):
        connection = await connect(entry.ip, entry.port, 1.0)
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", b"c1"),
            (b"x-deadline-ms", b"2000"),
            (b"x-api-key", b"key-1"),
        ]
        connection.send(Request(b"POST", b"/s/x", headers, b""))
        body = bytearray()
        try:
            async with asyncio.timeout(5.0):
                self.assertEqual(200, (await connection.head()).status)
                while (part := await connection.body_part()) is not None:
                    body += part
        except UpstreamError:
            return bytes(body), False
        finally:
            connection.close()
        return bytes(body), True

    def test_a_broken_stream_is_resumed_whatever_its_framing_and_end(self):
        for framing, end, rest in itertools.product(
            ("chunks", "length", "none"), ("close", "reset"), (b"", EVENTS[3][:5])
        ):
            if (framing, end, rest) == ("none", "close", b""):
                continue
            found = self._stream(break_off(framing, end, rest), go_on())
            self.assertEqual((WHOLE, True), found, (framing, end, rest))

    def test_a_stream_without_a_length_that_is_closed_between_events_is_complete(self):
        found = self._stream(break_off("none", "close", b""))
        self.assertEqual((b"".join(EVENTS[:BROKEN_AFTER]), True), found)

    def test_a_stream_without_a_length_and_without_events_has_broken_off(self):
        # Its caller got a complete stream that was empty.
        found = self._stream(break_off("none", "close", b"", after=0), go_on(after=0))
        self.assertEqual((WHOLE, True), found)

    def test_nothing_but_events_follows_a_stream_that_broke_off(self):
        for follow_up in (
            fail,
            refuse,
            answer_text,
            go_on(signature=False),
            go_on(after=0),
            go_on(after=BROKEN_AFTER - 1),
            go_on(after=BROKEN_AFTER + 1),
        ):
            first = break_off("chunks", "close", EVENTS[3][:5])
            found = self._stream(first, follow_up, follow_up)
            self.assertEqual((b"".join(EVENTS[:BROKEN_AFTER]), False), found)

    def test_an_answer_that_is_no_stream_is_passed_on_whole(self):
        self.assertEqual((ERROR_TEXT, True), self._stream(answer_text))


class CursorTests(testtools.TestCase):
    def test_a_gap_shows_only_where_a_stream_goes_on(self):
        cursor = EventCursor()
        cursor.feed(b"id: 1\n\nid: 2\n\nid: 4\n\n")
        cursor.resume(None)
        cursor.feed(b"id: 9\n\n")
        self.assertEqual(9, cursor.last_id)

    def test_events_that_a_caller_has_already_are_an_error(self):
        cursor = EventCursor()
        cursor.resume(5)
        self.assertRaises(UpstreamError, cursor.feed, b"id: 5\n\n")

    def test_an_id_of_too_many_digits_is_no_id(self):
        cursor = EventCursor()
        cursor.feed(b"id: " + b"9" * 5_000 + b"\n\n")
        self.assertIsNone(cursor.last_id)
