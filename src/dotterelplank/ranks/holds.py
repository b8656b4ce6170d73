"""Passes that are held, and whether somebody must clear them up."""

import dataclasses
import logging
import typing as t

from .. import events
from .views import RankView

log = logging.getLogger(__name__)

ORPHANED_HOLD_TIMEOUT_MS: t.Final = 400.0
"""How long a pass may be held without a change known to the agent of its rank."""


def is_holding(view: RankView) -> bool:
    """Return whether a rank keeps its group from a pass to come."""
    return view.held is not None and view.held > view.step


@dataclasses.dataclass
class HoldMonitor:
    """The pass that the own rank holds.

    :param step: the pass; none: it holds none that is to come.
    :param since_ms: when it was first seen.
    :param is_logged: whether it was logged that nobody went on with it in time.
    """

    step: int | None = None
    since_ms: float = 0.0
    is_logged: bool = False

    def on_view(self, now_ms: float, view: RankView) -> None:
        """Take in the own rank's state."""
        step = view.held if is_holding(view) else None
        if step != self.step:
            self.step = step
            self.since_ms = now_ms
            self.is_logged = False

    def held_ms(self, now_ms: float) -> float:
        """Return for how long the pass has been held; 0 if none is."""
        return 0.0 if self.step is None else now_ms - self.since_ms

    def is_orphaned(self, now_ms: float) -> bool:
        """Return whether nobody has gone on with the pass in time."""
        return (
            self.step is not None and self.held_ms(now_ms) >= ORPHANED_HOLD_TIMEOUT_MS
        )

    def log_orphaned(self, now_ms: float, **inputs: t.Any) -> None:
        """Log once that a pass is held for long, and what is known here."""
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
