import contextlib

import hypothesis
import hypothesis.strategies as st
import testtools
from standin_client import Client

from dotterelplank import errors
from dotterelplank.standins import cli as standins
from dotterelplank.standins.popularity import Popularity, Workload, listed_experts
from dotterelplank.standins.rank import (
    InstallOrder,
    RankFaults,
    ResolveOrder,
    StageOrder,
    VersionedMap,
)
from dotterelplank.standins.ranks import GroupSettings, RankGroup

BALLOT = (1, "host-a", 1)
RANKS = 3
STEP_MS = 10


def _stage(ballot=BALLOT, hold_step=5, fence=1, version=2):
    return StageOrder(
        kind="map_stage",
        fence=fence,
        ballot=ballot,
        map_version=version,
        map={},
        hold_step=hold_step,
    )


def _resolve(commit, ballot=BALLOT):
    return ResolveOrder(kind="map_resolve", fence=1, ballot=ballot, commit=commit)


class RankGroupTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = GroupSettings(ranks=RANKS, base_step_ms=STEP_MS, token_ms=0)
        self.group = RankGroup(settings)
        self.group.advance(now_ms=0)

    def _order(self, rank, order, now_ms):
        self.group.order(rank, order, now_ms).check()

    def _refusal(self, rank, order, now_ms):
        refusal = self.assertRaises(
            errors.StandinRefusalError, self._order, rank, order, now_ms
        )
        return refusal.fields["reason"]

    def _maps(self, now_ms):
        tail = self.group.group_report(now_ms).maps_by_step_tail
        return {maps.step: list(maps.map_versions) for maps in tail}

    def test_a_committed_map_is_used_from_its_hold_step_on(self):
        for rank in range(RANKS):
            self._order(rank, _stage(), now_ms=0)
        self.assertEqual(4, self.group.report(0, now_ms=500).step)
        for rank in range(RANKS):
            self._order(rank, _resolve(commit=True), now_ms=500)
        maps = self._maps(now_ms=520)
        self.assertEqual(([1], [2]), (maps[4], maps[5]))
        report = self.group.group_report(now_ms=520)
        self.assertEqual((0, 460), (report.violations, report.waiting_ms))

    def test_an_aborted_map_is_never_used(self):
        for rank in range(RANKS):
            self._order(rank, _stage(), now_ms=0)
            self._order(rank, _resolve(commit=False), now_ms=0)
        self.assertEqual([1], self._maps(now_ms=100)[5])

    def test_ranks_that_resolve_apart_are_a_violation(self):
        for rank in range(RANKS):
            self._order(rank, _stage(), now_ms=0)
            self._order(rank, _resolve(commit=rank == 0), now_ms=0)
        self.assertLess(0, self.group.group_report(now_ms=100).violations)

    def test_a_stage_order_is_refused_with_its_reason(self):
        other = (2, "host-b", 1)
        self._order(0, _stage(hold_step=90), now_ms=0)
        self._order(0, _stage(hold_step=90), now_ms=0)
        self.assertEqual("staged", self._refusal(0, _stage(other, 90), now_ms=0))
        self.assertEqual("passed", self._refusal(1, _stage(hold_step=5), now_ms=100))
        self._order(2, _stage(hold_step=90, fence=7), now_ms=100)
        self.assertEqual("fence", self._refusal(2, _stage(fence=6), now_ms=100))

    def test_a_resolution_is_idempotent_and_final(self):
        self._order(0, _stage(), now_ms=0)
        for _ in range(2):
            self._order(0, _resolve(commit=True), now_ms=0)
        self.assertEqual("resolved", self._refusal(0, _resolve(commit=False), now_ms=0))
        self.assertEqual("resolved", self._refusal(0, _stage(), now_ms=0))
        unknown = _resolve(commit=True, ballot=(9, "host-c", 1))
        self.assertEqual("unknown", self._refusal(0, unknown, now_ms=0))

    def test_a_stalled_rank_stops_the_whole_group(self):
        self.group.change_rank(1, RankFaults(stalled=True), now_ms=25)
        self.assertEqual(3, self.group.report(0, now_ms=500).step)
        self.group.change_rank(1, RankFaults(stalled=False), now_ms=500)
        self.assertEqual(4, self.group.report(0, now_ms=500).step)

    def test_the_slowest_rank_determines_the_step_time(self):
        self.group.change_rank(1, RankFaults(speed=0.5), now_ms=5)
        reports = [self.group.report(rank, now_ms=30) for rank in range(RANKS)]
        self.assertEqual([10, 20, 10], [report.step_ms for report in reports])
        self.assertEqual(3, reports[0].step)

    def test_a_replaced_rank_stops_the_group_until_it_has_a_map(self):
        self.group.replace_rank(2, now_ms=15)
        self.assertIsNone(self.group.report(2, now_ms=500).map_version)
        self.assertEqual("no_map", self._refusal(2, _stage(hold_step=9), now_ms=500))
        install = InstallOrder(kind="map_install", fence=1, map_version=1, map={})
        self._order(2, install, now_ms=500)
        self.assertEqual(3, self.group.report(0, now_ms=500).step)
        self.assertEqual("has_map", self._refusal(2, install, now_ms=500))

    def test_a_delayed_order_is_executed_late_unless_its_rank_is_replaced(self):
        for rank in (0, 1):
            self.group.change_rank(rank, RankFaults(order_delay_ms=50), now_ms=0)
        pending_orders = [
            self.group.order(rank, _stage(hold_step=90), now_ms=0) for rank in (0, 1)
        ]
        self.group.replace_rank(1, now_ms=40)
        self.assertIsNone(self.group.report(0, now_ms=49).staged)
        self.assertIsNotNone(self.group.report(0, now_ms=50).staged)
        self.assertEqual([True, False], [pending.done for pending in pending_orders])

    def test_tokens_are_distributed_by_popularity_and_placement(self):
        placed = {"experts_by_rank": [[0, 1], [1], []]}
        workload = Workload(3, 3, tokens_per_step=100, experts_of=listed_experts)
        workload.set_popularity(Popularity(weights=[1, 2, 1]))
        tokens = [workload.tokens(VersionedMap(1, placed), rank) for rank in range(3)]
        self.assertEqual([{0: 25, 1: 25}, {1: 25}, {2: 25}], tokens)

    def test_tokens_are_split_by_the_shares_in_a_map(self):
        placed = {"experts_by_rank": [[0], [0]], "shares_by_rank": [[0.75], [0.25]]}
        workload = Workload(2, 1, tokens_per_step=100, experts_of=listed_experts)
        tokens = [workload.tokens(VersionedMap(1, placed), rank) for rank in range(2)]
        self.assertEqual([{0: 75}, {0: 25}], tokens)


class RanksHttpTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        context = standins.serving_ranks(GroupSettings(ranks=2, base_step_ms=2))
        _, ports = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.clients = [Client(port) for port in ports]

    def _orders(self, order):
        return [client.call("POST", "/v1/orders", order) for client in self.clients]

    def test_a_map_change_is_staged_and_committed_over_http(self):
        ballot = [1, "host-a", 1]
        stage = {"kind": "map_stage", "fence": 1, "ballot": ballot, "map_version": 2}
        hold_step = self.clients[0].call("GET", "/v1/rank").json["step"] + 10**6
        stage.update(map={"a": 1}, hold_step=hold_step)
        staged = [response.json for response in self._orders(stage)]
        self.assertEqual([{"staged": True}] * 2, staged)
        resolve = {"kind": "map_resolve", "fence": 1, "ballot": ballot, "commit": True}
        self.assertEqual({200}, {response.status for response in self._orders(resolve)})
        report = self.clients[1].call("GET", "/v1/rank").json
        self.assertEqual({"ballot": ballot, "commit": True}, report["resolved"])

    def test_a_replaced_rank_gets_the_map_of_another_rank(self):
        self.clients[0].call("POST", "/control/ranks/1/replace")
        self.assertEqual(404, self.clients[1].call("GET", "/v1/rank/map").status)
        current = self.clients[0].call("GET", "/v1/rank/map").json
        install = {"kind": "map_install", "fence": 1, **current}
        responses = self._orders(install)
        self.assertEqual([409, 200], [response.status for response in responses])
        group = self.clients[0].call("GET", "/control/group").json
        self.assertEqual(0, group["violations"])

    def test_a_frozen_rank_answers_only_control_calls(self):
        path = "/control/ranks/0/faults"
        self.clients[0].call("POST", path, {"freeze": True})
        report = self.clients[0].start("GET", "/v1/rank")
        self.clients[0].call("POST", path, {"freeze": False})
        self.assertEqual(200, report.result().status)

    def test_invalid_orders_are_refused_with_a_result_code(self):
        for order in ({}, {"kind": "unheard_of", "fence": 1}, [1]):
            response = self.clients[0].call("POST", "/v1/orders", order)
            self.assertEqual((400, 6001), (response.status, response.json["code"]))
        response = self.clients[0].call("POST", "/control/ranks/9/replace")
        self.assertEqual(404, response.status)


BALLOTS = st.sampled_from([(1, "a", 1), (2, "b", 1)])
OPERATIONS = st.one_of(
    st.builds(_stage, ballot=BALLOTS, hold_step=st.integers(1, 9)),
    st.builds(_resolve, commit=st.booleans(), ballot=BALLOTS),
    st.just(InstallOrder(kind="map_install", fence=1, map_version=1, map={})),
    st.builds(RankFaults, stalled=st.booleans(), order_delay_ms=st.integers(0, 30)),
    st.just("replace"),
)


class RankGroupPropertyTests(testtools.TestCase):
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 40), OPERATIONS))
    )
    def test_no_rank_begins_a_step_that_it_holds(self, operations):
        group = RankGroup(GroupSettings(ranks=3, base_step_ms=STEP_MS, token_ms=0))
        now_ms, steps, waiting_ms = 0, 0, 0
        for rank, passed_ms, operation in operations:
            now_ms += passed_ms
            _apply(group, rank, operation, now_ms)
            for held in group.ranks:
                if held.staged is not None:
                    self.assertLess(held.step, held.staged.hold_step)
            report = group.group_report(now_ms)
            self.assertLessEqual(steps, report.steps)
            self.assertLessEqual(waiting_ms, report.waiting_ms)
            steps, waiting_ms = report.steps, report.waiting_ms


def _apply(group, rank, operation, now_ms):
    if operation == "replace":
        group.replace_rank(rank, now_ms)
    elif isinstance(operation, RankFaults):
        group.change_rank(rank, operation, now_ms)
    else:
        with contextlib.suppress(errors.StandinRefusalError):
            group.order(rank, operation, now_ms)
