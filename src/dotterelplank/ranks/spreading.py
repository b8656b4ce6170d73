"""How one message reaches many hosts while each sends few.

The load that this answers: what one host sends at once must not grow with the size of
its group, as links are thin, and what doesn't fit on them is lost.
"""

import typing as t

FANOUT: t.Final = 6
"""Hosts that each one sends to; each of these passes the message on to its part."""

Name = t.TypeVar("Name")


def branches(names: t.Sequence[Name]) -> list[list[Name]]:
    """Return the parts in which the first is sent the message, for the rest as well."""
    count = min(FANOUT, len(names))
    return [list(names[number::count]) for number in range(count)]
