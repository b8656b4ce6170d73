"""Events and commands of :mod:`dotterelplank.members.revisions`."""

import dataclasses
import enum

from .. import events
from .peers import Peer


class Document(enum.IntEnum):
    """A text that operators or the platform publish in revisions."""

    CONFIGURATION = 0
    HOST_LIST = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """The revision of a document that a process has, without the text.

    An offer is small enough to be part of a heartbeat.

    :param revision: revision in force in the process, 0 when there is none.
    :param digest: digest of its text, empty when there is none.
    :param refused_revision: newest revision that the process refused, 0 for none.
    """

    document: Document
    revision: int
    digest: bytes
    refused_revision: int = 0


# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer event, due every :attr:`RevisionPolicy.tick_ms`."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """The processes to exchange revisions with have changed.

    :param domain: live processes of the own failure domain, without this one.
    :param remote_peers: listed processes of the other failure domains.
    """

    domain: tuple[Peer, ...]
    remote_peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswered:
    """The platform answered a watch.

    :param revision: newest revision on the platform, according to the answer.
    :param text: text of the revision, or ``None`` if there is no revision above the one
        that the watch named.
    """

    read_id: int
    revision: int
    text: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """A watch ended without an answer."""

    read_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class OfferRequested:
    """A process that has just started asks for the current offer."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class OfferReceived:
    """A peer sent an offer, in a heartbeat or in a separate message."""

    host: str
    offer: Offer


@dataclasses.dataclass(frozen=True, slots=True)
class TextRequested:
    """A peer asks for the text of a revision."""

    host: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TextSent:
    """The sending of a text to a peer has finished, or the stream has ended."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class TextReceived:
    """A peer sent the text of a revision, compressed."""

    host: str
    revision: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDeclined:
    """A peer declined to send a text, or its stream has ended.

    A peer declines while it is busy or if it doesn't have the revision.
    """

    host: str


Event = (
    Tick
    | PeersChanged
    | ReadAnswered
    | ReadFailed
    | OfferRequested
    | OfferReceived
    | TextRequested
    | TextSent
    | TextReceived
    | PeerDeclined
)


# Commands


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Watch the platform for a revision above ``after``, for at most ``wait_ms``."""

    read_id: int
    document: Document
    after: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOffers:
    """Ask ``hosts`` for their offers."""

    document: Document
    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendOffer:
    """Send ``offer`` to ``hosts``."""

    hosts: tuple[str, ...]
    offer: Offer


@dataclasses.dataclass(frozen=True, slots=True)
class RequestText:
    """Ask ``host`` for the text of ``revision``."""

    document: Document
    host: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendText:
    """Send the text in force to ``host``; report :class:`TextSent` afterwards."""

    document: Document
    host: str
    revision: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Decline:
    """Decline the request of ``host``, which asks another peer or again later."""

    document: Document
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Bring a revision into force; it is always higher than the last one."""

    document: Document
    revision: int
    text: str
    validated: object


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Log an event and show it to operators."""

    event: events.Event
    document: Document
    revision: int
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SeedPeers:
    """Use the hosts of a host list as seed peers, without adopting the list.

    This is for a process that knows no peer. The hosts are asked for their offers.
    """

    validated: object


Command = (
    ReadPlatform
    | SeedPeers
    | RequestOffers
    | SendOffer
    | RequestText
    | SendText
    | Decline
    | Adopt
    | Report
)
