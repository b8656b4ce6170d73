"""Revisions of the platform's store, which stay comparable when it is restored."""

import typing as t


class Revision(t.NamedTuple):
    """A revision of the store; a later one compares as greater.

    A store that is restored from an older copy assigns the numbers after the copy's
    revision again. The era rises each time, so a lower number of a higher era is later.

    :param era: how often the store was restored from a copy.
    :param number: increases with each change within an era.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


FIRST: t.Final = Revision(0, 0)
"""The revision before any change."""
