"""Runs the planning of a rank group's expert maps in the agent of one rank.

Only the thread that serves the links uses the state. Reading the rank, computing a plan
and loading experts would block that thread for too long, so they run on worker threads.
"""

import dataclasses
import logging
import typing as t

from .. import defaults, events
from ..errors import InvariantError, UpstreamError
from ..links.endpoint_calls import EndpointClient
from ..links.messages import GroupMessage
from ..threads import WorkerPool
from . import orders as maporders, planner as mapplanner, rankload, rebalancing
from .ballots import EncodedMap
from .messages import Propose
from .planner_state import (
    Command,
    Compute,
    Event,
    Load,
    Loaded,
    MapChanged,
    Policy,
    Received,
    Report,
    Sampled,
    Send,
    Tick,
)
from .weight_store import WeightStore

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class PlanningHooks:
    """Callbacks that the map driver passes to the planning.

    :param clock: returns the current monotonic time in milliseconds.
    :param send: sends a message to a host; the message may be lost.
    :param propose: proposes a map change to the group.
    :param call: runs a function on the thread that serves the links.
    """

    clock: t.Callable[[], float]
    send: t.Callable[[str, GroupMessage], None]
    propose: t.Callable[[Propose], None]
    call: t.Callable[[t.Callable[[], None]], None]


class MapPlanning:
    """Samples the agent's rank and executes the commands of the planner.

    :param name: name of the group, which is also the name of its model in the weight
        store.
    :param client: client of the agent's rank.
    """

    def __init__(
        self,
        name: str,
        host: str,
        hosts: tuple[str, ...],
        policy: Policy,
        client: EndpointClient,
        workers: WorkerPool,
        hooks: PlanningHooks,
    ) -> None:
        self.policy = policy
        self._client = client
        self._workers = workers
        self._hooks = hooks
        self._state = mapplanner.new_state(hooks.clock(), host, hosts)
        self._meter: rankload.Meter | None = None
        self._next_reading_ms = 0.0
        self._is_reading = False
        self._is_closed = False
        self._loading: Load | None = None
        self._store: WeightStore | None = None
        if policy.planning.store_url:
            self._store = WeightStore(name, policy.planning)

    def on_tick(self, now_ms: float, newest_map: EncodedMap) -> None:
        """Advance the planning, and start to read the rank if a reading is due.

        :param now_ms: current monotonic time in milliseconds.
        :param newest_map: the newest committed map of the group.
        """
        if newest_map.version > self._state.map_version:
            published = maporders.published_map(newest_map.payload)
            self._decide(MapChanged(newest_map.version, published))
        self._decide(Tick())
        if now_ms >= self._next_reading_ms and not self._is_reading:
            self._next_reading_ms = now_ms + defaults.SAMPLE_INTERVAL_MS
            self._is_reading = True
            self._workers.submit(self._read)

    def on_message(self, host: str, message: GroupMessage) -> None:
        """Apply a message received from another agent of the group."""
        self._decide(Received(host, message))

    def close(self) -> None:
        """Stop: later events, also the results of worker threads, are ignored."""
        self._is_closed = True
        self._loading = None

    def _decide(self, event: Event) -> None:
        if self._is_closed:
            return
        now_ms = self._hooks.clock()
        for command in mapplanner.decide(now_ms, self._state, event, self.policy):
            self._execute(command)

    def _execute(self, command: Command) -> None:
        match command:
            case Send(host, message):
                self._hooks.send(host, message)
            case Compute():
                self._workers.submit(self._compute, command)
            case Load():
                self._loading = command
                self._workers.submit(self._load, command)
            case Propose():
                self._hooks.propose(command)
            case Report(event, host, map_version):
                events.emit(log, event, about=host, map_version=map_version)

    def _compute(self, command: Compute) -> None:
        try:
            may_move = self._store is None or self._store.is_available()
            computed = mapplanner.compute(command, may_move)
        except InvariantError as error:
            events.emit(log, events.INVARIANT_BROKEN, what="plan", detail=str(error))
            computed = mapplanner.without_plan(command)
        if computed.decision.plan is not None:
            rebalancing.log_plan(log, computed.decision.plan)
        self._hooks.call(lambda: self._decide(computed))

    def _load(self, command: Load) -> None:
        request = command.request
        is_complete = self._store is not None and self._store.load(
            request.experts, request.bound_ms, lambda: self._loading is command
        )
        loaded = Loaded(command.host, request.plan, is_complete)
        self._hooks.call(lambda: self._decide(loaded))

    def _read(self) -> None:
        reading = None
        try:
            reading = rankload.read(self._client)
        except UpstreamError as error:
            events.emit(log, events.ENDPOINT_FAILED, reason=str(error))
        self._hooks.call(lambda: self._on_reading(reading))

    def _on_reading(self, reading: rankload.Reading | None) -> None:
        self._is_reading = False
        if reading is not None:
            self._meter = rankload.advance(self._meter, reading)
            self._decide(Sampled(rankload.sample(self._meter)))
