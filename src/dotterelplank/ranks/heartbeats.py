"""When an agent tells which of the others that it lives.

The load that this answers: all agents of a group tell all others, so that what each
host sends in a second grows with the group, and its link doesn't.
"""

import dataclasses
import math
import typing as t

MIN_INTERVAL_MS: t.Final = 250.0
LINK_RATIO: t.Final = 0.1
"""The part of a host's link that heartbeats may take."""
HEARTBEAT_BYTES: t.Final = 140
"""What a heartbeat takes on a link."""
MAX_MISSED: t.Final = 4
"""Heartbeats that don't come before an agent isn't counted on."""


def interval_ms(others: int, link_mbps: float) -> float:
    """Return the time between two heartbeats to the same agent.

    :param link_mbps: what the host can send, in millions of bits a second.
    """
    round_ms = others * HEARTBEAT_BYTES * 8 / (link_mbps * 1000 * LINK_RATIO)
    return max(MIN_INTERVAL_MS, round_ms)


@dataclasses.dataclass
class HeartbeatSchedule:
    """Whom heartbeats go to in turn; a part of the agents each time."""

    sent_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def due(
        self, now_ms: float, ips: t.Collection[str], period_ms: float, tick_ms: float
    ) -> list[str]:
        """Return who is sent a heartbeat now, and note it.

        :param period_ms: time between two heartbeats to the same agent.
        :param tick_ms: time between two calls.
        """
        max_due = math.ceil(len(ips) * tick_ms / period_ms)
        never_ms = now_ms - 2 * period_ms
        waiting = [
            ip
            for ip in ips
            if now_ms - self.sent_ms.get(ip, never_ms) > period_ms - tick_ms
        ]
        waiting.sort(key=lambda ip: (self.sent_ms.get(ip, never_ms), ip))
        for ip in waiting[:max_due]:
            self.sent_ms[ip] = now_ms
        return waiting[:max_due]
