import dataclasses

import numpy as np
import testtools
from hypothesis import given, strategies as st

from dotterelplank.errors import InvariantError
from dotterelplank.maps.experts import EMPTY, even_shares
from dotterelplank.maps.placement import place_map
from dotterelplank.maps.shares import balance, rank_times_ms


class ExpertMapTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        tokens = np.array([[40.0, 10.0, 10.0, 20.0]])
        self.map = place_map(tokens, np.ones(2), slots_per_rank=3)

    def changed_map(self, **changes):
        return dataclasses.replace(self.map, **changes)

    def test_tokens_of_ranks_sum_to_tokens_of_experts(self):
        tokens = np.array([[5.0, 6.0, 7.0, 8.0]])
        self.assertAlmostEqual(26, self.map.rank_tokens(tokens).sum(), places=9)

    def test_expert_without_replica_is_refused(self):
        slots = np.where(self.map.slots == 3, EMPTY, self.map.slots)
        self.assertRaises(InvariantError, self.changed_map(slots=slots).check)

    def test_shares_that_do_not_sum_to_one_are_refused(self):
        broken = self.changed_map(shares=self.map.shares * 0.9)
        self.assertRaises(InvariantError, broken.check)

    def test_two_replicas_on_one_rank_are_refused(self):
        slots = np.array([[[0, 0, 1], [2, 3, 1]]])
        broken = self.changed_map(slots=slots, shares=even_shares(slots, 4))
        self.assertRaises(InvariantError, broken.check)


class BalanceTests(testtools.TestCase):
    def test_slow_rank_gets_less_work(self):
        slots = np.array([[[0, 1], [0, 1]]])
        tokens = np.array([[30.0, 30.0]])
        speeds = np.array([1.0, 0.5])
        shares = balance(slots, even_shares(slots, 2), tokens, speeds, rounds=200)
        times = rank_times_ms(slots, shares, tokens, speeds)
        self.assertAlmostEqual(40, times[0, 0], delta=0.1)
        self.assertAlmostEqual(40, times[0, 1], delta=0.1)

    @given(st.integers(0, 10**6), st.integers(2, 6), st.integers(0, 2))
    def test_placement_and_split_keep_the_invariants(self, seed, ranks, spare):
        rng = np.random.default_rng(seed)
        experts = 2 * ranks
        tokens = rng.exponential(100, (2, experts))
        speeds = rng.uniform(0.05, 2, ranks)
        expert_map = place_map(tokens, speeds, slots_per_rank=2 + spare)
        expert_map.check()
        even = rank_times_ms(
            expert_map.slots, even_shares(expert_map.slots, experts), tokens, speeds
        )
        times = rank_times_ms(expert_map.slots, expert_map.shares, tokens, speeds)
        worse = times.max(axis=1) > even.max(axis=1) * 1.01
        self.assertFalse(worse.any())
