"""The distribution of one message to many hosts along a tree.

The bandwidth of a host's link is small, and packets beyond it are lost. The amount that
one host sends at once must therefore not grow with the size of its group.
"""

import typing as t

MAX_BRANCHES: t.Final = 6
"""The maximum number of hosts that a host sends to; each forwards the message."""
MIN_BRANCHES: t.Final = 2
MAX_SEND_MS: t.Final = 30.0
"""The maximum time that a host's link may need for what the host sends at once."""

Name = t.TypeVar("Name")


def branch_count(message_bytes: int, link_mbps: float) -> int:
    """Return the number of hosts to send a message to: fewer, the longer it is.

    :param link_mbps: bandwidth of the host's link, in megabits per second.
    """
    affordable = int(MAX_SEND_MS * link_mbps * 1000 / 8 / max(1, message_bytes))
    return min(MAX_BRANCHES, max(MIN_BRANCHES, affordable))


def split_branches(targets: t.Sequence[Name], limit: int) -> list[list[Name]]:
    """Split ``targets`` into at most ``limit`` branches.

    The message is sent to the first target of each branch, which forwards it to the
    others of the branch.
    """
    count = min(limit, len(targets))
    return [list(targets[number::count]) for number in range(count)]
