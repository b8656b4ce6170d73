"""The calls with which an agent reads a rank's state and sends it orders."""

import asyncio
import json
import typing as t

import pydantic

from ..errors import UpstreamError
from ..gateway.host import Address
from ..http1.bodies import read_body
from ..http1.client import EndpointConnection, connect
from ..http1.responses import Request
from ..ranks.views import (
    Armed,
    ArmMap,
    Counts,
    DisarmMap,
    HoldStep,
    Order,
    PrepareMap,
    RankRows,
    RankView,
    ReleaseStep,
)
from . import fields

CALL_TIMEOUT_MS: t.Final = 60.0
"""A rank on the same host answers within a few milliseconds or not at all."""
ORDER_TIMEOUT_MS: t.Final = 20.0
"""Shorter, since a group may be held until an unanswered order is sent again."""
MAX_RESPONSE_BYTES: t.Final = 4 * 1024 * 1024

_REPORT_PATH = b"/v1/report"
_COUNTS_PATH = b"/v1/picked"
_ROWS_PATH = b"/v1/picked?lists=1"
_ORDER_PATH = b"/v1/order"
_ACCEPTED: t.Final = (200, 202)


class _Group(pydantic.BaseModel):
    name: fields.Name
    epoch: fields.Int64
    rank: fields.Rank
    state: str


class _Armed(pydantic.BaseModel):
    version: fields.Int64
    step: fields.Int64


class _Report(pydantic.BaseModel):
    group: _Group
    # Number of ranks in the whole group.
    size: fields.GroupSize
    # The last pass that was started, not the next one.
    step: fields.Int64
    # The version of the map in use.
    map: fields.Int64
    prepared: fields.Int64 | None = None
    armed: _Armed | None = None
    # The pass that this rank holds.
    held: fields.Int64 | None = None
    active: fields.Int64 = 0


class _Picked(pydantic.BaseModel):
    step: fields.Int64
    epoch: fields.Int64
    counts: list[fields.Int64]


class _OwnMap(pydantic.BaseModel):
    version: fields.Int64
    experts: list[list[fields.Count]]


class _Lists(pydantic.BaseModel):
    epoch: fields.Int64
    map: _OwnMap


_Kind = t.TypeVar("_Kind", bound=pydantic.BaseModel)


def parse_report(body: bytes) -> RankView:
    """Return the state of a rank that its report tells.

    :raises UpstreamError: if the report is invalid, as that of a rank without a group
        is.
    """
    report = _parse(_Report, body)
    armed = report.armed
    return RankView(
        group=report.group.name,
        epoch=report.group.epoch,
        rank=report.group.rank,
        size=report.size,
        is_open=report.group.state == "open",
        step=report.step,
        map_version=report.map,
        prepared=report.prepared,
        armed=None if armed is None else Armed(armed.version, armed.step),
        held=report.held,
        active=report.active,
    )


def _parse(kind: type[_Kind], body: bytes) -> _Kind:
    try:
        return kind.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise UpstreamError(f"unreadable: {error}", sent=True) from error


class RankClient:
    """A client of one rank with a persistent connection and one call at a time.

    :param timeout_ms: timeout of a read.
    :param order_timeout_ms: timeout of an order.
    """

    def __init__(
        self,
        address: Address,
        timeout_ms: float = CALL_TIMEOUT_MS,
        order_timeout_ms: float = ORDER_TIMEOUT_MS,
    ) -> None:
        self._address = address
        self._timeout_ms = timeout_ms
        self._order_timeout_ms = order_timeout_ms
        self._connection: EndpointConnection | None = None
        self._lock = asyncio.Lock()

    async def view(self) -> RankView:
        """Return the current state of the rank.

        :raises UpstreamError: if the rank doesn't answer or its answer is invalid, as
            that of a rank without a group is.
        """
        return parse_report(await self._read(_REPORT_PATH))

    async def counts(self) -> Counts:
        """Return how often the rank's calls chose each expert.

        :raises UpstreamError: if the rank doesn't answer or its answer is invalid.
        """
        response = _parse(_Picked, await self._read(_COUNTS_PATH))
        return Counts(response.epoch, response.step, response.counts)

    async def rows(self) -> RankRows:
        """Return the rank's part of the map in use.

        :raises UpstreamError: if the rank doesn't answer or its answer is invalid.
        """
        response = _parse(_Lists, await self._read(_ROWS_PATH))
        return RankRows(response.epoch, response.map.version, response.map.experts)

    async def send_order(self, order: Order) -> bool:
        """Send an order and return whether the rank accepted it.

        :raises UpstreamError: if the rank doesn't answer or fails. It may still execute
            the order seconds later.
        """
        body = _encode(order)
        bound_ms = self._order_timeout_ms
        status, body = await self._call(b"POST", _ORDER_PATH, body, bound_ms)
        if status in _ACCEPTED:
            return True
        if 400 <= status < 500:
            return False
        raise UpstreamError(f"status {status}: {body[:80]!r}", sent=True)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _read(self, path: bytes) -> bytes:
        status, body = await self._call(b"GET", path, b"", self._timeout_ms)
        if status != 200:
            raise UpstreamError(f"status {status}", sent=True)
        return body

    async def _call(
        self, method: bytes, path: bytes, body: bytes, timeout_ms: float
    ) -> tuple[int, bytes]:
        async with self._lock:
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await self._exchange(method, path, body)
            except TimeoutError as error:
                self.close()
                raise UpstreamError("no answer in time", sent=True) from error
            except (UpstreamError, asyncio.CancelledError):
                self.close()
                raise

    async def _exchange(
        self, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        connection = self._connection
        if connection is None or not connection.is_usable:
            self.close()
            endpoint_address = self._address
            connection = await connect(
                endpoint_address.ip, endpoint_address.port, self._timeout_ms / 1000
            )
            self._connection = connection
        headers = [(b"host", str(self._address).encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        connection.send(Request(method, path, headers, body))
        head = await connection.head()
        return head.status, await read_body(connection, MAX_RESPONSE_BYTES)


def _encode(order: Order) -> bytes:
    fields: dict[str, t.Any] = {"epoch": order.epoch}
    match order:
        case PrepareMap():
            fields |= {"op": "prepare", "version": order.version, "map": order.map}
        case ArmMap():
            fields |= {"op": "arm", "version": order.version, "step": order.step}
        case DisarmMap():
            fields |= {"op": "disarm", "version": order.version}
        case HoldStep():
            fields |= {"op": "retain", "step": order.step}
        case ReleaseStep():
            fields |= {"op": "go", "step": order.step}
    return json.dumps(fields).encode()
