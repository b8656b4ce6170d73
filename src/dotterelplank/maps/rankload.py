"""What a rank reports of its load, and the totals that its agent passes on."""

import dataclasses

import pydantic

from .. import defaults
from ..errors import UpstreamError
from ..links.endpoint_calls import Call, EndpointClient
from ..links.messages import ExpertLoad, RankSample


class _RankModel(pydantic.BaseModel):
    step: int
    map_version: int | None
    step_ms: float
    tokens_by_expert: list[int]
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Reading:
    """One report of a rank.

    :param step: the last step that was begun.
    :param map_version: version of the map in use, -1 without one.
    :param step_ms: the rank's own time for its last step.
    :param tokens: tokens of each expert since the rank's start, by expert number.
    """

    incarnation: int
    step: int
    map_version: int
    step_ms: float
    tokens: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Meter:
    """The readings of one rank under one map.

    :param busy_ms: time that the rank spent on the steps between the two readings.
    """

    first: Reading
    last: Reading
    busy_ms: float


def read(client: EndpointClient) -> Reading:
    """Return what the rank reports.

    :raises UpstreamError: if it can't be read.
    """
    call = Call("GET", "/v1/rank", (), b"", defaults.MAP_CALL_TIMEOUT_MS, True)
    with client.open_response(call) as response:
        data = response.read()
        if response.status != 200:
            raise UpstreamError(f"the rank answered {response.status}", sent=True)
    try:
        model = _RankModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise UpstreamError(str(error), sent=True) from error
    version = -1 if model.map_version is None else model.map_version
    tokens = tuple(model.tokens_by_expert)
    return Reading(model.incarnation, model.step, version, model.step_ms, tokens)


def advance(meter: Meter | None, reading: Reading) -> Meter:
    """Return ``meter`` with one more reading, or a new one under another map."""
    if meter is None or not _continues(meter.last, reading):
        return Meter(reading, reading, 0.0)
    steps = reading.step - meter.last.step
    return Meter(meter.first, reading, meter.busy_ms + steps * reading.step_ms)


def _continues(before: Reading, after: Reading) -> bool:
    return (
        before.incarnation == after.incarnation
        and before.map_version == after.map_version
        and before.step <= after.step
        and len(before.tokens) == len(after.tokens)
    )


def sample(meter: Meter) -> RankSample:
    """Return the totals since the meter's first reading.

    Totals rather than differences, so that a lost message loses nothing; and since
    the map came into use, so that few experts have any.
    """
    before, after = meter.first.tokens, meter.last.tokens
    loads = tuple(
        ExpertLoad(number, now - then)
        for number, (then, now) in enumerate(zip(before, after))
        if now > then
    )
    return RankSample(
        meter.last.map_version, meter.first.step, meter.last.step, meter.busy_ms, loads
    )
