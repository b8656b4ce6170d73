"""How an agent finds the others of its group: by the platform, and by each other."""

import asyncio
import logging
import random
import typing as t

from .. import events
from ..clocks import boottime_ms
from ..errors import UpstreamError
from ..gateway.host import HostSettings
from ..platform.members import read_members
from ..platform.store import StoreClient
from . import messages
from .group import Group
from .membership import Membership

log = logging.getLogger(__name__)

TIMEOUT_MS: t.Final = (400.0, 2_000.0)
"""Bounds between which agents draw how long they wait for the platform: some notice
soon that a silent one is back, and tell those that wait for a slow one."""
MISSING_INTERVAL_MS: t.Final = 500.0
"""Between two reads while not all ranks are known."""
INTERVAL_MS: t.Final = 1_000.0
LONGEST_INTERVAL_MS: t.Final = 16_000.0
"""Between two reads while all ranks are known, but some agents are silent."""
BACKOFF: t.Final = 2.0
SPREAD: t.Final = 0.3
"""The part of an interval by which agents differ."""


class Lookup:
    """Keeps what one agent knows of its service up to date.

    :param send: sends a message to the agent at an address, and returns its size.
    """

    def __init__(
        self,
        host: HostSettings,
        group: Group,
        membership: Membership,
        send: t.Callable[[str, t.Any], int],
    ) -> None:
        self._host = host
        self._group = group
        self._membership = membership
        self._send = send
        self._store = StoreClient(host.store)
        self._random = random.Random()
        self._interval_ms = INTERVAL_MS

    def close(self) -> None:
        """Close the connection to the platform."""
        self._store.close()

    async def follow(self) -> None:
        """Read from the platform who belongs to the service, while some lack."""
        while True:
            if self._lacks_members():
                await self._read()
            else:
                self._interval_ms = INTERVAL_MS
            spread = 1 - SPREAD * self._random.random()
            await asyncio.sleep(self._interval_ms * spread / 1000)
            self._interval_ms = self._next_interval_ms()

    def hear(self, now_ms: float, heartbeat: messages.Heartbeat) -> None:
        """Take in that an agent lives, and ask it if it knows more."""
        self._membership.learn_ip(heartbeat.ip)
        own = self._group.own
        if own is None or not heartbeat.knows_members:
            return
        if heartbeat.ip != self._host.ip and self._membership.may_ask(now_ms, own.size):
            self._send(heartbeat.ip, messages.MembersAsked(self._host.ip))

    def answer(self, now_ms: float, asked: messages.MembersAsked) -> None:
        """Tell another agent what is known here."""
        self._membership.learn_ip(asked.ip)
        if self._membership.may_tell(now_ms):
            told = messages.members_told(
                self._host.service or "", self._membership.members
            )
            self._membership.note_told(now_ms, self._send(asked.ip, told))

    def take(self, told: messages.MembersTold) -> None:
        """Take in what another agent told."""
        if told.service != self._host.service:
            return
        if self._membership.learn(messages.members_of(told)):
            events.emit(
                log,
                events.MEMBERS_TOLD,
                ranks=len(told.places),
                revision=told.revision,
            )

    def _lacks_members(self) -> bool:
        own = self._group.own
        if own is None or not self._membership.knows_all(own.size):
            return True
        return len(self._group.alive(boottime_ms())) < own.size

    def _next_interval_ms(self) -> float:
        own = self._group.own
        if own is None or not self._membership.knows_all(own.size):
            return MISSING_INTERVAL_MS
        return min(self._interval_ms * BACKOFF, LONGEST_INTERVAL_MS)

    async def _read(self) -> None:
        timeout_ms = self._random.uniform(*TIMEOUT_MS)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                found = await read_members(self._store, self._host.service or "")
        except (UpstreamError, TimeoutError) as error:
            why = str(error) or f"no answer in {timeout_ms:.0f} ms"
            events.emit(log, events.PLATFORM_READ_FAILED, why=why)
            return
        self._membership.learn(found)
