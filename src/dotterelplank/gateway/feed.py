"""Keeps the published configuration and list of endpoints up to date.

Both are read from the platform's store, or from a peer that has newer revisions.
"""

import asyncio
import logging
import math
import random
import typing as t

import msgpack

from .. import events
from ..errors import InputError, UpstreamError
from ..http1.client import Request, read_body, temporary_connection
from ..platform import published
from ..platform.store import HistoryGoneError, Item, StoreClient
from .directory import EndpointChange
from .host import Address
from .metrics import EntryMetrics
from .peers import Peers
from .revisions import FIRST, Revision
from .state import EntryState
from .tables import RoutingTable

log = logging.getLogger(__name__)

READER_WAIT_MS: t.Final = 2_000.0
"""How long a reader's watch request waits for changes.

A store that has become unresponsive is noticed soon after this time.
"""
FOLLOWER_WAIT_MS: t.Final = 12_000.0
"""How long the watch request of any other entry waits for changes."""
READERS_PER_DOMAIN: t.Final = 2
"""Number of entries in each failure domain that send short watch requests."""
MIN_BACKOFF_MS: t.Final = 150.0
MAX_BACKOFF_MS: t.Final = 1_000.0
STALE_AFTER_FAILURE_MS: t.Final = 3_000.0
"""Time after a failed read in which removed endpoints are given a grace period."""
PULL_DELAY_MS: t.Final = 250.0
"""Time within which most entries receive a change from the platform itself.

A snapshot is fetched from a peer only if the change is still missing after it.
"""
PULL_TIMEOUT_MS: t.Final = 500.0
RESTORE_SETTLE_MS: t.Final = 5_000.0
"""Time after which servers have written their records to a restored store again."""
SNAPSHOT_PATH: t.Final = b"/copy"
MAX_SNAPSHOT_BYTES: t.Final = 32 * 1024 * 1024


class Feed:
    """Keeps the routing table and the list of endpoints up to date.

    :param clock: returns the current time in milliseconds.
    :param on_change: called after changes of the routing table or the list were
        received.
    """

    def __init__(
        self,
        state: EntryState,
        peers: Peers,
        clock: t.Callable[[], float],
        metrics: EntryMetrics,
        on_change: t.Callable[[], None],
    ) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._client = StoreClient(state.host.store)
        self._server_items: dict[str, Item] = {}
        self._configuration: Item | None = None
        self._failed_ms: float | None = None
        self._is_disconnected = False
        self._restored_ms: float | None = None
        self._pull_task: asyncio.Task[None] | None = None

    async def follow(self) -> None:
        """Read the platform's store and watch it for changes, until cancelled."""
        backoff_ms = MIN_BACKOFF_MS
        is_synced = False
        while True:
            try:
                if is_synced and self._settle_ms() > 0:
                    await self._watch()
                else:
                    await self._read_all()
                    is_synced = True
                backoff_ms = MIN_BACKOFF_MS
            except HistoryGoneError as error:
                self._note_failure(str(error))
                is_synced = False
            except UpstreamError as error:
                self._note_failure(str(error))
                jitter = random.uniform(0.5, 1.0)
                await asyncio.sleep(backoff_ms * jitter / 1000)
                backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)

    def snapshot(self) -> bytes:
        """Return the configuration and the list of endpoints, encoded for a peer."""
        items = [
            item
            for name, item in self._server_items.items()
            if name in self._state.directory.endpoints
        ]
        if self._configuration is not None:
            items.append(self._configuration)
        revision = self._state.directory.revision
        return msgpack.packb([revision, published.as_lists(items)])

    def on_heartbeat(
        self, ip: str, table_version: int, directory_revision: Revision
    ) -> None:
        """Fetch a peer's snapshot if the peer has a newer table or list."""
        if (
            self._is_behind(table_version, directory_revision)
            and self._pull_task is None
        ):
            pull = self._pull(ip, table_version, directory_revision)
            self._pull_task = asyncio.get_running_loop().create_task(pull)

    def close(self) -> None:
        """Close the connection to the platform."""
        self._client.close()

    async def _read_all(self) -> None:
        if self._settle_ms() <= 0:
            self._restored_ms = None
        records = await published.read_all(self._client)
        self._note_success()
        self._apply(records, is_snapshot=True, was_stale=self._was_stale())

    async def _watch(self) -> None:
        after = self._state.directory.revision
        wait_ms = READER_WAIT_MS if self._is_reader() else FOLLOWER_WAIT_MS
        wait_ms = min(wait_ms, self._settle_ms())
        records = await published.read_changes(self._client, after, wait_ms)
        self._note_success()
        self._apply(records, is_snapshot=False, was_stale=self._was_stale())

    def _settle_ms(self) -> float:
        """Return the time until all records of a restored store are to be read again.

        It is infinite if the store wasn't restored.
        """
        if self._restored_ms is None:
            return math.inf
        return self._restored_ms + RESTORE_SETTLE_MS - self._clock()

    def _is_reader(self) -> bool:
        """Return whether this entry is one that sends short watch requests."""
        host = self._state.host
        names = [
            peer.heartbeat.name
            for peer in self._peers.alive()
            if peer.heartbeat.domain == host.domain
        ]
        return host.name in sorted([*names, host.name])[:READERS_PER_DOMAIN]

    def _is_behind(self, table_version: int, directory_revision: Revision) -> bool:
        table = self._state.table
        version = 0 if table is None else table.version
        revision = self._state.directory.revision
        return table_version > version or directory_revision > revision

    async def _pull(self, ip: str, version: int, revision: Revision) -> None:
        try:
            await asyncio.sleep(PULL_DELAY_MS / 1000)
            if not self._is_behind(version, revision):
                return
            async with asyncio.timeout(PULL_TIMEOUT_MS / 1000):
                address = Address(ip, self._state.host.peer_port)
                self._apply_snapshot(await _fetch_snapshot(address))
        except (UpstreamError, TimeoutError, ValueError, TypeError) as error:
            events.emit(
                log, events.PLATFORM_READ_FAILED, peer=ip, why=str(error) or "timeout"
            )
        finally:
            self._pull_task = None

    def _apply_snapshot(self, data: bytes) -> None:
        numbers, rows = msgpack.unpackb(data)
        revision = Revision(*numbers)
        records = published.from_lists(revision, rows)
        self._apply(records, is_snapshot=revision > FIRST, was_stale=False)

    def _apply(
        self, records: published.PublishedRecords, *, is_snapshot: bool, was_stale: bool
    ) -> None:
        now_ms = self._clock()
        if records.configuration is not None:
            self._apply_table(now_ms, records.configuration)
        directory = self._state.directory
        if records.revision.era < directory.revision.era:
            # A peer hasn't noticed yet that the store was restored.
            return
        changes = [self._parse_change(item) for item in records.servers]
        if is_snapshot and self._is_restored(records.revision):
            self._note_restored(now_ms, records.revision)
            directory.restore(now_ms, changes, records.revision)
        elif is_snapshot:
            directory.replace(now_ms, changes, records.revision, was_stale)
        else:
            for change in changes:
                self._apply_change(now_ms, change, was_stale)
            directory.revision = max(directory.revision, records.revision)
            directory.updated_ms = now_ms
        if changes:
            events.emit(
                log,
                events.ENDPOINT_LISTED,
                revision=str(records.revision),
                changed=len(changes),
                endpoints=len(directory.endpoints),
                draining=sum(e.is_draining for e in directory.endpoints.values()),
                was_cut=was_stale,
            )
        if changes or records.configuration is not None:
            self._on_change()

    def _is_restored(self, revision: Revision) -> bool:
        directory = self._state.directory
        is_informed = directory.updated_ms is not None
        return is_informed and revision.era > directory.revision.era

    def _note_restored(self, now_ms: float, revision: Revision) -> None:
        self._restored_ms = now_ms
        known = self._state.directory.revision
        events.emit(
            log, events.STORE_RESTORED, known=str(known), revision=str(revision)
        )

    def _apply_change(
        self, now_ms: float, change: EndpointChange, was_stale: bool
    ) -> None:
        directory = self._state.directory
        is_removed = change.endpoint is None
        if is_removed and was_stale and change.id in directory.endpoints:
            if change.revision > directory.revisions.get(change.id, FIRST):
                directory.missing_since_ms.setdefault(change.id, now_ms)
            return
        directory.apply(now_ms, change)

    def _apply_table(self, now_ms: float, item: Item) -> None:
        known = self._configuration
        if known is not None and item.revision <= known.revision:
            return
        try:
            table = published.table_of(item)
        except InputError as error:
            events.emit(
                log, events.TABLE_REFUSED, revision=str(item.revision), why=str(error)
            )
            return
        before = self._state.table
        if before is not None and not self._is_newer(table, item):
            return
        self._configuration = item
        self._state.table = table
        self._state.table_applied_ms = now_ms
        events.emit(
            log,
            events.TABLE_IN_FORCE,
            version=table.version,
            before=None if before is None else before.version,
            revision=str(item.revision),
            routes=len(table.routes),
            keys=len(table.team_by_key),
        )

    def _is_newer(self, table: RoutingTable, item: Item) -> bool:
        """Return whether a table replaces the one in force.

        Its version must be higher. A restored store may also hold another table of the
        same version, which the operator published in place of the lost one.
        """
        known, before = self._configuration, self._state.table
        if known is None or before is None or table.version > before.version:
            return True
        is_later_era = item.revision.era > known.revision.era
        return table.version == before.version and is_later_era

    def _parse_change(self, item: Item) -> EndpointChange:
        try:
            change = published.change_of(item)
        except InputError as error:
            events.emit(log, events.ENTRY_REFUSED, key=item.key, why=str(error))
            return published.removal_of(item)
        self._server_items[change.id] = item
        return change

    def _was_stale(self) -> bool:
        failed_ms = self._failed_ms
        return (
            failed_ms is not None and self._clock() - failed_ms < STALE_AFTER_FAILURE_MS
        )

    def _note_success(self) -> None:
        self._metrics.platform_calls.inc({"outcome": "answered"})
        if self._is_disconnected:
            self._is_disconnected = False
            events.emit(log, events.PLATFORM_REGAINED)

    def _note_failure(self, why: str) -> None:
        self._metrics.platform_calls.inc({"outcome": "failed"})
        self._failed_ms = self._clock()
        if not self._is_disconnected:
            self._is_disconnected = True
            events.emit(log, events.PLATFORM_READ_FAILED, why=why)


async def _fetch_snapshot(address: Address) -> bytes:
    async with temporary_connection(
        address.ip, address.port, PULL_TIMEOUT_MS / 1000
    ) as connection:
        host = (b"host", str(address).encode())
        connection.send(Request(b"GET", SNAPSHOT_PATH, [host], b""))
        head = await connection.head()
        body = await read_body(connection, MAX_SNAPSHOT_BYTES)
        if head.status != 200:
            raise UpstreamError(f"the peer answered {head.status}", sent=True)
        return body
