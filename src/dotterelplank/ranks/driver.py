"""The driver of an agent: it changes the group's expert map and resolves held passes.

:mod:`.change` decides which tasks are due. The driver sends them to the ranks or to
their agents and records what they report.
"""

import dataclasses
import logging
import random
import typing as t

from .. import events
from ..clocks import boottime_ms
from ..errors import UpstreamError
from ..gateway.host import Address
from ..loops import BackgroundTasks
from ..platform.ranks import RankClient
from . import change as changes, fanout, messages, phases, policy, tasks, versions
from .group import Group
from .membership import Membership, RankId
from .metrics import AgentMetrics
from .participant import execute, send_order_once
from .views import ExpertMap, HoldStep, RankView

log = logging.getLogger(__name__)

SLOW_PHASE_MS: t.Final = 1_000.0
"""A phase of a change that takes longer is logged."""
DIRECT_TIMEOUT_MS: t.Final = 200.0
"""The timeout of a query sent to a rank of another host."""
DIRECT_ORDER_TIMEOUT_MS: t.Final = 40.0
"""The longest time that a rank of another host may take to execute an order."""


class Driver:
    """Drives one change at a time.

    :param ip: address of this host.
    :param link_mbps: bandwidth of this host's link, in megabits per second.
    :param rank: client for the rank of this host.
    :param send: sends a message to the agent at an address and returns the message's
        size in bytes.
    :param on_unreachable: called with the reason when the rank of this host doesn't
        answer.
    """

    def __init__(
        self,
        ip: str,
        link_mbps: float,
        group: Group,
        membership: Membership,
        rank: RankClient,
        metrics: AgentMetrics,
        send: t.Callable[[str, t.Any], int],
        on_unreachable: t.Callable[[str], None],
    ) -> None:
        self.change: changes.Change | None = None
        self._ip = ip
        self._link_mbps = link_mbps
        self._group = group
        self._membership = membership
        self._rank = rank
        self._metrics = metrics
        self._send = send
        self._on_unreachable = on_unreachable
        self._random = random.Random()
        self._logged_phase: changes.Phase | None = None
        self._last_request_id = 0
        self._sent_bytes = 0
        self._distributed_version = -1
        self._base_map: tuple[int, ExpertMap] | None = None
        self._requested_versions: dict[int, int] = {}
        self._background = BackgroundTasks()

    def begin(
        self,
        now_ms: float,
        own: RankView,
        current_map: ExpertMap,
        decision: policy.Decision,
    ) -> None:
        """Begin a change to the map of ``decision``.

        :param own: the latest report of this agent's rank.
        :param current_map: the map in use.
        """
        version = self._group.new_version(self._random.getrandbits(versions.NONCE_BITS))
        plan = decision.plan
        self._group.store_map(version, plan.map)
        self._base_map = (own.map_version, current_map)
        self.change = changes.begin(
            now_ms,
            own,
            version,
            plan.map,
            decision.copy_ms,
            self._group.last_change_step + 1,
        )
        events.emit(
            log,
            events.CHANGE_BEGUN,
            version=version,
            epoch=own.epoch,
            step=own.step,
            skew_before=round(plan.skew_before, 3),
            skew_after=round(plan.skew_after, 3),
            copies=plan.copies,
            window_ms=round(decision.window_ms),
            pass_ms=round(self._group.pass_ms(now_ms), 1),
            planned_ms=round(boottime_ms() - now_ms, 1),
        )

    def take_over(self, now_ms: float, holder: int, step: int) -> None:
        """Begin to resolve the orphaned hold of pass ``step`` at rank ``holder``."""
        own = t.cast(RankView, self._group.own)
        nonce = self._random.getrandbits(versions.NONCE_BITS)
        self._group.last_change_step = max(self._group.last_change_step, step)
        self.change = changes.take_over(
            now_ms,
            own.formation,
            own.size,
            holder,
            step,
            self._group.new_version(nonce),
        )
        self._metrics.count_take_over()
        events.emit(log, events.CHANGE_TAKEN_OVER, holder=holder, step=step)

    def try_abandon(self) -> bool:
        """Abandon the change in progress, if any, unless it may already hold a pass.

        Return whether no change is in progress afterwards.
        """
        if self.change is not None and changes.abandon_if_preparing(self.change):
            self.advance()
        return self.change is None

    def reset(self) -> None:
        """Discard the change in progress and its pending requests."""
        self.change = None
        self._requested_versions.clear()
        self._logged_phase = None
        self._sent_bytes = 0

    def advance(self) -> None:
        """Advance the change in progress, if any, as far as possible."""
        change = self.change
        if change is None:
            return
        now_ms = boottime_ms()
        self._dispatch(change, phases.advance(now_ms, change))
        self._group.last_change_step = max(self._group.last_change_step, change.step)
        self._log_slow_phase(now_ms, change)
        if change.outcome is not None:
            sent_bytes = self._sent_bytes
            self.reset()
            if change.outcome is changes.Outcome.SWITCHED:
                self._distributed_version = change.version
            self._metrics.count_change(change.outcome.value)
            self._metrics.change.observe(now_ms - change.began_ms)
            events.emit(
                log,
                events.CHANGE_ENDED,
                version=change.version,
                step=change.step,
                outcome=change.outcome.value,
                took_ms=round(now_ms - change.began_ms),
                spent_ms={
                    phase.value: round(duration_ms)
                    for phase, duration_ms in change.phase_durations_ms.items()
                },
                heard=len(change.views),
                repeats=change.resends,
                sent_bytes=sent_bytes,
                pass_ms=round(self._group.pass_ms(now_ms), 1),
            )

    def on_reply(self, reply: messages.TaskReply) -> None:
        """Record the rank's report, if the reply is for the change in progress."""
        version = self._requested_versions.get(reply.request_id)
        change = self.change
        if change is not None and version == change.version:
            self._record_view(change, reply.view)

    def _log_slow_phase(self, now_ms: float, change: changes.Change) -> None:
        """Log a phase that is slow, once, with the ranks that are armed."""
        if (
            now_ms - change.phase_began_ms < SLOW_PHASE_MS
            or self._logged_phase == change.phase
        ):
            return
        self._logged_phase = change.phase
        views = change.views.values()
        events.emit(
            log,
            events.MAP_CHANGE_SLOW,
            phase=change.phase.value,
            version=change.version,
            step=change.step,
            heard=len(change.views),
            armed=sorted(view.rank for view in views if view.armed is not None),
            phase_ms=round(now_ms - change.phase_began_ms),
        )

    def _dispatch(
        self, change: changes.Change, assignments: t.Sequence[tasks.Assignment]
    ) -> None:
        """Execute tasks, or send them to agents; a task for many agents is fanned out.

        :param assignments: the tasks and the ranks that they are for.
        """
        by_task: dict[tuple[int, bool], tuple[tasks.Task, list[int]]] = {}
        for assignment in assignments:
            if self._is_for_agent(assignment):
                key = (id(assignment.task), assignment.is_repeat)
                by_task.setdefault(key, (assignment.task, []))[1].append(
                    assignment.rank
                )
            else:
                self._execute(change, assignment)
        for (_, is_repeat), (task, ranks) in by_task.items():
            self._request(change, ranks, task, is_repeat)

    def _is_for_agent(self, assignment: tasks.Assignment) -> bool:
        own = t.cast(RankView, self._group.own)
        if assignment.rank == own.rank or assignment.is_direct:
            return False
        return assignment.rank in self._group.alive(boottime_ms())

    def _execute(self, change: changes.Change, assignment: tasks.Assignment) -> None:
        """Start a task whose orders this agent sends to the rank itself."""
        own = t.cast(RankView, self._group.own)
        if assignment.rank == own.rank:
            work = self._execute_locally(change, assignment.task)
        elif isinstance(
            assignment.task, tasks.Hold
        ) and assignment.rank in self._group.alive(boottime_ms()):
            work = self._hold_remotely(change, assignment.rank, assignment.task)
        else:
            work = self._execute_remotely(change, assignment)
        self._background.spawn(work)

    def _request(
        self,
        change: changes.Change,
        ranks: t.Sequence[int],
        task: tasks.Task,
        is_repeat: bool = False,
    ) -> None:
        """Ask the agents of ``ranks`` to execute a task at their ranks.

        :param is_repeat: whether the ranks were sent this task before.
        """
        encoded = None
        if isinstance(task, tasks.Prepare):
            encoded = self._encode_map(task, is_repeat)
        self._last_request_id += 1
        self._requested_versions[self._last_request_id] = change.version
        task_request = messages.task_request(
            self._ip, self._last_request_id, change.formation, task, encoded
        )
        self._sent_bytes += self.fan_out(task_request, ranks)

    def _encode_map(self, task: tasks.Prepare, is_repeat: bool) -> messages.EncodedMap:
        """Return the encoded map, in full if a receiver may not know the base map."""
        # All agents know the map in use if this agent drove the change to it.
        if (
            is_repeat
            or self._base_map is None
            or self._distributed_version != self._base_map[0]
        ):
            return messages.encode_map(task.map)
        return messages.encode_map(task.map, self._base_map)

    def fan_out(
        self, task_request: messages.TaskRequest, ranks: t.Sequence[int]
    ) -> int:
        """Send a task to the agents of ``ranks``; a few of them forward it to the rest.

        Return the number of bytes that this agent sent.
        """
        members = self._group.members
        known = [rank for rank in ranks if rank in members]
        self._random.shuffle(known)
        sent_bytes = 0
        message_bytes = len(messages.CODEC.encode(task_request))
        max_branches = fanout.branch_count(message_bytes, self._link_mbps)
        for first, *rest in fanout.split_branches(known, max_branches):
            forwarded = dataclasses.replace(task_request, forward_to=tuple(rest))
            sent_bytes += self._send(members[first].heartbeat.ip, forwarded)
        return sent_bytes

    async def _hold_remotely(
        self, change: changes.Change, rank: int, task: tasks.Hold
    ) -> None:
        """Send the order to hold a pass, then ask the rank's agent for a report.

        Reading a report from another host costs more than letting the agent read it.
        """
        address = self._address_of(rank)
        if address is None:
            return
        client = direct_client(address)
        try:
            order = HoldStep(change.formation.epoch, task.step)
            is_accepted = await send_order_once(client, order)
        finally:
            client.close()
        if is_accepted is not None:
            self._request(change, [rank], tasks.QueryState())

    async def _execute_locally(self, change: changes.Change, task: tasks.Task) -> None:
        try:
            self._record_view(change, await execute(self._rank, change.formation, task))
        except UpstreamError as error:
            self._on_unreachable(str(error))

    async def _execute_remotely(
        self, change: changes.Change, assignment: tasks.Assignment
    ) -> None:
        address = self._address_of(assignment.rank)
        if address is None:
            return
        rank = direct_client(address)
        try:
            self._record_view(
                change, await execute(rank, change.formation, assignment.task)
            )
        except UpstreamError as error:
            events.emit(log, events.RANK_LOST, rank=assignment.rank, why=str(error))
        finally:
            rank.close()

    def _address_of(self, rank: int) -> Address | None:
        own = t.cast(RankView, self._group.own)
        address = self._membership.members.ranks.get(RankId(own.group, rank))
        if address is None:
            events.emit(log, events.RANK_LOST, rank=rank, why="its address isn't known")
        return address

    def _record_view(self, change: changes.Change, view: RankView) -> None:
        if change is self.change:
            changes.record_view(boottime_ms(), change, view)
            self.advance()


def direct_client(address: Address) -> RankClient:
    """Return a client for a rank of another host."""
    return RankClient(address, DIRECT_TIMEOUT_MS, DIRECT_ORDER_TIMEOUT_MS)
