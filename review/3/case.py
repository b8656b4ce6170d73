"""The store gives no response to a third of the entries; meanwhile a server drains."""

import asyncio
import contextlib
import pathlib

from harness import (
    BOUNDS,
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

ZONES = ("zone-a", "zone-b", "zone-c")
ENTRIES = 18
TURNED_AWAY = 6
"""Share 0.33 of the entries: the first two of each zone, which watch the store."""
SILENT_S = 5.0
DRAIN_S = BOUNDS["drain_ms"] / 1000
LINGER_S = 1.5
"""How long beyond ``drain_ms`` a draining server goes on serving."""
CYCLES = 4
CYCLE_S = 14.0
GAP_S = 0.04


class AppServer(ServerStandin):
    """Answers each request at once, and notes when it has arrived."""

    async def answer(self, call, exchange):
        call_id = header(call.headers, b"x-request-id").decode()
        self.record.note(f"server {self.id} runs {call_id}")
        self.runs[call_id] = (self.id, self.record.now())
        await asyncio.sleep(0.02)
        exchange.respond(200, proof(call), b"done")


class Gate:
    """The store as one entry sees it: silent for a while, or not."""

    def __init__(self, store):
        self.store = store
        self.is_silent = False

    async def handle(self, call, exchange):
        if self.is_silent:
            await asyncio.sleep(3600)
        await self.store.handle(call, _Answer(self, exchange))


class _Answer:
    def __init__(self, gate, exchange):
        self._gate = gate
        self._exchange = exchange

    def respond(self, status, headers, body):
        # A channel on which a response is lost returns nothing further.
        if not self._gate.is_silent:
            self._exchange.respond(status, headers, body)


async def case(record):
    net = loopback_net()
    store = StoreStandin()
    routes = [route("book", "/book/", "unsafe", "field-ops", max_attempts=1)]
    store.put("op/config", configuration(7, routes))
    runs, drained, tasks = {}, {}, []
    async with contextlib.AsyncExitStack() as stack:
        gates, ports = [], []
        for _ in range(ENTRIES):
            gates.append(Gate(store))
            ports.append(
                await stack.enter_async_context(listening(gates[-1].handle, f"{net}.1"))
            )
        servers = []
        for number in range(CYCLES + 2):
            server = AppServer(
                record, store, "field-ops", f"i-{number}", f"{net}.{10 + number}"
            )
            server.runs = runs
            await server.start()
            stack.callback(server.close)
            servers.append(server)
        ips = [f"{net}.{100 + number}" for number in range(ENTRIES)]
        entries = await stack.enter_async_context(
            running_entries(
                record, ips, lambda number: f"{net}.1:{ports[number]}", ZONES
            )
        )
        await asyncio.sleep(4.0)
        clients = asyncio.create_task(_send(record, entries, tasks))
        for cycle in range(CYCLES):
            began = record.now()
            # The operator publishes a version, as on any day; all entries read it.
            store.put("op/config", configuration(8 + cycle, routes))
            await asyncio.sleep(0.1)
            if TROUBLE:
                for gate in gates[:TURNED_AWAY]:
                    gate.is_silent = True
                record.note("the store gives no response to six entries")
            await asyncio.sleep(0.1)
            leaving = servers[cycle]
            leaving.register("draining")
            drained[leaving.id] = record.now()
            record.note(f"the store has accepted that {leaving.id} is draining")
            await asyncio.sleep(DRAIN_S + LINGER_S)
            store.remove(f"servers/{leaving.id}")
            leaving.crash()
            await asyncio.sleep(max(0.0, SILENT_S - DRAIN_S - LINGER_S))
            for gate in gates:
                gate.is_silent = False
            record.note("the store answers all entries")
            await asyncio.sleep(max(0.0, began + CYCLE_S - record.now()))
        clients.cancel()
        outcomes = await asyncio.gather(*tasks)
    return judge(record, outcomes, runs, drained)


async def _send(record, entries, tasks):
    """Send bookings to the entries that the store answers all the while."""
    while True:
        number = len(tasks)
        entry = entries[TURNED_AWAY + number % (ENTRIES - TURNED_AWAY)]
        sent = request(
            record,
            entry,
            f"book-{number}",
            "/book/x",
            body=b"lane 2",
            wait_s=3.0,
            deadline_ms=2000,
        )
        tasks.append(asyncio.create_task(sent))
        await asyncio.sleep(GAP_S)


def judge(record, outcomes, runs, drained):
    """DRAIN: requests that reach a server later than ``drain_ms`` after its report."""
    if sum(one.status == 200 for one in outcomes) < 0.8 * len(outcomes):
        raise CaseError("requests weren't served")
    late = [
        (call_id, at - drained[server])
        for call_id, (server, at) in runs.items()
        if server in drained and at > drained[server] + DRAIN_S
    ]
    unanswered = [one for one in outcomes if one.status != 200]
    last = max((after for _, after in late), default=0.0)
    text = (
        f"{len(outcomes)} bookings through entries in touch; {len(late)} reached a server"
        f" later than drain_ms after the store had accepted that it drains, the last one"
        f" {last:.2f} s after it; {len(unanswered)} not answered with 200"
    )
    record.note(text)
    print(text)
    return BROKEN if late else HELD


main(pathlib.Path(__file__).parent, case)
