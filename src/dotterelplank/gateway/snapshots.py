"""Snapshots of what an entry has read, which its peers fetch from it."""

import dataclasses
import typing as t
import zlib

import msgpack

from ..compression import inflate
from ..errors import UpstreamError
from ..http1.bodies import read_body
from ..http1.client import temporary_connection
from ..http1.responses import Request
from ..platform import published
from ..platform.store import Item
from .host import Address
from .revisions import FIRST, Revision

SNAPSHOT_PATH: t.Final = b"/copy"
FETCH_TIMEOUT_MS: t.Final = 1_000.0
MAX_SNAPSHOT_BYTES: t.Final = 32 * 1024 * 1024
"""Largest snapshot, before compression."""
COMPRESSION_LEVEL: t.Final = 1


class TableOrder(t.NamedTuple):
    """The order of routing tables; a later one compares as greater.

    Versions only rise. A restored store may hold another table of the same version,
    which the operator published in place of the lost one.

    :param era: era of the store at which the table was published.
    """

    version: int
    era: int


NO_TABLE: t.Final = TableOrder(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRecords:
    """What the entry that fetches a snapshot knows already."""

    table: TableOrder
    revision: Revision


NOTHING_KNOWN: t.Final = KnownRecords(NO_TABLE, FIRST)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration and the list of endpoints of an entry.

    :param is_delta: whether only what the peer lacks is included.
    :param was_stale: whether the entry couldn't read the store shortly before.
    """

    records: published.PublishedRecords
    is_delta: bool
    was_stale: bool


def encode(
    revision: Revision, items: t.Iterable[Item], *, is_delta: bool, was_stale: bool
) -> bytes:
    """Return a snapshot at ``revision``, encoded for a peer."""
    values = [revision, is_delta, was_stale, published.as_lists(items)]
    return zlib.compress(msgpack.packb(values), COMPRESSION_LEVEL)


def decode(data: bytes) -> Snapshot:
    """Return the snapshot that a peer has encoded.

    :raises ValueError: if it is invalid or too large.
    :raises TypeError: if a value in it has another type.
    """
    numbers, is_delta, was_stale, rows = msgpack.unpackb(
        inflate(data, MAX_SNAPSHOT_BYTES)
    )
    records = published.from_lists(Revision(*numbers), rows)
    return Snapshot(records, bool(is_delta), bool(was_stale))


def parse_known(query: bytes) -> KnownRecords:
    """Return what the query of a request tells; nothing if it is invalid."""
    try:
        version, table_era, era, number = map(int, query.split(b","))
    except ValueError:
        return NOTHING_KNOWN
    return KnownRecords(TableOrder(version, table_era), Revision(era, number))


async def fetch(address: Address, known: KnownRecords) -> bytes:
    """Return a peer's snapshot, without what is ``known``.

    :raises UpstreamError: if the peer can't be reached or refuses.
    """
    query = b"%d,%d,%d,%d" % (*known.table, *known.revision)
    async with temporary_connection(
        address.ip, address.port, FETCH_TIMEOUT_MS / 1000
    ) as connection:
        host = (b"host", str(address).encode())
        target = SNAPSHOT_PATH + b"?" + query
        connection.send(Request(b"GET", target, [host], b""))
        head = await connection.head()
        body = await read_body(connection, MAX_SNAPSHOT_BYTES)
        if head.status != 200:
            raise UpstreamError(f"the peer answered {head.status}", sent=True)
        return body
