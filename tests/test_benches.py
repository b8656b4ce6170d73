"""Tests that the routing and limits benchmarks run at a tiny size."""

import dataclasses
import json

import typer.testing

from dotterelplank.benches import limits as bench_limits, routing as bench_routing
from dotterelplank.standins.fake_engine import EngineOptions, FakeEngine, Job, Stage

TINY_ROUTING = bench_routing.RoutingBenchOptions(
    seeds=1, sizes=((3, 4),), warm_up_ms=6_000.0, duration_ms=20_000.0
)
TINY_LIMITS = bench_limits.LimitsBenchOptions(
    seeds=1,
    many=("load-2",),
    entries=3,
    engines=2,
    many_teams=500,
    warm_up_ms=5_000.0,
    measured_ms=12_000.0,
)


def make_engine(**options):
    return FakeEngine("0", "a", EngineOptions(**options))


def test_a_frozen_engine_makes_no_progress_until_its_speed_is_restored():
    engine = make_engine()
    engine.submit(0.0, Job("0", (), 800, 10))
    engine.set_speed(50.0, 0.0)
    assert engine.advance(5_000.0) == []
    engine.set_speed(5_000.0, 1.0)
    first = engine.advance(5_100.0)[0]
    assert (first.stage, first.at_ms) == (Stage.FIRST_TOKEN, 5_050.0)


def test_an_engine_serves_queued_requests_of_high_priority_first():
    engine = make_engine(max_batch=1)
    for number, priority in enumerate((0, 0, 1)):
        engine.submit(0.0, Job(str(number), (), 8, 1, priority))
    ended = [
        one.job.request_id
        for one in engine.advance(10_000.0)
        if one.stage is Stage.FINISHED
    ]
    assert ended == ["0", "2", "1"]


def test_the_routing_benchmark_runs_every_policy_and_is_reproducible():
    report = bench_routing.run(TINY_ROUTING)
    assert len(report.rows) == 5 * len(TINY_ROUTING.policies)
    again = dataclasses.replace(TINY_ROUTING, scenarios=("frozen",))
    frozen = [row for row in report.rows if row.scenario == "frozen"]
    assert list(bench_routing.run(again).rows) == frozen
    assert "max / mean" in bench_routing.table(report)
    json.dumps(dataclasses.asdict(report))


def test_the_limits_benchmark_runs_every_scenario():
    report = bench_limits.run(TINY_LIMITS)
    assert len(report.rows) == len(bench_limits.FEW_SCENARIOS) + 1
    waits_ms = {one.shed_wait_ms for row in report.rows for one in row.figures}
    assert waits_ms == {0.0}
    assert "goodput" in bench_limits.table(report)
    json.dumps(dataclasses.asdict(report))


def test_the_benchmark_commands_accept_seeds():
    for command in (bench_limits.command, bench_routing.command):
        app = typer.Typer()
        app.command()(command)
        result = typer.testing.CliRunner().invoke(app, ["--help"])
        assert result.exit_code == 0
        assert "--seeds" in result.output
