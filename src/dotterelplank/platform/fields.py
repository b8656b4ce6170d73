"""Types of fields in records that other programs write, with the bounds that hold here.

Numbers beyond these bounds can't be sent on in the messages between processes.
"""

import typing as t

import pydantic

MAX_INT64: t.Final = 2**63 - 1
MAX_NAME_CHARS: t.Final = 256
MAX_SLOTS: t.Final = 100_000
MAX_GROUP_RANKS: t.Final = 65_536

Int64 = t.Annotated[int, pydantic.Field(ge=-MAX_INT64, le=MAX_INT64)]
Count = t.Annotated[int, pydantic.Field(ge=0, le=MAX_INT64)]
Slots = t.Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]
GroupSize = t.Annotated[int, pydantic.Field(ge=1, le=MAX_GROUP_RANKS)]
Rank = t.Annotated[int, pydantic.Field(ge=0, lt=MAX_GROUP_RANKS)]
Name = t.Annotated[str, pydantic.Field(max_length=MAX_NAME_CHARS)]
