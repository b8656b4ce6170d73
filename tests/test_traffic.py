import testtools

from dotterelplank.config import configuration
from dotterelplank.config.selectors import RequestAttributes
from dotterelplank.daemons.blackboard import Blackboard
from dotterelplank.daemons.calls import CallerRequest, CallRefusedError
from dotterelplank.daemons.traffic import Traffic
from dotterelplank.routing import endpoint_view
from dotterelplank.routing.endpoint_view import EndpointView, LoadReport

TEXT = """{
  "labels": {"app": ["drafting"]},
  "groups": [{"name": "drafting", "kind": "model", "servers": {}}],
  "rules": [{"name": "all"}],
  "team_classes": [{"name": "all", "share": 1, "teams": ["crew", "audit"]}],
}"""
STEP_MS = 25.0
TOKENS = 400
REQUESTS_PER_S = 10


class AdmissionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.configuration = configuration.parse(TEXT)
        self.board = Blackboard()
        self.traffic = Traffic(self.board, "entry-1", "fd-1", 1, lambda now, host: True)
        self.view = EndpointView("drafting-1", "fd-1")
        self.board.endpoints["drafting-1"] = self.view

    def request(self):
        return CallerRequest(
            group=self.configuration.groups["drafting"],
            work=RequestAttributes("drafting", "crew", 0),
            path="",
            headers=(),
            body=b"",
            stream=True,
            deadline_ms=30_000.0,
            traceparent="",
            ticket="",
            idempotency_key="",
            blocks=(),
            expected_tokens=TOKENS,
        )

    def count_shed(self, running, waiting, seconds=20):
        """Offer 4,000 tokens per second and return the number of requests shed."""
        count = 0
        for number in range(seconds * REQUESTS_PER_S):
            now_ms = number * 1000 / REQUESTS_PER_S
            load = LoadReport(running, waiting, 0.5, STEP_MS, 0.0)
            endpoint_view.note_report(self.view, now_ms, load, 0.0)
            self.traffic.note_capacity(now_ms, self.configuration)
            name = f"request-{number}"
            try:
                self.traffic.admit(now_ms, name, self.configuration, self.request())
            except CallRefusedError:
                count += 1
        return count

    def test_no_request_is_shed_before_the_first_load_report(self):
        for number in range(20):
            name = f"request-{number}"
            self.traffic.admit(number * 10.0, name, self.configuration, self.request())

    def test_no_request_is_shed_while_none_waits_at_an_endpoint(self):
        self.assertEqual(0, self.count_shed(running=100, waiting=0))

    def test_excess_requests_are_shed_once_requests_wait(self):
        self.assertGreater(self.count_shed(running=16, waiting=40), 50)

    def test_a_repeated_sample_does_not_make_an_endpoint_full(self):
        load = LoadReport(2, 1, 0.1, STEP_MS, 0.0)
        for age_ms in range(0, 100, 5):
            endpoint_view.note_report(self.view, 1_000.0 + age_ms, load, age_ms)
        self.assertEqual(float("inf"), self.view.batch_slots)
        self.assertEqual(0, self.count_shed(running=2, waiting=0, seconds=2))
