"""Loading of experts from the weight store stand-in over HTTP."""

import testtools

from dotterelplank.config.planned_maps import Planning
from dotterelplank.maps.weight_store import WeightStore
from dotterelplank.standins import cli as standins, http as standin_http
from dotterelplank.standins.store import StoreLimits

EXPERT_BYTES = 1_000
TIMEOUT_MS = 30_000.0


class WeightStoreTests(testtools.TestCase):
    def start(self, **limits):
        context = standins.serving_store(StoreLimits(**limits))
        self.store, port = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        url = f"http://127.0.0.1:{port}"
        planning = Planning(6, 1, 4, EXPERT_BYTES, 1e9, 5.0, 1_500.0, url)
        return WeightStore("drafting", planning)

    def test_each_expert_is_fetched_once(self):
        loader = self.start()
        self.assertTrue(loader.load((0, 3, 5), TIMEOUT_MS, lambda: True))
        counts = self.store.counts()
        self.assertEqual((3, 3 * EXPERT_BYTES), (counts.fetches, counts.bytes))

    def test_rejected_fetch_is_retried_after_the_wait_that_the_store_names(self):
        loader = self.start(rate_bytes_per_s=1e6, burst_bytes=0, max_queue_ms=0)
        self.store.state.take(500_000, standin_http.now_ms())
        self.assertTrue(loader.load((0,), TIMEOUT_MS, lambda: True))
        # The store asks for a wait of 1 s but could answer after 0.5 s, so the retry
        # succeeds.
        self.assertEqual(1, self.store.counts().refused)

    def test_load_that_cannot_finish_in_time_is_aborted(self):
        loader = self.start(rate_bytes_per_s=1, burst_bytes=0, max_queue_ms=0)
        self.store.state.take(1_000_000, standin_http.now_ms())
        self.assertFalse(loader.load((0,), TIMEOUT_MS, lambda: True))

    def test_aborted_load_fetches_nothing(self):
        loader = self.start()
        self.assertFalse(loader.load((0,), TIMEOUT_MS, lambda: False))
        self.assertEqual(0, self.store.counts().fetches)

    def test_store_that_is_down_is_not_available(self):
        loader = self.start()
        self.assertTrue(loader.is_available())
        self.store.change_limits(StoreLimits(down=True))
        self.assertFalse(loader.is_available())
