"""Limits retries to a ratio of the calls sent, so that outages don't multiply the load.

When many endpoints fail at once, every entry would retry its calls. Each entry limits
its retries to a ratio of its own first sends, so the sum over all entries stays within
the same ratio of all calls, without communication between them.

Each entry uses at most one send of the common burst, as it knows neither how many
entries there are nor what the process before it has used.
"""

import collections
import dataclasses
import typing as t

RATIO_SAFETY_FACTOR: t.Final = 0.9
"""The part of the permitted ratio that an entry uses."""
LOCAL_BURST_SENDS: t.Final = 1.0
"""Retries beyond the ratio that one entry may send per window."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The limit on retries, for all entries together.

    :param ratio: retries per first send.
    :param window_ms: length of the window in which sends are counted.
    :param burst: retries beyond the ratio.
    """

    ratio: float
    window_ms: float
    burst: float


@dataclasses.dataclass
class RetryBudget:
    """The sends to one service in the current window.

    :param first_sends: times in milliseconds of the first sends of calls.
    :param retries: times in milliseconds of retries.
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
    """Return whether a call may be sent once more, and count the retry if it may."""
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
