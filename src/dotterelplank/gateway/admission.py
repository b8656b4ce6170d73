"""Which endpoint takes a call, or whether it waits or is refused, and until when.

The load that this answers: many entries place calls at the same endpoints at once,
with word of each other that is some milliseconds old; and more calls than places.
"""

import dataclasses
import typing as t

from .directory import Directory, Endpoint
from .loads import Loads
from .pacing import Paces, taken_share

WAIT_PART: t.Final = 0.45
"""The part of its latency objective that a call may wait for a place."""
FIRST_MARGIN: t.Final = 1.3
"""Over the usual time to the first part of an answer, as some take longer."""
LEAST_RETRY_AFTER_MS: t.Final = 250.0
LONGEST_RETRY_AFTER_MS: t.Final = 2_500.0
HEEDED_PART: t.Final = 0.32
"""The part of the time left up to which callers heed a time to come back."""
OUTAGE_SPREAD: t.Final = 0.3
DEFAULT_HOLD_MS: t.Final = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A call that wants a place.

    :param tried: ids of endpoints that it isn't to be sent to again.
    :param draw: uniform in [0, 1).
    """

    service: str
    tried: frozenset[str]
    draw: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The call may be sent to ``endpoint``."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """No endpoint has a place.

    :param wait_ms: expected time until one has, for the last call in line.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """There is no endpoint that could be asked: the call is refused at once."""


Answer = Admit | Full | Unusable


def choose(
    now_ms: float,
    ask: Ask,
    directory: Directory,
    loads: Loads,
    domain: str,
    waiting: int,
    paces: Paces,
) -> Answer:
    """Return the endpoint with the least work that has a free place.

    Of a group no more places are taken than its passes allow.

    Among equals one of the entry's own failure domain goes first; ``ask.draw`` breaks
    the ties that remain, so that entries which choose at once spread out.

    :param domain: failure domain of this entry.
    :param waiting: this entry's calls of the service that wait already.
    """
    listed = directory.of_service(ask.service)
    usable = [
        one
        for one in listed
        if one.id not in ask.tried and not _avoided_ms(now_ms, one, loads)
    ]
    if not usable:
        return Unusable()
    full = _full_groups(listed, loads, paces)
    free = [
        one
        for one in usable
        if loads.of(one.id) < one.slots
        and (one.place is None or one.place.group not in full)
    ]
    if not free:
        wait_ms = expected_wait_ms(ask.service, usable, loads, waiting, paces)
        return Full(wait_ms)
    least = min(_rank(one, loads, domain) for one in free)
    equal = [one for one in free if _rank(one, loads, domain) == least]
    return Admit(equal[int(ask.draw * len(equal))])


def expected_wait_ms(
    service: str,
    usable: t.Sequence[Endpoint],
    loads: Loads,
    waiting: int,
    paces: Paces,
) -> float:
    """Return how long a call that joins the line would wait for a place."""
    places = sum(one.slots * _share(one, paces) for one in usable)
    in_line = waiting + loads.others_waiting[service] + 1
    hold_ms = loads.hold_ms.get(service, DEFAULT_HOLD_MS)
    return in_line * hold_ms / max(1, places)


def longest_wait_ms(goal_ms: float, left_ms: float, first_ms: float) -> float:
    """Return how long a call may wait for a place before it is refused.

    :param first_ms: usual time from the place to the first part of the answer.
    """
    in_time_ms = max(0.0, goal_ms - first_ms * FIRST_MARGIN)
    return min(goal_ms * WAIT_PART, in_time_ms, left_ms / 2)


def retry_after_ms(wait_ms: float, left_ms: float, draw: float) -> float:
    """Return when a refused call is to come back, spread so that not all do at once.

    Callers heed at most a third of the time that they have left.

    :param draw: uniform in [0, 1).
    """
    spread_ms = max(LEAST_RETRY_AFTER_MS, wait_ms) * (1 + draw)
    return max(0.0, min(spread_ms, LONGEST_RETRY_AFTER_MS, left_ms * HEEDED_PART))


def return_after_outage_ms(left_ms: float, draw: float) -> float:
    """Return when to come back to a service that no endpoint serves at present.

    As late as callers heed, since outages last seconds and they come back few times.

    :param draw: uniform in [0, 1).
    """
    return max(0.0, left_ms * HEEDED_PART * (1 - OUTAGE_SPREAD * draw))


def _full_groups(
    listed: t.Iterable[Endpoint], loads: Loads, paces: Paces
) -> t.Collection[str]:
    """Return the groups of which no more places may be taken."""
    by_group: dict[str, list[Endpoint]] = {}
    for one in listed:
        if one.place is not None:
            by_group.setdefault(one.place.group, []).append(one)
    return {
        group
        for group, endpoints in by_group.items()
        if (share := paces.share(group)) < 1.0
        and taken_share(endpoints, loads) >= share
    }


def _share(endpoint: Endpoint, paces: Paces) -> float:
    return 1.0 if endpoint.place is None else paces.share(endpoint.place.group)


def _rank(endpoint: Endpoint, loads: Loads, domain: str) -> tuple[float, bool]:
    return loads.of(endpoint.id) / endpoint.slots, endpoint.domain != domain


def avoided_names(endpoint: Endpoint) -> t.Sequence[str]:
    """Return the names under which an endpoint may be avoided: its own, its group's."""
    if endpoint.place is None:
        return (endpoint.id,)
    return (endpoint.id, group_name(endpoint))


def _avoided_ms(now_ms: float, endpoint: Endpoint, loads: Loads) -> float:
    names = avoided_names(endpoint)
    return max(loads.avoided_for_ms(now_ms, name) for name in names)


def group_name(endpoint: Endpoint) -> str:
    """Return the name under which an endpoint's group is avoided."""
    assert endpoint.place is not None
    return f"group {endpoint.service}/{endpoint.place.group}"
