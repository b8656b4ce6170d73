import asyncio
import contextlib
import json
import random

import testtools
from platform_standin import (
    StoreStandin,
    configuration,
    entry_host,
    listening,
    run_with_client,
    server_record,
    store_with_a_server,
)

from dotterelplank.errors import UpstreamError
from dotterelplank.gateway import feed, snapshots
from dotterelplank.gateway.directory import (
    MISSING_GRACE_MS,
    Directory,
    Endpoint,
    EndpointChange,
)
from dotterelplank.gateway.feed import Feed
from dotterelplank.gateway.metrics import EntryMetrics
from dotterelplank.gateway.peers import Peers
from dotterelplank.gateway.revisions import Revision
from dotterelplank.gateway.snapshots import NOTHING_KNOWN
from dotterelplank.gateway.state import EntryState
from dotterelplank.platform.store import HistoryGoneError, Item

NOW_MS = 10_000.0
SETTLE_S = 0.3
EXPIRY_S = 0.05
SLACK_S = 0.5
REMOVAL_BOUND_S = (
    (feed.MAX_BACKOFF_MS + feed.MIN_BACKOFF_MS + MISSING_GRACE_MS) / 1000
    + EXPIRY_S
    + SLACK_S
)
"""Time for a call after an outage, a read of all records, and the grace period."""


def _endpoint(name, is_draining=False, started_ms=1):
    return Endpoint(name, "drafts", name, 80, "a", 2, is_draining, started_ms, None)


def _change(name, number, era=1, **fields):
    return EndpointChange(name, Revision(era, number), _endpoint(name, **fields))


class RevisionTests(testtools.TestCase):
    def test_a_lower_number_of_a_higher_era_is_later(self):
        self.assertGreater(Revision(2, 40), Revision(1, 90))
        self.assertLess(Revision(2, 40), Revision(2, 41))


class DirectoryTests(testtools.TestCase):
    """The store comes back from a copy that is some seconds old."""

    def _directory(self):
        found = Directory()
        changes = [_change("e1", 80), _change("e2", 85, is_draining=True)]
        found.replace(NOW_MS, changes, Revision(1, 90), was_stale=False)
        found.apply(NOW_MS, _change("e3", 70))
        found.apply(NOW_MS, EndpointChange("e3", Revision(1, 91), None))
        return found

    def _names(self, found):
        return {endpoint.id for endpoint in found.of_service("drafts")}

    def test_what_was_read_stays_in_use_until_it_is_written_again(self):
        found = self._directory()
        copied = [_change("e2", 30, era=2), _change("e3", 31, era=2)]
        found.restore(NOW_MS, copied, Revision(2, 40))
        # e1 came after the copy was made; e2 drains since and e3 has left since.
        self.assertEqual({"e1"}, self._names(found))
        self.assertEqual([], found.expire(NOW_MS + 1_000, 2_000))

    def test_a_server_that_isnt_written_again_is_removed(self):
        found = self._directory()
        found.restore(NOW_MS, [], Revision(2, 40))
        found.expire(NOW_MS + 2_000, 2_000)
        self.assertEqual(set(), self._names(found))

    def test_a_record_that_is_written_again_is_used(self):
        found = self._directory()
        found.restore(NOW_MS, [_change("e3", 31, era=2)], Revision(2, 40))
        self.assertTrue(found.apply(NOW_MS, _change("e3", 41, era=2)))
        self.assertIn("e3", self._names(found))

    def test_a_restarted_server_doesnt_go_on_draining(self):
        found = self._directory()
        restarted = _change("e2", 41, era=2, started_ms=2)
        found.restore(NOW_MS, [restarted], Revision(2, 41))
        self.assertIn("e2", self._names(found))

    def test_a_late_change_of_the_lower_era_is_ignored(self):
        found = self._directory()
        found.restore(NOW_MS, [_change("e1", 20, era=2)], Revision(2, 40))
        self.assertFalse(
            found.apply(NOW_MS, EndpointChange("e1", Revision(1, 99), None))
        )
        self.assertIn("e1", self._names(found))


class FeedTests(testtools.TestCase):
    """An entry reads a store that comes back older, and hears from its peers."""

    def setUp(self):
        super().setUp()
        self.patch(feed, "RESTORE_SETTLE_MS", 1_000.0)

    def _feed(self, port):
        host = entry_host(1, "127.0.0.1", port)
        self.state = EntryState(host, random.Random(1))

        def clock_ms():
            return asyncio.get_running_loop().time() * 1000

        peers, metrics = Peers(host.ip), EntryMetrics()
        return Feed(self.state, peers, clock_ms, metrics, lambda: None)

    def _run(self, script):
        store = store_with_a_server()

        async def run():
            async with listening(store) as port:
                found = self._feed(port)
                reading = asyncio.gather(found.follow(), self._expire())
                try:
                    await asyncio.sleep(SETTLE_S)
                    await script(store, found)
                finally:
                    reading.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await reading
                    found.close()

        asyncio.run(run())

    async def _expire(self):
        """Remove endpoints whose grace period has passed, as an entry does."""
        while True:
            await asyncio.sleep(EXPIRY_S)
            now_ms = asyncio.get_running_loop().time() * 1000
            self.state.directory.expire(now_ms, self.state.host.bounds.leave_ms)

    def _listed(self):
        return set(self.state.directory.endpoints)

    async def _until_era(self, era):
        await self._until(lambda: self.state.directory.revision.era, era)

    async def _until_listed(self, *names):
        await self._until(self._listed, set(names))

    async def _until(self, read, expected):
        """Wait until a value is as expected, which is due within the bound."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + REMOVAL_BOUND_S
        while read() != expected and loop.time() < deadline_s:
            await asyncio.sleep(EXPIRY_S)
        self.assertEqual(expected, read())

    def test_an_entry_that_watches_goes_on_with_what_it_knows(self):
        async def script(store, _feed):
            copy = store.copy()
            store.put("op/config", configuration(version=5))
            store.put(*server_record("s2"))
            await self._until_listed("s1", "s2")
            store.restore(copy)
            await self._until_era(2)
            self.assertEqual(5, self.state.table.version)
            self.assertEqual({"s1", "s2"}, self._listed())
            store.put("op/config", configuration(version=5))
            store.put(*server_record("s2"))
            store.put(*server_record("s3"))
            await asyncio.sleep(2.0)
            self.assertEqual({"s1", "s2", "s3"}, self._listed())
            self.assertEqual(5, self.state.table.version)

        self._run(script)

    def test_an_entry_notices_a_restore_while_the_store_was_away(self):
        async def script(store, _feed):
            copy = store.copy()
            store.put(*server_record("s2"))
            store.fault = "busy"
            store.changed.set()
            await asyncio.sleep(SETTLE_S)
            store.restore(copy)
            # The numbers are given out again, beyond those of the lower era.
            for number in range(3, 9):
                store.put(*server_record(f"s{number}"))
            store.fault = ""
            await self._until_listed("s1", *(f"s{n}" for n in range(3, 9)))
            self.assertEqual(2, self.state.directory.revision.era)

        self._run(script)

    def test_a_restored_store_is_read_without_the_pause_of_one_that_fails(self):
        self.patch(feed.random, "uniform", lambda _shortest, longest: longest)

        async def script(store, _feed):
            copy = store.copy()
            store.put(*server_record("s2"))
            store.fault = "busy"
            # Calls after 0, 150, 450, 1050 and 2050 ms; the last one tells of it.
            await asyncio.sleep(1.3)
            store.restore(copy)
            store.fault = ""
            await asyncio.sleep(1.3)
            self.assertEqual(2, self.state.directory.revision.era)

        self._run(script)

    def test_two_restores_in_a_row(self):
        async def script(store, _feed):
            copy = store.copy()
            for number in (2, 3):
                store.put(*server_record(f"s{number}"))
                await asyncio.sleep(SETTLE_S)
                store.restore(copy)
                await self._until_era(number)
            store.put(*server_record("s4"))
            await self._until_listed("s1", "s4")
            self.assertEqual(3, self.state.directory.revision.era)

        self._run(script)

    def test_another_table_under_the_same_revision_and_version_comes_into_force(self):
        async def script(store, _feed):
            copy = store.copy()
            store.put("op/config", configuration(version=5))
            await asyncio.sleep(SETTLE_S)
            store.restore(copy)
            store.put("op/config", configuration(version=5, services=("drafts", "new")))
            await asyncio.sleep(2.0)
            self.assertIn("new", self.state.table.services)

        self._run(script)

    def test_a_late_snapshot_of_the_lower_era_changes_no_endpoint(self):
        async def script(store, found):
            late = found.snapshot(NOTHING_KNOWN)
            store.restore(store.copy())
            store.remove("servers/s1")
            await self._until_listed()
            found._apply_snapshot(snapshots.decode(late))
            self.assertEqual(set(), self._listed())
            self.assertEqual(2, self.state.directory.revision.era)

        self._run(script)

    def test_a_peer_with_a_higher_era_is_ahead_and_one_with_a_lower_isnt(self):
        async def script(store, found):
            revision = self.state.directory.revision
            version = self.state.table.version
            ahead = Revision(revision.era + 1, 1)
            behind = Revision(revision.era - 1, 99)
            self.assertTrue(found._is_behind(version, ahead))
            self.assertFalse(found._is_behind(version, behind))

        self._run(script)

    def test_a_store_of_a_lower_era_than_known_isnt_called_without_a_pause(self):
        async def script(store, found):
            data = snapshots.encode(Revision(2, 3), [], is_delta=False, was_stale=False)
            found._apply_snapshot(snapshots.decode(data))
            calls = store.calls
            store.put(*server_record("s2"))
            await asyncio.sleep(1.0)
            self.assertLess(store.calls - calls, 30)
            self.assertEqual(2, self.state.directory.revision.era)

        self._run(script)

    def test_a_snapshot_of_a_peer_in_the_higher_era_is_applied(self):
        async def script(store, found):
            store.fault = "silent"
            item = Item(
                "servers/s7",
                Revision(2, 2),
                json.dumps(server_record("s7")[1]).encode(),
            )
            data = snapshots.encode(
                Revision(2, 3), [item], is_delta=False, was_stale=False
            )
            found._apply_snapshot(snapshots.decode(data))
            self.assertEqual(2, self.state.directory.revision.era)
            self.assertIn("s7", self._listed())

        self._run(script)


class StoreClientTests(testtools.TestCase):
    def _call(self, work):
        async def fill_and_work(store, client):
            store.put(*server_record("s1"))
            store.put(*server_record("s2"))
            return await work(store, client)

        return run_with_client(StoreStandin(page_items=1), fill_and_work)

    def test_a_watch_from_the_lower_era_must_read_all_again(self):
        async def work(store, client):
            store.restore(store.copy())
            for number in range(3, 9):
                store.put(*server_record(f"s{number}"))
            await client.watch("", Revision(1, 4), 100)

        self.assertRaises(HistoryGoneError, self._call, work)

    def test_an_answer_without_a_revision_is_an_error(self):
        async def work(store, client):
            store._answer = lambda exchange, status, body: exchange.respond(
                status, [(b"Store-Era", b"1")], b'{"items": [], "has_more": false}'
            )
            await client.range("")

        self.assertRaises(UpstreamError, self._call, work)

    def test_pages_of_two_eras_are_no_result(self):
        async def work(store, client):
            answer, pages = store._range, []

            def restore_after_a_page(*arguments):
                answer(*arguments)
                if not pages:
                    store.restore(store.copy())
                pages.append(arguments)

            store._range = restore_after_a_page
            await client.range("")

        self.assertRaises(UpstreamError, self._call, work)
