"""A group of ranks for the soak test, whose agents are real processes."""

import asyncio
import contextlib

from entry_process import running_agent
from platform_standin import listening
from rank_standin import (
    CHOICES,
    RankServer,
    engine_of_service,
    make_passes,
    store_entry,
)

SIZE = 3
SERVICE = "experts"
SHIFT_S = 0.7
P_LATE = 0.4


class RankGroup:
    """The ranks and their agents, which are restarted whenever they end.

    :ivar begun_s: when passes began, in seconds.
    :ivar agents: the latest agent process of each rank; ``None`` before its start.
    """

    def __init__(self):
        self.servers = [RankServer(rank, SIZE) for rank in range(SIZE)]
        self.agents = [None] * SIZE
        self.begun_s = []

    @contextlib.asynccontextmanager
    async def running(self, store, store_port, peer_port):
        """Run the ranks and their agents while the ``with`` block runs.

        :raises AssertionError: if a pass began with different maps.
        """
        async with contextlib.AsyncExitStack() as stack:
            supervisors = []
            for rank, server in enumerate(self.servers):
                ip = f"127.0.1.{rank + 1}"
                port = await stack.enter_async_context(listening(server, ip))
                entry = store_entry(server, SERVICE, ip, port)
                store.put(f"servers/rank-{rank}", entry)
                supervising = self._supervise_agent(
                    rank, store_port, ip, peer_port, port
                )
                supervisors.append(asyncio.create_task(supervising))
            passes = asyncio.create_task(
                make_passes(self.servers, self._choices, self._record_pass)
            )
            try:
                yield
            finally:
                ended = await _end(passes, *supervisors)
            for error in ended:
                if isinstance(error, Exception):
                    raise error

    def maps(self):
        """Return the counter of the map version in use.

        The counter rises with each map that a change prepares.
        """
        return self.servers[0].version >> 28

    def longest_pause_s(self):
        """Return the longest time between two passes."""
        return max(
            (late - early for early, late in zip(self.begun_s, self.begun_s[1:])),
            default=0.0,
        )

    def kill_agents(self):
        """Kill all agent processes."""
        for process in self.agents:
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()

    def set_p_late(self, share):
        """Set the probability that an order is executed late and not answered."""
        for server in self.servers:
            server.p_late = share

    async def _supervise_agent(self, rank, store_port, ip, peer_port, port):
        """Run an agent and restart it whenever it ends."""
        while True:
            async with running_agent(store_port, ip, peer_port, SERVICE, port) as agent:
                self.agents[rank] = agent
                await agent.wait()
            await asyncio.sleep(0.05)

    def _record_pass(self):
        self.begun_s.append(asyncio.get_running_loop().time())

    def _choices(self):
        """Return the choices of a pass; the demand shifts every ``SHIFT_S`` seconds."""
        shifts = int(asyncio.get_running_loop().time() / SHIFT_S)
        offset = shifts % len(CHOICES)
        return [*CHOICES[offset:], *CHOICES[:offset]]


def service():
    """Return the configuration of the ranks' service."""
    return {"name": SERVICE, "max_conns": 100, "engine": engine_of_service()}


async def _end(*tasks):
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    return [
        result for result in ended if not isinstance(result, asyncio.CancelledError)
    ]
