"""Decisions on who is alive, who is leaving, and who may be given new work.

Each process sends frequent heartbeats to a few entries of its failure domain, its
watchers, and full ones to all entries in turn. A watcher that hears nothing probes,
suspects, and counts the process as dead once a second entry agrees; then it tells
the domain. Besides, an entry gives no work to an endpoint of which it has no fresh
sign of life. The shell calls :func:`decide` for each event, drains its sockets
before each :class:`~dotterelplank.member_messages.Tick`, and carries out the
commands in order.
"""

import typing as t

from .. import events
from .beats import (
    announce_leave,
    beat_mesh,
    beat_watchers,
    introduce,
    order_leave,
    plan,
    send_digests,
)
from .listing import (
    correct,
    follow,
    forget_dropped,
    on_host_list,
    on_introduced,
    refresh,
    tell_peers,
)
from .messages import (
    AskIntroduction,
    Command,
    DigestHeard,
    Event,
    Follow,
    Heartbeat,
    HeartbeatHeard,
    HostListAdopted,
    Intent,
    Introduce,
    IntroductionAsked,
    LeaveOrdered,
    LinkLost,
    LoadMeasured,
    MemberStatus,
    NoticeHeard,
    OffersChanged,
    PeerIntroduced,
    PeersSeeded,
    ProbeHeard,
    SendHeartbeat,
    Tick,
    VouchAsked,
)
from .peers import Role
from .state import (
    PPM,
    HeldDigest,
    Member,
    MembershipPolicy,
    MembershipState,
    Turn,
    is_usable,
    settle,
    start,
)
from .watch import (
    begin_incarnation,
    expire_entries,
    judge_watched,
    meet_newer_self,
    note_life,
    on_link_lost,
    on_notice_heard,
    on_vouch_asked,
    probe,
    scan_leases,
)

__all__ = [
    "Member",
    "MembershipPolicy",
    "MembershipState",
    "decide",
    "is_usable",
    "start",
]


def decide(
    now_ms: int, state: MembershipState, event: Event, policy: MembershipPolicy
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
        _start_clock_anew(turn, gap_ms)
    elif gap_ms > turn.policy.pause_ms:
        turn.report(events.OWN_PAUSE, state.own.host, f"{gap_ms} ms")
        _judge_afresh(turn)


def _judge_afresh(turn: Turn) -> None:
    turn.state.judge_from_ms = turn.now_ms
    turn.state.stale_ticks = turn.policy.pause_ticks
    for member in turn.state.members.values():
        member.probes = 0
        member.accusers.clear()
        refresh(turn, member)


def _start_clock_anew(turn: Turn, gap_ms: int) -> None:
    state = turn.state
    turn.report(events.CLOCK_WENT_BACK, state.own.host, f"{gap_ms} ms")
    for member in state.members.values():
        member.heard_ms = None
        member.offset_ms = None
        member.received_ms = turn.now_ms
        member.next_probe_ms = turn.now_ms
        member.corrected_ms = None
        member.next_notice_ms = turn.now_ms
    _judge_afresh(turn)
    state.started_ms = min(state.started_ms, turn.now_ms)
    state.mesh_ms = turn.now_ms
    state.next_watch_ms = state.next_scan_ms = turn.now_ms
    state.next_digest_ms = state.next_leave_ms = turn.now_ms
    state.next_refute_ms = turn.now_ms
    state.called_dead_ms.clear()
    state.questions.clear()
    state.asked_ms.clear()
    state.probers.clear()
    state.digests.clear()


def _on_tick(turn: Turn, event: Tick) -> None:
    state = turn.state
    state.stale_ticks = max(0, state.stale_ticks - 1)
    _expire(turn)
    if state.peers_changed:
        tell_peers(turn)
        plan(turn)
        introduce(turn)
    if state.superseded:
        return
    announce_leave(turn)
    beat_watchers(turn)
    beat_mesh(turn)
    if state.own.role is Role.AGENT:
        expire_entries(turn)
        return
    judge_watched(turn)
    scan_leases(turn)
    send_digests(turn)


def _expire(turn: Turn) -> None:
    state, policy = turn.state, turn.policy
    oldest_ms = turn.now_ms - policy.question_ms
    # Questions are numbered in order of time, so the oldest come first.
    for nonce in list(state.questions):
        if state.questions[nonce].asked_ms > oldest_ms:
            break
        del state.questions[nonce]
    for host, probed_ms in list(state.probers.items()):
        if turn.now_ms - probed_ms > policy.prober_ms:
            del state.probers[host]
    if len(state.asked_ms) > len(state.members) + len(state.elsewhere):
        state.asked_ms.clear()
    forget_dropped(turn)


def _on_heartbeat(turn: Turn, event: HeartbeatHeard) -> None:
    beat = event.heartbeat
    state = turn.state
    if beat.host == state.own.host:
        if beat.incarnation > state.incarnation:
            meet_newer_self(turn, beat.incarnation)
        return
    member = state.members.get(beat.host)
    if member is None:
        _ask_introduction(turn, beat.host)
        return
    if beat.incarnation < member.incarnation:
        correct(turn, member)
        return
    if beat.incarnation > member.incarnation:
        begin_incarnation(turn, member, beat.incarnation)
    if beat.sequence > member.sequence:
        _take(turn, member, beat)


def _ask_introduction(turn: Turn, host: str) -> None:
    state = turn.state
    if host in state.elsewhere:
        return
    last_ms = state.asked_ms.get(host)
    if last_ms is not None and turn.now_ms < last_ms + turn.policy.ask_interval_ms:
        return
    state.asked_ms[host] = turn.now_ms
    turn.add(AskIntroduction(host))


def _take(turn: Turn, member: Member, beat: Heartbeat) -> None:
    member.sequence = beat.sequence
    member.watched = beat.watch
    if beat.load is not None:
        member.load = beat.load
    _match_clock(turn, member, beat)
    member.received_ms = turn.now_ms
    if beat.intent is Intent.LEAVING and member.intent is Intent.SERVING:
        member.intent = Intent.LEAVING
        settle(turn, member, MemberStatus.LEAVING)
    note_life(turn, member, int(beat.sent_ms + member.offset_ms))
    if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        _doubt_clock(turn, member)


def _doubt_clock(turn: Turn, member: Member) -> None:
    # It sends, yet what it sends seems old: one of the two clocks may have jumped.
    if turn.state.own.role is Role.ENTRY and turn.now_ms >= member.next_probe_ms:
        member.next_probe_ms = turn.now_ms + turn.policy.unheard_probe_ms
        probe(turn, member)


def _match_clock(turn: Turn, member: Member, beat: Heartbeat) -> None:
    offset_ms = turn.now_ms - beat.sent_ms
    if member.offset_ms is not None:
        elapsed_ms = turn.now_ms - member.received_ms
        drift_ms = elapsed_ms * turn.policy.drift_ppm / PPM
        offset_ms = min(offset_ms, member.offset_ms + drift_ms)
    question = turn.state.questions.pop(beat.echo, None)
    if question is not None and question.subject == beat.host:
        # An answer is younger than its question, whatever the clocks have done.
        offset_ms = max(offset_ms, question.asked_ms - beat.sent_ms)
    member.offset_ms = offset_ms


def _on_introduction_asked(turn: Turn, event: IntroductionAsked) -> None:
    state = turn.state
    turn.add(Introduce((event.host,), state.own, state.incarnation))


def _on_probe(turn: Turn, event: ProbeHeard) -> None:
    state = turn.state
    if state.superseded:
        return
    if event.host not in state.mesh:
        state.probers[event.host] = turn.now_ms
    watch = event.host in state.watchers
    beat = turn.heartbeat(watch=watch, load=state.load, echo=event.nonce)
    turn.add(SendHeartbeat((event.host,), beat))


def _on_digest(turn: Turn, event: DigestHeard) -> None:
    digest = event.digest
    made_ms = turn.now_ms - digest.age_ms
    if digest.domain == turn.state.own.domain:
        return
    held = turn.state.digests.get(digest.domain)
    if held is None or made_ms > held.made_ms:
        turn.state.digests[digest.domain] = HeldDigest(digest, made_ms)


def _on_load(turn: Turn, event: LoadMeasured) -> None:
    turn.state.load = event.load


def _on_offers(turn: Turn, event: OffersChanged) -> None:
    turn.state.offers = event.offers


def _on_seeds(turn: Turn, event: PeersSeeded) -> None:
    turn.state.seeds = event.peers
    turn.state.peers_changed = True


def _on_leave(turn: Turn, event: LeaveOrdered) -> None:
    order_leave(turn)


def _on_follow(turn: Turn, event: Follow) -> None:
    follow(turn, event.hosts)


_HANDLERS: dict[type, t.Callable[[Turn, t.Any], None]] = {
    Tick: _on_tick,
    HeartbeatHeard: _on_heartbeat,
    PeerIntroduced: on_introduced,
    IntroductionAsked: _on_introduction_asked,
    HostListAdopted: on_host_list,
    PeersSeeded: _on_seeds,
    ProbeHeard: _on_probe,
    NoticeHeard: on_notice_heard,
    VouchAsked: on_vouch_asked,
    DigestHeard: _on_digest,
    LinkLost: on_link_lost,
    LoadMeasured: _on_load,
    OffersChanged: _on_offers,
    LeaveOrdered: _on_leave,
    Follow: _on_follow,
}
