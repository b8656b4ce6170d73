"""Authenticated datagrams between entries and agents.

A datagram consists of a message authentication code and one msgpack array, which the
code covers. A datagram with a wrong code is dropped without a reply.
"""

import dataclasses
import hashlib
import hmac

from ..errors import PeerRefusedError, ProtocolError
from ..links.codec import Codec
from ..members import messages as member_messages
from ..members.messages import DomainDigest, Heartbeat, Notice
from ..members.peers import Peer
from ..members.revision_messages import Document, Offer
from ..routing.demands import DemandDigest

HEADER_BYTES = 28
MAC_SIZE_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Requests an immediate heartbeat that echoes ``nonce``."""

    host: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Requests the receiver's view of the status of ``subject``."""

    host: str
    subject: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """Introduces the sender to the receiver."""

    peer: Peer
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class IntroductionRequest:
    """Requests an introduction from the receiver."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class OfferRequest:
    """Requests the revision of a document that the receiver has."""

    host: str
    document: Document


@dataclasses.dataclass(frozen=True, slots=True)
class OfferMessage:
    """Offers the revision of a document that the sender has."""

    host: str
    offer: Offer


Datagram = (
    Heartbeat
    | Notice
    | DomainDigest
    | Probe
    | StatusRequest
    | Introduction
    | IntroductionRequest
    | OfferRequest
    | OfferMessage
    | DemandDigest
)

_CODEC = Codec(
    (
        Heartbeat,
        Notice,
        DomainDigest,
        Probe,
        StatusRequest,
        Introduction,
        IntroductionRequest,
        OfferRequest,
        OfferMessage,
        DemandDigest,
    )
)


def seal(datagram: Datagram, secret: bytes) -> bytes:
    """Return the bytes of ``datagram`` with their authentication code."""
    body = _CODEC.pack(datagram)
    return _mac(body, secret) + body


def unseal(data: bytes, secret: bytes) -> Datagram:
    """Check the authentication code and return the datagram in ``data``.

    :raises PeerRefusedError: if the authentication code is wrong.
    :raises ProtocolError: if the content is not a valid datagram.
    """
    body = data[MAC_SIZE_BYTES:]
    if not hmac.compare_digest(data[:MAC_SIZE_BYTES], _mac(body, secret)):
        raise PeerRefusedError("got a datagram with a wrong authentication code")
    return _CODEC.unpack(body)


def sender_of(datagram: Datagram) -> str:
    """Return the host that sent ``datagram``."""
    match datagram:
        case Introduction(peer):
            return peer.host
        case DemandDigest(entry):
            return entry
    return datagram.host


def member_event(datagram: Datagram) -> member_messages.Event:
    """Return the membership event for ``datagram``.

    :raises ProtocolError: if it doesn't concern membership.
    """
    match datagram:
        case Heartbeat():
            return member_messages.HeartbeatReceived(datagram)
        case Notice():
            return member_messages.NoticeReceived(datagram)
        case DomainDigest():
            return member_messages.DigestReceived(datagram)
        case Probe(host, nonce):
            return member_messages.ProbeReceived(host, nonce)
        case StatusRequest(host, subject, nonce):
            return member_messages.StatusRequested(host, subject, nonce)
        case Introduction(peer, incarnation):
            return member_messages.PeerIntroduced(peer, incarnation)
        case IntroductionRequest(host):
            return member_messages.IntroductionRequested(host)
    raise ProtocolError(
        f"got a {type(datagram).__name__}, expected a membership datagram"
    )


def _mac(body: bytes, secret: bytes) -> bytes:
    key = secret[: hashlib.blake2b.MAX_KEY_SIZE]
    return hashlib.blake2b(body, digest_size=MAC_SIZE_BYTES, key=key).digest()
