"""What the stand-in engine answers: tokens and prefix blocks fixed by their input."""

import hashlib
import typing as t

import pydantic

BLOCK_CHARS = 64
BLOCK_ID_CHARS = 16
TOKEN_CHARS = 6


class Message(pydantic.BaseModel):
    """A message of a chat; members that aren't used here are ignored."""

    role: str = pydantic.Field(max_length=64)
    content: str


Messages = t.Sequence[Message | t.Mapping[str, str]]


def expected_tokens(
    model: str, messages: Messages, count: int, start: int = 0
) -> list[str]:
    """Return the tokens ``start`` to ``start + count - 1`` of the one right answer."""
    seed = prompt_digest(model, messages)
    return [token_at(seed, index) for index in range(start, start + count)]


def prompt_digest(model: str, messages: Messages) -> bytes:
    """Return the digest that fixes every token of the answer."""
    text = f"{model}\n{prompt_text(messages)}"
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).digest()


def token_at(seed: bytes, index: int) -> str:
    """Return one token of the answer to the prompt whose digest is ``seed``."""
    digest = hashlib.sha256(seed + index.to_bytes(8, "big")).hexdigest()
    return digest[:TOKEN_CHARS] + " "


def prompt_text(messages: Messages) -> str:
    """Return the text of ``messages`` whose prefix blocks an engine caches."""
    checked = [Message.model_validate(message) for message in messages]
    return "".join(f"{message.role}:{message.content}\n" for message in checked)


def prefix_blocks(
    model: str, messages: Messages, block_chars: int = BLOCK_CHARS
) -> list[str]:
    """Return the ids of the whole prefix blocks of a prompt, the shortest first.

    An id depends on the model and on the whole prefix up to the block's end.
    """
    text = prompt_text(messages)
    digest = hashlib.sha256(model.encode("utf-8", "surrogatepass"))
    blocks = []
    for start in range(0, len(text) - block_chars + 1, block_chars):
        block = text[start : start + block_chars]
        digest.update(block.encode("utf-8", "surrogatepass"))
        blocks.append(digest.hexdigest()[:BLOCK_ID_CHARS])
    return blocks
