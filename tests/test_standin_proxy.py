import socket

import testtools
import urllib3
from standin_client import Client, wait_until

from dotterelplank.standins import cli as standins
from dotterelplank.standins.connection import Target
from dotterelplank.standins.pipe import Pipe, ProxyRules, draw_delay_fraction

CONNECTION_ERRORS = (
    urllib3.exceptions.ProtocolError,
    urllib3.exceptions.NewConnectionError,
)


class PipeTests(testtools.TestCase):
    def test_bytes_are_sent_in_order_after_the_delay(self):
        pipe = Pipe("up", delay_fraction=0.5)
        pipe.receive(b"a", ProxyRules(delay_ms=10, reorder_ms=20), now_ms=0)
        pipe.receive(b"b", ProxyRules(), now_ms=1)
        self.assertEqual(b"", pipe.due_bytes(ProxyRules(), now_ms=19))
        self.assertEqual(b"a", pipe.due_bytes(ProxyRules(), now_ms=20))
        pipe.mark_sent(1)
        self.assertEqual(b"b", pipe.due_bytes(ProxyRules(), now_ms=20))

    def test_the_first_byte_after_the_limit_resets_the_connection(self):
        rules = ProxyRules(drop_after_up_bytes=2)
        pipe = Pipe("up", delay_fraction=0)
        pipe.receive(b"abc", rules, now_ms=0)
        self.assertEqual(b"ab", pipe.due_bytes(rules, now_ms=0))
        pipe.mark_sent(2)
        self.assertFalse(pipe.must_reset(rules))
        self.assertEqual(b"", pipe.due_bytes(rules, now_ms=0))
        self.assertTrue(pipe.must_reset(rules))

    def test_discarded_bytes_reset_the_connection_once_the_rule_ends(self):
        rules = ProxyRules(half_open="up")
        pipe = Pipe("up", delay_fraction=0)
        pipe.receive(b"abc", rules, now_ms=0)
        self.assertEqual(b"", pipe.due_bytes(rules, now_ms=0))
        self.assertFalse(pipe.must_reset(rules))
        self.assertTrue(pipe.must_reset(ProxyRules()))

    def test_the_delay_of_a_connection_is_determined_by_the_seed(self):
        fractions = [draw_delay_fraction(seed, 1) for seed in (1, 1, 2)]
        self.assertEqual(fractions[0], fractions[1])
        self.assertNotEqual(fractions[0], fractions[2])


class ProxyTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        service = standins.serving_service()
        self.service, port = service.__enter__()
        self.addCleanup(service.__exit__, None, None, None)
        proxy = standins.serving_proxy(Target("127.0.0.1", port))
        self.proxy, control_port = proxy.__enter__()
        self.addCleanup(proxy.__exit__, None, None, None)
        self.client = Client(self.proxy.port)
        self.control = Client(control_port)

    def _set_rules(self, **rules):
        response = self.control.call("POST", "/control/rules", rules)
        self.assertEqual(200, response.status)

    def _executions(self):
        return self.service.report().total

    def test_calls_are_forwarded(self):
        self._set_rules(delay_ms=1, reorder_ms=2)
        calls = [self.client.start("POST", "/a", "x" * 300_000) for _ in range(8)]
        self.assertEqual({200}, {call.result().status for call in calls})
        self.assertEqual(8, self._executions())

    def test_a_cut_resets_open_connections_and_refuses_new_ones(self):
        connection = socket.create_connection(("127.0.0.1", self.proxy.port))
        self.addCleanup(connection.close)
        self.client.call("GET", "/a")
        wait_until(lambda: self.proxy.counts().open == 2)
        self._set_rules(cut=True)
        self.assertRaises(ConnectionResetError, connection.recv, 1)
        self.assertRaises(
            ConnectionRefusedError,
            socket.create_connection,
            ("127.0.0.1", self.proxy.port),
        )
        self._set_rules(cut=False)
        self.assertEqual(200, Client(self.proxy.port).call("GET", "/a").status)

    def test_a_response_can_be_lost_after_the_execution(self):
        self._set_rules(drop_after_down_bytes=0)
        self.assertRaises(CONNECTION_ERRORS[0], self.client.call, "POST", "/a", {})
        self.assertEqual(1, self._executions())

    def test_a_half_open_direction_discards_the_call_silently(self):
        self._set_rules(half_open="up")
        call = self.client.start("POST", "/a", {})
        wait_until(lambda: self.proxy.counts().swallowed_bytes)
        self.assertFalse(call.done())
        self._set_rules(half_open="none")
        self.assertIsInstance(call.exception(), CONNECTION_ERRORS)
        self.assertEqual(0, self._executions())

    def test_held_bytes_arrive_after_the_rule_ends(self):
        self._set_rules(hold="down")
        call = self.client.start("POST", "/a", {})
        wait_until(self._executions)
        self.assertFalse(call.done())
        self._set_rules(hold="none")
        self.assertEqual(200, call.result().status)

    def test_an_unreachable_target_resets_the_caller(self):
        with standins.serving_proxy(Target("127.0.0.1", 1)) as (proxy, _):
            # The reset may come before or after the caller's connect returns.
            call = Client(proxy.port).start("GET", "/a")
            self.assertIsInstance(call.exception(), CONNECTION_ERRORS)

    def test_invalid_rules_are_refused_with_a_result_code(self):
        for rules in ({"cut": 5}, {"half_open": "sideways"}, {"delay_ms": -1}):
            response = self.control.call("POST", "/control/rules", rules)
            self.assertEqual((400, 6001), (response.status, response.json["code"]))
