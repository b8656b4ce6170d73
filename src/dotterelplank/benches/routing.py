"""Benchmark of the choice of endpoints against baselines and an oracle."""

import dataclasses
import json
import random
import statistics
import typing as t

import typer

from ..routing import routing
from .choosers import CHOOSERS, LOAD_QUERY_ROUND_TRIP_MS
from .world import Cut, Fault, World, WorldOptions

DEFAULT_SEEDS = 5
MAX_FIRST_TOKEN_RATIO = 1.15
MIN_HIT_RATIO = 0.9
MAX_IMBALANCE = 1.5
MAX_FROZEN_MISSED_RATIO = 0.01
MAX_CUT_OFF_ENGINES = 32
SMALL_SIZES = ((9, 16),)
FULL_SIZES = ((9, 16), (82, 152))


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingBenchOptions:
    """The scenarios, policies, seeds and sizes of a run.

    :param sizes: numbers of entries and engines in a domain, as pairs.
    """

    seeds: int = DEFAULT_SEEDS
    sizes: tuple[tuple[int, int], ...] = SMALL_SIZES
    scenarios: tuple[str, ...] = ("usual", "lag-1s", "slow", "frozen", "cut-off")
    policies: tuple[str, ...] = (
        "choose",
        "ask-5",
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
    """The figures of one run of one policy.

    :param hit_share: fraction of the prompts' blocks that were found in the cache.
    :param imbalance: 95th percentile over time of the greatest number of requests that
        an engine at full speed holds, divided by the mean of these engines.
    :param missed_share: fraction of requests with no first token within the target.
    :param fault_missed_share: the same for the requests that met a slow or frozen
        engine, as a fraction of all requests.
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
    """The figures of one policy in one scenario with each seed."""

    scenario: str
    entries: int
    engines: int
    policy: str
    figures: tuple[RoutingFigures, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether the median over the seeds meets a target."""

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
    """Run each policy in each scenario at each size with each seed.

    The scenario ``cut-off`` has three domains and is run at the smaller size only.
    """
    rows = []
    for entries, engines in options.sizes:
        for scenario in options.scenarios:
            if scenario == "cut-off" and engines > MAX_CUT_OFF_ENGINES:
                continue
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
        recovered = (Fault(to_ms, 0, 1.0), Fault(to_ms, 1, 1.0))
        return dataclasses.replace(usual, faults=slow + recovered)
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
    setup = CHOOSERS[name](policy, rng)
    tally = World(world_options, seed, setup.chooser, setup.keeps_views).run()
    last_arrival_ms = world_options.duration_ms - world_options.give_up_ms
    flights = [one for one in tally.flights if one.arrival.at_ms < last_arrival_ms]
    query_ms = LOAD_QUERY_ROUND_TRIP_MS if name.startswith("ask") else 0.0
    delays_ms = sorted(
        one.first_token_ms - one.arrival.at_ms + query_ms for one in flights
    )
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


def percentile(ordered: t.Sequence[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of ``ordered`` lies; 0 if empty."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _verdicts(rows: t.Sequence[RoutingRow]) -> t.Iterator[Verdict]:
    rows_by_key = {(row.scenario, row.engines, row.policy): row for row in rows}
    for (scenario, engines, policy), row in rows_by_key.items():
        oracle = rows_by_key.get((scenario, engines, "oracle"))
        if policy not in ("choose", "ask-5"):
            continue
        if scenario == "usual" and oracle:
            ratio = _median_ratio(row, oracle, "first_token_p95_ms")
            yield _verdict(
                "first token p95 / oracle", row, ratio, MAX_FIRST_TOKEN_RATIO
            )
            ratio = _median_ratio(row, oracle, "hit_share")
            yield _verdict("prefix hits / oracle", row, ratio, MIN_HIT_RATIO, True)
        if scenario == "lag-1s":
            imbalance = _median(row, "imbalance")
            yield _verdict("max / mean in flight", row, imbalance, MAX_IMBALANCE)
        if scenario == "frozen":
            missed = _median(row, "fault_missed_share")
            yield _verdict(
                "missed by the frozen engine", row, missed, MAX_FROZEN_MISSED_RATIO
            )


def _verdict(
    target: str,
    row: RoutingRow,
    measured: float,
    limit: float,
    is_minimum: bool = False,
) -> Verdict:
    holds = measured >= limit if is_minimum else measured <= limit
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
    """Return the report as text: medians over the seeds, and the range of the p95."""
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
    full: t.Annotated[
        bool, typer.Option("--full", help="Run 152 engines too; it takes long.")
    ] = False,
) -> None:
    """Measure the choice of endpoints against baselines and an oracle."""
    sizes = FULL_SIZES if full else SMALL_SIZES
    report = run(RoutingBenchOptions(seeds=seeds, sizes=sizes))
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report)))
    else:
        typer.echo(table(report))
