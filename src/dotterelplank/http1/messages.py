"""Headers of HTTP messages, as lists of lower-case names and values."""

import typing as t

MAX_NUMBER_DIGITS: t.Final = 18
MAX_EVENTS_PER_TURN: t.Final = 64
"""The most parsed events (chunks of a body, above all) in one turn of the loop."""

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP: t.Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_FRAMING: t.Final = frozenset((b"content-length",))


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None``.

    :param name: name of the header in lower case.
    """
    for found, value in headers:
        if found == name:
            return value
    return None


def is_number(text: bytes) -> bool:
    """Return whether a header's value is a whole number that fits 64 bits."""
    return text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def without(headers: Headers, names: t.Collection[bytes]) -> Headers:
    """Return ``headers`` without those whose name is in ``names``."""
    return [pair for pair in headers if pair[0] not in names]


def end_to_end(headers: Headers) -> Headers:
    """Return ``headers`` without hop-by-hop headers and without ``content-length``."""
    return without(headers, _HOP_BY_HOP | _FRAMING)


def is_event_stream(headers: Headers) -> bool:
    """Return whether a body is an event stream, as it is if no type is given."""
    media_type = (header(headers, b"content-type") or b"").partition(b";")[0]
    return media_type.strip().lower() in (b"", b"text/event-stream")


def keep_alive_ms(headers: Headers) -> float | None:
    """Return the timeout of the ``keep-alive`` header, or ``None`` if it has none."""
    value = header(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and is_number(number):
            return int(number) * 1000.0
    return None
