"""Serialization of a `Record`: magic bytes with a version, a checksum and MessagePack."""

from __future__ import annotations

from hashlib import blake2b
from itertools import pairwise

import msgspec

from ladderhub.revision.content import body_digest, digest_of
from ladderhub.revision.types import Record

MAGIC = b"ladderhub revisions 1\n"
CHECKSUM_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    data = _ENCODER.encode(record)
    return MAGIC + blake2b(data, digest_size=CHECKSUM_BYTES).digest() + data


def decode_record(data: bytes) -> Record:
    """Decode a record; raises ValueError if it is truncated, corrupt or of another version."""
    if not data.startswith(MAGIC):
        raise ValueError("it does not start with the magic bytes of a record of revisions")
    checksum, content = data[len(MAGIC) : len(MAGIC) + CHECKSUM_BYTES], data[len(MAGIC) + CHECKSUM_BYTES :]
    if blake2b(content, digest_size=CHECKSUM_BYTES).digest() != checksum:
        raise ValueError("its checksum does not match")
    try:
        record = _DECODER.decode(content)
    except msgspec.DecodeError as fault:
        raise ValueError(str(fault)) from None
    if not _is_consistent(record):
        raise ValueError("its fields are inconsistent")
    return record


def _is_consistent(record: Record) -> bool:
    """Return whether the fields of a record are consistent with each other."""
    headers = record.headers
    linked = all(b.number == a.number + 1 and b.parent == digest_of(a) for a, b in pairwise(headers))
    head = headers[-1] if headers else None
    body_matches = record.body is None or (head is not None and body_digest(record.body) == head.body)
    active_complete = (record.active is None) == (record.active_body is None)
    accepted_matches = record.accepted is None or record.accepted.header.parent == digest_of(head)
    return linked and body_matches and active_complete and accepted_matches
