"""Periodic heartbeats and digests, and announcements of a start or a leave."""

import dataclasses

from .messages import (
    DomainDigest,
    Intent,
    Introduce,
    MemberStatus,
    SendDigest,
    SendHeartbeat,
)
from .peers import Role, rendezvous_hosts
from .state import (
    Context,
    Member,
    MembershipState,
    is_usable,
    live_entries,
    watchers_of,
)


def choose_targets(context: Context) -> None:
    """Update the watchers and the rotation after the domain has changed."""
    state = context.state
    state.watchers = watchers_of(state, state.own.host, context.policy)
    hosts = [
        host
        for host, member in state.members.items()
        if member.peer.domain == state.own.domain
        and (state.own.role is Role.ENTRY or member.peer.role is Role.ENTRY)
    ]
    _update_rotation(state, set(hosts))


def _update_rotation(state: MembershipState, hosts: set[str]) -> None:
    if hosts == set(state.rotation):
        return
    # Hosts keep their order, so that none of them waits longer for its next
    # heartbeat.
    upcoming = [
        host for host in state.rotation[state.rotation_index :] if host in hosts
    ]
    rotation = [host for host in state.rotation if host in hosts]
    for host in sorted(hosts.difference(rotation)):
        rotation.insert(state.rng.randrange(len(rotation) + 1), host)
    state.rotation = tuple(rotation)
    state.rotation_index = rotation.index(upcoming[0]) if upcoming else 0


def introduce(context: Context) -> None:
    """Introduce this process to all members of its domain, once."""
    state = context.state
    hosts = tuple(
        host
        for host, member in state.members.items()
        if member.peer.domain == state.own.domain
    )
    if state.has_introduced or not hosts:
        return
    state.has_introduced = True
    context.add(Introduce(hosts, state.own, state.incarnation))


def send_watcher_heartbeats(context: Context) -> None:
    """Send the heartbeat whose absence shows a failure to the watchers, when due."""
    state, policy = context.state, context.policy
    if context.now_ms < state.next_heartbeat_ms:
        return
    is_agent = state.own.role is Role.AGENT
    period_ms = policy.agent_heartbeat_ms if is_agent else policy.entry_heartbeat_ms
    on_time_ms = state.next_heartbeat_ms + period_ms
    state.next_heartbeat_ms = max(on_time_ms, context.now_ms + period_ms // 2)
    if state.watchers:
        context.add(SendHeartbeat(state.watchers, context.heartbeat(watch=True)))


def send_rotation_heartbeats(context: Context) -> None:
    """Send a full heartbeat to the hosts of the rotation that are due."""
    state, policy = context.state, context.policy
    is_agent = state.own.role is Role.AGENT
    period_ms = policy.agent_rotation_ms if is_agent else policy.entry_rotation_ms
    elapsed_ms = min(context.now_ms - state.rotation_advanced_ms, 4 * policy.tick_ms)
    state.rotation_advanced_ms = context.now_ms
    state.rotation_due += elapsed_ms * len(state.rotation) / period_ms
    count = min(int(state.rotation_due), len(state.rotation))
    state.rotation_due -= count
    hosts = tuple(_next_in_rotation(state) for _ in range(count))
    send_full_heartbeats(context, hosts)


def _next_in_rotation(state: MembershipState) -> str:
    host = state.rotation[state.rotation_index]
    state.rotation_index += 1
    if state.rotation_index == len(state.rotation):
        state.rotation_index = 0
        state.rotation_round += 1
    return host


def send_full_heartbeats(context: Context, hosts: tuple[str, ...]) -> None:
    """Send ``hosts`` a heartbeat with the load and, in some rounds, an offer.

    An offer goes out in one of ``offer_period_rounds`` rounds of the rotation.
    """
    state = context.state
    offer = None
    offer_index, remainder = divmod(
        state.rotation_round, context.policy.offer_period_rounds
    )
    if state.offers and not remainder:
        offer = state.offers[offer_index % len(state.offers)]
    for watch in (False, True):
        chosen = tuple(host for host in hosts if (host in state.watchers) is watch)
        if chosen:
            heartbeat = context.heartbeat(watch=watch, load=state.load, offer=offer)
            context.add(SendHeartbeat(chosen, heartbeat))


def start_leaving(context: Context) -> None:
    """Begin to announce that this process is leaving."""
    state = context.state
    if state.intent is Intent.LEAVING:
        return
    state.intent = Intent.LEAVING
    state.leave_rounds_left = context.policy.leave_rounds
    state.next_leave_ms = context.now_ms
    announce_leave(context)


def announce_leave(context: Context) -> None:
    """Announce the leave to the domain and to recent probers, when a round is due.

    There are several rounds, since a heartbeat may be lost.
    """
    state = context.state
    if not state.leave_rounds_left or context.now_ms < state.next_leave_ms:
        return
    state.leave_rounds_left -= 1
    state.next_leave_ms = context.now_ms + context.policy.leave_interval_ms
    hosts = dict.fromkeys(state.rotation)
    hosts.update(dict.fromkeys(state.probers))
    send_full_heartbeats(context, tuple(hosts))


def send_digests(context: Context) -> None:
    """Send a digest of this domain to another domain, and forward a received one.

    Received digests are forwarded to a few entries of this domain.
    """
    state = context.state
    if state.own.role is not Role.ENTRY or context.now_ms < state.next_digest_ms:
        return
    state.next_digest_ms = context.now_ms + context.policy.digest_interval_ms
    state.digest_round += 1
    _send_own_digest(context)
    _forward_digest(context)


def _send_own_digest(context: Context) -> None:
    state = context.state
    digest_senders = rendezvous_hosts(
        "speaker", live_entries(state), context.policy.watchers
    )
    if state.own.host not in digest_senders or not state.remote_entries:
        return
    hosts = state.remote_entries[state.digest_round % len(state.remote_entries)]
    digest = own_digest(context)
    context.add(SendDigest((state.rng.choice(hosts),), digest))


def _forward_digest(context: Context) -> None:
    state, policy = context.state, context.policy
    state.digests = {
        domain: received
        for domain, received in state.digests.items()
        if context.now_ms - received.made_ms <= policy.digest_age_ms
    }
    entries = [host for host in live_entries(state) if host != state.own.host]
    if not state.digests or not entries:
        return
    domains = sorted(state.digests)
    received = state.digests[domains[state.digest_round % len(domains)]]
    count = min(policy.digest_fanout, len(entries))
    digest = dataclasses.replace(
        received.digest, age_ms=context.now_ms - received.made_ms
    )
    context.add(SendDigest(tuple(state.rng.sample(entries, count)), digest))


def own_digest(context: Context) -> DomainDigest:
    """Return the digest of this entry's domain, made of the members that it knows."""
    state = context.state
    agents = [
        member
        for member in state.members.values()
        if member.peer.role is Role.AGENT and member.peer.domain == state.own.domain
    ]
    live = [m for m in agents if is_usable(context.now_ms, m, context.policy)]
    unavailable = [m for m in agents if m.status is not MemberStatus.ALIVE]
    least_loaded = sorted(live, key=_total_requests)[: context.policy.digest_sample]
    return DomainDigest(
        host=state.own.host,
        domain=state.own.domain,
        age_ms=0,
        endpoints_live=len(live),
        endpoints_gone=len(unavailable),
        running=sum(m.load.running for m in live if m.load),
        waiting=sum(m.load.waiting for m in live if m.load),
        sample=tuple(m.peer.host for m in least_loaded),
    )


def _total_requests(member: Member) -> int:
    if member.load is None:
        return 0
    return member.load.running + member.load.waiting
