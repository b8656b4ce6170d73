"""The command line of the stand-ins, and functions that serve one inside a process.

Each command serves until SIGTERM or SIGINT. As soon as it accepts connections, it
prints ``{"listening": "ADDRESS:PORT"}`` as a line of JSON; the commands ``ranks`` and
``proxy`` add further addresses to it.
"""

import contextlib
import json
import pathlib
import signal
import threading
import typing as t

import pydantic
import typer

from . import (
    engine_http as standin_engine_http,
    http as standin_http,
    platform as standin_platform,
    proxy as standin_proxy,
    ranks_http as standin_ranks_http,
    service as standin_service,
    store as standin_store,
)
from .connection import Target
from .engine import EngineFaults, EngineSettings
from .ranks import GroupSettings
from .store import StoreLimits

THREADS = 64
RANK_THREADS = 12
PROXY_THREADS = 8

app = typer.Typer(
    help="Stand-ins of the outside systems, for trials.", no_args_is_help=True
)

Address = t.Annotated[str, typer.Option(help="IP number to listen on.")]
Port = t.Annotated[int, typer.Option(help="Port to listen on; 0 takes a free one.")]
Threads = t.Annotated[int, typer.Option(help="Calls that can be in progress, plus 4.")]


@contextlib.contextmanager
def serving_platform(
    address: str = standin_http.LOOPBACK, port: int = 0, threads: int = THREADS
) -> t.Iterator[tuple[standin_platform.Platform, int]]:
    """Serve a platform inside this process, and yield the platform and its port."""
    platform = standin_platform.Platform()
    routes = standin_platform.routes(platform)
    with _serving(routes, address, port, threads, platform.close) as bound_port:
        yield platform, bound_port


@contextlib.contextmanager
def serving_engine(
    settings: EngineSettings | None = None,
    address: str = standin_http.LOOPBACK,
    port: int = 0,
    threads: int = THREADS,
) -> t.Iterator[tuple[standin_engine_http.Engine, int]]:
    """Serve an engine inside this process, and yield the engine and its port."""
    with standin_engine_http.running(settings) as engine:
        routes = standin_engine_http.routes(engine)
        with _serving(routes, address, port, threads, engine.close) as bound_port:
            yield engine, bound_port


@contextlib.contextmanager
def serving_service(
    address: str = standin_http.LOOPBACK, port: int = 0, threads: int = THREADS
) -> t.Iterator[tuple[standin_service.Service, int]]:
    """Serve a plain service inside this process, and yield the service and its port."""
    service = standin_service.Service()
    routes = standin_service.routes(service)
    with _serving(routes, address, port, threads, service.close) as bound_port:
        yield service, bound_port


@contextlib.contextmanager
def serving_ranks(
    settings: GroupSettings | None = None,
    address: str = standin_http.LOOPBACK,
    port: int = 0,
    threads: int = RANK_THREADS,
) -> t.Iterator[tuple[standin_ranks_http.Ranks, t.Sequence[int]]]:
    """Serve a group of ranks inside this process, and yield the group and its ports.

    :param port: port of rank 0; rank N listens on this port plus N. With 0, each rank
        listens on a free port.
    :param threads: number of server threads of each rank.
    """
    with contextlib.ExitStack() as stack:
        ranks = stack.enter_context(standin_ranks_http.running(settings))
        ports = []
        for number in range(ranks.group.settings.ranks):
            routes = standin_ranks_http.routes(ranks, number)
            rank_port = port + number if port else 0
            served = _serving(routes, address, rank_port, threads, ranks.close)
            ports.append(stack.enter_context(served))
        yield ranks, ports


@contextlib.contextmanager
def serving_store(
    limits: StoreLimits | None = None,
    address: str = standin_http.LOOPBACK,
    port: int = 0,
    threads: int = THREADS,
) -> t.Iterator[tuple[standin_store.Store, int]]:
    """Serve a weight store inside this process, and yield the store and its port."""
    store = standin_store.Store(limits)
    routes = standin_store.routes(store)
    with _serving(routes, address, port, threads, store.close) as bound_port:
        yield store, bound_port


@contextlib.contextmanager
def serving_proxy(
    target: Target,
    address: str = standin_http.LOOPBACK,
    port: int = 0,
    control_port: int = 0,
    seed: int = 0,
) -> t.Iterator[tuple[standin_proxy.Proxy, int]]:
    """Run a proxy inside this process, and yield the proxy and its control port."""
    with standin_proxy.running_proxy(target, address, port, seed) as proxy:
        application = standin_http.make_app(standin_proxy.routes(proxy), PROXY_THREADS)
        serving = standin_http.serving(
            application, address, control_port, PROXY_THREADS
        )
        with serving as bound_port:
            yield proxy, bound_port


@app.command()
def platform(
    address: Address = standin_http.LOOPBACK,
    port: Port = 0,
    threads: Threads = THREADS,
    configuration: t.Annotated[
        pathlib.Path | None, typer.Option(help="File to publish as revision 1.")
    ] = None,
) -> None:
    """Serve the configuration and the list of hosts."""
    with serving_platform(address, port, threads) as (served, bound_port):
        if configuration is not None:
            served.publish(configuration.read_text(encoding="utf-8"))
        _wait_for_stop(address, bound_port)


@app.command()
def engine(
    address: Address = standin_http.LOOPBACK,
    port: Port = 0,
    threads: Threads = THREADS,
    settings: t.Annotated[
        str, typer.Option(help="JSON object of EngineSettings.")
    ] = "{}",
    faults: t.Annotated[str, typer.Option(help="JSON object of EngineFaults.")] = "{}",
) -> None:
    """Serve one model server."""
    checked = _parse_option(EngineSettings, settings)
    checked_faults = _parse_option(EngineFaults, faults)
    with serving_engine(checked, address, port, threads) as (served, bound_port):
        served.change_faults(checked_faults)
        _wait_for_stop(address, bound_port)


@app.command()
def service(
    address: Address = standin_http.LOOPBACK, port: Port = 0, threads: Threads = THREADS
) -> None:
    """Serve a plain service."""
    with serving_service(address, port, threads) as (_, bound_port):
        _wait_for_stop(address, bound_port)


@app.command()
def ranks(
    address: Address = standin_http.LOOPBACK,
    port: Port = 0,
    threads: Threads = RANK_THREADS,
    settings: t.Annotated[
        str, typer.Option(help="JSON object of GroupSettings.")
    ] = "{}",
) -> None:
    """Serve a group of ranks in lock-step, one port a rank."""
    checked = _parse_option(GroupSettings, settings)
    with serving_ranks(checked, address, port, threads) as (_, ports):
        served = [f"{address}:{bound_port}" for bound_port in ports]
        _wait_for_stop(address, ports[0], ranks=served)


@app.command()
def store(
    address: Address = standin_http.LOOPBACK,
    port: Port = 0,
    threads: Threads = THREADS,
    limits: t.Annotated[str, typer.Option(help="JSON object of StoreLimits.")] = "{}",
) -> None:
    """Serve a weight store with a rate limit."""
    checked = _parse_option(StoreLimits, limits)
    with serving_store(checked, address, port, threads) as (_, bound_port):
        _wait_for_stop(address, bound_port)


@app.command()
def proxy(
    target: t.Annotated[str, typer.Option(help="ADDRESS:PORT to connect to.")],
    address: Address = standin_http.LOOPBACK,
    port: Port = 0,
    control_port: t.Annotated[int, typer.Option(help="Port of the rules.")] = 0,
    seed: t.Annotated[int, typer.Option(help="Seed of the random delays.")] = 0,
) -> None:
    """Run a fault-injecting TCP proxy."""
    checked = _parse_target(target)
    running = serving_proxy(checked, address, port, control_port, seed)
    with running as (served, bound_control_port):
        control = f"{address}:{bound_control_port}"
        _wait_for_stop(address, served.port, control=control)


M = t.TypeVar("M", bound=pydantic.BaseModel)


def _parse_option(model: type[M], text: str) -> M:
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise typer.BadParameter(str(error)) from None


def _parse_target(text: str) -> Target:
    address, _, port = text.rpartition(":")
    if not address or not port.isdecimal() or not 0 < int(port) < 65536:
        raise typer.BadParameter(f"target: got {text!r}, expected ADDRESS:PORT")
    return Target(address, int(port))


@contextlib.contextmanager
def _serving(
    routes: t.Sequence[standin_http.Route],
    address: str,
    port: int,
    threads: int,
    close: t.Callable[[], None],
) -> t.Iterator[int]:
    application = standin_http.make_app(routes, threads)
    with standin_http.serving(application, address, port, threads) as bound_port:
        try:
            yield bound_port
        finally:
            # Waiting calls have to end first, since the server joins the threads that
            # handle them when it stops.
            close()


def _wait_for_stop(address: str, bound_port: int, **extra: t.Any) -> None:
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    line = {"listening": f"{address}:{bound_port}", **extra}
    print(json.dumps(line), flush=True)
    stopped.wait()
