"""Daemon threads for blocking calls, which don't delay the end of the process.

The interpreter joins the threads of :mod:`concurrent.futures` when it exits. A thread
that waits half a minute for the platform would therefore keep a stopped process alive.
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
    """A pool of daemon threads, which are reused because starting a thread is slow.

    The pool grows to the largest number of tasks that were in progress at once. The
    caller must limit that number.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: queue.SimpleQueue[_Task] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._idle_threads = 0

    def submit(self, target: t.Callable[..., None], *arguments: t.Any) -> None:
        """Run ``target`` on an idle thread, or on a new one if none is idle."""
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
