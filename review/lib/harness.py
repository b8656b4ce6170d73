"""Starts entries with the deploy file's command, with stand-ins for everything around them.

The store is the project's own stand-in (``tests/platform_standin.py``). Servers and
clients are stand-ins of this review. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

from dotterelplank.http1.messages import header
from dotterelplank.http1.server import ConnectionLimits, Server
from platform_standin import StoreStandin

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "h.example"
KEY = "key-1"
LIMITS = ConnectionLimits(16_384, 1_000_000, 5.0, 60.0)
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_sync_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_burst": 94,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "fencing_enabled": False,
}
STABLE_S = BOUNDS["stable_ms"] / 1000
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """The case couldn't be run."""


class Record:
    """What was sent, answered and run; it becomes ``record.txt``."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._lines = []
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def note(self, text):
        """Add a line with the present time."""
        self._lines.append((self.now(), text))

    def write(self):
        """Write the lines, in order of their times."""
        lines = [f"{at:8.3f} {text}\n" for at, text in sorted(self._lines)]
        self._path.write_text("".join(lines))


def route(name, prefix, kind, service, **fields):
    """Return a route as operators publish it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "service": service,
        "timeout_ms": 2000,
        "goal_ms": 500,
        "max_attempts": 2,
        "priority": 1,
        "public": False,
        **fields,
    }


def configuration(version, routes, **fields):
    """Return a configuration as operators publish it."""
    services = sorted({one["service"] for one in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_conns": 258} for name in services],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "crew", "api_keys": [KEY], "priority": 1}],
        **fields,
    }


class ServerStandin:
    """A server of a service; ``answer`` does its work.

    It runs a request only if it is the instance that the request expects. A crash ends
    its listener and resets all its channels; its record in the store stays, as that of
    a server that says nothing any more does for three check-ins.
    """

    def __init__(self, record, store, service, name, ip, slots=12):
        self.record = record
        self.store = store
        self.service = service
        self.id = name
        self.ip = ip
        self.slots = slots
        self.port = 0
        self.boots = 0
        self.is_up = False
        self._listener = None
        self._server = None

    async def start(self):
        """Listen, and register in the store as a new boot."""
        self._server = Server(self._handle, lambda: LIMITS, lambda *_: None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server.make_connection, self.ip, self.port, reuse_address=True
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self.boots += 1
        self.is_up = True
        self.register("ready")
        self.record.note(f"server {self.id} up, boot {self.boots}")

    def register(self, state):
        """Write the server's record to the store."""
        born = int(time.time() * 1000)
        self.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "sequence": 1,
                "born": born,
            },
        )

    def crash(self):
        """End at once, as a process that is killed."""
        self.is_up = False
        self._listener.close()
        for connection in list(self._server.connections):
            if connection._transport is not None:
                connection._transport.abort()
        self.record.note(f"server {self.id} crashed")

    def close(self):
        """End at the end of the case."""
        if self.is_up:
            self._listener.close()
            self._server.close_all()

    async def _handle(self, call, exchange):
        if header(call.headers, b"x-expect-instance") != self.id.encode():
            exchange.respond(421, [(b"x-not-executed", b"1")], b"")
            return
        await self.answer(call, exchange)

    async def answer(self, call, exchange):
        """Answer a request; a case replaces this."""
        raise NotImplementedError


def proof(call):
    """Return the headers of a server's own answer."""
    call_id = header(call.headers, b"x-request-id")
    return [(b"x-request-id", call_id), (b"x-server-signature", b"sig-" + call_id)]


def loopback_net():
    """Return a loopback network that other runs hardly use, as ``127.A.B``."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_port(ip):
    """Return a port of an address that is free now."""
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


@dataclasses.dataclass
class Entry:
    """A running entry."""

    name: str
    ip: str
    port: int
    ready_port: int
    process: asyncio.subprocess.Process
    settings_path: pathlib.Path
    settings: dict

    def write_settings(self):
        """Lay down the settings, as the platform does: whole, at the same place."""
        fresh = self.settings_path.with_suffix(".new")
        fresh.write_text(json.dumps(self.settings))
        os.replace(fresh, self.settings_path)


@contextlib.asynccontextmanager
async def listening(handler, ip):
    """Serve a stand-in's ``handle`` at a free port of an address; yield the port."""
    server = Server(handler, lambda: LIMITS, lambda *_: None)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.make_connection, ip, 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        server.close_all()
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def running_entries(record, ips, store_address, zones=("zone-a",)):
    """Run an entry at each address with the deploy file's command, and yield them.

    :param store_address: returns the store's address for the entry of a number.
    :param zones: the entries are in these zones by turns.
    """
    role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
    peer_port = free_port(ips[0])
    entries = []
    log = open(os.environ.get("ENTRY_LOG", os.devnull), "wb")
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number, ip in enumerate(ips):
                zone = zones[number % len(zones)]
                name = f"edge-{zone}-{number // len(zones) + 1}"
                port, ready_port, control = (free_port(ip) for _ in range(3))
                settings = {
                    "node_name": name,
                    "role": "entry",
                    "machine_class": "edge",
                    "serves": ["edge", "control"],
                    "ip": ip,
                    "zone": zone,
                    "region": "region",
                    "zones": {one: "region" for one in zones},
                    "listen": {
                        "frontend": f"{ip}:{port}",
                        "ready": f"{ip}:{ready_port}",
                        "control_plane": f"{ip}:{control}",
                    },
                    "port_range": [peer_port, peer_port + 15],
                    "seed_nodes": [f"{seed}:{control}" for seed in ips[:3]],
                    "bootstrap": True,
                    "limits": {
                        "cpu_quota": 0.537,
                        "cpu_cores": 2,
                        "memory_mb": 300,
                        "max_fds": 4100,
                        "bandwidth_mbps": 1000.0,
                        "disk_mb": 0,
                    },
                    "data_dir": None,
                    "heartbeat_ms": 1200,
                    "bounds": BOUNDS,
                    "platform": {
                        "address": store_address(number),
                        "form": "read",
                        "reads_per_s": 2000,
                        "history_s": 20,
                        "value_bytes": 1048576,
                    },
                }
                path = pathlib.Path(folder) / f"settings-{number}.json"
                environment = {
                    **{
                        k: os.environ[k]
                        for k in ("PATH", "HOME", "LANG")
                        if k in os.environ
                    },
                    **role.get("env", {}),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "DOTTERELPLANK_NODE_FILE": str(path),
                }
                entry = Entry(name, ip, port, ready_port, None, path, settings)
                entry.write_settings()
                entry.process = await asyncio.create_subprocess_exec(
                    *shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log
                )
                entries.append(entry)
                record.note(f"{name} started")
            for entry in entries:
                await wait_ready(entry)
            record.note("all entries are ready")
            yield entries
        finally:
            for entry in entries:
                with contextlib.suppress(ProcessLookupError):
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                await entry.process.wait()
            log.close()


async def wait_ready(entry, within_s=15.0):
    """Wait until an entry says that it is ready."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError, IndexError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    entry.ip, entry.ready_port
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.split()[1] == b"200":
                    return
        await asyncio.sleep(0.1)
    raise CaseError(f"{entry.name} isn't ready")


@dataclasses.dataclass
class Outcome:
    """What a client saw of a request.

    :param status: status of the answer; None: no answer.
    :param answered_s: seconds from the send until the whole answer; None: it never came.
    :param begun_s: seconds from the send until the head of the answer.
    :param left_at: when the client closed its channel.
    """

    id: str
    sent_at: float
    status: int | None = None
    begun_s: float | None = None
    answered_s: float | None = None
    left_at: float = 0.0
    body: bytes = b""
    is_complete: bool = False

    @property
    def event_ids(self):
        return [
            int(line[3:])
            for line in self.body.decode().splitlines()
            if line.startswith("id:")
        ]


async def request(
    record,
    entry,
    call_id,
    target,
    *,
    method="POST",
    body=b"",
    wait_s,
    deadline_ms,
    headers=(),
):
    """Send a request on a new channel and wait for its answer, ``wait_s`` at most."""
    outcome = Outcome(call_id, record.now())
    writer = None
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {call_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(entry.ip, entry.port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read_answer(record, reader, outcome)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.close()
        outcome.left_at = record.now()
    took = None if outcome.answered_s is None else round(outcome.answered_s, 3)
    record.note(
        f"client {call_id} {target} at {entry.name}: sent {outcome.sent_at:.3f},"
        f" status {outcome.status}, whole {outcome.is_complete}, took {took}"
    )
    return outcome


async def _read_answer(record, reader, outcome):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    outcome.status = int(head[0].split()[1])
    outcome.begun_s = record.now() - outcome.sent_at
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).strip(), 16)
            data = await reader.readexactly(size + 2)
            outcome.body += data[:-2]
            if not size:
                break
    else:
        outcome.body = await reader.readexactly(int(fields.get("content-length", 0)))
    outcome.is_complete = True
    outcome.answered_s = record.now() - outcome.sent_at


def main(folder, case):
    """Run ``case(record)`` and exit with its result."""
    record = Record(folder)
    try:
        result = asyncio.run(case(record))
    except Exception as error:
        traceback.print_exc()
        record.note(f"the case couldn't run: {error!r}")
        print(f"could not run: {error!r}")
        result = NOT_RUN
    record.note(f"exit {result}, TROUBLE={int(TROUBLE)}")
    record.write()
    sys.exit(result)
