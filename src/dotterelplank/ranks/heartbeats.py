"""The schedule of the heartbeats that an agent sends to the other agents.

Each agent of a group sends heartbeats to all others. The bandwidth of a host's link
doesn't grow with the size of the group, so the interval between heartbeats does.
"""

import dataclasses
import math
import typing as t

MIN_INTERVAL_MS: t.Final = 250.0
LINK_RATIO: t.Final = 0.1
"""The fraction of a link's bandwidth that heartbeats may use."""
HEARTBEAT_BYTES: t.Final = 140
"""The size of a heartbeat on the link."""
MAX_MISSED: t.Final = 4
"""The number of heartbeats that may be missed before an agent isn't alive any more."""


def interval_ms(others: int, link_mbps: float) -> float:
    """Return the time between two heartbeats to the same agent.

    :param others: number of agents that heartbeats are sent to.
    :param link_mbps: bandwidth of the host's link, in megabits per second.
    """
    round_ms = others * HEARTBEAT_BYTES * 8 / (link_mbps * 1000 * LINK_RATIO)
    return max(MIN_INTERVAL_MS, round_ms)


@dataclasses.dataclass
class HeartbeatSchedule:
    """The rotation in which the agents are sent heartbeats, some of them each time.

    :param sent_ms: when each address was last sent a heartbeat.
    """

    sent_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def due(
        self, now_ms: float, ips: t.Collection[str], period_ms: float, tick_ms: float
    ) -> list[str]:
        """Return the addresses to send a heartbeat to now, and record them as sent.

        :param ips: addresses of all other agents.
        :param period_ms: time between two heartbeats to the same agent.
        :param tick_ms: time between two calls of this function.
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
