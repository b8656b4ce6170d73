import testtools

from dotterelplank.daemons import agent


class ReportIntervalTests(testtools.TestCase):
    def test_the_report_rate_does_not_grow_with_the_entries(self):
        for entries in (3, 82, 400):
            per_s = entries / agent.report_interval_ms(entries) * 1_000
            self.assertAlmostEqual(10.0, per_s)

    def test_the_interval_has_a_minimum(self):
        self.assertEqual(250.0, agent.report_interval_ms(2))
