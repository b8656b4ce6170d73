"""Judgement of a text: adopted, refused, or set against the one that is held."""

import zlib

from .. import errors, events
from .revision_messages import Adopt
from .revision_state import (
    TEXT_BYTES_MAX,
    Held,
    Refusal,
    RevisionPolicy,
    Turn,
    digest_of,
    floor_of,
    revision_of,
)


def pack_text(text: str) -> bytes:
    """Return ``text`` compressed, as it travels between peers."""
    return zlib.compress(text.encode("utf-8", "surrogatepass"))


def unpack_text(packed: bytes) -> str | None:
    """Return the text in ``packed``, or ``None`` when it is broken or too large."""
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(packed, TEXT_BYTES_MAX + 1)
        if len(raw) > TEXT_BYTES_MAX or not inflater.eof:
            return None
        return raw.decode("utf-8", "surrogatepass")
    except (zlib.error, UnicodeDecodeError):
        return None


def judge(turn: Turn, revision: int, text: str, packed: bytes) -> None:
    """Adopt or refuse ``text``, or leave it where it is no newer."""
    digest = digest_of(text)
    if revision <= revision_of(turn.state):
        compare(turn, revision, digest)
        return
    if revision < floor_of(turn.state) or _is_refused(turn, revision, digest):
        return
    try:
        validated = _validated(text, turn.policy)
    except errors.ConfigurationError as error:
        _refuse(turn, Refusal(revision, digest, str(error)))
        return
    _adopt(turn, Held(revision, digest, packed, validated), text)


def compare(turn: Turn, revision: int, digest: bytes) -> None:
    """Report a revision that has been seen with two texts; the one held stays."""
    held = turn.state.held
    if held is None or held.revision != revision or held.digest == digest:
        return
    if turn.state.conflict == (revision, digest):
        return
    turn.state.conflict = (revision, digest)
    detail = f"held {held.digest.hex()}, met {digest.hex()}"
    turn.report(events.REVISION_CONFLICT, revision, detail)


def start_spread(turn: Turn) -> None:
    """Begin to tell peers at once what is held here."""
    turn.state.offer_rounds_left = turn.policy.offer_rounds
    turn.state.next_offer_ms = turn.now_ms


def _validated(text: str, policy: RevisionPolicy) -> object:
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > TEXT_BYTES_MAX:
        fault = errors.InputError("text", f"{size_bytes} B", f"{TEXT_BYTES_MAX} B")
        raise errors.ConfigurationError([fault])
    return policy.validate(text)


def _is_refused(turn: Turn, revision: int, digest: bytes) -> bool:
    refused = turn.state.refused
    return refused is not None and (refused.revision, refused.digest) == (
        revision,
        digest,
    )


def _refuse(turn: Turn, refusal: Refusal) -> None:
    known = turn.state.refused
    if known is None or refusal.revision >= known.revision:
        turn.state.refused = refusal
    turn.report(events.REVISION_REFUSED, refusal.revision, refusal.reason)
    start_spread(turn)


def _adopt(turn: Turn, held: Held, text: str) -> None:
    state = turn.state
    state.held = held
    state.offers = {
        host: offer
        for host, offer in state.offers.items()
        if offer.revision > held.revision
    }
    state.declined.clear()
    state.told_ms.clear()
    start_spread(turn)
    turn.commands.append(Adopt(state.document, held.revision, text, held.validated))
    turn.report(events.REVISION_ADOPTED, held.revision, held.digest.hex())
