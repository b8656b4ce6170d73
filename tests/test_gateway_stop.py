"""Planned stops of an entry whose callers go on using their open connections."""

import asyncio
import contextlib
import dataclasses
import signal

import testtools
from entry_process import is_ready, running_entry, wait_until
from platform_standin import (
    ServiceStandin,
    StoreStandin,
    configuration,
    listening,
    route,
)

from dotterelplank.errors import UpstreamError
from dotterelplank.http1.bodies import read_body
from dotterelplank.http1.client import connect
from dotterelplank.http1.messages import header
from dotterelplank.http1.responses import Request

ROUTE_TIMEOUT_MS = 10_000
DEADLINE_MS = b"8000"
WORK_S = 2.5
"""Longer than what is left of the time for a stop (``grace_s`` 4) after a second."""
GOAL_MS = 5_000
STREAM_EVENTS = 10
LOSS_SLACK_S = 0.2
"""``loss_slack_ms`` of the deployments."""
CLIENTS = 12
PAUSE_S = 0.05


@dataclasses.dataclass
class SlowServer(ServiceStandin):
    """A server that takes ``work_s`` for each call."""

    work_s: float = WORK_S

    async def handle(self, call, exchange):
        """Answer one call."""
        if call.target.startswith(b"/s/"):
            await super().handle(call, exchange)
            return
        call_id = header(call.headers, b"x-request-id")
        self.runs.append(call_id)
        await asyncio.sleep(self.work_s)
        proof = [(b"x-request-id", call_id), (b"x-server-signature", b"s")]
        exchange.respond(200, proof, b"whole")


@dataclasses.dataclass
class Seen:
    """What the callers saw.

    :param statuses: status of each answer, by call.
    :param cut: calls sent in the stop whose connection ended without a whole answer,
        later than LOSS_SLACK_S after they were sent.
    """

    statuses: dict = dataclasses.field(default_factory=dict)
    cut: set = dataclasses.field(default_factory=set)
    signalled_s: float = float("inf")


def _now_s():
    return asyncio.get_running_loop().time()


async def _use_connections(entry, target, name, seen):
    """Make calls one after the other until no connection can be opened any more."""
    number = 0
    connection = None
    while entry.process.returncode is None:
        if connection is None or not connection.is_usable:
            try:
                connection = await connect(entry.ip, entry.port, 1.0)
            except UpstreamError:
                return
        call_id = b"%s-%d" % (name, number)
        number += 1
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", call_id),
            (b"x-deadline-ms", DEADLINE_MS),
            (b"x-api-key", b"key-1"),
        ]
        sent_s = _now_s()
        try:
            connection.send(Request(b"POST", target, headers, b""))
            status = (await connection.head()).status
            await read_body(connection, 1_000_000)
            seen.statuses[call_id] = status
        except UpstreamError:
            # A call that crosses the close of its connection isn't passed on.
            if sent_s > seen.signalled_s and _now_s() - sent_s > LOSS_SLACK_S:
                seen.cut.add(call_id)
        await asyncio.sleep(PAUSE_S)


class StopTests(testtools.TestCase):
    """No call that a stopping entry passes on ends without an answer."""

    def _stop(self, target, work_s=WORK_S):
        """Stop an entry under calls; return what was seen, the runs, and the status."""
        store = StoreStandin()
        kinds = {
            "/u/": route("once", "/u/", "unsafe", max_attempts=1),
            "/s/": route("stream", "/s/", "streaming", resumable=True),
        }
        for found in kinds.values():
            found |= {"timeout_ms": ROUTE_TIMEOUT_MS, "goal_ms": GOAL_MS}
        store.put("op/config", configuration(routes=list(kinds.values())))
        server = SlowServer("i-0", events=STREAM_EVENTS, gap_s=WORK_S / STREAM_EVENTS)
        server.work_s = work_s
        seen = Seen()

        async def run():
            async with contextlib.AsyncExitStack() as stack:
                server.port = await stack.enter_async_context(listening(server))
                store.put("servers/i-0", server.entry(slots=2 * CLIENTS))
                store_port = await stack.enter_async_context(listening(store))
                entry = await stack.enter_async_context(running_entry(store_port))
                await wait_until(lambda: is_ready(entry), what="ready")
                clients = []
                for number in range(CLIENTS):
                    calls = _use_connections(entry, target, b"c%d" % number, seen)
                    clients.append(asyncio.create_task(calls))
                    await asyncio.sleep(WORK_S / CLIENTS)
                await asyncio.sleep(WORK_S)
                seen.signalled_s = _now_s()
                entry.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(6.0):
                    status = await entry.process.wait()
                    await asyncio.gather(*clients)
                return status

        return asyncio.run(run()), seen, server

    def test_no_call_that_may_run_only_once_is_cut(self):
        # Calls that came late in a stop were passed on, and cut at its end.
        status, seen, server = self._stop(b"/u/x")
        self.assertEqual(0, status)
        self.assertEqual(set(), seen.cut)
        self.assertEqual(len(server.runs), len(set(server.runs)))
        refused = {call for call, code in seen.statuses.items() if code == 503}
        self.assertNotEqual(set(), refused)
        self.assertEqual(set(), refused.intersection(server.runs))
        self.assertEqual(set(), {*seen.statuses.values()} - {200, 502, 503})

    def test_a_call_that_runs_on_to_the_end_is_told_that_its_outcome_is_unknown(self):
        _, seen, server = self._stop(b"/u/x", work_s=20.0)
        self.assertEqual(CLIENTS, len(server.runs))
        statuses = [seen.statuses[call] for call in server.runs]
        self.assertIn(502, statuses)
        # The deadline of some passes first.
        self.assertEqual(set(), {*statuses} - {502, 504})

    def test_no_stream_that_begins_in_a_stop_is_cut(self):
        _, seen, _ = self._stop(b"/s/x")
        self.assertEqual(set(), seen.cut)
        self.assertIn(503, seen.statuses.values())
