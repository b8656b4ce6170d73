"""The common part of entry and agent: identity, links, documents, status pages."""

import contextlib
import logging
import pathlib
import secrets
import threading
import time
import typing as t

from .. import defaults, events
from ..clocks import monotonic_ms
from ..config.settings import AgentSettings, EntrySettings
from ..errors import LinkClosedError
from ..links import links
from ..links.handshakes import Side
from ..links.link_server import Handlers, LinkServer
from ..links.links import Identity, Link
from ..links.messages import Message
from ..members.messages import Load, MemberChanged, MemberStatus
from ..metrics import Metrics
from ..routing.demands import DemandDigest
from . import status
from .blackboard import Blackboard, Host, LifecyclePart, PeerPart
from .coordination import Coordination, Hooks, PeerAddress
from .http_server import serving
from .platform_client import PlatformClient
from .tracing import Tracer

log = logging.getLogger(__name__)


class Daemon:
    """The common part of an entry or agent process."""

    def __init__(
        self,
        settings: EntrySettings | AgentSettings,
        role: str,
        handlers: Handlers,
        in_flight: t.Callable[[], int],
        on_demand: t.Callable[[DemandDigest], None] = lambda digest: None,
        on_load: t.Callable[[float, str, Load], None] = lambda *arguments: None,
    ) -> None:
        self.settings = settings
        self.role = role
        self._in_flight = in_flight
        self.superseded = threading.Event()
        self.identity = Identity(
            settings.host,
            role,
            settings.domain,
            links.new_incarnation(time.time() * 1000, secrets.randbits(16)),
            settings.secret_bytes(),
        )
        self.board = Blackboard()
        self.metrics = Metrics(settings.host, role)
        trace_file = settings.trace_file
        self.tracer = Tracer(
            settings.host, pathlib.Path(trace_file) if trace_file else None
        )
        self.links = LinkServer(self.identity, handlers)
        self.coordination = Coordination(
            self.identity,
            self.board,
            self.links,
            PlatformClient(settings.platform_url),
            self.metrics,
            Hooks(self._on_member, self.superseded.set, on_demand, self.dial, on_load),
            settings.join_alone_ms,
            [PeerAddress(*_split(seed)) for seed in settings.seed_peers],
        )
        self.stopped = threading.Event()
        self._linked = threading.Condition()
        self.peer_port = 0
        self.status_port = 0
        self._resources = contextlib.ExitStack()
        self._next_dial_ms: dict[str, float] = {}

    def start(self) -> None:
        """Start to serve peers and status pages and to read the platform."""
        now_ms = monotonic_ms()
        self.board.lifecycle = LifecyclePart(started_ms=now_ms)
        address = str(self.settings.address)
        self.peer_port = self.links.listen(address, self.settings.peer_port)
        self.coordination.start(now_ms)
        self.links.start()
        pages = status.application(
            self.role, self.settings, self.board, self.metrics, self._in_flight
        )
        port = self.settings.status_port
        self.status_port = self._resources.enter_context(
            serving(pages, address, port, defaults.STATUS_THREADS)
        )
        events.emit(
            log,
            events.PROCESS_STARTED,
            role=self.role,
            peer_port=self.peer_port,
            status_port=self.status_port,
            incarnation=self.identity.incarnation,
        )

    def begin_stop(self) -> None:
        """Make the health check fail and announce the shutdown to other processes."""
        now_ms = monotonic_ms()
        started_ms = self.board.lifecycle.started_ms
        self.board.lifecycle = LifecyclePart(started_ms, True, now_ms)
        self.links.call(lambda: self.coordination.leave(monotonic_ms()))
        events.emit(log, events.PROCESS_STOPPING, role=self.role)

    def finish_stop(self) -> None:
        """Close links, servers and traces; requests must have ended or been aborted."""
        self.stopped.set()
        self.links.stop()
        self._resources.close()
        self.tracer.close()
        events.emit(log, events.PROCESS_STOPPED, role=self.role)

    def own_host(self) -> Host | None:
        """Return this host's entry in the host list, or ``None`` if it isn't listed."""
        return self.board.hosts.hosts.get(self.settings.host)

    def entry_links(self) -> t.Sequence[Link]:
        """Return the links to entries whose handshake is complete."""
        parts = list(self.board.peers.values())
        return [part.link for part in parts if part.link.peer.role == "entry"]

    def on_ready(self, link: Link) -> None:
        """Register the link of a peer that has been authenticated."""
        host = link.peer.host
        events.emit(
            log, events.LINK_READY, peer=host, incarnation=link.peer.incarnation
        )
        self._next_dial_ms.pop(host, None)
        if self._is_preferred(link):
            part = PeerPart(link, epoch=link.peer.epoch, reported_ms=monotonic_ms())
            self.board.peers[host] = part
        self.coordination.on_link_ready(link)
        with self._linked:
            self._linked.notify_all()

    def _is_preferred(self, link: Link) -> bool:
        """Return whether this side sends new messages over ``link``.

        A peer dials only while it has no link, so a link that it dialled replaces one
        that it has closed. Requests in progress on the earlier link continue there.
        """
        earlier = self.board.peers.get(link.peer.host)
        if earlier is None:
            return True
        if earlier.link.peer.incarnation != link.peer.incarnation:
            earlier.link.abort()
            return True
        return link.handshake.side is Side.ACCEPTOR

    def on_message(self, link: Link, message: Message) -> None:
        """Handle a message that the entry or agent doesn't handle itself."""
        if not self.coordination.on_message(monotonic_ms(), link, message):
            self.metrics.count(self.metrics.dropped, kind=type(message).__name__)

    def on_closed(self, link: Link, dialled: str | None) -> None:
        """Remove a link that ended.

        :param dialled: the host that this process dialled, or ``None`` if the peer
            opened the link.
        """
        now_ms = monotonic_ms()
        if dialled is not None:
            self._next_dial_ms[dialled] = now_ms + defaults.RECONNECT_INTERVAL_MS
        host = link.peer.host if link.handshake.ready else dialled
        if host is None:
            return
        part = self.board.peers.get(host)
        if part is not None and part.link is link:
            del self.board.peers[host]
        self.coordination.on_link_closed(now_ms, host)

    def on_tick(self, now_ms: float) -> None:
        """Process a tick."""
        self.coordination.on_tick(now_ms)

    def on_datagram(self, data: bytes, address: str, port: int) -> None:
        """Handle a datagram."""
        self.coordination.on_datagram(monotonic_ms(), data, PeerAddress(address, port))

    def dial(self, host: str) -> None:
        """Connect to ``host``, unless a link exists, is being opened or just failed."""
        now_ms = monotonic_ms()
        peer_address = self.coordination.address_of(host)
        if (
            peer_address is None
            or host in self.board.peers
            or host == self.settings.host
        ):
            return
        if now_ms < self._next_dial_ms.get(host, 0.0):
            return
        self._next_dial_ms[host] = now_ms + defaults.HANDSHAKE_TIMEOUT_MS
        self.links.connect(host, peer_address.address, peer_address.port)

    def reach(self, host: str, timeout_ms: float) -> bool:
        """Open a link to ``host`` if there is none.

        :returns: whether there is a link within ``timeout_ms``.
        """
        if host in self.board.peers:
            return True
        self.links.call(lambda: self.dial(host))
        with self._linked:
            return self._linked.wait_for(
                lambda: host in self.board.peers, timeout_ms / 1000
            )

    def link_to(self, host: str) -> Link | None:
        """Return the link to ``host``; without one, dial it and return ``None``."""
        part = self.board.peers.get(host)
        if part is None:
            self.dial(host)
            return None
        return part.link

    def peer_part(self, host: str) -> PeerPart:
        """Return the linked peer ``host``.

        :raises LinkClosedError: if there is no link; nothing was sent.
        """
        part = self.board.peers.get(host)
        if part is None:
            raise LinkClosedError(f"no link to {host}", written=False)
        return part

    def _on_member(self, changed: MemberChanged) -> None:
        if changed.status is MemberStatus.DEAD:
            part = self.board.peers.get(changed.peer.host)
            if part is not None:
                part.link.abort()


def _split(seed: str) -> tuple[str, int]:
    address, _, port = seed.rpartition(":")
    return address, int(port)
