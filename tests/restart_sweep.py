"""Restarts of all agents of a group in different phases of a map change.

``run_restart_sweep.py`` runs more seeds than the tests do.
"""

import asyncio
import dataclasses
import random

from group_world import World

from dotterelplank.gateway.tables import ExpertLayout

MAX_RECOVERY_S = 2.0
"""The longest time from a restart to the first pass that the requirements allow."""
SETTLE_S = 2.0
SHIFT_INTERVAL_S = 1.3
POLL_S = 0.002
MAX_WAIT_S = 6.0
DOWN_S = (0.2, 1.0)
"""The range of the time between the death of all agents and their start."""
MAX_KILL_DELAY_S = 0.03
"""The longest time from the detection of a phase until the agents are killed."""
PHASES = ("idle", "preparing", "held", "arming", "armed")


@dataclasses.dataclass
class Scenario:
    """The size and the faults of a simulated group.

    :param size: number of ranks.
    :param p_late: probability that an order is executed seconds late and not answered.
    :param rejected_ratio: fraction of the hosts that the platform's store refuses.
    """

    size: int
    p_late: float = 0.0
    rejected_ratio: float = 0.0


@dataclasses.dataclass
class Restart:
    """One restart of all agents.

    :param phase: phase of the map change when the agents were killed.
    :param killed_s: when they were killed, in seconds.
    :param recovery_s: time from the start of the new agents to the first pass.
    """

    phase: str
    killed_s: float
    recovery_s: float


def layout(size):
    """Return a typical layout for a group of ``size`` ranks."""
    experts = {16: 64, 72: 144, 128: 128}[size]
    layers = {16: 4, 72: 12, 128: 12}[size]
    places = 3 if size > 16 else 5
    return ExpertLayout(layers, experts, places=places, spare=2, copy_ms=16.0)


def run_restarts(seed, scenario, phases):
    """Restart all agents in each of ``phases`` in turn; return the restarts."""
    world = World(scenario.size, layout(scenario.size), 4.0, seed)
    restarts = []

    async def script(world):
        async with asyncio.TaskGroup() as group:
            shifts = group.create_task(_shift_demand(world))
            world.harness_tasks.add(shifts)
            await asyncio.sleep(SETTLE_S)
            world.p_late = scenario.p_late
            for phase in phases:
                rejected = round(scenario.rejected_ratio * scenario.size)
                world.store_rejected_ranks = set(
                    world.faults.sample(range(scenario.size), rejected)
                )
                restarts.append(await _restart(world, phase))
            shifts.cancel()

    world.run(script)
    return restarts


async def _shift_demand(world):
    while True:
        await asyncio.sleep(SHIFT_INTERVAL_S)
        world.main_topic = (world.main_topic + 1) % len(world.topics)


async def _restart(world, phase):
    loop = asyncio.get_running_loop()
    end_s = loop.time() + MAX_WAIT_S
    while world.phase() != phase and loop.time() < end_s:
        await asyncio.sleep(POLL_S)
    # A phase lasts a few milliseconds, so without a delay the kill falls into it. Half
    # of the restarts get a delay, so that they also fall later.
    if world.faults.random() < 0.5:
        await asyncio.sleep(world.faults.uniform(0.0, MAX_KILL_DELAY_S))
    phase_at_kill, killed_s = world.phase(), loop.time()
    await world.kill_agents()
    await asyncio.sleep(world.faults.uniform(*DOWN_S))
    started_s = loop.time()
    world.start_agents()
    end_s = started_s + MAX_WAIT_S
    while not world.has_begun_since(started_s) and loop.time() < end_s:
        await asyncio.sleep(POLL_S)
    return Restart(phase_at_kill, round(killed_s, 3), loop.time() - started_s)


def late_restarts(restarts):
    """Return the restarts after which the first pass took too long."""
    return [restart for restart in restarts if restart.recovery_s > MAX_RECOVERY_S]


def phases_seen(restarts):
    """Return the phases in which agents were killed."""
    return {restart.phase for restart in restarts}


def draw_phases(seed, count):
    """Return ``count`` phases in a random order, with about equal frequency."""
    rounds = [phase for _ in range(-(-count // len(PHASES))) for phase in PHASES]
    random.Random(seed).shuffle(rounds)
    return rounds[:count]
