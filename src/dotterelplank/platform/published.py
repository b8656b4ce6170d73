"""The records that operators and servers publish in the platform's store."""

import dataclasses
import typing as t

from ..errors import InputError
from ..gateway.directory import EndpointChange
from ..gateway.revisions import Revision
from ..gateway.tables import RoutingTable
from . import records
from .store import Item, ReadResult, StoreClient


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedRecords:
    """Published records at ``revision``.

    :param configuration: the item with the routing table; None if the records don't
        include it.
    :param servers: the items of the list of endpoints.
    """

    configuration: Item | None
    servers: tuple[Item, ...]
    revision: Revision


async def read_all(
    client: StoreClient, *, may_be_stale: bool = False
) -> PublishedRecords:
    """Read all published records.

    :param may_be_stale: whether the records may be seconds old.
    :raises UpstreamError: if the store can't be read.
    """
    result = await client.range(records.ALL_KEYS_PREFIX, may_be_stale=may_be_stale)
    return _group_by_kind(result)


async def read_changes(
    client: StoreClient, after: Revision, wait_ms: float
) -> PublishedRecords:
    """Wait for records that are published after a revision.

    :param after: the revision.
    :param wait_ms: longest time to wait for a change.
    :raises HistoryGoneError: if the store no longer has these changes, or was restored
        from an older copy.
    :raises UpstreamError: if the store can't be read.
    """
    return _group_by_kind(await client.watch(records.ALL_KEYS_PREFIX, after, wait_ms))


def table_of(item: Item) -> RoutingTable:
    """Return the routing table in a published item.

    :raises InputError: if the table is invalid or was removed.
    """
    if item.value is None:
        raise InputError("configuration", "nothing", "a text")
    return records.parse_configuration(item.value)


def change_of(item: Item) -> EndpointChange:
    """Return the change that an item makes to the list of endpoints.

    :raises InputError: if the item has a value that describes no valid endpoint.
    """
    if item.value is None:
        return EndpointChange(records.server_id(item.key), item.revision, None)
    return records.parse_server(item.key, item.revision, item.value)


def removal_of(item: Item) -> EndpointChange:
    """Return the change that removes the endpoint of an item."""
    return EndpointChange(records.server_id(item.key), item.revision, None)


def removed_item(endpoint_id: str, revision: Revision) -> Item:
    """Return the item that removes an endpoint from the list."""
    return Item(records.SERVERS_PREFIX + endpoint_id, revision, None)


def as_lists(items: t.Iterable[Item]) -> list[list[t.Any]]:
    """Return items as lists that can be serialized."""
    return [[item.key, item.revision, item.value] for item in items]


def from_lists(
    revision: Revision, rows: t.Iterable[t.Sequence[t.Any]]
) -> PublishedRecords:
    """Return the records in rows made by :func:`as_lists`, as received from a peer."""
    items = tuple(
        Item(str(key), Revision(*row_revision), value)
        for key, row_revision, value in rows
    )
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
