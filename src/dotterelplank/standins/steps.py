"""The thread that drives a pure stand-in on the monotonic clock."""

import contextlib
import threading
import typing as t

from ..errors import StandinRefusalError
from . import http as standin_http


class StepLoop:
    """A lock around a pure state, and what is needed to drive it.

    :param advance: takes the state to the present time.
    :param next_due_ms: tells when the state is next worth a call, None when idle.
    """

    def __init__(
        self,
        advance: t.Callable[[float], None],
        next_due_ms: t.Callable[[], float | None],
    ) -> None:
        self.changed = threading.Condition()
        self.closed = False
        self._advance = advance
        self._next_due_ms = next_due_ms

    def run(self) -> None:
        """Drive the state until it is closed."""
        with self.changed:
            while not self.closed:
                self._advance(standin_http.now_ms())
                # Callers wait for orders that may have come due just now.
                self.changed.notify_all()
                self.changed.wait(self._wait_s())

    def close(self) -> None:
        """Stop driving the state and let every waiting call end."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()

    @contextlib.contextmanager
    def locked(self, is_frozen: t.Callable[[], bool]) -> t.Iterator[float]:
        """Hold the lock, once ``is_frozen`` is false, and yield the present time."""
        with self.changed:
            self.wait_while(is_frozen)
            yield standin_http.now_ms()
            self.changed.notify_all()

    def wait_while(self, condition: t.Callable[[], bool]) -> None:
        """Give the lock up while ``condition`` holds; refuse when closed."""
        while condition() and not self.closed:
            self.changed.wait()
        if self.closed:
            raise StandinRefusalError(503, standin_http.Code.DOWN, "the stand-in stops")

    def _wait_s(self) -> float | None:
        due_ms = self._next_due_ms()
        if due_ms is None:
            return None
        return max(0.0, due_ms - standin_http.now_ms()) / 1000.0


@contextlib.contextmanager
def run_in_thread(step_loop: StepLoop) -> t.Iterator[None]:
    """Drive ``step_loop`` on a thread of its own."""
    thread = threading.Thread(target=step_loop.run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        step_loop.close()
        thread.join()
