"""The entry daemon: its listeners, periodic tasks, startup and shutdown."""

import asyncio
import contextlib
import dataclasses
import logging
import random
import signal
import socket
import typing as t

from .. import events
from ..clocks import boottime_ms
from ..datagram_codec import DatagramHandler
from ..errors import ProtocolError, SettingsError
from ..http1.server import (
    DEFAULT_CONNECTION_LIMITS,
    Call,
    ConnectionLimits,
    Exchange,
    Server,
)
from ..loops import run_supervised
from ..metric_set import METRICS_PATH
from ..platform.listener import LISTEN_BACKLOG
from ..sequences import new_incarnation
from . import crash_reports, peers as peering
from .feed import Feed
from .forwarder import Forwarder
from .host import Address, HostSettings
from .loads import PeerLoad
from .metrics import EntryMetrics
from .server_limits import LimitReport
from .snapshots import SNAPSHOT_PATH, parse_known
from .state import EntryState, waiting

log = logging.getLogger(__name__)

TICK_MS: t.Final = 50.0
MIN_LOGGED_PAUSE_MS: t.Final = 1_000.0
"""Shortest pause of this process between two ticks that is logged."""
SETTINGS_CHECK_MS: t.Final = 1_000.0
STOP_MARGIN_MS: t.Final = 700.0
"""Time reserved for sending the last responses, out of the time for a stop."""
BALANCER_NOTICE_MS: t.Final = 2_500.0
"""Time within which the platform's load balancer notices that an entry isn't ready."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reports:
    """What one heartbeat tells of servers."""

    crashes: list[crash_reports.CrashReport]
    limits: list[LimitReport]
    leaving: list[str]


class Entry:
    """An entry on its event loop.

    :param reload: reads the settings again and returns them.
    :param metrics_port: port of an additional internal listener, for metrics; None:
        there is none.
    :param listener: the callers' listener, if it is open already.
    """

    def __init__(
        self,
        host: HostSettings,
        reload: t.Callable[[], HostSettings],
        metrics_port: int | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        self._reload = reload
        self._metrics_port = metrics_port
        self._listener = listener
        self.state = EntryState(host, random.Random())
        self.metrics = EntryMetrics()
        self._incarnation = new_incarnation()
        self._heartbeats = 0
        self._heartbeat_ms = 0.0
        self._reported_ms = 0.0
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._peers = peering.Peers(host.ip)
        self._forwarder = Forwarder(
            self.state,
            boottime_ms,
            self.metrics,
            self._on_load_changed,
            self._on_news,
        )
        self._feed = Feed(
            self.state,
            self._peers,
            boottime_ms,
            self.metrics,
            self._on_directory_changed,
        )
        self._caller_server = Server(
            self._forwarder.handle, self._connection_limits, self._on_refused
        )
        self._internal_server = Server(
            self._handle_internal, lambda: DEFAULT_CONNECTION_LIMITS, self._on_refused
        )
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal requests a stop, then finish the calls in progress."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        async with contextlib.AsyncExitStack() as stack:
            await self._listen(stack)
            events.emit(
                log,
                events.PROCESS_STARTED,
                role="entry",
                incarnation=self._incarnation,
                domain=self.state.host.domain,
            )
            for work in (self._feed.follow, self._tick):
                supervised = run_supervised(work.__name__, work)
                stack.callback(loop.create_task(supervised).cancel)
            await self._stop.wait()
            await self._drain()
        self._feed.close()
        self._forwarder.sender.close()
        events.emit(log, events.PROCESS_STOPPED, role="entry")

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        host = self.state.host
        listeners: list[tuple[Server, Address | None]] = [
            (self._internal_server, host.health_address),
            (self._internal_server, Address(host.ip, host.peer_port)),
        ]
        if self._metrics_port is not None:
            listeners.append(
                (self._internal_server, Address(host.ip, self._metrics_port))
            )
        if self._listener is None:
            listeners.append((self._caller_server, host.caller_address))
        else:
            await _serve(stack, self._caller_server, sock=self._listener)
        for server, address in listeners:
            if address is not None:
                await _serve(stack, server, host=address.ip, port=address.port)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramHandler(self._on_datagram),
            local_addr=(host.ip, host.peer_port),
        )
        self._datagram_transport = t.cast(asyncio.DatagramTransport, transport)
        stack.callback(transport.close)

    async def _drain(self) -> None:
        """Answer the calls in progress, within the time for a stop."""
        began_ms = boottime_ms()
        bound_ms = self.state.host.bounds.stop_ms - STOP_MARGIN_MS
        self.state.stop_due_ms = began_ms + bound_ms
        self._caller_server.stop()
        self._heartbeat()
        events.emit(
            log, events.PROCESS_STOPPING, in_progress=self._caller_server.in_progress()
        )
        while (spent_ms := boottime_ms() - began_ms) < bound_ms:
            if spent_ms >= min(BALANCER_NOTICE_MS, bound_ms / 2):
                self.state.is_closed = True
                self._caller_server.close_idle()
                if not self._caller_server.in_progress():
                    break
            await asyncio.sleep(TICK_MS / 1000)
        else:
            events.emit(
                log, events.STOP_BOUND_REACHED, cut=self._caller_server.in_progress()
            )
            self._forwarder.end_calls()
            await asyncio.sleep(TICK_MS / 1000)
        self._caller_server.close_all()
        await asyncio.sleep(TICK_MS / 1000)

    async def _tick(self) -> None:
        """Send heartbeats, check timeouts and expiries, and reload the settings."""
        last_ms = boottime_ms()
        checked_ms = last_ms
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            now_ms = boottime_ms()
            if now_ms - last_ms > MIN_LOGGED_PAUSE_MS:
                events.emit(
                    log, events.PAUSE_NOTICED, paused_ms=round(now_ms - last_ms)
                )
            else:
                # After a pause of this process, all endpoints would seem unresponsive.
                self._forwarder.check_inactivity(now_ms)
            last_ms = now_ms
            self._expire(now_ms)
            if now_ms - self._heartbeat_ms >= peering.HEARTBEAT_INTERVAL_MS:
                self._heartbeat()
            if now_ms - checked_ms >= SETTINGS_CHECK_MS:
                checked_ms = now_ms
                self._reload_settings()

    def _expire(self, now_ms: float) -> None:
        for peer in self._peers.expire(now_ms):
            events.emit(
                log,
                events.PEER_LOST,
                peer=peer.heartbeat.name,
                silent_ms=round(now_ms - peer.last_seen_ms),
            )
        self.state.loads.expire(now_ms)
        self.state.suspects.expire(now_ms)
        self.state.server_limits.expire(now_ms)
        self.state.pauses.expire(now_ms)
        alive = self._peers.alive()
        self.state.entries = 1 + len(alive)
        own = () if self.state.is_stopping else (self.state.host.name,)
        self.state.entry_names = (*own, *(peer.heartbeat.name for peer in alive))
        leave_ms = self.state.host.bounds.leave_ms
        if self.state.directory.expire(now_ms, leave_ms):
            self._on_directory_changed()
        self._forwarder.slots.admit_waiting()

    def _on_directory_changed(self) -> None:
        endpoints = self.state.directory.endpoints.values()
        self._forwarder.sender.keep_only(
            {(endpoint.id, endpoint.started_ms) for endpoint in endpoints}
        )
        self.state.progress.keep_only({endpoint.id for endpoint in endpoints})
        incarnations = {endpoint.incarnation for endpoint in endpoints}
        self.state.server_limits.keep_only(incarnations)
        self.state.limit_shares.keep_only(incarnations)
        self.state.openings.update(boottime_ms(), self.state.directory)
        self._on_load_changed()
        self._forwarder.slots.admit_waiting()

    def _on_load_changed(self) -> None:
        """Schedule a heartbeat, which covers all changes until it is sent."""
        if self._heartbeat_timer is not None:
            return
        link_mbps = self.state.host.link_mbps
        spacing_ms = peering.spacing_ms(self.state.entries - 1, link_mbps)
        due_ms = max(0.0, self._heartbeat_ms + spacing_ms - boottime_ms())
        loop = asyncio.get_running_loop()
        self._heartbeat_timer = loop.call_later(due_ms / 1000, self._heartbeat)

    def _on_news(self) -> None:
        """Tell the peers at once of prompts, or of what servers have said."""
        self._reported_ms = -peering.HEARTBEAT_INTERVAL_MS
        self._heartbeat()

    def _reports(self, now_ms: float) -> _Reports:
        """Return what a heartbeat tells of servers; often nothing is due."""
        if now_ms - self._reported_ms < peering.HEARTBEAT_INTERVAL_MS:
            return _Reports([], [], [])
        self._reported_ms = now_ms
        state = self.state
        return _Reports(
            crash_reports.make_reports(now_ms, state.suspects),
            state.server_limits.reports(now_ms),
            state.directory.leaving_listed(),
        )

    def _heartbeat(self) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
            self._heartbeat_timer = None
        if self._datagram_transport is None:
            return
        now_ms = boottime_ms()
        self._heartbeat_ms = now_ms
        self._heartbeats += 1
        state, host = self.state, self.state.host
        reports = self._reports(now_ms)
        data = peering.CODEC.encode(
            peering.Heartbeat(
                name=host.name,
                ip=host.ip,
                domain=host.domain,
                incarnation=self._incarnation,
                number=self._heartbeats,
                table_version=state.table.version if state.table else 0,
                directory_revision=state.directory.revision,
                in_flight=dict(state.loads.own_in_flight),
                waiting=dict(waiting(state)),
                peers=self._peers_to_advertise(),
                is_reading=self._feed.is_reading,
                is_leaving=state.is_stopping,
                store_age_ms=self._feed.age_ms(now_ms),
                is_probing=state.probes.own is not None,
                crashes=reports.crashes,
                limits=reports.limits,
                leaving=reports.leaving,
            )
        )
        for ip in self._peers.destinations(now_ms, host.seeds):
            self._datagram_transport.sendto(data, (ip, host.peer_port))

    def _peers_to_advertise(self) -> list[str]:
        known = list(self._peers.by_ip)
        if len(known) <= peering.PEERS_PER_HEARTBEAT:
            return known
        return self.state.random.sample(known, peering.PEERS_PER_HEARTBEAT)

    def _on_datagram(self, data: bytes) -> None:
        now_ms = boottime_ms()
        try:
            heartbeat = peering.CODEC.decode(data)
        except ProtocolError as error:
            events.emit(log, events.FRAME_REFUSED, why=str(error))
            return
        known = self._peers.by_ip.get(heartbeat.ip)
        if not self._peers.on_heartbeat(now_ms, heartbeat):
            return
        if known is None or not known.is_alive:
            events.emit(
                log,
                events.PEER_FOUND,
                peer=heartbeat.name,
                incarnation=heartbeat.incarnation,
                table_version=heartbeat.table_version,
            )
        load = PeerLoad(heartbeat.in_flight, heartbeat.waiting, now_ms)
        self.state.loads.on_heartbeat(heartbeat.ip, load)
        is_new = known is None or known.heartbeat.incarnation != heartbeat.incarnation
        self._on_peer_news(now_ms, heartbeat, is_new=is_new)
        self._feed.on_heartbeat(now_ms, heartbeat)
        self._forwarder.slots.admit_waiting()

    def _on_peer_news(
        self, now_ms: float, heartbeat: peering.Heartbeat, *, is_new: bool
    ) -> None:
        """Add what a peer knows of servers; tell it what it lacks."""
        state = self.state
        for incarnation in state.server_limits.merge(now_ms, heartbeat.limits):
            events.emit(
                log,
                events.ENDPOINT_LIMIT_CHANGED,
                endpoint=incarnation.partition("@")[0],
                per_s=state.server_limits.limits[incarnation].per_s,
                peer=heartbeat.name,
            )
        for incarnation in heartbeat.leaving:
            if state.directory.note_leaving(incarnation):
                events.emit(
                    log,
                    events.ENDPOINT_LEAVING,
                    endpoint=incarnation.partition("@")[0],
                    peer=heartbeat.name,
                )
        state.probes.on_heartbeat(now_ms, heartbeat.ip, heartbeat.is_probing)
        has_news = crash_reports.merge(now_ms, state.suspects, heartbeat.crashes)
        if is_new and (state.suspects.crashes or state.server_limits.limits):
            has_news = True
        if has_news:
            self._on_news()

    async def _handle_internal(self, call: Call, exchange: Exchange) -> None:
        """Answer queries for readiness, for metrics, and for the snapshot by a peer."""
        path, _, query = call.target.partition(b"?")
        if path == SNAPSHOT_PATH:
            known = parse_known(query)
            exchange.respond(200, [], self._feed.snapshot(known))
        elif path == METRICS_PATH:
            exchange.respond(200, [], self.metrics.render(self._gauges()))
        else:
            exchange.respond(200 if self.state.is_ready() else 503, [], b"")

    def _gauges(self) -> t.Mapping[str, float]:
        state = self.state
        return {
            "ready": float(state.is_ready()),
            "in_flight": sum(state.loads.own_in_flight.values()),
            "in_flight_elsewhere": sum(state.loads.peers_in_flight.values()),
            "waiting": sum(waiting(state).values()),
            "pass_ms": state.concurrency_limits.longest_pass_ms(),
            "places_share": state.concurrency_limits.min_share(),
            "entries": state.entries,
            "endpoints": len(state.directory.endpoints),
            "limited_endpoints": len(state.server_limits.limits),
            "crashes": len(state.suspects.crashes),
            "table_version": state.table.version if state.table else 0,
            "directory_revision": state.directory.revision.number,
            "store_era": state.directory.revision.era,
        }

    def _connection_limits(self) -> ConnectionLimits:
        table = self.state.table
        if table is None:
            return DEFAULT_CONNECTION_LIMITS
        limits = table.limits
        return ConnectionLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )

    def _on_refused(self, status: int, why: str) -> None:
        events.emit(log, events.CALL_UNREADABLE, status=status, why=why)

    def _reload_settings(self) -> None:
        try:
            host = self._reload()
        except SettingsError as error:
            events.emit(log, events.SETTINGS_REFUSED, why=str(error))
            return
        if host != self.state.host:
            self.state.host = host
            events.emit(log, events.SETTINGS_RELOADED, seeds=len(host.seeds))


async def _serve(
    stack: contextlib.AsyncExitStack, server: Server, **where: t.Any
) -> None:
    """Accept connections for a server, until the stack is closed.

    :param where: ``host`` and ``port`` of a new listener, or an open one as ``sock``.
    """
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        server.make_connection, backlog=LISTEN_BACKLOG, **where
    )
    stack.callback(listener.close)
