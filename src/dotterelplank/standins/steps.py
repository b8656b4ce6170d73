"""The loop that advances the state of a stand-in by the monotonic clock."""

import contextlib
import threading
import typing as t

from ..errors import StandinRefusalError
from . import http as standin_http


class StepLoop:
    """Protects a state by a lock and advances it whenever something is due.

    :param advance: called under the lock with the current time in milliseconds;
        executes what is due in the state.
    :param next_due_ms: returns when something is next due, or None if nothing is due
        without a further call.
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
        """Advance the state until the loop is closed."""
        with self.changed:
            while not self.closed:
                self._advance(standin_http.now_ms())
                # Callers wait for the execution of orders that may have been due.
                self.changed.notify_all()
                self.changed.wait(self._wait_s())

    def close(self) -> None:
        """Stop the loop and end every waiting call."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()

    @contextlib.contextmanager
    def locked(self, is_frozen: t.Callable[[], bool]) -> t.Iterator[float]:
        """Hold the lock and yield the current time in milliseconds.

        :param is_frozen: the caller waits while this returns True.
        :raises StandinRefusalError: when the loop is closed.
        """
        with self.changed:
            self.wait_while(is_frozen)
            yield standin_http.now_ms()
            self.changed.notify_all()

    def wait_while(self, condition: t.Callable[[], bool]) -> None:
        """Release the lock and wait while ``condition`` returns True.

        :raises StandinRefusalError: when the loop is closed.
        """
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
    """Run ``step_loop`` on a thread of its own until the context ends."""
    thread = threading.Thread(target=step_loop.run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        step_loop.close()
        thread.join()
