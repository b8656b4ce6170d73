"""Decisions that bring every published revision into force everywhere, only upwards.

A few readers in each failure domain watch the platform; every other process hears
of a revision from its peers and pulls the text from one that holds it. The shell
calls :func:`decide` for each event and carries out the commands that it returns.
"""

import typing as t

from .. import errors, events
from .peers import Role, highest
from .revision_exchange import (
    ask_at_start,
    on_offer_asked,
    on_peer_declined,
    on_peer_offer,
    on_peer_text,
    on_text_asked,
    on_text_sent,
    pull,
    spread,
    spread_elsewhere,
)
from .revision_messages import (
    Adopt,
    AskOffers,
    AskPeer,
    Command,
    Decline,
    Document,
    Event,
    Offer,
    OfferAsked,
    OfferTo,
    PeerDeclined,
    PeerOffer,
    PeersChanged,
    PeerText,
    ReadAnswered,
    ReadFailed,
    ReadPlatform,
    Report,
    SeedPeers,
    SendText,
    TextAsked,
    TextSent,
    Tick,
)
from .revision_state import (
    TEXT_BYTES_MAX,
    Held,
    Read,
    Refusal,
    RevisionPolicy,
    RevisionState,
    Turn,
    digest_of,
    floor_of,
    known_hosts,
    offer_of,
    revision_of,
    start,
)
from .revision_texts import judge, pack_text

__all__ = [
    "Adopt",
    "AskOffers",
    "AskPeer",
    "Command",
    "Decline",
    "Document",
    "Event",
    "Held",
    "Offer",
    "OfferAsked",
    "OfferTo",
    "PeerDeclined",
    "PeerOffer",
    "PeerText",
    "PeersChanged",
    "ReadAnswered",
    "ReadFailed",
    "ReadPlatform",
    "Refusal",
    "Report",
    "RevisionPolicy",
    "RevisionState",
    "SeedPeers",
    "SendText",
    "TEXT_BYTES_MAX",
    "TextAsked",
    "TextSent",
    "Tick",
    "decide",
    "digest_of",
    "offer_of",
    "revision_of",
    "start",
]


def decide(
    now_ms: int, state: RevisionState, event: Event, policy: RevisionPolicy
) -> list[Command]:
    """Return what to do about ``event`` at ``now_ms`` on the monotonic clock."""
    turn = Turn(now_ms, state, policy)
    _notice_gap(turn)
    _HANDLERS[type(event)](turn, event)
    return turn.commands


def _notice_gap(turn: Turn) -> None:
    state = turn.state
    gap_ms = turn.now_ms - state.last_ms
    state.last_ms = turn.now_ms
    if gap_ms < 0:
        _move_timers(state, gap_ms)
    elif gap_ms > turn.policy.pause_ms:
        # The answers of the peers may still wait to be read.
        state.join_deadline_ms += gap_ms


def _move_timers(state: RevisionState, by_ms: int) -> None:
    state.join_deadline_ms += by_ms
    state.next_join_ms += by_ms
    state.next_read_ms += by_ms
    state.next_pull_ms += by_ms
    state.next_offer_ms += by_ms
    state.next_elsewhere_ms += by_ms
    if state.read is not None:
        state.read.deadline_ms += by_ms
    if state.pull is not None:
        state.pull.deadline_ms += by_ms
    state.told_ms.clear()
    state.sends.clear()


def _on_tick(turn: Turn, event: Tick) -> None:
    if not turn.state.joined:
        turn.state.joined = ask_at_start(turn)
        if not turn.state.joined:
            _read_for_seeds(turn)
            return
        # A read that began before the question to the peers isn't trusted.
        turn.state.read = None
        turn.state.next_read_ms = turn.now_ms
        answered = f"{len(turn.state.answered)} peers answered"
        turn.report(events.JOIN_FINISHED, floor_of(turn.state), answered)
        _choose_reader(turn)
    _read(turn)
    pull(turn)
    spread(turn)
    spread_elsewhere(turn)


def _on_peers_changed(turn: Turn, event: PeersChanged) -> None:
    state = turn.state
    was_alone = not state.domain and not state.elsewhere
    state.domain = event.domain
    by_domain: dict[str, list[str]] = {}
    for peer in event.elsewhere:
        by_domain.setdefault(peer.domain, []).append(peer.host)
    state.elsewhere = tuple(tuple(by_domain[name]) for name in sorted(by_domain))
    known = set(known_hosts(state))
    state.offers = {h: offer for h, offer in state.offers.items() if h in known}
    state.told_ms = {h: told for h, told in state.told_ms.items() if h in known}
    if was_alone and known and not state.joined:
        state.join_deadline_ms = turn.now_ms + turn.policy.join_wait_ms
    _choose_reader(turn)


def _choose_reader(turn: Turn) -> None:
    state = turn.state
    members = (*state.domain, state.own)
    entries = [peer.host for peer in members if peer.role is Role.ENTRY]
    agents = [peer.host for peer in members if peer.role is Role.AGENT]
    key = f"reader:{state.document.name}"
    readers = highest(key, entries, turn.policy.readers_per_domain)
    missing = turn.policy.readers_per_domain - len(readers)
    readers += highest(key, agents, missing)
    chosen = state.joined and state.own.host in readers
    if chosen == state.reader:
        return
    state.reader = chosen
    event = events.READER_STARTED if chosen else events.READER_STOPPED
    turn.report(event, revision_of(state))


def _read_for_seeds(turn: Turn) -> None:
    state = turn.state
    alone = not any(known_hosts(state))
    idle = state.read is None and turn.now_ms >= state.next_read_ms
    if state.document is Document.HOST_LIST and alone and idle:
        _start_read(turn)


def _seed(turn: Turn, event: ReadAnswered) -> None:
    turn.state.next_read_ms = turn.now_ms + turn.policy.join_wait_ms
    if event.text is None:
        return
    try:
        validated = turn.policy.validate(event.text)
    except errors.ConfigurationError:
        return
    turn.commands.append(SeedPeers(validated))


def _read(turn: Turn) -> None:
    state = turn.state
    if state.read is not None and turn.now_ms >= state.read.deadline_ms:
        _read_failed(turn)
    if state.reader and state.read is None and turn.now_ms >= state.next_read_ms:
        _start_read(turn)


def _start_read(turn: Turn) -> None:
    state, policy = turn.state, turn.policy
    state.read_count += 1
    deadline_ms = turn.now_ms + policy.read_wait_ms + policy.read_grace_ms
    state.read = Read(state.read_count, deadline_ms)
    after = _judged_revision(state)
    turn.commands.append(
        ReadPlatform(state.read_count, state.document, after, policy.read_wait_ms)
    )


def _judged_revision(state: RevisionState) -> int:
    refused = state.refused.revision if state.refused else 0
    return max(revision_of(state), refused)


def _on_read_answered(turn: Turn, event: ReadAnswered) -> None:
    state = turn.state
    if state.read is None or state.read.read_id != event.read_id:
        return
    state.read = None
    if not state.joined:
        _seed(turn, event)
        return
    floor = floor_of(state) if state.held is None else state.held.revision
    if event.revision < max(floor, _judged_revision(state)):
        _read_trouble(turn, events.STALE_READ, event.revision)
        return
    state.trouble = None
    state.read_pause_ms = 0
    state.next_read_ms = turn.now_ms + turn.policy.read_pause_min_ms
    if event.text is not None:
        judge(turn, event.revision, event.text, pack_text(event.text))


def _on_read_failed(turn: Turn, event: ReadFailed) -> None:
    read = turn.state.read
    if read is not None and read.read_id == event.read_id:
        _read_failed(turn)


def _read_failed(turn: Turn) -> None:
    turn.state.read = None
    _read_trouble(turn, events.PLATFORM_UNREAD, revision_of(turn.state))


def _read_trouble(turn: Turn, event: events.Event, revision: int) -> None:
    state, policy = turn.state, turn.policy
    longer_ms = max(policy.read_pause_min_ms, 2 * state.read_pause_ms)
    state.read_pause_ms = min(longer_ms, policy.read_pause_max_ms)
    # Half of the pause is drawn, so that the readers don't call in step.
    drawn_ms = state.draw.randrange(state.read_pause_ms)
    state.next_read_ms = turn.now_ms + state.read_pause_ms // 2 + drawn_ms
    if state.trouble is not event:
        state.trouble = event
        turn.report(event, revision)


_HANDLERS: dict[type, t.Callable[[Turn, t.Any], None]] = {
    Tick: _on_tick,
    PeersChanged: _on_peers_changed,
    ReadAnswered: _on_read_answered,
    ReadFailed: _on_read_failed,
    OfferAsked: on_offer_asked,
    PeerOffer: on_peer_offer,
    TextAsked: on_text_asked,
    TextSent: on_text_sent,
    PeerText: on_peer_text,
    PeerDeclined: on_peer_declined,
}
