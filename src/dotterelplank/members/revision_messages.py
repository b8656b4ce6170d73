"""Events and commands of :mod:`dotterelplank.revisions`, as typed messages."""

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
    """What a process holds of a document, small enough for each heartbeat.

    :param revision: revision in force there, 0 when there is none.
    :param digest: digest of its text, empty when there is none.
    :param refused_revision: newest revision that was refused there, 0 for none.
    """

    document: Document
    revision: int
    digest: bytes
    refused_revision: int = 0


# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due every :attr:`RevisionPolicy.tick_ms`."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """The processes to talk to have changed.

    :param domain: live processes of the own failure domain, without this one.
    :param remote_peers: listed processes of the other failure domains.
    """

    domain: tuple[Peer, ...]
    remote_peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswered:
    """The platform answered a watch.

    :param revision: revision that it told.
    :param text: its text, or ``None`` when nothing is newer than what was asked.
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
    """A process that has just started asks what is held here."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class OfferReceived:
    """A peer told what it holds, in a heartbeat or a message of its own."""

    host: str
    offer: Offer


@dataclasses.dataclass(frozen=True, slots=True)
class TextRequested:
    """A peer asks for the text of a revision."""

    host: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TextSent:
    """A text that was being sent to a peer has left, or its stream has ended."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class TextReceived:
    """A peer sent the text of a revision, compressed."""

    host: str
    revision: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDeclined:
    """A peer is busy, has lost the revision, or its stream has ended."""

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
    """Ask ``hosts`` what they hold; they answer with an offer."""

    document: Document
    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendOffer:
    """Tell ``hosts`` what is held here."""

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
    """Tell ``host`` that it must ask another peer or ask again later."""

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
    """Ask the hosts of a list what they hold; the list itself isn't in force.

    A process that knows no peer reads the host list for this alone.
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
