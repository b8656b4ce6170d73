"""Which endpoint takes a call, or whether it waits or is refused, and until when.

The load that this answers: many entries place calls at the same endpoints at once,
with word of each other that is some milliseconds old; and more calls than places.
"""

import dataclasses
import typing as t

from .concurrency import ConcurrencyLimits, used_share
from .directory import Directory, Endpoint
from .loads import Loads

MAX_WAIT_RATIO: t.Final = 0.45
"""The part of its latency objective that a call may wait for a place."""
TTFB_MARGIN_RATIO: t.Final = 1.3
"""Over the usual time to the first part of an answer, as some take longer."""
MIN_RETRY_AFTER_MS: t.Final = 250.0
MAX_RETRY_AFTER_MS: t.Final = 2_500.0
MAX_RETRY_AFTER_RATIO: t.Final = 0.32
"""The part of the time left up to which callers heed a time to come back."""
OUTAGE_JITTER_RATIO: t.Final = 0.3
DEFAULT_SLOT_HOLD_MS: t.Final = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A call that wants a place.

    :param tried: ids of endpoints that it isn't to be sent to again.
    :param draw: uniform in [0, 1).
    """

    service: str
    tried: frozenset[str]
    draw: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call may be sent to ``endpoint``."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class AtCapacity:
    """No endpoint has a place.

    :param wait_ms: expected time until one has, for the last call in line.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoUsableEndpoint:
    """There is no endpoint that could be asked: the call is refused at once."""


Decision = Admitted | AtCapacity | NoUsableEndpoint


def choose(
    now_ms: float,
    call: SlotRequest,
    directory: Directory,
    loads: Loads,
    domain: str,
    waiting: int,
    concurrency_limits: ConcurrencyLimits,
) -> Decision:
    """Return the endpoint with the least work that has a free place.

    Of a group no more places are taken than its passes allow.

    Among equals one of the entry's own failure domain goes first; ``call.draw`` breaks
    the ties that remain, so that entries which choose at once spread out.

    :param domain: failure domain of this entry.
    :param waiting: this entry's calls of the service that wait already.
    """
    listed = directory.of_service(call.service)
    usable = [
        endpoint
        for endpoint in listed
        if endpoint.id not in call.tried and not _open_ms(now_ms, endpoint, loads)
    ]
    if not usable:
        return NoUsableEndpoint()
    saturated = _saturated_groups(listed, loads, concurrency_limits)
    free = [
        endpoint
        for endpoint in usable
        if loads.in_flight_at(endpoint.id) < endpoint.slots
        and (endpoint.place is None or endpoint.place.group not in saturated)
    ]
    if not free:
        wait_ms = expected_wait_ms(
            call.service, usable, loads, waiting, concurrency_limits
        )
        return AtCapacity(wait_ms)
    lowest = min(_load_rank(endpoint, loads, domain) for endpoint in free)
    candidates = [
        endpoint for endpoint in free if _load_rank(endpoint, loads, domain) == lowest
    ]
    return Admitted(candidates[int(call.draw * len(candidates))])


def expected_wait_ms(
    service: str,
    usable: t.Sequence[Endpoint],
    loads: Loads,
    waiting: int,
    concurrency_limits: ConcurrencyLimits,
) -> float:
    """Return how long a call that joins the line would wait for a place."""
    slots = sum(
        endpoint.slots * _share(endpoint, concurrency_limits) for endpoint in usable
    )
    queue_length = waiting + loads.peers_waiting[service] + 1
    slot_hold_ms = loads.slot_hold_ms.get(service, DEFAULT_SLOT_HOLD_MS)
    return queue_length * slot_hold_ms / max(1, slots)


def max_wait_ms(goal_ms: float, remaining_ms: float, ttfb_ms: float) -> float:
    """Return how long a call may wait for a place before it is refused.

    :param ttfb_ms: usual time from the place to the first part of the answer.
    """
    slack_ms = max(0.0, goal_ms - ttfb_ms * TTFB_MARGIN_RATIO)
    return min(goal_ms * MAX_WAIT_RATIO, slack_ms, remaining_ms / 2)


def retry_after_ms(wait_ms: float, remaining_ms: float, draw: float) -> float:
    """Return when a refused call is to come back, spread so that not all do at once.

    Callers heed at most a third of the time that they have left.

    :param draw: uniform in [0, 1).
    """
    jittered_ms = max(MIN_RETRY_AFTER_MS, wait_ms) * (1 + draw)
    return max(
        0.0, min(jittered_ms, MAX_RETRY_AFTER_MS, remaining_ms * MAX_RETRY_AFTER_RATIO)
    )


def outage_retry_after_ms(remaining_ms: float, draw: float) -> float:
    """Return when to come back to a service that no endpoint serves at present.

    As late as callers heed, since outages last seconds and they come back few times.

    :param draw: uniform in [0, 1).
    """
    return max(
        0.0, remaining_ms * MAX_RETRY_AFTER_RATIO * (1 - OUTAGE_JITTER_RATIO * draw)
    )


def _saturated_groups(
    listed: t.Iterable[Endpoint], loads: Loads, concurrency_limits: ConcurrencyLimits
) -> t.Collection[str]:
    """Return the groups of which no more places may be taken."""
    by_group: dict[str, list[Endpoint]] = {}
    for endpoint in listed:
        if endpoint.place is not None:
            by_group.setdefault(endpoint.place.group, []).append(endpoint)
    return {
        group
        for group, endpoints in by_group.items()
        if (share := concurrency_limits.share(group)) < 1.0
        and used_share(endpoints, loads) >= share
    }


def _share(endpoint: Endpoint, concurrency_limits: ConcurrencyLimits) -> float:
    return (
        1.0
        if endpoint.place is None
        else concurrency_limits.share(endpoint.place.group)
    )


def _load_rank(endpoint: Endpoint, loads: Loads, domain: str) -> tuple[float, bool]:
    return loads.in_flight_at(endpoint.id) / endpoint.slots, endpoint.domain != domain


def breaker_keys(endpoint: Endpoint) -> t.Sequence[str]:
    """Return the names under which an endpoint may be avoided: its own, its group's."""
    if endpoint.place is None:
        return (endpoint.id,)
    return (endpoint.id, group_breaker_key(endpoint))


def _open_ms(now_ms: float, endpoint: Endpoint, loads: Loads) -> float:
    keys = breaker_keys(endpoint)
    return max(loads.open_for_ms(now_ms, key) for key in keys)


def group_breaker_key(endpoint: Endpoint) -> str:
    """Return the name under which an endpoint's group is avoided."""
    assert endpoint.place is not None
    return f"group {endpoint.service}/{endpoint.place.group}"
