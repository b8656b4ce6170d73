import asyncio
import contextlib
import random

import testtools
from platform_standin import (
    configuration,
    entry_host,
    listening,
    server_record,
    store_with_a_server,
)

from dotterelplank.gateway import snapshots
from dotterelplank.gateway.feed import Feed
from dotterelplank.gateway.metrics import EntryMetrics
from dotterelplank.gateway.peers import Heartbeat, Peers
from dotterelplank.gateway.revisions import Revision
from dotterelplank.gateway.snapshots import (
    NOTHING_KNOWN,
    KnownRecords,
    TableOrder,
    parse_known,
)
from dotterelplank.gateway.state import EntryState

HEARTBEAT_S = 0.05
PROPAGATION_S = 0.8
LEAVE_S = 2.0
"""The bound of the hosts of these tests on servers that leave (``drain_ms``)."""


class _Entry:
    """The feed of one entry, which hears the heartbeats of the others."""

    def __init__(self, number, port):
        ip = f"10.0.0.{number}"
        self.host = entry_host(number, ip, port)
        self.state = EntryState(self.host, random.Random(number))
        self.peers = Peers(ip)
        self.feed = Feed(self.state, self.peers, _now_ms, EntryMetrics(), lambda: None)
        self.number = number
        self.sent = 0
        self.task = None

    def start(self):
        self.task = asyncio.create_task(self.feed.follow())

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        self.feed.close()

    def listed(self):
        return set(self.state.directory.endpoints)

    def heartbeat(self):
        self.sent += 1
        table = self.state.table
        return Heartbeat(
            self.host.name, self.host.ip, "a", self.number, self.sent,
            0 if table is None else table.version, self.state.directory.revision,
            {}, {}, [], self.feed.is_reading, False, self.feed.age_ms(_now_ms()),
        )  # fmt: skip

    def hear(self, heartbeat):
        if self.peers.on_heartbeat(_now_ms(), heartbeat):
            self.feed.on_heartbeat(_now_ms(), heartbeat)


class _Gate:
    """The store as one entry reaches it."""

    def __init__(self, store):
        self.store = store
        self.is_silent = False

    async def handle(self, call, exchange):
        if self.is_silent:
            await asyncio.sleep(3_600)
        await self.store.handle(call, _GatedExchange(self, exchange))


class _GatedExchange:
    def __init__(self, gate, exchange):
        self.gate = gate
        self.exchange = exchange

    def respond(self, status, headers, body):
        if not self.gate.is_silent:
            self.exchange.respond(status, headers, body)


def _now_ms():
    return asyncio.get_running_loop().time() * 1000


class FleetTests(testtools.TestCase):
    """Five entries of one domain share what few of them read from the store."""

    def setUp(self):
        super().setUp()
        self.entries = {}
        self.gates = {}
        self.fetched = 0

        async def fetch(address, known):
            self.fetched += 1
            return self.entries[address.ip].feed.snapshot(known)

        self.patch(snapshots, "fetch", fetch)

    async def _exchange_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for entry in self.entries.values():
                heartbeat = entry.heartbeat()
                for other in self.entries.values():
                    if other is not entry:
                        other.hear(heartbeat)
                entry.peers.expire(_now_ms())
                entry.state.directory.expire(_now_ms(), 2_000.0)

    def _run(self, script):
        store = store_with_a_server()

        async def run():
            async with contextlib.AsyncExitStack() as stack:
                for number in range(1, 6):
                    gate = self.gates[number] = _Gate(store)
                    port = await stack.enter_async_context(listening(gate))
                    entry = _Entry(number, port)
                    self.entries[entry.host.ip] = entry
                    entry.start()
                exchange = asyncio.create_task(self._exchange_heartbeats())
                try:
                    await asyncio.sleep(PROPAGATION_S)
                    await script(store)
                finally:
                    exchange.cancel()
                    for entry in self.entries.values():
                        await entry.stop()

        asyncio.run(run())

    def _reading(self):
        return [
            entry.number for entry in self.entries.values() if entry.feed.is_reading
        ]

    def test_two_entries_read_the_store_and_all_know_each_change(self):
        async def script(store):
            # The watches of the entries that all read at the start end with a change.
            store.put(*server_record("s2"))
            await asyncio.sleep(PROPAGATION_S)
            self.assertEqual([1, 2], self._reading())
            calls = store.calls
            store.put(*server_record("s3"))
            store.put("op/config", configuration(version=5))
            store.remove("servers/s1")
            await asyncio.sleep(PROPAGATION_S)
            for entry in self.entries.values():
                self.assertEqual({"s2", "s3"}, entry.listed())
                self.assertEqual(5, entry.state.table.version)
            self.assertLessEqual(store.calls - calls, 2 * 4)

        self._run(script)

    def test_another_entry_reads_once_a_reader_is_gone(self):
        async def script(store):
            store.put(*server_record("s2"))
            await asyncio.sleep(PROPAGATION_S)
            for ip in ("10.0.0.1", "10.0.0.2"):
                await self.entries.pop(ip).stop()
            await asyncio.sleep(2.5)
            self.assertEqual([3, 4], self._reading())
            store.put(*server_record("s3"))
            await asyncio.sleep(PROPAGATION_S)
            for entry in self.entries.values():
                self.assertEqual({"s1", "s2", "s3"}, entry.listed())

        self._run(script)

    def _known_after_s(self, silent):
        """Return how long entries in touch take to know that a server drains.

        :param silent: the entries that get no answer from the store since shortly
            before.
        """

        async def is_known():
            return all(
                entry.state.directory.endpoints["s2"].is_draining
                for entry in self.entries.values()
                if entry.number not in silent
            )

        async def script(store):
            key, record = server_record("s2")
            store.put(key, record)
            await asyncio.sleep(0.1)
            for number in silent:
                self.gates[number].is_silent = True
            await asyncio.sleep(0.1)
            store.put(key, {**record, "state": "draining"})
            began_ms = _now_ms()
            while not await is_known():
                await asyncio.sleep(0.01)
            self.took_s = (_now_ms() - began_ms) / 1000

        self._run(script)
        return self.took_s

    def test_a_drain_is_known_in_time_if_the_readers_get_no_answers(self):
        # Review case 3: entries in touch relied on readers that the store left alone.
        for silent in ((1, 2), (1, 2, 3, 4), (2, 5)):
            self.assertLess(self._known_after_s(silent), LEAVE_S, silent)

    def test_a_server_that_lapses_after_an_outage_is_removed_everywhere(self):
        async def script(store):
            store.fault = "busy"
            store.changed.set()
            await asyncio.sleep(PROPAGATION_S)
            store.fault = ""
            store.remove("servers/s1")
            await asyncio.sleep(4.5)
            for entry in self.entries.values():
                self.assertEqual(set(), entry.listed())

        self._run(script)

    def test_a_restored_store_with_another_table_of_the_same_version(self):
        async def script(store):
            copy = store.copy()
            store.put("op/config", configuration(version=5))
            await asyncio.sleep(PROPAGATION_S)
            store.restore(copy)
            await asyncio.sleep(PROPAGATION_S)
            services = ("drafts", "new")
            store.put("op/config", configuration(version=5, services=services))
            await asyncio.sleep(PROPAGATION_S)
            for entry in self.entries.values():
                self.assertIn("new", entry.state.table.services, entry.number)

        self._run(script)

    def test_a_peer_gets_only_what_it_lacks(self):
        async def script(store):
            for number in range(2, 20):
                store.put(*server_record(f"s{number}"))
            await asyncio.sleep(PROPAGATION_S)
            one = self.entries["10.0.0.1"].feed
            known = one._known()
            self.assertLess(
                len(one.snapshot(known)), len(one.snapshot(NOTHING_KNOWN)) / 5
            )

        self._run(script)


class SnapshotTests(testtools.TestCase):
    def test_an_invalid_snapshot_is_refused(self):
        whole = snapshots.encode(Revision(1, 2), [], is_delta=True, was_stale=False)
        self.assertTrue(snapshots.decode(whole).is_delta)
        for data in (b"", b"plain", whole[:-3]):
            self.assertRaises(ValueError, snapshots.decode, data)


class KnownRecordsTests(testtools.TestCase):
    def test_what_a_peer_knows_is_decoded(self):
        known = KnownRecords(TableOrder(7, 1), Revision(2, 40))
        self.assertEqual(known, parse_known(b"7,1,2,40"))

    def test_an_invalid_query_asks_for_everything(self):
        for query in (b"", b"7", b"a,b,c,d", b"1,2,3", b"1,2,3,4,5"):
            self.assertEqual(NOTHING_KNOWN, parse_known(query))
