"""Who belongs to a service, for agents that look for the others of their group."""

import dataclasses

from ..errors import InputError
from ..gateway.host import Address
from ..gateway.tables import ExpertLayout, Table
from . import published
from .store import StoreClient


@dataclasses.dataclass
class Members:
    """The servers of a service.

    :param ranks: address of each rank's server.
    :param layout: the layout of the service's expert maps, if it has any.
    :param gap_target_ms: shortest pause between events that its routes ask for; 0 if
        none does.
    :param ips: addresses of the hosts beside which they run.
    """

    ranks: dict[int, Address]
    layout: ExpertLayout | None
    gap_target_ms: float = 0.0
    ips: set[str] = dataclasses.field(default_factory=set)


async def read_members(client: StoreClient, service: str) -> Members:
    """Read the servers of ``service`` and its layout, as they stood seconds ago.

    :raises UpstreamError: if the store can't be read.
    """
    found = await published.read_all(client, may_be_stale=True)
    members = Members({}, None)
    if found.configuration is not None:
        try:
            table = published.table_of(found.configuration)
        except InputError:
            # The entries refuse and log it; without a layout no change begins here.
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
        members.ips.add(endpoint.ip)
        if endpoint.place is not None:
            rank = endpoint.place.rank
            members.ranks[rank] = Address(endpoint.ip, endpoint.port)
    return members


def _gap_target_ms(table: Table, service: str) -> float:
    gaps = [
        route.gap_target_ms
        for route in table.routes
        if route.gap_target_ms and any(one.service == service for one in route.targets)
    ]
    return min(gaps, default=0.0)
