"""Groups of ranks that are about to open, so that calls wait instead of being refused.

A group that has lost a rank runs no calls. Once all its ranks are back it forms anew,
and opens a known time later. This answers the load after an outage, when the callers of
several seconds come back at once.
"""

import dataclasses
import typing as t

from .directory import Directory, Endpoint, GroupKey, by_group

LIST_DELAY_MS: t.Final = 250.0
"""Time within which the list of endpoints shows that a group has opened."""
REBUILD_MARGIN_RATIO: t.Final = 2.0
"""Multiple of the rebuild time that is allowed for, as ranks may be listed before the
group counts them as back."""


@dataclasses.dataclass
class Openings:
    """The groups that are complete, but not open.

    :param complete_since_ms: since when all ranks of such a group have been listed.
    """

    complete_since_ms: dict[GroupKey, float] = dataclasses.field(default_factory=dict)

    def update(self, now_ms: float, directory: Directory) -> None:
        """Note which groups are complete but not open, after a change of the list."""
        services = {
            endpoint.service
            for endpoint in directory.endpoints.values()
            if endpoint.place is not None
        }
        self.complete_since_ms = {
            group: self.complete_since_ms.get(group, now_ms)
            for service in services
            for group, ranks in by_group(directory.of_service(service)).items()
            if _is_forming(ranks)
        }

    def due_ms(
        self, now_ms: float, service: str, rebuild_ms: float
    ) -> t.Mapping[GroupKey, float]:
        """Return the groups of ``service`` that are about to open, and by when.

        Groups that should have opened by now are left out.

        :param rebuild_ms: time that a complete group takes to open.
        """
        allowed_ms = rebuild_ms * REBUILD_MARGIN_RATIO + LIST_DELAY_MS
        return {
            group: since_ms + allowed_ms
            for group, since_ms in self.complete_since_ms.items()
            if group.service == service and now_ms < since_ms + allowed_ms
        }


def _is_forming(ranks: t.Sequence[Endpoint]) -> bool:
    places = [rank.place for rank in ranks if rank.place is not None]
    if any(place.is_open for place in places):
        return False
    return len({place.rank for place in places}) == places[0].size
