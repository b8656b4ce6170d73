"""Choosing an endpoint for a request from delayed and partial information.

Endpoints in the entry's own failure domain are preferred. As these fill up, a growing
share of requests goes to other domains that are reachable. Endpoints that seem stalled
or failing are avoided and probed from time to time. :mod:`candidates` draws among the
remaining endpoints.
"""

import dataclasses
import random
import typing as t

from . import endpoint_view
from .candidates import draw_choices, make_candidates
from .endpoint_view import (
    CacheEvent,
    EndpointView,
    Liveness,
    LoadReport,
    note_cache_event,
    note_cancelled,
    note_failure,
    note_finished,
    note_first_token,
    note_progress,
    note_report,
    note_sent,
)
from .routes import Choice, Reason, RouteRequest, RoutingPolicy

__all__ = [
    "CacheEvent",
    "Choice",
    "EndpointView",
    "Liveness",
    "LoadReport",
    "Reason",
    "RouteRequest",
    "RoutingPolicy",
    "choose",
    "is_avoided",
    "note_cache_event",
    "note_cancelled",
    "note_failure",
    "note_finished",
    "note_first_token",
    "note_progress",
    "note_report",
    "note_sent",
    "shortlist",
]

MAX_PROBE_INTERVAL_MS = 60_000.0
MIN_SPILLOVER_RATIO = 0.92
MAX_REMOTE_REPORT_AGE_MS = 5_000.0
MAX_REMOTE_FAILING_RATIO = 0.1


def choose(
    now_ms: float,
    request: RouteRequest,
    endpoints: t.Sequence[EndpointView],
    policy: RoutingPolicy,
    rng: random.Random,
) -> Choice | None:
    """Choose the endpoint for ``request``; return None if no endpoint may take it.

    ``endpoints`` are those that the selector matched. A leaving endpoint is never
    chosen. An avoided endpoint is chosen only as an occasional probe, or if no endpoint
    of the entry's own domain is usable. The views aren't changed: the caller records a
    request that it sends with :func:`note_sent`.
    """
    choices = shortlist(now_ms, request, endpoints, policy, rng, 1)
    return choices[0] if choices else None


def shortlist(
    now_ms: float,
    request: RouteRequest,
    endpoints: t.Sequence[EndpointView],
    policy: RoutingPolicy,
    rng: random.Random,
    count: int,
) -> tuple[Choice, ...]:
    """Return up to ``count`` choices, in order of preference.

    A caller that can query the agents for the current load passes the answers to
    :func:`load_queries.choose_by_answers`. A probe is returned as the only choice.
    """
    partition = _partition_endpoints(now_ms, request, endpoints, policy)
    probe_target = _probe(now_ms, request, partition.avoided, policy)
    if probe_target is not None:
        return (Choice(probe_target.host, probe_target.domain, 0.0, Reason.PROBE),)
    if rng.random() < _spillover_share(partition.usable):
        choices = _choose_remote(now_ms, request, partition, policy, rng, count)
        if choices:
            return choices
    candidates = make_candidates(
        partition.usable or partition.avoided or partition.remote, policy
    )
    return tuple(draw_choices(now_ms, request, candidates, policy, rng, count))


@dataclasses.dataclass(slots=True)
class _Partition:
    """The usable and avoided endpoints of the entry's own domain, and remote ones."""

    usable: list[EndpointView] = dataclasses.field(default_factory=list)
    avoided: list[EndpointView] = dataclasses.field(default_factory=list)
    remote: list[EndpointView] = dataclasses.field(default_factory=list)


def _partition_endpoints(
    now_ms: float,
    request: RouteRequest,
    endpoints: t.Sequence[EndpointView],
    policy: RoutingPolicy,
) -> _Partition:
    partition = _Partition()
    for view in endpoints:
        if view.liveness is Liveness.LEAVING:
            continue
        if view.domain != request.domain:
            partition.remote.append(view)
        elif is_avoided(view, now_ms, policy):
            partition.avoided.append(view)
        else:
            partition.usable.append(view)
    return partition


def is_avoided(view: EndpointView, now_ms: float, policy: RoutingPolicy) -> bool:
    """Return whether the endpoint seems stalled, failing or dead."""
    if view.is_stalled or view.liveness is Liveness.SUSPECT:
        return True
    if view.in_flight and endpoint_view.is_answer_overdue(
        view, now_ms, policy.silence_limit_ms, policy.first_token_limit_ms
    ):
        return True
    if view.failure_score >= policy.failure_score_limit:
        return endpoint_view.failure_score(view, now_ms) >= policy.failure_score_limit
    return False


def _probe(
    now_ms: float,
    request: RouteRequest,
    views: t.Sequence[EndpointView],
    policy: RoutingPolicy,
) -> EndpointView | None:
    """Return the first of the avoided ``views`` that is due for a probe, or None."""
    if request.priority > 0:
        return None
    interval_ms = policy.probe_interval_ms * policy.live_entries
    interval_ms = min(interval_ms, MAX_PROBE_INTERVAL_MS)
    for view in views:
        started_ms = max(view.last_probe_ms, view.last_failure_ms, view.last_answer_ms)
        if now_ms - started_ms >= interval_ms:
            return view
    return None


def _probe_remote(
    now_ms: float,
    request: RouteRequest,
    views: t.Sequence[EndpointView],
    policy: RoutingPolicy,
) -> EndpointView | None:
    """Return the remote endpoint to probe, or None.

    Unlike with :func:`_probe`, at most one of ``views`` is probed in each interval.
    """
    latest_ms = max((view.last_probe_ms for view in views), default=0.0)
    if now_ms - latest_ms < policy.probe_interval_ms * policy.live_entries:
        return None
    return _probe(now_ms, request, views, policy)


def _spillover_share(views: t.Sequence[EndpointView]) -> float:
    """Return the fraction of requests to send elsewhere than to ``views``.

    The fraction grows with the use of their batch slots from 0 at MIN_SPILLOVER_RATIO
    to 1 when all slots are in use. It is 1 if ``views`` is empty.
    """
    if not views:
        return 1.0
    held = batch_slots = 0.0
    for view in views:
        known = view.batch_slots if view.batch_slots < float("inf") else 0.0
        held += endpoint_view.held_requests(view, 1) if known else 0.0
        batch_slots += known
    if not batch_slots:
        return 0.0
    return min(
        1.0,
        max(
            0.0,
            (held / batch_slots - MIN_SPILLOVER_RATIO) / (1.0 - MIN_SPILLOVER_RATIO),
        ),
    )


def _choose_remote(
    now_ms: float,
    request: RouteRequest,
    partition: _Partition,
    policy: RoutingPolicy,
    rng: random.Random,
    count: int,
) -> tuple[Choice, ...]:
    """Choose endpoints in other domains, if these are reachable and less loaded.

    Return a probe alone if no remote endpoint is usable and one is due for a probe,
    and an empty tuple if there is nothing to choose.
    """
    remote = partition.remote
    usable = []
    for domain in sorted({view.domain for view in remote}):
        views = [view for view in remote if view.domain == domain]
        if _is_reachable(now_ms, views):
            usable.extend(v for v in views if not is_avoided(v, now_ms, policy))
    if usable and _spillover_share(usable) <= _spillover_share(partition.usable) / 2.0:
        candidates = make_candidates(usable, policy)
        choices = draw_choices(now_ms, request, candidates, policy, rng, count)
        return tuple(
            dataclasses.replace(choice, reason=Reason.OTHER_DOMAIN)
            for choice in choices
        )
    probe_target = (
        _probe_remote(now_ms, request, remote, policy) if not usable else None
    )
    if probe_target is None:
        return ()
    return (Choice(probe_target.host, probe_target.domain, 0.0, Reason.PROBE),)


def _is_reachable(now_ms: float, views: t.Sequence[EndpointView]) -> bool:
    """Return whether a domain has sent recent reports and has few failing endpoints."""
    newest_ms = max(view.measured_ms for view in views)
    if now_ms - newest_ms > MAX_REMOTE_REPORT_AGE_MS:
        return False
    failing = sum(endpoint_view.failure_score(view, now_ms) > 0.5 for view in views)
    return failing <= max(1.0, MAX_REMOTE_FAILING_RATIO * len(views))
