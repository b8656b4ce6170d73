import dataclasses
import json
import pathlib
import tempfile

import numpy as np
import testtools

from dotterelplank.benches import experts as bench_experts
from dotterelplank.benches.skew import Ledger, Samples
from dotterelplank.errors import InputError
from dotterelplank.maps.experts import ExpertMap, even_shares
from dotterelplank.standins.fake_group import HOUR_MS, FakeGroup, Workload


class LedgerTests(testtools.TestCase):
    def record(self, *times_ms):
        """Move expert 0 from rank 2 to rank 1 and back, one move at each time."""
        initial = np.array([[[0], [0], [1]]])
        moved = np.array([[[0], [1], [0]]])
        maps = [
            ExpertMap(0, 2, slots, even_shares(slots, 2)) for slots in (initial, moved)
        ]
        ledger = Ledger(maps[0])
        for index, time_ms in enumerate(times_ms):
            ledger.record(time_ms, maps[(index + 1) % 2])
        return ledger

    def test_move_that_is_not_reversed_is_not_counted_as_undone(self):
        self.assertEqual(0, self.record(0.0).undone)

    def test_reverse_move_within_the_hour_is_counted_as_undone(self):
        self.assertEqual(4, self.record(0.0, HOUR_MS / 2).undone)

    def test_reverse_move_after_the_hour_is_not_counted_as_undone(self):
        self.assertEqual(0, self.record(0.0, HOUR_MS * 1.1).undone)


class SamplesTests(testtools.TestCase):
    def test_first_minute_after_a_jump_is_not_calm(self):
        workload = Workload(2, 2, layers=1, jump_hours=(1.0,))
        samples = Samples(workload)
        for now_ms in (HOUR_MS - 1, HOUR_MS, HOUR_MS + 59_000, HOUR_MS + 60_000):
            samples.take(now_ms, np.array([[1.0, 2.0]]), np.ones(2))
        self.assertEqual([True, False, False, True], samples.calm)
        self.assertEqual([2.0] * 4, samples.skews)


class BenchTests(testtools.TestCase):
    def options(self, **changes):
        options = bench_experts.Options(
            ranks=4, experts=8, layers=1, seeds=1, hours=0.3, weights=(0.2, 1.0)
        )
        return dataclasses.replace(options, **changes)

    def test_same_seed_gives_the_same_load(self):
        workload = self.options().workload()
        one, other = (FakeGroup(workload, np.random.default_rng(5)) for _ in "ab")
        np.testing.assert_array_equal(
            one.popularity(HOUR_MS), other.popularity(HOUR_MS)
        )

    def test_run_reports_every_strategy_and_the_frontier(self):
        report = bench_experts.run(self.options())
        self.assertEqual([0.2, 1.0], [row.weight for row in report.frontier])
        self.assertEqual(0, report.frontier[-1].median("moves"))
        names = [row.name for row in report.rows]
        self.assertEqual(7, len(names))
        table = bench_experts.format_table(report)
        for name in names:
            self.assertEqual(2, table.count(f"| {name} |"))
        json.dumps(dataclasses.asdict(report))

    def test_targets_hold_over_several_hours_with_a_jump(self):
        report = bench_experts.run(
            bench_experts.Options(seeds=1, hours=3.6, weights=(0.2,))
        )
        rows = {row.name: row.results[0] for row in report.rows}
        ours = report.frontier[0].results[0]
        self.assertLessEqual(ours.skew_p50, 1.05)
        self.assertLessEqual(ours.skew_p99, 1.15)
        self.assertLessEqual(ours.moved_gb, 0.1 * rows["full re-placement"].moved_gb)
        self.assertEqual(0, ours.undone)

    def test_frontier_is_plotted(self):
        report = bench_experts.run(self.options(hours=0.1))
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "frontier.png"
            bench_experts.plot_frontier(report, path)
            self.assertGreater(path.stat().st_size, 0)

    def test_experts_that_ranks_can_not_share_evenly_are_refused(self):
        self.assertRaises(InputError, self.options, experts=9)

    def test_run_too_short_for_a_sample_is_refused(self):
        self.assertRaises(InputError, self.options, hours=0.05)
