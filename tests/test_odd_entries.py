"""Odd entries that another writer leaves among the servers' records in the store."""

import asyncio
import contextlib
import json
import random

import testtools
from platform_standin import (
    configuration,
    entry_host,
    listening,
    run_with_client,
    server_record,
    store_with_a_server,
)
from test_platform import SERVER, SETTINGS

from dotterelplank.datagram_codec import Codec
from dotterelplank.errors import (
    InputError,
    ProtocolError,
    SettingsError,
    UpstreamError,
)
from dotterelplank.gateway.feed import Feed
from dotterelplank.gateway.metrics import EntryMetrics
from dotterelplank.gateway.peers import Heartbeat, Peers
from dotterelplank.gateway.revisions import Revision
from dotterelplank.gateway.snapshots import NOTHING_KNOWN
from dotterelplank.gateway.state import EntryState
from dotterelplank.http1.client import connect
from dotterelplank.http1.messages import keep_alive_ms
from dotterelplank.platform import headers, members, ranks, records, settings

REVISION = Revision(1, 7)
GROUP = {"name": "g", "epoch": 1, "rank": 1, "state": "open"}
DEEP = 100_000
HUGE = 10**30
ODD_FIELDS = (
    {"address": "10.0.0.1:8²"},
    {"address": "10.0.0.1:" + "9" * 5_000},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:-1"},
    {"address": "ü..x:80"},
    {"address": "a" * 300 + ":80"},
    {"address": "10.0.0\x00.1:80"},
    {"address": "10.0.0.256:80"},
    {"slots": HUGE},
    {"slots": 2**63 - 1},
    {"born": HUGE},
    {"born": -1},
    {"size": HUGE, "group": GROUP},
    {"size": 2**40, "group": GROUP},
    {"group": {**GROUP, "epoch": HUGE}},
    {"group": {**GROUP, "rank": HUGE}},
    {"group": {**GROUP, "rank": 7}, "size": 4},
    {"group": {**GROUP, "name": "x" * 10_000}},
    {"service": "x" * 10_000},
    {"zone": ["a"]},
)
ODD_VALUES = (
    *(json.dumps({**SERVER, **fields}).encode() for fields in ODD_FIELDS),
    b"[" * DEEP + b"]" * DEEP,
    b'{"group":' * DEEP + b"1" + b"}" * DEEP,
    b'{"slots":' + b"9" * DEEP + b"}",
    b"\xff\x00",
    b"null",
    b"",
)
ODD_KEYS = ("servers/", "servers/a b", "servers/ü", "servers/a\r\nb: c")


class ParseTests(testtools.TestCase):
    def test_an_odd_entry_is_an_input_error(self):
        for value in ODD_VALUES:
            with testtools.ExpectedException(InputError):
                records.parse_server("servers/i-1", REVISION, value)

    def test_a_key_that_fits_no_header_is_an_input_error(self):
        value = json.dumps(SERVER).encode()
        for key in ODD_KEYS:
            with testtools.ExpectedException(InputError):
                records.parse_server(key, REVISION, value)

    def test_an_odd_number_in_the_table_is_an_input_error(self):
        for fields in ({"version": HUGE}, {"version": -1}):
            text = json.dumps({**configuration(), **fields}).encode()
            self.assertRaises(InputError, records.parse_configuration, text)
        text = json.dumps(configuration()).replace("15000", "1e999").encode()
        self.assertRaises(InputError, records.parse_configuration, text)

    def test_odd_settings_name_their_path(self):
        for fields in (
            {"platform": {"address": "10.0.0.1:8²"}},
            {"platform": {"address": "store:80"}},
            {"seed_nodes": ["ü..x:1"]},
        ):
            text = json.dumps({**SETTINGS, **fields})
            self.assertRaises(SettingsError, settings.parse, text)

    def test_an_odd_number_from_a_rank_is_invalid(self):
        report = {"group": GROUP, "size": 4, "step": 1, "map": 0}
        ranks.parse_report(json.dumps(report).encode())
        for fields in ({"step": HUGE}, {"map": HUGE}, {"size": HUGE}):
            with testtools.ExpectedException(UpstreamError):
                ranks.parse_report(json.dumps({**report, **fields}).encode())

    def test_a_deeply_nested_message_of_a_peer_is_a_protocol_error(self):
        codec = Codec("f", Heartbeat)
        for data in (b"\x91" * DEEP + b"\x01", b"\xc7\x05\xff\x00\x00\x00\x00\x00"):
            with testtools.ExpectedException(ProtocolError):
                codec.decode(data)


class HeaderTests(testtools.TestCase):
    def test_a_number_of_too_many_digits_counts_as_none(self):
        number = b"9" * 5_000
        call = headers.read_call(
            [(b"x-request-id", b"a"), (b"x-token-count", number + b"," + number)]
        )
        self.assertEqual((0, 0), (call.prompt_tokens, call.answer_tokens))
        self.assertIsNone(keep_alive_ms([(b"keep-alive", b"timeout=" + number)]))


class FollowTests(testtools.TestCase):
    def test_an_entry_follows_the_list_beside_odd_entries(self):
        store = store_with_a_server()

        async def run():
            async with listening(store) as port:
                state = EntryState(entry_host(1, "10.0.0.1", port), random.Random(1))
                feed = Feed(
                    state, Peers("10.0.0.1"), _now_ms, EntryMetrics(), lambda: None
                )
                task = asyncio.create_task(feed.follow())
                await asyncio.sleep(0.2)
                for number, value in enumerate(ODD_VALUES):
                    store.put(f"servers/odd-{number}", value)
                for key in ODD_KEYS:
                    store.put(key, SERVER)
                store.put(*server_record("s2"))
                await asyncio.sleep(0.5)
                is_following = not task.done()
                # A peer gets the same list.
                feed.snapshot(NOTHING_KNOWN)
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                feed.close()
                return is_following, set(state.directory.endpoints)

        self.assertEqual((True, {"s1", "s2"}), asyncio.run(run()))

    def test_an_agent_reads_its_members_beside_odd_entries(self):
        async def work(store, client):
            for number, value in enumerate(ODD_VALUES):
                store.put(f"servers/odd-{number}", value)
            store.put("servers/i-1", {**SERVER, "address": "10.0.0.7:80"})
            return await members.read_members(client, "drafts")

        found = run_with_client(store_with_a_server(), work)
        self.assertIn("10.0.0.7", found.groups)

    def test_an_address_that_cant_be_connected_to_is_an_upstream_error(self):
        for ip, port in (("ü..x", 80), ("a" * 300, 80), ("a\x00b", 80), ("::", HUGE)):

            async def run(ip=ip, port=port):
                await connect(ip, port, 0.5)

            with testtools.ExpectedException(UpstreamError):
                asyncio.run(run())


def _now_ms():
    return asyncio.get_running_loop().time() * 1000
