"""What a process is told of its own host: addresses, limits and the users' bounds."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The times and shares that the users ask for.

    :param stop_ms: time from the signal to stop until the process is killed.
    :param leave_ms: time in which a server that leaves must get nothing new.
    :param retry_ratio: repeated sends over first ones, summed over all hosts.
    :param retry_window_ms: window in which they are counted.
    :param retry_burst: repeated sends beyond the ratio, summed over all hosts.
    """

    stop_ms: float
    leave_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings of one process.

    :param caller_address: where callers connect; an agent has none.
    :param health_address: where readiness is asked for; an agent has none.
    :param peer_ports: first and last port for the system's own messages.
    :param seeds: IP addresses of entries that may know the others.
    :param endpoint: the server on this host; an entry has none.
    :param link_mbps: what the host can send in a second, in millions of bits.
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
