"""Weighted random choice among the endpoints that may take a request.

The load reports that entries see are old, and all entries see the same ones. If each
entry chose the least loaded endpoint, they would all choose the same one. Each entry
instead computes a fill level: the load that all endpoints would reach if the requests
expected since the reports were spread evenly. It then draws an endpoint at random,
with a weight in proportion to the endpoint's free capacity below that level. Endpoints
that likely cache the request's prefix are preferred as long as their load is not far
above the level.
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
MIN_RELATIVE_SPEED = 0.1
MAX_WEIGHT_RATIO = 0.25
MAX_REPORT_AGE_MS = 5_000.0
RENDEZVOUS_CANDIDATES = 2
MIN_LIKELIHOOD = 0.01
WEIGHT_FACTOR_PER_BLOCK = 3.0
MIN_EXPECTED_REQUESTS_PER_ENDPOINT = 1.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that may be chosen, with the values computed for the choice.

    :param relative_speed: median step time divided by the endpoint's step time, at
        most 1.
    :param held_requests: estimated number of requests running or waiting there.
    :param headroom: requests that the endpoint may still take by prefix affinity.
    :param weight: relative probability of being drawn.
    :param matched_blocks: length of the request's prefix found in the endpoint's index.
    :param likely_blocks: expected number of those blocks that are still cached.
    :param is_drawn: whether the endpoint was already chosen for this request.
    """

    view: EndpointView
    relative_speed: float
    held_requests: float
    headroom: float = 0.0
    weight: float = 0.0
    matched_blocks: int = 0
    likely_blocks: float = 0.0
    is_drawn: bool = False


def make_candidates(
    views: t.Sequence[EndpointView], policy: RoutingPolicy
) -> list[Candidate]:
    """Return a candidate for each of ``views``."""
    step_times_ms = sorted(view.report.step_ms for view in views if view.report)
    median_step_ms = step_times_ms[len(step_times_ms) // 2] if step_times_ms else 0.0
    live_entries = policy.live_entries
    candidates = []
    for view in views:
        relative_speed = 1.0
        if view.report and view.report.step_ms > median_step_ms:
            relative_speed = max(
                MIN_RELATIVE_SPEED, median_step_ms / view.report.step_ms
            )
        held_requests = endpoint_view.held_requests(view, live_entries)
        candidates.append(Candidate(view, relative_speed, held_requests))
    return candidates


def draw_choices(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[Candidate],
    policy: RoutingPolicy,
    rng: random.Random,
    count: int,
) -> t.Iterator[Choice]:
    """Yield up to ``count`` different choices, at most one per candidate."""
    if not candidates:
        return
    level = _fill_level(candidates, policy)
    prefix_candidates = _prefix_candidates(now_ms, request, candidates, level, policy)
    headroom = sum(prefix_candidate.headroom for prefix_candidate in prefix_candidates)
    expected = _expected_family_requests(now_ms, request, candidates, policy)
    follows_prefix = (
        headroom > 0.0 and rng.random() * max(headroom, expected) < headroom
    )
    if not follows_prefix:
        prefix_candidates = ()
    max_weight = MAX_WEIGHT_RATIO * max(1.0, level)
    for _ in range(min(count, len(candidates))):
        drawn = _draw(prefix_candidates, rng)
        if drawn is None:
            prefix_candidates = ()
            for candidate in candidates:
                free_requests = (
                    level * candidate.relative_speed - candidate.held_requests
                )
                candidate.weight = min(max_weight, max(0.0, free_requests))
                if candidate.is_drawn:
                    candidate.weight = 0.0
            drawn = _draw(candidates, rng) or _least_loaded(candidates)
        drawn.is_drawn = True
        drawn.weight = 0.0
        reason = (
            Reason.PREFIX if prefix_candidates and drawn.matched_blocks else Reason.LOAD
        )
        yield Choice(drawn.view.host, drawn.view.domain, drawn.likely_blocks, reason)


def _least_loaded(candidates: t.Sequence[Candidate]) -> Candidate:
    undrawn = (candidate for candidate in candidates if not candidate.is_drawn)
    return min(
        undrawn,
        key=lambda candidate: candidate.held_requests / candidate.relative_speed,
    )


def _fill_level(candidates: t.Sequence[Candidate], policy: RoutingPolicy) -> float:
    """Return the load per unit of speed after the expected requests are spread evenly.

    The level is at least the median load, so that an endpoint that has just joined
    doesn't get all the requests at once.
    """
    sent = sum(candidate.view.sent_since_report for candidate in candidates)
    expected = max(
        sent * policy.live_entries, MIN_EXPECTED_REQUESTS_PER_ENDPOINT * len(candidates)
    )
    ordered = sorted(
        (item.held_requests / item.relative_speed, item.relative_speed)
        for item in candidates
    )
    filled = expected
    total_speed = 0.0
    level = 0.0
    for position, (load, relative_speed) in enumerate(ordered):
        filled += load * relative_speed
        total_speed += relative_speed
        level = filled / total_speed
        if position + 1 == len(ordered) or ordered[position + 1][0] >= level:
            break
    median, _ = ordered[len(ordered) // 2]
    return max(level, median)


def _draw(candidates: t.Sequence[Candidate], rng: random.Random) -> Candidate | None:
    total = sum(candidate.weight for candidate in candidates)
    if total <= 0.0:
        return None
    remaining_weight = rng.random() * total
    last = None
    for candidate in candidates:
        if candidate.weight <= 0.0:
            continue
        last = candidate
        remaining_weight -= candidate.weight
        if remaining_weight < 0.0:
            break
    return last


def _prefix_candidates(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[Candidate],
    level: float,
    policy: RoutingPolicy,
) -> t.Sequence[Candidate]:
    """Return the candidates that likely cache the request's prefix, with weights set.

    The weight grows with the length of the cached prefix and with the headroom. If no
    candidate is known to cache the prefix, the result is the few candidates that
    rendezvous hashing of the first block gives, which are the same for all entries.
    """
    if not request.blocks:
        return ()
    prefix_candidates = []
    for candidate in candidates:
        match = candidate.view.index.match(request.blocks)
        if match.blocks:
            candidate.matched_blocks = match.blocks
            candidate.likely_blocks = prefixes.likely_blocks(
                match, now_ms, policy.cache_half_life_ms
            )
            prefix_candidates.append(candidate)
    if not prefix_candidates:
        prefix_candidates = _rendezvous_candidates(request.blocks[0], candidates)
    best = max(prefix_candidates, key=lambda candidate: candidate.likely_blocks)
    best_blocks = best.matched_blocks
    limit = level * (1.0 + policy.affinity_slack) + 1.0
    limit = max(limit, policy.min_affinity_requests)
    for prefix_candidate in prefix_candidates:
        max_requests = min(
            limit * prefix_candidate.relative_speed, prefix_candidate.view.batch_slots
        )
        prefix_candidate.headroom = max(
            0.0, max_requests - prefix_candidate.held_requests
        )
        likelihood = prefix_candidate.likely_blocks / max(
            1, prefix_candidate.matched_blocks
        )
        advantage = min(0, prefix_candidate.matched_blocks - best_blocks)
        prefix_candidate.weight = prefix_candidate.headroom * max(
            MIN_LIKELIHOOD, likelihood
        )
        prefix_candidate.weight *= WEIGHT_FACTOR_PER_BLOCK**advantage
    return prefix_candidates


def _rendezvous_candidates(
    family: int, candidates: t.Sequence[Candidate]
) -> t.Sequence[Candidate]:
    return heapq.nlargest(
        RENDEZVOUS_CANDIDATES,
        candidates,
        key=lambda candidate: _rendezvous_score(family, candidate.view.host_hash),
    )


def _expected_family_requests(
    now_ms: float,
    request: RouteRequest,
    candidates: t.Sequence[Candidate],
    policy: RoutingPolicy,
) -> float:
    """Return how many requests of the family all entries send between two reports.

    A family is the set of requests with the same first block. The mean age of the
    load reports, at most MAX_REPORT_AGE_MS, stands for the time between two reports.
    """
    ages_ms = [
        now_ms - candidate.view.measured_ms
        for candidate in candidates
        if candidate.view.report
    ]
    if not ages_ms:
        return 0.0
    age_ms = min(MAX_REPORT_AGE_MS, sum(ages_ms) / len(ages_ms))
    return request.family_per_s * policy.live_entries * age_ms / 1_000.0


def _rendezvous_score(family: int, host_hash: int) -> int:
    """Return the rendezvous hashing score of a host for a prefix family."""
    mixed = (family ^ host_hash) * HASH_MULTIPLIER & HASH_MASK
    return mixed ^ mixed >> 32
