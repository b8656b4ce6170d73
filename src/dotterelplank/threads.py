"""Threads that wait on other systems and must not hold up the end of a process.

The threads of :mod:`concurrent.futures` are joined when the interpreter ends, and one
that waits on the platform for half a minute would keep a stopped process alive.
"""

import logging
import queue
import threading
import typing as t

from . import events

log = logging.getLogger(__name__)

_Task = t.Callable[[], None]


def start_thread(
    name: str, target: t.Callable[..., None], *arguments: t.Any
) -> threading.Thread:
    """Start and return a daemon thread."""
    thread = threading.Thread(target=target, args=arguments, name=name, daemon=True)
    thread.start()
    return thread


class WorkerPool:
    """Daemon threads that are kept for the next task, since a start is slow.

    There are as many threads as tasks have ever been in progress at once; the caller
    bounds the tasks.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: queue.SimpleQueue[_Task] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._idle_threads = 0

    def submit(self, target: t.Callable[..., None], *arguments: t.Any) -> None:
        """Run ``target`` on a free thread, or on a new one if there is none."""
        with self._lock:
            has_idle_thread = self._idle_threads > 0
            self._idle_threads -= has_idle_thread
        self._tasks.put(lambda: target(*arguments))
        if not has_idle_thread:
            start_thread(self._name, self._work)

    def _work(self) -> None:
        while True:
            task = self._tasks.get()
            try:
                task()
            except Exception:
                events.emit(log, events.HANDLER_FAILED, what=self._name)
                log.exception("task failed")
            with self._lock:
                self._idle_threads += 1
