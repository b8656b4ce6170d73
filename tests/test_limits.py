"""Tests of admission control."""

import random

from hypothesis import given, settings, strategies as st

from dotterelplank.routing import (
    capacities,
    demands,
    endpoint_view,
    limits,
    team_shares,
)

POLICY = limits.LimitPolicy({"large": 0.6, "small": 0.1}, 0.1, 0.3)


def make_request(number, team="large", cost=10.0, priority=0, deadline_ms=1e12):
    return limits.LimitRequest(f"{team}/{number}", team, cost, priority, deadline_ms)


def offer(state, team, per_s, start_s, stop_s, cost=10.0, priority=0):
    """Offer a constant load; return the admitted and the shed requests."""
    admitted, shed = [], []
    for number in range(int(start_s * per_s), int(stop_s * per_s)):
        now_ms = 1_000.0 * number / per_s
        request = make_request(number, team, cost, priority)
        answer = limits.admit(now_ms, state, request, POLICY)
        if isinstance(answer, limits.Admitted):
            admitted.append(answer)
            limits.release(now_ms, state, answer.ticket, limits.Outcome.DONE)
        else:
            shed.append(answer)
    return admitted, shed


def test_all_requests_are_admitted_below_the_capacity():
    state = limits.LimitState("0", 1_000.0)
    assert not offer(state, "large", 80, 0, 10)[1]


def test_a_team_over_its_share_is_limited_to_the_capacity():
    state = limits.LimitState("0", 1_000.0)
    offer(state, "large", 500, 0, 10)
    admitted, shed = offer(state, "large", 500, 10, 20)
    assert 850 <= len(admitted) <= 1_100
    assert len({answer.retry_after_ms for answer in shed}) > len(shed) / 2


def test_a_small_team_gets_its_share_beside_a_large_one():
    state = limits.LimitState("0", 1_000.0)
    shed = 0
    for number in range(10_000):
        team = "large" if number % 50 else "small"
        request = make_request(number, team)
        answer = limits.admit(2.0 * number, state, request, POLICY)
        shed += team == "small" and isinstance(answer, limits.Shed)
    assert shed == 0


def test_a_request_that_would_miss_its_deadline_is_shed_at_once():
    state = limits.LimitState("0", 1_000.0)
    limits.on_load(0.0, state, 1_000.0, backlog_ms=500.0)
    answer = limits.admit(0.0, state, make_request(0, deadline_ms=400.0), POLICY)
    assert answer.reason is limits.ShedReason.DEADLINE


def test_low_priority_is_shed_before_high():
    state = limits.LimitState("0", 1_000.0)
    admitted = {2: 0, -2: 0}
    for number in range(4_000):
        priority = -2 if number % 4 else 2
        request = make_request(number, priority=priority)
        answer = limits.admit(5.0 * number, state, request, POLICY)
        admitted[priority] += isinstance(answer, limits.Admitted)
    assert admitted[2] == 1_000
    assert admitted[-2] < 1_100


def test_entries_with_the_same_demand_admit_equal_parts():
    state = limits.LimitState("0", 1_000.0)
    top_teams = (demands.TeamDemand("large", 5_000.0),)
    peer = demands.DemandDigest("1", 5_000.0, 500.0, 0.0, top_teams)
    admitted = 0
    for second in range(20):
        limits.on_digest(1_000.0 * second, state, peer)
        count = len(offer(state, "large", 500, second, second + 1)[0])
        admitted += count if second >= 10 else 0
    assert 425 <= admitted <= 550


def test_a_digest_is_bounded_however_many_teams_there_are():
    state = limits.LimitState("0", 1e6)
    for number in range(limits.MAX_TEAMS + 500):
        request = make_request(number, team=f"team-{number}")
        limits.admit(float(number), state, request, POLICY)
    assert len(state.teams) <= limits.MAX_TEAMS
    digest = limits.digest(9_000.0, state)
    assert len(digest.top_teams) <= demands.MAX_TOP_TEAMS


def test_idle_teams_are_evicted():
    state = limits.LimitState("0", 1e6)
    limits.admit(0.0, state, make_request(0), POLICY)
    limits.digest(team_shares.IDLE_TIMEOUT_MS + 1.0, state)
    assert not state.teams


claims = st.lists(
    st.builds(demands.Claim, st.floats(0.0, 1e4), st.floats(0.01, 1.0)), max_size=30
)


@given(claims, st.floats(1.0, 1e5))
def test_the_fair_level_gives_out_the_capacity_and_no_more(given_claims, capacity):
    level = demands.fair_level(given_claims, capacity)
    given_out = sum(min(one.demand_per_s, one.share * level) for one in given_claims)
    wanted = min(capacity, sum(one.demand_per_s for one in given_claims))
    assert abs(given_out - wanted) <= 1e-6 * capacity


@given(st.lists(st.integers(0, 20), min_size=1, max_size=200))
def test_tickets_are_given_back_once(numbers):
    state = limits.LimitState("0", 1e9)
    for number in numbers:
        answer = limits.admit(0.0, state, make_request(number), POLICY)
        assert isinstance(answer, limits.Admitted)
        for _ in range(2):
            limits.release(0.0, state, answer.ticket, limits.Outcome.DONE)
    assert state.in_flight_cost == 0.0


@settings(max_examples=12)
@given(st.lists(st.floats(0.1, 5.0), min_size=3, max_size=3), st.integers(0, 99))
def test_no_team_gets_more_than_its_fair_part_by_more_than_the_bound(loads, seed):
    rng = random.Random(seed)
    policy = limits.LimitPolicy({"a": 0.5, "b": 0.3, "c": 0.2}, 0.1, 0.0)
    state = limits.LimitState("0", 1_000.0)
    admitted = dict.fromkeys("abc", 0.0)
    now_ms = 0.0
    while now_ms < 40_000.0:
        now_ms += rng.expovariate(sum(loads) * 100.0) * 1_000.0
        team = rng.choices("abc", loads)[0]
        request = make_request(now_ms, team)
        answer = limits.admit(now_ms, state, request, policy)
        if isinstance(answer, limits.Admitted) and now_ms >= 20_000.0:
            admitted[team] += request.cost / 20.0
    claims = [
        demands.Claim(load * 1_000.0, policy.shares[team])
        for team, load in zip("abc", loads)
    ]
    level = demands.fair_level(claims, 1_000.0)
    assert sum(admitted.values()) <= 1_100.0
    for team, claim in zip("abc", claims):
        fair_per_s = min(claim.demand_per_s, claim.share * level)
        assert admitted[team] <= 1.15 * fair_per_s + 20.0


def test_the_rest_gets_what_the_shares_leave():
    assert limits.LimitPolicy({"a": 0.7}, 0.1).share_of_rest() == 1.0 - 0.7
    assert limits.LimitPolicy({"a": 0.7}, 0.1, 0.2).share_of_rest() == 0.2
    assert limits.LimitPolicy({"a": 1.2}, 0.1).share_of_rest() > 0.0


def test_the_digest_of_a_silent_entry_expires():
    state = limits.LimitState("0", 1_000.0)
    peer = demands.DemandDigest("1", 500.0, 500.0, 0.0, ())
    limits.on_digest(0.0, state, peer)
    limits.admit(1_000.0, state, make_request(0), POLICY)
    assert state.live_entries == 2
    limits.admit(5_000.0, state, make_request(1), POLICY)
    assert state.live_entries == 1


def test_a_failed_request_is_refunded_to_the_bucket_it_was_taken_from():
    state = limits.LimitState("0", 1_000.0)
    request = make_request(0, "other")
    answer = limits.admit(0.0, state, request, POLICY)
    level = state.rest if answer.ticket.is_of_rest else state.teams["other"]
    level.level = before = -request.cost
    limits.release(0.0, state, answer.ticket, limits.Outcome.FAILED)
    assert level.level == before + request.cost


def test_capacity_and_backlog_follow_the_load_reports():
    views = [endpoint_view.EndpointView(str(number), "a") for number in range(2)]
    report = endpoint_view.LoadReport(30, 6, 0.9, 25.0, 1_200.0)
    for view in views:
        endpoint_view.note_report(view, 0.0, report, 0.0)
    assert capacities.capacity_per_s(views, 48.0) == 2 * 48 * 40
    assert capacities.backlog_ms(views, 48.0, 400.0) == 12 * 400 / 3_840 * 1_000
    assert capacities.free_share(views, 48.0) == 1.0 - 60 / 96
    slow = endpoint_view.LoadReport(30, 6, 0.9, 75.0, 400.0)
    endpoint_view.note_report(views[0], 1.0, slow, 0.0)
    assert round(capacities.capacity_per_s(views, 48.0)) == 48 * 40 + 640
