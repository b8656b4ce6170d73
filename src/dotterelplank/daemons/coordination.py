"""Executes the decisions on membership and revisions.

It sends and receives datagrams, reads documents from the platform and transfers their
texts. All of this runs on the thread that serves the links, except for the reads of
the platform, each of which waits on its own thread.
"""

import dataclasses
import logging
import typing as t

from .. import defaults, events
from ..clocks import monotonic_ms
from ..config.configuration import Configuration, parse_cached
from ..errors import LinkClosedError, ProtocolError, UpstreamError
from ..links.link_server import LinkServer
from ..links.links import Identity, Link
from ..links.messages import Message, TextAnswer, TextAsk, TextDecline
from ..members import (
    membership,
    messages as members,
    revision_messages as revs,
    revisions,
)
from ..members.messages import Heartbeat, Notice
from ..members.peers import Peer, Role
from ..members.revision_messages import Document
from ..members.revision_state import RevisionPolicy, digest_of
from ..members.state import MembershipPolicy
from ..metrics import Metrics
from ..routing.demands import DemandDigest
from ..threads import start_thread
from . import datagrams
from .blackboard import Blackboard, ConfigurationPart, Host, HostsPart, MemberPart
from .platform_client import PlatformClient, validate_host_list

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """The address at which a peer receives datagrams and streams."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True)
class Hooks:
    """Callbacks of the daemon.

    :param on_member: called when the status of another process changed.
    :param on_superseded: called when a newer process runs under this host's name.
    :param on_demand: called with the demand that another entry sent.
    :param dial: opens a stream to a host, unless one is being opened.
    :param on_load: called with the load of a host that a heartbeat carried.
    """

    on_member: t.Callable[[members.MemberChanged], None]
    on_superseded: t.Callable[[], None]
    on_demand: t.Callable[[DemandDigest], None]
    dial: t.Callable[[str], None]
    on_load: t.Callable[[float, str, members.Load], None]


class Coordination:
    """The membership and the document revisions of one process."""

    def __init__(
        self,
        identity: Identity,
        board: Blackboard,
        links: LinkServer,
        platform: PlatformClient,
        metrics: Metrics,
        hooks: Hooks,
        join_alone_ms: float,
        seeds: t.Sequence[PeerAddress],
    ) -> None:
        self._identity = identity
        self._board = board
        self._links = links
        self._platform = platform
        self._metrics = metrics
        self._hooks = hooks
        self._seeds = tuple(seeds)
        self._addresses: dict[str, PeerAddress] = {}
        self._unsent: dict[str, list[Message]] = {}
        self._sender_address: PeerAddress | None = None
        self._knows_peers = False
        role = Role.ENTRY if identity.role == "entry" else Role.AGENT
        self._own = Peer(identity.host, identity.domain, role)
        self._member_policy = MembershipPolicy()
        self._policies = {
            Document.CONFIGURATION: RevisionPolicy(
                validate=parse_cached, join_alone_ms=int(join_alone_ms)
            ),
            Document.HOST_LIST: RevisionPolicy(
                validate=validate_host_list, join_alone_ms=int(join_alone_ms)
            ),
        }

    def start(self, now_ms: float) -> None:
        """Create the state; the link server must listen already."""
        seed = self._identity.incarnation
        self._membership = membership.start(
            int(now_ms), self._own, _member_incarnation(self._identity), seed
        )
        self._revisions = {
            document: revisions.start(int(now_ms), document, self._own, seed, policy)
            for document, policy in self._policies.items()
        }

    def address_of(self, host: str) -> PeerAddress | None:
        """Return the address of ``host``, or ``None`` if it is unknown."""
        return self._addresses.get(host)

    def leave(self, now_ms: float) -> None:
        """Announce to other processes that this one begins its graceful shutdown."""
        self._decide_membership(now_ms, members.LeaveRequested())

    def note_load(self, now_ms: float, load: members.Load) -> None:
        """Send the load of this process with the next heartbeats."""
        self._decide_membership(now_ms, members.LoadMeasured(load))

    def follow(self, now_ms: float, hosts: tuple[str, ...]) -> None:
        """Follow these endpoints of other domains instead of the last ones."""
        self._decide_membership(now_ms, members.Follow(hosts))

    def send_demand(self, digest: DemandDigest, hosts: t.Iterable[str]) -> None:
        """Send the demand of this entry to the entries on ``hosts``."""
        self._send(hosts, digest)

    def on_tick(self, now_ms: float) -> None:
        """Process a tick; the link server has drained the sockets before."""
        if not self._board.hosts.version:
            self._introduce_to_seeds()
        self._decide_membership(now_ms, members.Tick())
        self._decide_revision(now_ms, Document.HOST_LIST, revs.Tick())
        # Without the host list there is no peer to ask for a newer revision, and the
        # platform may return a stale one.
        if self._board.hosts.version or self._knows_peers:
            self._decide_revision(now_ms, Document.CONFIGURATION, revs.Tick())

    def on_datagram(
        self, now_ms: float, data: bytes, peer_address: PeerAddress
    ) -> None:
        """Handle a datagram; one that fails authentication is dropped and counted."""
        try:
            datagram = datagrams.unseal(data, self._identity.secret)
        except ProtocolError:
            self._metrics.count(self._metrics.dropped, kind="datagram")
            return
        sender = datagrams.sender_of(datagram)
        if sender not in self._board.hosts.hosts:
            self._addresses[sender] = peer_address
        self._sender_address = peer_address
        match datagram:
            case datagrams.OfferMessage(_, offer):
                self._on_offer(now_ms, sender, offer)
            case datagrams.OfferRequest(_, document):
                self._decide_revision(now_ms, document, revs.OfferRequested(sender))
            case DemandDigest():
                self._hooks.on_demand(datagram)
            case _:
                self._decide_membership(now_ms, datagrams.member_event(datagram))
                if isinstance(datagram, Heartbeat):
                    self._apply_heartbeat_extras(now_ms, sender, datagram)

    def on_message(self, now_ms: float, link: Link, message: Message) -> bool:
        """Handle a message about document texts; return whether it was one."""
        host = link.peer.host
        match message:
            case TextAsk(document, revision):
                event: revs.Event = revs.TextRequested(host, revision)
            case TextAnswer(document, revision, compressed):
                event = revs.TextReceived(host, revision, compressed)
            case TextDecline(document):
                event = revs.PeerDeclined(host)
            case _:
                return False
        self._decide_revision(now_ms, document, event)
        return True

    def on_link_ready(self, link: Link) -> None:
        """Send the messages that are queued for this link."""
        for message in self._unsent.pop(link.peer.host, []):
            self._try_send(link, message)

    def on_link_closed(self, now_ms: float, host: str) -> None:
        """Handle that a stream to ``host`` ended or could not be opened."""
        self._unsent.pop(host, None)
        self._decide_membership(now_ms, members.LinkLost(host))
        for document in Document:
            self._decide_revision(now_ms, document, revs.PeerDeclined(host))

    def _apply_heartbeat_extras(
        self, now_ms: float, sender: str, heartbeat: Heartbeat
    ) -> None:
        if heartbeat.offer is not None:
            self._on_offer(now_ms, sender, heartbeat.offer)
        if heartbeat.load is not None:
            self._hooks.on_load(now_ms, sender, heartbeat.load)

    def _on_offer(self, now_ms: float, sender: str, offer: revs.Offer) -> None:
        event = revs.OfferReceived(sender, offer)
        self._decide_revision(now_ms, offer.document, event)

    def _introduce_to_seeds(self) -> None:
        introduction = datagrams.Introduction(self._own, self._membership.incarnation)
        for datagram in (
            introduction,
            datagrams.IntroductionRequest(self._identity.host),
        ):
            data = datagrams.seal(datagram, self._identity.secret)
            for peer_address in self._seeds:
                self._links.send_datagram(data, peer_address.address, peer_address.port)

    def _decide_membership(self, now_ms: float, event: members.Event) -> None:
        commands = membership.decide(
            int(now_ms), self._membership, event, self._member_policy
        )
        for command in commands:
            self._execute_member_command(now_ms, command)

    def _execute_member_command(self, now_ms: float, command: members.Command) -> None:
        own = self._identity.host
        match command:
            case members.SendHeartbeat(hosts, heartbeat):
                self._send(hosts, heartbeat)
            case members.SendProbe(host, nonce):
                self._send((host,), datagrams.Probe(own, nonce))
            case members.RequestStatus(host, subject, nonce):
                self._send((host,), datagrams.StatusRequest(own, subject, nonce))
            case members.SendNotice(hosts, notice):
                self._send(hosts, notice)
            case members.ReplyToSender(notice):
                self._reply(notice)
            case members.SendDigest(hosts, digest):
                self._send(hosts, digest)
            case members.Introduce(hosts, peer, incarnation):
                self._send(hosts, datagrams.Introduction(peer, incarnation))
            case members.RequestIntroduction(host):
                self._send((host,), datagrams.IntroductionRequest(own))
            case members.MemberChanged():
                self._on_member(command)
            case members.PeersKnown(domain, remote_peers):
                event = revs.PeersChanged(domain, remote_peers)
                self._knows_peers = bool(domain or remote_peers)
                for document in Document:
                    self._decide_revision(now_ms, document, event)
            case members.Supersede():
                self._hooks.on_superseded()
            case members.Report(event, host, detail):
                events.emit(log, event, about=host, detail=detail)

    def _on_member(self, changed: members.MemberChanged) -> None:
        host = changed.peer.host
        self._board.members[host] = MemberPart(
            changed.peer, changed.status, changed.usable
        )
        self._hooks.on_member(changed)

    def is_usable(self, now_ms: float, host: str) -> bool:
        """Return whether new work may go to ``host`` now."""
        member = self._membership.members.get(host)
        if member is None:
            return False
        return membership.is_usable(int(now_ms), member, self._member_policy)

    def entries_of_domain(self) -> list[str]:
        """Return the other live entries of the own domain."""
        return [
            host
            for host, part in list(self._board.members.items())
            if part.peer.role is Role.ENTRY
            and part.peer.domain == self._identity.domain
            and part.status <= members.MemberStatus.SUSPECT
        ]

    def _decide_revision(
        self, now_ms: float, document: Document, event: revs.Event
    ) -> None:
        state = self._revisions[document]
        policy = self._policies[document]
        for command in revisions.decide(int(now_ms), state, event, policy):
            self._execute_revision_command(now_ms, command)

    def _execute_revision_command(self, now_ms: float, command: revs.Command) -> None:
        own = self._identity.host
        match command:
            case revs.ReadPlatform():
                self._metrics.count(
                    self._metrics.platform_reads, document=command.document.name
                )
                start_thread("read", self._read, command)
            case revs.RequestOffers(document, hosts):
                self._send(hosts, datagrams.OfferRequest(own, document))
            case revs.SendOffer(hosts, offer):
                self._send(hosts, datagrams.OfferMessage(own, offer))
            case revs.RequestText(document, host, revision):
                self._send_by_link(host, TextAsk(document, revision))
            case revs.SendText(document, host, revision, compressed):
                self._send_by_link(host, TextAnswer(document, revision, compressed))
                self._decide_revision(now_ms, document, revs.TextSent(host))
            case revs.Decline(document, host):
                self._send_by_link(host, TextDecline(document))
            case revs.SeedPeers(validated):
                self._seed(now_ms, t.cast(t.Mapping[str, Host], validated))
            case revs.Adopt():
                self._adopt(now_ms, command)
            case revs.Report(event, document, revision, detail):
                events.emit(
                    log,
                    event,
                    document=document.name,
                    revision=revision,
                    detail=detail,
                )
                self._note_refusals()

    def _read(self, command: revs.ReadPlatform) -> None:
        """Read a document from the platform; post the result to the links' thread."""
        event: revs.Event
        try:
            if command.document is Document.CONFIGURATION:
                found = self._platform.configuration(command.after, command.wait_ms)
            else:
                found = self._platform.host_list(command.after, command.wait_ms)
        except UpstreamError as error:
            events.emit(
                log,
                events.PLATFORM_READ_FAILED,
                document=command.document.name,
                reason=str(error),
            )
            event = revs.ReadFailed(command.read_id)
        else:
            number = command.after if found is None else found.number
            text = None if found is None else found.text
            event = revs.ReadAnswered(command.read_id, number, text)
        document = command.document
        self._links.call(lambda: self._decide_revision(monotonic_ms(), document, event))

    def _adopt(self, now_ms: float, adopted: revs.Adopt) -> None:
        if adopted.document is Document.CONFIGURATION:
            self._check_increasing(self._board.configuration.revision, adopted.revision)
            self._board.configuration = ConfigurationPart(
                adopted.revision,
                digest_of(adopted.text),
                t.cast(Configuration, adopted.validated),
            )
        else:
            self._check_increasing(self._board.hosts.version, adopted.revision)
            hosts = t.cast(t.Mapping[str, Host], adopted.validated)
            self._board.hosts = HostsPart(adopted.revision, hosts, now_ms)
            self._update_addresses(hosts)
            adopted_list = members.HostListAdopted(adopted.revision, _listed(hosts))
            self._decide_membership(now_ms, adopted_list)
        self._note_refusals()
        offers = tuple(
            revisions.current_offer(state) for state in self._revisions.values()
        )
        self._decide_membership(now_ms, members.OffersChanged(offers))

    def _seed(self, now_ms: float, hosts: t.Mapping[str, Host]) -> None:
        """Use the hosts of a host list as seed peers, without adopting the list."""
        self._update_addresses(hosts)
        seeded = tuple(listed.peer for listed in _listed(hosts))
        others = tuple(peer for peer in seeded if peer.host != self._identity.host)
        self._decide_membership(now_ms, members.PeersSeeded(others))

    def _update_addresses(self, hosts: t.Mapping[str, Host]) -> None:
        self._addresses.update(
            (host.host, PeerAddress(host.address, host.port)) for host in hosts.values()
        )

    def _check_increasing(self, current: int, adopted: int) -> None:
        if adopted <= current:
            self._metrics.count(self._metrics.invariants, what="revision")
            events.emit(
                log,
                events.INVARIANT_BROKEN,
                what="revision",
                held=current,
                adopted=adopted,
            )

    def _note_refusals(self) -> None:
        refused = self._revisions[Document.CONFIGURATION].refused
        if refused is not None:
            self._board.configuration = dataclasses.replace(
                self._board.configuration,
                refused_revision=refused.revision,
                refused_why=refused.reason,
            )

    def _send(self, hosts: t.Iterable[str], datagram: datagrams.Datagram) -> None:
        data = datagrams.seal(datagram, self._identity.secret)
        for host in hosts:
            peer_address = self._addresses.get(host)
            if peer_address is not None:
                self._links.send_datagram(data, peer_address.address, peer_address.port)

    def _reply(self, notice: Notice) -> None:
        """Reply to the address from which the current datagram came."""
        peer_address = self._sender_address
        if peer_address is not None:
            data = datagrams.seal(notice, self._identity.secret)
            self._links.send_datagram(data, peer_address.address, peer_address.port)

    def _send_by_link(self, host: str, message: Message) -> None:
        part = self._board.peers.get(host)
        if part is not None:
            self._try_send(part.link, message)
            return
        if host in self._addresses:
            self._unsent.setdefault(host, []).append(message)
            self._hooks.dial(host)

    def _try_send(self, link: Link, message: Message) -> None:
        try:
            link.send(message)
        except LinkClosedError:
            return


def _listed(hosts: t.Mapping[str, Host]) -> tuple[members.ListedHost, ...]:
    return tuple(
        members.ListedHost(
            Peer(
                host.host,
                host.domain,
                Role.ENTRY if host.role == "entry" else Role.AGENT,
            ),
            host.is_leaving,
        )
        for host in hosts.values()
    )


def _member_incarnation(identity: Identity) -> int:
    """Return the incarnation in milliseconds, as membership uses it."""
    return identity.incarnation >> defaults.INCARNATION_RANDOM_BITS
