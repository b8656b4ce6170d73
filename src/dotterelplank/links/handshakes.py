"""The handshake of a stream, in which both sides prove that they know the secret.

Each side sends a :class:`Hello` with a fresh nonce and then a :class:`Proof` over the
other side's nonce. The proof also covers the :class:`Side` of its sender, so that it
can't be reflected to the sender as a proof of the other side.
"""

import dataclasses
import enum
import hashlib
import hmac

from ..errors import PeerRefusedError, ProtocolError
from .messages import PROTOCOL_VERSION, Hello, Message, Proof

NONCE_SIZE_BYTES = 16


class Side(enum.Enum):
    """The end of a stream that a process is."""

    CONNECTOR = "connector"
    ACCEPTOR = "acceptor"


@dataclasses.dataclass
class Handshake:
    """The state of one handshake on one side.

    :param own: the hello of this side.
    :param peer: the hello of the other side; it is authenticated only once ``ready``.
    :param ready: whether the other side has proved that it knows the secret.
    """

    side: Side
    own: Hello
    secret: bytes
    peer: Hello | None = None
    ready: bool = False


def first_messages(handshake: Handshake) -> list[Message]:
    """Return the messages that this side sends before it receives any."""
    if handshake.side is Side.CONNECTOR:
        return [handshake.own]
    return []


def advance(handshake: Handshake, message: Message) -> list[Message]:
    """Process one message from the peer and return the replies.

    :raises PeerRefusedError: if the peer does not belong to this system.
    :raises ProtocolError: if the message isn't the next one of the handshake.
    """
    if isinstance(message, Hello) and handshake.peer is None:
        return _on_hello(handshake, message)
    if isinstance(message, Proof) and handshake.peer is not None:
        return _on_proof(handshake, message)
    raise ProtocolError(f"got {type(message).__name__} before the handshake was over")


def _on_hello(handshake: Handshake, hello: Hello) -> list[Message]:
    if hello.version != PROTOCOL_VERSION:
        raise PeerRefusedError(
            f"got protocol version {hello.version}, expected {PROTOCOL_VERSION}"
        )
    if len(hello.nonce) != NONCE_SIZE_BYTES:
        raise PeerRefusedError(
            f"got a nonce of {len(hello.nonce)} bytes, expected {NONCE_SIZE_BYTES}"
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
        raise PeerRefusedError("the peer does not know this system's secret")
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
