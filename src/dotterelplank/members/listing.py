"""What the platform's host list and introductions say of who belongs to the system."""

from .. import events
from .messages import (
    AnswerSender,
    HostListAdopted,
    Intent,
    ListedHost,
    MemberChanged,
    MemberStatus,
    Notice,
    PeerIntroduced,
    PeersKnown,
)
from .peers import Peer, Role
from .state import Member, Turn, is_usable, settle
from .watch import begin_incarnation


def on_host_list(turn: Turn, event: HostListAdopted) -> None:
    """Take in a newer version of the host list."""
    state = turn.state
    if event.version <= state.list_version:
        return
    state.list_version = event.version
    state.peers_changed = True
    listed = {shown.peer.host: shown for shown in event.hosts}
    listed.pop(state.own.host, None)
    _hold_elsewhere(turn, [shown.peer for shown in listed.values()])
    for host, shown in listed.items():
        if shown.peer.domain == state.own.domain:
            _show(turn, host, shown)
    for host, member in list(state.members.items()):
        if host not in listed:
            _drop(turn, member)


def _hold_elsewhere(turn: Turn, peers: list[Peer]) -> None:
    state = turn.state
    state.elsewhere = {p.host: p for p in peers if p.domain != state.own.domain}
    entries: dict[str, list[str]] = {}
    for peer in state.elsewhere.values():
        if peer.role is Role.ENTRY:
            entries.setdefault(peer.domain, []).append(peer.host)
    state.elsewhere_entries = tuple(tuple(entries[name]) for name in sorted(entries))


def _show(turn: Turn, host: str, shown: ListedHost) -> None:
    member = turn.state.members.get(host)
    if member is None:
        member = turn.state.members[host] = Member(shown.peer, received_ms=turn.now_ms)
    member.unlisted_ms = None
    if shown.leaving:
        _withdraw(turn, member)
    elif member.withdrawn:
        _restore(turn, member)


def _withdraw(turn: Turn, member: Member) -> None:
    member.withdrawn = True
    settle(turn, member, MemberStatus.LEAVING)


def _restore(turn: Turn, member: Member) -> None:
    member.withdrawn = False
    if member.intent is Intent.SERVING and member.status is MemberStatus.LEAVING:
        settle(turn, member, MemberStatus.ALIVE)


def _drop(turn: Turn, member: Member) -> None:
    # A host that no version has shown yet is merely ahead of the list.
    if member.unlisted_ms is not None:
        return
    member.unlisted_ms = turn.now_ms
    if member.heard_ms is not None and member.status is MemberStatus.ALIVE:
        turn.report(events.MEMBER_DROPPED, member.peer.host)
    _withdraw(turn, member)


def forget_dropped(turn: Turn) -> None:
    """Forget those that the list doesn't show and that have been silent for long."""
    forget_ms = turn.now_ms - turn.policy.forget_ms
    for host, member in list(turn.state.members.items()):
        if member.unlisted_ms is None or member.unlisted_ms > forget_ms:
            continue
        if member.heard_ms is None or member.heard_ms <= forget_ms:
            del turn.state.members[host]
            turn.state.peers_changed = True


def on_introduced(turn: Turn, event: PeerIntroduced) -> None:
    """Take in a process that proved its membership, listed or not."""
    state = turn.state
    if event.peer.host == state.own.host:
        return
    if event.peer.domain != state.own.domain:
        state.elsewhere.setdefault(event.peer.host, event.peer)
        return
    member = state.members.get(event.peer.host)
    if member is None:
        member = Member(event.peer, received_ms=turn.now_ms)
        member.unlisted_ms = turn.now_ms
        state.members[event.peer.host] = member
        turn.report(events.MEMBER_UNLISTED, event.peer.host)
    if event.incarnation > member.incarnation:
        begin_incarnation(turn, member, event.incarnation)
    elif event.incarnation < member.incarnation:
        correct(turn, member)
    state.peers_changed = True


def correct(turn: Turn, member: Member) -> None:
    """Tell an old process on a host that a newer one has been heard."""
    last_ms = member.corrected_ms
    if last_ms is not None and turn.now_ms < last_ms + turn.policy.ask_interval_ms:
        return
    member.corrected_ms = turn.now_ms
    told = Notice(
        host=turn.state.own.host,
        subject=member.peer.host,
        incarnation=member.incarnation,
        status=member.status,
        unheard_ms=0,
    )
    turn.add(AnswerSender(told))


def follow(turn: Turn, hosts: tuple[str, ...]) -> None:
    """Hear the endpoints of other domains that this entry wants to use."""
    state = turn.state
    wanted = tuple(h for h in hosts if h in state.elsewhere)[: turn.policy.follow_max]
    for host in state.followed:
        member = state.members.get(host)
        if host not in wanted and member is not None:
            del state.members[host]
            gone = (member.peer, member.incarnation, member.status, False)
            turn.add(MemberChanged(*gone))
    for host in wanted:
        if host not in state.members:
            member = Member(state.elsewhere[host], received_ms=turn.now_ms)
            member.followed = True
            state.members[host] = member
    state.followed = wanted


def tell_peers(turn: Turn) -> None:
    """Tell whom revisions are exchanged with, after a change."""
    state = turn.state
    state.peers_changed = False
    domain = tuple(
        member.peer
        for member in state.members.values()
        if member.peer.domain == state.own.domain
        and member.status <= MemberStatus.SUSPECT
    )
    elsewhere = tuple(state.elsewhere.values())
    if not state.list_version:
        known = {peer.host for peer in (*domain, *elsewhere, state.own)}
        seeds = [peer for peer in state.seeds if peer.host not in known]
        domain += tuple(p for p in seeds if p.domain == state.own.domain)
        elsewhere += tuple(p for p in seeds if p.domain != state.own.domain)
    turn.add(PeersKnown(domain, elsewhere))


def refresh(turn: Turn, member: Member) -> None:
    """Tell anew whether ``member`` is usable, without another judgement."""
    if member.usable != is_usable(turn.now_ms, member, turn.policy):
        settle(turn, member, member.status)
