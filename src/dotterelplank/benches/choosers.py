"""The ways of choosing an endpoint that the bench of routing compares.

Each makes a chooser for the entries of a world, and says whether it needs the
entries' views of the engines.
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
class Choosing:
    """A chooser, and whether it needs the entries' views kept up to date."""

    chooser: Chooser
    keeps_views: bool


ORACLE_SPREAD_MS = 150.0
ORACLE_PENDING = 3.0
ASK_ROUND_TRIP_MS = 1.0


def _choosing(
    policy: routing.RoutingPolicy, rng: random.Random, asked: int
) -> Choosing:
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
        choices = routing.shortlist(now_ms, request, views, policy, rng, asked)
        if not choices:
            return None
        answers = _ask(world, now_ms, arrival, choices, rng) if asked > 1 else ()
        choice = load_queries.choose_by_answers(
            choices, answers, load_queries.LoadQueryPolicy()
        )
        is_probe = choice.reason is routing.Reason.PROBE
        return Chosen(world.numbers[choice.host], is_probe)

    return Choosing(chooser, True)


def _ask(
    world: World,
    now_ms: float,
    arrival: Arrival,
    choices: t.Sequence[routing.Choice],
    rng: random.Random,
) -> list[load_queries.LoadAnswer]:
    """Answer as agents would: none that is cut off, a frozen engine's as before.

    An agent only estimates what its engine still has to do.
    """
    answers = []
    for choice in choices:
        engine = world.engines[world.numbers[choice.host]]
        if world.is_cut(now_ms, arrival.domain, engine.domain):
            continue
        engine.advance_clock(now_ms)
        pending_ms = engine.pending_prefill_ms() * rng.uniform(0.7, 1.3)
        full = engine.held() - engine.options.max_batch
        if full >= 0:
            options = world.options
            turn_ms = options.traffic.output_tokens * options.engine.step_ms
            pending_ms += (full + 1) * turn_ms / engine.options.max_batch
        cached = engine.cache.match(arrival.job.blocks).blocks
        pending_ms /= engine.speed or 1.0
        answers.append(
            load_queries.LoadAnswer(choice.host, engine.held(), pending_ms, cached)
        )
    return answers


def _oracle(policy: routing.RoutingPolicy, rng: random.Random) -> Choosing:
    def cost_ms(world: World, now_ms: float, arrival: Arrival, number: int) -> float:
        engine = world.engines[number]
        if world.is_cut(now_ms, arrival.domain, engine.domain):
            return math.inf
        engine.advance_clock(now_ms)
        delay_ms = engine.first_token_delay_ms(arrival.job)
        pending_ms = engine.pending_prefill_ms()
        load = engine.held() / engine.options.max_batch / max(engine.speed, 0.01)
        return delay_ms + ORACLE_PENDING * pending_ms + ORACLE_SPREAD_MS * load

    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        costs_ms = [
            cost_ms(world, now_ms, arrival, number)
            for number in range(len(world.engines))
        ]
        return Chosen(costs_ms.index(min(costs_ms)))

    return Choosing(chooser, False)


def _round_robin(policy: routing.RoutingPolicy, rng: random.Random) -> Choosing:
    turns: dict[tuple[str, int], int] = {}

    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        numbers = _own(world, arrival)
        key = arrival.domain, arrival.entry
        turn = turns.get(key, rng.randrange(len(numbers)))
        turns[key] = turn + 1
        return Chosen(numbers[turn % len(numbers)])

    return Choosing(chooser, False)


def _least_reported(policy: routing.RoutingPolicy, rng: random.Random) -> Choosing:
    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        views = world.views[arrival.domain, arrival.entry]
        numbers = _own(world, arrival)
        rng.shuffle(numbers)
        return Chosen(min(numbers, key=lambda number: _reported(views[number])))

    return Choosing(chooser, True)


def _power_of_two(policy: routing.RoutingPolicy, rng: random.Random) -> Choosing:
    def chooser(world: World, now_ms: float, arrival: Arrival) -> Chosen | None:
        views = world.views[arrival.domain, arrival.entry]
        pair = rng.sample(_own(world, arrival), 2)
        return Chosen(
            min(
                pair,
                key=lambda number: endpoint_view.held_requests(
                    views[number], policy.live_entries
                ),
            )
        )

    return Choosing(chooser, True)


def _own(world: World, arrival: Arrival) -> list[int]:
    return [
        number
        for number, engine in enumerate(world.engines)
        if engine.domain == arrival.domain
    ]


def _reported(view: routing.EndpointView) -> int:
    report = view.report
    return report.running + report.waiting if report else 0


CHOOSERS: dict[str, t.Callable[[routing.RoutingPolicy, random.Random], Choosing]] = {
    "choose": functools.partial(_choosing, asked=1),
    "ask-5": functools.partial(_choosing, asked=5),
    "oracle": _oracle,
    "round-robin": _round_robin,
    "least-reported": _least_reported,
    "power-of-two": _power_of_two,
}
