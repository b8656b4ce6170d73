"""Chooses the endpoint of a call, or decides that the call waits or is refused.

An endpoint works on a limited number of calls at once; each of these takes a slot.
Many entries (gateway processes) send calls to the same endpoints at the same time, and
each knows the load from the others only as it was some milliseconds ago. There may also
be more calls than slots.
"""

import dataclasses
import typing as t

from .concurrency import ConcurrencyLimits, used_share
from .directory import Directory, Endpoint, GroupKey, GroupPlace, by_group
from .loads import Loads

MAX_WAIT_RATIO: t.Final = 0.45
"""The part of its latency objective that a call may wait for a slot."""
TTFB_MARGIN_RATIO: t.Final = 1.3
"""Factor on the mean time to the first part of a response, as some take longer."""
MIN_RETRY_AFTER_MS: t.Final = 250.0
MAX_RETRY_AFTER_MS: t.Final = 2_500.0
MAX_RETRY_AFTER_RATIO: t.Final = 0.32
"""The part of their remaining time up to which callers observe a Retry-After time."""
PAUSE_JITTER_RATIO: t.Final = 0.1
"""The largest part that jitter adds to the time until a pause of an endpoint ends."""
OUTAGE_JITTER_RATIO: t.Final = 0.3
"""The largest part of the retry time in an outage that jitter subtracts."""


NO_WAITS: t.Final[t.Mapping[str, float]] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A call that needs a slot.

    :param tried: ids of endpoints that the call must not be sent to again.
    :param draw: random number, uniform in [0, 1).
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
    """No endpoint has a free slot.

    :param wait_ms: expected time until a call that joins the queue gets a slot.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoUsableEndpoint:
    """No endpoint can take the call, which is refused at once.

    :param pause_ms: the least time for which an endpoint wants no calls, if that is why
        none can take this one; None: there are other reasons.
    """

    pause_ms: float | None = None


Decision = Admitted | AtCapacity | NoUsableEndpoint


def choose(
    now_ms: float,
    call: SlotRequest,
    directory: Directory,
    loads: Loads,
    domain: str,
    waiting: int,
    concurrency_limits: ConcurrencyLimits,
    opening: t.Collection[GroupKey] = (),
    limit_waits_ms: t.Mapping[str, float] = NO_WAITS,
    pauses_ms: t.Mapping[str, float] = NO_WAITS,
) -> Decision:
    """Decide where a call may be sent: to the least loaded endpoint with a free slot.

    Endpoints of a group that has reached its concurrency limit are left out, and so are
    those of a group that is about to open, which would refuse the call.

    Among endpoints of equal load, those in the entry's own failure domain are
    preferred. ``call.draw`` breaks the ties that remain, so that entries which choose
    at the same time choose different endpoints.

    :param domain: failure domain of this entry.
    :param waiting: number of this entry's calls of the service that wait already.
    :param opening: the groups that are about to open.
    :param limit_waits_ms: time until this entry may send to endpoints that limit their
        requests, by id; endpoints that it may send to now are left out.
    :param pauses_ms: time for which endpoints still want no calls from this entry, by
        id; others are left out.
    :return: the endpoint, or that no endpoint has a free slot or that none is usable.
    """
    listed = directory.of_service(call.service)
    candidates = [
        endpoint
        for endpoint in listed
        if endpoint.id not in call.tried and endpoint.group not in opening
    ]
    usable = [
        endpoint
        for endpoint in candidates
        if endpoint.id not in pauses_ms and not _open_for_ms(now_ms, endpoint, loads)
    ]
    if not usable:
        return NoUsableEndpoint(_least_pause_ms(candidates, pauses_ms))
    saturated = _saturated_groups(listed, loads, concurrency_limits)
    free = [
        endpoint
        for endpoint in usable
        if loads.in_flight_at(endpoint.id) < endpoint.slots
        and endpoint.group not in saturated
        and endpoint.id not in limit_waits_ms
    ]
    if not free:
        wait_ms = expected_wait_ms(
            call.service, usable, loads, waiting, concurrency_limits, limit_waits_ms
        )
        return AtCapacity(wait_ms)
    lowest = min(_load_key(endpoint, loads, domain) for endpoint in free)
    least_loaded = [
        endpoint for endpoint in free if _load_key(endpoint, loads, domain) == lowest
    ]
    return Admitted(least_loaded[int(call.draw * len(least_loaded))])


def expected_wait_ms(
    service: str,
    usable: t.Sequence[Endpoint],
    loads: Loads,
    waiting: int,
    concurrency_limits: ConcurrencyLimits,
    limit_waits_ms: t.Mapping[str, float] = NO_WAITS,
) -> float:
    """Return how long a call that joins the queue would wait for a slot.

    It is 0 until it is known how long calls of the service hold their slots: no call is
    refused on a guess.

    :param usable: endpoints that the call could be sent to.
    :param waiting: number of this entry's calls that are served before it.
    :param limit_waits_ms: as for choose().
    """
    unlimited = [endpoint for endpoint in usable if endpoint.id not in limit_waits_ms]
    if usable and not unlimited:
        return (waiting + 1) * min(limit_waits_ms[endpoint.id] for endpoint in usable)
    slots = sum(
        endpoint.slots * _group_share(endpoint, concurrency_limits)
        for endpoint in unlimited
    )
    queue_length = waiting + loads.peers_waiting[service] + 1
    slot_hold_ms = loads.slot_hold_ms.get(service, 0.0)
    return queue_length * slot_hold_ms / max(1, slots)


def max_wait_ms(goal_ms: float, remaining_ms: float, ttfb_ms: float) -> float:
    """Return how long a call may wait for a slot before it is refused.

    :param goal_ms: latency objective of the call's route.
    :param remaining_ms: time until the call's deadline.
    :param ttfb_ms: mean time from the send to the first part of the response.
    """
    slack_ms = max(0.0, goal_ms - ttfb_ms * TTFB_MARGIN_RATIO)
    return min(goal_ms * MAX_WAIT_RATIO, slack_ms, remaining_ms / 2)


def retry_after_ms(wait_ms: float, remaining_ms: float, draw: float) -> float:
    """Return the time after which the caller of a refused call should retry.

    Jitter keeps the callers from retrying all at once. Callers observe a time of at
    most about a third of the time that remains to them.

    :param wait_ms: expected wait for a slot.
    :param remaining_ms: time until the call's deadline.
    :param draw: random number, uniform in [0, 1).
    """
    jittered_ms = max(MIN_RETRY_AFTER_MS, wait_ms) * (1 + draw)
    return max(
        0.0, min(jittered_ms, MAX_RETRY_AFTER_MS, remaining_ms * MAX_RETRY_AFTER_RATIO)
    )


def outage_retry_after_ms(remaining_ms: float, draw: float) -> float:
    """Return the time after which to retry a service that has no usable endpoint.

    The time is as long as callers observe, since outages last seconds and callers retry
    only a few times.

    :param remaining_ms: time until the call's deadline.
    :param draw: random number, uniform in [0, 1).
    """
    return max(
        0.0, remaining_ms * MAX_RETRY_AFTER_RATIO * (1 - OUTAGE_JITTER_RATIO * draw)
    )


def _least_pause_ms(
    candidates: t.Sequence[Endpoint], pauses_ms: t.Mapping[str, float]
) -> float | None:
    """Return the least of the endpoints' pauses; None unless all want one."""
    waits_ms = [pauses_ms.get(endpoint.id) for endpoint in candidates]
    known_ms = [wait_ms for wait_ms in waits_ms if wait_ms is not None]
    is_all = len(known_ms) == len(candidates)
    return min(known_ms, default=None) if is_all else None


def pause_retry_after_ms(pause_ms: float, draw: float) -> float:
    """Return the time after which to retry a service whose endpoints want a pause.

    :param pause_ms: the least time for which one of them wants no calls.
    :param draw: random number, uniform in [0, 1).
    """
    return pause_ms * (1 + PAUSE_JITTER_RATIO * draw)


def _saturated_groups(
    listed: t.Iterable[Endpoint], loads: Loads, concurrency_limits: ConcurrencyLimits
) -> t.Collection[GroupKey]:
    """Return the groups that have reached their concurrency limit."""
    return {
        group
        for group, endpoints in by_group(listed).items()
        if (share := concurrency_limits.share(group)) < 1.0
        and used_share(endpoints, loads) >= share
    }


def _group_share(endpoint: Endpoint, concurrency_limits: ConcurrencyLimits) -> float:
    group = endpoint.group
    return 1.0 if group is None else concurrency_limits.share(group)


def _load_key(endpoint: Endpoint, loads: Loads, domain: str) -> tuple[float, bool]:
    return loads.in_flight_at(endpoint.id) / endpoint.slots, endpoint.domain != domain


def breaker_keys(endpoint: Endpoint) -> t.Sequence[str]:
    """Return the keys of the breakers of an endpoint: its own and its group's."""
    if endpoint.place is None:
        return (endpoint.id,)
    return (endpoint.id, group_breaker_key(endpoint))


def _open_for_ms(now_ms: float, endpoint: Endpoint, loads: Loads) -> float:
    keys = breaker_keys(endpoint)
    return max(loads.open_for_ms(now_ms, key) for key in keys)


def group_breaker_key(endpoint: Endpoint) -> str:
    """Return the key of the breaker of an endpoint's group.

    A group that has formed anew, or that has opened, starts without failures: those of
    before say nothing about it.
    """
    place = t.cast(GroupPlace, endpoint.place)
    state = "open" if place.is_open else "closed"
    return f"group {endpoint.group} {place.epoch} {state}"
