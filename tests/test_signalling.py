"""The signalling protocol without I/O: both encodings, journal lines, the state machine of a set-up."""

from __future__ import annotations

import json
from itertools import pairwise, product
from typing import Any

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from ladderhub.signalling import (
    MAX_MESSAGE_BYTES,
    TRANSITIONS,
    BinaryReader,
    Code,
    JournalReader,
    Kind,
    Leg,
    LineReader,
    Message,
    SignalError,
    State,
    Step,
    encode_binary,
    encode_line,
)

ID = "00c3a1f2d4e5b697"
MESSAGES = [
    Message(Kind.SETUP, ID, None, "v=1\r\nm=é\r\n", values={Code.CLASS: "web", Code.WAIT: "750"}),
    Message(Kind.RELEASE, ID, 34, None, values={Code.NOTE: "no_cores"}),
    Message(Kind.NOTE, ID, None, None, values={Code.NOTE: "served", Code.FIGURE: "0.25"}),
    Message(Kind.PONG, ID, 1),
]
BINARY = b"".join(encode_binary(message) for message in MESSAGES)


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    offsets = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in pairwise(offsets)]


def read(reader: BinaryReader | LineReader, parts: list[bytes]) -> tuple[list[object], bool, int]:
    """Feed the parts: the messages, whether an error ended the reading, and the largest buffer size."""
    found: list[object] = []
    max_pending = 0
    for part in parts:
        messages, fault = reader.feed(part)
        found += [str(each) if isinstance(each, SignalError) else each for each in messages]
        max_pending = max(max_pending, reader.pending())
        if fault is not None:
            return found, True, max_pending
    return found, False, max_pending


@seed(25)
@given(st.lists(st.integers(0, 10_000), max_size=8))
def test_binary_messages_are_the_same_however_the_bytes_are_split(cuts: list[int]) -> None:
    assert read(BinaryReader(), split_at(BINARY, cuts))[:2] == (MESSAGES, False)


PIECES = [
    *(encode_binary(each) for each in MESSAGES),
    *(b"\xff\xff\x09", b"\x00\x00", b"\x00\x09\x06" + bytes(8), b"\n", b'{"type":"ping",'),
    *(encode_line(Message(Kind.PING, ID, 0)), b'{"type":"setup","id":"' + ID.encode() + b'"}\n'),
]
JUNK = st.lists(
    st.one_of(st.binary(max_size=40), st.sampled_from(PIECES)),
    max_size=8,
).map(b"".join)


@seed(26)
@given(JUNK, st.lists(st.integers(0, 10_000), max_size=8))
def test_no_bytes_make_a_reader_raise_or_buffer_without_bound(data: bytes, cuts: list[int]) -> None:
    for kind in (BinaryReader, LineReader):
        whole, split = read(kind(), [data]), read(kind(), split_at(data, cuts))
        assert whole[:2] == split[:2] and max(whole[2], split[2]) <= MAX_MESSAGE_BYTES


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x08\x09" + bytes(7),  # shorter than the shortest message
        b"\xff\xf0\x09" + bytes(8),  # longer than the limit
        b"\x00\x09\x63",  # an unknown type, detected before the rest arrives
        b"\x00\x0b\x09" + bytes(8) + b"\xc3\x00",  # a truncated parameter
        b"\x00\x0d\x09" + bytes(8) + b"\xc3\x40\x00x",  # a parameter that is longer than its message
        b"\x00\x0e\x0c" + bytes(8) + b"\xc2\x00\x02\x10\x10",  # a cause of two bytes
        b"\x00\x0d\x09" + bytes(8) + b"\xc3\x00\x01\xff",  # a description that is not UTF-8
    ],
)
def test_an_invalid_binary_message_ends_the_reading_after_the_valid_ones(data: bytes) -> None:
    good = encode_binary(MESSAGES[0])
    messages, fault = BinaryReader().feed(good + data + good)
    assert messages == MESSAGES[:1] and fault is not None


def test_a_message_that_would_be_too_long_is_not_encoded() -> None:
    with pytest.raises(SignalError):
        encode_binary(Message(Kind.SETUP, ID, None, "x" * MAX_MESSAGE_BYTES))


def line(**fields: Any) -> bytes:
    return json.dumps({"type": "setup", "id": ID, "fields": {}} | fields).encode() + b"\n"


@pytest.mark.parametrize(
    ("data", "named"),
    [
        (line(type="dance"), True),
        (line(fields={"left": float("nan")}), False),  # JSON has no NaN
        (line(fields=[1]), True),
        (line(fields={"left": {"a": 1}}), True),
        (line(fields={"left": None}), True),
        (line(sdp=7), True),
        (line(cause="x"), True),
        (line(cause=256), True),  # does not fit into the byte of the binary encoding
        (line(cause=-1), True),
        (line(id="xyz"), False),
        (line(id=ID.upper()), False),
        (line(id=5), False),
        (b'{"type":"setup"}\n', False),
        (b"[" * 9000 + b"\n", False),
        (b'{"id":"' + ID.encode() + b'","type":' + b"[" * 5000 + b"]" * 5000 + b"}\n", False),
        (b"\xff\xfe\n", False),
        (b"5\n", False),
        (b"\n", False),
    ],
    ids=range(18),
)
def test_the_error_of_an_invalid_line_has_the_task_id_if_the_line_has_one(data: bytes, named: bool) -> None:
    good = encode_line(Message(Kind.PING, ID, 0))
    found, fault = LineReader().feed(good + data + good)
    assert found[0] == Message(Kind.PING, ID, 0)
    if named:
        assert isinstance(found[1], SignalError) and found[1].id == ID and fault is None and len(found) == 3
    else:
        assert len(found) == 1 and fault is not None


def test_an_endless_line_is_not_buffered() -> None:
    _, ended, max_pending = read(LineReader(), [b"x" * 1000] * 40)
    assert ended and max_pending <= MAX_MESSAGE_BYTES


def test_the_journal_drops_repeats_and_ends_at_a_gap() -> None:
    def event(pos: int) -> bytes:
        row = {"name": f"m{pos}", "address": "127.0.0.1:1", "status": "ready", "left_over": [1.5, -2]}
        hosts = {"index": pos, "snapshot": False, "endpoints": [row]}
        return json.dumps({"pos": pos, "hosts": hosts}).encode() + b"\n"

    reader = JournalReader(4)
    assert reader.start() == b"tail 4\n"
    found, fault = reader.feed(event(4) + event(5) + event(5) + b"5\n" + event(6) + event(7)[:20])
    assert ([each.pos for each in found], fault, reader.pos) == ([5, 6], None, 6)
    assert found[0].rows is not None and found[0].rows[0].left_over == (1.5, -2.0)
    # An incomplete event is dropped with its connection; the next one continues after the last complete one.
    assert reader.start() == b"tail 6\n"
    assert [each.pos for each in reader.feed(event(7))[0]] == [7]
    for beyond in (event(9), b"9\n", b'{"pos":9}\n', b"nine\n"):
        assert JournalReader(7).feed(beyond)[1] is not None


def test_a_set_up_takes_only_the_steps_of_the_table() -> None:
    for state, step in product(State, Step):
        leg = Leg()
        leg.state = state
        if (state, step) in TRANSITIONS:
            leg.step(step)
            assert leg.state is TRANSITIONS[state, step] and state is not State.OVER
        else:
            with pytest.raises(SignalError):
                leg.step(step)
            assert leg.state is state
