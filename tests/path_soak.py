"""A soak test of real entries and agents, with stand-ins for the store and servers.

Faults are injected from outside the processes: signals, a proxy in front of each
server, faults of the store and the servers, new configurations, and servers that drain.
The test checks what callers and servers have seen.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import signal

from entry_process import free_ports, is_ready, running_entry, wait_until
from group_soak import P_LATE, RankGroup, service
from platform_standin import (
    ServiceStandin,
    StoreStandin,
    configuration,
    listening,
    route,
)
from soak_proxy import Mode, proxied

from dotterelplank.errors import UpstreamError
from dotterelplank.http1.client import connect
from dotterelplank.http1.messages import header
from dotterelplank.http1.responses import Request

IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
SERVERS = 4
CALLERS = 8
EVENTS = 6
DEADLINE_MS = 1_500
RESPONSE_GRACE_S = 4.0
"""Time after its deadline for which a caller waits for the complete response."""
RETRY_RATIO = 0.2
RETRY_BURST_PER_START = 2
"""Retries beyond the ratio that an entry may send after each start."""
NOT_RUN = {408, 421, 429, 503}
PATH_BY_KIND = {"once": b"/u/", "safe": b"/q/", "stream": b"/s/"}
SERVER_FAULTS = ("refuse", "cut", "mute", "unproved", "fail", "stall", "promise")
STORE_FAULTS = ("silent", "busy", "compacted")


class InvariantViolationError(AssertionError):
    """A property that must always hold was violated."""


@dataclasses.dataclass
class CallRecord:
    """The result of one call as its caller saw it.

    :param status: HTTP status; None: no response was received.
    :param has_proof: whether the response has a server signature.
    :param is_complete: whether the response was received to its end.
    """

    call_id: bytes
    kind: str
    status: int | None = None
    body: bytes = b""
    has_proof: bool = False
    is_complete: bool = False


@dataclasses.dataclass
class EntrySlot:
    """The address of an entry, where it is restarted whenever its process ends."""

    ip: str
    ports: list
    entry: object = None
    starts: int = 0


class Soak:
    """One run of the soak test.

    :param seed: seed of all random choices; the timing of callers and processes varies.
    """

    def __init__(self, seed, duration_s):
        self.random = random.Random(seed)
        self.duration_s = duration_s
        self.seen = []
        self.servers = [
            ServiceStandin(f"i-{number}", events=EVENTS, gap_s=0.01)
            for number in range(SERVERS)
        ]
        self.store = StoreStandin()
        self.proxies = []
        self.slots = [EntrySlot(ip, free_ports(ip, 2)) for ip in IPS]
        self.version = 2
        self.ports = {}
        self.faults = []
        self.group = RankGroup()
        self.recovery_s = 0.0

    async def run(self):
        """Run the entries, callers and faults, and check the results.

        :raises InvariantViolationError: if a property is violated; names the call.
        """
        self.store.put("op/config", _configuration(self.version))
        async with contextlib.AsyncExitStack() as stack:
            for server in self.servers:
                port = await stack.enter_async_context(listening(server))
                proxy, own = await stack.enter_async_context(proxied(port))
                self.proxies.append(proxy)
                server.port = self.ports[server.id] = own
                self.store.put(f"servers/{server.id}", server.entry())
            store_port = await stack.enter_async_context(listening(self.store))
            (peer_port,) = free_ports(IPS[0], 1)
            await stack.enter_async_context(
                self.group.running(self.store, store_port, peer_port)
            )
            for slot in self.slots:
                keep_running = self._keep_running(slot, store_port, peer_port)
                task = asyncio.create_task(keep_running)
                stack.push_async_callback(_cancel, task)
            for slot in self.slots:
                await wait_until(
                    lambda one=slot: _serves(one), what="an entry that serves"
                )
            await self._run_traffic()
            await self._check_recovery()
        self.check()

    async def _keep_running(self, slot, store_port, peer_port):
        """Run an entry in the slot, and start it again whenever it ends."""
        seeds = [ip for ip in IPS if ip != slot.ip]
        while True:
            next_entry = running_entry(
                store_port, slot.ip, peer_port, seeds, slot.ports
            )
            async with next_entry as slot.entry:
                slot.starts += 1
                await slot.entry.process.wait()
            await asyncio.sleep(0.05)

    async def _run_traffic(self):
        end_s = asyncio.get_running_loop().time() + self.duration_s
        callers = [self._call_until(end_s) for _ in range(CALLERS)]
        faults = [self._inject_faults(end_s) for _ in range(3)]
        await asyncio.gather(*callers, *faults)

    async def _call_until(self, end_s):
        """Make calls one after the other, reusing the connection while possible."""
        loop = asyncio.get_running_loop()
        connection = None
        while loop.time() < end_s:
            if connection is None or not connection.is_usable:
                connection = await self._connect()
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            kind = self.random.choice(tuple(PATH_BY_KIND))
            record = CallRecord(b"%016x" % self.random.getrandbits(64), kind)
            self.seen.append(record)
            if not await self._make_call(connection, record):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    async def _connect(self):
        slot = self.random.choice(self.slots)
        try:
            return await connect(slot.ip, slot.ports[0], 0.5)
        except UpstreamError:
            return None

    async def _make_call(self, connection, record):
        """Make a call; return whether its connection may be used again."""
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", record.call_id),
            (b"x-deadline-ms", str(DEADLINE_MS).encode()),
            (b"x-api-key", b"key-1"),
        ]
        is_abandoned = self.random.random() < 0.05
        timeout_s = 0.03 if is_abandoned else DEADLINE_MS / 1000 + RESPONSE_GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                connection.send(
                    Request(
                        b"POST",
                        PATH_BY_KIND[record.kind] + b"x",
                        headers,
                        record.call_id,
                    )
                )
                head = await connection.head()
                if header(head.headers, b"x-request-id") != record.call_id:
                    raise InvariantViolationError(f"response to another call: {record}")
                record.status = head.status
                record.has_proof = (
                    header(head.headers, b"x-server-signature") is not None
                )
                while (part := await connection.body_part()) is not None:
                    record.body += part
                record.is_complete = True
        except UpstreamError:
            return False
        except TimeoutError as error:
            if not is_abandoned:
                raise InvariantViolationError(
                    f"no response in time: {record}"
                ) from error
            return False
        return connection.is_usable

    async def _inject_faults(self, end_s):
        """Inject one fault after the other; run three times concurrently."""
        loop = asyncio.get_running_loop()
        choices = (
            self._signal_entry,
            self._signal_entry,
            self._signal_agent,
            self._signal_agent,
            self._kill_all,
            self._delay_orders,
            self._inject_connection_fault,
            self._inject_connection_fault,
            self._inject_server_fault,
            self._inject_server_fault,
            self._inject_store_fault,
            self._change_configuration,
            self._drain_server,
        )
        while loop.time() < end_s:
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            await self.random.choice(choices)()

    def _record_fault(self, *what):
        self.faults.append(what)

    async def _signal_entry(self):
        slot = self.random.choice(self.slots)
        await self._signal_process(slot.entry.process, slot.ip)

    async def _signal_agent(self):
        rank = self.random.randrange(len(self.group.agents))
        process = self.group.agents[rank]
        if process is not None:
            await self._signal_process(process, f"rank {rank}")

    async def _kill_all(self):
        """Kill all entries and agents at once; each is started again."""
        self._record_fault("kill", "all")
        self.group.kill_agents()
        for slot in self.slots:
            with contextlib.suppress(ProcessLookupError):
                slot.entry.process.kill()

    async def _delay_orders(self):
        self._record_fault("orders", "late")
        self.group.set_p_late(P_LATE)
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        self.group.set_p_late(0.0)

    async def _signal_process(self, process, what):
        kind = self.random.choice(("kill", "term", "stop", "hup"))
        self._record_fault(kind, what)
        with contextlib.suppress(ProcessLookupError):
            if kind == "kill":
                process.kill()
            elif kind == "term":
                process.terminate()
            elif kind == "hup":
                process.send_signal(signal.SIGHUP)
            else:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.05, 1.2))
                process.send_signal(signal.SIGCONT)

    async def _inject_connection_fault(self):
        proxy = self.random.choice(self.proxies)
        mode = self.random.choice([mode for mode in Mode if mode is not Mode.PASS])
        self._record_fault(mode.value, proxy.port)
        proxy.set(mode)
        await asyncio.sleep(self.random.uniform(0.05, 0.8))
        proxy.set(Mode.PASS)

    async def _inject_server_fault(self):
        server = self.random.choice(self.servers)
        server.fault = self.random.choice(SERVER_FAULTS)
        self._record_fault(server.fault, server.id)
        await asyncio.sleep(self.random.uniform(0.05, 0.8))
        server.fault = ""

    async def _inject_store_fault(self):
        self.store.fault = self.random.choice(STORE_FAULTS)
        self._record_fault("store", self.store.fault)
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        self.store.fault = ""

    async def _change_configuration(self):
        self.version += self.random.randrange(1, 5)
        self._record_fault("configuration", self.version)
        self.store.put("op/config", _configuration(self.version))

    async def _drain_server(self):
        server = self.random.choice(self.servers)
        self._record_fault("drain", server.id)
        self.store.put(f"servers/{server.id}", server.entry(state="draining"))
        await asyncio.sleep(self.random.uniform(0.1, 0.6))
        self.store.put(f"servers/{server.id}", server.entry())

    async def _check_recovery(self):
        """Check that every entry and the group recover soon after the last fault."""
        began_s = asyncio.get_running_loop().time()
        passes = len(self.group.begun_s)
        await wait_until(
            lambda: self._has_new_pass(passes), what="a group that makes passes"
        )
        self.recovery_s = asyncio.get_running_loop().time() - began_s
        maps = self.group.maps()
        await wait_until(lambda: self._has_new_map(maps), what="a change of the map")
        for slot in self.slots:
            await wait_until(
                lambda one=slot: _serves(one), what="an entry that recovers"
            )
            await wait_until(
                lambda one=slot: self._answers_call(one), what="calls that succeed"
            )

    async def _has_new_pass(self, passes):
        return len(self.group.begun_s) > passes

    async def _has_new_map(self, maps):
        return self.group.maps() > maps

    async def _answers_call(self, slot):
        call_id = b"%016x" % self.random.getrandbits(64)
        response = await slot.entry.call(b"/q/x", call_id=call_id)
        return response.status == 200

    def check(self):
        """Check the results of the calls against the calls that servers ran."""
        runs = collections.Counter(run for one in self.servers for run in one.runs)
        for one in self.seen:
            _check_call(one, runs[one.call_id])
        self._check_retries()

    def _check_retries(self):
        arrivals = collections.Counter(
            header(call.headers, b"x-request-id")
            for server in self.servers
            for call in server.seen
        )
        retries = sum(count - 1 for count in arrivals.values())
        starts = sum(slot.starts for slot in self.slots)
        allowed = RETRY_RATIO * len(self.seen) + RETRY_BURST_PER_START * starts
        if retries > allowed:
            raise InvariantViolationError(f"{retries} retries, {allowed} allowed")


def _configuration(version):
    """Return a configuration in which each call may go to two servers."""
    routes = [
        route("stream", "/s/", "streaming", resumable=True),
        route("once", "/u/", "unsafe", max_attempts=2),
        route("safe", "/q/", "safe"),
    ]
    found = configuration(version, routes=routes)
    found["services"].append(service())
    return found


def _check_call(record, runs):
    if record.kind == "once" and runs > 1:
        raise InvariantViolationError(f"ran {runs} times: {record}")
    if record.kind == "once" and record.status in NOT_RUN and runs:
        raise InvariantViolationError(f"reported as not run, but ran: {record}")
    if record.status != 200:
        return
    if not record.has_proof:
        raise InvariantViolationError(f"success without a server signature: {record}")
    if record.kind == "stream":
        _check_stream(record)
    elif record.is_complete and record.body != b"whole " + record.call_id:
        raise InvariantViolationError(f"unexpected body: {record}")


def _check_stream(record):
    events = [b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1)]
    whole = b"".join(events)
    if not whole.startswith(record.body):
        raise InvariantViolationError(f"events missing, duplicated or merged: {record}")
    if record.is_complete and record.body != whole:
        raise InvariantViolationError(
            f"stream ended as complete before its last event: {record}"
        )


async def _serves(slot):
    return slot.entry is not None and await is_ready(slot.entry)


async def _cancel(task):
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
