"""Whether an entry takes a call, without a network."""

import dataclasses
import random

import testtools
from test_gateway_decisions import NOW_MS, route

from dotterelplank import results
from dotterelplank.gateway import intake
from dotterelplank.gateway.state import EntryState
from dotterelplank.gateway.tables import Limits, RouteKind, RoutingTable, Team
from dotterelplank.http1.server import Call

KEY = b"key-1"


def call(path=b"/a/x", **headers):
    values = {b"x-request-id": b"c1", b"host": b"h.example", b"x-api-key": KEY}
    for name, value in headers.items():
        values[name.replace("_", "-").encode()] = value
    found = [(name, value) for name, value in values.items() if value is not None]
    return Call(b"POST", path, found, b"")


class IntakeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.route = route(host="h.example")
        self.state = EntryState(None, random.Random(1))
        self._set_route()

    def _set_route(self, **fields):
        self.route = dataclasses.replace(self.route, **fields)
        team = Team("team-1", None)
        limits = Limits(16_384, 1_000_000, 3_000.0, 15_000.0)
        self.state.table = RoutingTable(
            1, (self.route,), {}, {KEY.decode(): team}, True, limits
        )

    def _decide(self, found=None):
        return intake.decide(NOW_MS, found or call(), self.state, draw=0.5)

    def _assert_refused(self, result, found=None):
        decision = self._decide(found)
        self.assertIsInstance(decision, intake.Refused)
        self.assertEqual(result, decision.result)

    def test_a_call_is_taken_by_its_route_for_its_team(self):
        decision = self._decide(call(x_deadline_ms=b"700"))
        self.assertEqual(self.route, decision.route)
        self.assertEqual("team-1", decision.team.name)
        self.assertEqual("drafts", decision.service)
        self.assertEqual(NOW_MS + 700.0, decision.deadline_ms)

    def test_a_route_waits_no_longer_than_its_own_timeout(self):
        for deadline in (b"9000", None):
            decision = self._decide(call(x_deadline_ms=deadline))
            self.assertEqual(NOW_MS + self.route.timeout_ms, decision.deadline_ms)

    def test_a_call_that_is_not_allowed_is_refused(self):
        self._assert_refused(results.MALFORMED_REQUEST, call(x_request_id=None))
        self._assert_refused(results.NO_ROUTE, call(b"/b/x"))
        self._assert_refused(results.UNKNOWN_KEY, call(x_api_key=b"key-2"))
        self._set_route(is_public=True)
        self.assertIsNone(self._decide(call(x_api_key=None)).team)

    def test_no_call_is_taken_without_a_table_or_after_the_notice_of_a_stop(self):
        self.state.is_closed = True
        self._assert_refused(results.STOPPING)
        self.state.table = None
        self._assert_refused(results.NO_CONFIGURATION)

    def test_a_call_that_may_run_once_is_refused_if_it_may_outlast_a_stop(self):
        self._set_route(kind=RouteKind.UNSAFE)
        self.state.loads.record_slot_hold("drafts", 10.0)
        self.state.stop_due_ms = NOW_MS + 1_000.0
        self._assert_refused(results.STOPPING, call(x_deadline_ms=b"1001"))
        decision = self._decide(call(x_deadline_ms=b"1000"))
        self.assertIsInstance(decision, intake.Accepted)

    def test_other_calls_are_refused_if_calls_of_late_took_too_long(self):
        self._set_route(kind=RouteKind.SAFE)
        self.state.stop_due_ms = NOW_MS + 1_000.0
        self._assert_refused(results.STOPPING)
        longest_ms = 1_000.0 / intake.HOLD_MARGIN_RATIO
        self.state.loads.record_slot_hold("drafts", longest_ms)
        self.assertIsInstance(self._decide(), intake.Accepted)
        self.state.loads.record_slot_hold("drafts", longest_ms + 1.0)
        self._assert_refused(results.STOPPING)
