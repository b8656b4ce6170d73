"""Heartbeats between entries, with their load and the revisions that they have.

A heartbeat is sent regularly, and soon after each change of the load, so that entries
which choose among the same endpoints know of each other's calls within milliseconds.
"""

import dataclasses
import typing as t

import pydantic

from ..datagram_codec import Codec
from ..sequences import Sequence
from .crash_reports import CrashReport
from .revisions import Revision
from .server_limits import LimitReport

HEARTBEAT_INTERVAL_MS: t.Final = 250.0
MIN_SPACING_MS: t.Final = 8.0
"""Shortest time between two heartbeats."""
MAX_LINK_RATIO: t.Final = 0.1
"""The part of a host's bandwidth that heartbeats may use."""
HEARTBEAT_BYTES: t.Final = 200
"""Size of a heartbeat, for the calculation of the bandwidth."""
MAX_RECEIVED_PER_S: t.Final = 250.0
"""Most heartbeats that one entry receives per second, as each costs CPU time."""
PEER_TIMEOUT_MS: t.Final = 1_500.0
"""Time without a heartbeat after which a peer doesn't count as alive."""
PEER_EXPIRY_MS: t.Final = 30_000.0
"""Time without a heartbeat after which a peer is removed.

Until then it is sent heartbeats, as a network partition may have ended.
"""
DISCOVERY_INTERVAL_MS: t.Final = 1_000.0
"""Interval of the heartbeats to addresses without a live peer."""
PEERS_PER_HEARTBEAT: t.Final = 16
"""Most addresses of other entries that a heartbeat contains."""


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The message that an entry sends to its peers.

    :param incarnation: a new number with each start of the process.
    :param number: increases with each heartbeat.
    :param table_version: version of the routing table in force; 0: no table is known.
    :param directory_revision: revision up to which the list of endpoints is known.
    :param in_flight: number of the sender's calls at each endpoint, by endpoint id.
    :param waiting: number of the sender's calls that wait for a slot, by service.
    :param peers: addresses of other entries.
    :param is_reading: whether the sender reads changes from the platform's store.
    :param is_leaving: whether the sender is stopping.
    :param store_age_ms: age of what the sender knows of the store, by its own reads or
        from others; -1: it knows nothing.
    :param is_probing: whether the sender has a probe with suspect prompt parts in
        progress.
    :param crashes: crashes that are evidence on prompt parts. These, and the following,
        are left out of heartbeats that follow each other closely.
    :param limits: limits that servers have named, or that have ended.
    :param leaving: starts of servers that have said in an answer that they leave.
    """

    name: str
    ip: str
    domain: str
    incarnation: int
    number: int
    table_version: int
    directory_revision: Revision
    in_flight: dict[str, int]
    waiting: dict[str, int]
    peers: list[str]
    is_reading: bool
    is_leaving: bool
    store_age_ms: int = -1
    is_probing: bool = False
    crashes: list[CrashReport] = dataclasses.field(default_factory=list)
    limits: list[LimitReport] = dataclasses.field(default_factory=list)
    leaving: list[str] = dataclasses.field(default_factory=list)


FORMAT: t.Final = "entry/5"
"""Entries ignore heartbeats of another format, as those of an older program are."""

CODEC: t.Final = Codec(FORMAT, Heartbeat)


def spacing_ms(others: int, link_mbps: float) -> float:
    """Return the shortest time between two heartbeats to ``others`` entries.

    :param link_mbps: bandwidth of the host's link in megabits per second.
    """
    round_ms = others * HEARTBEAT_BYTES * 8 / (link_mbps * 1000 * MAX_LINK_RATIO)
    return max(MIN_SPACING_MS, round_ms, others * 1000 / MAX_RECEIVED_PER_S)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry.

    :param heartbeat: the last heartbeat received from it.
    :param last_seen_ms: time at which that heartbeat was received.
    """

    heartbeat: Heartbeat
    last_seen_ms: float
    is_alive: bool = True


@dataclasses.dataclass
class Peers:
    """The other entries.

    :param by_ip: the peers, by their addresses.
    :param advertised: addresses named in heartbeats, with the time of their addition.
    :param last_sent_ms: time of the last heartbeat to an address without a live peer.
    :param sequences: for each address, the sequence that rejects old heartbeats.
    """

    own_ip: str
    by_ip: dict[str, Peer] = dataclasses.field(default_factory=dict)
    advertised: dict[str, float] = dataclasses.field(default_factory=dict)
    last_sent_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    sequences: dict[str, Sequence] = dataclasses.field(default_factory=dict)

    def on_heartbeat(self, now_ms: float, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat, unless it is older than the last one.

        :return: whether the heartbeat was recorded.
        """
        if heartbeat.ip == self.own_ip:
            return False
        sequence = self.sequences.setdefault(heartbeat.ip, Sequence())
        if not sequence.accept(heartbeat.incarnation, heartbeat.number):
            return False
        self.by_ip[heartbeat.ip] = Peer(heartbeat, now_ms)
        for ip in heartbeat.peers:
            if ip != self.own_ip:
                self.advertised.setdefault(ip, now_ms)
        return True

    def expire(self, now_ms: float) -> t.Sequence[Peer]:
        """Mark unresponsive peers, and remove those that stay unresponsive.

        :return: the peers that this call has marked as unresponsive.
        """
        unresponsive = []
        for ip, peer in list(self.by_ip.items()):
            inactive_ms = now_ms - peer.last_seen_ms
            if inactive_ms > PEER_TIMEOUT_MS and peer.is_alive:
                peer.is_alive = False
                unresponsive.append(peer)
            if inactive_ms > PEER_EXPIRY_MS:
                del self.by_ip[ip], self.sequences[ip]
        for ip, advertised_ms in list(self.advertised.items()):
            if now_ms - advertised_ms > PEER_EXPIRY_MS:
                del self.advertised[ip]
        return unresponsive

    def alive(self) -> t.Sequence[Peer]:
        """Return the peers that are alive and aren't leaving."""
        return [
            peer
            for peer in self.by_ip.values()
            if peer.is_alive and not peer.heartbeat.is_leaving
        ]

    def destinations(self, now_ms: float, seeds: t.Sequence[str]) -> t.Sequence[str]:
        """Return the addresses that a heartbeat is to be sent to now.

        Every heartbeat is sent to the peers that are alive. Seeds, advertised addresses
        and unresponsive peers get one every DISCOVERY_INTERVAL_MS.
        """
        live = {ip for ip, peer in self.by_ip.items() if peer.is_alive}
        others = {*seeds, *self.advertised, *self.by_ip} - live - {self.own_ip}
        due = [
            ip
            for ip in others
            if now_ms - self.last_sent_ms.get(ip, -DISCOVERY_INTERVAL_MS)
            >= DISCOVERY_INTERVAL_MS
        ]
        for ip in due:
            self.last_sent_ms[ip] = now_ms
        return [*live, *due]
