"""The opening of a stream, in which both sides prove that they share the secret.

Each side sends a :class:`Hello` with a fresh nonce and then a :class:`Proof` over the
other's nonce. The role in the proof tells the two directions apart, so that a proof
can't be sent back to its maker.
"""

import dataclasses
import enum
import hashlib
import hmac

from ..errors import PeerRefusedError, ProtocolError
from .messages import PROTOCOL_VERSION, Hello, Message, Proof

NONCE_SIZE_BYTES = 16


class Side(enum.Enum):
    """Which end of the stream one is."""

    CONNECTOR = "connector"
    ACCEPTOR = "acceptor"


@dataclasses.dataclass
class Handshake:
    """The state of one opening, seen from one side.

    :param own: what this side said of itself.
    :param peer: what the other side said of itself; trusted only once ``ready``.
    """

    side: Side
    own: Hello
    secret: bytes
    peer: Hello | None = None
    ready: bool = False


def first_messages(handshake: Handshake) -> list[Message]:
    """Return what this side sends before it has heard anything."""
    if handshake.side is Side.CONNECTOR:
        return [handshake.own]
    return []


def advance(handshake: Handshake, message: Message) -> list[Message]:
    """Take one message from the peer and return the replies.

    :raises PeerRefusedError: if the peer does not belong to this system.
    :raises ProtocolError: if the message is out of place.
    """
    if isinstance(message, Hello) and handshake.peer is None:
        return _on_hello(handshake, message)
    if isinstance(message, Proof) and handshake.peer is not None:
        return _on_proof(handshake, message)
    raise ProtocolError(f"met {type(message).__name__} before the handshake was over")


def _on_hello(handshake: Handshake, hello: Hello) -> list[Message]:
    if hello.version != PROTOCOL_VERSION:
        raise PeerRefusedError(
            f"met protocol version {hello.version}, expected {PROTOCOL_VERSION}"
        )
    if len(hello.nonce) != NONCE_SIZE_BYTES:
        raise PeerRefusedError(
            f"met a nonce of {len(hello.nonce)} bytes, expected {NONCE_SIZE_BYTES}"
        )
    handshake.peer = hello
    proof = Proof(_mac(handshake.secret, handshake.side, handshake.own, hello))
    if handshake.side is Side.ACCEPTOR:
        return [handshake.own, proof]
    return [proof]


def _on_proof(handshake: Handshake, proof: Proof) -> list[Message]:
    peer_side = _OTHER_SIDE[handshake.side]
    expected_mac = _mac(handshake.secret, peer_side, handshake.peer, handshake.own)
    if not hmac.compare_digest(proof.mac, expected_mac):
        raise PeerRefusedError("the peer does not hold this system's secret")
    handshake.ready = True
    return []


_OTHER_SIDE = {Side.CONNECTOR: Side.ACCEPTOR, Side.ACCEPTOR: Side.CONNECTOR}


def _mac(secret: bytes, side: Side, prover: Hello, verifier: Hello) -> bytes:
    fields = (
        side.value,
        prover.host,
        prover.role,
        prover.domain,
        str(prover.incarnation),
        prover.nonce.hex(),
        verifier.nonce.hex(),
    )
    return hmac.new(secret, "\n".join(fields).encode(), hashlib.sha256).digest()
