"""Tests that the membership benchmarks run and compare figures with targets."""

from dotterelplank.benches import (
    capacity as bench_capacity,
    membership as bench_membership,
    shapes as bench_shapes,
)
from dotterelplank.benches.failures import FleetSize


def test_every_reaction_is_compared_with_its_target():
    options = bench_membership.Options(
        sizes=(FleetSize(2, 3, 3), FleetSize(2, 4, 4)),
        steady_s=31,
        loss_s=2,
        failures=1,
        replacements=1,
    )
    report = bench_membership.run(options)
    judged = [finding for finding in report.findings if finding.holds is not None]
    assert len(judged) >= 16
    dead = [f for f in judged if f.name == "endpoint dead, out of use"]
    assert all(f.target == "<= 1000 ms" for f in dead)
    assert {slope.name for slope in report.slopes} >= {"platform calls"}


def test_least_squares_line_goes_through_points_on_a_line():
    slope, intercept = bench_capacity.fit((1, 2, 4), (5.0, 7.0, 11.0))
    assert (slope, intercept) == (2.0, 3.0)


def test_watchers_need_less_traffic_than_a_full_mesh_and_detect_sooner():
    shapes = bench_shapes.run()
    mesh, watchers = shapes[0], shapes[-1]
    assert watchers.bytes_per_s < mesh.bytes_per_s
    assert watchers.notice_ms < mesh.notice_ms
