"""The lookup of a service's members, from the platform's store or from other agents."""

import asyncio
import dataclasses
import logging
import random
import typing as t

from .. import events
from ..clocks import boottime_ms
from ..errors import SettingsError, UpstreamError
from ..gateway.host import HostSettings
from ..platform.members import read_members
from ..platform.store import StoreClient
from . import messages
from .group import Group
from .membership import Membership

log = logging.getLogger(__name__)

TIMEOUT_RANGE_MS: t.Final = (400.0, 2_000.0)
"""The range of the timeout of a read, which each agent draws at random.

Agents with a short timeout soon notice that an unresponsive store has recovered. Those
with a long one can read a slow store. Both pass on the members that they have read.
"""
INCOMPLETE_INTERVAL_MS: t.Final = 500.0
"""The time between two reads while not all ranks are known."""
INTERVAL_MS: t.Final = 1_000.0
MAX_INTERVAL_MS: t.Final = 16_000.0
"""The bounds of the time between two reads while all ranks are known but not all agents
are alive."""
BACKOFF_FACTOR: t.Final = 2.0
JITTER_RATIO: t.Final = 0.3
"""The fraction of an interval by which it is shortened at random."""


class Lookup:
    """Keeps an agent's knowledge of the members of its service up to date.

    :param reload: reads the settings again and returns them.
    :param send: sends a message to the agent at an address and returns the message's
        size in bytes.
    """

    def __init__(
        self,
        host: HostSettings,
        group: Group,
        membership: Membership,
        send: t.Callable[[str, t.Any], int],
        reload: t.Callable[[], HostSettings],
    ) -> None:
        self._host = host
        self._group = group
        self._membership = membership
        self._send = send
        self._reload = reload
        self._store = StoreClient(lambda: self._host.store)
        self._random = random.Random()
        self._interval_ms = INTERVAL_MS

    def close(self) -> None:
        """Close the connection to the platform's store."""
        self._store.close()

    async def follow(self) -> None:
        """Read the members of the service while some aren't known or not alive."""
        while True:
            if self._lacks_members():
                await self._read()
            else:
                self._interval_ms = INTERVAL_MS
            jitter = 1 - JITTER_RATIO * self._random.random()
            await asyncio.sleep(self._interval_ms * jitter / 1000)
            self._interval_ms = self._next_interval_ms()

    def on_heartbeat(self, now_ms: float, heartbeat: messages.Heartbeat) -> None:
        """Record the address of an agent; request the members if it knows more."""
        self._membership.add_ip(heartbeat.ip, heartbeat.view.group)
        own = self._group.own
        if own is None or not heartbeat.knows_members:
            return
        if heartbeat.ip != self._host.ip and self._membership.may_request(
            now_ms, own.group, own.size
        ):
            self._send(heartbeat.ip, messages.MembersRequest(self._host.ip))

    def answer(self, now_ms: float, request: messages.MembersRequest) -> None:
        """Answer another agent's request with the known members, if the link allows."""
        self._membership.add_ip(request.ip)
        if self._membership.may_reply(now_ms):
            reply = messages.encode_members(
                self._host.service or "", self._membership.members
            )
            self._membership.record_reply(now_ms, self._send(request.ip, reply))

    def on_members_reply(self, reply: messages.MembersReply) -> None:
        """Merge the members that another agent sent, if they are of this service."""
        if reply.service != self._host.service:
            return
        if self._membership.merge(messages.decode_members(reply)):
            events.emit(
                log,
                events.MEMBERS_RECEIVED,
                ranks=len(reply.addresses),
                revision=str(reply.revision),
            )

    def _lacks_members(self) -> bool:
        own = self._group.own
        if own is None or not self._membership.knows_all(own.group, own.size):
            return True
        return len(self._group.alive(boottime_ms())) < own.size

    def _next_interval_ms(self) -> float:
        own = self._group.own
        if own is None or not self._membership.knows_all(own.group, own.size):
            return INCOMPLETE_INTERVAL_MS
        return min(self._interval_ms * BACKOFF_FACTOR, MAX_INTERVAL_MS)

    def _reload_settings(self) -> None:
        """Take over the address of the store, which may have changed."""
        try:
            store = self._reload().store
        except SettingsError as error:
            events.emit(log, events.SETTINGS_REFUSED, why=str(error))
            return
        self._host = dataclasses.replace(self._host, store=store)

    async def _read(self) -> None:
        self._reload_settings()
        timeout_ms = self._random.uniform(*TIMEOUT_RANGE_MS)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                members = await read_members(self._store, self._host.service or "")
        except (UpstreamError, TimeoutError) as error:
            why = str(error) or f"no answer in {timeout_ms:.0f} ms"
            events.emit(log, events.PLATFORM_READ_FAILED, why=why)
            return
        self._membership.merge(members)
