"""Tickets: idempotency keys that name the one agent that may run the request.

A ticket names its home agent, that agent's incarnation and a ticket epoch. All entries
read the same home from it, so both sides of a network partition agree on the home
without a clock or shared state. A message authentication code prevents callers from
forging tickets.
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac

import msgpack

PREFIX = "dpt1."
MAC_SIZE_BYTES = 16
NONCE_SIZE_BYTES = 12
_MAX_TICKET_CHARACTERS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """An idempotency key that an entry issued.

    :param host: the home agent.
    :param incarnation: the home's incarnation when the ticket was issued.
    :param epoch: the home's ticket epoch when the ticket was issued.
    :param target: the only service for which it is valid.
    :param team: the only team that may use it.
    :param nonce: distinguishes it from other tickets of the same epoch.
    """

    host: str
    incarnation: int
    epoch: int
    target: str
    team: str
    nonce: bytes


def pack(ticket: Ticket) -> bytes:
    """Return the bytes of ``ticket`` without its authentication code."""
    return msgpack.packb(dataclasses.astuple(ticket), use_bin_type=True)


def mint(ticket: Ticket, secret: bytes) -> str:
    """Return ``ticket`` as the text that a caller sends back."""
    body = pack(ticket)
    text = base64.urlsafe_b64encode(_mac(body, secret) + body).decode()
    return PREFIX + text.rstrip("=")


def is_ticket(text: str) -> bool:
    """Return whether ``text`` has the form of a ticket, not of a caller's own key."""
    return text.startswith(PREFIX)


def read(text: str, secret: bytes) -> Ticket | None:
    """Return the ticket in ``text``, or ``None`` if it wasn't made with ``secret``."""
    if not is_ticket(text) or len(text) > _MAX_TICKET_CHARACTERS:
        return None
    body = text[len(PREFIX) :]
    try:
        padded = body + "=" * (-len(body) % 4)
        raw = base64.b64decode(padded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None
    mac, body = raw[:MAC_SIZE_BYTES], raw[MAC_SIZE_BYTES:]
    if not hmac.compare_digest(mac, _mac(body, secret)):
        return None
    return Ticket(*msgpack.unpackb(body, raw=False))


def _mac(body: bytes, secret: bytes) -> bytes:
    code = hmac.new(secret, b"ticket:" + body, hashlib.sha256)
    return code.digest()[:MAC_SIZE_BYTES]
