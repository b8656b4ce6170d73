"""Who belongs to a service, as far as an agent knows, and whom it asks for more.

The load that this answers: the platform's store turns some hosts away, and an agent
that starts on one of them knows nobody. Whoever could read the store tells it.
"""

import dataclasses
import typing as t

from ..gateway.host import Address
from ..gateway.tables import ExpertLayout

REQUEST_INTERVAL_MS: t.Final = 100.0
"""Time between two questions to other agents."""
LINK_RATIO: t.Final = 0.1
"""The part of a host's link that the answers to such questions may take."""


@dataclasses.dataclass
class Members:
    """The servers of a service.

    :param ranks: address of each rank's server.
    :param layout: the layout of the service's expert maps, if it has any.
    :param gap_target_ms: shortest pause between events that its routes ask for; 0 if
        none does.
    :param ips: addresses of the hosts beside which they run.
    :param revision: the platform's revision at which they were read.
    """

    ranks: dict[int, Address]
    layout: ExpertLayout | None
    gap_target_ms: float = 0.0
    ips: set[str] = dataclasses.field(default_factory=set)
    revision: int = 0


@dataclasses.dataclass
class Membership:
    """What one agent knows of its service.

    :param last_request_ms: when another agent was last asked.
    :param link_busy_until_ms: up to when what was told last takes its part of the link.
    """

    link_mbps: float
    members: Members = dataclasses.field(default_factory=lambda: Members({}, None))
    last_request_ms: float | None = None
    link_busy_until_ms: float = 0.0

    def knows_all(self, size: int) -> bool:
        """Return whether the layout and the addresses of ``size`` ranks are known."""
        return self.members.layout is not None and len(self.members.ranks) >= size

    def add_ip(self, ip: str) -> None:
        """Take in that an agent lives at an address."""
        self.members.ips.add(ip)

    def merge(self, received: Members) -> bool:
        """Take in what was read or told; return whether it is newer than what is known.

        Addresses that were learnt otherwise are kept.
        """
        if (
            self.members.layout is not None
            and received.revision < self.members.revision
        ):
            return False
        received.ips.update(self.members.ips)
        self.members = received
        return True

    def may_request(self, now_ms: float, size: int) -> bool:
        """Return whether an agent that knows more is to be asked now, and note it."""
        if self.knows_all(size):
            return False
        if (
            self.last_request_ms is not None
            and now_ms - self.last_request_ms < REQUEST_INTERVAL_MS
        ):
            return False
        self.last_request_ms = now_ms
        return True

    def may_reply(self, now_ms: float) -> bool:
        """Return whether the link has room for an answer; who asks will ask again."""
        return self.members.layout is not None and now_ms >= self.link_busy_until_ms

    def record_reply(self, now_ms: float, sent_bytes: int) -> None:
        """Take in that an answer was sent."""
        took_ms = sent_bytes * 8 / (self.link_mbps * 1000 * LINK_RATIO)
        self.link_busy_until_ms = now_ms + took_ms
