"""A prompt part that crashes each server that has begun to write an answer on it."""

import asyncio
import contextlib
import pathlib

from harness import (
    BROKEN,
    HELD,
    STABLE_S,
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

SERVERS = 4
DOWN_S = 2.0
"""A server that crashed "is back after some seconds"."""
EVENTS = 12
GAP_S = 0.03
CRASH_S = 0.005
"""Time from the first event of an answer on the deadly part to the crash: one step."""
SOUND_GAP_S = 0.1
DEADLY_GAP_S = 0.4
CALM_S = 12.0
"""Seconds of sound requests only, before the first request with the deadly part."""
LENGTH_S = 55.0
DEADLY = "dead01"
SHARED = "5a5a01"


class ModelServer(ServerStandin):
    """Streams an answer; crashes after the first event of one on the deadly part."""

    async def answer(self, call, exchange):
        call_id = header(call.headers, b"x-request-id").decode()
        parts = (header(call.headers, b"x-prefix-hash") or b"").decode().split(",")
        is_deadly = any(part.startswith(DEADLY + ":") for part in parts)
        if is_deadly:
            self.deadly_arrivals.append(self.record.now())
        self.record.note(f"server {self.id} gets {call_id}")
        first = int(header(call.headers, b"last-event-id") or b"0") + 1
        await asyncio.sleep(0.05)
        stream = (b"content-type", b"text/event-stream")
        exchange.begin(200, [*proof(call), stream], None)
        for number in range(first, EVENTS + 1):
            exchange.send(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(CRASH_S if is_deadly and TROUBLE else GAP_S)
            if is_deadly and TROUBLE:
                if self.is_up:
                    self.crashes.append(self.record.now())
                    self.crash()
                    self.restarts.append(asyncio.create_task(self._restart()))
                return
        exchange.finish()

    async def _restart(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


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
        )
    ]
    store.put("op/config", configuration(7, routes))
    arrivals, crashes, restarts = [], [], []
    async with contextlib.AsyncExitStack() as stack:
        port = await stack.enter_async_context(listening(store.handle, f"{net}.1"))
        for number in range(SERVERS):
            server = ModelServer(
                record, store, "draft-llm", f"i-{number}", f"{net}.{10 + number}"
            )
            server.deadly_arrivals, server.crashes = arrivals, crashes
            server.restarts = restarts
            await server.start()
            stack.callback(server.close)
        ips = [f"{net}.{100 + number}" for number in range(3)]
        entries = await stack.enter_async_context(
            running_entries(record, ips, lambda _: f"{net}.1:{port}")
        )
        await asyncio.sleep(1.5)
        sound, deadly = [], []
        began = record.now()
        due_deadly = CALM_S
        while (spent := record.now() - began) < LENGTH_S:
            number = len(sound)
            sound.append(draft(record, entries, f"sound-{number}", number, ""))
            if spent >= due_deadly:
                due_deadly += DEADLY_GAP_S
                count = len(deadly)
                deadly.append(
                    draft(record, entries, f"deadly-{count}", count, f"{DEADLY}:250,")
                )
            await asyncio.sleep(SOUND_GAP_S)
        outcomes = await asyncio.gather(*sound)
        await asyncio.gather(*deadly)
        for task in restarts:
            task.cancel()
    return judge(record, began, outcomes, len(deadly), arrivals, crashes)


def draft(record, entries, call_id, number, extra):
    """Send a request whose prompt has the shared part, ``extra`` and a part of its own."""
    prefix = f"X-Prefix-Hash: {SHARED}:40,{extra}{abs(hash(call_id)) % 2**32:08x}:600"
    entry = entries[number % len(entries)]
    sent = request(
        record,
        entry,
        call_id,
        "/draft/x",
        body=b"prompt",
        wait_s=8.5,
        deadline_ms=8000,
        headers=["X-Model: m", "X-Token-Count: 890,48", prefix],
    )
    return asyncio.create_task(sent)


def judge(record, began, sound, sent, arrivals, crashes):
    """BUDGET and LOST, as the news page has them."""
    if not TROUBLE:
        whole = sum(one.is_complete and one.status == 200 for one in sound)
        text = f"{sent} requests with the part, {len(crashes)} crashes, {whole} of {len(sound)} sound ones served"
        record.note(text)
        print(text)
        return HELD if not crashes and whole > 0.98 * len(sound) else BROKEN
    if len(crashes) < 5:
        text = f"{sent} requests with the part, {len(crashes)} crashes: fewer than five"
        record.note(text)
        print(text)
        return HELD
    fifth = crashes[4]
    late = [at for at in arrivals if at > fifth + STABLE_S]
    before = [one for one in sound if one.sent_at < began + CALM_S - 1]
    after = [one for one in sound if one.sent_at > fifth + 2 * STABLE_S]
    shares = [
        sum(one.status == 200 for one in some) / len(some) for some in (before, after)
    ]
    text = (
        f"{sent} requests with the part, {len(crashes)} crashes; BUDGET: {len(late)} reached"
        f" servers later than stable_ms after the fifth crash (3 are allowed); LOST: sound"
        f" ones that begin at the first attempt: {shares[0]:.2f} of {len(before)} before,"
        f" {shares[1]:.2f} of {len(after)} after"
    )
    record.note(text)
    print(text)
    return BROKEN if len(late) > 3 else HELD


main(pathlib.Path(__file__).parent, case)
