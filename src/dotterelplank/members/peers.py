"""Processes of the system as one another's peers, and their rendezvous ranking."""

import dataclasses
import enum
import hashlib
import typing as t


class Role(enum.IntEnum):
    """What a process does on its host."""

    ENTRY = 0
    AGENT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A process of the system, named by its host.

    :param host: name of the host, unique in the system.
    :param domain: failure domain of the host.
    :param role: daemon that runs there.
    """

    host: str
    domain: str
    role: Role


def rendezvous_weight(key: str, host: str) -> int:
    """Return the 64-bit rendezvous weight of ``host`` for ``key``."""
    material = f"{key}\0{host}".encode()
    digest = hashlib.blake2b(material, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_hosts(key: str, hosts: t.Iterable[str], count: int) -> tuple[str, ...]:
    """Return at most ``count`` of ``hosts``, those of the highest weight first.

    A host that goes moves only the places that it held.
    """
    ranked = sorted(hosts, key=lambda host: rendezvous_weight(key, host), reverse=True)
    return tuple(ranked[:count])
