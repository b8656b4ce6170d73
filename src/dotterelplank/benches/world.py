"""Entries that send traffic to fake engines, with late reports and faults.

All runs on a virtual clock. What the entries hear of the engines is late and has
gaps; how they choose is a closure given by the bench.
"""

import dataclasses
import math
import random
import typing as t

from ..routing import endpoint_view
from ..routing.endpoint_view import CacheEvent, EndpointView, LoadReport
from ..standins.fake_engine import EngineOptions, FakeEngine, Happening, Stage
from . import traffic as bench_traffic
from .traffic import Arrival
from .virtual_clock import Act, VirtualClock

REPORT_INTERVAL_MS = 500.0
PROGRESS_INTERVAL_MS = 200.0
SAMPLE_INTERVAL_MS = 1_000.0
CUT_DETECTION_MS = 200.0
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A change of one engine's speed; 1 is the full one, 0 frozen."""

    at_ms: float
    engine: int
    speed: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A time in which one domain reaches no other."""

    domain: str
    from_ms: float
    to_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorldOptions:
    """The size of a run, what is late in it, and what fails.

    :param loads: load of each domain as a part of the capacity of its engines.
    :param target_ms: time within which a first token is wanted.
    :param give_up_ms: time after which a caller without a first token leaves.
    """

    entries: int
    engines: int
    loads: tuple[float, ...]
    warm_up_ms: float
    duration_ms: float
    report_delay_min_ms: float = 100.0
    report_delay_max_ms: float = 1_500.0
    event_delay_max_ms: float = 5_000.0
    event_loss: float = 0.1
    target_ms: float = 740.0
    give_up_ms: float = 5_000.0
    faults: tuple[Fault, ...] = ()
    cut: Cut | None = None
    engine: EngineOptions = EngineOptions()
    traffic: bench_traffic.TrafficOptions = bench_traffic.TrafficOptions()


@dataclasses.dataclass(slots=True)
class Flight:
    """A request on its way."""

    arrival: Arrival
    engine: int = -1
    attempts: int = 0
    first_token_ms: float = math.inf
    cached_blocks: int = 0
    is_over: bool = False
    met_fault: bool = False


@dataclasses.dataclass(slots=True)
class Tally:
    """What a run measured after its warm-up."""

    flights: list[Flight] = dataclasses.field(default_factory=list)
    imbalances: list[float] = dataclasses.field(default_factory=list)
    retries: int = 0
    not_chosen: int = 0
    lost_streams: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The number of the engine chosen, and whether it is only probed."""

    engine: int
    is_probe: bool = False


class Chooser(t.Protocol):
    """Choose an engine for an arrival."""

    def __call__(
        self, world: "World", now_ms: float, arrival: Arrival
    ) -> Chosen | None:
        """Return what was chosen, or None if there is none to choose."""


class World:
    """The state of one run.

    ``views`` holds for each domain and entry a view of each engine. They are kept
    up to date only if the chooser uses them.
    """

    def __init__(
        self, options: WorldOptions, seed: int, chooser: Chooser, keeps_views: bool
    ) -> None:
        self.options = options
        self.seed = seed
        self.rng = random.Random(f"world/{seed}")
        self.chooser = chooser
        self.keeps_views = keeps_views
        self.domains = tuple("abcde"[: len(options.loads)])
        self.engines = [
            FakeEngine(f"{domain}{number}", domain, options.engine)
            for domain in self.domains
            for number in range(options.engines)
        ]
        self.numbers = {
            engine.host: number for number, engine in enumerate(self.engines)
        }
        self.views = {
            (domain, entry): [
                EndpointView(engine.host, engine.domain) for engine in self.engines
            ]
            for domain in self.domains
            for entry in range(options.entries)
        }
        self.flights: dict[str, Flight] = {}
        self.tally = Tally()
        self.clock = VirtualClock()
        self._wakes = [math.inf] * len(self.engines)

    def run(self) -> Tally:
        """Run from the first arrival to the end of the duration."""
        options = self.options
        for domain, load in zip(self.domains, options.loads):
            self._next_arrival(self._arrivals(domain, load))
        for number in range(len(self.engines)):
            offset_ms = self.rng.uniform(0.0, REPORT_INTERVAL_MS)
            self.clock.every(offset_ms, REPORT_INTERVAL_MS, self._reporter(number))
        for fault in options.faults:
            self.clock.at(fault.at_ms, self._fault(fault))
        if options.cut:
            self.clock.at(options.cut.from_ms, self._lose_streams)
        if self.keeps_views:
            self.clock.every(
                PROGRESS_INTERVAL_MS, PROGRESS_INTERVAL_MS, self._note_progress
            )
        self.clock.every(options.warm_up_ms, SAMPLE_INTERVAL_MS, self._sample)
        self.clock.run(options.duration_ms)
        return self.tally

    def is_cut(self, now_ms: float, domain: str, other: str) -> bool:
        """Return whether ``domain`` can't reach ``other`` now."""
        cut = self.options.cut
        if cut is None or domain == other or cut.domain not in (domain, other):
            return False
        return cut.from_ms <= now_ms < cut.to_ms

    def _arrivals(self, domain: str, load: float) -> t.Iterator[Arrival]:
        options = self.options
        held_ms = options.traffic.output_tokens * options.engine.step_ms
        capacity_per_s = options.engine.max_batch * 1_000.0 / held_ms
        return bench_traffic.arrivals(
            random.Random(f"traffic/{self.seed}/{domain}"),
            options.traffic,
            domain,
            options.entries,
            load * capacity_per_s * options.engines,
            options.duration_ms,
        )

    def _next_arrival(self, arrivals: t.Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def arrive(now_ms: float) -> None:
            flight = Flight(arrival)
            self.flights[arrival.job.request_id] = flight
            if now_ms >= self.options.warm_up_ms:
                self.tally.flights.append(flight)
            self._send(now_ms, flight)
            self._next_arrival(arrivals)

        self.clock.at(arrival.at_ms, arrive)

    def _send(self, now_ms: float, flight: Flight) -> None:
        arrival = flight.arrival
        chosen = self.chooser(self, now_ms, arrival)
        flight.attempts += 1
        if chosen is None:
            self.tally.not_chosen += 1
            return
        number = flight.engine = chosen.engine
        job = arrival.job
        if self.keeps_views:
            view = self._view(flight)
            endpoint_view.note_sent(
                view, now_ms, job.request_id, job.blocks, chosen.is_probe
            )
        engine = self.engines[number]
        if self.is_cut(now_ms, arrival.domain, engine.domain):
            self.clock.at(now_ms + CUT_DETECTION_MS, self._fail(flight))
            return
        flight.met_fault = engine.speed < 1.0
        engine.submit(now_ms, job)
        self._wake_later(number)
        self.clock.at(now_ms + self.options.give_up_ms, self._give_up(flight))

    def _view(self, flight: Flight) -> EndpointView:
        arrival = flight.arrival
        return self.views[arrival.domain, arrival.entry][flight.engine]

    def _fail(self, flight: Flight) -> Act:
        def act(now_ms: float) -> None:
            if self.keeps_views:
                request_id = flight.arrival.job.request_id
                endpoint_view.note_failure(self._view(flight), now_ms, request_id)
            if flight.attempts < MAX_ATTEMPTS:
                self.tally.retries += 1
                self._send(now_ms, flight)

        return act

    def _give_up(self, flight: Flight) -> Act:
        engine_number = flight.engine

        def act(now_ms: float) -> None:
            if flight.first_token_ms < math.inf or flight.is_over:
                return
            self._end(now_ms, flight)
            request_id = flight.arrival.job.request_id
            self.engines[engine_number].cancel(now_ms, request_id)
            self._wake_later(engine_number)

        return act

    def _end(self, now_ms: float, flight: Flight) -> None:
        flight.is_over = True
        request_id = flight.arrival.job.request_id
        self.flights.pop(request_id, None)
        if self.keeps_views:
            endpoint_view.note_cancelled(self._view(flight), now_ms, request_id)

    def _wake_later(self, number: int) -> None:
        at_ms = self.engines[number].next_ms()
        if at_ms < self._wakes[number]:
            self._wakes[number] = at_ms
            self.clock.at(at_ms, self._wake(number))

    def _wake(self, number: int) -> Act:
        def act(now_ms: float) -> None:
            if now_ms >= self._wakes[number]:
                self._wakes[number] = math.inf
            for happening in self.engines[number].advance(now_ms):
                self._happened(happening)
            self._wake_later(number)

        return act

    def _happened(self, happening: Happening) -> None:
        request_id = happening.job.request_id
        flight = self.flights.get(request_id)
        if flight is None:
            return
        if happening.stage is Stage.FINISHED:
            del self.flights[request_id]
            if self.keeps_views:
                endpoint_view.note_finished(
                    self._view(flight), happening.at_ms, request_id
                )
            return
        flight.first_token_ms = happening.at_ms
        flight.cached_blocks = happening.cached_blocks
        if self.keeps_views:
            endpoint_view.note_first_token(
                self._view(flight),
                happening.at_ms,
                request_id,
                happening.cached_blocks,
            )

    def _fault(self, fault: Fault) -> Act:
        def act(now_ms: float) -> None:
            engine = self.engines[fault.engine]
            for happening in engine.advance(now_ms):
                self._happened(happening)
            engine.set_speed(now_ms, fault.speed)
            for flight in self.flights.values():
                if flight.engine == fault.engine and fault.speed < 1.0:
                    flight.met_fault = flight.first_token_ms == math.inf
            self._wakes[fault.engine] = math.inf
            self._wake_later(fault.engine)

        return act

    def _lose_streams(self, now_ms: float) -> None:
        for flight in list(self.flights.values()):
            engine = self.engines[flight.engine]
            if self.is_cut(now_ms, flight.arrival.domain, engine.domain):
                self.tally.lost_streams += 1
                self._end(now_ms, flight)
                engine.cancel(now_ms, flight.arrival.job.request_id)

    def _reporter(self, number: int) -> Act:
        engine = self.engines[number]
        last: list[LoadReport] = []

        def act(now_ms: float) -> None:
            event = engine.take_cache_event()
            if engine.speed > 0.0 or not last:
                last[:] = [engine.report()]
            if not self.keeps_views:
                return
            options = self.options
            delay_ms = self.rng.uniform(
                options.report_delay_min_ms, options.report_delay_max_ms
            )
            self.clock.at(now_ms + delay_ms, self._deliver(number, last[0], now_ms))
            if event is not None:
                delay_ms = self.rng.uniform(0.0, options.event_delay_max_ms)
                act_later = self._deliver_event(number, event, now_ms)
                self.clock.at(now_ms + delay_ms, act_later)

        return act

    def _deliver(self, number: int, report: LoadReport, measured_ms: float) -> Act:
        def act(now_ms: float) -> None:
            for (domain, _), views in self.views.items():
                if not self.is_cut(now_ms, domain, self.engines[number].domain):
                    age_ms = now_ms - measured_ms
                    endpoint_view.note_report(views[number], now_ms, report, age_ms)

        return act

    def _deliver_event(
        self, number: int, event: CacheEvent, published_ms: float
    ) -> Act:
        def act(now_ms: float) -> None:
            for (domain, _), views in self.views.items():
                if self.is_cut(now_ms, domain, self.engines[number].domain):
                    continue
                if self.rng.random() >= self.options.event_loss:
                    age_ms = now_ms - published_ms
                    endpoint_view.note_cache_event(views[number], now_ms, event, age_ms)

        return act

    def _note_progress(self, now_ms: float) -> None:
        """Stand in for the tokens that the entries relay all the time."""
        for number, engine in enumerate(self.engines):
            if engine.speed <= 0.0:
                continue
            for views in self.views.values():
                view = views[number]
                if view.awaiting_first_token < len(view.in_flight):
                    endpoint_view.note_progress(view, now_ms)

    def _sample(self, now_ms: float) -> None:
        for domain in self.domains:
            held = [
                engine.held()
                for engine in self.engines
                if engine.domain == domain and engine.speed >= 1.0
            ]
            mean = sum(held) / max(1, len(held))
            if mean > 0.0:
                self.tally.imbalances.append(max(held) / mean)
