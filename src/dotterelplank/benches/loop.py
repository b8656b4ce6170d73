"""An event loop that drives the decision functions on a virtual clock.

It transfers datagrams and texts between the processes with delay and loss, and
simulates the platform. All decisions are made by the functions that it calls.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

from ..daemons import datagrams
from ..members import membership, messages as mm, revision_messages as rm, revisions
from ..members.peers import Peer, Role
from .carriers import DATAGRAM_KEY, DOCUMENT_EXECUTORS, MEMBER_EXECUTORS

# The first numbers are as long in encoded form as after months of running.
FIRST_MS = 1_000_000_000
FIRST_INCARNATION = 900_000_000
FIRST_SEQUENCE = 10_000_000
TEXT_RATE_BYTES_PER_MS = 50_000
DOCUMENTS = (rm.Document.CONFIGURATION, rm.Document.HOST_LIST)


def event_of(datagram: datagrams.Datagram) -> t.Any:
    """Return the event that the receiver of ``datagram`` handles."""
    match datagram:
        case datagrams.OfferMessage(host, offer):
            return rm.OfferReceived(host, offer)
        case datagrams.OfferRequest():
            return datagram
    return datagrams.member_event(datagram)


@dataclasses.dataclass
class Conditions:
    """Behaviour of the network and the platform.

    :param loss: fraction of the datagrams that are lost.
    :param duplicates: fraction of the datagrams that arrive twice.
    :param delay_ms: least and greatest delay of a datagram.
    :param validate_ms: time that the validation of a text takes.
    :param platform_delay_ms: time that the platform takes to answer a read.
    """

    loss: float = 0.0
    duplicates: float = 0.0
    delay_ms: tuple[int, int] = (1, 2)
    validate_ms: int = 0
    platform_delay_ms: int = 5


@dataclasses.dataclass
class Platform:
    """The published texts, and the reads that wait for newer ones.

    :param down: whether every read fails.
    :param calls: number of reads so far.
    :param texts: revision and text of each document.
    :param stale: older texts that some domains get instead.
    :param waiting: reads that are answered when a newer text is published.
    :param cut: domains that can't reach the platform.
    """

    down: bool = False
    calls: int = 0
    texts: dict[rm.Document, tuple[int, str]] = dataclasses.field(default_factory=dict)
    stale: dict[str, dict[rm.Document, tuple[int, str]]] = dataclasses.field(
        default_factory=dict
    )
    waiting: list[tuple["Process", rm.ReadPlatform]] = dataclasses.field(
        default_factory=list
    )
    cut: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Process:
    """The states of one process, and its traffic.

    :param clock_ms: how far its monotonic clock is ahead of the loop's.
    :param busy_until_ms: time until which it validates a text and skips its ticks.
    :param backlog: sender and event of each datagram received during a pause.
    """

    peer: Peer
    incarnation: int
    membership: membership.MembershipState
    revisions: dict[rm.Document, revisions.RevisionState]
    alive: bool = True
    paused: bool = False
    clock_ms: int = 0
    busy_until_ms: int = 0
    backlog: list[t.Any] = dataclasses.field(default_factory=list)
    sent_bytes: int = 0
    received_bytes: int = 0
    sent: int = 0
    received: int = 0


class Loop:
    """The processes, the network between them, and the clock.

    For each host in ``recordings``, the ticks and the received datagrams of its process
    are appended there as pairs of time and datagram, with None for a tick.

    :param policies: policy of each document; its ``validate`` raises for an invalid
        text.
    """

    def __init__(
        self,
        peers: t.Sequence[Peer],
        seed: int,
        conditions: Conditions,
        member_policy: membership.MembershipPolicy,
        policies: dict[rm.Document, revisions.RevisionPolicy],
    ) -> None:
        self.now_ms = FIRST_MS
        self.rng = random.Random(seed)
        self.conditions = conditions
        self.member_policy = member_policy
        self.policies = policies
        self.platform = Platform()
        self.peers = {peer.host: peer for peer in peers}
        self.processes: dict[str, Process] = {}
        self.sender: Process | None = None
        self.recordings: dict[str, list[tuple[int, bytes | None]]] = {}
        self.domain_cuts: set[frozenset[str]] = set()
        self.isolated: dict[str, int] = {}
        self.reports: collections.Counter[str] = collections.Counter()
        self.changes: list[tuple[int, str, mm.MemberChanged]] = []
        self.adoptions: list[tuple[int, str, rm.Adopt]] = []
        self.listeners: list[t.Callable[[Process, t.Any], None]] = []
        self._queue: list[tuple[int, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnations = itertools.count(FIRST_INCARNATION, 100)

    # Processes

    def boot(self, host: str, joined: bool = False) -> None:
        """Start a new process on ``host``.

        :param joined: skip the first query to the peers, as in a running fleet.
        """
        peer = self.peers[host]
        incarnation = next(self._incarnations)
        seed = self.rng.getrandbits(32)
        states = {
            document: revisions.start(
                self.now_ms, document, peer, seed, self.policies[document]
            )
            for document in DOCUMENTS
        }
        for state in states.values():
            state.joined = joined
        member = membership.start(self.now_ms, peer, incarnation, seed)
        member.sequence = FIRST_SEQUENCE
        process = Process(peer, incarnation, member, states)
        self.processes[host] = process
        listed_hosts = tuple(
            mm.ListedHost(other, False) for other in self.peers.values()
        )
        self.handle_event(process, mm.HostListAdopted(1, listed_hosts))
        first_tick_ms = self.rng.randrange(self.member_policy.tick_ms)
        self.after(first_tick_ms, lambda: self._tick(process))

    def kill(self, host: str) -> None:
        """End the process on ``host`` without any notice to the others."""
        self.processes[host].alive = False

    def pause(self, host: str, for_ms: int) -> None:
        """Pause the process on ``host``; datagrams for it are queued meanwhile."""
        process = self.processes[host]
        process.paused = True
        self.after(for_ms, lambda: self._resume(process))

    def _resume(self, process: Process) -> None:
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for source, event in backlog:
            self._handle_datagram_event(source, process, event)

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        wait_ms = self.member_policy.tick_ms
        if not process.paused and process.busy_until_ms <= self.now_ms:
            self._record_input(process, None)
            self.handle_event(process, mm.Tick())
            for document in DOCUMENTS:
                self.handle_document_event(process, document, rm.Tick())
        self.after(wait_ms, lambda: self._tick(process))

    # Time

    def clock(self, process: Process) -> int:
        """Return the time on the monotonic clock of ``process``."""
        return self.now_ms + process.clock_ms

    def after(self, wait_ms: int, action: t.Callable[[], None]) -> None:
        """Schedule ``action`` to run after ``wait_ms``."""
        entry = (self.now_ms + wait_ms, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def run(self, for_ms: int) -> None:
        """Advance the clock by ``for_ms`` and run the actions that become due."""
        end_ms = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    # Network

    def reaches(self, host: str, other: str) -> bool:
        """Return whether a datagram can pass between two hosts."""
        if self.isolated.get(host, 0) != self.isolated.get(other, 0):
            return False
        domains = (self.peers[host].domain, self.peers[other].domain)
        return frozenset(domains) not in self.domain_cuts

    def send(self, source: Process, host: str, datagram: bytes) -> None:
        """Send ``datagram`` to the newest process on ``host``; it may get lost."""
        self.send_to(source, self.processes.get(host), datagram)

    def send_to(self, source: Process, target: Process | None, datagram: bytes) -> None:
        """Send ``datagram`` to one process, even if a newer one runs on its host.

        The datagram is lost if ``target`` is None.
        """
        source.sent_bytes += len(datagram) + datagrams.HEADER_BYTES
        source.sent += 1
        conditions = self.conditions
        if target is None or self.rng.random() < conditions.loss:
            return
        if not self.reaches(source.peer.host, target.peer.host):
            return
        delay_ms = self.rng.randint(*conditions.delay_ms)
        self.after(delay_ms, lambda: self._arrive(source, target, datagram))
        if self.rng.random() < conditions.duplicates:
            self.after(2 * delay_ms, lambda: self._arrive(source, target, datagram))

    def _arrive(self, source: Process, target: Process, datagram: bytes) -> None:
        if not target.alive:
            return
        target.received_bytes += len(datagram) + datagrams.HEADER_BYTES
        target.received += 1
        self._record_input(target, datagram)
        event = event_of(datagrams.unseal(datagram, DATAGRAM_KEY))
        if target.paused:
            target.backlog.append((source, event))
        else:
            self._handle_datagram_event(source, target, event)

    def _record_input(self, process: Process, datagram: bytes | None) -> None:
        recording = self.recordings.get(process.peer.host)
        if recording is not None:
            recording.append((self.clock(process), datagram))

    def _handle_datagram_event(
        self, source: Process, target: Process, event: t.Any
    ) -> None:
        self.sender = source
        self.handle_event(target, event)
        self.sender = None

    def handle_event(self, process: Process, event: t.Any) -> None:
        """Pass ``event`` to its decision function and execute the commands."""
        if isinstance(event, rm.OfferReceived):
            self.handle_document_event(process, event.offer.document, event)
            return
        if isinstance(event, datagrams.OfferRequest):
            offer_request = rm.OfferRequested(event.host)
            self.handle_document_event(process, event.document, offer_request)
            return
        if isinstance(event, mm.HeartbeatReceived) and event.heartbeat.offer:
            offer = event.heartbeat.offer
            received_offer = rm.OfferReceived(event.heartbeat.host, offer)
            self.handle_document_event(process, offer.document, received_offer)
        commands = membership.decide(
            self.clock(process), process.membership, event, self.member_policy
        )
        for command in commands:
            MEMBER_EXECUTORS[type(command)](self, process, command)

    def handle_document_event(
        self, process: Process, document: rm.Document, event: t.Any
    ) -> None:
        """Pass ``event`` to the revisions of ``document`` and execute the commands."""
        state = process.revisions[document]
        commands = revisions.decide(
            self.clock(process), state, event, self.policies[document]
        )
        for command in commands:
            DOCUMENT_EXECUTORS[type(command)](self, process, command)

    def notify_listeners(self, process: Process, command: t.Any) -> None:
        """Call the listeners with a command of ``process``."""
        for listener in self.listeners:
            listener(process, command)

    # Texts and the platform

    def transfer_text(self, source: Process, command: rm.SendText) -> None:
        """Transfer a text over a stream, at the rate of a small host's link."""
        size_bytes = len(command.compressed)
        wait_ms = 2 + size_bytes // TEXT_RATE_BYTES_PER_MS
        self.after(wait_ms, lambda: self._finish_text(source, command))

    def _finish_text(self, source: Process, command: rm.SendText) -> None:
        if source.alive and not source.paused:
            sent = rm.TextSent(command.host)
            self.handle_document_event(source, command.document, sent)
        target = self.processes.get(command.host)
        if target is None or not target.alive or target.paused:
            return
        if not source.alive or not self.reaches(source.peer.host, command.host):
            return
        size_bytes = len(command.compressed)
        source.sent_bytes += size_bytes
        target.received_bytes += size_bytes
        target.busy_until_ms = self.now_ms + self.conditions.validate_ms
        text = rm.TextReceived(source.peer.host, command.revision, command.compressed)
        self.after(
            self.conditions.validate_ms,
            lambda: self.deliver(target, command.document, text),
        )

    def deliver(self, process: Process, document: rm.Document, event: t.Any) -> None:
        """Handle ``event`` in ``process`` unless that is dead or paused."""
        if process.alive and not process.paused:
            self.handle_document_event(process, document, event)

    def publish(self, document: rm.Document, revision: int, text: str) -> None:
        """Publish a text and answer the reads that wait for it."""
        self.platform.texts[document] = (revision, text)
        waiting, self.platform.waiting = self.platform.waiting, []
        for process, command in waiting:
            self._answer(process, command)

    def fail_waiting_reads(self) -> None:
        """Fail every waiting read, as a restart of the platform does."""
        waiting, self.platform.waiting = self.platform.waiting, []
        for process, command in waiting:
            self.deliver(process, command.document, rm.ReadFailed(command.read_id))

    def read(self, process: Process, command: rm.ReadPlatform) -> None:
        """Count one read of the platform and answer it."""
        self.platform.calls += 1
        self.after(
            self.conditions.platform_delay_ms,
            lambda: self._answer(process, command),
        )

    def _answer(self, process: Process, command: rm.ReadPlatform) -> None:
        domain = process.peer.domain
        event: t.Any = rm.ReadFailed(command.read_id)
        if not self.platform.down and domain not in self.platform.cut:
            texts = self.platform.stale.get(domain, self.platform.texts)
            revision, text = texts.get(command.document, (0, ""))
            if revision <= command.after and texts is self.platform.texts:
                self.platform.waiting.append((process, command))
                self.after(
                    command.wait_ms, lambda: self._end_waiting_read(process, command)
                )
                return
            event = rm.ReadAnswered(command.read_id, revision, text)
        self.deliver(process, command.document, event)

    def _end_waiting_read(self, process: Process, command: rm.ReadPlatform) -> None:
        for index, (reader, waiting_read) in enumerate(self.platform.waiting):
            if reader is process and waiting_read is command:
                del self.platform.waiting[index]
                unchanged = rm.ReadAnswered(command.read_id, command.after, None)
                self.deliver(process, command.document, unchanged)
                return


def make_peers(entries: int, agents: int, domains: int) -> tuple[Peer, ...]:
    """Return the peers of ``domains`` equal failure domains.

    :param entries: entries in each domain.
    :param agents: agents in each domain.
    """
    peers = []
    for number in range(domains):
        domain = f"d{number}"
        for index in range(entries):
            peers.append(Peer(f"en-{number}-{index:03}", domain, Role.ENTRY))
        for index in range(agents):
            peers.append(Peer(f"ep-{number}-{index:03}", domain, Role.AGENT))
    return tuple(peers)
