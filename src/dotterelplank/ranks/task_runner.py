"""The execution of tasks that another agent requests for the own rank."""

import logging
import typing as t

from .. import events
from ..errors import UpstreamError
from . import messages
from .group import Group
from .metrics import AgentMetrics
from .participant import execute
from .tasks import Prepare, QueryState, Task
from .views import Rank

log = logging.getLogger(__name__)


class TaskRunner:
    """Executes tasks at the own rank and replies with the rank's report.

    :param send: sends a message to the agent at an address.
    :param on_unreachable: called with the reason when the rank doesn't answer.
    """

    def __init__(
        self,
        group: Group,
        rank: Rank,
        metrics: AgentMetrics,
        send: t.Callable[[str, t.Any], t.Any],
        on_unreachable: t.Callable[[str], None],
    ) -> None:
        self._group = group
        self._rank = rank
        self._metrics = metrics
        self._send = send
        self._on_unreachable = on_unreachable
        self._busy: set[tuple[str, int]] = set()

    async def answer(self, task_request: messages.TaskRequest) -> None:
        """Execute a task and reply with the rank's report after it.

        A request for a task that is already being executed is ignored.
        """
        task = self._decode_task(task_request)
        key = (task.kind, task_request.version or task_request.step)
        if key in self._busy:
            return
        self._busy.add(key)
        self._metrics.count_task(task_request.kind)
        try:
            view = await execute(self._rank, task_request.formation, task)
        except UpstreamError as error:
            self._on_unreachable(str(error))
            return
        finally:
            self._busy.discard(key)
        self._send(task_request.ip, messages.TaskReply(task_request.request_id, view))

    def _decode_task(self, task_request: messages.TaskRequest) -> Task:
        """Return the requested task, or ``QueryState`` if it can't be executed here.

        That is so if the request is for another group or epoch, or if its map can't be
        decoded.
        """
        own = self._group.own
        if own is None or own.formation != task_request.formation:
            return QueryState()
        task = messages.decode_task(task_request, self._group.maps)
        if task is None:
            known = sorted(self._group.maps)
            events.emit(
                log, events.MAP_NOT_KNOWN, version=task_request.version, known=known
            )
            return QueryState()
        if isinstance(task, Prepare):
            self._group.store_map(task.version, task.map)
        return task
