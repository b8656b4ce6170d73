"""Deciding whether a failed request is tried again, within a budget.

Only the entry retries. Retries are paid for by successes: each earns
:data:`RETRIES_PER_SUCCESS` of a retry. Of what was earned longer than
:data:`WINDOW_MS` ago at most :data:`RESERVE_RETRIES` are kept, which lets an entry
with few requests retry too, and keeps a fault from spending an old fortune.
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
    """Why a request isn't tried again."""

    MAY_HAVE_RUN = "may-have-run"
    DEADLINE = "deadline"
    BUDGET = "budget"
    ATTEMPTS = "attempts"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed attempt.

    :param proof: whether it is proved that the endpoint did not run it.
    :param is_refusal: the endpoint refused it at once, as one that is leaving
        does; the first other try then needs no delay.
    :param retry_after_ms: when the endpoint wants to be asked again, if it said.
    """

    proof: Proof
    is_refusal: bool = False
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRequest:
    """What the decision needs to know of a request.

    :param attempts: attempts made so far, the failed one too.
    :param deadline_ms: when the caller gives up, on the clock of ``now_ms``.
    :param expected_ms: time that another attempt needs to be of use.
    """

    request_id: str
    is_idempotent: bool
    attempts: int
    deadline_ms: float
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again, on another endpoint where there is one, after ``after_ms``."""

    after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now.

    :param retry_after_ms: when the caller may come back; spread over callers.
    """

    reason: GiveUpReason
    retry_after_ms: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    started_ms: float
    successes: int = 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """What one entry has earned, and its successes in the last :data:`WINDOW_MS`."""

    balance: float = 1.0
    successes: int = 0
    buckets: "collections.deque[_Bucket]" = dataclasses.field(
        default_factory=collections.deque
    )


def note_success(now_ms: float, budget: RetryBudget) -> None:
    """Record that a request was answered, which earns a part of a retry."""
    _expire(now_ms, budget)
    if not budget.buckets or now_ms - budget.buckets[-1].started_ms >= BUCKET_MS:
        budget.buckets.append(_Bucket(now_ms))
    budget.buckets[-1].successes += 1
    budget.successes += 1
    budget.balance += RETRIES_PER_SUCCESS
    budget.balance = available_retries(now_ms, budget)


def available_retries(now_ms: float, budget: RetryBudget) -> float:
    """Return how many retries the budget still pays for."""
    _expire(now_ms, budget)
    return min(budget.balance, _max_balance(budget))


def decide(
    now_ms: float, budget: RetryBudget, failure: Failure, request: RetryRequest
) -> Retry | GiveUp:
    """Decide on a failed attempt, and spend from ``budget`` if it is retried.

    The jitter comes from the request's id, so the same call gives the same answer.
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
