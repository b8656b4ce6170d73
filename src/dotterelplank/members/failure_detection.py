"""Failure detection: probes, suspicion, its confirmation, and leases."""

import dataclasses

from .. import events
from .heartbeats import send_full_heartbeats
from .messages import (
    Intent,
    Introduce,
    LinkLost,
    MemberChanged,
    MemberStatus,
    Notice,
    NoticeReceived,
    RequestStatus,
    SendHeartbeat,
    SendNotice,
    SendProbe,
    StatusRequested,
    Supersede,
)
from .peers import Role
from .state import (
    Context,
    Member,
    is_usable,
    lease_ms,
    live_entries,
    overdue_ms,
    set_status,
    silence_ms,
    watchers_of,
)


def check_watched(context: Context) -> None:
    """Probe the watched members that are overdue, and suspect the unresponsive ones.

    A member is watched if it chose this entry as a watcher or if a peer suspects it.
    Due repetitions of death notices are sent too.
    """
    for member in context.state.members.values():
        if member.notices_left:
            _repeat_notice(context, member)
        if not (member.watched or member.has_peer_suspicion):
            continue
        if member.status > MemberStatus.SUSPECT:
            continue
        if silence_ms(context, member) < overdue_ms(member, context.policy):
            if member.status is MemberStatus.ALIVE:
                _clear_probes(member)
        elif context.now_ms >= member.next_probe_ms:
            _probe_or_suspect(context, member)


def _repeat_notice(context: Context, member: Member) -> None:
    if member.status is not MemberStatus.DEAD:
        member.notices_left = 0
    elif context.now_ms >= member.next_notice_ms:
        _broadcast_death(context, member)


def _clear_probes(member: Member) -> None:
    member.probes = 0
    member.has_peer_suspicion = False


def _probe_or_suspect(context: Context, member: Member) -> None:
    member.next_probe_ms = context.now_ms + context.policy.probe_interval_ms
    if member.probes < context.policy.probes:
        member.probes += 1
        probe(context, member)
        return
    _suspect(context, member)


def probe(context: Context, member: Member) -> None:
    """Ask ``member`` for a heartbeat, and one of its watchers for its status.

    Watchers are asked only about members of the own failure domain.
    """
    host = member.peer.host
    context.add(SendProbe(host, context.new_request(host)))
    if member.peer.domain != context.state.own.domain:
        return
    own = context.state.own.host
    confirmers = [
        entry
        for entry in watchers_of(context.state, host, context.policy)
        if entry != own
    ]
    if confirmers:
        confirmer = context.state.rng.choice(confirmers)
        context.add(RequestStatus(confirmer, host, context.new_request(host)))


def _suspect(context: Context, member: Member) -> None:
    member.next_probe_ms = context.now_ms + context.policy.suspicion_timeout_ms // 2
    member.probes = 0
    member.suspecters[context.state.own.host] = context.now_ms
    set_status(context, member, MemberStatus.SUSPECT)
    host = member.peer.host
    own = context.state.own.host
    known = {own, host}
    confirmers = [
        e for e in watchers_of(context.state, host, context.policy) if e != own
    ]
    others = [
        e for e in live_entries(context.state) if e not in known | set(confirmers)
    ]
    count = min(len(others), context.policy.suspecters)
    # Other entries are asked too, since all the watchers may fail with one rack.
    confirmers += context.state.rng.sample(others, count)
    if confirmers:
        notice = notice_about(context, member, context.new_request(host))
        context.add(SendNotice(tuple(confirmers), notice))
    _declare_dead_if_confirmed(context, member)


def notice_about(context: Context, member: Member, nonce: int = 0) -> Notice:
    """Return a notice with the status of ``member`` as this process sees it."""
    status = member.status
    if status is MemberStatus.LEAVING and member.intent is Intent.SERVING:
        # Every process applies the host list itself. A notice says LEAVING only if the
        # member has announced that it leaves.
        status = MemberStatus.ALIVE
    last_seen_ms = member.last_seen_ms
    last_seen_ms_ago = context.now_ms - (
        context.state.started_ms if last_seen_ms is None else last_seen_ms
    )
    return Notice(
        host=context.state.own.host,
        subject=member.peer.host,
        incarnation=member.incarnation,
        status=status,
        last_seen_ms_ago=last_seen_ms_ago,
        nonce=nonce,
    )


def _declare_dead_if_confirmed(context: Context, member: Member) -> None:
    if member.status is not MemberStatus.SUSPECT:
        return
    since_ms = context.now_ms - context.policy.suspicion_timeout_ms
    suspecters = [host for host, ms in member.suspecters.items() if ms >= since_ms]
    voters = [e for e in live_entries(context.state) if e != member.peer.host]
    if len(suspecters) < min(context.policy.suspecters, len(voters)):
        return
    set_status(context, member, MemberStatus.DEAD)
    member.notices_left = context.policy.death_notices
    _broadcast_death(context, member)


def _broadcast_death(context: Context, member: Member) -> None:
    member.notices_left -= 1
    member.next_notice_ms = context.now_ms + context.policy.probe_interval_ms
    hosts = tuple(
        host
        for host, other in context.state.members.items()
        if other.peer.domain == context.state.own.domain
        and other is not member
        and Role.ENTRY in (other.peer.role, member.peer.role)
    )
    if hosts:
        context.add(SendNotice(hosts, notice_about(context, member)))


def scan_leases(context: Context) -> None:
    """Probe agents whose lease is about to expire, and stop using expired ones."""
    state, policy = context.state, context.policy
    if context.now_ms < state.next_scan_ms:
        return
    state.next_scan_ms = context.now_ms + policy.lease_scan_ms
    budget = policy.probes_per_scan
    for member in state.members.values():
        if member.peer.role is not Role.AGENT:
            continue
        if member.usable and not is_usable(context.now_ms, member, policy):
            context.report(events.MEMBER_UNHEARD, member.peer.host)
            set_status(context, member, member.status)
        if budget and _needs_probe(context, member):
            budget -= 1
            age_ms = silence_ms(context, member)
            is_stale = not member.usable and age_ms > lease_ms(member, policy)
            pause_ms = (
                policy.stale_probe_interval_ms if is_stale else policy.lease_scan_ms
            )
            member.next_probe_ms = context.now_ms + pause_ms
            probe(context, member)


def _needs_probe(context: Context, member: Member) -> bool:
    if member.watched or member.status is not MemberStatus.ALIVE:
        return False
    if context.now_ms < member.next_probe_ms:
        return False
    last_seen_ms = member.last_seen_ms
    policy = context.policy
    limit_ms = policy.follow_probe_ms if member.followed else policy.lease_probe_ms
    return last_seen_ms is None or context.now_ms - last_seen_ms >= limit_ms


def expire_silent_entries(context: Context) -> None:
    """Mark entries as dead from which this agent has long received nothing."""
    for member in context.state.members.values():
        if member.status > MemberStatus.SUSPECT or member.peer.role is Role.AGENT:
            continue
        if silence_ms(context, member) >= context.policy.entry_silence_ms:
            set_status(context, member, MemberStatus.DEAD)


def on_status_requested(context: Context, event: StatusRequested) -> None:
    """Send a peer the status of the process that it asked about.

    Nothing is sent about a process from which no heartbeat has been received.
    """
    member = context.state.members.get(event.subject)
    if member is None or member.last_seen_ms is None:
        return
    notice = notice_about(context, member, event.nonce)
    context.add(SendNotice((event.host,), notice))


def on_link_lost(context: Context, event: LinkLost) -> None:
    """Probe the process at the other end of a closed stream immediately."""
    member = context.state.members.get(event.host)
    if member is None or member.status is not MemberStatus.ALIVE:
        return
    probe(context, member)


def on_notice_received(context: Context, event: NoticeReceived) -> None:
    """Apply a peer's notice about another process or about this one."""
    notice = event.notice
    if notice.subject == context.state.own.host:
        _on_notice_about_self(context, notice)
        return
    member = context.state.members.get(notice.subject)
    if member is None or notice.incarnation < member.incarnation:
        return
    if notice.incarnation > member.incarnation:
        begin_incarnation(context, member, notice.incarnation)
    _NOTICE_HANDLERS[notice.status](context, member, notice)


def _on_notice_about_self(context: Context, notice: Notice) -> None:
    if notice.incarnation > context.state.incarnation:
        on_newer_incarnation(context, notice.incarnation)
        return
    if notice.status is MemberStatus.DEAD and context.state.own.role is Role.ENTRY:
        _refute(context, notice.host)
    if notice.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        watch = notice.host in context.state.watchers
        heartbeat = context.heartbeat(watch=watch, load=context.state.load)
        context.add(SendHeartbeat((notice.host,), heartbeat))


def _refute(context: Context, reporter: str) -> None:
    # A single reporter may itself be cut off from the network; the heartbeat that
    # answers its notice is enough then.
    state, policy = context.state, context.policy
    state.reported_dead_ms[reporter] = context.now_ms
    since_ms = context.now_ms - policy.refute_interval_ms
    state.reported_dead_ms = {
        host: reported_ms
        for host, reported_ms in state.reported_dead_ms.items()
        if reported_ms >= since_ms
    }
    if len(state.reported_dead_ms) < policy.refute_quorum:
        return
    if context.now_ms >= state.next_refute_ms:
        state.next_refute_ms = context.now_ms + policy.refute_interval_ms
        send_full_heartbeats(context, state.rotation)


def _on_alive_notice(context: Context, member: Member, notice: Notice) -> None:
    pending = context.state.pending_requests.get(notice.nonce)
    if pending is None or pending.subject != notice.subject:
        return
    last_seen_ms = pending.asked_ms - notice.last_seen_ms_ago
    record_alive(context, member, last_seen_ms)


def _on_suspect_notice(context: Context, member: Member, notice: Notice) -> None:
    if member.status > MemberStatus.SUSPECT:
        context.add(
            SendNotice((notice.host,), notice_about(context, member, notice.nonce))
        )
        return
    if silence_ms(context, member) < overdue_ms(member, context.policy):
        if member.last_seen_ms is not None:
            reply = notice_about(context, member, notice.nonce)
            context.add(SendNotice((notice.host,), reply))
        return
    is_new = notice.host not in member.suspecters
    member.suspecters[notice.host] = context.now_ms
    member.has_peer_suspicion = True
    own_ms = member.suspecters.get(context.state.own.host)
    if is_new and own_ms is not None:
        context.add(SendNotice((notice.host,), notice_about(context, member)))
    _declare_dead_if_confirmed(context, member)


def _on_dead_notice(context: Context, member: Member, notice: Notice) -> None:
    if context.state.stale_ticks:
        # The notice may have waited in the socket while this process was paused.
        member.has_peer_suspicion = True
        return
    slack_ms = context.policy.slack_ms
    last_ms = context.now_ms - notice.last_seen_ms_ago + slack_ms
    if member.status > MemberStatus.SUSPECT:
        return
    if member.last_seen_ms is not None and member.last_seen_ms > last_ms:
        _suspect_until_answer(context, member, notice.host)
        return
    set_status(context, member, MemberStatus.DEAD)


def _suspect_until_answer(context: Context, member: Member, reporter: str) -> None:
    # This process has seen the member later than the reporter has. The member gets
    # no new work until it answers a probe.
    member.suspecters[reporter] = context.now_ms
    member.has_peer_suspicion = True
    set_status(context, member, MemberStatus.SUSPECT)
    if context.now_ms >= member.next_probe_ms:
        member.next_probe_ms = context.now_ms + context.policy.probe_interval_ms
        probe(context, member)


def _on_leaving_notice(context: Context, member: Member, notice: Notice) -> None:
    member.intent = Intent.LEAVING
    set_status(context, member, MemberStatus.LEAVING)


def record_alive(context: Context, member: Member, last_seen_ms: int) -> None:
    """Record that ``member`` was alive at ``last_seen_ms``.

    A recent ``last_seen_ms`` also ends the status SUSPECT or DEAD.
    """
    last_seen_ms = min(last_seen_ms, context.now_ms)
    if member.last_seen_ms is not None and last_seen_ms <= member.last_seen_ms:
        return
    member.last_seen_ms = last_seen_ms
    status = member.status
    # The age is compared without the allowance for a pause of this process: a
    # heartbeat sent before the pause must not end a suspicion.
    is_recent = context.now_ms - last_seen_ms < overdue_ms(member, context.policy)
    if is_recent and status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        member.suspecters.clear()
        _clear_probes(member)
        is_leaving = member.withdrawn or member.intent is Intent.LEAVING
        status = MemberStatus.LEAVING if is_leaving else MemberStatus.ALIVE
        _notify_revived(context, member)
    set_status(context, member, status)


def _notify_revived(context: Context, member: Member) -> None:
    # The entry answers the notice with heartbeats to everyone, which arrive sooner
    # than those of its slow rotation.
    if member.status is MemberStatus.DEAD and member.peer.role is Role.ENTRY:
        notice = notice_about(context, member)
        context.add(SendNotice((member.peer.host,), notice))


def begin_incarnation(context: Context, member: Member, incarnation: int) -> None:
    """Reset ``member`` to a new incarnation, without the state of the last one."""
    if member.incarnation:
        detail = f"{member.incarnation} to {incarnation}"
        context.report(events.MEMBER_REPLACED, member.peer.host, detail)
    fresh = Member(peer=member.peer, unlisted_ms=member.unlisted_ms)
    fresh.followed = member.followed
    # If the host list withdrew the host before any incarnation was known, the
    # withdrawal applies to this incarnation.
    if member.withdrawn and not member.incarnation:
        fresh.withdrawn = True
        fresh.status = MemberStatus.LEAVING
    fresh.incarnation = incarnation
    fresh.received_ms = context.now_ms
    for field in dataclasses.fields(Member):
        setattr(member, field.name, getattr(fresh, field.name))
    context.state.peers_changed = True
    context.add(MemberChanged(member.peer, incarnation, member.status, False))


def on_newer_incarnation(context: Context, incarnation: int) -> None:
    """Handle a report that a newer incarnation of this process's host exists.

    Soon after the start this process raises its own incarnation above the reported
    one, once. In all other cases it treats itself as superseded.
    """
    state = context.state
    is_starting = context.now_ms - state.started_ms <= context.policy.raise_grace_ms
    # The incarnation is raised only once. Otherwise two processes that start at the
    # same time on one host would raise theirs in turn without end.
    if is_starting and not state.has_raised:
        state.has_raised = True
        state.incarnation = incarnation + 1
        context.add(Introduce(tuple(state.members), state.own, state.incarnation))
    elif not state.superseded:
        state.superseded = True
        context.report(events.PROCESS_SUPERSEDED, state.own.host, str(incarnation))
        context.add(Supersede(incarnation))


_NOTICE_HANDLERS = {
    MemberStatus.ALIVE: _on_alive_notice,
    MemberStatus.SUSPECT: _on_suspect_notice,
    MemberStatus.DEAD: _on_dead_notice,
    MemberStatus.LEAVING: _on_leaving_notice,
}
