import testtools
from standin_client import Client, wait_until

from dotterelplank import errors
from dotterelplank.standins import cli as standins
from dotterelplank.standins.store import StoreLimits, StoreState


class StoreTests(testtools.TestCase):
    def _store(self, **limits):
        settings = {"rate_bytes_per_s": 1000, "burst_bytes": 100, "max_queue_ms": 300}
        return StoreState(StoreLimits(**{**settings, **limits}))

    def test_a_burst_is_served_immediately_and_the_rest_at_the_rate(self):
        store = self._store()
        waits = [store.take(100, now_ms=0) for _ in range(3)]
        self.assertEqual([0, 100, 200], waits)
        self.assertEqual(0, store.take(100, now_ms=300))

    def test_a_full_queue_refuses_with_a_retry_time(self):
        store = self._store()
        store.take(2000, now_ms=0)
        refusal = self.assertRaises(errors.StandinRefusalError, store.take, 1, 0)
        self.assertEqual((429, 2), (refusal.status, refusal.fields["retry_after_s"]))
        self.assertEqual(2000, store.counts.bytes)

    def test_a_fetch_is_counted_over_http(self):
        with standins.serving_store() as (_, port):
            client = Client(port)
            receipt = client.call("GET", "/v1/weights/m/3/7?bytes=10").json
            self.assertEqual((3, 7, 10), _numbers(receipt))
            client.call(
                "POST", "/control/limits", {"max_queue_ms": 0, "burst_bytes": 0}
            )
            client.call("POST", "/control/limits", {"rate_bytes_per_s": 1e-3})
            waiting = client.start("GET", "/v1/weights/m/3/7?bytes=1")
            wait_until(
                lambda: client.call("GET", "/control/counts").json["fetches"] > 1
            )
            refused = client.call("GET", "/v1/weights/m/3/7?bytes=1")
            self.assertEqual(429, refused.status)
            self.assertIn("Retry-After", refused.headers)
            bad = client.call("GET", "/v1/weights/m/x/7")
            self.assertEqual((400, 6001), (bad.status, bad.json["code"]))
        self.assertEqual(503, waiting.result().status)


def _numbers(receipt):
    return receipt["layer"], receipt["expert"], receipt["bytes"]
