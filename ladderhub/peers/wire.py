"""Frames: the sender, its cluster, one message, and the head of its revisions.

Bytes in, a frame or the kind of fault out."""

from __future__ import annotations

from enum import StrEnum
from zlib import crc32

import msgspec

from ladderhub.membership.messages import Message, Name, UInt31, UInt63
from ladderhub.revision.messages import Head, RevisionMessage

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # below what any path carries whole


class FrameFault(StrEnum):
    """Why a datagram is no frame of ours.  The values stand in the log."""

    OVERSIZED = "oversized"
    FOREIGN_CLUSTER = "foreign cluster"
    OTHER_VERSION = "other version"
    MALFORMED = "spoilt"


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """`cluster` is a tag of the cluster's name: fleets that share a network do not mix by mistake.

    `head`: the newest revision that the sender knows; None where its fleet has no voters, and from older
    schedulers."""

    version: int
    cluster: int
    name: Name
    life: UInt63
    incarnation: UInt31
    message: Message | RevisionMessage
    head: Head | None = None


class _Header(msgspec.Struct, array_like=True):
    """The part that all versions share."""

    version: int
    cluster: int


_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
_HEADER_DECODER: msgspec.msgpack.Decoder[_Header] = msgspec.msgpack.Decoder(_Header)
_DECODING_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)


def cluster_tag(cluster: str) -> int:
    return crc32(cluster.encode())


def encode(frame: Frame) -> bytes:
    """The datagram, without the head where there is no room for it.

    ValueError where it would be too long all the same: a fault of ours, since messages are bounded."""
    data = _ENCODER.encode(frame)
    if len(data) > MAX_DATAGRAM_BYTES and frame.head is not None:
        data = _ENCODER.encode(msgspec.structs.replace(frame, head=None))
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a datagram of {len(data)} bytes; at most {MAX_DATAGRAM_BYTES} may be")
    return data


def decode(data: bytes, cluster: int) -> Frame | FrameFault:
    """The frame, or what is wrong with the datagram."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return FrameFault.OVERSIZED
    try:
        frame = _FRAME_DECODER.decode(data)
    except _DECODING_ERRORS:
        return _fault_of(data, cluster)
    if frame.version != VERSION:
        return FrameFault.OTHER_VERSION
    return frame if frame.cluster == cluster else FrameFault.FOREIGN_CLUSTER


def _fault_of(data: bytes, cluster: int) -> FrameFault:
    """What the header tells of a datagram that can't be decoded."""
    try:
        header = _HEADER_DECODER.decode(data)
    except _DECODING_ERRORS:
        return FrameFault.MALFORMED
    if header.cluster != cluster:
        return FrameFault.FOREIGN_CLUSTER
    return FrameFault.MALFORMED if header.version == VERSION else FrameFault.OTHER_VERSION
