"""Judgement of the others: probes, suspicion, its confirmation, and leases."""

import dataclasses

from .. import events
from .beats import send_full
from .messages import (
    AskVouch,
    Intent,
    Introduce,
    LinkLost,
    MemberChanged,
    MemberStatus,
    Notice,
    NoticeHeard,
    SendHeartbeat,
    SendNotice,
    SendProbe,
    Supersede,
    VouchAsked,
)
from .peers import Role
from .state import (
    Member,
    Turn,
    is_usable,
    lease_ms,
    live_entries,
    overdue_ms,
    settle,
    silence_ms,
    watchers_of,
)


def judge_watched(turn: Turn) -> None:
    """Probe those that this entry watches and doesn't hear; suspect the silent."""
    for member in turn.state.members.values():
        if member.notices_left:
            _repeat_notice(turn, member)
        if not (member.watched or member.checked):
            continue
        if member.status > MemberStatus.SUSPECT:
            continue
        if silence_ms(turn, member) < overdue_ms(member, turn.policy):
            if member.status is MemberStatus.ALIVE:
                _quiet(member)
        elif turn.now_ms >= member.next_probe_ms:
            _press(turn, member)


def _repeat_notice(turn: Turn, member: Member) -> None:
    if member.status is not MemberStatus.DEAD:
        member.notices_left = 0
    elif turn.now_ms >= member.next_notice_ms:
        _spread_death(turn, member)


def _quiet(member: Member) -> None:
    member.probes = 0
    member.checked = False


def _press(turn: Turn, member: Member) -> None:
    member.next_probe_ms = turn.now_ms + turn.policy.probe_interval_ms
    if member.probes < turn.policy.probes:
        member.probes += 1
        probe(turn, member)
        return
    _suspect(turn, member)


def probe(turn: Turn, member: Member) -> None:
    """Ask ``member`` for a sign of life, and one of its watchers for its word."""
    host = member.peer.host
    turn.add(SendProbe(host, turn.ask(host)))
    if member.peer.domain != turn.state.own.domain:
        return
    own = turn.state.own.host
    helpers = [
        entry for entry in watchers_of(turn.state, host, turn.policy) if entry != own
    ]
    if helpers:
        helper = turn.state.draw.choice(helpers)
        turn.add(AskVouch(helper, host, turn.ask(host)))


def _suspect(turn: Turn, member: Member) -> None:
    member.next_probe_ms = turn.now_ms + turn.policy.accusation_ms // 2
    member.probes = 0
    member.accusers[turn.state.own.host] = turn.now_ms
    settle(turn, member, MemberStatus.SUSPECT)
    host = member.peer.host
    own = turn.state.own.host
    known = {own, host}
    helpers = [e for e in watchers_of(turn.state, host, turn.policy) if e != own]
    others = [e for e in live_entries(turn.state) if e not in known | set(helpers)]
    count = min(len(others), turn.policy.accusers)
    # Entries beside the watchers judge too: a rack may hold all the watchers.
    helpers += turn.state.draw.sample(others, count)
    if helpers:
        notice = notice_about(turn, member, turn.ask(host))
        turn.add(SendNotice(tuple(helpers), notice))
    _confirm(turn, member)


def notice_about(turn: Turn, member: Member, nonce: int = 0) -> Notice:
    """Return what this process holds true of ``member``, to be told to others."""
    status = member.status
    if status is MemberStatus.LEAVING and member.intent is Intent.SERVING:
        # Each process reads the host list for itself; only the own word is passed on.
        status = MemberStatus.ALIVE
    heard_ms = member.heard_ms
    unheard_ms = turn.now_ms - (turn.state.started_ms if heard_ms is None else heard_ms)
    return Notice(
        host=turn.state.own.host,
        subject=member.peer.host,
        incarnation=member.incarnation,
        status=status,
        unheard_ms=unheard_ms,
        nonce=nonce,
    )


def _confirm(turn: Turn, member: Member) -> None:
    if member.status is not MemberStatus.SUSPECT:
        return
    since_ms = turn.now_ms - turn.policy.accusation_ms
    accusers = [host for host, ms in member.accusers.items() if ms >= since_ms]
    judges = [e for e in live_entries(turn.state) if e != member.peer.host]
    if len(accusers) < min(turn.policy.accusers, len(judges)):
        return
    settle(turn, member, MemberStatus.DEAD)
    member.notices_left = turn.policy.death_notices
    _spread_death(turn, member)


def _spread_death(turn: Turn, member: Member) -> None:
    member.notices_left -= 1
    member.next_notice_ms = turn.now_ms + turn.policy.probe_interval_ms
    hosts = tuple(
        host
        for host, other in turn.state.members.items()
        if other.peer.domain == turn.state.own.domain
        and other is not member
        and Role.ENTRY in (other.peer.role, member.peer.role)
    )
    if hosts:
        turn.add(SendNotice(hosts, notice_about(turn, member)))


def scan_leases(turn: Turn) -> None:
    """Probe those of whom there is no fresh word, and stop using them in time."""
    state, policy = turn.state, turn.policy
    if turn.now_ms < state.next_scan_ms:
        return
    state.next_scan_ms = turn.now_ms + policy.lease_scan_ms
    budget = policy.probes_per_scan
    for member in state.members.values():
        if member.peer.role is not Role.AGENT:
            continue
        if member.usable and not is_usable(turn.now_ms, member, policy):
            turn.report(events.MEMBER_UNHEARD, member.peer.host)
            settle(turn, member, member.status)
        if budget and _wants_probe(turn, member):
            budget -= 1
            age_ms = silence_ms(turn, member)
            late = not member.usable and age_ms > lease_ms(member, policy)
            pause_ms = policy.unheard_probe_ms if late else policy.lease_scan_ms
            member.next_probe_ms = turn.now_ms + pause_ms
            probe(turn, member)


def _wants_probe(turn: Turn, member: Member) -> bool:
    if member.watched or member.status is not MemberStatus.ALIVE:
        return False
    if turn.now_ms < member.next_probe_ms:
        return False
    heard_ms = member.heard_ms
    policy = turn.policy
    limit_ms = policy.follow_probe_ms if member.followed else policy.lease_probe_ms
    return heard_ms is None or turn.now_ms - heard_ms >= limit_ms


def expire_entries(turn: Turn) -> None:
    """As an agent, count an entry as dead that has been silent for very long."""
    for member in turn.state.members.values():
        if member.status > MemberStatus.SUSPECT or member.peer.role is Role.AGENT:
            continue
        if silence_ms(turn, member) >= turn.policy.entry_silence_ms:
            settle(turn, member, MemberStatus.DEAD)


def on_vouch_asked(turn: Turn, event: VouchAsked) -> None:
    """Tell a peer what is held true of another process."""
    member = turn.state.members.get(event.subject)
    if member is None or member.heard_ms is None:
        return
    notice = notice_about(turn, member, event.nonce)
    turn.add(SendNotice((event.host,), notice))


def on_link_lost(turn: Turn, event: LinkLost) -> None:
    """Probe at once the process at the other end of a stream that ended."""
    member = turn.state.members.get(event.host)
    if member is None or member.status is not MemberStatus.ALIVE:
        return
    probe(turn, member)


def on_notice_heard(turn: Turn, event: NoticeHeard) -> None:
    """Weigh a peer's judgement of another process, or of this one."""
    notice = event.notice
    if notice.subject == turn.state.own.host:
        _hear_of_self(turn, notice)
        return
    member = turn.state.members.get(notice.subject)
    if member is None or notice.incarnation < member.incarnation:
        return
    if notice.incarnation > member.incarnation:
        begin_incarnation(turn, member, notice.incarnation)
    _NOTICE_HANDLERS[notice.status](turn, member, notice)


def _hear_of_self(turn: Turn, notice: Notice) -> None:
    if notice.incarnation > turn.state.incarnation:
        meet_newer_self(turn, notice.incarnation)
        return
    if notice.status is MemberStatus.DEAD and turn.state.own.role is Role.ENTRY:
        _refute(turn, notice.host)
    if notice.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        watch = notice.host in turn.state.watchers
        beat = turn.heartbeat(watch=watch, load=turn.state.load)
        turn.add(SendHeartbeat((notice.host,), beat))


def _refute(turn: Turn, teller: str) -> None:
    # One teller may be the one that was cut off; then it alone needs an answer.
    state, policy = turn.state, turn.policy
    state.called_dead_ms[teller] = turn.now_ms
    since_ms = turn.now_ms - policy.refute_ms
    state.called_dead_ms = {
        host: told_ms
        for host, told_ms in state.called_dead_ms.items()
        if told_ms >= since_ms
    }
    if len(state.called_dead_ms) < policy.refute_tellers:
        return
    if turn.now_ms >= state.next_refute_ms:
        state.next_refute_ms = turn.now_ms + policy.refute_ms
        send_full(turn, state.mesh)


def _hear_alive(turn: Turn, member: Member, notice: Notice) -> None:
    question = turn.state.questions.get(notice.nonce)
    if question is None or question.subject != notice.subject:
        return
    heard_ms = question.asked_ms - notice.unheard_ms
    note_life(turn, member, heard_ms)


def _hear_suspect(turn: Turn, member: Member, notice: Notice) -> None:
    if member.status > MemberStatus.SUSPECT:
        turn.add(SendNotice((notice.host,), notice_about(turn, member, notice.nonce)))
        return
    if silence_ms(turn, member) < overdue_ms(member, turn.policy):
        if member.heard_ms is not None:
            told = notice_about(turn, member, notice.nonce)
            turn.add(SendNotice((notice.host,), told))
        return
    fresh = notice.host not in member.accusers
    member.accusers[notice.host] = turn.now_ms
    member.checked = True
    own_ms = member.accusers.get(turn.state.own.host)
    if fresh and own_ms is not None:
        turn.add(SendNotice((notice.host,), notice_about(turn, member)))
    _confirm(turn, member)


def _hear_dead(turn: Turn, member: Member, notice: Notice) -> None:
    if turn.state.stale_ticks:
        # It may have waited in the socket while this process was paused.
        member.checked = True
        return
    slack_ms = turn.policy.slack_ms
    last_ms = turn.now_ms - notice.unheard_ms + slack_ms
    if member.status > MemberStatus.SUSPECT:
        return
    if member.heard_ms is not None and member.heard_ms > last_ms:
        _doubt(turn, member, notice.host)
        return
    settle(turn, member, MemberStatus.DEAD)


def _doubt(turn: Turn, member: Member, accuser: str) -> None:
    # Heard here after its watchers heard it last: out of use until it answers.
    member.accusers[accuser] = turn.now_ms
    member.checked = True
    settle(turn, member, MemberStatus.SUSPECT)
    if turn.now_ms >= member.next_probe_ms:
        member.next_probe_ms = turn.now_ms + turn.policy.probe_interval_ms
        probe(turn, member)


def _hear_leaving(turn: Turn, member: Member, notice: Notice) -> None:
    member.intent = Intent.LEAVING
    settle(turn, member, MemberStatus.LEAVING)


def note_life(turn: Turn, member: Member, heard_ms: int) -> None:
    """Note that ``member`` lived at ``heard_ms``, and take back what it refutes."""
    heard_ms = min(heard_ms, turn.now_ms)
    if member.heard_ms is not None and heard_ms <= member.heard_ms:
        return
    member.heard_ms = heard_ms
    status = member.status
    # Judged by plain age: what was said before the own pause refutes nothing.
    fresh = turn.now_ms - heard_ms < overdue_ms(member, turn.policy)
    if fresh and status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        member.accusers.clear()
        _quiet(member)
        away = member.withdrawn or member.intent is Intent.LEAVING
        status = MemberStatus.LEAVING if away else MemberStatus.ALIVE
        _tell_revived(turn, member)
    settle(turn, member, status)


def _tell_revived(turn: Turn, member: Member) -> None:
    # It tells everyone that it lives, sooner than its slow heartbeats would.
    if member.status is MemberStatus.DEAD and member.peer.role is Role.ENTRY:
        notice = notice_about(turn, member)
        turn.add(SendNotice((member.peer.host,), notice))


def begin_incarnation(turn: Turn, member: Member, incarnation: int) -> None:
    """Forget what was known of the last process on the host of ``member``."""
    if member.incarnation:
        detail = f"{member.incarnation} to {incarnation}"
        turn.report(events.MEMBER_REPLACED, member.peer.host, detail)
    fresh = Member(peer=member.peer, unlisted_ms=member.unlisted_ms)
    fresh.followed = member.followed
    # A host list that withdrew a host before any process was heard means this one.
    if member.withdrawn and not member.incarnation:
        fresh.withdrawn = True
        fresh.status = MemberStatus.LEAVING
    fresh.incarnation = incarnation
    fresh.received_ms = turn.now_ms
    for field in dataclasses.fields(Member):
        setattr(member, field.name, getattr(fresh, field.name))
    turn.state.peers_changed = True
    turn.add(MemberChanged(member.peer, incarnation, member.status, False))


def meet_newer_self(turn: Turn, incarnation: int) -> None:
    """Go above ``incarnation`` right after the start, and give way to it later."""
    state = turn.state
    young = turn.now_ms - state.started_ms <= turn.policy.settle_ms
    # Once only: two young processes of one host would go above each other for ever.
    if young and not state.raised:
        state.raised = True
        state.incarnation = incarnation + 1
        turn.add(Introduce(tuple(state.members), state.own, state.incarnation))
    elif not state.superseded:
        state.superseded = True
        turn.report(events.PROCESS_SUPERSEDED, state.own.host, str(incarnation))
        turn.add(Supersede(incarnation))


_NOTICE_HANDLERS = {
    MemberStatus.ALIVE: _hear_alive,
    MemberStatus.SUSPECT: _hear_suspect,
    MemberStatus.DEAD: _hear_dead,
    MemberStatus.LEAVING: _hear_leaving,
}
