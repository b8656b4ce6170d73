"""Tests of a real entry process with stand-ins for the store and the servers."""

import asyncio
import contextlib
import dataclasses
import json
import signal

import testtools
from entry_process import free_ports, is_ready, running_entry, wait_until
from platform_standin import (
    ServiceStandin,
    StoreStandin,
    configuration,
    listening,
    route,
)

from dotterelplank.http1.messages import header

SYNC_S = 2.0
"""``config_sync_ms`` of the deployments."""


class PathTests(testtools.TestCase):
    def _run(self, work, *faults):
        """Run ``work`` with an entry, the store, and a server for each fault.

        :param work: called with the entry, the store and the servers.
        :param faults: the fault that each server shows; empty: none.
        """

        async def run():
            store = StoreStandin()
            store.put("op/config", configuration())
            servers = [ServiceStandin(f"i-{n}", fault=f) for n, f in enumerate(faults)]
            async with contextlib.AsyncExitStack() as stack:
                for server in servers:
                    server.port = await stack.enter_async_context(listening(server))
                    store.put(f"servers/{server.id}", server.entry())
                store_port = await stack.enter_async_context(listening(store))
                entry = await stack.enter_async_context(running_entry(store_port))
                await wait_until(lambda: is_ready(entry), what="ready")
                return await work(entry, store, *servers)

        return asyncio.run(run())

    def test_calls_and_streams_are_forwarded_and_logged(self):
        async def work(entry, store, server):
            whole = await entry.call(b"/u/x?y=1", body=b"abc", call_id=b"c1")
            stream = await entry.call(b"/s/x", call_id=b"c2")
            await asyncio.sleep(0.3)
            return whole, stream, server.seen[0], entry.events("request-ended")

        whole, stream, seen, lines = self._run(work, "")
        self.assertEqual((200, b"whole abc"), (whole.status, whole.body))
        self.assertEqual(b"s", header(whole.headers, b"x-server-signature"))
        self.assertEqual(4, stream.body.count(b"data:"))
        self.assertEqual(b"/u/x?y=1", seen.target)
        self.assertEqual(b"crew", header(seen.headers, b"x-tenant"))
        self.assertIsNone(header(seen.headers, b"x-api-key"))
        self.assertEqual(["c1", "c2"], [line["request"] for line in lines])

    def test_unknown_routes_and_keys_are_refused(self):
        async def work(entry, store, server):
            missing = await entry.call(b"/none/x")
            unknown = await entry.call(b"/q/x", key=b"key-9")
            return missing.status, unknown.status, len(server.seen)

        self.assertEqual((404, 401, 0), self._run(work, ""))

    def test_a_stream_that_is_cut_is_resumed_at_another_server(self):
        async def work(entry, store, *servers):
            responses = [await entry.call(b"/s/x", call_id=b"%d" % n) for n in range(3)]
            return [response.body for response in responses]

        whole = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5))
        for body in self._run(work, "cut", ""):
            self.assertEqual(whole, body)

    def test_a_call_that_may_run_once_runs_once_and_gets_a_bad_gateway(self):
        async def work(entry, store, *servers):
            response = await entry.call(b"/u/x")
            return response.status, [run for server in servers for run in server.runs]

        self.assertEqual((502, [b"c1"]), self._run(work, "mute", "mute"))

    def test_a_refused_call_that_may_run_once_goes_to_another_server(self):
        async def work(entry, store, *servers):
            responses = [await entry.call(b"/u/x", call_id=b"%d" % n) for n in range(2)]
            runs = [run for server in servers for run in server.runs]
            return [response.status for response in responses], runs

        statuses, runs = self._run(work, "refuse", "")
        self.assertEqual(sorted(runs), sorted(set(runs)))
        for status in statuses:
            self.assertIn(status, (200, 503))

    def test_a_success_without_a_signature_is_not_passed_on(self):
        async def work(entry, store, server):
            return (await entry.call(b"/u/x")).status

        self.assertEqual(502, self._run(work, "unproved"))

    def test_an_error_response_of_the_server_is_passed_on_unchanged(self):
        async def work(entry, store, server):
            response = await entry.call(b"/u/x")
            return response.status, response.body

        self.assertEqual((500, b"failed"), self._run(work, "fail"))

    def test_an_error_response_is_passed_on_after_the_last_retry(self):
        async def work(entry, store, *servers):
            responses = [await entry.call(b"/q/x", call_id=b"%d" % n) for n in range(3)]
            return {(response.status, response.body) for response in responses}

        self.assertEqual({(500, b"failed")}, self._run(work, "fail", "fail"))

    def test_an_error_response_is_passed_on_if_the_retry_gets_no_response(self):
        async def work(entry, store, *servers):
            response = await entry.call(b"/q/x")
            return response.status, response.body

        self.assertEqual((500, b"failed"), self._run(work, "fail", "mute"))

    def test_a_refusal_without_a_signature_is_not_passed_on(self):
        async def work(entry, store, server):
            return (await entry.call(b"/u/x")).status

        self.assertEqual(502, self._run(work, "promise"))

    def _call_twice_with_a_stalled_server(self, target):
        async def work(entry, store, *servers):
            calls = [entry.call(target, call_id=b"%d" % n) for n in range(2)]
            responses = await asyncio.gather(*calls)
            await asyncio.sleep(0.3)
            return [one.body for one in responses], entry.events("endpoint-silent")

        return self._run(work, "stall", "")

    def test_a_stream_at_a_stalled_server_is_resumed_at_another(self):
        bodies, lines = self._call_twice_with_a_stalled_server(b"/s/x")
        whole = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5))
        self.assertEqual([whole, whole], bodies)
        self.assertEqual([True], [line["is_moved"] for line in lines])

    def test_a_call_without_a_response_is_sent_to_another_server(self):
        bodies, lines = self._call_twice_with_a_stalled_server(b"/q/x")
        self.assertEqual([b"whole ", b"whole "], bodies)
        self.assertEqual([True], [line["is_moved"] for line in lines])

    def test_a_caller_disconnect_cancels_the_upstream_call(self):
        async def work(entry, store, server):
            server.gap_s, server.events = 0.2, 50
            call = asyncio.create_task(entry.call(b"/s/x"))
            await asyncio.sleep(0.4)
            call.cancel()
            await asyncio.sleep(0.5)
            return server.was_abandoned

        self.assertTrue(self._run(work, ""))

    def test_a_newer_configuration_is_applied_and_an_invalid_one_is_not(self):
        async def work(entry, store, server):
            store.put("op/config", b"no configuration")
            await asyncio.sleep(0.2)
            before = (await entry.call(b"/q/x")).status
            newer = configuration(version=9)
            newer["routes"] = newer["routes"][:2]
            store.put("op/config", newer)
            await asyncio.sleep(0.5)
            after = (await entry.call(b"/q/x")).status
            return before, after, len(entry.events("table-refused"))

        self.assertEqual((200, 404, 1), self._run(work, ""))

    def test_a_draining_server_gets_no_more_calls(self):
        async def work(entry, store, server):
            store.put("servers/i-0", server.entry(state="draining"))
            await asyncio.sleep(0.4)
            response = await entry.call(b"/u/x")
            return response.status, header(response.headers, b"retry-after") is not None

        self.assertEqual((503, True), self._run(work, ""))

    def test_a_stopping_entry_lets_a_stream_finish(self):
        async def work(entry, store, server):
            server.gap_s, server.events = 0.2, 6
            call = asyncio.create_task(entry.call(b"/s/x"))
            await asyncio.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            health = await entry.health()
            response = await call
            code = await entry.process.wait()
            return health, response.body.count(b"data:"), code

        self.assertEqual((503, 6, 0), self._run(work, ""))

    def test_invalid_settings_leave_the_earlier_ones_in_force(self):
        async def work(entry, store, server):
            entry.path.write_text("{")
            entry.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.4)
            response = await entry.call(b"/u/x")
            return response.status, len(entry.events("settings-refused")) > 0

        self.assertEqual((200, True), self._run(work, ""))

    def test_changed_settings_move_the_stores_client(self):
        # Review case 4: entries went on calling the old address for good.
        async def work(entry, store, server):
            moved = dataclasses.replace(
                store, values=dict(store.values), log=list(store.log)
            )
            kept = route("safe", "/q/", "safe")
            async with listening(moved) as port:
                settings = json.loads(entry.path.read_text())
                settings["platform"]["address"] = f"127.0.0.1:{port}"
                entry.path.write_text(json.dumps(settings))
                entry.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                store.fault = "busy"
                moved.put("op/config", configuration(version=9, routes=[kept]))
                await asyncio.sleep(SYNC_S)
                return (await entry.call(b"/u/x")).status

        self.assertEqual(404, self._run(work, ""))

    def test_an_entry_without_the_platform_gets_a_snapshot_from_a_peer(self):
        async def run():
            store, disconnected = StoreStandin(), StoreStandin(fault="busy")
            store.put("op/config", configuration())
            server = ServiceStandin("i-0")
            async with contextlib.AsyncExitStack() as stack:
                server.port = await stack.enter_async_context(listening(server))
                store.put("servers/i-0", server.entry())
                ports = [
                    await stack.enter_async_context(listening(one))
                    for one in (store, disconnected)
                ]
                (peer_port,) = free_ports("127.0.0.1", 1)
                first = await stack.enter_async_context(
                    running_entry(ports[0], "127.0.0.1", peer_port)
                )
                other = await stack.enter_async_context(
                    running_entry(ports[1], "127.0.0.2", peer_port, ["127.0.0.1"])
                )
                for entry in (first, other):
                    await wait_until(lambda one=entry: is_ready(one), what="ready")
                return (await other.call(b"/u/x")).status

        self.assertEqual(200, asyncio.run(run()))

    def test_an_entry_without_a_configuration_refuses_calls_and_isnt_ready(self):
        async def run():
            async with contextlib.AsyncExitStack() as stack:
                store = StoreStandin(fault="busy")
                port = await stack.enter_async_context(listening(store))
                entry = await stack.enter_async_context(running_entry(port))

                async def is_not_ready():
                    return await entry.health() == 503

                await wait_until(is_not_ready, what="health")
                return (await entry.call(b"/u/x")).status

        self.assertEqual(503, asyncio.run(run()))
