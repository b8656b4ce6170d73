"""How the tokens of a step are distributed to experts, and from experts to ranks."""

import collections
import dataclasses
import typing as t

import pydantic

from . import http as standin_http
from .rank import ExpertMap, VersionedMap

PLACEMENT_KEY = "experts_by_rank"
SHARES_KEY = "shares_by_rank"

ExpertsOf = t.Callable[[ExpertMap, int], t.Sequence[int]]


class Popularity(standin_http.StrictModel):
    """The popularity of the experts.

    :param weights: one weight for each expert; an expert gets tokens in proportion to
        its weight.
    """

    weights: list[t.Annotated[float, pydantic.Field(ge=0)]]


@dataclasses.dataclass(frozen=True)
class _Placement:
    versioned_map: VersionedMap
    share_by_expert: t.Sequence[t.Mapping[int, float]]


class Workload:
    """Distributes the tokens of each step to experts and ranks.

    The tokens of an expert are split among the ranks on which the map places it, in
    proportion to the map's ``shares_by_rank`` or evenly without it. An expert that the
    map doesn't place on any rank runs on rank ``expert % ranks``.

    :param tokens_per_step: tokens of a step, summed over all experts.
    :param experts_of: returns the experts that a map places on a rank.
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
        """Set the popularity of the experts; the weights need not add up to 1.

        :raises StandinRefusalError: when the number of weights is wrong, or their sum
            isn't finite and positive.
        """
        if len(popularity.weights) != self._experts:
            raise standin_http.malformed(f"weights: expected {self._experts} numbers")
        if not 0 < sum(popularity.weights) < float("inf"):
            raise standin_http.malformed("weights: expected a finite sum above 0")
        self._weights = popularity.weights

    def tokens(self, versioned: VersionedMap, rank: int) -> t.Mapping[int, float]:
        """Return the number of tokens that ``rank`` processes in a step, by expert."""
        placement = self._current_placement(versioned)
        tokens_per_weight = self._tokens_per_step / sum(self._weights)
        return {
            expert: tokens_per_weight * self._weights[expert] * share
            for expert, share in placement.share_by_expert[rank].items()
        }

    def _current_placement(self, versioned: VersionedMap) -> _Placement:
        if self._placement is None or self._placement.versioned_map is not versioned:
            self._placement = self._compute_placement(versioned)
        return self._placement

    def _compute_placement(self, versioned: VersionedMap) -> _Placement:
        placed = [
            set(self._experts_of(versioned.map, rank)) & set(range(self._experts))
            for rank in range(self._ranks)
        ]
        for expert in set(range(self._experts)).difference(*placed):
            placed[expert % self._ranks].add(expert)
        explicit_shares = _explicit_shares(versioned.map)
        weights = [
            {
                expert: explicit_shares.get((rank, expert), 1.0)
                for expert in sorted(experts)
            }
            for rank, experts in enumerate(placed)
        ]
        totals: collections.Counter[int] = collections.Counter()
        for by_expert in weights:
            totals.update(by_expert)
        return _Placement(
            versioned,
            [
                {
                    expert: weight / (totals[expert] or 1.0)
                    for expert, weight in by_expert.items()
                }
                for by_expert in weights
            ],
        )


def _explicit_shares(experts: ExpertMap) -> t.Mapping[tuple[int, int], float]:
    """Return the shares that a map contains, by rank and expert."""
    by_rank = experts.get(PLACEMENT_KEY)
    shares = experts.get(SHARES_KEY)
    if not isinstance(by_rank, list) or not isinstance(shares, list):
        return {}
    return {
        (rank, expert): share
        for rank, (rank_experts, rank_shares) in enumerate(zip(by_rank, shares))
        if isinstance(rank_experts, list) and isinstance(rank_shares, list)
        for expert, share in zip(rank_experts, rank_shares)
        if isinstance(expert, int) and isinstance(share, (int, float)) and share >= 0
    }


def listed_experts(experts: ExpertMap, rank: int) -> t.Sequence[int]:
    """Return the experts that a map's ``experts_by_rank`` lists for a rank."""
    by_rank = experts.get(PLACEMENT_KEY)
    if not isinstance(by_rank, list) or rank >= len(by_rank):
        return ()
    placed = by_rank[rank]
    if not isinstance(placed, list):
        return ()
    return [expert for expert in placed if isinstance(expert, int)]
