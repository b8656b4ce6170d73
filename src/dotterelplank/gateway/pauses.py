"""Pauses that servers ask for: times in which they want no calls from this entry."""

import dataclasses
import typing as t

MAX_PAUSE_MS: t.Final = 3_600_000.0
"""A longer pause counts as none, as the server is mistaken."""


@dataclasses.dataclass
class Pauses:
    """The pauses that servers have asked this entry for, by their incarnation."""

    until_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def record(self, now_ms: float, incarnation: str, pause_ms: float) -> bool:
        """Record that a server wants no calls for a time.

        :return: whether its pause now ends later than before.
        """
        if not 0.0 < pause_ms <= MAX_PAUSE_MS:
            return False
        if now_ms + pause_ms <= self.until_ms.get(incarnation, now_ms):
            return False
        self.until_ms[incarnation] = now_ms + pause_ms
        return True

    def remaining_ms(self, now_ms: float, incarnation: str) -> float:
        """Return the time for which a server still wants no calls."""
        return max(0.0, self.until_ms.get(incarnation, now_ms) - now_ms)

    def expire(self, now_ms: float) -> None:
        """Forget the pauses that have ended."""
        for incarnation, until_ms in list(self.until_ms.items()):
            if until_ms <= now_ms:
                del self.until_ms[incarnation]
