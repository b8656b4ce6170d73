"""Refusals that a faulty server writes once more on a kept connection."""

import asyncio
import contextlib

import testtools
from entry_process import is_ready, running_entry, wait_until
from platform_standin import ServiceStandin, StoreStandin, configuration, listening
from raw_server import answer, raw_server, refusal

NOT_RUN_STATUSES = {408, 421, 429, 503}


class RepeatedRefusalTests(testtools.TestCase):
    def _run(self, respond, work):
        """Run ``work`` with an entry whose only server is a raw one."""

        async def run():
            store = StoreStandin()
            store.put("op/config", configuration())
            async with contextlib.AsyncExitStack() as stack:
                port = await stack.enter_async_context(raw_server(respond))
                record = {**ServiceStandin("i-0", port=port).entry(), "slots": 1}
                store.put("servers/i-0", record)
                store_port = await stack.enter_async_context(listening(store))
                entry = await stack.enter_async_context(running_entry(store_port))
                await wait_until(lambda: is_ready(entry), what="ready")
                return await work(entry)

        return asyncio.run(run())

    def _second_status(self, respond, second_id):
        """Make a call that is refused, and then another; return the latter's status."""

        async def work(entry):
            first = await entry.call(b"/u/x", call_id=b"a")
            self.assertEqual(503, first.status)
            await asyncio.sleep(0.3)
            return (await entry.call(b"/u/x", call_id=second_id)).status

        return self._run(respond, work)

    def _respond(self, stray_id, runs, *, at_once=True):
        """Refuse the first call; write that once more before the second's answer."""

        async def respond(call, writer):
            if call.number == 0:
                writer.write(refusal(call.id))
                return True
            is_kept = call.connection == 0
            if is_kept and at_once:
                writer.write(refusal(stray_id))
                await writer.drain()
            runs.append(call.id)
            await asyncio.sleep(0.05)
            writer.write(answer(call.id, b"done"))
            return True

        return respond

    def test_a_refusal_of_another_call_is_skipped(self):
        runs = []
        self.assertEqual(200, self._second_status(self._respond(b"a", runs), b"b"))
        self.assertEqual([b"b"], runs)

    def test_a_refusal_without_an_id_is_no_proof_on_a_kept_connection(self):
        runs = []
        status = self._second_status(self._respond(None, runs), b"b")
        self.assertEqual([b"b"], runs)
        self.assertNotIn(status, NOT_RUN_STATUSES)

    def test_a_refusal_of_the_same_call_is_not_met_again(self):
        runs = []
        status = self._second_status(self._respond(b"a", runs), b"a")
        self.assertEqual(([b"a"], 200), (runs, status))

    def test_a_refusal_written_twice_at_once_ends_the_connection(self):
        runs = []

        async def respond(call, writer):
            if call.number == 0:
                writer.write(refusal(call.id) * 2)
                return True
            self.assertNotEqual(0, call.connection)
            runs.append(call.id)
            writer.write(answer(call.id, b"done"))
            return True

        self.assertEqual(200, self._second_status(respond, b"b"))
        self.assertEqual([b"b"], runs)
