"""Measures how well endpoints are chosen, against baselines and an oracle."""

import dataclasses
import functools
import json
import math
import random
import statistics
import typing as t

import typer

from . import endpoint_view, inquiry, prefixes, routing
from .bench_traffic import Arrival
from .bench_world import Chooser, Cut, Fault, World, WorldOptions

DEFAULT_SEEDS = 5
ORACLE_SPREAD_MS = 150.0
ORACLE_PENDING = 3.0
RATIO_LIMIT_FIRST_TOKEN = 1.15
RATIO_LIMIT_HITS = 0.9
IMBALANCE_LIMIT = 1.5
FROZEN_LIMIT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingBenchOptions:
    """What to run.

    :param sizes: pairs of entries and engines in a domain.
    """

    seeds: int = DEFAULT_SEEDS
    sizes: tuple[tuple[int, int], ...] = ((9, 16), (82, 152))
    scenarios: tuple[str, ...] = ("usual", "lag-1s", "slow", "frozen", "cut-off")
    policies: tuple[str, ...] = (
        "choose",
        "ask-3",
        "oracle",
        "round-robin",
        "least-reported",
        "power-of-two",
    )
    warm_up_ms: float = 25_000.0
    duration_ms: float = 75_000.0
    policy: routing.RoutingPolicy = routing.RoutingPolicy()


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingFigures:
    """What one run of one policy measured.

    :param hit_share: part of the prompts' blocks that were found cached.
    :param imbalance: 95th percentile over time of the greatest in-flight count
        of an engine at full speed, divided by their mean.
    :param missed_share: part of requests with no first token within the target.
    :param fault_missed_share: the same, only those that a faulty engine held.
    """

    first_token_p50_ms: float
    first_token_p95_ms: float
    hit_share: float
    imbalance: float
    missed_share: float
    fault_missed_share: float
    retry_share: float
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRow:
    """The figures of one policy in one scenario, one for each seed."""

    scenario: str
    entries: int
    engines: int
    policy: str
    figures: tuple[RoutingFigures, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a target holds, by the median over the seeds."""

    target: str
    policy: str
    scenario: str
    engines: int
    measured: float
    limit: float
    holds: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingBenchReport:
    """All rows, and the verdict on each target."""

    rows: tuple[RoutingRow, ...]
    verdicts: tuple[Verdict, ...]


def run(options: RoutingBenchOptions) -> RoutingBenchReport:
    """Run each scenario, size, policy and seed."""
    rows = []
    for entries, engines in options.sizes:
        for scenario in options.scenarios:
            world_options = _world_options(options, scenario, entries, engines)
            for name in options.policies:
                figures = tuple(
                    _run_one(options, world_options, name, seed)
                    for seed in range(1, options.seeds + 1)
                )
                rows.append(RoutingRow(scenario, entries, engines, name, figures))
    return RoutingBenchReport(tuple(rows), tuple(_verdicts(rows)))


def _world_options(
    options: RoutingBenchOptions, scenario: str, entries: int, engines: int
) -> WorldOptions:
    usual = WorldOptions(
        entries, engines, (0.8,), options.warm_up_ms, options.duration_ms
    )
    from_ms = options.warm_up_ms + 5_000.0
    to_ms = from_ms + 30_000.0
    if scenario == "lag-1s":
        return dataclasses.replace(
            usual, report_delay_min_ms=750.0, report_delay_max_ms=750.0
        )
    if scenario == "slow":
        slow = (Fault(from_ms, 0, 1 / 3), Fault(from_ms, 1, 1 / 3))
        usual_again = (Fault(to_ms, 0, 1.0), Fault(to_ms, 1, 1.0))
        return dataclasses.replace(usual, faults=slow + usual_again)
    if scenario == "frozen":
        faults = (Fault(from_ms, 0, 0.0), Fault(to_ms, 0, 1.0))
        return dataclasses.replace(usual, faults=faults)
    if scenario == "cut-off":
        cut = Cut("a", from_ms, to_ms)
        return dataclasses.replace(usual, loads=(1.1, 0.6, 0.6), cut=cut)
    return usual


def _run_one(
    options: RoutingBenchOptions, world_options: WorldOptions, name: str, seed: int
) -> RoutingFigures:
    policy = dataclasses.replace(options.policy, live_entries=world_options.entries)
    rng = random.Random(f"chooser/{seed}")
    chooser, keeps_views = _CHOOSERS[name](policy, rng)
    tally = World(world_options, seed, chooser, keeps_views).run()
    settled_ms = world_options.duration_ms - world_options.give_up_ms
    flights = [one for one in tally.flights if one.arrival.at_ms < settled_ms]
    delays_ms = sorted(one.first_token_ms - one.arrival.at_ms for one in flights)
    missed = [
        one
        for one in flights
        if one.first_token_ms - one.arrival.at_ms > world_options.target_ms
    ]
    blocks = sum(len(one.arrival.job.blocks) for one in flights)
    return RoutingFigures(
        first_token_p50_ms=percentile(delays_ms, 0.5),
        first_token_p95_ms=percentile(delays_ms, 0.95),
        hit_share=sum(one.cached_blocks for one in flights) / max(1, blocks),
        imbalance=percentile(sorted(tally.imbalances), 0.95),
        missed_share=len(missed) / max(1, len(flights)),
        fault_missed_share=sum(one.met_fault for one in missed) / max(1, len(flights)),
        retry_share=tally.retries / max(1, len(flights)),
        requests=len(flights),
    )


def percentile(ordered: t.Sequence[float], part: float) -> float:
    """Return the value below which ``part`` of ``ordered`` lies; 0 if empty."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _choosing(
    policy: routing.RoutingPolicy, rng: random.Random, asked: int
) -> tuple[Chooser, bool]:
    families: dict[tuple[str, int], prefixes.FamilyRates] = {}

    def chooser(
        world: World, now_ms: float, arrival: Arrival
    ) -> tuple[int, bool] | None:
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
        choice = inquiry.settle(choices, answers, inquiry.InquiryPolicy())
        return world.numbers[choice.host], choice.reason is routing.Reason.PROBE

    return chooser, True


def _ask(
    world: World,
    now_ms: float,
    arrival: Arrival,
    choices: t.Sequence[routing.Choice],
    rng: random.Random,
) -> list[inquiry.Answer]:
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
        answers.append(inquiry.Answer(choice.host, engine.held(), pending_ms, cached))
    return answers


def _oracle(policy: routing.RoutingPolicy, rng: random.Random) -> tuple[Chooser, bool]:
    def cost_ms(world: World, now_ms: float, arrival: Arrival, number: int) -> float:
        engine = world.engines[number]
        if world.is_cut(now_ms, arrival.domain, engine.domain):
            return math.inf
        engine.advance_clock(now_ms)
        delay_ms = engine.first_token_delay_ms(arrival.job)
        pending_ms = engine.pending_prefill_ms()
        load = engine.held() / engine.options.max_batch / max(engine.speed, 0.01)
        return delay_ms + ORACLE_PENDING * pending_ms + ORACLE_SPREAD_MS * load

    def chooser(
        world: World, now_ms: float, arrival: Arrival
    ) -> tuple[int, bool] | None:
        costs_ms = [
            cost_ms(world, now_ms, arrival, number)
            for number in range(len(world.engines))
        ]
        return costs_ms.index(min(costs_ms)), False

    return chooser, False


def _round_robin(
    policy: routing.RoutingPolicy, rng: random.Random
) -> tuple[Chooser, bool]:
    turns: dict[tuple[str, int], int] = {}

    def chooser(
        world: World, now_ms: float, arrival: Arrival
    ) -> tuple[int, bool] | None:
        numbers = _own(world, arrival)
        key = arrival.domain, arrival.entry
        turn = turns.get(key, rng.randrange(len(numbers)))
        turns[key] = turn + 1
        return numbers[turn % len(numbers)], False

    return chooser, False


def _least_reported(
    policy: routing.RoutingPolicy, rng: random.Random
) -> tuple[Chooser, bool]:
    def chooser(
        world: World, now_ms: float, arrival: Arrival
    ) -> tuple[int, bool] | None:
        views = world.views[arrival.domain, arrival.entry]
        numbers = _own(world, arrival)
        rng.shuffle(numbers)
        return min(numbers, key=lambda number: _reported(views[number])), False

    return chooser, True


def _power_of_two(
    policy: routing.RoutingPolicy, rng: random.Random
) -> tuple[Chooser, bool]:
    def chooser(
        world: World, now_ms: float, arrival: Arrival
    ) -> tuple[int, bool] | None:
        views = world.views[arrival.domain, arrival.entry]
        pair = rng.sample(_own(world, arrival), 2)
        return (
            min(
                pair,
                key=lambda number: endpoint_view.held_requests(
                    views[number], policy.live_entries
                ),
            ),
            False,
        )

    return chooser, True


def _own(world: World, arrival: Arrival) -> list[int]:
    return [
        number
        for number, engine in enumerate(world.engines)
        if engine.domain == arrival.domain
    ]


def _reported(view: routing.EndpointView) -> int:
    report = view.report
    return report.running + report.waiting if report else 0


_CHOOSERS: dict[
    str, t.Callable[[routing.RoutingPolicy, random.Random], tuple[Chooser, bool]]
] = {
    "choose": functools.partial(_choosing, asked=1),
    "ask-3": functools.partial(_choosing, asked=3),
    "oracle": _oracle,
    "round-robin": _round_robin,
    "least-reported": _least_reported,
    "power-of-two": _power_of_two,
}


def _verdicts(rows: t.Sequence[RoutingRow]) -> t.Iterator[Verdict]:
    found = {(row.scenario, row.engines, row.policy): row for row in rows}
    for (scenario, engines, policy), row in found.items():
        oracle = found.get((scenario, engines, "oracle"))
        if policy not in ("choose", "ask-3"):
            continue
        if scenario == "usual" and oracle:
            ratio = _median_ratio(row, oracle, "first_token_p95_ms")
            yield _verdict(
                "first token p95 / oracle", row, ratio, RATIO_LIMIT_FIRST_TOKEN
            )
            ratio = _median_ratio(row, oracle, "hit_share")
            yield _verdict("prefix hits / oracle", row, ratio, RATIO_LIMIT_HITS, True)
        if scenario == "lag-1s":
            imbalance = _median(row, "imbalance")
            yield _verdict("max / mean in flight", row, imbalance, IMBALANCE_LIMIT)
        if scenario == "frozen":
            missed = _median(row, "fault_missed_share")
            yield _verdict("missed by the frozen engine", row, missed, FROZEN_LIMIT)


def _verdict(
    target: str,
    row: RoutingRow,
    measured: float,
    limit: float,
    is_floor: bool = False,
) -> Verdict:
    holds = measured >= limit if is_floor else measured <= limit
    return Verdict(
        target, row.policy, row.scenario, row.engines, measured, limit, holds
    )


def _median(row: RoutingRow, name: str) -> float:
    return statistics.median(getattr(one, name) for one in row.figures)


def _median_ratio(row: RoutingRow, other: RoutingRow, name: str) -> float:
    ratios = (
        getattr(one, name) / max(1e-9, getattr(base, name))
        for one, base in zip(row.figures, other.figures)
    )
    return statistics.median(ratios)


def table(report: RoutingBenchReport) -> str:
    """Return the report as text: medians over the seeds, and the p95's spread."""
    lines = [
        f"{'scenario':9} {'entr':>4} {'eng':>4} {'policy':14} {'p50 ms':>7} "
        f"{'p95 ms':>7} {'p95 spread':>15} {'hits':>5} {'max/mean':>8} "
        f"{'missed':>7} {'by fault':>8} {'retries':>7}"
    ]
    for row in report.rows:
        p95s_ms = [one.first_token_p95_ms for one in row.figures]
        spread = f"{min(p95s_ms):.0f}-{max(p95s_ms):.0f}"
        lines.append(
            f"{row.scenario:9} {row.entries:4} {row.engines:4} {row.policy:14} "
            f"{_median(row, 'first_token_p50_ms'):7.0f} "
            f"{statistics.median(p95s_ms):7.0f} {spread:>15} "
            f"{_median(row, 'hit_share'):5.3f} {_median(row, 'imbalance'):8.2f} "
            f"{_median(row, 'missed_share'):7.4f} "
            f"{_median(row, 'fault_missed_share'):8.4f} "
            f"{_median(row, 'retry_share'):7.4f}"
        )
    for one in report.verdicts:
        state = "holds" if one.holds else "DOES NOT HOLD"
        lines.append(
            f"{state}: {one.policy}, {one.target}, {one.scenario}, "
            f"{one.engines} engines: {one.measured:.3f} against {one.limit}"
        )
    return "\n".join(lines)


def command(
    seeds: t.Annotated[int, typer.Option(help="Number of seeds.")] = DEFAULT_SEEDS,
    as_json: t.Annotated[
        bool, typer.Option("--json", help="Print the report as JSON.")
    ] = False,
) -> None:
    """Measure how well endpoints are chosen."""
    report = run(RoutingBenchOptions(seeds=seeds))
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report)))
    else:
        typer.echo(table(report))
