"""What one process knows of the others, and the policy by which it judges them."""

import dataclasses
import random
import typing as t

from .. import events
from .messages import (
    Command,
    DomainDigest,
    Heartbeat,
    Intent,
    Load,
    MemberChanged,
    MemberStatus,
    Report,
)
from .peers import Peer, Role, rendezvous_hosts
from .revision_messages import Offer

PPM = 1_000_000


@dataclasses.dataclass(frozen=True)
class MembershipPolicy:
    """Bounds and periods of membership.

    :param agent_heartbeat_ms: period of an agent's heartbeats to its watchers.
    :param agent_rotation_ms: period in which an agent reaches each entry of its domain.
    :param offer_period_rounds: rounds of full heartbeats of which one carries an offer.
    :param death_notices: how often a death is told, since each may be lost.
    :param max_missed: heartbeats that may be missed before a watcher probes.
    :param lease_ms: how old a sign of life may be for new work to be given.
    :param follow_lease_ms: the same for an endpoint of another domain.
    :param refute_quorum: hosts that must call a live entry dead before it tells all.
    :param pause_ms: a gap between two events that means a pause of this process.
    :param raise_grace_ms: how long after its start a process may raise its incarnation.
    """

    tick_ms: int = 50
    watchers: int = 3
    suspecters: int = 2
    agent_heartbeat_ms: int = 300
    entry_heartbeat_ms: int = 600
    agent_rotation_ms: int = 2_500
    entry_rotation_ms: int = 60_000
    offer_period_rounds: int = 4
    max_missed: int = 2
    slack_ms: int = 60
    probes: int = 3
    probe_interval_ms: int = 50
    death_notices: int = 3
    lease_ms: int = 2_900
    lease_probe_ms: int = 2_600
    lease_scan_ms: int = 100
    stale_probe_interval_ms: int = 1_200
    probes_per_scan: int = 48
    suspicion_timeout_ms: int = 2_000
    entry_silence_ms: int = 200_000
    pause_ms: int = 250
    pause_ticks: int = 2
    raise_grace_ms: int = 2_000
    forget_ms: int = 60_000
    leave_rounds: int = 4
    leave_interval_ms: int = 200
    follow_probe_ms: int = 400
    follow_lease_ms: int = 950
    max_followed: int = 4
    refute_interval_ms: int = 10_000
    refute_quorum: int = 2
    prober_timeout_ms: int = 5_000
    introduction_interval_ms: int = 1_000
    request_timeout_ms: int = 2_000
    digest_interval_ms: int = 2_000
    digest_fanout: int = 2
    digest_sample: int = 4
    digest_age_ms: int = 15_000
    drift_ppm: int = 200


@dataclasses.dataclass(slots=True)
class Member:
    """Another process.

    :param last_seen_ms: when it surely lived, on the own clock; ``None`` for never.
    :param offset_ms: least difference seen between its clock and the own one.
    :param received_ms: when its last heartbeat was taken in, or when it was met.
    :param watched: whether it counts this process among its watchers.
    :param followed: whether it is of another domain and this entry wants to use it.
    :param has_peer_suspicion: whether a peer's suspicion made this process probe it.
    :param withdrawn: whether the host list takes it out of use.
    :param notices_left: how often its death is still to be told.
    :param unlisted_ms: since when the host list doesn't show it, if it doesn't.
    """

    peer: Peer
    incarnation: int = 0
    sequence: int = -1
    intent: Intent = Intent.SERVING
    status: MemberStatus = MemberStatus.ALIVE
    load: Load | None = None
    last_seen_ms: int | None = None
    offset_ms: float | None = None
    received_ms: int = 0
    watched: bool = False
    followed: bool = False
    has_peer_suspicion: bool = False
    withdrawn: bool = False
    unlisted_ms: int | None = None
    usable: bool = False
    probes: int = 0
    next_probe_ms: int = 0
    notices_left: int = 0
    next_notice_ms: int = 0
    suspecters: dict[str, int] = dataclasses.field(default_factory=dict)
    superseded_notice_ms: int | None = None


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A probe or a question to a peer that is still open."""

    subject: str
    asked_ms: int


@dataclasses.dataclass(slots=True)
class ReceivedDigest:
    """A digest of another domain and when it was made, on the own clock."""

    digest: DomainDigest
    made_ms: int


@dataclasses.dataclass(slots=True)
class MembershipState:
    """All that membership holds; its decision function is the only writer.

    Make it with :func:`start`.

    :param silence_from_ms: silence before this time is not held against anyone.
    :param has_raised: whether it went above an older incarnation; it may do so once.
    :param stale_ticks: ticks until the bytes that waited during a pause are read.
    :param members: the other processes of the domain and those followed elsewhere.
    :param rotation: hosts that a heartbeat reaches in turn.
    :param probers: when a host outside the mesh last probed this process.
    """

    own: Peer
    incarnation: int
    rng: random.Random
    started_ms: int
    last_ms: int
    silence_from_ms: int
    stale_ticks: int = 0
    intent: Intent = Intent.SERVING
    has_raised: bool = False
    superseded: bool = False
    sequence: int = 0
    nonce: int = 0
    load: Load | None = None
    offers: tuple[Offer, ...] = ()
    list_version: int = 0
    seeds: tuple[Peer, ...] = ()
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    remote_peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    remote_entries: tuple[tuple[str, ...], ...] = ()
    followed: tuple[str, ...] = ()
    watchers: tuple[str, ...] = ()
    rotation: tuple[str, ...] = ()
    rotation_index: int = 0
    rotation_round: int = 0
    rotation_due: float = 0.0
    rotation_advanced_ms: int = 0
    next_heartbeat_ms: int = 0
    next_scan_ms: int = 0
    leave_rounds_left: int = 0
    next_leave_ms: int = 0
    has_introduced: bool = False
    peers_changed: bool = True
    reported_dead_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    next_refute_ms: int = 0
    pending_requests: dict[int, PendingRequest] = dataclasses.field(
        default_factory=dict
    )
    asked_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    probers: dict[str, int] = dataclasses.field(default_factory=dict)
    digests: dict[str, ReceivedDigest] = dataclasses.field(default_factory=dict)
    digest_round: int = 0
    next_digest_ms: int = 0


def start(now_ms: int, own: Peer, incarnation: int, seed: int) -> MembershipState:
    """Return the state of a process that has just started and has heard of nobody.

    :param incarnation: higher than that of the host's last process, if it can be;
        the wall clock at the start in tenths of a second serves.
    :param seed: makes the choice of peers differ between processes.
    """
    return MembershipState(
        own=own,
        incarnation=incarnation,
        rng=random.Random(seed),
        started_ms=now_ms,
        last_ms=now_ms,
        silence_from_ms=now_ms,
        rotation_advanced_ms=now_ms,
    )


@dataclasses.dataclass(slots=True)
class Context:
    """One call of the decision function and the commands that it has gathered."""

    now_ms: int
    state: MembershipState
    policy: MembershipPolicy
    commands: list[Command] = dataclasses.field(default_factory=list)

    def add(self, command: Command) -> None:
        """Add ``command`` to those returned."""
        self.commands.append(command)

    def report(self, event: events.Event, host: str, detail: str = "") -> None:
        """Add a report about the process on ``host``."""
        self.commands.append(Report(event, host, detail))

    def new_request(self, subject: str) -> int:
        """Return the nonce of a new question about ``subject``."""
        self.state.nonce += 1
        self.state.pending_requests[self.state.nonce] = PendingRequest(
            subject, self.now_ms
        )
        return self.state.nonce

    def heartbeat(self, **fields: t.Any) -> Heartbeat:
        """Return the next heartbeat of this process."""
        self.state.sequence += 1
        return Heartbeat(
            host=self.state.own.host,
            incarnation=self.state.incarnation,
            sequence=self.state.sequence,
            sent_ms=self.now_ms,
            intent=self.state.intent,
            **fields,
        )


def is_usable(now_ms: int, member: Member, policy: MembershipPolicy) -> bool:
    """Return whether new work may go to ``member`` at ``now_ms``.

    Ask again for each piece of work: a sign of life ages without any event. Entries
    get no work, so that their word may be older.
    """
    if member.status is not MemberStatus.ALIVE or member.last_seen_ms is None:
        return False
    if member.peer.role is Role.ENTRY:
        return True
    return now_ms - member.last_seen_ms <= lease_ms(member, policy)


def lease_ms(member: Member, policy: MembershipPolicy) -> int:
    """Return how old a sign of life of ``member`` may be for it to get new work.

    Nobody else tells of a death in another domain, so that the own word is shorter.
    """
    return policy.follow_lease_ms if member.followed else policy.lease_ms


def live_entries(state: MembershipState) -> list[str]:
    """Return the entries of the domain that can watch others, this one with them."""
    hosts = [
        host
        for host, member in state.members.items()
        if member.peer.role is Role.ENTRY
        and member.peer.domain == state.own.domain
        and member.status <= MemberStatus.SUSPECT
    ]
    if state.own.role is Role.ENTRY and state.intent is Intent.SERVING:
        hosts.append(state.own.host)
    return hosts


def watchers_of(
    state: MembershipState, host: str, policy: MembershipPolicy
) -> tuple[str, ...]:
    """Return the entries that watch ``host``, as this process sees the domain."""
    candidates = (entry for entry in live_entries(state) if entry != host)
    return rendezvous_hosts(f"watch:{host}", candidates, policy.watchers)


def overdue_ms(member: Member, policy: MembershipPolicy) -> int:
    """Return the silence after which a watcher probes ``member``."""
    if member.peer.role is Role.AGENT:
        period_ms = policy.agent_heartbeat_ms
    else:
        period_ms = policy.entry_heartbeat_ms
    return policy.max_missed * period_ms + policy.slack_ms


def silence_ms(context: Context, member: Member) -> int:
    """Return the silence of ``member`` that can be held against it."""
    since_ms = (
        member.received_ms if member.last_seen_ms is None else member.last_seen_ms
    )
    return context.now_ms - max(since_ms, context.state.silence_from_ms)


def set_status(context: Context, member: Member, status: MemberStatus) -> None:
    """Hold ``status`` true of ``member`` and tell what has changed by it."""
    before = (member.status, member.usable)
    if member.status is not status:
        member.status = status
        context.report(_STATUS_EVENTS[status], member.peer.host)
        context.state.peers_changed = True
    member.usable = is_usable(context.now_ms, member, context.policy)
    if before == (member.status, member.usable):
        return
    context.add(
        MemberChanged(member.peer, member.incarnation, member.status, member.usable)
    )


_STATUS_EVENTS = {
    MemberStatus.ALIVE: events.MEMBER_ALIVE,
    MemberStatus.SUSPECT: events.MEMBER_SUSPECT,
    MemberStatus.DEAD: events.MEMBER_DEAD,
    MemberStatus.LEAVING: events.MEMBER_LEAVING,
}
