"""Connections to machines: how they are kept, pinged, shared, closed for room and lost."""

from __future__ import annotations

import json
import math
import socket
from typing import Any

import pytest

from ladderhub.platform.connection_choice import find_idle
from ladderhub.platform.conn import Offer
from ladderhub.signalling import Code, Kind, Message
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import MS, Owner, S
from tests.platform.bed import accept_all, event, ignore_all, open_unreachable_address, place_task, release


def test_a_running_task_outlives_its_connection_but_not_its_machine(beds: Any) -> None:
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    one, two = place_task(bed, owner), place_task(bed, owner)
    for conn in list(machine.conns):
        conn.stream.abort()
    bed.run(lambda: machine.conns)  # without a connection the machine could not report the end
    machine.conns[0].send(release(one.id, 16))
    bed.run(lambda: owner.received(Kind.RELEASE))
    machine.die()
    bed.run(lambda: len(owner.received(Kind.RELEASE)) == 2)
    assert [(m.id, m.cause) for m in owner.received(Kind.RELEASE)] == [(one.id, 16), (two.id, 41)]


def test_tasks_of_a_machine_that_fell_silent_are_reported_as_ended_within_eight_seconds(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    bed.run(span_ns=20 * S)
    assert not owner.received(Kind.RELEASE)  # it answers its pings
    bed.machines[0].silent = True
    bed.run(span_ns=5 * S)
    assert not owner.received(Kind.RELEASE)
    bed.run(span_ns=2_900 * MS)
    assert [m.id for m in owner.received(Kind.RELEASE)] == [asked.id]


def test_a_machine_whose_connections_are_dead_is_pinged_over_a_new_one(beds: Any) -> None:
    # Guards against tasks given up with their connection: a draining machine gets no set-ups whose answers
    # would show that it is alive, and a newly dialled connection was not pinged.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)
    machine.dead_conns = list(machine.conns)
    bed.run(span_ns=15 * S)
    assert not owner.received(Kind.RELEASE)
    machine.conns[-1].send(release(asked.id, 16))
    bed.run(lambda: owner.received(Kind.RELEASE))


def test_more_machines_than_descriptors_are_all_reached_and_heard_in_time(beds: Any) -> None:
    # Guards against set-ups reported as unreachable while idle connections to other machines were kept: with
    # 400 machines, most of them new, this was the end of most offers.  Here 24 machines share 12 connections.
    bed = beds(*[accept_all] * 24, sockets=48)
    most = bed.service.links.max_connections()
    owner, held = Owner(bed), [bed.handover(machine) for machine in bed.machines]
    owner.send(*held)
    peak = 0

    def run_for(span_ns: int) -> None:
        nonlocal peak
        for _ in range(span_ns // (100 * MS)):
            bed.run(span_ns=100 * MS)
            bed.run()
            peak = max(peak, bed.service.links.connection_count)

    run_for(9 * S)
    assert not owner.received(Kind.RELEASE)
    assert all(machine.received(Kind.PING) for machine in bed.machines)
    for round_ in range(6):
        asked = [bed.setup(service=f"{round_:02}{at:02}" * 4) for at in range(4)]
        owner.send(*asked)
        bed.run(lambda asked=asked: {m.id for m in asked} <= {m.id for m in owner.received(Kind.ANSWER)})
        run_for(200 * MS)
    assert not owner.received(Kind.RELEASE) and not [row for row in bed.logged if row["event"] == "attempt"]
    # All tasks end at once.  A machine reports it on a connection that it has, else on the next one opened.
    over = {machine.name: one.id for machine, one in zip(bed.machines, held, strict=True)}
    for machine in bed.machines:
        machine.on_accept = lambda conn: conn.send(release(over[conn.machine.name], 16))
        for conn in machine.conns[:1]:
            conn.send(release(over[machine.name], 16))
    run_for(7 * S)
    assert {m.id for m in owner.received(Kind.RELEASE)} == set(over.values())
    assert peak <= most == 12


def test_descriptors_not_used_by_owners_go_to_machines_until_owners_connect(beds: Any) -> None:
    # Guards against connections closed and dialled in turn while half of the descriptors are unused.
    bed = beds(*[accept_all] * 4, sockets=256)
    links, owner = bed.service.links, Owner(bed)
    owner.send(*(bed.setup(cores=0.1, memory=0.1) for _ in range(140)))
    bed.run(lambda: len(owner.received(Kind.ANSWER)) == 140)
    # All at once, each on a connection of its own; half of the descriptors would be 128.
    assert links.connection_count == 140
    crowd = [Owner(bed) for _ in range(120)]
    bed.run(lambda: bed.service.owners.count_connections() == 121)
    assert links.connection_count == links.max_connections() == 256 - 128 - 12
    assert not owner.received(Kind.RELEASE) and not any(each.closed for each in crowd)


def test_set_ups_that_a_machine_does_not_read_are_not_sent_once_it_is_draining(beds: Any) -> None:
    # Guards against set-ups that wait in the buffer of a connection and are sent after the drain was read.
    bed = beds(ignore_all, ignore_all, handshake=0.08)
    for machine in bed.machines:
        machine.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        machine.on_accept = lambda conn: conn.stream.pause(True)
    owner = Owner(bed)

    def ask() -> None:
        asked = bed.setup(cores=0.1, memory=0.1, left=9000)
        asked.description = "x" * 12_000
        owner.send(asked)

    def offers(written: bool) -> set[str]:
        link = bed.service.links.get(name)
        return {
            each.id for conn in link.conns for each in conn.open_offers.values() if each.written == written
        }

    ask()
    bed.run(lambda: bed.service.links.connection_count)
    bed.run()
    for link in (bed.service.links.get(machine.name) for machine in bed.machines):
        for conn in link.conns:
            conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            name = link.name
    for _ in range(40):
        ask()
        bed.run()
    leaving = next(machine for machine in bed.machines if machine.name == name)
    assert offers(written=False)
    bed.service.apply_event(decode_event(json.dumps(event(2, leaving.row("draining"))).encode()))
    begun = offers(written=True)
    for conn in leaving.conns:
        conn.stream.pause(False)
    bed.run(span_ns=S)
    assert begun and {message.id for message in leaving.received(Kind.SETUP)} <= begun


def test_a_thousand_machines_and_schedulers_are_accepted_at_the_start_and_by_events(beds: Any) -> None:
    # Guards against a bound on either list; the users have hundreds of both.
    bed = beds(accept_all, schedulers=1024)
    owner, real = Owner(bed), bed.machines[0]

    def rows(first: int) -> list[dict[str, Any]]:
        return [real.row() | {"name": f"m{at}", "group": at // 6} for at in range(first, first + 1024)]

    bed.service.apply_event(decode_event(json.dumps(event(2, *rows(0), full=True)).encode()))
    assert sum(not machine.is_unavailable for machine in bed.module().fleet.machines.values()) == 1024
    bed.service.apply_event(decode_event(json.dumps(event(3, *rows(1024), full=True)).encode()))
    assert {place_task(bed, owner).id for _ in range(20)} == {m.id for m in real.received(Kind.SETUP)}
    assert all(int(offer.machine[1:]) >= 1024 for link in bed.service.links._links.values()
               for offer in link.running.values())  # fmt: skip
    assert sum(len(link.running) for link in bed.service.links._links.values()) == 20


def test_a_machine_that_missed_its_ping_is_dialled_at_once(beds: Any) -> None:
    # Guards against waiting twice for an unreachable machine, for a ping and then for a dial: half a second
    # for each offer, on a day when a fifth of the machines fell silent.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    place_task(bed, owner)
    bed.run(span_ns=3 * S)
    machine.dead_conns = list(machine.conns)
    bed.run(span_ns=1_200 * MS)
    asked = bed.setup()
    owner.send(asked)
    bed.run(lambda: [m for m in owner.received(Kind.ANSWER) if m.id == asked.id])  # the clock stands still


def test_where_connections_have_a_price_repeatable_set_ups_share_one_and_others_do_not(beds: Any) -> None:
    # Guards against a handshake for each of several open set-ups to one machine: four of ten connections were
    # of that kind, and cost a twentieth of a day's score.
    bed = beds(ignore_all, handshake=0.08)
    machine, owner = bed.machines[0], Owner(bed)
    safe, unsafe = [bed.setup() for _ in range(6)], [bed.setup("bill") for _ in range(2)]
    owner.send(*safe[:3], *unsafe, *safe[3:])
    bed.run(lambda: len(machine.received(Kind.SETUP)) == 8)
    assert len(machine.conns) == 3
    shared = max(machine.conns, key=lambda conn: len(conn.messages))
    assert {m.id for m in shared.messages} == {m.id for m in safe}
    # Invalid data there ends the set-ups on it, each once, and none of the others; they are sent again.
    machine.script = accept_all
    shared.stream.write(b"\0\1\0")
    bed.run(lambda: {m.id for m in owner.received(Kind.ANSWER)} == {m.id for m in safe})
    assert not owner.received(Kind.RELEASE)


def test_a_quiet_connection_is_pinged_and_reused_and_a_dead_one_replaced(beds: Any) -> None:
    # Guards against a new connection for nearly each set-up: two of three offers dialled, though there were
    # idle connections to the same machines, and each new connection has a price.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    for turn in range(3):
        asked = place_task(bed, owner)
        machine.conns[0].send(release(asked.id, 16))
        bed.run(lambda turn=turn: len(owner.received(Kind.RELEASE)) == turn + 1)
        bed.run(span_ns=5 * S)  # nothing runs there, so the machine is not pinged
    assert len(machine.conns) == 1 and len(machine.received(Kind.PING)) >= 2
    # The connection is dead while the machine is alive: no set-up is written until that is known.
    machine.dead_conns = list(machine.conns)
    asked = bed.setup()
    owner.send(asked)
    bed.run(lambda: len(machine.received(Kind.PING)) >= 3)
    assert not [m for m in machine.received(Kind.SETUP) if m.id == asked.id]
    bed.run(span_ns=260 * MS)
    bed.run(lambda: [m for m in owner.received(Kind.ANSWER) if m.id == asked.id])
    assert len([m for m in machine.received(Kind.SETUP) if m.id == asked.id]) == 1


@pytest.mark.parametrize("figure", ["nan", "inf", "-inf", "much", "1e999"])
def test_a_note_without_a_finite_figure_never_reaches_the_module(beds: Any, figure: str) -> None:
    # Guards against one non-finite figure, which would stay in the module's averages for ever.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    note = Message(Kind.NOTE, asked.id, values={Code.NOTE: "cores", Code.FIGURE: figure})
    bed.machines[0].conns[0].send(note)
    bed.run(lambda: [row for row in bed.logged if row["event"] == "machine.spoilt"])
    assert math.isfinite(bed.module().ledger.class_use[0][0].value)
    assert bed.service.tasks.find(asked.id) is not None


def test_a_new_machine_at_the_address_of_one_that_is_gone_has_a_link_of_its_own(beds: Any) -> None:
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)
    row = machine.row() | {"name": "heir", "since_ms": 0}
    bed.journal.write(json.dumps(event(2, machine.row("gone"), row)).encode() + b"\n")
    bed.run(lambda: owner.received(Kind.RELEASE))
    assert (owner.received(Kind.RELEASE)[0].id, owner.received(Kind.RELEASE)[0].cause) == (asked.id, 41)
    after = place_task(bed, owner)
    machine.conns[-1].send(
        release(asked.id, 16)
    )  # a message about the old machine's task does not concern the new one
    bed.run()
    assert bed.service.tasks.find(after.id) is not None and len(owner.received(Kind.RELEASE)) == 1


def test_an_unsafe_set_up_is_not_written_on_a_connection_about_to_be_closed_as_idle(beds: Any) -> None:
    # Guards against a set-up written on a connection that its machine has just closed as idle: it may have
    # run, so an unsafe one fails.  First the close is unread here; then it is about to arrive.
    bed = beds(accept_all, idle_ns=2 * S)
    machine, owner = bed.machines[0], Owner(bed)
    over = place_task(bed, owner, "bill")
    machine.conns[0].send(release(over.id, 16))
    bed.run(lambda: owner.received(Kind.RELEASE))
    machine.conns[0].stream.abort()
    asked = bed.setup("bill")
    (conn,) = bed.service.owners._conns
    bed.service.owners.on_message(conn, asked)  # while that close is unread
    bed.run(lambda: len(owner.received(Kind.ANSWER)) == 2)
    assert bed.service.tasks._report.counts["dial.setup"] == 2
    machine.conns[0].send(release(asked.id, 16))
    bed.run(lambda: len(owner.received(Kind.RELEASE)) == 2)
    bed.run(span_ns=1_940 * MS)
    later = Offer(99, 0, "m0", bed.setup("bill"), bed.clock.now_ns(), bed.clock.now_ns() + S, False)
    link, now = bed.service.links.get("m0"), bed.clock.now_ns()
    # Answered pings on it count as use.
    assert find_idle(link.conns, later, now, link.pool.idle_timeout_ns) is not None
    (line,) = bed.service.links.get("m0").conns
    line.last_used_ns -= 1_960 * MS
    dials = bed.service.tasks._report.counts["dial.setup"]
    place_task(bed, owner, "bill")  # the close may arrive at any moment
    assert bed.service.tasks._report.counts["dial.setup"] == dials + 1


def test_dials_that_never_connect_fail_no_request_and_no_running_tasks(beds: Any) -> None:
    # Guards against three slow dials that use up the attempts of a request that has seconds left.
    bed = beds(accept_all, accept_all, accept_all, accept_all, accept_all)
    owner = Owner(bed)
    tasks = [place_task(bed, owner) for _ in range(10)]
    with_tasks = {machine.name for machine in bed.machines if machine.conns}
    full = [open_unreachable_address() for _ in bed.machines[:4]]
    for machine, (port, _) in zip(bed.machines[:4], full, strict=True):
        bed.service.links.get(machine.name).address = port
        for conn in list(machine.conns):
            conn.stream.abort()
    bed.run(span_ns=100 * MS)
    unsafe = bed.setup("bill", left=3000)
    last = bed.machines[4]
    bed.service.apply_event(decode_event(json.dumps(event(2, last.row("draining"))).encode()))
    owner.send(unsafe)
    bed.run(span_ns=1_200 * MS)
    assert not owner.received(Kind.RELEASE)
    bed.service.apply_event(decode_event(json.dumps(event(3, last.row())).encode()))
    bed.run(lambda: [m for m in owner.received(Kind.ANSWER) if m.id == unsafe.id], span_ns=1_500 * MS)
    assert [m.name for m, message in bed.machine_messages if message.id == unsafe.id] == ["m4"]
    assert not owner.received(Kind.RELEASE) and with_tasks and tasks
    for _, socks in full:
        for sock in socks:
            sock.close()


def test_a_connection_that_comes_up_after_its_dial_was_given_up_sends_nothing(beds: Any) -> None:
    bed = beds(accept_all)
    port, socks = open_unreachable_address()
    bed.service.links.get("m0").address = port
    owner, asked = Owner(bed), bed.setup(left=200)
    owner.send(asked)
    bed.run(span_ns=600 * MS)
    assert [m.cause for m in owner.received(Kind.RELEASE)] == [42]
    for sock in socks[1:]:
        sock.close()
    socks[0].setblocking(False)
    bed.run()
    heard = b""
    try:
        while True:
            sock, _ = socks[0].accept()
            sock.setblocking(False)
            heard += sock.recv(100)
            sock.close()
    except BlockingIOError:
        pass
    assert heard == b""
    socks[0].close()
