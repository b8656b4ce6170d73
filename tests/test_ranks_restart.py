import asyncio
import dataclasses

import testtools
from group_world import World
from restart_sweep import (
    MAX_RECOVERY_S,
    POLL_S,
    SETTLE_S,
    Scenario,
    draw_phases,
    late_restarts,
    layout,
    phases_seen,
    run_restarts,
)

from dotterelplank.ranks.holds import ORPHANED_HOLD_TIMEOUT_MS
from dotterelplank.ranks.views import HoldStep

STOPPED_S = 0.8
"""How long an agent is down in a rolling restart."""
DOWN_S = (2.5, 3.1, 4.2)
"""How long the store refuses all hosts."""
PHASES_AFTER_A_HOLD = ("held", "arming", "armed")


class RestartTests(testtools.TestCase):
    """Guards against a group that stays held after all agents die in a map change."""

    def _run_restarts(self, seed, scenario, phases):
        restarts = run_restarts(seed, scenario, phases)
        self.assertEqual([], late_restarts(restarts))
        self.assertLess(1, len(phases_seen(restarts)))
        return restarts

    def test_a_pass_held_when_all_agents_die_is_released_after_their_restart(self):
        restarts = self._run_restarts(1, Scenario(16), PHASES_AFTER_A_HOLD * 2)
        self.assertIn("arming", phases_seen(restarts))

    def test_a_group_recovers_from_a_restart_in_any_phase_of_a_change(self):
        self._run_restarts(2, Scenario(16), draw_phases(2, 10))

    def test_a_group_recovers_from_a_restart_while_orders_are_executed_late(self):
        self._run_restarts(3, Scenario(16, p_late=0.4), draw_phases(3, 10))

    def test_a_group_recovers_though_the_store_refuses_some_hosts(self):
        self._run_restarts(5, Scenario(16, rejected_ratio=0.4), draw_phases(5, 10))
        self._run_restarts(
            6, Scenario(16, p_late=0.4, rejected_ratio=0.4), draw_phases(6, 10)
        )

    def test_a_group_whose_agents_start_while_the_store_is_down_recovers_with_it(self):
        for down_s in DOWN_S:
            for store_hangs in (False, True):
                self._restart_without_store(down_s, store_hangs)

    def _restart_without_store(self, down_s, store_hangs):
        world = World(16, layout(16), 4.0, 8)
        world.store_hangs = store_hangs
        store_back_s = []

        async def script(world):
            await asyncio.sleep(SETTLE_S)
            world.main_topic = 4
            while world.phase() != "arming":
                await asyncio.sleep(POLL_S)
            world.store_rejected_ranks = set(range(16))
            await world.kill_agents()
            world.start_agents()
            await asyncio.sleep(down_s)
            world.store_rejected_ranks = set()
            store_back_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(MAX_RECOVERY_S)

        world.run(script)
        self.assertTrue(world.has_begun_since(store_back_s[0]), (down_s, store_hangs))

    def test_a_large_group_recovers_from_a_restart(self):
        self._run_restarts(
            4, Scenario(72, p_late=0.4, rejected_ratio=0.4), PHASES_AFTER_A_HOLD
        )


class LateHoldTests(testtools.TestCase):
    """Guards against an order to hold a pass that is executed after its change."""

    def test_a_pass_held_by_a_late_order_is_released_by_an_agent_that_prepares_a_map(
        self,
    ):
        slow = dataclasses.replace(layout(16), copy_ms=1_500.0)
        world = World(16, slow, 4.0)
        held_s = []

        async def script(world):
            world.main_topic = 4
            while world.phase() != "preparing":
                await asyncio.sleep(POLL_S)
            model = world.ranks[0].model
            self.assertTrue(model.apply(HoldStep(model.epoch, model.step + 1)))
            held_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(MAX_RECOVERY_S)

        world.run(script)
        self.assertTrue(world.has_begun_since(held_s[0]))


class RollingRestartTests(testtools.TestCase):
    """Guards against passes that stay held as agents restart in turn in map changes."""

    def test_stopping_agents_delay_no_pass(self):
        world = World(16, layout(16), 4.0, 7)
        began_s = []

        async def script(world):
            await asyncio.sleep(SETTLE_S)
            began_s.append(asyncio.get_running_loop().time())
            for rank in range(8):
                world.main_topic = (world.main_topic + 1) % len(world.topics)
                while world.phase() == "idle":
                    await asyncio.sleep(POLL_S)
                await world.restart_agent(rank, STOPPED_S)
                await asyncio.sleep(MAX_RECOVERY_S / 2)

        world.run(script)
        self.assertLess(
            world.longest_pause_s(began_s[0]), ORPHANED_HOLD_TIMEOUT_MS / 1000
        )
