"""Encoding and decoding of datagrams that each hold one typed message."""

import asyncio
import dataclasses
import functools
import typing as t
import zlib

import msgpack
import pydantic

from .compression import inflate
from .errors import ProtocolError

MAX_PLAIN_BYTES: t.Final = 400
"""Messages above this size are compressed."""
MAX_INFLATED_BYTES: t.Final = 1024 * 1024
_COMPRESSED: t.Final = 0x78
"""First byte of compressed data; a plain message starts with a different byte."""


def name_fields(kind: type, values: t.Any) -> t.Any:
    """Return a data class's values from a message as a dictionary by field name.

    Values that aren't a list or tuple are returned unchanged.

    :raises ValueError: if the number of values differs from the number of fields.
    """
    if not isinstance(values, (list, tuple)):
        return values
    names = _field_names(kind)
    if len(names) != len(values):
        raise ValueError(f"{kind.__name__} with a different number of fields")
    return dict(zip(names, values))


def _field_values(message: t.Any) -> list[t.Any]:
    return [getattr(message, name) for name in _field_names(type(message))]


@functools.cache
def _field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


class Codec:
    """Encodes messages of the given kinds, and validates the messages it decodes.

    Data classes nested in a message need :func:`name_fields` as their first validator.

    :param name: name of the format; datagrams of any other format are refused.
    :param kinds: pydantic data classes; their order is part of the format.
    """

    def __init__(self, name: str, *kinds: type) -> None:
        self._name = name
        self._kinds = kinds
        self._adapters = [pydantic.TypeAdapter(kind) for kind in kinds]

    def encode(self, message: t.Any) -> bytes:
        """Return the datagram that holds ``message``."""
        kind = type(message)
        values = _field_values(message)
        packed = [self._name, self._kinds.index(kind), *values]
        data = msgpack.packb(packed, default=_field_values)
        return data if len(data) <= MAX_PLAIN_BYTES else zlib.compress(data)

    def decode(self, data: bytes) -> t.Any:
        """Return the message in a datagram.

        :raises ProtocolError: if the datagram holds no valid message of these kinds.
        """
        try:
            name, number, *values = msgpack.unpackb(_inflated(data))
            if name != self._name:
                raise ProtocolError(f"format {name!r} instead of {self._name!r}")
            fields = _field_names(self._kinds[number])
            if len(fields) != len(values):
                raise ProtocolError("a message with a different number of fields")
            return self._adapters[number].validate_python(dict(zip(fields, values)))
        except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
            raise ProtocolError(f"invalid message: {error}") from error


def _inflated(data: bytes) -> bytes:
    if not data or data[0] != _COMPRESSED:
        return data
    return inflate(data, MAX_INFLATED_BYTES)


class DatagramHandler(asyncio.DatagramProtocol):
    """An asyncio protocol that passes each datagram to a callback."""

    def __init__(self, on_datagram: t.Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass one received datagram to the callback."""
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error, since an unreachable peer is detected by its silence."""
