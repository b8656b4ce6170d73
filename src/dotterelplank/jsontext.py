"""Decoding of JSON with comments, the format of settings and configuration."""

import typing as t

import pydantic
import pyjson5

from .errors import InputError


def decode(text: str) -> t.Any:
    """Return the value that ``text`` encodes.

    :raises InputError: if the text is not valid JSON with comments.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        actual = str(error.args[0]) if error.args else type(error).__name__
        raise InputError("text", actual, "JSON with comments") from error


def input_errors(error: pydantic.ValidationError) -> t.Sequence[InputError]:
    """Return one :class:`InputError` for each fault that pydantic found."""
    faults = []
    for detail in error.errors():
        actual = repr(detail.get("input"))
        actual = actual if len(actual) <= 60 else actual[:57] + "..."
        faults.append(InputError(path_text(detail["loc"]), actual, detail["msg"]))
    return faults


def path_text(parts: t.Sequence[int | str]) -> str:
    """Return the path ``parts`` as text, such as ``groups[2].name``."""
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "text"
