"""Runs entries and agents as real processes for tests, and makes calls to entries."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import socket
import sys
import tempfile

from dotterelplank.errors import UpstreamError
from dotterelplank.http1.bodies import read_body
from dotterelplank.http1.client import connect
from dotterelplank.http1.responses import Request

SOURCES = pathlib.Path(__file__).resolve().parent.parent / "src"
DEADLINE_S = 10.0


@dataclasses.dataclass
class Response:
    """The response to a call."""

    status: int
    headers: list
    body: bytes


@dataclasses.dataclass
class EntryProcess:
    """A running entry process.

    :param path: path of its settings file.
    :param port: port for callers.
    :param health_port: port that serves readiness.
    :param lines: its log lines so far, decoded from JSON.
    """

    process: asyncio.subprocess.Process
    path: pathlib.Path
    ip: str
    port: int
    health_port: int
    lines: list = dataclasses.field(default_factory=list)

    async def call(self, target, *, call_id=b"c1", key=b"key-1", body=b"", **extra):
        """Make a call on a new connection, and return the response."""
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", call_id),
            (b"x-deadline-ms", str(extra.pop("deadline_ms", 2_000)).encode()),
        ]
        if key is not None:
            headers.append((b"x-api-key", key))
        headers += extra.pop("headers", [])
        return await _get(self.ip, self.port, target, headers, body)

    async def health(self):
        """Return the HTTP status of the readiness check."""
        headers = [(b"host", b"h")]
        response = await _get(self.ip, self.health_port, b"/v1/readyz", headers, None)
        return response.status

    def events(self, name):
        """Return the log lines of an event."""
        return [line for line in self.lines if line.get("name") == name]


async def _get(ip, port, target, headers, body):
    connection = await connect(ip, port, 1.0)
    try:
        method = b"GET" if body is None else b"POST"
        connection.send(Request(method, target, headers, body or b""))
        head = await connection.head()
        return Response(
            head.status, head.headers, await read_body(connection, 1_000_000)
        )
    finally:
        connection.close()


def free_ports(ip, count):
    """Return ports of an address that are free now."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            one = stack.enter_context(socket.socket())
            one.bind((ip, 0))
            found.append(one.getsockname()[1])
        return found


def _listen(ip, ports):
    return {"frontend": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}"}


def _settings(name, ip, store_port, ports, peer_port, seeds):
    return {
        "node_name": name,
        "ip": ip,
        "zone": "a",
        "listen": ports and _listen(ip, ports),
        "port_range": [peer_port, peer_port + 1],
        "seed_nodes": [f"{seed}:1" for seed in seeds],
        "limits": {"memory_mb": 300},
        "bounds": {
            "grace_s": 4,
            "stable_ms": 3000,
            "drain_ms": 2000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_burst": 94,
        },
        "platform": {"address": f"127.0.0.1:{store_port}"},
    }


@contextlib.asynccontextmanager
async def running_entry(
    store_port, ip="127.0.0.1", peer_port=None, seeds=(), ports=None
):
    """Run an entry until the ``with`` block ends, and yield it.

    :param ports: the ports for callers and for readiness; None: free ports are used.
    """
    ports = ports or free_ports(ip, 2)
    if peer_port is None:
        (peer_port,) = free_ports(ip, 1)
    found = _settings(f"entry-{ip}", ip, store_port, ports, peer_port, seeds)
    async with _process("entry", found) as (process, path):
        entry = EntryProcess(process, path, ip, *ports)
        reading = asyncio.create_task(_read_lines(entry))
        try:
            yield entry
        finally:
            await _kill(process)
            await reading


@contextlib.asynccontextmanager
async def running_peers(store_port, ips):
    """Run an entry at each address until the ``with`` block ends, and yield them.

    They are ready, and know each other.
    """
    (peer_port,) = free_ports(ips[0], 1)
    async with contextlib.AsyncExitStack() as stack:
        entries = [
            await stack.enter_async_context(
                running_entry(store_port, ip, peer_port, ips[:1])
            )
            for ip in ips
        ]

        async def are_peers():
            return all(
                len(entry.events("peer-found")) == len(ips) - 1 for entry in entries
            )

        for entry in entries:
            await wait_until(lambda one=entry: is_ready(one), what="ready")
        await wait_until(are_peers, what="peers")
        yield entries


@contextlib.asynccontextmanager
async def running_agent(store_port, ip, peer_port, service, port):
    """Run the agent of the server at ``port``, and yield its process."""
    found = _settings(f"agent-{ip}", ip, store_port, None, peer_port, ())
    found |= {"listen": {}, "service": service, "app": f"{ip}:{port}"}
    async with _process("agent", found) as (process, _):
        try:
            yield process
        finally:
            await _kill(process)


@contextlib.asynccontextmanager
async def _process(role, found):
    """Start a process with the settings ``found``; yield it and the settings' path."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(json.dumps(found))
        environment = {
            **os.environ,
            "DOTTERELPLANK_NODE_FILE": str(path),
            "PYTHONPATH": str(SOURCES),
        }
        is_read = role == "entry"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dotterelplank.platform",
            role,
            stdout=asyncio.subprocess.PIPE if is_read else asyncio.subprocess.DEVNULL,
            env=environment,
        )
        yield process, path


async def _kill(process):
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()


async def _read_lines(entry):
    async for line in entry.process.stdout:
        entry.lines.append(json.loads(line))


async def wait_until(condition, *, what):
    """Wait until ``condition`` holds, for at most DEADLINE_S.

    :raises TimeoutError: if it doesn't hold in time.
    """
    async with asyncio.timeout(DEADLINE_S):
        while True:
            with contextlib.suppress(UpstreamError):
                if await condition():
                    return
            await asyncio.sleep(0.02)
    raise AssertionError(what)


async def is_ready(entry):
    """Return whether the entry's readiness check succeeds."""
    return await entry.health() == 200
