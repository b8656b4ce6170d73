"""Simulation of entries that send requests to fake engines, with delays and faults.

The simulation runs on a virtual clock. The reports and cache events of the engines
reach the entries late, and some cache events are lost. The benchmark passes the
function that chooses an engine.
"""

import dataclasses
import math
import random
import typing as t

from ..routing import endpoint_view
from ..routing.endpoint_view import CacheEvent, EndpointView, LoadReport
from ..standins.fake_engine import EngineOptions, FakeEngine, JobEvent, Stage
from . import traffic as bench_traffic
from .traffic import Arrival
from .virtual_clock import Action, VirtualClock

REPORT_INTERVAL_MS = 500.0
PROGRESS_INTERVAL_MS = 200.0
SAMPLE_INTERVAL_MS = 1_000.0
CUT_DETECTION_MS = 200.0
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A change of one engine's speed: 1 is full speed, at 0 it is frozen."""

    at_ms: float
    engine: int
    speed: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A period in which one domain is cut off from all others."""

    domain: str
    from_ms: float
    to_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorldOptions:
    """The size, the delays and the failures of a run.

    :param entries: entries in each domain.
    :param engines: engines in each domain.
    :param loads: load of each domain as a fraction of the capacity of its engines.
    :param event_loss: probability that an entry doesn't receive a cache event.
    :param target_ms: time within which a first token should come.
    :param give_up_ms: time after which a caller without a first token cancels.
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
    """A request in flight.

    :param engine: number of its engine, -1 until one is chosen.
    :param is_over: whether it was cancelled or lost.
    :param met_fault: whether its engine was slow or frozen before the first token.
    """

    arrival: Arrival
    engine: int = -1
    attempts: int = 0
    first_token_ms: float = math.inf
    cached_blocks: int = 0
    is_over: bool = False
    met_fault: bool = False


@dataclasses.dataclass(slots=True)
class Tally:
    """The measurements of a run.

    :param flights: requests that arrived after the warm-up.
    :param imbalances: samples of the greatest number of requests that an engine at
        full speed holds in a domain, divided by the mean.
    :param not_chosen: requests for which there was no engine to choose.
    """

    flights: list[Flight] = dataclasses.field(default_factory=list)
    imbalances: list[float] = dataclasses.field(default_factory=list)
    retries: int = 0
    not_chosen: int = 0
    lost_streams: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The number of the chosen engine, and whether the request is a probe of it."""

    engine: int
    is_probe: bool = False


class Chooser(t.Protocol):
    """Type of the functions that choose an engine for an arrival."""

    def __call__(
        self, world: "World", now_ms: float, arrival: Arrival
    ) -> Chosen | None:
        """Return the chosen engine, or None if there is none to choose."""


class World:
    """The state of one run.

    ``views`` holds the view of each engine by domain and number of the entry. The views
    are kept up to date only if ``keeps_views`` is set.
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
        self._wake_times_ms = [math.inf] * len(self.engines)

    def run(self) -> Tally:
        """Run from the first arrival to the end of the duration."""
        options = self.options
        for domain, load in zip(self.domains, options.loads):
            self._schedule_next_arrival(self._arrivals(domain, load))
        for number in range(len(self.engines)):
            first_ms = self.rng.uniform(0.0, REPORT_INTERVAL_MS)
            self.clock.every(first_ms, REPORT_INTERVAL_MS, self._report_action(number))
        for fault in options.faults:
            self.clock.at(fault.at_ms, self._fault_action(fault))
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
        """Return whether ``domain`` can't reach ``other`` at ``now_ms``."""
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

    def _schedule_next_arrival(self, arrivals: t.Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def arrive(now_ms: float) -> None:
            flight = Flight(arrival)
            self.flights[arrival.job.request_id] = flight
            if now_ms >= self.options.warm_up_ms:
                self.tally.flights.append(flight)
            self._send(now_ms, flight)
            self._schedule_next_arrival(arrivals)

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
            self.clock.at(now_ms + CUT_DETECTION_MS, self._fail_action(flight))
            return
        flight.met_fault = engine.speed < 1.0
        engine.submit(now_ms, job)
        self._schedule_wake(number)
        self.clock.at(now_ms + self.options.give_up_ms, self._timeout_action(flight))

    def _view(self, flight: Flight) -> EndpointView:
        arrival = flight.arrival
        return self.views[arrival.domain, arrival.entry][flight.engine]

    def _fail_action(self, flight: Flight) -> Action:
        def action(now_ms: float) -> None:
            if self.keeps_views:
                request_id = flight.arrival.job.request_id
                endpoint_view.note_failure(self._view(flight), now_ms, request_id)
            if flight.attempts < MAX_ATTEMPTS:
                self.tally.retries += 1
                self._send(now_ms, flight)

        return action

    def _timeout_action(self, flight: Flight) -> Action:
        engine_number = flight.engine

        def action(now_ms: float) -> None:
            if flight.first_token_ms < math.inf or flight.is_over:
                return
            self._cancel(now_ms, flight)
            request_id = flight.arrival.job.request_id
            self.engines[engine_number].cancel(now_ms, request_id)
            self._schedule_wake(engine_number)

        return action

    def _cancel(self, now_ms: float, flight: Flight) -> None:
        flight.is_over = True
        request_id = flight.arrival.job.request_id
        self.flights.pop(request_id, None)
        if self.keeps_views:
            endpoint_view.note_cancelled(self._view(flight), now_ms, request_id)

    def _schedule_wake(self, number: int) -> None:
        at_ms = self.engines[number].next_ms()
        if at_ms < self._wake_times_ms[number]:
            self._wake_times_ms[number] = at_ms
            self.clock.at(at_ms, self._wake_action(number))

    def _wake_action(self, number: int) -> Action:
        def action(now_ms: float) -> None:
            if now_ms >= self._wake_times_ms[number]:
                self._wake_times_ms[number] = math.inf
            for job_event in self.engines[number].advance(now_ms):
                self._on_engine_event(job_event)
            self._schedule_wake(number)

        return action

    def _on_engine_event(self, job_event: JobEvent) -> None:
        request_id = job_event.job.request_id
        flight = self.flights.get(request_id)
        if flight is None:
            return
        if job_event.stage is Stage.FINISHED:
            del self.flights[request_id]
            if self.keeps_views:
                endpoint_view.note_finished(
                    self._view(flight), job_event.at_ms, request_id
                )
            return
        flight.first_token_ms = job_event.at_ms
        flight.cached_blocks = job_event.cached_blocks
        if self.keeps_views:
            endpoint_view.note_first_token(
                self._view(flight),
                job_event.at_ms,
                request_id,
                job_event.cached_blocks,
            )

    def _fault_action(self, fault: Fault) -> Action:
        def action(now_ms: float) -> None:
            engine = self.engines[fault.engine]
            for job_event in engine.advance(now_ms):
                self._on_engine_event(job_event)
            engine.set_speed(now_ms, fault.speed)
            for flight in self.flights.values():
                if flight.engine == fault.engine and fault.speed < 1.0:
                    flight.met_fault = flight.first_token_ms == math.inf
            self._wake_times_ms[fault.engine] = math.inf
            self._schedule_wake(fault.engine)

        return action

    def _lose_streams(self, now_ms: float) -> None:
        for flight in list(self.flights.values()):
            engine = self.engines[flight.engine]
            if self.is_cut(now_ms, flight.arrival.domain, engine.domain):
                self.tally.lost_streams += 1
                self._cancel(now_ms, flight)
                engine.cancel(now_ms, flight.arrival.job.request_id)

    def _report_action(self, number: int) -> Action:
        engine = self.engines[number]
        last_report: list[LoadReport] = []

        def action(now_ms: float) -> None:
            event = engine.pop_cache_event()
            if engine.speed > 0.0 or not last_report:
                last_report[:] = [engine.report()]
            if not self.keeps_views:
                return
            options = self.options
            delay_ms = self.rng.uniform(
                options.report_delay_min_ms, options.report_delay_max_ms
            )
            self.clock.at(
                now_ms + delay_ms,
                self._deliver_report_action(number, last_report[0], now_ms),
            )
            if event is not None:
                delay_ms = self.rng.uniform(0.0, options.event_delay_max_ms)
                deliver = self._deliver_event_action(number, event, now_ms)
                self.clock.at(now_ms + delay_ms, deliver)

        return action

    def _deliver_report_action(
        self, number: int, report: LoadReport, measured_ms: float
    ) -> Action:
        def action(now_ms: float) -> None:
            for (domain, _), views in self.views.items():
                if not self.is_cut(now_ms, domain, self.engines[number].domain):
                    age_ms = now_ms - measured_ms
                    endpoint_view.note_report(views[number], now_ms, report, age_ms)

        return action

    def _deliver_event_action(
        self, number: int, event: CacheEvent, published_ms: float
    ) -> Action:
        def action(now_ms: float) -> None:
            for (domain, _), views in self.views.items():
                if self.is_cut(now_ms, domain, self.engines[number].domain):
                    continue
                if self.rng.random() >= self.options.event_loss:
                    age_ms = now_ms - published_ms
                    endpoint_view.note_cache_event(views[number], now_ms, event, age_ms)

        return action

    def _note_progress(self, now_ms: float) -> None:
        """Record progress of the engines whose tokens the entries are relaying."""
        for number, engine in enumerate(self.engines):
            if engine.speed <= 0.0:
                continue
            for views in self.views.values():
                view = views[number]
                if view.awaiting_first_token < len(view.in_flight):
                    endpoint_view.note_progress(view, now_ms)

    def _sample(self, now_ms: float) -> None:
        for domain in self.domains:
            job_count = [
                engine.job_count()
                for engine in self.engines
                if engine.domain == domain and engine.speed >= 1.0
            ]
            mean = sum(job_count) / max(1, len(job_count))
            if mean > 0.0:
                self.tally.imbalances.append(max(job_count) / mean)
