import testtools
from restart_sweep import Kind, draw, late_ones, play

PHASES_AFTER_A_HOLD = ("held", "arming", "armed")


class RestartTests(testtools.TestCase):
    """The load: all agents of a group die while its expert map changes."""

    def _play(self, seed, kind, phases):
        restarts = play(seed, kind, phases)
        self.assertEqual([], late_ones(restarts))
        return restarts

    def test_a_pass_held_as_all_agents_die_is_released_after_their_restart(self):
        restarts = self._play(1, Kind(16), PHASES_AFTER_A_HOLD * 2)
        self.assertIn("arming", {one.phase for one in restarts})

    def test_a_group_is_back_after_a_restart_at_any_moment_of_a_change(self):
        self._play(2, Kind(16), draw(2, 10))

    def test_a_group_is_back_after_a_restart_while_orders_are_carried_out_late(self):
        self._play(3, Kind(16, late=0.4), draw(3, 10))

    def test_agents_that_the_store_turns_away_are_back_as_well(self):
        self._play(5, Kind(16, away=0.4), draw(5, 10))
        self._play(6, Kind(16, late=0.4, away=0.4), draw(6, 10))

    def test_a_large_group_is_back_after_a_restart(self):
        self._play(4, Kind(72, late=0.4, away=0.4), PHASES_AFTER_A_HOLD)
