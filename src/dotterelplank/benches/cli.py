"""The command line of the benchmarks."""

import dataclasses
import json
import typing as t

import typer

from . import (
    capacity as bench_capacity,
    experts as bench_experts,
    limits as bench_limits,
    membership as bench_membership,
    path as bench_path,
    routing as bench_routing,
    shapes as bench_shapes,
)
from .path import BenchError, Load, Target

app = typer.Typer(help="Measures the decisions and the path.", no_args_is_help=True)
app.command("experts")(bench_experts.command)
app.command("routing")(bench_routing.command)
app.command("limits")(bench_limits.command)
app.command("membership")(bench_membership.command)
app.command("heartbeats")(bench_shapes.command)
app.command("capacity")(bench_capacity.command)

_FAILED = 1


@app.command()
def path(
    direct: t.Annotated[list[str], typer.Option(help="URL of an engine; repeatable.")],
    through: t.Annotated[str, typer.Option(help="URL at which an entry serves.")],
    model: t.Annotated[str, typer.Option(help="Model to ask for.")],
    team: t.Annotated[str, typer.Option(help="Team that asks.")],
    status: t.Annotated[
        list[str] | None, typer.Option(help="Status address IP:PORT; repeatable.")
    ] = None,
    stream: t.Annotated[bool, typer.Option(help="Ask for token streams.")] = True,
    concurrency: t.Annotated[int, typer.Option(help="Callers at once.")] = 16,
    requests: t.Annotated[int, typer.Option(help="Requests in all.")] = 320,
    tokens: t.Annotated[int, typer.Option(help="Tokens of an answer.")] = 40,
    as_json: t.Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Compare an engine called directly with the same engines behind an entry."""
    load = Load("load", stream, concurrency, requests, tokens)
    targets = [
        Target("direct", tuple(direct)),
        Target("through", (through,), tuple(status or ())),
    ]
    try:
        report = bench_path.run([load], targets, model, team)
    except BenchError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_FAILED) from error
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        typer.echo(bench_path.as_text(report), nl=False)
