"""Benchmark of admission and retries under overload, faults and changes of entries."""

import dataclasses
import json
import statistics
import typing as t

import typer

from .limits_figures import LimitsFigures, measure
from .limits_world import Change, LimitsWorldOptions, TeamPlan

DEFAULT_SEEDS = 5
LARGE_TEAMS = 3
LARGE_SHARE = 0.2
SMALL_TEAMS = 7
SMALL_SHARE = 0.4 / SMALL_TEAMS
SMALL_UTILIZATION = 0.8
MANY_TEAMS = 43_000
NAMED_TEAMS = 100
NAMED_SHARE = 0.6
MIN_GOODPUT_RATIO = 0.9
MAX_SLOWDOWN_RATIO = 1.2
MAX_SHARE_ERROR = 0.1
MAX_RETRY_RATIO = 0.1
MAX_RECOVERY_S = 10.0
MIN_SPREAD = 0.5
MAX_FAULT_MS = 30_000.0

FEW_SCENARIOS = (
    "load-0.8",
    "load-1",
    "load-2",
    "load-5",
    "one-team-10x",
    "entry-dies",
    "entry-joins",
    "cut-off",
    "slow-30s",
    "refuse-half-30s",
    "refuse-all-30s",
)
MANY_SCENARIOS = ("load-0.8", "load-1", "load-2", "load-5")


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsBenchOptions:
    """The scenarios, seeds and sizes of a run.

    :param few: scenarios that are run with 10 teams.
    :param many: scenarios that are run with ``many_teams`` teams.
    """

    seeds: int = DEFAULT_SEEDS
    few: tuple[str, ...] = FEW_SCENARIOS
    many: tuple[str, ...] = MANY_SCENARIOS
    entries: int = 9
    engines: int = 16
    many_teams: int = MANY_TEAMS
    warm_up_ms: float = 25_000.0
    measured_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsRow:
    """The figures of one scenario with each seed."""

    scenario: str
    teams: int
    figures: tuple[LimitsFigures, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsVerdict:
    """Whether the median over the seeds meets a target in a scenario."""

    target: str
    scenario: str
    teams: int
    measured: float
    limit: float
    holds: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsBenchReport:
    """All rows, and the verdict on each target."""

    rows: tuple[LimitsRow, ...]
    verdicts: tuple[LimitsVerdict, ...]


def run(options: LimitsBenchOptions) -> LimitsBenchReport:
    """Run each scenario with each seed."""
    rows = []
    for is_many, scenarios in ((False, options.few), (True, options.many)):
        for scenario in scenarios:
            world = _world_options(options, scenario, is_many)
            figures = tuple(
                measure(world, seed) for seed in range(1, options.seeds + 1)
            )
            rows.append(LimitsRow(scenario, len(world.teams), figures))
    verdicts = [verdict for row in rows for verdict in _verdicts(row)]
    return LimitsBenchReport(tuple(rows), tuple(verdicts))


def _world_options(
    options: LimitsBenchOptions, scenario: str, is_many: bool
) -> LimitsWorldOptions:
    load = float(scenario[5:]) if scenario.startswith("load-") else 0.8
    if scenario.startswith("entry-"):
        load = 2.0
    if is_many:
        teams, default_share = _many_teams(options.many_teams, load)
    else:
        teams, default_share = _few_teams(load), SMALL_SHARE
    if scenario == "one-team-10x":
        teams = (dataclasses.replace(teams[0], demand=10.0 * LARGE_SHARE), *teams[1:])
    return LimitsWorldOptions(
        teams=teams,
        default_share=default_share,
        rest_share=1.0 - NAMED_SHARE if is_many else 0.0,
        entries=options.entries,
        engines=options.engines,
        warm_up_ms=options.warm_up_ms,
        duration_ms=options.warm_up_ms + options.measured_ms,
        changes=_changes(options, scenario),
    )


def _few_teams(load: float) -> tuple[TeamPlan, ...]:
    small_demand = SMALL_UTILIZATION * SMALL_SHARE
    large_demand = (load - SMALL_TEAMS * small_demand) / LARGE_TEAMS
    large = [
        TeamPlan(f"large-{number}", LARGE_SHARE, large_demand)
        for number in range(LARGE_TEAMS)
    ]
    small = [
        TeamPlan(f"small-{number}", SMALL_SHARE, small_demand)
        for number in range(SMALL_TEAMS)
    ]
    return (*large, *small)


def _many_teams(count: int, load: float) -> tuple[tuple[TeamPlan, ...], float]:
    named = min(NAMED_TEAMS, count // 2)
    weights = [1.0 / rank for rank in range(1, named + 1)]
    tail_share = (1.0 - NAMED_SHARE) / (count - named)
    tail_demand = SMALL_UTILIZATION * (1.0 - NAMED_SHARE)
    named_demand = load - tail_demand
    large = [
        TeamPlan(
            f"large-{number}",
            NAMED_SHARE * weight / sum(weights),
            named_demand * weight / sum(weights),
        )
        for number, weight in enumerate(weights)
    ]
    tail = [
        TeamPlan(f"small-{number}", 0.0, tail_demand / (count - named))
        for number in range(count - named)
    ]
    return (*large, *tail), tail_share


def _changes(options: LimitsBenchOptions, scenario: str) -> tuple[Change, ...]:
    at_ms = options.warm_up_ms
    end_ms = min(at_ms + MAX_FAULT_MS, at_ms + options.measured_ms / 2.0)
    all_entries = tuple(range(options.entries))
    if scenario == "entry-dies":
        return (Change(at_ms, entries=all_entries[1:]),)
    if scenario == "entry-joins":
        return (
            Change(0.0, entries=all_entries[1:]),
            Change(at_ms, entries=all_entries),
        )
    if scenario == "cut-off":
        return (Change(at_ms, load=1.5), Change(end_ms, load=1.0))
    if scenario == "slow-30s":
        return (Change(at_ms, speed=1.0 / 3.0), Change(end_ms, speed=1.0))
    if scenario == "refuse-half-30s":
        return (Change(at_ms, refusals=0.5), Change(end_ms, refusals=0.0))
    if scenario == "refuse-all-30s":
        return (Change(at_ms, refusals=1.0), Change(end_ms, refusals=0.0))
    return ()


def _verdicts(row: LimitsRow) -> t.Iterator[LimitsVerdict]:
    def verdict(
        target: str, name: str, limit: float, is_minimum: bool = False
    ) -> LimitsVerdict:
        measured = _median(row, name)
        holds = measured >= limit if is_minimum else measured <= limit
        return LimitsVerdict(target, row.scenario, row.teams, measured, limit, holds)

    is_fault = row.scenario.endswith("-30s")
    if row.scenario not in ("load-0.8", "load-1") and not is_fault:
        yield verdict("goodput / wanted", "goodput_share", MIN_GOODPUT_RATIO, True)
    if not is_fault and row.scenario != "cut-off":
        yield verdict("small teams p95 / alone", "small_ratio", MAX_SLOWDOWN_RATIO)
        yield verdict("error of shares", "share_error", MAX_SHARE_ERROR)
        yield verdict("wait of what is shed, ms", "shed_wait_ms", 0.0)
    if row.scenario in ("load-2", "load-5"):
        yield verdict("spread of coming back", "spread", MIN_SPREAD, True)
    if is_fault:
        yield verdict("retries / requests", "retry_share", MAX_RETRY_RATIO)
        yield verdict("recovery, s", "recovery_s", MAX_RECOVERY_S)
        yield verdict(
            "recovery of first calls, s", "first_call_recovery_s", MAX_RECOVERY_S
        )


def _median(row: LimitsRow, name: str) -> float:
    return statistics.median(getattr(one, name) for one in row.figures)


def table(report: LimitsBenchReport) -> str:
    """Return the report as text, with the median and the range over the seeds."""
    names = [field.name for field in dataclasses.fields(LimitsFigures)]
    titles = [name[:11] for name in names]
    lines = [f"{'scenario':16} {'teams':>6} " + " ".join(f"{x:>18}" for x in titles)]
    for row in report.rows:
        cells = []
        for name in names:
            values = [getattr(one, name) for one in row.figures]
            cells.append(
                f"{_median(row, name):.2f} ({min(values):.2f}-{max(values):.2f})"
            )
        cells = [f"{cell:>18}" for cell in cells]
        lines.append(f"{row.scenario:16} {row.teams:6} " + " ".join(cells))
    for one in report.verdicts:
        state = "holds" if one.holds else "DOES NOT HOLD"
        lines.append(
            f"{state}: {one.target}, {one.scenario}, {one.teams} teams: "
            f"{one.measured:.3f} against {one.limit}"
        )
    return "\n".join(lines)


def command(
    seeds: t.Annotated[int, typer.Option(help="Number of seeds.")] = DEFAULT_SEEDS,
    as_json: t.Annotated[
        bool, typer.Option("--json", help="Print the report as JSON.")
    ] = False,
) -> None:
    """Measure admission and retries."""
    report = run(LimitsBenchOptions(seeds=seeds))
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report)))
    else:
        typer.echo(table(report))
