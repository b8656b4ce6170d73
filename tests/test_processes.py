"""Tests of guarantees with real processes that are killed, paused or stopped."""

import contextlib
import json
import signal
import threading

import testtools
import urllib3
from processes import (
    CONFIGURATION,
    HostSpec,
    pool,
    start_small,
    system,
    wait_linked,
    wait_until,
)

from dotterelplank.daemons import sse
from dotterelplank.standins.tokens import expected_tokens

TOKENS = 40
SLOW = ("--settings", json.dumps({"base_step_ms": 20.0}))
BOOK = "/services/orders/closures"


class Caller:
    """A caller that sends requests to an entry."""

    def __init__(self, cluster, entry="entry-1", team="crew"):
        self.cluster = cluster
        self.entry = entry
        self.headers = {"Dotterelplank-Team": team}

    def call(self, method, path, entry=None, headers=None, **fields):
        url = self.cluster.caller_url(entry or self.entry) + path
        return pool.request(
            method, url, headers={**self.headers, **(headers or {})}, **fields
        )

    def ticket(self, entry=None):
        def ask():
            response = self.call("POST", BOOK, entry, json={"lane": 2})
            return response.headers.get("Idempotency-Key")

        return wait_until(ask, what="a ticket")

    def book(self, key, entry=None, deadline_ms=5_000):
        headers = {
            "Idempotency-Key": key,
            "Dotterelplank-Deadline-Ms": str(deadline_ms),
        }
        return self.call("POST", BOOK, entry, headers, json={"lane": 2})

    def book_on_thread(self, key, entry=None, deadline_ms=5_000):
        """Send an order on a thread; the connection may fail during the call."""
        outcomes = []

        def run():
            try:
                outcomes.append(outcome(self.book(key, entry, deadline_ms)))
            except Exception as error:
                outcomes.append(type(error).__name__)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread, outcomes

    def stream(self, prompt, tokens=TOKENS):
        body = chat_body(prompt, tokens)
        return self.call(
            "POST", "/v1/chat/completions", json=body, preload_content=False
        )


def chat_body(prompt, tokens=TOKENS):
    return {
        "model": "drafting",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
    }


def expected_text(prompt, tokens=TOKENS):
    messages = [{"role": "user", "content": prompt}]
    return "".join(expected_tokens("drafting", messages, tokens))


def text_of(data):
    """Return the text of a stream, or None if the stream is incomplete."""
    text = ""
    for payload in sse.events(data):
        if payload == b"[DONE]":
            return text
        value = json.loads(payload)
        if "choices" in value:
            text += value["choices"][0]["delta"].get("content", "")
    return None


def outcome(response):
    return response.headers["Dotterelplank-Outcome"]


def result_name(response):
    return response.headers["Dotterelplank-Result"].split()[1]


class ProcessTests(testtools.TestCase):
    def small(self, **fields):
        context = system(**fields.pop("system", {}))
        cluster = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        start_small(cluster, **fields)
        return cluster, Caller(cluster)

    def executions(self, cluster, services=1):
        return [
            cluster.read(f"service-{number}", "executions")
            for number in range(1, services + 1)
        ]

    def assert_at_most_once(self, cluster, keys, done):
        """Check that each ticket ran at most once and at least ``done`` of them ran."""
        total = sum(report["total"] for report in self.executions(cluster))
        self.assertLessEqual(total, keys)
        self.assertGreaterEqual(total, done)
        for report in self.executions(cluster):
            self.assertTrue(all(count == 1 for count in report["by_key"].values()))


class AtMostOnceTests(ProcessTests):
    def test_an_entry_killed_during_an_order_and_a_repeat_through_another(self):
        cluster, caller = self.small()
        cluster.control("service-1", "faults", {"delay_ms": 600})
        key = caller.ticket()
        thread, outcomes = caller.book_on_thread(key, "entry-1")
        wait_until(lambda: self.executions(cluster)[0]["total"] == 1)
        cluster.processes["entry-1"].kill()
        thread.join(20)
        self.assertNotIn("not-run", outcomes)
        answer = wait_until(
            lambda: _done(caller.book(key, "entry-2")), what="the order's answer"
        )
        self.assertEqual("done", outcome(answer))
        self.assert_at_most_once(cluster, keys=1, done=1)

    def test_an_agent_killed_during_an_order_and_replaced(self):
        cluster, caller = self.small()
        cluster.control("service-1", "faults", {"delay_ms": 600})
        key = caller.ticket()
        thread, outcomes = caller.book_on_thread(key)
        wait_until(lambda: self.executions(cluster)[0]["total"] == 1)
        cluster.processes["orders-1"].kill()
        thread.join(20)
        self.assertEqual(["outcome-unknown"], outcomes)
        host_spec = cluster.hosts["orders-1"][0]
        cluster.ready(cluster.agent(host_spec, "service-1", "service"))
        cluster.publish_hosts()
        cluster.control("service-1", "faults", {"delay_ms": 0})
        wait_linked(cluster)
        repeat = caller.book(key, "entry-2")
        self.assertEqual("ticket-of-earlier-incarnation", result_name(repeat))
        fresh = caller.book(caller.ticket())
        self.assertEqual("done", outcome(fresh))
        self.assert_at_most_once(cluster, keys=2, done=2)

    def test_an_agent_paused_past_the_deadline_and_resumed(self):
        cluster, caller = self.small()
        key = caller.ticket()
        cluster.processes["orders-1"].signal(signal.SIGSTOP)
        late = caller.book(key, deadline_ms=400)
        self.assertEqual("outcome-unknown", outcome(late))
        cluster.processes["orders-1"].signal(signal.SIGCONT)
        answer = wait_until(
            lambda: _done(caller.book(key, "entry-2")), what="an answer"
        )
        self.assertEqual("done", outcome(answer))
        again = caller.book(key, "entry-1")
        self.assertEqual(answer.data, again.data)
        self.assert_at_most_once(cluster, keys=1, done=1)

    def test_a_host_list_that_drops_the_home_does_not_move_the_order(self):
        cluster, caller = self.small(services=2)
        key = caller.ticket()
        first = caller.book(key)
        self.assertEqual("done", outcome(first))
        cluster.publish_hosts(without=("orders-1",))
        wait_until(lambda: cluster.status("entry-2")["host_list_version"] >= 2)
        second = caller.book(key, "entry-2")
        self.assertEqual(first.data, second.data)
        cluster.publish_hosts(without=("orders-2",))
        wait_until(lambda: cluster.status("entry-2")["host_list_version"] >= 3)
        self.assertEqual(first.data, caller.book(key, "entry-2").data)
        totals = [report["total"] for report in self.executions(cluster, services=2)]
        self.assertEqual(1, sum(totals))


def _done(response):
    return response if outcome(response) == "done" else None


class StreamTests(ProcessTests):
    def test_a_stream_continues_on_another_engine_after_a_kill(self):
        cluster, caller = self.small(engine_arguments=SLOW)
        response = caller.stream("killed engine")
        parts = response.stream()
        data = next(parts)
        for number in (1, 2):
            load = cluster.url(f"engine-{number}") + "/v1/load"
            if pool.request("GET", load).json()["running"]:
                cluster.processes[f"engine-{number}"].kill()
        data += b"".join(parts)
        self.assertEqual(expected_text("killed engine"), text_of(data))

    def test_a_stream_continues_on_another_agent_after_a_kill(self):
        cluster, caller = self.small(engine_arguments=SLOW)
        response = caller.stream("killed agent")
        parts = response.stream()
        data = next(parts)
        for host in cluster.status("entry-1")["hosts"]:
            if host["own_in_flight"]:
                cluster.processes[host["host"]].kill()
        data += b"".join(parts)
        self.assertEqual(expected_text("killed agent"), text_of(data))

    def test_a_stream_continues_on_another_agent_after_a_freeze(self):
        cluster, caller = self.small(engine_arguments=SLOW)
        response = caller.stream("frozen agent")
        parts = response.stream()
        data = next(parts)
        for host in cluster.status("entry-1")["hosts"]:
            if host["own_in_flight"]:
                cluster.processes[host["host"]].signal(signal.SIGSTOP)
        data += b"".join(parts)
        self.assertEqual(expected_text("frozen agent"), text_of(data))


class GracefulStopTests(ProcessTests):
    def start_streams(self, caller, count=6):
        return [caller.stream(f"stream {number}") for number in range(count)]

    def assert_all_complete(self, responses):
        for number, response in enumerate(responses):
            data = b"".join(response.stream())
            self.assertEqual(expected_text(f"stream {number}"), text_of(data))

    def test_an_agent_that_stops_cuts_no_stream_and_gets_no_new_work(self):
        cluster, caller = self.small(engine_arguments=SLOW)
        responses = self.start_streams(caller)
        agent = cluster.processes["drafting-1"]
        agent.signal(signal.SIGTERM)
        agent.signal(signal.SIGTERM)
        agent.signal(signal.SIGINT)
        wait_until(lambda: "drafting-1" not in cluster.links_of("entry-1"))
        before = cluster.read("engine-1", "executions")
        late = b"".join(caller.stream("late").stream())
        self.assertEqual(expected_text("late"), text_of(late), late)
        self.assertEqual(before, cluster.read("engine-1", "executions"))
        self.assert_all_complete(responses)
        self.assertEqual(0, agent.wait())

    def test_an_entry_that_stops_fails_its_health_check_and_cuts_no_stream(self):
        cluster, caller = self.small(
            engine_arguments=SLOW, system={"balancer_notice_ms": 100}
        )
        responses = self.start_streams(caller)
        entry = cluster.processes["entry-1"]
        entry.signal(signal.SIGTERM)
        wait_until(lambda: cluster.health("entry-1") == 503)
        entry.signal(signal.SIGTERM)
        self.assert_all_complete(responses)
        self.assertEqual(0, entry.wait())

    def test_the_stop_bound_of_an_agent_is_reported_to_the_caller(self):
        cluster, caller = self.small(
            engine_arguments=SLOW, engines=1, system={"stop_bound_ms": 300}
        )
        response = caller.stream("cut", tokens=2_000)
        parts = response.stream()
        data = next(parts)
        cluster.processes["drafting-1"].signal(signal.SIGTERM)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            for part in parts:
                data += part
        self.assertIn(b'"outcome": "outcome-unknown"', data)
        self.assertIsNone(text_of(data))
        self.assertEqual(3, cluster.processes["drafting-1"].wait())
        events = [line.get("name") for line in cluster.events("drafting-1")]
        self.assertIn("stop-bound-reached", events)


class PlatformTests(ProcessTests):
    def test_requests_are_served_while_the_platform_is_down(self):
        cluster, caller = self.small()
        cluster.processes["platform"].kill()
        self.assertEqual("done", outcome(caller.book(caller.ticket())))
        data = b"".join(caller.stream("no platform").stream())
        self.assertEqual(expected_text("no platform"), text_of(data))

    def test_a_restarted_entry_does_not_fall_back_to_a_stale_revision(self):
        cluster, caller = self.small()
        newer = json.loads(json.dumps(CONFIGURATION))
        newer["team_classes"][0]["teams"].append("added")
        cluster.control("platform", "configuration", {"text": json.dumps(newer)})
        for entry in ("entry-1", "entry-2"):
            wait_until(lambda: cluster.status(entry)["configuration_revision"] == 2)
        cluster.control("platform", "faults", {"serve_revision": 1})
        cluster.processes["entry-1"].kill()
        cluster.ready(cluster.entry(HostSpec("entry-1", "fd-1"), join_alone_ms=0))
        cluster.publish_hosts()
        revision = wait_until(
            lambda: cluster.status("entry-1")["configuration_revision"]
        )
        self.assertEqual(2, revision)

    def test_a_new_agent_joins_by_its_seeds_while_the_platform_is_down(self):
        cluster, caller = self.small()
        cluster.processes["platform"].kill()
        port = cluster.processes["entry-1"].ports["peer_port"]
        cluster.ready(cluster.standin("service-9", "service"))
        cluster.ready(
            cluster.agent(
                HostSpec("orders-9", "fd-1", "orders"),
                "service-9",
                "service",
                seed_peers=[f"127.0.0.1:{port}"],
            )
        )
        revision = wait_until(
            lambda: cluster.status("orders-9")["configuration_revision"]
        )
        self.assertEqual(1, revision)

    def test_a_host_listed_as_leaving_gets_no_new_requests(self):
        cluster, caller = self.small()
        cluster.publish_hosts(leaving=("drafting-1",))
        wait_until(lambda: "drafting-1" not in cluster.links_of("entry-1"))
        before = cluster.read("engine-1", "executions")
        for number in range(5):
            data = b"".join(caller.stream(f"after {number}", 3).stream())
            self.assertEqual(expected_text(f"after {number}", 3), text_of(data))
        self.assertEqual(before, cluster.read("engine-1", "executions"))
