"""Client of the platform, which reads the configuration and the host list.

The platform is never written to. It counts every call; a long poll is one call.
"""

import dataclasses
import json
import typing as t

import pydantic
import urllib3

from .. import defaults, jsontext
from ..errors import ConfigurationError, InputError, UpstreamError
from .blackboard import Host


class _HostModel(pydantic.BaseModel):
    host: str
    address: str
    port: int
    domain: str
    role: t.Literal["entry", "agent"]
    state: t.Literal["live", "leaving"]
    labels: dict[str, str] = {}


class _HostListModel(pydantic.BaseModel):
    version: int
    hosts: list[_HostModel]


class _RevisionModel(pydantic.BaseModel):
    revision: int
    text: str


@dataclasses.dataclass(frozen=True)
class Revision:
    """A revision of a document of the platform."""

    number: int
    text: str


class PlatformClient:
    """Reads documents from the platform at ``url``."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def configuration(self, after: int, wait_ms: int) -> Revision | None:
        """Wait for a configuration with a revision above ``after``.

        :returns: the revision, or ``None`` if there was none within ``wait_ms``.
        :raises UpstreamError: if the platform can't be read.
        """
        data = self._get("/v1/configuration", after, wait_ms)
        if data is None:
            return None
        try:
            model = _RevisionModel.model_validate_json(data)
        except pydantic.ValidationError as error:
            raise UpstreamError(str(error), sent=True) from error
        return Revision(model.revision, model.text)

    def host_list(self, after: int, wait_ms: int) -> Revision | None:
        """Wait for a host list with a version above ``after``.

        :returns: the host list, or ``None`` if there was none within ``wait_ms``.
        :raises UpstreamError: if the platform can't be read.
        """
        data = self._get("/v1/hosts", after, wait_ms)
        if data is None:
            return None
        try:
            version = _HostListModel.model_validate_json(data).version
        except pydantic.ValidationError as error:
            raise UpstreamError(str(error), sent=True) from error
        return Revision(version, data.decode())

    def _get(self, path: str, after: int, wait_ms: int) -> bytes | None:
        read_s = (wait_ms + defaults.PLATFORM_TIMEOUT_MS) / 1000
        connect_s = defaults.CONNECT_TIMEOUT_MS / 1000
        try:
            response = self._pool.request(
                "GET",
                f"{self._url}{path}",
                fields={"after": str(after), "wait_ms": str(wait_ms)},
                timeout=urllib3.Timeout(connect=connect_s, read=read_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UpstreamError(repr(error), sent=True) from error
        if response.status == 204:
            return None
        if response.status != 200:
            raise UpstreamError(f"{path} answered {response.status}", sent=True)
        return response.data


def validate_host_list(text: str) -> t.Mapping[str, Host]:
    """Return the hosts of a host list by name, as :func:`parse_host_list` does.

    :raises ConfigurationError: if it is malformed.
    """
    try:
        return parse_host_list(text)
    except pydantic.ValidationError as error:
        raise ConfigurationError(jsontext.input_errors(error)) from error
    except ValueError as error:
        raise ConfigurationError([InputError("text", str(error), "JSON")]) from error


def parse_host_list(text: str) -> t.Mapping[str, Host]:
    """Return the hosts of a host list by name.

    :raises pydantic.ValidationError: if it is malformed.
    """
    model = _HostListModel.model_validate(json.loads(text))
    return {
        item.host: Host(
            item.host,
            item.address,
            item.port,
            item.domain,
            item.role,
            item.state == "leaving",
            dict(item.labels),
        )
        for item in model.hosts
    }
