"""An event loop with a virtual clock, and a model of the network between its hosts.

A link has a limited bandwidth and a queue of limited size, and drops packets that don't
fit.
"""

import asyncio
import collections
import dataclasses
import random
import selectors
import typing as t

PORT = 7000
DELAY_MS = 1.0
QUEUE_BYTES = 32 * 1024
LOSS_RATIO = 0.002
HEADER_BYTES = 28


class _Selector(selectors.SelectSelector):
    """A selector that advances the loop's clock to the next timer, without waiting."""

    loop: "VirtualLoop"

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the event loop has no timer left")
        self.loop.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock, whose datagrams use a model network."""

    def __init__(self) -> None:
        self.now_s = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        self.network = Network(self)
        self.handlers: dict[t.Any, t.Callable[[], None]] = {}

    def time(self) -> float:
        return self.now_s

    def add_signal_handler(self, number, callback) -> None:
        self.handlers[asyncio.current_task(), number] = callback

    async def create_datagram_endpoint(self, protocol_factory, local_addr=None, **_):
        protocol = protocol_factory()
        transport = _Transport(self.network, local_addr[0])
        self.network.protocols[local_addr[0]] = protocol
        return transport, protocol


@dataclasses.dataclass
class _Transport:
    network: "Network"
    ip: str

    def sendto(self, data, addr) -> None:
        self.network.send(self.ip, addr[0], data)

    def close(self) -> None:
        self.network.protocols.pop(self.ip, None)


class Network:
    """The links of all hosts, which have the same bandwidth.

    :ivar link_mbps: the bandwidth in megabits per second; set before the agents start.
    :ivar sent: when each host sent a datagram, in seconds, and the datagram's size.
    :ivar lost: number of datagrams that were dropped.
    :ivar routes: for each datagram, the source, the target and the time in seconds.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.link_mbps = 4.0
        self.protocols: dict[str, t.Any] = {}
        self.sent: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
        self.lost = 0
        self.routes: list[tuple[str, str, float]] = []
        self._free_s: dict[tuple[str, str], float] = collections.defaultdict(float)
        self._random = random.Random(1)

    def send(self, source: str, target: str, data: bytes) -> None:
        """Deliver a datagram, unless a link's queue is full or it is lost at random."""
        now_s = self._loop.time()
        size = len(data) + HEADER_BYTES
        self.sent[source].append((now_s, size))
        self.routes.append((source, target, now_s))
        departure_s = self._transmit((source, "out"), now_s, size)
        if departure_s is None or self._random.random() < LOSS_RATIO:
            self.lost += 1
            return
        arrival_s = self._transmit((target, "in"), departure_s + DELAY_MS / 1000, size)
        if arrival_s is None:
            self.lost += 1
            return
        self._loop.call_at(arrival_s, self._deliver, source, target, data)

    def _transmit(self, link: tuple[str, str], now_s: float, size: int) -> float | None:
        bytes_per_s = self.link_mbps * 1e6 / 8
        free_s = max(self._free_s[link], now_s)
        if (free_s - now_s) * bytes_per_s + size > QUEUE_BYTES:
            return None
        self._free_s[link] = free_s + size / bytes_per_s
        return self._free_s[link]

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        protocol = self.protocols.get(target)
        if protocol is not None:
            protocol.datagram_received(data, (source, PORT))

    def max_bytes(self, window_ms: float, since_s: float) -> int:
        """Return the most bytes that any host sent within ``window_ms``.

        :param since_s: datagrams before this time are left out.
        """
        return max(
            _max_in_window(
                [entry for entry in sent if entry[0] >= since_s], window_ms / 1000
            )
            for sent in self.sent.values()
        )


def _max_in_window(sent: t.Sequence[tuple[float, int]], window_s: float) -> int:
    max_total = total = first = 0
    for sent_s, size in sent:
        total += size
        while sent[first][0] <= sent_s - window_s:
            total -= sent[first][1]
            first += 1
        max_total = max(max_total, total)
    return max_total
