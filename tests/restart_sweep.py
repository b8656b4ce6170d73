"""All agents of a group are killed at moments of a map change, and started again.

``run_restart_sweep.py`` plays more seeds by hand than the tests do.
"""

import asyncio
import dataclasses
import random

from group_world import World

from dotterelplank.gateway.tables import ExpertLayout

MAX_RECOVERY_S = 2.0
"""Longest time from the restart to the first pass, as the users ask."""
SETTLE_S = 2.0
SHIFT_INTERVAL_S = 1.3
POLL_S = 0.002
MAX_WAIT_S = 6.0
DOWN_S = (0.2, 1.0)
MAX_KILL_DELAY_S = 0.03
"""Time after a phase was met, up to which the agents are killed."""
PHASES = ("idle", "preparing", "held", "arming", "armed")


@dataclasses.dataclass
class Scenario:
    """What is played.

    :param p_late: share of the orders that are carried out seconds later, unanswered.
    :param rejected_ratio: share of the hosts that the platform's store turns away.
    """

    size: int
    p_late: float = 0.0
    rejected_ratio: float = 0.0


@dataclasses.dataclass
class Restart:
    """One restart of all agents.

    :param phase: how far the change had got in which they were killed.
    :param recovery_s: from the start of the agents to the first pass.
    """

    phase: str
    killed_s: float
    recovery_s: float


def layout(size):
    """Return a layout such as groups of ``size`` ranks have."""
    experts = {16: 64, 72: 144, 128: 128}[size]
    layers = {16: 4, 72: 12, 128: 12}[size]
    places = 3 if size > 16 else 5
    return ExpertLayout(layers, experts, places=places, spare=2, copy_ms=16.0)


def run_restarts(seed, scenario, phases):
    """Kill and start all agents in each of ``phases`` in turn; return the restarts."""
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
    # Phases last some milliseconds: half of the restarts fall right into one.
    if world.faults.random() < 0.5:
        await asyncio.sleep(world.faults.uniform(0.0, MAX_KILL_DELAY_S))
    met, killed_s = world.phase(), loop.time()
    await world.kill_agents()
    await asyncio.sleep(world.faults.uniform(*DOWN_S))
    started_s = loop.time()
    world.start_agents()
    end_s = started_s + MAX_WAIT_S
    while not world.has_begun_since(started_s) and loop.time() < end_s:
        await asyncio.sleep(POLL_S)
    return Restart(met, round(killed_s, 3), loop.time() - started_s)


def late_restarts(restarts):
    """Return the restarts after which the group wasn't back in time."""
    return [one for one in restarts if one.recovery_s > MAX_RECOVERY_S]


def phases_seen(restarts):
    """Return the phases in which agents were killed."""
    return {one.phase for one in restarts}


def draw_phases(seed, count):
    """Return phases in a random order, each about as often as the others."""
    rounds = [phase for _ in range(-(-count // len(PHASES))) for phase in PHASES]
    random.Random(seed).shuffle(rounds)
    return rounds[:count]
