"""The monitoring of a held pass, to detect a hold that no agent releases."""

import dataclasses
import logging
import typing as t

from .. import events
from .views import RankView

log = logging.getLogger(__name__)

ORPHANED_HOLD_TIMEOUT_MS: t.Final = 400.0
"""How long a rank may hold a pass before its agent resolves the hold, unless the agent
drives a change of its own."""


def is_holding(view: RankView) -> bool:
    """Return whether a rank holds a pass that hasn't begun yet."""
    return view.held is not None and view.held > view.step


@dataclasses.dataclass
class HoldMonitor:
    """Tracks the pass that the own rank holds.

    :param step: the pass; ``None`` if the rank holds none that is still to begin.
    :param since_ms: when this hold, or its absence, was first reported.
    :param is_logged: whether it was logged that the hold is orphaned.
    """

    step: int | None = None
    since_ms: float = 0.0
    is_logged: bool = False

    def on_view(self, now_ms: float, view: RankView) -> None:
        """Record the latest report of the own rank."""
        step = view.held if is_holding(view) else None
        if step != self.step:
            self.step = step
            self.since_ms = now_ms
            self.is_logged = False

    def held_ms(self, now_ms: float) -> float:
        """Return how long the pass has been held, in milliseconds; 0 if none is."""
        return 0.0 if self.step is None else now_ms - self.since_ms

    def is_orphaned(self, now_ms: float) -> bool:
        """Return whether the pass has been held for ``ORPHANED_HOLD_TIMEOUT_MS``."""
        return (
            self.step is not None and self.held_ms(now_ms) >= ORPHANED_HOLD_TIMEOUT_MS
        )

    def log_orphaned(self, now_ms: float, **inputs: t.Any) -> None:
        """Log an orphaned hold, once per hold.

        :param inputs: further log fields.
        """
        if self.is_logged or not self.is_orphaned(now_ms):
            return
        self.is_logged = True
        events.emit(
            log,
            events.PASS_HELD,
            step=self.step,
            held_ms=round(self.held_ms(now_ms)),
            **inputs,
        )
