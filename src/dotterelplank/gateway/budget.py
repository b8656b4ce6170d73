"""How often a call may be sent to a second endpoint.

The load that this answers: many endpoints fail at once, and every entry would repeat
its calls. An entry repeats a part of the calls that it sent itself, so the sum over all
entries stays within the same part of all calls, without a word between them.
"""

import collections
import dataclasses
import typing as t

RATIO_MARGIN: t.Final = 0.8
BURST_MARGIN: t.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The bound on repeated sends, for all entries together."""

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


def take_repeat(now_ms: float, budget: Budget, policy: Policy, entries: int) -> bool:
    """Return whether a call may be sent once more, and count it if so.

    :param entries: entries that share the burst, this one included.
    """
    _expire(now_ms, budget, policy)
    share = policy.burst * BURST_MARGIN / max(1, entries)
    allowed = policy.ratio * RATIO_MARGIN * len(budget.firsts) + share
    if len(budget.repeats) + 1 > allowed:
        return False
    budget.repeats.append(now_ms)
    return True


def _expire(now_ms: float, budget: Budget, policy: Policy) -> None:
    for times in (budget.firsts, budget.repeats):
        while times and now_ms - times[0] >= policy.window_ms:
            times.popleft()
