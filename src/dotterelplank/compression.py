"""Decompression of data from peers, with a limit on its size."""

import zlib


def inflate(data: bytes, max_bytes: int) -> bytes:
    """Return decompressed data.

    :raises ValueError: if the data is invalid, truncated or longer than ``max_bytes``.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"invalid compressed data: {error}") from error
    if not inflater.eof:
        raise ValueError("compressed data that is truncated or too large")
    return plain
