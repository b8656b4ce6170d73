"""What both daemons share: identity, links, the platform's documents, status pages."""

import contextlib
import logging
import pathlib
import secrets
import threading
import time
import typing as t

from . import defaults, events, links, status
from .blackboard import Blackboard, Host, LifecyclePart, PeerPart
from .errors import LinkClosedError
from .feeds import Feed
from .http_server import serving
from .links import Handlers, Identity, Link, LinkServer
from .messages import Message
from .metrics import Metrics
from .settings import AgentSettings, EntrySettings
from .tracing import Tracer

log = logging.getLogger(__name__)


class Daemon:
    """The common part of one process."""

    def __init__(
        self,
        settings: EntrySettings | AgentSettings,
        role: str,
        handlers: Handlers,
        in_flight: t.Callable[[], int],
    ) -> None:
        self.settings = settings
        self.role = role
        self._in_flight = in_flight
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
        self.feed = Feed(self.board, settings.platform_url, self.metrics)
        self.stopped = threading.Event()
        self.peer_port = 0
        self.status_port = 0
        self._resources = contextlib.ExitStack()
        self._dialling: dict[str, float] = {}

    def start(self) -> None:
        """Listen to peers and operators and watch the platform."""
        now_ms = _now_ms()
        self.board.lifecycle = LifecyclePart(started_ms=now_ms)
        address = str(self.settings.address)
        self.peer_port = self.links.listen(address, self.settings.peer_port)
        self.links.start()
        self.feed.start()
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
        """Fail the health check from now on."""
        now_ms = _now_ms()
        started_ms = self.board.lifecycle.started_ms
        self.board.lifecycle = LifecyclePart(started_ms, True, now_ms)
        events.emit(log, events.PROCESS_STOPPING, role=self.role)

    def finish_stop(self) -> None:
        """Close everything; what should be finished has been."""
        self.stopped.set()
        self.feed.stop()
        self.links.stop()
        self._resources.close()
        self.tracer.close()
        events.emit(log, events.PROCESS_STOPPED, role=self.role)

    def own_host(self) -> Host | None:
        """Return what the host list says of this host."""
        return self.board.hosts.hosts.get(self.settings.host)

    def entry_links(self) -> t.Sequence[Link]:
        """Return the ready links to entries."""
        parts = list(self.board.peers.values())
        return [part.link for part in parts if part.link.peer.role == "entry"]

    def on_ready(self, link: Link) -> None:
        """Take in a peer that has proved itself; a newer link replaces an older."""
        host = link.peer.host
        events.emit(
            log, events.LINK_READY, peer=host, incarnation=link.peer.incarnation
        )
        self._dialling.pop(host, None)
        earlier = self.board.peers.get(host)
        epoch = link.peer.epoch
        self.board.peers[host] = PeerPart(link, epoch=epoch, reported_ms=_now_ms())
        if earlier is not None:
            earlier.link.abort()

    def on_message(self, link: Link, message: Message) -> None:
        """Take a message that is neither the entry's nor the agent's own."""
        self.metrics.count(self.metrics.dropped, kind=type(message).__name__)

    def on_closed(self, link: Link, dialled: str | None) -> None:
        """Forget a link that ended."""
        if dialled is not None:
            self._dialling[dialled] = _now_ms() + defaults.RECONNECT_INTERVAL_MS
        if not link.handshake.ready:
            return
        part = self.board.peers.get(link.peer.host)
        if part is not None and part.link is link:
            del self.board.peers[link.peer.host]

    def on_tick(self, now_ms: float) -> None:
        """Drop peers that have been silent for too long."""
        for host, part in list(self.board.peers.items()):
            if part.link.peer.role != "agent":
                continue
            if now_ms - part.link.heard_ms > defaults.PEER_SILENCE_BOUND_MS:
                part.link.abort()

    def dial(self, now_ms: float, wanted: t.Iterable[Host]) -> None:
        """Connect to each wanted host that isn't linked, not too often."""
        for host in wanted:
            if host.host in self.board.peers or host.host == self.settings.host:
                continue
            if now_ms < self._dialling.get(host.host, 0.0):
                continue
            self._dialling[host.host] = now_ms + defaults.HANDSHAKE_TIMEOUT_MS
            self.links.connect(host.host, host.address, host.port)

    def part_of(self, host: str) -> PeerPart:
        """Return the linked peer ``host``.

        :raises LinkClosedError: if there is no link; nothing was sent.
        """
        part = self.board.peers.get(host)
        if part is None:
            raise LinkClosedError(f"no link to {host}", written=False)
        return part


def _now_ms() -> float:
    return time.monotonic() * 1000
