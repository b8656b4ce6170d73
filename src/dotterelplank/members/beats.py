"""Heartbeats and digests that a process sends without being asked."""

import dataclasses

from .messages import (
    DomainDigest,
    Intent,
    Introduce,
    MemberStatus,
    SendDigest,
    SendHeartbeat,
)
from .peers import Role, highest
from .state import Member, MembershipState, Turn, is_usable, live_entries, watchers_of


def plan(turn: Turn) -> None:
    """Choose anew whom to send heartbeats to, after the domain has changed."""
    state = turn.state
    state.watchers = watchers_of(state, state.own.host, turn.policy)
    hosts = [
        host
        for host, member in state.members.items()
        if member.peer.domain == state.own.domain
        and (state.own.role is Role.ENTRY or member.peer.role is Role.ENTRY)
    ]
    _change_mesh(state, set(hosts))


def _change_mesh(state: MembershipState, hosts: set[str]) -> None:
    if hosts == set(state.mesh):
        return
    # The order stays, so that nobody waits longer for its turn.
    upcoming = [host for host in state.mesh[state.mesh_at :] if host in hosts]
    mesh = [host for host in state.mesh if host in hosts]
    for host in sorted(hosts.difference(mesh)):
        mesh.insert(state.draw.randrange(len(mesh) + 1), host)
    state.mesh = tuple(mesh)
    state.mesh_at = mesh.index(upcoming[0]) if upcoming else 0


def introduce(turn: Turn) -> None:
    """Tell the whole domain once that this process exists."""
    state = turn.state
    hosts = tuple(
        host
        for host, member in state.members.items()
        if member.peer.domain == state.own.domain
    )
    if state.introduced or not hosts:
        return
    state.introduced = True
    turn.add(Introduce(hosts, state.own, state.incarnation))


def beat_watchers(turn: Turn) -> None:
    """Send the heartbeat by which the watchers notice a death."""
    state, policy = turn.state, turn.policy
    if turn.now_ms < state.next_watch_ms:
        return
    is_agent = state.own.role is Role.AGENT
    period_ms = policy.agent_watch_ms if is_agent else policy.entry_watch_ms
    on_time_ms = state.next_watch_ms + period_ms
    state.next_watch_ms = max(on_time_ms, turn.now_ms + period_ms // 2)
    if state.watchers:
        turn.add(SendHeartbeat(state.watchers, turn.heartbeat(watch=True)))


def beat_mesh(turn: Turn) -> None:
    """Send a full heartbeat to the next few hosts of the domain."""
    state, policy = turn.state, turn.policy
    is_agent = state.own.role is Role.AGENT
    period_ms = policy.agent_mesh_ms if is_agent else policy.entry_mesh_ms
    elapsed_ms = min(turn.now_ms - state.mesh_ms, 4 * policy.tick_ms)
    state.mesh_ms = turn.now_ms
    state.mesh_due += elapsed_ms * len(state.mesh) / period_ms
    count = min(int(state.mesh_due), len(state.mesh))
    state.mesh_due -= count
    hosts = tuple(_next_in_mesh(state) for _ in range(count))
    send_full(turn, hosts)


def _next_in_mesh(state: MembershipState) -> str:
    host = state.mesh[state.mesh_at]
    state.mesh_at += 1
    if state.mesh_at == len(state.mesh):
        state.mesh_at = 0
        state.mesh_round += 1
    return host


def send_full(turn: Turn, hosts: tuple[str, ...]) -> None:
    """Send ``hosts`` a heartbeat with the load and an offer."""
    state = turn.state
    offer = None
    turn_number, rest = divmod(state.mesh_round, turn.policy.offer_period)
    if state.offers and not rest:
        offer = state.offers[turn_number % len(state.offers)]
    for watch in (False, True):
        chosen = tuple(host for host in hosts if (host in state.watchers) is watch)
        if chosen:
            beat = turn.heartbeat(watch=watch, load=state.load, offer=offer)
            turn.add(SendHeartbeat(chosen, beat))


def order_leave(turn: Turn) -> None:
    """Begin to tell everyone that this process leaves."""
    state = turn.state
    if state.intent is Intent.LEAVING:
        return
    state.intent = Intent.LEAVING
    state.leave_rounds_left = turn.policy.leave_rounds
    state.next_leave_ms = turn.now_ms
    announce_leave(turn)


def announce_leave(turn: Turn) -> None:
    """Tell the domain and recent probers that this process leaves, several times."""
    state = turn.state
    if not state.leave_rounds_left or turn.now_ms < state.next_leave_ms:
        return
    state.leave_rounds_left -= 1
    state.next_leave_ms = turn.now_ms + turn.policy.leave_interval_ms
    hosts = dict.fromkeys(state.mesh)
    hosts.update(dict.fromkeys(state.probers))
    send_full(turn, tuple(hosts))


def send_digests(turn: Turn) -> None:
    """Tell another domain about this one, and a few entries here about another."""
    state = turn.state
    if state.own.role is not Role.ENTRY or turn.now_ms < state.next_digest_ms:
        return
    state.next_digest_ms = turn.now_ms + turn.policy.digest_interval_ms
    state.digest_turn += 1
    _tell_elsewhere(turn)
    _pass_on(turn)


def _tell_elsewhere(turn: Turn) -> None:
    state = turn.state
    speakers = highest("speaker", live_entries(state), turn.policy.watchers)
    if state.own.host not in speakers or not state.elsewhere_entries:
        return
    hosts = state.elsewhere_entries[state.digest_turn % len(state.elsewhere_entries)]
    digest = own_digest(turn)
    turn.add(SendDigest((state.draw.choice(hosts),), digest))


def _pass_on(turn: Turn) -> None:
    state, policy = turn.state, turn.policy
    state.digests = {
        domain: held
        for domain, held in state.digests.items()
        if turn.now_ms - held.made_ms <= policy.digest_age_ms
    }
    entries = [host for host in live_entries(state) if host != state.own.host]
    if not state.digests or not entries:
        return
    domains = sorted(state.digests)
    held = state.digests[domains[state.digest_turn % len(domains)]]
    count = min(policy.digest_fanout, len(entries))
    digest = dataclasses.replace(held.digest, age_ms=turn.now_ms - held.made_ms)
    turn.add(SendDigest(tuple(state.draw.sample(entries, count)), digest))


def own_digest(turn: Turn) -> DomainDigest:
    """Return the digest of the own domain as this entry sees it."""
    state = turn.state
    agents = [
        member
        for member in state.members.values()
        if member.peer.role is Role.AGENT and member.peer.domain == state.own.domain
    ]
    live = [m for m in agents if is_usable(turn.now_ms, m, turn.policy)]
    gone = [m for m in agents if m.status is not MemberStatus.ALIVE]
    least = sorted(live, key=_work)[: turn.policy.digest_sample]
    return DomainDigest(
        host=state.own.host,
        domain=state.own.domain,
        age_ms=0,
        endpoints_live=len(live),
        endpoints_gone=len(gone),
        running=sum(m.load.running for m in live if m.load),
        waiting=sum(m.load.waiting for m in live if m.load),
        sample=tuple(m.peer.host for m in least),
    )


def _work(member: Member) -> int:
    if member.load is None:
        return 0
    return member.load.running + member.load.waiting
