"""How often a call may be sent to a second endpoint.

The load that this answers: many endpoints fail at once, and every entry would repeat
its calls. An entry repeats a part of the calls that it sent itself, so the sum over all
entries stays within the same part of all calls, without a word between them. Of the
burst it takes next to nothing: it can't know how many entries there are, nor what the
process before it has used.
"""

import collections
import dataclasses
import typing as t

RATIO_SAFETY_FACTOR: t.Final = 0.9
LOCAL_BURST_SENDS: t.Final = 1.0
"""Repeated sends beyond the ratio that one entry allows itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The bound on repeated sends, for all entries together.

    :param burst: repeated sends beyond the ratio.
    """

    ratio: float
    window_ms: float
    burst: float


@dataclasses.dataclass
class RetryBudget:
    """The sends to one service in the present window.

    :param first_sends: times of the first sends.
    :param retries: times of the repeated ones.
    """

    first_sends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    retries: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


def count_first_send(
    now_ms: float, retry_budget: RetryBudget, policy: RetryPolicy
) -> None:
    """Count the first send of a call."""
    _expire(now_ms, retry_budget, policy)
    retry_budget.first_sends.append(now_ms)


def take_retry(now_ms: float, retry_budget: RetryBudget, policy: RetryPolicy) -> bool:
    """Return whether a call may be sent once more, and count it if so."""
    _expire(now_ms, retry_budget, policy)
    local_burst = min(LOCAL_BURST_SENDS, policy.burst)
    allowed = (
        policy.ratio * RATIO_SAFETY_FACTOR * len(retry_budget.first_sends) + local_burst
    )
    if len(retry_budget.retries) + 1 > allowed:
        return False
    retry_budget.retries.append(now_ms)
    return True


def _expire(now_ms: float, retry_budget: RetryBudget, policy: RetryPolicy) -> None:
    for times in (retry_budget.first_sends, retry_budget.retries):
        while times and now_ms - times[0] >= policy.window_ms:
            times.popleft()
