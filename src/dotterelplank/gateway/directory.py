"""The known endpoints, from the platform's list or from a peer's snapshot of it."""

import dataclasses
import typing as t

from .revisions import FIRST, Revision

MISSING_GRACE_MS: t.Final = 2_000.0
"""How long an endpoint is still used that went missing during a store outage."""
MAX_LEAVING: t.Final = 4_096
"""Most starts of servers that are remembered as leaving."""
LEAVE_MARGIN_MS: t.Final = 250.0
"""Time reserved for calls on their way to a server that leaves."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupPlace:
    """The membership of an endpoint in a group of ranks.

    :param epoch: increases each time that the group is formed again.
    :param rank: number of the endpoint among the ranks of the group.
    :param size: number of ranks of the group.
    :param is_open: whether the state of the group is ``open``.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


class GroupKey(t.NamedTuple):
    """The identity of a group; two services may have groups of the same name."""

    service: str
    name: str

    def __str__(self) -> str:
        return f"{self.service}/{self.name}"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A server in the platform's list.

    :param domain: failure domain of the server.
    :param slots: number of calls that the server works on at once.
    :param is_draining: whether the server takes no new calls.
    :param started_ms: Unix time of the server's start; a restart under the same id
        changes it.
    :param place: membership in a group of ranks; None: the server isn't in a group.
    """

    id: str
    service: str
    ip: str
    port: int
    domain: str
    slots: int
    is_draining: bool
    started_ms: int
    place: GroupPlace | None

    @property
    def group(self) -> GroupKey | None:
        """The group that the endpoint is a rank of; None: it is in no group."""
        return None if self.place is None else GroupKey(self.service, self.place.group)

    @property
    def incarnation(self) -> str:
        """The id and the start of the server, which no other start of it shares."""
        return f"{self.id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChange:
    """A change of one endpoint in the list.

    :param revision: revision of the list at which the change was made.
    :param endpoint: the endpoint after the change; None: it was removed.
    """

    id: str
    revision: Revision
    endpoint: Endpoint | None


@dataclasses.dataclass
class Directory:
    """The list of endpoints, as far as it is known here.

    :param endpoints: the listed endpoints, by id.
    :param revisions: revision of the last change applied, by endpoint id.
    :param revision: revision up to which every change was applied.
    :param updated_ms: time of the last update from the platform or a peer; None: there
        was no update yet.
    :param missing_since_ms: since when an endpoint has been missing from the list, by
        id; expire() removes it after a grace period.
    :param leaving: starts of servers that have said in an answer that they leave, the
        oldest first. Only a new start of a server undoes that.
    :param services: names of the services that the configuration knows; None: it isn't
        known yet.
    :param _newest_by_address: cache of _newest_at_addresses(); None: it is outdated.
    """

    endpoints: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    revisions: dict[str, Revision] = dataclasses.field(default_factory=dict)
    revision: Revision = FIRST
    updated_ms: float | None = None
    missing_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: dict[str, None] = dataclasses.field(default_factory=dict)
    services: frozenset[str] | None = None
    _newest_by_address: dict[tuple[str, int], str] | None = None

    def set_services(self, services: t.Iterable[str]) -> None:
        """Replace the names of the services that the configuration knows."""
        self.services = frozenset(services)
        self._newest_by_address = None

    def note_leaving(self, incarnation: str) -> bool:
        """Record that a server has said that it leaves; return whether that is new."""
        if incarnation in self.leaving:
            return False
        self.leaving[incarnation] = None
        if len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        return True

    def takes_calls(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint takes new calls, as far as is known."""
        return not endpoint.is_draining and endpoint.incarnation not in self.leaving

    def leaving_listed(self) -> list[str]:
        """Return the starts of servers that leave while the list doesn't say so."""
        return [
            endpoint.incarnation
            for endpoint in self.endpoints.values()
            if not endpoint.is_draining and endpoint.incarnation in self.leaving
        ]

    def apply(self, now_ms: float, change: EndpointChange) -> bool:
        """Apply one change, unless a newer one was applied.

        :return: whether the list has changed.
        """
        if change.revision <= self.revisions.get(change.id, FIRST):
            return False
        self.revisions[change.id] = change.revision
        self._newest_by_address = None
        self.missing_since_ms.pop(change.id, None)
        self.updated_ms = now_ms
        if change.endpoint is None:
            return self.endpoints.pop(change.id, None) is not None
        earlier = self.endpoints.get(change.id)
        self.endpoints[change.id] = change.endpoint
        return earlier != change.endpoint

    def replace(
        self,
        now_ms: float,
        changes: t.Sequence[EndpointChange],
        revision: Revision,
        was_stale: bool,
    ) -> None:
        """Replace the list by a snapshot of it, read at ``revision``.

        :param was_stale: whether the list couldn't be read shortly before. Endpoints
            that are missing from it may be listed again soon, and are used until
            expire() removes them.
        """
        present = {change.id for change in changes}
        for change in changes:
            self.apply(now_ms, change)
        for endpoint_id in list(self.endpoints):
            if (
                endpoint_id in present
                or self.revisions.get(endpoint_id, FIRST) > revision
            ):
                continue
            if not was_stale:
                self._remove(endpoint_id, revision)
            else:
                self.missing_since_ms.setdefault(endpoint_id, now_ms)
        self.revision = max(self.revision, revision)
        self.updated_ms = now_ms

    def restore(
        self, now_ms: float, changes: t.Sequence[EndpointChange], revision: Revision
    ) -> None:
        """Apply a snapshot of a store that was restored from an older copy.

        Servers write their records again soon. Until then the copy may list a server
        that has left since, and lack one that has come: a server that is known to
        drain goes on draining, one that was removed stays so, and one that is missing
        is used until expire() removes it. A later replace() settles what remains.
        """
        kept = [self._keep_draining(change) for change in changes]
        present = [
            change
            for change in kept
            if change.id in self.endpoints or change.id not in self.revisions
        ]
        self.replace(now_ms, present, revision, was_stale=True)

    def _keep_draining(self, change: EndpointChange) -> EndpointChange:
        known, copied = self.endpoints.get(change.id), change.endpoint
        if known is None or copied is None or not known.is_draining:
            return change
        if known.started_ms != copied.started_ms:
            return change
        endpoint = dataclasses.replace(copied, is_draining=True)
        return EndpointChange(change.id, change.revision, endpoint)

    def expire(self, now_ms: float, leave_ms: float) -> t.Sequence[str]:
        """Remove endpoints whose grace period has passed, and return their ids.

        :param leave_ms: time after which a server that leaves must get no new calls.
        """
        grace_ms = min(MISSING_GRACE_MS, leave_ms - LEAVE_MARGIN_MS)
        due = [
            endpoint_id
            for endpoint_id, since_ms in self.missing_since_ms.items()
            if now_ms - since_ms >= grace_ms
        ]
        for endpoint_id in due:
            self._remove(endpoint_id, self.revision)
        return due

    def of_service(self, service: str) -> t.Sequence[Endpoint]:
        """Return the endpoints of ``service`` that take new calls.

        A server that ended without notice stays listed for seconds. It is left out once
        another server is listed at its address.
        """
        newest = self._newest_at_addresses()
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
            and self.takes_calls(endpoint)
            and newest.get((endpoint.ip, endpoint.port)) == endpoint.id
        ]

    def _newest_at_addresses(self) -> t.Mapping[tuple[str, int], str]:
        """Return the id of the endpoint at each address whose record changed last.

        Revisions tell which one is newer, as clocks of servers may be wrong. A record
        of a service that the configuration doesn't know names no server.
        """
        if self._newest_by_address is None:
            by_age = sorted(self.endpoints, key=self.revisions.__getitem__)
            self._newest_by_address = {
                (self.endpoints[name].ip, self.endpoints[name].port): name
                for name in by_age
                if self._is_known_service(self.endpoints[name].service)
            }
        return self._newest_by_address

    def _is_known_service(self, service: str) -> bool:
        return self.services is None or service in self.services

    def of_group(self, group: GroupKey) -> t.Sequence[Endpoint]:
        """Return the endpoints that are ranks of ``group``."""
        return [
            endpoint
            for endpoint in self.of_service(group.service)
            if endpoint.group == group
        ]

    def _remove(self, endpoint_id: str, revision: Revision) -> None:
        self.endpoints.pop(endpoint_id, None)
        self._newest_by_address = None
        self.missing_since_ms.pop(endpoint_id, None)
        self.revisions[endpoint_id] = max(
            self.revisions.get(endpoint_id, FIRST), revision
        )


def by_group(endpoints: t.Iterable[Endpoint]) -> t.Mapping[GroupKey, list[Endpoint]]:
    """Return the endpoints that are ranks, by their group."""
    found: dict[GroupKey, list[Endpoint]] = {}
    for endpoint in endpoints:
        if endpoint.group is not None:
            found.setdefault(endpoint.group, []).append(endpoint)
    return found
