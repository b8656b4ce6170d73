"""Shares of the limits that servers name: which entries may send, and how often.

A server's limit applies to all entries together and is often lower than one request a
second for each. So only a few entries, chosen by rendezvous hashing of the server and
the entry, send to it, each at the same rate. Nothing is saved up for later, so that an
entry which takes over from another one may wait for its turn but sends no burst.
"""

import dataclasses
import hashlib
import math
import typing as t

from .server_limits import NO_LIMIT, ServerLimit, ServerLimits

MIN_SHARE_PER_S: t.Final = 1.0
"""Lowest rate of one entry, unless the whole limit is lower."""
MIN_LIMIT_PER_S: t.Final = 0.05
"""Lowest limit that is kept; below it no entry would notice that a limit has ended."""
MIN_STALE_MS: t.Final = 5_000.0
STALE_INTERVALS: t.Final = 3
"""Intervals of a limit without an answer after which every entry takes a share of it.

The entries that hold it may have no calls, and then none would notice its end.
"""


@dataclasses.dataclass
class LimitShares:
    """The shares of one entry in the limits of servers.

    :param last_ms: for each server that the entry has a share in, by its incarnation,
        the time of the last request, or of the begin of the share.
    """

    last_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def wait_ms(
        self,
        now_ms: float,
        incarnation: str,
        limits: ServerLimits,
        own_name: str,
        entries: t.Collection[str],
    ) -> float:
        """Return the time until the entry may send a request to a server.

        :param own_name: name of this entry.
        :param entries: names of the entries that are alive, this one included.
        :return: the time; infinite if other entries hold the limit.
        """
        limit = limits.limits.get(incarnation)
        if limit is None or limit.per_s == NO_LIMIT:
            self.last_ms.pop(incarnation, None)
            return 0.0
        per_s = share_of_limit(now_ms, incarnation, limit, own_name, entries)
        if not per_s:
            self.last_ms.pop(incarnation, None)
            return math.inf
        last_ms = self.last_ms.setdefault(incarnation, now_ms)
        return max(0.0, last_ms + 1000.0 / per_s - now_ms)

    def record_send(self, now_ms: float, incarnation: str) -> None:
        """Record a request that is about to be sent to a server."""
        if incarnation in self.last_ms:
            self.last_ms[incarnation] = now_ms

    def keep_only(self, present: t.Collection[str]) -> None:
        """Forget the shares at servers that aren't listed any more."""
        for incarnation in self.last_ms.keys() - set(present):
            del self.last_ms[incarnation]


def share_of_limit(
    now_ms: float,
    incarnation: str,
    limit: ServerLimit,
    own_name: str,
    entries: t.Collection[str],
) -> float:
    """Return the requests a second that an entry may send; 0 if others hold the limit.

    The shares of all entries add up to the limit.
    """
    per_s = max(MIN_LIMIT_PER_S, limit.per_s)
    stale_ms = max(MIN_STALE_MS, STALE_INTERVALS * 1000.0 / per_s)
    if now_ms - limit.answered_ms > stale_ms:
        return per_s / len(entries)
    holders = max(1, min(len(entries), int(per_s / MIN_SHARE_PER_S)))
    ranked = sorted(entries, key=lambda name: _weight(incarnation, name))
    return per_s / holders if own_name in ranked[:holders] else 0.0


def _weight(incarnation: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{incarnation} {entry}".encode(), digest_size=8).digest()
