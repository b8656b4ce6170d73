"""Parsing of the configuration and the server records in the platform's store."""

import enum
import re
import typing as t

import pydantic

from ..errors import InputError, SettingsError
from ..gateway.directory import Endpoint, EndpointChange, GroupPlace
from ..gateway.revisions import Revision
from ..gateway.tables import (
    ExpertLayout,
    Limits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Target,
    Team,
)
from . import fields
from .settings import address

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
ALL_KEYS_PREFIX = ""

_BITS_PER_MB = 8.0
# An id is sent in a header of each call.
_ID = re.compile("[!-~]+")


_STRICT = pydantic.ConfigDict(strict=True)
_FINITE = pydantic.ConfigDict(allow_inf_nan=False)


class _Type(enum.Enum):
    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class _Split(pydantic.BaseModel):
    model_config = _FINITE

    service: str
    weight: float = pydantic.Field(ge=0)


class _Route(pydantic.BaseModel):
    model_config = _FINITE

    name: str
    host: str
    prefix: str = pydantic.Field(pattern="^/(.*/)?$")
    type: _Type
    service: str | None = None
    split: list[_Split] = []
    timeout_ms: float = pydantic.Field(gt=0)
    goal_ms: float = pydantic.Field(gt=0)
    gap_target_ms: float = 0.0
    # Maximum number of servers tried, including the first one.
    max_attempts: int = pydantic.Field(ge=1)
    priority: int = 0
    public: bool = False
    resumable: bool = False


class _Engine(pydantic.BaseModel):
    model_config = _FINITE

    # Number of sets of layers. The layers of a set share a placement.
    sets: fields.Count = 0
    experts: fields.Count = 0
    # Maximum number of experts of a set on one rank.
    placements: fields.Count = 0
    # Maximum number of experts of a set that may be new on a rank at once.
    spare: fields.Count = 0
    expert_mb: float = 0.0
    bandwidth_mbps: float = pydantic.Field(1.0, gt=0)
    form_ms: float = 0.0


class _Service(pydantic.BaseModel):
    name: str
    max_conns: int = pydantic.Field(ge=1)
    engine: _Engine | None = None


class _Limits(pydantic.BaseModel):
    model_config = _FINITE

    max_header_bytes: int = pydantic.Field(gt=0)
    max_body_bytes: int = pydantic.Field(ge=0)
    header_timeout_ms: float = pydantic.Field(gt=0)
    idle_timeout_ms: float = pydantic.Field(gt=0)


class _Tenant(pydantic.BaseModel):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Config(pydantic.BaseModel):
    version: fields.Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    # Callers need a key if any tenant is listed.
    tenants: list[_Tenant] | None = None


class _Group(pydantic.BaseModel):
    model_config = _STRICT

    name: fields.Name
    epoch: fields.Int64
    rank: fields.Rank
    state: t.Literal["open", "broken"]


class _Server(pydantic.BaseModel):
    model_config = _STRICT

    service: fields.Name
    address: str
    zone: fields.Name
    slots: fields.Slots
    state: t.Literal["ready", "draining"]
    # Start time of the process, in milliseconds since the Unix epoch.
    born: fields.Count = 0
    group: _Group | None = None
    # Number of ranks in the whole group.
    size: fields.GroupSize = 1


def parse_configuration(text: bytes) -> RoutingTable:
    """Return the routing table in ``text``.

    :raises InputError: if the text is invalid. The error names the first fault.
    """
    try:
        parsed = _Config.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise _fault(error) from error
    teams = {
        key: Team(tenant.name, tenant.priority)
        for tenant in parsed.tenants or ()
        for key in tenant.api_keys
    }
    limits = parsed.limits
    return RoutingTable(
        version=parsed.version,
        routes=tuple(_route(route) for route in parsed.routes),
        services={service.name: _service(service) for service in parsed.services},
        team_by_key=teams,
        needs_key=bool(parsed.tenants),
        limits=Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def parse_server(key: str, revision: Revision, value: bytes) -> EndpointChange:
    """Return the change that a server's record makes to the list of endpoints.

    :raises InputError: if the record is invalid. The error names the first fault.
    """
    try:
        parsed = _Server.model_validate_json(value)
        place = address("address", parsed.address)
    except pydantic.ValidationError as error:
        raise _fault(error) from error
    except SettingsError as error:
        raise InputError(error.path, error.actual, error.expected) from error
    name = server_id(key)
    if not _ID.fullmatch(name):
        raise InputError("key", repr(key)[:80], "an id of printable ASCII characters")
    endpoint = Endpoint(
        id=name,
        service=parsed.service,
        ip=place.ip,
        port=place.port,
        domain=parsed.zone,
        slots=parsed.slots,
        is_draining=parsed.state == "draining",
        started_ms=parsed.born,
        place=_group_place(parsed),
    )
    return EndpointChange(name, revision, endpoint)


def server_id(key: str) -> str:
    """Return the server id that is part of the key of a server's record."""
    return key.removeprefix(SERVERS_PREFIX)


def _route(parsed: _Route) -> Route:
    targets = tuple(Target(part.service, part.weight) for part in parsed.split)
    if parsed.service is not None and not targets:
        targets = (Target(parsed.service, 1.0),)
    if not sum(target.weight for target in targets):
        raise InputError(f"routes.{parsed.name}", "no service", "a service or a split")
    return Route(
        name=parsed.name,
        host=parsed.host,
        prefix=parsed.prefix,
        kind=RouteKind(parsed.type.value),
        targets=targets,
        timeout_ms=parsed.timeout_ms,
        goal_ms=parsed.goal_ms,
        gap_target_ms=parsed.gap_target_ms,
        attempts=parsed.max_attempts,
        priority=parsed.priority,
        is_public=parsed.public,
        is_resumable=parsed.resumable,
    )


def _service(parsed: _Service) -> Service:
    engine = parsed.engine
    layout = None
    if engine is not None and engine.sets and engine.experts:
        copy_ms = engine.expert_mb * _BITS_PER_MB / engine.bandwidth_mbps * 1000
        layout = ExpertLayout(
            engine.sets, engine.experts, engine.placements, engine.spare, copy_ms
        )
    rebuild_ms = engine.form_ms if engine is not None else 0.0
    return Service(parsed.name, parsed.max_conns, layout, rebuild_ms)


def _group_place(parsed: _Server) -> GroupPlace | None:
    group = parsed.group
    if group is None:
        return None
    if group.rank >= parsed.size:
        raise InputError("group.rank", str(group.rank), f"less than {parsed.size}")
    is_open = group.state == "open"
    return GroupPlace(group.name, group.epoch, group.rank, parsed.size, is_open)


def _fault(error: pydantic.ValidationError) -> InputError:
    first = error.errors()[0]
    path = ".".join(str(part) for part in first["loc"]) or "the text"
    return InputError(path, repr(first["input"])[:80], first["msg"])
