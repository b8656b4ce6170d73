"""What one entry believes and has in hand; decisions read it, one loop writes it."""

import dataclasses
import random
import typing as t

from . import budget, queues
from .directory import Directory
from .host import HostSettings
from .loads import Loads
from .pacing import Paces
from .silence import Progress
from .tables import Table


@dataclasses.dataclass
class Board:
    """The state of one entry.

    :param table: configuration in force; none before the first one is known.
    :param table_ms: when it came into force here.
    :param entries: entries that were heard lately, this one included.
    :param is_stopping: told to stop; calls are still served.
    :param is_closed: calls are refused, as the end is near.
    """

    host: HostSettings
    random: random.Random
    table: Table | None = None
    table_ms: float = 0.0
    directory: Directory = dataclasses.field(default_factory=Directory)
    loads: Loads = dataclasses.field(default_factory=Loads)
    progress: Progress = dataclasses.field(default_factory=Progress)
    paces: Paces = dataclasses.field(default_factory=Paces)
    budgets: dict[str, budget.Budget] = dataclasses.field(default_factory=dict)
    queue_by_service: dict[str, queues.Queue] = dataclasses.field(default_factory=dict)
    entries: int = 1
    is_stopping: bool = False
    is_closed: bool = False

    @property
    def policy(self) -> budget.Policy:
        """The bound on repeated sends."""
        bounds = self.host.bounds
        return budget.Policy(
            bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_burst
        )

    def budget_of(self, service: str) -> budget.Budget:
        """Return the budget for repeated sends to ``service``."""
        return self.budgets.setdefault(service, budget.Budget())

    def queue_of(self, service: str) -> queues.Queue:
        """Return the calls that wait for a place at ``service``."""
        return self.queue_by_service.setdefault(service, queues.Queue())

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        is_informed = self.table is not None and self.directory.read_ms is not None
        return is_informed and not self.is_stopping


def directory_age_ms(now_ms: float, board: Board) -> float:
    """Return the time since the list of endpoints was last heard of."""
    read_ms = board.directory.read_ms
    return -1.0 if read_ms is None else now_ms - read_ms


def waiting(board: Board) -> t.Mapping[str, int]:
    """Return how many calls wait, by service; services with none left out."""
    return {
        service: len(queue.waiting)
        for service, queue in board.queue_by_service.items()
        if queue.waiting
    }
