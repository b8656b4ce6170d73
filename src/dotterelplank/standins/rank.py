"""One rank of a stand-in group: its map, its orders and its faults."""

import dataclasses
import typing as t

import pydantic

from ..errors import StandinRefusalError
from . import http as standin_http
from .orders import OrderQueue

Ballot = tuple[int, str, int]
ExpertMap = dict[str, t.Any]


class RankFaults(standin_http.StrictModel):
    """Faults of a rank; a control call changes only those that it names.

    :param stalled: whether the rank neither ends nor begins a step.
    :param freeze: like ``stalled``; also, the rank executes no order and answers no
        call.
    :param speed: speed relative to that of a healthy rank, 1.0.
    :param order_delay_ms: time between an order's arrival and its execution.
    """

    stalled: bool = False
    freeze: bool = False
    speed: float = pydantic.Field(default=1.0, gt=0, le=1e6)
    order_delay_ms: float = pydantic.Field(
        default=0.0, ge=0, le=standin_http.MAX_WAIT_MS
    )


class _Order(standin_http.StrictModel):
    fence: int = pydantic.Field(ge=0, lt=2**63)


class Change(standin_http.StrictModel):
    """A change of the expert map.

    :param ballot: identifies the proposal of the change.
    :param hold_step: the first step in which the map is used if the ballot is
        committed.
    """

    ballot: Ballot
    map_version: int
    map: ExpertMap
    hold_step: int = pydantic.Field(ge=1)


class StageOrder(_Order, Change):
    """An order to stage a map.

    The rank doesn't begin ``hold_step`` until the ballot is resolved.
    """

    kind: t.Literal["map_stage"]


class ResolveOrder(_Order):
    """An order to resolve the ballot of a staged map.

    :param commit: whether the map is used from its ``hold_step`` on; otherwise it is
        dropped.
    """

    kind: t.Literal["map_resolve"]
    ballot: Ballot
    commit: bool


class InstallOrder(_Order):
    """An order to install a map on a rank that has none.

    :param change: the change that the other ranks have staged, or have committed and
        not begun to use; None without one.
    :param committed: whether ``change`` is committed.
    """

    kind: t.Literal["map_install"]
    map_version: int
    map: ExpertMap
    change: Change | None = None
    committed: bool = False


RankOrder = t.Annotated[
    StageOrder | ResolveOrder | InstallOrder, pydantic.Field(discriminator="kind")
]


@dataclasses.dataclass(frozen=True)
class VersionedMap:
    """An expert map and its version, which the proposer of the map chose."""

    map_version: int
    map: ExpertMap


@dataclasses.dataclass(frozen=True)
class StagedReport:
    """A report on a staged map whose ballot isn't resolved."""

    ballot: Ballot
    map_version: int
    hold_step: int


@dataclasses.dataclass(frozen=True)
class ResolvedReport:
    """A report on the ballot that was resolved last."""

    ballot: Ballot
    commit: bool


@dataclasses.dataclass(frozen=True)
class RankReport:
    """The state of one rank.

    :param step: number of the last step that the rank began.
    :param map_version: version of the map in use, None without a map.
    :param staged: the staged map, None without one.
    :param resolved: the ballot that was resolved last, None without one.
    :param highest_fence: highest fencing number that the rank has received.
    :param step_ms: time that this rank alone needs for its last step.
    :param tokens_by_expert: tokens that this rank has processed since its start.
    :param incarnation: 1 at first; each replacement of the rank adds 1.
    """

    rank: int
    step: int
    map_version: int | None
    staged: StagedReport | None
    resolved: ResolvedReport | None
    highest_fence: int
    step_ms: float
    tokens_by_expert: t.Sequence[int]
    speed: float
    incarnation: int


@dataclasses.dataclass(frozen=True)
class RankMaps:
    """All maps that a rank stores, and the number of its last step.

    :param step: number of the last step that the rank began.
    :param map: the map in use, None without one.
    :param staged: a change whose ballot isn't resolved, None without one.
    :param committed: the next committed change that isn't in use yet, None without one.
    """

    step: int
    map: VersionedMap | None
    staged: Change | None
    committed: Change | None
    highest_fence: int


class Rank:
    """One rank of a group; its state is lost when it is replaced."""

    def __init__(
        self, number: int, incarnation: int, experts: int, refuses_old_fences: bool
    ) -> None:
        self.number = number
        self.incarnation = incarnation
        self.faults = RankFaults()
        self.step = 0
        self.step_ms = 0.0
        self.current: VersionedMap | None = None
        self.staged: Change | None = None
        self.resolved: ResolveOrder | None = None
        self.committed: dict[int, Change] = {}
        self.tokens_by_expert = [0.0] * experts
        self.orders: OrderQueue[RankOrder] = OrderQueue(
            refuses_old_fences, self._execute
        )

    def can_begin(self, step: int) -> bool:
        """Return whether the rank may begin ``step``."""
        if self.is_halted():
            return False
        if self.staged is not None and self.staged.hold_step <= step:
            return False
        return self.current is not None

    def begin(self, step: int) -> None:
        """Begin a step, and use the map that is committed for it."""
        for hold_step in sorted(self.committed):
            if hold_step <= step:
                change = self.committed.pop(hold_step)
                self.current = VersionedMap(change.map_version, change.map)
        self.step = step

    def report(self) -> RankReport:
        """Return the state of the rank."""
        return RankReport(
            rank=self.number,
            step=self.step,
            map_version=None if self.current is None else self.current.map_version,
            staged=_staged_report(self.staged),
            resolved=_resolved_report(self.resolved),
            highest_fence=self.orders.highest_fence,
            step_ms=self.step_ms,
            tokens_by_expert=[round(tokens) for tokens in self.tokens_by_expert],
            speed=self.faults.speed,
            incarnation=self.incarnation,
        )

    def maps(self) -> RankMaps:
        """Return the maps that the rank stores."""
        upcoming = self.committed[min(self.committed)] if self.committed else None
        return RankMaps(
            self.step, self.current, self.staged, upcoming, self.orders.highest_fence
        )

    def is_halted(self) -> bool:
        """Return whether a fault prevents the rank from ending its step."""
        return self.faults.stalled or self.faults.freeze

    def next_due_ms(self) -> float | None:
        """Return when the next order is due.

        None means that there is no order, or that the rank is frozen.
        """
        return None if self.faults.freeze else self.orders.next_due_ms()

    def run_due(self, now_ms: float) -> None:
        """Execute the orders that are due, unless the rank is frozen."""
        if not self.faults.freeze:
            self.orders.run_due(now_ms)

    def _execute(self, order: RankOrder, _now_ms: float) -> None:
        if isinstance(order, StageOrder):
            self._stage(order)
        elif isinstance(order, ResolveOrder):
            self._resolve(order)
        else:
            self._install(order)

    def _stage(self, order: StageOrder) -> None:
        if self.staged is not None and self.staged.ballot == order.ballot:
            return
        if self.resolved is not None and self.resolved.ballot == order.ballot:
            raise _conflict(
                standin_http.Code.RESOLVED, "resolved", "the ballot is resolved"
            )
        if self.staged is not None or self.committed:
            message = "another change is staged, or committed and not yet begun"
            raise _conflict(standin_http.Code.STAGED, "staged", message)
        if self.current is None:
            raise _conflict(
                standin_http.Code.NO_MAP, "no_map", "the rank has no map yet"
            )
        if self.step >= order.hold_step:
            message = f"hold_step: met {order.hold_step}, the rank is at {self.step}"
            raise _conflict(standin_http.Code.PASSED, "passed", message)
        self.staged = Change.model_validate(order.model_dump(exclude={"fence", "kind"}))

    def _resolve(self, order: ResolveOrder) -> None:
        if self.staged is not None and self.staged.ballot == order.ballot:
            self._close_ballot(self.staged, order)
            return
        if self.resolved is None or self.resolved.ballot != order.ballot:
            message = "the ballot is neither staged nor the last resolved"
            raise _conflict(standin_http.Code.UNKNOWN_BALLOT, "unknown", message)
        if self.resolved.commit != order.commit:
            message = f"the ballot was resolved with commit {self.resolved.commit}"
            raise _conflict(standin_http.Code.RESOLVED, "resolved", message)

    def _close_ballot(self, staged: Change, order: ResolveOrder) -> None:
        if order.commit:
            self.committed[staged.hold_step] = staged
        self.staged = None
        self.resolved = order

    def _install(self, order: InstallOrder) -> None:
        if self.current is not None:
            raise _conflict(standin_http.Code.HAS_MAP, "has_map", "the rank has a map")
        self.current = VersionedMap(order.map_version, order.map)
        if order.change is None:
            return
        if order.committed:
            self.committed[order.change.hold_step] = order.change
        else:
            self.staged = order.change


def _staged_report(staged: Change | None) -> StagedReport | None:
    if staged is None:
        return None
    return StagedReport(staged.ballot, staged.map_version, staged.hold_step)


def _resolved_report(resolved: ResolveOrder | None) -> ResolvedReport | None:
    if resolved is None:
        return None
    return ResolvedReport(resolved.ballot, resolved.commit)


def _conflict(
    code: standin_http.Code, reason: str, message: str
) -> StandinRefusalError:
    return StandinRefusalError(409, code, message, reason=reason)
