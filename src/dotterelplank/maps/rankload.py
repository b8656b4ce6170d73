"""The load that a rank reports, and the totals that its agent sends to the planner."""

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

    :param incarnation: incarnation of the rank.
    :param step: the last step that was started.
    :param map_version: version of the map in use, -1 if there is none.
    :param step_ms: time in milliseconds that the rank itself spent on its last step.
    :param tokens: number of tokens of each expert since the rank's start, by expert
        number.
    """

    incarnation: int
    step: int
    map_version: int
    step_ms: float
    tokens: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Meter:
    """The first and the last reading of one rank under one map.

    :param busy_ms: time in milliseconds that the rank spent on the steps between the
        two readings.
    """

    first: Reading
    last: Reading
    busy_ms: float


def read(client: EndpointClient) -> Reading:
    """Read the rank's report.

    :raises UpstreamError: if the rank can't be reached or its answer is invalid.
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
    """Return ``meter`` with one more reading.

    :return: a new meter if ``meter`` is ``None``, the rank has restarted or it uses
        another map.
    """
    if meter is None or not _continues(meter.last, reading):
        return Meter(reading, reading, 0.0)
    steps = reading.step - meter.last.step
    return Meter(meter.first, reading, meter.busy_ms + steps * reading.step_ms)


def _continues(previous: Reading, current: Reading) -> bool:
    return (
        previous.incarnation == current.incarnation
        and previous.map_version == current.map_version
        and previous.step <= current.step
        and len(previous.tokens) == len(current.tokens)
    )


def sample(meter: Meter) -> RankSample:
    """Return the totals since the meter's first reading.

    A sample contains totals rather than differences, so that a lost message loses no
    data. The totals start when the map came into use, so that only the experts that
    the rank holds under this map have any.
    """
    first, last = meter.first.tokens, meter.last.tokens
    loads = tuple(
        ExpertLoad(number, last_total - first_total)
        for number, (first_total, last_total) in enumerate(zip(first, last))
        if last_total > first_total
    )
    return RankSample(
        meter.last.map_version, meter.first.step, meter.last.step, meter.busy_ms, loads
    )
