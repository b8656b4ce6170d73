"""Events and commands of :mod:`dotterelplank.members.membership`."""

import dataclasses
import enum

from .. import events
from .peers import Peer
from .revision_messages import Offer


class Intent(enum.IntEnum):
    """The state that a process announces in its heartbeats."""

    SERVING = 0
    LEAVING = 1


class MemberStatus(enum.IntEnum):
    """The status of a process as another process sees it.

    ``SUSPECT`` means that the process is suspected but its death is not confirmed yet.
    ``DEAD`` means that enough entries suspected it. An agent also marks an entry as
    ``DEAD`` that has been silent for a long time.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEAVING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Compact load of a process.

    :param running: number of running requests.
    :param waiting: number of waiting requests.
    :param cache_permille: used part of the KV cache, in thousandths.
    """

    running: int
    waiting: int
    cache_permille: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat, by which a process shows that it is alive.

    :param incarnation: number of the process on its host; a newer process has a higher
        number.
    :param sequence: number of the heartbeat within the incarnation.
    :param sent_ms: the sender's monotonic clock at the time of sending.
    :param watch: whether the receiver is one of the sender's watchers.
    :param load: load of the sender; ``None`` in heartbeats sent only to watchers.
    :param offer: revision of one of the sender's documents, which alternate; ``None``
        in most heartbeats.
    :param echo: nonce of the probe that this heartbeat answers, 0 if there is none.
    """

    host: str
    incarnation: int
    sequence: int
    sent_ms: int
    intent: Intent
    watch: bool = False
    load: Load | None = None
    offer: Offer | None = None
    echo: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """The status of a process, as reported by another process.

    :param host: host of the process that sends the notice.
    :param subject: host of the process that the notice is about.
    :param last_seen_ms_ago: how long ago the sender last saw the subject alive.
    :param nonce: number of a request; the answer carries the same number.
    """

    host: str
    subject: str
    incarnation: int
    status: MemberStatus
    last_seen_ms_ago: int
    nonce: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DomainDigest:
    """Summary of a failure domain that is sent to other domains.

    :param age_ms: time since the digest was made; each process that forwards the
        digest adds the time for which it kept it.
    :param endpoints_gone: number of endpoints whose status isn't ALIVE.
    :param running: number of running requests on the live endpoints.
    :param waiting: number of waiting requests on the live endpoints.
    :param sample: hosts of a few usable endpoints with the lowest load.
    """

    host: str
    domain: str
    age_ms: int
    endpoints_live: int
    endpoints_gone: int
    running: int
    waiting: int
    sample: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the platform's host list."""

    peer: Peer
    leaving: bool


# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer event, due every :attr:`MembershipPolicy.tick_ms`."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat arrived from an authenticated peer."""

    heartbeat: Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIntroduced:
    """A process proved its membership and sent its domain and role."""

    peer: Peer
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class IntroductionRequested:
    """A peer that doesn't know this process asks for an introduction."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostListAdopted:
    """A newer version of the platform's host list is in force here."""

    version: int
    hosts: tuple[ListedHost, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSeeded:
    """Seed peers to ask for revisions are known, until a host list is in force."""

    peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReceived:
    """A peer asks for an immediate heartbeat."""

    host: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeReceived:
    """A peer sent a notice about a process."""

    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequested:
    """A peer asks for the status of the process on ``subject``."""

    host: str
    subject: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class DigestReceived:
    """A digest of another failure domain arrived."""

    digest: DomainDigest


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The stream to ``host`` ended, which alone doesn't prove a failure."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadMeasured:
    """The load of this process was measured."""

    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class OffersChanged:
    """The offers of this process's documents have changed."""

    offers: tuple[Offer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This process begins its graceful shutdown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """Follow the endpoints ``hosts`` of other domains instead of the last ones."""

    hosts: tuple[str, ...]


Event = (
    Tick
    | HeartbeatReceived
    | PeerIntroduced
    | IntroductionRequested
    | HostListAdopted
    | PeersSeeded
    | ProbeReceived
    | NoticeReceived
    | StatusRequested
    | DigestReceived
    | LinkLost
    | LoadMeasured
    | OffersChanged
    | LeaveRequested
    | Follow
)


# Commands


@dataclasses.dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send one heartbeat to each of ``hosts``, encoded once."""

    hosts: tuple[str, ...]
    heartbeat: Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask ``host`` for an immediate heartbeat with ``nonce`` as its echo."""

    host: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStatus:
    """Ask ``host`` for the status of the process on ``subject``."""

    host: str
    subject: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendNotice:
    """Send one notice to each of ``hosts``, encoded once."""

    hosts: tuple[str, ...]
    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyToSender:
    """Send a notice to the address that the event came from.

    The notice thus reaches an old process even if the name of its host now belongs to
    another address.
    """

    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class SendDigest:
    """Send the digest of a failure domain to ``hosts``."""

    hosts: tuple[str, ...]
    digest: DomainDigest


@dataclasses.dataclass(frozen=True, slots=True)
class Introduce:
    """Introduce this process to ``hosts``, with the proof of its membership."""

    hosts: tuple[str, ...]
    peer: Peer
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIntroduction:
    """Ask ``host`` for an introduction."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Report a change to another process; it gets new work only if ``usable``."""

    peer: Peer
    incarnation: int
    status: MemberStatus
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeersKnown:
    """Exchange revisions with these processes; see ``revisions.PeersChanged``."""

    domain: tuple[Peer, ...]
    remote_peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Supersede:
    """Stop this process gracefully, since a newer one runs under its host name."""

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Log an event about the process on ``host`` and show it to operators."""

    event: events.Event
    host: str
    detail: str = ""


Command = (
    SendHeartbeat
    | SendProbe
    | RequestStatus
    | SendNotice
    | ReplyToSender
    | SendDigest
    | Introduce
    | RequestIntroduction
    | MemberChanged
    | PeersKnown
    | Supersede
    | Report
)
