"""What the operators and the servers publish in the platform's store."""

import dataclasses
import typing as t

from ..errors import InputError
from ..gateway.directory import EndpointChange
from ..gateway.tables import RoutingTable
from . import records
from .store import Item, ReadResult, StoreClient


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedRecords:
    """Published texts as they stand at ``revision``.

    :param configuration: the routing table's text, if it is among them.
    :param servers: entries of the list of endpoints.
    """

    configuration: Item | None
    servers: tuple[Item, ...]
    revision: int


async def read_all(
    client: StoreClient, *, may_be_stale: bool = False
) -> PublishedRecords:
    """Read all that is published.

    :param may_be_stale: whether it may be as it stood seconds ago.
    :raises UpstreamError: if the store can't be read.
    """
    result = await client.range(records.ALL_KEYS_PREFIX, may_be_stale=may_be_stale)
    return _group_by_kind(result)


async def read_changes(
    client: StoreClient, after: int, wait_ms: float
) -> PublishedRecords:
    """Wait for what is published after a revision.

    :raises HistoryGoneError: if these changes are no longer known.
    :raises UpstreamError: if the store can't be read.
    """
    return _group_by_kind(await client.watch(records.ALL_KEYS_PREFIX, after, wait_ms))


def table_of(item: Item) -> RoutingTable:
    """Return the routing table in a published text.

    :raises InputError: if it is to be refused as a whole.
    """
    if item.value is None:
        raise InputError("configuration", "nothing", "a text")
    return records.parse_configuration(item.value)


def change_of(item: Item) -> EndpointChange:
    """Return the change of the list of endpoints that an entry stands for.

    :raises InputError: if the entry names no endpoint.
    """
    if item.value is None:
        return EndpointChange(records.server_id(item.key), item.revision, None)
    return records.parse_server(item.key, item.revision, item.value)


def removal_of(item: Item) -> EndpointChange:
    """Return the change by which an entry names no endpoint any more."""
    return EndpointChange(records.server_id(item.key), item.revision, None)


def as_lists(items: t.Iterable[Item]) -> list[list[t.Any]]:
    """Return items in a form that can be packed."""
    return [[item.key, item.revision, item.value] for item in items]


def from_lists(revision: int, rows: t.Iterable[t.Sequence[t.Any]]) -> PublishedRecords:
    """Return what a peer passed on."""
    items = tuple(Item(str(key), int(number), value) for key, number, value in rows)
    return _group_by_kind(ReadResult(items, revision))


def _group_by_kind(result: ReadResult) -> PublishedRecords:
    configuration = None
    servers = []
    for item in result.items:
        if item.key == records.CONFIGURATION_KEY:
            configuration = item
        elif item.key.startswith(records.SERVERS_PREFIX):
            servers.append(item)
    return PublishedRecords(configuration, tuple(servers), result.revision)
