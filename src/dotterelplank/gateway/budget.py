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

RATIO_MARGIN: t.Final = 0.9
OWN_BURST: t.Final = 1.0
"""Repeated sends beyond the ratio that one entry allows itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The bound on repeated sends, for all entries together.

    :param burst: repeated sends beyond the ratio.
    """

    ratio: float
    window_ms: float
    burst: float


@dataclasses.dataclass
class Budget:
    """The sends to one service in the present window.

    :param firsts: times of the first sends.
    :param repeats: times of the repeated ones.
    """

    firsts: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    repeats: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


def count_first(now_ms: float, budget: Budget, policy: Policy) -> None:
    """Count the first send of a call."""
    _expire(now_ms, budget, policy)
    budget.firsts.append(now_ms)


def take_repeat(now_ms: float, budget: Budget, policy: Policy) -> bool:
    """Return whether a call may be sent once more, and count it if so."""
    _expire(now_ms, budget, policy)
    own_burst = min(OWN_BURST, policy.burst)
    allowed = policy.ratio * RATIO_MARGIN * len(budget.firsts) + own_burst
    if len(budget.repeats) + 1 > allowed:
        return False
    budget.repeats.append(now_ms)
    return True


def _expire(now_ms: float, budget: Budget, policy: Policy) -> None:
    for times in (budget.firsts, budget.repeats):
        while times and now_ms - times[0] >= policy.window_ms:
            times.popleft()
