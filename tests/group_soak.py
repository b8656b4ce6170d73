"""The part of the soak with a group of ranks, whose agents are real processes."""

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
LATE_SHARE = 0.4


class RankGroup:
    """The ranks, and the agents beside them as often as one ends.

    :ivar begun_s: when passes began.
    :ivar agents: the process beside each rank, once there was one.
    """

    def __init__(self):
        self.servers = [RankServer(rank, SIZE) for rank in range(SIZE)]
        self.agents = [None] * SIZE
        self.begun_s = []

    @contextlib.asynccontextmanager
    async def running(self, store, store_port, peer_port):
        """Let the group make passes, and agents change its map, until the block ends.

        :raises AssertionError: if a pass began on two maps.
        """
        async with contextlib.AsyncExitStack() as stack:
            keepers = []
            for rank, server in enumerate(self.servers):
                ip = f"127.0.1.{rank + 1}"
                port = await stack.enter_async_context(listening(server, ip))
                entry = store_entry(server, SERVICE, ip, port)
                store.put(f"servers/rank-{rank}", entry)
                keeping = self._keep_running(rank, store_port, ip, peer_port, port)
                keepers.append(asyncio.create_task(keeping))
            passes = asyncio.create_task(
                make_passes(self.servers, self._choices, self._note_pass)
            )
            try:
                yield
            finally:
                ended = await _end(passes, *keepers)
            for one in ended:
                if isinstance(one, Exception):
                    raise one

    def maps(self):
        """Return how many changes of the map came into use, at least."""
        return self.servers[0].version >> 28

    def longest_pause_s(self):
        """Return the longest time between two passes."""
        return max(
            (late - early for early, late in zip(self.begun_s, self.begun_s[1:])),
            default=0.0,
        )

    def kill_agents(self):
        """End all agents at once."""
        for process in self.agents:
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()

    def set_late(self, share):
        """Let a share of the orders be carried out late, without an answer."""
        for server in self.servers:
            server.p_late = share

    async def _keep_running(self, rank, store_port, ip, peer_port, port):
        """Run an agent, and another as often as one ends."""
        while True:
            async with running_agent(store_port, ip, peer_port, SERVICE, port) as agent:
                self.agents[rank] = agent
                await agent.wait()
            await asyncio.sleep(0.05)

    def _note_pass(self):
        self.begun_s.append(asyncio.get_running_loop().time())

    def _choices(self):
        """Return the choices of a pass; others are in demand every now and then."""
        shifts = int(asyncio.get_running_loop().time() / SHIFT_S)
        turned = shifts % len(CHOICES)
        return [*CHOICES[turned:], *CHOICES[:turned]]


def service():
    """Return what the configuration says of the ranks' service."""
    return {"name": SERVICE, "max_conns": 100, "engine": engine_of_service()}


async def _end(*tasks):
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    return [one for one in ended if not isinstance(one, asyncio.CancelledError)]
