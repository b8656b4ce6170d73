"""The command line."""

import dataclasses
import json
import pathlib
import signal
import threading
import typing as t

import pydantic
import typer
import urllib3

from . import logs
from .benches.cli import app as benches_app
from .config import configuration, settings as settings_module
from .config.selectors import RequestAttributes
from .config.settings import AgentSettings, EntrySettings
from .daemons import explain as explain_module
from .daemons.agent import Agent
from .daemons.entry import Entry
from .daemons.platform_client import parse_host_list
from .demo import demo as demo_module
from .errors import ConfigurationError, InputError, InvariantError
from .models import order_soak, soak as soaks
from .standins.cli import app as standins_app

app = typer.Typer(
    help="Load balancer for expert-parallel model groups.", no_args_is_help=True
)
app.add_typer(standins_app, name="standin")
app.add_typer(benches_app, name="bench")

_EXIT_BAD_INPUT = 2
_EXIT_STOP_TIMEOUT = 3
_SUPERSEDED_CHECK_S = 0.2

SettingsPath = t.Annotated[
    pathlib.Path, typer.Argument(help="Settings of the process.")
]
Json = t.Annotated[bool, typer.Option("--json", help="Print JSON.")]


@app.command()
def entry(path: SettingsPath) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    loaded = _load(EntrySettings, path)
    logs.configure(loaded.host, loaded.log_format, loaded.log_level)
    daemon = Entry(loaded)
    _run(
        daemon,
        lambda: {
            "caller_port": daemon.caller_port,
            "peer_port": daemon.daemon.peer_port,
            "status_port": daemon.daemon.status_port,
        },
    )


@app.command()
def agent(path: SettingsPath) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    loaded = _load(AgentSettings, path)
    logs.configure(loaded.host, loaded.log_format, loaded.log_level)
    daemon = Agent(loaded)
    _run(
        daemon,
        lambda: {
            "peer_port": daemon.daemon.peer_port,
            "status_port": daemon.daemon.status_port,
        },
    )


def _run(daemon: Entry | Agent, ports: t.Callable[[], dict[str, int]]) -> None:
    """Run until the first signal, or until a newer process supersedes this one."""
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    daemon.start()
    typer.echo(json.dumps(ports()))
    while not stop_requested.wait(_SUPERSEDED_CHECK_S):
        if daemon.daemon.superseded.is_set():
            break
    if not daemon.stop():
        raise typer.Exit(_EXIT_STOP_TIMEOUT)


_Kind = t.TypeVar("_Kind", EntrySettings, AgentSettings)


def _load(kind: type[_Kind], path: pathlib.Path) -> _Kind:
    try:
        return settings_module.load(kind, path)
    except InputError as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error


def _read_configuration(path: pathlib.Path) -> configuration.Configuration:
    try:
        return configuration.parse(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    except ConfigurationError as error:
        for fault in error.faults:
            typer.echo(f"{path}: {fault}", err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error


@app.command()
def check(
    path: t.Annotated[pathlib.Path, typer.Argument(help="Configuration to check.")],
    as_json: Json = False,
) -> None:
    """Check a configuration in the same way as every process does."""
    parsed = _read_configuration(path)
    summary = {
        "groups": len(parsed.groups),
        "rules": len(parsed.rules),
        "teams": len(parsed.share_by_team),
    }
    if as_json:
        typer.echo(json.dumps(summary))
    else:
        counts = ", ".join(f"{count} {name}" for name, count in summary.items())
        typer.echo(f"{path}: accepted: {counts}")


@app.command()
def explain(
    config: t.Annotated[pathlib.Path, typer.Option(help="Configuration.")],
    target: t.Annotated[str, typer.Option(help="Requested model or service.")],
    team: t.Annotated[str, typer.Option(help="Team that sends the request.")],
    priority: t.Annotated[int, typer.Option(help="Priority, 0 to 9.")] = 0,
    method: t.Annotated[str, typer.Option(help="HTTP method.")] = "POST",
    hosts: t.Annotated[
        pathlib.Path | None, typer.Option(help="Host list as read from the platform.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Show which rule matches a request, why, and which endpoints it selects."""
    parsed = _read_configuration(config)
    known = _read_hosts(hosts) if hosts else []
    try:
        explained = explain_module.explain(
            parsed, known, RequestAttributes(target, team, priority, method)
        )
    except InputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(explained)))
    else:
        typer.echo(explain_module.as_text(explained), nl=False)


def _read_hosts(path: pathlib.Path) -> list[t.Any]:
    try:
        return list(parse_host_list(path.read_text(encoding="utf-8")).values())
    except (OSError, ValueError, pydantic.ValidationError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error


@app.command()
def status(
    address: t.Annotated[str, typer.Argument(help="Status address, IP:PORT.")],
    as_json: Json = False,
) -> None:
    """Print the status of a running process."""
    suffix = "" if as_json else "?format=text"
    try:
        response = urllib3.request(
            "GET", f"http://{address}/status{suffix}", retries=False, timeout=5.0
        )
    except urllib3.exceptions.HTTPError as error:
        typer.echo(f"{address}: {error}", err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    typer.echo(response.data.decode(), nl=False)


_SOAKS = {
    "map-changes": (soaks.run_map_changes, soaks.missing),
    "orders": (order_soak.run_orders, order_soak.missing),
}


@app.command()
def soak(
    seed: t.Annotated[int, typer.Option(help="Seed of the run.")] = 1,
    steps: t.Annotated[int, typer.Option(help="Random steps of each model.")] = 200_000,
) -> None:
    """Run the protocol models under random faults; a seed repeats a run exactly."""
    is_complete = True
    for name, (run, missing) in _SOAKS.items():
        try:
            coverage = run(seed, steps)
        except InvariantError as error:
            typer.echo(f"{name}: invariant violated: {error}", err=True)
            raise typer.Exit(1) from error
        uncovered = missing(coverage)
        is_complete = is_complete and not uncovered
        typer.echo(f"{name}: seed {seed}, {steps} steps, no invariant violated")
        for what in sorted(coverage):
            typer.echo(f"  {what}: {coverage[what]}")
        for what in uncovered:
            typer.echo(f"  not reached: {what}", err=True)
    if not is_complete:
        raise typer.Exit(1)


@app.command()
def demo() -> None:
    """Run all parts on loopback in one process and check the responses."""
    if not demo_module.run(typer.echo):
        raise typer.Exit(1)
