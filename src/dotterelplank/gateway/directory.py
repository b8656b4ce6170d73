"""What is believed of the endpoints, from the platform's list and from peers."""

import dataclasses
import typing as t

MISSING_GRACE_MS: t.Final = 2_000.0
"""How long an entry that went missing while the list couldn't be read is still used."""
LEAVE_MARGIN_MS: t.Final = 250.0
"""Time kept from the bound on a server that leaves for what is on its way."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupPlace:
    """The place of an endpoint in a group of ranks.

    :param epoch: rises each time the group forms anew.
    :param size: ranks of the whole group.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A server that is listed.

    :param started_ms: Unix time of its start; a restart under the same id changes it.
    :param slots: calls that it works on at once.
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


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChange:
    """One entry of the list as it stands at ``revision``; no endpoint: removed."""

    id: str
    revision: int
    endpoint: Endpoint | None


@dataclasses.dataclass
class Directory:
    """The list of endpoints.

    :param revision: revision up to which every change was taken in.
    :param updated_ms: time of the last word from the platform or a peer; none: never.
    """

    endpoints: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int = 0
    updated_ms: float | None = None
    missing_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def apply(self, now_ms: float, change: EndpointChange) -> bool:
        """Take in one change; return whether it was news."""
        if change.revision <= self.revisions.get(change.id, 0):
            return False
        self.revisions[change.id] = change.revision
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
        found: t.Sequence[EndpointChange],
        revision: int,
        was_stale: bool,
    ) -> None:
        """Take in the whole list as read at ``revision``.

        :param was_stale: the list couldn't be followed before; entries that are missing
            may be back soon, and are used a little longer.
        """
        present = {change.id for change in found}
        for change in found:
            self.apply(now_ms, change)
        for name in list(self.endpoints):
            if name in present or self.revisions.get(name, 0) > revision:
                continue
            if not was_stale:
                self._remove(name, revision)
            else:
                self.missing_since_ms.setdefault(name, now_ms)
        self.revision = max(self.revision, revision)
        self.updated_ms = now_ms

    def expire(self, now_ms: float, leave_ms: float) -> t.Sequence[str]:
        """Drop entries that stayed missing, and return their ids.

        :param leave_ms: time in which a server that leaves must get nothing new.
        """
        grace_ms = min(MISSING_GRACE_MS, leave_ms - LEAVE_MARGIN_MS)
        due = [
            name
            for name, since_ms in self.missing_since_ms.items()
            if now_ms - since_ms >= grace_ms
        ]
        for name in due:
            self._remove(name, self.revision)
        return due

    def of_service(self, service: str) -> t.Sequence[Endpoint]:
        """Return the endpoints of ``service`` that take new calls."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.is_draining
        ]

    def of_group(self, service: str, group: str) -> t.Sequence[Endpoint]:
        """Return the endpoints of ``service`` that are ranks of ``group``."""
        return [
            endpoint
            for endpoint in self.of_service(service)
            if endpoint.place is not None and endpoint.place.group == group
        ]

    def _remove(self, name: str, revision: int) -> None:
        self.endpoints.pop(name, None)
        self.missing_since_ms.pop(name, None)
        self.revisions[name] = max(self.revisions.get(name, 0), revision)
