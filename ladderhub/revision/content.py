"""Digests of headers and bodies, and splitting bodies into pieces that fit into a datagram."""

from __future__ import annotations

import zlib
from hashlib import blake2b

import msgspec

from ladderhub.revision.messages import (
    DIGEST_BYTES, MAX_AUTHOR_BYTES, MAX_BODY_BYTES, MAX_PACKED_BYTES, MAX_REASON_BYTES, PIECE_BYTES,
    SHORT_DIGEST_BYTES, Header,
)  # fmt: skip

NO_DIGEST = bytes(DIGEST_BYTES)  # the parent of revision 1
MAX_HEADER_BYTES_PER_MESSAGE = 800  # well below the size of a datagram

_ENCODER = msgspec.msgpack.Encoder()


def digest_of(header: Header | None) -> bytes:
    """Return the digest by which a child header refers to its parent."""
    if header is None:
        return NO_DIGEST
    return blake2b(_ENCODER.encode(header), digest_size=DIGEST_BYTES, person=b"header").digest()


def body_digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES, person=b"body").digest()


def shorten(digest: bytes) -> bytes:
    return digest[:SHORT_DIGEST_BYTES]


def header_fits(header: Header) -> bool:
    """Return whether the texts of a header are within their limits in bytes.

    Decoding limits only the characters; the limits in bytes make each message fit into a datagram."""
    return len(header.author.encode()) <= MAX_AUTHOR_BYTES and len(header.reason.encode()) <= MAX_REASON_BYTES


def count_fitting_headers(headers: list[Header]) -> int:
    """Return how many of these headers, from the first on, fit into one message."""
    size = 0
    for count, header in enumerate(headers):
        size += len(_ENCODER.encode(header))
        if size > MAX_HEADER_BYTES_PER_MESSAGE:
            return count
    return len(headers)


def truncate_text(text: str, max_bytes: int) -> str:
    """Truncate a text to a number of bytes of UTF-8."""
    return text.encode()[:max_bytes].decode("utf-8", "ignore")


def to_pieces(body: bytes) -> tuple[bytes, ...]:
    """Compress a body and split it into pieces; raises ValueError if it is too long."""
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a configuration of {len(body)} bytes; at most {MAX_BODY_BYTES} may be")
    packed = zlib.compress(body, 6)
    if len(packed) > MAX_PACKED_BYTES:
        raise ValueError(
            f"a configuration of {len(packed)} bytes compressed; at most {MAX_PACKED_BYTES} may be"
        )
    return tuple(packed[start : start + PIECE_BYTES] for start in range(0, len(packed), PIECE_BYTES))


def from_pieces(pieces: list[bytes], digest: bytes) -> bytes | None:
    """Return the body, or None if the pieces do not form the body with this digest."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(b"".join(pieces), MAX_BODY_BYTES)
    except zlib.error:
        return None
    return body if unpacker.eof and body_digest(body) == digest else None
