"""Datagrams: what is not a message of our cluster is named and dropped, whatever it is."""

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

MARK = cluster_tag("north")
FRAME = Frame(VERSION, MARK, "a", 7, 0, Ping(1, 2, 3, (Entry("a", 7, "127.0.0.1:1", 0, Status.ALIVE),)))


def raw(name: str, life: int, *news: list[object]) -> bytes:
    return msgspec.msgpack.encode([VERSION, MARK, name, life, 0, [1, 1, 1, 1, news]])


def test_a_frame_comes_back_as_it_was() -> None:
    assert decode(encode(FRAME), MARK) == FRAME


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", "spoilt"),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), "oversized"),
        (encode(FRAME)[:-3], "spoilt"),
        (encode(msgspec.structs.replace(FRAME, cluster=1)), "foreign cluster"),
        (encode(msgspec.structs.replace(FRAME, version=9)), "other version"),
        (msgspec.msgpack.encode([9, MARK, "what", "comes", "later"]), "other version"),
        (raw("a", -7), "spoilt"),
        (raw("a" * 65, 7), "spoilt"),
        (raw("a", 7, ["a", 7, "nowhere", 0, 1]), "spoilt"),
        (raw("a", 7, ["a", 7, "h:1", 0, 7]), "spoilt"),
    ],
)  # fmt: skip
def test_what_is_no_message_is_named(data: bytes, fault: str) -> None:
    assert decode(data, MARK) == fault


def test_spoilt_bytes_never_raise() -> None:
    rng, good = random.Random(1), encode(FRAME)
    kinds = set()
    for _ in range(5_000):
        data = bytearray(good)
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        found = decode(bytes(data[: rng.randrange(len(data) + 1)]), MARK)
        kinds.add(found if isinstance(found, str) else "frame")
        assert isinstance(decode(rng.randbytes(rng.randrange(1500)), MARK), str)
    assert {"spoilt", "foreign cluster"} <= kinds


def test_a_message_of_ours_that_would_not_fit_is_our_fault() -> None:
    entries = tuple(Entry("n" * 64, at, "h" * 50 + ":1", 0, Status.ALIVE) for at in range(20))
    with pytest.raises(ValueError, match="at most 1200"):
        encode(Frame(VERSION, MARK, "a", 7, 0, SyncEntries(entries)))


DIGEST = b"\xff" * 16
HEAD = Head((1 << 31) - 1, DIGEST[:8], (1 << 31) - 1)
HEADER = Header((1 << 31) - 1, DIGEST, "a" * 64, (1 << 63) - 1, "r" * 200, DIGEST)
BALLOT = Ballot((1 << 31) - 1, (1 << 63) - 1)
PLACE = "h" * 58 + ":65535"


def test_the_head_of_revisions_rides_on_any_frame_and_older_schedulers_send_none() -> None:
    frame = msgspec.structs.replace(FRAME, head=HEAD)
    assert decode(encode(frame), MARK) == frame
    found = decode(raw("a", 7), MARK)
    assert isinstance(found, Frame) and found.head is None


@pytest.mark.parametrize(
    "message",
    [
        LeaseGrant((1 << 31) - 1, b"\xff" * 400, b"\xff" * 400, PLACE),
        Piece((1 << 63) - 1, 81, 82, b"x" * PIECE_BYTES), Headers((1 << 31) - 1, (HEADER,) * 2),
        FetchPieces((1 << 63) - 1, DIGEST, tuple(range(16)), PLACE), Accept(BALLOT, HEADER, PLACE, PLACE),
        Promise((1 << 31) - 1, BALLOT, PLACE, BALLOT, HEADER), Opinion(DIGEST, "f" * 200),
    ],
    ids=lambda message: type(message).__name__,
)  # fmt: skip
def test_the_longest_messages_fit_beside_the_longest_name_and_a_head(message: Any) -> None:
    frame = Frame(VERSION, MARK, "n" * 64, (1 << 63) - 1, (1 << 31) - 1, message, HEAD)
    assert decode(encode(frame), MARK) == frame


def test_a_message_that_leaves_no_room_for_the_head_goes_without_it() -> None:
    grant = LeaseGrant((1 << 31) - 1, b"\xff" * 512, b"\xff" * 512, PLACE)
    frame = Frame(VERSION, MARK, "n" * 64, (1 << 63) - 1, (1 << 31) - 1, grant, HEAD)
    assert decode(encode(frame), MARK) == msgspec.structs.replace(frame, head=None)
