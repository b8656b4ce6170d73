"""A short run of the path soak; ``run_path_soak.py`` runs more seeds."""

import asyncio

import testtools
from path_soak import Soak

DURATION_S = 4.0


class PathSoakTests(testtools.TestCase):
    def _soak(self, seed):
        soak = Soak(seed, DURATION_S)
        asyncio.run(soak.run())
        return soak

    def test_invariants_hold_under_overlapping_faults(self):
        soak = self._soak(1)
        answered = [one for one in soak.seen if one.status == 200 and one.is_complete]
        self.assertGreater(len(answered), 50)
        self.assertGreater(len(soak.faults), 10)
        self.assertGreater(soak.group.maps(), 0)
