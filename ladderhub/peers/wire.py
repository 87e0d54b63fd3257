"""Frames: who speaks, to which cluster, and one message.  Bytes in, a frame or the kind of fault out."""

from __future__ import annotations

from zlib import crc32

import msgspec

from ladderhub.membership.messages import Count, Message, Name, Word64

VERSION = 1
DATAGRAM_MOST = 1200  # below what any path carries whole


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """`cluster` is a mark of the cluster's name: fleets that share a network do not mix by mistake."""

    version: int
    cluster: int
    name: Name
    life: Word64
    incarnation: Count
    message: Message


class _Head(msgspec.Struct, array_like=True):
    """The part that all versions share."""

    version: int
    cluster: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
_HEAD: msgspec.msgpack.Decoder[_Head] = msgspec.msgpack.Decoder(_Head)


def mark_of(cluster: str) -> int:
    return crc32(cluster.encode())


def encode(frame: Frame) -> bytes:
    """The datagram.  ValueError where it would be too long: a fault of ours, since messages are bounded."""
    data = _ENCODER.encode(frame)
    if len(data) > DATAGRAM_MOST:
        raise ValueError(f"a datagram of {len(data)} bytes; at most {DATAGRAM_MOST} may be")
    return data


def decode(data: bytes, cluster: int) -> Frame | str:
    """The frame, or what is wrong with it: `oversized`, `foreign cluster`, `other version` or `spoilt`."""
    if len(data) > DATAGRAM_MOST:
        return "oversized"
    try:
        frame = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return _fault(data, cluster)
    if frame.version != VERSION:
        return "other version"
    return frame if frame.cluster == cluster else "foreign cluster"


def _fault(data: bytes, cluster: int) -> str:
    try:
        head = _HEAD.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return "spoilt"
    if head.cluster != cluster:
        return "foreign cluster"
    return "spoilt" if head.version == VERSION else "other version"
