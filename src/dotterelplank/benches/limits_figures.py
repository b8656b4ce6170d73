"""What the bench of limits measures in a run."""

import dataclasses
import typing as t

from ..routing import demands
from .limits_world import (
    OUTPUT_TOKENS,
    Call,
    LimitsTally,
    LimitsWorld,
    LimitsWorldOptions,
    team_numbers,
)
from .routing import percentile

SETTLING_MS = 5_000.0
BIN_MS = 2_000.0
NORMAL_SHARE = 0.75
FIRST_CALL_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsFigures:
    """What one run measured after its warm-up.

    :param goodput: tokens of requests answered within the deadline, as a part of
        the capacity.
    :param goodput_share: the same as a part of the lesser of demand and capacity.
    :param small_ratio: first token p95 of the small teams against their time alone.
    :param small_answer_ratio: the same of the whole answer.
    :param small_shed: part of the small teams' first calls that were shed.
    :param share_error: greatest error of what a large team was let in, against
        its fair part of the capacity, from 5 s after a change on.
    :param shed_wait_ms: longest time that a shed request waited for its answer.
    :param spread: 90th less 10th percentile of the times to come back, divided by
        their median.
    :param retry_share: retries divided by admitted requests, in the fault.
    :param recovery_s: time after the fault until as many first tokens came in time
        as usual.
    :param first_call_recovery_s: the same until first calls were let in as usual;
        callers that were shed in the fault come back until then.
    """

    goodput: float
    goodput_share: float
    small_ratio: float
    small_answer_ratio: float
    small_shed: float
    share_error: float
    shed_wait_ms: float
    spread: float
    retry_share: float
    recovery_s: float
    first_call_recovery_s: float


def measure(options: LimitsWorldOptions, seed: int) -> LimitsFigures:
    """Run the world of ``options``, and its small teams alone, with ``seed``."""
    tally = LimitsWorld(options, seed).run()
    small = team_numbers(options, lambda team: team.name.startswith("small"))
    alone_options = dataclasses.replace(
        options,
        teams=tuple(options.teams[number] for number in sorted(small)),
        changes=(),
    )
    alone = LimitsWorld(alone_options, seed).run()
    of_small = [call for call in tally.calls if call.team in small]
    answered = [one for one in tally.answered if one.at_ms >= options.warm_up_ms]
    shed_ms = sorted(
        one.retry_after_ms for one in answered if one.retry_after_ms >= 0.0
    )
    median_ms = percentile(shed_ms, 0.5)
    spread_ms = percentile(shed_ms, 0.9) - percentile(shed_ms, 0.1)
    return LimitsFigures(
        goodput=_goodput(options, tally),
        goodput_share=_goodput(options, tally) / _wanted(options),
        small_ratio=_p95(options, of_small, _first_token_delay_ms)
        / max(1.0, _p95(options, alone.calls, _first_token_delay_ms)),
        small_answer_ratio=_p95(options, of_small, _answer_delay_ms)
        / max(1.0, _p95(options, alone.calls, _answer_delay_ms)),
        small_shed=_called_twice(options, of_small),
        share_error=_share_error(options, tally),
        shed_wait_ms=max((one.waited_ms for one in answered), default=0.0),
        spread=spread_ms / median_ms if median_ms else 0.0,
        retry_share=_retry_share(options, tally),
        recovery_s=_recovery_s(options, tally),
        first_call_recovery_s=_first_call_recovery_s(options, tally),
    )


def _goodput(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    done = sum(
        _tokens_within(options, call)
        for call in tally.calls
        if call.asked_ms + options.deadline_ms >= call.first_token_ms
    )
    measured_s = (options.duration_ms - options.warm_up_ms) / 1_000.0
    return done / measured_s / options.capacity_per_s()


def _tokens_within(options: LimitsWorldOptions, call: Call) -> float:
    """Return the tokens of ``call`` that were generated after the warm-up."""
    planned_ms = call.first_token_ms + call.output_tokens * options.engine.step_ms
    end_ms = call.end_ms if call.end_ms < options.duration_ms else planned_ms
    from_ms = max(call.first_token_ms, options.warm_up_ms)
    within_ms = min(end_ms, options.duration_ms) - from_ms
    total_ms = max(1.0, end_ms - call.first_token_ms)
    return call.output_tokens * max(0.0, within_ms) / total_ms


def _wanted(options: LimitsWorldOptions) -> float:
    """Return the mean over time of the lesser of demand and capacity."""
    demand = sum(team.demand for team in options.teams)
    changes = [one for one in options.changes if one.load is not None]
    times_ms = [options.warm_up_ms] + [one.at_ms for one in changes]
    loads = [1.0] + [one.load or 1.0 for one in changes]
    ends_ms = [*times_ms[1:], options.duration_ms]
    total = sum(
        min(1.0, demand * load) * (end_ms - from_ms)
        for load, from_ms, end_ms in zip(loads, times_ms, ends_ms)
    )
    return total / (options.duration_ms - options.warm_up_ms)


def _measured(options: LimitsWorldOptions, calls: t.Iterable[Call]) -> t.Iterator[Call]:
    """Yield the calls that came after the warm-up and had time to be answered."""
    until_ms = options.duration_ms - 2.0 * options.deadline_ms
    for call in calls:
        if options.warm_up_ms <= call.at_ms < until_ms:
            yield call


def _first_token_delay_ms(call: Call) -> float:
    return call.first_token_ms - call.at_ms


def _answer_delay_ms(call: Call) -> float:
    return call.end_ms - call.at_ms


def _p95(
    options: LimitsWorldOptions,
    calls: t.Iterable[Call],
    delay_ms: t.Callable[[Call], float],
) -> float:
    finite = (
        call
        for call in _measured(options, calls)
        if delay_ms is _first_token_delay_ms or call.end_ms < options.duration_ms
    )
    return percentile(sorted(delay_ms(call) for call in finite), 0.95)


def _called_twice(options: LimitsWorldOptions, calls: t.Sequence[Call]) -> float:
    measured = list(_measured(options, calls))
    again = sum(call.calls > 1 for call in measured)
    return again / max(1, len(measured))


def _share_error(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return the greatest error of a team that asks for more than it may have."""
    capacity = options.capacity_per_s()
    claims = [
        demands.Claim(team.demand, team.share or options.default_share)
        for team in options.teams
    ]
    level = demands.fair_level(claims, 1.0)
    over = {
        number
        for number, claim in enumerate(claims)
        if claim.demand_per_s > claim.share * level and claim.share > 0.02
    }
    from_ms = options.warm_up_ms + SETTLING_MS
    admitted = dict.fromkeys(over, 0.0)
    for one in tally.answered:
        if one.team in over and one.retry_after_ms < 0.0 and one.at_ms >= from_ms:
            admitted[one.team] += one.cost
    seconds = (options.duration_ms - from_ms) / 1_000.0
    errors = (
        abs(cost / seconds / (claims[number].share * level * capacity) - 1.0)
        for number, cost in admitted.items()
    )
    return max(errors, default=0.0)


def _fault_end_ms(options: LimitsWorldOptions) -> float:
    return options.changes[-1].at_ms if len(options.changes) == 2 else 0.0


def _retry_share(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    end_ms = _fault_end_ms(options) or options.duration_ms
    retried = sum(options.warm_up_ms <= at_ms < end_ms for at_ms in tally.retries_ms)
    requests = sum(
        options.warm_up_ms <= one.at_ms < end_ms and one.retry_after_ms < 0.0
        for one in tally.answered
    )
    return retried / max(1, requests)


def _recovery_s(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return when fewer first tokens came in time for the last time.

    Fewer is less than :data:`NORMAL_SHARE` of the usual number in a bin.
    """
    end_ms = _fault_end_ms(options)
    if not end_ms or options.changes[-1].entries is not None:
        return 0.0
    demand = sum(team.demand for team in options.teams)
    usual = demand * options.capacity_per_s() / OUTPUT_TOKENS * BIN_MS / 1_000.0
    bins = int((options.duration_ms - options.deadline_ms - end_ms) // BIN_MS)
    good = [0] * bins
    for call in tally.calls:
        number = (
            int((call.first_token_ms - end_ms) // BIN_MS)
            if (end_ms <= call.first_token_ms < end_ms + bins * BIN_MS)
            else -1
        )
        if number >= 0:
            good[number] += 1
    bad = [number for number, count in enumerate(good) if count < NORMAL_SHARE * usual]
    return (max(bad) + 1) * BIN_MS / 1_000.0 if bad else 0.0


def _first_call_recovery_s(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return when first calls did worse than usual for the last time."""
    end_ms = _fault_end_ms(options)
    if not end_ms or options.changes[-1].entries is not None:
        return 0.0
    made: dict[int, int] = {}
    good: dict[int, int] = {}
    for call in _measured(options, tally.calls):
        if call.at_ms >= end_ms:
            number = int((call.at_ms - end_ms) // BIN_MS)
            is_good = call.calls == 1 and _first_token_delay_ms(call) < (
                options.deadline_ms
            )
            made[number] = made.get(number, 0) + 1
            good[number] = good.get(number, 0) + is_good
    bad = [one for one in made if good[one] < FIRST_CALL_SHARE * made[one]]
    return (max(bad) + 1) * BIN_MS / 1_000.0 if bad else 0.0
