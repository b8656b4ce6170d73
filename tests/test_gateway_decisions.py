import collections
import dataclasses
import random

import testtools

from dotterelplank import results
from dotterelplank.gateway import (
    admission,
    attempts,
    inactivity,
    peers,
    queues,
    retry_budget,
)
from dotterelplank.gateway.concurrency import ConcurrencyLimits
from dotterelplank.gateway.directory import (
    Directory,
    Endpoint,
    EndpointChange,
    GroupPlace,
)
from dotterelplank.gateway.loads import (
    MAX_OPEN_MS,
    PROBE_TIMEOUT_MS,
    Loads,
    PeerLoad,
)
from dotterelplank.gateway.revisions import Revision
from dotterelplank.gateway.streams import EventCursor
from dotterelplank.gateway.tables import (
    Limits,
    Route,
    RouteKind,
    RoutingTable,
    Target,
    Team,
)

NOW_MS = 10_000.0


def at(number, era=1):
    return Revision(era, number)


def endpoint(name, **fields):
    values = {
        "id": name,
        "service": "drafts",
        "ip": f"host-of-{name}",
        "port": 80,
        "domain": "a",
        "slots": 2,
        "is_draining": False,
        "started_ms": 1,
        "place": None,
    }
    return Endpoint(**{**values, **fields})


def directory(*endpoints):
    found = Directory()
    changes = [EndpointChange(one.id, at(5), one) for one in endpoints]
    found.replace(NOW_MS, changes, at(5), was_stale=False)
    return found


def route(**fields):
    values = {
        "name": "r",
        "host": "H.example",
        "prefix": "/a/",
        "kind": RouteKind.STREAMING,
        "targets": (Target("drafts", 1.0),),
        "timeout_ms": 8_000.0,
        "goal_ms": 500.0,
        "gap_target_ms": 120.0,
        "attempts": 2,
        "priority": 1,
        "is_public": False,
        "is_resumable": True,
    }
    return Route(**{**values, **fields})


def slot_request(**fields):
    values = {"service": "drafts", "tried": frozenset(), "draw": 0.0}
    return admission.SlotRequest(**{**values, **fields})


class TableTests(testtools.TestCase):
    def _table(self, *routes):
        limits = Limits(1_000, 1_000, 1_000.0, 1_000.0)
        return RoutingTable(3, routes, {}, {"k": Team("crew", None)}, True, limits)

    def test_the_longest_prefix_wins(self):
        short, long = route(prefix="/a/"), route(prefix="/a/b/")
        table = self._table(short, long)
        self.assertIs(long, table.match("h.example", "/a/b/c"))
        self.assertIs(short, table.match("h.EXAMPLE", "/a/x"))

    def test_a_prefix_begins_the_path_as_whole_segments(self):
        self.assertIsNone(self._table(route()).match("h.example", "/ab"))
        self.assertIsNone(self._table(route()).match("other.example", "/a/b"))

    def test_a_key_names_its_team(self):
        self.assertEqual("crew", self._table().team("k").name)
        self.assertIsNone(self._table().team("K"))
        self.assertIsNone(self._table().team(None))


class ChooseTests(testtools.TestCase):
    def _choose(self, found, loads, domain="a", **fields):
        return admission.choose(
            NOW_MS, slot_request(**fields), found, loads, domain, 0, ConcurrencyLimits()
        )

    def test_the_least_loaded_endpoint_takes_the_call(self):
        loads = Loads()
        loads.begin("e1")
        loads.on_heartbeat("peer", PeerLoad({"e2": 2}, {}, NOW_MS))
        found = directory(endpoint("e1", slots=4), endpoint("e2", slots=4))
        self.assertEqual("e1", self._choose(found, loads).endpoint.id)

    def test_among_equally_loaded_endpoints_the_own_domain_is_preferred(self):
        found = directory(endpoint("e1", domain="b"), endpoint("e2", domain="a"))
        self.assertEqual("e2", self._choose(found, Loads()).endpoint.id)

    def test_ties_between_equally_loaded_endpoints_are_broken_at_random(self):
        found = directory(*(endpoint(f"e{number}") for number in range(4)))
        chosen = {
            self._choose(found, Loads(), draw=draw).endpoint.id
            for draw in (0.1, 0.3, 0.6, 0.9)
        }
        self.assertEqual(4, len(chosen))

    def test_no_endpoint_gets_more_than_its_slots(self):
        loads = Loads()
        loads.on_heartbeat("peer", PeerLoad({"e1": 2}, {}, NOW_MS))
        decision = self._choose(directory(endpoint("e1")), loads)
        self.assertIsInstance(decision, admission.AtCapacity)

    def test_the_wait_is_estimated_from_calls_that_have_ended(self):
        loads, found = Loads(), directory(endpoint("e1"))
        loads.on_heartbeat("peer", PeerLoad({"e1": 2}, {}, NOW_MS))
        self.assertEqual(admission.AtCapacity(0.0), self._choose(found, loads))
        loads.record_slot_hold("drafts", 400.0)
        self.assertEqual(admission.AtCapacity(200.0), self._choose(found, loads))

    def test_a_draining_endpoint_gets_no_calls(self):
        found = directory(endpoint("e1", is_draining=True))
        self.assertIsInstance(self._choose(found, Loads()), admission.NoUsableEndpoint)

    def test_a_failed_group_gets_no_calls_at_any_endpoint(self):
        place = GroupPlace("g", 1, 0, 2, True)
        found = directory(endpoint("e1", place=place), endpoint("e2", place=place))
        loads = Loads()
        loads.record_failure(
            NOW_MS, admission.group_breaker_key(endpoint("e1", place=place))
        )
        self.assertIsInstance(self._choose(found, loads), admission.NoUsableEndpoint)

    def _fail_often(self, loads, key):
        """Record failures until the breaker is open for its longest time."""
        now_ms = NOW_MS
        while (open_ms := loads.record_failure(now_ms, key)) < MAX_OPEN_MS:
            now_ms += open_ms
        return now_ms

    def test_a_group_that_opens_again_gets_calls_at_once(self):
        broken = GroupPlace("g", 1, 0, 2, False)
        for again in (
            dataclasses.replace(broken, is_open=True),
            GroupPlace("g", 2, 0, 2, True),
        ):
            loads = Loads()
            before = endpoint("e1", place=broken)
            now_ms = self._fail_often(loads, admission.group_breaker_key(before))
            for place, expected in (
                (broken, admission.NoUsableEndpoint),
                (again, admission.Admitted),
            ):
                found = directory(endpoint("e1", place=place))
                decision = admission.choose(
                    now_ms, slot_request(), found, loads, "a", 0, ConcurrencyLimits()
                )
                self.assertIsInstance(decision, expected, place)

    def test_only_one_probe_is_sent_to_a_recovering_group(self):
        place = GroupPlace("g", 1, 0, 2, True)
        one, other = endpoint("e1", place=place), endpoint("e2", place=place)
        found, loads = directory(one, other), Loads()
        group = admission.group_breaker_key(one)
        open_ms = loads.record_failure(NOW_MS, group)
        late_ms = NOW_MS + open_ms
        first = admission.choose(
            late_ms, slot_request(), found, loads, "a", 0, ConcurrencyLimits()
        )
        self.assertIsInstance(first, admission.Admitted)
        loads.begin_probe(late_ms, group)
        second = admission.choose(
            late_ms, slot_request(), found, loads, "a", 0, ConcurrencyLimits()
        )
        self.assertEqual(admission.NoUsableEndpoint(), second)
        loads.record_success(group)
        third = admission.choose(
            late_ms, slot_request(), found, loads, "a", 0, ConcurrencyLimits()
        )
        self.assertIsInstance(third, admission.Admitted)

    def test_a_hanging_probe_times_out(self):
        loads = Loads()
        late_ms = NOW_MS + loads.record_failure(NOW_MS, "group")
        loads.begin_probe(late_ms, "group")
        self.assertGreater(
            loads.open_for_ms(late_ms + PROBE_TIMEOUT_MS - 1, "group"), 0
        )
        timed_out_ms = late_ms + PROBE_TIMEOUT_MS
        self.assertEqual(0, loads.open_for_ms(timed_out_ms, "group"))
        loads.begin_probe(timed_out_ms, "group")
        self.assertGreater(loads.open_for_ms(timed_out_ms, "group"), 0)

    def test_one_error_response_does_not_open_the_breaker(self):
        loads = Loads()
        self.assertEqual(0, loads.record_error_response(0.0, "a"))
        loads.record_success("a")
        self.assertEqual(0, loads.record_error_response(10.0, "a"))
        self.assertEqual(0, loads.open_for_ms(10.0, "a"))
        self.assertGreater(loads.record_error_response(20.0, "a"), 0)
        self.assertGreater(loads.open_for_ms(20.0, "a"), 0)

    def test_heartbeats_of_many_entries_stay_within_their_bandwidth(self):
        for others, mbps in ((8, 1_000.0), (35, 20.0), (200, 20.0)):
            spacing_ms = peers.spacing_ms(others, mbps)
            sent_mbps = others * peers.HEARTBEAT_BYTES * 8 / (spacing_ms * 1_000)
            self.assertLessEqual(sent_mbps, mbps * peers.MAX_LINK_RATIO * 1.001)

    def test_peer_loads_add_up_to_the_latest_heartbeats(self):
        rng, loads, last = random.Random(1), Loads(), {}
        for _ in range(500):
            peer = rng.choice("abc")
            names = rng.sample("uvwxyz", rng.randrange(6))
            last[peer] = {name: rng.randrange(1, 4) for name in names}
            loads.on_heartbeat(peer, PeerLoad(last[peer], {"s": len(names)}, NOW_MS))
            total = sum(map(collections.Counter, last.values()), collections.Counter())
            self.assertEqual(total, loads.peers_in_flight)
        loads.expire(NOW_MS + 60_000)
        self.assertEqual(({}, {}), (loads.peers_in_flight, +loads.peers_waiting))

    def test_the_load_of_unresponsive_peers_is_removed(self):
        loads = Loads()
        loads.on_heartbeat("peer", PeerLoad({"e1": 2}, {"drafts": 3}, NOW_MS))
        self.assertEqual(["peer"], loads.expire(NOW_MS + 5_000))
        self.assertEqual(0, loads.in_flight_at("e1"))
        self.assertEqual(0, loads.peers_waiting["drafts"])

    def test_retry_after_is_within_what_callers_honor(self):
        for draw in (0.0, 0.99):
            retry_ms = admission.retry_after_ms(60_000.0, 900.0, draw)
            self.assertLessEqual(retry_ms, 300.0)
            outage_ms = admission.outage_retry_after_ms(900.0, draw)
            self.assertLessEqual(outage_ms, 300.0)
            self.assertGreater(outage_ms, 150.0)


class QueueTests(testtools.TestCase):
    def _add(self, queue, priority, arrived_ms, admitted):
        number = len(queue.waiting)
        queue.add(
            queues.QueuedCall(
                (priority,),
                arrived_ms,
                number,
                frozenset(),
                lambda _: admitted.append((priority, arrived_ms)),
            )
        )

    def test_calls_are_admitted_by_priority_and_then_by_age(self):
        queue, admitted, slots = queues.Queue(), [], [1, 1]
        for priority, arrived_ms in ((2, 1.0), (1, 3.0), (1, 2.0)):
            self._add(queue, priority, arrived_ms, admitted)
        queues.admit(queue, lambda _: endpoint("e") if slots and slots.pop() else None)
        self.assertEqual([(1, 2.0), (1, 3.0)], admitted)
        self.assertEqual(1, len(queue.waiting))


class RetryBudgetTests(testtools.TestCase):
    POLICY = retry_budget.RetryPolicy(ratio=0.2, window_ms=10_000.0, burst=94.0)

    def test_the_sum_over_entries_stays_within_the_ratio(self):
        entries = [retry_budget.RetryBudget() for _ in range(9)]
        retries = 0
        for call in range(900):
            one = entries[call % 9]
            retry_budget.count_first_send(NOW_MS + call, one, self.POLICY)
            while retry_budget.take_retry(NOW_MS + call, one, self.POLICY):
                retries += 1
        self.assertLessEqual(retries, 0.2 * 900 + 94)

    def test_a_restarted_entry_begins_with_a_minimal_burst(self):
        fresh = retry_budget.RetryBudget()
        taken = [retry_budget.take_retry(NOW_MS, fresh, self.POLICY) for _ in range(9)]
        self.assertEqual(1, sum(taken))

    def test_sends_outside_the_window_are_not_counted(self):
        one = retry_budget.RetryBudget()
        for _ in range(50):
            retry_budget.count_first_send(NOW_MS, one, self.POLICY)
        late_ms = NOW_MS + 10_000
        self.assertTrue(retry_budget.take_retry(late_ms, one, self.POLICY))
        self.assertFalse(retry_budget.take_retry(late_ms, one, self.POLICY))


class AttemptTests(testtools.TestCase):
    def _after(self, *attempt_results):
        history = attempts.History()
        for number, attempt_result in enumerate(attempt_results):
            history.record(f"e{number}", attempt_result)
        return history

    def test_a_call_that_may_run_once_is_retried_only_after_a_refusal(self):
        once = route(kind=RouteKind.UNSAFE)
        refused = self._after(attempts.NotRun(True, "full"))
        lost = self._after(attempts.MayHaveRun(False, "reset"))
        self.assertTrue(attempts.may_send_again(refused, once))
        self.assertFalse(attempts.may_send_again(lost, once))

    def test_only_a_resumable_stream_is_retried_after_it_was_cut(self):
        lost = self._after(attempts.MayHaveRun(True, "reset"))
        self.assertTrue(attempts.may_send_again(lost, route()))
        self.assertFalse(attempts.may_send_again(lost, route(is_resumable=False)))

    def test_a_call_is_sent_to_no_more_endpoints_than_its_route_allows(self):
        twice = self._after(attempts.NotRun(True, ""), attempts.NotRun(True, ""))
        self.assertFalse(attempts.may_send_again(twice, route(attempts=2)))

    def test_a_call_that_may_have_run_is_never_reported_as_not_run(self):
        lost = self._after(attempts.MayHaveRun(False, ""), attempts.NotRun(True, ""))
        for is_past_deadline in (False, True):
            result = attempts.final_result(lost, is_past_deadline=is_past_deadline)
            self.assertIs(results.Outcome.UNKNOWN, result.outcome)

    def test_a_call_in_flight_at_its_deadline_may_have_run(self):
        history = attempts.History(is_in_progress=True)
        result = attempts.final_result(history, is_past_deadline=True)
        self.assertIs(results.Outcome.UNKNOWN, result.outcome)

    def test_a_call_that_no_endpoint_ran_is_reported_as_not_run(self):
        refused = self._after(attempts.NotRun(False, "no connection"))
        for is_past_deadline in (False, True):
            result = attempts.final_result(refused, is_past_deadline=is_past_deadline)
            self.assertIs(results.Outcome.NOT_RUN, result.outcome)
            self.assertEqual(503, result.http_status)

    def test_a_call_without_a_free_slot_is_reported_as_overloaded(self):
        history = attempts.History()
        without_slot = attempts.final_result(
            history, is_past_deadline=False, is_overloaded=True
        )
        self.assertIs(results.OVERLOADED, without_slot)
        without_endpoint = attempts.final_result(history, is_past_deadline=False)
        self.assertIs(results.NO_ENDPOINT, without_endpoint)


class DirectoryTests(testtools.TestCase):
    def test_a_record_of_an_unknown_service_takes_no_servers_address(self):
        # A record of another writer kept the server at its address out of use.
        found = directory(endpoint("e1", ip="h1"), endpoint("e2", ip="h2"))
        found.set_services({"drafts", "orders"})
        for number, service in ((6, "other"), (7, "orders")):
            record = endpoint(service, service=service, ip=f"h{number - 5}")
            found.apply(NOW_MS, EndpointChange(service, at(number), record))
        names = [one.id for one in found.of_service("drafts")]
        self.assertEqual(["e1"], names)
        self.assertEqual([], found.of_service("other"))
        found.set_services({"drafts", "orders", "other"})
        self.assertEqual([], found.of_service("drafts"))

    def test_an_older_change_is_ignored(self):
        found = directory(endpoint("e1"))
        self.assertFalse(found.apply(NOW_MS, EndpointChange("e1", at(4), None)))
        self.assertIn("e1", found.endpoints)

    def test_a_removal_takes_effect_at_once(self):
        found = directory(endpoint("e1"))
        found.apply(NOW_MS, EndpointChange("e1", at(6), None))
        self.assertEqual([], found.of_service("drafts"))

    def test_endpoints_missing_after_an_outage_are_kept_for_a_grace_period(self):
        found = directory(endpoint("e1"), endpoint("e2"))
        found.replace(
            NOW_MS, [EndpointChange("e2", at(7), endpoint("e2"))], at(8), was_stale=True
        )
        self.assertIn("e1", found.endpoints)
        self.assertEqual([], found.expire(NOW_MS + 100, 2_000))
        self.assertEqual(["e1"], found.expire(NOW_MS + 1_900, 2_000))
        self.assertNotIn("e1", found.endpoints)

    def test_an_endpoint_that_comes_back_is_not_expired(self):
        found = directory(endpoint("e1"))
        found.replace(NOW_MS, [], at(8), was_stale=True)
        found.apply(NOW_MS, EndpointChange("e1", at(9), endpoint("e1")))
        self.assertEqual([], found.expire(NOW_MS + 1_900, 2_000))


class RestartedServersTests(testtools.TestCase):
    """All servers start again under new ids while the old ones are still listed."""

    def _restart_all(self):
        old = [endpoint(f"old{n}", ip=f"10.0.0.{n}", started_ms=9) for n in range(4)]
        found = directory(*old)
        for n in range(4):
            # The clocks of the hosts are set back, so the new servers seem older.
            new = endpoint(f"new{n}", ip=f"10.0.0.{n}", started_ms=2)
            found.apply(NOW_MS, EndpointChange(new.id, at(6 + n), new))
        return found

    def test_no_call_goes_to_a_server_that_has_ended(self):
        found = self._restart_all()
        names = {one.id for one in found.of_service("drafts")}
        self.assertEqual({f"new{n}" for n in range(4)}, names)

    def test_a_server_whose_successor_is_removed_is_used_again(self):
        found = self._restart_all()
        found.apply(NOW_MS, EndpointChange("new0", at(20), None))
        self.assertIn("old0", {one.id for one in found.of_service("drafts")})

    def test_a_successor_of_another_service_counts_as_well(self):
        found = directory(endpoint("e1", ip="10.0.0.9"))
        other = endpoint("e2", ip="10.0.0.9", service="orders")
        found.apply(NOW_MS, EndpointChange("e2", at(6), other))
        self.assertEqual([], found.of_service("drafts"))


class StreamTests(testtools.TestCase):
    def test_only_complete_events_are_passed_on(self):
        cursor = EventCursor()
        self.assertEqual(b"", cursor.feed(b"id: 3\ndata: x"))
        self.assertIsNone(cursor.last_id)
        self.assertEqual(b"id: 3\ndata: x\n\n", cursor.feed(b"\n\nid: 4\nda"))
        self.assertEqual(3, cursor.last_id)
        self.assertEqual(b"id: 4\nda", cursor.partial)


def _rank(number):
    return endpoint(f"r{number}", place=GroupPlace("g", 1, number, 2, True))


class InactivityTests(testtools.TestCase):
    """A host freezes while the other ranks of its group continue."""

    def setUp(self):
        super().setUp()
        self.progress = inactivity.Progress()
        self.stream = route()

    def _record_events(self, rank, since_ms, passes):
        for number in range(passes):
            self.progress.record_event(since_ms + 50.0 * (number + 1), _rank(rank))

    def _detect(self, now_ms, last_seen_ms=None, of=None):
        attempt = inactivity.Attempt(_rank(0), 0.0, None, last_seen_ms)
        found_route = of or self.stream
        return inactivity.detect_inactivity(now_ms, attempt, found_route, self.progress)

    def test_a_rank_that_misses_many_passes_is_unresponsive(self):
        self._record_events(1, 0.0, 30)
        self.assertEqual(30, self._detect(1_500.0).passes)
        self.assertIsNotNone(self._detect(1_500.0, last_seen_ms=100.0))

    def test_a_rank_in_prefill_may_miss_more_passes(self):
        self._record_events(1, 0.0, inactivity.MIN_INACTIVE_PREFILL_PASSES - 1)
        self.assertIsNone(self._detect(5_000.0))
        self.assertIsNotNone(self._detect(5_000.0, last_seen_ms=0.0))

    def test_a_rank_that_misses_a_few_passes_is_not_unresponsive(self):
        self._record_events(1, 0.0, 5)
        self.assertIsNone(self._detect(1_000.0))

    def test_no_rank_is_unresponsive_while_its_group_runs_no_passes(self):
        self._record_events(1, 0.0, 3)
        self.assertIsNone(self._detect(5_000.0))

    def test_a_call_may_wait_for_earlier_calls_at_its_rank(self):
        self._record_events(1, 0.0, 30)
        self._record_events(0, 0.0, 29)
        self.assertIsNone(self._detect(1_500.0))

    def test_a_single_stream_may_be_unresponsive_at_an_active_rank(self):
        self._record_events(1, 0.0, 20)
        self._record_events(0, 0.0, 20)
        self.assertIsNotNone(self._detect(1_000.0, last_seen_ms=100.0))

    def test_a_caller_that_does_not_read_causes_no_timeout(self):
        self._record_events(1, 0.0, 20)
        attempt = inactivity.Attempt(_rank(0), 0.0, None, 10.0, is_backpressured=True)
        found = inactivity.detect_inactivity(
            1_000.0, attempt, self.stream, self.progress
        )
        self.assertIsNone(found)

    def test_a_plain_response_times_out_after_a_multiple_of_its_objective(self):
        safe = route(kind=RouteKind.SAFE)
        late_ms = safe.goal_ms * inactivity.LATE_RESPONSE_RATIO
        self.assertIsNone(self._detect(late_ms - 1, of=safe))
        self.assertIsNotNone(self._detect(late_ms, of=safe))
        self.assertIsNone(self._detect(late_ms, last_seen_ms=1.0, of=safe))
