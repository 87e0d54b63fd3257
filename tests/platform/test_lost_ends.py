"""Ends of tasks that are lost with a connection while another one to their machine stays up.

A machine reports an end on the connection of its set-up, and once more on the next one that it accepts."""

from __future__ import annotations

from typing import Any

import pytest

from ladderhub.platform.liveness import RELEASE_DEADLINE_NS
from ladderhub.platform.lost_ends import LostEnds
from ladderhub.signalling import Kind, Message
from tests.platform.bed import Bed, Machine, MachineConn, Owner, S, accept_all, ignore_all, release

SOCKETS, MAX_CONNECTIONS = 48, 12  # so many connections to machines, of so many sockets
SWEEP_NS = 2 * S  # a machine is looked at once a second


def place_at_once(bed: Bed, owner: Owner, count: int = 2, **extras: object) -> list[Message]:
    """Have tasks placed together, so that each has a connection of its own; return their set-ups."""
    tasks = [bed.setup("bill", **extras) for _ in range(count)]
    owner.send(*tasks)
    bed.run(lambda: len(owner.received(Kind.ANSWER)) == count)
    return tasks


def find_conn(machine: Machine, task: Message) -> MachineConn:
    """The connection on which the set-up of this task came."""
    return next(conn for conn in machine.conns if task.id in {message.id for message in conn.messages})


def tell_again(machine: Machine, task: Message) -> None:
    """The task has ended, and its release was lost: it is sent on the next connection."""

    def send_once(conn: MachineConn) -> None:
        machine.on_accept = lambda conn: None
        conn.send(release(task.id, 16))

    machine.on_accept = send_once


def get_told(owner: Owner) -> list[str]:
    return [message.id for message in owner.received(Kind.RELEASE)]


@pytest.mark.parametrize("quiet_s", [0, 1, 7])
def test_an_end_lost_with_a_reset_connection_is_asked_for_on_a_new_one(beds: Any, quiet_s: int) -> None:
    # Guards against ends that are never told: another connection was up, so that none was dialled.
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    ended, other = place_at_once(bed, owner)
    assert find_conn(machine, ended) is not find_conn(machine, other)
    bed.run(span_ns=quiet_s * S)
    tell_again(machine, ended)
    find_conn(machine, ended).reset()
    bed.run(span_ns=SWEEP_NS)
    assert get_told(owner) == [ended.id]
    connections = len(machine.conns)
    bed.run(span_ns=5 * S)
    assert len(machine.conns) == connections and get_told(owner) == [ended.id]


def test_an_end_lost_on_a_connection_that_a_stuck_set_up_has_spoilt_is_asked_for(beds: Any) -> None:
    # Guards against ends that are never told: a set-up was given up, and its connection is closed unread.
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    ended, _ = place_at_once(bed, owner)
    dead = find_conn(machine, ended)
    machine.dead_conns.append(dead)
    machine.script = ignore_all
    link = bed.service.links.get("m0")
    for conn in link.conns:
        conn.reusable = conn.stream.sock.getsockname() == dead.stream.sock.getpeername()  # type: ignore[union-attr]
    stuck = bed.setup("bill", left=1000)
    owner.send(stuck)
    bed.run(lambda: stuck.id in {message.id for message in dead.messages})
    for conn in link.conns:
        conn.reusable = True
    tell_again(machine, ended)
    bed.run(span_ns=S + SWEEP_NS + S)  # its time, a look at the connection, which is then read for a second
    bed.run(span_ns=SWEEP_NS)
    assert ended.id in get_told(owner)


def test_a_connection_that_its_machine_closes_in_order_hides_no_end_and_costs_no_dial(beds: Any) -> None:
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    ended, other = place_at_once(bed, owner)
    conn = find_conn(machine, ended)
    conn.send(release(ended.id, 16))
    conn.stream.close()
    bed.run(lambda: get_told(owner) == [ended.id])
    bed.run(span_ns=5 * S)
    assert [each for each in machine.conns] == [find_conn(machine, other)]


def fill_connections(bed: Bed, owner: Owner) -> Message:
    """Use up the connections, two of them to the first machine, which runs a task; return its set-up."""
    tasks = place_at_once(bed, owner, len(bed.machines), cores=20)
    assert bed.service.links.make_room()
    bed.service.links.get("m0").dial("line")  # type: ignore[union-attr]
    bed.run()
    ids = {message.id for message in bed.machines[0].received(Kind.SETUP)}
    (first,) = [task for task in tasks if task.id in ids]
    assert len(bed.machines[0].conns) == 2 and bed.service.links.connection_count == MAX_CONNECTIONS
    return first


def test_at_the_limit_of_connections_a_lost_end_is_told_in_time(beds: Any) -> None:
    # Guards against ends told too late: no descriptor was free for the connection on which they come.
    bed = beds(*[accept_all] * MAX_CONNECTIONS, sockets=SOCKETS)
    machine, owner = bed.machines[0], Owner(bed)
    first = fill_connections(bed, owner)
    tell_again(machine, first)
    find_conn(machine, first).reset()
    bed.run()
    bed.service.links.get("m5").dial("line")
    assert bed.service.links.connection_count == MAX_CONNECTIONS
    bed.run(span_ns=SWEEP_NS)
    assert get_told(owner) == [first.id]
    assert bed.service.links.connection_count <= MAX_CONNECTIONS


def test_a_reset_that_is_unread_as_its_connection_is_closed_for_room_hides_no_end(beds: Any) -> None:
    # Guards against a reset that counts as our own close, after which nothing seems to be lost.
    bed = beds(*[accept_all] * MAX_CONNECTIONS, sockets=SOCKETS)
    machine, owner = bed.machines[0], Owner(bed)
    first = fill_connections(bed, owner)
    tell_again(machine, first)
    find_conn(machine, first).reset()
    assert bed.service.links.make_room()
    bed.run(span_ns=SWEEP_NS)
    assert get_told(owner) == [first.id]


def test_a_machine_that_resets_each_connection_is_dialled_once_a_second_at_most(beds: Any) -> None:
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    ended, _ = place_at_once(bed, owner)
    accepted: list[MachineConn] = []

    def reset(conn: MachineConn) -> None:
        accepted.append(conn)
        conn.reset()

    machine.on_accept = reset
    find_conn(machine, ended).reset()
    bed.run(span_ns=RELEASE_DEADLINE_NS)
    assert 2 <= len(accepted) <= RELEASE_DEADLINE_NS // S + 1


def test_a_second_loss_before_the_new_connection_is_up_needs_a_later_one() -> None:
    ends = LostEnds()
    first = ends.record_dial()
    ends.record_connected(first)
    assert not ends.are_suspected()
    ends.record_loss()
    second = ends.record_dial()
    assert ends.are_suspected() and not ends.is_reported_again_on(first)
    assert ends.is_reported_again_on(second)
    ends.record_loss()
    ends.record_connected(second)
    assert ends.are_suspected()
    third = ends.record_dial()
    ends.record_connected(third)
    assert not ends.are_suspected()


def test_a_connection_dialled_before_the_loss_does_not_count() -> None:
    ends = LostEnds()
    early = ends.record_dial()
    ends.record_loss()
    ends.record_connected(early)
    assert ends.are_suspected()
