"""Reads whole bodies of responses, within bounds on their size and their parts."""

import dataclasses
import typing as t

from ..errors import UpstreamError

MIN_PARTS_LIMIT: t.Final = 1_024
MIN_MEAN_PART_BYTES: t.Final = 128


class BodySource(t.Protocol):
    """A connection whose response's body is read."""

    async def body_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end."""


@dataclasses.dataclass
class ByteBudget:
    """The bytes of bodies that may be held at once, over several connections."""

    limit_bytes: int
    used_bytes: int = 0

    def take(self, count: int) -> None:
        """Count bytes that are held from now on.

        :raises UpstreamError: if there are more than the limit.
        """
        self.used_bytes += count
        if self.used_bytes > self.limit_bytes:
            raise UpstreamError("responses exceed the memory limit", sent=True)

    def release(self, count: int) -> None:
        """Count bytes that aren't held any more."""
        self.used_bytes -= count


async def read_body(
    connection: BodySource, max_bytes: int, budget: ByteBudget | None = None
) -> bytes:
    """Return the body of the response whose head was read last.

    :param budget: what the connections to one server may hold while bodies are read.
    :raises UpstreamError: if the body was cut short, if it exceeds ``max_bytes`` or the
        budget, or if it comes in too many parts.
    """
    budget = budget or ByteBudget(max_bytes)
    body = bytearray()
    parts = 0
    try:
        while (part := await connection.body_part()) is not None:
            body += part
            parts += 1
            budget.take(len(part))
            if len(body) > max_bytes or is_fragmented(parts, len(body)):
                raise UpstreamError("the response exceeds the size limit", sent=True)
    finally:
        budget.release(len(body))
    return bytes(body)


def is_fragmented(parts: int, total_bytes: int) -> bool:
    """Return whether data comes in so many parts that reading on isn't worth it."""
    return parts > MIN_PARTS_LIMIT + total_bytes / MIN_MEAN_PART_BYTES
