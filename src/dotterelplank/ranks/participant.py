"""The execution of a task at a rank, even if orders remain unanswered.

Each task reads the rank before and after an order. It is therefore safe to execute a
task twice, and the result is the rank's latest report.
"""

import asyncio
import dataclasses
import logging
import typing as t

from .. import events
from ..errors import UpstreamError
from .placeholder import placeholder
from .tasks import Arm, Hold, Prepare, QueryState, Release, Supersede, Task
from .views import (
    ArmMap,
    DisarmMap,
    ExpertMap,
    Formation,
    HoldStep,
    Order,
    PrepareMap,
    Rank,
    RankView,
    ReleaseStep,
)

log = logging.getLogger(__name__)

COPY_POLL_MS: t.Final = 15.0
"""The time between two reads of a rank that copies experts."""
MAX_COPY_POLLS: t.Final = 120
MAX_ORDER_ATTEMPTS: t.Final = 5
"""How often an order is sent if it remains unanswered."""


async def execute(rank: Rank, formation: Formation, task: Task) -> RankView:
    """Execute ``task`` and return the rank's report after it.

    :param formation: the group and epoch that the task is for; no order is sent to a
        rank that is in another group or epoch.
    :raises UpstreamError: if the rank can't be read.
    """
    view = await rank.view()
    if view.formation != formation or isinstance(task, QueryState):
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
    """Wait, for a limited time, until the rank has copied the experts of a map.

    Return the rank's latest report.
    """
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


async def _supersede(rank: Rank, view: RankView, task: Supersede) -> RankView:
    """Prepare a placeholder map, after disarming the rank if that is allowed.

    A rank that is armed with a version that isn't superseded is left as it is.
    """
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
    """The result of an order and the rank's report after it.

    :param is_accepted: whether the rank accepted the order; false also if the order
        wasn't sent or remained unanswered.
    """

    view: RankView
    is_accepted: bool


async def _send_until_answered(
    rank: Rank, view: RankView, order: Order, is_due: t.Callable[[RankView], bool]
) -> _OrderResult:
    """Send an order, and send it again if it remains unanswered.

    :param view: the rank's report before the order.
    :param is_due: returns whether a rank with a given report still needs the order.
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
    """Send an order once and log the result.

    Return whether the rank accepted the order, or ``None`` if it didn't answer.
    """
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
    Supersede: _supersede,
    Release: _release,
}
