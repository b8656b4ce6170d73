"""Settings of rank groups with planned maps, and validation of their first map.

The value of such a map has two members. ``experts_by_rank`` lists the experts of each
rank, in the order of the sorted hosts. The number of an expert is
``layer * experts + expert``. ``shares_by_rank`` has the same shape and gives the
fraction of the expert's tokens that each replica gets. Without it, the replicas of an
expert get equal fractions.
"""

import collections
import dataclasses
import typing as t

import pydantic

from .. import defaults
from ..errors import InputError

EXPERTS_KEY: t.Final = "experts_by_rank"
SHARES_KEY: t.Final = "shares_by_rank"
SHARE_TOLERANCE: t.Final = 1e-3

_Value = t.Mapping[str, t.Any]


class PlanningModel(pydantic.BaseModel):
    """The settings of a planned map as operators write them."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    experts: int = pydantic.Field(ge=1, le=4096)
    layers: int = pydantic.Field(1, ge=1, le=1024)
    slots_per_rank: int = pydantic.Field(ge=1, le=4096)
    expert_bytes: int = pydantic.Field(gt=0)
    store_bytes_per_s: float = pydantic.Field(gt=0)
    base_step_ms: float = pydantic.Field(0.0, ge=0)
    store_url: str = pydantic.Field("", pattern=r"^(https?://[^\s/]+/?)?$")
    window_ms: float = pydantic.Field(defaults.PLAN_WINDOW_MS, ge=500, le=3_600_000)


@dataclasses.dataclass(frozen=True)
class Planning:
    """The settings of a planned map.

    :param experts: number of experts in each layer.
    :param slots_per_rank: number of experts that a rank can hold in each layer.
    :param expert_bytes: size of one expert of one layer.
    :param store_bytes_per_s: rate at which the group may load from the weight store.
    :param base_step_ms: part of a rank's step time that doesn't depend on the number
        of tokens.
    :param store_url: URL of the weight store; empty if ranks load experts by
        themselves.
    :param window_ms: time over which the ranks are observed before each decision.
    """

    experts: int
    layers: int
    slots_per_rank: int
    expert_bytes: int
    store_bytes_per_s: float
    base_step_ms: float
    window_ms: float
    store_url: str = ""


def build(model: PlanningModel) -> Planning:
    """Return the settings in ``model``."""
    return Planning(**model.model_dump())


def value_faults(
    path: str, value: _Value, planning: PlanningModel | Planning, ranks: int
) -> t.Iterator[InputError]:
    """Yield an error for each reason why ``value`` is no valid first map.

    :param path: path of the value in the configuration, such as
        ``rank_groups[0].map``.
    :param ranks: number of ranks in the group.
    """
    where = f"{path}.{EXPERTS_KEY}"
    by_rank = value.get(EXPERTS_KEY)
    if not isinstance(by_rank, list) or len(by_rank) != ranks:
        yield InputError(
            where, _short_repr(by_rank), f"a list for each of {ranks} ranks"
        )
        return
    faults = [
        fault
        for rank, held in enumerate(by_rank)
        for fault in _rank_faults(f"{where}[{rank}]", held, planning)
    ]
    yield from faults
    if faults:
        return
    placed = {number for held in by_rank for number in held}
    missing = set(range(planning.layers * planning.experts)) - placed
    if missing:
        yield InputError(
            where, f"no rank for expert {min(missing)}", "each expert on a rank"
        )
    if SHARES_KEY in value:
        yield from _share_faults(f"{path}.{SHARES_KEY}", value)


def _rank_faults(
    where: str, held: t.Any, planning: PlanningModel | Planning
) -> t.Iterator[InputError]:
    total = planning.layers * planning.experts
    if not isinstance(held, list):
        yield InputError(where, _short_repr(held), "a list of expert numbers")
        return
    for position, number in enumerate(held):
        if type(number) is not int or not 0 <= number < total:
            expected = f"an expert number from 0 to {total - 1}"
            yield InputError(f"{where}[{position}]", _short_repr(number), expected)
            return
    if len(set(held)) != len(held):
        yield InputError(where, "an expert twice", "one replica of an expert on a rank")
    per_layer = collections.Counter(number // planning.experts for number in held)
    max_experts = max(per_layer.values(), default=0)
    if max_experts > planning.slots_per_rank:
        bound = f"at most {planning.slots_per_rank}, the slots of a rank"
        yield InputError(where, f"{max_experts} experts of a layer", bound)


def _share_faults(where: str, value: _Value) -> t.Iterator[InputError]:
    by_rank, shares = value[EXPERTS_KEY], value[SHARES_KEY]
    sizes = [len(held) for held in by_rank]
    is_list = isinstance(shares, list) and all(isinstance(row, list) for row in shares)
    if not is_list or [len(row) for row in shares] != sizes:
        yield InputError(where, _short_repr(shares), f"the shape of {EXPERTS_KEY}")
        return
    sums: collections.Counter[int] = collections.Counter()
    for rank, row in enumerate(shares):
        for position, share in enumerate(row):
            if type(share) not in (int, float) or not 0 <= share <= 1:
                path = f"{where}[{rank}][{position}]"
                yield InputError(path, _short_repr(share), "a share from 0 to 1")
                return
            sums[by_rank[rank][position]] += share
    for number, total in sorted(sums.items()):
        if abs(total - 1) > SHARE_TOLERANCE:
            actual = f"{total:.4f} for expert {number}"
            yield InputError(where, actual, "shares that sum to 1 for each expert")
            return


def _short_repr(value: t.Any) -> str:
    return f"{value!r:.60}"
