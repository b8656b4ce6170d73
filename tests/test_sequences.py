import dataclasses

import testtools

from dotterelplank.gateway import peers as peering
from dotterelplank.gateway.revisions import FIRST
from dotterelplank.ranks.group import Group
from dotterelplank.ranks.messages import Heartbeat
from dotterelplank.ranks.views import RankView

VIEW = RankView("g", 1, 0, 2, True, 50, 7, None, None, None, 1)


def _of_agent(incarnation, number):
    other = dataclasses.replace(VIEW, rank=1)
    return Heartbeat("ip1", "s", incarnation, number, other, True, True)


def _of_entry(incarnation, number):
    return peering.Heartbeat(
        "e", "ip1", "a", incarnation, number, 0, FIRST, {}, {}, [], True, False
    )


class RestartedProcessTests(testtools.TestCase):
    """Processes are restarted on hosts whose clock was set back.

    Incarnations taken from the clock would then decrease, and messages of the new
    process would be ignored as old ones.
    """

    def test_an_agent_restarted_after_its_clock_was_set_back_is_alive(self):
        group = Group()
        group.on_view(0.0, VIEW)
        group.on_heartbeat(0.0, _of_agent(2_000, 500))
        group.on_heartbeat(5_000.0, _of_agent(1_000, 1))
        self.assertIn(1, group.alive(5_000.0))

    def test_an_entry_restarted_after_its_clock_was_set_back_is_accepted(self):
        peers = peering.Peers("ip0")
        self.assertTrue(peers.on_heartbeat(0.0, _of_entry(2_000, 500)))
        self.assertTrue(peers.on_heartbeat(5_000.0, _of_entry(1_000, 1)))
        self.assertEqual(1_000, peers.by_ip["ip1"].heartbeat.incarnation)

    def test_heartbeats_of_a_superseded_process_are_rejected(self):
        peers = peering.Peers("ip0")
        for incarnation in (2_000, 1_000, 3_000):
            self.assertTrue(peers.on_heartbeat(0.0, _of_entry(incarnation, 1)))
        self.assertFalse(peers.on_heartbeat(0.0, _of_entry(2_000, 900)))
        self.assertFalse(peers.on_heartbeat(0.0, _of_entry(1_000, 900)))
        self.assertTrue(peers.on_heartbeat(0.0, _of_entry(3_000, 2)))

    def test_old_and_repeated_heartbeats_are_rejected(self):
        peers = peering.Peers("ip0")
        self.assertTrue(peers.on_heartbeat(0.0, _of_entry(2_000, 5)))
        self.assertFalse(peers.on_heartbeat(0.0, _of_entry(2_000, 5)))
        self.assertFalse(peers.on_heartbeat(0.0, _of_entry(2_000, 4)))
        self.assertTrue(peers.on_heartbeat(0.0, _of_entry(2_000, 6)))
