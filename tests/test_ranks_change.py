import dataclasses
import unittest.mock

import testtools
from hypothesis import given, settings, strategies as st
from rank_model import MAP, World, sleep

from dotterelplank.ranks import (
    change as changes,
    dispatch,
    participant,
    phases,
    tasks,
    versions,
)
from dotterelplank.ranks.holds import ORPHANED_HOLD_TIMEOUT_MS
from dotterelplank.ranks.views import Armed, Formation, RankView

NOW_MS = 1_000.0


def _view(rank, **fields):
    values = {
        "group": "g",
        "epoch": 1,
        "rank": rank,
        "size": 2,
        "is_open": True,
        "step": 10,
        "map_version": 0,
        "prepared": None,
        "armed": None,
        "held": None,
        "active": 1,
    }
    return RankView(**{**values, **fields})


def _begin():
    return changes.begin(NOW_MS, _view(0), 5, MAP, 100.0, 0)


def _record_views(change, *views):
    for view in views:
        changes.record_view(NOW_MS, change, view)


class ChangeTests(testtools.TestCase):
    def _world(self, **fields):
        patched = unittest.mock.patch.object(participant.asyncio, "sleep", sleep)
        patched.start()
        self.addCleanup(patched.stop)
        return World(**fields)

    def test_every_rank_is_asked_to_prepare_first(self):
        assignments = phases.advance(NOW_MS, _begin())
        self.assertEqual([0, 1], [assignment.rank for assignment in assignments])
        self.assertTrue(all(isinstance(e.task, tasks.Prepare) for e in assignments))

    def test_nothing_is_armed_before_the_pass_is_held(self):
        change = _begin()
        _record_views(change, _view(0, prepared=5), _view(1, prepared=5))
        (assignment,) = phases.advance(NOW_MS, change)
        self.assertEqual((1, tasks.Hold(12)), (assignment.rank, assignment.task))

    def test_the_hold_order_is_sent_directly_to_a_rank_of_another_host(self):
        change = _begin()
        _record_views(change, _view(0, prepared=5), _view(1, prepared=5))
        (assignment,) = phases.advance(NOW_MS, change)
        self.assertNotEqual(0, assignment.rank)
        self.assertTrue(assignment.is_direct)

    def test_two_agents_never_share_a_holder(self):
        holders = [changes.holder_for(rank, 16) for rank in range(16)]
        self.assertEqual(list(range(16)), sorted(holders))
        initiators = [changes.initiator_for(holder, 16) for holder in holders]
        self.assertEqual(list(range(16)), initiators)

    def test_the_pass_is_released_only_once_all_ranks_are_armed(self):
        change = _begin()
        _record_views(change, _view(0, prepared=5), _view(1, prepared=5))
        phases.advance(NOW_MS, change)
        _record_views(change, _view(1, prepared=5, held=12))
        (assignment,) = phases.advance(NOW_MS, change)
        self.assertEqual((1, tasks.Arm(5, 12)), (assignment.rank, assignment.task))
        armed = Armed(5, 12)
        _record_views(change, _view(1, prepared=5, held=12, armed=armed))
        (assignment,) = phases.advance(NOW_MS, change)
        self.assertEqual((0, tasks.Arm(5, 12)), (assignment.rank, assignment.task))
        _record_views(change, _view(0, prepared=5, armed=armed))
        (assignment,) = phases.advance(NOW_MS, change)
        self.assertEqual((1, tasks.Release(12)), (assignment.rank, assignment.task))

    def _take_over(self, *views):
        """Advance the recovery of a pass that rank 0's agent had held at rank 1.

        Return the change and the tasks that are due after the initiator's timeout.
        """
        change = changes.take_over(NOW_MS, Formation("g", 1), 3, 1, 12, 7)
        _record_views(change, *views)
        later_ms = NOW_MS + phases.INITIATOR_TIMEOUT_MS + 1
        return change, phases.advance(later_ms, change)

    def test_the_initiator_isnt_awaited_while_another_rank_isnt_armed(self):
        ranks = [_view(rank, size=3, prepared=5) for rank in (1, 2)]
        change, due = self._take_over(dataclasses.replace(ranks[0], held=12), ranks[1])
        self.assertEqual(changes.Phase.VOID, change.phase)
        self.assertEqual([1, 2], [assignment.rank for assignment in due])

    def test_an_unresponsive_initiator_is_awaited_once_all_others_are_armed(self):
        armed = Armed(5, 12)
        change, due = self._take_over(
            _view(1, size=3, prepared=5, armed=armed, held=12),
            _view(2, size=3, prepared=5, armed=armed),
        )
        self.assertEqual(changes.Phase.LOOK, change.phase)
        self.assertEqual([tasks.QueryState()], [assignment.task for assignment in due])

    def test_a_change_ends_if_its_pass_began_though_no_order_can_be_sent(self):
        """Rank 1 is armed with a version that isn't superseded, so it stays armed."""
        change, _ = self._take_over(
            _view(0, size=3, prepared=4, armed=Armed(4, 20)),
            _view(1, size=3, prepared=5, armed=Armed(5, 12), held=12),
            _view(2, size=3, prepared=4, armed=Armed(4, 20)),
        )
        late_ms = NOW_MS + phases.ARM_TIMEOUT_MS + phases.INITIATOR_TIMEOUT_MS + 10
        phases.advance(late_ms, change)
        self.assertEqual(changes.Phase.VOID, change.phase)
        later_ms = (
            late_ms + dispatch.RESEND_INTERVAL_MS + 3 * dispatch.RESEND_PER_RANK_MS
        )
        queried = {task.rank for task in phases.advance(later_ms, change)}
        self.assertEqual({0, 1, 2}, queried)
        changes.record_view(later_ms, change, _view(2, size=3, step=12))
        phases.advance(later_ms, change)
        self.assertEqual(changes.Phase.OVER, change.phase)

    def test_an_unresponsive_rank_other_than_the_initiators_is_awaited(self):
        change, _ = self._take_over(
            _view(0, size=3, prepared=5), _view(1, size=3, prepared=5, held=12)
        )
        self.assertEqual(changes.Phase.LOOK, change.phase)

    def test_an_unresponsive_initiator_is_awaited_if_another_agents_map_is_armed(self):
        other = versions.next_version(0, 2, 1)
        change, _ = self._take_over(
            _view(1, size=3, prepared=other, armed=Armed(other, 12), held=12),
            _view(2, size=3, prepared=5),
        )
        self.assertEqual(changes.Phase.LOOK, change.phase)

    def test_a_version_that_may_still_be_armed_everywhere_is_not_disarmed(self):
        views = [_view(0, prepared=5, armed=Armed(5, 12)), _view(1, prepared=5)]
        self.assertEqual((), phases.superseded_versions(views))

    def test_a_version_that_a_rank_can_never_arm_is_superseded(self):
        views = [_view(0, prepared=5, armed=Armed(5, 12)), _view(1, prepared=6)]
        self.assertEqual((5,), phases.superseded_versions(views))

    def test_a_group_that_formed_anew_ends_the_change(self):
        change = _begin()
        _record_views(change, _view(1, epoch=2))
        phases.advance(NOW_MS, change)
        self.assertEqual(changes.Outcome.REFORMED, change.outcome)

    def test_a_report_of_another_group_is_ignored(self):
        change = _begin()
        for epoch in (1, 2):
            changes.record_view(NOW_MS, change, _view(1, group="other", epoch=epoch))
        self.assertEqual({}, change.views)
        self.assertIsNone(change.outcome)

    def test_an_unresponsive_agent_is_bypassed_while_the_pass_may_be_held(self):
        change = _begin()
        _record_views(change, _view(0, prepared=5), _view(1, prepared=5))
        phases.advance(NOW_MS, change)
        _record_views(change, _view(1, prepared=5, held=12))
        phases.advance(NOW_MS, change)
        late_ms = NOW_MS + dispatch.AGENT_TIMEOUT_MS + 1
        assignments = phases.advance(late_ms, change)
        self.assertTrue(all(assignment.is_direct for assignment in assignments))

    def test_without_faults_all_changes_switch_the_map(self):
        world = self._world(seed=1, p_late=0.0, p_lost=0.0, p_death=0.0, planners=1)
        world.run(5_000)
        self.assertGreater(world.switches, 10)
        self.assertEqual(0, world.voids)

    def test_a_change_whose_ranks_are_armed_with_another_version_releases_its_pass(
        self,
    ):
        change = _begin()
        _record_views(change, _view(0, prepared=5), _view(1, prepared=5))
        phases.advance(NOW_MS, change)
        _record_views(change, _view(1, prepared=5, held=12))
        phases.advance(NOW_MS, change)
        other = Armed(9, 12)
        _record_views(
            change,
            _view(0, prepared=9, armed=other),
            _view(1, prepared=9, held=12, armed=other),
        )
        (assignment,) = phases.advance(NOW_MS, change)
        self.assertEqual(tasks.Release(12), assignment.task)

    def test_a_hold_of_an_agent_that_died_is_resolved(self):
        world = self._world(seed=2, p_late=0.0, p_lost=0.0, p_death=0.02)
        world.run(20_000)
        self.assertGreater(world.takeovers, 0)
        self.assertGreater(world.switches, 10)

    def test_a_hold_of_a_frozen_agent_is_resolved_by_another(self):
        world = self._world(seed=3, p_late=0.0, p_lost=0.0, p_death=0.0, planners=1)
        while all(rank.held is None for rank in world.ranks):
            world.tick()
        world.agents[0].frozen_until_ms = world.now_ms + 60_000
        step = world.ranks[0].step
        world.run(1_000)
        self.assertGreater(world.leader_takeovers + world.takeovers, 0)
        self.assertGreater(world.ranks[0].step, step + 20)
        self.assertLess(world.now_ms, world.agents[0].frozen_until_ms)

    def test_a_hold_of_an_agent_whose_host_is_frozen_is_resolved(self):
        for seed in range(20):
            world = self._world(
                seed=seed, p_late=0.0, p_lost=0.0, p_death=0.0, planners=1
            )
            while all(rank.held is None for rank in world.ranks):
                world.tick()
            world.freeze_host(0, world.now_ms + 60_000)
            step = world.ranks[0].step
            world.run(1_500)
            self.assertGreater(world.ranks[0].step, step + 20)
            self.assertLess(world.now_ms, world.frozen_hosts[0])

    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 2**32),
        p_late=st.sampled_from((0.0, 0.1, 0.5)),
        p_lost=st.sampled_from((0.0, 0.2)),
        p_death=st.sampled_from((0.0, 0.002, 0.01)),
        hold_limit_ms=st.sampled_from((0.0, ORPHANED_HOLD_TIMEOUT_MS)),
    )
    def test_no_pass_begins_on_two_maps_and_none_is_held_for_good(
        self, seed, p_late, p_lost, p_death, hold_limit_ms
    ):
        with unittest.mock.patch.object(participant.asyncio, "sleep", sleep):
            world = World(
                seed=seed,
                p_late=p_late,
                p_lost=p_lost,
                p_death=p_death,
                hold_limit_ms=hold_limit_ms,
            )
            world.run(4_000)
            world.stop_faults()
            world.run(4_000)
            step = world.ranks[0].step
            world.run(1_000)
            self.assertGreater(world.ranks[0].step, step)
