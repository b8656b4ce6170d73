"""The recovery from passes that are held although no agent drives their change."""

import asyncio
import logging
import typing as t

from .. import events
from ..clocks import boottime_ms
from ..errors import UpstreamError
from .driver import Driver, direct_client
from .group import Group
from .holds import HoldMonitor, is_holding
from .membership import Membership
from .views import RankView

log = logging.getLogger(__name__)

STALL_CHECK_MS: t.Final = 200.0
"""The time between two checks whether the group is stalled."""


class Recovery:
    """Resolves orphaned holds for one agent.

    Every agent resolves those of its own rank. The agent of the leader also resolves
    those of ranks whose agents aren't alive.
    """

    def __init__(self, group: Group, membership: Membership, driver: Driver) -> None:
        self._group = group
        self._membership = membership
        self._driver = driver
        self._hold = HoldMonitor()

    def held_ms(self, now_ms: float) -> float:
        """Return how long the own rank has held its pass; 0 if it holds none."""
        return self._hold.held_ms(now_ms)

    def on_view(self, now_ms: float, view: RankView) -> None:
        """Record the own rank's report and resolve its hold if that is orphaned."""
        self._hold.on_view(now_ms, view)
        if not self._hold.is_orphaned(now_ms):
            return
        self._log_orphaned(now_ms)
        if self._driver.try_abandon():
            self._driver.take_over(now_ms, view.rank, t.cast(int, view.held))

    async def follow(self) -> None:
        """Resolve holds at ranks whose agents aren't alive, until cancelled."""
        while True:
            await asyncio.sleep(STALL_CHECK_MS / 1000)
            now_ms = boottime_ms()
            own = self._group.own
            if own is None or not self._group.is_stalled(now_ms):
                continue
            if self._group.leader(now_ms) == own.rank and self._driver.try_abandon():
                await self._check_unresponsive_ranks(own)

    def _log_orphaned(self, now_ms: float) -> None:
        own = t.cast(RankView, self._group.own)
        change = self._driver.change
        self._hold.log_orphaned(
            now_ms,
            phase=None if change is None else change.phase.value,
            alive=len(self._group.alive(now_ms)),
            knows_map=self._group.current_map() is not None,
            knows_members=len(self._membership.members.addresses(own.group)),
        )

    async def _check_unresponsive_ranks(self, own: RankView) -> None:
        """Query ranks whose agents aren't alive; resolve the first hold found."""
        alive = self._group.alive(boottime_ms())
        addresses = self._membership.members.addresses(own.group)
        for rank, address in sorted(addresses.items()):
            if rank in alive:
                continue
            client = direct_client(address)
            try:
                view = await client.view()
            except UpstreamError as error:
                events.emit(log, events.RANK_LOST, rank=rank, why=str(error))
                continue
            finally:
                client.close()
            is_held = is_holding(view) and view.formation == own.formation
            if is_held and self._driver.change is None:
                self._driver.take_over(boottime_ms(), rank, t.cast(int, view.held))
                return
