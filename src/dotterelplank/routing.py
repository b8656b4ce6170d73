"""Choosing an endpoint for a request from late and partial knowledge.

The loads that entries see are old, and all entries see the same ones, so the least
loaded endpoint must not be everybody's choice. Each entry instead draws in
proportion to the room that each endpoint had below the level to which the
requests expected since then would fill them all. An endpoint that likely caches
the request's prefix goes before the drawn one while it is not loaded far above
that level.
"""

import dataclasses
import enum
import heapq
import math
import random
import typing as t

from . import endpoint_view, prefixes
from .endpoint_view import (  # noqa: F401
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

HASH_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
MAX_PROBE_INTERVAL_MS = 60_000.0
MIN_SPEED = 0.1
HOMES = 2
SPILL_FROM = 0.92
FAR_REPORT_LIMIT_MS = 5_000.0
FAR_FAILING_SHARE = 0.1
MIN_LIKELIHOOD = 0.01
BLOCK_FACTOR = 3.0
MIN_ROOM_REQUESTS = 1.0


class Reason(enum.Enum):
    """Why an endpoint was chosen."""

    PREFIX = "prefix"
    LOAD = "load"
    PROBE = "probe"
    OTHER_DOMAIN = "other-domain"


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing needs to know of a request.

    :param blocks: hash chain of the message text, see :func:`prefixes.chain`.
    :param expected_tokens: tokens that it will likely generate.
    :param priority: higher goes first; 0 is usual. Requests above 0 never probe.
    :param domain: failure domain of this entry.
    :param family_per_s: rate at which requests with the same first block came to
        this entry, see :class:`prefixes.FamilyRates`.
    """

    request_id: str
    blocks: tuple[int, ...]
    expected_tokens: int
    priority: int
    domain: str
    family_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """The settings of routing.

    :param live_entries: entries that choose in the same domain, this one too.
    :param affinity_slack: part by which an endpoint may be above the level of all
        and still get the requests whose prefix it caches.
    :param light_requests: held requests up to which it always may.
    :param silence_limit_ms: an endpoint that owes an answer for longer is frozen.
    :param probe_interval_ms: time between two probes by all entries together.
    """

    live_entries: int = 9
    cache_half_life_ms: float = 60_000.0
    affinity_slack: float = 0.1
    light_requests: float = 4.0
    silence_limit_ms: float = 600.0
    first_token_limit_ms: float = 1_500.0
    failure_limit: float = 2.0
    probe_interval_ms: float = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint to send a request to.

    :param expected_cached_blocks: blocks of its prefix likely cached there.
    """

    host: str
    domain: str
    expected_cached_blocks: float
    reason: Reason


@dataclasses.dataclass(slots=True)
class _Candidate:
    view: EndpointView
    speed: float
    held: float
    room: float = 0.0
    weight: float = 0.0
    matched_blocks: int = 0
    likely_blocks: float = 0.0
    is_drawn: bool = False


def choose(
    now_ms: float,
    request: RouteRequest,
    endpoints: t.Sequence[EndpointView],
    policy: RoutingPolicy,
    rng: random.Random,
) -> Choice | None:
    """Choose the endpoint for ``request``, or None if none may take it.

    ``endpoints`` are those that the selector left. An endpoint that is leaving is
    never chosen; one that seems frozen only as a rare probe, or when every other
    one seems frozen too. The views aren't changed: tell them with
    :func:`note_sent` what was sent.
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
    """Return up to ``count`` endpoints, the one to prefer first.

    A caller that can ask the endpoints for their present load does so and hands
    the answers to :func:`inquiry.settle`. A probe comes alone.
    """
    own, avoided, far = _sort_out(now_ms, request, endpoints, policy)
    probed = _probe(now_ms, request, avoided, policy)
    if probed is not None:
        return (Choice(probed.host, probed.domain, 0.0, Reason.PROBE),)
    if rng.random() < _spill_share(own):
        choices = _choose_far(now_ms, request, own, far, policy, rng, count)
        if choices:
            return choices
    candidates = _candidates(own or avoided or far, policy)
    return tuple(_draw_choices(now_ms, request, candidates, policy, rng, count))


def _sort_out(
    now_ms: float,
    request: RouteRequest,
    endpoints: t.Sequence[EndpointView],
    policy: RoutingPolicy,
) -> tuple[list[EndpointView], list[EndpointView], list[EndpointView]]:
    """Return the own domain's usable and avoided endpoints, and all of others."""
    own = []
    avoided = []
    far = []
    for view in endpoints:
        if view.liveness is Liveness.LEAVING:
            continue
        if view.domain != request.domain:
            far.append(view)
        elif is_avoided(view, now_ms, policy):
            avoided.append(view)
        else:
            own.append(view)
    return own, avoided, far


def is_avoided(view: EndpointView, now_ms: float, policy: RoutingPolicy) -> bool:
    """Return whether ``view`` seems frozen, failing or gone."""
    if view.is_stalled or view.liveness is Liveness.SUSPECT:
        return True
    if view.in_flight and now_ms - view.answered_ms > policy.silence_limit_ms:
        return _owes_an_answer(view, now_ms, policy)
    if view.failure_score >= policy.failure_limit:
        return endpoint_view.failure_score(view, now_ms) >= policy.failure_limit
    return False


def _owes_an_answer(view: EndpointView, now_ms: float, policy: RoutingPolicy) -> bool:
    if view.unanswered < len(view.in_flight):
        return True
    oldest = endpoint_view.oldest_unanswered(view)
    if oldest is None:
        return False
    return now_ms - oldest.sent_ms > policy.first_token_limit_ms


def _probe(
    now_ms: float,
    request: RouteRequest,
    views: t.Sequence[EndpointView],
    policy: RoutingPolicy,
) -> EndpointView | None:
    """Return which of the avoided ``views`` is due to be tried again, if any."""
    if request.priority > 0:
        return None
    interval_ms = policy.probe_interval_ms * policy.live_entries
    interval_ms = min(interval_ms, MAX_PROBE_INTERVAL_MS)
    for view in views:
        started_ms = max(view.last_probe_ms, view.failure_ms, view.answered_ms)
        if now_ms - started_ms >= interval_ms:
            return view
    return None


def _probe_one(
    now_ms: float,
    request: RouteRequest,
    views: t.Sequence[EndpointView],
    policy: RoutingPolicy,
) -> EndpointView | None:
    """Return what :func:`_probe` does, but one endpoint an interval over them all."""
    latest_ms = max((view.last_probe_ms for view in views), default=0.0)
    if now_ms - latest_ms < policy.probe_interval_ms * policy.live_entries:
        return None
    return _probe(now_ms, request, views, policy)


def _candidates(
    views: t.Sequence[EndpointView], policy: RoutingPolicy
) -> list[_Candidate]:
    step_times_ms = sorted(view.report.step_ms for view in views if view.report)
    usual_ms = step_times_ms[len(step_times_ms) // 2] if step_times_ms else 0.0
    live_entries = policy.live_entries
    candidates = []
    for view in views:
        speed = 1.0
        if view.report and view.report.step_ms > usual_ms:
            speed = max(MIN_SPEED, usual_ms / view.report.step_ms)
        held = endpoint_view.held_requests(view, live_entries)
        candidates.append(_Candidate(view, speed, held))
    return candidates


def _spill_share(views: t.Sequence[EndpointView]) -> float:
    """Return the part of the requests that ``views`` can't take; 1 without any."""
    if not views:
        return 1.0
    held = places = 0.0
    for view in views:
        known = view.places if view.places < math.inf else 0.0
        held += endpoint_view.held_requests(view, 1) if known else 0.0
        places += known
    if not places:
        return 0.0
    return min(1.0, max(0.0, (held / places - SPILL_FROM) / (1.0 - SPILL_FROM)))


def _choose_far(
    now_ms: float,
    request: RouteRequest,
    own: t.Sequence[EndpointView],
    far: t.Sequence[EndpointView],
    policy: RoutingPolicy,
    rng: random.Random,
    count: int,
) -> tuple[Choice, ...]:
    """Choose in other domains, if they are reached and have more room."""
    usable = []
    for domain in sorted({view.domain for view in far}):
        views = [view for view in far if view.domain == domain]
        if _is_reached(now_ms, views):
            usable.extend(v for v in views if not is_avoided(v, now_ms, policy))
    if usable and _spill_share(usable) <= _spill_share(own) / 2.0:
        candidates = _candidates(usable, policy)
        choices = _draw_choices(now_ms, request, candidates, policy, rng, count)
        return tuple(
            dataclasses.replace(choice, reason=Reason.OTHER_DOMAIN)
            for choice in choices
        )
    probed = _probe_one(now_ms, request, far, policy) if not usable else None
    if probed is None:
        return ()
    return (Choice(probed.host, probed.domain, 0.0, Reason.PROBE),)


def _is_reached(now_ms: float, views: t.Sequence[EndpointView]) -> bool:
    """Return whether a domain seems reachable, by its reports and few failures."""
    newest_ms = max(view.measured_ms for view in views)
    if now_ms - newest_ms > FAR_REPORT_LIMIT_MS:
        return False
    failing = sum(endpoint_view.failure_score(view, now_ms) > 0.5 for view in views)
    return failing <= max(1.0, FAR_FAILING_SHARE * len(views))


def _draw_choices(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[_Candidate],
    policy: RoutingPolicy,
    rng: random.Random,
    count: int,
) -> t.Iterator[Choice]:
    """Yield ``count`` different choices, or as many as there are candidates."""
    if not candidates:
        return
    level = _fill_level(candidates, policy)
    holders = _holders(now_ms, request, candidates, level, policy)
    room = sum(holder.room for holder in holders)
    expected = _expected_family_requests(now_ms, request, candidates, policy)
    follows_prefix = room > 0.0 and rng.random() * max(room, expected) < room
    if not follows_prefix:
        holders = ()
    for _ in range(min(count, len(candidates))):
        drawn = _draw(holders, rng)
        if drawn is None:
            holders = ()
            for candidate in candidates:
                spare = level * candidate.speed - candidate.held
                candidate.weight = max(0.0, spare)
                if candidate.is_drawn:
                    candidate.weight = 0.0
            drawn = _draw(candidates, rng) or _least_held(candidates)
        drawn.is_drawn = True
        drawn.weight = 0.0
        reason = Reason.PREFIX if holders and drawn.matched_blocks else Reason.LOAD
        yield Choice(drawn.view.host, drawn.view.domain, drawn.likely_blocks, reason)


def _least_held(candidates: t.Sequence[_Candidate]) -> _Candidate:
    undrawn = (one for one in candidates if not one.is_drawn)
    return min(undrawn, key=lambda one: one.held / one.speed)


def _fill_level(candidates: t.Sequence[_Candidate], policy: RoutingPolicy) -> float:
    """Return the load for each unit of speed that the expected requests fill to."""
    sent = sum(candidate.view.sent_since_report for candidate in candidates)
    expected = max(sent * policy.live_entries, MIN_ROOM_REQUESTS * len(candidates))
    ordered = sorted((item.held / item.speed, item.speed) for item in candidates)
    filled = expected
    speeds = 0.0
    level = 0.0
    for position, (load, speed) in enumerate(ordered):
        filled += load * speed
        speeds += speed
        level = filled / speeds
        if position + 1 == len(ordered) or ordered[position + 1][0] >= level:
            break
    return level


def _draw(candidates: t.Sequence[_Candidate], rng: random.Random) -> _Candidate | None:
    total = sum(candidate.weight for candidate in candidates)
    if total <= 0.0:
        return None
    left = rng.random() * total
    last = None
    for candidate in candidates:
        if candidate.weight <= 0.0:
            continue
        last = candidate
        left -= candidate.weight
        if left < 0.0:
            break
    return last


def _holders(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[_Candidate],
    level: float,
    policy: RoutingPolicy,
) -> t.Sequence[_Candidate]:
    """Return who likely caches most of the prefix, weighed by the room left there.

    If nobody is known to, it is the few homes that all entries give its family.
    """
    if not request.blocks:
        return ()
    holders = []
    for candidate in candidates:
        match = candidate.view.index.match(request.blocks)
        if match.blocks:
            candidate.matched_blocks = match.blocks
            candidate.likely_blocks = prefixes.likely_blocks(
                match, now_ms, policy.cache_half_life_ms
            )
            holders.append(candidate)
    if not holders:
        holders = _homes(request.blocks[0], candidates)
    best = max(holders, key=lambda one: one.likely_blocks)
    best_blocks = best.matched_blocks
    limit = max(level * (1.0 + policy.affinity_slack), policy.light_requests)
    for holder in holders:
        most = min(limit * holder.speed, holder.view.places)
        holder.room = max(0.0, most - holder.held)
        likelihood = holder.likely_blocks / max(1, holder.matched_blocks)
        advantage = min(0, holder.matched_blocks - best_blocks)
        holder.weight = holder.room * max(MIN_LIKELIHOOD, likelihood)
        holder.weight *= BLOCK_FACTOR**advantage
    return holders


def _homes(family: int, candidates: t.Sequence[_Candidate]) -> t.Sequence[_Candidate]:
    return heapq.nlargest(
        HOMES, candidates, key=lambda one: _rank(family, one.view.host_hash)
    )


def _expected_family_requests(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[_Candidate],
    policy: RoutingPolicy,
) -> float:
    """Return the family's requests that all entries send while a report is current."""
    if not candidates:
        return 0.0
    ages_ms = sum(now_ms - one.view.measured_ms for one in candidates)
    age_s = ages_ms / len(candidates) / 1_000.0
    return request.family_per_s * policy.live_entries * age_s


def _rank(family: int, host_hash: int) -> int:
    """Return a rank of a host for a prefix family that all entries agree on."""
    mixed = (family ^ host_hash) * HASH_MULTIPLIER & HASH_MASK
    return mixed ^ mixed >> 32
