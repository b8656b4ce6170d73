"""Run one process of the system, as started by the platform."""

import argparse
import asyncio
import logging
import os
import sys

from .. import events, logs
from ..errors import SettingsError
from ..logsink import FLUSH_INTERVAL_S, BoundedHandler
from . import settings

_BAD_SETTINGS = 2
_STANDARD_OUTPUT = 1

log = logging.getLogger("dotterelplank.platform")


async def _entry(port: int | None) -> None:
    from ..gateway.entry import Entry

    await Entry(settings.load(), settings.load, port).run()


async def _agent(port: int | None) -> None:
    from ..ranks.agent import Agent

    await Agent(settings.load(), port).run()


_ROLES = {"agent": _agent, "entry": _entry}


async def _run(role: str, port: int | None, sink: BoundedHandler) -> None:
    flushing = asyncio.get_running_loop().create_task(_flush(sink))
    try:
        await _ROLES[role](port)
    finally:
        flushing.cancel()


async def _flush(sink: BoundedHandler) -> None:
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        sink.flush()
        dropped = sink.take_dropped()
        if dropped:
            events.emit(log, events.LOG_LINES_DROPPED, lines=dropped)


def main() -> int:
    """Run the role named on the command line until it stops; return the exit status."""
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
        asyncio.run(_run(arguments.role, arguments.metrics_port, sink))
    finally:
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
