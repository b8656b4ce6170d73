"""Exchange of revisions between peers: offers, pulls, and the question at a start."""

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
from .revision_texts import compare, decompress_text, evaluate_text


def request_initial_offers(context: Context) -> bool:
    """Ask every known peer what it holds; return whether that is done."""
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
    """Tell a few peers of the own domain about what has just changed here."""
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
    """As a reader, tell one host of another domain; the domains take turns."""
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
    """Ask one of the peers that hold the highest revision for its text."""
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
    # The host offers again if it lives, and a dead one must not hold a start up.
    context.state.offers.pop(host, None)


def on_offer_requested(context: Context, event: OfferRequested) -> None:
    """Answer a process that has just started."""
    context.commands.append(SendOffer((event.host,), current_offer(context.state)))


def on_peer_offer(context: Context, event: OfferReceived) -> None:
    """Note what a peer holds, pull it when it is newer, tell the peer when it isn't."""
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
        compare(context, offer.revision, offer.digest)


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
    """Send the text, or decline while as many as allowed are on their way."""
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
    """Make room for the next peer that asks."""
    context.state.sends.pop(event.host, None)


def on_peer_text(context: Context, event: TextReceived) -> None:
    """Judge a text that a peer sent."""
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
    """Ask another peer that holds the revision."""
    state = context.state
    if state.pull is None or state.pull.host != event.host:
        return
    state.pull = None
    state.declined.add(event.host)
    pull(context)
