import json

import testtools

from dotterelplank.platform import losses


def _report(**fields):
    values = {
        "G": 0.62,
        "parts": [("whole day", 0.6, 0.8), ("worst windows", 0.4, 0.5)],
        "prices": [("orders", 12.0, 0.06), ("probes", 0.0, 0.0)],
        "windows": [
            {"name": "0", "n": 10, "late": 0, "refused": 0, "failed": 0, "worth": 1.0},
            {"name": "2", "n": 10, "late": 2, "refused": 3, "failed": 1, "worth": 0.5},
        ],
    }
    return losses.Report.model_validate({**values, **fields})


def _line(time_s, **fields):
    return f"  {time_s} edge-1 {json.dumps({'name': 'request-ended', **fields})}"


class LossesTests(testtools.TestCase):
    def test_the_losses_add_up_to_what_is_missing(self):
        total = sum(one.loss for one in losses.losses(_report()))
        self.assertAlmostEqual(1 - 0.62, total, places=6)

    def test_a_window_is_split_by_outcome(self):
        calm, heavy = losses.window_losses(_report())
        self.assertEqual(0.0, calm.total)
        self.assertAlmostEqual(10 * 0.5 / 20, heavy.total, places=6)
        self.assertAlmostEqual(3 / 20, heavy.refused, places=6)
        self.assertAlmostEqual(1 / 20, heavy.failed, places=6)
        self.assertAlmostEqual(1 / 20, heavy.late, places=6)

    def test_a_window_with_late_requests_only(self):
        window = {"name": "4", "n": 4, "late": 4, "refused": 0, "failed": 0}
        (found,) = losses.window_losses(_report(windows=[{**window, "worth": 0.5}]))
        self.assertEqual((0.5, 0.0), (found.late, found.refused + found.failed))

    def test_causes_are_counted_by_window_without_addresses(self):
        found = losses.causes(
            [
                "built in 9 s",
                _line(2.5, outcome="no-endpoint", why="10.0.0.1:80: TimeoutError: "),
                _line(3.9, outcome="no-endpoint", why="10.0.0.2:81: TimeoutError: "),
                _line(3.0, outcome="done"),
                _line(4.0, result=212),
                _line(6.0, outcome="overloaded")[:-9] + "}",
            ]
        )
        self.assertEqual({losses.UNREADABLE: 1}, dict(found[6.0]))
        self.assertEqual({"no-endpoint (TimeoutError)": 2}, dict(found[2.0]))
        self.assertEqual({"result 212": 1}, dict(found[4.0]))

    def test_the_account_names_the_cause_of_a_heavy_window(self):
        line = _line(2.5, outcome="overloaded", why="")
        text = losses.render(_report(), losses.causes([line]))
        self.assertIn("1 overloaded", text)
        self.assertIn("lost 0.380", text)
