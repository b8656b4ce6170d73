"""Exchange of revisions between peers: offers, pulls, and the question at a start."""

from .. import events
from .revision_messages import (
    AskOffers,
    AskPeer,
    Decline,
    Offer,
    OfferAsked,
    OfferTo,
    PeerDeclined,
    PeerOffer,
    PeerText,
    SendText,
    TextAsked,
    TextSent,
)
from .revision_state import Pull, Turn, known_hosts, offer_of, revision_of
from .revision_texts import compare, judge, unpack_text


def ask_at_start(turn: Turn) -> bool:
    """Ask every known peer what it holds; return whether that is done."""
    state = turn.state
    unasked = [host for host in known_hosts(state) if host not in state.answered]
    if turn.now_ms >= state.join_deadline_ms or (state.answered and not unasked):
        return True
    if unasked and turn.now_ms >= state.next_join_ms:
        state.next_join_ms = turn.now_ms + turn.policy.join_retry_ms
        turn.commands.append(AskOffers(state.document, tuple(unasked)))
    return False


def spread(turn: Turn) -> None:
    """Tell a few peers of the own domain about what has just changed here."""
    state = turn.state
    if not state.offer_rounds_left or turn.now_ms < state.next_offer_ms:
        return
    state.offer_rounds_left -= 1
    state.next_offer_ms = turn.now_ms + turn.policy.offer_interval_ms
    count = min(turn.policy.offer_fanout, len(state.domain))
    hosts = tuple(peer.host for peer in state.draw.sample(state.domain, count))
    if hosts:
        turn.commands.append(OfferTo(hosts, offer_of(state)))


def spread_elsewhere(turn: Turn) -> None:
    """As a reader, tell one host of another domain; the domains take turns."""
    state = turn.state
    if not state.reader or not state.elsewhere or turn.now_ms < state.next_elsewhere_ms:
        return
    state.next_elsewhere_ms = turn.now_ms + turn.policy.elsewhere_interval_ms
    state.elsewhere_turn += 1
    hosts = state.elsewhere[state.elsewhere_turn % len(state.elsewhere)]
    turn.commands.append(OfferTo((state.draw.choice(hosts),), offer_of(state)))


def pull(turn: Turn) -> None:
    """Ask one of the peers that hold the highest revision for its text."""
    state = turn.state
    if state.pull is not None and turn.now_ms >= state.pull.deadline_ms:
        _pull_failed(turn, state.pull.host)
    if state.pull is not None or turn.now_ms < state.next_pull_ms:
        return
    offers = _pullable(turn)
    if not offers:
        return
    hosts = [host for host in offers if host not in state.declined]
    if not hosts:
        state.declined.clear()
        state.next_pull_ms = turn.now_ms + turn.policy.pull_retry_ms
        return
    host = state.draw.choice(hosts)
    deadline_ms = turn.now_ms + turn.policy.pull_timeout_ms
    state.pull = Pull(host, offers[host], deadline_ms)
    turn.commands.append(AskPeer(state.document, host, offers[host].revision))


def _pullable(turn: Turn) -> dict[str, Offer]:
    refused = turn.state.refused
    judged = (refused.revision, refused.digest) if refused else None
    offers = {
        host: offer
        for host, offer in turn.state.offers.items()
        if (offer.revision, offer.digest) != judged
    }
    highest = max((offer.revision for offer in offers.values()), default=0)
    return {host: o for host, o in offers.items() if o.revision == highest}


def _pull_failed(turn: Turn, host: str) -> None:
    turn.report(events.PULL_FAILED, turn.state.pull.offer.revision, host)
    turn.state.pull = None
    # The host offers again if it lives, and a dead one must not hold a start up.
    turn.state.offers.pop(host, None)


def on_offer_asked(turn: Turn, event: OfferAsked) -> None:
    """Answer a process that has just started."""
    turn.commands.append(OfferTo((event.host,), offer_of(turn.state)))


def on_peer_offer(turn: Turn, event: PeerOffer) -> None:
    """Note what a peer holds, pull it when it is newer, tell the peer when it isn't."""
    state = turn.state
    state.answered.add(event.host)
    _note_refusal(turn, event)
    offer = event.offer
    if offer.revision > revision_of(state):
        state.offers[event.host] = offer
        if state.joined:
            pull(turn)
        return
    state.offers.pop(event.host, None)
    if offer.revision < revision_of(state):
        _tell(turn, event.host)
    else:
        compare(turn, offer.revision, offer.digest)


def _note_refusal(turn: Turn, event: PeerOffer) -> None:
    state = turn.state
    revision = event.offer.refused_revision
    own = state.refused.revision if state.refused else 0
    if revision > max(revision_of(state), own, state.refused_elsewhere):
        state.refused_elsewhere = revision
        turn.report(events.REFUSED_ELSEWHERE, revision, event.host)


def _tell(turn: Turn, host: str) -> None:
    told_ms = turn.state.told_ms
    last_ms = told_ms.get(host)
    interval_ms = turn.policy.answer_interval_ms
    if last_ms is not None and turn.now_ms < last_ms + interval_ms:
        return
    told_ms[host] = turn.now_ms
    turn.commands.append(OfferTo((host,), offer_of(turn.state)))


def on_text_asked(turn: Turn, event: TextAsked) -> None:
    """Send the text, or decline while as many as allowed are on their way."""
    state = turn.state
    state.sends = {
        host: deadline_ms
        for host, deadline_ms in state.sends.items()
        if turn.now_ms < deadline_ms and host != event.host
    }
    held = state.held
    busy = len(state.sends) >= turn.policy.sends_at_once
    if busy or held is None or held.revision < event.revision:
        turn.commands.append(Decline(state.document, event.host))
        return
    state.sends[event.host] = turn.now_ms + turn.policy.send_timeout_ms
    text = SendText(state.document, event.host, held.revision, held.packed)
    turn.commands.append(text)


def on_text_sent(turn: Turn, event: TextSent) -> None:
    """Make room for the next peer that asks."""
    turn.state.sends.pop(event.host, None)


def on_peer_text(turn: Turn, event: PeerText) -> None:
    """Judge a text that a peer sent."""
    state = turn.state
    expected = state.pull if state.pull and state.pull.host == event.host else None
    if not state.joined:
        return
    text = unpack_text(event.packed)
    if text is None:
        if expected is not None:
            _pull_failed(turn, event.host)
        return
    if expected is not None:
        state.pull = None
    judge(turn, event.revision, text, event.packed)
    pull(turn)


def on_peer_declined(turn: Turn, event: PeerDeclined) -> None:
    """Ask another peer that holds the revision."""
    state = turn.state
    if state.pull is None or state.pull.host != event.host:
        return
    state.pull = None
    state.declined.add(event.host)
    pull(turn)
