"""Tests of choosing an endpoint."""

import collections
import math
import random

from hypothesis import given, strategies as st

from dotterelplank.routing import load_queries, routing

POLICY = routing.RoutingPolicy(live_entries=3)
REPORT = routing.LoadReport(10, 0, 0.5, 25.0, 400.0)


def make_view(host, domain="a", running=10, step_ms=25.0):
    view = routing.EndpointView(host, domain)
    report = routing.LoadReport(running, 0, 0.5, step_ms, 400.0)
    routing.note_report(view, 0.0, report, 0.0)
    return view


def make_request(number=0, blocks=(), priority=0):
    return routing.RouteRequest(str(number), blocks, 100, priority, "a")


def choose(views, now_ms=100.0, seed=1, policy=POLICY, **options):
    rng = random.Random(seed)
    return routing.choose(now_ms, make_request(**options), views, policy, rng)


SAMPLE_MS = 200.0


def fill(view, now_ms=0.0):
    """Report a full batch in four samples, the last one 800 ms after ``now_ms``."""
    full = routing.LoadReport(80, 5, 0.9, 25.0, 400.0)
    for number in range(1, 5):
        routing.note_report(view, now_ms + number * SAMPLE_MS, full, 0.0)


def stall(view, now_ms=0.0):
    routing.note_sent(view, now_ms, "streaming", ())
    routing.note_first_token(view, now_ms + 50.0, "streaming")


def test_no_endpoint_gives_no_choice():
    assert choose([]) is None


def test_a_cached_prefix_is_followed():
    views = [make_view(str(number)) for number in range(8)]
    routing.note_sent(views[5], 50.0, "before", (1, 2, 3, 4))
    choice = choose(views, blocks=(1, 2, 3, 9))
    assert (choice.host, choice.reason) == ("5", routing.Reason.PREFIX)


def test_a_cached_prefix_is_not_followed_to_an_overloaded_endpoint():
    views = [make_view(str(number)) for number in range(8)]
    views[5].report = routing.LoadReport(40, 5, 0.9, 25.0, 400.0)
    routing.note_sent(views[5], 50.0, "before", (1, 2, 3, 4))
    assert choose(views, blocks=(1, 2, 3, 9)).host != "5"


def test_entries_with_the_same_report_choose_different_endpoints():
    counts = collections.Counter()
    for seed in range(90):
        views = [make_view(str(number), running=10 + number % 2) for number in range(6)]
        routing.note_sent(views[0], 50.0, "before", ())
        counts[choose(views, seed=seed).host] += 1
    assert max(counts.values()) < 45


def test_a_slow_endpoint_gets_less():
    views = [make_view("slow", step_ms=75.0), make_view("1"), make_view("2")]
    chosen = {choose(views, seed=seed).host for seed in range(30)}
    assert "slow" not in chosen


def test_a_silent_endpoint_is_avoided_then_probed_by_a_priority_0_request():
    views = [make_view("0"), make_view("1")]
    stall(views[0])
    assert {choose(views, 1_000.0, seed).host for seed in range(20)} == {"1"}
    probe = choose(views, 10_000.0)
    assert (probe.host, probe.reason) == ("0", routing.Reason.PROBE)
    assert choose(views, 10_000.0, priority=1).host == "1"
    routing.note_sent(views[0], 10_000.0, "probe", (), is_probe=True)
    assert choose(views, 10_001.0).host == "1"


def test_an_answer_ends_the_avoidance_of_an_endpoint():
    views = [make_view("0"), make_view("1")]
    stall(views[0])
    routing.note_cancelled(views[0], 2_000.0, "streaming")
    assert {choose(views, 2_100.0, seed).host for seed in range(20)} == {"1"}
    routing.note_progress(views[0], 2_200.0)
    assert "0" in {choose(views, 2_300.0, seed).host for seed in range(20)}


def test_other_domains_are_used_only_when_the_own_is_full():
    views = [make_view("near", running=50), make_view("far", "b", running=0)]
    assert choose(views).host == "near"
    fill(views[0])
    assert choose(views, 900.0).reason is routing.Reason.OTHER_DOMAIN


def test_an_unreachable_domain_is_not_used():
    views = [make_view("near", running=50), make_view("far", "b", running=0)]
    fill(views[0])
    hosts = {choose(views, 8_000.0, seed, priority=1).host for seed in range(20)}
    assert hosts == {"near"}


def test_a_shortlist_has_no_endpoint_twice():
    views = [make_view(str(number)) for number in range(4)]
    routing.note_sent(views[2], 50.0, "before", (1, 2))
    rng = random.Random(1)
    request = make_request(blocks=(1, 2))
    choices = routing.shortlist(100.0, request, views, POLICY, rng, 9)
    assert choices[0].host == "2"
    assert len({choice.host for choice in choices}) == 4


def test_the_endpoint_with_the_earliest_expected_answer_is_chosen():
    views = [make_view(str(number)) for number in range(3)]
    rng = random.Random(1)
    choices = routing.shortlist(100.0, make_request(), views, POLICY, rng, 3)
    answers = [
        load_queries.LoadAnswer(choices[1].host, 10, 200.0),
        load_queries.LoadAnswer(choices[2].host, 10, 20.0),
    ]
    assert (
        load_queries.choose_by_answers(choices, answers, load_queries.LoadQueryPolicy())
        == choices[2]
    )
    assert (
        load_queries.choose_by_answers(choices, (), load_queries.LoadQueryPolicy())
        == choices[0]
    )


def test_a_short_wait_does_not_determine_the_batch_size():
    view = make_view("0")
    waiting = routing.LoadReport(3, 1, 0.1, 25.0, 100.0)
    for number in range(1, 20):
        report = REPORT if number % 4 == 0 else waiting
        routing.note_report(view, number * SAMPLE_MS, report, 0.0)
    assert view.batch_slots == math.inf
    fill(view, 4_000.0)
    routing.note_report(view, 5_000.0, waiting, 0.0)
    assert view.batch_slots < math.inf


def test_a_first_token_may_take_longer_where_requests_wait():
    views = [make_view("0"), make_view("1")]
    routing.note_sent(views[0], 0.0, "slow", ())
    assert routing.is_avoided(views[0], 2_000.0, POLICY)
    busy = routing.LoadReport(10, 4, 0.5, 25.0, 400.0)
    routing.note_report(views[0], 1_900.0, busy, 0.0)
    assert not routing.is_avoided(views[0], 2_000.0, POLICY)
    assert routing.is_avoided(views[0], 10_000.0, POLICY)


def test_a_cancellation_soon_after_sending_does_not_indicate_a_stall():
    view = make_view("0")
    routing.note_sent(view, 0.0, "slow", ())
    routing.note_cancelled(view, 700.0, "slow")
    assert not routing.is_avoided(view, 800.0, POLICY)


def test_an_endpoint_without_a_report_does_not_disable_prefix_affinity():
    views = [make_view(str(number)) for number in range(4)]
    views.append(routing.EndpointView("new", "a"))
    for view in views[:4]:
        routing.note_report(view, 9e8, REPORT, 0.0)
    routing.note_sent(views[2], 9e8, "before", (1, 2))
    request = routing.RouteRequest("0", (1, 2), 100, 0, "a", family_per_s=0.1)
    choice = routing.choose(9e8 + 100.0, request, views, POLICY, random.Random(1))
    assert choice.host == "2"


def test_own_sends_count_until_a_report_covers_them():
    view = make_view("0")
    routing.note_sent(view, 100.0, "first", ())
    routing.note_sent(view, 200.0, "second", ())
    assert routing.endpoint_view.held_requests(view, 1) == 12
    routing.note_report(view, 300.0, REPORT, 150.0)
    assert routing.endpoint_view.held_requests(view, 1) == 11
    routing.note_finished(view, 400.0, "first")
    assert routing.endpoint_view.held_requests(view, 1) == 10


def test_a_late_removal_event_keeps_blocks_used_since():
    view = make_view("0")
    routing.note_sent(view, 1_000.0, "new", (1, 2))
    late = routing.CacheEvent(removed=(1, 2))
    routing.note_cache_event(view, 1_500.0, late, 1_000.0)
    assert view.index.match((1, 2)).blocks == 2


liveness = st.sampled_from(list(routing.Liveness))
endpoint = st.tuples(liveness, st.sampled_from("abc"), st.integers(0, 90))


@given(st.lists(endpoint, max_size=12), st.integers(0, 99), st.booleans())
def test_a_leaving_endpoint_is_never_chosen_and_any_other_is(hosts, seed, silent):
    views = []
    for number, (life, domain, running) in enumerate(hosts):
        view = make_view(str(number), domain, running)
        view.liveness = life
        if silent:
            stall(view)
        views.append(view)
    choice = choose(views, 5_000.0, seed, blocks=(1, 2))
    staying = {v.host for v in views if v.liveness is not routing.Liveness.LEAVING}
    assert (choice is None) == (not staying)
    assert choice is None or choice.host in staying


@given(st.lists(st.tuples(st.sampled_from("sfxcr"), st.integers(0, 5)), max_size=60))
def test_counts_agree_with_the_requests_in_flight(events):
    view = make_view("0")
    for number, (kind, request) in enumerate(events):
        now_ms = 10.0 * number
        if kind == "s" and str(request) not in view.in_flight:
            routing.note_sent(view, now_ms, str(request), (request,))
        elif kind == "f":
            routing.note_first_token(view, now_ms, str(request))
        elif kind == "x":
            routing.note_failure(view, now_ms, str(request))
        elif kind == "c":
            routing.note_cancelled(view, now_ms, str(request))
        elif kind == "r":
            routing.note_report(view, now_ms, REPORT, 5.0)
        waiting = [s for s in view.in_flight.values() if s.first_token_ms is None]
        assert view.awaiting_first_token == len(waiting)
        assert view.net_since_report == sum(change for _, change in view.changes)
