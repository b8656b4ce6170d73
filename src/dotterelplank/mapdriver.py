"""Carries out the map change protocol beside one rank of a group.

Everything runs on the thread that serves the links, but for the calls to the rank,
which wait on threads of their own.
"""

import dataclasses
import logging
import typing as t

from . import defaults, events, mapchange, maporders
from .codec import Codec
from .configuration import RankGroup
from .endpoint_calls import EndpointClient
from .errors import InvariantError, LinkClosedError, UpstreamError
from .link_server import LinkServer
from .links import Link
from .mapmessages import (
    Closed,
    Command,
    EngineView,
    Envelope,
    Event,
    Order,
    OrderDone,
    OrderLost,
    Propose,
    Read,
    ReadDone,
    ReadLost,
    Received,
    Report,
    Send,
    Stop,
    Tick,
)
from .mapstate import Policy, State, new_state
from .messages import MapFrame
from .threads import WorkerPool

log = logging.getLogger(__name__)

_CODEC = Codec(maporders.MESSAGE_KINDS)


@dataclasses.dataclass(frozen=True)
class Hooks:
    """What the agent does for the driver.

    :param link_to: returns a link to a host, or ``None`` after beginning to dial it.
    :param clock: the present time in monotonic milliseconds.
    :param on_superseded: another agent gives orders to this rank.
    """

    link_to: t.Callable[[str], Link | None]
    clock: t.Callable[[], float]
    on_superseded: t.Callable[[], None]


class MapDriver:
    """The protocol's state of one agent, and the map that operators want.

    The configuration names the wanted map with its revision. A map of an older
    revision than the one in use is never proposed, so that agents that are behind
    don't swing the group back.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        group: RankGroup,
        revision: int,
        client: EndpointClient,
        links: LinkServer,
        hooks: Hooks,
    ) -> None:
        self.group = group
        self._host = host
        self._client = client
        self._links = links
        self._hooks = hooks
        self._policy = Policy()
        self._workers = WorkerPool("rank")
        self._wanted = _payload(group, revision)
        self._wanted_revision = revision
        first = min(group.hosts)
        initial = self._wanted if host == first else None
        self.state: State = new_state(host, group.hosts, incarnation, initial)
        self._next_proposal_ms = 0.0
        self._is_over = False

    def want(self, group: RankGroup, revision: int) -> None:
        """Take the map that a newer configuration names."""
        if group.hosts != self.group.hosts:
            events.emit(log, events.RANK_GROUP_CHANGED, group=group.name)
            return
        self._wanted = _payload(group, revision)
        self._wanted_revision = revision
        self.group = group

    def on_tick(self, now_ms: float) -> None:
        """Let time pass, and propose the wanted map if it isn't in use."""
        self._decide(Tick())
        if now_ms >= self._next_proposal_ms and self._is_wanting():
            position = self.group.hosts.index(self._host)
            spread_ms = defaults.PROPOSAL_SPACING_MS * position
            self._next_proposal_ms = now_ms + defaults.PROPOSAL_INTERVAL_MS + spread_ms
            view = t.cast(EngineView, self.state.view)
            self._decide(Propose(view.version, self._wanted))

    def _is_wanting(self) -> bool:
        view = self.state.view
        if view is None or view.map is None or not self.state.settled:
            return False
        newest = view.committed.map if view.committed is not None else view.map
        used = maporders.published_map(newest.payload)
        is_newer = used.revision < self._wanted_revision
        return is_newer and used.value != self.group.map

    def on_frame(self, link: Link, frame: MapFrame) -> None:
        """Take a message of another agent of the group."""
        host = link.peer.host
        if host not in self.group.hosts:
            return
        message = _CODEC.unpack(frame.body)
        self._decide(Received(Envelope(host, frame.incarnation, message)))

    def _decide(self, event: Event) -> None:
        if self._is_over:
            return
        now_ms = int(self._hooks.clock())
        try:
            commands = mapchange.decide(now_ms, self.state, event, self._policy)
        except InvariantError as error:
            events.emit(log, events.INVARIANT_BROKEN, what="map", detail=str(error))
            self._end()
            return
        for command in commands:
            self._do(command)

    def _end(self) -> None:
        """Give no further order; the state is of no use any more."""
        self._is_over = True
        self._hooks.on_superseded()

    def _do(self, command: Command) -> None:
        match command:
            case Send(host, envelope):
                self._send(host, envelope)
            case Order():
                self._workers.submit(self._give, command)
            case Read(read_id):
                self._workers.submit(self._read, read_id)
            case Closed(ballot, closure):
                events.emit(
                    log,
                    events.PROPOSAL_CLOSED,
                    ballot=ballot,
                    closure=closure.value,
                )
            case Report(event, host, ballot, map_version):
                events.emit(
                    log, event, about=host, ballot=ballot, map_version=map_version
                )
            case Stop():
                self._end()

    def _send(self, host: str, envelope: Envelope) -> None:
        link = self._hooks.link_to(host)
        if link is None:
            return
        body = _CODEC.pack(envelope.message)
        try:
            link.send(MapFrame(envelope.incarnation, body))
        except LinkClosedError:
            return

    def _give(self, order: Order) -> None:
        event: Event
        try:
            event = OrderDone(order.order_id, maporders.give(self._client, order))
        except UpstreamError as error:
            events.emit(log, events.ENDPOINT_FAILED, reason=str(error))
            event = OrderLost(order.order_id)
        self._links.call(lambda: self._decide(event))

    def _read(self, read_id: int) -> None:
        event: Event
        try:
            event = ReadDone(read_id, maporders.read(self._client))
        except UpstreamError as error:
            events.emit(log, events.ENDPOINT_FAILED, reason=str(error))
            event = ReadLost(read_id)
        self._links.call(lambda: self._decide(event))


def _payload(group: RankGroup, revision: int) -> bytes:
    return maporders.payload_of({"revision": revision, **group.map})
