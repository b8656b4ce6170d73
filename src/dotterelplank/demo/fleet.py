"""A small fleet on the loopback interface in one process, for demo and tests."""

import concurrent.futures
import contextlib
import dataclasses
import time
import typing as t

from ..clocks import monotonic_ms
from ..config.settings import AgentSettings, EntrySettings
from ..daemons.agent import Agent
from ..daemons.blackboard import Host
from ..daemons.entry import Entry
from ..errors import DotterelplankError
from ..standins import cli as standins
from ..standins.engine import EngineSettings
from ..standins.engine_http import Engine
from ..standins.platform import HostEntry, Platform
from ..standins.service import Service

SECRET = "a secret of the fleet on loopback"
_PLATFORM_THREADS = 96
_READY_BOUND_MS = 10_000.0
_READY_STEP_MS = 10.0


class FleetNotReadyError(DotterelplankError):
    """The fleet did not become ready in time."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """The configuration of a fleet.

    :param hosts: the hosts; their addresses and ports are replaced by local ones.
    :param model_label: value of the label ``app`` that marks a model's endpoints.
    """

    configuration_text: str
    hosts: tuple[Host, ...]
    model_label: str
    engine: EngineSettings = dataclasses.field(default_factory=EngineSettings)
    caller_threads: int = 16
    balancer_notice_ms: float = 0.0
    stop_bound_ms: float = 10_000.0
    join_alone_ms: float = 200.0


@dataclasses.dataclass
class Fleet:
    """The running processes of a fleet, by host."""

    plan: Plan
    platform: Platform
    platform_url: str
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    agents: dict[str, Agent] = dataclasses.field(default_factory=dict)
    engines: dict[str, Engine] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    endpoint_urls: dict[str, str] = dataclasses.field(default_factory=dict)

    def caller_url(self, host: str) -> str:
        """Return the URL at which an entry serves callers."""
        return f"http://127.0.0.1:{self.entries[host].caller_port}"


@contextlib.contextmanager
def running(plan: Plan) -> t.Iterator[Fleet]:
    """Start the fleet of ``plan``; stop it when the block ends."""
    with contextlib.ExitStack() as stack:
        platform, port = stack.enter_context(
            standins.serving_platform(threads=_PLATFORM_THREADS)
        )
        platform.publish(plan.configuration_text)
        fleet = Fleet(plan, platform, f"http://127.0.0.1:{port}")
        endpoints = stack.enter_context(_concurrently_closed_stacks())
        for host in plan.hosts:
            if host.role == "agent":
                _start_endpoint(endpoints(), fleet, host)
        stack.callback(stop_daemons, fleet)
        for host in plan.hosts:
            if host.role == "agent":
                start_agent(fleet, host)
            else:
                start_entry(fleet, host)
        publish_hosts(fleet)
        wait_ready(fleet)
        yield fleet


@contextlib.contextmanager
def _concurrently_closed_stacks() -> t.Iterator[t.Callable[[], contextlib.ExitStack]]:
    """Yield a function that creates exit stacks; close them concurrently at the end."""
    stacks: list[contextlib.ExitStack] = []

    def make() -> contextlib.ExitStack:
        stacks.append(contextlib.ExitStack())
        return stacks[-1]

    try:
        yield make
    finally:
        _run_concurrently([stack.close for stack in stacks])


def _run_concurrently(actions: t.Sequence[t.Callable[[], t.Any]]) -> None:
    if not actions:
        return
    with concurrent.futures.ThreadPoolExecutor(len(actions)) as workers:
        for future in [workers.submit(action) for action in actions]:
            future.result()


def _start_endpoint(stack: contextlib.ExitStack, fleet: Fleet, host: Host) -> None:
    if is_model(fleet, host):
        engine, port = stack.enter_context(standins.serving_engine(fleet.plan.engine))
        fleet.engines[host.host] = engine
    else:
        service, port = stack.enter_context(standins.serving_service())
        fleet.services[host.host] = service
    fleet.endpoint_urls[host.host] = f"http://127.0.0.1:{port}"


def is_model(fleet: Fleet, host: Host) -> bool:
    """Return whether the endpoint on ``host`` is a model engine."""
    return host.labels.get("app") == fleet.plan.model_label


def start_agent(fleet: Fleet, host: Host) -> Agent:
    """Start the agent of ``host``; an earlier one there must have been stopped."""
    settings = AgentSettings(
        host=host.host,
        domain=host.domain,
        address="127.0.0.1",
        peer_port=0,
        status_port=0,
        platform_url=fleet.platform_url,
        secret=SECRET,
        join_alone_ms=fleet.plan.join_alone_ms,
        stop_bound_ms=fleet.plan.stop_bound_ms,
        endpoint_url=fleet.endpoint_urls[host.host],
        endpoint_kind="model" if is_model(fleet, host) else "service",
        leave_notice_ms=0.0,
        slots=64,
    )
    agent = Agent(settings)
    agent.start()
    fleet.agents[host.host] = agent
    return agent


def start_entry(fleet: Fleet, host: Host) -> Entry:
    """Start the entry of ``host``; an earlier one there must have been stopped."""
    settings = EntrySettings(
        host=host.host,
        domain=host.domain,
        address="127.0.0.1",
        peer_port=0,
        status_port=0,
        caller_port=0,
        platform_url=fleet.platform_url,
        secret=SECRET,
        join_alone_ms=fleet.plan.join_alone_ms,
        stop_bound_ms=fleet.plan.stop_bound_ms,
        caller_threads=fleet.plan.caller_threads,
        refusing_threads=4,
        balancer_notice_ms=fleet.plan.balancer_notice_ms,
    )
    entry = Entry(settings)
    entry.start()
    fleet.entries[host.host] = entry
    return entry


def stop_daemons(fleet: Fleet) -> None:
    """Shut down all entries, then all agents, each gracefully."""
    for daemons in (fleet.entries, fleet.agents):
        _run_concurrently([daemon.stop for daemon in daemons.values()])
        daemons.clear()


def publish_hosts(fleet: Fleet) -> None:
    """Publish the list of the running hosts on the platform."""
    daemons = {**fleet.entries, **fleet.agents}
    fleet.platform.replace_hosts(
        [
            HostEntry(
                host=host.host,
                address="127.0.0.1",
                port=daemons[host.host].daemon.peer_port,
                domain=host.domain,
                role=host.role,
                state="live",
                labels=dict(host.labels),
            )
            for host in fleet.plan.hosts
            if host.host in daemons
        ]
    )


def wait_ready(fleet: Fleet) -> None:
    """Wait until every entry has a configuration and usable endpoints in its domain.

    :raises FleetNotReadyError: if this takes too long.
    """
    wait_until(lambda: all(_is_ready(fleet, item) for item in fleet.entries.values()))


def _is_ready(fleet: Fleet, entry: Entry) -> bool:
    board = entry.daemon.board
    if board.configuration.configuration is None:
        return False
    now_ms = monotonic_ms()
    own_domain = entry.daemon.settings.domain
    return all(
        name in board.peers
        and board.peers[name].report_sequence > 0
        and entry.daemon.coordination.is_usable(now_ms, name)
        for name, agent in fleet.agents.items()
        if agent.daemon.settings.domain == own_domain
    )


def wait_until(
    condition: t.Callable[[], bool], bound_ms: float = _READY_BOUND_MS
) -> None:
    """Wait until ``condition`` holds.

    :raises FleetNotReadyError: if it does not hold within ``bound_ms``.
    """
    end_ms = monotonic_ms() + bound_ms
    while not condition():
        if monotonic_ms() > end_ms:
            raise FleetNotReadyError(
                f"the condition did not hold within {bound_ms:.0f} ms"
            )
        time.sleep(_READY_STEP_MS / 1000)
