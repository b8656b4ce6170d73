"""Choosing among a few endpoints by the load that their agents report on request.

An entry may query the agents of a shortlist before it sends a request. The answers are
about a millisecond old, so they include the requests that other entries sent since the
last load reports.
"""

import dataclasses
import typing as t

from .routes import Choice


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAnswer:
    """An agent's answer to a load query.

    :param held: requests that run or wait at the endpoint.
    :param pending_ms: time until the endpoint could start another request.
    :param cached_blocks: estimated number of blocks of the request's prefix that are
        cached; None if the query didn't include the prefix.
    """

    host: str
    held: int
    pending_ms: float
    cached_blocks: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadQueryPolicy:
    """Weights for the comparison of answers.

    :param block_ms: time that an engine needs to compute a block that isn't cached.
    :param held_ms: time added for each request at the endpoint, which keeps the
        endpoints balanced.
    """

    block_ms: float = 32.0
    held_ms: float = 1.0


def choose_by_answers(
    choices: t.Sequence[Choice],
    answers: t.Sequence[LoadAnswer],
    policy: LoadQueryPolicy,
) -> Choice:
    """Return the choice with the earliest expected first token.

    Endpoints without an answer are ignored if there is an answer for another one.
    Without any answer, the first choice is returned.
    """
    answered = {answer.host: answer for answer in answers}
    answered_choices = [choice for choice in choices if choice.host in answered]
    if not answered_choices:
        return choices[0]
    return min(
        answered_choices,
        key=lambda choice: _cost_ms(choice, answered[choice.host], policy),
    )


def _cost_ms(choice: Choice, answer: LoadAnswer, policy: LoadQueryPolicy) -> float:
    cached: float = choice.expected_cached_blocks
    if answer.cached_blocks is not None:
        cached = answer.cached_blocks
    saved_ms = cached * policy.block_ms
    return answer.pending_ms + answer.held * policy.held_ms - saved_ms
