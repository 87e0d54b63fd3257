"""Digests of headers and bodies, and bodies as pieces that fit a datagram."""

from __future__ import annotations

import zlib
from hashlib import blake2b

import msgspec

from ladderhub.revision.messages import (
    DIGEST_BYTES, MAX_AUTHOR_BYTES, MAX_BODY_BYTES, MAX_PACKED_BYTES, MAX_REASON_BYTES, PIECE_BYTES,
    SHORT_DIGEST_BYTES, Header,
)  # fmt: skip

NO_DIGEST = bytes(DIGEST_BYTES)  # the parent of revision 1
HEADER_BYTES_TOLD = 800  # of headers in one message, well below a datagram

_ENCODER = msgspec.msgpack.Encoder()


def digest_of(header: Header | None) -> bytes:
    """By which a child names its parent."""
    if header is None:
        return NO_DIGEST
    return blake2b(_ENCODER.encode(header), digest_size=DIGEST_BYTES, person=b"header").digest()


def body_digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES, person=b"body").digest()


def shorten(digest: bytes) -> bytes:
    return digest[:SHORT_DIGEST_BYTES]


def header_fits(header: Header) -> bool:
    """Texts are bounded in characters on the wire; here in bytes, so that every message with one fits."""
    return len(header.author.encode()) <= MAX_AUTHOR_BYTES and len(header.reason.encode()) <= MAX_REASON_BYTES


def headers_that_fit(headers: list[Header]) -> int:
    """How many of the first of these go into one message."""
    size = 0
    for count, header in enumerate(headers):
        size += len(_ENCODER.encode(header))
        if size > HEADER_BYTES_TOLD:
            return count
    return len(headers)


def cut_text(text: str, most: int) -> str:
    """The begin of a text that is at most so many bytes of UTF-8."""
    return text.encode()[:most].decode("utf-8", "ignore")


def to_pieces(body: bytes) -> tuple[bytes, ...]:
    """The body compressed, in pieces; ValueError where it is too long."""
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a configuration of {len(body)} bytes; at most {MAX_BODY_BYTES} may be")
    packed = zlib.compress(body, 6)
    if len(packed) > MAX_PACKED_BYTES:
        raise ValueError(
            f"a configuration of {len(packed)} bytes compressed; at most {MAX_PACKED_BYTES} may be"
        )
    return tuple(packed[at : at + PIECE_BYTES] for at in range(0, len(packed), PIECE_BYTES))


def from_pieces(pieces: list[bytes], digest: bytes) -> bytes | None:
    """The body, or None where the pieces are not of the body with this digest."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(b"".join(pieces), MAX_BODY_BYTES)
    except zlib.error:
        return None
    return body if unpacker.eof and body_digest(body) == digest else None
