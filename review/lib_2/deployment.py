"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = (12_000, 30_000)
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


class CannotRun(Exception):
    """The case couldn't run."""


def free_port(ips=("127.0.0.1",)):
    """Return a port that is free at some addresses, for TCP and for datagrams.

    It is below the range from which the system takes the ports of outgoing channels.
    """
    for _ in range(200):
        port = random.randrange(*PORTS)
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        found = socket.socket(socket.AF_INET, kind)
                        stack.enter_context(found).bind((ip, port))
            except OSError:
                continue
            return port
    raise CannotRun("no free port")


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the begin of the case."""
        return time.monotonic() - self._began

    def write(self, text):
        """Write a line, with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Entry:
    """One entry process and its settings."""

    def __init__(self, name, ip, zone, ports, settings, folder):
        self.name, self.ip, self.zone = name, ip, zone
        self.port, self.ready_port, self.metrics_port = ports
        self.settings = settings
        self.path = folder / f"{name}.json"
        self.process = None
        self.log = open(folder / f"{name}.log", "wb")

    def write_settings(self):
        """Write the settings file, as the platform does."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings))
        temporary.replace(self.path)

    async def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        words = role["run"].split()
        words[words.index("--metrics-port") + 1] = str(self.metrics_port)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "DOTTERELPLANK_NODE_FILE": str(self.path),
            **role.get("env", {}),
        }
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    async def is_ready(self):
        """Ask the process whether it is ready, as the platform does."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False

    async def end(self):
        """End the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


@contextlib.asynccontextmanager
async def entries(count, store_address, zones=("z-a", "z-b", "z-c")):
    """Yield entries of a small deployment, at loopback addresses; none is started.

    :param zones: the zones of the entries, in turn.
    """
    ips = [f"127.0.1.{number + 1}" for number in range(count)]
    ports = [free_port(ips) for _ in range(4)]
    peer_port = ports.pop()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        found = []
        for number, ip in enumerate(ips):
            zone = zones[number % len(zones)]
            settings = {
                "node_name": f"edge-{zone}-{number + 1}",
                "role": "entry",
                "machine_class": "edge",
                "serves": ["edge", "control"],
                "ip": ip,
                "zone": zone,
                "region": "r",
                "zones": {one: "r" for one in sorted(set(zones))},
                "listen": {
                    "frontend": f"{ip}:{ports[0]}",
                    "ready": f"{ip}:{ports[1]}",
                    "control_plane": f"{ip}:{peer_port + 20}",
                },
                "port_range": [peer_port, peer_port + 15],
                "seed_nodes": [f"{one}:{peer_port + 20}" for one in ips[:3]],
                "bootstrap": True,
                "in_tolerance": False,
                "limits": {
                    "cpu_quota": 0.537,
                    "cpu_cores": 2,
                    "memory_mb": 300,
                    "max_fds": 4100,
                    "bandwidth_mbps": 1000.0,
                    "disk_mb": 0,
                },
                "data_dir": None,
                "discovery": "platform",
                "entry_type": "vip",
                "heartbeat_ms": 1200,
                "contracts": [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "engine",
                    "stream",
                    "tenants",
                    "platform",
                ],
                "fault_tolerance": {"nodes": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
                "platform": {
                    "address": store_address,
                    "form": "read",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history_s": 20,
                    "value_bytes": 1048576,
                    "ttl_min_ms": 1000,
                },
            }
            found.append(
                Entry(f"entry-{number + 1}", ip, zone, ports, settings, folder)
            )
        try:
            yield found
        finally:
            for entry in found:
                await entry.end()
                entry.log.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                target = pathlib.Path(keep)
                target.mkdir(parents=True, exist_ok=True)
                for entry in found:
                    log = folder / f"{entry.name}.log"
                    (target / log.name).write_bytes(log.read_bytes())


async def wait_until_ready(found, limit_s=20.0):
    """Wait until entries are ready.

    :raises CannotRun: if one isn't in time.
    """
    end = time.monotonic() + limit_s
    for entry in found:
        while not await entry.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{entry.name} isn't ready")
            await asyncio.sleep(0.1)


def config(routes, services, key="k3y9abc", version=3):
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "crew", "api_keys": [key], "priority": 1}],
    }


def route(name, kind, service, **fields):
    """Return a route."""
    return {
        "name": name,
        "host": "drafts.example",
        "prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeout_ms": 8_000,
        "goal_ms": 500,
        "max_attempts": 2,
        "priority": 1,
        "public": False,
        **fields,
    }


def run(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else with 2."""
    record = Record(folder)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    status = 2

    async def play():
        # All processes are ended if the case is told to stop.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await case(record, is_troubled)

    try:
        status = asyncio.run(play())
    except CannotRun as error:
        record.write(f"the case can't run: {error}")
    except asyncio.CancelledError:
        record.write("the case was told to stop")
    except Exception as error:  # the case itself is at fault
        record.write(f"the case failed: {error!r}")
    record.write(f"exit status {status}")
    record.close()
    sys.exit(status)
