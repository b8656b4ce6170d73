"""How an agent carries out at its rank what the agent that drives a change asks for."""

import logging
import typing as t

from .. import events
from ..errors import UpstreamError
from . import messages
from .group import Group
from .metrics import AgentMetrics
from .participant import carry_out
from .tasks import Look, Prepare, Task
from .views import Rank

log = logging.getLogger(__name__)


class TaskRunner:
    """The part of one agent.

    :param send: sends a message to the agent at an address.
    :param on_silence: told why the rank gave no answer.
    """

    def __init__(
        self,
        group: Group,
        rank: Rank,
        metrics: AgentMetrics,
        send: t.Callable[[str, t.Any], t.Any],
        on_silence: t.Callable[[str], None],
    ) -> None:
        self._group = group
        self._rank = rank
        self._metrics = metrics
        self._send = send
        self._on_silence = on_silence
        self._busy: set[tuple[str, int]] = set()

    async def answer(self, ask: messages.Ask) -> None:
        """Carry out a task, and tell how the rank is then.

        A task that is being carried out already is answered once.
        """
        task = self._task_of(ask)
        key = (type(task).__name__, ask.version or ask.step)
        if key in self._busy:
            return
        self._busy.add(key)
        self._metrics.count_task(ask.kind)
        try:
            view = await carry_out(self._rank, ask.epoch, task)
        except UpstreamError as error:
            self._on_silence(str(error))
            return
        finally:
            self._busy.discard(key)
        self._send(ask.ip, messages.Reply(ask.number, view))

    def _task_of(self, ask: messages.Ask) -> Task:
        """Return the task that is asked for, or a look where it can't be told."""
        own = self._group.own
        if own is None or own.epoch != ask.epoch:
            return Look()
        task = messages.task_of(ask, self._group.maps)
        if task is None:
            known = sorted(self._group.maps)
            events.emit(log, events.MAP_NOT_KNOWN, version=ask.version, known=known)
            return Look()
        if isinstance(task, Prepare):
            self._group.keep_map(task.version, task.map)
        return task
