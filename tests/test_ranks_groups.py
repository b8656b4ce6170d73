import asyncio
import contextlib
import unittest.mock

import testtools
from group_world import World, run_together

from dotterelplank.gateway.tables import ExpertLayout
from dotterelplank.ranks.driver import Driver

LAYOUT = ExpertLayout(layers=6, experts=64, places=11, spare=4, copy_ms=10.0)
LINK_MBPS = 10.0
SIZE = 8
SETTLE_S = 2.0
SHIFT_INTERVAL_S = 3.0
SHIFTS = 3


@contextlib.contextmanager
def _recorded_takeovers():
    """Record the resolved holds: for each, the rank that held the pass."""
    holders = []
    take_over = Driver.take_over

    def record(driver, now_ms, holder, step):
        holders.append(holder)
        take_over(driver, now_ms, holder, step)

    with unittest.mock.patch.object(Driver, "take_over", record):
        yield holders


class GroupsOfOneServiceTests(testtools.TestCase):
    """Guards against groups of a service that take each other's ranks for their own."""

    def _run_shifts(self, worlds):
        async def script(_world):
            await asyncio.sleep(SETTLE_S)
            for shift in range(1, SHIFTS + 1):
                for world in worlds:
                    world.main_topic = shift + world.number
                await asyncio.sleep(SHIFT_INTERVAL_S)

        with _recorded_takeovers() as holders:
            run_together(worlds, script)
        return holders

    def test_each_group_changes_its_own_map_after_each_shift(self):
        worlds = [World(SIZE, LAYOUT, LINK_MBPS, number=number) for number in (0, 1)]
        self._run_shifts(worlds)
        for world in worlds:
            self.assertGreaterEqual(len(world.switched), SHIFTS, world.group)
            self.assertLess(world.skew(), 1.5, world.group)

    def test_no_group_holds_a_pass_of_the_other(self):
        worlds = [World(SIZE, LAYOUT, LINK_MBPS, number=number) for number in (0, 1)]
        self.assertEqual([], self._run_shifts(worlds))
        for world in worlds:
            self.assertLess(world.longest_pause_s(SETTLE_S), 0.4, world.group)

    def test_agents_send_heartbeats_to_their_own_group_only(self):
        worlds = [World(SIZE, LAYOUT, LINK_MBPS, number=number) for number in (0, 1)]
        self._run_shifts(worlds)
        one = worlds[0]
        own_ips = {one.ip(rank) for rank in range(SIZE)}
        targets = {
            target
            for source, target, sent_s in one.network.routes
            if source in own_ips and sent_s > SETTLE_S
        }
        self.assertLessEqual(targets, own_ips)
