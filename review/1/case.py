"""One answer without end, in small chunks: does the entry still answer other requests?"""

import asyncio
import contextlib
import pathlib

from harness import (
    BROKEN,
    HELD,
    TROUBLE,
    CaseError,
    ServerStandin,
    StoreStandin,
    configuration,
    header,
    listening,
    loopback_net,
    main,
    proof,
    request,
    route,
    running_entries,
)

TIMEOUT_S = 2.0
"""``timeout_ms`` of the routes of the bookings."""
SLACK_S = 0.5
WORK_S = 0.8
GAP_S = 0.05
LENGTH_S = 30.0
FAULTY_ID = "faulty-1"
CHUNKS = b"1\r\nx\r\n" * 4_000


class BookingServer(ServerStandin):
    """Answers each booking after WORK_S; notes when it has run it."""

    async def answer(self, call, exchange):
        call_id = header(call.headers, b"x-request-id").decode()
        self.record.note(f"server {self.id} runs {call_id}")
        self.runs[call_id] = self.record.now()
        await asyncio.sleep(WORK_S)
        exchange.respond(200, proof(call), b"booked")


class DraftServer(ServerStandin):
    """Streams four events; the first server answers one request without end."""

    async def answer(self, call, exchange):
        call_id = header(call.headers, b"x-request-id").decode()
        first = int(header(call.headers, b"last-event-id") or b"0") + 1
        self.record.note(f"server {self.id} runs {call_id} from event {first}")
        stream = (b"content-type", b"text/event-stream")
        exchange.begin(200, [*proof(call), stream], None)
        if TROUBLE and call_id == FAULTY_ID and not self.faulty:
            self.faulty.append(call_id)
            self.record.note(f"server {self.id} begins a body without end")
            transport = exchange._connection._transport
            sent = 0
            with contextlib.suppress(asyncio.CancelledError):
                while not transport.is_closing():
                    transport.write(CHUNKS)
                    sent += len(CHUNKS) // 6
                    await exchange.drain()
                    await asyncio.sleep(0.001)
            self.record.note(f"server {self.id}: channel closed after {sent} bytes")
            return
        for number in range(first, 5):
            exchange.send(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(0.02)
        exchange.finish()


async def case(record):
    net = loopback_net()
    store = StoreStandin()
    routes = [
        route(
            "draft",
            "/draft/",
            "streaming",
            "draft-llm",
            timeout_ms=8000,
            resumable=True,
        ),
        route("book", "/book/", "unsafe", "field-ops", max_attempts=1),
    ]
    store.put("op/config", configuration(7, routes))
    faulty, runs = [], {}
    async with contextlib.AsyncExitStack() as stack:
        port = await stack.enter_async_context(listening(store.handle, f"{net}.1"))
        for number in range(4):
            kind, service = (
                (DraftServer, "draft-llm")
                if number < 2
                else (BookingServer, "field-ops")
            )
            server = kind(
                record, store, service, f"i-{number}", f"{net}.{10 + number}", 60
            )
            server.faulty, server.runs = faulty, runs
            await server.start()
            stack.callback(server.close)
        entries = await stack.enter_async_context(
            running_entries(record, [f"{net}.100"], lambda _: f"{net}.1:{port}")
        )
        tasks = []
        began = record.now()
        while record.now() - began < LENGTH_S:
            number = len(tasks)
            if number == 60:
                tasks.append(asyncio.create_task(draft(record, entries[0], FAULTY_ID)))
            tasks.append(
                asyncio.create_task(book(record, entries[0], f"book-{number}"))
            )
            await asyncio.sleep(GAP_S)
        outcomes = await asyncio.gather(*tasks)
    return judge(record, outcomes, runs, faulty)


def draft(record, entry, call_id):
    return request(record, entry, call_id, "/draft/x", wait_s=8.5, deadline_ms=8000)


def book(record, entry, call_id):
    return request(
        record,
        entry,
        call_id,
        "/book/x",
        body=b"lane 2",
        wait_s=TIMEOUT_S + 4 * SLACK_S,
        deadline_ms=int(TIMEOUT_S * 1000) + 1000,
    )


def judge(record, outcomes, runs, faulty):
    """CONFIG: requests unanswered at ``timeout_ms``, and half a second later."""
    if TROUBLE and not faulty:
        raise CaseError("no server answered without end")
    # Only requests that the entry has read and passed on: a server has run them.
    passed_on = [one for one in outcomes if one.id in runs]
    late = [
        one for one in passed_on if one.answered_s is None or one.answered_s > TIMEOUT_S
    ]
    silent = [
        one
        for one in late
        if one.answered_s is None or one.answered_s > TIMEOUT_S + SLACK_S
    ]
    never = [one for one in silent if one.answered_s is None]
    # GONE: what began at a server over half a second after the client had left.
    gone = [one for one in outcomes if runs.get(one.id, 0.0) > one.left_at + SLACK_S]
    text = (
        f"{len(outcomes)} requests, {len(passed_on)} bookings passed on; {len(late)} of"
        f" these unanswered at timeout_ms, {len(silent)} of them half a second later"
        f" ({len(never)} had no answer when the client left); {len(gone)} began at a server over half"
        f" a second after their client had left"
    )
    record.note(text)
    print(text)
    if not TROUBLE and len(passed_on) < 100:
        raise CaseError("too few requests passed on")
    return BROKEN if len(silent) >= 8 and len(silent) > len(late) / 2 else HELD


main(pathlib.Path(__file__).parent, case)
