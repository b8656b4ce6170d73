import asyncio
import functools

import testtools
from group_world import World

from dotterelplank.gateway.tables import ExpertLayout

LINK_MBPS = 4.0
WINDOW_MS = 100.0
LINK_RATIO = 0.5
"""The fraction of a link's bandwidth that the agents may use in any window."""
SHIFT_INTERVAL_MS = 2_070.0
"""The time between two shifts of demand."""
SETTLE_S = 2.0
SIZES = (16, 72, 128)


def _layout(size: int) -> ExpertLayout:
    experts = {16: 64, 72: 144, 128: 128}[size]
    layers = {16: 4, 72: 12, 128: 12}[size]
    return ExpertLayout(
        layers, experts, places=3 if size > 16 else 5, spare=2, copy_ms=16.0
    )


@functools.cache
def _shift(size: int):
    """Shift the demand; return the world and the times until the maps switched."""
    world = World(size, _layout(size), LINK_MBPS)
    began_s = []

    async def script(world):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SETTLE_S)
        world.main_topic = 4
        began_s.append(loop.time())
        await asyncio.sleep(SHIFT_INTERVAL_MS / 1000 / 2)

    world.run(script)
    delays_ms = [
        (switched_s - began_s[0]) * 1000
        for switched_s, _ in world.switched
        if switched_s > began_s[0]
    ]
    return world, delays_ms


class GroupSizeTests(testtools.TestCase):
    """Guards against slow map changes and overloaded links in large groups.

    The demand shifts once in each group, whose links are slow.
    """

    def test_the_map_switches_within_half_the_time_between_two_shifts(self):
        for size in SIZES:
            world, delays_ms = _shift(size)
            self.assertTrue(delays_ms, f"{size} ranks: no switch after the shift")
            self.assertLessEqual(delays_ms[0], SHIFT_INTERVAL_MS / 2, f"{size} ranks")
            self.assertLess(world.skew(), 2.0, f"{size} ranks")

    def test_no_host_sends_more_at_once_than_its_share_of_the_link(self):
        bound_bytes = LINK_MBPS * 1e6 / 8 * WINDOW_MS / 1000 * LINK_RATIO
        for size in SIZES:
            world, _ = _shift(size)
            max_bytes = world.network.max_bytes(WINDOW_MS, 0.0)
            self.assertLessEqual(max_bytes, bound_bytes, f"{size} ranks")
