"""The in-process state that controllers read and write; each part has one writer."""

import dataclasses
import typing as t

from ..config.configuration import Configuration
from ..links.links import Link
from ..members.messages import MemberStatus
from ..members.peers import Peer
from ..routing.endpoint_view import EndpointView


@dataclasses.dataclass(frozen=True)
class Host:
    """A host of the platform's list.

    :param port: the peer port of our process there.
    :param role: ``entry`` or ``agent``.
    """

    host: str
    address: str
    port: int
    domain: str
    role: str
    is_leaving: bool
    labels: t.Mapping[str, str]


@dataclasses.dataclass(frozen=True)
class ConfigurationPart:
    """The configuration in force, and the newest one that was refused.

    :param revision: 0 while none has been accepted.
    """

    revision: int = 0
    digest: bytes = b""
    configuration: Configuration | None = None
    refused_revision: int = 0
    refused_why: str = ""


@dataclasses.dataclass(frozen=True)
class HostsPart:
    """The newest host list."""

    version: int = 0
    hosts: t.Mapping[str, Host] = dataclasses.field(default_factory=dict)
    read_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class LifecyclePart:
    """Whether this process is shutting down."""

    started_ms: float = 0.0
    stopping: bool = False
    stopping_since_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class PeerPart:
    """A peer that is linked, with the newest report of an agent.

    :param is_leaving: by the agent's own word.
    :param epoch: ticket epoch to mint with.
    """

    link: Link
    is_leaving: bool = False
    epoch: int = 0
    report_sequence: int = 0
    reported_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class MemberPart:
    """What membership holds true of another process.

    :param is_usable: whether it got new work when this was written.
    """

    peer: Peer
    status: MemberStatus
    is_usable: bool


@dataclasses.dataclass
class Blackboard:
    """All parts of one process; a part is replaced as a whole.

    The thread that serves the links writes ``members``, ``peers`` and ``endpoints``.
    """

    configuration: ConfigurationPart = ConfigurationPart()
    hosts: HostsPart = dataclasses.field(default_factory=HostsPart)
    lifecycle: LifecyclePart = LifecyclePart()
    members: dict[str, MemberPart] = dataclasses.field(default_factory=dict)
    peers: dict[str, PeerPart] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, EndpointView] = dataclasses.field(default_factory=dict)
