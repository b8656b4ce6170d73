"""Follows what is published, from the platform or from a peer that knows more."""

import asyncio
import logging
import random
import typing as t

import msgpack

from .. import events
from ..errors import InputError, UpstreamError
from ..http1.client import Request, one_call, read_whole
from ..platform import published
from ..platform.store import HistoryGoneError, Item, StoreClient
from .board import Board
from .directory import Change
from .host import Address
from .metrics import EntryMetrics
from .peers import Peers

log = logging.getLogger(__name__)

READER_WAIT_MS: t.Final = 2_000.0
"""How long a watch of a reader waits: a silent one is noticed soon after."""
FOLLOWER_WAIT_MS: t.Final = 12_000.0
READERS_PER_DOMAIN: t.Final = 2
FIRST_PAUSE_MS: t.Final = 150.0
LONGEST_PAUSE_MS: t.Final = 1_000.0
CUT_MS: t.Final = 3_000.0
"""How long after a failed read removals are taken for lapses that may mend."""
PULL_DELAY_MS: t.Final = 250.0
"""Time in which most entries hear the same from the platform."""
PULL_TIMEOUT_MS: t.Final = 500.0
COPY_PATH: t.Final = b"/copy"
COPY_BOUND_BYTES: t.Final = 32 * 1024 * 1024


class Feed:
    """Keeps the routing table and the list of endpoints up to date.

    :param on_change: called after anything changed.
    """

    def __init__(
        self,
        board: Board,
        peers: Peers,
        clock: t.Callable[[], float],
        metrics: EntryMetrics,
        on_change: t.Callable[[], None],
    ) -> None:
        self._board = board
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._client = StoreClient(board.host.store)
        self._texts: dict[str, Item] = {}
        self._configuration: Item | None = None
        self._failed_ms: float | None = None
        self._is_lost = False
        self._puller: asyncio.Task[None] | None = None

    async def follow(self) -> None:
        """Read and watch the platform until cancelled."""
        pause_ms = FIRST_PAUSE_MS
        is_whole = False
        while True:
            try:
                if is_whole:
                    await self._watch()
                else:
                    await self._read_all()
                    is_whole = True
                pause_ms = FIRST_PAUSE_MS
            except HistoryGoneError as error:
                self._note_failure(str(error))
                is_whole = False
            except UpstreamError as error:
                self._note_failure(str(error))
                spread = random.uniform(0.5, 1.0)
                await asyncio.sleep(pause_ms * spread / 1000)
                pause_ms = min(pause_ms * 2, LONGEST_PAUSE_MS)

    def copy(self) -> bytes:
        """Return all that is known, for a peer that knows less."""
        texts = [
            item
            for name, item in self._texts.items()
            if name in self._board.directory.endpoints
        ]
        if self._configuration is not None:
            texts.append(self._configuration)
        revision = self._board.directory.revision
        return msgpack.packb([revision, published.as_lists(texts)])

    def hear(self, ip: str, table_version: int, directory_revision: int) -> None:
        """Take in how new a peer's knowledge is; ask it if it knows more."""
        if self._is_behind(table_version, directory_revision) and self._puller is None:
            pull = self._pull(ip, table_version, directory_revision)
            self._puller = asyncio.get_running_loop().create_task(pull)

    def close(self) -> None:
        """Close the connection to the platform."""
        self._client.close()

    async def _read_all(self) -> None:
        found = await published.read_all(self._client)
        self._note_success()
        self._take(found, is_whole=True, was_cut=self._was_cut())

    async def _watch(self) -> None:
        after = self._board.directory.revision
        wait_ms = READER_WAIT_MS if self._is_reader() else FOLLOWER_WAIT_MS
        found = await published.read_changes(self._client, after, wait_ms)
        self._note_success()
        self._take(found, is_whole=False, was_cut=self._was_cut())

    def _is_reader(self) -> bool:
        """Return whether this entry is one of those that look often."""
        host = self._board.host
        names = [
            peer.heartbeat.name
            for peer in self._peers.counted()
            if peer.heartbeat.domain == host.domain
        ]
        return host.name in sorted([*names, host.name])[:READERS_PER_DOMAIN]

    def _is_behind(self, table_version: int, directory_revision: int) -> bool:
        table = self._board.table
        version = 0 if table is None else table.version
        revision = self._board.directory.revision
        return table_version > version or directory_revision > revision

    async def _pull(self, ip: str, version: int, revision: int) -> None:
        try:
            await asyncio.sleep(PULL_DELAY_MS / 1000)
            if not self._is_behind(version, revision):
                return
            async with asyncio.timeout(PULL_TIMEOUT_MS / 1000):
                place = Address(ip, self._board.host.peer_port)
                self._take_copy(await _fetch_copy(place))
        except (UpstreamError, TimeoutError, ValueError, TypeError) as error:
            events.emit(
                log, events.PLATFORM_READ_FAILED, peer=ip, why=str(error) or "timeout"
            )
        finally:
            self._puller = None

    def _take_copy(self, data: bytes) -> None:
        revision, rows = msgpack.unpackb(data)
        found = published.from_lists(int(revision), rows)
        self._take(found, is_whole=revision > 0, was_cut=False)

    def _take(
        self, found: published.Published, *, is_whole: bool, was_cut: bool
    ) -> None:
        now_ms = self._clock()
        if found.configuration is not None:
            self._take_table(now_ms, found.configuration)
        changes = [self._change(item) for item in found.servers]
        directory = self._board.directory
        if is_whole:
            directory.replace(now_ms, changes, found.revision, was_cut)
        else:
            for change in changes:
                self._take_change(now_ms, change, was_cut)
            directory.revision = max(directory.revision, found.revision)
            directory.read_ms = now_ms
        if changes:
            events.emit(
                log,
                events.ENDPOINT_LISTED,
                revision=found.revision,
                changed=len(changes),
                endpoints=len(directory.endpoints),
                draining=sum(e.is_draining for e in directory.endpoints.values()),
                was_cut=was_cut,
            )
        if changes or found.configuration is not None:
            self._on_change()

    def _take_change(self, now_ms: float, change: Change, was_cut: bool) -> None:
        directory = self._board.directory
        is_removed = change.endpoint is None
        if is_removed and was_cut and change.id in directory.endpoints:
            if change.revision > directory.revisions.get(change.id, 0):
                directory.lapsed_ms.setdefault(change.id, now_ms)
            return
        directory.apply(now_ms, change)

    def _take_table(self, now_ms: float, item: Item) -> None:
        known = self._configuration
        if known is not None and item.revision <= known.revision:
            return
        try:
            table = published.table_of(item)
        except InputError as error:
            events.emit(
                log, events.TABLE_REFUSED, revision=item.revision, why=str(error)
            )
            return
        before = self._board.table
        if before is not None and table.version <= before.version:
            return
        self._configuration = item
        self._board.table = table
        self._board.table_ms = now_ms
        events.emit(
            log,
            events.TABLE_IN_FORCE,
            version=table.version,
            before=None if before is None else before.version,
            revision=item.revision,
            routes=len(table.routes),
            keys=len(table.team_by_key),
        )

    def _change(self, item: Item) -> Change:
        try:
            change = published.change_of(item)
        except InputError as error:
            events.emit(log, events.ENTRY_REFUSED, key=item.key, why=str(error))
            return published.removal_of(item)
        self._texts[change.id] = item
        return change

    def _was_cut(self) -> bool:
        failed_ms = self._failed_ms
        return failed_ms is not None and self._clock() - failed_ms < CUT_MS

    def _note_success(self) -> None:
        self._metrics.platform_calls.inc({"outcome": "answered"})
        if self._is_lost:
            self._is_lost = False
            events.emit(log, events.PLATFORM_REGAINED)

    def _note_failure(self, why: str) -> None:
        self._metrics.platform_calls.inc({"outcome": "failed"})
        self._failed_ms = self._clock()
        if not self._is_lost:
            self._is_lost = True
            events.emit(log, events.PLATFORM_READ_FAILED, why=why)


async def _fetch_copy(place: Address) -> bytes:
    async with one_call(place.ip, place.port, PULL_TIMEOUT_MS / 1000) as connection:
        host = (b"host", str(place).encode())
        connection.send(Request(b"GET", COPY_PATH, [host], b""))
        head = await connection.head()
        body = await read_whole(connection, COPY_BOUND_BYTES)
        if head.status != 200:
            raise UpstreamError(f"the peer answered {head.status}", sent=True)
        return body
