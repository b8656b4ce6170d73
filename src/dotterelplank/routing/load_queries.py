"""Settling on one of a few endpoints by the load that they say they have now.

An entry may ask the agents of a shortlist before it sends a request. The answers
are about a millisecond old, so that they show what the other entries sent since
the last load reports.
"""

import dataclasses
import typing as t

from .routes import Choice


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAnswer:
    """What an agent says of its endpoint when asked.

    :param held: requests that the endpoint runs or has waiting.
    :param pending_ms: time until it could begin with one more request.
    :param cached_blocks: blocks of the request's prefix that the agent believes
        cached, if the entry told it the prefix.
    """

    host: str
    held: int
    pending_ms: float
    cached_blocks: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadQueryPolicy:
    """How answers are weighed.

    :param block_ms: time that an engine needs for a block that isn't cached.
    :param held_ms: what a held request counts as; it keeps endpoints balanced.
    """

    block_ms: float = 32.0
    held_ms: float = 1.0


def choose_by_answers(
    choices: t.Sequence[Choice],
    answers: t.Sequence[LoadAnswer],
    policy: LoadQueryPolicy,
) -> Choice:
    """Return the choice with the earliest expected first token.

    Who did not answer in time is passed over if another did. Without any answer
    it is the first choice.
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
