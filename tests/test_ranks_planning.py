import collections
import random

import testtools

from dotterelplank.gateway.tables import ExpertLayout
from dotterelplank.ranks import policy, sampling
from dotterelplank.ranks.demand import SPAN_BUCKETS, DemandHistory, distance
from dotterelplank.ranks.group import Group
from dotterelplank.ranks.messages import Heartbeat
from dotterelplank.ranks.planning import ChangeLimits, plan, skew
from dotterelplank.ranks.views import Armed, RankView

RANKS, EXPERTS, LAYERS = 16, 64, 4
LAYOUT = ExpertLayout(LAYERS, EXPERTS, places=5, spare=2, copy_ms=111.0)
LIMITS = ChangeLimits(places=5, new_per_layer=2, new_per_rank=2)
BUSY = policy.PassTiming(pass_ms=110.0, target_ms=120.0)
IDLE = policy.PassTiming(pass_ms=20.0, target_ms=120.0)
FIRST_MAP = [
    [
        [rank + RANKS * place for place in range(EXPERTS // RANKS)]
        for rank in range(RANKS)
    ]
    for _ in range(LAYERS)
]


def _skewed_demand(seed):
    """Return a demand in which a few experts get most of the choices."""
    rng = random.Random(seed)
    return [[rng.paretovariate(1.1) for _ in range(EXPERTS)] for _ in range(LAYERS)]


def _add_samples(demand_history, demand, from_ms, to_ms, counts=None):
    """Add samples of all ranks, whose calls choose experts by ``demand``.

    Return the fractions of counts that haven't been added, for the next call.
    """
    counts = counts or [[0.0] * (LAYERS * EXPERTS) for _ in range(RANKS)]
    flat = [weight for layer in demand for weight in layer]
    for now_ms in range(int(from_ms), int(to_ms), 75):
        for rank, row in enumerate(counts):
            for index, weight in enumerate(flat):
                row[index] += weight * 10 / RANKS
            new = [int(count) for count in row]
            demand_history.add(now_ms, new)
            for index, count in enumerate(new):
                row[index] -= count
    return counts


class PlanTests(testtools.TestCase):
    def test_one_change_removes_most_of_the_skew_after_a_shift(self):
        for seed in range(5):
            demand = _skewed_demand(seed)
            planned = plan(demand, FIRST_MAP, LIMITS)
            before, after = skew(demand, FIRST_MAP), skew(demand, planned.map)
            self.assertLess(after - 1, (before - 1) / 2)

    def test_plans_respect_the_limits_of_a_change(self):
        current_map = FIRST_MAP
        for seed in range(6):
            planned = plan(_skewed_demand(seed), current_map, LIMITS)
            for before, layer in zip(current_map, planned.map):
                held = {expert for row in layer for expert in row}
                self.assertEqual(EXPERTS, len(held))
                for old, row in zip(before, layer):
                    self.assertLessEqual(len(row), LIMITS.places)
                    self.assertEqual(len(row), len(set(row)))
                    new = set(row) - set(old)
                    self.assertLessEqual(len(new), LIMITS.new_per_layer)
            for rank in range(RANKS):
                new = [
                    expert
                    for before, layer in zip(current_map, planned.map)
                    for expert in set(layer[rank]) - set(before[rank])
                ]
                self.assertLessEqual(len(new), LIMITS.new_per_rank)
            current_map = planned.map

    def test_even_demand_needs_no_change(self):
        even = [[1.0] * EXPERTS] * LAYERS
        self.assertIsNone(plan(even, FIRST_MAP, LIMITS))


class DemandTests(testtools.TestCase):
    def test_the_window_of_steady_demand_is_long(self):
        demand_history = DemandHistory()
        _add_samples(demand_history, _skewed_demand(1), 0, 2_000)
        window = demand_history.since_shift(1_950, LAYERS, EXPERTS)
        self.assertGreaterEqual(window.length_ms, 600)

    def test_demand_before_a_shift_is_excluded(self):
        demand_history = DemandHistory()
        counts = _add_samples(demand_history, _skewed_demand(1), 0, 2_000)
        _add_samples(demand_history, _skewed_demand(2), 2_000, 2_300, counts)
        window = demand_history.since_shift(2_280, LAYERS, EXPERTS)
        self.assertLessEqual(window.length_ms, 300)

    def _window_after(self, offsets):
        """Return the window after spans whose demand for two experts differs.

        :param offsets: for each span, how much more than half the first expert gets.
        """
        demand_history = DemandHistory()
        bucket_ms = demand_history.bucket_ms
        number = 0
        for offset in offsets:
            for _ in range(SPAN_BUCKETS):
                number += 1
                demand_history.add(number * bucket_ms, [50 + offset, 50 - offset])
            window = demand_history.since_shift(number * bucket_ms, 1, 2)
        return window.length_ms / demand_history.span_ms

    def test_the_usual_variation_of_demand_isnt_a_shift(self):
        """Each span has a distance of 0.16 from the one before, without a shift."""
        self.assertGreater(self._window_after([0, 16] * 10), 4)

    def test_a_larger_variation_than_usual_is_a_shift(self):
        """The last span has that distance from the one before, after steady ones."""
        self.assertEqual(1, self._window_after([0] * 19 + [16]))

    def test_a_lost_sample_loses_only_its_own_counts(self):
        demand_history = DemandHistory()
        for now_ms, count in ((0, 500), (75, 10), (225, 12)):
            demand_history.add(now_ms, [count])
        self.assertEqual(522, demand_history.since_shift(230, 1, 1).choices)


class SamplingTests(testtools.TestCase):
    """Covers a leader with a slow link that receives the samples of many ranks."""

    def test_a_restarted_rank_yields_no_negative_counts(self):
        counter = sampling.DeltaCounter()
        increases = [
            counter.since_last(epoch, [count])
            for epoch, count in ((1, 500), (1, 510), (1, 3), (1, 9), (2, 12), (2, 13))
        ]
        self.assertEqual([None, [10], None, [6], None, [1]], increases)

    def test_samples_use_at_most_their_fraction_of_the_link(self):
        for ranks, size, mbps in ((16, 500, 10.0), (72, 1_800, 4.0), (300, 1_800, 4.0)):
            alive = set(range(ranks))
            for leader in (0, ranks // 2):
                children = collections.Counter(
                    sampling.parent_of(rank, leader, ranks, alive)
                    for rank in range(ranks)
                    if rank != leader
                )
                interval_ms = sampling.interval_ms(size, mbps)
                sent_mbps = max(children.values()) * size * 8 / (interval_ms * 1_000)
                self.assertLessEqual(sent_mbps, mbps * sampling.LINK_RATIO)

    def test_counts_of_every_rank_reach_the_leader_past_unresponsive_agents(self):
        for alive in (set(range(72)), set(range(0, 72, 3))):
            for rank in range(72):
                hops = 0
                while rank != 3:
                    rank = sampling.parent_of(rank, 3, 72, alive)
                    hops += 1
                self.assertLessEqual(hops, 3)

    def test_a_small_group_samples_often(self):
        min_ms = sampling.MIN_INTERVAL_MS
        self.assertEqual(min_ms, sampling.interval_ms(500, 10.0))

    def test_distance_is_the_fraction_that_differs(self):
        self.assertEqual(0.0, distance([1, 1], [5, 5]))
        self.assertEqual(1.0, distance([1, 0], [0, 9]))


class PolicyTests(testtools.TestCase):
    def _decide(self, timing, demand, current_map=FIRST_MAP):
        demand_history = DemandHistory()
        _add_samples(demand_history, demand, 0, 1_000)
        return policy.decide(950, demand_history, current_map, LAYOUT, timing)

    def test_a_shift_justifies_a_change_at_any_load(self):
        for timing in (BUSY, IDLE):
            self.assertIsNotNone(self._decide(timing, _skewed_demand(3)))

    def test_a_small_benefit_justifies_a_change_only_while_passes_are_long(self):
        self.assertLess(
            policy.min_skew_reduction(BUSY), policy.min_skew_reduction(IDLE) / 2
        )

    def test_without_calls_there_is_no_change(self):
        self.assertIsNone(policy.decide(0, DemandHistory(), FIRST_MAP, LAYOUT, BUSY))


class GroupTests(testtools.TestCase):
    def _view(self, rank, **fields):
        values = dict(
            group="g",
            epoch=1,
            rank=rank,
            size=2,
            is_open=True,
            step=50,
            map_version=0,
            prepared=None,
            armed=None,
            held=None,
            active=1,
        )
        return RankView(**{**values, **fields})

    def _group(self, own, *others):
        group = Group()
        group.on_view(0.0, self._view(own.rank, step=0))
        group.on_view(0.0, own)
        for view in (own, *others):
            group.on_heartbeat(
                0.0, Heartbeat(f"ip{view.rank}", "s", 1, 1, view, True, True)
            )
            group.store_rows(view.rank, view.map_version, [[0]])
        return group

    def test_a_new_agent_waits_for_some_passes_before_it_begins_a_change(self):
        group = Group()
        group.on_view(0.0, self._view(0, step=50))
        for rank in range(2):
            heartbeat = Heartbeat(f"ip{rank}", "s", 1, 1, self._view(rank), True, True)
            group.on_heartbeat(0.0, heartbeat)
        self.assertFalse(group.may_begin_change(0.0))
        group.on_view(0.0, self._view(0, step=58))
        self.assertTrue(group.may_begin_change(0.0))

    def test_no_change_begins_while_another_is_in_progress(self):
        armed = self._view(1, armed=Armed(3, 52))
        self.assertFalse(self._group(self._view(0), armed).may_begin_change(0.0))
        held = self._view(1, held=52)
        self.assertFalse(self._group(self._view(0), held).may_begin_change(0.0))

    def test_the_lowest_rank_whose_agent_is_alive_leads(self):
        group = self._group(self._view(1), self._view(0))
        self.assertEqual(0, group.leader(100.0))
        self.assertEqual(1, group.leader(5_000.0))

    def test_the_map_is_known_only_once_all_ranks_report_the_same_version(self):
        same = self._group(self._view(0), self._view(1))
        self.assertEqual([[[0], [0]]], same.current_map())
        different = self._group(self._view(0), self._view(1, map_version=3))
        self.assertIsNone(different.current_map())

    def test_the_map_is_known_while_an_agent_isnt_alive(self):
        group = self._group(self._view(0), self._view(1))
        self.assertEqual({}, group.alive(60_000.0))
        self.assertEqual([[[0], [0]]], group.current_map())
        self.assertFalse(group.may_begin_change(60_000.0))

    def test_a_group_with_active_calls_but_no_passes_is_stalled(self):
        group = self._group(self._view(0), self._view(1))
        self.assertFalse(group.is_stalled(100.0))
        self.assertTrue(group.is_stalled(5_000.0))
        group.on_view(5_000.0, self._view(0, active=0))
        self.assertFalse(group.is_stalled(5_100.0))

    def test_two_agents_never_create_the_same_version(self):
        group = self._group(self._view(0), self._view(1, prepared=7 << 40))
        other = self._group(self._view(1, prepared=7 << 40), self._view(0))
        self.assertGreater(group.new_version(5), 7 << 40)
        self.assertNotEqual(group.new_version(5), other.new_version(5))
