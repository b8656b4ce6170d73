"""Runs the map change protocol in the agent of one rank.

Everything runs on the thread that serves the links, except the calls to the rank:
they block, so they run on worker threads.
"""

import dataclasses
import functools
import logging
import typing as t

from .. import defaults, events
from ..config.configuration import RankGroup
from ..config.planned_maps import Planning
from ..errors import InvariantError, LinkClosedError, UpstreamError
from ..links.codec import Codec
from ..links.endpoint_calls import EndpointClient
from ..links.link_server import LinkServer
from ..links.links import Link
from ..links.messages import GroupMessage, MapFrame
from ..threads import WorkerPool
from . import change as mapchange, orders as maporders, planner_state
from .ballots import EncodedMap
from .messages import (
    Command,
    EngineView,
    Envelope,
    Event,
    Order,
    OrderDone,
    OrderUnanswered,
    ProposalClosed,
    Propose,
    Read,
    ReadDone,
    ReadUnanswered,
    Received,
    Report,
    Send,
    Stop,
    Tick,
)
from .planning import MapPlanning, PlanningHooks
from .state import Policy, State, new_state

log = logging.getLogger(__name__)

_CODEC = Codec(maporders.MESSAGE_KINDS)


@dataclasses.dataclass(frozen=True)
class Hooks:
    """Callbacks that the agent passes to the driver.

    :param link_to: returns the link to a host; if there is none, starts to connect to
        the host and returns ``None``.
    :param clock: returns the current monotonic time in milliseconds.
    :param on_superseded: called when the driver has stopped for good, because another
        agent gives orders to this rank or an invariant was violated.
    """

    link_to: t.Callable[[str], Link | None]
    clock: t.Callable[[], float]
    on_superseded: t.Callable[[], None]


@dataclasses.dataclass(frozen=True)
class GroupConfiguration:
    """The part of a configuration that concerns one rank group.

    :param group: the group's entry in the configuration.
    :param revision: revision of the configuration.
    :param skew_weight: weight of the step-time skew against the cost of rebalancing;
        1 considers the skew alone, 0 the cost alone.
    """

    group: RankGroup
    revision: int
    skew_weight: float

    @functools.cached_property
    def payload(self) -> bytes:
        """Return the published map and its revision, encoded for engines."""
        return maporders.payload_of({"revision": self.revision, **self.group.map})

    @functools.cached_property
    def digest(self) -> str:
        """Return the digest of the published map, which maps planned from it carry."""
        return maporders.digest_of(self.group.map)


class MapDriver:
    """Runs the protocol for one agent and proposes the map that operators published.

    The configuration contains the published map and has a revision. A published map
    is proposed only if its revision is higher than that of the map in use, so that
    agents with an old configuration don't revert the group's map. In a group whose
    maps are planned, a published map is proposed only until a map that was planned
    from it is in use.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        configuration: GroupConfiguration,
        client: EndpointClient,
        links: LinkServer,
        hooks: Hooks,
    ) -> None:
        group = configuration.group
        self._configuration = configuration
        self._host = host
        self._client = client
        self._links = links
        self._hooks = hooks
        self._policy = Policy()
        self._workers = WorkerPool("rank")
        first_host = min(group.hosts)
        initial = configuration.payload if host == first_host else None
        self.state: State = new_state(host, group.hosts, incarnation, initial)
        self._next_proposal_ms = 0.0
        self._is_stopped = False
        self._planning = self._new_planning()

    @property
    def group(self) -> RankGroup:
        """Return the group's entry in the current configuration."""
        return self._configuration.group

    def configure(self, configuration: GroupConfiguration) -> None:
        """Apply a newer configuration of the group.

        A configuration that changes the group's hosts is logged and not applied.
        """
        if configuration.group.hosts != self.group.hosts:
            events.emit(log, events.RANK_GROUP_CHANGED, group=configuration.group.name)
            return
        was_planned = self.group.planned
        self._configuration = configuration
        if configuration.group.planned != was_planned:
            if self._planning is not None:
                self._planning.close()
            self._planning = self._new_planning()
        elif self._planning is not None:
            self._planning.policy = _planning_policy(configuration)

    def _new_planning(self) -> MapPlanning | None:
        if self.group.planned is None:
            return None
        planning_hooks = PlanningHooks(
            self._hooks.clock, self._send_message, self._decide, self._links.call
        )
        return MapPlanning(
            self.group.name,
            self._host,
            self.group.hosts,
            _planning_policy(self._configuration),
            self._client,
            self._workers,
            planning_hooks,
        )

    def on_tick(self, now_ms: float) -> None:
        """Advance the protocol and the planning, and propose the published map if due.

        :param now_ms: current monotonic time in milliseconds.
        """
        self._decide(Tick())
        if now_ms >= self._next_proposal_ms and self._is_proposal_due():
            position = self.group.hosts.index(self._host)
            stagger_ms = defaults.PROPOSAL_SPACING_MS * position
            self._next_proposal_ms = now_ms + defaults.PROPOSAL_INTERVAL_MS + stagger_ms
            view = t.cast(EngineView, self.state.view)
            self._decide(Propose(view.version, self._configuration.payload))
        if self._planning is not None and self.state.has_joined:
            newest_map = self._newest_map()
            if newest_map is not None:
                self._planning.on_tick(now_ms, newest_map)

    def _newest_map(self) -> EncodedMap | None:
        view = self.state.view
        if view is None or view.map is None:
            return None
        return view.committed.map if view.committed is not None else view.map

    def _is_proposal_due(self) -> bool:
        newest_map = self._newest_map()
        if newest_map is None or not self.state.has_joined:
            return False
        newest = maporders.published_map(newest_map.payload)
        if (
            newest.revision >= self._configuration.revision
            or newest.value == self.group.map
        ):
            return False
        is_planned = self.group.planned is not None
        return not is_planned or newest.planned_from != self._configuration.digest

    def on_frame(self, link: Link, frame: MapFrame) -> None:
        """Apply a protocol message received from another agent of the group."""
        host = link.peer.host
        if host not in self.group.hosts:
            return
        message = _CODEC.unpack(frame.body)
        self._decide(Received(Envelope(host, frame.incarnation, message)))

    def on_group_message(self, link: Link, message: GroupMessage) -> None:
        """Apply a planning message received from another agent of the group."""
        host = link.peer.host
        if self._planning is not None and host in self.group.hosts:
            self._planning.on_message(host, message)

    def _decide(self, event: Event) -> None:
        if self._is_stopped:
            return
        now_ms = int(self._hooks.clock())
        try:
            commands = mapchange.decide(now_ms, self.state, event, self._policy)
        except InvariantError as error:
            events.emit(log, events.INVARIANT_BROKEN, what="map", detail=str(error))
            self._stop()
            return
        for command in commands:
            self._execute(command)

    def _stop(self) -> None:
        """Process no further events, and notify the agent."""
        self._is_stopped = True
        self._hooks.on_superseded()

    def _execute(self, command: Command) -> None:
        match command:
            case Send(host, envelope):
                self._send(host, envelope)
            case Order():
                self._workers.submit(self._send_order, command)
            case Read(read_id):
                self._workers.submit(self._read, read_id)
            case ProposalClosed(ballot, result):
                events.emit(
                    log,
                    events.PROPOSAL_CLOSED,
                    ballot=ballot,
                    closure=result.value,
                )
            case Report(event, host, ballot, map_version):
                events.emit(
                    log, event, about=host, ballot=ballot, map_version=map_version
                )
            case Stop():
                self._stop()

    def _send(self, host: str, envelope: Envelope) -> None:
        body = _CODEC.pack(envelope.message)
        self._send_message(host, MapFrame(envelope.incarnation, body))

    def _send_message(self, host: str, message: MapFrame | GroupMessage) -> None:
        link = self._hooks.link_to(host)
        if link is None:
            return
        try:
            link.send(message)
        except LinkClosedError:
            return

    def _send_order(self, order: Order) -> None:
        event: Event
        try:
            event = OrderDone(order.order_id, maporders.send_order(self._client, order))
        except UpstreamError as error:
            events.emit(log, events.ENDPOINT_FAILED, reason=str(error))
            event = OrderUnanswered(order.order_id)
        self._links.call(lambda: self._decide(event))

    def _read(self, read_id: int) -> None:
        event: Event
        try:
            event = ReadDone(read_id, maporders.read(self._client))
        except UpstreamError as error:
            events.emit(log, events.ENDPOINT_FAILED, reason=str(error))
            event = ReadUnanswered(read_id)
        self._links.call(lambda: self._decide(event))


def _planning_policy(configuration: GroupConfiguration) -> planner_state.Policy:
    planning = t.cast(Planning, configuration.group.planned)
    return planner_state.policy_of(
        planning,
        configuration.skew_weight,
        configuration.revision,
        configuration.digest,
    )
