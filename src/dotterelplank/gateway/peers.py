"""What entries tell each other: their load, and how new what they hold is.

A heartbeat goes out regularly, and at once when the load changes, so that entries which
choose among the same endpoints know of each other's calls within milliseconds.
"""

import dataclasses
import typing as t

import pydantic

from ..datagram_codec import Codec
from ..sequences import Sequence

HEARTBEAT_INTERVAL_MS: t.Final = 250.0
MIN_SPACING_MS: t.Final = 8.0
"""Shortest time between two heartbeats."""
MAX_LINK_RATIO: t.Final = 0.1
"""The part of a host's link that heartbeats may take."""
HEARTBEAT_BYTES: t.Final = 200
"""What a heartbeat takes on a link."""
MAX_RECEIVED_PER_S: t.Final = 250.0
"""Heartbeats that one entry takes in, which takes a part of its processor."""
PEER_TIMEOUT_MS: t.Final = 1_500.0
"""After this silence a peer isn't counted any more."""
PEER_EXPIRY_MS: t.Final = 30_000.0
"""How long a silent peer is still sent heartbeats, as a cut may have ended."""
DISCOVERY_INTERVAL_MS: t.Final = 1_000.0
PEERS_PER_HEARTBEAT: t.Final = 16


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an entry tells its peers.

    :param incarnation: another one with each start of the process.
    :param number: rises with each heartbeat.
    :param table_version: version of the routing table in force; 0: none.
    :param directory_revision: revision up to which the list of endpoints is known.
    :param in_flight: calls at each endpoint.
    :param waiting: calls that wait for a place, by service.
    :param peers: addresses of other entries.
    """

    name: str
    ip: str
    domain: str
    incarnation: int
    number: int
    table_version: int
    directory_revision: int
    in_flight: dict[str, int]
    waiting: dict[str, int]
    peers: list[str]
    is_leaving: bool


CODEC: t.Final = Codec(Heartbeat)


def spacing_ms(others: int, link_mbps: float) -> float:
    """Return the shortest time between two heartbeats to ``others`` entries.

    :param link_mbps: what the host can send, in millions of bits a second.
    """
    round_ms = others * HEARTBEAT_BYTES * 8 / (link_mbps * 1000 * MAX_LINK_RATIO)
    return max(MIN_SPACING_MS, round_ms, others * 1000 / MAX_RECEIVED_PER_S)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry."""

    heartbeat: Heartbeat
    last_seen_ms: float
    is_alive: bool = True


@dataclasses.dataclass
class Peers:
    """The other entries.

    :param advertised: addresses that others named, and when.
    :param sequences: the heartbeats from each address.
    """

    own_ip: str
    by_ip: dict[str, Peer] = dataclasses.field(default_factory=dict)
    advertised: dict[str, float] = dataclasses.field(default_factory=dict)
    last_sent_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    sequences: dict[str, Sequence] = dataclasses.field(default_factory=dict)

    def on_heartbeat(self, now_ms: float, heartbeat: Heartbeat) -> bool:
        """Take in a heartbeat; return whether it is newer than what was known."""
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
        """Stop counting silent peers; return those that were counted so far."""
        silent = []
        for ip, peer in list(self.by_ip.items()):
            silence_ms = now_ms - peer.last_seen_ms
            if silence_ms > PEER_TIMEOUT_MS and peer.is_alive:
                peer.is_alive = False
                silent.append(peer)
            if silence_ms > PEER_EXPIRY_MS:
                del self.by_ip[ip], self.sequences[ip]
        for ip, advertised_ms in list(self.advertised.items()):
            if now_ms - advertised_ms > PEER_EXPIRY_MS:
                del self.advertised[ip]
        return silent

    def alive(self) -> t.Sequence[Peer]:
        """Return the peers that were heard lately and aren't leaving."""
        return [
            peer
            for peer in self.by_ip.values()
            if peer.is_alive and not peer.heartbeat.is_leaving
        ]

    def destinations(self, now_ms: float, seeds: t.Sequence[str]) -> t.Sequence[str]:
        """Return the addresses that a heartbeat goes to now.

        Live peers get every heartbeat; seeds and silent ones get one now and then.
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
