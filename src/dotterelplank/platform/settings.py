"""Validation of the settings that the platform writes for each process."""

import ipaddress
import math
import typing as t

import pydantic

from ..errors import SettingsError
from ..gateway.host import Address, Bounds, HostSettings
from . import settings_file

MAX_PORT: t.Final = 65_535
_MAX_PORT_DIGITS = len(str(MAX_PORT))


class _Listen(pydantic.BaseModel):
    frontend: str | None = None
    ready: str | None = None


class _Bounds(pydantic.BaseModel):
    grace_s: float = pydantic.Field(gt=0)
    # Minimum time for which a leaving server continues to serve.
    drain_ms: float = pydantic.Field(gt=0)
    retry_ratio: float = pydantic.Field(ge=0)
    retry_window_s: float = pydantic.Field(gt=0)
    retry_burst: float = pydantic.Field(ge=0)
    config_sync_ms: float = pydantic.Field(math.inf, gt=0)


class _Store(pydantic.BaseModel):
    address: str


class _Limits(pydantic.BaseModel):
    bandwidth_mbps: float = pydantic.Field(1000.0, gt=0)


class _File(pydantic.BaseModel):
    # The platform calls each process of this system a node.
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    port_range: tuple[int, int]
    seed_nodes: list[str] = []
    bounds: _Bounds
    limits: _Limits = _Limits()
    # Only the platform's metadata store, despite the field's name.
    platform: _Store
    # Address of the server on the same host; it belongs to `service`.
    app: str | None = None
    service: str | None = None


def parse(text: str | bytes) -> HostSettings:
    """Return the settings in ``text`` and ignore unknown fields.

    :raises SettingsError: if the text is invalid. The error names the first fault.
    """
    try:
        parsed = _File.model_validate_json(text)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"]) or "the file"
        raise SettingsError(path, repr(first["input"])[:80], first["msg"]) from error
    return HostSettings(
        name=parsed.node_name,
        ip=parsed.ip,
        domain=parsed.zone,
        caller_address=_optional("listen.frontend", parsed.listen.frontend),
        health_address=_optional("listen.ready", parsed.listen.ready),
        peer_ports=parsed.port_range,
        seeds=tuple(address("seed_nodes", seed).ip for seed in parsed.seed_nodes),
        endpoint=_optional("app", parsed.app),
        service=parsed.service,
        store=address("platform.address", parsed.platform.address),
        bounds=Bounds(
            stop_ms=parsed.bounds.grace_s * 1000,
            leave_ms=parsed.bounds.drain_ms,
            retry_ratio=parsed.bounds.retry_ratio,
            retry_window_ms=parsed.bounds.retry_window_s * 1000,
            retry_burst=parsed.bounds.retry_burst,
            sync_ms=parsed.bounds.config_sync_ms,
        ),
        link_mbps=parsed.limits.bandwidth_mbps,
    )


def load() -> HostSettings:
    """Return the settings of this process.

    :raises SettingsError: if the settings are missing or invalid.
    """
    return parse(settings_file.read())


def address(path: str, text: str) -> Address:
    """Parse an address of the form ``IP:PORT``.

    :param path: path of the address in the settings, for error messages.
    :raises SettingsError: if ``text`` is not of this form.
    """
    ip, _, port = text.rpartition(":")
    if not _is_ip(ip) or not _is_port(port):
        raise SettingsError(path, repr(text)[:80], "IP:PORT")
    return Address(ip, int(port))


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    # Digits of other scripts, and numbers of thousands of digits, fail in int().
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_PORT_DIGITS:
        return False
    return 0 < int(text) <= MAX_PORT


def _optional(path: str, text: str | None) -> Address | None:
    return None if text is None else address(path, text)
