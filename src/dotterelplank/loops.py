"""Loops that are restarted after exceptions, and background tasks."""

import asyncio
import logging
import typing as t

from . import events

RESTART_PAUSE_S: t.Final = 0.5

log = logging.getLogger(__name__)


async def run_supervised(name: str, work: t.Callable[[], t.Awaitable[None]]) -> None:
    """Run ``work`` repeatedly until cancelled, also after it raised an exception.

    There is a pause of RESTART_PAUSE_S before each restart.

    :param name: name of the work in log records.
    """
    while True:
        try:
            await work()
        except Exception as error:
            events.emit(log, events.HANDLER_FAILED, what=name, why=repr(error))
            log.exception("%s ended with an unexpected error", name)
        await asyncio.sleep(RESTART_PAUSE_S)


class BackgroundTasks:
    """A set of tasks that aren't awaited; each one is referenced until it ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Start ``work`` as a task on the running event loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
