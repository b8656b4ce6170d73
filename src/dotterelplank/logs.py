"""Structured logging of numbered events as lines of JSON or text."""

import json
import logging
import sys
import typing as t


class _JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        line = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "host": self._host,
            **_content(record),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class _TextFormatter(logging.Formatter):
    """Formats a record as one line of human-readable text."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        content = _content(record)
        pairs = [f"{name}={value}" for name, value in content.items()]
        when = self.formatTime(record)
        line = " ".join([when, record.levelname, self._host, *pairs])
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


def _content(record: logging.LogRecord) -> dict[str, t.Any]:
    event = getattr(record, "event", None)
    if event is None:
        return {"logger": record.name, "message": record.getMessage()}
    fields = getattr(record, "event_fields", {})
    return {"event": event.number, "name": event.name, **fields}


def configure(host: str, log_format: str, level: str) -> None:
    """Send the package's log records to standard error.

    :param log_format: ``json`` or ``text``.
    """
    send_to(logging.StreamHandler(sys.stderr), host, log_format, level)


def send_to(handler: logging.Handler, host: str, log_format: str, level: str) -> None:
    """Send the package's log records to ``handler``.

    :param log_format: ``json`` or ``text``.
    """
    formatter = _JsonFormatter(host) if log_format == "json" else _TextFormatter(host)
    handler.setFormatter(formatter)
    logger = logging.getLogger("dotterelplank")
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(level)
