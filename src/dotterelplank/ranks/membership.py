"""The members of a service that an agent knows, and requests for them among agents.

The platform's store may refuse some hosts. An agent that starts on such a host learns
the members from agents that could read the store.
"""

import dataclasses
import typing as t

from ..gateway.host import Address
from ..gateway.revisions import FIRST, Revision
from ..gateway.tables import ExpertLayout

REQUEST_INTERVAL_MS: t.Final = 100.0
"""The minimum time between two requests to other agents."""
LINK_RATIO: t.Final = 0.1
"""The fraction of a link's bandwidth that replies to such requests may use."""


class RankId(t.NamedTuple):
    """The identity of a rank within its service.

    :param rank: number of the rank, which is unique within its group only.
    """

    group: str
    rank: int


@dataclasses.dataclass
class Members:
    """The servers of a service, which may form several groups of ranks.

    :param ranks: address of each rank's server.
    :param layout: the layout of the service's expert maps; ``None`` if it isn't known.
    :param gap_target_ms: shortest target of the service's routes for the time between
        two events of a response; 0 if no route has such a target.
    :param groups: the group of the rank on each known host, by the host's IP address;
        ``None`` if it isn't known.
    :param revision: revision of the platform's store at which the members were read.
    """

    ranks: dict[RankId, Address]
    layout: ExpertLayout | None
    gap_target_ms: float = 0.0
    groups: dict[str, str | None] = dataclasses.field(default_factory=dict)
    revision: Revision = FIRST

    def addresses(self, group: str) -> dict[int, Address]:
        """Return the addresses of a group's servers, by rank."""
        return {
            rank_id.rank: address
            for rank_id, address in self.ranks.items()
            if rank_id.group == group
        }

    def ips(self, group: str) -> set[str]:
        """Return the hosts whose agents belong to a group, or may belong to it."""
        return {ip for ip, known in self.groups.items() if known in (None, group)}


@dataclasses.dataclass
class Membership:
    """The members of a service that one agent knows.

    :param link_mbps: bandwidth of the host's link, in megabits per second.
    :param last_request_ms: when another agent was last sent a request; ``None`` if none
        was.
    :param link_busy_until_ms: when the link has bandwidth for the next reply.
    """

    link_mbps: float
    members: Members = dataclasses.field(default_factory=lambda: Members({}, None))
    last_request_ms: float | None = None
    link_busy_until_ms: float = 0.0

    def knows_all(self, group: str, size: int) -> bool:
        """Return whether the layout and the addresses of all ranks are known.

        :param size: number of ranks of the group.
        """
        if self.members.layout is None:
            return False
        return len(self.members.addresses(group)) >= size

    def add_ip(self, ip: str, group: str | None = None) -> None:
        """Add the address of an agent.

        :param group: group of the agent's rank; ``None`` if it isn't known.
        """
        if group is not None or ip not in self.members.groups:
            self.members.groups[ip] = group

    def merge(self, received: Members) -> bool:
        """Replace the known members by ``received`` ones, unless those are older.

        Known members without a layout are always replaced. Addresses of agents are
        kept. Those of ranks are kept if the store was restored from a copy, which may
        lack some ranks. Return whether the members were replaced.
        """
        if (
            self.members.layout is not None
            and received.revision < self.members.revision
        ):
            return False
        known = self.members
        self.members = dataclasses.replace(
            received, groups={**known.groups, **received.groups}
        )
        if received.revision.era > known.revision.era:
            self.members.ranks = {**known.ranks, **received.ranks}
            self.members.layout = received.layout or known.layout
        return True

    def may_request(self, now_ms: float, group: str, size: int) -> bool:
        """Return whether to send a request now, and record it as sent.

        :param size: number of ranks of the group.
        """
        if self.knows_all(group, size):
            return False
        if (
            self.last_request_ms is not None
            and now_ms - self.last_request_ms < REQUEST_INTERVAL_MS
        ):
            return False
        self.last_request_ms = now_ms
        return True

    def may_reply(self, now_ms: float) -> bool:
        """Return whether the members are known and the link has bandwidth for a reply.

        An agent that gets no reply repeats its request.
        """
        return self.members.layout is not None and now_ms >= self.link_busy_until_ms

    def record_reply(self, now_ms: float, sent_bytes: int) -> None:
        """Record that a reply of ``sent_bytes`` was sent."""
        sending_ms = sent_bytes * 8 / (self.link_mbps * 1000 * LINK_RATIO)
        self.link_busy_until_ms = now_ms + sending_ms
