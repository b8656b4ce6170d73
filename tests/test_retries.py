"""Tests of the retry budget."""

from hypothesis import given, strategies as st

from dotterelplank.routing import retries

NOT_RUN = retries.Failure(retries.Proof.NOT_RUN, is_refusal=True)
UNKNOWN = retries.Failure(retries.Proof.UNKNOWN)


def make_request(attempts=1, is_idempotent=False, deadline_ms=1e9, number=0):
    return retries.RetryRequest(str(number), is_idempotent, attempts, deadline_ms)


def test_a_refused_request_is_retried_at_once():
    answer = retries.decide(0.0, retries.RetryBudget(), NOT_RUN, make_request())
    assert answer == retries.Retry(0.0)


def test_a_request_that_may_have_run_is_never_retried():
    answer = retries.decide(0.0, retries.RetryBudget(), UNKNOWN, make_request())
    assert answer.reason is retries.GiveUpReason.MAY_HAVE_RUN


def test_idempotent_requests_are_retried_with_jitter():
    delays_ms = set()
    for number in range(20):
        request = make_request(is_idempotent=True, number=number)
        answer = retries.decide(0.0, retries.RetryBudget(), UNKNOWN, request)
        delays_ms.add(answer.after_ms)
    assert len(delays_ms) == 20
    assert min(delays_ms) > 0.0


def test_no_retry_starts_that_would_miss_the_deadline():
    request = make_request(attempts=2, is_idempotent=True, deadline_ms=5.0)
    answer = retries.decide(0.0, retries.RetryBudget(), UNKNOWN, request)
    assert answer.reason is retries.GiveUpReason.DEADLINE


def test_attempts_are_bounded():
    request = make_request(attempts=retries.MAX_ATTEMPTS)
    answer = retries.decide(0.0, retries.RetryBudget(), NOT_RUN, request)
    assert answer.reason is retries.GiveUpReason.ATTEMPTS


def test_old_successes_allow_few_retries():
    budget = retries.RetryBudget()
    for number in range(1_000):
        retries.note_success(float(number), budget)
    assert retries.available_retries(2_000.0, budget) > 70
    assert retries.available_retries(60_000.0, budget) == retries.RESERVE_RETRIES


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3_000)), max_size=300))
def test_retries_never_exceed_a_tenth_of_successes_and_one(events):
    budget = retries.RetryBudget()
    now_ms, successes, retried = 0.0, 0, 0
    for is_success, elapsed_ms in events:
        now_ms += elapsed_ms
        if is_success:
            retries.note_success(now_ms, budget)
            successes += 1
        else:
            answer = retries.decide(now_ms, budget, NOT_RUN, make_request())
            retried += isinstance(answer, retries.Retry)
        assert retried <= 0.1 * successes + 1
