"""Work that goes on for as long as a process lives, whatever fault it meets."""

import asyncio
import logging
import typing as t

from . import events

RESTART_PAUSE_S: t.Final = 0.5

log = logging.getLogger(__name__)


async def run_supervised(name: str, work: t.Callable[[], t.Awaitable[None]]) -> None:
    """Run ``work`` until cancelled; begin it again after a fault of this program."""
    while True:
        try:
            await work()
        except Exception as error:
            events.emit(log, events.HANDLER_FAILED, what=name, why=repr(error))
            log.exception("a fault ended %s", name)
        await asyncio.sleep(RESTART_PAUSE_S)


class BackgroundTasks:
    """Tasks that nobody waits for; each is kept until it ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Let ``work`` run on the present loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
