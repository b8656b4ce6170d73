"""Membership state of one process, and the policy of its failure detection."""

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
    """Limits and intervals of membership.

    :param agent_heartbeat_ms: period of an agent's heartbeats to its watchers.
    :param agent_rotation_ms: period in which an agent sends a full heartbeat to every
        entry of its domain.
    :param offer_period_rounds: one of this many rounds of full heartbeats carries an
        offer.
    :param death_notices: how many times a death is announced, since a notice may be
        lost.
    :param max_missed: heartbeats that may be missed before a watcher probes.
    :param lease_ms: maximum time since an endpoint was last seen for it to get new
        work.
    :param follow_lease_ms: the same for an endpoint of another domain.
    :param refute_quorum: number of hosts that must report a live entry as dead before
        it sends heartbeats to its whole domain.
    :param pause_ms: a longer gap between two events is taken as a pause of this
        process.
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
    """State of another process.

    :param last_seen_ms: latest time, on this process's clock, at which the member is
        known to have been alive; ``None`` if there is none.
    :param offset_ms: estimated offset from the member's clock to this process's clock:
        the smallest observed difference, allowed to grow with the clock drift.
    :param received_ms: when its last heartbeat was received, or when the member was
        added if there was no heartbeat.
    :param watched: whether the member chose this process as one of its watchers.
    :param followed: whether the member is an endpoint of another domain that this entry
        follows.
    :param has_peer_suspicion: whether this process probes the member because a peer
        reported it as suspect or dead.
    :param withdrawn: whether the host list marks the member as leaving or no longer
        contains it.
    :param notices_left: how many more times the member's death is announced.
    :param unlisted_ms: since when the host list doesn't contain the member; ``None`` if
        it does.
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
    """A probe or status request that has not been answered yet."""

    subject: str
    asked_ms: int


@dataclasses.dataclass(slots=True)
class ReceivedDigest:
    """A digest of another domain; ``made_ms`` is on this process's clock."""

    digest: DomainDigest
    made_ms: int


@dataclasses.dataclass(slots=True)
class MembershipState:
    """The membership state of a process; only the decision function changes it.

    Create it with :func:`start`.

    :param silence_from_ms: silence of a member counts only from this time on.
    :param has_raised: whether this process has raised its incarnation, which it may do
        once.
    :param stale_ticks: ticks until all messages that arrived during a pause are read.
    :param members: the other processes of the domain, and the followed endpoints of
        other domains, by host.
    :param rotation: hosts that receive full heartbeats in turn.
    :param probers: when a host outside the rotation last probed this process, by host.
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
    """Return the state of a process that has just started and knows no peer.

    :param incarnation: number that should be higher than that of the last process on
        the host; see :func:`dotterelplank.links.links.new_incarnation`.
    :param seed: seed of the random choice of peers; it should differ between processes.
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
    """The input of one call of the decision function and its commands so far."""

    now_ms: int
    state: MembershipState
    policy: MembershipPolicy
    commands: list[Command] = dataclasses.field(default_factory=list)

    def add(self, command: Command) -> None:
        """Add ``command`` to the commands that the call returns."""
        self.commands.append(command)

    def report(self, event: events.Event, host: str, detail: str = "") -> None:
        """Add a report about the process on ``host``."""
        self.commands.append(Report(event, host, detail))

    def new_request(self, subject: str) -> int:
        """Register a request about ``subject`` and return its nonce."""
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

    Call this for each piece of work, since a lease expires without any event. The
    lease doesn't apply to entries, because they get no work.
    """
    if member.status is not MemberStatus.ALIVE or member.last_seen_ms is None:
        return False
    if member.peer.role is Role.ENTRY:
        return True
    return now_ms - member.last_seen_ms <= lease_ms(member, policy)


def lease_ms(member: Member, policy: MembershipPolicy) -> int:
    """Return the maximum time since ``member`` was last seen for it to get new work.

    The lease is shorter in another domain, because no notice of a death arrives from
    there.
    """
    return policy.follow_lease_ms if member.followed else policy.lease_ms


def live_entries(state: MembershipState) -> list[str]:
    """Return the hosts of the domain's entries that can watch other processes.

    This includes the own host if this process is an entry that is not leaving.
    """
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
    """Return the hosts of the entries that watch ``host``, as far as known here."""
    candidates = (entry for entry in live_entries(state) if entry != host)
    return rendezvous_hosts(f"watch:{host}", candidates, policy.watchers)


def overdue_ms(member: Member, policy: MembershipPolicy) -> int:
    """Return the time without heartbeats after which a watcher probes ``member``."""
    if member.peer.role is Role.AGENT:
        period_ms = policy.agent_heartbeat_ms
    else:
        period_ms = policy.entry_heartbeat_ms
    return policy.max_missed * period_ms + policy.slack_ms


def silence_ms(context: Context, member: Member) -> int:
    """Return the time since ``member`` was last seen.

    Time before the start or the last pause of this process doesn't count.
    """
    since_ms = (
        member.received_ms if member.last_seen_ms is None else member.last_seen_ms
    )
    return context.now_ms - max(since_ms, context.state.silence_from_ms)


def set_status(context: Context, member: Member, status: MemberStatus) -> None:
    """Set the status of ``member`` and add the commands that report any change."""
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
