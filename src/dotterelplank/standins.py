"""The command line of the stand-ins, and the way to start one inside a process.

Each command serves until SIGTERM or SIGINT; as soon as it accepts connections it
prints ``{"listening": "ADDRESS:PORT"}`` as a line of JSON.
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
    standin_engine_http,
    standin_http as shell,
    standin_platform,
    standin_service,
)
from .standin_engine import EngineFaults, EngineSettings

THREADS = 64

app = typer.Typer(
    help="Stand-ins of the outside systems, for trials.", no_args_is_help=True
)

Address = t.Annotated[str, typer.Option(help="IP number to listen on.")]
Port = t.Annotated[int, typer.Option(help="Port to listen on; 0 takes a free one.")]
Threads = t.Annotated[int, typer.Option(help="Calls that can be in progress, plus 4.")]


@contextlib.contextmanager
def serving_platform(
    address: str = shell.LOOPBACK, port: int = 0, threads: int = THREADS
) -> t.Iterator[tuple[standin_platform.Platform, int]]:
    """Serve a platform inside this process; yield it and its port."""
    platform = standin_platform.Platform()
    routes = standin_platform.routes(platform)
    with _served(routes, address, port, threads, platform.close) as bound_port:
        yield platform, bound_port


@contextlib.contextmanager
def serving_engine(
    settings: EngineSettings | None = None,
    address: str = shell.LOOPBACK,
    port: int = 0,
    threads: int = THREADS,
) -> t.Iterator[tuple[standin_engine_http.Engine, int]]:
    """Serve an engine inside this process; yield it and its port."""
    with standin_engine_http.running(settings) as engine:
        routes = standin_engine_http.routes(engine)
        with _served(routes, address, port, threads, engine.close) as bound_port:
            yield engine, bound_port


@contextlib.contextmanager
def serving_service(
    address: str = shell.LOOPBACK, port: int = 0, threads: int = THREADS
) -> t.Iterator[tuple[standin_service.Service, int]]:
    """Serve a plain service inside this process; yield it and its port."""
    service = standin_service.Service()
    routes = standin_service.routes(service)
    with _served(routes, address, port, threads, service.close) as bound_port:
        yield service, bound_port


@app.command()
def platform(
    address: Address = shell.LOOPBACK,
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
    address: Address = shell.LOOPBACK,
    port: Port = 0,
    threads: Threads = THREADS,
    settings: t.Annotated[
        str, typer.Option(help="JSON object of EngineSettings.")
    ] = "{}",
    faults: t.Annotated[str, typer.Option(help="JSON object of EngineFaults.")] = "{}",
) -> None:
    """Serve one model server."""
    checked = _option(EngineSettings, settings)
    checked_faults = _option(EngineFaults, faults)
    with serving_engine(checked, address, port, threads) as (served, bound_port):
        served.change_faults(checked_faults)
        _wait_for_stop(address, bound_port)


@app.command()
def service(
    address: Address = shell.LOOPBACK, port: Port = 0, threads: Threads = THREADS
) -> None:
    """Serve a plain service."""
    with serving_service(address, port, threads) as (_, bound_port):
        _wait_for_stop(address, bound_port)


M = t.TypeVar("M", bound=pydantic.BaseModel)


def _option(model: type[M], text: str) -> M:
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise typer.BadParameter(str(error)) from None


@contextlib.contextmanager
def _served(
    routes: t.Sequence[shell.Route],
    address: str,
    port: int,
    threads: int,
    close: t.Callable[[], None],
) -> t.Iterator[int]:
    application = shell.make_app(routes, threads)
    with shell.serving(application, address, port, threads) as bound_port:
        try:
            yield bound_port
        finally:
            # Calls that wait must end before the server joins its threads.
            close()


def _wait_for_stop(address: str, bound_port: int) -> None:
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    print(json.dumps({"listening": f"{address}:{bound_port}"}), flush=True)
    stopped.wait()
