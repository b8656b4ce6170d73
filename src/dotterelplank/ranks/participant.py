"""How an agent carries out a task at its rank, whatever becomes of the orders.

Each task reads the rank before an order and after it, so that it is safe to carry out
twice, and what is told of the rank is what it said last.
"""

import asyncio
import logging
import typing as t

from .. import events
from ..errors import UpstreamError
from .change import Arm, Hold, Look, Prepare, Release, Task, Void
from .views import (
    ArmMap,
    DisarmMap,
    HoldStep,
    Order,
    PrepareMap,
    Rank,
    RankView,
    ReleaseStep,
)

log = logging.getLogger(__name__)

COPY_POLL_MS: t.Final = 15.0
COPY_POLLS: t.Final = 120


async def carry_out(rank: Rank, epoch: int, task: Task) -> RankView:
    """Carry out ``task`` and return the rank as it is then.

    :param epoch: epoch of the group that the task is for; in another one nothing is
        ordered.
    :raises UpstreamError: if the rank can't be read.
    """
    view = await rank.view()
    if view.epoch != epoch or isinstance(task, Look):
        return view
    return await _CARRIERS[type(task)](rank, view, task)


async def _prepare(rank: Rank, view: RankView, task: Prepare) -> RankView:
    if _highest_prepared(view) > task.version or view.armed is not None:
        return view
    if view.prepared != task.version:
        order = PrepareMap(view.epoch, task.version, task.map)
        if not await _give(rank, order):
            view = await rank.view()
    polls = 0
    while view.prepared is None or view.prepared < task.version:
        polls += 1
        if polls > COPY_POLLS:
            break
        await asyncio.sleep(COPY_POLL_MS / 1000)
        view = await rank.view()
    return view


async def _hold(rank: Rank, view: RankView, task: Hold) -> RankView:
    if view.held is not None or view.step >= task.step:
        return view
    await _give(rank, HoldStep(view.epoch, task.step))
    return await rank.view()


async def _arm(rank: Rank, view: RankView, task: Arm) -> RankView:
    if view.prepared != task.version or view.armed is not None:
        return view
    await _give(rank, ArmMap(view.epoch, task.version, task.step))
    return await rank.view()


async def _void(rank: Rank, view: RankView, task: Void) -> RankView:
    if view.armed is not None:
        if view.armed.version not in task.dead:
            return view
        await _give(rank, DisarmMap(view.epoch, view.armed.version))
        view = await rank.view()
    if view.armed is None and (view.prepared is None or view.prepared < task.version):
        await _give(rank, PrepareMap(view.epoch, task.version, task.map))
        view = await rank.view()
    return view


async def _release(rank: Rank, view: RankView, task: Release) -> RankView:
    if view.held != task.step:
        return view
    await _give(rank, ReleaseStep(view.epoch, task.step))
    return await rank.view()


async def _give(rank: Rank, order: Order) -> bool:
    """Give an order; return whether it was accepted, as far as is known."""
    kind = type(order).__name__
    outcome = "unanswered"
    try:
        is_accepted = await rank.give(order)
        outcome = "accepted" if is_accepted else "refused"
    except UpstreamError as error:
        is_accepted = False
        events.emit(log, events.ORDER_UNANSWERED, order=kind, why=str(error))
    events.emit(
        log,
        events.ORDER_GIVEN,
        order=kind,
        epoch=order.epoch,
        version=getattr(order, "version", None),
        step=getattr(order, "step", None),
        outcome=outcome,
    )
    return is_accepted


def _highest_prepared(view: RankView) -> int:
    return max(view.map_version, view.prepared or -1)


_CARRIERS: t.Mapping[type, t.Callable[..., t.Awaitable[RankView]]] = {
    Prepare: _prepare,
    Hold: _hold,
    Arm: _arm,
    Void: _void,
    Release: _release,
}
