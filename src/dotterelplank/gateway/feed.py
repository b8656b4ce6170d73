"""Keeps the published configuration and list of endpoints up to date.

A few entries of each failure domain, the readers, watch the platform's store. The other
entries fetch what has changed from a peer that has newer revisions. An entry whose
knowledge gets old, as the readers get no answers, asks the store itself.
"""

import asyncio
import logging
import math
import random
import typing as t

from .. import events
from ..errors import InputError, UpstreamError
from ..platform import published
from ..platform.store import HistoryGoneError, Item, StoreClient
from . import snapshots
from .directory import EndpointChange
from .freshness import Freshness, read_times
from .host import Address
from .metrics import EntryMetrics
from .peers import Heartbeat, Peers
from .revisions import FIRST, Revision
from .state import EntryState

log = logging.getLogger(__name__)

CHECK_WAIT_MS: t.Final = 1.0
"""How long the store waits for changes if an entry asks once for what is new."""
CHECK_JITTER_MS: t.Final = 100.0
"""Longest random delay before an entry asks, as a peer may tell it meanwhile."""
READERS_PER_DOMAIN: t.Final = 2
"""Number of entries in each failure domain that watch the store."""
ROLE_CHECK_MS: t.Final = 100.0
"""Time between two checks of an entry whether it is to read the store."""
MIN_BACKOFF_MS: t.Final = 150.0
MAX_BACKOFF_MS: t.Final = 1_000.0
STALE_AFTER_FAILURE_MS: t.Final = 3_000.0
"""Time after a failed read in which removed endpoints are given a grace period."""
PULL_DELAY_MS: t.Final = 250.0
"""Time within which most changes arrive from the store, or from the own domain.

They are fetched from another peer only if they are still missing after it.
"""
DOMAIN_PULL_DELAY_RANGE_MS: t.Final = (25.0, 100.0)
"""Time after which an entry that isn't a reader fetches changes from its own domain.

Changes often come in bursts, which are fetched together. The time is drawn at random,
so that some entries can fetch them from others that were earlier.
"""
RESTORE_SETTLE_MS: t.Final = 5_000.0
"""Time after which servers have written their records to a restored store again."""


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
        self._client = StoreClient(lambda: state.host.store)
        self._server_items: dict[str, Item] = {}
        self._configuration: Item | None = None
        self._freshness = Freshness()
        self._failed_ms: float | None = None
        self._is_disconnected = False
        self._restored_ms: float | None = None
        self._complete_since: Revision | None = None
        self._pull_task: asyncio.Task[None] | None = None

    async def follow(self) -> None:
        """Read the platform's store and watch it for changes, until cancelled."""
        backoff_ms = MIN_BACKOFF_MS
        is_synced = False
        while True:
            try:
                if not is_synced or self._settle_ms() <= 0:
                    await self._read_all()
                    is_synced = True
                elif self._is_reader():
                    await self._watch(read_times(self._state.host.bounds).watch_ms)
                elif self._is_stale():
                    await self._check()
                else:
                    await asyncio.sleep(ROLE_CHECK_MS / 1000)
                backoff_ms = MIN_BACKOFF_MS
            except UpstreamError as error:
                self._note_failure(str(error))
                if isinstance(error, HistoryGoneError):
                    # The store answers again, so earlier failures don't count.
                    is_synced, backoff_ms = False, MIN_BACKOFF_MS
                jitter = random.uniform(0.5, 1.0)
                await asyncio.sleep(backoff_ms * jitter / 1000)
                backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)

    @property
    def is_reading(self) -> bool:
        """Whether this entry watches the store, and the store answers."""
        if self._is_disconnected or not self._is_reader():
            return False
        return self._freshness.silent_ms(self._clock()) < self._max_age_ms()

    def age_ms(self, now_ms: float) -> int:
        """Return the age of what is known of the store; -1 if nothing is."""
        age_ms = self._freshness.age_ms(now_ms)
        return -1 if math.isinf(age_ms) else round(age_ms)

    def snapshot(self, known: snapshots.KnownRecords) -> bytes:
        """Return the configuration and the list of endpoints, encoded for a peer.

        The configuration is left out if the peer knows it, and so are endpoints that
        haven't changed since the revision that the peer knows.
        """
        directory = self._state.directory
        is_delta = self._can_send_delta(known.revision)
        since = known.revision if is_delta else FIRST
        items = [
            self._server_items[name]
            for name, revision in directory.revisions.items()
            if revision > since and name in directory.endpoints
        ]
        if is_delta:
            items += self._removals(since)
        if self._configuration is not None and self._table_order() > known.table:
            items.append(self._configuration)
        return snapshots.encode(
            directory.revision, items, is_delta=is_delta, was_stale=self._was_stale()
        )

    def on_heartbeat(self, now_ms: float, heartbeat: Heartbeat) -> None:
        """Fetch a peer's snapshot if the peer has a newer table or list."""
        if not self._is_behind(heartbeat.table_version, heartbeat.directory_revision):
            self._note_up_to_date(now_ms, heartbeat)
        elif self._pull_task is None:
            pull = self._pull(now_ms, heartbeat, self._pull_delay_ms(heartbeat))
            self._pull_task = asyncio.get_running_loop().create_task(pull)

    def close(self) -> None:
        """Close the connection to the platform."""
        self._client.close()

    async def _read_all(self) -> None:
        began_ms = self._clock()
        self._freshness.record_request(began_ms)
        records = await published.read_all(self._client)
        self._note_success(began_ms)
        if self._settle_ms() <= 0:
            self._restored_ms = None
        self._apply(records, is_snapshot=True, was_stale=self._was_stale())
        self._note_complete()

    async def _watch(self, wait_ms: float) -> None:
        after = self._state.directory.revision
        wait_ms = min(wait_ms, self._settle_ms())
        self._freshness.record_request(self._clock())
        records = await published.read_changes(self._client, after, wait_ms)
        self._note_success(self._clock())
        self._apply(records, is_snapshot=False, was_stale=self._was_stale())

    async def _check(self) -> None:
        """Ask the store once for changes, unless a peer tells of them meanwhile."""
        await asyncio.sleep(random.uniform(0, CHECK_JITTER_MS) / 1000)
        if self._is_stale():
            # A connection that wasn't used for long may have become unresponsive.
            self._client.close()
            await self._watch(CHECK_WAIT_MS)

    def _is_stale(self) -> bool:
        """Return whether what is known here of the store is too old."""
        return self._freshness.age_ms(self._clock()) >= self._max_age_ms()

    def _max_age_ms(self) -> float:
        return read_times(self._state.host.bounds).max_age_ms

    def _settle_ms(self) -> float:
        """Return the time until all records of a restored store are to be read again.

        It is infinite if the store wasn't restored.
        """
        if self._restored_ms is None:
            return math.inf
        return self._restored_ms + RESTORE_SETTLE_MS - self._clock()

    def _is_reader(self) -> bool:
        """Return whether this entry is to watch the store.

        These are the first entries of a domain that are alive and get answers from the
        store, and any entry that would be among them if it got answers.
        """
        host = self._state.host
        names = [
            peer.heartbeat.name
            for peer in self._peers.alive()
            if peer.heartbeat.domain == host.domain and peer.heartbeat.is_reading
        ]
        return host.name in sorted([*names, host.name])[:READERS_PER_DOMAIN]

    def _is_behind(self, table_version: int, directory_revision: Revision) -> bool:
        table = self._state.table
        version = 0 if table is None else table.version
        revision = self._state.directory.revision
        return table_version > version or directory_revision > revision

    def _note_up_to_date(self, now_ms: float, heartbeat: Heartbeat) -> None:
        """Record that this entry knows all that a peer knew when it sent a heartbeat.

        :param now_ms: time at which the heartbeat was received.
        """
        if heartbeat.store_age_ms < 0:
            return
        known_ms = now_ms - heartbeat.store_age_ms
        self._freshness.record_known(known_ms)
        directory = self._state.directory
        if directory.updated_ms is not None:
            directory.updated_ms = max(directory.updated_ms, known_ms)

    def _pull_delay_ms(self, heartbeat: Heartbeat) -> float:
        is_near = heartbeat.domain == self._state.host.domain
        if is_near and not self._is_reader():
            return random.uniform(*DOMAIN_PULL_DELAY_RANGE_MS)
        return PULL_DELAY_MS

    async def _pull(
        self, received_ms: float, heartbeat: Heartbeat, delay_ms: float
    ) -> None:
        try:
            await asyncio.sleep(delay_ms / 1000)
            if not self._is_behind(
                heartbeat.table_version, heartbeat.directory_revision
            ):
                return
            async with asyncio.timeout(snapshots.FETCH_TIMEOUT_MS / 1000):
                address = Address(heartbeat.ip, self._state.host.peer_port)
                data = await snapshots.fetch(address, self._known())
            self._apply_snapshot(snapshots.decode(data))
            if not self._is_behind(
                heartbeat.table_version, heartbeat.directory_revision
            ):
                self._note_up_to_date(received_ms, heartbeat)
        except (UpstreamError, TimeoutError, ValueError, TypeError) as error:
            events.emit(
                log,
                events.PLATFORM_READ_FAILED,
                peer=heartbeat.ip,
                why=str(error) or "timeout",
            )
        finally:
            self._pull_task = None

    def _apply_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        records = snapshot.records
        is_complete = records.revision > FIRST and not snapshot.is_delta
        self._apply(records, is_snapshot=is_complete, was_stale=snapshot.was_stale)
        if is_complete:
            self._state.first_read.set()
            self._note_complete()

    def _known(self) -> snapshots.KnownRecords:
        revision = self._state.directory.revision
        return snapshots.KnownRecords(self._table_order(), revision)

    def _table_order(self) -> snapshots.TableOrder:
        """Return the place of the table in force among all tables."""
        table, item = self._state.table, self._configuration
        if table is None or item is None:
            return snapshots.NO_TABLE
        return snapshots.TableOrder(table.version, item.revision.era)

    def _note_complete(self) -> None:
        """Record that all changes after the present revision will be known."""
        if self._complete_since is None:
            self._complete_since = self._state.directory.revision

    def _can_send_delta(self, since: Revision) -> bool:
        """Return whether all changes since a revision are known."""
        if self._complete_since is None or since < self._complete_since:
            return False
        return since.era == self._state.directory.revision.era

    def _removals(self, since: Revision) -> list[Item]:
        """Return the removals since a revision, with those in their grace period."""
        directory = self._state.directory
        removed = {
            name: revision
            for name, revision in directory.revisions.items()
            if revision > since and name not in directory.endpoints
        }
        missing = dict.fromkeys(directory.missing_since_ms, directory.revision)
        return [
            published.removed_item(name, revision)
            for name, revision in {**removed, **missing}.items()
        ]

    def _apply(
        self, records: published.PublishedRecords, *, is_snapshot: bool, was_stale: bool
    ) -> None:
        now_ms = self._clock()
        if records.configuration is not None:
            self._apply_table(now_ms, records.configuration)
        # A peer that hasn't noticed a restore yet has a list of the lower era.
        if records.revision.era >= self._state.directory.revision.era:
            self._apply_servers(now_ms, records, is_snapshot, was_stale)
        if records.servers or records.configuration is not None:
            self._on_change()

    def _apply_servers(
        self,
        now_ms: float,
        records: published.PublishedRecords,
        is_snapshot: bool,
        was_stale: bool,
    ) -> None:
        directory = self._state.directory
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
            self._log_list(records.revision, len(changes), was_stale)

    def _log_list(self, revision: Revision, changed: int, was_stale: bool) -> None:
        endpoints = self._state.directory.endpoints
        events.emit(
            log,
            events.ENDPOINT_LISTED,
            revision=str(revision),
            changed=changed,
            endpoints=len(endpoints),
            draining=sum(one.is_draining for one in endpoints.values()),
            was_cut=was_stale,
        )

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
        order = snapshots.TableOrder(table.version, item.revision.era)
        if before is not None and order <= self._table_order():
            return
        self._configuration = item
        self._state.table = table
        self._state.directory.set_services(table.service_names)
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

    def _note_success(self, known_ms: float) -> None:
        """Record an answer of the store with all that was published before a time."""
        self._freshness.record_answer(known_ms)
        self._metrics.platform_calls.inc({"outcome": "answered"})
        self._state.first_read.set()
        if self._is_disconnected:
            self._is_disconnected = False
            events.emit(log, events.PLATFORM_REGAINED)

    def _note_failure(self, why: str) -> None:
        self._metrics.platform_calls.inc({"outcome": "failed"})
        self._failed_ms = self._clock()
        self._state.first_read.set()
        if not self._is_disconnected:
            self._is_disconnected = True
            events.emit(log, events.PLATFORM_READ_FAILED, why=why)
