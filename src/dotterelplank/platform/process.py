"""One process of the system, as started by the platform."""

import argparse
import asyncio
import logging
import os
import socket
import sys
import typing as t

from .. import events, logs
from ..errors import SettingsError
from ..gateway.host import HostSettings
from ..logsink import FLUSH_INTERVAL_S, BoundedHandler
from . import settings

_BAD_SETTINGS = 2
_STANDARD_OUTPUT = 1

log = logging.getLogger("dotterelplank.platform")


async def _run_entry(
    host: HostSettings, port: int | None, listener: socket.socket | None
) -> None:
    from ..gateway.entry import Entry

    await Entry(host, settings.load, port, listener).run()


async def _run_agent(
    host: HostSettings, port: int | None, listener: socket.socket | None
) -> None:
    from ..ranks.agent import Agent

    if listener is not None:
        # Agents serve no callers.
        listener.close()
    await Agent(host, port, settings.load).run()


_ROLES: t.Final = {"agent": _run_agent, "entry": _run_entry}


async def _run(work: t.Awaitable[None], sink: BoundedHandler) -> None:
    """Do the work of the process, and write its log meanwhile."""
    flushing = asyncio.get_running_loop().create_task(_flush(sink))
    try:
        await work
    finally:
        flushing.cancel()


async def _flush(sink: BoundedHandler) -> None:
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        sink.flush()
        dropped = sink.take_dropped()
        if dropped:
            events.emit(log, events.LOG_LINES_DROPPED, lines=dropped)


def run(listener: socket.socket | None) -> int:
    """Run the role named on the command line until it stops; return the exit status.

    :param listener: the callers' listener, if it is open already.
    """
    parser = argparse.ArgumentParser(prog="dotterelplank.platform", description=__doc__)
    parser.add_argument("role", choices=sorted(_ROLES))
    parser.add_argument("--metrics-port", type=int, default=None)
    arguments = parser.parse_args()
    try:
        host = settings.load()
    except SettingsError as error:
        print(f"settings refused: {error}", file=sys.stderr)
        return _BAD_SETTINGS
    os.set_blocking(_STANDARD_OUTPUT, False)
    sink = BoundedHandler(_STANDARD_OUTPUT)
    logs.send_to(sink, host.name, "json", "INFO")
    try:
        work = _ROLES[arguments.role](host, arguments.metrics_port, listener)
        asyncio.run(_run(work, sink))
    finally:
        sink.flush()
    return 0
