"""The batch protocol without sockets: DIS, partial messages, submission steps, job scripts, resources."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import (
    Attr,
    Reply,
    ReplyParser,
    Request,
    RequestParser,
    Row,
    encode_reply,
    encode_request,
)
from ladderhub.pbs.connection import COMMITTED, IDLE, TRANSITIONS, Draft, ServerConnection
from ladderhub.pbs.dis import DisError, NeedMore, Reader, encode_number, encode_string
from ladderhub.pbs.jobscript import ScriptError, parse_directives
from ladderhub.pbs.resources import ResourceError, parse_list, parse_size, parse_time, parse_resources

TEXT = st.text(max_size=40)
ATTRS = st.lists(st.builds(Attr, TEXT, TEXT, TEXT, st.integers(0, n.OP_LT)), max_size=5)


def test_numbers_and_strings_are_encoded_as_published() -> None:
    assert [encode_number(value) for value in (7, 42, -17, 1234567890)] == [
        b"+7",
        b"2+42",
        b"2-17",
        b"210+1234567890",
    ]
    assert encode_string("abc") == b"+3abc"


@given(st.integers(-(10**18), 10**18), st.binary(max_size=60))
def test_dis_round_trip_and_every_truncation_needs_more(value: int, data: bytes) -> None:
    whole = encode_number(value) + encode_string(data)
    reader = Reader(whole, 1000)
    assert (reader.read_signed(), reader.read_bytes()) == (value, data)
    for cut in range(len(whole)):
        reader = Reader(whole[:cut], 1000)
        with pytest.raises(NeedMore) as more:
            reader.read_signed()
            reader.read_bytes()
        assert cut < more.value.total <= len(whole)


@pytest.mark.parametrize("data", [b"x", b"0+1", b"1+5", b"2+0", b"2+01", b"+x", b"99+1", b"-5"])
def test_an_invalid_number_is_reported_at_once(data: bytes) -> None:
    with pytest.raises(DisError):
        Reader(data + b"+" * 30, 10).read_unsigned()


@settings(max_examples=60)
@given(TEXT, ATTRS, st.binary(max_size=300), st.integers(1, 40))
def test_requests_are_parsed_from_any_pieces(text: str, attrs: list[Attr], data: bytes, step: int) -> None:
    sent = [
        Request(n.QUEUE_JOB, "u", text, attrs, destination=text, extension=text),
        Request(n.JOB_SCRIPT, "u", text, data=data), Request(n.COMMIT, "u", text),
        Request(n.MANAGER, "u", attrs=attrs, name=text, command=n.CMD_SET, object_type=n.OBJ_NODE),
        Request(n.STATUS_JOB, "u", text, attrs), Request(n.JOB_OBIT, "u", text, attrs, status=-3),
        Request(n.MESSAGE_JOB, "u", text, file_kind=1, text=text), Request(n.SIGNAL_JOB, "u", text,
        text=text),
        Request(n.SELECT_JOBS, "u", attrs=attrs), Request(n.SHUTDOWN, "u", manner=1), Request(n.CONNECT, "u"),
    ]  # fmt: skip
    wire = b"".join(map(encode_request, sent))
    parser, got = RequestParser(), []
    for at in range(0, len(wire), step):
        parser.feed(wire[at : at + step])
        while (request := parser.next()) is not None:
            got.append(request)
    assert b"".join(map(encode_request, got)) == wire and not parser.pending()


@settings(max_examples=60)
@given(st.lists(st.tuples(TEXT, ATTRS), max_size=6), st.integers(1, 50))
def test_replies_are_parsed_from_any_pieces(rows: list[tuple[str, list[Attr]]], step: int) -> None:
    sent = [
        Reply(0, n.R_STATUS, rows=[Row(n.OBJ_JOB, name, attrs) for name, attrs in rows]),
        Reply(n.UNKNOWN_JOB, n.R_TEXT, text="no such job"), Reply(0, n.R_SELECT, jobs=[name for name,
        _ in rows]),
        Reply(0, n.R_QUEUE, job="1.a"), Reply(),
    ]  # fmt: skip
    wire = b"".join(map(encode_reply, sent))
    parser, got = ReplyParser(), []
    for at in range(0, len(wire), step):
        parser.feed(wire[at : at + step])
        while (reply := parser.next()) is not None:
            got.append(reply)
    assert b"".join(map(encode_reply, got)) == wire


def test_a_submission_takes_its_steps_in_order_with_one_answer_each() -> None:
    for (state, kind), after in TRANSITIONS.items():
        connection = ServerConnection()
        connection.state = state
        if state not in (IDLE, COMMITTED):
            connection.draft = Draft("1.a", Request(n.QUEUE_JOB))
        request = Request(kind, job="1.a")
        assert connection.is_allowed(request)
        connection.record_success(request)
        assert connection.state == after
    connection = ServerConnection()
    assert not connection.is_allowed(Request(n.JOB_SCRIPT, job="1.a"))
    first, second = connection.receive(encode_request(Request(n.CONNECT)) * 2)
    assert connection.answer(second, Reply()) == []  # the first is not answered yet
    assert connection.answer(first, Reply()) == [first, second]
    with pytest.raises(RuntimeError):
        connection.answer(first, Reply())


# --- job scripts ------------------------------------------------------------------------------------------


def test_directives_stand_before_the_first_command() -> None:
    script = b"#!/bin/sh\r\n# words\r\n#PBS -N one -l 'ncpus=2'\r\n\r\n"
    script += b"#PBSx -N no\r\n#PBS -q web\r\necho\r\n#PBS -N late"
    assert parse_directives(script) == [(3, ["-N", "one", "-l", "ncpus=2"]), (6, ["-q", "web"])]
    assert parse_directives(b"#PBS -N last") == [(1, ["-N", "last"])]
    assert (
        parse_directives(b"#X -N a\n", "#X") == [(1, ["-N", "a"])]
        and parse_directives(b"#PBS -N a\n", "") == []
    )


def test_long_directives_are_read_and_too_long_ones_are_reported() -> None:
    value = "A=" + "x" * 10_240
    assert parse_directives(f"#PBS -v {value}\n".encode()) == [(1, ["-v", value])]
    with pytest.raises(ScriptError, match="line 1"):
        parse_directives(b"#PBS -v " + b"x" * 70_000)
    with pytest.raises(ScriptError, match="line 2: No closing quotation"):
        parse_directives(b"#!/bin/sh\n#PBS -N 'open\n")


@pytest.mark.parametrize(
    ("text", "size"),
    [("512", 512), ("1b", 1), ("2kb", 2048), ("3mw", 3 * 8 << 20), ("1GB", 1 << 30), ("4g", 4 << 30)],
)
def test_sizes_as_published(text: str, size: int) -> None:
    assert parse_size(text) == size


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("mem=2 gigs", "not a size"), ("ncpus=0", "above 0"), ("ncpus=two", "above 0"), ("walltime=1:99",
        "not a time"),
        ("select=2:ncpus=1", "one chunk"), ("nodes=1:gpu", "not known"), ("cpus=2", "cpus: unknown"),
        ("place=scatter:excl", "excl is not served"), ("place=odd", "odd: free, pack"),
        ("cput=5", "can't be kept"),
        ("place=pack:group=rack", "group=rack is not"), ("select=1:ncpus=1+1:ncpus=2", "several chunks"),
        ("select=1:ncpus=2,ncpus=4", "beside select"), ("select=1,nodes=1", "beside select"),
        ("select=1:gpus=1", "gpus is not known"), ("select=1:mpiprocs=0", "above 0"),
        ("ncpus", "no value"), ("mem='1gb", "not closed"),
    ],
)  # fmt: skip
def test_invalid_resources_are_reported_by_name(text: str, words: str) -> None:
    with pytest.raises(ResourceError, match=words):
        parse_resources(dict(parse_list(text)))


def test_each_form_of_a_request_for_resources_is_read() -> None:
    def read(text: str) -> tuple[float | None, int, int, int, int]:
        found = parse_resources(dict(parse_list(text)))
        return found.cores, found.memory, found.walltime_s, found.mpiprocs, found.ompthreads

    assert read("ncpus=2,mem=4gb,walltime=1:00:00") == (2.0, 4 << 30, 3600, 0, 0)
    assert read("select=1:ncpus=3:mem=1gb") == (3.0, 1 << 30, 0, 0, 0)
    assert read("nodes=1:ppn=4") == (4.0, 0, 0, 4, 0)
    # As client libraries write them; one chunk is always on one node, whatever its arrangement.
    assert read("select=1:ncpus=1:mpiprocs=1,place=scatter:shared") == (1.0, 0, 0, 1, 0)
    assert read("select=ncpus=8:ompthreads=4:mpiprocs=2,place=pack") == (8.0, 0, 0, 2, 4)
    assert read("service=x,place=free") == (None, 0, 0, 0, 0)
    assert parse_time("90") == 90
