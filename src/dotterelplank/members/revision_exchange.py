"""Exchange of revisions between peers: offers, pulls, and requests at the start."""

from .. import events
from .revision_messages import (
    Decline,
    Offer,
    OfferReceived,
    OfferRequested,
    PeerDeclined,
    RequestOffers,
    RequestText,
    SendOffer,
    SendText,
    TextReceived,
    TextRequested,
    TextSent,
)
from .revision_state import Context, Pull, adopted_revision, current_offer, known_hosts
from .revision_texts import check_conflict, decompress_text, evaluate_text


def request_initial_offers(context: Context) -> bool:
    """Ask each known peer that has not answered yet for an offer.

    :return: ``True`` if all known peers have answered or the time for that is over.
    """
    state = context.state
    not_answered = [host for host in known_hosts(state) if host not in state.answered]
    if context.now_ms >= state.join_deadline_ms or (
        state.answered and not not_answered
    ):
        return True
    if not_answered and context.now_ms >= state.next_join_ms:
        state.next_join_ms = context.now_ms + context.policy.join_retry_ms
        context.commands.append(RequestOffers(state.document, tuple(not_answered)))
    return False


def offer_to_domain(context: Context) -> None:
    """Send the current offer to a few random peers of the own domain, when due.

    This happens in a few rounds after each change.
    """
    state = context.state
    if not state.offer_rounds_left or context.now_ms < state.next_offer_ms:
        return
    state.offer_rounds_left -= 1
    state.next_offer_ms = context.now_ms + context.policy.offer_interval_ms
    count = min(context.policy.offer_fanout, len(state.domain))
    hosts = tuple(peer.host for peer in state.rng.sample(state.domain, count))
    if hosts:
        context.commands.append(SendOffer(hosts, current_offer(state)))


def offer_to_remote(context: Context) -> None:
    """Send the current offer to one random host of another domain, when due.

    Only readers do this. They go through the other domains in turn.
    """
    state = context.state
    if (
        not state.reader
        or not state.remote_peers
        or context.now_ms < state.next_remote_offer_ms
    ):
        return
    state.next_remote_offer_ms = (
        context.now_ms + context.policy.remote_offer_interval_ms
    )
    state.remote_index += 1
    hosts = state.remote_peers[state.remote_index % len(state.remote_peers)]
    context.commands.append(SendOffer((state.rng.choice(hosts),), current_offer(state)))


def pull(context: Context) -> None:
    """Request the text of the highest offered revision from a random peer with it.

    Nothing is requested while another pull is in progress.
    """
    state = context.state
    if state.pull is not None and context.now_ms >= state.pull.deadline_ms:
        _pull_failed(context, state.pull.host)
    if state.pull is not None or context.now_ms < state.next_pull_ms:
        return
    offers = _pull_candidates(context)
    if not offers:
        return
    hosts = [host for host in offers if host not in state.declined]
    if not hosts:
        state.declined.clear()
        state.next_pull_ms = context.now_ms + context.policy.pull_retry_ms
        return
    host = state.rng.choice(hosts)
    deadline_ms = context.now_ms + context.policy.pull_timeout_ms
    state.pull = Pull(host, offers[host], deadline_ms)
    context.commands.append(RequestText(state.document, host, offers[host].revision))


def _pull_candidates(context: Context) -> dict[str, Offer]:
    refused = context.state.refused
    refused_key = (refused.revision, refused.digest) if refused else None
    offers = {
        host: offer
        for host, offer in context.state.offers.items()
        if (offer.revision, offer.digest) != refused_key
    }
    highest = max((offer.revision for offer in offers.values()), default=0)
    return {host: o for host, o in offers.items() if o.revision == highest}


def _pull_failed(context: Context, host: str) -> None:
    context.report(events.PULL_FAILED, context.state.pull.offer.revision, host)
    context.state.pull = None
    # A live host sends its offer again. An offer of a dead host must not delay the
    # start of this process.
    context.state.offers.pop(host, None)


def on_offer_requested(context: Context, event: OfferRequested) -> None:
    """Send the current offer to a process that has just started."""
    context.commands.append(SendOffer((event.host,), current_offer(context.state)))


def on_peer_offer(context: Context, event: OfferReceived) -> None:
    """Record a peer's offer; pull a newer revision, and answer an older one.

    An offer of the same revision is checked for a different text.
    """
    state = context.state
    state.answered.add(event.host)
    _note_refusal(context, event)
    offer = event.offer
    if offer.revision > adopted_revision(state):
        state.offers[event.host] = offer
        if state.joined:
            pull(context)
        return
    state.offers.pop(event.host, None)
    if offer.revision < adopted_revision(state):
        _notify_outdated(context, event.host)
    else:
        check_conflict(context, offer.revision, offer.digest)


def _note_refusal(context: Context, event: OfferReceived) -> None:
    state = context.state
    revision = event.offer.refused_revision
    own = state.refused.revision if state.refused else 0
    if revision > max(adopted_revision(state), own, state.peer_refused_revision):
        state.peer_refused_revision = revision
        context.report(events.REFUSED_ELSEWHERE, revision, event.host)


def _notify_outdated(context: Context, host: str) -> None:
    notified_ms = context.state.notified_ms
    last_ms = notified_ms.get(host)
    interval_ms = context.policy.answer_interval_ms
    if last_ms is not None and context.now_ms < last_ms + interval_ms:
        return
    notified_ms[host] = context.now_ms
    context.commands.append(SendOffer((host,), current_offer(context.state)))


def on_text_requested(context: Context, event: TextRequested) -> None:
    """Send the text that a peer requested, or decline.

    The request is declined if too many texts are being sent already, or if the revision
    in force is older than the requested one.
    """
    state = context.state
    state.sends = {
        host: deadline_ms
        for host, deadline_ms in state.sends.items()
        if context.now_ms < deadline_ms and host != event.host
    }
    adopted = state.adopted
    busy = len(state.sends) >= context.policy.max_concurrent_sends
    if busy or adopted is None or adopted.revision < event.revision:
        context.commands.append(Decline(state.document, event.host))
        return
    state.sends[event.host] = context.now_ms + context.policy.send_timeout_ms
    text = SendText(state.document, event.host, adopted.revision, adopted.compressed)
    context.commands.append(text)


def on_text_sent(context: Context, event: TextSent) -> None:
    """Free the slot of a finished send for the next request."""
    context.state.sends.pop(event.host, None)


def on_peer_text(context: Context, event: TextReceived) -> None:
    """Adopt or refuse a text that a peer sent.

    The text is ignored until this process has joined. A requested text that can't be
    decompressed counts as a failed pull.
    """
    state = context.state
    expected = state.pull if state.pull and state.pull.host == event.host else None
    if not state.joined:
        return
    text = decompress_text(event.compressed)
    if text is None:
        if expected is not None:
            _pull_failed(context, event.host)
        return
    if expected is not None:
        state.pull = None
    evaluate_text(context, event.revision, text, event.compressed)
    pull(context)


def on_peer_declined(context: Context, event: PeerDeclined) -> None:
    """Request the text from another peer after one has declined."""
    state = context.state
    if state.pull is None or state.pull.host != event.host:
        return
    state.pull = None
    state.declined.add(event.host)
    pull(context)
