"""The machine list as sent by the journal service, through failures, silence and address changes."""

from __future__ import annotations

import json
from typing import Any

import pytest

from ladderhub.platform.config import load_config
from ladderhub.signalling import Kind, Message
from ladderhub.loop import Listener
from tests.platform.bed import MS, Journal, Machine, Owner, S
from tests.platform.bed import accept_all, event, place_task, release


def test_the_journal_is_followed_through_disconnects_silence_and_a_new_address(beds: Any) -> None:
    bed = beds(accept_all)
    new = Machine(bed, "m7", accept_all)
    follower = bed.service.follower
    bed.run(lambda: bed.journal.requests)
    line = json.dumps(event(2, new.row())).encode() + b"\n"
    bed.journal.write(line + line[:30])
    bed.run(lambda: follower.pos == 2)
    bed.journal.streams[0].abort()
    bed.run(lambda: len(bed.journal.requests) == 2)
    bed.run(span_ns=1_700 * MS)  # silence: the line of a second is missing
    bed.run(lambda: len(bed.journal.requests) == 3)
    assert bed.journal.requests == [b"tail 1\n", b"tail 2\n", b"tail 2\n"]
    moved, old = bed.journal, bed.journal.streams[0]
    bed.journal = Journal(bed)
    bed.file["journal"] = bed.journal.address
    bed.path.write_text(json.dumps(bed.file))
    with pytest.MonkeyPatch.context() as patch:
        for name, value in bed.environment.items():
            patch.setenv(name, value)
        patch.setenv("PROXY_LISTEN", "127.0.0.1:1")
        bed.service.reload()
        bed.run(lambda: bed.journal.requests)
        old.write(json.dumps(event(3, new.row("draining"))).encode() + b"\n")  # it is still read
        bed.run(lambda: follower.pos == 3)
        bed.journal.write(json.dumps(event(3, new.row("draining"))).encode() + b"\n")
        bed.path.write_text("{half")
        bed.service.reload()
    assert [row for row in bed.logged if row["event"] == "reload.refused"]
    bed.journal.write(json.dumps(event(4, new.row("gone"))).encode() + b"\n")
    bed.run(lambda: follower.pos == 4)
    assert moved.requests[-1] == b"tail 2\n" and bed.journal.requests == [b"tail 2\n"]


def test_no_ping_is_answered_before_the_events_sent_during_the_start_are_handled(beds: Any) -> None:
    # Guards against set-ups to machines that were announced as draining while the scheduler was starting: its
    # list is out of date by then, and owners send set-ups as soon as their ping is answered.
    bed = beds(accept_all, accept_all, caught_up=False)
    owner = Owner(bed)
    owner.send(Message(Kind.PING, "0" * 16, 0))
    bed.run(lambda: bed.journal.requests)
    bed.run()
    assert not owner.received(Kind.PONG)
    told = json.dumps(event(2, bed.machines[0].row("draining"))).encode() + b"\n"
    bed.journal.write(told[:40])
    bed.run()
    assert not owner.received(Kind.PONG)
    bed.journal.write(told[40:])
    bed.run(lambda: owner.received(Kind.PONG))
    for _ in range(4):
        place_task(bed, owner)
    assert {machine.name for machine, _ in bed.machine_messages} == {"m1"}


@pytest.mark.parametrize("journal", ["has nothing to tell", "does not answer"])
def test_a_journal_without_events_keeps_no_scheduler_from_serving(beds: Any, journal: str) -> None:
    bed = beds(accept_all, caught_up=False)
    if journal == "does not answer":
        bed.journal.listener.close()
    owner = Owner(bed)
    owner.send(Message(Kind.PING, "0" * 16, 0))
    bed.run(span_ns=260 * MS)
    bed.run(lambda: owner.received(Kind.PONG))
    assert owner.received(Kind.PONG)[0].cause == 1


def test_the_journal_is_read_before_set_ups_that_arrived_with_it(beds: Any) -> None:
    # Guards against many set-ups that keep an announced drain unread beyond its grace period.
    bed = beds(accept_all, accept_all)
    owners = [Owner(bed) for _ in range(30)]
    bed.run()
    for owner in owners:
        owner.send(bed.setup(cores=0.1, memory=0.1), bed.setup(cores=0.1, memory=0.1))
    bed.journal.write(json.dumps(event(2, bed.machines[0].row("draining"))).encode() + b"\n")
    bed.run(lambda: all(len(owner.received(Kind.ANSWER)) == 2 for owner in owners))
    assert {machine.name for machine, _ in bed.machine_messages} == {"m1"}


@pytest.mark.parametrize(
    "spoilt", [{"left_over": "much"}, {"status": "?"}, {"type": "odd"}, {"address": "x"}]
)
def test_an_invalid_row_is_logged_and_the_rest_of_its_event_is_applied(
    beds: Any, spoilt: dict[str, Any]
) -> None:
    # Guards against one bad row that blocks all changes of the list, or the start of a scheduler; and against
    # set-ups to the row's machine, which may be draining.
    bed = beds(accept_all, accept_all, accept_all)
    owner, (one, two, _) = Owner(bed), bed.machines
    rows = (one.row("draining") | spoilt, two.row("draining"))
    bed.journal.write(json.dumps(event(2, *rows)).encode() + b'\n{"pos":3,"hosts":7}\n')
    bed.run(lambda: bed.service.follower.pos == 3)
    for _ in range(4):
        place_task(bed, owner)
    assert {machine.name for machine, _ in bed.machine_messages} == {"m2"}
    assert [row["machine"] for row in bed.logged if row["event"] == "list.row"] == ["m0", ""]
    assert not [row for row in bed.logged if row["event"] == "journal.closed"]
    bed.file["known"] = {"pos": 1, "entries": [event(1, *rows, full=True)]}
    bed.path.write_text(json.dumps(bed.file))
    (known,) = load_config(bed.environment).known  # a scheduler can start with such a list
    assert known.rows is not None and len(known.rows) + len(known.invalid_rows) == 2


def test_a_journal_that_only_accepts_is_not_dialled_without_a_pause(beds: Any) -> None:
    bed = beds(accept_all)
    bed.run(lambda: bed.journal.streams)
    dials: list[None] = []
    bed.journal.listener._accept = lambda sock: dials.append(sock.close())
    bed.journal.streams[0].abort()
    bed.run(span_ns=S)
    assert 3 <= len(dials) <= 12


def test_a_journal_that_moves_twice_in_a_second_is_followed_and_leaves_nothing_behind(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against losing track of the connection to the first address: it was never closed if its service
    # did not close it, and its last events were lost if it was closed too soon.
    bed = beds(accept_all)
    new = Machine(bed, "m7", accept_all)
    follower, first = bed.service.follower, bed.journal
    bed.run(lambda: first.requests)
    services = [first, Journal(bed), Journal(bed)]  # the middle one accepts but stays silent
    for name, value in bed.environment.items():
        monkeypatch.setenv(name, value)
    monkeypatch.setenv("PROXY_LISTEN", "127.0.0.1:1")
    for service in services[1:]:
        bed.path.write_text(json.dumps(bed.file | {"journal": service.address}))
        bed.service.reload()
        bed.run(span_ns=300 * MS)
    lines = [json.dumps(event(pos, new.row(status))).encode() + b"\n"
             for pos, status in ((2, "ready"), (3, "draining"), (4, "gone"))]  # fmt: skip
    first.write(lines[0])  # it is still read
    bed.run(lambda: follower.pos == 2)
    services[2].write(b"0\n" + b"".join(lines))  # this one is behind and sends events again
    bed.run(lambda: follower.pos == 4)
    for _ in range(20):
        services[2].write(b"4\n")
        bed.run(span_ns=100 * MS)
    assert [len(service.streams) for service in services] == [0, 0, 1] and not follower._old_conns
    assert bed.service.links.get("m7") is None and len(services[2].requests) == 1


def test_a_file_read_while_it_was_being_written_is_read_again(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a signal that arrives in the middle of a write, without another one afterwards.
    bed = beds(accept_all)
    other = Journal(bed)
    for name, value in bed.environment.items():
        monkeypatch.setenv(name, value)
    monkeypatch.setenv("PROXY_LISTEN", "127.0.0.1:1")
    whole = json.dumps(bed.file | {"journal": other.address})
    bed.path.write_text(whole[: len(whole) // 2])
    bed.service.reload()
    bed.run(span_ns=300 * MS)
    bed.path.write_text(whole)
    bed.run(lambda: other.requests, span_ns=200 * MS)
    assert len([row for row in bed.logged if row["event"] == "reload.refused"]) == 1
    assert len([row for row in bed.logged if row["event"] == "reload"]) == 1


def test_idle_clients_that_fill_the_descriptors_keep_nobody_from_the_journal(beds: Any) -> None:
    # Guards against an outdated list because callers use up the descriptors: the journal, the machines and
    # the log have descriptors of their own.
    bed = beds(accept_all, sockets=48)
    good = Owner(bed)
    running, open_one = place_task(bed, good), bed.setup(left=8000, cores=32)
    good.send(open_one)
    bed.run(lambda: bed.module().waiting_tasks)
    address = bed.journal.listener.address
    bed.journal.listener.close()
    bed.journal.streams[0].abort()
    crowd: list[Owner] = []
    for _ in range(12):
        crowd += [Owner(bed) for _ in range(10)]
        bed.run(span_ns=100 * MS)
        second = bed.service.owners.count_connections() + bed.service.links.connection_count
        assert second + 12 <= 48 and not good.closed
    bed.journal.listener = Listener(bed.loop, address, bed.journal._accept)
    bed.run(lambda: len(bed.journal.requests) == 2, span_ns=150 * MS)
    fresh = Owner(bed)
    place_task(bed, fresh)
    bed.machines[0].conns[0].send(release(running.id, 16))
    bed.run(lambda: [m for m in good.received(Kind.RELEASE) if m.id == running.id])
    assert not good.closed and bed.errors == []


@pytest.mark.parametrize("way", ["at once", "over a dial"])
def test_an_unread_drain_is_handled_before_a_set_up_is_sent(beds: Any, way: str) -> None:
    # Guards against a long round of the loop: an event counts as announced while it is unread in our socket.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    bed.run(lambda: bed.journal.requests)
    if way == "at once":
        bed.service.links.get("m0").dial("line")
        bed.run()
    asked = bed.setup(left=500)
    owner.send(asked)
    if way == "over a dial":
        bed.run(lambda: bed.service.links.connection_count)
    bed.journal.write(json.dumps(event(2, machine.row("draining"))).encode() + b"\n")
    if way == "over a dial":
        bed.service.links.get("m0").conns[0].stream._ready(2)
    else:
        (conn,) = bed.service.owners._conns
        conn.stream._ready(1)
    bed.run(span_ns=S)
    assert not bed.machine_messages and [m.cause for m in owner.received(Kind.RELEASE)] == [42]
