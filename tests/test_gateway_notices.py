"""What servers say in answers: that they leave, and that they want a pause.

Guards the users' rules on them: DRAIN and BUDGET.
"""

import asyncio
import contextlib
import dataclasses
import time

import testtools
from entry_process import running_peers
from platform_standin import ServiceStandin, StoreStandin, configuration, listening
from test_gateway_decisions import directory, endpoint

from dotterelplank.gateway.directory import EndpointChange
from dotterelplank.gateway.pauses import MAX_PAUSE_MS, Pauses
from dotterelplank.gateway.revisions import Revision
from dotterelplank.http1.messages import header
from dotterelplank.platform.headers import read_response

IPS = ("127.0.0.1", "127.0.0.2")
PAUSE_S = 1.5
PAUSE_SLACK_S = 0.5
"""Time after a refusal in which calls may still come."""
MAX_IN_PAUSE = 2
MAX_OUTAGE_RETRY_S = 1.0
"""Callers with the deadline of these tests are told less in an outage."""
SIGNED = [(b"x-request-id", b"c1"), (b"x-server-signature", b"s")]


@dataclasses.dataclass
class NoticeServer(ServiceStandin):
    """A server whose answers say what ``notice`` holds.

    :param arrivals: the times at which calls came.
    """

    notice: list = dataclasses.field(default_factory=list)
    arrivals: list = dataclasses.field(default_factory=list)

    async def handle(self, call, exchange):
        """Answer one call; with ``fault`` "refuse", refuse it."""
        self.arrivals.append(time.monotonic())
        call_id = (b"x-request-id", header(call.headers, b"x-request-id"))
        if self.fault == "refuse":
            not_run = (b"x-not-executed", b"1")
            exchange.respond(503, [call_id, not_run, *self.notice], b"")
            return
        proof = (b"x-server-signature", b"s")
        exchange.respond(200, [call_id, proof, *self.notice], b"whole")


class ProcessTests(testtools.TestCase):
    """Two entries that are peers, and two servers."""

    def _run(self, work):
        async def run():
            store = StoreStandin()
            store.put("op/config", configuration())
            async with contextlib.AsyncExitStack() as stack:
                servers = [NoticeServer(f"i-{number}") for number in range(2)]
                for server in servers:
                    server.port = await stack.enter_async_context(listening(server))
                    store.put(f"servers/{server.id}", server.entry(slots=4))
                port = await stack.enter_async_context(listening(store))
                entries = await stack.enter_async_context(running_peers(port, IPS))
                return await work(entries, servers, store)

        return asyncio.run(run())

    async def _call(self, entries, count, gap_s=0.01):
        responses = []
        for number in range(count):
            entry = entries[number % len(entries)]
            call_id = b"c%d" % time.monotonic_ns()
            responses.append(await entry.call(b"/q/x", call_id=call_id, body=b"x"))
            await asyncio.sleep(gap_s)
        return responses

    def test_a_server_that_leaves_gets_no_more_calls_until_it_starts_anew(self):
        async def work(entries, servers, store):
            await self._call(entries, 8)
            servers[0].notice = [(b"server-leaving", b"1")]
            before = len(servers[0].arrivals)
            for _ in range(50):
                await self._call(entries, 1)
                if len(servers[0].arrivals) > before:
                    break
            await asyncio.sleep(0.2)
            told = len(servers[0].arrivals)
            # The other entry knows from its peer; the record still says "ready".
            store.put("servers/i-0", servers[0].entry(slots=4, cold_left_ms=1))
            statuses = {one.status for one in await self._call(entries, 40)}
            left = len(servers[0].arrivals) - told
            servers[0].notice = []
            store.put("servers/i-0", servers[0].entry(slots=4, born=2))
            await asyncio.sleep(0.3)
            await self._call(entries, 20)
            return left, statuses, len(servers[0].arrivals) - told

        left, statuses, anew = self._run(work)
        self.assertEqual((0, {200}), (left, statuses))
        self.assertGreater(anew, 0)

    def test_a_server_that_wants_a_pause_gets_no_calls_meanwhile(self):
        async def work(entries, servers, store):
            await self._call(entries, 8)
            servers[0].fault = "refuse"
            servers[0].notice = [(b"retry-after", b"%.1f" % PAUSE_S)]
            before = len(servers[0].arrivals)
            responses = await self._call(entries, 60, gap_s=0.02)
            return servers[0].arrivals[before:], {one.status for one in responses}

        arrivals, statuses = self._run(work)
        self.assertEqual({200}, statuses)
        begin_s = arrivals[0] + PAUSE_SLACK_S
        in_pause = [at for at in arrivals if begin_s < at < arrivals[0] + PAUSE_S]
        self.assertLessEqual(len(in_pause), MAX_IN_PAUSE)

    def test_callers_get_the_least_time_at_once_if_all_servers_want_a_pause(self):
        async def work(entries, servers, store):
            await self._call(entries, 8)
            for server, pause_s in zip(servers, (b"4.0", b"3.0")):
                server.fault = "refuse"
                server.notice = [(b"retry-after", pause_s)]
            await self._call(entries[:1], 4)
            began = time.monotonic()
            (response,) = await self._call(entries[:1], 1, gap_s=0)
            return response, time.monotonic() - began

        response, took_s = self._run(work)
        self.assertEqual(503, response.status)
        self.assertLess(took_s, 0.2)
        retry_after_s = float(header(response.headers, b"retry-after"))
        self.assertLessEqual(retry_after_s, 3.3)
        self.assertGreater(retry_after_s, MAX_OUTAGE_RETRY_S)


class HeaderTests(testtools.TestCase):
    def _pause_ms(self, value, status=503):
        return read_response(status, [*SIGNED, (b"retry-after", value)]).pause_ms

    def test_a_pause_is_decoded_from_a_refusal_only(self):
        self.assertEqual(4_000.0, self._pause_ms(b"4"))
        self.assertEqual(250.0, self._pause_ms(b"0.25"))
        self.assertIsNone(self._pause_ms(b"4", status=429))
        self.assertIsNone(self._pause_ms(b"4", status=200))

    def test_a_malformed_pause_means_nothing(self):
        date = b"Wed, 21 Oct 2026 07:28:00 GMT"
        for value in (b"", b"-1", b"nan", b"inf", b"1e999", b"soon", date):
            self.assertIsNone(self._pause_ms(value), value)

    def test_only_the_expected_server_can_say_that_it_leaves(self):
        def is_leaving(status, value):
            leaving = (b"server-leaving", value)
            return read_response(status, [*SIGNED, leaving]).is_leaving

        self.assertTrue(is_leaving(200, b"1"))
        self.assertTrue(is_leaving(503, b"1"))
        self.assertFalse(is_leaving(421, b"1"))
        for value in (b"", b"0", b"no", b"-1"):
            self.assertFalse(is_leaving(200, value), value)


class PauseTests(testtools.TestCase):
    def test_a_pause_counts_down_and_a_shorter_one_doesn_t_end_it(self):
        pauses = Pauses()
        self.assertTrue(pauses.record(0.0, "s@1", 4_000.0))
        self.assertFalse(pauses.record(1_000.0, "s@1", 500.0))
        self.assertEqual(3_000.0, pauses.remaining_ms(1_000.0, "s@1"))
        self.assertEqual(0.0, pauses.remaining_ms(1_000.0, "s@2"))
        pauses.expire(4_000.0)
        self.assertEqual({}, pauses.until_ms)

    def test_a_huge_pause_means_nothing(self):
        pauses = Pauses()
        for pause_ms in (MAX_PAUSE_MS + 1.0, 0.0, -1.0):
            self.assertFalse(pauses.record(0.0, "s@1", pause_ms))
        self.assertEqual({}, pauses.until_ms)


class DirectoryTests(testtools.TestCase):
    def test_a_server_that_leaves_stays_so_when_its_record_comes_again(self):
        listed = directory(endpoint("e1"), endpoint("e2"))
        one = listed.endpoints["e1"]
        self.assertTrue(listed.note_leaving(one.incarnation))
        self.assertFalse(listed.note_leaving(one.incarnation))
        listed.apply(1.0, EndpointChange("e1", Revision(9, 9), None))
        listed.apply(2.0, EndpointChange("e1", Revision(9, 10), one))
        names = [found.id for found in listed.of_service(one.service)]
        self.assertEqual(["e2"], names)
        self.assertEqual([one.incarnation], listed.leaving_listed())
        newer = dataclasses.replace(one, started_ms=one.started_ms + 1)
        listed.apply(3.0, EndpointChange("e1", Revision(9, 11), newer))
        names = {found.id for found in listed.of_service(one.service)}
        self.assertEqual({"e1", "e2"}, names)
