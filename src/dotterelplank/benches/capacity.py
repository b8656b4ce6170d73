"""Benchmark of what control costs a daemon at the size the system is designed for.

The messages and the processor time come from a replay: what one entry and one agent
received on the virtual clock passes through the real encoders and decision functions
once more.
"""

import dataclasses
import gc
import importlib
import json
import statistics
import time
import tracemalloc
import typing as t
import zlib

import typer

from ..members import membership, revisions
from . import tables as bench_tables
from .loop import DOCUMENTS, Conditions, Loop, make_peers
from .replay import DomainSize, Span, control_costs, system_call_ms

BUDGET_CORE_PERCENT = 1.4
BUDGET_MEMORY_MB = 256.0
BUDGET_BYTES_PER_S = 17_000.0
TARGET_BUDGET_RATIO = 0.5
CHANGES_PER_DAY = 460
DAY_S = 86_400
DOMAIN_SIZES = ((20, 38), (41, 76), (82, 152))
DOMAINS = 5
TEAM_SIZES = (10_750, 21_500, 43_000)
FULL_SIZE_ENDPOINTS = 760
ENDPOINT_SIZES = (190, 380, FULL_SIZE_ENDPOINTS)
LAYER_SIZES = (15, 30, bench_tables.LAYERS)
MEGABYTE = 1e6
REPEATS = 7
DAEMON_LIBRARIES = (
    "aioprometheus",
    "cheroot.wsgi",
    "json5",
    "numpy",
    "opentelemetry.sdk.trace",
    "pydantic",
    "urllib3",
)


@dataclasses.dataclass(frozen=True)
class Options:
    """The seeds and durations of a run.

    :param warm_s: virtual seconds of warm-up before the measurement.
    :param measured_s: virtual seconds that are measured.
    """

    seeds: int = 1
    warm_s: int = 22
    measured_s: int = 20


@dataclasses.dataclass(frozen=True)
class Quantity:
    """One quantity of one role, measured at several sizes.

    :param grows_with: what is counted in ``sizes``.
    :param values: the measured value at each of ``sizes``.
    :param slope: least-squares growth of the value per unit of size.
    :param at_letter: value of the fitted line at the largest size, at least 0.
    """

    role: str
    name: str
    unit: str
    grows_with: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    at_letter: float


@dataclasses.dataclass(frozen=True)
class Total:
    """The sum of a role's quantities, compared with a budget.

    :param within_aim: whether the value is at most half of the budget.
    """

    role: str
    name: str
    unit: str
    value: float
    budget: float
    within_budget: bool
    within_aim: bool


@dataclasses.dataclass(frozen=True)
class Report:
    """All quantities and totals of a run."""

    quantities: tuple[Quantity, ...]
    totals: tuple[Total, ...]


def run(options: Options) -> Report:
    """Measure every quantity and return it with the totals."""
    # Memory comes first, as the other measurements increase the interpreter's size.
    quantities = [
        *_memory_quantities(),
        *_configuration_quantities(),
        *_control_quantities(options),
    ]
    return Report(tuple(quantities), _totals(quantities))


def fit(sizes: t.Sequence[float], values: t.Sequence[float]) -> tuple[float, float]:
    """Return the slope and the intercept of the least-squares line."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    sum_of_squares = sum((size - mean_size) ** 2 for size in sizes)
    products = zip(sizes, values, strict=True)
    sum_of_products = sum((s - mean_size) * (v - mean_value) for s, v in products)
    slope = sum_of_products / sum_of_squares
    return slope, mean_value - slope * mean_size


def _quantity(
    role: str,
    name: str,
    unit: str,
    grows_with: str,
    points: t.Sequence[tuple[int, float]],
) -> Quantity:
    sizes = tuple(size for size, _ in points)
    values = tuple(value for _, value in points)
    slope, intercept = fit(sizes, values)
    at_full_size = slope * sizes[-1] + intercept
    return Quantity(
        role, name, unit, grows_with, sizes, values, slope, max(at_full_size, 0.0)
    )


# Control messages


def _control_quantities(options: Options) -> list[Quantity]:
    system_call_cost_ms = system_call_ms()
    points: dict[tuple[str, str, str], list[tuple[int, float]]] = {}
    span = Span(options.seeds, options.warm_s, options.measured_s)
    for entries, agents in DOMAIN_SIZES:
        size = DomainSize(entries, agents, DOMAINS)
        for role, cost in control_costs(size, span, system_call_cost_ms).items():
            for name, unit, value in (
                ("messages", "1/s", cost.messages_per_s),
                ("control traffic", "B/s", cost.bytes_per_s),
                ("control processor time", "ms/s", cost.cpu_ms_per_s),
            ):
                points.setdefault((role, name, unit), [])
                points[role, name, unit].append((entries + agents, value))
    return [
        _quantity(role, name, unit, "processes in the domain", values)
        for (role, name, unit), values in points.items()
    ]


# Changes of configuration


def _configuration_quantities() -> list[Quantity]:
    traffic = []
    cpu = []
    for teams in TEAM_SIZES:
        text = bench_tables.make_text(teams)
        compressed = zlib.compress(text.encode())
        # Each process fetches a text once and, on average, sends it once.
        traffic.append((teams, 2 * len(compressed) * CHANGES_PER_DAY / DAY_S))
        cpu.append((teams, _adoption_ms(compressed) * CHANGES_PER_DAY / DAY_S))
    quantities = []
    for role in ("entry", "agent"):
        quantities.append(
            _quantity(role, "configuration traffic", "B/s", "teams", traffic)
        )
        quantities.append(
            _quantity(role, "configuration processor time", "ms/s", "teams", cpu)
        )
    return quantities


def _adoption_ms(compressed: bytes) -> float:
    gc.collect()
    return statistics.median(_one_adoption_ms(compressed) for _ in range(REPEATS))


def _one_adoption_ms(compressed: bytes) -> float:
    started_ms = time.process_time() * 1_000
    text = zlib.decompress(compressed).decode()
    revisions.digest_of(text)
    bench_tables.validate_text(text)
    return time.process_time() * 1_000 - started_ms


# Memory


def _memory_quantities() -> list[Quantity]:
    base_mb = _interpreter_mb()
    base = [(1, base_mb), (2, base_mb)]
    teams = [(n, _teams_mb(n)) for n in TEAM_SIZES]
    endpoints = [
        (n, _allocated_mb(lambda n=n: bench_tables.make_endpoints(n)))
        for n in ENDPOINT_SIZES
    ]
    maps = [
        (n, 2 * _allocated_mb(lambda n=n: bench_tables.make_map(n)))
        for n in LAYER_SIZES
    ]
    members = [
        (sum(sizes), _allocated_mb(lambda sizes=sizes: _make_members(*sizes)))
        for sizes in DOMAIN_SIZES
    ]
    quantities = []
    for role in ("entry", "agent"):
        rows = [
            ("interpreter and libraries", "none", base),
            ("configuration, text and teams", "teams", teams),
            ("membership and host list", "processes in the domain", members),
        ]
        if role == "entry":
            rows.append(("endpoints and cached prefixes", "endpoints", endpoints))
        else:
            rows.append(("expert map, in use and staged", "layers", maps))
        for name, grows_with, points in rows:
            quantities.append(_quantity(role, name, "MB", grows_with, points))
    return quantities


def _teams_mb(teams: int) -> float:
    def make() -> t.Any:
        text = bench_tables.make_text(teams)
        # The previous revision stays in memory while a new one is adopted.
        return [(text, bench_tables.validate_text(text)) for _ in range(2)]

    return _allocated_mb(make)


def _make_members(entries: int, agents: int) -> Loop:
    policies = {
        document: revisions.RevisionPolicy(validate=lambda text: text)
        for document in DOCUMENTS
    }
    peers = make_peers(entries, agents, DOMAINS)
    conditions = Conditions()
    loop = Loop(peers, 1, conditions, membership.MembershipPolicy(), policies)
    loop.boot("en-0-000")
    loop.run(1_000)
    return loop


def _allocated_mb(make: t.Callable[[], t.Any]) -> float:
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        held = make()
        after, _ = tracemalloc.get_traced_memory()
        del held
        return (after - before) / MEGABYTE
    finally:
        tracemalloc.stop()


def _interpreter_mb() -> float:
    """Return the resident memory in MB with the libraries that a daemon loads."""
    for name in DAEMON_LIBRARIES:
        importlib.import_module(name)
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1_024 / MEGABYTE
    raise OSError("got no VmRSS line in /proc/self/status, expected one")


# Totals


def _totals(quantities: t.Sequence[Quantity]) -> tuple[Total, ...]:
    budgets = (
        ("traffic", "B/s", BUDGET_BYTES_PER_S, "B/s", 1.0),
        ("processor time", "% of a core", BUDGET_CORE_PERCENT, "ms/s", 0.1),
        ("memory", "MB", BUDGET_MEMORY_MB, "MB", 1.0),
    )
    totals = []
    for role in ("entry", "agent"):
        for name, unit, budget, source_unit, factor in budgets:
            value = factor * sum(
                quantity.at_letter
                for quantity in quantities
                if quantity.role == role and quantity.unit == source_unit
            )
            within_aim = value <= TARGET_BUDGET_RATIO * budget
            totals.append(
                Total(role, name, unit, value, budget, value <= budget, within_aim)
            )
    return tuple(totals)


def command(
    seeds: t.Annotated[int, typer.Option(help="Seeds to average over.")] = 1,
    as_json: t.Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure what control costs a daemon at the size the system is designed for."""
    report = run(Options(seeds=seeds))
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report), indent=2))
        return
    for quantity in report.quantities:
        typer.echo(_line(quantity))
    for total in report.totals:
        verdict = "holds" if total.within_budget else "BROKEN"
        aim = "holds" if total.within_aim else "BROKEN"
        typer.echo(
            f"{total.role} {total.name}: {total.value:.4g} of {total.budget:.4g}"
            f" {total.unit}; budget {verdict}, half of it {aim}"
        )


def _line(quantity: Quantity) -> str:
    pairs = zip(quantity.sizes, quantity.values, strict=True)
    points = ", ".join(f"{value:.4g} at {size}" for size, value in pairs)
    return (
        f"{quantity.role} {quantity.name} ({quantity.unit} by {quantity.grows_with}):"
        f" {points}; slope {quantity.slope:.4g}; at full size {quantity.at_letter:.4g}"
    )


if __name__ == "__main__":
    typer.run(command)
