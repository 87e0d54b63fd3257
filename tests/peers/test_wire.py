"""Datagrams: anything that is not a message of our cluster is classified and rejected."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from ladderhub.membership.messages import Entry, LeaseGrant, SyncEntries, Ping, Status
from ladderhub.peers.wire import MAX_DATAGRAM_BYTES, VERSION, Frame, decode, encode, cluster_tag
from ladderhub.revision.messages import (
    PIECE_BYTES, Accept, Ballot, FetchPieces, Head, Header, Headers, Opinion, Piece, Promise,
)  # fmt: skip

CLUSTER_TAG = cluster_tag("north")
FRAME = Frame(
    VERSION, CLUSTER_TAG, "a", 7, 0, Ping(1, 2, 3, (Entry("a", 7, "127.0.0.1:1", 0, Status.ALIVE),))
)


def encode_raw(name: str, life: int, *entries: list[object]) -> bytes:
    return msgspec.msgpack.encode([VERSION, CLUSTER_TAG, name, life, 0, [1, 1, 1, 1, entries]])


def test_decoding_returns_the_encoded_frame() -> None:
    assert decode(encode(FRAME), CLUSTER_TAG) == FRAME


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", "spoilt"),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), "oversized"),
        (encode(FRAME)[:-3], "spoilt"),
        (encode(msgspec.structs.replace(FRAME, cluster=1)), "foreign cluster"),
        (encode(msgspec.structs.replace(FRAME, version=9)), "other version"),
        (msgspec.msgpack.encode([9, CLUSTER_TAG, "what", "comes", "later"]), "other version"),
        (encode_raw("a", -7), "spoilt"),
        (encode_raw("a" * 65, 7), "spoilt"),
        (encode_raw("a", 7, ["a", 7, "nowhere", 0, 1]), "spoilt"),
        (encode_raw("a", 7, ["a", 7, "h:1", 0, 7]), "spoilt"),
    ],
)  # fmt: skip
def test_an_invalid_datagram_is_rejected_with_its_fault(data: bytes, fault: str) -> None:
    assert decode(data, CLUSTER_TAG) == fault


def test_decoding_corrupted_bytes_never_raises() -> None:
    rng, good = random.Random(1), encode(FRAME)
    kinds = set()
    for _ in range(5_000):
        data = bytearray(good)
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        found = decode(bytes(data[: rng.randrange(len(data) + 1)]), CLUSTER_TAG)
        kinds.add(found if isinstance(found, str) else "frame")
        assert isinstance(decode(rng.randbytes(rng.randrange(1500)), CLUSTER_TAG), str)
    assert {"spoilt", "foreign cluster"} <= kinds


def test_encoding_a_message_that_does_not_fit_raises() -> None:
    entries = tuple(Entry("n" * 64, at, "h" * 50 + ":1", 0, Status.ALIVE) for at in range(20))
    with pytest.raises(ValueError, match="at most 1200"):
        encode(Frame(VERSION, CLUSTER_TAG, "a", 7, 0, SyncEntries(entries)))


DIGEST = b"\xff" * 16
HEAD = Head((1 << 31) - 1, DIGEST[:8], (1 << 31) - 1)
HEADER = Header((1 << 31) - 1, DIGEST, "a" * 64, (1 << 63) - 1, "r" * 200, DIGEST)
BALLOT = Ballot((1 << 31) - 1, (1 << 63) - 1)
ADDRESS = "h" * 58 + ":65535"


def test_any_frame_may_carry_the_head_of_revisions_and_older_schedulers_send_none() -> None:
    frame = msgspec.structs.replace(FRAME, head=HEAD)
    assert decode(encode(frame), CLUSTER_TAG) == frame
    found = decode(encode_raw("a", 7), CLUSTER_TAG)
    assert isinstance(found, Frame) and found.head is None


@pytest.mark.parametrize(
    "message",
    [
        LeaseGrant((1 << 31) - 1, b"\xff" * 400, b"\xff" * 400, ADDRESS),
        Piece((1 << 63) - 1, 81, 82, b"x" * PIECE_BYTES), Headers((1 << 31) - 1, (HEADER,) * 2),
        FetchPieces((1 << 63) - 1, DIGEST, tuple(range(16)), ADDRESS),
        Accept(BALLOT, HEADER, ADDRESS, ADDRESS),
        Promise((1 << 31) - 1, BALLOT, ADDRESS, BALLOT, HEADER), Opinion(DIGEST, "f" * 200),
    ],
    ids=lambda message: type(message).__name__,
)  # fmt: skip
def test_the_longest_messages_fit_with_the_longest_name_and_a_head(message: Any) -> None:
    frame = Frame(VERSION, CLUSTER_TAG, "n" * 64, (1 << 63) - 1, (1 << 31) - 1, message, HEAD)
    assert decode(encode(frame), CLUSTER_TAG) == frame


def test_a_message_that_leaves_no_room_for_the_head_is_sent_without_it() -> None:
    grant = LeaseGrant((1 << 31) - 1, b"\xff" * 512, b"\xff" * 512, ADDRESS)
    frame = Frame(VERSION, CLUSTER_TAG, "n" * 64, (1 << 63) - 1, (1 << 31) - 1, grant, HEAD)
    assert decode(encode(frame), CLUSTER_TAG) == msgspec.structs.replace(frame, head=None)
