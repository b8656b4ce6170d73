"""The routing policies that the routing benchmark compares.

Each function in ``CHOOSERS`` returns a chooser for the entries of a world, and whether
the chooser needs the entries' views of the engines.
"""

import dataclasses
import functools
import math
import random
import typing as t

from ..routing import endpoint_view, load_queries, prefixes, routing
from .traffic import Arrival
from .world import Chooser, Chosen, World


@dataclasses.dataclass(frozen=True, slots=True)
class ChooserSetup:
    """A chooser, and whether it needs the entries' views to be kept up to date."""

    chooser: Chooser
    keeps_views: bool


ORACLE_LOAD_WEIGHT_MS = 150.0
ORACLE_PENDING_WEIGHT = 3.0
LOAD_QUERY_ROUND_TRIP_MS = 1.0


def _shortlisting(
    policy: routing.RoutingPolicy, rng: random.Random, queried: int
) -> ChooserSetup:
    families: dict[tuple[str, int], prefixes.FamilyRates] = {}

    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        job = arrival.job
        key = arrival.domain, arrival.entry
        rates = families.setdefault(key, prefixes.FamilyRates())
        request = routing.RouteRequest(
            job.request_id,
            job.blocks,
            job.output_tokens,
            0,
            arrival.domain,
            rates.note(now_ms, job.blocks),
        )
        views = world.views[arrival.domain, arrival.entry]
        choices = routing.shortlist(now_ms, request, views, policy, rng, queried)
        if not choices:
            return None
        answers = (
            _query_loads(world, now_ms, arrival, choices, rng) if queried > 1 else ()
        )
        choice = load_queries.choose_by_answers(
            choices, answers, load_queries.LoadQueryPolicy()
        )
        is_probe = choice.reason is routing.Reason.PROBE
        return Chosen(world.numbers[choice.host], is_probe)

    return ChooserSetup(chooser, True)


def _query_loads(
    world: World,
    now_ms: float,
    arrival: Arrival,
    choices: t.Sequence[routing.Choice],
    rng: random.Random,
) -> list[load_queries.LoadAnswer]:
    """Return the load answers of the agents of ``choices``.

    An agent that is cut off from the entry doesn't answer, the agent of a frozen
    engine does. An agent only estimates the prefill time that its engine has left,
    so a random error is applied to the answer.
    """
    answers = []
    for choice in choices:
        engine = world.engines[world.numbers[choice.host]]
        if world.is_cut(now_ms, arrival.domain, engine.domain):
            continue
        engine.advance_clock(now_ms)
        pending_ms = engine.pending_prefill_ms() * rng.uniform(0.7, 1.3)
        excess = engine.job_count() - engine.options.max_batch
        if excess >= 0:
            options = world.options
            generation_ms = options.traffic.output_tokens * options.engine.step_ms
            pending_ms += (excess + 1) * generation_ms / engine.options.max_batch
        cached = engine.cache.match(arrival.job.blocks).blocks
        pending_ms /= engine.speed or 1.0
        answers.append(
            load_queries.LoadAnswer(choice.host, engine.job_count(), pending_ms, cached)
        )
    return answers


def _oracle(policy: routing.RoutingPolicy, rng: random.Random) -> ChooserSetup:
    def cost_ms(world: World, now_ms: float, arrival: Arrival, number: int) -> float:
        engine = world.engines[number]
        if world.is_cut(now_ms, arrival.domain, engine.domain):
            return math.inf
        engine.advance_clock(now_ms)
        delay_ms = engine.first_token_delay_ms(arrival.job)
        pending_ms = engine.pending_prefill_ms()
        load = engine.job_count() / engine.options.max_batch / max(engine.speed, 0.01)
        return (
            delay_ms + ORACLE_PENDING_WEIGHT * pending_ms + ORACLE_LOAD_WEIGHT_MS * load
        )

    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        costs_ms = [
            cost_ms(world, now_ms, arrival, number)
            for number in range(len(world.engines))
        ]
        return Chosen(costs_ms.index(min(costs_ms)))

    return ChooserSetup(chooser, False)


def _round_robin(policy: routing.RoutingPolicy, rng: random.Random) -> ChooserSetup:
    next_turns: dict[tuple[str, int], int] = {}

    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        numbers = _local_engines(world, arrival)
        key = arrival.domain, arrival.entry
        turn = next_turns.get(key, rng.randrange(len(numbers)))
        next_turns[key] = turn + 1
        return Chosen(numbers[turn % len(numbers)])

    return ChooserSetup(chooser, False)


def _least_reported(policy: routing.RoutingPolicy, rng: random.Random) -> ChooserSetup:
    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        views = world.views[arrival.domain, arrival.entry]
        numbers = _local_engines(world, arrival)
        rng.shuffle(numbers)
        return Chosen(
            min(numbers, key=lambda number: _reported_requests(views[number]))
        )

    return ChooserSetup(chooser, True)


def _power_of_two(policy: routing.RoutingPolicy, rng: random.Random) -> ChooserSetup:
    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        views = world.views[arrival.domain, arrival.entry]
        candidates = rng.sample(_local_engines(world, arrival), 2)
        return Chosen(
            min(
                candidates,
                key=lambda number: endpoint_view.held_requests(
                    views[number], policy.live_entries
                ),
            )
        )

    return ChooserSetup(chooser, True)


def _local_engines(world: World, arrival: Arrival) -> list[int]:
    return [
        number
        for number, engine in enumerate(world.engines)
        if engine.domain == arrival.domain
    ]


def _reported_requests(view: routing.EndpointView) -> int:
    report = view.report
    return report.running + report.waiting if report else 0


CHOOSERS: dict[
    str, t.Callable[[routing.RoutingPolicy, random.Random], ChooserSetup]
] = {
    "choose": functools.partial(_shortlisting, queried=1),
    "ask-5": functools.partial(_shortlisting, queried=5),
    "oracle": _oracle,
    "round-robin": _round_robin,
    "least-reported": _least_reported,
    "power-of-two": _power_of_two,
}
