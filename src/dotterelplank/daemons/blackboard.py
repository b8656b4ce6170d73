"""The shared state of one process; each part has one writer."""

import dataclasses
import typing as t

from ..config.configuration import Configuration
from ..links.links import Link
from ..members.messages import MemberStatus
from ..members.peers import Peer
from ..routing.endpoint_view import EndpointView


@dataclasses.dataclass(frozen=True)
class Host:
    """A host of the platform's host list.

    :param port: the peer port of the entry or agent on the host.
    :param role: ``entry`` or ``agent``.
    :param is_leaving: whether the list says that the host is being removed.
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
    """The adopted configuration and the newest one that was refused.

    :param revision: revision of the adopted configuration; 0 before the first.
    :param refused_revision: the newest refused revision; 0 if there is none.
    :param refused_why: the reason of the refusal.
    """

    revision: int = 0
    digest: bytes = b""
    configuration: Configuration | None = None
    refused_revision: int = 0
    refused_why: str = ""


@dataclasses.dataclass(frozen=True)
class HostsPart:
    """The adopted host list.

    :param version: its version; 0 before the first.
    :param hosts: the hosts by name.
    :param read_ms: time at which it was adopted.
    """

    version: int = 0
    hosts: t.Mapping[str, Host] = dataclasses.field(default_factory=dict)
    read_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class LifecyclePart:
    """The times at which this process was started and began to stop.

    :param stopping_since_ms: 0 until the shutdown begins.
    """

    started_ms: float = 0.0
    stopping: bool = False
    stopping_since_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class PeerPart:
    """A peer with a link and, for an agent, its newest report.

    :param is_leaving: whether the agent reported that it is leaving.
    :param epoch: the agent's ticket epoch, in which new tickets are issued.
    :param report_sequence: number of the newest report; 0 before the first.
    :param reported_ms: time of the newest report, or of the link before the first.
    """

    link: Link
    is_leaving: bool = False
    epoch: int = 0
    report_sequence: int = 0
    reported_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class MemberPart:
    """The status of another process according to membership.

    :param is_usable: whether it could get new work when this part was written.
    """

    peer: Peer
    status: MemberStatus
    is_usable: bool


@dataclasses.dataclass
class Blackboard:
    """The state of one process; writers replace each part as a whole.

    The thread that serves the links writes ``members``, ``peers`` and ``endpoints``.
    """

    configuration: ConfigurationPart = ConfigurationPart()
    hosts: HostsPart = dataclasses.field(default_factory=HostsPart)
    lifecycle: LifecyclePart = LifecyclePart()
    members: dict[str, MemberPart] = dataclasses.field(default_factory=dict)
    peers: dict[str, PeerPart] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, EndpointView] = dataclasses.field(default_factory=dict)
