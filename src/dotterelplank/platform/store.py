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
from ..gateway.revisions import Revision
from ..http1.bodies import read_body
from ..http1.client import EndpointConnection, connect
from ..http1.messages import Headers, header
from ..http1.responses import Request

CONNECT_TIMEOUT_MS: t.Final = 1_000.0
CALL_TIMEOUT_MS: t.Final = 2_000.0
WATCH_MARGIN_MS: t.Final = 1_000.0
"""Time beyond a watch's own wait time after which it times out."""
MAX_RESPONSE_BYTES: t.Final = 16 * 1024 * 1024

_ITEM_PATH = "/v1/kv-key"
_RANGE_PATH = "/v1/kv-range"
_WATCH_PATH = "/v1/kv-watch"
# Rises by one each time that the store is restored from an older copy.
_ERA = b"store-era"
_GONE = 410
_NOT_FOUND = 404


class HistoryGoneError(UpstreamError):
    """The store no longer has the requested changes; all items must be read again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """The value of a key since ``revision``; a value of None means it was removed."""

    key: str
    revision: Revision
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Items and the revision of the store at the time of its response."""

    items: tuple[Item, ...]
    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    era: int
    body: dict[str, t.Any]

    @property
    def revision(self) -> Revision:
        """The store's revision at the time of the response.

        :raises UpstreamError: if the response doesn't tell it.
        """
        try:
            return Revision(self.era, int(self.body["current_rev"]))
        except (KeyError, TypeError, ValueError) as error:
            raise UpstreamError(f"no valid revision: {error}", sent=True) from error


class StoreClient:
    """A client of the store with a persistent connection and one call at a time.

    :param address: returns the store's address, which may change between calls.
    """

    def __init__(self, address: t.Callable[[], Address]) -> None:
        self._address = address
        self._connection: EndpointConnection | None = None
        self._connected_to: Address | None = None
        self.calls = 0

    async def item(self, key: str) -> ReadResult:
        """Return the item under ``key``, or a result without items if there is none.

        :raises UpstreamError: if the store can't be read.
        """
        response = await self._get(_ITEM_PATH, CALL_TIMEOUT_MS, key=key)
        if response.status == _NOT_FOUND:
            return ReadResult((), response.revision)
        return ReadResult((_item(response.era, response.body),), response.revision)

    async def range(self, prefix: str, *, may_be_stale: bool = False) -> ReadResult:
        """Return all items whose keys begin with ``prefix``.

        The store returns the items in pages that aren't a consistent snapshot. The
        returned revision is that of the first page, so the caller must still apply all
        changes after it.

        :param may_be_stale: whether the items may be seconds old, which is cheaper.
        :raises UpstreamError: if the store can't be read.
        """
        items: list[Item] = []
        revision: Revision | None = None
        query = {"prefix": prefix}
        if may_be_stale:
            query["stale_ok"] = "1"
        while True:
            response = await self._get(_RANGE_PATH, CALL_TIMEOUT_MS, **query)
            body = response.body
            items.extend(_item(response.era, result) for result in body["items"])
            if revision is None:
                revision = response.revision
            elif response.era != revision.era:
                raise UpstreamError("the store was restored between two pages", True)
            if not body["has_more"] or not body["items"]:
                return ReadResult(tuple(items), revision)
            query["after"] = items[-1].key

    async def watch(self, prefix: str, after: Revision, wait_ms: float) -> ReadResult:
        """Return the items changed after a revision, waiting at most ``wait_ms``.

        The result has no items if nothing changed in that time.

        :param after: the revision.
        :raises HistoryGoneError: if the store no longer has these changes, or was
            restored from an older copy.
        :raises UpstreamError: if the store can't be read.
        """
        response = await self._get(
            _WATCH_PATH,
            wait_ms + WATCH_MARGIN_MS,
            prefix=prefix,
            after=str(after.number),
            wait_ms=str(int(wait_ms)),
        )
        if response.era != after.era:
            raise HistoryGoneError("the store was restored from an older copy", True)
        items = tuple(_item(after.era, result) for result in response.body["events"])
        highest = max((item.revision for item in items), default=after)
        return ReadResult(items, max(highest, response.revision))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _get(self, path: str, timeout_ms: float, **query: str) -> _Response:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                status, headers, body = await self._call(target.encode())
                era = int(header(headers, _ERA) or 0)
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
            raise HistoryGoneError("the store no longer has the changes", sent=True)
        is_missing = status == _NOT_FOUND and path == _ITEM_PATH
        if not isinstance(result, dict) or (status != 200 and not is_missing):
            raise UpstreamError(f"status {status}", sent=True)
        return _Response(status, era, result)

    async def _call(self, target: bytes) -> tuple[int, Headers, bytes]:
        connection, address = self._connection, self._address()
        is_moved = address != self._connected_to
        if connection is None or is_moved or not connection.is_usable:
            self.close()
            connection = await connect(
                address.ip, address.port, CONNECT_TIMEOUT_MS / 1000
            )
            self._connection, self._connected_to = connection, address
        host = (b"host", str(address).encode())
        connection.send(Request(b"GET", target, [host], b""))
        head = await connection.head()
        body = await read_body(connection, MAX_RESPONSE_BYTES)
        return head.status, head.headers, body


def _item(era: int, result: t.Any) -> Item:
    """Decode an item; a value that can't be decoded is replaced by empty bytes.

    :raises UpstreamError: if the item has no key or no revision.
    """
    try:
        key, revision = str(result["key"]), Revision(era, int(result["revision"]))
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
