"""How the tokens of a step are split among experts, and those among ranks."""

import collections
import dataclasses
import typing as t

import pydantic

from . import standin_http as shell
from .standin_rank import ExpertMap, VersionedMap

PLACEMENT_MEMBER = "experts_by_rank"

ExpertsOf = t.Callable[[ExpertMap, int], t.Sequence[int]]


class Popularity(shell.StrictModel):
    """The share of the tokens that each expert gets, in any unit."""

    weights: list[t.Annotated[float, pydantic.Field(ge=0)]]


@dataclasses.dataclass(frozen=True)
class _Placement:
    of: VersionedMap
    experts_by_rank: t.Sequence[t.Sequence[int]]
    replicas: t.Mapping[int, int]


class Workload:
    """Splits the tokens of each step.

    An expert's tokens are shared evenly by the ranks on which the map places it. One
    that the map places nowhere falls to the rank of its number modulo the ranks.
    """

    def __init__(
        self, ranks: int, experts: int, tokens_per_step: float, experts_of: ExpertsOf
    ) -> None:
        self._ranks = ranks
        self._experts = experts
        self._tokens_per_step = tokens_per_step
        self._experts_of = experts_of
        self._weights: t.Sequence[float] = [1.0] * experts
        self._placement: _Placement | None = None

    def set_popularity(self, popularity: Popularity) -> None:
        """Set the share of each expert; the weights need not add up to 1."""
        if len(popularity.weights) != self._experts:
            raise shell.malformed(f"weights: expected {self._experts} numbers")
        if not 0 < sum(popularity.weights) < float("inf"):
            raise shell.malformed("weights: expected a finite sum above 0")
        self._weights = popularity.weights

    def tokens(self, versioned: VersionedMap, rank: int) -> t.Mapping[int, float]:
        """Return the tokens that ``rank`` handles in a step, by expert."""
        placement = self._placed(versioned)
        unit = self._tokens_per_step / sum(self._weights)
        return {
            expert: unit * self._weights[expert] / placement.replicas[expert]
            for expert in placement.experts_by_rank[rank]
        }

    def _placed(self, versioned: VersionedMap) -> _Placement:
        if self._placement is None or self._placement.of is not versioned:
            self._placement = self._place(versioned)
        return self._placement

    def _place(self, versioned: VersionedMap) -> _Placement:
        placed = [
            set(self._experts_of(versioned.map, rank)) & set(range(self._experts))
            for rank in range(self._ranks)
        ]
        for expert in set(range(self._experts)).difference(*placed):
            placed[expert % self._ranks].add(expert)
        replicas = collections.Counter(
            expert for experts in placed for expert in experts
        )
        return _Placement(versioned, [sorted(experts) for experts in placed], replicas)


def placed_by_list(experts: ExpertMap, rank: int) -> t.Sequence[int]:
    """Return the experts that the member ``experts_by_rank`` places on a rank."""
    by_rank = experts.get(PLACEMENT_MEMBER)
    if not isinstance(by_rank, list) or rank >= len(by_rank):
        return ()
    placed = by_rank[rank]
    if not isinstance(placed, list):
        return ()
    return [expert for expert in placed if isinstance(expert, int)]
