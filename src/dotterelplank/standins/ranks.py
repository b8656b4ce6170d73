"""A stand-in for a group of ranks that execute steps in lockstep with an expert map.

:class:`RankGroup` reads no clock and does no I/O: its methods get the current time as
an argument. The module ``ranks_http`` serves each rank on a port of its own.
"""

import collections
import dataclasses
import logging
import random
import typing as t

import pydantic

from .. import events
from ..errors import StandinRefusalError
from . import http as standin_http
from .orders import PendingOrder
from .popularity import ExpertsOf, Popularity, Workload, listed_experts
from .rank import ExpertMap, Rank, RankFaults, RankOrder, RankReport, VersionedMap

MAX_RECORDED_STEPS = 64

logger = logging.getLogger(__name__)


class GroupSettings(standin_http.StrictModel):
    """Size and speed of a group.

    :param base_step_ms: constant part of the time of a step.
    :param token_ms: additional step time of a rank for each token that it processes.
    :param tokens_per_step: tokens of a step, distributed to experts by popularity.
    :param jitter_share: largest random addition to a rank's step time, as a fraction
        of that time.
    :param refuses_old_fences: whether a rank refuses an order whose fencing number is
        below the highest that it has received.
    :param map_version: version of the initial map; with None, the ranks start without
        a map.
    :param seed: seed of the random additions.
    """

    ranks: int = pydantic.Field(default=4, ge=1, le=1024)
    experts: int = pydantic.Field(default=8, ge=1, le=4096)
    base_step_ms: float = pydantic.Field(default=20.0, gt=0)
    token_ms: float = pydantic.Field(default=0.05, ge=0)
    tokens_per_step: float = pydantic.Field(default=256.0, ge=0)
    jitter_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    refuses_old_fences: bool = True
    map_version: int | None = 1
    map: ExpertMap = {}
    seed: int = 0


@dataclasses.dataclass(frozen=True)
class StepMaps:
    """The map versions that the ranks used in a step; more than one is a fault."""

    step: int
    map_versions: t.Sequence[int]


@dataclasses.dataclass(frozen=True)
class GroupReport:
    """The state of a group.

    :param steps: number of steps that the group has begun.
    :param violations: number of steps in which the ranks used different maps.
    :param maps_by_step_tail: the versions used in the latest steps.
    :param waiting_ms: total time for which a rank prevented the next step from
        beginning.
    """

    steps: int
    violations: int
    maps_by_step_tail: t.Sequence[StepMaps]
    waiting_ms: float


class RankGroup:
    """A group whose clock is given by the caller; it isn't thread-safe.

    :param experts_of: returns the experts that a map places on a rank; by default,
        those that the map's ``experts_by_rank`` lists.
    """

    def __init__(
        self,
        settings: GroupSettings | None = None,
        experts_of: ExpertsOf | None = None,
    ) -> None:
        self.settings = settings or GroupSettings()
        self.ranks = [
            self._new_rank(number, 1) for number in range(self.settings.ranks)
        ]
        self._workload = Workload(
            self.settings.ranks,
            self.settings.experts,
            self.settings.tokens_per_step,
            experts_of or listed_experts,
        )
        self._random = random.Random(self.settings.seed)
        self._steps = 0
        self._violations = 0
        self._maps: collections.deque[StepMaps] = collections.deque(
            maxlen=MAX_RECORDED_STEPS
        )
        self._step_end_ms: float | None = None
        self._waiting_since_ms: float | None = None
        self._waited_ms = 0.0
        self._advanced_ms = float("-inf")
        if self.settings.map_version is not None:
            first = VersionedMap(self.settings.map_version, self.settings.map)
            for rank in self.ranks:
                rank.current = first

    def advance(self, now_ms: float) -> None:
        """Execute the steps and orders that are due."""
        while True:
            due_ms = self.next_due_ms()
            if due_ms is None or due_ms > now_ms:
                break
            self._process_due(max(due_ms, self._advanced_ms))
        self._advanced_ms = max(now_ms, self._advanced_ms)
        self._begin_step(now_ms)

    def next_due_ms(self) -> float | None:
        """Return when the current step ends or the next order is due.

        None means that nothing will happen without a further call.
        """
        due = [rank.next_due_ms() for rank in self.ranks]
        if not self._is_stalled():
            due.append(self._step_end_ms)
        return min((at_ms for at_ms in due if at_ms is not None), default=None)

    def order(
        self, number: int, order: RankOrder, now_ms: float
    ) -> PendingOrder[RankOrder]:
        """Send an order to a rank; the returned object records when it was executed.

        :raises StandinRefusalError: when there is no such rank, or the rank refuses
            the fencing number.
        """
        self.advance(now_ms)
        rank = self.rank(number)
        pending = rank.orders.receive(order, now_ms, rank.faults.order_delay_ms)
        self.advance(now_ms)
        return pending

    def change_rank(
        self, number: int, changes: RankFaults, now_ms: float
    ) -> RankFaults:
        """Change the faults of a rank that ``changes`` sets, and return all faults."""
        self.advance(now_ms)
        rank = self.rank(number)
        was_stalled = self._is_stalled()
        rank.faults = standin_http.merged(rank.faults, changes)
        if was_stalled and self._step_end_ms is not None:
            self._step_end_ms = max(self._step_end_ms, now_ms)
        self.advance(now_ms)
        return rank.faults

    def replace_rank(self, number: int, now_ms: float) -> RankReport:
        """Replace a rank by one without map, orders and faults; return its state.

        Orders that the replaced rank hasn't executed are lost.
        """
        self.advance(now_ms)
        old = self.rank(number)
        replacement = self._new_rank(number, old.incarnation + 1)
        replacement.step = old.step
        self.ranks[number] = replacement
        self.advance(now_ms)
        return self.report(number, now_ms)

    def set_popularity(self, popularity: Popularity, now_ms: float) -> None:
        """Set how the tokens of a step are distributed to the experts."""
        self.advance(now_ms)
        self._workload.set_popularity(popularity)

    def rank(self, number: int) -> Rank:
        """Return the rank with a number.

        :raises StandinRefusalError: when there is no such rank.
        """
        if not 0 <= number < len(self.ranks):
            message = f"{number}: no such rank"
            raise StandinRefusalError(404, standin_http.Code.NO_SUCH_RANK, message)
        return self.ranks[number]

    def report(self, number: int, now_ms: float) -> RankReport:
        """Return the state of a rank."""
        self.advance(now_ms)
        return self.rank(number).report()

    def group_report(self, now_ms: float) -> GroupReport:
        """Return the state of the group."""
        self.advance(now_ms)
        waiting_ms = self._waited_ms
        if self._waiting_since_ms is not None:
            waiting_ms += now_ms - self._waiting_since_ms
        return GroupReport(self._steps, self._violations, tuple(self._maps), waiting_ms)

    def _new_rank(self, number: int, incarnation: int) -> Rank:
        settings = self.settings
        return Rank(number, incarnation, settings.experts, settings.refuses_old_fences)

    def _is_stalled(self) -> bool:
        return any(rank.is_halted() for rank in self.ranks)

    def _process_due(self, due_ms: float) -> None:
        for rank in self.ranks:
            rank.run_due(due_ms)
        ended = self._step_end_ms is not None and self._step_end_ms <= due_ms
        if ended and not self._is_stalled():
            self._step_end_ms = None
            self._waiting_since_ms = due_ms
        self._begin_step(due_ms)

    def _begin_step(self, at_ms: float) -> None:
        step = self._steps + 1
        if self._step_end_ms is not None:
            return
        if self._waiting_since_ms is None:
            self._waiting_since_ms = at_ms
        if not all(rank.can_begin(step) for rank in self.ranks):
            return
        self._waited_ms += at_ms - self._waiting_since_ms
        self._waiting_since_ms = None
        for rank in self.ranks:
            rank.begin(step)
        self._steps = step
        self._deduplicate_maps()
        self._check_maps(step)
        self._step_end_ms = at_ms + max(self._step_time_ms(rank) for rank in self.ranks)

    def _deduplicate_maps(self) -> None:
        """Let ranks with equal maps share one object, which speeds up comparisons."""
        first = self.ranks[0].current
        for rank in self.ranks:
            if rank.current == first:
                rank.current = first

    def _check_maps(self, step: int) -> None:
        maps = [rank.current for rank in self.ranks if rank.current is not None]
        versions = sorted({versioned.map_version for versioned in maps})
        self._maps.append(StepMaps(step, versions))
        if any(versioned != maps[0] for versioned in maps):
            self._violations += 1
            events.emit(
                logger, events.STANDIN_MAPS_DIFFER, step=step, map_versions=versions
            )

    def _step_time_ms(self, rank: Rank) -> float:
        """Count the tokens of a rank's step and return the time that it takes."""
        assert rank.current is not None
        tokens = 0.0
        for expert, share in self._workload.tokens(rank.current, rank.number).items():
            rank.tokens_by_expert[expert] += share
            tokens += share
        work_ms = self.settings.base_step_ms + self.settings.token_ms * tokens
        jitter = 1.0 + self.settings.jitter_share * self._random.random()
        rank.step_ms = work_ms * jitter / rank.faults.speed
        return rank.step_ms
