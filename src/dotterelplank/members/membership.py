"""Decisions on which processes are alive, leaving, or usable for new work.

Each process sends frequent heartbeats to a few entries of its failure domain, its
watchers, and full heartbeats to all entries in rotation. A watcher that receives no
heartbeats from a process probes it, then suspects it, and declares it dead once a
second entry suspects it too; it then notifies the domain. An entry also gives no new
work to an endpoint whose lease has expired, which is one that it has not seen alive
recently. The caller calls :func:`decide` for each event, drains its sockets before
each :class:`~dotterelplank.members.messages.Tick`, and executes the returned commands
in order.
"""

import typing as t

from .. import events
from .failure_detection import (
    begin_incarnation,
    check_watched,
    expire_silent_entries,
    on_link_lost,
    on_newer_incarnation,
    on_notice_received,
    on_status_requested,
    probe,
    record_alive,
    scan_leases,
)
from .heartbeats import (
    announce_leave,
    choose_targets,
    introduce,
    send_digests,
    send_rotation_heartbeats,
    send_watcher_heartbeats,
    start_leaving,
)
from .host_list import (
    follow,
    notify_superseded,
    on_host_list,
    on_introduced,
    publish_peers,
    refresh_usable,
    remove_unlisted,
)
from .messages import (
    Command,
    DigestReceived,
    Event,
    Follow,
    Heartbeat,
    HeartbeatReceived,
    HostListAdopted,
    Intent,
    Introduce,
    IntroductionRequested,
    LeaveRequested,
    LinkLost,
    LoadMeasured,
    MemberStatus,
    NoticeReceived,
    OffersChanged,
    PeerIntroduced,
    PeersSeeded,
    ProbeReceived,
    RequestIntroduction,
    SendHeartbeat,
    StatusRequested,
    Tick,
)
from .peers import Role
from .state import (
    PPM,
    Context,
    Member,
    MembershipPolicy,
    MembershipState,
    ReceivedDigest,
    is_usable,
    set_status,
    start,
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
        _reset_clock(context, gap_ms)
    elif gap_ms > context.policy.pause_ms:
        context.report(events.OWN_PAUSE, state.own.host, f"{gap_ms} ms")
        _reset_suspicions(context)


def _reset_suspicions(context: Context) -> None:
    context.state.silence_from_ms = context.now_ms
    context.state.stale_ticks = context.policy.pause_ticks
    for member in context.state.members.values():
        member.probes = 0
        member.suspecters.clear()
        refresh_usable(context, member)


def _reset_clock(context: Context, gap_ms: int) -> None:
    state = context.state
    context.report(events.CLOCK_WENT_BACK, state.own.host, f"{gap_ms} ms")
    for member in state.members.values():
        member.last_seen_ms = None
        member.offset_ms = None
        member.received_ms = context.now_ms
        member.next_probe_ms = context.now_ms
        member.superseded_notice_ms = None
        member.next_notice_ms = context.now_ms
    _reset_suspicions(context)
    state.started_ms = min(state.started_ms, context.now_ms)
    state.rotation_advanced_ms = context.now_ms
    state.next_heartbeat_ms = state.next_scan_ms = context.now_ms
    state.next_digest_ms = state.next_leave_ms = context.now_ms
    state.next_refute_ms = context.now_ms
    state.reported_dead_ms.clear()
    state.pending_requests.clear()
    state.asked_ms.clear()
    state.probers.clear()
    state.digests.clear()


def _on_tick(context: Context, event: Tick) -> None:
    state = context.state
    state.stale_ticks = max(0, state.stale_ticks - 1)
    _expire(context)
    if state.peers_changed:
        publish_peers(context)
        choose_targets(context)
        introduce(context)
    if state.superseded:
        return
    announce_leave(context)
    send_watcher_heartbeats(context)
    send_rotation_heartbeats(context)
    if state.own.role is Role.AGENT:
        expire_silent_entries(context)
        return
    check_watched(context)
    scan_leases(context)
    send_digests(context)


def _expire(context: Context) -> None:
    state, policy = context.state, context.policy
    oldest_ms = context.now_ms - policy.request_timeout_ms
    # The requests stand in the order in which they were sent, oldest first.
    for nonce in list(state.pending_requests):
        if state.pending_requests[nonce].asked_ms > oldest_ms:
            break
        del state.pending_requests[nonce]
    for host, probed_ms in list(state.probers.items()):
        if context.now_ms - probed_ms > policy.prober_timeout_ms:
            del state.probers[host]
    if len(state.asked_ms) > len(state.members) + len(state.remote_peers):
        state.asked_ms.clear()
    remove_unlisted(context)


def _on_heartbeat(context: Context, event: HeartbeatReceived) -> None:
    heartbeat = event.heartbeat
    state = context.state
    if heartbeat.host == state.own.host:
        if heartbeat.incarnation > state.incarnation:
            on_newer_incarnation(context, heartbeat.incarnation)
        return
    member = state.members.get(heartbeat.host)
    if member is None:
        _ask_introduction(context, heartbeat.host)
        return
    if heartbeat.incarnation < member.incarnation:
        notify_superseded(context, member)
        return
    if heartbeat.incarnation > member.incarnation:
        begin_incarnation(context, member, heartbeat.incarnation)
    if heartbeat.sequence > member.sequence:
        _apply_heartbeat(context, member, heartbeat)


def _ask_introduction(context: Context, host: str) -> None:
    state = context.state
    if host in state.remote_peers:
        return
    last_ms = state.asked_ms.get(host)
    if (
        last_ms is not None
        and context.now_ms < last_ms + context.policy.introduction_interval_ms
    ):
        return
    state.asked_ms[host] = context.now_ms
    context.add(RequestIntroduction(host))


def _apply_heartbeat(context: Context, member: Member, heartbeat: Heartbeat) -> None:
    member.sequence = heartbeat.sequence
    member.watched = heartbeat.watch
    if heartbeat.load is not None:
        member.load = heartbeat.load
    _update_clock_offset(context, member, heartbeat)
    member.received_ms = context.now_ms
    if heartbeat.intent is Intent.LEAVING and member.intent is Intent.SERVING:
        member.intent = Intent.LEAVING
        set_status(context, member, MemberStatus.LEAVING)
    record_alive(context, member, int(heartbeat.sent_ms + member.offset_ms))
    if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        _recheck_clock(context, member)


def _recheck_clock(context: Context, member: Member) -> None:
    # Heartbeats arrive but seem old, so one of the two clocks may have jumped. The
    # answer to a probe corrects the clock offset.
    if context.state.own.role is Role.ENTRY and context.now_ms >= member.next_probe_ms:
        member.next_probe_ms = context.now_ms + context.policy.stale_probe_interval_ms
        probe(context, member)


def _update_clock_offset(
    context: Context, member: Member, heartbeat: Heartbeat
) -> None:
    offset_ms = context.now_ms - heartbeat.sent_ms
    if member.offset_ms is not None:
        elapsed_ms = context.now_ms - member.received_ms
        drift_ms = elapsed_ms * context.policy.drift_ppm / PPM
        offset_ms = min(offset_ms, member.offset_ms + drift_ms)
    pending = context.state.pending_requests.pop(heartbeat.echo, None)
    if pending is not None and pending.subject == heartbeat.host:
        # The answer was sent after the request, even if a clock has jumped. This bounds
        # the offset from below.
        offset_ms = max(offset_ms, pending.asked_ms - heartbeat.sent_ms)
    member.offset_ms = offset_ms


def _on_introduction_requested(context: Context, event: IntroductionRequested) -> None:
    state = context.state
    context.add(Introduce((event.host,), state.own, state.incarnation))


def _on_probe(context: Context, event: ProbeReceived) -> None:
    state = context.state
    if state.superseded:
        return
    if event.host not in state.rotation:
        state.probers[event.host] = context.now_ms
    watch = event.host in state.watchers
    heartbeat = context.heartbeat(watch=watch, load=state.load, echo=event.nonce)
    context.add(SendHeartbeat((event.host,), heartbeat))


def _on_digest(context: Context, event: DigestReceived) -> None:
    digest = event.digest
    made_ms = context.now_ms - digest.age_ms
    if digest.domain == context.state.own.domain:
        return
    received = context.state.digests.get(digest.domain)
    if received is None or made_ms > received.made_ms:
        context.state.digests[digest.domain] = ReceivedDigest(digest, made_ms)


def _on_load(context: Context, event: LoadMeasured) -> None:
    context.state.load = event.load


def _on_offers(context: Context, event: OffersChanged) -> None:
    context.state.offers = event.offers


def _on_seeds(context: Context, event: PeersSeeded) -> None:
    context.state.seeds = event.peers
    context.state.peers_changed = True


def _on_leave(context: Context, event: LeaveRequested) -> None:
    start_leaving(context)


def _on_follow(context: Context, event: Follow) -> None:
    follow(context, event.hosts)


_HANDLERS: dict[type, t.Callable[[Context, t.Any], None]] = {
    Tick: _on_tick,
    HeartbeatReceived: _on_heartbeat,
    PeerIntroduced: on_introduced,
    IntroductionRequested: _on_introduction_requested,
    HostListAdopted: on_host_list,
    PeersSeeded: _on_seeds,
    ProbeReceived: _on_probe,
    NoticeReceived: on_notice_received,
    StatusRequested: on_status_requested,
    DigestReceived: _on_digest,
    LinkLost: on_link_lost,
    LoadMeasured: _on_load,
    OffersChanged: _on_offers,
    LeaveRequested: _on_leave,
    Follow: _on_follow,
}
