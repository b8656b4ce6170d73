"""Failures injected into a fleet on the virtual clock, and the reaction times."""

import dataclasses
import math
import typing as t

from ..members import membership, messages as mm, revisions
from ..members.peers import Role
from ..members.revision_messages import Adopt, Document
from . import tables as bench_tables
from .loop import DOCUMENTS, Conditions, Loop, Process, make_peers

SETTLING_MS = 3_000
STEP_MS = 20
TEAMS = 43_000
VALIDATE_MS = 300


@dataclasses.dataclass(frozen=True)
class FleetSize:
    """Size of a fleet of equal failure domains.

    :param entries: entries in each domain.
    :param agents: agents in each domain.
    """

    domains: int
    entries: int
    agents: int

    @property
    def processes(self) -> int:
        """Return the number of processes."""
        return self.domains * (self.entries + self.agents)


class Fleet:
    """A loop with a running fleet, and the count of false judgements.

    ``false_judgements`` counts how often a live endpoint or entry was suspected or
    declared dead. Hosts that a failure affected within ``SETTLING_MS`` don't count.
    """

    def __init__(self, size: FleetSize, seed: int, loss: float) -> None:
        policy = revisions.RevisionPolicy(validate=str)
        self.size = size
        self.loop = Loop(
            make_peers(size.entries, size.agents, size.domains),
            seed=seed,
            conditions=Conditions(loss=loss),
            member_policy=membership.MembershipPolicy(),
            policies={document: policy for document in DOCUMENTS},
        )
        self.loop.listeners.append(self._observe)
        self.false_judgements = 0
        self.disturbed_ms: dict[str, int] = {}
        self.adopted_ms: dict[str, int] = {}
        self.loop.publish(Document.CONFIGURATION, 1, "first")
        self.loop.publish(Document.HOST_LIST, 2, "first")
        for host in self.loop.peers:
            self.loop.boot(host, joined=True)
        self.loop.run(4_000)

    def _observe(self, process: Process, event: t.Any) -> None:
        if isinstance(event, Adopt) and event.document is Document.CONFIGURATION:
            self.adopted_ms[process.peer.host] = self.loop.now_ms
        if not isinstance(event, mm.MemberChanged):
            return
        if event.status not in (mm.MemberStatus.SUSPECT, mm.MemberStatus.DEAD):
            return
        host = event.peer.host
        since_ms = self.disturbed_ms.get(host, 0)
        is_settled = self.loop.now_ms - since_ms > SETTLING_MS
        if is_settled and self.loop.processes[host].alive:
            self.false_judgements += 1

    def kill(self, hosts: t.Sequence[str]) -> None:
        """End the processes on ``hosts`` without any notice to the others."""
        for host in hosts:
            self.disturbed_ms[host] = self.loop.now_ms
            self.loop.kill(host)

    def replace(self, host: str) -> None:
        """End the process on ``host`` and start a new one there."""
        self.kill([host])
        self.loop.boot(host)

    def entries_of(self, domain: str) -> list[Process]:
        """Return the live entries of ``domain``."""
        return [
            process
            for process in self.loop.processes.values()
            if process.alive
            and process.peer.role is Role.ENTRY
            and process.peer.domain == domain
        ]

    def hosts(self, domain: str, role: Role, count: int) -> list[str]:
        """Return up to ``count`` random live hosts of ``domain`` with this role."""
        candidates = [
            host
            for host, peer in self.loop.peers.items()
            if peer.domain == domain
            and peer.role is role
            and self.loop.processes[host].alive
        ]
        return self.loop.rng.sample(candidates, min(count, len(candidates)))

    def used_by(self, entries: t.Sequence[Process], host: str) -> int:
        """Return how many of ``entries`` would send new requests to ``host``."""
        return sum(self._uses(entry, host) for entry in entries)

    def _uses(self, entry: Process, host: str) -> bool:
        member = entry.membership.members.get(host)
        if member is None:
            return False
        now_ms = self.loop.clock(entry)
        return membership.is_usable(now_ms, member, self.loop.member_policy)

    def time_until_unused(
        self, entries: t.Sequence[Process], hosts: t.Sequence[str], limit_ms: int
    ) -> float:
        """Return the time until no entry uses any of ``hosts``, in milliseconds.

        :return: infinity if it takes ``limit_ms`` or longer.
        """
        start_ms = self.loop.now_ms
        while self.loop.now_ms - start_ms < limit_ms:
            if not any(self.used_by(entries, host) for host in hosts):
                return self.loop.now_ms - start_ms
            self.loop.run(STEP_MS)
        return math.inf


def endpoint_death(fleet: Fleet) -> float:
    """Return the time until no entry of its domain uses a dead endpoint."""
    hosts = fleet.hosts("d0", Role.AGENT, 1)
    fleet.kill(hosts)
    spent_ms = fleet.time_until_unused(fleet.entries_of("d0"), hosts, 6_000)
    fleet.replace(hosts[0])
    fleet.loop.run(SETTLING_MS)
    return spent_ms


def rack_death(fleet: Fleet) -> float:
    """Return the time until no entry uses the endpoints of a dead rack.

    The rack is a tenth of the domain's agents and entries, which die at once.
    """
    agents = fleet.hosts("d0", Role.AGENT, max(1, fleet.size.agents // 10))
    entries = fleet.hosts("d0", Role.ENTRY, max(1, fleet.size.entries // 10))
    fleet.kill(agents + entries)
    spent_ms = fleet.time_until_unused(fleet.entries_of("d0"), agents, 6_000)
    for host in agents + entries:
        fleet.replace(host)
    fleet.loop.run(SETTLING_MS)
    return spent_ms


def departure(fleet: Fleet) -> float:
    """Return the time until no entry uses an endpoint that announced its departure."""
    host = fleet.hosts("d0", Role.AGENT, 1)[0]
    fleet.loop.handle_event(fleet.loop.processes[host], mm.LeaveRequested())
    spent_ms = fleet.time_until_unused(fleet.entries_of("d0"), [host], 6_000)
    fleet.replace(host)
    fleet.loop.run(SETTLING_MS)
    return spent_ms


def domain_death(fleet: Fleet) -> float:
    """Return the time until another domain's entry stops using a lost domain."""
    last = f"d{fleet.size.domains - 1}"
    entry, hosts = _follow(fleet, last)
    lost = [h for h, peer in fleet.loop.peers.items() if peer.domain == last]
    fleet.kill(lost)
    spent_ms = fleet.time_until_unused([entry], hosts, 6_000)
    for host in lost:
        fleet.disturbed_ms[host] = fleet.loop.now_ms
        fleet.loop.boot(host, joined=True)
    fleet.loop.run(SETTLING_MS)
    return spent_ms


def region_cut(fleet: Fleet) -> float:
    """Return the time until an entry stops using endpoints it is cut off from."""
    last = f"d{fleet.size.domains - 1}"
    entry, hosts = _follow(fleet, last)
    fleet.loop.domain_cuts |= _links_between_regions(fleet.size.domains)
    for host in hosts:
        fleet.disturbed_ms[host] = fleet.loop.now_ms
        fleet.loop.handle_event(fleet.loop.processes[host], mm.LeaveRequested())
    spent_ms = fleet.time_until_unused([entry], hosts, 6_000)
    fleet.loop.domain_cuts.clear()
    for host in hosts:
        fleet.replace(host)
    fleet.loop.run(SETTLING_MS)
    return spent_ms


def _links_between_regions(domains: int) -> set[frozenset[str]]:
    boundary = (domains + 1) // 2
    names = [f"d{number}" for number in range(domains)]
    return {frozenset((a, b)) for a in names[:boundary] for b in names[boundary:]}


def _follow(fleet: Fleet, domain: str) -> tuple[Process, list[str]]:
    entry = fleet.entries_of("d0")[0]
    hosts = fleet.hosts(domain, Role.AGENT, 2)
    fleet.loop.handle_event(entry, mm.Follow(tuple(hosts)))
    fleet.loop.run(1_500)
    return entry, hosts


def flapping(fleet: Fleet, for_s: int) -> int:
    """Return the number of false judgements while a host's link flaps each second."""
    before = fleet.false_judgements
    host = fleet.hosts("d0", Role.AGENT, 1)[0]
    for second in range(for_s):
        fleet.disturbed_ms[host] = fleet.loop.now_ms
        fleet.loop.isolated[host] = second % 2
        fleet.loop.run(1_000)
    fleet.loop.isolated.clear()
    fleet.disturbed_ms[host] = fleet.loop.now_ms
    fleet.loop.run(SETTLING_MS)
    return fleet.false_judgements - before


def busy_day(
    fleet: Fleet, failures: int, replacements: int, gap_ms: int
) -> list[float]:
    """Return the detection time of each failure of a day, in milliseconds.

    The failures and replacements follow each other in random order.

    :param gap_ms: time after each of them.
    """
    spent = []
    order = ["fail"] * failures + ["replace"] * replacements
    fleet.loop.rng.shuffle(order)
    for kind in order:
        number = fleet.loop.rng.randrange(fleet.size.domains)
        hosts = fleet.hosts(f"d{number}", Role.AGENT, 1)
        if kind == "fail":
            fleet.kill(hosts)
            entries = fleet.entries_of(f"d{number}")
            spent.append(fleet.time_until_unused(entries, hosts, 6_000))
        fleet.replace(hosts[0])
        fleet.loop.run(gap_ms)
    return spent


def publication(fleet: Fleet, cut: str | None) -> tuple[float, float]:
    """Return the times until a text of 1 MB is adopted in a domain and everywhere.

    The first is the longest time of any domain from its first adoption to its last,
    the second counts from the publication. Both are infinity if not all processes
    adopt the text within 12 s.

    :param cut: domain that can't reach the platform, if any.
    """
    fleet.loop.conditions.validate_ms = VALIDATE_MS
    if cut is not None:
        fleet.loop.platform.cut.add(cut)
    revision = fleet.loop.platform.texts[Document.CONFIGURATION][0] + 1
    fleet.adopted_ms.clear()
    start_ms = fleet.loop.now_ms
    text = bench_tables.make_text(TEAMS)
    fleet.loop.publish(Document.CONFIGURATION, revision, text)
    expected = sum(process.alive for process in fleet.loop.processes.values())
    while len(fleet.adopted_ms) < expected and fleet.loop.now_ms - start_ms < 12_000:
        fleet.loop.run(100)
    fleet.loop.platform.cut.clear()
    fleet.loop.conditions.validate_ms = 0
    if len(fleet.adopted_ms) < expected:
        return math.inf, math.inf
    return _adoption_times(fleet, start_ms)


def _adoption_times(fleet: Fleet, start_ms: int) -> tuple[float, float]:
    last: dict[str, int] = {}
    first: dict[str, int] = {}
    for host, adopted_ms in fleet.adopted_ms.items():
        domain = fleet.loop.peers[host].domain
        last[domain] = max(last.get(domain, 0), adopted_ms)
        first[domain] = min(first.get(domain, adopted_ms), adopted_ms)
    in_domain_ms = max(last[domain] - first[domain] for domain in last)
    return in_domain_ms, max(last.values()) - start_ms
