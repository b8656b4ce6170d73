"""The figures that the benchmark of admission and retries takes from a run."""

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
NORMAL_RATIO = 0.75
FIRST_CALL_RATIO = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsFigures:
    """The figures of one run after its warm-up.

    :param goodput: tokens of the requests whose first token came within the deadline,
        as a fraction of the capacity.
    :param goodput_share: the same as a fraction of the lesser of demand and capacity.
    :param small_ratio: first token p95 of the small teams, divided by that of a run
        without the other teams.
    :param small_answer_ratio: the same for the time to the whole answer.
    :param small_shed: fraction of the small teams' requests with more than one call.
    :param share_error: greatest relative error of the admitted cost of an overloading
        team against its fair share of the capacity, from 5 s after the warm-up.
    :param shed_wait_ms: longest time that a shed request waited for its answer.
    :param spread: difference of the 90th and the 10th percentile of the retry-after
        times, divided by their median.
    :param retry_share: retries divided by admitted requests, during the fault if any.
    :param recovery_s: time after the fault until as many first tokens came as usual.
    :param first_call_recovery_s: the same until as many first calls as usual got their
        first token in time. Callers that were shed during the fault call again until
        then.
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
    """Run the world of ``options`` with ``seed`` and return the figures.

    The small teams are also run alone, as the baseline of their delays.
    """
    tally = LimitsWorld(options, seed).run()
    small = team_numbers(options, lambda team: team.name.startswith("small"))
    alone_options = dataclasses.replace(
        options,
        teams=tuple(options.teams[number] for number in sorted(small)),
        changes=(),
    )
    alone = LimitsWorld(alone_options, seed).run()
    small_calls = [call for call in tally.calls if call.team in small]
    answered = [
        answer for answer in tally.answered if answer.at_ms >= options.warm_up_ms
    ]
    shed_ms = sorted(
        answer.retry_after_ms for answer in answered if answer.retry_after_ms >= 0.0
    )
    median_ms = percentile(shed_ms, 0.5)
    spread_ms = percentile(shed_ms, 0.9) - percentile(shed_ms, 0.1)
    return LimitsFigures(
        goodput=_goodput(options, tally),
        goodput_share=_goodput(options, tally) / _attainable_load(options),
        small_ratio=_p95(options, small_calls, _first_token_delay_ms)
        / max(1.0, _p95(options, alone.calls, _first_token_delay_ms)),
        small_answer_ratio=_p95(options, small_calls, _answer_delay_ms)
        / max(1.0, _p95(options, alone.calls, _answer_delay_ms)),
        small_shed=_repeated_call_ratio(options, small_calls),
        share_error=_share_error(options, tally),
        shed_wait_ms=max((answer.waited_ms for answer in answered), default=0.0),
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


def _attainable_load(options: LimitsWorldOptions) -> float:
    """Return the mean over time of the lesser of demand and capacity."""
    demand = sum(team.demand for team in options.teams)
    changes = [change for change in options.changes if change.load is not None]
    times_ms = [options.warm_up_ms] + [change.at_ms for change in changes]
    loads = [1.0] + [change.load or 1.0 for change in changes]
    ends_ms = [*times_ms[1:], options.duration_ms]
    total = sum(
        min(1.0, demand * load) * (end_ms - from_ms)
        for load, from_ms, end_ms in zip(loads, times_ms, ends_ms)
    )
    return total / (options.duration_ms - options.warm_up_ms)


def _measured(options: LimitsWorldOptions, calls: t.Iterable[Call]) -> t.Iterator[Call]:
    """Yield the calls after the warm-up that arrived early enough to be answered."""
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
    considered = (
        call
        for call in _measured(options, calls)
        if delay_ms is _first_token_delay_ms or call.end_ms < options.duration_ms
    )
    return percentile(sorted(delay_ms(call) for call in considered), 0.95)


def _repeated_call_ratio(options: LimitsWorldOptions, calls: t.Sequence[Call]) -> float:
    measured = list(_measured(options, calls))
    repeated = sum(call.calls > 1 for call in measured)
    return repeated / max(1, len(measured))


def _share_error(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return the greatest relative error of a team that demands more than its share."""
    capacity = options.capacity_per_s()
    claims = [
        demands.Claim(team.demand, team.share or options.default_share)
        for team in options.teams
    ]
    level = demands.fair_level(claims, 1.0)
    overloading = {
        number
        for number, claim in enumerate(claims)
        if claim.demand_per_s > claim.share * level and claim.share > 0.02
    }
    from_ms = options.warm_up_ms + SETTLING_MS
    admitted = dict.fromkeys(overloading, 0.0)
    for answer in tally.answered:
        if (
            answer.team in overloading
            and answer.retry_after_ms < 0.0
            and answer.at_ms >= from_ms
        ):
            admitted[answer.team] += answer.cost
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
        options.warm_up_ms <= answer.at_ms < end_ms and answer.retry_after_ms < 0.0
        for answer in tally.answered
    )
    return retried / max(1, requests)


def _recovery_s(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return the seconds from the fault's end to the last bin with few first tokens.

    A bin has few if it has less than :data:`NORMAL_RATIO` of the usual number. The end
    of the bin counts; the result is 0 without such a bin or without a fault.
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
    bad = [number for number, count in enumerate(good) if count < NORMAL_RATIO * usual]
    return (max(bad) + 1) * BIN_MS / 1_000.0 if bad else 0.0


def _first_call_recovery_s(options: LimitsWorldOptions, tally: LimitsTally) -> float:
    """Return the seconds from the fault's end to the last bin with failed first calls.

    In such a bin, less than :data:`FIRST_CALL_RATIO` of the requests got their first
    token in time at the first call. The end of the bin counts; the result is 0 without
    such a bin or without a fault.
    """
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
    bad = [number for number in made if good[number] < FIRST_CALL_RATIO * made[number]]
    return (max(bad) + 1) * BIN_MS / 1_000.0 if bad else 0.0
