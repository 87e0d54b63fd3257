"""Encodes and decodes frames: the sender, its cluster, one message, and the head of its revisions."""

from __future__ import annotations

from enum import StrEnum
from zlib import crc32

import msgspec

from ladderhub.membership.messages import Message, Name, UInt31, UInt63
from ladderhub.revision.messages import Head, RevisionMessage

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # small enough to avoid fragmentation on any path


class FrameFault(StrEnum):
    """Why a datagram is rejected.  The values are written to the log."""

    OVERSIZED = "oversized"
    FOREIGN_CLUSTER = "foreign cluster"
    OTHER_VERSION = "other version"
    MALFORMED = "spoilt"


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message and its sender.

    `cluster` is a hash of the cluster's name, so that clusters on the same network do not mix by mistake.
    `head` is the newest revision that the sender knows.  It is None if the cluster has no voters, if the
    datagram has no room for it, and from older schedulers."""

    version: int
    cluster: int
    name: Name
    life: UInt63
    incarnation: UInt31
    message: Message | RevisionMessage
    head: Head | None = None


class _Header(msgspec.Struct, array_like=True):
    """The part of a frame that all versions share."""

    version: int
    cluster: int


_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
_HEADER_DECODER: msgspec.msgpack.Decoder[_Header] = msgspec.msgpack.Decoder(_Header)
_DECODING_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)


def cluster_tag(cluster: str) -> int:
    """Hash of a cluster's name, for `Frame.cluster`."""
    return crc32(cluster.encode())


def encode(frame: Frame) -> bytes:
    """Encode a frame, without the head if there is no room for it.

    Raises ValueError if it is still too long.  That is a programming error, because messages are bounded."""
    data = _ENCODER.encode(frame)
    if len(data) > MAX_DATAGRAM_BYTES and frame.head is not None:
        data = _ENCODER.encode(msgspec.structs.replace(frame, head=None))
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram has {len(data)} bytes; at most {MAX_DATAGRAM_BYTES} are allowed")
    return data


def decode(data: bytes, cluster: int) -> Frame | FrameFault:
    """Decode a datagram; return the frame, or why the datagram is rejected."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return FrameFault.OVERSIZED
    try:
        frame = _FRAME_DECODER.decode(data)
    except _DECODING_ERRORS:
        return _classify_fault(data, cluster)
    if frame.version != VERSION:
        return FrameFault.OTHER_VERSION
    return frame if frame.cluster == cluster else FrameFault.FOREIGN_CLUSTER


def _classify_fault(data: bytes, cluster: int) -> FrameFault:
    """Find out from the header why a datagram cannot be decoded."""
    try:
        header = _HEADER_DECODER.decode(data)
    except _DECODING_ERRORS:
        return FrameFault.MALFORMED
    if header.cluster != cluster:
        return FrameFault.FOREIGN_CLUSTER
    return FrameFault.MALFORMED if header.version == VERSION else FrameFault.OTHER_VERSION
