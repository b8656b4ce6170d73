"""Drawing among the endpoints that may take a request.

The loads that entries see are old, and all entries see the same ones, so the least
loaded endpoint must not be everybody's choice. Each entry instead draws in
proportion to the room that each endpoint had below the level to which the
requests expected since then would fill them all. An endpoint that likely caches
the request's prefix goes before the drawn one while it is not loaded far above
that level.
"""

import dataclasses
import heapq
import random
import typing as t

from . import endpoint_view, prefixes
from .endpoint_view import EndpointView
from .routes import Choice, Reason, RouteRequest, RoutingPolicy

HASH_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
MIN_SPEED = 0.1
MAX_ROOM = 0.25
MAX_AGE_MS = 5_000.0
HOMES = 2
MIN_LIKELIHOOD = 0.01
BLOCK_FACTOR = 3.0
MIN_ROOM_REQUESTS = 1.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that may be chosen, with what is worked out about it.

    :param speed: its speed against the usual one, at most 1.
    :param held: requests that it is believed to hold.
    :param room: requests that it may take before it is too far above the others.
    :param weight: what its chance of being drawn is proportional to.
    """

    view: EndpointView
    speed: float
    held: float
    room: float = 0.0
    weight: float = 0.0
    matched_blocks: int = 0
    likely_blocks: float = 0.0
    is_drawn: bool = False


def make_candidates(
    views: t.Sequence[EndpointView], policy: RoutingPolicy
) -> list[Candidate]:
    """Return a candidate for each of ``views``."""
    step_times_ms = sorted(view.report.step_ms for view in views if view.report)
    usual_ms = step_times_ms[len(step_times_ms) // 2] if step_times_ms else 0.0
    live_entries = policy.live_entries
    candidates = []
    for view in views:
        speed = 1.0
        if view.report and view.report.step_ms > usual_ms:
            speed = max(MIN_SPEED, usual_ms / view.report.step_ms)
        held = endpoint_view.held_requests(view, live_entries)
        candidates.append(Candidate(view, speed, held))
    return candidates


def draw_choices(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[Candidate],
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
    most = MAX_ROOM * max(1.0, level)
    for _ in range(min(count, len(candidates))):
        drawn = _draw(holders, rng)
        if drawn is None:
            holders = ()
            for candidate in candidates:
                spare = level * candidate.speed - candidate.held
                candidate.weight = min(most, max(0.0, spare))
                if candidate.is_drawn:
                    candidate.weight = 0.0
            drawn = _draw(candidates, rng) or _least_held(candidates)
        drawn.is_drawn = True
        drawn.weight = 0.0
        reason = Reason.PREFIX if holders and drawn.matched_blocks else Reason.LOAD
        yield Choice(drawn.view.host, drawn.view.domain, drawn.likely_blocks, reason)


def _least_held(candidates: t.Sequence[Candidate]) -> Candidate:
    undrawn = (one for one in candidates if not one.is_drawn)
    return min(undrawn, key=lambda one: one.held / one.speed)


def _fill_level(candidates: t.Sequence[Candidate], policy: RoutingPolicy) -> float:
    """Return the load for each unit of speed that the expected requests fill to.

    It is the median load at least, so that an endpoint that has just joined
    doesn't get all the requests at once.
    """
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
    median, _ = ordered[len(ordered) // 2]
    return max(level, median)


def _draw(candidates: t.Sequence[Candidate], rng: random.Random) -> Candidate | None:
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
    candidates: t.Sequence[Candidate],
    level: float,
    policy: RoutingPolicy,
) -> t.Sequence[Candidate]:
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
    limit = level * (1.0 + policy.affinity_slack) + 1.0
    limit = max(limit, policy.light_requests)
    for holder in holders:
        most = min(limit * holder.speed, holder.view.places)
        holder.room = max(0.0, most - holder.held)
        likelihood = holder.likely_blocks / max(1, holder.matched_blocks)
        advantage = min(0, holder.matched_blocks - best_blocks)
        holder.weight = holder.room * max(MIN_LIKELIHOOD, likelihood)
        holder.weight *= BLOCK_FACTOR**advantage
    return holders


def _homes(family: int, candidates: t.Sequence[Candidate]) -> t.Sequence[Candidate]:
    return heapq.nlargest(
        HOMES, candidates, key=lambda one: _rank(family, one.view.host_hash)
    )


def _expected_family_requests(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[Candidate],
    policy: RoutingPolicy,
) -> float:
    """Return the family's requests that all entries send while a report is current."""
    ages_ms = [now_ms - one.view.measured_ms for one in candidates if one.view.report]
    if not ages_ms:
        return 0.0
    age_ms = min(MAX_AGE_MS, sum(ages_ms) / len(ages_ms))
    return request.family_per_s * policy.live_entries * age_ms / 1_000.0


def _rank(family: int, host_hash: int) -> int:
    """Return a rank of a host for a prefix family that all entries agree on."""
    mixed = (family ^ host_hash) * HASH_MULTIPLIER & HASH_MASK
    return mixed ^ mixed >> 32
