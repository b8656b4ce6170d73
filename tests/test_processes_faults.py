"""Tests of guarantees with real processes behind proxies that inject faults."""

import contextlib
import signal
import socket
import threading

import testtools
import urllib3
from processes import HostSpec, start_small, system, wait_linked, wait_until
from test_processes import (
    SLOW,
    Caller,
    ProcessTests,
    chat_body,
    expected_text,
    outcome,
    result_name,
    text_of,
)

ENTRIES = ("entry-1", "entry-2")
HOME = "orders-1"
# The results that stay unknown: the home was replaced after it issued the ticket.
UNKNOWN_FOR_GOOD = ("ticket-of-earlier-incarnation",)
HEALTHY = {
    "cut": False,
    "half_open": "none",
    "hold": "none",
    "delay_ms": 0.0,
}


class ProxiedTests(testtools.TestCase):
    """All tests share one cluster; each test removes the faults that it injected.

    Either side may have opened the stream in use, so each fault is injected into the
    proxies of both sides.
    """

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.stack = contextlib.ExitStack()
        cls.cluster = cls.stack.enter_context(system())
        start_small(cls.cluster, engines=1, proxied=(*ENTRIES, HOME))
        cls.caller = Caller(cls.cluster)

    @classmethod
    def tearDownClass(cls):
        cls.stack.close()
        super().tearDownClass()

    def setUp(self):
        super().setUp()
        self.addCleanup(self.remove_faults)

    def remove_faults(self):
        self.cluster.control("service-1", "faults", {"delay_ms": 0, "freeze": False})
        for host in (*ENTRIES, HOME):
            self.cluster.change_rules(host, **HEALTHY)
            self.cluster.relays[host].is_cut = False
        wait_linked(self.cluster)

    def drop_one_direction(self, towards_entry):
        """Discard the data in one direction between the home and every entry."""
        down, up = ("down", "up") if towards_entry else ("up", "down")
        self.cluster.change_rules(HOME, half_open=down)
        for entry in ENTRIES:
            self.cluster.change_rules(entry, half_open=up)

    def hold(self, held):
        """Delay the data from every entry to the home until ``hold(False)``."""
        self.cluster.change_rules(HOME, hold="up" if held else "none")
        for entry in ENTRIES:
            self.cluster.change_rules(entry, hold="down" if held else "none")

    def cut(self):
        for host in (*ENTRIES, HOME):
            self.cluster.change_rules(host, cut=True)
            self.cluster.relays[host].is_cut = True

    def total(self):
        return self.cluster.read("service-1", "executions")["total"]

    def runs_of_each(self):
        by_key = self.cluster.read("service-1", "executions")["by_key"]
        return set(by_key.values())

    def assert_found_later(self, key, before):
        """Check that both entries return the same answer and the order ran once."""
        answers = [self.repeat_until_done(key, entry) for entry in ENTRIES]
        self.assertEqual(answers[0].data, answers[1].data)
        self.assertEqual(before + 1, self.total())
        self.assertEqual({1}, self.runs_of_each())

    def repeat_until_done(self, key, entry):
        def ask():
            response = self.caller.book(key, entry)
            self.assertNotEqual("not-run", outcome(response))
            return response if outcome(response) == "done" else None

        return wait_until(ask, what="the order's answer")

    def test_a_stream_cut_in_the_middle_of_an_order(self):
        before = self.total()
        key = self.caller.ticket()
        self.cluster.control("service-1", "faults", {"delay_ms": 500})
        thread, outcomes = self.caller.book_on_thread(key)
        wait_until(lambda: self.total() == before + 1)
        self.cut()
        thread.join()
        self.assertEqual(["outcome-unknown"], outcomes)
        self.assertEqual("outcome-unknown", outcome(self.caller.book(key, "entry-2")))
        self.remove_faults()
        self.assert_found_later(key, before)

    def test_an_answer_lost_on_a_half_open_stream(self):
        before = self.total()
        key = self.caller.ticket()
        self.cluster.control("service-1", "faults", {"delay_ms": 300})
        thread, outcomes = self.caller.book_on_thread(key, deadline_ms=1_500)
        wait_until(lambda: self.total() == before + 1)
        self.drop_one_direction(towards_entry=True)
        thread.join()
        self.assertEqual(["outcome-unknown"], outcomes)
        self.remove_faults()
        self.assert_found_later(key, before)

    def test_an_order_lost_on_a_half_open_stream(self):
        before = self.total()
        key = self.caller.ticket()
        self.drop_one_direction(towards_entry=False)
        response = self.caller.book(key, deadline_ms=400)
        self.assertEqual("outcome-unknown", outcome(response))
        self.assertEqual(before, self.total())
        self.remove_faults()
        self.assert_found_later(key, before)

    def test_an_order_that_arrives_after_its_deadline_runs_at_most_once(
        self,
    ):
        before = self.total()
        key = self.caller.ticket()
        self.hold(True)
        response = self.caller.book(key, deadline_ms=400)
        self.assertEqual("deadline-after-start", result_name(response))
        self.hold(False)
        # The cancel follows directly after the order and may take effect before the
        # order starts.
        outcomes = {self.final_outcome(key, entry) for entry in ENTRIES}
        self.assertIn(outcomes, ({"done"}, {"not-run"}))
        self.assertEqual(before + (outcomes == {"done"}), self.total())
        self.assertEqual({1}, self.runs_of_each() | {1})

    def final_outcome(self, key, entry):
        """Wait until the outcome of the order is known and return it."""

        def ask():
            found = outcome(self.caller.book(key, entry))
            return found if found != "outcome-unknown" else None

        return wait_until(ask, what="a final outcome")

    def test_a_service_frozen_and_a_repeat_through_another_entry(self):
        before = self.total()
        key = self.caller.ticket()
        self.cluster.control("service-1", "faults", {"freeze": True})
        first = self.caller.book(key, "entry-1", deadline_ms=300)
        again = self.caller.book(key, "entry-2", deadline_ms=300)
        self.assertEqual("deadline-after-start", result_name(first))
        self.assertEqual("in-progress", result_name(again))
        self.cluster.control("service-1", "faults", {"freeze": False})
        self.assert_found_later(key, before)

    def test_an_entry_paused_past_the_deadline_and_resumed(self):
        before = self.total()
        key = self.caller.ticket()
        self.cluster.control("service-1", "faults", {"delay_ms": 300})
        thread, outcomes = self.caller.book_on_thread(key, "entry-1", deadline_ms=600)
        wait_until(lambda: self.total() == before + 1)
        frozen = self.cluster.processes["entry-1"]
        frozen.signal(signal.SIGSTOP)
        try:
            answer = self.repeat_until_done(key, "entry-2")
        finally:
            frozen.signal(signal.SIGCONT)
        thread.join()
        self.assertIn(outcomes[0], ("done", "outcome-unknown"))
        wait_linked(self.cluster)
        self.assert_found_later(key, before)
        self.assertEqual(answer.data, self.repeat_until_done(key, "entry-1").data)


class Load:
    """Callers that send orders and repeat each one until its outcome is final."""

    def __init__(self, cluster, entries=ENTRIES, callers=4):
        self.cluster = cluster
        self.entries = entries
        self.done = 0
        self.unknown = 0
        self.cut = []
        self._lock = threading.Lock()
        self._stopping = False
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(callers)
        ]

    @contextlib.contextmanager
    def running(self):
        for thread in self._threads:
            thread.start()
        try:
            yield
        finally:
            self._stopping = True
            for thread in self._threads:
                thread.join()

    def _run(self, number):
        caller = Caller(self.cluster)
        while not self._stopping:
            entry = self.entries[number % len(self.entries)]
            try:
                self._order(caller, entry)
            except Exception as error:
                with self._lock:
                    self.cut.append(repr(error))

    def _order(self, caller, entry):
        key = caller.ticket(entry)
        response = wait_until(
            lambda: self._final(caller, key, entry), what="a final outcome"
        )
        with self._lock:
            self.done += outcome(response) == "done"
            self.unknown += outcome(response) == "outcome-unknown"

    def _final(self, caller, key, entry):
        """Return the response if its outcome is final, otherwise None."""
        response = caller.book(key, entry)
        is_final = outcome(response) != "outcome-unknown"
        return (
            response if is_final or result_name(response) in UNKNOWN_FOR_GOOD else None
        )


class RollingTests(ProcessTests):
    def assert_nothing_lost(self, load, totals):
        self.assertEqual([], load.cut)
        self.assertGreater(load.done, 0)
        self.assertGreaterEqual(sum(totals), load.done)
        self.assertLessEqual(sum(totals), load.done + load.unknown)

    def test_replacing_agents_in_turn_under_load_loses_no_order(self):
        cluster, caller = self.small(engines=0, services=2)
        load = Load(cluster)
        with load.running():
            for number in (1, 2):
                before = load.done
                wait_until(lambda: load.done > before + 5, what="orders")
                agent = cluster.processes[f"orders-{number}"]
                agent.signal(signal.SIGTERM)
                self.assertEqual(0, agent.wait())
                host_spec = HostSpec(f"orders-{number}", "fd-1", "orders")
                cluster.ready(cluster.agent(host_spec, f"service-{number}", "service"))
                cluster.publish_hosts()
                wait_linked(cluster)
            before = load.done
            wait_until(lambda: load.done > before + 5, what="orders")
        totals = [report["total"] for report in self.executions(cluster, services=2)]
        self.assert_nothing_lost(load, totals)

    def test_a_ticket_issued_just_before_its_home_leaves_is_not_run(self):
        cluster, caller = self.small(engines=0, services=0)
        cluster.ready(cluster.standin("service-1", "service"))
        host_spec = HostSpec("orders-1", "fd-1", "orders")
        cluster.ready(
            cluster.agent(host_spec, "service-1", "service", leave_notice_ms=4_000)
        )
        cluster.publish_hosts()
        wait_linked(cluster)
        key = caller.ticket()
        cluster.processes["orders-1"].signal(signal.SIGTERM)
        wait_until(lambda: "orders-1" not in cluster.links_of("entry-1"))
        self.assertEqual("endpoint-leaving", result_name(caller.book(key)))
        self.assertEqual(0, cluster.processes["orders-1"].wait())
        self.assertEqual(0, self.executions(cluster)[0]["total"])

    def test_replacing_an_entry_under_load_loses_no_order(self):
        cluster, caller = self.small(engines=0, system={"balancer_notice_ms": 300})
        load = Load(cluster, entries=("entry-2",))
        with load.running():
            cluster.control("service-1", "faults", {"delay_ms": 100})
            key = caller.ticket("entry-1")
            total = self.executions(cluster)[0]["total"]
            thread, outcomes = caller.book_on_thread(key, "entry-1")
            wait_until(lambda: self.executions(cluster)[0]["total"] > total)
            entry = cluster.processes["entry-1"]
            entry.signal(signal.SIGTERM)
            thread.join()
            self.assertEqual(["done"], outcomes)
            self.assertEqual(0, entry.wait())
            cluster.ready(cluster.entry(HostSpec("entry-1", "fd-1")))
            cluster.publish_hosts()
            wait_linked(cluster)
            self.assertEqual("done", outcome(caller.book(key, "entry-1")))
        totals = [report["total"] for report in self.executions(cluster)]
        self.assert_nothing_lost(load, [totals[0] - 1])


class FrozenEngineTests(ProcessTests):
    def test_a_draft_of_a_paused_engine_ends_at_its_deadline(self):
        cluster, caller = self.small(engines=1, services=0, engine_arguments=SLOW)
        response = caller.call(
            "POST",
            "/v1/chat/completions",
            headers={"Dotterelplank-Deadline-Ms": "1500"},
            json=chat_body("frozen", tokens=500),
            preload_content=False,
        )
        parts = response.stream()
        data = next(parts)
        engine = cluster.processes["engine-1"]
        engine.signal(signal.SIGSTOP)
        try:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                for part in parts:
                    data += part
        finally:
            engine.signal(signal.SIGCONT)
        self.assertTrue(b'"type": "deadline-after-start"' in data)
        self.assertIsNone(text_of(data))

        def ask_again():
            return text_of(b"".join(caller.stream("again", 3).stream()))

        self.assertEqual(expected_text("again", 3), wait_until(ask_again))


class StopBoundTests(ProcessTests):
    def test_the_stop_bound_of_an_entry_is_reported_to_the_caller(self):
        cluster, caller = self.small(
            engines=2, engine_arguments=SLOW, system={"stop_bound_ms": 300}
        )
        response = caller.stream("cut", tokens=2_000)
        parts = response.stream()
        data = next(parts)
        cluster.processes["entry-1"].signal(signal.SIGTERM)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            for part in parts:
                data += part
        self.assertTrue(b'"type": "stop-bound"' in data)
        self.assertIsNone(text_of(data))
        self.assertEqual(3, cluster.processes["entry-1"].wait())


class CrowdTests(ProcessTests):
    def crowd(self, cluster, count, data):
        """Open connections to an entry that send ``data`` and then nothing."""
        port = cluster.processes["entry-1"].ports["caller_port"]
        for _ in range(count):
            sock = socket.create_connection(("127.0.0.1", port), timeout=20.0)
            self.addCleanup(sock.close)
            sock.sendall(data)

    def test_incomplete_requests_do_not_block_other_callers(self):
        cluster, caller = self.small(
            engines=0, caller_threads=4, refusing_threads=2, read_bound_ms=500
        )
        self.crowd(cluster, 30, b"POST /services/orders/closures HTTP/1.1\r\nHost")
        key = caller.ticket()
        self.assertEqual("done", outcome(caller.book(key)))

    def test_incomplete_bodies_do_not_block_other_callers(self):
        cluster, caller = self.small(
            engines=0, caller_threads=4, refusing_threads=2, read_bound_ms=500
        )
        head = (
            b"POST /services/orders/closures HTTP/1.1\r\nHost: a\r\n"
            b"Dotterelplank-Team: crew\r\nContent-Length: 100\r\n\r\nhalf"
        )
        self.crowd(cluster, 30, head)
        key = caller.ticket()
        self.assertEqual("done", outcome(caller.book(key)))

    def test_a_full_entry_refuses_at_once(self):
        cluster, caller = self.small(
            engines=1, engine_arguments=SLOW, caller_threads=2, refusing_threads=2
        )
        streams = [caller.stream(f"stream {number}") for number in range(2)]
        response = caller.call("GET", "/services/orders/surveys/7")
        self.assertEqual("overloaded", result_name(response))
        self.assertIn("Retry-After", response.headers)
        for number, stream in enumerate(streams):
            data = b"".join(stream.stream())
            self.assertEqual(expected_text(f"stream {number}"), text_of(data))
