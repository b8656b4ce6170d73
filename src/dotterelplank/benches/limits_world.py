"""Simulation of entries that admit the requests of many teams to fake engines.

The simulation runs on a virtual clock and has one failure domain. Endpoints are
chosen with full knowledge of the engines, so that the figures depend on admission and
retries alone.
"""

import dataclasses
import itertools
import math
import random
import typing as t

from ..routing import capacities, endpoint_view, limits, retries
from ..routing.endpoint_view import EndpointView
from ..standins.fake_engine import EngineOptions, FakeEngine, Job, JobEvent, Stage
from .traffic import pick
from .virtual_clock import Action, VirtualClock

REPORT_INTERVAL_MS = 500.0
REPORT_DELAY_MIN_MS = 100.0
REPORT_DELAY_MAX_MS = 1_500.0
DIGEST_DELAY_MS = 50.0
OUTPUT_TOKENS = 400
PROMPT_TOKENS = 500
MAX_CALLS = 3
HELD_REQUEST_COST_MS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class TeamPlan:
    """A team with its share and its demand as fractions of the capacity.

    :param share: 0 for a team with the default share.
    """

    name: str
    share: float
    demand: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the world at ``at_ms``; values that are None stay unchanged.

    :param entries: numbers of the entries that are alive afterwards.
    :param speed: speed of all engines; 1 is full speed.
    :param refusals: fraction of the requests that engines refuse.
    :param load: factor on the demand of all teams.
    """

    at_ms: float
    entries: tuple[int, ...] | None = None
    speed: float | None = None
    refusals: float | None = None
    load: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsWorldOptions:
    """The size, the teams and the changes of a run.

    :param default_share: share of a team that has none of its own.
    :param deadline_ms: time within which a first token must come.
    """

    teams: tuple[TeamPlan, ...]
    default_share: float
    rest_share: float
    entries: int
    engines: int
    warm_up_ms: float
    duration_ms: float
    deadline_ms: float = 2_000.0
    changes: tuple[Change, ...] = ()
    engine: EngineOptions = EngineOptions()

    def capacity_per_s(self) -> float:
        """Return the tokens per second that all engines generate with full batches."""
        steps_per_s = 1_000.0 / self.engine.step_ms
        return self.engines * self.engine.max_batch * steps_per_s


@dataclasses.dataclass(slots=True)
class Call:
    """A request with all its calls and attempts.

    :param at_ms: time of the first call.
    :param asked_ms: time of the last call.
    :param calls: number of calls, as a caller repeats a request that was shed.
    :param attempts: number of sends to an engine since the last call.
    """

    request_id: str
    team: int
    at_ms: float
    output_tokens: int
    asked_ms: float = 0.0
    calls: int = 0
    attempts: int = 0
    entry: int = -1
    engine: int = -1
    ticket: limits.Ticket | None = None
    engine_priority: int = 0
    first_token_ms: float = math.inf
    end_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionAnswer:
    """An answer of admission; ``retry_after_ms`` is negative if it admits."""

    at_ms: float
    waited_ms: float
    team: int
    cost: float
    retry_after_ms: float


@dataclasses.dataclass(slots=True)
class LimitsTally:
    """The calls, the answers of admission and the times of the retries of a run."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    answered: list[AdmissionAnswer] = dataclasses.field(default_factory=list)
    retries_ms: list[float] = dataclasses.field(default_factory=list)


class LimitsWorld:
    """The state of one run."""

    def __init__(self, options: LimitsWorldOptions, seed: int) -> None:
        self.options = options
        self.rng = random.Random(f"limits/{seed}")
        self.clock = VirtualClock()
        self.capacity = options.capacity_per_s()
        self.policy = limits.LimitPolicy(
            {team.name: team.share for team in options.teams if team.share},
            options.default_share,
            options.rest_share,
        )
        self.states = [
            limits.LimitState(str(number), self.capacity)
            for number in range(options.entries)
        ]
        self.budgets = [retries.RetryBudget() for _ in self.states]
        self.alive = list(range(options.entries))
        self.engines = [
            FakeEngine(str(number), "a", options.engine)
            for number in range(options.engines)
        ]
        self.views = [EndpointView(engine.host, "a") for engine in self.engines]
        self.refusals = 0.0
        self.load = 1.0
        self.flights: dict[str, Call] = {}
        self.tally = LimitsTally()
        self._weights = list(
            itertools.accumulate(team.demand for team in options.teams)
        )
        self._wake_times_ms = [math.inf] * options.engines

    def run(self) -> LimitsTally:
        """Run from the first request to the end of the duration."""
        self.clock.at(0.0, self._arrive)
        for number in range(self.options.engines):
            offset_ms = self.rng.uniform(0.0, REPORT_INTERVAL_MS)
            self.clock.every(offset_ms, REPORT_INTERVAL_MS, self._report_action(number))
        for number in range(self.options.entries):
            offset_ms = self.rng.uniform(0.0, REPORT_INTERVAL_MS)
            self.clock.at(offset_ms, self._digest_action(number))
        for change in self.options.changes:
            self.clock.at(change.at_ms, self._change_action(change))
        self.clock.run(self.options.duration_ms)
        return self.tally

    def _arrive(self, now_ms: float) -> None:
        rng = self.rng
        per_s = self.load * self._weights[-1] * self.capacity / OUTPUT_TOKENS
        self.clock.at(now_ms + rng.expovariate(per_s) * 1_000.0, self._arrive)
        output_tokens = 1 + int(rng.expovariate(1.0 / OUTPUT_TOKENS))
        team = pick(rng, self._weights)
        call = Call(str(len(self.tally.calls)), team, now_ms, output_tokens)
        self.tally.calls.append(call)
        self._call_action(call)(now_ms)

    def _call_action(self, call: Call) -> Action:
        def action(now_ms: float) -> None:
            call.calls += 1
            call.asked_ms = now_ms
            call.attempts = 0
            call.entry = self.rng.choice(self.alive)
            request = limits.LimitRequest(
                f"{call.request_id}/{call.calls}",
                self.options.teams[call.team].name,
                float(OUTPUT_TOKENS),
                0,
                now_ms + self.options.deadline_ms,
            )
            state = self.states[call.entry]
            answer = limits.admit(now_ms, state, request, self.policy)
            wait_ms = (
                -1.0 if isinstance(answer, limits.Admitted) else (answer.retry_after_ms)
            )
            self.tally.answered.append(
                AdmissionAnswer(now_ms, 0.0, call.team, request.cost, wait_ms)
            )
            if isinstance(answer, limits.Admitted):
                call.ticket = answer.ticket
                call.engine_priority = int(answer.is_within_share)
                self._send_action(call)(now_ms)
            else:
                self._schedule_call(now_ms, call, answer.retry_after_ms)

        return action

    def _schedule_call(self, now_ms: float, call: Call, after_ms: float) -> None:
        if call.calls < MAX_CALLS:
            self.clock.at(now_ms + after_ms, self._call_action(call))

    def _send_action(self, call: Call) -> Action:
        def action(now_ms: float) -> None:
            call.attempts += 1
            if self.rng.random() < self.refusals:
                self._handle_refusal(now_ms, call)
                return
            job_id = f"{call.request_id}/{call.calls}"
            self.flights[job_id] = call
            job = Job(
                job_id, (), PROMPT_TOKENS, call.output_tokens, call.engine_priority
            )
            call.engine = self._choose_engine(now_ms, job)
            self.engines[call.engine].submit(now_ms, job)
            self._schedule_wake(call.engine)
            timeout_at_ms = now_ms + self.options.deadline_ms
            self.clock.at(timeout_at_ms, self._timeout_action(call, job_id))

        return action

    def _choose_engine(self, now_ms: float, job: Job) -> int:
        costs_ms = []
        for engine in self.engines:
            engine.advance_clock(now_ms)
            delay_ms = engine.first_token_delay_ms(job)
            costs_ms.append(delay_ms + HELD_REQUEST_COST_MS * engine.job_count())
        return costs_ms.index(min(costs_ms))

    def _handle_refusal(self, now_ms: float, call: Call) -> None:
        failure = retries.Failure(retries.Proof.NOT_RUN, is_refusal=True)
        request = retries.RetryRequest(
            f"{call.request_id}/{call.calls}",
            False,
            call.attempts,
            now_ms + self.options.deadline_ms,
        )
        answer = retries.decide(now_ms, self.budgets[call.entry], failure, request)
        if isinstance(answer, retries.Retry):
            self.tally.retries_ms.append(now_ms)
            self.clock.at(now_ms + answer.after_ms, self._send_action(call))
            return
        self._release(now_ms, call, limits.Outcome.FAILED)
        self._schedule_call(now_ms, call, answer.retry_after_ms)

    def _timeout_action(self, call: Call, job_id: str) -> Action:
        def action(now_ms: float) -> None:
            if self.flights.get(job_id) is None or call.first_token_ms < math.inf:
                return
            del self.flights[job_id]
            self.engines[call.engine].cancel(now_ms, job_id)
            self._schedule_wake(call.engine)
            self._release(now_ms, call, limits.Outcome.CANCELLED)

        return action

    def _release(self, now_ms: float, call: Call, outcome: limits.Outcome) -> None:
        if call.ticket is not None:
            state = self.states[call.entry]
            limits.release(now_ms, state, call.ticket, outcome)
            call.ticket = None

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
        job_id = job_event.job.request_id
        call = self.flights.get(job_id)
        if call is None:
            return
        if job_event.stage is Stage.FIRST_TOKEN:
            call.first_token_ms = job_event.at_ms
            return
        del self.flights[job_id]
        call.end_ms = job_event.at_ms
        retries.note_success(job_event.at_ms, self.budgets[call.entry])
        self._release(job_event.at_ms, call, limits.Outcome.DONE)

    def _report_action(self, number: int) -> Action:
        def action(now_ms: float) -> None:
            report = self.engines[number].report()
            delay_ms = self.rng.uniform(REPORT_DELAY_MIN_MS, REPORT_DELAY_MAX_MS)

            def deliver(delivered_ms: float) -> None:
                view = self.views[number]
                endpoint_view.note_report(
                    view, delivered_ms, report, delivered_ms - now_ms
                )

            self.clock.at(now_ms + delay_ms, deliver)

        return action

    def _digest_action(self, number: int) -> Action:
        def action(now_ms: float) -> None:
            state = self.states[number]
            self.clock.at(now_ms + limits.digest_interval_ms(state), action)
            if number not in self.alive:
                return
            self._update_load(now_ms, state)
            digest = limits.digest(now_ms, state)

            def deliver(delivered_ms: float) -> None:
                for peer in self.alive:
                    limits.on_digest(delivered_ms, self.states[peer], digest)

            self.clock.at(now_ms + DIGEST_DELAY_MS, deliver)

        return action

    def _update_load(self, now_ms: float, state: limits.LimitState) -> None:
        batch_slots = self.options.engine.max_batch
        capacity = capacities.capacity_per_s(self.views, batch_slots)
        if capacity > 0.0:
            backlog_ms = capacities.backlog_ms(self.views, batch_slots, OUTPUT_TOKENS)
            free_share = capacities.free_share(self.views, batch_slots)
            limits.on_load(now_ms, state, capacity, backlog_ms, free_share)

    def _change_action(self, change: Change) -> Action:
        def action(now_ms: float) -> None:
            if change.entries is not None:
                joined = set(change.entries) - set(self.alive)
                for number in joined:
                    self.states[number] = limits.LimitState(str(number), self.capacity)
                self.alive = list(change.entries)
            if change.refusals is not None:
                self.refusals = change.refusals
            if change.load is not None:
                self.load = change.load
            if change.speed is not None:
                self._set_speed(now_ms, change.speed)

        return action

    def _set_speed(self, now_ms: float, speed: float) -> None:
        for number, engine in enumerate(self.engines):
            for job_event in engine.advance(now_ms):
                self._on_engine_event(job_event)
            engine.set_speed(now_ms, speed)
            self._wake_times_ms[number] = math.inf
            self._schedule_wake(number)


def team_numbers(
    options: LimitsWorldOptions, is_chosen: t.Callable[[TeamPlan], bool]
) -> frozenset[int]:
    """Return the numbers of the teams for which ``is_chosen`` returns true."""
    return frozenset(
        number for number, team in enumerate(options.teams) if is_chosen(team)
    )
