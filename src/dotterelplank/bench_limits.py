"""Measures admission and retries under overload, faults and changes of entries."""

import dataclasses
import json
import statistics
import typing as t

import typer

from . import demands
from .bench_limits_world import (
    OUTPUT_TOKENS,
    Call,
    Change,
    LimitsTally,
    LimitsWorld,
    LimitsWorldOptions,
    TeamPlan,
    team_numbers,
)
from .bench_routing import percentile

DEFAULT_SEEDS = 5
LARGE_TEAMS = 3
LARGE_SHARE = 0.2
SMALL_TEAMS = 7
SMALL_SHARE = 0.4 / SMALL_TEAMS
SMALL_USE = 0.8
MANY_TEAMS = 43_000
NAMED_TEAMS = 100
NAMED_SHARE = 0.6
GOODPUT_FLOOR = 0.9
SLOWDOWN_LIMIT = 1.2
SHARE_ERROR_LIMIT = 0.1
RETRY_LIMIT = 0.1
RECOVERY_LIMIT_S = 10.0
SPREAD_FLOOR = 0.5
SETTLING_MS = 5_000.0
BIN_MS = 2_000.0
NORMAL_SHARE = 0.75
FAULT_MS = 30_000.0

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
    """What to run: scenarios with 10 teams, and scenarios with 43,000."""

    seeds: int = DEFAULT_SEEDS
    few: tuple[str, ...] = FEW_SCENARIOS
    many: tuple[str, ...] = MANY_SCENARIOS
    entries: int = 9
    engines: int = 16
    many_teams: int = MANY_TEAMS
    warm_up_ms: float = 25_000.0
    measured_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsFigures:
    """What one run measured after its warm-up.

    :param goodput: tokens of requests answered within the deadline, as a part of
        the capacity.
    :param goodput_share: the same as a part of the lesser of demand and capacity.
    :param small_ratio: first token p95 of the small teams against their time alone.
    :param small_answer_ratio: the same of the whole answer.
    :param small_shed: part of the small teams' first calls that were shed.
    :param share_error: greatest error of what a large team was let in, against
        its fair part of the capacity, from 5 s after a change on.
    :param shed_wait_ms: longest time that a shed request waited for its answer.
    :param spread: 90th less 10th percentile of the times to come back, divided by
        their median.
    :param retry_share: retries divided by admitted requests, in the fault.
    :param recovery_s: time after the fault until requests did well again.
    """

    goodput: float
    goodput_share: float
    small_ratio: float
    small_answer_ratio: float
    small_shed: float
    share_error: float
    shed_wait_ms: float
    spread: float
    retry_share: float
    recovery_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsRow:
    """The figures of one scenario, one for each seed."""

    scenario: str
    teams: int
    figures: tuple[LimitsFigures, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsVerdict:
    """Whether a target holds in a scenario, by the median over the seeds."""

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
                _run_one(world, seed) for seed in range(1, options.seeds + 1)
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
    small_demand = SMALL_USE * SMALL_SHARE
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
    tail_demand = SMALL_USE * (1.0 - NAMED_SHARE)
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
    end_ms = min(at_ms + FAULT_MS, at_ms + options.measured_ms / 2.0)
    everybody = tuple(range(options.entries))
    if scenario == "entry-dies":
        return (Change(at_ms, entries=everybody[1:]),)
    if scenario == "entry-joins":
        return (Change(0.0, entries=everybody[1:]), Change(at_ms, entries=everybody))
    if scenario == "cut-off":
        return (Change(at_ms, load=1.5), Change(end_ms, load=1.0))
    if scenario == "slow-30s":
        return (Change(at_ms, speed=1.0 / 3.0), Change(end_ms, speed=1.0))
    if scenario == "refuse-half-30s":
        return (Change(at_ms, refusals=0.5), Change(end_ms, refusals=0.0))
    if scenario == "refuse-all-30s":
        return (Change(at_ms, refusals=1.0), Change(end_ms, refusals=0.0))
    return ()


def _run_one(options: LimitsWorldOptions, seed: int) -> LimitsFigures:
    tally = LimitsWorld(options, seed).run()
    small = team_numbers(options, lambda team: team.name.startswith("small"))
    alone_options = dataclasses.replace(
        options,
        teams=tuple(options.teams[number] for number in sorted(small)),
        changes=(),
    )
    alone = LimitsWorld(alone_options, seed).run()
    of_small = [call for call in tally.calls if call.team in small]
    answered = [one for one in tally.answered if one.at_ms >= options.warm_up_ms]
    shed_ms = sorted(
        one.retry_after_ms for one in answered if one.retry_after_ms >= 0.0
    )
    median_ms = percentile(shed_ms, 0.5)
    spread_ms = percentile(shed_ms, 0.9) - percentile(shed_ms, 0.1)
    return LimitsFigures(
        goodput=_goodput(options, tally),
        goodput_share=_goodput(options, tally) / _wanted(options),
        small_ratio=_p95(options, of_small, _first_token_delay_ms)
        / max(1.0, _p95(options, alone.calls, _first_token_delay_ms)),
        small_answer_ratio=_p95(options, of_small, _answer_delay_ms)
        / max(1.0, _p95(options, alone.calls, _answer_delay_ms)),
        small_shed=_called_twice(options, of_small),
        share_error=_share_error(options, tally),
        shed_wait_ms=max((one.waited_ms for one in answered), default=0.0),
        spread=spread_ms / median_ms if median_ms else 0.0,
        retry_share=_retry_share(options, tally),
        recovery_s=_recovery_s(options, tally),
    )


def _goodput(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    done = sum(
        _tokens_within(options, call)
        for call in tally.calls
        if call.asked_ms + options.deadline_ms >= call.first_token_ms
    )
    measured_s = (options.duration_ms - options.warm_up_ms) / 1_000.0
    return done / measured_s / options.capacity_per_s()


def _tokens_within(options: LimitsWorldOptions, call: Call) -> float:
    """Return the tokens of ``call`` that were generated after the warm-up."""
    planned_ms = call.first_token_ms + call.output_tokens * options.engine.step_ms
    end_ms = call.end_ms if call.end_ms < options.duration_ms else planned_ms
    from_ms = max(call.first_token_ms, options.warm_up_ms)
    within_ms = min(end_ms, options.duration_ms) - from_ms
    total_ms = max(1.0, end_ms - call.first_token_ms)
    return call.output_tokens * max(0.0, within_ms) / total_ms


def _wanted(options: LimitsWorldOptions) -> float:
    """Return the mean over time of the lesser of demand and capacity."""
    demand = sum(team.demand for team in options.teams)
    changes = [one for one in options.changes if one.load is not None]
    times_ms = [options.warm_up_ms] + [one.at_ms for one in changes]
    loads = [1.0] + [one.load or 1.0 for one in changes]
    ends_ms = [*times_ms[1:], options.duration_ms]
    total = sum(
        min(1.0, demand * load) * (end_ms - from_ms)
        for load, from_ms, end_ms in zip(loads, times_ms, ends_ms)
    )
    return total / (options.duration_ms - options.warm_up_ms)


def _measured(options: LimitsWorldOptions, calls: t.Iterable[Call]) -> t.Iterator[Call]:
    """Yield the calls that came after the warm-up and had time to be answered."""
    until_ms = options.duration_ms - 2.0 * options.deadline_ms
    for call in calls:
        if options.warm_up_ms <= call.at_ms < until_ms:
            yield call


def _first_token_delay_ms(call: Call) -> float:
    return call.first_token_ms - call.at_ms


def _answer_delay_ms(call: Call) -> float:
    return call.end_ms - call.at_ms


def _p95(
    options: LimitsWorldOptions,
    calls: t.Iterable[Call],
    delay_ms: t.Callable[[Call], float],
) -> float:
    finite = (
        call
        for call in _measured(options, calls)
        if delay_ms is _first_token_delay_ms or call.end_ms < options.duration_ms
    )
    return percentile(sorted(delay_ms(call) for call in finite), 0.95)


def _called_twice(options: LimitsWorldOptions, calls: t.Sequence[Call]) -> float:
    measured = list(_measured(options, calls))
    again = sum(call.calls > 1 for call in measured)
    return again / max(1, len(measured))


def _share_error(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return the greatest error of a team that asks for more than it may have."""
    capacity = options.capacity_per_s()
    claims = [
        demands.Claim(team.demand, team.share or options.default_share)
        for team in options.teams
    ]
    level = demands.fair_level(claims, 1.0)
    over = {
        number
        for number, claim in enumerate(claims)
        if claim.demand_per_s > claim.share * level and claim.share > 0.02
    }
    from_ms = options.warm_up_ms + SETTLING_MS
    admitted = dict.fromkeys(over, 0.0)
    for one in tally.answered:
        if one.team in over and one.retry_after_ms < 0.0 and one.at_ms >= from_ms:
            admitted[one.team] += one.cost
    seconds = (options.duration_ms - from_ms) / 1_000.0
    errors = (
        abs(cost / seconds / (claims[number].share * level * capacity) - 1.0)
        for number, cost in admitted.items()
    )
    return max(errors, default=0.0)


def _fault_end_ms(options: LimitsWorldOptions) -> float:
    return options.changes[-1].at_ms if len(options.changes) == 2 else 0.0


def _retry_share(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    end_ms = _fault_end_ms(options) or options.duration_ms
    retried = sum(options.warm_up_ms <= at_ms < end_ms for at_ms in tally.retries_ms)
    requests = sum(
        options.warm_up_ms <= one.at_ms < end_ms and one.retry_after_ms < 0.0
        for one in tally.answered
    )
    return retried / max(1, requests)


def _recovery_s(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return when fewer first tokens came in time for the last time.

    Fewer is less than :data:`NORMAL_SHARE` of the usual number in a bin.
    """
    end_ms = _fault_end_ms(options)
    if not end_ms or options.changes[-1].entries is not None:
        return 0.0
    demand = sum(team.demand for team in options.teams)
    usual = demand * options.capacity_per_s() / OUTPUT_TOKENS * BIN_MS / 1_000.0
    bins = int((options.duration_ms - options.deadline_ms - end_ms) // BIN_MS)
    good = [0] * bins
    for call in tally.calls:
        number = (
            int((call.first_token_ms - end_ms) // BIN_MS)
            if (end_ms <= call.first_token_ms < end_ms + bins * BIN_MS)
            else -1
        )
        if number >= 0:
            good[number] += 1
    bad = [number for number, count in enumerate(good) if count < NORMAL_SHARE * usual]
    return (max(bad) + 1) * BIN_MS / 1_000.0 if bad else 0.0


def _verdicts(row: LimitsRow) -> t.Iterator[LimitsVerdict]:
    def verdict(target: str, name: str, limit: float, is_floor: bool = False):
        measured = _median(row, name)
        holds = measured >= limit if is_floor else measured <= limit
        return LimitsVerdict(target, row.scenario, row.teams, measured, limit, holds)

    is_fault = row.scenario.endswith("-30s")
    if row.scenario not in ("load-0.8", "load-1") and not is_fault:
        yield verdict("goodput / wanted", "goodput_share", GOODPUT_FLOOR, True)
    if not is_fault and row.scenario != "cut-off":
        yield verdict("small teams p95 / alone", "small_ratio", SLOWDOWN_LIMIT)
        yield verdict("error of shares", "share_error", SHARE_ERROR_LIMIT)
        yield verdict("wait of what is shed, ms", "shed_wait_ms", 0.0)
    if row.scenario in ("load-2", "load-5"):
        yield verdict("spread of coming back", "spread", SPREAD_FLOOR, True)
    if is_fault:
        yield verdict("retries / requests", "retry_share", RETRY_LIMIT)
        yield verdict("recovery, s", "recovery_s", RECOVERY_LIMIT_S)


def _median(row: LimitsRow, name: str) -> float:
    return statistics.median(getattr(one, name) for one in row.figures)


def table(report: LimitsBenchReport) -> str:
    """Return the report as text: median over the seeds, and its range."""
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
