"""The agent daemon.

It reads the rank of its host, reports to the agents of the other ranks, and takes part
in changes of the group's expert map.
"""

import asyncio
import contextlib
import logging
import signal
import typing as t

from .. import events
from ..clocks import boottime_ms
from ..datagram_codec import DatagramHandler
from ..errors import ProtocolError, UpstreamError
from ..gateway.host import Address, HostSettings
from ..http1.server import DEFAULT_CONNECTION_LIMITS, Call, Exchange, Server
from ..loops import BackgroundTasks, run_supervised
from ..metric_set import METRICS_PATH
from ..platform.ranks import RankClient
from ..sequences import new_incarnation
from . import messages, policy
from .demand import DemandHistory
from .driver import Driver
from .group import Group
from .lookup import Lookup
from .membership import Membership
from .metrics import AgentMetrics
from .recovery import Recovery
from .reporter import Reporter
from .task_runner import TaskRunner
from .views import RankView

log = logging.getLogger(__name__)

READ_INTERVAL_MS: t.Final = 75.0
"""The time between two reads of the rank."""
TICK_MS: t.Final = 25.0
"""How often a change in progress is advanced, in addition to each reply."""
MAX_TASK_GAP_MS: t.Final = 300.0
"""The longest time between two tasks of one change for the same rank."""
RANK_TIMEOUT_MS: t.Final = 500.0
"""How long the rank may not answer before it is logged as lost."""


class Agent:
    """The agent of one host.

    :param metrics_port: port at which metrics are served; ``None`` to serve none.
    """

    def __init__(
        self,
        host: HostSettings,
        metrics_port: int | None = None,
        reload: t.Callable[[], HostSettings] | None = None,
    ) -> None:
        self._host = host
        self._metrics_port = metrics_port
        self.metrics = AgentMetrics()
        self._metrics_server = Server(
            self._serve_metrics, lambda: DEFAULT_CONNECTION_LIMITS, self._on_refused
        )
        self._group = Group()
        self._demand_history = DemandHistory()
        self._rank = RankClient(t.cast(Address, host.endpoint))
        self._incarnation = new_incarnation()
        self._last_seen_ms = boottime_ms()
        self._last_task_ms = 0.0
        self._is_lost = False
        self._planned_ms = 0.0
        self._membership = Membership(host.link_mbps)
        self._lookup = Lookup(
            host, self._group, self._membership, self._send, reload or (lambda: host)
        )
        self._reporter = Reporter(
            host,
            self._incarnation,
            self._group,
            self._membership,
            self._rank,
            self._demand_history,
            self._send_to_all,
        )
        self._driver = Driver(
            host.ip,
            host.link_mbps,
            self._group,
            self._membership,
            self._rank,
            self.metrics,
            self._send,
            self._on_rank_unreachable,
        )
        self._recovery = Recovery(self._group, self._membership, self._driver)
        self._tasks = TaskRunner(
            self._group, self._rank, self.metrics, self._send, self._on_rank_unreachable
        )
        self._background = BackgroundTasks()
        self._datagrams: asyncio.DatagramTransport | None = None
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Run until a signal to terminate arrives."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        async with contextlib.AsyncExitStack() as stack:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: DatagramHandler(self._on_datagram),
                local_addr=(self._host.ip, self._host.peer_port),
            )
            self._datagrams = t.cast(asyncio.DatagramTransport, transport)
            stack.callback(transport.close)
            if self._metrics_port is not None:
                listener = await loop.create_server(
                    self._metrics_server.make_connection,
                    self._host.ip,
                    self._metrics_port,
                )
                stack.callback(listener.close)
                stack.callback(self._metrics_server.close_all)
            events.emit(
                log,
                events.PROCESS_STARTED,
                role="agent",
                incarnation=self._incarnation,
                domain=self._host.domain,
            )
            for work in (
                self._sample,
                self._turn,
                self._lookup.follow,
                self._recovery.follow,
            ):
                supervised = run_supervised(work.__qualname__, work)
                stack.callback(loop.create_task(supervised).cancel)
            await self._stop.wait()
            events.emit(
                log, events.PROCESS_STOPPING, in_change=self._driver.change is not None
            )
            self._reporter.announce_leaving()
            await self._finish_changes()
            self._reporter.announce_stopped()
        self._rank.close()
        self._lookup.close()
        events.emit(log, events.PROCESS_STOPPED, role="agent")

    async def _finish_changes(self) -> None:
        """Wait until no change needs this agent, for at most half the stop timeout."""
        now_ms = self._last_task_ms = boottime_ms()
        deadline_ms = now_ms + self._host.bounds.stop_ms / 2
        while self._is_in_change(now_ms) and now_ms < deadline_ms:
            await asyncio.sleep(TICK_MS / 1000)
            now_ms = boottime_ms()

    def _is_in_change(self, now_ms: float) -> bool:
        """Return whether a change driven here or by another agent needs this agent."""
        own = self._group.own
        is_armed = own is not None and own.armed is not None
        has_recent_task = now_ms - self._last_task_ms < MAX_TASK_GAP_MS
        return self._driver.change is not None or is_armed or has_recent_task

    async def _sample(self) -> None:
        """Read the rank regularly and report its state, rows and counts."""
        while True:
            began_ms = boottime_ms()
            try:
                await self._read_rank()
            except UpstreamError as error:
                self._on_rank_unreachable(str(error))
            spent_ms = boottime_ms() - began_ms
            pause_ms = max(READ_INTERVAL_MS - spent_ms, READ_INTERVAL_MS / 4)
            await asyncio.sleep(pause_ms / 1000)

    async def _read_rank(self) -> None:
        view = await self._rank.view()
        now_ms = boottime_ms()
        self._on_view(now_ms, view)
        self._reporter.heartbeat(now_ms, view, READ_INTERVAL_MS)
        await self._reporter.report_rows(now_ms, view)
        await self._reporter.report_counts(now_ms, view)

    def _on_view(self, now_ms: float, view: RankView) -> None:
        self._last_seen_ms = now_ms
        if self._is_lost or self._group.own is None:
            self._is_lost = False
            events.emit(log, events.RANK_REGAINED, rank=view.rank, epoch=view.epoch)
        if self._group.on_view(now_ms, view):
            self._reporter.clear()
            self._driver.reset()
        self._recovery.on_view(now_ms, view)

    def _on_rank_unreachable(self, why: str) -> None:
        silent_ms = boottime_ms() - self._last_seen_ms
        if not self._is_lost and silent_ms > RANK_TIMEOUT_MS:
            self._is_lost = True
            self.metrics.count_rank_lost()
            events.emit(log, events.RANK_LOST, silent_ms=round(silent_ms), why=why)

    async def _turn(self) -> None:
        """Begin changes and advance the one in progress."""
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            now_ms = boottime_ms()
            if self._driver.change is None:
                self._begin_change(now_ms)
            self._driver.advance()

    def _begin_change(self, now_ms: float) -> None:
        group, layout = self._group, self._membership.members.layout
        own = group.own
        if own is None or layout is None or self._stop.is_set():
            return
        if group.leader(now_ms) != own.rank or not group.may_begin_change(now_ms):
            return
        current_map = group.current_map()
        latest_counts_ms = self._demand_history.latest_ms()
        if (
            current_map is None
            or latest_counts_ms is None
            or latest_counts_ms <= self._planned_ms
        ):
            return
        self._planned_ms = now_ms
        timing = policy.PassTiming(
            self._group.pass_ms(now_ms), self._membership.members.gap_target_ms
        )
        decision = policy.decide(
            now_ms, self._demand_history, current_map, layout, timing
        )
        if decision is None:
            return
        self._driver.begin(now_ms, own, current_map, decision)

    def _on_datagram(self, data: bytes) -> None:
        try:
            message = messages.CODEC.decode(data)
        except ProtocolError as error:
            events.emit(log, events.FRAME_REFUSED, why=str(error))
            return
        now_ms = boottime_ms()
        match message:
            case messages.Heartbeat():
                if message.service == self._host.service:
                    self._group.on_heartbeat(now_ms, message)
                    self._lookup.on_heartbeat(now_ms, message)
            case messages.MembersRequest():
                self._lookup.answer(now_ms, message)
            case messages.MembersReply():
                self._lookup.on_members_reply(message)
            case messages.RowsReport():
                if self._is_of_group(message):
                    self._group.store_rows(message.rank, message.version, message.rows)
            case messages.Sample():
                if self._is_of_group(message):
                    self._reporter.on_sample(now_ms, message, len(data))
            case messages.AgentStopped():
                self._group.remove_agent(message)
            case messages.TaskRequest():
                self._last_task_ms = now_ms
                self._driver.fan_out(message, message.forward_to)
                self._background.spawn(self._tasks.answer(message))
            case messages.TaskReply():
                self._driver.on_reply(message)

    def _is_of_group(self, message: messages.Sample | messages.RowsReport) -> bool:
        own = self._group.own
        return own is not None and message.formation == own.formation

    async def _serve_metrics(self, call: Call, exchange: Exchange) -> None:
        """Respond to a request for the metrics."""
        if call.target.partition(b"?")[0] == METRICS_PATH:
            exchange.respond(200, [], self.metrics.render(self._state()))
        else:
            exchange.respond(404, [], b"")

    def _state(self) -> t.Mapping[str, float]:
        now_ms = boottime_ms()
        own = self._group.own
        return {
            "agents_alive": len(self._group.alive(now_ms)),
            "in_change": float(self._driver.change is not None),
            "is_leader": float(own is not None and self._reporter.leader == own.rank),
            "pass_ms": self._group.pass_ms(now_ms),
            "rank_silent_ms": now_ms - self._last_seen_ms,
            "held_ms": self._recovery.held_ms(now_ms),
            "step": -1 if own is None else own.step,
            "map_version": -1 if own is None else own.map_version,
        }

    def _on_refused(self, status: int, why: str) -> None:
        events.emit(log, events.CALL_UNREADABLE, status=status, why=why)

    def _send(self, ip: str, message: t.Any) -> int:
        """Send a message; return its size in bytes."""
        return self._send_to_all([ip], message)

    def _send_to_all(self, ips: t.Iterable[str], message: t.Any) -> int:
        data = messages.CODEC.encode(message)
        if self._datagrams is not None:
            for ip in ips:
                self._datagrams.sendto(data, (ip, self._host.peer_port))
        return len(data)
