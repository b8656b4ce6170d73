"""A simulation of a large group, with a virtual clock and a model network.

The agents are those of the package. Ranks, links and time are models.
"""

import asyncio
import collections
import contextlib
import itertools
import random
import signal
import types
import typing as t
import unittest.mock

import numpy as np
from rank_model import ModelRank
from virtual_network import PORT, Network, VirtualLoop

from dotterelplank.errors import UpstreamError
from dotterelplank.gateway.host import Address, Bounds, HostSettings
from dotterelplank.gateway.revisions import Revision
from dotterelplank.gateway.tables import ExpertLayout
from dotterelplank.ranks import agent as agents, driver, lookup, planning, recovery
from dotterelplank.ranks.membership import Members, RankId
from dotterelplank.ranks.views import Counts, Order, PrepareMap, RankRows, RankView

CALL_MS = 1.0
REPORT_LAG_S = 0.2
"""How old the reports are that other hosts read from a rank."""
PASS_MS = 80.0
CHOICES_PER_EXPERT = 3.0
"""The mean number of times that a rank's calls choose an expert in a pass."""
TOPICS = 9
TOPIC_SIGMA = 0.8
MAIN_TOPIC_RATIO = 0.7
"""The fraction of the demand that is for the main topic."""
DELAY_RANGE_S = (2.0, 12.0)
ORDER_TIMEOUT_MS = 20.0
STORE_TIMEOUT_S = 2.0

_FIXED_SEED = types.SimpleNamespace(Random=lambda: random.Random(5))
_seeds = itertools.count()
_SEPARATE_SEEDS = types.SimpleNamespace(Random=lambda: random.Random(next(_seeds)))


class WorldRank:
    """A model of a rank that takes time to copy experts."""

    def __init__(self, world: "World", rank: int) -> None:
        self._world = world
        self.model = ModelRank(rank, world.size, group=world.group)
        self.counts = np.zeros(world.layout.layers * world.layout.experts, dtype=int)
        self.map_in_use = world.first_map
        self._prepared: dict[int, t.Any] = {}
        self._views: collections.deque[tuple[float, RankView]] = collections.deque()

    async def view(self) -> RankView:
        """Return the report that the agent on the rank's host reads."""
        await asyncio.sleep(CALL_MS / 1000)
        return self.model.view()

    async def remote_view(self) -> RankView:
        """Return the report that other hosts read, which is ``REPORT_LAG_S`` old."""
        await asyncio.sleep(CALL_MS / 1000)
        self._record_view()
        oldest_s = asyncio.get_running_loop().time() - REPORT_LAG_S
        while len(self._views) > 1 and self._views[1][0] <= oldest_s:
            self._views.popleft()
        return self._views[0][1]

    def _record_view(self) -> None:
        view = self.model.view()
        if not self._views or self._views[-1][1] != view:
            self._views.append((asyncio.get_running_loop().time(), view))

    async def counts_now(self) -> Counts:
        await asyncio.sleep(CALL_MS / 1000)
        model = self.model
        return Counts(model.epoch, model.step, self.counts.tolist())

    async def rows(self) -> RankRows:
        await asyncio.sleep(CALL_MS / 1000)
        model = self.model
        rows = [layer[model.rank] for layer in self.map_in_use]
        return RankRows(model.epoch, model.map_version, rows)

    async def send_order(self, order: Order) -> bool:
        await asyncio.sleep(CALL_MS / 1000)
        faults = self._world.faults
        if faults.random() < self._world.p_late:
            delay_s = faults.uniform(*DELAY_RANGE_S)
            asyncio.get_running_loop().call_later(delay_s, self._apply, order)
            await asyncio.sleep(ORDER_TIMEOUT_MS / 1000)
            raise UpstreamError("no answer in time", sent=True)
        return self._apply(order)

    def close(self) -> None:
        pass

    def _apply(self, order: Order) -> bool:
        is_prepare = isinstance(order, PrepareMap)
        if is_prepare:
            assert self._world.is_valid(order.map), order
            if max(self._copies(order.map)) > self._world.layout.spare:
                return False
        is_accepted = self.model.apply(order)
        if is_accepted and is_prepare:
            self._copy(order)
        self._record_view()
        return is_accepted

    def begin_pass(self) -> None:
        """Begin a pass, with a new map if the rank is armed for the pass."""
        before = self.model.map_version
        self.model.begin_pass()
        if self.model.map_version != before:
            self.map_in_use = self._prepared[self.model.map_version]
            self._prepared.clear()
        self._record_view()

    def _copies(self, expert_map: t.Any) -> list[int]:
        """Return how many experts of each layer a map adds to this rank."""
        rank = self.model.rank
        return [
            len(set(new[rank]) - set(old[rank]))
            for new, old in zip(expert_map, self.map_in_use)
        ]

    def _copy(self, order: PrepareMap) -> None:
        """Mark the map as prepared after the time that copying its experts takes."""
        model = self.model
        self._prepared[order.version] = order.map
        copies = sum(self._copies(order.map))
        model.prepared = None
        loop = asyncio.get_running_loop()
        copy_s = copies * self._world.layout.copy_ms / 1000
        loop.call_later(copy_s, self._finish_copies, order.version)

    def _finish_copies(self, version: int) -> None:
        if self.model.highest == version:
            self.model.prepared = version
            self._record_view()


class _RankClient:
    """A replacement for the package's client of a rank."""

    def __init__(self, rank: WorldRank, *, is_remote: bool = False) -> None:
        self.view = rank.remote_view if is_remote else rank.view
        self.rows, self.send_order = rank.rows, rank.send_order
        self.counts, self.close = rank.counts_now, rank.close


class _Store:
    """A replacement for one host's client of the platform's store."""

    def __init__(self, address: Address) -> None:
        self.rank = address().port

    def close(self) -> None:
        pass


class World:
    """A group of ``size`` ranks and its agents.

    Faults can be set while the group runs.

    :param layout: layout of the group's expert maps.
    :param link_mbps: bandwidth of each host's link, in megabits per second.
    :param number: number of the group, which differs from those of other worlds.
    :ivar service_worlds: the groups of the service, with this one; see
        :func:`run_together`.
    :ivar p_late: probability that an order is executed seconds late and not answered.
    :ivar store_rejected_ranks: ranks whose hosts the platform's store refuses.
    :ivar store_hangs: whether the store delays its refusals by
        ``STORE_TIMEOUT_S``.
    :ivar pass_times_s: when passes began, in seconds.
    :ivar harness_tasks: tasks of the test, which aren't cancelled with the agents.
    :ivar topics: the demand for each expert, by topic and layer.
    :ivar switched: when the group switched to a new map, in seconds, and its version.
    """

    def __init__(
        self,
        size: int,
        layout: ExpertLayout,
        link_mbps: float,
        seed: int = 3,
        number: int = 0,
    ) -> None:
        self.size, self.layout, self.link_mbps = size, layout, link_mbps
        self.number = number
        self.group = f"g{number}"
        self.service_worlds = [self]
        self.random = np.random.default_rng(seed)
        self.faults = random.Random(seed)
        self.p_late = 0.0
        self.store_rejected_ranks: set[int] = set()
        self.store_hangs = False
        self.pass_times_s: list[float] = []
        self._agents: list[asyncio.Task[None]] = []
        self.harness_tasks: set[asyncio.Task[t.Any] | None] = set()
        self.first_map = _first_map(size, layout)
        spread = self.random.normal(
            0, TOPIC_SIGMA, (TOPICS, layout.layers, layout.experts)
        )
        weights = np.exp(spread)
        self.topics = weights / weights.sum(axis=2, keepdims=True)
        self.main_topic = 0
        self.ranks = [WorldRank(self, rank) for rank in range(size)]
        self.switched: list[tuple[float, int]] = []
        self.network: Network | None = None

    def is_valid(self, expert_map: t.Any) -> bool:
        """Return whether a map is valid for this group."""
        return len(expert_map) == self.layout.layers and all(
            _is_valid(layer, self.size, self.layout) for layer in expert_map
        )

    def demand(self) -> np.ndarray:
        """Return the fraction of its layer's choices that each expert gets now."""
        even = self.topics.mean(axis=0)
        return (
            MAIN_TOPIC_RATIO * self.topics[self.main_topic]
            + (1 - MAIN_TOPIC_RATIO) * even
        )

    def skew(self) -> float:
        """Return the skew of the load with the map in use."""
        current_map = self.ranks[0].map_in_use
        return planning.skew((self.demand() * 1e6).tolist(), current_map)

    async def make_passes(self) -> None:
        """Begin a pass of the group every ``PASS_MS``, unless a rank holds it.

        :raises AssertionError: if a pass began with different maps.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PASS_MS / 1000)
            step = self.ranks[0].model.step + 1
            if any(rank.model.held == step for rank in self.ranks):
                continue
            mean = self.demand().ravel() * self.layout.experts * CHOICES_PER_EXPERT
            before = self.ranks[0].model.map_version
            self.pass_times_s.append(loop.time())
            for rank in self.ranks:
                rank.begin_pass()
                rank.counts += self.random.poisson(mean)
            versions = {rank.model.map_version for rank in self.ranks}
            assert len(versions) == 1, versions
            first = self.ranks[0].map_in_use
            assert all(rank.map_in_use == first for rank in self.ranks), versions
            if versions != {before}:
                self.switched.append((loop.time(), versions.pop()))

    def phase(self) -> str:
        """Return the phase of a map change that the states of the ranks show."""
        models = [rank.model for rank in self.ranks]
        armed = sum(model.armed is not None for model in models)
        if any(model.held is not None for model in models):
            return "armed" if armed == self.size else "arming" if armed else "held"
        return "preparing" if len({model.highest for model in models}) > 1 else "idle"

    def has_begun_since(self, since_s: float) -> bool:
        """Return whether a pass has begun after ``since_s``."""
        return bool(self.pass_times_s) and self.pass_times_s[-1] > since_s

    def run(self, script: t.Callable[["World"], t.Awaitable[None]]) -> None:
        """Run all agents and ``script`` on a virtual clock, until the script ends.

        The agents of the service's other groups run as well.
        """
        loop = VirtualLoop()
        loop.network.link_mbps = self.link_mbps
        worlds = self.service_worlds
        by_ip = {world.ip(rank): world for world in worlds for rank in range(self.size)}
        for world in worlds:
            world.network = loop.network

        async def members(client, _service):
            if client.rank in self.store_rejected_ranks:
                if self.store_hangs:
                    await asyncio.sleep(STORE_TIMEOUT_S)
                raise UpstreamError("status 503", sent=True)
            addresses = {
                RankId(world.group, rank): Address(world.ip(rank), rank)
                for world in worlds
                for rank in range(world.size)
            }
            groups = {
                address.ip: rank_id.group for rank_id, address in addresses.items()
            }
            return Members(addresses, self.layout, 150.0, groups, Revision(1, 1))

        def make_client(address, *_timeouts):
            return _RankClient(by_ip[address.ip].ranks[address.port])

        def make_remote_client(address):
            rank = by_ip[address.ip].ranks[address.port]
            return _RankClient(rank, is_remote=True)

        def clock_ms():
            return loop.time() * 1000

        patches = [
            unittest.mock.patch.object(agents, "RankClient", make_client),
            unittest.mock.patch.object(lookup, "StoreClient", _Store),
            unittest.mock.patch.object(driver, "direct_client", make_remote_client),
            unittest.mock.patch.object(recovery, "direct_client", make_remote_client),
            unittest.mock.patch.object(recovery, "boottime_ms", clock_ms),
            unittest.mock.patch.object(driver, "random", _FIXED_SEED),
            unittest.mock.patch.object(lookup, "read_members", members),
            unittest.mock.patch.object(agents, "boottime_ms", clock_ms),
            unittest.mock.patch.object(driver, "boottime_ms", clock_ms),
            unittest.mock.patch.object(lookup, "boottime_ms", clock_ms),
            unittest.mock.patch.object(lookup, "random", _SEPARATE_SEEDS),
        ]
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            try:
                loop.run_until_complete(_run_worlds(worlds, script))
            finally:
                loop.close()

    def start_agents(self) -> None:
        """Start an agent without state for each rank."""
        self._agents = [self._start_agent(rank) for rank in range(self.size)]

    async def restart_agent(self, rank: int, down_s: float) -> None:
        """Send an agent SIGTERM, and start another ``down_s`` after it has stopped."""
        stopping = self._agents[rank]
        asyncio.get_running_loop().handlers[stopping, signal.SIGTERM]()
        await stopping
        await asyncio.sleep(down_s)
        self._agents[rank] = self._start_agent(rank)

    def longest_pause_s(self, since_s: float) -> float:
        """Return the longest time between two passes that began after ``since_s``."""
        pass_times_s = [time_s for time_s in self.pass_times_s if time_s > since_s]
        return max(late - early for early, late in itertools.pairwise(pass_times_s))

    def _start_agent(self, rank: int) -> asyncio.Task[None]:
        return asyncio.create_task(agents.Agent(self._host(rank)).run())

    async def kill_agents(self) -> None:
        """Cancel all agents at once, with all their tasks."""
        keep = {asyncio.current_task(), *self.harness_tasks}
        for task in asyncio.all_tasks() - keep:
            task.cancel()
        ended = await asyncio.gather(*self._agents, return_exceptions=True)
        for result in ended:
            if isinstance(result, Exception):
                raise result

    def ip(self, rank: int) -> str:
        """Return the address of the host of a rank."""
        return f"10.{self.number}.{rank // 200}.{rank % 200 + 1}"

    def _host(self, rank: int) -> HostSettings:
        return HostSettings(
            name=f"agent-{self.number}-{rank}",
            ip=self.ip(rank),
            domain="a",
            caller_address=None,
            health_address=None,
            peer_ports=(PORT, PORT),
            seeds=(),
            endpoint=Address(self.ip(rank), rank),
            service="drafts",
            store=Address(self.ip(rank), rank),
            bounds=Bounds(2_000.0, 2_000.0, 0.2, 10_000.0, 94.0),
            link_mbps=self.link_mbps,
        )


def run_together(
    worlds: t.Sequence[World], script: t.Callable[[World], t.Awaitable[None]]
) -> None:
    """Run several groups of one service, until the script for the first one ends."""
    for world in worlds:
        world.service_worlds = list(worlds)
    worlds[0].run(script)


async def _run_worlds(
    worlds: t.Sequence[World], script: t.Callable[[World], t.Awaitable[None]]
) -> None:
    passes = [asyncio.create_task(world.make_passes()) for world in worlds]
    for world in worlds:
        world.start_agents()
        world.harness_tasks |= {asyncio.current_task(), *passes}
    try:
        await script(worlds[0])
    finally:
        for task in passes:
            task.cancel()
        for world in worlds:
            await world.kill_agents()
        ended = await asyncio.gather(*passes, return_exceptions=True)
    for result in ended:
        if isinstance(result, Exception):
            raise result


def _is_valid(layer: t.Any, size: int, layout: ExpertLayout) -> bool:
    """Return whether a layer holds all experts, and each rank 1 to ``places``."""
    held = {expert for row in layer for expert in row}
    return (
        len(layer) == size
        and held == set(range(layout.experts))
        and all(0 < len(row) <= layout.places for row in layer)
    )


def _first_map(size: int, layout: ExpertLayout) -> list[list[list[int]]]:
    """Return the initial map of a group: the experts are assigned in turn."""
    rows = [
        [
            (rank * layout.places + place) % layout.experts
            for place in range(layout.places)
        ]
        for rank in range(size)
    ]
    return [[list(row) for row in rows] for _ in range(layout.layers)]
