"""Encoding of typed messages as msgpack arrays, with a type check of each field.

A message is an array of the number of its kind and its fields in order. A field is a
plain value, an enum, a data class (encoded as an array of its fields), a tuple of items
of one type, or an optional value of one of these types, which is ``nil`` for ``None``.
"""

import dataclasses
import enum
import types
import typing as t

import msgpack

from ..errors import ProtocolError

_Decoder = t.Callable[[t.Any], t.Any]
_SCALAR_TYPES = (int, str, bytes, bool)


class Codec:
    """Packs and unpacks messages of the given kinds, which are numbered from 1."""

    def __init__(self, kinds: t.Sequence[type]) -> None:
        self._number_by_kind = {kind: number for number, kind in enumerate(kinds, 1)}
        self._decoder_by_number = {
            number: _fields_decoder(kind)
            for kind, number in self._number_by_kind.items()
        }
        self._names_by_kind = {kind: _field_names(kind) for kind in kinds}

    def pack(self, message: t.Any) -> bytes:
        """Return ``message`` encoded as msgpack."""
        kind = type(message)
        values = [self._number_by_kind[kind]]
        values.extend(getattr(message, name) for name in self._names_by_kind[kind])
        return msgpack.packb(values, use_bin_type=True, default=_encode_field)

    def read(self, value: t.Any) -> t.Any:
        """Return the message in an unpacked array.

        :raises ProtocolError: if ``value`` is not an array, the kind of message is
            unknown, or a field has a wrong type.
        """
        if not isinstance(value, list) or not value:
            raise ProtocolError(f"got a {type(value).__name__}, expected a frame array")
        number = value[0]
        decoder = self._decoder_by_number.get(number) if type(number) is int else None
        if decoder is None:
            last = len(self._decoder_by_number)
            raise ProtocolError(f"got message kind {number!r}, expected 1 to {last}")
        return decoder(value[1:])

    def unpack(self, data: bytes) -> t.Any:
        """Return the message that ``data`` encodes.

        :raises ProtocolError: if ``data`` isn't exactly one valid message.
        """
        try:
            return self.read(msgpack.unpackb(data, raw=False))
        except (ValueError, msgpack.UnpackException, RecursionError) as error:
            raise ProtocolError(f"got bytes that are no frame: {error!r}") from error


def _field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


def _encode_field(value: t.Any) -> t.Any:
    if dataclasses.is_dataclass(value):
        return [getattr(value, name) for name in _field_names(type(value))]
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"got a {type(value).__name__}, expected a message field")


def _fields_decoder(kind: type) -> _Decoder:
    hints = t.get_type_hints(kind)
    names = _field_names(kind)
    decoders = [_decoder(hints[name], f"{kind.__name__}.{name}") for name in names]

    def decode(values: t.Any) -> t.Any:
        if not isinstance(values, list) or len(values) != len(decoders):
            count = len(values) if isinstance(values, list) else "no"
            raise ProtocolError(
                f"{kind.__name__}: got {count} fields, expected {len(decoders)}"
            )
        return kind(*[read(value) for read, value in zip(decoders, values)])

    return decode


def _decoder(hint: t.Any, path: str) -> _Decoder:
    if isinstance(hint, types.UnionType) or t.get_origin(hint) is t.Union:
        return _optional_decoder(hint, path)
    if t.get_origin(hint) is tuple:
        return _tuple_decoder(hint, path)
    if dataclasses.is_dataclass(hint):
        return _fields_decoder(hint)
    if issubclass(hint, enum.Enum):
        return _enum_decoder(hint, path)
    if hint is float:
        return _number_decoder(path)
    if hint in _SCALAR_TYPES:
        return _scalar_decoder(hint, path)
    raise TypeError(f"{path}: no codec for {hint!r}")


def _optional_decoder(hint: t.Any, path: str) -> _Decoder:
    (inner,) = [item for item in t.get_args(hint) if item is not types.NoneType]
    decoder = _decoder(inner, path)
    return lambda value: None if value is None else decoder(value)


def _tuple_decoder(hint: t.Any, path: str) -> _Decoder:
    decoder = _decoder(t.get_args(hint)[0], path)

    def decode(value: t.Any) -> t.Any:
        if not isinstance(value, list):
            raise _type_error(path, value, "an array")
        return tuple([decoder(item) for item in value])

    return decode


def _enum_decoder(hint: t.Any, path: str) -> _Decoder:
    def decode(value: t.Any) -> t.Any:
        try:
            return hint(value)
        except ValueError:
            raise _type_error(path, value, hint.__name__) from None

    return decode


def _number_decoder(path: str) -> _Decoder:
    def decode(value: t.Any) -> float:
        if type(value) is float or type(value) is int:
            return float(value)
        raise _type_error(path, value, "a number")

    return decode


def _scalar_decoder(hint: type, path: str) -> _Decoder:
    def decode(value: t.Any) -> t.Any:
        if type(value) is not hint:
            raise _type_error(path, value, hint.__name__)
        return value

    return decode


def _type_error(path: str, value: t.Any, expected: str) -> ProtocolError:
    return ProtocolError(f"{path}: got {value!r:.60}, expected {expected}")
