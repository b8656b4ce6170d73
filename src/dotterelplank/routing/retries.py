"""Retry decisions for failed requests, limited by a retry budget.

Only the entry retries. Each successful request adds :data:`RETRIES_PER_SUCCESS` to the
budget. The budget is limited to what the successes in the last :data:`WINDOW_MS` added,
or to :data:`RESERVE_RETRIES` if that is more. The reserve allows retries at an entry
with few requests, and the limit prevents a fault from using up retries that were earned
long ago.
"""

import collections
import dataclasses
import enum
import random
import typing as t

RETRIES_PER_SUCCESS = 0.08
RESERVE_RETRIES = 2.0
WINDOW_MS = 10_000.0
BUCKET_MS = 500.0
BASE_DELAY_MS = 20.0
MAX_DELAY_MS = 1_000.0
MAX_ATTEMPTS = 3
MIN_RETRY_AFTER_MS = 500.0
MAX_RETRY_AFTER_MS = 5_000.0


class Proof(enum.Enum):
    """What a failure proves about the attempt."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RUN = "run"


class GiveUpReason(enum.Enum):
    """Why a request is not retried."""

    MAY_HAVE_RUN = "may-have-run"
    DEADLINE = "deadline"
    BUDGET = "budget"
    ATTEMPTS = "attempts"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed attempt.

    :param proof: whether the failure proves that the endpoint ran the request or not.
    :param is_refusal: whether the endpoint refused the request at once, as a leaving
        endpoint does. The first retry then needs no delay.
    :param retry_after_ms: delay that the endpoint asked for; None if it gave none.
    """

    proof: Proof
    is_refusal: bool = False
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRequest:
    """The properties of a request that the retry decision uses.

    :param attempts: number of attempts made so far, including the failed one.
    :param deadline_ms: time at which the caller stops waiting, on the clock of
        ``now_ms``.
    :param expected_ms: time that another attempt is expected to take.
    """

    request_id: str
    is_idempotent: bool
    attempts: int
    deadline_ms: float
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The decision to retry after ``after_ms``, on another endpoint if there is one."""

    after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The decision not to retry and to answer the caller now.

    :param retry_after_ms: time after which the caller may try again. It has a random
        part, so that callers don't all return at once.
    """

    reason: GiveUpReason
    retry_after_ms: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    started_ms: float
    successes: int = 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """The retry budget of one entry and its successes in the last :data:`WINDOW_MS`."""

    balance: float = 1.0
    successes: int = 0
    buckets: "collections.deque[_Bucket]" = dataclasses.field(
        default_factory=collections.deque
    )


def note_success(now_ms: float, budget: RetryBudget) -> None:
    """Record a successful request, which adds a fraction of a retry to the budget."""
    _expire(now_ms, budget)
    if not budget.buckets or now_ms - budget.buckets[-1].started_ms >= BUCKET_MS:
        budget.buckets.append(_Bucket(now_ms))
    budget.buckets[-1].successes += 1
    budget.successes += 1
    budget.balance += RETRIES_PER_SUCCESS
    budget.balance = available_retries(now_ms, budget)


def available_retries(now_ms: float, budget: RetryBudget) -> float:
    """Return the number of retries that the budget still allows."""
    _expire(now_ms, budget)
    return min(budget.balance, _max_balance(budget))


def decide(
    now_ms: float, budget: RetryBudget, failure: Failure, request: RetryRequest
) -> Retry | GiveUp:
    """Decide whether to retry after a failed attempt, and charge ``budget`` if so.

    The jitter depends only on the request's id and the number of attempts, so the
    same arguments give the same decision.
    """
    rng = random.Random(f"{request.request_id}/{request.attempts}")
    reason = _give_up_reason(now_ms, failure, request)
    delay_ms = _delay_ms(failure, request, rng)
    if reason is None and now_ms + delay_ms + request.expected_ms > (
        request.deadline_ms
    ):
        reason = GiveUpReason.DEADLINE
    if reason is None and available_retries(now_ms, budget) < 1.0:
        reason = GiveUpReason.BUDGET
    if reason is not None:
        return GiveUp(reason, _retry_after_ms(failure, rng))
    budget.balance = available_retries(now_ms, budget) - 1.0
    return Retry(delay_ms)


def _give_up_reason(
    now_ms: float, failure: Failure, request: RetryRequest
) -> t.Optional[GiveUpReason]:
    if failure.proof is not Proof.NOT_RUN and not request.is_idempotent:
        return GiveUpReason.MAY_HAVE_RUN
    if request.attempts >= MAX_ATTEMPTS:
        return GiveUpReason.ATTEMPTS
    if now_ms >= request.deadline_ms:
        return GiveUpReason.DEADLINE
    return None


def _delay_ms(failure: Failure, request: RetryRequest, rng: random.Random) -> float:
    if failure.is_refusal and request.attempts == 1:
        return 0.0
    limit_ms = min(MAX_DELAY_MS, BASE_DELAY_MS * 2.0**request.attempts)
    return rng.uniform(BASE_DELAY_MS / 2.0, limit_ms)


def _retry_after_ms(failure: Failure, rng: random.Random) -> float:
    spread_ms = rng.uniform(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    return spread_ms + (failure.retry_after_ms or 0.0)


def _max_balance(budget: RetryBudget) -> float:
    return max(RESERVE_RETRIES, RETRIES_PER_SUCCESS * budget.successes)


def _expire(now_ms: float, budget: RetryBudget) -> None:
    while budget.buckets and now_ms - budget.buckets[0].started_ms >= WINDOW_MS:
        budget.successes -= budget.buckets.popleft().successes
