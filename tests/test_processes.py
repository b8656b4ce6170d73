"""Promises of the brief, held by real processes that are killed, frozen and cut."""

import contextlib
import json
import signal
import threading

import testtools
import urllib3
from processes import (
    CONFIGURATION,
    Place,
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
    """Calls an entry and keeps what it was told."""

    def __init__(self, made, entry="entry-1", team="crew"):
        self.made = made
        self.entry = entry
        self.headers = {"Dotterelplank-Team": team}

    def call(self, method, path, entry=None, headers=None, **fields):
        url = self.made.caller_url(entry or self.entry) + path
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
        """Start to book; the connection may be cut under it."""
        told = []

        def run():
            try:
                told.append(outcome(self.book(key, entry, deadline_ms)))
            except Exception as error:
                told.append(type(error).__name__)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread, told

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


def wanted(prompt, tokens=TOKENS):
    messages = [{"role": "user", "content": prompt}]
    return "".join(expected_tokens("drafting", messages, tokens))


def text_of(data):
    """Return a stream's text; None unless it came to its end."""
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
        made = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        start_small(made, **fields)
        return made, Caller(made)

    def executions(self, made, services=1):
        return [
            made.read(f"service-{number}", "executions")
            for number in range(1, services + 1)
        ]

    def assert_at_most_once(self, made, keys, done):
        """Check that ``keys`` tickets ran at most once each, and ``done`` at least."""
        total = sum(report["total"] for report in self.executions(made))
        self.assertLessEqual(total, keys)
        self.assertGreaterEqual(total, done)
        for report in self.executions(made):
            self.assertTrue(all(count == 1 for count in report["by_key"].values()))


class AtMostOnceTests(ProcessTests):
    def test_an_entry_killed_midway_and_a_repeat_through_another(self):
        made, caller = self.small()
        made.control("service-1", "faults", {"delay_ms": 600})
        key = caller.ticket()
        thread, told = caller.book_on_thread(key, "entry-1")
        wait_until(lambda: self.executions(made)[0]["total"] == 1)
        made.processes["entry-1"].kill()
        thread.join(20)
        self.assertNotIn("not-run", told)
        answer = wait_until(
            lambda: _done(caller.book(key, "entry-2")), what="the order's answer"
        )
        self.assertEqual("done", outcome(answer))
        self.assert_at_most_once(made, keys=1, done=1)

    def test_an_agent_killed_midway_and_replaced_without_memory(self):
        made, caller = self.small()
        made.control("service-1", "faults", {"delay_ms": 600})
        key = caller.ticket()
        thread, told = caller.book_on_thread(key)
        wait_until(lambda: self.executions(made)[0]["total"] == 1)
        made.processes["orders-1"].kill()
        thread.join(20)
        self.assertEqual(["outcome-unknown"], told)
        place = made.places["orders-1"][0]
        made.ready(made.agent(place, "service-1", "service"))
        made.publish_hosts()
        made.control("service-1", "faults", {"delay_ms": 0})
        wait_linked(made)
        repeat = caller.book(key, "entry-2")
        self.assertEqual("ticket-of-earlier-incarnation", result_name(repeat))
        fresh = caller.book(caller.ticket())
        self.assertEqual("done", outcome(fresh))
        self.assert_at_most_once(made, keys=2, done=2)

    def test_an_agent_frozen_over_the_deadline_and_woken(self):
        made, caller = self.small()
        key = caller.ticket()
        made.processes["orders-1"].signal(signal.SIGSTOP)
        late = caller.book(key, deadline_ms=400)
        self.assertEqual("outcome-unknown", outcome(late))
        made.processes["orders-1"].signal(signal.SIGCONT)
        answer = wait_until(
            lambda: _done(caller.book(key, "entry-2")), what="an answer"
        )
        self.assertEqual("done", outcome(answer))
        again = caller.book(key, "entry-1")
        self.assertEqual(answer.data, again.data)
        self.assert_at_most_once(made, keys=1, done=1)

    def test_a_host_list_that_drops_the_home_does_not_move_the_order(self):
        made, caller = self.small(services=2)
        key = caller.ticket()
        first = caller.book(key)
        self.assertEqual("done", outcome(first))
        made.publish_hosts(without=("orders-1",))
        wait_until(lambda: made.status("entry-2")["host_list_version"] >= 2)
        second = caller.book(key, "entry-2")
        self.assertEqual(first.data, second.data)
        made.publish_hosts(without=("orders-2",))
        wait_until(lambda: made.status("entry-2")["host_list_version"] >= 3)
        self.assertEqual(first.data, caller.book(key, "entry-2").data)
        totals = [report["total"] for report in self.executions(made, services=2)]
        self.assertEqual(1, sum(totals))


def _done(response):
    return response if outcome(response) == "done" else None


class StreamTests(ProcessTests):
    def test_an_engine_killed_midway_and_the_stream_goes_on_elsewhere(self):
        made, caller = self.small(engine_arguments=SLOW)
        response = caller.stream("killed engine")
        pieces = response.stream()
        data = next(pieces)
        for number in (1, 2):
            load = made.url(f"engine-{number}") + "/v1/load"
            if pool.request("GET", load).json()["running"]:
                made.processes[f"engine-{number}"].kill()
        data += b"".join(pieces)
        self.assertEqual(wanted("killed engine"), text_of(data))

    def test_an_agent_killed_midway_and_the_stream_goes_on_elsewhere(self):
        made, caller = self.small(engine_arguments=SLOW)
        response = caller.stream("killed agent")
        pieces = response.stream()
        data = next(pieces)
        for host in made.status("entry-1")["hosts"]:
            if host["own_in_flight"]:
                made.processes[host["host"]].kill()
        data += b"".join(pieces)
        self.assertEqual(wanted("killed agent"), text_of(data))

    def test_an_agent_frozen_midway_and_the_stream_goes_on_elsewhere(self):
        made, caller = self.small(engine_arguments=SLOW)
        response = caller.stream("frozen agent")
        pieces = response.stream()
        data = next(pieces)
        for host in made.status("entry-1")["hosts"]:
            if host["own_in_flight"]:
                made.processes[host["host"]].signal(signal.SIGSTOP)
        data += b"".join(pieces)
        self.assertEqual(wanted("frozen agent"), text_of(data))


class GracefulStopTests(ProcessTests):
    def start_streams(self, caller, count=6):
        return [caller.stream(f"stream {number}") for number in range(count)]

    def assert_all_whole(self, responses):
        for number, response in enumerate(responses):
            data = b"".join(response.stream())
            self.assertEqual(wanted(f"stream {number}"), text_of(data))

    def test_an_agent_that_stops_cuts_no_stream_and_gets_no_new_work(self):
        made, caller = self.small(engine_arguments=SLOW)
        responses = self.start_streams(caller)
        agent = made.processes["drafting-1"]
        agent.signal(signal.SIGTERM)
        agent.signal(signal.SIGTERM)
        agent.signal(signal.SIGINT)
        wait_until(lambda: "drafting-1" not in made.links_of("entry-1"))
        before = made.read("engine-1", "executions")
        late = b"".join(caller.stream("late").stream())
        self.assertEqual(wanted("late"), text_of(late), late)
        self.assertEqual(before, made.read("engine-1", "executions"))
        self.assert_all_whole(responses)
        self.assertEqual(0, agent.wait())

    def test_an_entry_that_stops_fails_its_health_check_and_cuts_no_stream(self):
        made, caller = self.small(
            engine_arguments=SLOW, system={"balancer_notice_ms": 100}
        )
        responses = self.start_streams(caller)
        entry = made.processes["entry-1"]
        entry.signal(signal.SIGTERM)
        wait_until(lambda: made.health("entry-1") == 503)
        entry.signal(signal.SIGTERM)
        self.assert_all_whole(responses)
        self.assertEqual(0, entry.wait())

    def test_the_bound_on_a_stop_is_told_to_the_caller(self):
        made, caller = self.small(
            engine_arguments=SLOW, engines=1, system={"stop_bound_ms": 300}
        )
        response = caller.stream("cut", tokens=2_000)
        pieces = response.stream()
        data = next(pieces)
        made.processes["drafting-1"].signal(signal.SIGTERM)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            for piece in pieces:
                data += piece
        self.assertIn(b'"outcome": "outcome-unknown"', data)
        self.assertIsNone(text_of(data))
        self.assertEqual(3, made.processes["drafting-1"].wait())
        events = [line.get("name") for line in made.events("drafting-1")]
        self.assertIn("stop-bound-reached", events)


class PlatformTests(ProcessTests):
    def test_work_goes_on_while_the_platform_is_gone(self):
        made, caller = self.small()
        made.processes["platform"].kill()
        self.assertEqual("done", outcome(caller.book(caller.ticket())))
        data = b"".join(caller.stream("no platform").stream())
        self.assertEqual(wanted("no platform"), text_of(data))

    def test_a_restarted_entry_does_not_fall_back_to_a_stale_revision(self):
        made, caller = self.small()
        newer = json.loads(json.dumps(CONFIGURATION))
        newer["team_classes"][0]["teams"].append("added")
        made.control("platform", "configuration", {"text": json.dumps(newer)})
        for entry in ("entry-1", "entry-2"):
            wait_until(lambda: made.status(entry)["configuration_revision"] == 2)
        made.control("platform", "faults", {"serve_revision": 1})
        made.processes["entry-1"].kill()
        made.ready(made.entry(Place("entry-1", "fd-1"), join_alone_ms=0))
        made.publish_hosts()
        revision = wait_until(lambda: made.status("entry-1")["configuration_revision"])
        self.assertEqual(2, revision)

    def test_a_new_agent_joins_by_its_seeds_while_the_platform_is_gone(self):
        made, caller = self.small()
        made.processes["platform"].kill()
        port = made.processes["entry-1"].ports["peer_port"]
        made.ready(made.standin("service-9", "service"))
        made.ready(
            made.agent(
                Place("orders-9", "fd-1", "orders"),
                "service-9",
                "service",
                seed_peers=[f"127.0.0.1:{port}"],
            )
        )
        revision = wait_until(lambda: made.status("orders-9")["configuration_revision"])
        self.assertEqual(1, revision)

    def test_a_host_that_the_list_calls_leaving_gets_no_new_work(self):
        made, caller = self.small()
        made.publish_hosts(leaving=("drafting-1",))
        wait_until(lambda: "drafting-1" not in made.links_of("entry-1"))
        before = made.read("engine-1", "executions")
        for number in range(5):
            data = b"".join(caller.stream(f"after {number}", 3).stream())
            self.assertEqual(wanted(f"after {number}", 3), text_of(data))
        self.assertEqual(before, made.read("engine-1", "executions"))
