"""Benchmark of membership and configuration: reaction times and cost by fleet size."""

import dataclasses
import json
import math
import typing as t

import typer

from ..members.peers import Role
from . import failures
from .capacity import fit
from .failures import Fleet, FleetSize

LOSS = 0.01
MAX_DETECTION_MS = 1_000
MAX_UNSEEN_USE_MS = 3_000
MAX_DOMAIN_ADOPTION_MS = 3_000
MAX_FLEET_ADOPTION_MS = 10_000
MAX_FALSE_PER_DAY = 1.0
DAY_S = 86_400
FAILURES_PER_DAY = 11
REPLACEMENTS_PER_DAY = 120


@dataclasses.dataclass(frozen=True)
class Options:
    """The fleets, seeds and durations of a run.

    :param sizes: fleets to compare; the middle one also runs a day's failures.
    :param steady_s: virtual seconds for which traffic and platform calls are counted.
    :param loss_s: virtual seconds at each rate of datagram loss.
    :param day_gap_ms: time after each failure or replacement of the day.
    """

    seeds: int = 1
    sizes: tuple[FleetSize, ...] = (
        FleetSize(2, 4, 6),
        FleetSize(5, 14, 26),
        FleetSize(5, 84, 156),
    )
    steady_s: int = 31
    loss_s: int = 60
    day_gap_ms: int = 1_000
    failures: int = FAILURES_PER_DAY
    replacements: int = REPLACEMENTS_PER_DAY


@dataclasses.dataclass(frozen=True)
class Finding:
    """One measured figure.

    :param holds: whether it meets its target, None if that isn't judged.
    """

    name: str
    processes: int
    seed: int
    value: float
    unit: str
    target: str = ""
    holds: bool | None = None


@dataclasses.dataclass(frozen=True)
class Slope:
    """Growth of a figure per process of the fleet."""

    name: str
    slope: float
    unit: str


@dataclasses.dataclass(frozen=True)
class Report:
    """All figures of a run and their growth with the fleet."""

    findings: tuple[Finding, ...]
    slopes: tuple[Slope, ...]


def run(options: Options) -> Report:
    """Run every failure at every size and return the figures."""
    findings: list[Finding] = []
    for seed in range(options.seeds):
        for size in options.sizes:
            findings += _reaction_findings(size, seed)
            findings += _steady_state_findings(size, seed, options)
        middle = options.sizes[len(options.sizes) // 2]
        findings += _day_findings(middle, seed, options)
        findings += _false_judgement_findings(middle, seed, options)
        findings += _domain_growth_finding(middle, seed)
    findings.append(_call_growth_finding(findings))
    return Report(tuple(findings), _slopes(findings))


def _finding_with_limit(
    name: str, size: FleetSize, seed: int, value: float, limit: float, unit: str = "ms"
) -> Finding:
    target = f"<= {limit:g} {unit}"
    return Finding(name, size.processes, seed, value, unit, target, value <= limit)


def _reaction_findings(size: FleetSize, seed: int) -> list[Finding]:
    fleet = Fleet(size, seed, LOSS)
    measured = [
        ("endpoint dead, out of use", failures.endpoint_death(fleet), MAX_DETECTION_MS),
        ("rack dead, out of use", failures.rack_death(fleet), MAX_DETECTION_MS),
        ("endpoint leaving, out of use", failures.departure(fleet), MAX_UNSEEN_USE_MS),
    ]
    if size.domains > 1:
        lost = failures.domain_death(fleet)
        measured.append(("domain dead, out of use elsewhere", lost, MAX_DETECTION_MS))
        cut = failures.region_cut(fleet)
        measured.append(
            ("leaving in a cut-off region, out of use", cut, MAX_UNSEEN_USE_MS)
        )
    in_domain, everywhere = failures.publication(fleet, None)
    measured.append(("1 MB in force in a domain", in_domain, MAX_DOMAIN_ADOPTION_MS))
    measured.append(("1 MB in force everywhere", everywhere, MAX_FLEET_ADOPTION_MS))
    _, everywhere = failures.publication(fleet, "d0")
    name = "1 MB in force everywhere, one domain cut off from the platform"
    measured.append((name, everywhere, MAX_FLEET_ADOPTION_MS))
    return [
        _finding_with_limit(name, size, seed, value, limit)
        for name, value, limit in measured
    ]


def _steady_state_findings(
    size: FleetSize, seed: int, options: Options
) -> list[Finding]:
    fleet = Fleet(size, seed, LOSS)
    calls = fleet.loop.platform.calls
    for process in fleet.loop.processes.values():
        process.sent = process.received = 0
        process.sent_bytes = process.received_bytes = 0
    fleet.loop.run(options.steady_s * 1_000)
    calls_per_s = (fleet.loop.platform.calls - calls) / options.steady_s
    measured = [("platform calls", calls_per_s, "1/s")]
    for role in Role:
        messages, size_bytes = _mean_traffic(fleet, role, options.steady_s)
        measured.append((f"{role.name.lower()} messages", messages, "1/s"))
        measured.append((f"{role.name.lower()} traffic", size_bytes, "B/s"))
    return [
        Finding(name, size.processes, seed, value, unit)
        for name, value, unit in measured
    ]


def _mean_traffic(fleet: Fleet, role: Role, for_s: float) -> tuple[float, float]:
    chosen = [p for p in fleet.loop.processes.values() if p.peer.role is role]
    messages = sum(p.sent + p.received for p in chosen)
    size_bytes = sum(p.sent_bytes + p.received_bytes for p in chosen)
    return messages / len(chosen) / for_s, size_bytes / len(chosen) / for_s


def _day_findings(size: FleetSize, seed: int, options: Options) -> list[Finding]:
    fleet = Fleet(size, seed, LOSS)
    spent = failures.busy_day(
        fleet, options.failures, options.replacements, options.day_gap_ms
    )
    flaps = failures.flapping(fleet, 20)
    longest = max(spent, default=0.0)
    count = fleet.false_judgements - flaps
    return [
        _finding_with_limit(
            "longest notice of a day's failures", size, seed, longest, MAX_DETECTION_MS
        ),
        _finding_with_limit(
            "false judgements in a day's failures", size, seed, count, 0, "in all"
        ),
        _finding_with_limit(
            "false judgements beside a flapping link", size, seed, flaps, 0, ""
        ),
    ]


def _false_judgement_findings(
    size: FleetSize, seed: int, options: Options
) -> list[Finding]:
    findings = []
    for loss in (LOSS, 5 * LOSS, 10 * LOSS):
        fleet = Fleet(size, seed, loss)
        before = fleet.false_judgements
        fleet.loop.run(options.loss_s * 1_000)
        count = fleet.false_judgements - before
        name = f"false judgements in {options.loss_s} s at {loss:.0%} loss"
        # A run this short can show that the daily target is missed, not that it is met.
        broken = loss == LOSS and count > 0
        target = f"<= {MAX_FALSE_PER_DAY:g} a day" if loss == LOSS else ""
        holds = False if broken else None
        finding = Finding(name, size.processes, seed, count, "", target, holds)
        findings.append(finding)
    return findings


def _domain_growth_finding(size: FleetSize, seed: int) -> list[Finding]:
    points = []
    for domains in (2, size.domains):
        shape = FleetSize(domains, size.entries, size.agents)
        fleet = Fleet(shape, seed, LOSS)
        fleet.loop.run(5_000)
        for process in fleet.loop.processes.values():
            process.sent_bytes = process.received_bytes = 0
        fleet.loop.run(20_000)
        points.append((domains, _mean_traffic(fleet, Role.ENTRY, 20)[1]))
    growth = points[1][1] / points[0][1] - 1
    name = f"growth of entry traffic from {points[0][0]} to {points[1][0]} domains"
    target = "<= 2%"
    value = 100 * growth
    return [Finding(name, size.processes, seed, value, "%", target, value <= 2.0)]


def _call_growth_finding(findings: t.Sequence[Finding]) -> Finding:
    calls = [finding for finding in findings if finding.name == "platform calls"]
    least = min(calls, key=lambda finding: finding.processes)
    most = max(calls, key=lambda finding: finding.processes)
    fleet_growth = most.processes / least.processes
    growth = most.value / least.value if least.value else math.inf
    name = f"growth of platform calls while the fleet grows {fleet_growth:g}-fold"
    target = f"< {fleet_growth:g}-fold"
    holds = growth < fleet_growth
    return Finding(name, most.processes, 0, growth, "-fold", target, holds)


def _slopes(findings: t.Sequence[Finding]) -> tuple[Slope, ...]:
    slopes = []
    for name in ("platform calls", "entry traffic", "agent traffic"):
        points = [(f.processes, f.value) for f in findings if f.name == name]
        sizes = [size for size, _ in points]
        if len(set(sizes)) > 1:
            slope, _ = fit(sizes, [value for _, value in points])
            unit = next(f.unit for f in findings if f.name == name)
            slopes.append(Slope(name, slope, unit))
    return tuple(slopes)


def command(
    seeds: t.Annotated[int, typer.Option(help="Seeds to run, from 0.")] = 1,
    as_json: t.Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure how soon membership and configuration react, and what they cost."""
    report = run(Options(seeds=seeds))
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report), indent=2))
        return
    for finding in report.findings:
        typer.echo(_line(finding))
    for slope in report.slopes:
        typer.echo(f"{slope.name}: {slope.slope:.4g} {slope.unit} per process")


def _line(finding: Finding) -> str:
    verdicts = {True: "holds", False: "BROKEN", None: ""}
    line = f"{finding.processes} processes, seed {finding.seed}: {finding.name}:"
    line += f" {finding.value:.4g} {finding.unit}"
    if finding.target:
        line += f" (target {finding.target}) {verdicts[finding.holds]}"
    return line.rstrip()


if __name__ == "__main__":
    typer.run(command)
