"""Benchmark of the expert map: step-time skew against the cost of rebalancing.

Every strategy is run with the same load on a virtual clock, so that a simulated day
takes seconds.
"""

import dataclasses
import json
import pathlib
import statistics
import time
import typing as t

import numpy as np
import typer

from ..errors import InputError
from ..maps.experts import ExpertMap
from ..maps.placement import place_map
from ..maps.rebalancing import Plan, Policy
from ..standins.fake_group import HOUR_MS, MINUTE_MS, FakeGroup, Workload
from . import baselines
from .skew import Ledger, Samples

WINDOW_MS: t.Final = 15_000.0
STEPS_PER_WINDOW: t.Final = 2
ORACLE_INTERVAL_MS: t.Final = 4 * MINUTE_MS
MIN_HOURS: t.Final = 0.1
HIGH_SKEW: t.Final = 1.1
KAPLAN_WEIGHT: t.Final = 0.2
MARISOL_WEIGHT: t.Final = 0.8
WEIGHTS: t.Final = (0.0, KAPLAN_WEIGHT, 0.5, MARISOL_WEIGHT, 0.95, 0.99, 0.999, 1.0)
FLOOR_TOKENS_PER_RANK: t.Final = (32, 64, 128, 256, 512, 1024)
FIGURE_INCHES: t.Final = (9.0, 6.0)
LABEL_OFFSET_POINTS: t.Final = 16
BYTES_PER_GB: t.Final = 1e9


@dataclasses.dataclass(frozen=True)
class Options:
    """The size of the group and the runs.

    :param seeds: number of seeds, counted from ``first_seed``.
    :param tokens_per_rank: tokens that enter a step for each rank.
    :param spare_slots: slots of a rank in each layer beyond an equal share of experts.
    :param hours: virtual time of each run.
    :param interval_ms: time between two full placements of the baselines.
    :param weights: cost weights of the frontier.
    """

    ranks: int = 8
    experts: int = 32
    layers: int = 4
    seeds: int = 5
    first_seed: int = 0
    tokens_per_rank: int = 256
    spare_slots: int = 3
    hours: float = 24.0
    interval_ms: float = 10 * MINUTE_MS
    weights: tuple[float, ...] = WEIGHTS
    policy: Policy = Policy()

    def __post_init__(self) -> None:
        if self.experts % self.ranks:
            raise InputError("experts", str(self.experts), "a multiple of the ranks")
        if self.hours < MIN_HOURS:
            raise InputError("hours", str(self.hours), f"{MIN_HOURS} or more")
        if self.seeds < 1:
            raise InputError("seeds", str(self.seeds), "1 or more")

    @property
    def slots_per_rank(self) -> int:
        """Return the number of slots of a rank in each layer."""
        return self.experts // self.ranks + self.spare_slots

    def workload(self) -> Workload:
        """Return the workload of a group of this size."""
        return Workload(self.ranks, self.experts, self.layers, self.tokens_per_rank)

    def seed_numbers(self) -> range:
        """Return the seeds."""
        return range(self.first_seed, self.first_seed + self.seeds)


@dataclasses.dataclass(frozen=True)
class Result:
    """Figures of one strategy with one seed.

    A step's skew is the time of its slowest rank divided by that of its fastest,
    each summed over the layers. The step time is the sum over the layers of the
    slowest rank's time, divided by that of a perfect split. Figures without
    ``with_jumps`` leave out the first minute after a jump, a stall or a recovery.

    :param undone: replicas removed within an hour of being added to the same
        rank, or added again within an hour of being removed from it.
    :param high_skew_part: fraction of the steps with a skew above ``HIGH_SKEW``.
    :param reversed: replicas by which an expert's replica count changed back within
        an hour, on any rank.
    :param staging_s: total time for which moves were being loaded, in seconds.
    :param recovery_max_s: longest time from a jump, a stall or a recovery until the
        skew was at most 1.15 again, in seconds.
    :param plan_p50_ms_per_layer: median processor time of a decision per layer.
    :param plan_max_ms_per_layer: longest processor time of a decision per layer.
    """

    skew_p50: float
    skew_p99: float
    skew_p99_with_jumps: float
    high_skew_part: float
    step_time_p50: float
    step_time_p99: float
    step_time_mean_with_jumps: float
    moved_gb: float
    moves: int
    undone: int
    reversed: int
    maps: int
    staging_s: float
    recovery_max_s: float
    plan_p50_ms_per_layer: float
    plan_max_ms_per_layer: float


@dataclasses.dataclass(frozen=True)
class Row:
    """The results of a strategy over all seeds.

    :param weight: cost weight, or None if the strategy has none.
    """

    name: str
    weight: float | None
    results: tuple[Result, ...]

    def median(self, field: str) -> float:
        """Return the median of a field of the results."""
        return statistics.median(getattr(result, field) for result in self.results)

    def spread(self, field: str) -> tuple[float, float]:
        """Return the smallest and the largest value of a field of the results."""
        values = [getattr(result, field) for result in self.results]
        return min(values), max(values)


@dataclasses.dataclass(frozen=True)
class Report:
    """The rows of one run; those of the frontier are in the order of the weights."""

    options: Options
    rows: tuple[Row, ...]

    @property
    def frontier(self) -> t.Sequence[Row]:
        """Return the rows that have a weight."""
        return [row for row in self.rows if row.weight is not None]


def run(options: Options) -> Report:
    """Run every strategy with every seed."""
    policy = options.policy
    by_speed = baselines.place_by_speed
    greedily = baselines.place_greedily
    interval_ms, hourly_ms = options.interval_ms, HOUR_MS
    fixed: dict[str, t.Callable[[ExpertMap], baselines.Strategy]] = {
        "never move": lambda first: baselines.never_move,
        "full re-placement": lambda first: baselines.replace_all(
            by_speed, interval_ms, policy
        ),
        "full re-placement, hourly": lambda first: baselines.replace_all(
            by_speed, hourly_ms, policy
        ),
        "greedy replication": lambda first: baselines.replace_all(
            greedily, interval_ms, policy
        ),
    }
    seeds = options.seed_numbers()
    rows = [
        Row("perfect knowledge", None, tuple(_run_oracle(options, s) for s in seeds))
    ]
    for name, make in fixed.items():
        results = tuple(_run_strategy(options, seed, make) for seed in seeds)
        rows.append(Row(name, None, results))
    for weight in options.weights:
        weighted_policy = dataclasses.replace(policy, cost_weight=weight)
        results = tuple(
            _run_strategy(options, seed, _rebalance(weighted_policy)) for seed in seeds
        )
        rows.append(Row(_weight_name(weight), weight, results))
    return Report(options, tuple(rows))


def run_floor(options: Options) -> Report:
    """Run only the placement with perfect knowledge, at several token counts."""
    rows = []
    for tokens_per_rank in FLOOR_TOKENS_PER_RANK:
        sized_options = dataclasses.replace(options, tokens_per_rank=tokens_per_rank)
        results = tuple(
            _run_oracle(sized_options, seed) for seed in options.seed_numbers()
        )
        rows.append(Row(f"{tokens_per_rank} tokens a rank", None, results))
    return Report(options, tuple(rows))


def _rebalance(policy: Policy) -> t.Callable[[ExpertMap], baselines.Strategy]:
    return lambda first: baselines.rebalance(first, policy)


def _weight_name(weight: float) -> str:
    names = {KAPLAN_WEIGHT: " (Kaplan)", MARISOL_WEIGHT: " (Marisol)"}
    return f"weight {weight:g}{names.get(weight, '')}"


def _run_strategy(
    options: Options,
    seed: int,
    make: t.Callable[[ExpertMap], baselines.Strategy],
) -> Result:
    """Run one strategy with one seed."""
    workload = options.workload()
    group = FakeGroup(workload, np.random.default_rng(seed))
    current_map = _first_map(group, options)
    decide = make(current_map)
    samples = Samples(workload)
    ledger = Ledger(current_map)
    plans: list[Plan] = []
    planning_s: list[float] = []
    staged: tuple[float, Plan] | None = None
    for now_ms in np.arange(1, options.hours * HOUR_MS / WINDOW_MS) * WINDOW_MS:
        if staged is not None and now_ms >= staged[0]:
            current_map = staged[1].target
            ledger.record(now_ms, current_map)
            staged = None
        for _ in range(STEPS_PER_WINDOW):
            times_ms = group.step_times_ms(now_ms, current_map)
            samples.take(now_ms, times_ms, group.speeds(now_ms))
        observation = group.window(now_ms, WINDOW_MS, current_map)
        started_s = time.thread_time()
        plan = decide(now_ms, current_map, observation)
        planning_s.append(time.thread_time() - started_s)
        if plan is None:
            continue
        plans.append(plan)
        if plan.moves:
            current_map = plan.interim or current_map
            staged = (now_ms + plan.stage_ms, plan)
        else:
            current_map = plan.target
    return _result(options, samples, ledger, plans, planning_s)


def _run_oracle(options: Options, seed: int) -> Result:
    """Sample steps with maps that are placed for the true popularity and speeds."""
    workload = options.workload()
    group = FakeGroup(workload, np.random.default_rng(seed))
    samples = Samples(workload)
    steps_per_map = int(STEPS_PER_WINDOW * ORACLE_INTERVAL_MS / WINDOW_MS)
    end_ms = options.hours * HOUR_MS
    for now_ms in np.arange(ORACLE_INTERVAL_MS, end_ms, ORACLE_INTERVAL_MS):
        best = baselines.place_with_true_load(group, now_ms, options.slots_per_rank)
        for _ in range(steps_per_map):
            times_ms = group.step_times_ms(now_ms, best)
            samples.take(now_ms, times_ms, group.speeds(now_ms))
    return _result(options, samples, None, [], [0.0])


def _first_map(group: FakeGroup, options: Options) -> ExpertMap:
    """Return the map that all strategies start from, placed for time 0."""
    tokens = group.popularity(0) * group.workload.step_tokens
    return place_map(tokens, group.speeds(0), options.slots_per_rank)


def _result(
    options: Options,
    samples: Samples,
    ledger: Ledger | None,
    plans: t.Sequence[Plan],
    planning_s: t.Sequence[float],
) -> Result:
    skews = np.array(samples.skews)
    step_times = np.array(samples.step_times)
    calm = np.array(samples.calm)
    per_layer_ms = np.array(planning_s) * 1000 / options.layers
    size_bytes = sum(plan.size_bytes for plan in plans)
    return Result(
        skew_p50=float(np.percentile(skews[calm], 50)),
        skew_p99=float(np.percentile(skews[calm], 99)),
        skew_p99_with_jumps=float(np.percentile(skews, 99)),
        high_skew_part=float((skews[calm] > HIGH_SKEW).mean()),
        step_time_p50=float(np.percentile(step_times[calm], 50)),
        step_time_p99=float(np.percentile(step_times[calm], 99)),
        step_time_mean_with_jumps=float(step_times.mean()),
        moved_gb=size_bytes / BYTES_PER_GB,
        moves=sum(len(plan.moves) for plan in plans),
        undone=ledger.undone if ledger else 0,
        reversed=ledger.reversed if ledger else 0,
        maps=sum(2 if plan.interim else 1 for plan in plans),
        staging_s=sum(plan.stage_ms for plan in plans) / 1000,
        recovery_max_s=max(samples.recoveries_s(), default=0.0),
        plan_p50_ms_per_layer=float(np.percentile(per_layer_ms, 50)),
        plan_max_ms_per_layer=float(per_layer_ms.max()),
    )


@dataclasses.dataclass(frozen=True)
class _Column:
    """A column of a table: its title, a field of the results, and a format spec."""

    title: str
    field: str
    format_spec: str


_STEP_COLUMNS: t.Final = (
    _Column("skew p50", "skew_p50", ".3f"),
    _Column("skew p99", "skew_p99", ".3f"),
    _Column("over 1.1", "high_skew_part", ".4f"),
    _Column("p99 with jumps", "skew_p99_with_jumps", ".3f"),
    _Column("step p50", "step_time_p50", ".3f"),
    _Column("step p99", "step_time_p99", ".3f"),
    _Column("step mean with jumps", "step_time_mean_with_jumps", ".3f"),
    _Column("recovery s", "recovery_max_s", ".0f"),
)
_COST_COLUMNS: t.Final = (
    _Column("moved GB", "moved_gb", ".1f"),
    _Column("moves", "moves", ".0f"),
    _Column("undone", "undone", ".0f"),
    _Column("reversed", "reversed", ".0f"),
    _Column("staging s", "staging_s", ".0f"),
    _Column("maps", "maps", ".0f"),
    _Column("planning p50 ms/layer", "plan_p50_ms_per_layer", ".2f"),
    _Column("most", "plan_max_ms_per_layer", ".1f"),
)


def format_table(report: Report) -> str:
    """Return the report as two Markdown tables.

    Each cell holds the median over the seeds, then the least and the greatest value.
    """
    tables = [_table(report, columns) for columns in (_STEP_COLUMNS, _COST_COLUMNS)]
    return "\n\n".join(tables)


def _table(report: Report, columns: t.Sequence[_Column]) -> str:
    titles = ["strategy", *(column.title for column in columns)]
    lines = [_line(titles), "|---" * len(titles) + "|"]
    for row in report.rows:
        lines.append(_line([row.name, *(_cell(row, column) for column in columns)]))
    return "\n".join(lines)


def _line(cells: t.Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _cell(row: Row, column: _Column) -> str:
    least, most = row.spread(column.field)
    spec = column.format_spec
    return f"{row.median(column.field):{spec}} ({least:{spec}}-{most:{spec}})"


def plot_frontier(report: Report, path: pathlib.Path) -> None:
    """Write a figure of the skew against the bytes moved, one point per weight."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    rows = report.frontier
    moved = [row.median("moved_gb") for row in rows]
    axes.plot(moved, [row.median("skew_p99") for row in rows], "o-", label="p99")
    axes.plot(moved, [row.median("skew_p50") for row in rows], "o-", label="p50")
    for index, (row, gigabytes) in enumerate(zip(rows, moved)):
        axes.annotate(
            row.name,
            (gigabytes, row.median("skew_p99")),
            xytext=(LABEL_OFFSET_POINTS, LABEL_OFFSET_POINTS * (len(rows) - index)),
            textcoords="offset points",
            arrowprops={"arrowstyle": "-", "linewidth": 0.5},
        )
    axes.set_xlabel("moved in a day, GB")
    axes.set_ylabel("step-time skew outside the first minute after a jump")
    axes.set_xscale("symlog")
    axes.set_yscale("log")
    axes.margins(x=0.2, y=0.3)
    axes.legend()
    options = report.options
    axes.set_title(f"{options.ranks} ranks x {options.experts} experts")
    figure.savefig(path)
    pyplot.close(figure)


def command(
    ranks: int = typer.Option(8, help="Ranks of the group."),
    experts: int = typer.Option(32, help="Experts in each layer."),
    layers: int = typer.Option(4, help="Layers with experts."),
    seeds: int = typer.Option(5, help="Number of seeds."),
    first_seed: int = typer.Option(0, help="First of the seeds."),
    tokens_per_rank: int = typer.Option(256, help="Tokens of a rank in a step."),
    spare_slots: int = typer.Option(3, help="Spare slots of a rank in each layer."),
    hours: float = typer.Option(24.0, help="Virtual hours of each run."),
    floor: bool = typer.Option(False, help="Only show what sampling noise leaves."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON, not a table."),
    plot: t.Optional[pathlib.Path] = typer.Option(None, help="Write the frontier."),
) -> None:
    """Measure step-time skew and the cost of rebalancing on a virtual clock."""
    options = Options(
        ranks=ranks,
        experts=experts,
        layers=layers,
        seeds=seeds,
        first_seed=first_seed,
        tokens_per_rank=tokens_per_rank,
        spare_slots=spare_slots,
        hours=hours,
    )
    report = run_floor(options) if floor else run(options)
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        typer.echo(format_table(report))
    if plot is not None:
        plot_frontier(report, plot)
