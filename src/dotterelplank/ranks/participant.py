"""How an agent carries out a task at its rank, whatever becomes of the orders.

Each task reads the rank before an order and after it, so that it is safe to carry out
twice, and what is told of the rank is what it said last.
"""

import asyncio
import dataclasses
import logging
import typing as t

from .. import events
from ..errors import UpstreamError
from .placeholder import placeholder
from .tasks import Arm, Hold, Look, Prepare, Release, Task, Void
from .views import (
    ArmMap,
    DisarmMap,
    ExpertMap,
    HoldStep,
    Order,
    PrepareMap,
    Rank,
    RankView,
    ReleaseStep,
)

log = logging.getLogger(__name__)

COPY_POLL_MS: t.Final = 15.0
MAX_COPY_POLLS: t.Final = 120
MAX_ORDER_ATTEMPTS: t.Final = 5
"""How often an order is given that gets no answer."""


async def execute(rank: Rank, epoch: int, task: Task) -> RankView:
    """Carry out ``task`` and return the rank as it is then.

    :param epoch: epoch of the group that the task is for; in another one nothing is
        ordered.
    :raises UpstreamError: if the rank can't be read.
    """
    view = await rank.view()
    if view.epoch != epoch or isinstance(task, Look):
        return view
    return await _EXECUTORS[type(task)](rank, view, task)


async def _prepare(rank: Rank, view: RankView, task: Prepare) -> RankView:
    order = PrepareMap(view.epoch, task.version, task.map)
    result = await _send_until_answered(
        rank, view, order, lambda current: _may_prepare(current, task.version)
    )
    if not result.is_accepted:
        return result.view
    return await _await_copies(rank, result.view, task.version)


async def _await_copies(rank: Rank, view: RankView, version: int) -> RankView:
    """Wait until the rank has copied what a map needs, for a bounded time."""
    for _ in range(MAX_COPY_POLLS):
        if view.armed is not None or _highest_prepared(view) >= version:
            break
        await asyncio.sleep(COPY_POLL_MS / 1000)
        view = await rank.view()
    return view


async def _hold(rank: Rank, view: RankView, task: Hold) -> RankView:
    order = HoldStep(view.epoch, task.step)
    result = await _send_until_answered(
        rank,
        view,
        order,
        lambda current: current.held is None and current.step < task.step,
    )
    return result.view


async def _arm(rank: Rank, view: RankView, task: Arm) -> RankView:
    order = ArmMap(view.epoch, task.version, task.step)
    result = await _send_until_answered(
        rank,
        view,
        order,
        lambda current: current.prepared == task.version and current.armed is None,
    )
    return result.view


async def _void(rank: Rank, view: RankView, task: Void) -> RankView:
    armed = view.armed
    if armed is not None:
        if armed.version not in task.dead:
            return view
        disarm = DisarmMap(view.epoch, armed.version)
        view = (
            await _send_until_answered(
                rank, view, disarm, lambda current: current.armed == armed
            )
        ).view
    own_map = await _placeholder(rank, view)
    order = PrepareMap(view.epoch, task.version, own_map)
    result = await _send_until_answered(
        rank, view, order, lambda current: _may_prepare(current, task.version)
    )
    return result.view


async def _placeholder(rank: Rank, view: RankView) -> ExpertMap:
    rows = (await rank.rows()).rows
    counts = (await rank.counts()).counts
    return placeholder(view.rank, view.size, rows, len(counts) // max(1, len(rows)))


async def _release(rank: Rank, view: RankView, task: Release) -> RankView:
    order = ReleaseStep(view.epoch, task.step)
    result = await _send_until_answered(
        rank, view, order, lambda current: current.held == task.step
    )
    return result.view


@dataclasses.dataclass(frozen=True, slots=True)
class _OrderResult:
    """What became of an order, and the rank as it is then."""

    view: RankView
    is_accepted: bool


async def _send_until_answered(
    rank: Rank, view: RankView, order: Order, is_due: t.Callable[[RankView], bool]
) -> _OrderResult:
    """Give an order, again if it got no answer.

    :param view: the rank as it was read before.
    :param is_due: whether the order is still to be given, as the rank is.
    """
    for _ in range(MAX_ORDER_ATTEMPTS):
        if not is_due(view) or view.epoch != order.epoch:
            break
        is_accepted = await send_order_once(rank, order)
        view = await rank.view()
        if is_accepted is not None:
            return _OrderResult(view, is_accepted)
    return _OrderResult(view, False)


async def send_order_once(rank: Rank, order: Order) -> bool | None:
    """Give an order; return whether it was accepted, or none if it got no answer."""
    is_accepted = None
    why = None
    try:
        is_accepted = await rank.send_order(order)
    except UpstreamError as error:
        why = str(error)
    events.emit(
        log,
        events.ORDER_UNANSWERED if is_accepted is None else events.ORDER_GIVEN,
        order=type(order).__name__,
        epoch=order.epoch,
        version=getattr(order, "version", None),
        step=getattr(order, "step", None),
        is_accepted=is_accepted,
        why=why,
    )
    return is_accepted


def _may_prepare(view: RankView, version: int) -> bool:
    return view.armed is None and _highest_prepared(view) < version


def _highest_prepared(view: RankView) -> int:
    return max(view.map_version, view.prepared or -1)


_EXECUTORS: t.Mapping[type, t.Callable[..., t.Awaitable[RankView]]] = {
    Prepare: _prepare,
    Hold: _hold,
    Arm: _arm,
    Void: _void,
    Release: _release,
}
