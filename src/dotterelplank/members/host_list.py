"""Changes to the members by the platform's host list and by introductions."""

from .. import events
from .failure_detection import begin_incarnation
from .messages import (
    HostListAdopted,
    Intent,
    ListedHost,
    MemberChanged,
    MemberStatus,
    Notice,
    PeerIntroduced,
    PeersKnown,
    ReplyToSender,
)
from .peers import Peer, Role
from .state import Context, Member, is_usable, set_status


def on_host_list(context: Context, event: HostListAdopted) -> None:
    """Apply a newer version of the host list; ignore an older one."""
    state = context.state
    if event.version <= state.list_version:
        return
    state.list_version = event.version
    state.peers_changed = True
    listed = {listed_host.peer.host: listed_host for listed_host in event.hosts}
    listed.pop(state.own.host, None)
    _update_remote_peers(context, [listed_host.peer for listed_host in listed.values()])
    for host, listed_host in listed.items():
        if listed_host.peer.domain == state.own.domain:
            _apply_listed(context, host, listed_host)
    for host, member in list(state.members.items()):
        if host not in listed:
            _mark_unlisted(context, member)


def _update_remote_peers(context: Context, peers: list[Peer]) -> None:
    state = context.state
    state.remote_peers = {p.host: p for p in peers if p.domain != state.own.domain}
    entries: dict[str, list[str]] = {}
    for peer in state.remote_peers.values():
        if peer.role is Role.ENTRY:
            entries.setdefault(peer.domain, []).append(peer.host)
    state.remote_entries = tuple(tuple(entries[name]) for name in sorted(entries))


def _apply_listed(context: Context, host: str, listed_host: ListedHost) -> None:
    member = context.state.members.get(host)
    if member is None:
        member = context.state.members[host] = Member(
            listed_host.peer, received_ms=context.now_ms
        )
    member.unlisted_ms = None
    if listed_host.leaving:
        _withdraw(context, member)
    elif member.withdrawn:
        _restore(context, member)


def _withdraw(context: Context, member: Member) -> None:
    member.withdrawn = True
    set_status(context, member, MemberStatus.LEAVING)


def _restore(context: Context, member: Member) -> None:
    member.withdrawn = False
    if member.intent is Intent.SERVING and member.status is MemberStatus.LEAVING:
        set_status(context, member, MemberStatus.ALIVE)


def _mark_unlisted(context: Context, member: Member) -> None:
    # Nothing changes for a host that is already unlisted. This includes a host that
    # introduced itself before the list showed it.
    if member.unlisted_ms is not None:
        return
    member.unlisted_ms = context.now_ms
    if member.last_seen_ms is not None and member.status is MemberStatus.ALIVE:
        context.report(events.MEMBER_DROPPED, member.peer.host)
    _withdraw(context, member)


def remove_unlisted(context: Context) -> None:
    """Remove members that have long been unlisted and not been seen either."""
    forget_ms = context.now_ms - context.policy.forget_ms
    for host, member in list(context.state.members.items()):
        if member.unlisted_ms is None or member.unlisted_ms > forget_ms:
            continue
        if member.last_seen_ms is None or member.last_seen_ms <= forget_ms:
            del context.state.members[host]
            context.state.peers_changed = True


def on_introduced(context: Context, event: PeerIntroduced) -> None:
    """Add or update a process that proved its membership, listed or not."""
    state = context.state
    if event.peer.host == state.own.host:
        return
    if event.peer.domain != state.own.domain:
        state.remote_peers.setdefault(event.peer.host, event.peer)
        return
    member = state.members.get(event.peer.host)
    if member is None:
        member = Member(event.peer, received_ms=context.now_ms)
        member.unlisted_ms = context.now_ms
        state.members[event.peer.host] = member
        context.report(events.MEMBER_UNLISTED, event.peer.host)
    if event.incarnation > member.incarnation:
        begin_incarnation(context, member, event.incarnation)
    elif event.incarnation < member.incarnation:
        notify_superseded(context, member)
    state.peers_changed = True


def notify_superseded(context: Context, member: Member) -> None:
    """Notify the sender of the current event that a newer incarnation is known.

    At most one notice per introduction interval is sent for a member.
    """
    last_ms = member.superseded_notice_ms
    if (
        last_ms is not None
        and context.now_ms < last_ms + context.policy.introduction_interval_ms
    ):
        return
    member.superseded_notice_ms = context.now_ms
    notice = Notice(
        host=context.state.own.host,
        subject=member.peer.host,
        incarnation=member.incarnation,
        status=member.status,
        last_seen_ms_ago=0,
    )
    context.add(ReplyToSender(notice))


def follow(context: Context, hosts: tuple[str, ...]) -> None:
    """Replace the endpoints of other domains that this entry follows.

    At most ``max_followed`` of ``hosts`` are followed. Unknown hosts are ignored.
    """
    state = context.state
    wanted = tuple(h for h in hosts if h in state.remote_peers)[
        : context.policy.max_followed
    ]
    for host in state.followed:
        member = state.members.get(host)
        if host not in wanted and member is not None:
            del state.members[host]
            gone = (member.peer, member.incarnation, member.status, False)
            context.add(MemberChanged(*gone))
    for host in wanted:
        if host not in state.members:
            member = Member(state.remote_peers[host], received_ms=context.now_ms)
            member.followed = True
            state.members[host] = member
    state.followed = wanted


def publish_peers(context: Context) -> None:
    """Add the command with the peers to exchange revisions with.

    The seed peers are included until a host list is in force.
    """
    state = context.state
    state.peers_changed = False
    domain = tuple(
        member.peer
        for member in state.members.values()
        if member.peer.domain == state.own.domain
        and member.status <= MemberStatus.SUSPECT
    )
    remote_peers = tuple(state.remote_peers.values())
    if not state.list_version:
        known = {peer.host for peer in (*domain, *remote_peers, state.own)}
        seeds = [peer for peer in state.seeds if peer.host not in known]
        domain += tuple(p for p in seeds if p.domain == state.own.domain)
        remote_peers += tuple(p for p in seeds if p.domain != state.own.domain)
    context.add(PeersKnown(domain, remote_peers))


def refresh_usable(context: Context, member: Member) -> None:
    """Update whether ``member`` is usable; its status stays the same."""
    if member.usable != is_usable(context.now_ms, member, context.policy):
        set_status(context, member, member.status)
