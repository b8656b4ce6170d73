"""Calls that arrive while a group of ranks forms anew."""

import asyncio
import random

import testtools
from platform_standin import entry_host
from test_gateway_decisions import at, endpoint, route

from dotterelplank.gateway.admission import group_breaker_key
from dotterelplank.gateway.call_context import CallContext
from dotterelplank.gateway.directory import EndpointChange, GroupKey, GroupPlace
from dotterelplank.gateway.loads import Breaker
from dotterelplank.gateway.openings import LIST_DELAY_MS, REBUILD_MARGIN_RATIO
from dotterelplank.gateway.slots import SlotAllocator
from dotterelplank.gateway.state import EntryState
from dotterelplank.gateway.tables import Limits, RoutingTable, Service

RANKS = 4
SLOTS = 6
REBUILD_MS = 300.0
ALLOWED_MS = REBUILD_MS * REBUILD_MARGIN_RATIO + LIST_DELAY_MS
CALL_MS = 100.0
CALL_INTERVAL_MS = 10.0
DEADLINE_MS = 4_000.0
SLACK_MS = 100.0
GROUP = GroupKey("drafts", "g")


def _ranks(numbers, epoch, is_open):
    return [
        endpoint(
            f"e{number}",
            slots=SLOTS,
            place=GroupPlace("g", epoch, number, RANKS, is_open),
        )
        for number in numbers
    ]


class OpeningsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = EntryState(entry_host(1, "10.0.0.1", 1), random.Random(1))
        services = {"drafts": Service("drafts", 100, None, REBUILD_MS)}
        limits = Limits(1_000, 1_000, 1_000.0, 1_000.0)
        self.state.table = RoutingTable(1, (), services, {}, False, limits)
        self.number = 0

    def _list(self, now_ms, endpoints):
        """Update the list of endpoints, as a reader of the platform's store does."""
        self.number += 1
        for one in endpoints:
            change = EndpointChange(one.id, at(self.number), one)
            self.state.directory.apply(now_ms, change)
        self.state.openings.update(now_ms, self.state.directory)

    def _due_ms(self, now_ms):
        return self.state.openings_due_ms(now_ms, "drafts")

    def test_a_complete_group_opens_within_its_time(self):
        self._list(1_000.0, _ranks(range(RANKS), 1, False))
        self.assertEqual({GROUP: 1_000.0 + ALLOWED_MS}, self._due_ms(1_000.0))
        self._list(1_100.0, _ranks([0], 1, False))
        self.assertEqual({GROUP: 1_000.0 + ALLOWED_MS}, self._due_ms(1_100.0))
        self.assertEqual({}, self._due_ms(1_000.0 + ALLOWED_MS))

    def test_nothing_is_known_of_a_group_that_lacks_a_rank_or_is_open(self):
        self._list(1_000.0, _ranks(range(RANKS - 1), 1, False))
        self.assertEqual({}, self._due_ms(1_000.0))
        self._list(1_000.0, _ranks(range(RANKS), 2, True))
        self.assertEqual({}, self._due_ms(1_000.0))

    def _play(self, ranks, opens_after_ms, deadline_ms=DEADLINE_MS):
        """Play calls of half a second while a group forms.

        :param ranks: number of ranks that are listed.
        :param opens_after_ms: when the group opens; None: it doesn't.
        :return: for each call, whether it got a slot, and how long it waited.
        """

        async def play():
            loop = asyncio.get_running_loop()

            def clock():
                return loop.time() * 1000

            slots = SlotAllocator(self.state, clock, lambda: None)

            async def call():
                now_ms = clock()
                context = CallContext(
                    None, None, None, route(), "drafts", None,
                    now_ms, now_ms + deadline_ms,
                )  # fmt: skip
                found = await slots.acquire(context)
                waited_ms = clock() - now_ms
                if found is not None:
                    await asyncio.sleep(CALL_MS / 1000)
                    slots.release(found)
                return found is not None, waited_ms

            self._list(clock(), _ranks(range(ranks), 1, False))
            key = group_breaker_key(*_ranks([0], 1, False))
            if ranks < RANKS:
                self.state.loads.breakers[key] = Breaker(5, clock() + 10_000.0)
            self.state.loads.record_slot_hold("drafts", CALL_MS)
            if opens_after_ms is not None:
                loop.call_later(
                    opens_after_ms / 1000,
                    lambda: self._list(clock(), _ranks(range(RANKS), 2, True)),
                )
                loop.call_later(opens_after_ms / 1000, slots.admit_waiting)
            calls = []
            for _ in range(50):
                calls.append(loop.create_task(call()))
                await asyncio.sleep(CALL_INTERVAL_MS / 1000)
            return await asyncio.gather(*calls)

        return asyncio.run(play())

    def _assert_refused(self, results, within_ms):
        for is_served, waited_ms in results:
            self.assertFalse(is_served)
            self.assertLess(waited_ms, within_ms)

    def test_calls_wait_for_a_group_that_forms_and_are_all_served(self):
        results = self._play(RANKS, REBUILD_MS)
        self.assertEqual({True}, {is_served for is_served, _ in results})
        for _, waited_ms in results:
            self.assertLess(waited_ms, REBUILD_MS + SLACK_MS)

    def test_calls_are_refused_at_once_while_a_rank_is_missing(self):
        self._assert_refused(self._play(RANKS - 1, None), SLACK_MS)

    def test_calls_arent_held_beyond_the_time_in_which_the_group_should_open(self):
        self._assert_refused(self._play(RANKS, None), ALLOWED_MS + SLACK_MS)

    def test_calls_without_time_for_it_are_refused_at_once(self):
        results = self._play(RANKS, REBUILD_MS, deadline_ms=REBUILD_MS)
        self._assert_refused(results[:10], SLACK_MS)
