"""Runs daemons and stand-ins as real processes on the loopback interface for tests."""

import contextlib
import dataclasses
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
SECRET = "a secret of the processes on loopback"
START_BOUND_S = 20.0
POLL_S = 0.02

pool = urllib3.PoolManager(maxsize=64, retries=False, timeout=30.0)


class WaitTimeoutError(Exception):
    """A condition did not hold within its time limit."""


def wait_until(condition, bound_s=START_BOUND_S, what="the condition"):
    """Wait until ``condition`` returns a true value and return that value."""
    end_s = time.monotonic() + bound_s
    while time.monotonic() < end_s:
        found = condition()
        if found:
            return found
        time.sleep(POLL_S)
    raise WaitTimeoutError(f"{what} did not hold within {bound_s} s")


@dataclasses.dataclass
class Process:
    """A started process and the ports that it printed."""

    popen: subprocess.Popen
    ports: dict
    log: pathlib.Path

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def wait(self, bound_s=START_BOUND_S):
        return self.popen.wait(bound_s)

    def is_running(self):
        return self.popen.poll() is None


class DatagramRelay:
    """Forwards datagrams to a process whose streams go through a proxy."""

    def __init__(self, port, target_port):
        self.is_cut = False
        self._target = ("127.0.0.1", target_port)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", port))
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopping:
            if select.select([self._socket], [], [], POLL_S)[0]:
                data = self._socket.recv(65_536)
                if not self.is_cut:
                    self._socket.sendto(data, self._target)

    def close(self):
        self._stopping = True
        self._thread.join()
        self._socket.close()


@dataclasses.dataclass(frozen=True)
class HostSpec:
    """A host of a test cluster."""

    host: str
    domain: str
    app: str = ""


@dataclasses.dataclass
class System:
    """All processes of a test cluster."""

    folder: pathlib.Path
    join_alone_ms: int = 200
    balancer_notice_ms: int = 0
    stop_bound_ms: int = 20_000
    processes: dict = dataclasses.field(default_factory=dict)
    hosts: dict = dataclasses.field(default_factory=dict)
    peer_ports: dict = dataclasses.field(default_factory=dict)
    relays: dict = dataclasses.field(default_factory=dict)

    def _start(self, name, *arguments):
        log = self.folder / f"{name}-{len(os.listdir(self.folder))}.log"
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        popen = subprocess.Popen(
            [sys.executable, "-m", "dotterelplank", *map(str, arguments)],
            stdout=subprocess.PIPE,
            stderr=log.open("wb"),
            env=environment,
            cwd=ROOT,
            text=True,
        )
        process = Process(popen, {}, log)
        self.processes[name] = process
        return process

    def _read_ports(self, process):
        line = process.popen.stdout.readline()
        if not line:
            raise WaitTimeoutError(process.log.read_text("utf-8"))
        process.ports = json.loads(line)
        return process

    def standin(self, name, kind, *arguments):
        """Start a stand-in; :meth:`ready` reads its port."""
        return self._start(name, "standin", kind, *arguments)

    def ready(self, *processes):
        for process in processes:
            self._read_ports(process)
        return processes[0] if len(processes) == 1 else processes

    def url(self, name):
        return "http://" + self.processes[name].ports["listening"]

    def control(self, name, path, body, method="POST"):
        response = pool.request(method, f"{self.url(name)}/control/{path}", json=body)
        assert response.status < 300, response.data
        return response.json()

    def read(self, name, path):
        return pool.request("GET", f"{self.url(name)}/control/{path}").json()

    def _settings(self, host_spec, extra):
        value = {
            "host": host_spec.host,
            "domain": host_spec.domain,
            "address": "127.0.0.1",
            "peer_port": 0,
            "status_port": 0,
            "platform_url": self.url("platform"),
            "secret": SECRET,
            "join_alone_ms": self.join_alone_ms,
            "stop_bound_ms": self.stop_bound_ms,
            "log_level": "INFO",
            **extra,
        }
        path = self.folder / f"{host_spec.host}.json"
        path.write_text(json.dumps(value), encoding="utf-8")
        return path

    def entry(self, host_spec, **extra):
        """Start an entry; :meth:`ready` reads its ports."""
        self.hosts[host_spec.host] = (host_spec, "entry")
        settings = {
            "caller_port": 0,
            "caller_threads": 160,
            "balancer_notice_ms": self.balancer_notice_ms,
            **extra,
        }
        return self._start(host_spec.host, "entry", self._settings(host_spec, settings))

    def agent(self, host_spec, endpoint, kind, **extra):
        """Start an agent beside the stand-in called ``endpoint``."""
        self.hosts[host_spec.host] = (host_spec, "agent")
        settings = {
            "endpoint_url": self.url(endpoint),
            "endpoint_kind": kind,
            "slots": 160,
            **extra,
        }
        return self._start(host_spec.host, "agent", self._settings(host_spec, settings))

    def publish_hosts(self, leaving=(), without=()):
        """Publish the list of hosts on the platform."""
        hosts = []
        for name, (host_spec, role) in self.hosts.items():
            if name in without:
                continue
            port = self.peer_ports.get(name)
            hosts.append(
                {
                    "host": name,
                    "address": "127.0.0.1",
                    "port": port or self.processes[name].ports["peer_port"],
                    "domain": host_spec.domain,
                    "role": role,
                    "state": "leaving" if name in leaving else "live",
                    "labels": {"app": host_spec.app} if host_spec.app else {},
                }
            )
        return self.control("platform", "hosts", hosts, method="PUT")

    def put_proxy(self, host):
        """Start a proxy before ``host``; the next host list names its port."""
        target = self.processes[host].ports["peer_port"]
        name = f"proxy-{host}"
        proxy = self.standin(name, "proxy", "--target", f"127.0.0.1:{target}")
        self.ready(proxy)
        port = int(proxy.ports["listening"].rpartition(":")[2])
        self.relays[host] = DatagramRelay(port, target)
        self.peer_ports[host] = port

    def change_rules(self, host, **rules):
        """Change the faults of the proxy before ``host``."""
        control = self.processes[f"proxy-{host}"].ports["control"]
        response = pool.request("POST", f"http://{control}/control/rules", json=rules)
        assert response.status == 200, response.data

    def status(self, host):
        port = self.processes[host].ports["status_port"]
        return pool.request("GET", f"http://127.0.0.1:{port}/status").json()

    def health(self, host):
        port = self.processes[host].ports["status_port"]
        return pool.request("GET", f"http://127.0.0.1:{port}/healthz").status

    def caller_url(self, host):
        return f"http://127.0.0.1:{self.processes[host].ports['caller_port']}"

    def links_of(self, host):
        return {
            item["host"]
            for item in self.status(host)["hosts"]
            if item["linked"] and item["usable"]
        }

    def events(self, host):
        """Return the numbered events that all processes of ``host`` logged."""
        found = []
        for path in sorted(self.folder.glob(f"{host}-*.log")):
            for line in path.read_text("utf-8").splitlines():
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found

    def stop(self):
        for relay in self.relays.values():
            relay.close()
        for process in self.processes.values():
            if process.is_running():
                process.signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
            process.popen.stdout.close()


@contextlib.contextmanager
def system(**fields):
    """Yield a system without processes; stop all processes when the block ends."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = System(pathlib.Path(folder), **fields)
        try:
            yield cluster
        finally:
            cluster.stop()


CONFIGURATION = {
    "labels": {"app": ["drafting", "orders"]},
    "groups": [
        {
            "name": "drafting",
            "kind": "model",
            "servers": {"match_labels": {"app": "drafting"}},
        },
        {
            "name": "orders",
            "kind": "service",
            "servers": {"match_labels": {"app": "orders"}},
        },
    ],
    "rules": [{"name": "all"}],
    "team_classes": [{"name": "all", "share": 1, "teams": ["crew", "audit"]}],
}


def start_small(
    cluster, entries=2, engines=2, services=1, engine_arguments=(), proxied=(), **fields
):
    """Start a platform, ``entries`` entries and agents with their endpoints.

    Hosts that are ``proxied`` are reached through a proxy; ``fields`` are settings of
    the entries.
    """
    cluster.ready(cluster.standin("platform", "platform"))
    endpoints = [
        cluster.standin(f"engine-{number}", "engine", *engine_arguments)
        for number in range(1, engines + 1)
    ]
    endpoints += [
        cluster.standin(f"service-{number}", "service")
        for number in range(1, services + 1)
    ]
    for endpoint in endpoints:
        cluster.ready(endpoint)
    cluster.control("platform", "configuration", {"text": json.dumps(CONFIGURATION)})
    daemons = [
        cluster.entry(HostSpec(f"entry-{number}", "fd-1"), **fields)
        for number in range(1, entries + 1)
    ]
    daemons += [
        cluster.agent(
            HostSpec(f"drafting-{number}", "fd-1", "drafting"),
            f"engine-{number}",
            "model",
        )
        for number in range(1, engines + 1)
    ]
    daemons += [
        cluster.agent(
            HostSpec(f"orders-{number}", "fd-1", "orders"),
            f"service-{number}",
            "service",
        )
        for number in range(1, services + 1)
    ]
    for daemon in daemons:
        cluster.ready(daemon)
    for host in proxied:
        cluster.put_proxy(host)
    cluster.publish_hosts()
    wait_linked(cluster)


def wait_linked(cluster, hosts=None):
    """Wait until every entry has a link to every running agent and may use it."""
    agents = {
        name
        for name, (_, role) in cluster.hosts.items()
        if role == "agent" and cluster.processes[name].is_running()
    }
    entries = hosts or [
        name
        for name, (_, role) in cluster.hosts.items()
        if role == "entry" and cluster.processes[name].is_running()
    ]
    for entry in entries:
        wait_until(
            lambda: cluster.status(entry)["configuration_revision"] > 0
            and agents <= cluster.links_of(entry),
            what=f"{entry} linked to {sorted(agents)}",
        )
