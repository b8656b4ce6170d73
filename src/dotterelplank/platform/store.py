"""The client of the platform's metadata store: items, ranges and watches."""

import asyncio
import base64
import binascii
import dataclasses
import json
import typing as t
import urllib.parse

from ..errors import UpstreamError
from ..gateway.host import Address
from ..http1.client import EndpointConnection, Request, connect, read_body

CONNECT_TIMEOUT_MS: t.Final = 1_000.0
CALL_TIMEOUT_MS: t.Final = 2_000.0
WATCH_MARGIN_MS: t.Final = 1_000.0
"""How much later than asked for a watch may answer before it is taken for lost."""
MAX_RESPONSE_BYTES: t.Final = 16 * 1024 * 1024

_ITEM_PATH = "/v1/kv-key"
_RANGE_PATH = "/v1/kv-range"
_WATCH_PATH = "/v1/kv-watch"
_GONE = 410
_NOT_FOUND = 404


class HistoryGoneError(UpstreamError):
    """The store no longer has the changes that were asked for; read anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """What is stored under a key since ``revision``; no value: it was removed."""

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Items, and the store's revision when it answered."""

    items: tuple[Item, ...]
    revision: int


class StoreClient:
    """Reads the store, one call at a time, over a kept connection."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: EndpointConnection | None = None
        self.calls = 0

    async def item(self, key: str) -> ReadResult:
        """Return the item under ``key``; none if there is none.

        :raises UpstreamError: if the store can't be read.
        """
        status, body = await self._get(_ITEM_PATH, CALL_TIMEOUT_MS, key=key)
        if status == _NOT_FOUND:
            return ReadResult((), int(body.get("current_rev", 0)))
        return ReadResult((_item(body),), int(body["current_rev"]))

    async def range(self, prefix: str, *, may_be_stale: bool = False) -> ReadResult:
        """Return all items whose keys begin with ``prefix``.

        The pages aren't a snapshot; changes after the revision that is returned are
        yet to be taken in.

        :param may_be_stale: whether an answer may be seconds old, which costs less.
        :raises UpstreamError: if the store can't be read.
        """
        items: list[Item] = []
        revision: int | None = None
        query = {"prefix": prefix}
        if may_be_stale:
            query["stale_ok"] = "1"
        while True:
            _, body = await self._get(_RANGE_PATH, CALL_TIMEOUT_MS, **query)
            items.extend(_item(result) for result in body["items"])
            if revision is None:
                revision = int(body["current_rev"])
            if not body["has_more"] or not body["items"]:
                return ReadResult(tuple(items), revision)
            query["after"] = items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: float) -> ReadResult:
        """Return what changed after a revision, at the latest after ``wait_ms``.

        :raises HistoryGoneError: if these changes are no longer known.
        :raises UpstreamError: if the store can't be read.
        """
        _, body = await self._get(
            _WATCH_PATH,
            wait_ms + WATCH_MARGIN_MS,
            prefix=prefix,
            after=str(after),
            wait_ms=str(int(wait_ms)),
        )
        items = tuple(_item(result) for result in body["events"])
        highest = max((item.revision for item in items), default=after)
        return ReadResult(items, max(highest, int(body["current_rev"])))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _get(
        self, path: str, timeout_ms: float, **query: str
    ) -> tuple[int, dict[str, t.Any]]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                status, body = await self._call(target.encode())
                result = json.loads(body)
        except TimeoutError as error:
            self.close()
            raise UpstreamError(f"no answer in {timeout_ms:.0f} ms", True) from error
        except (UpstreamError, ValueError, asyncio.CancelledError) as error:
            self.close()
            if isinstance(error, ValueError):
                raise UpstreamError(f"unreadable: {error}", sent=True) from error
            raise
        if status == _GONE:
            raise HistoryGoneError("the history is gone", sent=True)
        is_missing = status == _NOT_FOUND and path == _ITEM_PATH
        if not isinstance(result, dict) or (status != 200 and not is_missing):
            raise UpstreamError(f"status {status}", sent=True)
        return status, result

    async def _call(self, target: bytes) -> tuple[int, bytes]:
        connection = self._connection
        if connection is None or not connection.is_usable:
            self.close()
            store_address = self._address
            connection = await connect(
                store_address.ip, store_address.port, CONNECT_TIMEOUT_MS / 1000
            )
            self._connection = connection
        host = (b"host", str(self._address).encode())
        connection.send(Request(b"GET", target, [host], b""))
        head = await connection.head()
        return head.status, await read_body(connection, MAX_RESPONSE_BYTES)


def _item(result: t.Any) -> Item:
    """Decode an item; a key whose value can't be decoded is kept with bad bytes.

    :raises UpstreamError: if the answer isn't one of the store's.
    """
    try:
        key, revision = str(result["key"]), int(result["revision"])
    except (KeyError, TypeError, ValueError) as error:
        raise UpstreamError(
            f"an item without key or revision: {error}", True
        ) from error
    if result.get("tombstone"):
        return Item(key, revision, None)
    try:
        value = base64.b64decode(result["value"], validate=True)
    except (KeyError, TypeError, binascii.Error):
        value = b""
    return Item(key, revision, value)
