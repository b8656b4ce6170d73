import hashlib

import testtools
import urllib3
from standin_client import Client, wait_until

from dotterelplank.standins import cli as standins
from dotterelplank.standins.service import ServiceFaults, record_of


class ServiceTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        context = standins.serving_service()
        self.service, port = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.client = Client(port)

    def _executions(self):
        return self.client.call("GET", "/control/executions").json

    def test_a_get_call_is_echoed_and_executes_nothing(self):
        response = self.client.call("GET", "/records/7", X_Trace="abc").json
        self.assertEqual("/records/7", response["path"])
        self.assertEqual(record_of("/records/7"), response["record"])
        self.assertEqual("abc", response["headers"]["x-trace"])
        self.assertEqual(0, self._executions()["total"])

    def test_an_execution_is_counted_by_its_key(self):
        for _ in range(2):
            self.client.call("POST", "/orders", {"n": 1}, X_Request_Id="k1")
        report = self._executions()
        self.assertEqual(({"k1": 2}, 2), (report["by_key"], report["total"]))
        digest = hashlib.sha256(b'{"n":1}').hexdigest()
        self.assertEqual(digest, report["log"][0]["body_sha256"])

    def test_a_call_may_execute_and_then_lose_its_connection(self):
        self.client.call("POST", "/control/faults", {"fail_after_execute": True})
        self.assertRaises(
            urllib3.exceptions.ProtocolError,
            self.client.call,
            "POST",
            "/orders",
            {},
            X_Request_Id="k1",
        )
        self.assertEqual({"k1": 1}, self._executions()["by_key"])

    def test_a_frozen_service_executes_calls_once_it_is_unfrozen(self):
        self.service.change_faults(ServiceFaults(freeze=True))
        call = self.client.start("POST", "/orders", {}, X_Request_Id="k1")
        self.assertEqual(0, self._executions()["total"])
        self.service.change_faults(ServiceFaults(freeze=False))
        self.assertEqual(200, call.result().status)
        self.assertEqual(1, self._executions()["total"])

    def test_a_status_path_answers_with_that_status(self):
        statuses = [
            self.client.call("GET", f"/status/{status}").status
            for status in (204, 418, 503)
        ]
        self.assertEqual([204, 418, 503], statuses)
        self.assertEqual(400, self.client.call("GET", "/status/99").status)

    def test_a_delayed_response_does_not_prevent_the_service_from_stopping(self):
        with standins.serving_service() as (service, port):
            service.change_faults(ServiceFaults(delay_ms=60_000))
            call = Client(port).start("POST", "/orders", {})
            wait_until(lambda: service.report().total)
        self.assertIsNone(call.exception())

    def test_control_calls_are_answered_while_many_calls_hang(self):
        self.service.change_faults(ServiceFaults(freeze=True))
        calls = [self.client.start("GET", "/") for _ in range(standins.THREADS // 2)]
        self.assertEqual(0, self._executions()["total"])
        self.service.change_faults(ServiceFaults(freeze=False))
        self.assertEqual({200}, {call.result().status for call in calls})
