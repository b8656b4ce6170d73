"""Limits that servers name on the requests from all entries together."""

import asyncio
import contextlib
import random

import testtools
from entry_process import running_peers
from platform_standin import ServiceStandin, StoreStandin, configuration, listening
from test_gateway_decisions import directory, endpoint

from dotterelplank.gateway import admission
from dotterelplank.gateway.concurrency import ConcurrencyLimits
from dotterelplank.gateway.limit_shares import MIN_STALE_MS, LimitShares
from dotterelplank.gateway.loads import Loads
from dotterelplank.gateway.server_limits import (
    ENDED_LIMIT_TTL_MS,
    NO_LIMIT,
    ServerLimits,
)
from dotterelplank.platform.headers import read_response

IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
SERVER = "s1@1"
WINDOW_MS = 4_000.0
NAMES = tuple(f"entry-{number}" for number in range(9))


def allowed(per_s):
    """Return the requests that a server may get in WINDOW_MS, by the users' rule."""
    return 1.5 * per_s * WINDOW_MS / 1000 + 5


def most_in_window(times_ms):
    """Return the largest number of times within WINDOW_MS."""
    times_ms = sorted(times_ms)
    return max(
        (
            sum(begin_ms <= time_ms < begin_ms + WINDOW_MS for time_ms in times_ms)
            for begin_ms in times_ms
        ),
        default=0,
    )


class ShareTests(testtools.TestCase):
    def _sends(self, per_s, views, *, end_ms=20_000.0, calls_per_s=40.0):
        """Return the times at which entries that always have calls send.

        :param views: called with an entry's name and the time; returns the names of
            the entries that it takes for alive, or None while it stands still.
        """
        draws = random.Random(7)
        limits, turns = ServerLimits(), {name: LimitShares() for name in NAMES}
        limits.record_answer(0.0, SERVER, per_s)
        now_ms, sends = 0.0, []
        while now_ms < end_ms:
            now_ms += draws.expovariate(calls_per_s) * 1000
            name = draws.choice(NAMES)
            alive = views(name, now_ms)
            if alive is None:
                continue
            wait_ms = turns[name].wait_ms(now_ms, SERVER, limits, name, alive)
            if not wait_ms:
                turns[name].record_send(now_ms, SERVER)
                limits.record_answer(now_ms, SERVER, per_s)
                sends.append(now_ms)
        return sends

    def test_all_entries_together_keep_the_limit(self):
        for per_s in (0.1, 0.5, 1.0, 1.1, 2.7, 5.0, 12.0, 30.0):
            sends = self._sends(per_s, lambda name, now_ms: NAMES)
            self.assertLessEqual(most_in_window(sends), allowed(per_s), per_s)
            self.assertGreater(len(sends), 20 * per_s * 0.4, per_s)

    def test_it_is_kept_while_entries_come_and_go_and_views_differ(self):
        def view(name, now_ms):
            gone = NAMES[int(now_ms / 2_000) % len(NAMES)]
            if name == gone:
                return None
            # Each entry notices at a time of its own.
            is_late = now_ms % 2_000 < 150 * NAMES.index(name)
            return [one for one in NAMES if is_late or one != gone]

        for per_s in (0.5, 1.0, 2.7, 9.0):
            sends = self._sends(per_s, view, end_ms=60_000.0)
            self.assertLessEqual(most_in_window(sends), allowed(per_s), per_s)

    def test_every_entry_takes_a_share_if_the_holders_send_nothing(self):
        limits, turns = ServerLimits(), LimitShares()
        limits.record_answer(0.0, SERVER, 1.0)
        waits_ms = {
            turns.wait_ms(MIN_STALE_MS + 1.0, SERVER, limits, name, NAMES)
            for name in NAMES
        }
        self.assertEqual({9_000.0}, waits_ms)


class KnowledgeTests(testtools.TestCase):
    def test_peers_learn_of_a_limit_and_of_its_end(self):
        here, there = ServerLimits(), ServerLimits()
        here.record_answer(100.0, SERVER, 1.5)
        self.assertEqual([SERVER], there.merge(110.0, here.reports(110.0)))
        self.assertEqual([], there.merge(120.0, here.reports(120.0)))
        there.record_answer(200.0, SERVER, None)
        self.assertEqual([SERVER], here.merge(210.0, there.reports(210.0)))
        self.assertEqual(NO_LIMIT, here.limits[SERVER].per_s)

    def test_an_older_answer_does_not_end_a_limit(self):
        here, there = ServerLimits(), ServerLimits()
        there.record_answer(90.0, SERVER, 2.0)
        there.record_answer(100.0, SERVER, None)
        here.record_answer(150.0, SERVER, 2.0)
        here.merge(160.0, there.reports(160.0))
        self.assertEqual(2.0, here.limits[SERVER].per_s)

    def test_ended_limits_and_those_of_unlisted_servers_are_forgotten(self):
        limits = ServerLimits()
        limits.record_answer(0.0, SERVER, 1.0)
        limits.record_answer(0.0, "s2@1", 1.0)
        limits.record_answer(1.0, SERVER, None)
        limits.expire(ENDED_LIMIT_TTL_MS + 2.0)
        self.assertEqual(["s2@1"], list(limits.limits))
        limits.keep_only(())
        self.assertEqual({}, limits.limits)

    def test_the_limit_is_read_from_the_header(self):
        for text, per_s in ((b"1.1", 1.1), (b"0", 0.0), (b"nan", None), (b"x", None)):
            found = read_response(200, [(b"server-limit", text)])
            self.assertEqual(per_s, found.limit_per_s)


class ChooseTests(testtools.TestCase):
    def _choose(self, limit_waits_ms):
        found = directory(endpoint("e1"), endpoint("e2"))
        call = admission.SlotRequest("drafts", frozenset(), 0.0)
        return admission.choose(
            1.0,
            call,
            found,
            Loads(),
            "a",
            0,
            ConcurrencyLimits(),
            limit_waits_ms=limit_waits_ms,
        )

    def test_calls_go_elsewhere_while_it_is_not_an_entrys_turn(self):
        self.assertEqual("e2", self._choose({"e1": 500.0}).endpoint.id)

    def test_the_wait_is_known_if_all_endpoints_limit_their_requests(self):
        decision = self._choose({"e1": 500.0, "e2": float("inf")})
        self.assertEqual(admission.AtCapacity(500.0), decision)


class LimitedServer(ServiceStandin):
    """A server that names a limit and notes when its requests arrive."""

    limit = b"1.5"

    def __init__(self, name):
        super().__init__(name)
        self.arrivals_ms = []

    async def handle(self, call, exchange):
        """Answer one call, with the limit."""
        self.arrivals_ms.append(asyncio.get_running_loop().time() * 1000)
        respond = exchange.respond
        exchange.respond = lambda status, headers, body: respond(
            status, [*headers, (b"server-limit", self.limit)], body
        )
        await super().handle(call, exchange)


class LimitTests(testtools.TestCase):
    def test_a_server_gets_no_more_requests_than_it_named_from_all_entries(self):
        async def run():
            store = StoreStandin()
            store.put("op/config", configuration())
            limited, other = LimitedServer("i-0"), ServiceStandin("i-1")
            async with contextlib.AsyncExitStack() as stack:
                for server in (limited, other):
                    server.port = await stack.enter_async_context(listening(server))
                    store.put(f"servers/{server.id}", server.entry(slots=20))
                store_port = await stack.enter_async_context(listening(store))
                entries = await stack.enter_async_context(
                    running_peers(store_port, IPS)
                )
                statuses = await self._call_often(entries)
            return limited.arrivals_ms, statuses

        arrivals_ms, statuses = asyncio.run(run())
        self.assertEqual({200}, set(statuses))
        told_ms = arrivals_ms[0] + 500.0
        late_ms = [time_ms for time_ms in arrivals_ms if time_ms > told_ms]
        limit_per_s = float(LimitedServer.limit)
        self.assertLessEqual(most_in_window(late_ms), allowed(limit_per_s))
        self.assertGreater(len(late_ms), 0)

    async def _call_often(self, entries):
        """Make calls at each entry for some seconds; return their statuses."""
        statuses = []
        for number in range(150):
            entry = entries[number % len(entries)]
            response = await entry.call(b"/q/x", call_id=b"%d" % number)
            statuses.append(response.status)
            await asyncio.sleep(0.04)
        return statuses
