"""Events and commands of :mod:`dotterelplank.membership`, as typed messages."""

import dataclasses
import enum

from .. import events
from .peers import Peer
from .revision_messages import Offer


class Intent(enum.IntEnum):
    """What a process says of itself."""

    SERVING = 0
    LEAVING = 1


class MemberStatus(enum.IntEnum):
    """What a process holds true of another.

    ``SUSPECT`` is the judgement of one watcher, ``DEAD`` that of enough of them.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEAVING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Compact load of a process.

    :param running: requests that run.
    :param waiting: requests that wait.
    :param cache_permille: used part of the KV cache, in thousandths.
    """

    running: int
    waiting: int
    cache_permille: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life.

    :param incarnation: number of the process on its host; a newer one has a higher.
    :param sequence: counts the heartbeats of the incarnation.
    :param sent_ms: the sender's monotonic clock at the time of sending.
    :param watch: whether the addressee is one of the sender's watchers.
    :param load: left out of those that are for the watchers alone.
    :param offer: what the sender holds of one document; the documents take turns.
    :param echo: the nonce of the probe that this answers, 0 for none.
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
    """A judgement on a process, passed on by the one that made it.

    :param host: who tells it.
    :param subject: host of the process that is judged.
    :param last_seen_ms_ago: how long ago the teller had its last sign of life.
    :param nonce: number of a question; the answer to it carries the same.
    """

    host: str
    subject: str
    incarnation: int
    status: MemberStatus
    last_seen_ms_ago: int
    nonce: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DomainDigest:
    """What a failure domain tells the others of itself.

    :param age_ms: how long ago it was made, added up by those that pass it on.
    :param running: requests that run on the live endpoints.
    :param sample: some usable endpoints with little load.
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
    """A host as the platform's list shows it."""

    peer: Peer
    leaving: bool


# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due every :attr:`MembershipPolicy.tick_ms`."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat arrived from a peer that has proved who it is."""

    heartbeat: Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIntroduced:
    """A process proved its membership and told its domain and role."""

    peer: Peer
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class IntroductionRequested:
    """A peer doesn't know this process yet."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostListAdopted:
    """A newer version of the platform's host list is in force here."""

    version: int
    hosts: tuple[ListedHost, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSeeded:
    """Hosts to ask for revisions until a host list is in force here."""

    peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReceived:
    """A peer asks for a heartbeat at once."""

    host: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeReceived:
    """A peer told its judgement of another process."""

    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequested:
    """A peer asks what is held true of ``subject``."""

    host: str
    subject: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class DigestReceived:
    """A digest of another failure domain arrived."""

    digest: DomainDigest


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The stream to ``host`` ended; that alone proves nothing."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadMeasured:
    """The load of this process is known afresh."""

    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class OffersChanged:
    """What this process holds of its documents has changed."""

    offers: tuple[Offer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This process begins its graceful shutdown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """This entry wants to use endpoints of other domains; it replaces the last wish."""

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
    """Ask ``host`` for a heartbeat at once; its echo is ``nonce``."""

    host: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStatus:
    """Ask ``host`` what it holds true of ``subject``."""

    host: str
    subject: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendNotice:
    """Tell ``hosts`` a judgement, encoded once."""

    hosts: tuple[str, ...]
    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyToSender:
    """Tell a judgement to the address that the event came from, whatever its host.

    An old process whose host's name has moved to another address hears of it so.
    """

    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class SendDigest:
    """Tell ``hosts`` the digest of a failure domain."""

    hosts: tuple[str, ...]
    digest: DomainDigest


@dataclasses.dataclass(frozen=True, slots=True)
class Introduce:
    """Tell ``hosts`` who this process is, with the proof of its membership."""

    hosts: tuple[str, ...]
    peer: Peer
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIntroduction:
    """Ask ``host`` who it is."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Another process is judged anew; ``usable`` says whether it gets new work."""

    peer: Peer
    incarnation: int
    status: MemberStatus
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeersKnown:
    """The processes to exchange revisions with; see ``revisions.PeersChanged``."""

    domain: tuple[Peer, ...]
    remote_peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Supersede:
    """A newer process runs under this host's name; stop this one gracefully."""

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
