"""The settings of one process, such as its addresses, failure domain and secret."""

import ipaddress
import pathlib
import typing as t

import pydantic

from .. import defaults, jsontext
from ..errors import InputError, SettingsError
from .configuration import Name

Port = t.Annotated[int, pydantic.Field(ge=0, le=65535)]
Address = pydantic.IPvAnyAddress


class _Settings(pydantic.BaseModel):
    """The settings that both daemons have in common.

    :param join_alone_ms: time for which a new process without known peers waits for
        one before it relies on data read from the platform.
    :param seed_peers: peers to contact at the start, each as ``IP:PORT``, so that a
        process can join while the platform is unreachable.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host: Name
    domain: Name
    address: Address
    peer_port: Port
    status_port: Port
    platform_url: str = pydantic.Field(pattern=r"^http://")
    secret_file: str | None = None
    secret: str | None = pydantic.Field(None, min_length=16, repr=False)
    log_format: t.Literal["json", "text"] = "json"
    log_level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    trace_file: str | None = None
    join_alone_ms: float = pydantic.Field(defaults.JOIN_ALONE_MS, ge=0)
    seed_peers: list[str] = []
    stop_bound_ms: float = pydantic.Field(defaults.STOP_BOUND_MS, gt=0)

    @pydantic.model_validator(mode="after")
    def _check_secret(self) -> t.Self:
        if (self.secret is None) == (self.secret_file is None):
            raise ValueError("exactly one of secret and secret_file must be set")
        return self

    @pydantic.field_validator("seed_peers")
    @classmethod
    def _check_seed_peers(cls, value: list[str]) -> list[str]:
        for seed in value:
            address, _, port = seed.rpartition(":")
            ipaddress.ip_address(address)
            if not port.isdecimal() or not 0 < int(port) < 65536:
                raise ValueError(f"met {seed!r}, expected IP:PORT")
        return value

    def secret_bytes(self) -> bytes:
        """Return the secret that all processes of the system share."""
        if self.secret is not None:
            return self.secret.encode()
        return pathlib.Path(self.secret_file).read_bytes().strip()


class EntrySettings(_Settings):
    """The settings of an entry.

    :param read_bound_ms: time within which a caller must send its request while all
        threads for callers are in use.
    """

    caller_port: Port
    read_bound_ms: float = pydantic.Field(defaults.READ_BOUND_MS, gt=0)
    caller_threads: int = pydantic.Field(defaults.CALLER_THREADS, ge=1, le=4096)
    refusing_threads: int = pydantic.Field(defaults.REFUSING_THREADS, ge=1, le=512)
    balancer_notice_ms: float = pydantic.Field(defaults.BALANCER_NOTICE_MS, ge=0)


class AgentSettings(_Settings):
    """The settings of an agent.

    :param endpoint_url: URL of the engine or plain service next to the agent.
    :param endpoint_kind: ``rank`` for a rank, which takes orders but no requests.
    :param leave_notice_ms: minimum time for which a stopping agent keeps answering
        after it has announced that it is leaving, so that holders of tickets made
        earlier learn that their requests have not run.
    """

    endpoint_url: str = pydantic.Field(pattern=r"^http://")
    endpoint_kind: t.Literal["model", "service", "rank"]
    leave_notice_ms: float = pydantic.Field(defaults.LEAVE_NOTICE_MS, ge=0)
    slots: int = pydantic.Field(defaults.AGENT_SLOTS, ge=1, le=4096)


_Kind = t.TypeVar("_Kind", EntrySettings, AgentSettings)


def load(kind: type[_Kind], path: pathlib.Path) -> _Kind:
    """Return the settings in the file at ``path``.

    :raises SettingsError: if the file can't be read or is invalid. The error names the
        first fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error), "a readable file") from error
    return parse(kind, text)


def parse(kind: type[_Kind], text: str) -> _Kind:
    """Return the settings in ``text``.

    :raises SettingsError: if the text is invalid. The error names the path of the
        first fault.
    """
    try:
        return kind.model_validate(jsontext.decode(text))
    except pydantic.ValidationError as error:
        fault = jsontext.input_errors(error)[0]
        raise SettingsError(fault.path, fault.actual, fault.expected) from error
    except InputError as error:
        raise SettingsError(error.path, error.actual, error.expected) from error
