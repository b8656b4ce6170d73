"""Authenticated datagrams between the system's processes.

A datagram is a message authentication code over the rest, then one msgpack array. A
datagram whose code is wrong is dropped without an answer.
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
    """Asks for a heartbeat at once, with ``nonce`` as its echo."""

    host: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks what is held true of ``subject``."""

    host: str
    subject: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """Tells who the sender is."""

    peer: Peer
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class IntroductionRequest:
    """Asks the receiver who it is."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class OfferRequest:
    """Asks what the receiver holds of a document."""

    host: str
    document: Document


@dataclasses.dataclass(frozen=True, slots=True)
class OfferMessage:
    """Tells what the sender holds of a document."""

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
    """Return the datagram that ``data`` holds.

    :raises PeerRefusedError: if the sender does not hold the secret.
    :raises ProtocolError: if the content is ill typed.
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
    """Return the event of membership that ``datagram`` is.

    :raises ProtocolError: if it is of another matter.
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
