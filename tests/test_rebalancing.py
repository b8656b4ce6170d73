import dataclasses
import logging

import numpy as np
import testtools
from hypothesis import example, given, settings, strategies as st

from dotterelplank.errors import InvariantError, SettingsError
from dotterelplank.maps import rebalancing
from dotterelplank.maps.experts import EMPTY, Observation
from dotterelplank.maps.placement import place_map
from dotterelplank.maps.popularity import first_estimate, update

WINDOW_MS = 15_000.0
HOUR_MS = 3_600_000.0
STEPS = 500
SPEED = 100.0


class Group:
    """A group whose windows are random samples of the loads that the test sets."""

    def __init__(self, seed=1, ranks=8, experts=16, slots=4, **policy):
        self.rng = np.random.default_rng(seed)
        self.tokens = self.rng.uniform(500, 1500, (2, experts))
        self.speeds = np.full(ranks, SPEED)
        self.fixed_ms = 0.0
        self.policy = rebalancing.Policy(**policy)
        start = place_map(self.tokens, self.speeds, slots)
        self.state = rebalancing.initial_state(start)
        self.now_ms = 0.0
        self.moves = []

    def observe(self):
        tokens = self.rng.poisson(self.tokens * STEPS)
        rank_tokens = self.state.map.rank_tokens(tokens)
        busy_ms = rank_tokens / self.speeds + self.fixed_ms * STEPS
        return Observation(WINDOW_MS, STEPS, tokens, rank_tokens, busy_ms)

    def decide(self):
        """Run one window, and adopt the target map at once if a plan is made."""
        self.now_ms += WINDOW_MS
        decision = rebalancing.plan(
            self.now_ms, self.state, self.observe(), self.policy
        )
        self.state = decision.state
        if decision.plan is not None:
            self.moves.extend(decision.plan.moves)
            self.state = rebalancing.adopt(self.state, decision.plan.target)
        return decision.plan

    def run(self, windows):
        return [plan for _ in range(windows) if (plan := self.decide()) is not None]

    def skew(self):
        times = self.state.map.rank_tokens(self.tokens) / self.speeds + self.fixed_ms
        return (times.max(axis=1) / times.min(axis=1)).max()


class NoiseTests(testtools.TestCase):
    def test_equal_loads_move_nothing(self):
        group = Group()
        group.tokens = np.full_like(group.tokens, 1000.0)
        group.run(4)
        group.moves.clear()
        plans = group.run(40)
        self.assertEqual([], plans)

    def test_sampling_noise_changes_no_map(self):
        group = Group(seed=3)
        group.run(4)
        self.assertEqual([], group.run(100))
        self.assertEqual([], group.moves)

    def test_loaded_rank_is_not_mistaken_for_a_slow_one(self):
        group = Group()
        estimate = first_estimate(group.observe())
        group.tokens[:, group.state.map.slots[0, 0, 0]] *= 5
        estimate = update(estimate, group.observe())
        np.testing.assert_allclose(estimate.speeds, SPEED, rtol=1e-6)


class ChangeTests(testtools.TestCase):
    def test_slow_rank_loses_work(self):
        group = Group()
        group.run(4)
        before = group.state.map.rank_tokens(group.tokens)[:, 2].sum()
        group.speeds[2] *= 0.5
        group.run(4)
        after = group.state.map.rank_tokens(group.tokens)[:, 2].sum()
        self.assertLess(after, 0.6 * before)
        self.assertLess(group.skew(), 1.1)

    def test_experts_of_a_stalled_rank_get_replicas_elsewhere(self):
        group = Group(slots=3)
        group.run(4)
        group.speeds[2] *= 0.02
        group.run(8)
        self.assertNotEqual([], group.moves)
        self.assertNotIn(2, [move.rank for move in group.moves])
        self.assertLess(group.skew(), 1.2)

    def test_recovered_rank_is_given_work_again(self):
        group = Group()
        group.run(4)
        group.speeds[2] *= 0.1
        group.run(8)
        group.speeds[2] = SPEED
        group.run(8)
        self.assertLess(group.skew(), 1.1)

    def test_fixed_time_of_a_step_does_not_keep_a_recovered_rank_idle(self):
        group = Group()
        group.fixed_ms = 5.0
        group.run(4)
        group.speeds[2] *= 0.1
        group.run(8)
        idle = group.state.map.rank_tokens(group.tokens)[:, 2].sum()
        group.speeds[2] = SPEED
        group.run(12)
        busy = group.state.map.rank_tokens(group.tokens)[:, 2].sum()
        self.assertGreater(busy, 5 * idle)
        self.assertLess(group.skew(), 1.1)

    def test_jump_leads_to_a_plan_in_its_first_window(self):
        group = Group()
        group.run(4)
        group.tokens[0, 5] *= 12
        self.assertIsNotNone(group.decide())
        group.run(3)
        self.assertLess(group.skew(), 1.1)

    def test_new_split_is_preferred_to_moves(self):
        group = Group()
        group.run(4)
        group.tokens[0, :3] *= 1.3
        plan = group.decide()
        self.assertEqual(0, plan.size_bytes)
        self.assertIsNone(plan.interim)

    def test_moves_for_an_alternating_load_are_not_undone(self):
        group = Group(slots=4)
        usual_tokens = group.tokens.copy()
        peak_tokens = usual_tokens.copy()
        peak_tokens[:, :2] *= 10
        group.run(4)
        first = self.alternate_loads(group, peak_tokens, usual_tokens)
        later = [
            self.alternate_loads(group, peak_tokens, usual_tokens) for _ in range(3)
        ]
        self.assertGreater(first, 0)
        self.assertEqual(0, sum(later))

    def alternate_loads(self, group, peak_tokens, usual_tokens):
        group.moves.clear()
        for tokens in (peak_tokens, usual_tokens):
            group.tokens = tokens
            group.run(20)
        return len(group.moves)


class CostTests(testtools.TestCase):
    def jump(self, **policy):
        group = Group(**policy)
        group.run(4)
        group.tokens[:, 3] *= 10
        group.tokens[1, 8] *= 6
        return group

    def test_higher_cost_weight_moves_no_more_bytes_on_one_run(self):
        totals = []
        for weight in (0.0, 0.3, 0.6, 0.9, 0.99, 1.0):
            group = self.jump(cost_weight=weight)
            group.run(30)
            totals.append(len(group.moves))
        self.assertEqual(sorted(totals, reverse=True), totals)
        self.assertGreater(totals[0], 0)
        self.assertEqual(0, totals[-1])

    @settings(max_examples=25)
    @given(st.integers(0, 10**6), st.floats(0, 1), st.floats(0, 1))
    def test_one_decision_is_monotone_in_the_weight(
        self, seed, first_weight, second_weight
    ):
        group = Group(seed=seed)
        group.run(1)
        group.tokens *= group.rng.exponential(1, group.tokens.shape) + 0.05
        observation = group.observe()
        sizes = []
        for weight in sorted((first_weight, second_weight)):
            policy = dataclasses.replace(group.policy, cost_weight=weight)
            decision = rebalancing.plan(WINDOW_MS * 2, group.state, observation, policy)
            sizes.append(decision.plan.size_bytes if decision.plan else 0)
        self.assertGreaterEqual(sizes[0], sizes[1])

    def test_moves_that_can_not_load_in_time_are_not_planned(self):
        group = self.jump(store_bytes_per_s=1e6)
        group.run(4)
        self.assertEqual([], group.moves)

    def test_short_horizon_is_not_worth_a_move(self):
        group = self.jump(horizon_ms=100.0, stage_bound_ms=100.0)
        group.run(4)
        self.assertEqual([], group.moves)

    def test_weight_out_of_range_is_refused(self):
        self.assertRaises(SettingsError, rebalancing.Policy, cost_weight=1.5)


class PlanTests(testtools.TestCase):
    @settings(max_examples=25)
    @given(st.integers(0, 10**6), st.integers(2, 5))
    @example(seed=0, slots=3)
    def test_plan_keeps_the_invariants(self, seed, slots):
        group = Group(seed=seed, slots=slots, cost_weight=0.0)
        group.run(1)
        group.tokens *= group.rng.exponential(1, group.tokens.shape) + 0.05
        group.speeds = group.speeds * group.rng.uniform(0.05, 1, len(group.speeds))
        before = group.state.map
        plan = group.decide()
        if plan is None:
            return
        plan.target.check()
        self.assertGreater(plan.target.version, before.version)
        self.assertEqual(len(plan.moves) * group.policy.expert_bytes, plan.size_bytes)
        self.assertLessEqual(plan.stage_ms, group.policy.stage_bound_ms)
        self.check_moves(before, plan)

    def check_moves(self, before, plan):
        slots = before.slots.copy()
        for move in plan.moves:
            place = (move.layer, move.rank, move.slot)
            self.assertEqual(move.evicted, slots[place])
            slots[place] = move.expert
        np.testing.assert_array_equal(plan.target.slots, slots)
        if plan.moves:
            plan.interim.check()
            emptied = plan.interim.slots == EMPTY
            np.testing.assert_array_equal(emptied, slots != before.slots)

    def test_window_of_another_group_is_refused(self):
        group, other = Group(ranks=8), Group(ranks=4, slots=6)
        self.assertRaises(
            InvariantError,
            rebalancing.plan,
            WINDOW_MS,
            group.state,
            other.observe(),
            group.policy,
        )

    def test_no_plan_is_made_while_another_is_staged(self):
        group = Group()
        group.run(4)
        group.tokens[0, 5] *= 12
        decision = rebalancing.plan(
            group.now_ms + WINDOW_MS, group.state, group.observe(), group.policy
        )
        self.assertNotEqual((), decision.plan.moves)
        again = rebalancing.plan(
            group.now_ms + WINDOW_MS + 1, decision.state, group.observe(), group.policy
        )
        self.assertIsNone(again.plan)
        abandoned = rebalancing.abandon(decision.state)
        again = rebalancing.plan(
            group.now_ms + WINDOW_MS + 1, abandoned, group.observe(), group.policy
        )
        self.assertIsNotNone(again.plan)

    def test_overdue_plan_does_not_block_another(self):
        group = Group()
        group.run(4)
        group.tokens[0, 5] *= 12
        decision = rebalancing.plan(
            group.now_ms + WINDOW_MS, group.state, group.observe(), group.policy
        )
        late_ms = decision.plan.stage_ms + group.policy.stage_bound_ms
        again = rebalancing.plan(
            group.now_ms + WINDOW_MS + late_ms,
            decision.state,
            group.observe(),
            group.policy,
        )
        self.assertIsNotNone(again.plan)

    def test_log_contains_the_cost_of_a_plan(self):
        group = Group()
        group.run(4)
        group.tokens[0, 5] *= 12
        plan = group.decide()
        with self.assertLogs("experts", logging.INFO) as logs:
            rebalancing.log_plan(logging.getLogger("experts"), plan)
        record = logs.records[0]
        self.assertEqual(451, record.event.number)
        self.assertEqual(plan.size_bytes, record.event_fields["size_bytes"])
