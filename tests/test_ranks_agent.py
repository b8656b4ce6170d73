"""Agents on one loop, beside stand-ins of their ranks."""

import asyncio
import contextlib
import json
import socket
import unittest.mock

import testtools
from platform_standin import StoreStandin, configuration, listening, route
from rank_model import ModelRank

from dotterelplank.errors import UpstreamError
from dotterelplank.gateway.host import Address, Bounds, HostSettings
from dotterelplank.http1.client import Request, one_call, read_whole
from dotterelplank.platform.ranks import RankClient
from dotterelplank.ranks import policy
from dotterelplank.ranks.agent import Agent
from dotterelplank.ranks.views import (
    ArmMap,
    DisarmMap,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)

RANKS, EXPERTS = 2, 8
FIRST_ROWS = [[0, 2, 4, 6], [1, 3, 5, 7]]
BOUND_S = 15.0
# Expert 0 and 2 take nearly all choices, and both lie on rank 0.
CHOICES = [500, 1, 400, 1, 1, 1, 1, 1]


class RankServer:
    """A rank over HTTP."""

    def __init__(self, rank: int) -> None:
        self.model = ModelRank(rank, RANKS)
        self.maps = {0: [FIRST_ROWS]}
        self.counts = [0] * EXPERTS
        self.unanswered = 0
        self.metrics = None

    async def handle(self, call, exchange) -> None:
        path = call.target.decode()
        if path == "/v1/order":
            await self._order(json.loads(call.body), exchange)
        elif path == "/v1/report":
            self._answer(exchange, 200, self._report())
        elif path == "/v1/picked?lists=1":
            rows = [layer[self.model.rank] for layer in self.maps[self.version]]
            own = {"version": self.version, "experts": rows}
            self._answer(exchange, 200, {"epoch": self.model.epoch, "map": own})
        else:
            body = {
                "step": self.model.step,
                "epoch": self.model.epoch,
                "counts": self.counts,
            }
            self._answer(exchange, 200, body)

    @property
    def version(self) -> int:
        return self.model.map_version

    def _report(self):
        model = self.model
        armed = model.armed
        return {
            "group": {
                "name": "g",
                "epoch": model.epoch,
                "rank": model.rank,
                "state": "open",
            },
            "size": RANKS,
            "step": model.step,
            "map": model.map_version,
            "prepared": model.prepared,
            "armed": armed and {"version": armed.version, "step": armed.step},
            "held": model.held,
            "active": 1,
        }

    async def _order(self, body, exchange) -> None:
        if self.unanswered:
            self.unanswered -= 1
            await asyncio.sleep(60)
        epoch = body["epoch"]
        match body["op"]:
            case "prepare":
                order = PrepareMap(epoch, body["version"], body["map"])
                self.maps[body["version"]] = body["map"]
            case "arm":
                order = ArmMap(epoch, body["version"], body["step"])
            case "disarm":
                order = DisarmMap(epoch, body["version"])
            case "retain":
                order = HoldStep(epoch, body["step"])
            case "go":
                order = ReleaseStep(epoch, body["step"])
        is_accepted = self.model.apply(order)
        self._answer(exchange, 200 if is_accepted else 409, {})

    def _answer(self, exchange, status, body) -> None:
        exchange.answer(status, [], json.dumps(body).encode())


async def _make_passes(servers) -> None:
    """Let the group begin a pass every few milliseconds, on one map."""
    while True:
        await asyncio.sleep(0.02)
        step = servers[0].model.step + 1
        if any(server.model.held == step for server in servers):
            continue
        for server in servers:
            server.model.begin_pass()
            for index, count in enumerate(CHOICES):
                server.counts[index] += count
        versions = {server.version for server in servers}
        assert len(versions) == 1, versions


def _configuration():
    found = configuration(routes=[route("s", "/s/", "streaming", gap_target_ms=25)])
    found["services"][0]["engine"] = {
        "sets": 1,
        "experts": EXPERTS,
        "placements": 5,
        "spare": 2,
        "expert_mb": 1.0,
        "bandwidth_mbps": 1_000.0,
    }
    return found


def _host(ip, peer_port, port, store_port):
    return HostSettings(
        name=f"agent-{ip}",
        ip=ip,
        domain="a",
        callers=None,
        health=None,
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
    async with one_call(place.ip, place.port, 1.0) as connection:
        headers = [(b"host", str(place).encode())]
        connection.send(Request(b"GET", b"/metrics", headers, b""))
        head = await connection.head()
        return head.status, (await read_whole(connection, 1_000_000)).decode()


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
            entry = {
                "service": "drafts",
                "address": f"{ip}:{port}",
                "zone": "a",
                "slots": 2,
                "state": "ready",
                "group": {"name": "g", "epoch": 1, "rank": number, "state": "open"},
                "size": RANKS,
            }
            store.put(f"servers/i-{number}", entry)
            server.metrics = Address(ip, _free_port(ip))
            host = _host(ip, peer_port, port, store_port)
            agent = Agent(host, server.metrics.port)
            tasks.append(asyncio.create_task(agent.run()))
        passes = asyncio.create_task(_make_passes(servers))
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
            server = RankServer(0)
            server.unanswered = 1
            async with listening(server) as port:
                rank = RankClient(Address("127.0.0.1", port), 60_000.0, 20.0)
                async with asyncio.timeout(BOUND_S):
                    order = HoldStep(1, 5)
                    error = None
                    try:
                        await rank.give(order)
                    except UpstreamError as caught:
                        error = caught
                    is_accepted = await rank.give(order)
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
                await self._until_counted(servers[0].metrics)

        # The stand-ins count little in a short time.
        with unittest.mock.patch.object(policy, "LEAST_COUNTS_PER_EXPERT", 1.0):
            asyncio.run(run())
        return servers[0].maps[servers[0].version]

    async def _until_counted(self, place):
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
        (layer,) = self._run_until_changed([RankServer(0), RankServer(1)])
        holders = [rank for rank, row in enumerate(layer) if 0 in row or 2 in row]
        self.assertEqual([0, 1], holders)

    def test_orders_without_an_answer_are_given_again(self):
        servers = [RankServer(0), RankServer(1)]
        servers[1].unanswered = 2
        self._run_until_changed(servers)
        self.assertEqual(0, servers[1].unanswered)
