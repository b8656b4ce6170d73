"""Replay of the ticks and datagrams of one process, to measure its control cost."""

import copy
import dataclasses
import random
import socket
import time
import typing as t

from ..daemons import datagrams
from ..members import membership, messages as mm, revisions
from ..members.revision_messages import Document, OfferReceived, PeersChanged, Tick
from .carriers import DATAGRAM_KEY
from .loop import DOCUMENTS, Conditions, Loop, Process, event_of, make_peers

SYSTEM_CALLS = 20_000


@dataclasses.dataclass(frozen=True)
class DomainSize:
    """Entries and agents in the measured domain, and the number of listed domains."""

    entries: int
    agents: int
    domains: int


@dataclasses.dataclass(frozen=True)
class Span:
    """Number of seeds to average over, and the virtual seconds of each run."""

    seeds: int
    warm_s: int
    measured_s: int


@dataclasses.dataclass(frozen=True)
class Cost:
    """Control cost of one process, sent and received messages together."""

    messages_per_s: float
    bytes_per_s: float
    cpu_ms_per_s: float


@dataclasses.dataclass(frozen=True)
class _WarmLoop:
    loop: Loop
    hosts: tuple[str, str]


def control_costs(size: DomainSize, span: Span, call_ms: float) -> dict[str, Cost]:
    """Return the control cost of an entry and of an agent, by role.

    :param call_ms: processor time of sending or receiving one datagram.
    """
    costs: dict[str, list[Cost]] = {"entry": [], "agent": []}
    for seed in range(span.seeds):
        warm_loop = _warm_up(size, seed, span)
        before = {}
        for host in warm_loop.hosts:
            before[host] = copy.deepcopy(warm_loop.loop.processes[host])
            warm_loop.loop.recordings[host] = []
        warm_loop.loop.run(span.measured_s * 1_000)
        for role, host in zip(costs, warm_loop.hosts, strict=True):
            cost = _replay(warm_loop.loop, before[host], span, call_ms)
            costs[role].append(cost)
    return {role: _mean(role_costs) for role, role_costs in costs.items()}


def _warm_up(size: DomainSize, seed: int, span: Span) -> _WarmLoop:
    policies = {
        document: revisions.RevisionPolicy(validate=lambda text: text)
        for document in DOCUMENTS
    }
    peers = make_peers(size.entries, size.agents, size.domains)
    conditions = Conditions(loss=0.01)
    loop = Loop(peers, seed, conditions, membership.MembershipPolicy(), policies)
    loop.publish(Document.CONFIGURATION, 12_345, "text")
    loop.publish(Document.HOST_LIST, 54_321, "text")
    for peer in peers:
        if peer.domain == "d0":
            loop.boot(peer.host)
            load = mm.Load(130, 12, 870)
            loop.handle_event(loop.processes[peer.host], mm.LoadMeasured(load))
    loop.run(span.warm_s * 1_000)
    rng = random.Random(seed)
    entry = f"en-0-{rng.randrange(size.entries):03}"
    agent = f"ep-0-{rng.randrange(size.agents):03}"
    _follow_remote_endpoints(loop, loop.processes[entry])
    _receive_remote_digests(loop, size.domains)
    return _WarmLoop(loop, (entry, agent))


def _follow_remote_endpoints(loop: Loop, entry: Process) -> None:
    hosts = ("ep-1-000", "ep-1-001")
    for host in hosts:
        loop.boot(host, joined=True)
    loop.handle_event(entry, mm.Follow(hosts))
    loop.run(1_000)


def _receive_remote_digests(loop: Loop, domains: int) -> None:
    # Each domain receives a digest of each other domain once a second.
    for number in range(1, domains):
        digest = mm.DomainDigest(
            f"en-{number}-000",
            f"d{number}",
            age_ms=0,
            endpoints_live=150,
            endpoints_gone=2,
            running=19_000,
            waiting=300,
            sample=tuple(f"ep-{number}-{index:03}" for index in range(4)),
        )
        entries = [h for h in loop.processes if h.startswith("en-")]
        host = loop.rng.choice(entries)
        loop.handle_event(loop.processes[host], mm.DigestReceived(digest))
    loop.after(1_000, lambda: _receive_remote_digests(loop, domains))


def _replay(loop: Loop, process: Process, span: Span, call_ms: float) -> Cost:
    recording = loop.recordings[process.peer.host]
    after = loop.processes[process.peer.host]
    started_ms = time.process_time() * 1_000
    for now_ms, datagram in recording:
        if datagram is None:
            _replay_tick(loop, process, now_ms)
        else:
            event = event_of(datagrams.unseal(datagram, DATAGRAM_KEY))
            _replay_event(loop, process, now_ms, event)
    cpu_ms = time.process_time() * 1_000 - started_ms
    messages = after.sent - process.sent + after.received - process.received
    sent_bytes = after.sent_bytes - process.sent_bytes
    received_bytes = after.received_bytes - process.received_bytes
    cpu_ms += messages * call_ms
    return Cost(
        messages / span.measured_s,
        (sent_bytes + received_bytes) / span.measured_s,
        cpu_ms / span.measured_s,
    )


def _replay_tick(loop: Loop, process: Process, now_ms: int) -> None:
    _replay_event(loop, process, now_ms, mm.Tick())
    for document, state in process.revisions.items():
        revisions.decide(now_ms, state, Tick(), loop.policies[document])


def _replay_event(loop: Loop, process: Process, now_ms: int, event: t.Any) -> None:
    if isinstance(event, OfferReceived):
        _replay_offer(loop, process, now_ms, event)
        return
    if isinstance(event, datagrams.OfferRequest):
        return
    if isinstance(event, mm.HeartbeatReceived) and event.heartbeat.offer:
        offer = OfferReceived(event.heartbeat.host, event.heartbeat.offer)
        _replay_offer(loop, process, now_ms, offer)
    commands = membership.decide(now_ms, process.membership, event, loop.member_policy)
    for command in commands:
        _seal_command(loop, process, now_ms, command)


def _replay_offer(
    loop: Loop, process: Process, now_ms: int, event: OfferReceived
) -> None:
    document = event.offer.document
    state = process.revisions[document]
    for command in revisions.decide(now_ms, state, event, loop.policies[document]):
        if isinstance(command, revisions.SendOffer):
            datagrams.seal(
                datagrams.OfferMessage(process.peer.host, command.offer), DATAGRAM_KEY
            )


def _seal_command(loop: Loop, process: Process, now_ms: int, command: t.Any) -> None:
    datagram = _datagram_of(process.peer.host, command)
    if datagram is not None:
        datagrams.seal(datagram, DATAGRAM_KEY)
    if isinstance(command, mm.PeersKnown):
        peers_changed = PeersChanged(command.domain, command.remote_peers)
        for document, state in process.revisions.items():
            revisions.decide(now_ms, state, peers_changed, loop.policies[document])


def _datagram_of(host: str, command: t.Any) -> datagrams.Datagram | None:
    match command:
        case mm.SendHeartbeat(_, heartbeat):
            return heartbeat
        case mm.SendProbe(_, nonce):
            return datagrams.Probe(host, nonce)
        case mm.RequestStatus(_, subject, nonce):
            return datagrams.StatusRequest(host, subject, nonce)
        case mm.SendNotice(_, notice):
            return notice
        case mm.SendDigest(_, digest):
            return digest
    return None


def _mean(costs: t.Sequence[Cost]) -> Cost:
    count = len(costs)
    return Cost(
        sum(cost.messages_per_s for cost in costs) / count,
        sum(cost.bytes_per_s for cost in costs) / count,
        sum(cost.cpu_ms_per_s for cost in costs) / count,
    )


def system_call_ms() -> float:
    """Return the processor time in ms of sending or receiving one loopback datagram."""
    with _socket() as source, _socket() as target:
        address = target.getsockname()
        payload = bytes(64)
        started_ms = time.process_time() * 1_000
        for _ in range(SYSTEM_CALLS):
            source.sendto(payload, address)
            target.recvfrom(datagrams.DATAGRAM_BYTES_MAX)
        return (time.process_time() * 1_000 - started_ms) / (2 * SYSTEM_CALLS)


def _socket() -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind(("127.0.0.1", 0))
    return udp_socket
