"""Evaluation of a text: adoption, refusal, or comparison with the adopted one."""

import zlib

from .. import errors, events
from .revision_messages import Adopt
from .revision_state import (
    TEXT_BYTES_MAX,
    AdoptedRevision,
    Context,
    Refusal,
    RevisionPolicy,
    adopted_revision,
    digest_of,
    minimum_revision,
)


def compress_text(text: str) -> bytes:
    """Return ``text`` compressed in the form that peers exchange."""
    return zlib.compress(text.encode("utf-8", "surrogatepass"))


def decompress_text(compressed: bytes) -> str | None:
    """Return the text in ``compressed``, or ``None`` if it is invalid or too large."""
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(compressed, TEXT_BYTES_MAX + 1)
        if len(raw) > TEXT_BYTES_MAX or not inflater.eof:
            return None
        return raw.decode("utf-8", "surrogatepass")
    except (zlib.error, UnicodeDecodeError):
        return None


def evaluate_text(
    context: Context, revision: int, text: str, compressed: bytes
) -> None:
    """Adopt or refuse ``text``, or ignore it if its revision isn't acceptable.

    A text of the revision in force is compared with the adopted text.
    """
    digest = digest_of(text)
    if revision <= adopted_revision(context.state):
        check_conflict(context, revision, digest)
        return
    if revision < minimum_revision(context.state) or _is_refused(
        context, revision, digest
    ):
        return
    try:
        validated = _validated(text, context.policy)
    except errors.ConfigurationError as error:
        _refuse(context, Refusal(revision, digest, str(error)))
        return
    _adopt(context, AdoptedRevision(revision, digest, compressed, validated), text)


def check_conflict(context: Context, revision: int, digest: bytes) -> None:
    """Report a conflict if the revision in force was also seen with another digest.

    The adopted text stays in force.
    """
    adopted = context.state.adopted
    if adopted is None or adopted.revision != revision or adopted.digest == digest:
        return
    if context.state.conflict == (revision, digest):
        return
    context.state.conflict = (revision, digest)
    detail = f"held {adopted.digest.hex()}, got {digest.hex()}"
    context.report(events.REVISION_CONFLICT, revision, detail)


def start_offers(context: Context) -> None:
    """Schedule the rounds in which the current offer is sent to peers."""
    context.state.offer_rounds_left = context.policy.offer_rounds
    context.state.next_offer_ms = context.now_ms


def _validated(text: str, policy: RevisionPolicy) -> object:
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > TEXT_BYTES_MAX:
        fault = errors.InputError("text", f"{size_bytes} B", f"{TEXT_BYTES_MAX} B")
        raise errors.ConfigurationError([fault])
    return policy.validate(text)


def _is_refused(context: Context, revision: int, digest: bytes) -> bool:
    refused = context.state.refused
    return refused is not None and (refused.revision, refused.digest) == (
        revision,
        digest,
    )


def _refuse(context: Context, refusal: Refusal) -> None:
    known = context.state.refused
    if known is None or refusal.revision >= known.revision:
        context.state.refused = refusal
    context.report(events.REVISION_REFUSED, refusal.revision, refusal.reason)
    start_offers(context)


def _adopt(context: Context, adopted: AdoptedRevision, text: str) -> None:
    state = context.state
    state.adopted = adopted
    state.offers = {
        host: offer
        for host, offer in state.offers.items()
        if offer.revision > adopted.revision
    }
    state.declined.clear()
    state.notified_ms.clear()
    start_offers(context)
    context.commands.append(
        Adopt(state.document, adopted.revision, text, adopted.validated)
    )
    context.report(events.REVISION_ADOPTED, adopted.revision, adopted.digest.hex())
