import collections
import random

import testtools

from dotterelplank import results
from dotterelplank.gateway import admission, attempts, budget, peers, queues, silence
from dotterelplank.gateway.directory import Change, Directory, Endpoint, GroupPlace
from dotterelplank.gateway.loads import TRIAL_LAPSE_MS, Loads, PeerLoad
from dotterelplank.gateway.pacing import Paces
from dotterelplank.gateway.streams import EventCursor
from dotterelplank.gateway.tables import Kind, Limits, Route, Table, Target, Team

NOW_MS = 10_000.0


def endpoint(name, **fields):
    values = {
        "id": name,
        "service": "drafts",
        "ip": "10.0.0.1",
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
    changes = [Change(one.id, 5, one) for one in endpoints]
    found.replace(NOW_MS, changes, 5, was_cut=False)
    return found


def route(**fields):
    values = {
        "name": "r",
        "host": "H.example",
        "prefix": "/a/",
        "kind": Kind.STREAMING,
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


def ask(**fields):
    values = {"service": "drafts", "tried": frozenset(), "draw": 0.0}
    return admission.Ask(**{**values, **fields})


class TableTests(testtools.TestCase):
    def _table(self, *routes):
        limits = Limits(1_000, 1_000, 1_000.0, 1_000.0)
        return Table(3, routes, {}, {"k": Team("crew", None)}, True, limits)

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
        return admission.choose(NOW_MS, ask(**fields), found, loads, domain, 0, Paces())

    def test_the_least_loaded_endpoint_takes_the_call(self):
        loads = Loads()
        loads.begin("e1")
        loads.hear("peer", PeerLoad({"e2": 2}, {}, NOW_MS))
        found = directory(endpoint("e1", slots=4), endpoint("e2", slots=4))
        self.assertEqual("e1", self._choose(found, loads).endpoint.id)

    def test_among_equals_the_own_domain_goes_first(self):
        found = directory(endpoint("e1", domain="b"), endpoint("e2", domain="a"))
        self.assertEqual("e2", self._choose(found, Loads()).endpoint.id)

    def test_entries_that_choose_at_once_spread_over_equals(self):
        found = directory(*(endpoint(f"e{number}") for number in range(4)))
        chosen = {
            self._choose(found, Loads(), draw=draw).endpoint.id
            for draw in (0.1, 0.3, 0.6, 0.9)
        }
        self.assertEqual(4, len(chosen))

    def test_no_endpoint_gets_more_than_its_slots(self):
        loads = Loads()
        loads.hear("peer", PeerLoad({"e1": 2}, {}, NOW_MS))
        answer = self._choose(directory(endpoint("e1")), loads)
        self.assertIsInstance(answer, admission.Full)

    def test_a_draining_endpoint_gets_nothing(self):
        found = directory(endpoint("e1", is_draining=True))
        self.assertIsInstance(self._choose(found, Loads()), admission.Unusable)

    def test_a_group_that_cant_go_on_is_left_alone_as_a_whole(self):
        place = GroupPlace("g", 1, 0, 2, True)
        found = directory(endpoint("e1", place=place), endpoint("e2", place=place))
        loads = Loads()
        loads.failed(NOW_MS, admission.group_name(endpoint("e1", place=place)))
        self.assertIsInstance(self._choose(found, loads), admission.Unusable)

    def test_one_call_alone_shows_whether_a_group_is_back(self):
        place = GroupPlace("g", 1, 0, 2, True)
        one, other = endpoint("e1", place=place), endpoint("e2", place=place)
        found, loads = directory(one, other), Loads()
        group = admission.group_name(one)
        paused_ms = loads.failed(NOW_MS, group)
        late_ms = NOW_MS + paused_ms
        first = admission.choose(late_ms, ask(), found, loads, "a", 0, Paces())
        self.assertIsInstance(first, admission.Admit)
        loads.try_again(late_ms, group)
        second = admission.choose(late_ms, ask(), found, loads, "a", 0, Paces())
        self.assertEqual(admission.Unusable(), second)
        loads.succeeded(group)
        third = admission.choose(late_ms, ask(), found, loads, "a", 0, Paces())
        self.assertIsInstance(third, admission.Admit)

    def test_a_call_that_hangs_doesnt_keep_others_away_for_good(self):
        loads = Loads()
        late_ms = NOW_MS + loads.failed(NOW_MS, "group")
        loads.try_again(late_ms, "group")
        self.assertGreater(
            loads.avoided_for_ms(late_ms + TRIAL_LAPSE_MS - 1, "group"), 0
        )
        lapsed_ms = late_ms + TRIAL_LAPSE_MS
        self.assertEqual(0, loads.avoided_for_ms(lapsed_ms, "group"))
        loads.try_again(lapsed_ms, "group")
        self.assertGreater(loads.avoided_for_ms(lapsed_ms, "group"), 0)

    def test_one_failed_call_alone_says_little_of_an_endpoint(self):
        loads = Loads()
        self.assertEqual(0, loads.stumbled(0.0, "a"))
        loads.succeeded("a")
        self.assertEqual(0, loads.stumbled(10.0, "a"))
        self.assertEqual(0, loads.avoided_for_ms(10.0, "a"))
        self.assertGreater(loads.stumbled(20.0, "a"), 0)
        self.assertGreater(loads.avoided_for_ms(20.0, "a"), 0)

    def test_heartbeats_of_many_entries_keep_to_their_part_of_the_link(self):
        for others, mbps in ((8, 1_000.0), (35, 20.0), (200, 20.0)):
            spacing_ms = peers.spacing_ms(others, mbps)
            sent_mbps = others * peers.PACKET_BYTES * 8 / (spacing_ms * 1_000)
            self.assertLessEqual(sent_mbps, mbps * peers.LINK_PART * 1.001)

    def test_what_peers_told_last_adds_up(self):
        draws, loads, last = random.Random(1), Loads(), {}
        for _ in range(500):
            peer = draws.choice("abc")
            names = draws.sample("uvwxyz", draws.randrange(6))
            last[peer] = {name: draws.randrange(1, 4) for name in names}
            loads.hear(peer, PeerLoad(last[peer], {"s": len(names)}, NOW_MS))
            total = sum(map(collections.Counter, last.values()), collections.Counter())
            self.assertEqual(total, loads.others)
        loads.expire(NOW_MS + 60_000)
        self.assertEqual(({}, {}), (loads.others, +loads.others_waiting))

    def test_calls_of_silent_peers_count_no_more(self):
        loads = Loads()
        loads.hear("peer", PeerLoad({"e1": 2}, {"drafts": 3}, NOW_MS))
        self.assertEqual(["peer"], loads.expire(NOW_MS + 5_000))
        self.assertEqual(0, loads.of("e1"))
        self.assertEqual(0, loads.others_waiting["drafts"])

    def test_a_time_to_come_back_is_one_that_callers_heed(self):
        for draw in (0.0, 0.99):
            retry_ms = admission.retry_after_ms(60_000.0, 900.0, draw)
            self.assertLessEqual(retry_ms, 300.0)
            outage_ms = admission.return_after_outage_ms(900.0, draw)
            self.assertLessEqual(outage_ms, 300.0)
            self.assertGreater(outage_ms, 150.0)


class QueueTests(testtools.TestCase):
    def _join(self, queue, priority, arrived_ms, admitted):
        number = len(queue.waiting)
        queue.join(
            queues.Waiting(
                (priority,),
                arrived_ms,
                number,
                frozenset(),
                lambda _: admitted.append((priority, arrived_ms)),
            )
        )

    def test_the_urgent_and_then_the_oldest_are_admitted_first(self):
        queue, admitted, places = queues.Queue(), [], [1, 1]
        for priority, arrived_ms in ((2, 1.0), (1, 3.0), (1, 2.0)):
            self._join(queue, priority, arrived_ms, admitted)
        queues.admit(
            queue, lambda _: endpoint("e") if places and places.pop() else None
        )
        self.assertEqual([(1, 2.0), (1, 3.0)], admitted)
        self.assertEqual(1, len(queue.waiting))


class BudgetTests(testtools.TestCase):
    POLICY = budget.Policy(ratio=0.2, window_ms=10_000.0, burst=94.0)

    def test_the_sum_over_entries_stays_within_the_ratio(self):
        entries = [budget.Budget() for _ in range(9)]
        repeats = 0
        for call in range(900):
            one = entries[call % 9]
            budget.count_first(NOW_MS + call, one, self.POLICY)
            while budget.take_repeat(NOW_MS + call, one, self.POLICY):
                repeats += 1
        self.assertLessEqual(repeats, 0.2 * 900 + 94)

    def test_a_restarted_entry_begins_with_next_to_nothing(self):
        fresh = budget.Budget()
        taken = [budget.take_repeat(NOW_MS, fresh, self.POLICY) for _ in range(9)]
        self.assertEqual(1, sum(taken))

    def test_what_left_the_window_counts_no_more(self):
        one = budget.Budget()
        for _ in range(50):
            budget.count_first(NOW_MS, one, self.POLICY)
        late_ms = NOW_MS + 10_000
        self.assertTrue(budget.take_repeat(late_ms, one, self.POLICY))
        self.assertFalse(budget.take_repeat(late_ms, one, self.POLICY))


class AttemptTests(testtools.TestCase):
    def _after(self, *endings):
        history = attempts.History()
        for number, ending in enumerate(endings):
            history.note(f"e{number}", ending)
        return history

    def test_a_call_that_may_run_once_goes_on_only_after_a_refusal(self):
        once = route(kind=Kind.UNSAFE)
        refused = self._after(attempts.NotRun(True, "full"))
        lost = self._after(attempts.Lost(False, "reset"))
        self.assertTrue(attempts.may_send_again(refused, once))
        self.assertFalse(attempts.may_send_again(lost, once))

    def test_a_stream_that_can_be_resumed_goes_on_elsewhere(self):
        lost = self._after(attempts.Lost(True, "reset"))
        self.assertTrue(attempts.may_send_again(lost, route()))
        self.assertFalse(attempts.may_send_again(lost, route(is_resumable=False)))

    def test_a_call_reaches_no_more_endpoints_than_its_route_allows(self):
        twice = self._after(attempts.NotRun(True, ""), attempts.NotRun(True, ""))
        self.assertFalse(attempts.may_send_again(twice, route(attempts=2)))

    def test_what_may_have_run_is_never_said_not_to_have(self):
        lost = self._after(attempts.Lost(False, ""), attempts.NotRun(True, ""))
        for is_over in (False, True):
            result = attempts.final_result(lost, is_over=is_over)
            self.assertIs(results.Outcome.UNKNOWN, result.outcome)

    def test_a_call_on_its_way_when_time_is_up_may_have_run(self):
        history = attempts.History(is_open=True)
        result = attempts.final_result(history, is_over=True)
        self.assertIs(results.Outcome.UNKNOWN, result.outcome)

    def test_what_no_endpoint_ran_is_refused_as_not_run(self):
        refused = self._after(attempts.NotRun(False, "no connection"))
        for is_over in (False, True):
            result = attempts.final_result(refused, is_over=is_over)
            self.assertIs(results.Outcome.NOT_RUN, result.outcome)
            self.assertEqual(503, result.http_status)

    def test_a_call_that_got_no_place_is_told_that_there_was_none(self):
        history = attempts.History()
        crowded = attempts.final_result(history, is_over=False, is_crowded=True)
        self.assertIs(results.OVERLOADED, crowded)
        unusable = attempts.final_result(history, is_over=False)
        self.assertIs(results.NO_ENDPOINT, unusable)


class DirectoryTests(testtools.TestCase):
    def test_an_older_change_is_no_news(self):
        found = directory(endpoint("e1"))
        self.assertFalse(found.apply(NOW_MS, Change("e1", 4, None)))
        self.assertIn("e1", found.endpoints)

    def test_a_removal_is_in_force_at_once(self):
        found = directory(endpoint("e1"))
        found.apply(NOW_MS, Change("e1", 6, None))
        self.assertEqual([], found.of_service("drafts"))

    def test_entries_that_lapsed_in_an_outage_are_used_for_a_while(self):
        found = directory(endpoint("e1"), endpoint("e2"))
        found.replace(NOW_MS, [Change("e2", 7, endpoint("e2"))], 8, was_cut=True)
        self.assertIn("e1", found.endpoints)
        self.assertEqual([], found.expire(NOW_MS + 100, 2_000))
        self.assertEqual(["e1"], found.expire(NOW_MS + 1_900, 2_000))
        self.assertNotIn("e1", found.endpoints)

    def test_an_entry_that_comes_back_has_not_lapsed(self):
        found = directory(endpoint("e1"))
        found.replace(NOW_MS, [], 8, was_cut=True)
        found.apply(NOW_MS, Change("e1", 9, endpoint("e1")))
        self.assertEqual([], found.expire(NOW_MS + 1_900, 2_000))


class StreamTests(testtools.TestCase):
    def test_only_whole_events_pass(self):
        cursor = EventCursor()
        self.assertEqual(b"", cursor.feed(b"id: 3\ndata: x"))
        self.assertIsNone(cursor.last_id)
        self.assertEqual(b"id: 3\ndata: x\n\n", cursor.feed(b"\n\nid: 4\nda"))
        self.assertEqual(3, cursor.last_id)
        self.assertEqual(b"id: 4\nda", cursor.rest)


def _rank(number):
    return endpoint(f"r{number}", place=GroupPlace("g", 1, number, 2, True))


class SilenceTests(testtools.TestCase):
    """The load: a host stands still while its group goes on."""

    def setUp(self):
        super().setUp()
        self.progress = silence.Progress()
        self.stream = route()

    def _write(self, rank, since_ms, passes):
        for number in range(passes):
            self.progress.hear(since_ms + 50.0 * (number + 1), _rank(rank))

    def _find(self, now_ms, heard_ms=None, of=None):
        sent = silence.Sent(_rank(0), 0.0, None, heard_ms)
        found_route = of or self.stream
        return silence.find_silence(now_ms, sent, found_route, self.progress)

    def test_a_rank_that_misses_many_passes_is_silent(self):
        self._write(1, 0.0, 30)
        self.assertEqual(30, self._find(1_500.0).passes)
        self.assertIsNotNone(self._find(1_500.0, heard_ms=100.0))

    def test_a_rank_that_reads_prompts_is_given_more_passes_than_one_that_writes(self):
        self._write(1, 0.0, silence.SILENT_PASSES_READING - 1)
        self.assertIsNone(self._find(5_000.0))
        self.assertIsNotNone(self._find(5_000.0, heard_ms=0.0))

    def test_a_rank_that_missed_a_few_passes_is_not(self):
        self._write(1, 0.0, 5)
        self.assertIsNone(self._find(1_000.0))

    def test_a_group_that_makes_no_passes_is_silent_as_a_whole(self):
        self._write(1, 0.0, 3)
        self.assertIsNone(self._find(5_000.0))

    def test_a_call_may_wait_behind_others_at_its_rank(self):
        self._write(1, 0.0, 30)
        self._write(0, 0.0, 29)
        self.assertIsNone(self._find(1_500.0))

    def test_a_stream_alone_may_be_silent_at_a_rank_that_writes(self):
        self._write(1, 0.0, 20)
        self._write(0, 0.0, 20)
        self.assertIsNotNone(self._find(1_000.0, heard_ms=100.0))

    def test_a_caller_that_does_not_read_says_nothing_of_the_rank(self):
        self._write(1, 0.0, 20)
        sent = silence.Sent(_rank(0), 0.0, None, 10.0, is_held_up=True)
        found = silence.find_silence(1_000.0, sent, self.stream, self.progress)
        self.assertIsNone(found)

    def test_an_answer_that_is_not_a_stream_is_late_after_its_objective(self):
        safe = route(kind=Kind.SAFE)
        late_ms = safe.goal_ms * silence.ANSWER_PART
        self.assertIsNone(self._find(late_ms - 1, of=safe))
        self.assertIsNotNone(self._find(late_ms, of=safe))
        self.assertIsNone(self._find(late_ms, heard_ms=1.0, of=safe))
