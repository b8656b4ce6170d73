"""Tests of agents that run on one event loop with stand-ins for their ranks."""

import asyncio
import contextlib
import socket
import unittest.mock

import testtools
from platform_standin import StoreStandin, configuration, listening, route
from rank_standin import RankServer, engine_of_service, make_passes, store_entry

from dotterelplank.errors import UpstreamError
from dotterelplank.gateway.host import Address, Bounds, HostSettings
from dotterelplank.http1.bodies import read_body
from dotterelplank.http1.client import temporary_connection
from dotterelplank.http1.responses import Request
from dotterelplank.platform.ranks import RankClient
from dotterelplank.ranks import policy
from dotterelplank.ranks.agent import Agent
from dotterelplank.ranks.views import HoldStep

RANKS = 2
TIMEOUT_S = 15.0


def _configuration():
    config = configuration(routes=[route("s", "/s/", "streaming", gap_target_ms=25)])
    config["services"][0]["engine"] = engine_of_service()
    return config


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


async def _read_metrics(address):
    async with temporary_connection(address.ip, address.port, 1.0) as connection:
        headers = [(b"host", str(address).encode())]
        connection.send(Request(b"GET", b"/metrics", headers, b""))
        head = await connection.head()
        return head.status, (await read_body(connection, 1_000_000)).decode()


@contextlib.asynccontextmanager
async def _group(servers):
    """Run the store, the ranks and their agents; yield the task that makes passes."""
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
    """Guards against a group that stays held because an order times out late.

    An unanswered order is sent again only after its timeout.
    """

    def test_an_unanswered_order_times_out_before_a_read_would(self):
        async def run():
            server = RankServer(0, RANKS)
            server.unanswered = 1
            async with listening(server) as port:
                rank = RankClient(Address("127.0.0.1", port), 60_000.0, 20.0)
                async with asyncio.timeout(TIMEOUT_S):
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
                async with asyncio.timeout(TIMEOUT_S):
                    while not servers[0].version and not passes.done():
                        await asyncio.sleep(0.02)
                if passes.done():
                    passes.result()
                await self._await_change_count(servers[0].metrics)

        # The stand-ins' counts stay small within the time of a test.
        with unittest.mock.patch.object(policy, "LEAST_COUNTS_PER_EXPERT", 1.0):
            asyncio.run(run())
        return servers[0].prepared[servers[0].version]

    async def _await_change_count(self, address):
        """Wait until the leader's metrics count the change."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                status, text = await _read_metrics(address)
                self.assertEqual(200, status)
                if 'map_changes_total{outcome="switched"}' in text:
                    break
                await asyncio.sleep(0.02)
        self.assertIn("dotterelplank_map_change_ms_bucket", text)

    def test_agents_switch_a_group_to_a_map_that_balances_its_demand(self):
        (layer,) = self._run_until_changed(
            [RankServer(rank, RANKS) for rank in range(RANKS)]
        )
        holders = [rank for rank, row in enumerate(layer) if 0 in row or 2 in row]
        self.assertEqual([0, 1], holders)

    def test_unanswered_orders_are_sent_again(self):
        servers = [RankServer(rank, RANKS) for rank in range(RANKS)]
        servers[1].unanswered = 2
        self._run_until_changed(servers)
        self.assertEqual(0, servers[1].unanswered)
