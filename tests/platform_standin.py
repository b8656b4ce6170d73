"""Stand-ins for the users' platform: its metadata store and a server of a service."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import typing as t
import urllib.parse

from dotterelplank.gateway.host import Address, Bounds, HostSettings
from dotterelplank.http1.messages import header
from dotterelplank.http1.server import Call, ConnectionLimits, Exchange, Server
from dotterelplank.platform.store import StoreClient

CONNECTION_LIMITS = ConnectionLimits(16_384, 1_000_000, 5.0, 30.0)


def configuration(version=2, services=("drafts",), routes=None, tenants=None):
    """Return a configuration in the form that operators publish."""
    if routes is None:
        routes = [
            route("stream", "/s/", "streaming", resumable=True),
            route("once", "/u/", "unsafe", max_attempts=1),
            route("safe", "/q/", "safe"),
        ]
    if tenants is None:
        tenants = [{"name": "crew", "api_keys": ["key-1"], "priority": 1}]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_conns": 100} for name in services],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": tenants,
    }


def route(name, prefix, kind, **fields):
    """Return a route in the form that operators publish."""
    return {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "type": kind,
        "service": "drafts",
        "timeout_ms": 2_000,
        "goal_ms": 500,
        "max_attempts": 2,
        "priority": 1,
        "public": False,
        **fields,
    }


def server_record(name):
    """Return the key and the record of a server, whose address ends as its name."""
    return f"servers/{name}", {
        "service": "drafts",
        "address": f"127.0.0.{name[1:]}:80",
        "zone": "a",
        "slots": 2,
        "state": "ready",
        "born": 1,
    }


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """The content of a store at a revision."""

    revision: int
    values: dict[str, tuple[int, bytes]]


@dataclasses.dataclass
class StoreStandin:
    """A stand-in for the metadata store.

    :param era: how often the store was restored from a copy.
    :param fault: ``busy`` (it answers 503), ``silent`` (it doesn't answer) or
        ``compacted`` (the next watch fails because its history was removed).
    """

    page_items: int = 500
    fault: str = ""
    revision: int = 1
    era: int = 1
    values: dict[str, tuple[int, bytes]] = dataclasses.field(default_factory=dict)
    log: list[tuple[int, str, bytes | None]] = dataclasses.field(default_factory=list)
    calls: int = 0
    stale_calls: int = 0

    def __post_init__(self):
        self.changed = asyncio.Event()

    def put(self, key: str, value: t.Any) -> None:
        """Publish ``value``, encoded as JSON unless it is bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.values[key] = (self.revision, data)
        self.log.append((self.revision, key, data))
        self.changed.set()

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.values.pop(key, None)
        self.log.append((self.revision, key, None))
        self.changed.set()

    def copy(self) -> "StoreCopy":
        """Return a copy of the store's content."""
        return StoreCopy(self.revision, dict(self.values))

    def restore(self, copy: "StoreCopy") -> None:
        """Replace the content by a copy, and lose what was written since."""
        self.era += 1
        self.revision = copy.revision
        self.values = dict(copy.values)
        self.log = [entry for entry in self.log if entry[0] <= copy.revision]
        self.changed.set()

    async def handle(self, call: Call, exchange: Exchange) -> None:
        """Answer one call."""
        self.calls += 1
        path, _, query = call.target.decode().partition("?")
        found = dict(urllib.parse.parse_qsl(query))
        self.stale_calls += found.get("stale_ok") == "1"
        if self.fault == "silent":
            await asyncio.sleep(3_600)
        if self.fault == "busy":
            exchange.respond(503, [], b"{}")
        elif path == "/v1/kv-key":
            self._item(found["key"], exchange)
        elif path == "/v1/kv-range":
            self._range(found.get("prefix", ""), found.get("after", ""), exchange)
        elif path == "/v1/kv-watch":
            await self._watch(found, exchange)
        else:
            exchange.respond(400, [], b'{"error":"unknown"}')

    def _item(self, key: str, exchange: Exchange) -> None:
        if key not in self.values:
            self._answer(exchange, 404, {"current_rev": self.revision})
            return
        revision, value = self.values[key]
        item = {**_item(key, revision, value), "current_rev": self.revision}
        self._answer(exchange, 200, item)

    def _range(self, prefix: str, after: str, exchange: Exchange) -> None:
        keys = sorted(k for k in self.values if k.startswith(prefix) and k > after)
        page = keys[: self.page_items]
        body = {
            "items": [_item(key, *self.values[key]) for key in page],
            "has_more": len(keys) > len(page),
            "current_rev": self.revision,
        }
        self._answer(exchange, 200, body)

    async def _watch(self, query: dict[str, str], exchange: Exchange) -> None:
        after = int(query["after"])
        if self.fault == "compacted" or after > self.revision:
            self.fault = ""
            self._answer(exchange, 410, {"error": "gone"})
            return
        wait_s = int(query["wait_ms"]) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                era = self.era
                while self.revision <= after and self.era == era:
                    self.changed.clear()
                    await self.changed.wait()
        if after > self.revision:
            self._answer(exchange, 410, {"error": "gone"})
            return
        events = [
            _item(key, revision, value)
            for revision, key, value in self.log
            if revision > after and key.startswith(query.get("prefix", ""))
        ]
        body = {"events": events, "current_rev": self.revision}
        self._answer(exchange, 200, body)

    def _answer(self, exchange: Exchange, status: int, body: t.Any) -> None:
        headers = [(b"Store-Era", b"%d" % self.era)]
        exchange.respond(status, headers, json.dumps(body).encode())


def _item(key: str, revision: int, value: bytes | None) -> dict[str, t.Any]:
    if value is None:
        return {"key": key, "revision": revision, "tombstone": True}
    text = base64.b64encode(value).decode()
    return {"key": key, "revision": revision, "value": text, "created": 1, "lease": 0}


def store_with_a_server() -> StoreStandin:
    """Return a store that holds a configuration and the record of one server."""
    store = StoreStandin()
    store.put("op/config", configuration(version=2))
    store.put(*server_record("s1"))
    return store


@dataclasses.dataclass
class ServiceStandin:
    """A stand-in for a server of a service.

    :param fault: how the server misbehaves: ``refuse`` (503 for a call that it has not
        run), ``cut`` (it aborts a stream in the middle of an event), ``mute`` (it
        closes the connection without an answer), ``unproved`` (an answer without a
        signature), ``fail`` (500), ``stall`` (it stops sending), or ``promise`` (503
        without a signature for a call that it ran).
    """

    id: str
    events: int = 4
    fault: str = ""
    gap_s: float = 0.0
    seen: list[Call] = dataclasses.field(default_factory=list)
    runs: list[bytes] = dataclasses.field(default_factory=list)
    was_abandoned: bool = False
    port: int = 0

    def entry(self, **fields) -> dict[str, t.Any]:
        """Return the record that the server registers in the store."""
        return {
            "service": "drafts",
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "sequence": 1,
            "born": 1,
            **fields,
        }

    async def handle(self, call: Call, exchange: Exchange) -> None:
        """Answer one call."""
        self.seen.append(call)
        call_id = header(call.headers, b"x-request-id") or b""
        if header(call.headers, b"x-expect-instance") != self.id.encode():
            exchange.respond(421, [(b"x-instance-id", b"other")], b"")
            return
        if self.fault == "refuse":
            exchange.respond(503, [(b"x-not-executed", b"1")], b"")
            return
        self.runs.append(call_id)
        if self.fault == "mute":
            exchange.abort()
            return
        proof = [(b"x-request-id", call_id), (b"x-server-signature", b"s")]
        if self.fault == "fail":
            exchange.respond(500, proof, b"failed")
        elif self.fault == "promise":
            exchange.respond(503, proof[:1], b"")
        elif self.fault == "unproved":
            exchange.respond(200, proof[:1], b"whole")
        elif call.target.startswith(b"/s/"):
            await self._stream(call, exchange, proof)
        else:
            if self.fault == "stall":
                await asyncio.sleep(60)
            body = b"whole " + call.body
            exchange.respond(200, proof, body)

    async def _stream(self, call: Call, exchange: Exchange, proof) -> None:
        first = int(header(call.headers, b"last-event-id") or b"0") + 1
        exchange.begin(200, [*proof, (b"content-type", b"text/event-stream")], None)
        try:
            for number in range(first, self.events + 1):
                event = b"id: %d\ndata: e%d\n\n" % (number, number)
                if self.fault == "cut" and number == 3:
                    exchange.send(event[:7])
                    exchange.abort()
                    return
                if self.fault == "stall" and number == 3:
                    await asyncio.sleep(60)
                exchange.send(event)
                await asyncio.sleep(self.gap_s)
        except asyncio.CancelledError:
            self.was_abandoned = True
            raise
        exchange.finish()


def entry_host(number: int, ip: str, store_port: int) -> HostSettings:
    """Return the settings of an entry that reads a store on this host."""
    return HostSettings(
        name=f"entry-{number}",
        ip=ip,
        domain="a",
        caller_address=None,
        health_address=None,
        peer_ports=(700, 715),
        seeds=(),
        endpoint=None,
        service=None,
        store=Address("127.0.0.1", store_port),
        bounds=Bounds(8_000.0, 2_000.0, 0.2, 10_000.0, 94.0),
        link_mbps=100.0,
    )


def run_with_client(store: StoreStandin, work: t.Callable[..., t.Any]) -> t.Any:
    """Return the result of ``work(store, client)``, with a client of the store."""

    async def run():
        async with listening(store) as port:
            client = StoreClient(lambda: Address("127.0.0.1", port))
            try:
                return await work(store, client)
            finally:
                client.close()

    return asyncio.run(run())


@contextlib.asynccontextmanager
async def listening(standin: t.Any, ip: str = "127.0.0.1") -> t.AsyncIterator[int]:
    """Run a stand-in on a free port and yield the port."""
    server = Server(standin.handle, lambda: CONNECTION_LIMITS, lambda *_: None)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.make_connection, ip, 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        server.close_all()
        await asyncio.sleep(0)
