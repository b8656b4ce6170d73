"""Keeps the configuration and the host list of a process up to date."""

import hashlib
import logging
import threading
import typing as t

import pydantic

from . import defaults, events
from .blackboard import Blackboard, ConfigurationPart, HostsPart
from .configuration import parse_cached
from .errors import ConfigurationError, UpstreamError
from .metrics import Metrics
from .platform_client import PlatformClient, Revision, parse_host_list

log = logging.getLogger(__name__)


class Feed:
    """Two threads that watch the platform and write their parts of the blackboard."""

    def __init__(self, board: Blackboard, url: str, metrics: Metrics) -> None:
        self._board = board
        self._client = PlatformClient(url)
        self._metrics = metrics
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start both watches."""
        for name, step in (
            ("configuration", self._read_configuration),
            ("hosts", self._read_hosts),
        ):
            threading.Thread(
                target=self._watch, args=(name, step), name=name, daemon=True
            ).start()

    def stop(self) -> None:
        """Start no further read."""
        self._stopped.set()

    def _watch(self, name: str, step: t.Callable[[], None]) -> None:
        while not self._stopped.is_set():
            self._metrics.count(self._metrics.platform_reads, document=name)
            try:
                step()
            except (UpstreamError, pydantic.ValidationError) as error:
                events.emit(
                    log, events.PLATFORM_READ_FAILED, document=name, reason=str(error)
                )
                self._stopped.wait(defaults.PLATFORM_RETRY_INTERVAL_MS / 1000)

    def _read_configuration(self) -> None:
        part = self._board.configuration
        newest = max(part.revision, part.refused_revision)
        revision = self._client.configuration(newest, int(defaults.WATCH_WAIT_MS))
        if revision is not None and revision.number > newest:
            self._board.configuration = judge(part, revision)

    def _read_hosts(self) -> None:
        part = self._board.hosts
        revision = self._client.host_list(part.version, int(defaults.WATCH_WAIT_MS))
        if revision is not None and revision.number > part.version:
            hosts = parse_host_list(revision.text)
            self._board.hosts = HostsPart(revision.number, hosts)


def judge(part: ConfigurationPart, revision: Revision) -> ConfigurationPart:
    """Return the part after ``revision`` was accepted or refused."""
    digest = hashlib.sha256(revision.text.encode()).digest()
    try:
        configuration = parse_cached(revision.text)
    except ConfigurationError as error:
        return ConfigurationPart(
            part.revision,
            part.digest,
            part.configuration,
            part.text,
            revision.number,
            str(error),
        )
    return ConfigurationPart(
        revision.number,
        digest,
        configuration,
        revision.text,
        part.refused_revision,
        part.refused_why,
    )
