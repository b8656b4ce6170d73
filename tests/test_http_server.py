import testtools

from dotterelplank.daemons import http_server


class OverdueTests(testtools.TestCase):
    def test_a_connection_is_overdue_after_the_bound(self):
        started_ms = {"slow": 0.0, "fresh": 400.0}
        self.assertEqual(["slow"], http_server.overdue(501.0, started_ms, 500.0))
        self.assertEqual([], http_server.overdue(500.0, started_ms, 500.0))
