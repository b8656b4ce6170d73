"""Agents on one loop, beside stand-ins of their ranks."""

import asyncio
import contextlib
import socket
import unittest.mock

import testtools
from platform_standin import StoreStandin, configuration, listening, route
from rank_standin import RankServer, engine_of_service, make_passes, store_entry

from dotterelplank.errors import UpstreamError
from dotterelplank.gateway.host import Address, Bounds, HostSettings
from dotterelplank.http1.client import Request, read_body, temporary_connection
from dotterelplank.platform.ranks import RankClient
from dotterelplank.ranks import policy
from dotterelplank.ranks.agent import Agent
from dotterelplank.ranks.views import HoldStep

RANKS = 2
BOUND_S = 15.0


def _configuration():
    found = configuration(routes=[route("s", "/s/", "streaming", gap_target_ms=25)])
    found["services"][0]["engine"] = engine_of_service()
    return found


def _host(ip, peer_port, port, store_port):
    return HostSettings(
        name=f"agent-{ip}",
        ip=ip,
        domain="a",
        caller_address=None,
        health_address=None,
        peer_ports=(peer_port, peer_port),
        seeds=(),
        endpoint=Address(ip, port),
        service="drafts",
        store=Address("127.0.0.1", store_port),
        bounds=Bounds(2_000.0, 2_000.0, 0.2, 10_000.0, 94.0),
        link_mbps=10.0,
    )


def _free_port(ip):
    with socket.socket() as free:
        free.bind((ip, 0))
        return free.getsockname()[1]


async def _read_metrics(place):
    async with temporary_connection(place.ip, place.port, 1.0) as connection:
        headers = [(b"host", str(place).encode())]
        connection.send(Request(b"GET", b"/metrics", headers, b""))
        head = await connection.head()
        return head.status, (await read_body(connection, 1_000_000)).decode()


@contextlib.asynccontextmanager
async def _group(servers):
    """Run the store, the ranks, and an agent for each; give the agents' tasks."""
    store = StoreStandin()
    store.put("op/config", _configuration())
    with socket.socket(type=socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        peer_port = free.getsockname()[1]
    async with contextlib.AsyncExitStack() as stack:
        store_port = await stack.enter_async_context(listening(store))
        tasks = []
        for number, server in enumerate(servers):
            ip = f"127.0.0.{number + 2}"
            port = await stack.enter_async_context(listening(server, ip))
            entry = store_entry(server, "drafts", ip, port)
            store.put(f"servers/i-{number}", entry)
            server.metrics = Address(ip, _free_port(ip))
            host = _host(ip, peer_port, port, store_port)
            agent = Agent(host, server.metrics.port)
            tasks.append(asyncio.create_task(agent.run()))
        passes = asyncio.create_task(make_passes(servers))
        try:
            yield passes
        finally:
            for task in (*tasks, passes):
                task.cancel()
            await asyncio.gather(*tasks, passes, return_exceptions=True)


class RankClientTests(testtools.TestCase):
    """The load: a group that is held until an order is given again."""

    def test_an_order_that_gets_no_answer_is_given_up_before_a_read_would_be(self):
        async def run():
            server = RankServer(0, RANKS)
            server.unanswered = 1
            async with listening(server) as port:
                rank = RankClient(Address("127.0.0.1", port), 60_000.0, 20.0)
                async with asyncio.timeout(BOUND_S):
                    order = HoldStep(1, 5)
                    error = None
                    try:
                        await rank.send_order(order)
                    except UpstreamError as caught:
                        error = caught
                    is_accepted = await rank.send_order(order)
                rank.close()
            return error, is_accepted

        error, is_accepted = asyncio.run(run())
        self.assertIsNotNone(error)
        self.assertTrue(is_accepted)


class AgentTests(testtools.TestCase):
    def _run_until_changed(self, servers):
        async def run():
            async with _group(servers) as passes:
                async with asyncio.timeout(BOUND_S):
                    while not servers[0].version and not passes.done():
                        await asyncio.sleep(0.02)
                if passes.done():
                    passes.result()
                await self._wait_until_counted(servers[0].metrics)

        # The stand-ins count little in a short time.
        with unittest.mock.patch.object(policy, "LEAST_COUNTS_PER_EXPERT", 1.0):
            asyncio.run(run())
        return servers[0].prepared[servers[0].version]

    async def _wait_until_counted(self, place):
        """Wait until the leader's metrics tell of the change."""
        async with asyncio.timeout(BOUND_S):
            while True:
                status, text = await _read_metrics(place)
                self.assertEqual(200, status)
                if 'map_changes_total{outcome="switched"}' in text:
                    break
                await asyncio.sleep(0.02)
        self.assertIn("dotterelplank_map_change_ms_bucket", text)

    def test_agents_move_a_group_to_a_map_for_its_demand(self):
        (layer,) = self._run_until_changed(
            [RankServer(rank, RANKS) for rank in range(RANKS)]
        )
        holders = [rank for rank, row in enumerate(layer) if 0 in row or 2 in row]
        self.assertEqual([0, 1], holders)

    def test_orders_without_an_answer_are_given_again(self):
        servers = [RankServer(rank, RANKS) for rank in range(RANKS)]
        servers[1].unanswered = 2
        self._run_until_changed(servers)
        self.assertEqual(0, servers[1].unanswered)
