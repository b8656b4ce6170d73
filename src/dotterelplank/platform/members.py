"""Lookup of the members of a service, for agents that look for their group."""

from ..errors import InputError
from ..gateway.host import Address
from ..gateway.tables import RoutingTable
from ..ranks.membership import Members, RankId
from . import published
from .store import StoreClient


async def read_members(client: StoreClient, service: str) -> Members:
    """Read the servers of ``service`` and its layout; both may be seconds old.

    :raises UpstreamError: if the store can't be read.
    """
    found = await published.read_all(client, may_be_stale=True)
    members = Members({}, None, revision=found.revision)
    if found.configuration is not None:
        try:
            table = published.table_of(found.configuration)
        except InputError:
            # The entries log the invalid table. Without a layout, this agent starts
            # no map change.
            table = None
        if table is not None and service in table.services:
            members.layout = table.services[service].experts
            members.gap_target_ms = _gap_target_ms(table, service)
    for item in found.servers:
        try:
            endpoint = published.change_of(item).endpoint
        except InputError:
            continue
        if endpoint is None or endpoint.service != service:
            continue
        place = endpoint.place
        members.groups[endpoint.ip] = None if place is None else place.group
        if place is not None:
            rank_id = RankId(place.group, place.rank)
            members.ranks[rank_id] = Address(endpoint.ip, endpoint.port)
    return members


def _gap_target_ms(table: RoutingTable, service: str) -> float:
    gaps = [
        route.gap_target_ms
        for route in table.routes
        if route.gap_target_ms and any(one.service == service for one in route.targets)
    ]
    return min(gaps, default=0.0)
