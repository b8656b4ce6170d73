"""Datagrams that hold one of a few kinds of typed message each."""

import asyncio
import dataclasses
import functools
import typing as t
import zlib

import msgpack
import pydantic

from .errors import ProtocolError

MAX_PLAIN_BYTES: t.Final = 400
"""Longer messages are compressed."""
MAX_INFLATED_BYTES: t.Final = 1024 * 1024
_COMPRESSED: t.Final = 0x78
"""First byte of compressed data; a plain message is an array and begins otherwise."""


def name_fields(kind: type, values: t.Any) -> t.Any:
    """Name the values of a data class that was packed within a message."""
    if not isinstance(values, (list, tuple)):
        return values
    names = _field_names(kind)
    if len(names) != len(values):
        raise ValueError(f"{kind.__name__} of another layout")
    return dict(zip(names, values))


def _field_values(message: t.Any) -> list[t.Any]:
    return [getattr(message, name) for name in _field_names(type(message))]


@functools.cache
def _field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


class Codec:
    """Packs messages of the given kinds, and checks what it unpacks.

    Data classes within a message take :func:`name_fields` as their first validator.

    :param kinds: pydantic data classes; their order is part of the format.
    """

    def __init__(self, *kinds: type) -> None:
        self._kinds = kinds
        self._adapters = [pydantic.TypeAdapter(kind) for kind in kinds]

    def encode(self, message: t.Any) -> bytes:
        """Return the datagram of ``message``."""
        kind = type(message)
        values = _field_values(message)
        packed = [self._kinds.index(kind), *values]
        data = msgpack.packb(packed, default=_field_values)
        return data if len(data) <= MAX_PLAIN_BYTES else zlib.compress(data)

    def decode(self, data: bytes) -> t.Any:
        """Return the message in a datagram.

        :raises ProtocolError: if it holds none of the kinds.
        """
        try:
            number, *values = msgpack.unpackb(_inflated(data))
            fields = _field_names(self._kinds[number])
            if len(fields) != len(values):
                raise ProtocolError("a message of another layout")
            return self._adapters[number].validate_python(dict(zip(fields, values)))
        except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
            raise ProtocolError(f"no known message: {error}") from error


def _inflated(data: bytes) -> bytes:
    if not data or data[0] != _COMPRESSED:
        return data
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_INFLATED_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"not compressed as it should be: {error}") from error
    if not inflater.eof:
        raise ProtocolError("a message over the bound, or cut short")
    return plain


class DatagramHandler(asyncio.DatagramProtocol):
    """Hands each datagram on."""

    def __init__(self, on_datagram: t.Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one datagram."""
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Pass over an unreachable peer; its silence is what counts."""
