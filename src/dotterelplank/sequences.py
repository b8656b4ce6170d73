"""Which of the messages of a sender are newer than those before.

A process that is started anew begins to count again. Its incarnation is drawn, not read
from a clock, as clocks are set back; so it tells that a process is another one, and not
which came later. The one that was heard later is: its predecessor has ended.
"""

import collections
import dataclasses
import secrets
import typing as t

INCARNATION_BITS: t.Final = 53
MAX_SUPERSEDED_INCARNATIONS: t.Final = 8
"""Processes of a sender whose late messages are still known to be old."""


def new_incarnation() -> int:
    """Return a number that no other process of the host has had."""
    return secrets.randbits(INCARNATION_BITS)


@dataclasses.dataclass
class Sequence:
    """The messages of the processes at one address.

    :param incarnation: of the process that was heard last; none: nothing was heard.
    :param number: of its latest message.
    :param superseded: incarnations of those before it.
    """

    incarnation: int | None = None
    number: int = 0
    superseded: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SUPERSEDED_INCARNATIONS)
    )

    def accept(self, incarnation: int, number: int) -> bool:
        """Take in a message; return whether it is newer than those before."""
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
