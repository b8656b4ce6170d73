"""Detection of old messages by the sender's incarnation and message number.

A process that is restarted numbers its messages from the start again. Its incarnation
is a random number rather than a time, since clocks may be set back. Incarnations
therefore show that two processes differ, but not which one is newer. The process whose
first message was received later is taken as the newer one, since its predecessor must
have ended.
"""

import collections
import dataclasses
import secrets
import typing as t

INCARNATION_BITS: t.Final = 53
MAX_SUPERSEDED_INCARNATIONS: t.Final = 8
"""Number of earlier incarnations of a sender whose late messages are recognized."""


def new_incarnation() -> int:
    """Return a random number that no other process of the host is likely to have."""
    return secrets.randbits(INCARNATION_BITS)


@dataclasses.dataclass
class Sequence:
    """The sequence of messages from the processes at one address.

    :param incarnation: incarnation of the newest process; None before any message.
    :param number: number of the latest message of that process.
    :param superseded: incarnations of the processes before it.
    """

    incarnation: int | None = None
    number: int = 0
    superseded: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SUPERSEDED_INCARNATIONS)
    )

    def accept(self, incarnation: int, number: int) -> bool:
        """Record a message and return whether it is newer than all earlier ones."""
        if incarnation in self.superseded:
            return False
        if incarnation == self.incarnation:
            if number <= self.number:
                return False
        elif self.incarnation is not None:
            self.superseded.append(self.incarnation)
        self.incarnation = incarnation
        self.number = number
        return True
