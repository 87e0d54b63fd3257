"""The bytes of a `Record`: MessagePack behind a mark, a version and a checksum."""

from __future__ import annotations

from hashlib import blake2b
from itertools import pairwise

import msgspec

from ladderhub.revision.content import body_digest, digest_of
from ladderhub.revision.types import Record

MARK = b"ladderhub revisions 1\n"
SUM_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    data = _ENCODER.encode(record)
    return MARK + blake2b(data, digest_size=SUM_BYTES).digest() + data


def decode_record(data: bytes) -> Record:
    """ValueError where they are cut short, changed, or of another version."""
    if not data.startswith(MARK):
        raise ValueError("it does not begin as a record of revisions")
    checksum, content = data[len(MARK) : len(MARK) + SUM_BYTES], data[len(MARK) + SUM_BYTES :]
    if blake2b(content, digest_size=SUM_BYTES).digest() != checksum:
        raise ValueError("its checksum does not match")
    try:
        record = _DECODER.decode(content)
    except msgspec.DecodeError as fault:
        raise ValueError(str(fault)) from None
    if not _is_sound(record):
        raise ValueError("its parts do not fit together")
    return record


def _is_sound(record: Record) -> bool:
    """Do its parts fit together?"""
    headers = record.headers
    linked = all(b.number == a.number + 1 and b.parent == digest_of(a) for a, b in pairwise(headers))
    head = headers[-1] if headers else None
    bodied = record.body is None or (head is not None and body_digest(record.body) == head.body)
    acting = (record.active is None) == (record.active_body is None)
    voted = record.accepted is None or record.accepted.header.parent == digest_of(head)
    return linked and bodied and acting and voted
