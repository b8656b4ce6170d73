"""Decisions that bring published revisions into force in every process.

The revision in force in a process only ever increases. A few readers in each failure
domain watch the platform. Every other process receives offers of new revisions from its
peers and pulls the text from one that has it. The caller calls :func:`decide` for each
event and executes the returned commands in order.
"""

import typing as t

from .. import errors, events
from .peers import Role, rendezvous_hosts
from .revision_exchange import (
    offer_to_domain,
    offer_to_remote,
    on_offer_requested,
    on_peer_declined,
    on_peer_offer,
    on_peer_text,
    on_text_requested,
    on_text_sent,
    pull,
    request_initial_offers,
)
from .revision_messages import (
    Adopt,
    Command,
    Decline,
    Document,
    Event,
    Offer,
    OfferReceived,
    OfferRequested,
    PeerDeclined,
    PeersChanged,
    ReadAnswered,
    ReadFailed,
    ReadPlatform,
    Report,
    RequestOffers,
    RequestText,
    SeedPeers,
    SendOffer,
    SendText,
    TextReceived,
    TextRequested,
    TextSent,
    Tick,
)
from .revision_state import (
    TEXT_BYTES_MAX,
    AdoptedRevision,
    Context,
    Read,
    Refusal,
    RevisionPolicy,
    RevisionState,
    adopted_revision,
    current_offer,
    digest_of,
    known_hosts,
    minimum_revision,
    start,
)
from .revision_texts import compress_text, evaluate_text

__all__ = [
    "Adopt",
    "RequestOffers",
    "RequestText",
    "Command",
    "Decline",
    "Document",
    "Event",
    "AdoptedRevision",
    "Offer",
    "OfferRequested",
    "SendOffer",
    "PeerDeclined",
    "OfferReceived",
    "TextReceived",
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
    "TextRequested",
    "TextSent",
    "Tick",
    "decide",
    "digest_of",
    "current_offer",
    "adopted_revision",
    "start",
]


def decide(
    now_ms: int, state: RevisionState, event: Event, policy: RevisionPolicy
) -> list[Command]:
    """Update ``state`` for ``event`` and return the commands to execute in order.

    :param now_ms: time of the event on the monotonic clock.
    """
    context = Context(now_ms, state, policy)
    _detect_pause(context)
    _HANDLERS[type(event)](context, event)
    return context.commands


def _detect_pause(context: Context) -> None:
    state = context.state
    gap_ms = context.now_ms - state.last_ms
    state.last_ms = context.now_ms
    if gap_ms < 0:
        _shift_timers(state, gap_ms)
    elif gap_ms > context.policy.pause_ms:
        # Answers of the peers that arrived during the pause may not have been read yet.
        state.join_deadline_ms += gap_ms


def _shift_timers(state: RevisionState, by_ms: int) -> None:
    state.join_deadline_ms += by_ms
    state.next_join_ms += by_ms
    state.next_read_ms += by_ms
    state.next_pull_ms += by_ms
    state.next_offer_ms += by_ms
    state.next_remote_offer_ms += by_ms
    if state.read is not None:
        state.read.deadline_ms += by_ms
    if state.pull is not None:
        state.pull.deadline_ms += by_ms
    state.notified_ms.clear()
    state.sends.clear()


def _on_tick(context: Context, event: Tick) -> None:
    if not context.state.joined:
        context.state.joined = request_initial_offers(context)
        if not context.state.joined:
            _read_for_seeds(context)
            return
        # The result of a read that began before the peers answered isn't used, since it
        # may be older than what the peers have.
        context.state.read = None
        context.state.next_read_ms = context.now_ms
        answered = f"{len(context.state.answered)} peers answered"
        context.report(events.JOIN_FINISHED, minimum_revision(context.state), answered)
        _choose_reader(context)
    _read(context)
    pull(context)
    offer_to_domain(context)
    offer_to_remote(context)


def _on_peers_changed(context: Context, event: PeersChanged) -> None:
    state = context.state
    was_alone = not state.domain and not state.remote_peers
    state.domain = event.domain
    by_domain: dict[str, list[str]] = {}
    for peer in event.remote_peers:
        by_domain.setdefault(peer.domain, []).append(peer.host)
    state.remote_peers = tuple(tuple(by_domain[name]) for name in sorted(by_domain))
    known = set(known_hosts(state))
    state.offers = {h: offer for h, offer in state.offers.items() if h in known}
    state.notified_ms = {
        h: notified_at_ms
        for h, notified_at_ms in state.notified_ms.items()
        if h in known
    }
    if was_alone and known and not state.joined:
        state.join_deadline_ms = context.now_ms + context.policy.join_wait_ms
    _choose_reader(context)


def _choose_reader(context: Context) -> None:
    state = context.state
    members = (*state.domain, state.own)
    entries = [peer.host for peer in members if peer.role is Role.ENTRY]
    agents = [peer.host for peer in members if peer.role is Role.AGENT]
    key = f"reader:{state.document.name}"
    readers = rendezvous_hosts(key, entries, context.policy.readers_per_domain)
    missing = context.policy.readers_per_domain - len(readers)
    readers += rendezvous_hosts(key, agents, missing)
    chosen = state.joined and state.own.host in readers
    if chosen == state.reader:
        return
    state.reader = chosen
    event = events.READER_STARTED if chosen else events.READER_STOPPED
    context.report(event, adopted_revision(state))


def _read_for_seeds(context: Context) -> None:
    state = context.state
    alone = not any(known_hosts(state))
    idle = state.read is None and context.now_ms >= state.next_read_ms
    if state.document is Document.HOST_LIST and alone and idle:
        _start_read(context)


def _on_seed_list_read(context: Context, event: ReadAnswered) -> None:
    context.state.next_read_ms = context.now_ms + context.policy.join_wait_ms
    if event.text is None:
        return
    try:
        validated = context.policy.validate(event.text)
    except errors.ConfigurationError:
        return
    context.commands.append(SeedPeers(validated))


def _read(context: Context) -> None:
    state = context.state
    if state.read is not None and context.now_ms >= state.read.deadline_ms:
        _read_failed(context)
    if state.reader and state.read is None and context.now_ms >= state.next_read_ms:
        _start_read(context)


def _start_read(context: Context) -> None:
    state, policy = context.state, context.policy
    state.read_count += 1
    deadline_ms = context.now_ms + policy.read_wait_ms + policy.read_grace_ms
    state.read = Read(state.read_count, deadline_ms)
    after = _evaluated_revision(state)
    context.commands.append(
        ReadPlatform(state.read_count, state.document, after, policy.read_wait_ms)
    )


def _evaluated_revision(state: RevisionState) -> int:
    refused = state.refused.revision if state.refused else 0
    return max(adopted_revision(state), refused)


def _on_read_answered(context: Context, event: ReadAnswered) -> None:
    state = context.state
    if state.read is None or state.read.read_id != event.read_id:
        return
    state.read = None
    if not state.joined:
        _on_seed_list_read(context, event)
        return
    minimum = (
        minimum_revision(state) if state.adopted is None else state.adopted.revision
    )
    if event.revision < max(minimum, _evaluated_revision(state)):
        _back_off_reads(context, events.STALE_READ, event.revision)
        return
    state.read_error = None
    state.read_backoff_ms = 0
    state.next_read_ms = context.now_ms + context.policy.read_backoff_min_ms
    if event.text is not None:
        evaluate_text(context, event.revision, event.text, compress_text(event.text))


def _on_read_failed(context: Context, event: ReadFailed) -> None:
    read = context.state.read
    if read is not None and read.read_id == event.read_id:
        _read_failed(context)


def _read_failed(context: Context) -> None:
    context.state.read = None
    _back_off_reads(context, events.PLATFORM_UNREAD, adopted_revision(context.state))


def _back_off_reads(context: Context, event: events.Event, revision: int) -> None:
    state, policy = context.state, context.policy
    doubled_ms = max(policy.read_backoff_min_ms, 2 * state.read_backoff_ms)
    state.read_backoff_ms = min(doubled_ms, policy.read_backoff_max_ms)
    # A random part of the backoff keeps the readers from reading at the same time.
    jitter_ms = state.rng.randrange(state.read_backoff_ms)
    state.next_read_ms = context.now_ms + state.read_backoff_ms // 2 + jitter_ms
    if state.read_error is not event:
        state.read_error = event
        context.report(event, revision)


_HANDLERS: dict[type, t.Callable[[Context, t.Any], None]] = {
    Tick: _on_tick,
    PeersChanged: _on_peers_changed,
    ReadAnswered: _on_read_answered,
    ReadFailed: _on_read_failed,
    OfferRequested: on_offer_requested,
    OfferReceived: on_peer_offer,
    TextRequested: on_text_requested,
    TextSent: on_text_sent,
    TextReceived: on_peer_text,
    PeerDeclined: on_peer_declined,
}
