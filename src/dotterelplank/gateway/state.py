"""The mutable state of one entry, read and written by its event loop only."""

import asyncio
import dataclasses
import random
import typing as t

from . import queues, retry_budget
from .concurrency import ConcurrencyLimits
from .directory import Directory, GroupKey
from .host import HostSettings
from .inactivity import Progress
from .limit_shares import LimitShares
from .loads import Loads
from .openings import Openings
from .pauses import Pauses
from .probes import Probes
from .server_limits import ServerLimits
from .suspects import Suspects
from .tables import RoutingTable


@dataclasses.dataclass
class EntryState:
    """The state of one entry.

    :param host: settings of the process.
    :param table: routing table in force; None before the first one is known.
    :param table_applied_ms: time at which the routing table came into force here.
    :param retry_budgets: retry budgets by service.
    :param first_read: set once the first read of the platform's store has ended, or a
        peer has sent its snapshot.
    :param entries: number of entries that are alive, this one included.
    :param entry_names: names of the entries that are alive and aren't stopping.
    :param stop_due_ms: time by which a stopping process has to have answered all calls;
        None: it isn't stopping.
    :param is_closed: whether calls are refused, as the process is about to exit.
    """

    host: HostSettings
    random: random.Random
    table: RoutingTable | None = None
    table_applied_ms: float = 0.0
    directory: Directory = dataclasses.field(default_factory=Directory)
    openings: Openings = dataclasses.field(default_factory=Openings)
    loads: Loads = dataclasses.field(default_factory=Loads)
    suspects: Suspects = dataclasses.field(default_factory=Suspects)
    server_limits: ServerLimits = dataclasses.field(default_factory=ServerLimits)
    limit_shares: LimitShares = dataclasses.field(default_factory=LimitShares)
    pauses: Pauses = dataclasses.field(default_factory=Pauses)
    probes: Probes = dataclasses.field(default_factory=Probes)
    progress: Progress = dataclasses.field(default_factory=Progress)
    concurrency_limits: ConcurrencyLimits = dataclasses.field(
        default_factory=ConcurrencyLimits
    )
    retry_budgets: dict[str, retry_budget.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    queue_by_service: dict[str, queues.Queue] = dataclasses.field(default_factory=dict)
    first_read: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    entries: int = 1
    entry_names: tuple[str, ...] = ()
    stop_due_ms: float | None = None
    is_closed: bool = False

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to stop; some calls are still served."""
        return self.stop_due_ms is not None

    @property
    def retry_policy(self) -> retry_budget.RetryPolicy:
        """The limit on retries for all entries together."""
        bounds = self.host.bounds
        return retry_budget.RetryPolicy(
            bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_burst
        )

    def retry_budget_of(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of ``service``."""
        return self.retry_budgets.setdefault(service, retry_budget.RetryBudget())

    def queue_of(self, service: str) -> queues.Queue:
        """Return the queue of calls that wait for a slot of ``service``."""
        return self.queue_by_service.setdefault(service, queues.Queue())

    def openings_due_ms(
        self, now_ms: float, service: str
    ) -> t.Mapping[GroupKey, float]:
        """Return the groups of ``service`` that are about to open, and by when."""
        known = None if self.table is None else self.table.services.get(service)
        if known is None:
            return {}
        return self.openings.due_ms(now_ms, service, known.rebuild_ms)

    def limit_waits_ms(self, now_ms: float, service: str) -> t.Mapping[str, float]:
        """Return the times until this entry may send to limited endpoints, by id.

        Endpoints that it may send to now are left out.
        """
        if not self.server_limits.limits:
            return {}
        own_name = self.host.name
        names = self.entry_names or (own_name,)
        waits_ms = {
            endpoint.id: self.limit_shares.wait_ms(
                now_ms, endpoint.incarnation, self.server_limits, own_name, names
            )
            for endpoint in self.directory.of_service(service)
        }
        return {name: wait_ms for name, wait_ms in waits_ms.items() if wait_ms > 0}

    def pauses_ms(self, now_ms: float, service: str) -> t.Mapping[str, float]:
        """Return the times for which endpoints still want no calls, by id.

        Endpoints that want calls are left out.
        """
        if not self.pauses.until_ms:
            return {}
        pauses_ms = {
            endpoint.id: self.pauses.remaining_ms(now_ms, endpoint.incarnation)
            for endpoint in self.directory.of_service(service)
        }
        return {name: pause_ms for name, pause_ms in pauses_ms.items() if pause_ms > 0}

    def is_ready(self) -> bool:
        """Return whether callers should be routed to this entry."""
        is_informed = self.table is not None and self.directory.updated_ms is not None
        return is_informed and not self.is_stopping


def directory_age_ms(now_ms: float, state: EntryState) -> float:
    """Return the time since the list of endpoints was updated; -1 if it never was."""
    updated_ms = state.directory.updated_ms
    return -1.0 if updated_ms is None else now_ms - updated_ms


def waiting(state: EntryState) -> t.Mapping[str, int]:
    """Return how many calls wait, by service; services without any are left out."""
    return {
        service: len(queue.waiting)
        for service, queue in state.queue_by_service.items()
        if queue.waiting
    }
