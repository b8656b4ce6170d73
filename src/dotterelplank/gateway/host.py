"""Settings of a process and its host: addresses, limits and the users' bounds."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on times and retries that the users require.

    :param stop_ms: time from the signal to stop until the process is killed.
    :param leave_ms: time after which a server that leaves must get no new calls.
    :param retry_ratio: retries per first send, summed over all hosts.
    :param retry_window_ms: length of the window in which sends are counted.
    :param retry_burst: retries beyond the ratio, summed over all hosts.
    :param sync_ms: time after which a published configuration must be in force.
    """

    stop_ms: float
    leave_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_burst: float
    sync_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings of one process.

    :param domain: failure domain of the host.
    :param caller_address: address that callers connect to; None for an agent.
    :param health_address: address that serves readiness; None for an agent.
    :param peer_ports: first and last port for messages between the system's processes.
    :param seeds: IP addresses of entries through which other entries are discovered.
    :param endpoint: address of the server on this host; None for an entry.
    :param service: service of that server; None for an entry.
    :param store: address of the platform's store.
    :param link_mbps: bandwidth of the host's link in megabits per second.
    """

    name: str
    ip: str
    domain: str
    caller_address: Address | None
    health_address: Address | None
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    endpoint: Address | None
    service: str | None
    store: Address
    bounds: Bounds
    link_mbps: float

    @property
    def peer_port(self) -> int:
        """The port for datagrams between the system's processes."""
        return self.peer_ports[0]
