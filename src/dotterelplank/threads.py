"""Threads that wait on other systems and must not hold up the end of a process."""

import threading
import typing as t


def start_thread(
    name: str, target: t.Callable[..., None], *arguments: t.Any
) -> threading.Thread:
    """Start and return a daemon thread.

    A pool's threads are joined when the interpreter ends, and one that waits on the
    platform for half a minute would keep a stopped process alive as long.
    """
    thread = threading.Thread(target=target, args=arguments, name=name, daemon=True)
    thread.start()
    return thread
