"""Releases of ended tasks reach machines without a connection at once, whatever else needs connections."""

from __future__ import annotations

from typing import Any

from ladderhub.platform.dial_queue import DialQueue
from ladderhub.signalling import Kind, Message
from tests.platform.bed import MS, Bed, MachineConn, Owner, S, accept_all, open_unreachable_address
from tests.platform.bed import place_task, release

MACHINES, SOCKETS = 40, 48
MAX_CONNECTIONS = 12  # to machines, of so many sockets
# Owners ask again for what they ended after 0.75 s at the soonest.
ASKED_AGAIN_AFTER_NS = 750 * MS


def count_released(bed: Bed) -> int:
    """How many tasks' releases came to their machines."""
    return len({message.id for machine in bed.machines for message in machine.received(Kind.RELEASE)})


def place_on_each_machine(bed: Bed, owner: Owner) -> list[Message]:
    """Have tasks placed that are so large that each machine takes one; return their set-ups."""
    tasks = [bed.setup("bill", cores=20, memory=1) for _ in bed.machines]
    for count, each in enumerate(tasks, 1):
        owner.send(each)
        bed.run(lambda: len(owner.received(Kind.ANSWER)) == count)  # noqa: B023
    return tasks


def test_with_more_machines_than_descriptors_what_is_ended_is_released_before_it_is_asked_for_again(
    beds: Any,
) -> None:
    # Guards against unsafe tasks that run twice for seconds: a release waited until its machine's turn came
    # to be dialled, and the owner had the task started again before that.
    bed = beds(*[accept_all] * MACHINES, sockets=SOCKETS)
    owner = Owner(bed)
    tasks = place_on_each_machine(bed, owner)
    owner.send(*(release(each.id, 31) for each in tasks))
    bed.run(lambda: len(owner.received(Kind.RELEASED)) == len(tasks))
    bed.run(span_ns=ASKED_AGAIN_AFTER_NS)
    assert count_released(bed) == len(tasks) and bed.service.links.count_pending_releases() == 0
    assert bed.service.links.connection_count <= MAX_CONNECTIONS


def test_a_dial_for_a_release_that_never_comes_up_is_tried_again_at_once(beds: Any) -> None:
    # Guards against a release that waits for seconds because one new connection was lost on the way.
    bed = beds(accept_all)
    (machine,), owner, link = bed.machines, Owner(bed), bed.service.links.get("m0")
    asked = place_task(bed, owner, "bill")
    link.conns[0].closed_for_room = True
    link.conns[0].stream.abort()
    link.address, sockets = open_unreachable_address()
    owner.send(release(asked.id, 31))
    bed.run(lambda: link.conns)
    link.address = machine.address
    bed.run(span_ns=ASKED_AGAIN_AFTER_NS)
    assert [each.id for each in machine.received(Kind.RELEASE)] == [asked.id]
    for sock in sockets:
        sock.close()


def test_a_machine_that_closes_each_new_connection_is_not_dialled_without_a_pause(beds: Any) -> None:
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    asked = place_task(bed, owner, "bill")
    accepted: list[MachineConn] = []

    def close_at_once(conn: MachineConn) -> None:
        accepted.append(conn)
        conn.reset()

    machine.on_accept = close_at_once
    machine.silent = True
    owner.send(release(asked.id, 31))
    bed.run(lambda: machine.received(Kind.RELEASE))
    machine.conns[0].reset()
    bed.run(span_ns=2 * S)
    assert 1 <= len(accepted) <= 5


def test_machines_that_are_cut_off_leave_connections_for_set_ups(beds: Any) -> None:
    # Guards against set-ups that find no connection because dials for releases hold them all.
    bed = beds(*[accept_all] * MACHINES, sockets=SOCKETS)
    owner = Owner(bed)
    tasks = place_on_each_machine(bed, owner)
    address, sockets = open_unreachable_address()
    links = [bed.service.links.get(machine.name) for machine in bed.machines]
    for link in links:
        link.address = address
        for conn in list(link.conns):
            conn.closed_for_room = True
            conn.stream.abort()
    owner.send(*(release(each.id, 31) for each in tasks))
    bed.run(lambda: len(owner.received(Kind.RELEASED)) == len(tasks))
    most = 0
    for _ in range(50):
        bed.run(span_ns=20 * MS)
        most = max(most, sum(bool(link.conns) for link in links))
    assert most == MAX_CONNECTIONS // 2
    for sock in sockets:
        sock.close()


def test_the_machine_that_waits_longest_is_dialled_first_and_half_of_the_connections_stay_free() -> None:
    dials: DialQueue[int] = DialQueue()
    assert not dials.may_begin(8)
    for name in ("m3", "m1", "m2", "m3", "m0", "m4"):
        dials.add(name)
    taken = []
    while dials.may_begin(8):
        taken.append(dials.get_next())
        dials.begin_next(len(taken))
    assert taken == ["m3", "m1", "m2", "m0"]
    assert dials.end(2) and not dials.end(2)
    assert dials.may_begin(8) and dials.get_next() == "m4"
    dials.drop_next()
    assert not dials.may_begin(8)


def test_one_connection_in_all_is_enough_for_a_dial() -> None:
    dials: DialQueue[int] = DialQueue()
    dials.add("m0")
    assert dials.may_begin(1)
