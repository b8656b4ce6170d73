"""Calls that reach an entry while it starts wait for its first read of the store."""

import asyncio
import contextlib

import testtools
from entry_process import running_entry, wait_until
from platform_standin import ServiceStandin, StoreStandin, configuration, listening

from dotterelplank.gateway.forwarder import MAX_FIRST_READ_WAIT_MS

SLACK_S = 0.5
CALLS = 10


class GatedStore(StoreStandin):
    """A store that answers no call until its gate opens."""

    def __init__(self):
        super().__init__()
        self.gate = asyncio.Event()

    async def handle(self, call, exchange):
        await self.gate.wait()
        await super().handle(call, exchange)


class StartTests(testtools.TestCase):
    def _run(self, script):
        """Run ``script`` with a store and an entry that has just begun to listen."""

        async def run():
            store, server = GatedStore(), ServiceStandin("i-0")
            store.put("op/config", configuration())
            async with contextlib.AsyncExitStack() as stack:
                server.port = await stack.enter_async_context(listening(server))
                store.put("servers/i-0", server.entry(slots=CALLS))
                store_port = await stack.enter_async_context(listening(store))
                entry = await stack.enter_async_context(running_entry(store_port))
                await wait_until(lambda: _is_listening(entry), what="listening")
                return await script(store, entry)

        return asyncio.run(run())

    def _call_then(self, change, deadline_ms=2_000):
        """Make calls at once and a change 100 ms later; return statuses and seconds."""

        async def script(store, entry):
            began_s = asyncio.get_running_loop().time()
            calls = [
                asyncio.create_task(
                    entry.call(b"/q/x", call_id=b"%d" % n, deadline_ms=deadline_ms)
                )
                for n in range(CALLS)
            ]
            await asyncio.sleep(0.1)
            change(store)
            responses = await asyncio.gather(*calls)
            spent_s = asyncio.get_running_loop().time() - began_s
            return {response.status for response in responses}, spent_s

        return self._run(script)

    def test_they_are_served_once_the_table_is_known(self):
        statuses, _ = self._call_then(lambda store: store.gate.set())
        self.assertEqual({200}, statuses)

    def test_they_are_refused_as_soon_as_the_store_fails(self):
        def fail(store):
            store.fault = "busy"
            store.gate.set()

        statuses, spent_s = self._call_then(fail)
        self.assertEqual({503}, statuses)
        self.assertLess(spent_s, MAX_FIRST_READ_WAIT_MS / 1000)

    def test_they_are_refused_when_the_store_stays_silent(self):
        statuses, spent_s = self._call_then(lambda store: None)
        self.assertEqual({503}, statuses)
        self.assertLess(spent_s, MAX_FIRST_READ_WAIT_MS / 1000 + SLACK_S)


async def _is_listening(entry):
    return await entry.health() == 503
