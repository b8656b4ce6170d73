"""How one message reaches many hosts while each sends few.

The load that this answers: what one host sends at once must not grow with the size of
its group, as links are thin, and what doesn't fit on them is lost.
"""

import typing as t

MAX_BRANCHES: t.Final = 6
"""Most hosts that each one sends to; each of them passes the message on."""
MIN_BRANCHES: t.Final = 2
MAX_SEND_MS: t.Final = 30.0
"""Time that a host's link may take for what it sends at once."""

Name = t.TypeVar("Name")


def branch_count(message_bytes: int, link_mbps: float) -> int:
    """Return to how many hosts a message is sent: fewer, the longer it is.

    :param link_mbps: what the host can send, in millions of bits a second.
    """
    affordable = int(MAX_SEND_MS * link_mbps * 1000 / 8 / max(1, message_bytes))
    return min(MAX_BRANCHES, max(MIN_BRANCHES, affordable))


def split_branches(targets: t.Sequence[Name], limit: int) -> list[list[Name]]:
    """Return at most ``limit`` parts; the first of each is sent the message for all."""
    count = min(limit, len(targets))
    return [list(targets[number::count]) for number in range(count)]
