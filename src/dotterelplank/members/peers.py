"""Identity of the processes, and rendezvous hashing to choose among them."""

import dataclasses
import enum
import hashlib
import typing as t


class Role(enum.IntEnum):
    """The kind of daemon that a process runs."""

    ENTRY = 0
    AGENT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A process of the system, identified by its host.

    :param host: name of the host, unique in the system.
    :param domain: failure domain of the host.
    :param role: kind of daemon that runs on the host.
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
    """Return the ``count`` hosts with the highest weights, highest first.

    All hosts are returned if there are fewer. If a host disappears, only its own place
    goes to another host; the remaining hosts keep their order.
    """
    ranked = sorted(hosts, key=lambda host: rendezvous_weight(key, host), reverse=True)
    return tuple(ranked[:count])
