"""The tokens and prefix blocks of the stand-in engine.

They depend only on the model and the prompt, so that a test can compute the expected
response to each request.
"""

import hashlib
import typing as t

import pydantic

BLOCK_CHARS = 64
BLOCK_ID_CHARS = 16
TOKEN_CHARS = 6


class Message(pydantic.BaseModel):
    """A message of a chat; unknown fields are ignored."""

    role: str = pydantic.Field(max_length=64)
    content: str


Messages = t.Sequence[Message | t.Mapping[str, str]]


def expected_tokens(
    model: str, messages: Messages, count: int, start: int = 0
) -> list[str]:
    """Return the tokens of the only correct response to a prompt.

    :param count: number of returned tokens.
    :param start: index of the first returned token.
    """
    seed = prompt_digest(model, messages)
    return [token_at(seed, index) for index in range(start, start + count)]


def prompt_digest(model: str, messages: Messages) -> bytes:
    """Return the digest of a prompt, from which all tokens of the response follow."""
    text = f"{model}\n{prompt_text(messages)}"
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).digest()


def token_at(seed: bytes, index: int) -> str:
    """Return the token at ``index`` of the response.

    :param seed: digest of the prompt.
    """
    digest = hashlib.sha256(seed + index.to_bytes(8, "big")).hexdigest()
    return digest[:TOKEN_CHARS] + " "


def prompt_text(messages: Messages) -> str:
    """Return the text of the prompt, which is split into prefix blocks."""
    checked = [Message.model_validate(message) for message in messages]
    return "".join(f"{message.role}:{message.content}\n" for message in checked)


def prefix_blocks(
    model: str, messages: Messages, block_chars: int = BLOCK_CHARS
) -> list[str]:
    """Return the ids of the complete prefix blocks of a prompt, in their order.

    The id of a block depends on the model and on all text up to the block's end.

    :param block_chars: length of a block in characters.
    """
    text = prompt_text(messages)
    digest = hashlib.sha256(model.encode("utf-8", "surrogatepass"))
    blocks = []
    for start in range(0, len(text) - block_chars + 1, block_chars):
        block = text[start : start + block_chars]
        digest.update(block.encode("utf-8", "surrogatepass"))
        blocks.append(digest.hexdigest()[:BLOCK_ID_CHARS])
    return blocks
